package quotalease

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"cherryramp/internal/decide/lease"
)

// Parameters of an allocator.
const (
	maxRoles        = 1024  // roles served by one owner
	maxUnconfirmed  = 8     // unconfirmed allocations of one role and limit
	minHeadroom     = 1.02  // factor above demand when the limit is in short supply
	maxHeadroom     = 1.25  // factor above demand otherwise
	changeThreshold = 0.005 // smallest relative change for which a new allocation is sent
)

// sentAllocation is an allocation that was sent and may be spent.
type sentAllocation struct {
	Number uint64
	Amount float64
	Expiry Micros `cbor:"Over"` // from then on it certainly cannot be spent
}

// childState is an allocator's state of one role for one limit.
type childState struct {
	Demand     float64
	Number     uint64           // of the last allocation sent
	LastAmount float64          `cbor:"Latest"`
	Sent       []sentAllocation `cbor:"Given"`
	Held       float64          // most that the role reported it may still spend
	HeldUntil  Micros           `cbor:"Until"` // when Held expires
}

// outstanding returns the most that a role may spend now.
func (c *childState) outstanding(now Micros) (amount float64) {
	if now < c.HeldUntil {
		amount = c.Held
	}
	for _, g := range c.Sent {
		if now < g.Expiry {
			amount = max(amount, g.Amount)
		}
	}
	return amount
}

// heldAllocation is an allocation that a site's owner holds from an owner above.
type heldAllocation struct {
	From   Source
	Number uint64
	Amount float64
	End    Micros
	Epoch  uint64
}

// limitState is the state of one limit and name at an allocator.
type limitState struct {
	Held     []heldAllocation `cbor:"Own"` // allocations of a site; the root has the limit itself
	Children map[string]*childState
	Turn     int
	Epoch    uint64 // window of uses
	EpochEnd Micros
}

// member is a role that sends requests.
type member struct {
	LastHeard     Micros `cbor:"Heard"`
	Stamp         Micros // of its last request, on its own clock
	StampReceived Micros `cbor:"Came"` // when that request arrived
}

// Ledger is the state of an allocator as it is stored. The tags keep the names of fields
// in ledgers stored by earlier versions.
type Ledger struct {
	Site         string
	Number       uint64
	QuietUntil   Micros              `cbor:"Quiet"`   // the previous owner may allocate until then
	UnknownUntil Micros              `cbor:"Unknown"` // not set: computed per limit by unknownUntil
	Limits       map[Key]*limitState `cbor:"-"`
	List         []ledgerEntry       // Limits in stored form
	Members      map[string]*member
}

type ledgerEntry struct {
	Key   Key
	State *limitState `cbor:"Sheet"`
}

// Allocator allocates limits for one site, as the owner of one number.
type Allocator struct {
	rules    Rules
	limits   map[string]*Limit
	ledger   Ledger
	mutation Mutation
}

// Mutation names a rule that is disabled to test that the checkers detect its absence.
type Mutation string

// The rules that can be disabled.
const (
	DisableExpiry  Mutation = "over"  // allocations count as free as soon as their role is not heard
	DisableReplace Mutation = "twice" // a request adds to the demand of the previous one instead of replacing it
)

// NewAllocator returns an allocator for a site's owner named at the time now. PriorLease
// is the lease that a previous root owner may still have; it is not needed for other
// sites, whose allocations come out of the amount held from above, whoever owned the site before.
func NewAllocator(rules Rules, limits []Limit, site string, number uint64, priorLease, now Micros) *Allocator {
	alloc := &Allocator{ledger: Ledger{Site: site, Number: number, Limits: map[Key]*limitState{}, Members: map[string]*member{}}}
	if priorLease > 0 && site == "" {
		alloc.ledger.QuietUntil = now + lease.ExpirySpan(priorLease)
	}
	alloc.Reconfigure(rules, limits, now)
	return alloc
}

// Disable disables a rule.
func (alloc *Allocator) Disable(r Mutation) { alloc.mutation = r }

// Reconfigure replaces the rules and limits. Allocations made from a limit that is now
// smaller count until a smaller one is confirmed or they have certainly expired.
func (alloc *Allocator) Reconfigure(rules Rules, limits []Limit, now Micros) {
	alloc.rules, alloc.limits = rules, map[string]*Limit{}
	for i := range limits {
		l := limits[i]
		alloc.limits[l.Name] = &l
		if l.Who != "*" && alloc.isRoot() {
			alloc.limitState(Key{Limit: l.Name, Who: l.Who}, now)
		}
	}
	for k := range alloc.ledger.Limits {
		if alloc.limits[k.Limit] == nil {
			delete(alloc.ledger.Limits, k)
		}
	}
}

