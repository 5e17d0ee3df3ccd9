package outlier

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const second Micros = 1_000_000

var rules = Rules{Witnesses: 2, Span: 4 * second, HalfLife: 5 * second, FailingShare: 0.5, SlowFactor: 4, MinAnswers: 3, MaxEjectedShare: 0.4, RefusedShare: 0.2, ForgedRate: 5, MaxRetryAfter: 10 * second, RetrySpread: 2}

func observation(front, site, box string, s State) []Observation {
	return []Observation{{Subject: box, Hub: "h", State: s, Count: 1, Witnesses: []Witness{{front, site, 9}}}}
}

// Checks that a verdict needs more than one front, more than one site where two have
// observations, and more witnesses than see the box healthy, and that it expires or ends
// when its witnesses disagree. Without the witness rule a single front is enough.
func TestWitnesses(t *testing.T) {
	boxes := map[string]int{"h": 5}
	step := func(b *Evaluator, now Micros, lists ...[]Observation) int {
		return len(b.Step(Merge(lists...), boxes, now))
	}
	b := NewEvaluator(rules, 1)
	require.Zero(t, step(b, 0, observation("a", "x", "box", Failing)), "one front")
	require.Zero(t, step(b, 0, observation("a", "x", "box", Failing), observation("b", "x", "box", Failing), observation("c", "y", "box", Healthy)), "one site of two")
	require.Zero(t, step(b, 0, observation("a", "x", "box", Failing), observation("b", "y", "box", Failing), observation("c", "x", "box", Healthy), observation("d", "y", "box", Healthy)), "half see it healthy")
	require.Equal(t, 1, step(b, 0, observation("a", "x", "box", Failing), observation("b", "y", "box", Failing)))
	require.Equal(t, 1, step(b, 3*second), "until it expires")
	require.Zero(t, step(b, 5*second))
	require.Equal(t, 1, step(b, 6*second, observation("a", "x", "box", Failing), observation("b", "y", "box", Failing)))
	require.Zero(t, step(b, 7*second, observation("a", "x", "box", Healthy), observation("b", "y", "box", Healthy), observation("c", "y", "box", Healthy)), "witnesses see it healthy again")
	b = NewEvaluator(rules, 1)
	b.Disable(DisableWitnesses)
	require.Equal(t, 1, step(b, 0, observation("a", "x", "box", Failing)), "the disabled rule is detected")
}

// Checks that fronts that report every box as failing cannot remove more than the allowed
// share of a hub's boxes, and never the last one.
func TestHubIsNeverEmptied(t *testing.T) {
	for boxes := range 12 {
		var observations [][]Observation
		for i := range boxes {
			observations = append(observations, observation("a", "x", fmt.Sprint("box", i), Failing), observation("b", "y", fmt.Sprint("box", i), Failing))
		}
		held := len(NewEvaluator(rules, 1).Step(Merge(observations...), map[string]int{"h": boxes}, 0))
		require.LessOrEqual(t, held, max(1, boxes*4/10))
		require.True(t, held < boxes || boxes == 0, "%d of %d", held, boxes)
	}
}

// Checks a front's own observations: a failing box is detected after a few answers despite
// a good history, a box slower than its hub is slow, and evidence decays.
func TestObservations(t *testing.T) {
	o := NewObserver(rules)
	for i := range 200 {
		o.RecordAnswer("a", "h", true, 10_000, Micros(i)*10_000)
		o.RecordAnswer("b", "h", true, 10_000, Micros(i)*10_000)
		o.RecordAnswer("c", "h", true, 90_000, Micros(i)*10_000)
	}
	for range 3 {
		o.RecordAnswer("b", "h", false, 10_000, 2*second)
	}
	o.RecordForged("10.0.0.0/24", 2*second)
	state := map[string]State{}
	for _, x := range o.Observations("f", "s", 2*second) {
		state[x.Subject] = x.State
	}
	require.Equal(t, map[string]State{"a": Healthy, "b": Failing, "c": Slow, "10.0.0.0/24": Forging}, state)
	require.Empty(t, o.Observations("f", "s", 200*second))
	_, fresh := o.State("a", 200*second)
	require.False(t, fresh)
}

// Checks that network delay does not extend a verdict, and that late answers are ignored.
func TestVerdictCache(t *testing.T) {
	var d VerdictCache
	d.Update([]Verdict{{Subject: "b", Remaining: 3 * second}}, 10*second, 30*second)
	require.Len(t, d.Active(12*second), 1)
	d.Update([]Verdict{{Subject: "b", Remaining: 9 * second}}, 9*second, 30*second)
	require.Empty(t, d.Active(13*second), "a late answer to an older request is ignored")
	require.LessOrEqual(t, rules.RetryAfter(second, 64, 1, second/2), second/2, "not above the limit given")
}
