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
type standing struct {
	v     Verdict
	until Micros // by the root's clock
	times int    // that it came again, for its span
	ended Micros // 0: it holds
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Mutation string

// NoWitness has one front's word be enough.
const DisableWitnesses Mutation = "witness"

// Bench is the root's: it has verdicts stand on opinions.
type Evaluator struct {
	rules   Rules
	without Mutation
	all     map[key]*standing
	number  uint64
}

// NewBench makes one under a keeper's number, so that numbers only grow.
func NewEvaluator(r Rules, keeper uint64) *Evaluator {
	return &Evaluator{rules: r, all: map[key]*standing{}, number: keeper << 24}
}

// Without leaves a rule out.
func (b *Evaluator) Disable(r Mutation) { b.without = r }

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
		if o.State == Healthy || !b.stands(o, well[o.Subject], len(possible[o.Subject])) {
			continue
		}
		b.say(o, len(possible[o.Subject]), now)
	}
	// Witnesses that changed their minds take it back at once.
	for k, s := range b.all {
		if s.ended == 0 && (now >= s.until || k.state != Overloaded && k.state != Forging && well[k.thing].Count > s.v.Count) {
			s.ended = now
		}
		if s.ended != 0 && now-s.ended > mostSpans*b.rules.Span {
			delete(b.all, k)
		}
	}
	return b.hold(boxes, now)
}

// stands tells whether an opinion has the witnesses that it needs.
func (b *Evaluator) stands(o, well Observation, possible int) bool {
	if b.without == DisableWitnesses {
		return true
	}
	switch o.State {
	case Forging: // who forges may come to one site alone
		return o.Count >= b.rules.Witnesses && o.Rate >= b.rules.ForgedRate
	case Overloaded: // its own fronts alone can tell
		return o.Count >= b.rules.Witnesses
	}
	return o.Count >= b.rules.Witnesses && o.Count > well.Count && sites(o.Witnesses) >= min(2, possible)
}

func (b *Evaluator) say(o Observation, possible int, now Micros) {
	k := key{o.Subject, o.State}
	s := b.all[k]
	switch {
	case s == nil:
		if len(b.all) >= MaxSubjects {
			return
		}
		b.number++
		s = &standing{v: Verdict{Subject: o.Subject, Hub: o.Hub, State: o.State, Number: b.number}}
		b.all[k] = s
	case s.ended != 0: // it comes again: it is tried less often
		b.number++
		s.v.Number, s.ended = b.number, 0
		s.times = min(s.times+1, 3)
	}
	s.v.Witnesses, s.v.Count, s.v.Sites, s.v.PossibleSites = o.Witnesses, o.Count, sites(o.Witnesses), possible
	s.v.Span = min(b.rules.Span<<s.times, mostSpans*b.rules.Span)
	if o.State == Overloaded { // longer the longer it lasts, and shorter by itself when it is over
		s.v.Factor = math.Min(64, math.Max(1, s.v.Factor)*1.1)
		s.v.Span = b.rules.Span
	}
	s.until = now + s.v.Span
}

// hold gives what holds, without emptying any hub: those with the most witnesses first.
func (b *Evaluator) hold(boxes map[string]int, now Micros) (out []Verdict) {
	var list []*standing
	for _, s := range b.all {
		if s.ended == 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *standing) int {
		return cmp.Or(-cmp.Compare(x.v.State, y.v.State), -cmp.Compare(x.v.Count, y.v.Count), cmp.Compare(x.v.Subject, y.v.Subject))
	})
	taken := map[string]int{}
	for _, s := range list {
		v := s.v
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
	list []HeldVerdict
	from Micros // stamp of what told them
}

// Told takes in what a keeper told in answer to a stamp of this process's own clock: so
// none holds longer than the root meant, whatever the way there took. What is older than
// what was told before changes nothing.
func (d *VerdictCache) Update(list []Verdict, stamp, most Micros) {
	if stamp <= d.from {
		return
	}
	d.from, d.list = stamp, d.list[:0]
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
