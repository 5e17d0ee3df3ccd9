// Package consensus is one front's part in the consensus of a fleet: raft's RawNode around a
// replica, joining and leaving the fleet, the feeding of fronts that are not members of the
// raft group, and the leader's view of the other fronts. It has no socket, no disk and no
// clock: times and messages are passed in, and Ready returns what has to be written and then
// sent, so that the same code runs in a process and in virtual time.
//
// Only a few fronts have a seat in the raft group. The others get the committed entries from
// another front, their feeder; the fronts that a front feeds are its children.
//
// A Node must be used by one goroutine only.
package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// Micros is a moment or a span of this front's own clock, in microseconds.
type Micros = int64

// Address is the name of a front and its network address.
type Address struct{ Name, Address string }

// Config is the configuration of one front in the fleet.
type Config struct {
	Fleet        string
	Name         string
	Zone         string
	Machine      string
	Address      string
	Build        string
	Start        uint64 // random id of this process
	FirstMembers []Address
	Rules        maintenance.Rules
	RandomID     func() uint64 // returns a random number other than 0

	Tick            Micros // of raft; an election takes ten to twenty ticks without a leader
	LostAfter       Micros // a front not heard for this long counts as lost
	SeatGrace       Micros // fleet time for which a lost voter keeps its seat
	OwnerLease      Micros // span of its lease as an owner of sites; 0: it takes no part in the exchange
	FanOut          int    // most children of a front
	SnapshotEntries uint64 // the log is compacted after so many entries
}

// Intervals and timeouts of the protocol, in ticks.
const (
	electionTicks      = 10
	heartbeatTicks     = 5  // between heartbeats, attach requests, and leader checks
	resendTicks        = 10 // after which a command is sent again
	feederTimeoutTicks = 30 // without entries from the feeder, after which another one is asked
	probeTicks         = 5
)

// Limits.
const (
	maxPending    = 1024      // commands of this front that wait for their results
	maxEntryBytes = 256 << 10 // bytes of entries in one message
	maxPathLength = 8         // feeders in a chain
	maxLearnerLag = 100       // entries that a front may be behind to become a learner
	keptEntries   = 500       // entries kept before a snapshot, for fronts that are a little late
)

// Errors of a node.
var (
	ErrBusy           = errors.New("fleet: too many commands wait")
	ErrOutdatedDisk   = errors.New("fleet: the disk is older than what the fleet has from it: empty the folder, and it comes back under a new incarnation")
	ErrOutcomeUnknown = errors.New("fleet: no word in time: it may still be done")
)

// Message is a message to another front.
type Message struct {
	To      string
	Kind    Kind
	Payload []byte
}

// Output is the result of one Ready: first the records are written, then the messages sent,
// then Advance is called.
type Output struct {
	Records  [][]byte  // to append to the journal
	Rewrite  [][]byte  // or the journal is rewritten with these; then Records is empty
	Messages []Message // to send once the records are durable
	ready    *raft.Ready
}

// pendingCommand is a command that waits for its result.
type pendingCommand struct {
	id       statemachine.ID
	data     []byte
	sentAt   Micros // when it was last sent
	deadline Micros
	done     func(statemachine.Result, error)
}

// child is a front that this one feeds.
type child struct {
	name    string
	id      uint64
	next    uint64 // next entry to send
	askedAt Micros
}

// frontInfo is what was last heard of a front.
type frontInfo struct {
	id, start       uint64
	heardAt         Micros
	notServing      bool
	unhealthy       bool
	applied         uint64
	leftPermits     []uint64 // permits of boxes that it has left
	maxStateVersion int      // newest version of the state that its build can read; 0: the first
	status          *rollout.FrontStatus
}

