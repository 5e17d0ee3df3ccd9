package clockoffset

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// For any clock offset and drift, the estimated delay of a frame differs from the real
// one by no more than the drift allows, and a sender's clock that jumps gives a long
// delay.
func TestDelayEstimator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(-1<<50, 1<<50).Draw(t, "offset")
		rate := 1 + rapid.Float64Range(-100e-6, 100e-6).Draw(t, "rate")
		minDelay := rapid.Int64Range(100, 200_000).Draw(t, "way")
		jitter := rapid.Int64Range(0, 20_000).Draw(t, "jitter")
		senderClock := func(now Micros) Micros { return offset + Micros(float64(now)*rate) }
		var h DelayEstimator
		now, slow, quickest := Micros(0), Micros(0), Micros(1<<60)
		for i := range rapid.IntRange(2, 200).Draw(t, "frames") {
			now += rapid.Int64Range(1, 30_000_000).Draw(t, "pause")
			if i > 5 && rapid.IntRange(0, 20).Draw(t, "turn") == 0 {
				slow = rapid.Int64Range(0, 5_000_000).Draw(t, "slow")
			}
			oneWay := minDelay + rapid.Int64Range(0, jitter).Draw(t, "late") + slow
			got := h.Observe(senderClock(now), now+oneWay)
			now += oneWay
			quickest = min(quickest, oneWay)
			// The sender's clock may gain or lose on the local one while the minimum is old.
			slack := Micros(float64(now)*4e-4) + 2
			if excess := oneWay - quickest; got < excess-slack || got > excess+slack {
				t.Fatalf("delay of %d, estimated %d, slack %d", excess, got, slack)
			}
		}
	})
	var h DelayEstimator
	h.Observe(0, 0)
	if h.Observe(-1<<62, 1<<62) < 1<<60 {
		t.Error("a sender's clock that jumps is trusted")
	}
}
