package quotalease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Checks that a limit is used in steady state with skewed demand and again soon after
// demand has moved, and that a failed front's allocation is reallocated within
// allocationExpiry.
func TestSteady(t *testing.T) {
	limit := Limit{Name: "l", Dimension: "tenant", Who: "t", Kind: Rate, Amount: 1000, Burst: 100, Hard: true}
	rules := testRules
	now := second
	d := NewAllocator(rules, []Limit{limit}, "", 1, 0, now)
	const n = 12
	var fronts [n]*Limiter
	names := "abcdefghijkl"
	for i := range fronts {
		fronts[i] = NewLimiter(rules, []Limit{limit}, now)
	}
	dead := -1
	demand := func(i int, moved bool) float64 {
		switch {
		case !moved && i == 0, moved && i == 7:
			return 900
		case i < 6:
			return 60
		}
		return 0
	}
	// run advances time and returns the number of requests admitted per 100 ms.
	owed := [n]float64{}
	run := func(span Micros, moved bool) (passed []int) {
		for end := now + span; now < end; {
			count := 0
			for range 10 {
				now += 10_000
				for i, p := range fronts {
					if i == dead {
						continue
					}
					for owed[i] += demand(i, moved) / 100; owed[i] >= 1; owed[i]-- {
						if _, ok := p.Find("tenant", "t", now)[0].Take(now); ok {
							count++
						}
					}
				}
			}
			passed = append(passed, count)
			for i, p := range fronts {
				if i == dead {
					continue
				}
				s := p.Report(now)[0]
				w := LimitRequest{Key: s.Key, Demand: float64(s.Requests) * 10}
				if len(s.Allocations) > 0 {
					w.Number, w.Held = s.Allocations[0].Number, s.Allocations[0].Held
				}
				d.HandleRequest(names[i:i+1], Request{Stamp: now, Limits: []LimitRequest{w}}, now)
			}
			for role, g := range d.Allocate(Source{}, now) {
				fronts[role[0]-'a'].ApplyGrant(g, 0, now)
			}
		}
		return passed
	}
	sum := func(list []int) (total int) {
		for _, x := range list {
			total += x
		}
		return total
	}
	run(3*second, false)
	require.GreaterOrEqual(t, sum(run(10*second, false)), 9500, "used in steady state")
	moved := run(2*second, true)
	require.GreaterOrEqual(t, sum(moved[10:]), 900, "used again after demand has moved")
	run(2*second, true)
	dead = 7
	run(rules.allocationExpiry(Rate)+second, false)
	require.GreaterOrEqual(t, sum(run(2*second, false)), 1900, "a failed front's allocation is reallocated")
	require.Len(t, d.Status(Source{}, now), 1)
}
