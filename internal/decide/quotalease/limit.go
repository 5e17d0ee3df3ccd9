// Package quotalease decides how much of a limit that holds for a whole fleet each front
// may spend by itself.
//
// It is escrow (O'Neil, 1986; the demarcation protocol, Barbará and Garcia-Molina, 1992):
// a limit is dealt out in parts, from the root's keeper to sites' keepers to fronts, by
// decayed demand and max-min fair. A part is numbered and leased; what was dealt out
// counts as spent until its holder has confirmed a smaller one or its lease is surely
// over. So the sum of what may be spent never exceeds the limit, whatever the network
// loses, doubles or delays, and whoever dies.
//
// Dealer is a keeper's side, Purse a front's. Neither has a clock or does I/O.
package quotalease

import (
	"errors"
	"fmt"
	"math"

	"cherryramp/internal/decide/lease"
)

// Micros is a span, or a moment of one process's own clock, in microseconds.
type Micros = int64

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate Kind = iota // a second
	Open             // at once
	Uses             // in a span
)

var kindNames = [...]string{"rate", "open", "uses"}

func (k Kind) String() string { return kindNames[k] }

// KindOf gives a kind by its name.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return 0, fmt.Errorf("%q is not rate, open or uses", name)
}

// Limit is one limit of the fleet.
type Limit struct {
	Name          string
	Dimension     string // what it is for: tenant, key, subject
	Who           string // whose; *: of each by itself
	Kind          Kind
	Amount        float64 // requests a second, at once, or uses
	Burst         float64 // of a rate: what may come at once
	Window        Micros  // of uses
	Hard          bool
	IsolatedShare float64 // of a soft one: the part of it, 0 to 1, that the fleet may spend beside it while all are cut off
}

// Rules are the spans and bounds that all limits share.
type Rules struct {
	AllocationLease Micros  // lease of a part
	OwnerLease      Micros  // lease of a keeper
	ClockDrift      float64 // bound on clocks' rates for amounts, as a part of 1
	MaxOpenTime     Micros  // that a request may be open
	ChildTimeout    Micros  // a role unheard for so long is dealt nothing new
}

// Errors of limits.
var (
	ErrAmount        = errors.New("amount: a number above 0 is wanted")
	ErrBurst         = errors.New("burst: 1 at least is wanted")
	ErrIsolatedShare = errors.New("alone_percent: 0 to 100 is possible, and of a soft limit alone")
	ErrWindow        = errors.New("span_s: a span above 0 is wanted, of uses alone")
)

// Check tells what is wrong with a limit.
func (l *Limit) Check() error {
	switch {
	case !(l.Amount > 0 && l.Amount <= 1e9):
		return ErrAmount
	case l.Kind == Rate && !(l.Burst >= 1 && l.Burst <= 1e9):
		return ErrBurst
	case !(l.IsolatedShare >= 0 && l.IsolatedShare <= 1) || l.Hard && l.IsolatedShare > 0:
		return ErrIsolatedShare
	case (l.Kind == Uses) != (l.Window > 0):
		return ErrWindow
	}
	return nil
}

// least is the smallest part that is of use: of a rate one whose share of the burst
// holds one request.
func (l *Limit) minAllocation() float64 {
	if l.Kind == Rate {
		return l.Amount / math.Max(1, l.Burst)
	}
	return 1
}

// Dealt is what the root deals out of a limit: clocks of fronts may run fast.
func (l *Limit) Allocatable(r Rules) float64 {
	if l.Kind == Rate {
		return l.Amount * (1 - r.ClockDrift)
	}
	return math.Floor(l.Amount)
}

// Bound is what a limit can come to when links fail, for an operator to read.
type Bound struct {
	MaxExcess    float64 // the most that the fleet can let through above it: a second, at once, or in the span
	MaxHolders   float64 // fronts that can hold a part at once
	MaxStale     Micros  // the longest that a front spends by a part that no longer holds
	ReclaimAfter Micros  // after which a dead front's part is dealt out anew
	RootRecovery Micros  // after which a new root's keeper deals out what was not told to it
}

// Bound computes it. A hard limit is never over; Stale is then no danger, since what a
// front may still spend has not been given to another.
func (l *Limit) Bound(r Rules) Bound {
	b := Bound{MaxHolders: math.Floor(l.Amount / l.minAllocation()), MaxStale: r.AllocationLease, ReclaimAfter: r.allocationExpiry(l.Kind), RootRecovery: lease.ExpirySpan(r.OwnerLease) + r.allocationExpiry(l.Kind)}
	if !l.Hard {
		b.MaxExcess = l.Amount * l.IsolatedShare
	}
	if l.Kind == Uses {
		b.MaxStale, b.ReclaimAfter, b.RootRecovery = l.Window, l.Window, l.Window
	}
	return b
}

// over is how long a part counts after it was last leased.
func (r Rules) allocationExpiry(k Kind) Micros {
	if k == Open {
		return lease.ExpirySpan(r.AllocationLease + r.MaxOpenTime)
	}
	return lease.ExpirySpan(r.AllocationLease)
}

// Key names one limit of one name.
type Key struct {
	Limit string `cbor:"1,keyasint"`
	Who   string `cbor:"2,keyasint,omitempty"`
}

// Part is leave to spend, on its way down.
type Allocation struct {
	Key    Key     `cbor:"1,keyasint"`
	Number uint64  `cbor:"2,keyasint"` // grows with each change of it
	Amount float64 `cbor:"3,keyasint"`
	Span   Micros  `cbor:"4,keyasint"`           // from the stamp of the ask on
	Epoch  uint64  `cbor:"5,keyasint,omitempty"` // of uses: which span of the root's
}

// Grant is what a keeper gives a role.
type Grant struct {
	Site        string       `cbor:"1,keyasint"`
	Owner       uint64       `cbor:"2,keyasint"`
	Stamp       Micros       `cbor:"3,keyasint"` // of the ask, by the asker's clock
	Allocations []Allocation `cbor:"4,keyasint,omitempty"`
}

// Want is what a role says of one limit, on its way up.
type LimitRequest struct {
	Key        Key     `cbor:"1,keyasint"`
	Demand     float64 `cbor:"2,keyasint"`           // a second, at once, or more uses, decayed
	Number     uint64  `cbor:"3,keyasint,omitempty"` // the newest part of this keeper's that it goes by; 0: none
	Held       float64 `cbor:"4,keyasint,omitempty"` // the most that it may still spend of this keeper's parts
	HeldBefore float64 `cbor:"5,keyasint,omitempty"` // that it holds of earlier keepers of the same site
	Epoch      uint64  `cbor:"6,keyasint,omitempty"`
}

// Ask is what a role asks a keeper for.
type Request struct {
	Stamp  Micros         `cbor:"1,keyasint"`
	Limits []LimitRequest `cbor:"2,keyasint,omitempty"`
}
