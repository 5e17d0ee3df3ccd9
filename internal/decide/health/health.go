// Package health tells whether a front is in trouble, as its fleet must know before it
// takes further machines out: boxes that refuse or are found down, or requests that
// are turned away or fail, as in a storm. It is state only; the front shows it its
// counts now and then.
package health

// Micros is a moment in microseconds.
type Micros = int64

// When a front is in trouble, and when it is well again: less than half of that for
// as long as a window.
const (
	maxAvoidedShare = 0.25       // of the listed servers avoided
	maxFailedShare  = 0.10       // of the requests refused or failed
	minRequests     = 20         // requests of a window that say anything
	window          = 10_000_000 // us
)

// Counts are the front's, from its start.
type Counts struct {
	Known, Avoided int    // servers
	Served, Failed uint64 // requests served, and refused or failed
}

// Watch holds what was seen last.
type Detector struct {
	baseline     Counts // at the window's begin
	windowStart  Micros
	started      bool
	unhealthy    bool
	reason       string
	healthySince Micros // since when nothing was wrong; 0: it is now
}

// Look takes the counts of a moment and tells whether the front is in trouble, and why.
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
