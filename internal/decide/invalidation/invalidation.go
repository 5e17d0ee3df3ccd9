// Package invalidation distributes purges through a fleet. A purge is numbered by the site
// where it was requested, spreads along the tree in both directions until every front has
// it, and is complete once every front has stored and applied it or has certainly stopped
// serving.
//
// The state of a process is described by watermarks: for each origin, the number up to
// which all purges are present. Neighbours compare watermarks and send each other what is
// missing, so lost, duplicated and late messages do no harm (anti-entropy, Demers et al.,
// 1987). Acknowledgements travel up as watermarks that hold for a whole site, plus the
// names of some laggards; their size does not grow with the fleet while there are none.
//
// Times are on the process's own clock and are never sent; ages are sent instead.
package invalidation

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Micros is a duration, or a time on the process's own clock, in microseconds.
type Micros = int64

// Kind is the kind of a purge's scope.
type Kind uint8

// The kinds of scopes.
const (
	All Kind = iota
	Object
	Group
	Prefix // of object names
	Tag    // attached to copies by their responses
)

var kindNames = [...]string{"all", "object", "group", "prefix", "tag"}

func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// Scope is the set of copies that a purge invalidates.
type Scope struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

func (s Scope) String() string { return strings.TrimSpace(s.Kind.String() + " " + s.Name) }

// Limits.
const (
	maxNameBytes = 128
	MaxBatch     = 200 // purges in one message
	maxLaggards  = 8   // laggards named in a summary
)

// ErrScope is returned for an invalid scope.
var ErrScope = errors.New("object, group, prefix or tag with a name of 1 to 128 bytes is wanted, or all")

// ParseScope returns the scope of a kind and a name, or an error if they are invalid.
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

// Origin is a source of purge numbers: a site under one owner.
type Origin struct {
	Site  string `cbor:"1,keyasint"`
	Owner uint64 `cbor:"2,keyasint"`
}

func (o Origin) String() string { return fmt.Sprintf("%s#%d", cmp.Or(o.Site, "/"), o.Owner) }

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Owner, b.Owner))
}

// Purge is a purge as it is sent between processes.
type Purge struct {
	Origin     Origin `cbor:"1,keyasint"`
	Number     uint64 `cbor:"2,keyasint"`
	Scope      Scope  `cbor:"3,keyasint"`
	RequestKey string `cbor:"4,keyasint"` // idempotency key: a repeated request with it is the same purge
	Age        Micros `cbor:"5,keyasint"` // minimum time since it was requested
	Reason     string `cbor:"6,keyasint,omitempty"`
}

// ID returns the purge's origin and number as text.
func (p *Purge) ID() string { return fmt.Sprintf("%s:%d", p.Origin, p.Number) }

