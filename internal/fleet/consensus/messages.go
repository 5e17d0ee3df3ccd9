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

// Kind is what a message between two fronts is.
type Kind uint8

// The kinds.
const (
	KindRaft          Kind = iota + 1 // the agreement library's own, as it marshals them
	KindPropose                       // a command on its way to the leader
	KindHeartbeat                     // a front is there, and those below it
	KindAttach                        // feed me, from this entry on
	KindEntries                       // entries that are committed, as the leader's own message
	KindAttachReply                   // you are fed, from below this path; or ask another one
	KindProbe                         // do you belong to a fleet?
	KindProbeReply                    // the answer
	KindGrant                         // a lease, for who asked for one with a beat or an ask
	KindAuditQuestion                 // of a front's audit; not for the node
	KindAuditAnswer                   // and what it says
)

// Beat tells that a front is there, and who is below it.
type Heartbeat struct {
	Name       string      `cbor:"1,keyasint"`
	ID         uint64      `cbor:"2,keyasint"`
	Start      uint64      `cbor:"3,keyasint"`
	NotServing bool        `cbor:"4,keyasint,omitempty"`
	Applied    uint64      `cbor:"5,keyasint"`
	Age        Micros      `cbor:"6,keyasint,omitempty"` // since it was heard by who tells
	Below      []Heartbeat `cbor:"7,keyasint,omitempty"`
	Unhealthy  bool        `cbor:"8,keyasint,omitempty"`

	Lease           lease.Request `cbor:"9,keyasint,omitzero"`   // of the sender itself, to the leader
	LeftPermits     []uint64      `cbor:"10,keyasint,omitempty"` // permits of boxes that it has left
	MaxStateVersion int           `cbor:"11,keyasint,omitempty"` // the newest version of the state that its build reads

	Stand *rollout.FrontStatus `cbor:"12,keyasint,omitempty"` // which version it acts on
}

// mostLeft bounds the boxes of one beat.
const mostLeft = 64

