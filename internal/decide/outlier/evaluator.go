package outlier

import (
	"cmp"
	"math"
	"slices"
)

// Verdict holds for the whole fleet, for what is left of its span.
type Verdict struct {
	Subject       string    `cbor:"1,keyasint" json:"thing"`
	Hub           string    `cbor:"2,keyasint,omitempty" json:"hub,omitempty"`
	State         State     `cbor:"3,keyasint" json:"-"`
	Number        uint64    `cbor:"4,keyasint" json:"number"`
	Witnesses     []Witness `cbor:"5,keyasint" json:"witnesses"`
	Count         int       `cbor:"6,keyasint" json:"count"`    // of witnesses
	Sites         int       `cbor:"7,keyasint" json:"sites"`    // of those named
	PossibleSites int       `cbor:"8,keyasint" json:"possible"` // sites that could tell
	Remaining     Micros    `cbor:"9,keyasint" json:"left_us"`  // from when who is told asked
	Span          Micros    `cbor:"10,keyasint" json:"span_us"`
	Factor        float64   `cbor:"11,keyasint,omitempty" json:"factor,omitempty"` // by which return times grow
}

// standing is a verdict as the root has it.
type verdictState struct {
	verdict  Verdict
	until    Micros // by the root's clock
	renewals int    // that it came again, for its span
	endedAt  Micros // 0: it holds
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Mutation string

// NoWitness has one front's word be enough.
const DisableWitnesses Mutation = "witness"

// Bench is the root's: it has verdicts stand on opinions.
type Evaluator struct {
	rules      Rules
	mutation   Mutation
	verdicts   map[key]*verdictState
	lastNumber uint64
}

// NewBench makes one under a keeper's number, so that numbers only grow.
func NewEvaluator(r Rules, keeper uint64) *Evaluator {
	return &Evaluator{rules: r, verdicts: map[key]*verdictState{}, lastNumber: keeper << 24}
}

// Without leaves a rule out.
func (b *Evaluator) Disable(r Mutation) { b.mutation = r }

// Step takes in what the fleet says now, of how many boxes each hub has, and gives the
// verdicts that hold, each with what is left of it.
func (b *Evaluator) Step(list []Observation, boxes map[string]int, now Micros) []Verdict {
	well := map[string]Observation{}
	possible := map[string]map[string]bool{}
	for _, o := range list {
		if o.State == Healthy {
			well[o.Subject] = o
		}
		for _, w := range o.Witnesses {
			if possible[o.Subject] == nil {
				possible[o.Subject] = map[string]bool{}
			}
			possible[o.Subject][w.Site] = true
		}
	}
	for _, o := range list {
		if o.State == Healthy || !b.hasQuorum(o, well[o.Subject], len(possible[o.Subject])) {
			continue
		}
		b.renew(o, len(possible[o.Subject]), now)
	}
	// Witnesses that changed their minds take it back at once.
	for k, s := range b.verdicts {
		if s.endedAt == 0 && (now >= s.until || k.state != Overloaded && k.state != Forging && well[k.thing].Count > s.verdict.Count) {
			s.endedAt = now
		}
		if s.endedAt != 0 && now-s.endedAt > maxSpanMultiple*b.rules.Span {
			delete(b.verdicts, k)
		}
	}
	return b.active(boxes, now)
}

// stands tells whether an opinion has the witnesses that it needs.
func (b *Evaluator) hasQuorum(o, well Observation, possible int) bool {
	if b.mutation == DisableWitnesses {
		return true
	}
	switch o.State {
	case Forging: // who forges may come to one site alone
		return o.Count >= b.rules.Witnesses && o.Rate >= b.rules.ForgedRate
	case Overloaded: // its own fronts alone can tell
		return o.Count >= b.rules.Witnesses
	}
	return o.Count >= b.rules.Witnesses && o.Count > well.Count && countSites(o.Witnesses) >= min(2, possible)
}

func (b *Evaluator) renew(o Observation, possible int, now Micros) {
	k := key{o.Subject, o.State}
	s := b.verdicts[k]
	switch {
	case s == nil:
		if len(b.verdicts) >= MaxSubjects {
			return
		}
		b.lastNumber++
		s = &verdictState{verdict: Verdict{Subject: o.Subject, Hub: o.Hub, State: o.State, Number: b.lastNumber}}
		b.verdicts[k] = s
	case s.endedAt != 0: // it comes again: it is tried less often
		b.lastNumber++
		s.verdict.Number, s.endedAt = b.lastNumber, 0
		s.renewals = min(s.renewals+1, 3)
	}
	s.verdict.Witnesses, s.verdict.Count, s.verdict.Sites, s.verdict.PossibleSites = o.Witnesses, o.Count, countSites(o.Witnesses), possible
	s.verdict.Span = min(b.rules.Span<<s.renewals, maxSpanMultiple*b.rules.Span)
	if o.State == Overloaded { // longer the longer it lasts, and shorter by itself when it is over
		s.verdict.Factor = math.Min(64, math.Max(1, s.verdict.Factor)*1.1)
		s.verdict.Span = b.rules.Span
	}
	s.until = now + s.verdict.Span
}

// hold gives what holds, without emptying any hub: those with the most witnesses first.
func (b *Evaluator) active(boxes map[string]int, now Micros) (out []Verdict) {
	var list []*verdictState
	for _, s := range b.verdicts {
		if s.endedAt == 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *verdictState) int {
		return cmp.Or(-cmp.Compare(x.verdict.State, y.verdict.State), -cmp.Compare(x.verdict.Count, y.verdict.Count), cmp.Compare(x.verdict.Subject, y.verdict.Subject))
	})
	taken := map[string]int{}
	for _, s := range list {
		v := s.verdict
		if v.State == Failing {
			n := boxes[v.Hub]
			if most := min(max(1, int(float64(n)*b.rules.MaxEjectedShare)), n-1); taken[v.Hub] >= most { // one of two may go, never the last
				continue
			}
			taken[v.Hub]++
		}
		v.Remaining = s.until - now
		out = append(out, v)
	}
	return out
}

