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
func (c *childState) outstanding(now Micros) (most float64) {
	if now < c.HeldUntil {
		most = c.Held
	}
	for _, g := range c.Sent {
		if now < g.Expiry {
			most = max(most, g.Amount)
		}
	}
	return most
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

// NewAllocator returns an allocator for a site's owner named at the time now. Wait is the
// lease that a previous root owner may still have; it is not needed for other sites, whose
// allocations come out of the amount held from above, whoever owned the site before.
func NewAllocator(rules Rules, limits []Limit, site string, number uint64, wait, now Micros) *Allocator {
	d := &Allocator{ledger: Ledger{Site: site, Number: number, Limits: map[Key]*limitState{}, Members: map[string]*member{}}}
	if wait > 0 && site == "" {
		d.ledger.QuietUntil = now + lease.ExpirySpan(wait)
	}
	d.Reconfigure(rules, limits, now)
	return d
}

// Disable disables a rule.
func (d *Allocator) Disable(r Mutation) { d.mutation = r }

// Reconfigure replaces the rules and limits. Allocations made from a limit that is now
// smaller count until a smaller one is confirmed or they have certainly expired.
func (d *Allocator) Reconfigure(rules Rules, limits []Limit, now Micros) {
	d.rules, d.limits = rules, map[string]*Limit{}
	for i := range limits {
		l := limits[i]
		d.limits[l.Name] = &l
		if l.Who != "*" && d.isRoot() {
			d.limitState(Key{Limit: l.Name, Who: l.Who}, now)
		}
	}
	for k := range d.ledger.Limits {
		if d.limits[k.Limit] == nil {
			delete(d.ledger.Limits, k)
		}
	}
}

// unknownUntil returns until when allocations of the previous owner may be spent; 0 if
// there was none.
func (d *Allocator) unknownUntil(l *Limit) Micros {
	switch {
	case d.ledger.QuietUntil == 0:
		return 0
	case l.Kind == Uses:
		return d.ledger.QuietUntil + lease.ExpirySpan(l.Window)
	}
	return d.ledger.QuietUntil + d.rules.allocationExpiry(l.Kind)
}

func (d *Allocator) isRoot() bool { return d.ledger.Site == "" }

// Site returns the owner's site.
func (d *Allocator) Site() string { return d.ledger.Site }

// Number returns the owner's number.
func (d *Allocator) Number() uint64 { return d.ledger.Number }

func (d *Allocator) limitState(k Key, now Micros) *limitState {
	s := d.ledger.Limits[k]
	if s == nil && d.limits[k.Limit] != nil && len(d.ledger.Limits) < MaxNames {
		s = &limitState{Children: map[string]*childState{}}
		d.ledger.Limits[k] = s
	}
	return s
}

// HandleRequest stores a role's request in place of its previous one. Role must identify
// the process, or the site and owner number: a restarted process is another role.
func (d *Allocator) HandleRequest(role string, a Request, now Micros) {
	m := d.ledger.Members[role]
	if m == nil {
		if len(d.ledger.Members) >= maxRoles {
			return
		}
		m = &member{}
		d.ledger.Members[role] = m
	}
	if a.Stamp < m.Stamp { // late, out of order
		return
	}
	m.LastHeard, m.Stamp, m.StampReceived = now, a.Stamp, now
	for _, w := range a.Limits {
		s := d.limitState(w.Key, now)
		if s == nil || !(w.Demand >= 0 && w.Demand < 1e12) || !(w.Held >= 0 && w.Held < 1e12) || !(w.HeldBefore >= 0 && w.HeldBefore < 1e12) {
			continue
		}
		c := s.Children[role]
		if c == nil {
			c = &childState{}
			s.Children[role] = c
		}
		if d.mutation == DisableReplace {
			c.Demand += w.Demand
		} else {
			c.Demand = w.Demand
		}
		d.confirm(d.limits[w.Key.Limit], s, c, w, now)
	}
}

// confirm records which allocation a role uses now. Confirming a smaller one frees the
// rest of what it held.
func (d *Allocator) confirm(l *Limit, s *limitState, c *childState, w LimitRequest, now Micros) {
	if l.Kind == Uses && w.Epoch != s.Epoch {
		return
	}
	if w.Number > c.Number { // this owner restarted and lost its state but not its number: the role's value counts
		c.Number = w.Number
	}
	last := c.HeldUntil
	c.Sent = slices.DeleteFunc(c.Sent, func(g sentAllocation) bool {
		if g.Number < w.Number {
			last = max(last, g.Expiry)
		}
		return g.Number < w.Number || now >= g.Expiry
	})
	for _, g := range c.Sent {
		last = max(last, g.Expiry)
	}
	if w.Number > 0 {
		c.Held, c.HeldUntil = w.Held, last
	} else if w.HeldBefore > 0 && c.Number == 0 && d.isRoot() && now >= d.ledger.QuietUntil { // from the previous owner, which no longer allocates
		c.Held, c.HeldUntil = w.HeldBefore, max(d.unknownUntil(l), now+d.rules.allocationExpiry(l.Kind))
	}
}

// ApplyGrant applies a grant of an owner above to this site. Newest is the highest known
// owner number of the granting site; grants of earlier owners are ignored.
func (d *Allocator) ApplyGrant(g Grant, newest uint64, now Micros) {
	if g.Owner < newest || d.isRoot() {
		return
	}
	from := Source{g.Site, g.Owner}
	for _, x := range g.Allocations {
		s := d.limitState(x.Key, now)
		if s == nil {
			continue
		}
		l := d.limits[x.Key.Limit]
		end := g.Stamp + min(x.Span, max(d.rules.AllocationLease, l.Window))
		if l.Kind == Uses && x.Epoch != s.Epoch {
			if x.Epoch < s.Epoch {
				continue
			}
			s.Epoch, s.Children, s.Held = x.Epoch, map[string]*childState{}, nil
		}
		s.EpochEnd = end
		s.Held = slices.DeleteFunc(s.Held, func(o heldAllocation) bool { return now >= o.End || o.From.Site == g.Site && o.From.Owner < g.Owner })
		i := slices.IndexFunc(s.Held, func(o heldAllocation) bool { return o.From == from })
		switch {
		case i < 0 && now < end && len(s.Held) < maxAllocations:
			s.Held = append(s.Held, heldAllocation{from, x.Number, x.Amount, end, x.Epoch})
		case i < 0 || x.Number < s.Held[i].Number:
		case x.Number == s.Held[i].Number:
			s.Held[i].End = max(s.Held[i].End, end)
		default:
			s.Held[i] = heldAllocation{from, x.Number, x.Amount, end, x.Epoch}
		}
	}
}

// available returns the amount that may be allocated of a limit, and for how long. For a
// site this is the allocation of the owner it is attached to, or else the one that expires
// last.
func (d *Allocator) available(l *Limit, s *limitState, up Source, now Micros) (amount float64, span Micros) {
	if d.isRoot() {
		if l.Kind == Uses {
			return l.Allocatable(d.rules), max(0, (s.EpochEnd-now)*(100-lease.Drift)/(100+lease.Drift))
		}
		return l.Allocatable(d.rules), d.rules.AllocationLease
	}
	var best *heldAllocation
	for i := range s.Held {
		if o := &s.Held[i]; now < o.End && (best == nil || best.From != up && (o.From == up || o.End > best.End)) {
			best = o
		}
	}
	if best == nil {
		return 0, 0
	}
	span = best.End - now
	if l.Kind != Uses {
		span = min(span, d.rules.AllocationLease)
	}
	return best.Amount, span
}

// Allocate computes the grants for all roles heard within ChildTimeout, by role. Up is the
// owner that this site is attached to.
func (d *Allocator) Allocate(up Source, now Micros) map[string]Grant {
	out := map[string]Grant{}
	maps.DeleteFunc(d.ledger.Members, func(role string, m *member) bool {
		return now-m.LastHeard > 4*d.rules.allocationExpiry(Rate)+d.rules.ChildTimeout
	})
	if now < d.ledger.QuietUntil {
		return out
	}
	for role, m := range d.ledger.Members {
		if now-m.LastHeard <= d.rules.ChildTimeout {
			out[role] = Grant{Site: d.ledger.Site, Owner: d.ledger.Number, Stamp: m.Stamp}
		}
	}
	for _, key := range d.Keys() {
		s, l := d.ledger.Limits[key], d.limits[key.Limit]
		d.allocateLimit(key, l, s, up, now, out)
		if l.Who == "*" && len(s.Children) == 0 {
			delete(d.ledger.Limits, key)
		}
	}
	return out
}

// Keys returns the keys of all limits, in order.
func (d *Allocator) Keys() []Key {
	return slices.SortedFunc(maps.Keys(d.ledger.Limits), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Who, b.Who))
	})
}

