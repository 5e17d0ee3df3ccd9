package consensus

import (
	"encoding/binary"

	"cherryramp/internal/decide/lease"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// leaseState is the state of a front's own lease, and of the leases that a leader grants.
type leaseState struct {
	own            lease.Lease
	owner          lease.Lease  // as an owner of sites
	lastSpan       lease.Micros // span of the lease when last updated; 0: unlimited
	spanKnown      bool
	grantor        lease.Grantor
	roundStartedAt Micros // start of the current round
}

// AdvanceClock advances this front's clock without any other effect. It must be called before a
// message is received: the leases passed on are measured from then.
func (node *Node) AdvanceClock(now Micros) { node.now = max(node.now, now) }

// LeaseSpan returns how long this front may act without hearing the fleet; 0: unlimited.
func (node *Node) LeaseSpan() Micros {
	state := node.replica.State()
	rule, known := node.cfg.Rules.LeaseSpan, Micros(0)
	if state.Fleet != 0 {
		rule = state.Maintenance.Rules.LeaseSpan
	}
	if front := state.Members.Find(node.cfg.Name); front != nil && front.ID == node.id {
		known = front.Lease
	}
	return lease.EffectiveSpan(rule, known)
}

// MayAct reports whether this front may act at a moment of its own clock. A front that can't
// read the fleet's entries any more may not: it can't know its lease.
func (node *Node) MayAct(now Micros) bool {
	if node.staleErr != nil {
		return false
	}
	span := node.leases.lastSpan // as of the last entry or tick: MayAct is called before each act
	if !node.leases.spanKnown {
		span = node.LeaseSpan()
	}
	return span == 0 || node.leases.own.Valid(now) || node.replica.HasMutation(statemachine.DisableLeaseCheck)
}

// HasMutation reports whether a rule is disabled in the replica.
func (node *Node) HasMutation(rule statemachine.Mutation) bool { return node.replica.HasMutation(rule) }

// LeaseEnd returns the end of the lease by this front's clock; 0: unlimited, or no lease.
func (node *Node) LeaseEnd() Micros { return node.leases.own.End() }

// updateLease limits the lease to the span that the state has for this front. A front whose
// lease was unlimited until now starts with a full span, since the others assume an unlimited
// one until it joins with a span.
func (node *Node) updateLease() {
	leases := &node.leases
	span := node.LeaseSpan()
	leases.own.Applied(node.applied)
	leases.owner.Applied(node.applied)
	if span > 0 {
		if leases.spanKnown && leases.lastSpan == 0 {
			leases.own.Accept(lease.Grant{Stamp: max(1, node.now), Span: span, Index: node.applied}, span, node.applied)
		}
		leases.own.Shorten(node.now, span)
	}
	leases.lastSpan, leases.spanKnown = span, true
}

// leaseRequest returns the request for a lease; it is empty if this front needs none.
func (node *Node) leaseRequest() lease.Request {
	if node.LeaseSpan() == 0 && node.cfg.OwnerLease == 0 {
		return lease.Request{}
	}
	return lease.Request{Stamp: max(1, node.now)}
}

// OwnerLease returns the moment of this front's clock up to which it may act as an owner of
// sites, and a moment before which a majority was asked to confirm it. An end of 0 means that it
// may not act as an owner.
func (node *Node) OwnerLease() (end, confirmedAt Micros) {
	if node.staleErr != nil {
		return 0, 0
	}
	return node.leases.owner.End(), node.leases.owner.End() - node.cfg.OwnerLease
}

// startLeaseRound has the leader start a round for the fronts that have requested a lease,
// itself among them. No round starts while the entry that reports a front as lost is on its
// way, so that no lease is requested after its holder counts as lost.
func (node *Node) startLeaseRound() {
	leases := &node.leases
	if leases.grantor.InProgress() && node.now-leases.roundStartedAt > node.tickSpan(feederTimeoutTicks) { // no majority has replied
		leases.grantor.Reset()
	}
	if request := node.leaseRequest(); request.Stamp != 0 {
		leases.grantor.Add(lease.Requester{Name: node.cfg.Name, ID: node.id, Start: node.cfg.Start, Request: request}, membership.MaxFronts)
	}
	if _, done := node.replica.Seen(node.factsID); !done && node.factsReportLoss {
		return
	}
	if number, ok := leases.grantor.Begin(); ok {
		leases.roundStartedAt = node.now
		node.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
	}
}

// confirmLeaseRound notes that a majority still followed this leader after a round began.
func (node *Node) confirmLeaseRound(context []byte, index uint64) {
	if len(context) == 8 {
		node.leases.grantor.Confirmed(binary.BigEndian.Uint64(context), index)
	}
}

// answerLeaseRequests grants leases to the fronts whose round was confirmed and that are not
// lost in the state up to there, if they run the process that the state knows. What an earlier
// process of a front reported of boxes and versions counts until the state knows of the next
// process, which therefore may not act before that.
func (node *Node) answerLeaseRequests() {
	list, index := node.leases.grantor.TakeConfirmed(node.applied)
	state := node.replica.State()
	for _, requester := range list {
		front := state.Members.Find(requester.Name)
		if front == nil || front.ID != requester.ID || front.Start != requester.Start || front.Lost || node.isFenced(requester.Name) {
			continue
		}
		grant := lease.Grant{Stamp: requester.Request.Stamp, Span: state.Maintenance.Rules.LeaseSpan, Index: index}
		if grant.Span == 0 {
			grant.Span = front.Lease // until it has joined without a span
		}
		grant.OwnerSpan = front.OwnerLease
		if requester.Name == node.cfg.Name {
			node.acceptGrant(grant)
		} else {
			node.send(requester.Name, KindGrant, encode(grant))
		}
	}
}

// delegateLease passes the rest of this front's own lease on to a child. A leader adds the
// request to its next round instead.
func (node *Node) delegateLease(from string, request AttachRequest) {
	if request.Lease.Stamp == 0 || node.staleErr != nil {
		return
	}
	if node.leading {
		node.leases.grantor.Add(lease.Requester{Name: from, ID: request.ID, Start: request.Start, Request: request.Lease}, membership.MaxFronts)
		return
	}
	front := node.replica.State().Members.Find(from)
	if front == nil || front.ID != request.ID || front.Start != request.Start || front.Lost || node.isFenced(from) {
		return
	}
	grant, ok := lease.Grant{}, false
	if node.LeaseSpan() > 0 {
		grant, ok = node.leases.own.Delegate(request.Lease, node.now)
	}
	if owner, held := node.leases.owner.Delegate(request.Lease, node.now); held && front.OwnerLease > 0 {
		grant.Stamp, grant.OwnerSpan = owner.Stamp, owner.Span
		if grant.Index = max(grant.Index, owner.Index); !ok {
			ok = true
		}
	}
	if ok {
		node.send(from, KindGrant, encode(grant))
	}
}

// isFenced reports whether a front is shut out for acting on an old version: it is granted no
// lease until it acts on the version that is required.
func (node *Node) isFenced(name string) bool {
	status := node.replica.State().Rollout.Status(name)
	return status != nil && status.Fenced > 0
}

// acceptGrant accepts a grant.
func (node *Node) acceptGrant(grant lease.Grant) {
	if node.staleErr != nil {
		return
	}
	if span := node.LeaseSpan(); span > 0 {
		node.leases.own.Accept(grant, span, node.applied)
	}
	if node.cfg.OwnerLease > 0 {
		node.leases.owner.Accept(lease.Grant{Stamp: grant.Stamp, Span: grant.OwnerSpan, Index: grant.Index}, node.cfg.OwnerLease, node.applied)
	}
}
