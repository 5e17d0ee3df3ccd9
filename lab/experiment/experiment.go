// Package experiment compares two builds or settings on the same simulated days. Days
// are paired by scenario and seed, and effects have confidence intervals, since days
// differ far more than builds.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"

	"cherryramp/lab/world"
)

// Measures are the metrics that days are compared by. Higher is better for all of them.
var Measures = []struct {
	Name string
	Of   func(r *world.Result) float64
}{
	{"G", func(r *world.Result) float64 { return r.G }},
	{"service", func(r *world.Result) float64 { return r.Service }},
	{"worst 10 s", func(r *world.Result) float64 { return r.WorstTen }},
	{"hits", func(r *world.Result) float64 { return r.Hits() }},
	{"bytes not from the store", func(r *world.Result) float64 { return 1 - r.OriginBytes/max(1, r.SentBytes) }},
	{"tries not refused or failed", func(r *world.Result) float64 {
		n := 0
		for i := range r.Refused {
			n += r.Refused[i] + r.Failed[i]
		}
		return 1 - float64(n)/float64(max(1, r.Tries))
	}},
	{"requests without a fill", func(r *world.Result) float64 { return 1 - float64(r.Fills)/float64(max(1, r.Requests())) }},
	{"promises broken", func(r *world.Result) float64 { return -float64(len(r.Violations)) }},
}

// Effect is the difference that the second of two arms makes in a measure.
type Effect struct {
	Measure           string
	Pairs             int
	A, B              float64 // means
	Mean              float64 // mean of the differences
	Low, High         float64 // 95% interval of the means of resampled differences
	Better, Differing int     // pairs in which B is better, and in which they differ
}

// Verdict returns the conclusion: alike, too few, better, worse or can't tell.
func (e Effect) Verdict() string {
	switch {
	case e.Differing == 0:
		return "alike"
	case e.Pairs < minPairs:
		return "too few"
	case e.Low > 0:
		return "better"
	case e.High < 0:
		return "worse"
	}
	return "can't tell"
}

func (e Effect) String() string {
	return fmt.Sprintf("%-26s %8.4f %8.4f  %+.4f (%+.4f to %+.4f)  better on %d of %d that differ: %s", e.Measure, e.A, e.B, e.Mean, e.Low, e.High,
		e.Better, e.Differing, e.Verdict())
}

const (
	resamples = 4000
	minPairs  = 5 // below this an interval is meaningless
)

// Pair is a day played by both arms.
type Pair struct {
	File string
	Seed uint64
	A, B *world.Result
}

// Pairs pairs the days of two arms by scenario and seed, and counts the days that only one of them has.
func Pairs(a, b []Day) (pairs []Pair, unpaired int, err error) {
	type key struct {
		file string
		seed uint64
	}
	unmatched := map[key]*world.Result{}
	for _, d := range a {
		k := key{d.File, d.Seed}
		if unmatched[k] != nil {
			return nil, 0, fmt.Errorf("experiment: duplicate day: %s with seed %d", d.File, d.Seed)
		}
		unmatched[k] = d.Result
	}
	for _, d := range b {
		if r := unmatched[key{d.File, d.Seed}]; r != nil {
			pairs = append(pairs, Pair{d.File, d.Seed, r, d.Result})
			delete(unmatched, key{d.File, d.Seed})
		} else {
			unpaired++
		}
	}
	return pairs, unpaired + len(unmatched), nil
}

// Compare returns the effect on each measure over all pairs.
func Compare(pairs []Pair) (effects []Effect, err error) {
	if len(pairs) < minPairs {
		return nil, fmt.Errorf("experiment: %d days are in both arms, at least %d are required", len(pairs), minPairs)
	}
	for _, m := range Measures {
		effects = append(effects, newEffect(m.Name, m.Of, pairs))
	}
	return effects, nil
}

// ByFile returns the effect on one measure for each scenario. With too few pairs the
// interval is unbounded.
func ByFile(measure string, pairs []Pair) (files []string, effects []Effect) {
	byFile := map[string][]Pair{}
	for _, p := range pairs {
		if byFile[p.File] == nil {
			files = append(files, p.File)
		}
		byFile[p.File] = append(byFile[p.File], p)
	}
	slices.Sort(files)
	for _, f := range files {
		for _, m := range Measures {
			if m.Name == measure {
				effects = append(effects, newEffect(f, m.Of, byFile[f]))
			}
		}
	}
	return files, effects
}

func newEffect(name string, of func(r *world.Result) float64, pairs []Pair) Effect {
	e := Effect{Measure: name, Pairs: len(pairs)}
	strata, n := map[string]int{}, float64(len(pairs))
	var diffs [][]float64
	for _, p := range pairs {
		x, y := of(p.A), of(p.B)
		e.A, e.B = e.A+x/n, e.B+y/n
		if y != x {
			e.Differing++
		}
		if y > x {
			e.Better++
		}
		i, ok := strata[p.File]
		if !ok {
			i = len(diffs)
			strata[p.File], diffs = i, append(diffs, nil)
		}
		diffs[i] = append(diffs[i], y-x)
	}
	e.Mean = e.B - e.A
	e.Low, e.High = bootstrap(diffs)
	return e
}

// bootstrap returns the central 95% of the means of resampled values (Efron, 1979). It
// is deterministic. Where each scenario has several seeds, values are resampled within
// each scenario, as the scenarios are fixed and not a sample; otherwise among all,
// which can only widen the interval.
func bootstrap(strata [][]float64) (low, high float64) {
	n := 0
	for _, s := range strata {
		n += len(s)
	}
	if n < minPairs {
		return math.Inf(-1), math.Inf(1)
	}
	for _, s := range strata {
		if len(s) < 2 {
			strata = [][]float64{slices.Concat(strata...)}
			break
		}
	}
	r := rand.New(rand.NewPCG(1, uint64(n)))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for _, s := range strata {
			for range s {
				sum += s[r.IntN(len(s))]
			}
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