func (d *Allocator) allocateLimit(key Key, l *Limit, s *limitState, up Source, now Micros, grants map[string]Grant) {
	if l.Kind == Uses && d.isRoot() && now >= s.EpochEnd {
		if now < d.unknownUntil(l) {
			return // the previous root owner's window may not have ended
		}
		s.Epoch, s.EpochEnd, s.Children = max(s.Epoch+1, d.ledger.Number<<20), now+l.Window, newEpochChildren(s.Children)
	}
	amount, span := d.available(l, s, up, now)
	var roles []string
	total, dead := 0.0, 0.0
	for _, role := range slices.Sorted(maps.Keys(s.Children)) {
		c := s.Children[role]
		m := d.ledger.Members[role]
		was := c.outstanding(now)
		alive := m != nil && now-m.LastHeard <= d.rules.ChildTimeout
		if !alive && d.mutation == DisableExpiry {
			was = 0
		}
		if !alive && was == 0 && l.Kind != Uses {
			delete(s.Children, role)
			continue
		}
		total += was
		if alive {
			roles = append(roles, role)
		} else {
			dead += was
		}
	}
	if len(roles) == 0 || span <= 0 {
		return
	}
	demands, all := make([]float64, len(roles)), 0.0
	for i, role := range roles {
		demands[i] = s.Children[role].Demand
		all += demands[i]
	}
	able := max(0, amount-dead)
	room := min(maxHeadroom, max(minHeadroom, able/max(all, 1e-9)))
	for i := range demands {
		demands[i] *= room
	}
	shares := raiseToMinimum(able, l.minAllocation(), MaxMinFair(able, demands), s.Turn)
	if now < d.unknownUntil(l) && d.isRoot() { // nothing is free until all allocations of the previous root owner are reported or expired
		total = max(total, amount)
		for i, role := range roles {
			c := s.Children[role]
			shares[i] = c.LastAmount
			if c.Number == 0 {
				shares[i] = c.outstanding(now)
			}
		}
	}
	free := max(0, amount-total)
	wanted := 0.0
	for i, role := range roles {
		if l.Kind != Rate {
			shares[i] = math.Floor(shares[i])
		}
		wanted += max(0, shares[i]-s.Children[role].outstanding(now))
	}
	for i, role := range roles {
		c, goal := s.Children[role], shares[i]
		was := c.outstanding(now)
		if goal > was && wanted > 0 {
			goal = was + min(goal-was, free*(goal-was)/wanted)
		}
		if l.Kind != Rate {
			goal = math.Floor(goal)
		}
		if goal < l.minAllocation() && l.Kind == Rate {
			goal = 0
		}
		grants[role] = d.send(l, key, c, goal, span, s.Epoch, grants[role], d.ledger.Members[role].StampReceived)
	}
}

