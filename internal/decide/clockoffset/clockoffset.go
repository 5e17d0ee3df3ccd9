// Package clockoffset estimates how long frames were delayed on a link between two
// sites whose clocks differ: not the whole one-way time, which can't be known, but the
// excess over the fastest frame.
//
// Every frame carries its send time by the sender's clock. The minimum difference
// between receive and send time contains the clock offset and the fastest one-way
// time; the excess over it is the delay. Clocks also drift, so the minimum grows over
// time by as much as two good clocks can drift apart. It does not adapt to a link that
// has become slow: a lasting delay must still count as one, since the ledger's rules
// depend on it.
package clockoffset

import "math"

// Micros is a point in time or a duration in microseconds.
type Micros = int64

// maxDrift is the rate at which two clocks may drift apart: twice the tolerance of a
// quartz of 100 ppm.
const maxDrift = 200e-6

// DelayEstimator estimates the delays of one direction of one connection. The zero
// value is ready for use.
type DelayEstimator struct {
	minDiff   float64 // us, minimum of receive time minus send time, growing by maxDrift
	updatedAt Micros
	seen      bool
}

// Observe takes a frame's send time by the sender's clock and its receive time by the
// local clock, and returns its delay; 0 for the first frame. For absurd send times the
// result is a delay longer than any that the rules accept.
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
