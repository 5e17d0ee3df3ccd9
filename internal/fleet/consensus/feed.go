package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// attach requests to be fed if this front hears no leader as a member of the raft group: it
// asks the voters first, in an order of its own, and then the fronts that they named.
func (node *Node) attach() {
	if node.followsLeader() {
		node.detach()
		return
	}
	if node.feeder != "" && node.now-node.feederHeardAt > node.tickSpan(feederTimeoutTicks) {
		node.detach()
		node.feederAttempts++
	}
	to := node.feeder
	if to == "" {
		list := node.feederCandidates()
		if len(list) == 0 {
			return
		}
		if node.attachSentAt != 0 { // the last one has not replied
			node.feederAttempts++
		}
		to = list[node.feederAttempts%len(list)]
		node.attachSentAt = node.now
	}
	node.send(to, KindAttach, encode(AttachRequest{ID: node.id, Next: node.applied + 1, Address: node.cfg.Address, Lease: node.leaseRequest(), Start: node.cfg.Start}))
}

// followsLeader reports whether this front leads, or has a seat and hears the leader itself.
func (node *Node) followsLeader() bool {
	return node.leading || node.hasSeat() && node.now-node.leaderHeardAt < node.tickSpan(feederTimeoutTicks)
}

func (node *Node) detach() { node.feeder, node.feederPath, node.attachSentAt = "", nil, 0 }

// feederCandidates returns the fronts that may feed this one, in the order in which to ask.
func (node *Node) feederCandidates() (list []string) {
	state := node.replica.State()
	for _, front := range state.Members.Fronts {
		if state.Seats.Has(front.ID) && !front.Lost && front.Name != node.cfg.Name {
			list = append(list, front.Name)
		}
	}
	if len(list) == 0 {
		for _, member := range node.cfg.FirstMembers {
			if member.Name != node.cfg.Name {
				list = append(list, member.Name)
			}
		}
	}
	sortByRank(node.cfg.Name, list)
	for _, name := range node.alternatives {
		if !slices.Contains(list, name) && name != node.cfg.Name {
			list = append(list, name)
		}
	}
	return list
}

// handleAttachReply handles the reply to an attach request.
func (node *Node) handleAttachReply(from string, reply AttachReply) {
	switch {
	case reply.Full || slices.Contains(reply.Path, node.cfg.Name):
		node.alternatives = reply.Alternatives[:min(len(reply.Alternatives), 16)]
		if from == node.feeder {
			node.detach()
		}
		node.attachSentAt, node.feederAttempts = 0, node.feederAttempts+1
	case node.feeder == "" || node.feeder == from:
		node.feeder, node.feederPath, node.feederHeardAt, node.attachSentAt = from, reply.Path, node.now, 0
	}
}

// handleAttach replies to an attach request, and feeds its sender if there is room.
func (node *Node) handleAttach(from string, request AttachRequest) {
	if len(node.addresses) >= membership.MaxFronts {
		clear(node.addresses)
	}
	if len(request.Address) <= membership.MaxNameSize {
		node.addresses[from] = request.Address
	}
	i := slices.IndexFunc(node.children, func(c *child) bool { return c.name == from })
	attached := node.feeder != "" && node.now-node.feederHeardAt < node.tickSpan(feederTimeoutTicks)
	// A front whose lease is over can't delegate one: its children would get none.
	leaseless := node.LeaseSpan() > 0 && !node.leading && !node.leases.own.Valid(node.now)
	if lead, _ := node.Leader(); lead == 0 || leaseless || !node.followsLeader() && !attached || len(node.feederPath) >= maxPathLength || slices.Contains(node.feederPath, from) || node.replica.State().Fleet == 0 {
		if i >= 0 {
			node.children = slices.Delete(node.children, i, i+1)
		}
		node.send(from, KindAttachReply, encode(AttachReply{Full: true}))
		return
	}
	if i < 0 {
		node.children = slices.DeleteFunc(node.children, func(c *child) bool { return node.now-c.askedAt > node.tickSpan(feederTimeoutTicks) })
		if len(node.children) >= node.cfg.FanOut {
			var names []string
			for _, c := range node.children {
				names = append(names, c.name)
			}
			sortByRank(from, names)
			node.send(from, KindAttachReply, encode(AttachReply{Full: true, Alternatives: names}))
			return
		}
		i = len(node.children)
		node.children = append(node.children, &child{name: from})
	}
	c := node.children[i]
	c.id, c.next, c.askedAt = request.ID, request.Next, node.now
	path := append([]string{node.cfg.Name}, node.feederPath...)
	node.send(from, KindAttachReply, encode(AttachReply{Path: path}))
	node.feedChild(c)
	node.delegateLease(from, request)
}