// Node is one front's part in the consensus.
type Node struct {
	cfg            Config
	id             uint64
	now            Micros
	raw            *raft.RawNode
	store          *raft.MemoryStorage
	replica        *statemachine.Replica
	confState      *raftpb.ConfState
	applied        uint64
	staleErr       error // why entries are no longer applied
	failure        error // why this front must take no part
	outputPending  bool  // an Output was returned and Advance was not called yet
	sends          []Message
	events         []string
	rewriteJournal bool

	tickedAt    Micros
	ticks       uint64
	lastCommand uint64 // number of the last command
	pending     []*pendingCommand
	namesByID   map[uint64]string // names of incarnations, from their messages

	// Of a follower.
	feeder         string
	feederHeardAt  Micros // when the feeder was last heard
	leaderHeardAt  Micros // when the leader itself was last heard
	caughtUp       bool   // this process has applied all that was committed when it first heard the leader
	commitKnown    uint64 // what the leader had committed when it answered; 0: it has not
	recovered      uint64 // last entry that the folder had as committed at the start
	attachSentAt   Micros
	feederPath     []string // feeders above this front, the nearest first
	feederAttempts int
	alternatives   []string

	// Of every front.
	addresses   map[string]string // of fronts that asked to attach, which the fleet may not know yet
	children    []*child
	fedSnapshot *raftpb.Message // to be installed
	fronts      map[string]frontInfo

	// Of the leader.
	leading         bool
	factsAt         Micros // when time was last proposed
	factsID         statemachine.ID
	factsReportLoss bool            // they report a front as lost
	leftReportID    statemachine.ID // last command with reports of other fronts that left boxes
	leftReportAt    Micros
	raisedAt        Micros
	confChangeIndex uint64 // index of the last proposed change of seats
	confChangeAt    Micros
	transferredAt   Micros
	pendingChange   string // what the next change of seats waits for

	// Of the founding, and of joining.
	probeReplies map[string]probeReply
	onFounded    func() // called once the fleet's first state is durable
	joining      bool

	// State of the host.
	notServing       bool
	idle             bool
	unhealthy        bool
	leftBoxes        map[string]Micros         // boxes under maintenance that it has left, and since when
	status           *rollout.FrontStatus      // version that it acts on; nil: it takes none up
	proposedStatuses map[string]proposedStatus // of the leader: statuses of fronts that it has proposed
	headsProposedAt  Micros                    // when audit heads were last proposed
	maintenance      maintenanceState
	leases           leaseState
}

// New returns a node with the content of its folder, whose identity must be set. It returns
// ErrForeignFolder, ErrUnreadableRecord or ErrMissingEntries for a folder that can't be used.
func New(cfg Config, recovered *Recovered, now Micros) (*Node, error) {
	if recovered.Identity.Name != cfg.Name {
		return nil, fmt.Errorf("%w: it is %s's, and this is %s", ErrForeignFolder, recovered.Identity.Name, cfg.Name)
	}
	if len(recovered.snapshotChunks) > 0 {
		return nil, fmt.Errorf("%w: a snapshot without its end", ErrUnreadableRecord)
	}
	node := &Node{cfg: cfg, id: recovered.Identity.ID, now: now, tickedAt: now, feederHeardAt: now, leaderHeardAt: now, factsAt: now, store: raft.NewMemoryStorage(),
		replica: statemachine.New(), namesByID: map[uint64]string{}, fronts: map[string]frontInfo{}, probeReplies: map[string]probeReply{}, addresses: map[string]string{},
		leftBoxes: map[string]Micros{}}
	if snapshot := recovered.snapshot; snapshot != nil {
		if err := errors.Join(node.store.ApplySnapshot(snapshot), node.restoreSnapshot(snapshot)); err != nil {
			return nil, err
		}
	}
	if recovered.hard != nil {
		if recovered.hard.GetCommit() > recovered.snapshot.GetMetadata().GetIndex()+uint64(len(recovered.entries)) {
			return nil, fmt.Errorf("%w: %d is committed", ErrMissingEntries, recovered.hard.GetCommit())
		}
		if err := node.store.SetHardState(recovered.hard); err != nil {
			return nil, err
		}
	}
	if err := node.store.Append(recovered.entries); err != nil {
		return nil, err
	}
	node.recovered = max(node.applied, recovered.hard.GetCommit())
	return node, node.startRaft()
}

// startRaft starts raft on what is stored.
func (node *Node) startRaft() error {
	raw, err := raft.NewRawNode(&raft.Config{ID: node.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: node.store,
		Applied: node.applied, MaxSizePerMsg: maxEntryBytes, MaxUncommittedEntriesSize: 4 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger{}})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	node.raw = raw
	return nil
}

