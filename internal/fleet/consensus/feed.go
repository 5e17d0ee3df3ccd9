package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// attach has a front that takes no part in the agreement, or hears of no leader, ask
// to be fed: by voters first, in an order of its own, and by those that they name.
func (n *Node) attach() {
	if n.led() {
		n.detach()
		return
	}
	if n.feeder != "" && n.now-n.fed > n.span(feederTicks) {
		n.detach()
		n.tried++
	}
	to := n.feeder
	if to == "" {
		list := n.feeders()
		if len(list) == 0 {
			return
		}
		if n.asked != 0 { // the one before has not answered
			n.tried++
		}
		to = list[n.tried%len(list)]
		n.asked = n.now
	}
	n.send(to, KindAttach, encode(AttachRequest{ID: n.id, Next: n.applied + 1, Address: n.cfg.Address, Lease: n.wants(), Start: n.cfg.Start}))
}

// led tells whether this front leads, or has a seat and hears the leader itself.
func (n *Node) led() bool {
	return n.leads || n.seat() && n.now-n.ledAt < n.span(feederTicks)
}

func (n *Node) detach() { n.feeder, n.path, n.asked = "", nil, 0 }

// feeders are those that may feed this front.
func (n *Node) feeders() (list []string) {
	s := n.rep.State()
	for _, f := range s.Members.Fronts {
		if s.Seats.Has(f.ID) && !f.Lost && f.Name != n.cfg.Name {
			list = append(list, f.Name)
		}
	}
	if len(list) == 0 {
		for _, a := range n.cfg.FirstMembers {
			if a.Name != n.cfg.Name {
				list = append(list, a.Name)
			}
		}
	}
	byRank(n.cfg.Name, list)
	for _, name := range n.referred {
		if !slices.Contains(list, name) && name != n.cfg.Name {
			list = append(list, name)
		}
	}
	return list
}

// feeding takes the answer of one that was asked.
func (n *Node) feeding(from string, f AttachReply) {
	switch {
	case f.Full || slices.Contains(f.Path, n.cfg.Name):
		n.referred = f.Alternatives[:min(len(f.Alternatives), 16)]
		if from == n.feeder {
			n.detach()
		}
		n.asked, n.tried = 0, n.tried+1
	case n.feeder == "" || n.feeder == from:
		n.feeder, n.path, n.fed, n.asked = from, f.Path, n.now, 0
	}
}

// feed answers one that asks to be fed.
func (n *Node) feed(from string, a AttachRequest) {
	if len(n.addresses) >= membership.MaxFronts {
		clear(n.addresses)
	}
	if len(a.Address) <= membership.MaxNameSize {
		n.addresses[from] = a.Address
	}
	i := slices.IndexFunc(n.children, func(c *child) bool { return c.name == from })
	attached := n.feeder != "" && n.now-n.fed < n.span(feederTicks)
	// One that lives by leases and holds none has none to pass on: whoever it fed would starve.
	leaseless := n.LeaseSpan() > 0 && !n.leads && !n.leases.own.Valid(n.now)
	if lead, _ := n.Leader(); lead == 0 || leaseless || !n.led() && !attached || len(n.path) >= mostPath || slices.Contains(n.path, from) || n.rep.State().Fleet == 0 {
		if i >= 0 {
			n.children = slices.Delete(n.children, i, i+1)
		}
		n.send(from, KindAttachReply, encode(AttachReply{Full: true}))
		return
	}
	if i < 0 {
		n.children = slices.DeleteFunc(n.children, func(c *child) bool { return n.now-c.asked > n.span(feederTicks) })
		if len(n.children) >= n.cfg.FanOut {
			var names []string
			for _, c := range n.children {
				names = append(names, c.name)
			}
			byRank(from, names)
			n.send(from, KindAttachReply, encode(AttachReply{Full: true, Alternatives: names}))
			return
		}
		i = len(n.children)
		n.children = append(n.children, &child{name: from})
	}
	c := n.children[i]
	c.id, c.next, c.asked = a.ID, a.Next, n.now
	path := append([]string{n.cfg.Name}, n.path...)
	n.send(from, KindAttachReply, encode(AttachReply{Path: path}))
	n.give(c)
	n.pass(from, a)
}

// feedAll passes on what has just been applied.
func (n *Node) feedAll() {
	n.children = slices.DeleteFunc(n.children, func(c *child) bool { return n.now-c.asked > n.span(feederTicks) })
	for _, c := range n.children {
		n.give(c)
	}
}

// give sends a child what it lacks of the entries applied here: a message that the
// leader of this term could have sent itself, since all in it is committed. One
// whose entries are no longer kept gets a snapshot.
func (n *Node) give(c *child) {
	lead, term := n.Leader()
	if seated(n.conf, c.id) && n.leads || lead == 0 || c.next > n.applied+1 {
		return
	}
	first, _ := n.store.FirstIndex()
	m := &raftpb.Message{To: new(c.id), From: new(lead), Term: new(term)}
	if c.next < first {
		if n.stale != nil || n.conf == nil {
			return
		}
		m.Type = raftpb.MsgSnap.Enum()
		m.Snapshot = &raftpb.Snapshot{Data: n.rep.Snapshot(), Metadata: &raftpb.SnapshotMetadata{ConfState: n.conf,
			Index: new(n.applied), Term: new(n.EntryTerm(n.applied))}}
		c.next = n.applied + 1
	} else {
		var entries []*raftpb.Entry
		if c.next <= n.applied {
			var err error
			if entries, err = n.store.Entries(c.next, n.applied+1, mostFeed); err != nil {
				return
			}
		}
		m.Type = raftpb.MsgApp.Enum()
		m.Index, m.LogTerm, m.Entries = new(c.next-1), new(n.EntryTerm(c.next-1)), entries
		m.Commit = new(min(n.applied, c.next-1+uint64(len(entries))))
		c.next += uint64(len(entries))
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return
	}
	n.send(c.name, KindEntries, b)
}