// Watermark states that all purges of an origin up to a number are present.
type Watermark struct {
	Origin Origin `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Watermarks is a list of watermarks ordered by origin.
type Watermarks []Watermark

// Of returns the number of an origin; 0 if it has none.
func (m Watermarks) Of(o Origin) uint64 {
	i, ok := slices.BinarySearchFunc(m, o, func(x Watermark, o Origin) int { return compareOrigins(x.Origin, o) })
	if !ok {
		return 0
	}
	return m[i].Number
}

// Equal reports whether both have the same number for every origin.
func (m Watermarks) Equal(o Watermarks) bool { return m.covers(o) && o.covers(m) }

// covers reports whether m is at least o for every origin.
func (m Watermarks) covers(o Watermarks) bool {
	for _, x := range o {
		if m.Of(x.Origin) < x.Number {
			return false
		}
	}
	return true
}

// logEntry is a purge in a PurgeLog.
type logEntry struct {
	Purge
	requestedAt Micros // when it was requested, at the latest
	stored      bool
}

// originLog holds the purges of one origin.
type originLog struct {
	forgotten uint64 // purges up to here were removed and are no longer sent
	received  uint64 // all purges up to here are present
	stored    uint64 // all purges up to here are on disk
	entries   []*logEntry
	completed uint64 // all purges up to here are complete
}

func (origin *originLog) find(n uint64) *logEntry {
	i, ok := slices.BinarySearchFunc(origin.entries, n, func(h *logEntry, n uint64) int { return cmp.Compare(h.Number, n) })
	if !ok {
		return nil
	}
	return origin.entries[i]
}

// Config holds the bounds of a PurgeLog.
type Config struct {
	MaxPurges int    // maximum number of purges held; complete ones are removed first
	Retention Micros // how long a purge is held and sent; once one is removed, older copies are not trusted
}

// PurgeLog holds the purges known to one process.
type PurgeLog struct {
	cfg          Config
	origins      map[Origin]*originLog
	byRequestKey map[string]*logEntry
	count        int
	// Purges to be applied and stored, each returned once by TakePending.
	pending []Purge
	// Copies from before this time are not trusted; it never decreases.
	floor Micros
	lost  bool // purges were removed elsewhere before this process received them
}

// NewPurgeLog returns an empty PurgeLog.
func NewPurgeLog(cfg Config) *PurgeLog {
	return &PurgeLog{cfg: cfg, origins: map[Origin]*originLog{}, byRequestKey: map[string]*logEntry{}}
}

func (log *PurgeLog) origin(o Origin) *originLog {
	origin := log.origins[o]
	if origin == nil {
		origin = &originLog{}
		log.origins[o] = origin
	}
	return origin
}

// Submit numbers a new purge at an origin owned by this process. If the request key is
// known, it returns the existing purge.
func (log *PurgeLog) Submit(o Origin, s Scope, requestKey, reason string, now Micros) Purge {
	if entry := log.byRequestKey[requestKey]; entry != nil {
		return entry.withAge(now)
	}
	origin := log.origin(o)
	p := Purge{Origin: o, Number: max(origin.received, origin.forgotten) + 1, Scope: s, RequestKey: requestKey, Reason: reason}
	log.insert(p, now)
	return p
}

func (entry *logEntry) withAge(now Micros) Purge {
	p := entry.Purge
	p.Age = max(0, now-entry.requestedAt)
	return p
}

// Find returns the purge of a request key.
func (log *PurgeLog) Find(requestKey string, now Micros) (Purge, bool) {
	entry := log.byRequestKey[requestKey]
	if entry == nil {
		return Purge{}, false
	}
	return entry.withAge(now), true
}

// Receive stores purges sent by a neighbour; invalid ones are skipped.
func (log *PurgeLog) Receive(list []Purge, now Micros) {
	for _, p := range list[:min(len(list), MaxBatch)] {
		if p.Number > 0 && p.Age >= 0 && len(p.RequestKey) <= maxNameBytes && len(p.Scope.Name) <= maxNameBytes && int(p.Scope.Kind) < len(kindNames) {
			log.insert(p, now)
		}
	}
}

func (log *PurgeLog) insert(p Purge, now Micros) {
	origin := log.origin(p.Origin)
	if p.Number <= origin.received || p.Number <= origin.forgotten || origin.find(p.Number) != nil {
		return
	}
	entry := &logEntry{Purge: p, requestedAt: now - p.Age}
	i, _ := slices.BinarySearchFunc(origin.entries, p.Number, func(entry *logEntry, n uint64) int { return cmp.Compare(entry.Number, n) })
	origin.entries = slices.Insert(origin.entries, i, entry)
	if p.RequestKey != "" {
		log.byRequestKey[p.RequestKey] = entry
	}
	log.count++
	log.pending = append(log.pending, p)
	log.advance(origin)
}

// advance moves the watermarks over consecutive purges.
func (log *PurgeLog) advance(origin *originLog) {
	origin.received = max(origin.received, origin.forgotten)
	for entry := origin.find(origin.received + 1); entry != nil; entry = origin.find(origin.received + 1) {
		origin.received++
	}
	origin.stored = max(origin.stored, origin.forgotten)
	for entry := origin.find(origin.stored + 1); entry != nil && entry.stored && origin.stored < origin.received; entry = origin.find(origin.stored + 1) {
		origin.stored++
	}
}

// TakePending returns the purges added since the last call, to be applied and stored.
func (log *PurgeLog) TakePending() []Purge {
	list := log.pending
	log.pending = nil
	return list
}

// MarkStored records that a purge is on disk.
func (log *PurgeLog) MarkStored(o Origin, n uint64) {
	origin := log.origins[o]
	if origin == nil {
		return
	}
	if entry := origin.find(n); entry != nil {
		entry.stored = true
		log.advance(origin)
	}
}

// Received returns the watermarks of purges present in this process.
func (log *PurgeLog) Received() Watermarks {
	return log.watermarks(func(origin *originLog) uint64 { return origin.received })
}

// Stored returns the watermarks of purges stored and applied by this process.
func (log *PurgeLog) Stored() Watermarks {
	return log.watermarks(func(origin *originLog) uint64 { return min(origin.received, origin.stored) })
}

// Completed returns the watermarks of purges known to be complete.
func (log *PurgeLog) Completed() Watermarks {
	return log.watermarks(func(origin *originLog) uint64 { return origin.completed })
}

func (log *PurgeLog) watermarks(of func(*originLog) uint64) Watermarks {
	list := make(Watermarks, 0, len(log.origins))
	for o, origin := range log.origins {
		list = append(list, Watermark{o, of(origin)})
	}
	slices.SortFunc(list, func(x, y Watermark) int { return compareOrigins(x.Origin, y.Origin) })
	return list
}

// MissingFrom returns the purges to send to a neighbour with the given watermarks, the
// oldest first, at most MaxBatch. For origins where the neighbour lacks purges that were
// removed here, forgotten holds the number of the last removed one.
func (log *PurgeLog) MissingFrom(watermarks Watermarks, now Micros) (list []Purge, forgotten Watermarks) {
	for _, m := range log.Received() {
		origin := log.origins[m.Origin]
		n := watermarks.Of(m.Origin)
		if n < origin.forgotten {
			forgotten = append(forgotten, Watermark{m.Origin, origin.forgotten})
		}
		if n >= origin.received && len(origin.entries) > 0 && origin.entries[len(origin.entries)-1].Number <= n {
			continue
		}
		i, _ := slices.BinarySearchFunc(origin.entries, n+1, func(entry *logEntry, n uint64) int { return cmp.Compare(entry.Number, n) })
		for _, entry := range origin.entries[i:] {
			if len(list) >= MaxBatch {
				return list, forgotten
			}
			list = append(list, entry.withAge(now))
		}
	}
	return list, forgotten
}

// HandleForgotten takes the watermarks of purges that a neighbour has removed. If this
// process lacks any of them, it no longer trusts copies from before now.
func (log *PurgeLog) HandleForgotten(watermarks Watermarks, now Micros) {
	for _, m := range watermarks {
		if origin := log.origin(m.Origin); m.Number > origin.received {
			origin.forgotten = m.Number
			origin.entries = slices.DeleteFunc(origin.entries, func(entry *logEntry) bool { return log.unlink(entry, entry.Number <= m.Number) })
			log.advance(origin)
			log.DistrustBefore(now)
		}
	}
}

func (log *PurgeLog) unlink(entry *logEntry, remove bool) bool {
	if remove {
		log.count--
		if log.byRequestKey[entry.RequestKey] == entry {
			delete(log.byRequestKey, entry.RequestKey)
		}
	}
	return remove
}

// DistrustBefore makes all copies from before a time untrusted.
func (log *PurgeLog) DistrustBefore(now Micros) {
	log.floor, log.lost = max(log.floor, now), true
}

// Floor returns the time before which no copy is trusted; ok is false if there is none.
func (log *PurgeLog) Floor() (at Micros, ok bool) { return log.floor, log.floor != 0 }

// MarkComplete records up to where purges are complete.
func (log *PurgeLog) MarkComplete(watermarks Watermarks) {
	for _, m := range watermarks {
		if origin := log.origins[m.Origin]; origin != nil {
			origin.completed = max(origin.completed, min(m.Number, origin.received))
		}
	}
}

// Compact removes purges past Retention and, while more than MaxPurges are held, the oldest
// complete ones; beyond twice MaxPurges also incomplete ones. Removed purges are no longer
// sent, and copies older than the newest of them are no longer trusted here.
func (log *PurgeLog) Compact(now Micros) {
	for o, origin := range log.origins {
		drop := 0
		for drop < len(origin.entries) && origin.entries[drop].Number == origin.forgotten+uint64(drop)+1 {
			entry := origin.entries[drop]
			expired := now-entry.requestedAt > log.cfg.Retention
			excess := log.count-drop > log.cfg.MaxPurges && (entry.Number <= origin.completed || log.count-drop > 2*log.cfg.MaxPurges)
			if !expired && !excess {
				break
			}
			log.floor = max(log.floor, entry.requestedAt)
			log.unlink(entry, true)
			log.count++ // subtracted again below
			drop++
		}
		if drop > 0 {
			origin.forgotten += uint64(drop)
			origin.entries = slices.Clone(origin.entries[drop:])
			log.count -= drop
			log.advance(origin)
		}
		if len(origin.entries) == 0 && origin.forgotten == 0 {
			delete(log.origins, o)
		}
	}
}

// Len returns the number of purges held.
func (log *PurgeLog) Len() int { return log.count }

// PurgeStatus describes one purge for operators.
type PurgeStatus struct {
	ID         string  `json:"id"`
	RequestKey string  `json:"asked"`
	Scope      string  `json:"scope"`
	Reason     string  `json:"why,omitempty"`
	AgeS       float64 `json:"age_s"`
	Stored     bool    `json:"kept"` // by this process
	Complete   bool    `json:"complete"`
}

// List returns the newest purges, at most the given number.
func (log *PurgeLog) List(maxCount int, now Micros) (list []PurgeStatus) {
	var all []*logEntry
	for _, origin := range log.origins {
		all = append(all, origin.entries...)
	}
	slices.SortFunc(all, func(x, y *logEntry) int {
		return cmp.Or(cmp.Compare(y.requestedAt, x.requestedAt), compareOrigins(x.Origin, y.Origin), cmp.Compare(y.Number, x.Number))
	})
	for _, entry := range all[:min(len(all), maxCount)] {
		list = append(list, PurgeStatus{ID: entry.ID(), RequestKey: entry.RequestKey, Scope: entry.Scope.String(), Reason: entry.Reason, AgeS: float64(max(0, now-entry.requestedAt)/1000) / 1000,
			Stored: entry.stored, Complete: entry.Number <= log.origins[entry.Origin].completed})
	}
	return list
}

// Snapshot returns the purges and the watermarks of removed ones, to be written when the
// file on disk is rewritten.
func (log *PurgeLog) Snapshot(now Micros) (list []Purge, forgotten Watermarks) {
	for _, m := range log.Received() {
		origin := log.origins[m.Origin]
		if origin.forgotten > 0 {
			forgotten = append(forgotten, Watermark{m.Origin, origin.forgotten})
		}
		for _, entry := range origin.entries {
			list = append(list, entry.withAge(now))
		}
	}
	return list, forgotten
}

// Recover adds a purge read from disk, which is stored already. Its age is unknown after a
// restart, so it counts as requested now, which invalidates more copies and never fewer.
func (log *PurgeLog) Recover(p Purge, now Micros) {
	p.Age = 0
	log.insert(p, now)
	log.MarkStored(p.Origin, p.Number)
}

// RecoverForgotten adds the watermark of removed purges read from disk.
func (log *PurgeLog) RecoverForgotten(m Watermark) {
	origin := log.origin(m.Origin)
	origin.forgotten = max(origin.forgotten, m.Number)
	log.advance(origin)
}

// SortWatermarks sorts watermarks by origin.
func SortWatermarks(m Watermarks) {
	slices.SortFunc(m, func(x, y Watermark) int { return compareOrigins(x.Origin, y.Origin) })
}