// installSnapshot installs a snapshot in which this front has no seat: raft itself only accepts
// those of its own members. Its term and vote are kept. Entries after the snapshot that it may
// have confirmed as a voter do not count, since it lost its seat before them.
func (node *Node) installSnapshot(snapshot *raftpb.Snapshot, term uint64) error {
	hard, _, err := node.store.InitialState()
	if err != nil {
		return err
	}
	next := &raftpb.HardState{Term: new(max(hard.GetTerm(), term)), Commit: new(snapshot.GetMetadata().GetIndex())}
	if next.GetTerm() == hard.GetTerm() {
		next.Vote = new(hard.GetVote())
	}
	node.store = raft.NewMemoryStorage()
	if err := errors.Join(node.store.ApplySnapshot(snapshot), node.store.SetHardState(next), node.restoreSnapshot(snapshot)); err != nil {
		return err
	}
	return node.startRaft()
}

// ID returns the front's incarnation.
func (node *Node) ID() uint64 { return node.id }

// Replica returns the state that this front has applied.
func (node *Node) Replica() *statemachine.Replica { return node.replica }

// Applied returns the index of the last entry applied.
func (node *Node) Applied() uint64 { return node.applied }

// Leader returns the incarnation of the leader as far as this front knows, 0 if it knows none,
// and the term.
func (node *Node) Leader() (id, term uint64) {
	s := node.raw.BasicStatus()
	return s.Lead, s.GetTerm()
}

// LeaderName returns the leader's name; empty: not known.
func (node *Node) LeaderName() string {
	id, _ := node.Leader()
	return node.nameOf(id)
}

// IsLeader reports whether this front leads.
func (node *Node) IsLeader() bool {
	return node.leading && node.raw.BasicStatus().RaftState == raft.StateLeader
}

// Broken returns why this front must take no part any more; nil: it may.
func (node *Node) Broken() error { return node.failure }

// CaughtUp reports whether, since this process started, it has applied all that had been
// committed when it first heard the leader.
func (node *Node) CaughtUp() bool { return node.caughtUp || node.leading }

// Recovered reports whether this process has applied all that its folder had as committed
// when it started.
func (node *Node) Recovered() bool { return node.applied >= node.recovered }

// InContact reports whether the leader is heard, directly or through the feeder.
func (node *Node) InContact() bool {
	return node.leading || node.followsLeader() || node.feeder != "" && node.now-node.feederHeardAt < node.tickSpan(feederTimeoutTicks)
}

// Stale returns why this front applies no more entries; nil: it does.
func (node *Node) Stale() error { return node.staleErr }

// Feeder returns the front that feeds this one; empty: none, it votes or knows of none.
func (node *Node) Feeder() string { return node.feeder }

// Children returns the number of fronts that this one feeds.
func (node *Node) Children() int { return len(node.children) }

// OutdatedFronts returns, at the leader, the fronts that are not known to read the newest
// version of the state; none if the state has that version already, or all can read it.
func (node *Node) OutdatedFronts() (names []string) {
	state := node.replica.State()
	if state.Version >= statemachine.Version {
		return nil
	}
	for _, front := range state.Members.Fronts {
		if info := node.fronts[front.Name]; front.Name != node.cfg.Name && (info.id != front.ID || info.start != front.Start || info.maxStateVersion < statemachine.Version) {
			names = append(names, front.Name)
		}
	}
	return names
}

// raiseVersion proposes the newest version of the state once all fronts are known to read it.
func (node *Node) raiseVersion() {
	if state := node.replica.State(); state.Version >= statemachine.Version || node.now-node.raisedAt < node.tickSpan(resendTicks) || len(node.OutdatedFronts()) > 0 {
		return
	}
	node.raisedAt = node.now
	node.lastCommand++
	command := statemachine.Command{ID: statemachine.ID{Front: node.id, Start: node.cfg.Start, N: node.lastCommand}, RaiseVersion: statemachine.Version}
	if data, err := statemachine.Encode(command); err == nil {
		_ = node.raw.Propose(data) // tried again later
	}
}

// PendingChange returns, at the leader, what the next change of seats waits for.
func (node *Node) PendingChange() string { return node.pendingChange }

// EntryTerm returns the term of an applied or kept entry; 0: not known any more.
func (node *Node) EntryTerm(index uint64) uint64 {
	t, err := node.store.Term(index)
	if err != nil {
		return 0
	}
	return t
}

// Events returns the events since the last call, one line each.
func (node *Node) Events() (lines []string) {
	lines, node.events = node.events, nil
	return lines
}

func (node *Node) addEvent(format string, args ...any) {
	if len(node.events) < 256 {
		node.events = append(node.events, fmt.Sprintf(format, args...))
	}
}

