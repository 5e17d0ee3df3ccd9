// Package outlier detects failing boxes, overloaded hubs and client prefixes that forge
// signatures, for the whole fleet. Fronts make observations from their own requests, with
// evidence that decays. A verdict needs several witnesses, from more than one site if
// more than one site has observations; it expires, and ends early when its witnesses no
// longer agree (SWIM's suspicion with several witnesses, as in Lifeguard). Verdicts never
// remove more than a configured share of a hub's boxes.
//
// Observer runs in each front, Merge in each site's owner, Evaluator in the root's owner.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Micros is a duration, or a time on the process's own clock, in microseconds.
type Micros = int64

// State is the observed state of a subject.
type State uint8

// The states. Boxes are healthy, slow or failing; hubs are overloaded; prefixes are
// forging.
const (
	Healthy State = iota
	Slow
	Failing
	Overloaded
	Forging
)

var stateNames = [...]string{"well", "slow", "failing", "overloaded", "forges"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Rules are the parameters of observations and verdicts.
type Rules struct {
	Witnesses       int     // fronts that must observe the same state
	Span            Micros  // validity of a verdict after the last observation that supports it
	HalfLife        Micros  // half-life of evidence
	FailingShare    float64 // share of failed answers from which a box is failing
	SlowFactor      float64 // multiple of the hub's median latency from which a box is slow
	MinAnswers      float64 // decayed number of answers needed for an observation
	MaxEjectedShare float64 // share of a hub's boxes that verdicts may remove
	RefusedShare    float64 // share of refused requests from which a hub is overloaded
	ForgedRate      float64 // forged signatures per second over the fleet from which a prefix is forging
	MaxRetryAfter   Micros  // longest wait that clients are told
	RetrySpread     float64
}

// MaxSpan returns the longest validity of any verdict.
func (r Rules) MaxSpan() Micros { return maxSpanMultiple * r.Span }

// Limits.
const (
	MaxSubjects     = 2048 // boxes, hubs and prefixes with observations in one process
	maxPrefixes     = 256
	maxWitnesses    = 6 // witnesses listed per observation
	maxSpanMultiple = 8 // longest span of a repeated verdict, as a multiple of Rules.Span
)

// Witness is a front that made an observation.
type Witness struct {
	Front    string  `cbor:"1,keyasint"`
	Site     string  `cbor:"2,keyasint"`
	Evidence float64 `cbor:"3,keyasint"`
}

// Observation is the state of one subject as observed by one front, or by all fronts of a
// site.
type Observation struct {
	Subject   string    `cbor:"1,keyasint"`
	Hub       string    `cbor:"2,keyasint,omitempty"` // the hub of a box
	State     State     `cbor:"3,keyasint"`
	Witnesses []Witness `cbor:"4,keyasint"` // some of the witnesses, from different sites first
	Count     int       `cbor:"5,keyasint"`
	Rate      float64   `cbor:"6,keyasint,omitempty"` // forged signatures per second
}

// key identifies an observation or verdict.
type key struct {
	subject string
	state   State
}

// boxStats is what a front has observed of one box or prefix.
type boxStats struct {
	hub            string
	good, bad      float64 // decayed numbers of answers
	failureShare   float64 // failed share of the last few answers, regardless of their age, since a failing box gets fewer and fewer requests
	shareSamples   int
	meanLogLatency float64 // mean logarithm of the latency of successful answers in microseconds
	updatedAt      Micros
}

// recentAnswers is roughly the number of answers over which failureShare is averaged.
const recentAnswers = 3

// Observer collects what one front observes. It must be used by one goroutine only.
type Observer struct {
	rules     Rules
	boxes     map[string]*boxStats
	prefixes  map[string]*boxStats
	answered  float64 // decayed requests of this front's clients that were not refused
	refused   float64
	updatedAt Micros
}

// NewObserver returns an Observer without observations.
func NewObserver(r Rules) *Observer {
	return &Observer{rules: r, boxes: map[string]*boxStats{}, prefixes: map[string]*boxStats{}}
}

func (o *Observer) decay(span Micros) float64 {
	if span <= 0 {
		return 1
	}
	return math.Exp2(-float64(span) / float64(o.rules.HalfLife))
}

func (o *Observer) stats(m map[string]*boxStats, name string, maxEntries int, now Micros) *boxStats {
	t := m[name]
	if t == nil {
		if len(m) >= maxEntries {
			maps.DeleteFunc(m, func(_ string, t *boxStats) bool { return (t.good+t.bad)*o.decay(now-t.updatedAt) < 0.5 })
			if len(m) >= maxEntries {
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

// RecordAnswer records the outcome of an attempt at a box and its duration.
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

// RecordForged records a forged signature from a prefix.
func (o *Observer) RecordForged(prefix string, now Micros) {
	if t := o.stats(o.prefixes, prefix, maxPrefixes, now); t != nil {
		t.bad++
	}
}

// RecordRequest records a request of this front's clients, answered or refused.
func (o *Observer) RecordRequest(refused bool, now Micros) {
	f := o.decay(now - o.updatedAt)
	o.answered, o.refused, o.updatedAt = o.answered*f, o.refused*f, now
	if refused {
		o.refused++
	} else {
		o.answered++
	}
}

// State returns the state of a box as observed by this front alone; fresh is false if there
// is too little recent evidence.
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

// medianLogLatency returns the median of the mean log latencies of a hub's boxes.
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

func (o *Observer) classify(t *boxStats, hubMedian float64) State {
	switch {
	case t.failureShare >= o.rules.FailingShare:
		return Failing
	case t.good > 0 && hubMedian > 0 && t.meanLogLatency-hubMedian > math.Log(o.rules.SlowFactor):
		return Slow
	}
	return Healthy
}

// Observations returns this front's current observations of boxes with enough evidence, of
// its own hub, and of prefixes, and removes entries whose evidence has decayed.
func (o *Observer) Observations(front, site string, now Micros) (list []Observation) {
	hubMedians := map[string]float64{}
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
		if _, ok := hubMedians[t.hub]; !ok {
			hubMedians[t.hub] = o.medianLogLatency(t.hub)
		}
		list = append(list, Observation{Subject: name, Hub: t.hub, State: o.classify(t, hubMedians[t.hub]), Count: 1, Witnesses: []Witness{{front, site, math.Round(weight)}}})
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

// Merge adds up the observations of several roles by subject and state. Each list comes
// from one front or from one site, whose counts stand for its fronts.
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

// selectWitnesses returns up to maxWitnesses witnesses: the one with the most evidence of
// each site first, then the others.
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

// countSites returns the number of distinct sites of the witnesses.
func countSites(list []Witness) int {
	seen := map[string]bool{}
	for _, w := range list {
		seen[w.Site] = true
	}
	return len(seen)
}
