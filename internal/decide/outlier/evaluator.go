package outlier

import (
	"cmp"
	"math"
	"slices"
)

// Verdict is a state assigned to a subject for the whole fleet, for a limited time.
type Verdict struct {
	Subject       string    `cbor:"1,keyasint" json:"thing"`
	Hub           string    `cbor:"2,keyasint,omitempty" json:"hub,omitempty"`
	State         State     `cbor:"3,keyasint" json:"-"`
	Number        uint64    `cbor:"4,keyasint" json:"number"`
	Witnesses     []Witness `cbor:"5,keyasint" json:"witnesses"`
	Count         int       `cbor:"6,keyasint" json:"count"`    // number of witnesses
	Sites         int       `cbor:"7,keyasint" json:"sites"`    // sites of the witnesses listed
	PossibleSites int       `cbor:"8,keyasint" json:"possible"` // sites with observations of the subject
	Remaining     Micros    `cbor:"9,keyasint" json:"left_us"`  // validity, from the time of the receiver's request
	Span          Micros    `cbor:"10,keyasint" json:"span_us"`
	Factor        float64   `cbor:"11,keyasint,omitempty" json:"factor,omitempty"` // multiplier of the times after which clients may return
}

// verdictState is a verdict as the Evaluator holds it.
type verdictState struct {
	verdict  Verdict
	until    Micros // on the root owner's clock
	renewals int    // number of times that it was reached again, which lengthens its span
	endedAt  Micros // 0 while it is in force
}

// Mutation names a rule that is disabled to test that the checkers detect its absence.
type Mutation string

// DisableWitnesses makes an observation of a single front sufficient for a verdict.
const DisableWitnesses Mutation = "witness"

// Evaluator runs at the root's owner and derives verdicts from observations.
type Evaluator struct {
	rules      Rules
	mutation   Mutation
	verdicts   map[key]*verdictState
	lastNumber uint64
}

// NewEvaluator returns an Evaluator for the owner of the given number. Verdict numbers
// start above those of any owner with a lower number.
func NewEvaluator(r Rules, owner uint64) *Evaluator {
	return &Evaluator{rules: r, verdicts: map[key]*verdictState{}, lastNumber: owner << 24}
}

// Disable disables a rule.
func (evaluator *Evaluator) Disable(r Mutation) { evaluator.mutation = r }

// Step evaluates the fleet's current observations and returns the verdicts in force with
// their remaining validity. Boxes is the number of boxes of each hub.
func (evaluator *Evaluator) Step(list []Observation, boxes map[string]int, now Micros) []Verdict {
	healthy := map[string]Observation{}
	observingSites := map[string]map[string]bool{}
	for _, o := range list {
		if o.State == Healthy {
			healthy[o.Subject] = o
		}
		for _, w := range o.Witnesses {
			if observingSites[o.Subject] == nil {
				observingSites[o.Subject] = map[string]bool{}
			}
			observingSites[o.Subject][w.Site] = true
		}
	}
	for _, o := range list {
		if o.State == Healthy || !evaluator.hasQuorum(o, healthy[o.Subject], len(observingSites[o.Subject])) {
			continue
		}
		evaluator.renew(o, len(observingSites[o.Subject]), now)
	}
	// A verdict ends at once when more witnesses see the subject as healthy than support it.
	for k, s := range evaluator.verdicts {
		if s.endedAt == 0 && (now >= s.until || k.state != Overloaded && k.state != Forging && healthy[k.subject].Count > s.verdict.Count) {
			s.endedAt = now
		}
		if s.endedAt != 0 && now-s.endedAt > maxSpanMultiple*evaluator.rules.Span {
			delete(evaluator.verdicts, k)
		}
	}
	return evaluator.active(boxes, now)
}

// hasQuorum reports whether an observation has enough witnesses for a verdict.
func (evaluator *Evaluator) hasQuorum(o, healthy Observation, possibleSites int) bool {
	if evaluator.mutation == DisableWitnesses {
		return true
	}
	switch o.State {
	case Forging: // a forging client may use a single site, so one site is enough
		return o.Count >= evaluator.rules.Witnesses && o.Rate >= evaluator.rules.ForgedRate
	case Overloaded: // only the hub's own fronts observe this
		return o.Count >= evaluator.rules.Witnesses
	}
	return o.Count >= evaluator.rules.Witnesses && o.Count > healthy.Count && countSites(o.Witnesses) >= min(2, possibleSites)
}

