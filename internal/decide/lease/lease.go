// Package lease decides how long a front may act without contact to its fleet: what a
// grant is worth to the front that requested it, what a holder may delegate, and when
// the others may take a lease as certainly expired.
//
// Points in time belong to the holder's own clock and leave it only as a stamp that is
// returned; durations are sent. Nothing depends on clocks being equal, only on their
// rates deviating from true time by no more than Drift.
package lease

import (
	"maps"
	"slices"
)

// Micros is a duration, or a point in time of one front's own clock, in microseconds.
type Micros = int64

// Drift is the maximum deviation of a clock's rate from true time, in percent.
const Drift = 10

// maxWaiting limits the grants that wait for entries to be applied.
const maxWaiting = 4

// Request requests a lease. The grant returns its stamp.
type Request struct {
	Stamp Micros `cbor:"1,keyasint"` // requester's own clock when it was made; 0: no lease wanted
}

// Grant is the answer to a request.
type Grant struct {
	Stamp     Micros `cbor:"1,keyasint"`           // of the request
	Span      Micros `cbor:"2,keyasint"`           // from the stamp on
	Index     uint64 `cbor:"3,keyasint"`           // committed index when a majority confirmed the leader, after the request
	OwnerSpan Micros `cbor:"4,keyasint,omitempty"` // from the stamp on, as an owner of sites
}

// Lease is the holder's side. The zero value is a lease that was never granted.
type Lease struct {
	expiry  Micros
	index   uint64
	waiting []Grant
}

// Accept adds a grant. It takes effect once the entries up to its index have been
// applied. Spans longer than maxSpan are cut to maxSpan.
func (l *Lease) Accept(g Grant, maxSpan Micros, applied uint64) {
	if g.Span <= 0 || g.Stamp == 0 {
		return
	}
	g.Span = min(g.Span, maxSpan)
	if len(l.waiting) >= maxWaiting { // the newest replaces the last one: the first ones take effect soonest
		l.waiting = l.waiting[:maxWaiting-1]
	}
	l.waiting = append(l.waiting, g)
	l.Applied(applied)
}

// Applied takes the index up to which entries have been applied.
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

// Shorten makes a lease end no later than now plus a span.
func (l *Lease) Shorten(now, span Micros) { l.expiry = min(l.expiry, now+span) }

// End returns the time at which the lease expires; 0: it was never granted.
func (l *Lease) End() Micros { return l.expiry }

// Valid reports whether the lease is valid at a point in time.
func (l *Lease) Valid(now Micros) bool { return now < l.expiry }

// Index returns the index that had been committed when the lease was confirmed.
func (l *Lease) Index() uint64 { return l.index }

// Delegate returns the grant of a holder to a front that it feeds, at a time after the
// request arrived: the remainder of its own lease. The caller has checked that the
// requester is not lost in the state that the holder has applied, which is past the
// index of the lease.
func (l *Lease) Delegate(a Request, now Micros) (Grant, bool) {
	if a.Stamp == 0 || !l.Valid(now) {
		return Grant{}, false
	}
	return Grant{Stamp: a.Stamp, Span: l.expiry - now, Index: l.index}, true
}

// EffectiveSpan returns the longest lease that a holder may use: the configured one,
// but no more than the other fronts assume for it. 0 means unlimited.
func EffectiveSpan(configured, assumed Micros) Micros {
	switch {
	case configured == 0:
		return assumed // until the others know the configured one
	case assumed == 0:
		return configured // the others may learn of it at any time
	}
	return min(configured, assumed)
}

// Expired reports whether a lease has certainly expired for a holder that requested it
// before a point in time, once a clock has advanced by elapsed since. A span of 0 is
// unlimited.
func Expired(span, elapsed Micros) bool {
	return span > 0 && elapsed >= ExpirySpan(span)
}

// ExpirySpan returns how much time must pass on a clock until a lease has certainly
// expired, if the holder's clock runs slow and that clock runs fast.
func ExpirySpan(span Micros) Micros { return (span*(100+Drift) + (100 - Drift) - 1) / (100 - Drift) }

// Requester is a front that waits for the leader's grant.
type Requester struct {
	Name    string
	ID      uint64 // incarnation
	Start   uint64 // process
	Request Request
}

// Round is the set of requests that a leader grants after one confirmation by a
// majority.
type Round struct {
	Number     uint64
	Requesters []Requester
}

// Grantor is the leader's side: it collects requests, has a majority confirm that it
// leads, and then grants those that were there before the confirmation began.
type Grantor struct {
	number    uint64
	pending   map[string]Requester
	open      *Round
	index     uint64 // of the open round, once confirmed
	confirmed bool
}

// Add adds a request; the newest of a requester counts.
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

// Begin begins a round if there are requests and no round is in progress. The number is
// passed through the confirmation.
func (g *Grantor) Begin() (number uint64, ok bool) {
	if g.open != nil || len(g.pending) == 0 {
		return 0, false
	}
	g.number++
	g.open, g.confirmed = &Round{Number: g.number}, false
	for _, name := range slices.Sorted(maps.Keys(g.pending)) { // sorted, so that equal rounds have equal effects
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

// TakeConfirmed returns the requesters of a confirmed round once the entries up to its
// index have been applied, and ends the round.
func (g *Grantor) TakeConfirmed(applied uint64) (list []Requester, index uint64) {
	if g.open == nil || !g.confirmed || applied < g.index {
		return nil, 0
	}
	list = g.open.Requesters
	g.open = nil
	return list, g.index
}

// Reset drops all requests: the front no longer leads, or a round failed.
func (g *Grantor) Reset() { g.open, g.pending, g.confirmed = nil, nil, false }

// InProgress reports whether a round is in progress.
func (g *Grantor) InProgress() bool { return g.open != nil }