// lead is what a leader does at every tick: it hands over before its own turn,
// tells time and contacts, and has the council's seats changed.
func (n *Node) lead() {
	if n.leads = n.IsLeader(); !n.leads {
		return
	}
	s := n.rep.State()
	if n.stale != nil && n.now-n.handed > n.span(electionTicks) { // it can't lead: what it can't read it can't judge
		n.handed = n.now
		if to := n.successor(); to != 0 {
			n.raw.TransferLeader(to)
		}
	}
	if n.ticks%beatTicks != 0 || s.Fleet == 0 || n.stale != nil {
		return
	}
	n.heard[n.cfg.Name] = heard{id: n.id, start: n.cfg.Start, at: n.now, away: n.away, hurt: n.hurt, applied: n.applied, stand: n.stand}
	var contacts []statemachine.Contact
	for _, f := range s.Members.Fronts {
		h, ok := n.heard[f.Name]
		if !f.Lost && (!ok || h.id != f.ID) { // it has only just come
			h, ok = heard{id: f.ID, start: f.Start, at: n.now, away: f.NotServing, hurt: f.Unhealthy}, true
			n.heard[f.Name] = h
		}
		lost := !ok || h.id != f.ID || n.now-h.at > n.cfg.LostAfter
		away, hurt := f.NotServing, f.Unhealthy
		if ok && h.id == f.ID && h.start == f.Start {
			away, hurt = h.away, h.hurt
		}
		if lost != f.Lost || away != f.NotServing || hurt != f.Unhealthy {
			contacts = append(contacts, statemachine.Contact{Name: f.Name, ID: f.ID, Lost: lost, NotServing: away, Unhealthy: hurt})
		}
	}
	if len(contacts) > 0 || n.timeMatters() && n.now-n.facts >= n.span(beatTicks) {
		if _, done := n.rep.Seen(n.factsID); done || n.factsID == (statemachine.ID{}) || n.now-n.facts > n.span(againTicks) {
			n.number++
			n.factsID = statemachine.ID{Front: n.id, Start: n.cfg.Start, N: n.number}
			c := statemachine.Command{ID: n.factsID, Facts: &statemachine.Facts{Span: n.now - n.facts, Contacts: contacts}}
			if b, err := statemachine.Encode(c); err == nil && n.raw.Propose(b) == nil {
				n.facts = n.now
				n.factsLost = slices.ContainsFunc(contacts, func(x statemachine.Contact) bool { return x.Lost })
			}
		}
	}
	n.gatherLeft()
	n.gatherStands()
	n.granting()
	n.raise()
	n.handOver()
	n.seats()
}

// timeMatters tells whether anything in the state waits for time to pass.
func (n *Node) timeMatters() bool {
	s := n.rep.State()
	return len(s.Maintenance.Operations) > 0 || s.Rollout.Waiting(s.Now) ||
		slices.ContainsFunc(s.Members.Fronts, func(f membership.Front) bool { return f.Lost && s.Seats.Has(f.ID) })
}

// handOver gives the lead to another voter before this front goes out.
func (n *Node) handOver() {
	own := n.rep.State().Members.Find(n.cfg.Name)
	if own == nil || !n.rep.Avoid(own) && !own.Leaving || n.now-n.handed < n.span(electionTicks) {
		return
	}
	if to := n.successor(); to != 0 {
		n.handed = n.now
		n.tell("%s is handed the lead: this front goes out", n.nameOf(to))
		n.raw.TransferLeader(to)
	}
}

// successor is the voter that should lead next: heard, staying, and with the most entries.
func (n *Node) successor() (best uint64) {
	s := n.rep.State()
	most := uint64(0)
	for id, p := range n.raw.Status().Progress {
		f := s.Members.ByID(id)
		if f == nil || id == n.id || p.IsLearner || f.Lost || f.Leaving || n.rep.Avoid(f) {
			continue
		}
		if best == 0 || p.Match > most || p.Match == most && id < best {
			best, most = id, p.Match
		}
	}
	return best
}

// seats has the council's next change proposed, one at a time.
func (n *Node) seats() {
	if n.conf2 > n.applied && n.now-n.confAt < n.span(feederTicks) || n.now-n.confAt < n.span(beatTicks) {
		return
	}
	s := n.rep.State()
	progress := n.raw.Status().Progress
	m := s.Members.Next(s.Seats, membership.Config{Grace: n.cfg.SeatGrace}, membership.View{Now: s.Now, Leader: n.id,
		CaughtUp: func(id uint64) bool { return progress[id].Match+16 >= n.last() }, Avoid: n.rep.Avoid,
		KeepsUp: func(f *membership.Front) bool {
			h := n.heard[f.Name]
			return h.id == f.ID && h.applied+nearEntries >= n.applied
		}})
	n.changing = m.Reason
	cc := &raftpb.ConfChangeV2{}
	change := func(t raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)})
	}
	switch m.Kind {
	case membership.Stay:
		return
	case membership.AddLearner:
		change(raftpb.ConfChangeAddLearnerNode, m.Add)
	case membership.Promote:
		change(raftpb.ConfChangeAddNode, m.Add)
		if m.Remove != 0 {
			change(raftpb.ConfChangeRemoveNode, m.Remove)
		}
	case membership.Remove:
		change(raftpb.ConfChangeRemoveNode, m.Remove)
	}
	n.confAt = n.now
	if err := n.raw.ProposeConfChange(cc); err == nil {
		n.conf2 = n.last() + 1
		n.tell("council: %s", m.Reason)
	}
}
