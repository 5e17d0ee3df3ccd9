package draining

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Whatever is ordered and observed in whatever order: listeners are told once a drain, in their
// time; a drain is over only by what was observed, also where they stay open for long; and it is
// told as lasting once.
func TestStepsFollowOrdersAndObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const accept, warn = 750_000, 4_000_000
		var s State
		var begun, told, over, warned bool
		var since, closeAt, now int64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 300_000).Draw(t, "later")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if got := s.Begin(now, accept, warn); got == begun {
					t.Fatalf("begins: %v", got)
				}
				if !begun {
					begun, told, over, warned, since, closeAt = true, false, false, false, now, now+accept
				}
			case 1:
				s.StopAccepting(now)
				closeAt, over = min(closeAt, now), false
			case 2:
				if s.Cancel() != begun {
					t.Fatal("cancel")
				}
				begun = false
			default:
				o := Observation{Accepting: rapid.Bool().Draw(t, "accepting"), Pending: rapid.IntRange(0, 1).Draw(t, "left")}
				step := s.Advance(now, o)
				if step.CloseListeners != (begun && !over && !told && now >= closeAt) {
					t.Fatalf("close: %v", step.CloseListeners)
				}
				if want := begun && !over && told && !o.Accepting && o.Pending == 0; step.Finished != want {
					t.Fatalf("over: %v, want %v", step.Finished, want)
				}
				if step.Warn && (warned || now < since+warn) {
					t.Fatal("warned early or twice")
				}
				told, over, warned = told || step.CloseListeners, over || step.Finished, warned || step.Warn
			}
			if want := now - since; begun && s.Elapsed(now) != want || !begun && s.Elapsed(now) != 0 {
				t.Fatalf("spent %d", s.Elapsed(now))
			}
		}
	})
}

// The incident: a listener that does not close for any order. The drain is never over, and is told.
func TestAnOrderIsNotItsEffect(t *testing.T) {
	var s State
	s.Begin(0, 100, 1000)
	warned := 0
	for now := int64(0); now < 5000; now += 10 {
		step := s.Advance(now, Observation{Accepting: true})
		if step.Finished {
			t.Fatal("over while a listener accepts")
		}
		if step.Warn {
			warned++
		}
	}
	if warned != 1 {
		t.Errorf("told %d times", warned)
	}
	if !s.Advance(5000, Observation{}).Finished {
		t.Error("not over once it has closed")
	}
}