// Held is a verdict as a front or a site's keeper holds it.
type HeldVerdict struct {
	Verdict
	Until Micros // by the holder's clock
}

// Docket is the verdicts that one process was told. The zero value holds none.
type VerdictCache struct {
	list  []HeldVerdict
	stamp Micros // stamp of what told them
}

// Told takes in what a keeper told in answer to a stamp of this process's own clock: so
// none holds longer than the root meant, whatever the way there took. What is older than
// what was told before changes nothing.
func (d *VerdictCache) Update(list []Verdict, stamp, most Micros) {
	if stamp <= d.stamp {
		return
	}
	d.stamp, d.list = stamp, d.list[:0]
	for _, v := range list[:min(len(list), MaxSubjects)] {
		if v.Remaining > 0 {
			d.list = append(d.list, HeldVerdict{v, stamp + min(v.Remaining, most)})
		}
	}
}

// Hold gives those that hold at a moment; what is left of each is told on.
func (d *VerdictCache) Active(now Micros) (out []Verdict) {
	d.list = slices.DeleteFunc(d.list, func(h HeldVerdict) bool { return now >= h.Until })
	for _, h := range d.list {
		v := h.Verdict
		v.Remaining = h.Until - now
		out = append(out, v)
	}
	return out
}

// StayAway is how long to tell somebody to stay away whose hub is overloaded: longer by the
// verdict's factor, spread so that not all come back together. Chance is 0 to 1.
func (r Rules) RetryAfter(base Micros, factor, chance float64, most Micros) Micros {
	away := float64(base) * math.Max(1, factor) * (1 + (r.RetrySpread-1)*chance)
	limit := float64(r.MaxRetryAfter)
	if most > 0 {
		limit = math.Min(limit, float64(most))
	}
	return Micros(math.Max(float64(min(base, Micros(limit))), math.Min(away, limit)))
}
