// Package outlier decides what holds for the whole fleet of boxes, hubs and clients'
// prefixes: fronts have opinions, of what they saw themselves, with evidence that fades;
// a verdict needs witnesses, in more than one site where more than one can tell, holds
// for a span, and is taken back when witnesses change their minds (SWIM's suspicion with
// several witnesses, as Lifeguard has it). No verdict takes more than a stated part of a
// hub's boxes away.
//
// Observer is a front's side, Merge a keeper's, Bench the root's.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Micros is a span, or a moment of one process's own clock, in microseconds.
type Micros = int64

// State is what is said of something.
type State uint8

// The states. Boxes are well, slow or failing; hubs overloaded; prefixes forge.
const (
	Healthy State = iota
	Slow
	Failing
	Overloaded
	Forging
)

var stateNames = [...]string{"well", "slow", "failing", "overloaded", "forges"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Rules are what verdicts go by.
type Rules struct {
	Witnesses       int     // that must say the same
	Span            Micros  // for which a verdict holds after it was last said
	HalfLife        Micros  // half life of evidence
	FailingShare    float64 // share of bad answers
	SlowFactor      float64 // times what the hub takes
	MinAnswers      float64 // answers, decayed, for an opinion
	MaxEjectedShare float64 // part of a hub's boxes that verdicts may take away
	RefusedShare    float64 // share of refused requests of a hub
	ForgedRate      float64 // a second, over the fleet
	MaxRetryAfter   Micros  // the longest that is told
	RetrySpread     float64
}

// Longest is the longest that any verdict holds.
func (r Rules) MaxSpan() Micros { return maxSpanMultiple * r.Span }

// Bounds.
const (
	MaxSubjects     = 2048 // boxes, hubs and prefixes that one process has opinions of
	maxPrefixes     = 256
	maxWitnesses    = 6 // witnesses named of each state
	maxSpanMultiple = 8 // times the span, of a verdict that comes again and again
)

// Witness is a front that says something.
type Witness struct {
	Front    string  `cbor:"1,keyasint"`
	Site     string  `cbor:"2,keyasint"`
	Evidence float64 `cbor:"3,keyasint"`
}

// Opinion is what is said of one thing, by one front or by all of a site.
type Observation struct {
	Subject   string    `cbor:"1,keyasint"`
	Hub       string    `cbor:"2,keyasint,omitempty"` // of a box
	State     State     `cbor:"3,keyasint"`
	Witnesses []Witness `cbor:"4,keyasint"` // some of those who say so, of different sites first
	Count     int       `cbor:"5,keyasint"`
	Rate      float64   `cbor:"6,keyasint,omitempty"` // of forged signatures, a second
}

// key tells opinions apart.
type key struct {
	thing string
	state State
}

// tally is what a front saw of one box.
type boxStats struct {
	hub            string
	good, bad      float64 // answers, by time: how much there is to go by
	failureShare   float64 // of bad ones among the last few, whenever they came: a box that fails is asked less and less
	shareSamples   int
	meanLogLatency float64 // mean of the logarithm of what good answers took, in us
	updatedAt      Micros
}

// lastFew is how many answers the share of bad ones is of, roughly.
const recentAnswers = 3

// Observer is what one front sees. It belongs to one goroutine.
type Observer struct {
	rules     Rules
	boxes     map[string]*boxStats
	prefixes  map[string]*boxStats
	answered  float64 // requests of this front's own clients
	refused   float64
	updatedAt Micros
}

// NewObserver makes one that has seen nothing.
func NewObserver(r Rules) *Observer {
	return &Observer{rules: r, boxes: map[string]*boxStats{}, prefixes: map[string]*boxStats{}}
}

func (o *Observer) decay(span Micros) float64 {
	if span <= 0 {
		return 1
	}
	return math.Exp2(-float64(span) / float64(o.rules.HalfLife))
}

func (o *Observer) stats(m map[string]*boxStats, name string, most int, now Micros) *boxStats {
	t := m[name]
	if t == nil {
		if len(m) >= most {
			maps.DeleteFunc(m, func(_ string, t *boxStats) bool { return (t.good+t.bad)*o.decay(now-t.updatedAt) < 0.5 })
			if len(m) >= most {
				return nil
			}
		}
		t = &boxStats{updatedAt: now}
		m[name] = t
	}
	f := o.decay(now - t.updatedAt)
	t.good, t.bad, t.updatedAt = t.good*f, t.bad*f, now
	return t
}

// Answered notes how an attempt at a box ended, and what it took.
func (o *Observer) RecordAnswer(box, hub string, ok bool, took, now Micros) {
	t := o.stats(o.boxes, box, MaxSubjects, now)
	if t == nil {
		return
	}
	t.hub = hub
	t.shareSamples = min(t.shareSamples+1, recentAnswers)
	if !ok {
		t.bad++
		t.failureShare += (1 - t.failureShare) / float64(t.shareSamples)
		return
	}
	t.failureShare -= t.failureShare / float64(t.shareSamples)
	t.good++
	t.meanLogLatency += (math.Log(float64(max(1, took))) - t.meanLogLatency) / math.Min(t.good, 20)
}

// Forged notes a forged signature from a prefix.
func (o *Observer) RecordForged(prefix string, now Micros) {
	if t := o.stats(o.prefixes, prefix, maxPrefixes, now); t != nil {
		t.bad++
	}
}

// Ended notes a request of this front's clients, answered or refused.
func (o *Observer) RecordRequest(refused bool, now Micros) {
	f := o.decay(now - o.updatedAt)
	o.answered, o.refused, o.updatedAt = o.answered*f, o.refused*f, now
	if refused {
		o.refused++
	} else {
		o.answered++
	}
}

// Of is this front's own opinion of a box now; fresh is false where it has seen too
// little lately to have one.
func (o *Observer) State(box string, now Micros) (s State, fresh bool) {
	t := o.boxes[box]
	if t == nil {
		return Healthy, false
	}
	f := o.decay(now - t.updatedAt)
	if (t.good+t.bad)*f < o.rules.MinAnswers/2 {
		return Healthy, false
	}
	return o.classify(t, o.medianLogLatency(t.hub)), true
}

// usual is what good answers of a hub's boxes take, the median of their means.
func (o *Observer) medianLogLatency(hub string) float64 {
	var list []float64
	for _, t := range o.boxes {
		if t.hub == hub && t.good > 1 {
			list = append(list, t.meanLogLatency)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

func (o *Observer) classify(t *boxStats, usual float64) State {
	switch {
	case t.failureShare >= o.rules.FailingShare:
		return Failing
	case t.good > 0 && usual > 0 && t.meanLogLatency-usual > math.Log(o.rules.SlowFactor):
		return Slow
	}
	return Healthy
}

// Opinions are what this front says now: of boxes that it has seen enough of, of its own
// hub, and of prefixes.
func (o *Observer) Observations(front, site string, now Micros) (list []Observation) {
	usual := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(o.boxes)) {
		t := o.boxes[name]
		weight := (t.good + t.bad) * o.decay(now-t.updatedAt)
		if weight < 0.1 {
			delete(o.boxes, name)
			continue
		}
		if weight < o.rules.MinAnswers {
			continue
		}
		if _, ok := usual[t.hub]; !ok {
			usual[t.hub] = o.medianLogLatency(t.hub)
		}
		list = append(list, Observation{Subject: name, Hub: t.hub, State: o.classify(t, usual[t.hub]), Count: 1, Witnesses: []Witness{{front, site, math.Round(weight)}}})
	}
	for _, name := range slices.Sorted(maps.Keys(o.prefixes)) {
		t := o.prefixes[name]
		rate := t.bad * o.decay(now-t.updatedAt) * math.Ln2 / (float64(o.rules.HalfLife) / 1e6)
		if rate < 0.01 {
			delete(o.prefixes, name)
			continue
		}
		list = append(list, Observation{Subject: name, State: Forging, Count: 1, Rate: rate, Witnesses: []Witness{{front, site, math.Round(t.bad)}}})
	}
	if f := o.decay(now - o.updatedAt); (o.answered+o.refused)*f >= o.rules.MinAnswers && o.refused/(o.answered+o.refused) >= o.rules.RefusedShare {
		list = append(list, Observation{Subject: site, State: Overloaded, Count: 1, Witnesses: []Witness{{front, site, math.Round((o.answered + o.refused) * f)}}})
	}
	return list
}

// Merge adds up what roles say of the same things. One front counts once, whatever it
// says; a site's word stands for its fronts.
func Merge(lists ...[]Observation) (out []Observation) {
	all := map[key]*Observation{}
	for _, list := range lists {
		for _, x := range list[:min(len(list), MaxSubjects)] {
			if x.Count < 1 || x.Count > 1<<20 || !(x.Rate >= 0 && x.Rate < 1e9) {
				continue
			}
			k := key{x.Subject, x.State}
			o := all[k]
			if o == nil {
				if len(all) >= 2*MaxSubjects {
					continue
				}
				o = &Observation{Subject: x.Subject, Hub: x.Hub, State: x.State}
				all[k] = o
			}
			o.Count += x.Count
			o.Rate += x.Rate
			o.Witnesses = append(o.Witnesses, x.Witnesses[:min(len(x.Witnesses), maxWitnesses)]...)
		}
	}
	for _, o := range all {
		o.Witnesses = selectWitnesses(o.Witnesses)
		out = append(out, *o)
	}
	slices.SortFunc(out, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.State, b.State))
	})
	return out
}

// spread keeps some witnesses, one of each site first.
func selectWitnesses(list []Witness) []Witness {
	slices.SortFunc(list, func(a, b Witness) int {
		return cmp.Or(-cmp.Compare(a.Evidence, b.Evidence), cmp.Compare(a.Front, b.Front))
	})
	seen, front := map[string]int{}, map[string]bool{}
	rank := make(map[string]int, len(list))
	kept := list[:0]
	for _, w := range list {
		if front[w.Front] {
			continue
		}
		front[w.Front] = true
		rank[w.Front] = seen[w.Site]
		seen[w.Site]++
		kept = append(kept, w)
	}
	slices.SortStableFunc(kept, func(a, b Witness) int { return cmp.Compare(rank[a.Front], rank[b.Front]) })
	return slices.Clone(kept[:min(len(kept), maxWitnesses)])
}

// sites counts the sites of witnesses.
func countSites(list []Witness) int {
	seen := map[string]bool{}
	for _, w := range list {
		seen[w.Site] = true
	}
	return len(seen)
}