// hasSeat reports whether this front is a member of the raft group.
func (node *Node) hasSeat() bool { return isSeated(node.confState, node.id) }

// isSeated reports whether an incarnation is a voter or a learner.
func isSeated(c *raftpb.ConfState, id uint64) bool {
	return slices.Contains(c.GetVoters(), id) || slices.Contains(c.GetLearners(), id) || slices.Contains(c.GetVotersOutgoing(), id)
}

func (node *Node) nameOf(id uint64) string {
	if f := node.replica.State().Members.ByID(id); f != nil {
		return f.Name
	}
	return node.namesByID[id]
}

// AddressOf returns the address of a front; empty: not known.
func (node *Node) AddressOf(name string) string {
	if f := node.replica.State().Members.Find(name); f != nil {
		return f.Address
	}
	for _, a := range node.cfg.FirstMembers {
		if a.Name == name {
			return a.Address
		}
	}
	return node.addresses[name]
}

// Tick advances this front's clock.
func (node *Node) Tick(now Micros) {
	node.now = max(node.now, now)
	// After a pause, time has passed in which nothing was heard: a few ticks are enough.
	for i := 0; node.now-node.tickedAt >= node.cfg.Tick; i++ {
		if i == 3 {
			node.tickedAt = node.now
			break
		}
		node.tickedAt += node.cfg.Tick
		node.ticks++
		node.raw.Tick()
		node.runTick()
	}
}

// runTick runs the tasks of a tick.
func (node *Node) runTick() {
	node.updateLease()
	node.requestCommit()
	node.leaderTick()
	if node.ticks%heartbeatTicks == 0 {
		node.sendHeartbeat()
		node.attach()
		node.join()
	}
	if node.ticks%probeTicks == 0 {
		node.probe()
	}
	node.resendPending()
	node.updateMaintenance()
}

// tickSpan returns the span of a number of ticks.
func (node *Node) tickSpan(ticks int) Micros { return Micros(ticks) * node.cfg.Tick }

// Submit has a command applied once. done is called with its result, with ErrBusy if too many
// commands wait, or with ErrOutcomeUnknown if there is no result within the timeout.
func (node *Node) Submit(command statemachine.Command, timeout Micros, done func(statemachine.Result, error)) {
	if len(node.pending) >= maxPending {
		done(statemachine.Result{}, ErrBusy)
		return
	}
	if err := node.replica.CheckSupported(&command); err != nil {
		done(statemachine.Result{Err: err.Error()}, nil)
		return
	}
	node.lastCommand++
	command.ID = statemachine.ID{Front: node.id, Start: node.cfg.Start, N: node.lastCommand}
	data, err := statemachine.Encode(command)
	if err != nil {
		done(statemachine.Result{}, err)
		return
	}
	p := &pendingCommand{id: command.ID, data: data, deadline: node.now + timeout, done: done}
	node.pending = append(node.pending, p)
	node.propose(p)
}

// propose sends a command to the leader, or towards it.
func (node *Node) propose(command *pendingCommand) {
	command.sentAt = node.now
	node.forward(command.data)
}

func (node *Node) forward(data []byte) {
	lead, _ := node.Leader()
	switch name := node.nameOf(lead); {
	case lead == node.id && node.hasSeat():
		_ = node.raw.Propose(data) // dropped ones are sent again
	case node.followsLeader() && name != "":
		node.send(name, KindPropose, data)
	case node.feeder != "":
		node.send(node.feeder, KindPropose, data)
	case name != "":
		node.send(name, KindPropose, data)
	}
}

// resendPending sends commands without a result again, and gives up those past their deadline.
func (node *Node) resendPending() {
	waiting := node.pending
	node.pending = node.pending[:0:0]
	for _, command := range waiting {
		switch {
		case node.now >= command.deadline:
			command.done(statemachine.Result{}, ErrOutcomeUnknown)
		case node.now-command.sentAt >= node.tickSpan(resendTicks):
			node.pending = append(node.pending, command)
			node.propose(command)
		default:
			node.pending = append(node.pending, command)
		}
	}
}

// completeCommand passes its result to a waiting command.
func (node *Node) completeCommand(id statemachine.ID, result statemachine.Result) {
	i := slices.IndexFunc(node.pending, func(command *pendingCommand) bool { return command.id == id })
	if i < 0 {
		return
	}
	command := node.pending[i]
	node.pending = slices.Delete(node.pending, i, i+1)
	command.done(result, nil)
}