// feedChildren passes on the entries that have just been applied.
func (node *Node) feedChildren() {
	node.children = slices.DeleteFunc(node.children, func(c *child) bool { return node.now-c.askedAt > node.tickSpan(feederTimeoutTicks) })
	for _, c := range node.children {
		node.feedChild(c)
	}
}

// feedChild sends a child the applied entries that it lacks, as a message that the leader of
// this term could have sent itself, since all of them are committed. If the entries are no
// longer kept, it sends a snapshot.
func (node *Node) feedChild(c *child) {
	lead, term := node.Leader()
	if isSeated(node.confState, c.id) && node.leading || lead == 0 || c.next > node.applied+1 {
		return
	}
	first, _ := node.store.FirstIndex()
	message := &raftpb.Message{To: new(c.id), From: new(lead), Term: new(term)}
	if c.next < first {
		if node.staleErr != nil || node.confState == nil {
			return
		}
		message.Type = raftpb.MsgSnap.Enum()
		message.Snapshot = &raftpb.Snapshot{Data: node.replica.Snapshot(), Metadata: &raftpb.SnapshotMetadata{ConfState: node.confState,
			Index: new(node.applied), Term: new(node.EntryTerm(node.applied))}}
		c.next = node.applied + 1
	} else {
		var entries []*raftpb.Entry
		if c.next <= node.applied {
			var err error
			if entries, err = node.store.Entries(c.next, node.applied+1, maxEntryBytes); err != nil {
				return
			}
		}
		message.Type = raftpb.MsgApp.Enum()
		message.Index, message.LogTerm, message.Entries = new(c.next-1), new(node.EntryTerm(c.next-1)), entries
		message.Commit = new(node.applied) // it commits what it has; the rest follows
		c.next += uint64(len(entries))
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return
	}
	node.send(c.name, KindEntries, data)
}

// leaderTick runs the leader's periodic tasks: it transfers the leadership before this front
// goes out, proposes the elapsed time and changes of contact, starts lease rounds and proposes
// changes of seats.
func (node *Node) leaderTick() {
	if node.leading = node.IsLeader(); !node.leading {
		return
	}
	state := node.replica.State()
	if node.staleErr != nil && node.now-node.transferredAt > node.tickSpan(electionTicks) { // a leader that can't read the entries can't decide on them
		node.transferredAt = node.now
		if to := node.successor(); to != 0 {
			node.raw.TransferLeader(to)
		}
	}
	if node.ticks%heartbeatTicks != 0 || state.Fleet == 0 || node.staleErr != nil {
		return
	}
	node.fronts[node.cfg.Name] = frontInfo{id: node.id, start: node.cfg.Start, heardAt: node.now, notServing: node.notServing, unhealthy: node.unhealthy, applied: node.applied, status: node.status}
	var contacts []statemachine.Contact
	for _, front := range state.Members.Fronts {
		info, ok := node.fronts[front.Name]
		if !front.Lost && (!ok || info.id != front.ID) { // it has only just joined
			info, ok = frontInfo{id: front.ID, start: front.Start, heardAt: node.now, notServing: front.NotServing, unhealthy: front.Unhealthy}, true
			node.fronts[front.Name] = info
		}
		lost := !ok || info.id != front.ID || node.now-info.heardAt > node.cfg.LostAfter
		notServing, unhealthy := front.NotServing, front.Unhealthy
		if ok && info.id == front.ID && info.start == front.Start {
			notServing, unhealthy = info.notServing, info.unhealthy
		}
		if lost != front.Lost || notServing != front.NotServing || unhealthy != front.Unhealthy {
			contacts = append(contacts, statemachine.Contact{Name: front.Name, ID: front.ID, Lost: lost, NotServing: notServing, Unhealthy: unhealthy})
		}
	}
	if len(contacts) > 0 || node.needsTime() && node.now-node.factsAt >= node.tickSpan(heartbeatTicks) {
		if _, done := node.replica.Seen(node.factsID); done || node.factsID == (statemachine.ID{}) || node.now-node.factsAt > node.tickSpan(resendTicks) {
			node.lastCommand++
			node.factsID = statemachine.ID{Front: node.id, Start: node.cfg.Start, N: node.lastCommand}
			command := statemachine.Command{ID: node.factsID, Facts: &statemachine.Facts{Span: node.now - node.factsAt, Contacts: contacts}}
			if data, err := statemachine.Encode(command); err == nil && node.raw.Propose(data) == nil {
				node.factsAt = node.now
				node.factsReportLoss = slices.ContainsFunc(contacts, func(x statemachine.Contact) bool { return x.Lost })
			}
		}
	}
	node.proposeLeftBoxes()
	node.proposeStatuses()
	node.startLeaseRound()
	node.raiseVersion()
	node.transferLeadership()
	node.proposeSeatChange()
}

