// Package quotalease divides fleet-wide limits into amounts that each front may spend
// without coordination.
//
// It is an escrow scheme (O'Neil, 1986; the demarcation protocol, Barbará and
// Garcia-Molina, 1992): a limit is divided into allocations, from the root's owner to the
// sites' owners to the fronts, max-min fair by decayed demand. An allocation is numbered
// and leased. It counts as spent until its holder has confirmed a smaller one or its lease
// has certainly expired. The sum of what may be spent therefore never exceeds the limit,
// even if messages are lost, duplicated or delayed and processes fail.
//
// Allocator runs in owners, Limiter in fronts. Neither reads a clock or does I/O.
package quotalease

import (
	"errors"
	"fmt"
	"math"

	"cherryramp/internal/decide/lease"
)

// Micros is a duration, or a time on the process's own clock, in microseconds.
type Micros = int64

// Kind is the quantity that a limit bounds.
type Kind uint8

// The kinds of limits.
const (
	Rate Kind = iota // requests per second
	Open             // concurrently open requests
	Uses             // requests in a window
)

var kindNames = [...]string{"rate", "open", "uses"}

func (k Kind) String() string { return kindNames[k] }

// ParseKind returns the kind of a name.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return 0, fmt.Errorf("unknown kind %q: must be rate, open or uses", name)
}

// Limit is one fleet-wide limit.
type Limit struct {
	Name          string
	Dimension     string // tenant, key or subject
	Who           string // name that it applies to; * applies it to each name separately
	Kind          Kind
	Amount        float64 // requests per second, open requests, or uses
	Burst         float64 // requests that may come at once, for a rate
	Window        Micros  // window of uses
	Hard          bool
	IsolatedShare float64 // for a soft limit: fraction, 0 to 1, that the fleet may spend in addition while all fronts are isolated
}

// Rules are the parameters shared by all limits.
type Rules struct {
	AllocationLease Micros  // lease of an allocation
	OwnerLease      Micros  // lease of an owner
	ClockDrift      float64 // bound on clock rate errors, as a fraction, by which rates are reduced
	MaxOpenTime     Micros  // longest time that a request may be open
	ChildTimeout    Micros  // a role not heard for this long gets no new allocations
}

// Errors of invalid limits.
var (
	ErrAmount        = errors.New("amount: must be above 0 and at most 1e9")
	ErrBurst         = errors.New("burst: must be 1 to 1e9 for a rate")
	ErrIsolatedShare = errors.New("alone_percent: must be 0 to 100, and 0 for a hard limit")
	ErrWindow        = errors.New("span_s: must be above 0 for uses, and absent for other kinds")
)

// Check returns an error if the limit is invalid.
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

// minAllocation returns the smallest useful allocation; for a rate, one whose share of the
// burst is a single request.
func (l *Limit) minAllocation() float64 {
	if l.Kind == Rate {
		return l.Amount / math.Max(1, l.Burst)
	}
	return 1
}

// Allocatable returns the amount that the root allocates. Rates are reduced by ClockDrift,
// since clocks of fronts may run fast.
func (l *Limit) Allocatable(r Rules) float64 {
	if l.Kind == Rate {
		return l.Amount * (1 - r.ClockDrift)
	}
	return math.Floor(l.Amount)
}

// Bound is the worst case of a limit when links fail, for operators.
type Bound struct {
	MaxExcess    float64 // most that the fleet can admit above the limit, in the limit's unit
	MaxHolders   float64 // fronts that can hold an allocation at the same time
	MaxStale     Micros  // longest time that a front uses an outdated allocation
	ReclaimAfter Micros  // time until a failed front's allocation is reallocated
	RootRecovery Micros  // time until a new root owner allocates what nobody has reported to it
}

// Bound computes the worst case. A hard limit is never exceeded, despite MaxStale, since
// what a front may still spend has not been allocated to another.
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

// allocationExpiry returns how long an allocation counts as spent after its last lease.
func (r Rules) allocationExpiry(k Kind) Micros {
	if k == Open {
		return lease.ExpirySpan(r.AllocationLease + r.MaxOpenTime)
	}
	return lease.ExpirySpan(r.AllocationLease)
}

// Key identifies a limit and the name that it applies to.
type Key struct {
	Limit string `cbor:"1,keyasint"`
	Who   string `cbor:"2,keyasint,omitempty"`
}

// Allocation is an amount that may be spent, as sent to a site or front.
type Allocation struct {
	Key    Key     `cbor:"1,keyasint"`
	Number uint64  `cbor:"2,keyasint"` // increases with each change
	Amount float64 `cbor:"3,keyasint"`
	Span   Micros  `cbor:"4,keyasint"`           // lease, from the stamp of the request
	Epoch  uint64  `cbor:"5,keyasint,omitempty"` // window of the root's, for uses
}

// Grant holds the allocations that an owner sends to a role.
type Grant struct {
	Site        string       `cbor:"1,keyasint"`
	Owner       uint64       `cbor:"2,keyasint"`
	Stamp       Micros       `cbor:"3,keyasint"` // stamp of the request, on the requester's clock
	Allocations []Allocation `cbor:"4,keyasint,omitempty"`
}

// LimitRequest is a role's demand and state for one limit, as sent to an owner.
type LimitRequest struct {
	Key        Key     `cbor:"1,keyasint"`
	Demand     float64 `cbor:"2,keyasint"`           // decayed demand: requests per second, open requests, or further uses
	Number     uint64  `cbor:"3,keyasint,omitempty"` // newest allocation of this owner in use; 0 if there is none
	Held       float64 `cbor:"4,keyasint,omitempty"` // most that it may still spend of this owner's allocations
	HeldBefore float64 `cbor:"5,keyasint,omitempty"` // amount held from earlier owners of the same site
	Epoch      uint64  `cbor:"6,keyasint,omitempty"`
}

// Request is a role's request to an owner.
type Request struct {
	Stamp  Micros         `cbor:"1,keyasint"`
	Limits []LimitRequest `cbor:"2,keyasint,omitempty"`
}