func (node *Node) send(to string, kind Kind, payload []byte) {
	if to != node.cfg.Name && to != "" {
		node.sends = append(node.sends, Message{To: to, Kind: kind, Payload: payload})
	}
}

// Ready returns what has to be written and then sent, if anything. After an Output with records
// it returns nothing until Advance is called.
func (node *Node) Ready() (out Output, ok bool) {
	if node.outputPending {
		return out, false
	}
	if node.rewriteJournal {
		node.rewriteJournal, node.outputPending = false, true
		return Output{Rewrite: node.journalImage()}, true
	}
	if message := node.fedSnapshot; message != nil {
		node.fedSnapshot = nil
		if i := message.Snapshot.GetMetadata().GetIndex(); i > node.applied {
			if err := node.installSnapshot(message.Snapshot, message.GetTerm()); err != nil {
				node.staleErr = err
				node.addEvent("%v: this build takes no further part", err)
			} else {
				node.outputPending = true
				return Output{Rewrite: node.journalImage()}, true
			}
		}
	}
	out.Messages, node.sends = node.sends, nil
	if node.raw.HasReady() {
		rd := node.raw.Ready()
		out.ready = &rd
		for _, entry := range rd.Entries {
			out.Records = append(out.Records, record(recEntry, entry))
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			out.Records = append(out.Records, record(recHard, rd.HardState))
		}
		if !raft.IsEmptySnap(rd.Snapshot) { // all of it or nothing
			out.Rewrite = append([][]byte{IdentityRecord(Identity{Name: node.cfg.Name, ID: node.id})}, snapshotRecords(rd.Snapshot)...)
			out.Rewrite, out.Records = append(out.Rewrite, out.Records...), nil
		}
		for _, r := range rd.ReadStates {
			node.confirmLeaseRound(r.RequestCtx, r.Index)
			node.noteCommit(r.RequestCtx, r.Index)
		}
		for _, raftMessage := range rd.Messages {
			out.Messages = node.appendRaftMessage(out.Messages, raftMessage)
		}
	}
	node.outputPending = out.ready != nil
	return out, node.outputPending || len(out.Messages) > 0
}

// Advance takes the records of an Output as durable, and applies what it commits.
func (node *Node) Advance(out Output) error {
	if out.ready == nil && out.Rewrite == nil {
		return nil
	}
	node.outputPending = false
	if out.ready == nil {
		return nil
	}
	rd := out.ready
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := node.store.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("fleet: %w", err)
		}
		if err := node.restoreSnapshot(rd.Snapshot); err != nil {
			node.staleErr = err
		}
	}
	if err := node.store.Append(rd.Entries); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := node.store.SetHardState(rd.HardState); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	for _, entry := range rd.CommittedEntries {
		node.applyEntry(entry)
	}
	node.caughtUp = node.caughtUp || node.commitKnown > 0 && node.applied >= node.commitKnown
	node.raw.Advance(*rd)
	if node.onFounded != nil && node.applied > 0 {
		do := node.onFounded
		node.onFounded = nil
		_ = node.raw.Campaign() // as the only voter, it leads at once
		do()
	}
	node.leading = node.raw.BasicStatus().RaftState == raft.StateLeader && node.startLeading()
	if len(rd.CommittedEntries) > 0 {
		node.feedChildren()
		node.updateMaintenance()
	}
	node.updateLease()
	if node.leading {
		node.answerLeaseRequests()
	}
	node.compact()
	return nil
}

// startLeading resets the leader's state when leading begins; time is proposed from then on.
func (node *Node) startLeading() bool {
	if !node.leading {
		node.factsAt, node.confChangeAt, node.transferredAt, node.confChangeIndex = node.now, node.now, node.now, 0
		node.factsReportLoss = false
		node.leases.grantor.Reset()
		node.fronts = map[string]frontInfo{}
		for _, f := range node.replica.State().Members.Fronts { // a front that only the last leader has heard is not lost
			if !f.Lost {
				node.fronts[f.Name] = frontInfo{id: f.ID, start: f.Start, heardAt: node.now, notServing: f.NotServing, unhealthy: f.Unhealthy}
			}
		}
		node.addEvent("this front leads")
	}
	return true
}

