package quotalease

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"cherryramp/internal/decide/lease"
)

// Bounds of a dealer.
const (
	mostRoles  = 1024  // that one keeper deals to
	mostGiven  = 8     // parts of one role and limit that are not confirmed
	leastRoom  = 1.02  // above demand, where the limit is short
	mostRoom   = 1.25  // and where it is not
	settleFrom = 0.005 // of a part: what it is changed for
)

// given is a part that was sent and may be spent.
type given struct {
	Number uint64
	Amount float64
	Over   Micros // from then on surely not any more
}

// child is one role as a dealer sees it, for one limit.
type child struct {
	Demand float64
	Number uint64 // of the last part sent
	Latest float64
	Given  []given
	Held   float64 // the most that it said it may still spend
	Until  Micros  // for how long that counts
}

// out is the most that a child may spend now.
func (c *child) out(now Micros) (most float64) {
	if now < c.Until {
		most = c.Held
	}
	for _, g := range c.Given {
		if now < g.Over {
			most = max(most, g.Amount)
		}
	}
	return most
}

// own is a part that a keeper holds of one above it.
type own struct {
	From   Source
	Number uint64
	Amount float64
	End    Micros
	Epoch  uint64
}

// sheet is one limit of one name as a keeper deals it out.
type sheet struct {
	Own      []own // of a site; the root has the limit itself
	Children map[string]*child
	Turn     int
	Epoch    uint64 // of uses
	EpochEnd Micros
}

// member is a role that is heard.
type member struct {
	Heard Micros
	Stamp Micros // of its last ask, by its own clock
	Came  Micros // when that came
}

// Ledger is all that a dealer knows; whoever keeps it writes it out as it is.
type Ledger struct {
	Site    string
	Number  uint64
	Quiet   Micros         // the keeper before may still deal until then
	Unknown Micros         // and what it dealt may be spent until then
	Sheets  map[Key]*sheet `cbor:"-"`
	List    []named        // the sheets, as they are written out
	Members map[string]*member
}

type named struct {
	Key   Key
	Sheet *sheet
}

