// Package health decides whether a front is in trouble, which its fleet must know
// before it takes more machines out: servers that refuse or are found down, or requests
// that are refused or fail, as under overload. It holds state only; the front passes in
// its counts from time to time.
package health

// Micros is a point in time, or a duration, in microseconds.
type Micros = int64

// Thresholds at which a front becomes unhealthy. It is healthy again once it has stayed
// below half of them for a whole window.
const (
	maxAvoidedShare = 0.25       // of the listed servers avoided
	maxFailedShare  = 0.10       // of the requests refused or failed
	minRequests     = 20         // fewer requests in a window are not meaningful
	window          = 10_000_000 // us
)

// Counts are the counts of a front since its start.
type Counts struct {
	Known, Avoided int    // servers
	Served, Failed uint64 // requests served, and refused or failed
}

// Detector holds the state between two updates.
type Detector struct {
	baseline     Counts // at the start of the window
	windowStart  Micros
	started      bool
	unhealthy    bool
	reason       string
	healthySince Micros // since when all was below half of the thresholds; 0: it is not
}

// Update takes the current counts and returns whether the front is unhealthy, and why.
func (d *Detector) Update(c Counts, now Micros) (unhealthy bool, reason string) {
	if !d.started || now < d.windowStart {
		d.baseline, d.windowStart, d.started = c, now, true
	}
	avoided := 0.0
	if c.Known > 0 {
		avoided = float64(c.Avoided) / float64(c.Known)
	}
	served, failed := c.Served-d.baseline.Served, c.Failed-d.baseline.Failed
	failedShare := 0.0
	if served+failed >= minRequests {
		failedShare = float64(failed) / float64(served+failed)
	}
	switch {
	case avoided >= maxAvoidedShare:
		d.unhealthy, d.reason, d.healthySince = true, "servers are down or refuse", 0
	case failedShare >= maxFailedShare:
		d.unhealthy, d.reason, d.healthySince = true, "requests are refused or fail", 0
	case avoided >= maxAvoidedShare/2 || failedShare >= maxFailedShare/2:
		d.healthySince = 0
	case d.healthySince == 0:
		d.healthySince = max(1, now)
	}
	if d.unhealthy && d.healthySince != 0 && now-d.healthySince >= window {
		d.unhealthy, d.reason = false, ""
	}
	if now-d.windowStart >= window {
		d.baseline, d.windowStart = c, now
	}
	return d.unhealthy, d.reason
}