// applyEntry applies one committed entry.
func (node *Node) applyEntry(entry *raftpb.Entry) {
	index := entry.GetIndex()
	if index <= node.applied {
		return
	}
	switch entry.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		cc, err := decodeChange(entry)
		if err != nil { // raft would not have accepted it
			panic(fmt.Sprintf("fleet: entry %d: %v", index, err))
		}
		node.confState = node.raw.ApplyConfChange(cc)
		if node.staleErr == nil {
			node.events = append(node.events, node.replica.ApplySeats(seatsOf(node.confState))...)
		}
	default:
		if len(entry.GetData()) > 0 && node.staleErr == nil {
			command, err := statemachine.Decode(entry.GetData())
			if err != nil {
				node.staleErr = fmt.Errorf("entry %d: %w", index, err)
				node.addEvent("%v: this build takes no further part", node.staleErr)
				break
			}
			result, events := node.replica.Apply(command)
			node.events = append(node.events, events...)
			node.completeCommand(command.ID, result)
		}
	}
	node.applied = index
}

// restoreSnapshot replaces the state by that of a snapshot.
func (node *Node) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	if err := node.replica.Restore(snapshot.GetData()); err != nil {
		return err
	}
	node.confState, node.applied = snapshot.GetMetadata().GetConfState(), snapshot.GetMetadata().GetIndex()
	for _, p := range slices.Clone(node.pending) {
		if result, ok := node.replica.Seen(p.id); ok {
			node.completeCommand(p.id, result)
		}
	}
	return nil
}

func seatsOf(c *raftpb.ConfState) membership.Seats {
	return membership.Seats{Voters: slices.Clone(c.GetVoters()), Learners: slices.Clone(c.GetLearners()),
		Joint: len(c.GetVotersOutgoing()) > 0}
}

// compact compacts the log once it has grown. A front that is further behind than what is kept
// gets a snapshot, so that no front blocks the compaction.
func (node *Node) compact() {
	first, err := node.store.FirstIndex()
	if err != nil || node.staleErr != nil || node.applied < first+node.cfg.SnapshotEntries {
		return
	}
	if _, err := node.store.CreateSnapshot(node.applied, node.confState, node.replica.Snapshot()); err != nil {
		return
	}
	if err := node.store.Compact(node.applied - min(keptEntries, node.cfg.SnapshotEntries/2)); err == nil {
		node.rewriteJournal = true
	}
}

// journalImage returns the records with which the journal is rewritten.
func (node *Node) journalImage() [][]byte {
	list := [][]byte{IdentityRecord(Identity{Name: node.cfg.Name, ID: node.id})}
	snapshot, err := node.store.Snapshot()
	if err == nil && !raft.IsEmptySnap(snapshot) {
		list = append(list, snapshotRecords(snapshot)...)
	}
	first, last := snapshot.GetMetadata().GetIndex()+1, node.lastIndex()
	if last >= first {
		entries, err := node.store.Entries(first, last+1, math.MaxUint64)
		if err != nil {
			panic(fmt.Sprintf("fleet: %v", err)) // they are within the stored range
		}
		for _, e := range entries {
			list = append(list, record(recEntry, e))
		}
	}
	if hard, _, err := node.store.InitialState(); err == nil && !raft.IsEmptyHardState(hard) {
		list = append(list, record(recHard, hard))
	}
	return list
}

func (node *Node) lastIndex() uint64 {
	i, _ := node.store.LastIndex() // the memory storage returns no errors
	return i
}

// rank ranks a feeder for a front, differently for each front, so that feeders share the load.
func rank(front, feeder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(front + "\x00" + feeder))
	return h.Sum64()
}

// sortByRank sorts names by their rank for a front.
func sortByRank(front string, names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(front, a), rank(front, b)), cmp.Compare(a, b))
	})
}

// discardLogger drops the raft library's log; what matters is in Events.
type discardLogger struct{}

func (discardLogger) Debug(...any)                   {}
func (discardLogger) Debugf(string, ...any)          {}
func (discardLogger) Error(...any)                   {}
func (discardLogger) Errorf(string, ...any)          {}
func (discardLogger) Info(...any)                    {}
func (discardLogger) Infof(string, ...any)           {}
func (discardLogger) Warning(...any)                 {}
func (discardLogger) Warningf(string, ...any)        {}
func (discardLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (discardLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
