package outlier

import (
	"cmp"
	"math"
	"slices"
)

// Verdict holds for the whole fleet, for what is left of its span.
type Verdict struct {
	Thing    string    `cbor:"1,keyasint" json:"thing"`
	Hub      string    `cbor:"2,keyasint,omitempty" json:"hub,omitempty"`
	State    State     `cbor:"3,keyasint" json:"-"`
	Number   uint64    `cbor:"4,keyasint" json:"number"`
	Named    []Witness `cbor:"5,keyasint" json:"witnesses"`
	Count    int       `cbor:"6,keyasint" json:"count"`    // of witnesses
	Sites    int       `cbor:"7,keyasint" json:"sites"`    // of those named
	Possible int       `cbor:"8,keyasint" json:"possible"` // sites that could tell
	Left     Micros    `cbor:"9,keyasint" json:"left_us"`  // from when who is told asked
	Span     Micros    `cbor:"10,keyasint" json:"span_us"`
	Factor   float64   `cbor:"11,keyasint,omitempty" json:"factor,omitempty"` // by which return times grow
}

// standing is a verdict as the root has it.
type standing struct {
	v     Verdict
	until Micros // by the root's clock
	times int    // that it came again, for its span
	ended Micros // 0: it holds
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Rule string

// NoWitness has one front's word be enough.
const NoWitness Rule = "witness"

// Bench is the root's: it has verdicts stand on opinions.
type Bench struct {
	rules   Rules
	without Rule
	all     map[key]*standing
	number  uint64
}

// NewBench makes one under a keeper's number, so that numbers only grow.
func NewBench(r Rules, keeper uint64) *Bench {
	return &Bench{rules: r, all: map[key]*standing{}, number: keeper << 24}
}

// Without leaves a rule out.
func (b *Bench) Without(r Rule) { b.without = r }

// Step takes in what the fleet says now, of how many boxes each hub has, and gives the
// verdicts that hold, each with what is left of it.
func (b *Bench) Step(list []Opinion, boxes map[string]int, now Micros) []Verdict {
	well := map[string]Opinion{}
	possible := map[string]map[string]bool{}
	for _, o := range list {
		if o.State == Well {
			well[o.Thing] = o
		}
		for _, w := range o.Named {
			if possible[o.Thing] == nil {
				possible[o.Thing] = map[string]bool{}
			}
			possible[o.Thing][w.Site] = true
		}
	}
	for _, o := range list {
		if o.State == Well || !b.stands(o, well[o.Thing], len(possible[o.Thing])) {
			continue
		}
		b.say(o, len(possible[o.Thing]), now)
	}
	// Witnesses that changed their minds take it back at once.
	for k, s := range b.all {
		if s.ended == 0 && (now >= s.until || k.state != Overloaded && k.state != Forges && well[k.thing].Count > s.v.Count) {
			s.ended = now
		}
		if s.ended != 0 && now-s.ended > mostSpans*b.rules.Span {
			delete(b.all, k)
		}
	}
	return b.hold(boxes, now)
}

// stands tells whether an opinion has the witnesses that it needs.
func (b *Bench) stands(o, well Opinion, possible int) bool {
	if b.without == NoWitness {
		return true
	}
	switch o.State {
	case Forges: // who forges may come to one site alone
		return o.Count >= b.rules.Witnesses && o.Rate >= b.rules.Forged
	case Overloaded: // its own fronts alone can tell
		return o.Count >= b.rules.Witnesses
	}
	return o.Count >= b.rules.Witnesses && o.Count > well.Count && sites(o.Named) >= min(2, possible)
}

func (b *Bench) say(o Opinion, possible int, now Micros) {
	k := key{o.Thing, o.State}
	s := b.all[k]
	switch {
	case s == nil:
		if len(b.all) >= MostThings {
			return
		}
		b.number++
		s = &standing{v: Verdict{Thing: o.Thing, Hub: o.Hub, State: o.State, Number: b.number}}
		b.all[k] = s
	case s.ended != 0: // it comes again: it is tried less often
		b.number++
		s.v.Number, s.ended = b.number, 0
		s.times = min(s.times+1, 3)
	}
	s.v.Named, s.v.Count, s.v.Sites, s.v.Possible = o.Named, o.Count, sites(o.Named), possible
	s.v.Span = min(b.rules.Span<<s.times, mostSpans*b.rules.Span)
	if o.State == Overloaded { // longer the longer it lasts, and shorter by itself when it is over
		s.v.Factor = math.Min(64, math.Max(1, s.v.Factor)*1.1)
		s.v.Span = b.rules.Span
	}
	s.until = now + s.v.Span
}

// hold gives what holds, without emptying any hub: those with the most witnesses first.
func (b *Bench) hold(boxes map[string]int, now Micros) (out []Verdict) {
	var list []*standing
	for _, s := range b.all {
		if s.ended == 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *standing) int {
		return cmp.Or(-cmp.Compare(x.v.State, y.v.State), -cmp.Compare(x.v.Count, y.v.Count), cmp.Compare(x.v.Thing, y.v.Thing))
	})
	taken := map[string]int{}
	for _, s := range list {
		v := s.v
		if v.State == Failing {
			n := boxes[v.Hub]
			if most := min(max(1, int(float64(n)*b.rules.Most)), n-1); taken[v.Hub] >= most { // one of two may go, never the last
				continue
			}
			taken[v.Hub]++
		}
		v.Left = s.until - now
		out = append(out, v)
	}
	return out
}

// Held is a verdict as a front or a site's keeper holds it.
type Held struct {
	Verdict
	Until Micros // by the holder's clock
}

// Docket is the verdicts that one process was told. The zero value holds none.
type Docket struct {
	list []Held
	from Micros // stamp of what told them
}

// Told takes in what a keeper told in answer to a stamp of this process's own clock: so
// none holds longer than the root meant, whatever the way there took. What is older than
// what was told before changes nothing.
func (d *Docket) Told(list []Verdict, stamp, most Micros) {
	if stamp <= d.from {
		return
	}
	d.from, d.list = stamp, d.list[:0]
	for _, v := range list[:min(len(list), MostThings)] {
		if v.Left > 0 {
			d.list = append(d.list, Held{v, stamp + min(v.Left, most)})
		}
	}
}

// Hold gives those that hold at a moment; what is left of each is told on.
func (d *Docket) Hold(now Micros) (out []Verdict) {
	d.list = slices.DeleteFunc(d.list, func(h Held) bool { return now >= h.Until })
	for _, h := range d.list {
		v := h.Verdict
		v.Left = h.Until - now
		out = append(out, v)
	}
	return out
}

// StayAway is how long to tell somebody to stay away whose hub is overloaded: longer by the
// verdict's factor, spread so that not all come back together. Chance is 0 to 1.
func (r Rules) StayAway(base Micros, factor, chance float64, most Micros) Micros {
	away := float64(base) * math.Max(1, factor) * (1 + (r.Spread-1)*chance)
	limit := float64(r.Away)
	if most > 0 {
		limit = math.Min(limit, float64(most))
	}
	return Micros(math.Max(float64(min(base, Micros(limit))), math.Min(away, limit)))
}
