package world

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Stats are a day's counts. Slices are indexed by class.
type Stats struct {
	Asked, Served, Refused, Failed, GaveUp, Lost []int // Refused and Failed count tries
	Tries, Attempts, Reset, InTime, Late         int
	Fills, Origin, Denied, Falls, MostHeld       int
	Worth, Earned                                float64
	FillBytes, OriginBytes, SentBytes            float64
	Words, Notes                                 map[string]int
	Broken                                       map[Property]int
	Reasons                                      map[string]int // of tries that were refused or failed
	Seconds                                      []Second
	Nodes                                        []Node // nil in large worlds
}

// Second holds the counts of one second of the day.
type Second struct {
	Asked, Earned               float64 // worth, by the time of a request's first try
	Refused, Failed, Attempts   int     // tries with that outcome, and attempts sent by fronts
	Origin, Denied              int     // calls that the store accepted and turned away
	Held, MemoryKB, Descriptors int     // maximum over the fronts
}

// Node is a server's load over the day.
type Node struct {
	Name string
	Load []float64 // per second, the used fraction of its link
}

// maxSampledNodes is the number of servers up to which loads are recorded.
const maxSampledNodes = 64

func (s *Stats) init(classes int) {
	for _, x := range []*[]int{&s.Asked, &s.Served, &s.Refused, &s.Failed, &s.GaveUp, &s.Lost} {
		*x = make([]int, classes)
	}
	s.Words, s.Notes, s.Reasons, s.Broken = map[string]int{}, map[string]int{}, map[string]int{}, map[Property]int{}
}

// second returns the counts of the second of a moment; those of moments before the day
// are discarded.
func (w *World) second(at Micros) *Second {
	if at < w.start {
		return &Second{}
	}
	n := int((at - w.start) / second)
	for len(w.stats.Seconds) <= n {
		w.stats.Seconds = append(w.stats.Seconds, Second{})
	}
	return &w.stats.Seconds[n]
}

// sampleLoads records how much the servers' links carried in the last second.
func (w *World) sampleLoads() {
	if len(w.servers) > maxSampledNodes || w.loop.Now() >= w.end {
		return
	}
	for i, s := range w.servers {
		s.out.advance()
		if len(w.stats.Nodes) <= i {
			w.stats.Nodes = append(w.stats.Nodes, Node{Name: s.name})
			s.out.totalBytes = 0
			continue
		}
		w.stats.Nodes[i].Load = append(w.stats.Nodes[i].Load, math.Round(1000*s.out.totalBytes/(s.size*w.spec.Flow))/1000)
		s.out.totalBytes = 0
	}
	w.after(second, w.sampleLoads)
}

// Result is the outcome of a day.
type Result struct {
	Stats
	Classes    []string
	P50, P99   []Micros   // of served requests, from their first try
	Times      [][]Micros // by class, at the Quantiles
	Violations []Violation
	Digest     uint64 // of all answers; equal histories have equal digests
	Service    float64
	WorstTen   float64 // of any 10 s
	WorstClass float64
	G          float64 // the operators' score of a day, without the terms that the model lacks
}

// Quantiles are the percentiles that a result holds of each class's latencies.
var Quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 75, 80, 85, 90, 92, 94, 96, 97, 98, 99, 99.5, 99.9, 100}

// Weights of G, from the operators' page.
const (
	serviceWeight, worstTenWeight, worstClassWeight = 0.6, 0.2, 0.2
	originPrice, fillPrice, wastePrice              = 0.25, 0.02, 0.22
	tenSeconds                                      = 10
)

func (w *World) result() *Result {
	r := &Result{Stats: w.stats, Violations: w.violations, Digest: w.digest.Sum64(), WorstTen: 1, WorstClass: 1}
	for i, c := range w.spec.Classes {
		r.Classes = append(r.Classes, c.Name)
		r.P50 = append(r.P50, w.latencies[i].ValueAtQuantile(50))
		r.P99 = append(r.P99, w.latencies[i].ValueAtQuantile(99))
		var times []Micros
		for _, q := range Quantiles {
			times = append(times, w.latencies[i].ValueAtQuantile(q))
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
		if i >= tenSeconds-1 && asked > 0 && i < len(r.Seconds)-int(drainTimeout/second) {
			r.WorstTen = min(r.WorstTen, earned/asked)
		}
	}
	bytes := math.Max(1, r.SentBytes)
	r.G = serviceWeight*r.Service + worstTenWeight*r.WorstTen + worstClassWeight*r.WorstClass - originPrice*r.OriginBytes/bytes - fillPrice*r.FillBytes/bytes
	return r
}

// Requests is the number of requests without retries.
func (r *Result) Requests() (n int) {
	for _, x := range r.Asked {
		n += x
	}
	return n
}

// Hits is the fraction of served replies that came from a server's cache.
func (r *Result) Hits() float64 {
	return float64(r.Notes[noteWarm]) / math.Max(1, float64(r.Words["ok"]))
}

// String summarizes a day in a few lines.
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
