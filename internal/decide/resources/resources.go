// Package resources decides on the use of connections, descriptors and memory in a
// front: which connections are accepted, how long they may be idle as resources run
// short, how many one address prefix may have, and which consumers release how much
// memory under pressure. Account counts connections and descriptors, Budget bytes.
//
// It does no I/O and reads no clock.
package resources

import (
	"net/netip"
)

// Micros is a duration in microseconds.
type Micros = int64

const (
	// idleShrinkThreshold is the used share of connections or bytes from which idle
	// timeouts shrink.
	idleShrinkThreshold = 0.5
	// minIdleFactor is the fraction of the idle timeout that is left at full use.
	minIdleFactor = 1.0 / 16
	// silentThreshold is the share of connections without a first request that is
	// normal, since new clients are about to send theirs.
	silentThreshold = 0.25
)

// Limits bounds connections and descriptors.
type Limits struct {
	MaxConns     int // client connections
	MaxPerPrefix int // client connections of one prefix (/24 or /56); 0: MaxConns
	// MaxDescriptors bounds the descriptors of the process, of which SpareDescriptors
	// stay free for short-lived ones. 0: only MaxConns counts.
	MaxDescriptors, SpareDescriptors int
}

// Account counts the client connections held. Its table of prefixes holds only those
// with connections, so MaxConns bounds it.
type Account struct {
	limits           Limits
	budget           *Budget // nil: bytes are not accounted for
	held             int
	otherDescriptors int                    // descriptors not held by client connections
	byPrefix         map[netip.Prefix]int32 // connections by prefix; empty unless MaxPerPrefix is set
}

// New returns an empty Account. The budget may be nil.
func New(l Limits, budget *Budget) *Account {
	return &Account{limits: l, budget: budget, byPrefix: map[netip.Prefix]int32{}}
}

// SilentTimeout returns how long a connection without a first request is kept when
// others need its slot, given how many such connections there are: the whole
// timeout while they are few, down to 0 as their share grows, since so many are not
// clients whose first request is on its way.
func (a *Account) SilentTimeout(timeout Micros, silent int) Micros {
	share := float64(silent) / float64(max(1, a.maxConns()))
	return Micros(float64(timeout) * max(0, 1-2*max(0, share-silentThreshold)))
}

// SetLimits replaces the limits. Connections beyond them are not closed.
func (a *Account) SetLimits(l Limits) { a.limits = l }

// SetOtherDescriptors sets how many descriptors are not held by client connections.
func (a *Account) SetOtherDescriptors(n int) { a.otherDescriptors = n }

// maxConns returns how many client connections there is room for now. When
// descriptors run short, clients yield to connections to nodes, without which no
// request can be served.
func (a *Account) maxConns() int {
	if a.limits.MaxDescriptors == 0 {
		return a.limits.MaxConns
	}
	return max(1, min(a.limits.MaxConns, a.limits.MaxDescriptors-a.limits.SpareDescriptors-a.otherDescriptors))
}

// TracksPrefixes reports whether Acquire and Release need the prefix.
func (a *Account) TracksPrefixes() bool { return a.limits.MaxPerPrefix > 0 }

// Acquire counts a new connection, or returns false if there is no room for it.
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

// Release ends a connection that Acquire has counted.
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

// Held returns the number of connections held.
func (a *Account) Held() int { return a.held }

// Prefixes returns the number of prefixes in the table.
func (a *Account) Prefixes() int { return len(a.byPrefix) }

// IdleTimeout returns how long a connection may be idle now: the whole timeout while
// connections and bytes are plentiful, then less in proportion to their use, down to
// a sixteenth at full use. It has no steps, so that a front near a threshold does not
// close and reopen its clients' connections.
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
