package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cherryramp/internal/decide/lease"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// Kind is the kind of a message between two fronts. The numbers are on the wire.
type Kind uint8

// Kinds of messages.
const (
	KindRaft          Kind = iota + 1 // a message of the raft library, as it marshals it
	KindPropose                       // a command on its way to the leader
	KindHeartbeat                     // a Heartbeat
	KindAttach                        // an AttachRequest
	KindEntries                       // committed entries for a child, as a raft message of the leader
	KindAttachReply                   // an AttachReply
	KindProbe                         // a ProbeInfo that asks for the receiver's
	KindProbeReply                    // the reply to a probe
	KindGrant                         // a lease.Grant, for a request in a heartbeat or an attach request
	KindAuditQuestion                 // a question about a front's audit; not handled by the node
	KindAuditAnswer                   // the answer to it
)

// Heartbeat tells that a front, and those that heartbeat through it, are there.
type Heartbeat struct {
	Name       string      `cbor:"1,keyasint"`
	ID         uint64      `cbor:"2,keyasint"`
	Start      uint64      `cbor:"3,keyasint"`
	NotServing bool        `cbor:"4,keyasint,omitempty"`
	Applied    uint64      `cbor:"5,keyasint"`
	Age        Micros      `cbor:"6,keyasint,omitempty"` // since it was heard by the sender
	Below      []Heartbeat `cbor:"7,keyasint,omitempty"`
	Unhealthy  bool        `cbor:"8,keyasint,omitempty"`

	Lease           lease.Request `cbor:"9,keyasint,omitzero"`   // request of the sender itself, to the leader
	LeftPermits     []uint64      `cbor:"10,keyasint,omitempty"` // permits of boxes that it has left
	MaxStateVersion int           `cbor:"11,keyasint,omitempty"` // newest version of the state that its build can read

	Status *rollout.FrontStatus `cbor:"12,keyasint,omitempty"` // which version it acts on
}

// maxLeftPermits limits the permits in one heartbeat.
const maxLeftPermits = 64

