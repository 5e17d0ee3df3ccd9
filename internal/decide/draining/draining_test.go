package draining

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// For any sequence of orders and observations: listeners are closed once per drain, when it is
// time; a drain finishes only on an observation, even if listeners stay open for long; and it
// warns at most once.
func TestStepsFollowOrdersAndObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const acceptFor, warnAfter = 750_000, 4_000_000
		var s State
		var begun, closed, finished, warned bool
		var startedAt, closeAt, now int64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 300_000).Draw(t, "later")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if got := s.Begin(now, acceptFor, warnAfter); got == begun {
					t.Fatalf("Begin returned %v", got)
				}
				if !begun {
					begun, closed, finished, warned, startedAt, closeAt = true, false, false, false, now, now+acceptFor
				}
			case 1:
				s.StopAccepting(now)
				closeAt, finished = min(closeAt, now), false
			case 2:
				if s.Cancel() != begun {
					t.Fatal("Cancel returned the wrong state")
				}
				begun = false
			default:
				observed := Observation{Accepting: rapid.Bool().Draw(t, "accepting"), Pending: rapid.IntRange(0, 1).Draw(t, "left")}
				step := s.Advance(now, observed)
				if step.CloseListeners != (begun && !finished && !closed && now >= closeAt) {
					t.Fatalf("CloseListeners: %v", step.CloseListeners)
				}
				if want := begun && !finished && closed && !observed.Accepting && observed.Pending == 0; step.Finished != want {
					t.Fatalf("Finished: %v, want %v", step.Finished, want)
				}
				if step.Warn && (warned || now < startedAt+warnAfter) {
					t.Fatal("warned early or twice")
				}
				closed, finished, warned = closed || step.CloseListeners, finished || step.Finished, warned || step.Warn
			}
			if want := now - startedAt; begun && s.Elapsed(now) != want || !begun && s.Elapsed(now) != 0 {
				t.Fatalf("Elapsed returned %d", s.Elapsed(now))
			}
		}
	})
}

// Guards against taking an order to close for its effect. In an incident a listener did not close
// on any order: the drain must not finish while it accepts, and must warn once.
func TestDrainWaitsForClosedListeners(t *testing.T) {
	var s State
	s.Begin(0, 100, 1000)
	warned := 0
	for now := int64(0); now < 5000; now += 10 {
		step := s.Advance(now, Observation{Accepting: true})
		if step.Finished {
			t.Fatal("finished while a listener accepts")
		}
		if step.Warn {
			warned++
		}
	}
	if warned != 1 {
		t.Errorf("warned %d times", warned)
	}
	if !s.Advance(5000, Observation{}).Finished {
		t.Error("not finished once the listener has closed")
	}
}