// needsTime reports whether anything in the state waits for time to pass.
func (node *Node) needsTime() bool {
	state := node.replica.State()
	return len(state.Maintenance.Operations) > 0 || state.Rollout.Waiting(state.Now) ||
		slices.ContainsFunc(state.Members.Fronts, func(front membership.Front) bool { return front.Lost && state.Seats.Has(front.ID) })
}

// transferLeadership transfers the leadership to another voter before this front goes out.
func (node *Node) transferLeadership() {
	own := node.replica.State().Members.Find(node.cfg.Name)
	if own == nil || !node.replica.Avoid(own) && !own.Leaving || node.now-node.transferredAt < node.tickSpan(electionTicks) {
		return
	}
	if to := node.successor(); to != 0 {
		node.transferredAt = node.now
		node.addEvent("%s is handed the lead: this front goes out", node.nameOf(to))
		node.raw.TransferLeader(to)
	}
}

// successor returns the voter that should lead next: in contact, staying, and with the most
// entries; 0 if there is none.
func (node *Node) successor() (best uint64) {
	state := node.replica.State()
	maxMatch := uint64(0)
	for id, progress := range node.raw.Status().Progress {
		front := state.Members.ByID(id)
		if front == nil || id == node.id || progress.IsLearner || front.Lost || front.Leaving || node.replica.Avoid(front) {
			continue
		}
		if best == 0 || progress.Match > maxMatch || progress.Match == maxMatch && id < best {
			best, maxMatch = id, progress.Match
		}
	}
	return best
}

// proposeSeatChange proposes the next change of seats, one at a time.
func (node *Node) proposeSeatChange() {
	if node.confChangeIndex > node.applied && node.now-node.confChangeAt < node.tickSpan(feederTimeoutTicks) || node.now-node.confChangeAt < node.tickSpan(heartbeatTicks) {
		return
	}
	state := node.replica.State()
	progress := node.raw.Status().Progress
	next := state.Members.Next(state.Seats, membership.Config{Grace: node.cfg.SeatGrace}, membership.View{Now: state.Now, Leader: node.id,
		CaughtUp: func(id uint64) bool { return progress[id].Match+16 >= node.lastIndex() }, Avoid: node.replica.Avoid,
		KeepsUp: func(front *membership.Front) bool {
			info := node.fronts[front.Name]
			return info.id == front.ID && info.applied+maxLearnerLag >= node.applied
		}})
	node.pendingChange = next.Reason
	cc := &raftpb.ConfChangeV2{}
	addChange := func(t raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)})
	}
	switch next.Kind {
	case membership.Stay:
		return
	case membership.AddLearner:
		addChange(raftpb.ConfChangeAddLearnerNode, next.Add)
	case membership.Promote:
		addChange(raftpb.ConfChangeAddNode, next.Add)
		if next.Remove != 0 {
			addChange(raftpb.ConfChangeRemoveNode, next.Remove)
		}
	case membership.Remove:
		addChange(raftpb.ConfChangeRemoveNode, next.Remove)
	}
	node.confChangeAt = node.now
	if err := node.raw.ProposeConfChange(cc); err == nil {
		node.confChangeIndex = node.lastIndex() + 1
		node.addEvent("council: %s", next.Reason)
	}
}
