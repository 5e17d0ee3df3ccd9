// Package invalidation decides how purges go through a fleet: each has a number from the site
// where it was asked, is told along the tree in both ways until everybody has it, and is
// complete once every front of the fleet keeps and obeys it or surely serves no more.
//
// Who has what is told as marks: of each origin the number up to which all is there. Two
// neighbours compare marks and tell each other what is missing, so what is lost, doubled
// or late does no harm (Demers and others, 1987, anti-entropy). Acknowledgements go up as
// marks that hold for a whole site, with those who lag behind named; they do not grow
// with the fleet while all is well.
//
// Moments are those of this process's own clock and never travel; ages do.
package invalidation

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Micros is a span, or a moment of one process's own clock, in microseconds.
type Micros = int64

// Kind is what a purge names.
type Kind uint8

// The kinds.
const (
	All Kind = iota
	Object
	Group
	Prefix // of objects' names
	Tag    // of copies
)

var kindNames = [...]string{"all", "object", "group", "prefix", "tag"}

func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// Scope is what a purge is of.
type Scope struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

func (s Scope) String() string { return strings.TrimSpace(s.Kind.String() + " " + s.Name) }

// Bounds.
const (
	maxNameBytes = 128
	MaxBatch     = 200 // purges of one message
	maxLaggards  = 8   // fronts named that lag behind
)

// ErrScope tells of a purge of nothing that can be named.
var ErrScope = errors.New("object, group, prefix or tag with a name of 1 to 128 bytes is wanted, or all")

// ParseScope reads a scope from its words.
func ParseScope(kind, name string) (Scope, error) {
	i := slices.Index(kindNames[:], kind)
	if i < 0 || len(name) > maxNameBytes || (Kind(i) == All) != (name == "") || strings.ContainsAny(name, " \t\r\n") {
		return Scope{}, ErrScope
	}
	if Kind(i) == Group && strings.Trim(name, "0123456789") != "" {
		return Scope{}, fmt.Errorf("group: %q is no number", name)
	}
	return Scope{Kind(i), name}, nil
}

// Origin is where purges are numbered: a site under one keeper.
type Origin struct {
	Site  string `cbor:"1,keyasint"`
	Owner uint64 `cbor:"2,keyasint"`
}

func (o Origin) String() string { return fmt.Sprintf("%s#%d", cmp.Or(o.Site, "/"), o.Owner) }

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Owner, b.Owner))
}

// Purge is one purge on its way.
type Purge struct {
	Origin     Origin `cbor:"1,keyasint"`
	Number     uint64 `cbor:"2,keyasint"`
	Scope      Scope  `cbor:"3,keyasint"`
	RequestKey string `cbor:"4,keyasint"`           // names the asking: asked again it is the same purge
	Age        Micros `cbor:"5,keyasint"`           // since it was asked, at least
	Reason     string `cbor:"6,keyasint,omitempty"` //
}

// ID is a purge's number as a person reads it.
func (p *Purge) ID() string { return fmt.Sprintf("%s:%d", p.Origin, p.Number) }