// unknownUntil returns until when allocations of the previous owner may be spent; 0 if
// there was none.
func (alloc *Allocator) unknownUntil(l *Limit) Micros {
	switch {
	case alloc.ledger.QuietUntil == 0:
		return 0
	case l.Kind == Uses:
		return alloc.ledger.QuietUntil + lease.ExpirySpan(l.Window)
	}
	return alloc.ledger.QuietUntil + alloc.rules.allocationExpiry(l.Kind)
}

func (alloc *Allocator) isRoot() bool { return alloc.ledger.Site == "" }

// Site returns the owner's site.
func (alloc *Allocator) Site() string { return alloc.ledger.Site }

// Number returns the owner's number.
func (alloc *Allocator) Number() uint64 { return alloc.ledger.Number }

func (alloc *Allocator) limitState(k Key, now Micros) *limitState {
	s := alloc.ledger.Limits[k]
	if s == nil && alloc.limits[k.Limit] != nil && len(alloc.ledger.Limits) < MaxNames {
		s = &limitState{Children: map[string]*childState{}}
		alloc.ledger.Limits[k] = s
	}
	return s
}

// HandleRequest stores a role's request in place of its previous one. Role must identify
// the process, or the site and owner number: a restarted process is another role.
func (alloc *Allocator) HandleRequest(role string, request Request, now Micros) {
	sender := alloc.ledger.Members[role]
	if sender == nil {
		if len(alloc.ledger.Members) >= maxRoles {
			return
		}
		sender = &member{}
		alloc.ledger.Members[role] = sender
	}
	if request.Stamp < sender.Stamp { // late, out of order
		return
	}
	sender.LastHeard, sender.Stamp, sender.StampReceived = now, request.Stamp, now
	for _, w := range request.Limits {
		state := alloc.limitState(w.Key, now)
		if state == nil || !(w.Demand >= 0 && w.Demand < 1e12) || !(w.Held >= 0 && w.Held < 1e12) || !(w.HeldBefore >= 0 && w.HeldBefore < 1e12) {
			continue
		}
		child := state.Children[role]
		if child == nil {
			child = &childState{}
			state.Children[role] = child
		}
		if alloc.mutation == DisableReplace {
			child.Demand += w.Demand
		} else {
			child.Demand = w.Demand
		}
		alloc.confirm(alloc.limits[w.Key.Limit], state, child, w, now)
	}
}

// confirm records which allocation a role uses now. Confirming a smaller one frees the
// rest of what it held.
func (alloc *Allocator) confirm(limit *Limit, state *limitState, child *childState, request LimitRequest, now Micros) {
	if limit.Kind == Uses && request.Epoch != state.Epoch {
		return
	}
	if request.Number > child.Number { // this owner restarted and lost its state but not its number: the role's value counts
		child.Number = request.Number
	}
	lastExpiry := child.HeldUntil
	child.Sent = slices.DeleteFunc(child.Sent, func(g sentAllocation) bool {
		if g.Number < request.Number {
			lastExpiry = max(lastExpiry, g.Expiry)
		}
		return g.Number < request.Number || now >= g.Expiry
	})
	for _, g := range child.Sent {
		lastExpiry = max(lastExpiry, g.Expiry)
	}
	if request.Number > 0 {
		child.Held, child.HeldUntil = request.Held, lastExpiry
	} else if request.HeldBefore > 0 && child.Number == 0 && alloc.isRoot() && now >= alloc.ledger.QuietUntil { // from the previous owner, which no longer allocates
		child.Held, child.HeldUntil = request.HeldBefore, max(alloc.unknownUntil(limit), now+alloc.rules.allocationExpiry(limit.Kind))
	}
}

