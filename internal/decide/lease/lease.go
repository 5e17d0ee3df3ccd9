// Package lease decides for how long a front may act without hearing its fleet: what
// a grant is worth to who asked, what it may pass on, and when the others may take a
// lease as surely over.
//
// Moments are the holder's own and never leave it but as a stamp that comes back;
// spans travel. Nothing rests on clocks being equal, only on their rates differing
// from true time by no more than Drift.
package lease

import (
	"maps"
	"slices"
)

// Micros is a span, or a moment of one front's own clock, in microseconds.
type Micros = int64

// Drift is by how much a clock's rate may differ from true time, in percent.
const Drift = 10

// mostWaiting bounds the grants that wait for entries to be applied.
const maxWaiting = 4

// Ask asks for a lease. It travels to who grants, and its stamp back.
type Request struct {
	Stamp Micros `cbor:"1,keyasint"` // the asker's own clock at its making; 0: none is wanted
}

// Grant is the answer.
type Grant struct {
	Stamp     Micros `cbor:"1,keyasint"`           // of the ask
	Span      Micros `cbor:"2,keyasint"`           // from the stamp on
	Index     uint64 `cbor:"3,keyasint"`           // committed when a majority confirmed it, after the ask
	OwnerSpan Micros `cbor:"4,keyasint,omitempty"` // from the stamp on, as a keeper of sites
}

// Lease is the holder's side. The zero value holds nothing.
type Lease struct {
	expiry  Micros
	index   uint64
	waiting []Grant
}

// Take takes a grant in; it counts once entries up to its index have been applied.
// A span longer than most counts as most.
func (l *Lease) Accept(g Grant, maxSpan Micros, applied uint64) {
	if g.Span <= 0 || g.Stamp == 0 {
		return
	}
	g.Span = min(g.Span, maxSpan)
	if len(l.waiting) >= maxWaiting { // the newest takes the last one's place: the first will count soonest
		l.waiting = l.waiting[:maxWaiting-1]
	}
	l.waiting = append(l.waiting, g)
	l.Applied(applied)
}

// Applied tells how far entries have been applied.
func (l *Lease) Applied(index uint64) {
	kept := l.waiting[:0]
	for _, g := range l.waiting {
		if g.Index > index {
			kept = append(kept, g)
		} else if end := g.Stamp + g.Span; end > l.expiry {
			l.expiry, l.index = end, g.Index
		}
	}
	l.waiting = kept
}

// Shorten has a lease end a span from now at the latest.
func (l *Lease) Shorten(now, span Micros) { l.expiry = min(l.expiry, now+span) }

// End is the moment from which on it does not hold; 0: it never did.
func (l *Lease) End() Micros { return l.expiry }

// Holds tells whether it does at a moment.
func (l *Lease) Valid(now Micros) bool { return now < l.expiry }

// Index is the entry that had been committed when what is held was confirmed.
func (l *Lease) Index() uint64 { return l.index }

// Pass is what a holder grants to one that it feeds, at a moment after the ask came:
// what is left of its own. The caller has seen that the asker is not lost in the
// state that the holder has applied, which goes beyond the lease's own index.
func (l *Lease) Delegate(a Request, now Micros) (Grant, bool) {
	if a.Stamp == 0 || !l.Valid(now) {
		return Grant{}, false
	}
	return Grant{Stamp: a.Stamp, Span: l.expiry - now, Index: l.index}, true
}

// Span is the longest lease that a holder may live by: what the rules have for it,
// and no more than the others believe that it does. Rule and known are 0 for ever.
func EffectiveSpan(configured, known Micros) Micros {
	switch {
	case configured == 0:
		return known // until the others know better
	case known == 0:
		return configured // the others may hear of it at any moment
	}
	return min(configured, known)
}

// Over tells whether a lease of a span is surely over for one that asked before a
// moment, once a clock has gone on by elapsed since. A span of 0 is for ever.
func Expired(span, elapsed Micros) bool {
	return span > 0 && elapsed >= ExpirySpan(span)
}

// Until is how much must have passed on a clock for a lease of a span to be surely
// over: the holder's runs slow, and that one fast.
func ExpirySpan(span Micros) Micros { return (span*(100+Drift) + (100 - Drift) - 1) / (100 - Drift) }

// Asker is one who waits for the leader's word.
type Requester struct {
	Name    string
	ID      uint64 // incarnation
	Start   uint64 // process
	Request Request
}

// Round is what a leader grants after a majority has confirmed it once.
type Round struct {
	Number     uint64
	Requesters []Requester
}

// Grantor is the leader's side: it gathers asks, has a majority confirm that it
// leads, and then answers those that were there before the confirmation began.
type Grantor struct {
	number    uint64
	pending   map[string]Requester
	open      *Round
	index     uint64 // of the open one, once confirmed
	confirmed bool
}

// Asked notes an ask; the newest of an asker counts.
func (g *Grantor) Add(a Requester, maxPending int) {
	if a.Request.Stamp == 0 {
		return
	}
	if g.pending == nil {
		g.pending = map[string]Requester{}
	}
	if _, known := g.pending[a.Name]; known || len(g.pending) < maxPending {
		g.pending[a.Name] = a
	}
}

// Begin begins a round, if anybody waits and none is under way; the number goes
// through the confirmation.
func (g *Grantor) Begin() (number uint64, ok bool) {
	if g.open != nil || len(g.pending) == 0 {
		return 0, false
	}
	g.number++
	g.open, g.confirmed = &Round{Number: g.number}, false
	for _, name := range slices.Sorted(maps.Keys(g.pending)) { // like rounds have like effects
		g.open.Requesters = append(g.open.Requesters, g.pending[name])
	}
	g.pending = nil
	return g.number, true
}

// Confirmed tells that a majority confirmed a round, with the index committed then.
func (g *Grantor) Confirmed(number, index uint64) {
	if g.open != nil && g.open.Number == number && !g.confirmed {
		g.index, g.confirmed = index, true
	}
}

// Answers gives the askers of a round that was confirmed, once entries up to its
// index have been applied, and ends it.
func (g *Grantor) TakeConfirmed(applied uint64) (list []Requester, index uint64) {
	if g.open == nil || !g.confirmed || applied < g.index {
		return nil, 0
	}
	list = g.open.Requesters
	g.open = nil
	return list, g.index
}

// Reset forgets all: the front leads no more, or a round came to nothing.
func (g *Grantor) Reset() { g.open, g.pending, g.confirmed = nil, nil, false }

// Under tells whether a round is under way.
func (g *Grantor) InProgress() bool { return g.open != nil }
