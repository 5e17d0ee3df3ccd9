package readiness

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Whatever operators and signals do in whatever order, the front is ready just
// where no end came, it does not drain, and its start is over; a drain
// empties once, and an end is for good.
func TestReadyFollowsWhatWasSaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const wait = 2_000_000
		s := New(0, wait)
		var draining, ending bool
		now := int64(0)
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			now += rapid.Int64Range(0, 700_000).Draw(t, "later")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if got := s.Drain(); got != (!draining && !ending) {
					t.Fatalf("drain empties: %v", got)
				}
				draining = draining || !ending
			case 1:
				if err := s.Rejoin(); (err != nil) != ending {
					t.Fatalf("rejoin: %v", err)
				}
				draining = draining && ending
			case 2:
				if first := s.Shutdown(); first == ending {
					t.Fatalf("end first: %v", first)
				}
				ending = true
			}
			heard := rapid.Bool().Draw(t, "heard")
			want := !ending && !draining && (heard || now >= wait)
			if ok, why := s.Ready(now, heard); ok != want || ok != (why == "") {
				t.Fatalf("at %d: ready %v (%q), want %v", now, ok, why, want)
			}
		}
	})
}
