// Package figures counts what a front has done, for the operators' door: the
// answers of each class, the attempts written to nodes, and the files that
// SIGHUP took or turned down. It is state only, with no clock, socket or lock:
// the event loop owns it, and it is read there. Counts start at 0 with the
// process and only grow; they are kept by a class's name, so that a class that
// a new configuration drops keeps its counts and one that comes back goes on.
package figures

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
type Class struct {
	Passed     uint64 `json:"passed"`
	Dropped    uint64 `json:"dropped"`
	BadGateway uint64 `json:"bad_gateway"`
	Tries      uint64 `json:"upstream_tries"` // attempts written whole to nodes
}

// Gauges are what is true at the moment of a report; the caller looks them up.
type Gauges struct {
	InProgress int // requests taken and not ended
	Known      int // cache nodes in the list, parents and origin among them
	Skipped    int // of those, what the front now avoids: draining or found down
}

// Figures holds the counts of one process.
type Figures struct {
	classes map[string]*Class
	loads   uint64
	errors  uint64
}

// New makes figures with a count for each named class, all at 0.
func New(names []string) *Figures {
	f := &Figures{classes: map[string]*Class{}}
	for _, n := range names {
		f.class(n)
	}
	return f
}

func (f *Figures) class(name string) *Class {
	c := f.classes[name]
	if c == nil {
		c = &Class{}
		f.classes[name] = c
	}
	return c
}

// Answered counts a request of a class that was ended.
func (f *Figures) Answered(class string, o Outcome) {
	c := f.class(class)
	switch o {
	case Passed:
		c.Passed++
	case Dropped:
		c.Dropped++
	case BadGateway:
		c.BadGateway++
	default:
		panic(fmt.Sprintf("figures: outcome %d", o))
	}
}

// Tried counts an attempt of a class that was written to a node.
func (f *Figures) Tried(class string) { f.class(class).Tries++ }

// Loaded counts a file that SIGHUP brought: taken where ok, else turned down.
func (f *Figures) Loaded(ok bool) {
	if ok {
		f.loads++
	} else {
		f.errors++
	}
}

// Of gives the counts of a class; zero for one never seen.
func (f *Figures) Of(class string) Class {
	if c := f.classes[class]; c != nil {
		return *c
	}
	return Class{}
}

// report is the form of AppendJSON.
type report struct {
	Handled    map[string]*Class `json:"handled"`
	Tries      uint64            `json:"upstream_tries"` // of all classes
	InProgress int               `json:"in_progress"`
	Known      int               `json:"known_cache_nodes"`
	Skipped    int               `json:"skipped_cache_nodes"`
	Loads      uint64            `json:"loads"`
	LoadErrors uint64            `json:"load_errors"`
}

// AppendJSON appends the counts and the gauges as one line of JSON, without its
// line end: {"handled":{"CLASS":{"passed":N,...},...},"upstream_tries":N,"in_progress":N,...}.
func (f *Figures) AppendJSON(b []byte, g Gauges) []byte {
	var tries uint64
	for _, c := range f.classes {
		tries += c.Tries
	}
	out, err := json.Marshal(report{Handled: f.classes, Tries: tries, InProgress: g.InProgress, Known: g.Known,
		Skipped: g.Skipped, Loads: f.loads, LoadErrors: f.errors})
	if err != nil { // maps of strings to plain numbers always encode
		panic(fmt.Sprintf("figures: %v", err))
	}
	return append(b, out...)
}
