// Package counters holds the counters of a front for the admin endpoint: the answers
// of each class, the attempts sent to nodes, and the configuration reloads on SIGHUP
// that succeeded or failed. It has no clock, socket or lock: the event loop updates
// and reads it. Counters start at 0 with the process and only grow; a class is counted
// by its index in the settings, which saves a lookup per request.
package counters

import (
	"encoding/json"
	"fmt"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Passed     Outcome = iota // served, or the client's copy was still valid
	Dropped                   // refused with 429 or 503, certainly not executed
	BadGateway                // failed, in time or late
)

// ClassCounts holds the counts of one class.
type ClassCounts struct {
	Passed     uint64 `json:"passed"`
	Dropped    uint64 `json:"dropped"`
	BadGateway uint64 `json:"bad_gateway"`
	Attempts   uint64 `json:"upstream_tries"` // attempts completely written to nodes
}

// Gauges are the current values of a report, which the caller provides.
type Gauges struct {
	InProgress   int // requests admitted and not ended
	KnownNodes   int // cache nodes in the list, including parents and origin
	SkippedNodes int // of those, the ones that the front now avoids: draining or found down
}

// Counters holds the counters of one process: 40 bytes per class.
type Counters struct {
	names        []string
	classes      []ClassCounts
	reloads      uint64
	reloadErrors uint64
}

// New returns counters at 0 for each class; names are those of the classes in the
// order of the settings.
func New(names []string) *Counters {
	return &Counters{names: names, classes: make([]ClassCounts, len(names))}
}

// UpdateClasses sets the names of all classes, which may have grown in number. The
// known classes must keep their indexes. Classes of the same name are reported as one.
func (c *Counters) UpdateClasses(names []string) {
	c.names = names
	c.classes = append(c.classes, make([]ClassCounts, len(names)-len(c.classes))...)
}

// CountOutcome counts a request that ended, by the index of its class. It panics for
// an index or an outcome out of range.
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
		panic(fmt.Sprintf("counters: unknown outcome %d", o))
	}
}

// CountAttempt counts an attempt sent to a node, by the index of its class.
func (c *Counters) CountAttempt(class int) { c.classes[class].Attempts++ }

// Totals returns the requests of all classes that were served, and those that were
// refused or failed.
func (c *Counters) Totals() (good, bad uint64) {
	for _, counts := range c.classes {
		good, bad = good+counts.Passed, bad+counts.Dropped+counts.BadGateway
	}
	return good, bad
}

// CountReload counts a configuration reload on SIGHUP, which succeeded if ok.
func (c *Counters) CountReload(ok bool) {
	if ok {
		c.reloads++
	} else {
		c.reloadErrors++
	}
}

// report is the JSON object that AppendJSON writes.
type report struct {
	Handled      map[string]ClassCounts `json:"handled"`
	Attempts     uint64                 `json:"upstream_tries"` // of all classes
	InProgress   int                    `json:"in_progress"`
	KnownNodes   int                    `json:"known_cache_nodes"`
	SkippedNodes int                    `json:"skipped_cache_nodes"`
	Reloads      uint64                 `json:"loads"`
	ReloadErrors uint64                 `json:"load_errors"`
}

// AppendJSON appends the counters and the gauges as one line of JSON without the
// newline: {"handled":{"CLASS":{"passed":N,...},...},"upstream_tries":N,"in_progress":N,...}.
func (c *Counters) AppendJSON(b []byte, g Gauges) []byte {
	var attempts uint64
	handled := make(map[string]ClassCounts, len(c.names))
	for i, counts := range c.classes {
		attempts += counts.Attempts
		sum := handled[c.names[i]]
		handled[c.names[i]] = ClassCounts{Passed: sum.Passed + counts.Passed, Dropped: sum.Dropped + counts.Dropped,
			BadGateway: sum.BadGateway + counts.BadGateway, Attempts: sum.Attempts + counts.Attempts}
	}
	out, err := json.Marshal(report{Handled: handled, Attempts: attempts, InProgress: g.InProgress, KnownNodes: g.KnownNodes,
		SkippedNodes: g.SkippedNodes, Reloads: c.reloads, ReloadErrors: c.reloadErrors})
	if err != nil { // maps of strings to plain numbers always encode
		panic(fmt.Sprintf("counters: %v", err))
	}
	return append(b, out...)
}