// Dealer deals limits out, for one site under one keeper's number.
type Allocator struct {
	rules   Rules
	limits  map[string]*Limit
	l       Ledger
	without Mutation
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Mutation string

// The rules that can be left out.
const (
	DisableExpiry  Mutation = "over"  // a part counts as free as soon as its role is not heard
	DisableReplace Mutation = "twice" // what a role tells adds to what it told before
)

// NewDealer makes a dealer for a site's keeper, named at a moment of this clock. Wait
// is the span of the lease that a root's keeper before it may still have; what a site's
// keeper deals lies in its part, whoever kept the site before.
func NewAllocator(rules Rules, limits []Limit, site string, number uint64, wait, now Micros) *Allocator {
	d := &Allocator{l: Ledger{Site: site, Number: number, Sheets: map[Key]*sheet{}, Members: map[string]*member{}}}
	if wait > 0 && site == "" {
		d.l.Quiet = now + lease.ExpirySpan(wait)
	}
	d.Reconfigure(rules, limits, now)
	return d
}

// Without leaves a rule out.
func (d *Allocator) Disable(r Mutation) { d.without = r }

// Renew takes other limits over. What is out of a smaller one counts until it is
// confirmed or surely over.
func (d *Allocator) Reconfigure(rules Rules, limits []Limit, now Micros) {
	d.rules, d.limits = rules, map[string]*Limit{}
	for i := range limits {
		l := limits[i]
		d.limits[l.Name] = &l
		if l.Who != "*" && d.root() {
			d.sheet(Key{Limit: l.Name, Who: l.Who}, now)
		}
	}
	for k := range d.l.Sheets {
		if d.limits[k.Limit] == nil {
			delete(d.l.Sheets, k)
		}
	}
}

// unknown is until when what the keeper before dealt may be spent; 0: there was none.
func (d *Allocator) unknown(l *Limit) Micros {
	switch {
	case d.l.Quiet == 0:
		return 0
	case l.Kind == Uses:
		return d.l.Quiet + lease.ExpirySpan(l.Window)
	}
	return d.l.Quiet + d.rules.allocationExpiry(l.Kind)
}

func (d *Allocator) root() bool { return d.l.Site == "" }

// Site and Number name the keeper.
func (d *Allocator) Site() string { return d.l.Site }

// Number is the keeper's number.
func (d *Allocator) Number() uint64 { return d.l.Number }

func (d *Allocator) sheet(k Key, now Micros) *sheet {
	s := d.l.Sheets[k]
	if s == nil && d.limits[k.Limit] != nil && len(d.l.Sheets) < MaxNames {
		s = &sheet{Children: map[string]*child{}}
		d.l.Sheets[k] = s
	}
	return s
}

// Asked takes a role's ask in; it takes the place of the one before. Role names it
// whole: another process, or another keeper's number, is another role.
func (d *Allocator) HandleRequest(role string, a Request, now Micros) {
	m := d.l.Members[role]
	if m == nil {
		if len(d.l.Members) >= mostRoles {
			return
		}
		m = &member{}
		d.l.Members[role] = m
	}
	if a.Stamp < m.Stamp { // an older one that was late
		return
	}
	m.Heard, m.Stamp, m.Came = now, a.Stamp, now
	for _, w := range a.Limits {
		s := d.sheet(w.Key, now)
		if s == nil || !(w.Demand >= 0 && w.Demand < 1e12) || !(w.Held >= 0 && w.Held < 1e12) || !(w.HeldBefore >= 0 && w.HeldBefore < 1e12) {
			continue
		}
		c := s.Children[role]
		if c == nil {
			c = &child{}
			s.Children[role] = c
		}
		if d.without == DisableReplace {
			c.Demand += w.Demand
		} else {
			c.Demand = w.Demand
		}
		d.confirmed(d.limits[w.Key.Limit], s, c, w, now)
	}
}

// confirmed notes what a role goes by now. Its word that it holds less frees what it held.
func (d *Allocator) confirmed(l *Limit, s *sheet, c *child, w LimitRequest, now Micros) {
	if l.Kind == Uses && w.Epoch != s.Epoch {
		return
	}
	if w.Number > c.Number { // of a keeper that lost its memory and not its number: what it says counts
		c.Number = w.Number
	}
	last := c.Until
	c.Given = slices.DeleteFunc(c.Given, func(g given) bool {
		if g.Number < w.Number {
			last = max(last, g.Over)
		}
		return g.Number < w.Number || now >= g.Over
	})
	for _, g := range c.Given {
		last = max(last, g.Over)
	}
	if w.Number > 0 {
		c.Held, c.Until = w.Held, last
	} else if w.HeldBefore > 0 && c.Number == 0 && d.root() && now >= d.l.Quiet { // of the keeper before, which deals no more
		c.Held, c.Until = w.HeldBefore, max(d.unknown(l), now+d.rules.allocationExpiry(l.Kind))
	}
}

// Given takes in what a keeper above grants this site. Newest is the newest keeper of
// that one's site: one before it has no say.
func (d *Allocator) ApplyGrant(g Grant, newest uint64, now Micros) {
	if g.Owner < newest || d.root() {
		return
	}
	from := Source{g.Site, g.Owner}
	for _, x := range g.Allocations {
		s := d.sheet(x.Key, now)
		if s == nil {
			continue
		}
		l := d.limits[x.Key.Limit]
		end := g.Stamp + min(x.Span, max(d.rules.AllocationLease, l.Window))
		if l.Kind == Uses && x.Epoch != s.Epoch {
			if x.Epoch < s.Epoch {
				continue
			}
			s.Epoch, s.Children, s.Own = x.Epoch, map[string]*child{}, nil
		}
		s.EpochEnd = end
		s.Own = slices.DeleteFunc(s.Own, func(o own) bool { return now >= o.End || o.From.Site == g.Site && o.From.Owner < g.Owner })
		i := slices.IndexFunc(s.Own, func(o own) bool { return o.From == from })
		switch {
		case i < 0 && now < end && len(s.Own) < mostParts:
			s.Own = append(s.Own, own{from, x.Number, x.Amount, end, x.Epoch})
		case i < 0 || x.Number < s.Own[i].Number:
		case x.Number == s.Own[i].Number:
			s.Own[i].End = max(s.Own[i].End, end)
		default:
			s.Own[i] = own{from, x.Number, x.Amount, end, x.Epoch}
		}
	}
}

// has is what a sheet may deal out, and until when: of a site the part of the keeper
// that it is attached to, or the one that lasts longest.
func (d *Allocator) has(l *Limit, s *sheet, up Source, now Micros) (amount float64, span Micros) {
	if d.root() {
		if l.Kind == Uses {
			return l.Allocatable(d.rules), max(0, (s.EpochEnd-now)*(100-lease.Drift)/(100+lease.Drift))
		}
		return l.Allocatable(d.rules), d.rules.AllocationLease
	}
	var best *own
	for i := range s.Own {
		if o := &s.Own[i]; now < o.End && (best == nil || best.From != up && (o.From == up || o.End > best.End)) {
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

// Deal deals out, and gives each role that is heard its parts. Up is the keeper above
// that this site is attached to.
func (d *Allocator) Allocate(up Source, now Micros) map[string]Grant {
	out := map[string]Grant{}
	maps.DeleteFunc(d.l.Members, func(role string, m *member) bool {
		return now-m.Heard > 4*d.rules.allocationExpiry(Rate)+d.rules.ChildTimeout
	})
	if now < d.l.Quiet {
		return out
	}
	for role, m := range d.l.Members {
		if now-m.Heard <= d.rules.ChildTimeout {
			out[role] = Grant{Site: d.l.Site, Owner: d.l.Number, Stamp: m.Stamp}
		}
	}
	for _, key := range d.Keys() {
		s, l := d.l.Sheets[key], d.limits[key.Limit]
		d.allocateLimit(key, l, s, up, now, out)
		if l.Who == "*" && len(s.Children) == 0 {
			delete(d.l.Sheets, key)
		}
	}
	return out
}

// Keys are the limits dealt out, in order.
func (d *Allocator) Keys() []Key {
	return slices.SortedFunc(maps.Keys(d.l.Sheets), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Who, b.Who))
	})
}

func (d *Allocator) allocateLimit(key Key, l *Limit, s *sheet, up Source, now Micros, grants map[string]Grant) {
	if l.Kind == Uses && d.root() && now >= s.EpochEnd {
		if now < d.unknown(l) {
			return // the span that the root before dealt out is not surely over
		}
		s.Epoch, s.EpochEnd, s.Children = max(s.Epoch+1, d.l.Number<<20), now+l.Window, keepDemand(s.Children)
	}
	amount, span := d.has(l, s, up, now)
	var roles []string
	total, dead := 0.0, 0.0
	for _, role := range slices.Sorted(maps.Keys(s.Children)) {
		c := s.Children[role]
		m := d.l.Members[role]
		was := c.out(now)
		alive := m != nil && now-m.Heard <= d.rules.ChildTimeout
		if !alive && d.without == DisableExpiry {
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
	room := min(mostRoom, max(leastRoom, able/max(all, 1e-9)))
	for i := range demands {
		demands[i] *= room
	}
	shares := whole(able, l.minAllocation(), MaxMinFair(able, demands), s.Turn)
	if now < d.unknown(l) && d.root() { // nothing is free until all that the root before dealt is known or over
		total = max(total, amount)
		for i, role := range roles {
			c := s.Children[role]
			shares[i] = c.Latest
			if c.Number == 0 {
				shares[i] = c.out(now)
			}
		}
	}
	free := max(0, amount-total)
	wanted := 0.0
	for i, role := range roles {
		if l.Kind != Rate {
			shares[i] = math.Floor(shares[i])
		}
		wanted += max(0, shares[i]-s.Children[role].out(now))
	}
	for i, role := range roles {
		c, goal := s.Children[role], shares[i]
		was := c.out(now)
		if goal > was && wanted > 0 {
			goal = was + min(goal-was, free*(goal-was)/wanted)
		}
		if l.Kind != Rate {
			goal = math.Floor(goal)
		}
		if goal < l.minAllocation() && l.Kind == Rate {
			goal = 0
		}
		grants[role] = d.give(l, key, c, goal, span, s.Epoch, grants[role], d.l.Members[role].Came)
	}
}

// give adds a role's part to its grant: changed where it is worth it, or leased anew.
// The lease is from the ask's stamp, which lies before the moment that it came.
func (d *Allocator) give(l *Limit, key Key, c *child, goal float64, span Micros, epoch uint64, g Grant, came Micros) Grant {
	changed := math.Abs(goal-c.Latest) > settleFrom*c.Latest || c.Latest > goal && len(c.Given) == 0 || c.Number == 0
	if changed && goal != c.Latest || c.Number == 0 && goal > 0 {
		if len(c.Given) >= mostGiven && goal > c.Latest {
			changed = false
		} else {
			c.Number++
			c.Latest = goal
			if len(c.Given) >= mostGiven { // the one with the most stays: it is what counts
				i := 0
				for j := range c.Given {
					if c.Given[j].Amount < c.Given[i].Amount {
						i = j
					}
				}
				c.Given[i] = given{Number: c.Number, Amount: goal}
			} else {
				c.Given = append(c.Given, given{Number: c.Number, Amount: goal})
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
	for i := range c.Given {
		if c.Given[i].Number == c.Number {
			c.Given[i].Over, found = max(c.Given[i].Over, over), true
		}
	}
	if !found { // it was over, and is leased anew
		c.Given = append(c.Given, given{c.Number, c.Latest, over})
	}
	g.Allocations = append(g.Allocations, Allocation{Key: key, Number: c.Number, Amount: c.Latest, Span: span, Epoch: epoch})
	return g
}

// keepDemand begins a span of uses anew: what was dealt in the one before is over.
func keepDemand(children map[string]*child) map[string]*child {
	out := map[string]*child{}
	for role, c := range children {
		out[role] = &child{Number: c.Number}
	}
	return out
}