// ApplyGrant applies a grant of an owner above to this site. Newest is the highest known
// owner number of the granting site; grants of earlier owners are ignored.
func (alloc *Allocator) ApplyGrant(grant Grant, newest uint64, now Micros) {
	if grant.Owner < newest || alloc.isRoot() {
		return
	}
	from := Source{grant.Site, grant.Owner}
	for _, allocation := range grant.Allocations {
		state := alloc.limitState(allocation.Key, now)
		if state == nil {
			continue
		}
		limit := alloc.limits[allocation.Key.Limit]
		end := grant.Stamp + min(allocation.Span, max(alloc.rules.AllocationLease, limit.Window))
		if limit.Kind == Uses && allocation.Epoch != state.Epoch {
			if allocation.Epoch < state.Epoch {
				continue
			}
			state.Epoch, state.Children, state.Held = allocation.Epoch, map[string]*childState{}, nil
		}
		state.EpochEnd = end
		state.Held = slices.DeleteFunc(state.Held, func(o heldAllocation) bool {
			return now >= o.End || o.From.Site == grant.Site && o.From.Owner < grant.Owner
		})
		i := slices.IndexFunc(state.Held, func(o heldAllocation) bool { return o.From == from })
		switch {
		case i < 0 && now < end && len(state.Held) < maxAllocations:
			state.Held = append(state.Held, heldAllocation{from, allocation.Number, allocation.Amount, end, allocation.Epoch})
		case i < 0 || allocation.Number < state.Held[i].Number:
		case allocation.Number == state.Held[i].Number:
			state.Held[i].End = max(state.Held[i].End, end)
		default:
			state.Held[i] = heldAllocation{from, allocation.Number, allocation.Amount, end, allocation.Epoch}
		}
	}
}

// available returns the amount that may be allocated of a limit, and for how long. For a
// site this is the allocation of the owner it is attached to, or else the one that expires
// last.
func (alloc *Allocator) available(limit *Limit, state *limitState, up Source, now Micros) (amount float64, validity Micros) {
	if alloc.isRoot() {
		if limit.Kind == Uses {
			return limit.Allocatable(alloc.rules), max(0, (state.EpochEnd-now)*(100-lease.Drift)/(100+lease.Drift))
		}
		return limit.Allocatable(alloc.rules), alloc.rules.AllocationLease
	}
	var best *heldAllocation
	for i := range state.Held {
		if held := &state.Held[i]; now < held.End && (best == nil || best.From != up && (held.From == up || held.End > best.End)) {
			best = held
		}
	}
	if best == nil {
		return 0, 0
	}
	validity = best.End - now
	if limit.Kind != Uses {
		validity = min(validity, alloc.rules.AllocationLease)
	}
	return best.Amount, validity
}

// Allocate computes the grants for all roles heard within ChildTimeout, by role. Up is the
// owner that this site is attached to.
func (alloc *Allocator) Allocate(up Source, now Micros) map[string]Grant {
	out := map[string]Grant{}
	maps.DeleteFunc(alloc.ledger.Members, func(role string, m *member) bool {
		return now-m.LastHeard > 4*alloc.rules.allocationExpiry(Rate)+alloc.rules.ChildTimeout
	})
	if now < alloc.ledger.QuietUntil {
		return out
	}
	for role, m := range alloc.ledger.Members {
		if now-m.LastHeard <= alloc.rules.ChildTimeout {
			out[role] = Grant{Site: alloc.ledger.Site, Owner: alloc.ledger.Number, Stamp: m.Stamp}
		}
	}
	for _, key := range alloc.Keys() {
		s, l := alloc.ledger.Limits[key], alloc.limits[key.Limit]
		alloc.allocateLimit(key, l, s, up, now, out)
		if l.Who == "*" && len(s.Children) == 0 {
			delete(alloc.ledger.Limits, key)
		}
	}
	return out
}

// Keys returns the keys of all limits, in order.
func (alloc *Allocator) Keys() []Key {
	return slices.SortedFunc(maps.Keys(alloc.ledger.Limits), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Who, b.Who))
	})
}

