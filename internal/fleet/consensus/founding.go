package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// probed is what a first member said last.
type probed struct {
	tell ProbeInfo
	at   Micros
}

// founder tells whether this front is the one that founds.
func (n *Node) founder() bool {
	return len(n.cfg.FirstMembers) > 0 && n.cfg.FirstMembers[0].Name == n.cfg.Name
}

func (n *Node) first() (names []string) {
	for _, a := range n.cfg.FirstMembers {
		names = append(names, a.Name)
	}
	return names
}

// empty tells whether this front knows of no fleet and has nothing in its folder.
func (n *Node) blank() bool { return n.rep.State().Fleet == 0 && n.last() == 0 && n.applied == 0 }

// probe has the founder ask the other first members, and found once each of them
// has said lately that it knows of no fleet either.
func (n *Node) probe() {
	if !n.founder() || !n.blank() || n.out {
		return
	}
	for _, a := range n.cfg.FirstMembers[1:] {
		n.send(a.Name, KindProbe, encode(ProbeInfo{FirstMembers: n.first()}))
	}
	if n.FoundingStatus() == "" {
		n.found()
	}
}

// Founding tells what the fleet's founding waits for; empty: for nothing.
func (n *Node) FoundingStatus() string {
	if !n.blank() {
		return ""
	}
	if !n.founder() {
		if len(n.cfg.FirstMembers) == 0 {
			return "no first members are named"
		}
		return "for " + n.cfg.FirstMembers[0].Name + ", the first of the first members"
	}
	for _, a := range n.cfg.FirstMembers[1:] {
		p, ok := n.probed[a.Name]
		switch {
		case !ok || n.now-p.at > n.span(feederTicks):
			return "for word of " + a.Name
		case p.tell.Fleet != 0:
			return a.Name + " belongs to a fleet already, which this front joins"
		case !slices.Equal(p.tell.FirstMembers, n.first()):
			return a.Name + " names other first members"
		}
	}
	return ""
}

// found begins the fleet with this front alone; the others join it.
func (n *Node) found() {
	conf := &raftpb.ConfState{Voters: []uint64{n.id}}
	n.rep.ApplySeats(membership.Seats{Voters: []uint64{n.id}})
	s := &raftpb.Snapshot{Data: n.rep.Snapshot(), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))}}
	// The agreement takes it in as a snapshot of a leader of the first term.
	err := n.raw.Step(&raftpb.Message{Type: raftpb.MsgSnap.Enum(), To: new(n.id), From: new(n.id), Term: new(uint64(1)), Snapshot: s})
	if err != nil {
		n.tell("the founding failed: %v", err)
		return
	}
	n.tell("this front founds the fleet %s", n.cfg.Fleet)
	front := n.self()
	n.founding = func() {
		n.Submit(statemachine.Command{Found: &statemachine.Found{Name: n.cfg.Fleet, Fleet: n.cfg.RandomID(), Rules: n.cfg.Rules}}, n.span(600), func(statemachine.Result, error) {})
		n.Submit(statemachine.Command{Join: &statemachine.Join{Front: front}}, n.span(600), func(statemachine.Result, error) {})
	}
}

func (n *Node) self() membership.Front {
	return membership.Front{Name: n.cfg.Name, Zone: n.cfg.Zone, Machine: n.cfg.Machine, Address: n.cfg.Address, ID: n.id,
		Build: n.cfg.Build, Start: n.cfg.Start, Lease: n.rep.State().Maintenance.Rules.LeaseSpan, OwnerLease: n.keepSpan()}
}

// keepSpan is the span that this front joins with as a keeper, once all fronts read it.
func (n *Node) keepSpan() Micros {
	if n.rep.State().Version < statemachine.VersionOwners {
		return 0
	}
	return n.cfg.OwnerLease
}

// toldBy takes a question about the past, or its answer.
func (n *Node) toldBy(from string, kind Kind, t ProbeInfo) {
	if kind == KindProbe {
		n.send(from, KindProbeReply, encode(ProbeInfo{Fleet: n.rep.State().Fleet, FirstMembers: n.first()}))
		return
	}
	if slices.Contains(n.first(), from) {
		n.probed[from] = probed{t, n.now}
	}
}

// join asks to be taken in, as long as the fleet does not know this front as it is.
func (n *Node) join() {
	s := n.rep.State()
	if f := s.Members.Find(n.cfg.Name); s.Fleet == 0 || n.joining ||
		f != nil && f.ID == n.id && f.Start == n.cfg.Start && f.Address == n.cfg.Address && f.Zone == n.cfg.Zone && f.Machine == n.cfg.Machine &&
			f.Lease == s.Maintenance.Rules.LeaseSpan && f.OwnerLease == n.keepSpan() {
		return
	}
	n.joining = true
	n.Submit(statemachine.Command{Join: &statemachine.Join{Front: n.self()}}, n.span(100), func(w statemachine.Result, err error) {
		n.joining = false
		if w.Err != "" {
			n.tell("the fleet does not take this front in: %s", w.Err)
		}
	})
}
