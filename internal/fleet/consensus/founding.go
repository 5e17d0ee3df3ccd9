package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
)

// probeReply is the last reply of a first member.
type probeReply struct {
	info ProbeInfo
	at   Micros
}

// isFounder reports whether this front is the one that founds the fleet.
func (node *Node) isFounder() bool {
	return len(node.cfg.FirstMembers) > 0 && node.cfg.FirstMembers[0].Name == node.cfg.Name
}

func (node *Node) firstMembers() (names []string) {
	for _, member := range node.cfg.FirstMembers {
		names = append(names, member.Name)
	}
	return names
}

// isBlank reports whether this front knows of no fleet and has nothing in its folder.
func (node *Node) isBlank() bool {
	return node.replica.State().Fleet == 0 && node.lastIndex() == 0 && node.applied == 0
}

// probe has the founder ask the other first members, and found the fleet once each of them has
// lately replied that it knows of no fleet either.
func (node *Node) probe() {
	if !node.isFounder() || !node.isBlank() || node.outputPending {
		return
	}
	for _, member := range node.cfg.FirstMembers[1:] {
		node.send(member.Name, KindProbe, encode(ProbeInfo{FirstMembers: node.firstMembers()}))
	}
	if node.FoundingStatus() == "" {
		node.foundFleet()
	}
}

// FoundingStatus tells what the founding of the fleet waits for; empty: nothing.
func (node *Node) FoundingStatus() string {
	if !node.isBlank() {
		return ""
	}
	if !node.isFounder() {
		if len(node.cfg.FirstMembers) == 0 {
			return "no first members are named"
		}
		return "for " + node.cfg.FirstMembers[0].Name + ", the first of the first members"
	}
	for _, member := range node.cfg.FirstMembers[1:] {
		reply, ok := node.probeReplies[member.Name]
		switch {
		case !ok || node.now-reply.at > node.tickSpan(feederTimeoutTicks):
			return "for word of " + member.Name
		case reply.info.Fleet != 0:
			return member.Name + " belongs to a fleet already, which this front joins"
		case !slices.Equal(reply.info.FirstMembers, node.firstMembers()):
			return member.Name + " names other first members"
		}
	}
	return ""
}

// foundFleet starts the fleet with this front as its only voter; the others join it.
func (node *Node) foundFleet() {
	confState := &raftpb.ConfState{Voters: []uint64{node.id}}
	node.replica.ApplySeats(membership.Seats{Voters: []uint64{node.id}})
	snapshot := &raftpb.Snapshot{Data: node.replica.Snapshot(), Metadata: &raftpb.SnapshotMetadata{ConfState: confState, Index: new(uint64(1)), Term: new(uint64(1))}}
	// Raft takes this as a snapshot from a leader of the first term.
	err := node.raw.Step(&raftpb.Message{Type: raftpb.MsgSnap.Enum(), To: new(node.id), From: new(node.id), Term: new(uint64(1)), Snapshot: snapshot})
	if err != nil {
		node.addEvent("the founding failed: %v", err)
		return
	}
	node.addEvent("this front founds the fleet %s", node.cfg.Fleet)
	front := node.ownFront()
	node.onFounded = func() {
		node.Submit(statemachine.Command{Found: &statemachine.Found{Name: node.cfg.Fleet, Fleet: node.cfg.RandomID(), Rules: node.cfg.Rules}}, node.tickSpan(600), func(statemachine.Result, error) {})
		node.Submit(statemachine.Command{Join: &statemachine.Join{Front: front}}, node.tickSpan(600), func(statemachine.Result, error) {})
	}
}

func (node *Node) ownFront() membership.Front {
	return membership.Front{Name: node.cfg.Name, Zone: node.cfg.Zone, Machine: node.cfg.Machine, Address: node.cfg.Address, ID: node.id,
		Build: node.cfg.Build, Start: node.cfg.Start, Lease: node.replica.State().Maintenance.Rules.LeaseSpan, OwnerLease: node.ownerLeaseSpan()}
}

// ownerLeaseSpan returns the span with which this front joins as an owner of sites; 0 until all
// fronts can read it.
func (node *Node) ownerLeaseSpan() Micros {
	if node.replica.State().Version < statemachine.VersionOwners {
		return 0
	}
	return node.cfg.OwnerLease
}

// handleProbe replies to a probe, or notes the reply to one.
func (node *Node) handleProbe(from string, kind Kind, info ProbeInfo) {
	if kind == KindProbe {
		node.send(from, KindProbeReply, encode(ProbeInfo{Fleet: node.replica.State().Fleet, FirstMembers: node.firstMembers()}))
		return
	}
	if slices.Contains(node.firstMembers(), from) {
		node.probeReplies[from] = probeReply{info, node.now}
	}
}

// join submits a join as long as the state doesn't know this front as it is.
func (node *Node) join() {
	state := node.replica.State()
	if front := state.Members.Find(node.cfg.Name); state.Fleet == 0 || node.joining ||
		front != nil && front.ID == node.id && front.Start == node.cfg.Start && front.Address == node.cfg.Address && front.Zone == node.cfg.Zone && front.Machine == node.cfg.Machine &&
			front.Lease == state.Maintenance.Rules.LeaseSpan && front.OwnerLease == node.ownerLeaseSpan() {
		return
	}
	node.joining = true
	node.Submit(statemachine.Command{Join: &statemachine.Join{Front: node.ownFront()}}, node.tickSpan(100), func(result statemachine.Result, err error) {
		node.joining = false
		if result.Err != "" {
			node.addEvent("the fleet does not take this front in: %s", result.Err)
		}
	})
}
