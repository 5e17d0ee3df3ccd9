// Package clockoffset tells for how long a link held something, of two sites whose
// clocks differ: not the way's whole time, which they can't know, but what it took
// more than the quickest that ever came.
//
// Every frame says when it left by its sender's clock. The least difference to when
// it came holds the clocks' difference and the quickest way; what a frame has above
// that it was held. Clocks also drift, so the least is let grow by as much as two good
// clocks drift apart. It never adapts to a link that has become slow: a delay that
// lasts stays a delay, since the ledger's rules hang on it.
package clockoffset

import "math"

// Micros is a moment or a span in microseconds.
type Micros = int64

// drift is what two clocks may drift apart, in parts of time: twice what is allowed
// of a quartz of 100 ppm.
const maxDrift = 200e-6

// Held measures one direction of one connection.
type DelayEstimator struct {
	minDiff   float64 // of came less sent
	updatedAt Micros
	seen      bool
}

// Came takes in a frame that was sent at a moment of the sender's clock and came at
// one of ours, and tells for how long it was held; 0 for the first. Moments that run
// wild give what no rule lets pass.
func (e *DelayEstimator) Observe(sent, now Micros) Micros {
	diff := float64(now) - float64(sent)
	if !e.seen {
		e.minDiff, e.updatedAt, e.seen = diff, now, true
		return 0
	}
	if now > e.updatedAt {
		e.minDiff += maxDrift * float64(now-e.updatedAt)
		e.updatedAt = now
	}
	if diff < e.minDiff {
		e.minDiff = diff
		return 0
	}
	return Micros(math.Min(diff-e.minDiff, math.MaxInt64/2))
}