// Ask asks to be fed.
type AttachRequest struct {
	ID      uint64 `cbor:"1,keyasint"`
	Next    uint64 `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // where to answer: the fleet may not know this front yet

	Lease lease.Request `cbor:"4,keyasint,omitzero"`
	Start uint64        `cbor:"5,keyasint,omitempty"` // of its process
}

// Fed is the answer.
type AttachReply struct {
	Path         []string `cbor:"1,keyasint,omitempty"` // who feeds, and above it
	Alternatives []string `cbor:"2,keyasint,omitempty"` // no place: ask these
	Full         bool     `cbor:"3,keyasint,omitempty"`
}

// Tell is what a front says of its past.
type ProbeInfo struct {
	Fleet        uint64   `cbor:"1,keyasint"` // 0: it knows of none
	FirstMembers []string `cbor:"2,keyasint"` // its named first members, in order
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

// wrap puts the agreement's message on its way. What a front that is fed alone would
// answer to the leader stays here: it asks its feeder instead. Once the leader
// speaks to it, as to a learner that has not heard of its seat yet, it answers.
func (n *Node) wrap(list []Message, m *raftpb.Message) []Message {
	to := n.nameOf(m.GetTo())
	if to == "" || to == n.cfg.Name || m.GetType() == raftpb.MsgAppResp && n.now-n.ledAt >= n.span(feederTicks) {
		if m.GetType() == raftpb.MsgSnap {
			n.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
		}
		return list
	}
	b, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // its messages always encode
	}
	if m.GetType() == raftpb.MsgSnap { // whether it came, the next answers tell
		n.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	return append(list, Message{To: to, Kind: KindRaft, Payload: b})
}

// Receive takes a message in from another front, whose name its keys have proven.
// The error tells of one that can't be read.
func (n *Node) Receive(from string, kind Kind, payload []byte) error {
	switch kind {
	case KindRaft, KindEntries:
		m := &raftpb.Message{}
		if err := proto.Unmarshal(payload, m); err != nil {
			return fmt.Errorf("fleet: from %s: %w", from, err)
		}
		n.raft(from, kind, m)
	case KindPropose:
		c, err := statemachine.Decode(payload)
		if err != nil {
			return fmt.Errorf("fleet: from %s: %w", from, err)
		}
		if _, ok := n.rep.Seen(c.ID); !ok { // whoever waits for it sees it in the log
			n.forward(payload)
		}
	case KindHeartbeat:
		return receive(payload, func(b Heartbeat) { n.beaten(from, b) })
	case KindAttach:
		return receive(payload, func(a AttachRequest) { n.feed(from, a) })
	case KindAttachReply:
		return receive(payload, func(f AttachReply) { n.feeding(from, f) })
	case KindGrant:
		return receive(payload, n.granted)
	case KindProbe, KindProbeReply:
		return receive(payload, func(t ProbeInfo) { n.toldBy(from, kind, t) })
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

// raft steps the agreement. What is not for this incarnation is dropped: a front
// that lost its disk must not answer for the one it was.
func (n *Node) raft(from string, kind Kind, m *raftpb.Message) {
	if m.GetTo() != n.id {
		return
	}
	if kind == KindRaft {
		n.names[m.GetFrom()] = from
		if len(n.names) > 4096 {
			clear(n.names)
		}
	} else if from == n.feeder {
		n.fed = n.now
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if kind == KindRaft {
			n.ledAt = n.now
		}
		// What was committed when this life first heard is applied before it acts.
		n.fresh = n.fresh || n.applied > 0 && n.applied >= m.GetCommit() && m.GetType() != raftpb.MsgSnap
	}
	if c := m.GetSnapshot().GetMetadata().GetConfState(); kind == KindEntries && m.GetType() == raftpb.MsgSnap && !seated(c, n.id) {
		n.fedSnapshot = m
		return
	}
	defer func() { // the library's word where what a disk had confirmed is not there any more
		if p := recover(); p != nil {
			n.broken = fmt.Errorf("%w: %v", ErrOutdatedDisk, p)
		}
	}()
	before := n.raw.BasicStatus()
	_ = n.raw.Step(m) // what does not fit is dropped, as by a network
	if after := n.raw.BasicStatus(); after.Lead != before.Lead && after.Lead != 0 && after.Lead != n.id {
		n.tell("%s leads in term %d", n.nameOf(after.Lead), after.GetTerm())
	}
}

// beat tells that this front is there: a voter to the leader, others to who feeds them.
func (n *Node) beat() {
	b := Heartbeat{Name: n.cfg.Name, ID: n.id, Start: n.cfg.Start, NotServing: n.away, Unhealthy: n.hurt, Applied: n.applied, LeftPermits: n.leftPermits(), MaxStateVersion: statemachine.Version, Stand: n.stand}
	to := n.feeder
	if lead, _ := n.Leader(); n.led() || to == "" {
		to, b.Lease = n.nameOf(lead), n.wants()
	}
	if n.leads || to == "" || to == n.cfg.Name || n.stale != nil { // one that can't read the entries counts as lost
		return
	}
	for _, c := range n.children {
		if h, ok := n.heard[c.name]; ok && n.now-h.at < n.cfg.LostAfter {
			b.Below = append(b.Below, Heartbeat{Name: c.name, ID: h.id, Start: h.start, NotServing: h.away, Unhealthy: h.hurt, Applied: h.applied, Age: n.now - h.at, LeftPermits: h.left, MaxStateVersion: h.reads, Stand: h.stand})
		}
	}
	// And those below them, as they told.
	for name, h := range n.heard {
		if n.now-h.at < n.cfg.LostAfter && !slices.ContainsFunc(n.children, func(c *child) bool { return c.name == name }) {
			b.Below = append(b.Below, Heartbeat{Name: name, ID: h.id, Start: h.start, NotServing: h.away, Unhealthy: h.hurt, Applied: h.applied, Age: n.now - h.at, LeftPermits: h.left, MaxStateVersion: h.reads, Stand: h.stand})
		}
	}
	slices.SortFunc(b.Below, func(x, y Heartbeat) int { return compare(x.Name, y.Name) })
	n.send(to, KindHeartbeat, encode(b))
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

// beaten takes a beat in.
func (n *Node) beaten(from string, b Heartbeat) {
	if b.Name != from {
		return
	}
	note := func(b Heartbeat) {
		at := n.now - max(0, b.Age)
		if old, ok := n.heard[b.Name]; !ok || old.at <= at {
			n.heard[b.Name] = heard{id: b.ID, start: b.Start, at: at, away: b.NotServing, hurt: b.Unhealthy, applied: b.Applied, left: b.LeftPermits[:min(len(b.LeftPermits), mostLeft)], reads: b.MaxStateVersion, stand: b.Stand}
		}
	}
	note(b)
	if n.leads {
		n.leases.grantor.Add(lease.Requester{Name: from, ID: b.ID, Start: b.Start, Request: b.Lease}, membership.MaxFronts)
	}
	for _, x := range b.Below {
		if x.Name != n.cfg.Name {
			note(x)
		}
	}
	for name, h := range n.heard { // who has gone for long
		if n.now-h.at > 10*n.cfg.LostAfter {
			delete(n.heard, name)
		}
	}
}
