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
	boxShare    = 0.25       // of the listed servers avoided
	badShare    = 0.10       // of the requests refused or failed
	leastJudged = 20         // requests of a window that say anything
	window      = 10_000_000 // us
)

// Counts are the front's, from its start.
type Counts struct {
	Known, Avoided int    // servers
	Served, Failed uint64 // requests served, and refused or failed
}

// Watch holds what was seen last.
type Detector struct {
	from  Counts // at the window's begin
	at    Micros
	begun bool
	hurt  bool
	why   string
	well  Micros // since when nothing was wrong; 0: it is now
}

// Look takes the counts of a moment and tells whether the front is in trouble, and why.
func (w *Detector) Update(c Counts, now Micros) (hurt bool, why string) {
	if !w.begun || now < w.at {
		w.from, w.at, w.begun = c, now, true
	}
	boxes := 0.0
	if c.Known > 0 {
		boxes = float64(c.Avoided) / float64(c.Known)
	}
	good, bad := c.Served-w.from.Served, c.Failed-w.from.Failed
	failing := 0.0
	if good+bad >= leastJudged {
		failing = float64(bad) / float64(good+bad)
	}
	switch {
	case boxes >= boxShare:
		w.hurt, w.why, w.well = true, "servers are down or refuse", 0
	case failing >= badShare:
		w.hurt, w.why, w.well = true, "requests are refused or fail", 0
	case boxes >= boxShare/2 || failing >= badShare/2:
		w.well = 0
	case w.well == 0:
		w.well = max(1, now)
	}
	if w.hurt && w.well != 0 && now-w.well >= window {
		w.hurt, w.why = false, ""
	}
	if now-w.at >= window {
		w.from, w.at = c, now
	}
	return w.hurt, w.why
}
