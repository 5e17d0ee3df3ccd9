package readiness

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// For any sequence of orders, the front is ready exactly if it is not shutting down, is
// not draining and has completed its startup; a drain starts once, and shutdown is final.
func TestReadyFollowsOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boardWait = 2_000_000
		s := New(0, boardWait)
		var draining, ending bool
		now := int64(0)
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			now += rapid.Int64Range(0, 700_000).Draw(t, "later")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if got := s.Drain(); got != (!draining && !ending) {
					t.Fatalf("Drain returned %v", got)
				}
				draining = draining || !ending
			case 1:
				if err := s.Rejoin(); (err != nil) != ending {
					t.Fatalf("Rejoin returned %v", err)
				}
				draining = draining && ending
			case 2:
				if first := s.Shutdown(); first == ending {
					t.Fatalf("Shutdown returned %v", first)
				}
				ending = true
			}
			boardAnswered := rapid.Bool().Draw(t, "heard")
			want := !ending && !draining && (boardAnswered || now >= boardWait)
			if ok, reason := s.Ready(now, boardAnswered); ok != want || ok != (reason == "") {
				t.Fatalf("at %d: ready %v (%q), want %v", now, ok, reason, want)
			}
		}
	})
}