// Mark tells of an origin that all up to a number is there.
type Watermark struct {
	Origin Origin `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Marks are ordered by origin.
type Watermarks []Watermark

// Of is the number of an origin; 0: nothing is there.
func (m Watermarks) Of(o Origin) uint64 {
	i, ok := slices.BinarySearchFunc(m, o, func(x Watermark, o Origin) int { return compareOrigins(x.Origin, o) })
	if !ok {
		return 0
	}
	return m[i].Number
}

// Same tells whether both have the same of every origin.
func (m Watermarks) Equal(o Watermarks) bool { return m.covers(o) && o.covers(m) }

// covers tells whether all that o has is there.
func (m Watermarks) covers(o Watermarks) bool {
	for _, x := range o {
		if m.Of(x.Origin) < x.Number {
			return false
		}
	}
	return true
}

// held is a purge as a book has it.
type logEntry struct {
	Purge
	requestedAt Micros // when it was asked, at the earliest
	stored      bool
}

// line is what a book has of one origin.
type originLog struct {
	forgotten uint64 // up to here nothing is told any more
	received  uint64 // up to here all is there
	stored    uint64 // and on disk
	entries   []*logEntry
	completed uint64 // up to here complete
}

func (l *originLog) find(n uint64) *logEntry {
	i, ok := slices.BinarySearchFunc(l.entries, n, func(h *logEntry, n uint64) int { return cmp.Compare(h.Number, n) })
	if !ok {
		return nil
	}
	return l.entries[i]
}

// Config bounds a book.
type Config struct {
	MaxPurges int    // purges held; complete ones go first
	Retention Micros // for how long a purge is obeyed and told; a copy older than that is not trusted once one is forgotten
}

// Book is all purges that one process knows.
type PurgeLog struct {
	cfg          Config
	origins      map[Origin]*originLog
	byRequestKey map[string]*logEntry
	count        int
	// To be obeyed and kept; each comes once.
	pending []Purge
	// No copy from before is trusted; it only grows.
	floor Micros
	lost  bool // purges went by that this process was never told of
}

// NewBook makes an empty one.
func NewPurgeLog(cfg Config) *PurgeLog {
	return &PurgeLog{cfg: cfg, origins: map[Origin]*originLog{}, byRequestKey: map[string]*logEntry{}}
}

func (b *PurgeLog) origin(o Origin) *originLog {
	l := b.origins[o]
	if l == nil {
		l = &originLog{}
		b.origins[o] = l
	}
	return l
}

// Ask gives a purge its number at an origin of this process. One that was asked before
// is the same.
func (b *PurgeLog) Submit(o Origin, s Scope, asked, why string, now Micros) Purge {
	if h := b.byRequestKey[asked]; h != nil {
		return h.withAge(now)
	}
	l := b.origin(o)
	p := Purge{Origin: o, Number: max(l.received, l.forgotten) + 1, Scope: s, RequestKey: asked, Reason: why}
	b.insert(p, now)
	return p
}

func (h *logEntry) withAge(now Micros) Purge {
	p := h.Purge
	p.Age = max(0, now-h.requestedAt)
	return p
}

// Find gives a purge by the name of its asking.
func (b *PurgeLog) Find(asked string, now Micros) (Purge, bool) {
	h := b.byRequestKey[asked]
	if h == nil {
		return Purge{}, false
	}
	return h.withAge(now), true
}

// Told takes purges in that a neighbour told.
func (b *PurgeLog) Receive(list []Purge, now Micros) {
	for _, p := range list[:min(len(list), MaxBatch)] {
		if p.Number > 0 && p.Age >= 0 && len(p.RequestKey) <= maxNameBytes && len(p.Scope.Name) <= maxNameBytes && int(p.Scope.Kind) < len(kindNames) {
			b.insert(p, now)
		}
	}
}

func (b *PurgeLog) insert(p Purge, now Micros) {
	l := b.origin(p.Origin)
	if p.Number <= l.received || p.Number <= l.forgotten || l.find(p.Number) != nil {
		return
	}
	h := &logEntry{Purge: p, requestedAt: now - p.Age}
	i, _ := slices.BinarySearchFunc(l.entries, p.Number, func(h *logEntry, n uint64) int { return cmp.Compare(h.Number, n) })
	l.entries = slices.Insert(l.entries, i, h)
	if p.RequestKey != "" {
		b.byRequestKey[p.RequestKey] = h
	}
	b.count++
	b.pending = append(b.pending, p)
	b.advance(l)
}

// advance moves marks on over what stands without a gap.
func (b *PurgeLog) advance(l *originLog) {
	l.received = max(l.received, l.forgotten)
	for h := l.find(l.received + 1); h != nil; h = l.find(l.received + 1) {
		l.received++
	}
	l.stored = max(l.stored, l.forgotten)
	for h := l.find(l.stored + 1); h != nil && h.stored && l.stored < l.received; h = l.find(l.stored + 1) {
		l.stored++
	}
}

// Apply gives the purges that came since it was last asked, to be obeyed and kept.
func (b *PurgeLog) TakePending() []Purge {
	list := b.pending
	b.pending = nil
	return list
}

// Kept tells that a purge is on disk.
func (b *PurgeLog) MarkStored(o Origin, n uint64) {
	l := b.origins[o]
	if l == nil {
		return
	}
	if h := l.find(n); h != nil {
		h.stored = true
		b.advance(l)
	}
}

// Marks is what is here, all of it.
func (b *PurgeLog) Received() Watermarks {
	return b.watermarks(func(l *originLog) uint64 { return l.received })
}

// Done is what is kept here, and obeyed.
func (b *PurgeLog) Stored() Watermarks {
	return b.watermarks(func(l *originLog) uint64 { return min(l.received, l.stored) })
}

// Whole is what is known to be complete.
func (b *PurgeLog) Completed() Watermarks {
	return b.watermarks(func(l *originLog) uint64 { return l.completed })
}

func (b *PurgeLog) watermarks(of func(*originLog) uint64) Watermarks {
	list := make(Watermarks, 0, len(b.origins))
	for o, l := range b.origins {
		list = append(list, Watermark{o, of(l)})
	}
	slices.SortFunc(list, func(x, y Watermark) int { return compareOrigins(x.Origin, y.Origin) })
	return list
}

// Lacks gives what a neighbour that has so much is to be told, the oldest first; gone
// tells the numbers up to which nothing can be told any more, where it lacks those.
func (b *PurgeLog) MissingFrom(has Watermarks, now Micros) (list []Purge, gone Watermarks) {
	for _, m := range b.Received() {
		l := b.origins[m.Origin]
		n := has.Of(m.Origin)
		if n < l.forgotten {
			gone = append(gone, Watermark{m.Origin, l.forgotten})
		}
		if n >= l.received && len(l.entries) > 0 && l.entries[len(l.entries)-1].Number <= n {
			continue
		}
		i, _ := slices.BinarySearchFunc(l.entries, n+1, func(h *logEntry, n uint64) int { return cmp.Compare(h.Number, n) })
		for _, h := range l.entries[i:] {
			if len(list) >= MaxBatch {
				return list, gone
			}
			list = append(list, h.withAge(now))
		}
	}
	return list, gone
}

// Gone takes in that a neighbour can't tell some purges any more. Where this process
// lacks any of those it trusts no copy from before now.
func (b *PurgeLog) HandleForgotten(marks Watermarks, now Micros) {
	for _, m := range marks {
		if l := b.origin(m.Origin); m.Number > l.received {
			l.forgotten = m.Number
			l.entries = slices.DeleteFunc(l.entries, func(h *logEntry) bool { return b.unlink(h, h.Number <= m.Number) })
			b.advance(l)
			b.DistrustBefore(now)
		}
	}
}

func (b *PurgeLog) unlink(h *logEntry, do bool) bool {
	if do {
		b.count--
		if b.byRequestKey[h.RequestKey] == h {
			delete(b.byRequestKey, h.RequestKey)
		}
	}
	return do
}

// Return has no copy from before a moment be trusted.
func (b *PurgeLog) DistrustBefore(now Micros) {
	b.floor, b.lost = max(b.floor, now), true
}

// Floor is the moment before which no copy is trusted; ok is false where there is none.
func (b *PurgeLog) Floor() (at Micros, ok bool) { return b.floor, b.floor != 0 }

// Complete takes in up to where purges are complete.
func (b *PurgeLog) MarkComplete(marks Watermarks) {
	for _, m := range marks {
		if l := b.origins[m.Origin]; l != nil {
			l.completed = max(l.completed, min(m.Number, l.received))
		}
	}
}

// Fold forgets what is over: purges past their span, and the oldest complete ones where
// too many are held; then the oldest at all. Nobody is told of those any more, and no
// copy older than the newest of them is trusted here.
func (b *PurgeLog) Compact(now Micros) {
	for o, l := range b.origins {
		drop := 0
		for drop < len(l.entries) && l.entries[drop].Number == l.forgotten+uint64(drop)+1 {
			h := l.entries[drop]
			over := now-h.requestedAt > b.cfg.Retention
			crowded := b.count-drop > b.cfg.MaxPurges && (h.Number <= l.completed || b.count-drop > 2*b.cfg.MaxPurges)
			if !over && !crowded {
				break
			}
			b.floor = max(b.floor, h.requestedAt)
			b.unlink(h, true)
			b.count++ // counted below
			drop++
		}
		if drop > 0 {
			l.forgotten += uint64(drop)
			l.entries = slices.Clone(l.entries[drop:])
			b.count -= drop
			b.advance(l)
		}
		if len(l.entries) == 0 && l.forgotten == 0 {
			delete(b.origins, o)
		}
	}
}

// Len counts the purges held.
func (b *PurgeLog) Len() int { return b.count }

// Line is one purge for a person.
type PurgeStatus struct {
	ID         string  `json:"id"`
	RequestKey string  `json:"asked"`
	Scope      string  `json:"scope"`
	Reason     string  `json:"why,omitempty"`
	AgeS       float64 `json:"age_s"`
	Stored     bool    `json:"kept"` // here
	Complete   bool    `json:"complete"`
}

// List gives the newest purges, at most so many.
func (b *PurgeLog) List(most int, now Micros) (list []PurgeStatus) {
	var all []*logEntry
	for _, l := range b.origins {
		all = append(all, l.entries...)
	}
	slices.SortFunc(all, func(x, y *logEntry) int {
		return cmp.Or(cmp.Compare(y.requestedAt, x.requestedAt), compareOrigins(x.Origin, y.Origin), cmp.Compare(y.Number, x.Number))
	})
	for _, h := range all[:min(len(all), most)] {
		list = append(list, PurgeStatus{ID: h.ID(), RequestKey: h.RequestKey, Scope: h.Scope.String(), Reason: h.Reason, AgeS: float64(max(0, now-h.requestedAt)/1000) / 1000,
			Stored: h.stored, Complete: h.Number <= b.origins[h.Origin].completed})
	}
	return list
}

// Snapshot gives what is to be written where the disk's file begins anew.
func (b *PurgeLog) Snapshot(now Micros) (list []Purge, gone Watermarks) {
	for _, m := range b.Received() {
		l := b.origins[m.Origin]
		if l.forgotten > 0 {
			gone = append(gone, Watermark{m.Origin, l.forgotten})
		}
		for _, h := range l.entries {
			list = append(list, h.withAge(now))
		}
	}
	return list, gone
}

// Recovered takes in what a disk had: it is kept already. Ages were lost with the
// process; what is here counts as asked now, which trusts less and never more.
func (b *PurgeLog) Recover(p Purge, now Micros) {
	p.Age = 0
	b.insert(p, now)
	b.MarkStored(p.Origin, p.Number)
}

// RecoveredGone takes in what the disk's file had let go.
func (b *PurgeLog) RecoverForgotten(m Watermark) {
	l := b.origin(m.Origin)
	l.forgotten = max(l.forgotten, m.Number)
	b.advance(l)
}

// Sort orders marks by origin.
func SortWatermarks(m Watermarks) {
	slices.SortFunc(m, func(x, y Watermark) int { return compareOrigins(x.Origin, y.Origin) })
}
