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
	mostName = 128
	MaxBatch = 200 // purges of one message
	mostLate = 8   // fronts named that lag behind
)

// ErrScope tells of a purge of nothing that can be named.
var ErrScope = errors.New("object, group, prefix or tag with a name of 1 to 128 bytes is wanted, or all")

// ParseScope reads a scope from its words.
func ParseScope(kind, name string) (Scope, error) {
	i := slices.Index(kindNames[:], kind)
	if i < 0 || len(name) > mostName || (Kind(i) == All) != (name == "") || strings.ContainsAny(name, " \t\r\n") {
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

func compare(a, b Origin) int {
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
	i, ok := slices.BinarySearchFunc(m, o, func(x Watermark, o Origin) int { return compare(x.Origin, o) })
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
type held struct {
	Purge
	at   Micros // when it was asked, at the earliest
	kept bool
}

// line is what a book has of one origin.
type line struct {
	gone  uint64 // up to here nothing is told any more
	have  uint64 // up to here all is there
	kept  uint64 // and on disk
	list  []*held
	whole uint64 // up to here complete
}

func (l *line) find(n uint64) *held {
	i, ok := slices.BinarySearchFunc(l.list, n, func(h *held, n uint64) int { return cmp.Compare(h.Number, n) })
	if !ok {
		return nil
	}
	return l.list[i]
}

// Config bounds a book.
type Config struct {
	MaxPurges int    // purges held; complete ones go first
	Retention Micros // for how long a purge is obeyed and told; a copy older than that is not trusted once one is forgotten
}

// Book is all purges that one process knows.
type PurgeLog struct {
	cfg   Config
	lines map[Origin]*line
	asked map[string]*held
	count int
	// To be obeyed and kept; each comes once.
	apply []Purge
	// No copy from before is trusted; it only grows.
	floor Micros
	lost  bool // purges went by that this process was never told of
}

// NewBook makes an empty one.
func NewPurgeLog(cfg Config) *PurgeLog {
	return &PurgeLog{cfg: cfg, lines: map[Origin]*line{}, asked: map[string]*held{}}
}

func (b *PurgeLog) line(o Origin) *line {
	l := b.lines[o]
	if l == nil {
		l = &line{}
		b.lines[o] = l
	}
	return l
}

// Ask gives a purge its number at an origin of this process. One that was asked before
// is the same.
func (b *PurgeLog) Submit(o Origin, s Scope, asked, why string, now Micros) Purge {
	if h := b.asked[asked]; h != nil {
		return h.told(now)
	}
	l := b.line(o)
	p := Purge{Origin: o, Number: max(l.have, l.gone) + 1, Scope: s, RequestKey: asked, Reason: why}
	b.take(p, now)
	return p
}

func (h *held) told(now Micros) Purge {
	p := h.Purge
	p.Age = max(0, now-h.at)
	return p
}

// Find gives a purge by the name of its asking.
func (b *PurgeLog) Find(asked string, now Micros) (Purge, bool) {
	h := b.asked[asked]
	if h == nil {
		return Purge{}, false
	}
	return h.told(now), true
}

// Told takes purges in that a neighbour told.
func (b *PurgeLog) Receive(list []Purge, now Micros) {
	for _, p := range list[:min(len(list), MaxBatch)] {
		if p.Number > 0 && p.Age >= 0 && len(p.RequestKey) <= mostName && len(p.Scope.Name) <= mostName && int(p.Scope.Kind) < len(kindNames) {
			b.take(p, now)
		}
	}
}

func (b *PurgeLog) take(p Purge, now Micros) {
	l := b.line(p.Origin)
	if p.Number <= l.have || p.Number <= l.gone || l.find(p.Number) != nil {
		return
	}
	h := &held{Purge: p, at: now - p.Age}
	i, _ := slices.BinarySearchFunc(l.list, p.Number, func(h *held, n uint64) int { return cmp.Compare(h.Number, n) })
	l.list = slices.Insert(l.list, i, h)
	if p.RequestKey != "" {
		b.asked[p.RequestKey] = h
	}
	b.count++
	b.apply = append(b.apply, p)
	b.advance(l)
}

// advance moves marks on over what stands without a gap.
func (b *PurgeLog) advance(l *line) {
	l.have = max(l.have, l.gone)
	for h := l.find(l.have + 1); h != nil; h = l.find(l.have + 1) {
		l.have++
	}
	l.kept = max(l.kept, l.gone)
	for h := l.find(l.kept + 1); h != nil && h.kept && l.kept < l.have; h = l.find(l.kept + 1) {
		l.kept++
	}
}

// Apply gives the purges that came since it was last asked, to be obeyed and kept.
func (b *PurgeLog) TakePending() []Purge {
	list := b.apply
	b.apply = nil
	return list
}

// Kept tells that a purge is on disk.
func (b *PurgeLog) MarkStored(o Origin, n uint64) {
	l := b.lines[o]
	if l == nil {
		return
	}
	if h := l.find(n); h != nil {
		h.kept = true
		b.advance(l)
	}
}

// Marks is what is here, all of it.
func (b *PurgeLog) Received() Watermarks {
	return b.watermarks(func(l *line) uint64 { return l.have })
}

// Done is what is kept here, and obeyed.
func (b *PurgeLog) Stored() Watermarks {
	return b.watermarks(func(l *line) uint64 { return min(l.have, l.kept) })
}

// Whole is what is known to be complete.
func (b *PurgeLog) Completed() Watermarks {
	return b.watermarks(func(l *line) uint64 { return l.whole })
}

func (b *PurgeLog) watermarks(of func(*line) uint64) Watermarks {
	list := make(Watermarks, 0, len(b.lines))
	for o, l := range b.lines {
		list = append(list, Watermark{o, of(l)})
	}
	slices.SortFunc(list, func(x, y Watermark) int { return compare(x.Origin, y.Origin) })
	return list
}

// Lacks gives what a neighbour that has so much is to be told, the oldest first; gone
// tells the numbers up to which nothing can be told any more, where it lacks those.
func (b *PurgeLog) MissingFrom(has Watermarks, now Micros) (list []Purge, gone Watermarks) {
	for _, m := range b.Received() {
		l := b.lines[m.Origin]
		n := has.Of(m.Origin)
		if n < l.gone {
			gone = append(gone, Watermark{m.Origin, l.gone})
		}
		if n >= l.have && len(l.list) > 0 && l.list[len(l.list)-1].Number <= n {
			continue
		}
		i, _ := slices.BinarySearchFunc(l.list, n+1, func(h *held, n uint64) int { return cmp.Compare(h.Number, n) })
		for _, h := range l.list[i:] {
			if len(list) >= MaxBatch {
				return list, gone
			}
			list = append(list, h.told(now))
		}
	}
	return list, gone
}

// Gone takes in that a neighbour can't tell some purges any more. Where this process
// lacks any of those it trusts no copy from before now.
func (b *PurgeLog) HandleForgotten(marks Watermarks, now Micros) {
	for _, m := range marks {
		if l := b.line(m.Origin); m.Number > l.have {
			l.gone = m.Number
			l.list = slices.DeleteFunc(l.list, func(h *held) bool { return b.forget(h, h.Number <= m.Number) })
			b.advance(l)
			b.DistrustBefore(now)
		}
	}
}

func (b *PurgeLog) forget(h *held, do bool) bool {
	if do {
		b.count--
		if b.asked[h.RequestKey] == h {
			delete(b.asked, h.RequestKey)
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
		if l := b.lines[m.Origin]; l != nil {
			l.whole = max(l.whole, min(m.Number, l.have))
		}
	}
}

// Fold forgets what is over: purges past their span, and the oldest complete ones where
// too many are held; then the oldest at all. Nobody is told of those any more, and no
// copy older than the newest of them is trusted here.
func (b *PurgeLog) Compact(now Micros) {
	for o, l := range b.lines {
		drop := 0
		for drop < len(l.list) && l.list[drop].Number == l.gone+uint64(drop)+1 {
			h := l.list[drop]
			over := now-h.at > b.cfg.Retention
			crowded := b.count-drop > b.cfg.MaxPurges && (h.Number <= l.whole || b.count-drop > 2*b.cfg.MaxPurges)
			if !over && !crowded {
				break
			}
			b.floor = max(b.floor, h.at)
			b.forget(h, true)
			b.count++ // counted below
			drop++
		}
		if drop > 0 {
			l.gone += uint64(drop)
			l.list = slices.Clone(l.list[drop:])
			b.count -= drop
			b.advance(l)
		}
		if len(l.list) == 0 && l.gone == 0 {
			delete(b.lines, o)
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
	var all []*held
	for _, l := range b.lines {
		all = append(all, l.list...)
	}
	slices.SortFunc(all, func(x, y *held) int {
		return cmp.Or(cmp.Compare(y.at, x.at), compare(x.Origin, y.Origin), cmp.Compare(y.Number, x.Number))
	})
	for _, h := range all[:min(len(all), most)] {
		list = append(list, PurgeStatus{ID: h.ID(), RequestKey: h.RequestKey, Scope: h.Scope.String(), Reason: h.Reason, AgeS: float64(max(0, now-h.at)/1000) / 1000,
			Stored: h.kept, Complete: h.Number <= b.lines[h.Origin].whole})
	}
	return list
}

// Snapshot gives what is to be written where the disk's file begins anew.
func (b *PurgeLog) Snapshot(now Micros) (list []Purge, gone Watermarks) {
	for _, m := range b.Received() {
		l := b.lines[m.Origin]
		if l.gone > 0 {
			gone = append(gone, Watermark{m.Origin, l.gone})
		}
		for _, h := range l.list {
			list = append(list, h.told(now))
		}
	}
	return list, gone
}

// Recovered takes in what a disk had: it is kept already. Ages were lost with the
// process; what is here counts as asked now, which trusts less and never more.
func (b *PurgeLog) Recover(p Purge, now Micros) {
	p.Age = 0
	b.take(p, now)
	b.MarkStored(p.Origin, p.Number)
}

// RecoveredGone takes in what the disk's file had let go.
func (b *PurgeLog) RecoverForgotten(m Watermark) {
	l := b.line(m.Origin)
	l.gone = max(l.gone, m.Number)
	b.advance(l)
}

// Sort orders marks by origin.
func SortWatermarks(m Watermarks) {
	slices.SortFunc(m, func(x, y Watermark) int { return compare(x.Origin, y.Origin) })
}