func (alloc *Allocator) allocateLimit(key Key, limit *Limit, state *limitState, up Source, now Micros, grants map[string]Grant) {
	if limit.Kind == Uses && alloc.isRoot() && now >= state.EpochEnd {
		if now < alloc.unknownUntil(limit) {
			return // the previous root owner's window may not have ended
		}
		state.Epoch, state.EpochEnd, state.Children = max(state.Epoch+1, alloc.ledger.Number<<20), now+limit.Window, newEpochChildren(state.Children)
	}
	amount, span := alloc.available(limit, state, up, now)
	var roles []string
	outstanding, unreachable := 0.0, 0.0
	for _, role := range slices.Sorted(maps.Keys(state.Children)) {
		child := state.Children[role]
		sender := alloc.ledger.Members[role]
		current := child.outstanding(now)
		alive := sender != nil && now-sender.LastHeard <= alloc.rules.ChildTimeout
		if !alive && alloc.mutation == DisableExpiry {
			current = 0
		}
		if !alive && current == 0 && limit.Kind != Uses {
			delete(state.Children, role)
			continue
		}
		outstanding += current
		if alive {
			roles = append(roles, role)
		} else {
			unreachable += current
		}
	}
	if len(roles) == 0 || span <= 0 {
		return
	}
	demands, totalDemand := make([]float64, len(roles)), 0.0
	for i, role := range roles {
		demands[i] = state.Children[role].Demand
		totalDemand += demands[i]
	}
	allocatable := max(0, amount-unreachable)
	headroom := min(maxHeadroom, max(minHeadroom, allocatable/max(totalDemand, 1e-9)))
	for i := range demands {
		demands[i] *= headroom
	}
	shares := raiseToMinimum(allocatable, limit.minAllocation(), MaxMinFair(allocatable, demands), state.Turn)
	if now < alloc.unknownUntil(limit) && alloc.isRoot() { // nothing is free until all allocations of the previous root owner are reported or expired
		outstanding = max(outstanding, amount)
		for i, role := range roles {
			child := state.Children[role]
			shares[i] = child.LastAmount
			if child.Number == 0 {
				shares[i] = child.outstanding(now)
			}
		}
	}
	free := max(0, amount-outstanding)
	wanted := 0.0
	for i, role := range roles {
		if limit.Kind != Rate {
			shares[i] = math.Floor(shares[i])
		}
		wanted += max(0, shares[i]-state.Children[role].outstanding(now))
	}
	for i, role := range roles {
		child, target := state.Children[role], shares[i]
		current := child.outstanding(now)
		if target > current && wanted > 0 {
			target = current + min(target-current, free*(target-current)/wanted)
		}
		if limit.Kind != Rate {
			target = math.Floor(target)
		}
		if target < limit.minAllocation() && limit.Kind == Rate {
			target = 0
		}
		grants[role] = alloc.send(limit, key, child, target, span, state.Epoch, grants[role], alloc.ledger.Members[role].StampReceived)
	}
}

// send adds a role's allocation to its grant: a changed one if the change is large enough,
// otherwise the last one with a renewed lease. The lease counts from the request's stamp,
// which precedes its arrival.
func (alloc *Allocator) send(limit *Limit, key Key, child *childState, target float64, span Micros, epoch uint64, grant Grant, stampReceived Micros) Grant {
	changed := math.Abs(target-child.LastAmount) > changeThreshold*child.LastAmount || child.LastAmount > target && len(child.Sent) == 0 || child.Number == 0
	if changed && target != child.LastAmount || child.Number == 0 && target > 0 {
		if len(child.Sent) >= maxUnconfirmed && target > child.LastAmount {
			changed = false
		} else {
			child.Number++
			child.LastAmount = target
			if len(child.Sent) >= maxUnconfirmed { // replace the smallest, since the largest determines what is outstanding
				i := 0
				for j := range child.Sent {
					if child.Sent[j].Amount < child.Sent[i].Amount {
						i = j
					}
				}
				child.Sent[i] = sentAllocation{Number: child.Number, Amount: target}
			} else {
				child.Sent = append(child.Sent, sentAllocation{Number: child.Number, Amount: target})
			}
		}
	}
	if child.Number == 0 {
		return grant
	}
	expiry := stampReceived + lease.ExpirySpan(span)
	switch limit.Kind {
	case Open:
		expiry = stampReceived + lease.ExpirySpan(span+alloc.rules.MaxOpenTime)
	case Uses:
		expiry = math.MaxInt64 / 2
	}
	found := false
	for i := range child.Sent {
		if child.Sent[i].Number == child.Number {
			child.Sent[i].Expiry, found = max(child.Sent[i].Expiry, expiry), true
		}
	}
	if !found { // it had expired; its lease is renewed
		child.Sent = append(child.Sent, sentAllocation{child.Number, child.LastAmount, expiry})
	}
	grant.Allocations = append(grant.Allocations, Allocation{Key: key, Number: child.Number, Amount: child.LastAmount, Span: span, Epoch: epoch})
	return grant
}

// newEpochChildren returns the roles' states for a new window of uses. Allocations of the
// previous window are dropped; numbers continue.
func newEpochChildren(children map[string]*childState) map[string]*childState {
	out := map[string]*childState{}
	for role, c := range children {
		out[role] = &childState{Number: c.Number}
	}
	return out
}
