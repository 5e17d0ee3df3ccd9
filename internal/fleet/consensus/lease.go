package consensus

import (
	"encoding/binary"

	"cherryramp/internal/decide/lease"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// leases is what a front knows of its own lease, and what a leader grants to others.
type leases struct {
	own     lease.Lease
	keep    lease.Lease  // as a keeper of sites
	before  lease.Micros // the span that it lived by at the last look; 0: for ever
	looked  bool
	grantor lease.Grantor
	began   Micros // the round under way
}

// Clock moves this front's clock on without anything else, as must happen before a
// message is received: what is passed on is measured from now.
func (n *Node) AdvanceClock(now Micros) { n.now = max(n.now, now) }

// Lives is the span that this front lives by without hearing the fleet; 0: for ever.
func (n *Node) LeaseSpan() Micros {
	s := n.rep.State()
	rule, known := n.cfg.Rules.LeaseSpan, Micros(0)
	if s.Fleet != 0 {
		rule = s.Maintenance.Rules.LeaseSpan
	}
	if f := s.Members.Find(n.cfg.Name); f != nil && f.ID == n.id {
		known = f.Lease
	}
	return lease.EffectiveSpan(rule, known)
}

// Holds tells whether this front may act at a moment of its own clock. One that can't
// read the fleet's entries any more can't know by what leave it would.
func (n *Node) MayAct(now Micros) bool {
	if n.stale != nil {
		return false
	}
	span := n.leases.before // as of the last entry or tick: this is asked before each act
	if !n.leases.looked {
		span = n.LeaseSpan()
	}
	return span == 0 || n.leases.own.Valid(now) || n.rep.HasMutation(statemachine.DisableLeaseCheck)
}

// Rep tells whether the replica leaves a rule out.
func (n *Node) HasMutation(rule statemachine.Mutation) bool { return n.rep.HasMutation(rule) }

// LeaseEnd is the moment up to which it may; 0: for ever, or not at all.
func (n *Node) LeaseEnd() Micros { return n.leases.own.End() }

// live keeps the lease within the span that the state has for this front. One that
// may act for ever until now begins with a whole lease, since the others take it for
// such until it joins with a span.
func (n *Node) live() {
	l := &n.leases
	span := n.LeaseSpan()
	l.own.Applied(n.applied)
	l.keep.Applied(n.applied)
	if span > 0 {
		if l.looked && l.before == 0 {
			l.own.Accept(lease.Grant{Stamp: max(1, n.now), Span: span, Index: n.applied}, span, n.applied)
		}
		l.own.Shorten(n.now, span)
	}
	l.before, l.looked = span, true
}

// wants is an ask for a lease, where this front lives by one.
func (n *Node) wants() lease.Request {
	if n.LeaseSpan() == 0 && n.cfg.OwnerLease == 0 {
		return lease.Request{}
	}
	return lease.Request{Stamp: max(1, n.now)}
}

// Keep is the moment of this front's clock up to which it may act as a keeper of sites,
// and one before which a majority was asked whether that is so; 0: it may not.
func (n *Node) OwnerLease() (end, asked Micros) {
	if n.stale != nil {
		return 0, 0
	}
	return n.leases.keep.End(), n.leases.keep.End() - n.cfg.OwnerLease
}

// granting is what a leader does at every beat: it begins a round for those who have
// asked, itself among them. While word that a front is lost is on its way nobody is
// granted anything, so that no lease is asked for after its holder counts as lost.
func (n *Node) granting() {
	l := &n.leases
	if l.grantor.InProgress() && n.now-l.began > n.span(feederTicks) { // no majority has answered
		l.grantor.Reset()
	}
	if a := n.wants(); a.Stamp != 0 {
		l.grantor.Add(lease.Requester{Name: n.cfg.Name, ID: n.id, Start: n.cfg.Start, Request: a}, membership.MaxFronts)
	}
	if _, done := n.rep.Seen(n.factsID); !done && n.factsLost {
		return
	}
	if number, ok := l.grantor.Begin(); ok {
		l.began = n.now
		n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
	}
}

// confirmed takes the agreement's word that a majority still followed this leader
// after a round began.
func (n *Node) confirmed(context []byte, index uint64) {
	if len(context) == 8 {
		n.leases.grantor.Confirmed(binary.BigEndian.Uint64(context), index)
	}
}

// grant answers those whose round was confirmed and who are not lost in the state up
// to there, under the process that the state knows: what an earlier process of a front
// has said of boxes and versions counts until the state knows of the next, which
// therefore may not act before that.
func (n *Node) grant() {
	list, index := n.leases.grantor.TakeConfirmed(n.applied)
	s := n.rep.State()
	for _, a := range list {
		f := s.Members.Find(a.Name)
		if f == nil || f.ID != a.ID || f.Start != a.Start || f.Lost || n.fenced(a.Name) {
			continue
		}
		g := lease.Grant{Stamp: a.Request.Stamp, Span: s.Maintenance.Rules.LeaseSpan, Index: index}
		if g.Span == 0 {
			g.Span = f.Lease // until it has joined for ever
		}
		g.OwnerSpan = f.OwnerLease
		if a.Name == n.cfg.Name {
			n.granted(g)
		} else {
			n.send(a.Name, KindGrant, encode(g))
		}
	}
}

// pass grants to a front that this one feeds what is left of its own lease, or has
// it wait for a round where this one leads.
func (n *Node) pass(from string, a AttachRequest) {
	if a.Lease.Stamp == 0 || n.stale != nil {
		return
	}
	if n.leads {
		n.leases.grantor.Add(lease.Requester{Name: from, ID: a.ID, Start: a.Start, Request: a.Lease}, membership.MaxFronts)
		return
	}
	f := n.rep.State().Members.Find(from)
	if f == nil || f.ID != a.ID || f.Start != a.Start || f.Lost || n.fenced(from) {
		return
	}
	g, ok := lease.Grant{}, false
	if n.LeaseSpan() > 0 {
		g, ok = n.leases.own.Delegate(a.Lease, n.now)
	}
	if k, held := n.leases.keep.Delegate(a.Lease, n.now); held && f.OwnerLease > 0 {
		g.Stamp, g.OwnerSpan = k.Stamp, k.Span
		if g.Index = max(g.Index, k.Index); !ok {
			ok = true
		}
	}
	if ok {
		n.send(from, KindGrant, encode(g))
	}
}

// fenced tells whether a front is shut out for acting on an old version: it is granted
// nothing until it has come up to what it is shut out below.
func (n *Node) fenced(name string) bool {
	x := n.rep.State().Rollout.Status(name)
	return x != nil && x.Fenced > 0
}

// granted takes a grant in.
func (n *Node) granted(g lease.Grant) {
	if n.stale != nil {
		return
	}
	if span := n.LeaseSpan(); span > 0 {
		n.leases.own.Accept(g, span, n.applied)
	}
	if n.cfg.OwnerLease > 0 {
		n.leases.keep.Accept(lease.Grant{Stamp: g.Stamp, Span: g.OwnerSpan, Index: g.Index}, n.cfg.OwnerLease, n.applied)
	}
}
