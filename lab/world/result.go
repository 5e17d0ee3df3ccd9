package world

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Stats are a day's counts. Slices go by class.
type Stats struct {
	Asked, Served, Refused, Failed, GaveUp, Lost []int // Refused and Failed count tries
	Tries, Attempts, Reset, InTime, Late         int
	Fills, Origin, Denied, Falls, MostHeld       int
	Worth, Earned                                float64
	FillBytes, OriginBytes, SentBytes            float64
	Words, Notes                                 map[string]int
	Broken                                       map[Property]int
	Reasons                                      map[string]int // of tries refused and failed
	Seconds                                      []Second
	Nodes                                        []Node // none in large worlds
}

// Second is one second of the day.
type Second struct {
	Asked, Earned               float64 // worth, by when requests were first asked
	Refused, Failed, Attempts   int     // tries that ended so, and attempts that left
	Origin, Denied              int     // calls that the store took and turned away
	Held, MemoryKB, Descriptors int     // the most of one front
}

// Node is a server over the day.
type Node struct {
	Name string
	Load []float64 // second by second, the share of its link that was used
}

// fewNodes is how many servers a world has at most whose loads are kept.
const fewNodes = 64

func (s *Stats) init(classes int) {
	for _, x := range []*[]int{&s.Asked, &s.Served, &s.Refused, &s.Failed, &s.GaveUp, &s.Lost} {
		*x = make([]int, classes)
	}
	s.Words, s.Notes, s.Reasons, s.Broken = map[string]int{}, map[string]int{}, map[string]int{}, map[Property]int{}
}

// second gives the second of the day that a moment lies in; what lies before the
// day goes nowhere.
func (w *World) second(at Micros) *Second {
	if at < w.began {
		return &Second{}
	}
	n := int((at - w.began) / second)
	for len(w.stats.Seconds) <= n {
		w.stats.Seconds = append(w.stats.Seconds, Second{})
	}
	return &w.stats.Seconds[n]
}

// sample notes how much the servers' links carried in the last second.
func (w *World) sample() {
	if len(w.servers) > fewNodes || w.loop.Now() >= w.ends {
		return
	}
	for i, s := range w.servers {
		s.out.catchUp()
		if len(w.stats.Nodes) <= i {
			w.stats.Nodes = append(w.stats.Nodes, Node{Name: s.name})
			s.out.carried = 0
			continue
		}
		w.stats.Nodes[i].Load = append(w.stats.Nodes[i].Load, math.Round(1000*s.out.carried/(s.size*w.spec.Flow))/1000)
		s.out.carried = 0
	}
	w.after(second, w.sample)
}

// Result is what came of a day.
type Result struct {
	Stats
	Classes    []string
	P50, P99   []Micros   // of served requests, from their first try
	Times      [][]Micros // by class, at the Quantiles
	Violations []Violation
	Digest     uint64 // of all answers; alike days have like ones
	Service    float64
	WorstTen   float64 // worst 10 s
	WorstClass float64
	G          float64 // as the operators score a day, but for what the model does not have
}

// Quantiles are those that a result has of the times of each class, in percent.
var Quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 75, 80, 85, 90, 92, 94, 96, 97, 98, 99, 99.5, 99.9, 100}

// Weights of G, from the operators' page.
const (
	wholeWeight, tenWeight, classWeight = 0.6, 0.2, 0.2
	originPrice, fillPrice, wastePrice  = 0.25, 0.02, 0.22
	tenSeconds                          = 10
)

func (w *World) result() *Result {
	r := &Result{Stats: w.stats, Violations: w.violations, Digest: w.digest.Sum64(), WorstTen: 1, WorstClass: 1}
	for i, c := range w.spec.Classes {
		r.Classes = append(r.Classes, c.Name)
		r.P50 = append(r.P50, w.times[i].ValueAtQuantile(50))
		r.P99 = append(r.P99, w.times[i].ValueAtQuantile(99))
		var times []Micros
		for _, q := range Quantiles {
			times = append(times, w.times[i].ValueAtQuantile(q))
		}
		r.Times = append(r.Times, times)
		if r.Asked[i] > 50 {
			r.WorstClass = min(r.WorstClass, float64(r.Served[i])/float64(r.Asked[i]))
		}
	}
	r.Service = r.Earned / math.Max(1, r.Worth)
	var asked, earned float64
	for i, s := range r.Seconds {
		asked, earned = asked+s.Asked, earned+s.Earned
		if i >= tenSeconds {
			asked, earned = asked-r.Seconds[i-tenSeconds].Asked, earned-r.Seconds[i-tenSeconds].Earned
		}
		if i >= tenSeconds-1 && asked > 0 && i < len(r.Seconds)-int(drained/second) {
			r.WorstTen = min(r.WorstTen, earned/asked)
		}
	}
	bytes := math.Max(1, r.SentBytes)
	r.G = wholeWeight*r.Service + tenWeight*r.WorstTen + classWeight*r.WorstClass - originPrice*r.OriginBytes/bytes - fillPrice*r.FillBytes/bytes
	return r
}

// Requests counts what clients asked for, without their further tries.
func (r *Result) Requests() (n int) {
	for _, x := range r.Asked {
		n += x
	}
	return n
}

// Hits is the share of served answers that a server had.
func (r *Result) Hits() float64 { return float64(r.Notes[warm]) / math.Max(1, float64(r.Words["ok"])) }

// String tells of a day in a few lines.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "G %.3f  service %.3f  worst 10 s %.3f  worst class %.3f  %d requests, %d tries, %d attempts\n", r.G, r.Service, r.WorstTen,
		r.WorstClass, r.Requests(), r.Tries, r.Attempts)
	for i, c := range r.Classes {
		fmt.Fprintf(&b, "  %-16s asked %d, served %d, gave up %d; tries refused %d, failed %d; p50 %d ms, p99 %d ms\n", c, r.Asked[i], r.Served[i],
			r.GaveUp[i], r.Refused[i], r.Failed[i], r.P50[i]/milli, r.P99[i]/milli)
	}
	fmt.Fprintf(&b, "  hits %.3f, fills %d, at the origin %d (turned away %d), bytes of it %.3f; falls %d; most held %d; %v\n", r.Hits(), r.Fills,
		r.Origin, r.Denied, r.OriginBytes/math.Max(1, r.SentBytes), r.Falls, r.MostHeld, r.Notes)
	for _, p := range slices.Sorted(maps.Keys(r.Broken)) {
		fmt.Fprintf(&b, "  BROKEN %d times: %s\n", r.Broken[p], p)
	}
	fmt.Fprintf(&b, "  digest %016x\n", r.Digest)
	return b.String()
}
