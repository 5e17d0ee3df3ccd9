// Package resources decides what a front may hold: which clients' connections are
// let in, how long one may idle as places or bytes fill up, which prefix of
// addresses has enough, and which part gives back how much when memory runs short.
// It keeps one account of places and descriptors, and one of bytes.
//
// It does no I/O and asks no clock.
package resources

import (
	"net/netip"
)

// Micros is a span in microseconds.
type Micros = int64

// The share of places from which idle times shrink, and what is left of one when
// all are taken.
const (
	idleShrinkThreshold = 0.5
	minIdleFactor       = 1.0 / 16
	// silentFew is the share of places that clients who come and are about to ask
	// may well fill.
	silentThreshold = 0.25
)

// Limits bound what is held.
type Limits struct {
	MaxConns     int // connections in all
	MaxPerPrefix int // of one prefix (/24 or /56); 0: as many as there are places
	// Descriptors that the process may hold, of which Spare stay free for what
	// comes and goes. 0: only the places count.
	MaxDescriptors, SpareDescriptors int
}

// Account is the places that are taken. Its table of prefixes holds those with
// connections only, so it is bounded by the places.
type Account struct {
	limits           Limits
	budget           *Budget // nil: none is kept
	held             int
	otherDescriptors int                    // descriptors held by others than clients
	byPrefix         map[netip.Prefix]int32 // empty unless prefixes are bounded
}

// New makes an account; of bytes, where a budget is given too.
func New(l Limits, budget *Budget) *Account {
	return &Account{limits: l, budget: budget, byPrefix: map[netip.Prefix]int32{}}
}

// Patience is for how long one that has said nothing yet is left alone when others
// need its place, of what is set: all of it while few are silent, and nothing when
// all are, since a crowd of them is no crowd of clients whose first request is
// under way.
func (a *Account) SilentTimeout(timeout Micros, silent int) Micros {
	share := float64(silent) / float64(max(1, a.maxConns()))
	return Micros(float64(timeout) * max(0, 1-2*max(0, share-silentThreshold)))
}

// Rebound sets other limits. Who is over them is not turned out by that.
func (a *Account) SetLimits(l Limits) { a.limits = l }

// Others takes over how many descriptors are held by others than clients.
func (a *Account) SetOtherDescriptors(n int) { a.otherDescriptors = n }

// places is how many clients there is room for now. Where descriptors run short,
// clients yield to nodes: without those nobody is served.
func (a *Account) maxConns() int {
	if a.limits.MaxDescriptors == 0 {
		return a.limits.MaxConns
	}
	return max(1, min(a.limits.MaxConns, a.limits.MaxDescriptors-a.limits.SpareDescriptors-a.otherDescriptors))
}

// PerPrefix tells whether Enter and Leave want to know the prefix.
func (a *Account) TracksPrefixes() bool { return a.limits.MaxPerPrefix > 0 }

// Enter takes a place for a connection, or refuses it.
func (a *Account) Acquire(p netip.Prefix) bool {
	if a.held >= a.maxConns() || a.budget != nil && a.budget.Level() == Critical {
		return false
	}
	if a.limits.MaxPerPrefix > 0 && p.IsValid() {
		if int(a.byPrefix[p]) >= a.limits.MaxPerPrefix {
			return false
		}
		a.byPrefix[p]++
	}
	a.held++
	return true
}

// Leave gives a place back.
func (a *Account) Release(p netip.Prefix) {
	a.held--
	if n, ok := a.byPrefix[p]; ok {
		if n <= 1 {
			delete(a.byPrefix, p)
		} else {
			a.byPrefix[p] = n - 1
		}
	}
}

// Held counts the places taken.
func (a *Account) Held() int { return a.held }

// Prefixes counts the prefixes that are known.
func (a *Account) Prefixes() int { return len(a.byPrefix) }

// Idle is how long a connection may idle now, of what is set: all of it while
// places and bytes are easy, then less in proportion, down to a sixteenth when
// none is left. It has no steps, so that a front near a mark does not drive its clients
// back and forth.
func (a *Account) IdleTimeout(timeout Micros) Micros {
	share := float64(a.held) / float64(max(1, a.maxConns()))
	if a.budget != nil {
		share = max(share, a.budget.Pressure())
	}
	if share <= idleShrinkThreshold {
		return timeout
	}
	factor := 1 - (1-minIdleFactor)*min(1, (share-idleShrinkThreshold)/(1-idleShrinkThreshold))
	return Micros(float64(timeout) * factor)
}
