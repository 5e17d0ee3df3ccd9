// Package counters counts what a front has done, for the operators' door: the
// answers of each class, the attempts written to nodes, and the files that
// SIGHUP took or turned down. It is state only, with no clock, socket or lock:
// the event loop owns it, and it is read there. Counts start at 0 with the
// process and only grow; a class is counted by its place in the settings, which
// costs no look-up on the way of a request.
package counters

import (
	"encoding/json"
	"fmt"
)

// Outcome is how a request was ended.
type Outcome uint8

// The outcomes that are counted.
const (
	Passed     Outcome = iota // served, or the client's own copy was the one
	Dropped                   // refused: 429 or 503, surely not done
	BadGateway                // failed, in time or late
)

// Class holds the counts of one class.
type ClassCounts struct {
	Passed     uint64 `json:"passed"`
	Dropped    uint64 `json:"dropped"`
	BadGateway uint64 `json:"bad_gateway"`
	Attempts   uint64 `json:"upstream_tries"` // attempts written whole to nodes
}

// Gauges are what is true at the moment of a report; the caller looks them up.
type Gauges struct {
	InProgress   int // requests taken and not ended
	KnownNodes   int // cache nodes in the list, parents and origin among them
	SkippedNodes int // of those, what the front now avoids: draining or found down
}

// Figures holds the counts of one process: 40 bytes a class.
type Counters struct {
	names        []string
	classes      []ClassCounts
	reloads      uint64
	reloadErrors uint64
}

// New makes figures with a count for each class, all at 0; names are the
// classes' in the order of the settings.
func New(names []string) *Counters {
	return &Counters{names: names, classes: make([]ClassCounts, len(names))}
}

// Renew takes the names of further classes; those known so far must keep their
// places. Classes of one name are reported as one.
func (c *Counters) UpdateClasses(names []string) {
	c.names = names
	c.classes = append(c.classes, make([]ClassCounts, len(names)-len(c.classes))...)
}

// Answered counts a request of a class, by its place, that was ended. A place
// out of range is a fault of the caller's and panics.
func (c *Counters) CountOutcome(class int, o Outcome) {
	counts := &c.classes[class]
	switch o {
	case Passed:
		counts.Passed++
	case Dropped:
		counts.Dropped++
	case BadGateway:
		counts.BadGateway++
	default:
		panic(fmt.Sprintf("figures: outcome %d", o))
	}
}

// Tried counts an attempt of a class, by its place, that left for a node.
func (c *Counters) CountAttempt(class int) { c.classes[class].Attempts++ }

// Totals are the requests of all classes that were served, and those refused or failed.
func (c *Counters) Totals() (good, bad uint64) {
	for _, counts := range c.classes {
		good, bad = good+counts.Passed, bad+counts.Dropped+counts.BadGateway
	}
	return good, bad
}

// Loaded counts a file that SIGHUP brought: taken where ok, else turned down.
func (c *Counters) CountReload(ok bool) {
	if ok {
		c.reloads++
	} else {
		c.reloadErrors++
	}
}

// report is the form of AppendJSON.
type report struct {
	Handled    map[string]ClassCounts `json:"handled"`
	Tries      uint64                 `json:"upstream_tries"` // of all classes
	InProgress int                    `json:"in_progress"`
	Known      int                    `json:"known_cache_nodes"`
	Skipped    int                    `json:"skipped_cache_nodes"`
	Loads      uint64                 `json:"loads"`
	LoadErrors uint64                 `json:"load_errors"`
}

// AppendJSON appends the counts and the gauges as one line of JSON, without its
// line end: {"handled":{"CLASS":{"passed":N,...},...},"upstream_tries":N,"in_progress":N,...}.
func (c *Counters) AppendJSON(b []byte, g Gauges) []byte {
	var tries uint64
	handled := make(map[string]ClassCounts, len(c.names))
	for i, counts := range c.classes {
		tries += counts.Attempts
		sum := handled[c.names[i]]
		handled[c.names[i]] = ClassCounts{Passed: sum.Passed + counts.Passed, Dropped: sum.Dropped + counts.Dropped,
			BadGateway: sum.BadGateway + counts.BadGateway, Attempts: sum.Attempts + counts.Attempts}
	}
	out, err := json.Marshal(report{Handled: handled, Tries: tries, InProgress: g.InProgress, Known: g.KnownNodes,
		Skipped: g.SkippedNodes, Loads: c.reloads, LoadErrors: c.reloadErrors})
	if err != nil { // maps of strings to plain numbers always encode
		panic(fmt.Sprintf("figures: %v", err))
	}
	return append(b, out...)
}