// AttachRequest asks another front to feed this one with the committed entries.
type AttachRequest struct {
	ID      uint64 `cbor:"1,keyasint"`
	Next    uint64 `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // where to reply: the fleet may not know this front yet

	Lease lease.Request `cbor:"4,keyasint,omitzero"`
	Start uint64        `cbor:"5,keyasint,omitempty"` // of its process
}

// AttachReply is the reply to an AttachRequest.
type AttachReply struct {
	Path         []string `cbor:"1,keyasint,omitempty"` // the feeder and the feeders above it, the nearest first
	Alternatives []string `cbor:"2,keyasint,omitempty"` // no room: ask these instead
	Full         bool     `cbor:"3,keyasint,omitempty"`
}

// ProbeInfo is what a front knows of an existing fleet, for the founding.
type ProbeInfo struct {
	Fleet        uint64   `cbor:"1,keyasint"` // 0: none
	FirstMembers []string `cbor:"2,keyasint"` // its configured first members, in order
}

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 64, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return x
}

func encode(x any) []byte {
	b, err := encoder.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // plain values always encode
	}
	return b
}

func decodeChange(e *raftpb.Entry) (raftpb.ConfChangeI, error) {
	if e.GetType() == raftpb.EntryConfChange {
		cc := &raftpb.ConfChange{}
		return cc, proto.Unmarshal(e.GetData(), cc)
	}
	cc := &raftpb.ConfChangeV2{}
	return cc, proto.Unmarshal(e.GetData(), cc)
}

// appendRaftMessage appends a raft message to the list of those to send. The replies of a front
// that only gets entries from a feeder are dropped: it asks the feeder instead. Once the leader
// sends to it directly, as to a learner that does not know of its seat yet, it replies.
func (node *Node) appendRaftMessage(list []Message, message *raftpb.Message) []Message {
	to := node.nameOf(message.GetTo())
	if to == "" || to == node.cfg.Name || message.GetType() == raftpb.MsgAppResp && node.now-node.leaderHeardAt >= node.tickSpan(feederTimeoutTicks) {
		if message.GetType() == raftpb.MsgSnap {
			node.raw.ReportSnapshot(message.GetTo(), raft.SnapshotFailure)
		}
		return list
	}
	data, err := proto.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // raft messages always encode
	}
	if message.GetType() == raftpb.MsgSnap { // the next replies tell whether it arrived
		node.raw.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
	}
	return append(list, Message{To: to, Kind: KindRaft, Payload: data})
}

// Receive handles a message from another front, whose name its certificate has proven. It
// returns an error for a message that can't be read.
func (node *Node) Receive(from string, kind Kind, payload []byte) error {
	switch kind {
	case KindRaft, KindEntries:
		message := &raftpb.Message{}
		if err := proto.Unmarshal(payload, message); err != nil {
			return fmt.Errorf("fleet: from %s: %w", from, err)
		}
		node.stepRaft(from, kind, message)
	case KindPropose:
		command, err := statemachine.Decode(payload)
		if err != nil {
			return fmt.Errorf("fleet: from %s: %w", from, err)
		}
		if _, ok := node.replica.Seen(command.ID); !ok { // the front that waits for it sees it in the log
			node.forward(payload)
		}
	case KindHeartbeat:
		return receive(payload, func(b Heartbeat) { node.handleHeartbeat(from, b) })
	case KindAttach:
		return receive(payload, func(a AttachRequest) { node.handleAttach(from, a) })
	case KindAttachReply:
		return receive(payload, func(f AttachReply) { node.handleAttachReply(from, f) })
	case KindGrant:
		return receive(payload, node.acceptGrant)
	case KindProbe, KindProbeReply:
		return receive(payload, func(t ProbeInfo) { node.handleProbe(from, kind, t) })
	default:
		return fmt.Errorf("fleet: from %s: message of kind %d", from, kind)
	}
	return nil
}

func receive[T any](payload []byte, take func(T)) error {
	var x T
	if err := decoder.Unmarshal(payload, &x); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	take(x)
	return nil
}

// stepRaft passes a message to raft. Messages for another incarnation are dropped: a front that
// lost its disk must not answer for its earlier incarnation.
func (node *Node) stepRaft(from string, kind Kind, message *raftpb.Message) {
	if message.GetTo() != node.id {
		return
	}
	if kind == KindRaft {
		node.namesByID[message.GetFrom()] = from
		if len(node.namesByID) > 4096 {
			clear(node.namesByID)
		}
	} else if from == node.feeder {
		node.feederHeardAt = node.now
	}
	switch message.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if kind == KindRaft {
			node.leaderHeardAt = node.now
		}
		// What was committed when this process first heard the leader is applied before it
		// acts. A heartbeat tells only what of it this front is known to have.
		node.caughtUp = node.caughtUp || node.applied > 0 && node.applied >= message.GetCommit() && message.GetType() == raftpb.MsgApp
	}
	if conf := message.GetSnapshot().GetMetadata().GetConfState(); kind == KindEntries && message.GetType() == raftpb.MsgSnap && !isSeated(conf, node.id) {
		node.fedSnapshot = message
		return
	}
	defer func() { // raft panics if entries that this disk had confirmed are missing
		if cause := recover(); cause != nil {
			node.failure = fmt.Errorf("%w: %v", ErrOutdatedDisk, cause)
		}
	}()
	before := node.raw.BasicStatus()
	_ = node.raw.Step(message) // what raft rejects is dropped, as by a network
	if after := node.raw.BasicStatus(); after.Lead != before.Lead && after.Lead != 0 && after.Lead != node.id {
		node.addEvent("%s leads in term %d", node.nameOf(after.Lead), after.GetTerm())
	}
}

// sendHeartbeat sends a heartbeat: a voter to the leader, other fronts to their feeder.
func (node *Node) sendHeartbeat() {
	heartbeat := Heartbeat{Name: node.cfg.Name, ID: node.id, Start: node.cfg.Start, NotServing: node.notServing, Unhealthy: node.unhealthy, Applied: node.applied, LeftPermits: node.leftPermits(), MaxStateVersion: statemachine.Version, Status: node.status}
	to := node.feeder
	if lead, _ := node.Leader(); node.followsLeader() || to == "" {
		to, heartbeat.Lease = node.nameOf(lead), node.leaseRequest()
	}
	if node.leading || to == "" || to == node.cfg.Name || node.staleErr != nil { // a front that can't read the entries counts as lost
		return
	}
	for _, c := range node.children {
		if info, ok := node.fronts[c.name]; ok && node.now-info.heardAt < node.cfg.LostAfter {
			heartbeat.Below = append(heartbeat.Below, Heartbeat{Name: c.name, ID: info.id, Start: info.start, NotServing: info.notServing, Unhealthy: info.unhealthy, Applied: info.applied, Age: node.now - info.heardAt, LeftPermits: info.leftPermits, MaxStateVersion: info.maxStateVersion, Status: info.status})
		}
	}
	// Those below them, as reported in their heartbeats.
	for name, info := range node.fronts {
		if node.now-info.heardAt < node.cfg.LostAfter && !slices.ContainsFunc(node.children, func(c *child) bool { return c.name == name }) {
			heartbeat.Below = append(heartbeat.Below, Heartbeat{Name: name, ID: info.id, Start: info.start, NotServing: info.notServing, Unhealthy: info.unhealthy, Applied: info.applied, Age: node.now - info.heardAt, LeftPermits: info.leftPermits, MaxStateVersion: info.maxStateVersion, Status: info.status})
		}
	}
	slices.SortFunc(heartbeat.Below, func(x, y Heartbeat) int { return compare(x.Name, y.Name) })
	node.send(to, KindHeartbeat, encode(heartbeat))
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// handleHeartbeat notes a heartbeat, and those of the fronts below its sender.
func (node *Node) handleHeartbeat(from string, heartbeat Heartbeat) {
	if heartbeat.Name != from {
		return
	}
	record := func(heartbeat Heartbeat) {
		at := node.now - max(0, heartbeat.Age)
		if old, ok := node.fronts[heartbeat.Name]; !ok || old.heardAt <= at {
			node.fronts[heartbeat.Name] = frontInfo{id: heartbeat.ID, start: heartbeat.Start, heardAt: at, notServing: heartbeat.NotServing, unhealthy: heartbeat.Unhealthy, applied: heartbeat.Applied, leftPermits: heartbeat.LeftPermits[:min(len(heartbeat.LeftPermits), maxLeftPermits)], maxStateVersion: heartbeat.MaxStateVersion, status: heartbeat.Status}
		}
	}
	record(heartbeat)
	if node.leading {
		node.leases.grantor.Add(lease.Requester{Name: from, ID: heartbeat.ID, Start: heartbeat.Start, Request: heartbeat.Lease}, membership.MaxFronts)
	}
	for _, x := range heartbeat.Below {
		if x.Name != node.cfg.Name {
			record(x)
		}
	}
	for name, info := range node.fronts { // forget those that were not heard for long
		if node.now-info.heardAt > 10*node.cfg.LostAfter {
			delete(node.fronts, name)
		}
	}
}
