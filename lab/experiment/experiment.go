// Package experiment compares what two builds or settings made of the same days: by
// pairs, a day and a seed each, and with an interval, since single days tell little.
package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"

	"cherryramp/lab/world"
)

// Day is one day that was played.
type Day struct {
	File   string
	Seed   uint64
	Result *world.Result
}

// Measures are what days are compared by; more is better in all of them.
var Measures = []struct {
	Name string
	Of   func(r *world.Result) float64
}{
	{"G", func(r *world.Result) float64 { return r.G }},
	{"service", func(r *world.Result) float64 { return r.Service }},
	{"worst 10 s", func(r *world.Result) float64 { return r.WorstTen }},
	{"hits", func(r *world.Result) float64 { return r.Hits() }},
	{"bytes not from the store", func(r *world.Result) float64 { return 1 - r.OriginBytes/max(1, r.SentBytes) }},
	{"promises broken", func(r *world.Result) float64 { return -float64(len(r.Violations)) }},
}

// Effect is what the second of two builds makes of a measure, over the first.
type Effect struct {
	Measure     string
	Pairs       int
	A, B        float64 // means
	Mean        float64 // of the differences
	Low, High   float64 // 95% of the means of resampled differences
	Better, All int     // pairs in which B is better, and in which they differ
}

// Verdict says what can be said.
func (e Effect) Verdict() string {
	switch {
	case e.All == 0:
		return "alike"
	case e.Low > 0:
		return "better"
	case e.High < 0:
		return "worse"
	}
	return "can't tell"
}

func (e Effect) String() string {
	return fmt.Sprintf("%-26s %8.4f %8.4f  %+.4f (%+.4f to %+.4f)  better on %d of %d that differ: %s", e.Measure, e.A, e.B, e.Mean, e.Low, e.High,
		e.Better, e.All, e.Verdict())
}

const (
	resamples = 4000
	fewest    = 5 // pairs, under which an interval means nothing
)

// Compare pairs the days of two builds and gives the effect on each measure. Days
// that only one of them has are told.
func Compare(a, b []Day) (effects []Effect, alone int, err error) {
	type key struct {
		file string
		seed uint64
	}
	first := map[key]*world.Result{}
	for _, d := range a {
		k := key{d.File, d.Seed}
		if first[k] != nil {
			return nil, 0, fmt.Errorf("experiment: %s with seed %d is there twice", d.File, d.Seed)
		}
		first[k] = d.Result
	}
	var pairs [][2]*world.Result
	for _, d := range b {
		if r := first[key{d.File, d.Seed}]; r != nil {
			pairs = append(pairs, [2]*world.Result{r, d.Result})
			delete(first, key{d.File, d.Seed})
		} else {
			alone++
		}
	}
	alone += len(first)
	if len(pairs) < fewest {
		return nil, alone, errors.New("experiment: fewer than 5 days are in both")
	}
	for _, m := range Measures {
		e := Effect{Measure: m.Name, Pairs: len(pairs)}
		diffs := make([]float64, len(pairs))
		for i, p := range pairs {
			x, y := m.Of(p[0]), m.Of(p[1])
			e.A, e.B, diffs[i] = e.A+x/float64(len(pairs)), e.B+y/float64(len(pairs)), y-x
			if y != x {
				e.All++
			}
			if y > x {
				e.Better++
			}
		}
		e.Mean = stat.Mean(diffs, nil)
		e.Low, e.High = bootstrap(diffs)
		effects = append(effects, e)
	}
	return effects, alone, nil
}

// bootstrap gives the middle 95% of the means of resampled values (Efron, 1979),
// the same for the same values.
func bootstrap(values []float64) (low, high float64) {
	r := rand.New(rand.NewPCG(1, uint64(len(values))))
	means, sample := make([]float64, resamples), make([]float64, len(values))
	for i := range means {
		for j := range sample {
			sample[j] = values[r.IntN(len(values))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