// send adds a role's allocation to its grant: a changed one if the change is large enough,
// otherwise the last one with a renewed lease. The lease counts from the request's stamp,
// which precedes its arrival.
func (d *Allocator) send(l *Limit, key Key, c *childState, goal float64, span Micros, epoch uint64, g Grant, came Micros) Grant {
	changed := math.Abs(goal-c.LastAmount) > changeThreshold*c.LastAmount || c.LastAmount > goal && len(c.Sent) == 0 || c.Number == 0
	if changed && goal != c.LastAmount || c.Number == 0 && goal > 0 {
		if len(c.Sent) >= maxUnconfirmed && goal > c.LastAmount {
			changed = false
		} else {
			c.Number++
			c.LastAmount = goal
			if len(c.Sent) >= maxUnconfirmed { // replace the smallest, since the largest determines what is outstanding
				i := 0
				for j := range c.Sent {
					if c.Sent[j].Amount < c.Sent[i].Amount {
						i = j
					}
				}
				c.Sent[i] = sentAllocation{Number: c.Number, Amount: goal}
			} else {
				c.Sent = append(c.Sent, sentAllocation{Number: c.Number, Amount: goal})
			}
		}
	}
	if c.Number == 0 {
		return g
	}
	over := came + lease.ExpirySpan(span)
	switch l.Kind {
	case Open:
		over = came + lease.ExpirySpan(span+d.rules.MaxOpenTime)
	case Uses:
		over = math.MaxInt64 / 2
	}
	found := false
	for i := range c.Sent {
		if c.Sent[i].Number == c.Number {
			c.Sent[i].Expiry, found = max(c.Sent[i].Expiry, over), true
		}
	}
	if !found { // it had expired; its lease is renewed
		c.Sent = append(c.Sent, sentAllocation{c.Number, c.LastAmount, over})
	}
	g.Allocations = append(g.Allocations, Allocation{Key: key, Number: c.Number, Amount: c.LastAmount, Span: span, Epoch: epoch})
	return g
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
