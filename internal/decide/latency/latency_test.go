package latency

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const second Micros = 1_000_000

var rules = Rules{HalfLife: 10 * second, OrderTTL: 6 * second, ExploreShare: 0.02, MaxShiftPerSecond: 0.1, MaxFrontWeight: 200}

// measure adds n samples around a true latency to a front's model.
func measure(r *rand.Rand, m *Model, region, edge string, ms float64, n int, now Micros) {
	var list []Sample
	for range n {
		list = append(list, Sample{Pair{region, edge}, Micros(ms * 1000 * math.Exp(0.2*r.NormFloat64()))})
	}
	m.Add(list, now)
}

func fullCapacity(string) float64 { return 1 }

func share(o []Order, region, edge string) Share {
	for _, x := range o {
		for _, s := range x.Edges {
			if x.Region == region && s.Edge == edge {
				return s
			}
		}
	}
	return Share{}
}

// Checks that the estimate is close to the true latency, that shares follow a change at
// no more than the allowed rate and then settle, and that an edge without capacity gets
// little.
func TestSharesFollowLatency(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	models := []*Model{NewModel(rules), NewModel(rules), NewModel(rules)}
	p := NewPlanner(rules)
	now := second
	run := func(span Micros, near, far float64, capacity func(string) float64) (last []Order) {
		for end := now + span; now < end; now += second {
			var fronts [][]Summary
			for _, m := range models {
				measure(r, m, "west/a", "near", near, 30, now)
				measure(r, m, "west/a", "far", far, 4, now)
				fronts = append(fronts, m.Summaries(now))
			}
			last = p.Step(Merge(rules, fronts, nil), capacity, now)
		}
		return last
	}
	o := run(40*second, 10, 60, fullCapacity)
	require.InEpsilon(t, 10_000, share(o, "west/a", "near").Median, 0.1)
	require.Greater(t, share(o, "west/a", "near").Share, 0.9)
	before := share(o, "west/a", "near").Share
	o = run(second, 200, 60, fullCapacity)
	require.InDelta(t, before, share(o, "west/a", "near").Share, rules.MaxShiftPerSecond+1e-9, "bounded rate")
	o = run(60*second, 200, 60, fullCapacity)
	require.Greater(t, share(o, "west/a", "far").Share, 0.9, "follows the change")
	moved := p.TotalShift
	o = run(30*second, 200, 60, fullCapacity)
	require.Less(t, p.TotalShift-moved, 0.05, "settles")
	o = run(40*second, 200, 60, func(e string) float64 { return map[string]float64{"near": 1}[e] })
	require.Less(t, share(o, "west/a", "far").Share, 0.05, "no capacity")
}

// Checks that a front with false measurements moves an estimate no more than its capped
// weight allows, and that a pair without measurements gets the enclosing region's
// estimate.
func TestOutlierFrontAndUnknownPair(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	now := second
	var fronts [][]Summary
	for range 4 {
		m := NewModel(rules)
		measure(r, m, "west/a", "e", 50, 300, now)
		fronts = append(fronts, m.Summaries(now))
	}
	falseFront := NewModel(rules)
	measure(r, falseFront, "west/a", "e", 1, 100_000, now)
	fronts = append(fronts, falseFront.Summaries(now))
	other := NewModel(rules)
	measure(r, other, "west/b", "f", 20, 30, now)
	fronts = append(fronts, other.Summaries(now))
	o := NewPlanner(rules).Step(Merge(rules, fronts, nil), fullCapacity, now)
	require.InEpsilon(t, 50_000, share(o, "west/a", "e").Median, 0.15, "one front of five reports 1 ms")
	require.InEpsilon(t, 50_000, share(o, "west/b", "e").Median, 0.15, "from the enclosing region")
	require.Zero(t, share(o, "west/b", "e").Weight)
	var m OrderCache
	m.Update(o, 10*second, 6*second)
	_, ok := m.Lookup("west/b/c", 15*second)
	require.True(t, ok)
	_, ok = m.Lookup("west/b", 17*second)
	require.False(t, ok, "stale")
}