func (evaluator *Evaluator) renew(o Observation, possibleSites int, now Micros) {
	k := key{o.Subject, o.State}
	s := evaluator.verdicts[k]
	switch {
	case s == nil:
		if len(evaluator.verdicts) >= MaxSubjects {
			return
		}
		evaluator.lastNumber++
		s = &verdictState{verdict: Verdict{Subject: o.Subject, Hub: o.Hub, State: o.State, Number: evaluator.lastNumber}}
		evaluator.verdicts[k] = s
	case s.endedAt != 0: // reached again: a longer span, so that the subject is retried less often
		evaluator.lastNumber++
		s.verdict.Number, s.endedAt = evaluator.lastNumber, 0
		s.renewals = min(s.renewals+1, 3)
	}
	s.verdict.Witnesses, s.verdict.Count, s.verdict.Sites, s.verdict.PossibleSites = o.Witnesses, o.Count, countSites(o.Witnesses), possibleSites
	s.verdict.Span = min(evaluator.rules.Span<<s.renewals, maxSpanMultiple*evaluator.rules.Span)
	if o.State == Overloaded { // return times grow while the overload lasts; the span stays short so that it ends soon after
		s.verdict.Factor = math.Min(64, math.Max(1, s.verdict.Factor)*1.1)
		s.verdict.Span = evaluator.rules.Span
	}
	s.until = now + s.verdict.Span
}

// active returns the verdicts in force, ordered by state and number of witnesses. Failing
// verdicts beyond the share of a hub's boxes that may be removed are left out.
func (evaluator *Evaluator) active(boxes map[string]int, now Micros) (out []Verdict) {
	var list []*verdictState
	for _, s := range evaluator.verdicts {
		if s.endedAt == 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *verdictState) int {
		return cmp.Or(-cmp.Compare(x.verdict.State, y.verdict.State), -cmp.Compare(x.verdict.Count, y.verdict.Count), cmp.Compare(x.verdict.Subject, y.verdict.Subject))
	})
	ejected := map[string]int{}
	for _, s := range list {
		v := s.verdict
		if v.State == Failing {
			n := boxes[v.Hub]
			if maxEjected := min(max(1, int(float64(n)*evaluator.rules.MaxEjectedShare)), n-1); ejected[v.Hub] >= maxEjected { // at least one box may be removed, but never the last
				continue
			}
			ejected[v.Hub]++
		}
		v.Remaining = s.until - now
		out = append(out, v)
	}
	return out
}

// HeldVerdict is a verdict as a front or a site's owner holds it.
type HeldVerdict struct {
	Verdict
	Until Micros // on the holder's clock
}

// VerdictCache holds the verdicts that one process received. The zero value is empty.
type VerdictCache struct {
	list  []HeldVerdict
	stamp Micros // time of the request whose answer is held
}

// Update replaces the verdicts by those that an owner sent in answer to a request. Stamp
// is the time of the request on this process's clock; validity counts from it, so network
// delay never extends a verdict. Answers to older requests are ignored.
func (d *VerdictCache) Update(list []Verdict, stamp, maxValidity Micros) {
	if stamp <= d.stamp {
		return
	}
	d.stamp, d.list = stamp, d.list[:0]
	for _, v := range list[:min(len(list), MaxSubjects)] {
		if v.Remaining > 0 {
			d.list = append(d.list, HeldVerdict{v, stamp + min(v.Remaining, maxValidity)})
		}
	}
}

// Active returns the verdicts in force at a time, each with its remaining validity.
func (d *VerdictCache) Active(now Micros) (out []Verdict) {
	d.list = slices.DeleteFunc(d.list, func(h HeldVerdict) bool { return now >= h.Until })
	for _, h := range d.list {
		v := h.Verdict
		v.Remaining = h.Until - now
		out = append(out, v)
	}
	return out
}

// RetryAfter returns how long a client of an overloaded hub should wait: base times the
// verdict's factor, spread by the random value chance (0 to 1) so that clients do not
// return at the same time, and at most MaxRetryAfter and, if positive, maxWait.
func (r Rules) RetryAfter(base Micros, factor, chance float64, maxWait Micros) Micros {
	wait := float64(base) * math.Max(1, factor) * (1 + (r.RetrySpread-1)*chance)
	limit := float64(r.MaxRetryAfter)
	if maxWait > 0 {
		limit = math.Min(limit, float64(maxWait))
	}
	return Micros(math.Max(float64(min(base, Micros(limit))), math.Min(wait, limit)))
}
