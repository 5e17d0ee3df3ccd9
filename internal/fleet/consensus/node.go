// Package consensus is one front's part in a fleet's agreement: raft's RawNode round a
// replica, the way in and out of the fleet, the feeding of fronts that do not
// vote, and what the leader sees of the others. It has no socket, no disk and no
// clock: moments and messages come in, and what is to be written, and then sent,
// goes out (Ready), so that the same code runs in a process and in virtual time.
//
// It belongs to one goroutine.
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

// Address is a front and where it is.
type Address struct{ Name, Address string }

// Config is one front's place in the fleet.
type Config struct {
	Fleet        string
	Name         string
	Zone         string
	Machine      string
	Address      string
	Build        string
	Start        uint64 // of this process, drawn anew
	FirstMembers []Address
	Rules        maintenance.Rules
	RandomID     func() uint64 // a random number that is not 0

	Tick            Micros // of the agreement; an election takes ten to twenty without a leader
	LostAfter       Micros // unheard for so long a front counts as lost
	SeatGrace       Micros // fleet time for which a lost voter keeps its seat
	OwnerLease      Micros // span of its lease as a keeper of a site; 0: it takes no part in what is exchanged
	FanOut          int    // fronts that one feeds
	SnapshotEntries uint64 // entries from which the log is begun anew
}

// Spans of the protocol, in ticks.
const (
	electionTicks = 10
	beatTicks     = 5  // between two beats, asks for food, and looks at the others
	againTicks    = 10 // after which a command is sent again
	feederTicks   = 30 // without food from it, after which another feeder is asked
	probeTicks    = 5
)

// Bounds.
const (
	mostPending = 1024      // commands of this front that wait for their word
	mostFeed    = 256 << 10 // bytes of entries of one message
	mostPath    = 8         // feeders one above the other
	nearEntries = 100       // behind which a front may be to become a learner
	keepBehind  = 500       // entries kept behind a snapshot for those who are a little late
)

// Errors.
var (
	ErrBusy           = errors.New("fleet: too many commands wait")
	ErrOutdatedDisk   = errors.New("fleet: the disk is older than what the fleet has from it: empty the folder, and it comes back under a new incarnation")
	ErrOutcomeUnknown = errors.New("fleet: no word in time: it may still be done")
)

// Send is a message to another front.
type Message struct {
	To      string
	Kind    Kind
	Payload []byte
}

// Output is what one Ready asks for: first the records on disk, then Done.
type Output struct {
	Records  [][]byte  // to be appended to the journal
	Rewrite  [][]byte  // or the journal begun anew with these; then Records is empty
	Messages []Message // after the records are durable
	ready    *raft.Ready
}

// pending is a command that waits for its word.
type pending struct {
	id   statemachine.ID
	data []byte
	at   Micros // when it was last sent
	end  Micros
	done func(statemachine.Result, error)
}

// child is a front that is fed.
type child struct {
	name  string
	id    uint64
	next  uint64 // entry that it is sent next
	asked Micros
}

// heard is what was last heard of a front.
type heard struct {
	id, start uint64
	at        Micros
	away      bool
	hurt      bool
	applied   uint64
	left      []uint64 // permits of boxes that it has left
	reads     int      // the newest version of the state that its build reads; 0: the first
	stand     *rollout.FrontStatus
}

// Node is one front's part.
type Node struct {
	cfg     Config
	id      uint64
	now     Micros
	raw     *raft.RawNode
	store   *raft.MemoryStorage
	rep     *statemachine.Replica
	conf    *raftpb.ConfState
	applied uint64
	stale   error // why entries are no longer applied
	broken  error // why this front must take no part
	out     bool  // an output was given and is not done
	sends   []Message
	told    []string
	rewrite bool

	ticked  Micros
	ticks   uint64
	number  uint64 // of commands
	waiting []*pending
	names   map[uint64]string // of incarnations, as heard from their messages

	// Of a follower.
	feeder   string
	fed      Micros // when its feeder was last heard
	ledAt    Micros // when the leader itself was
	fresh    bool   // in this life it has applied all that was committed when it first heard
	asked    Micros
	path     []string // above us, the nearest first
	tried    int
	referred []string

	// Of all.
	addresses   map[string]string // of fronts that asked, which the fleet may not know yet
	children    []*child
	fedSnapshot *raftpb.Message // to be installed
	heard       map[string]heard

	// Of the leader.
	leads     bool
	facts     Micros // when time was last told
	factsID   statemachine.ID
	factsLost bool            // they told of a front that it is lost
	leftID    statemachine.ID // of the last report for others that they have left boxes
	leftAt    Micros
	raisedAt  Micros
	conf2     uint64 // index of the last change of seats that was proposed
	confAt    Micros
	handed    Micros
	changing  string // what the council waits for

	// Of the founding, and of joining.
	probed   map[string]probed
	founding func() // once the fleet's first state is durable
	joining  bool

	// What the host says of itself.
	away   bool
	empty  bool
	hurt   bool
	boxes  map[string]Micros    // boxes in work that it has left, since when
	stand  *rollout.FrontStatus // which version it acts on; nil: it takes none up
	stood  map[string]stood     // of the leader: what it has proposed of fronts' stands
	heads  Micros               // when heads of audits were last proposed
	duty   duty
	leases leases
}

// New makes a front's part from what its folder held, whose identity must be set.
func New(cfg Config, r *Recovered, now Micros) (*Node, error) {
	if r.Identity.Name != cfg.Name {
		return nil, fmt.Errorf("%w: it is %s's, and this is %s", ErrForeignFolder, r.Identity.Name, cfg.Name)
	}
	if len(r.parts) > 0 {
		return nil, fmt.Errorf("%w: a snapshot without its end", ErrUnreadableRecord)
	}
	n := &Node{cfg: cfg, id: r.Identity.ID, now: now, ticked: now, fed: now, ledAt: now, facts: now, store: raft.NewMemoryStorage(),
		rep: statemachine.New(), names: map[uint64]string{}, heard: map[string]heard{}, probed: map[string]probed{}, addresses: map[string]string{},
		boxes: map[string]Micros{}}
	if s := r.snapshot; s != nil {
		if err := errors.Join(n.store.ApplySnapshot(s), n.restore(s)); err != nil {
			return nil, err
		}
	}
	if r.hard != nil {
		if r.hard.GetCommit() > r.snapshot.GetMetadata().GetIndex()+uint64(len(r.entries)) {
			return nil, fmt.Errorf("%w: %d is committed", ErrMissingEntries, r.hard.GetCommit())
		}
		if err := n.store.SetHardState(r.hard); err != nil {
			return nil, err
		}
	}
	if err := n.store.Append(r.entries); err != nil {
		return nil, err
	}
	return n, n.wake()
}

// wake begins the agreement on what is stored.
func (n *Node) wake() error {
	raw, err := raft.NewRawNode(&raft.Config{ID: n.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: n.store,
		Applied: n.applied, MaxSizePerMsg: mostFeed, MaxUncommittedEntriesSize: 4 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	n.raw = raw
	return nil
}

// install takes a snapshot over that this front has no seat in: the agreement
// library only takes those of its own members. What it had promised stays; entries
// behind the snapshot that it may have confirmed as a voter once do not count, since
// its seat went before them.
func (n *Node) install(s *raftpb.Snapshot, term uint64) error {
	hard, _, err := n.store.InitialState()
	if err != nil {
		return err
	}
	next := &raftpb.HardState{Term: new(max(hard.GetTerm(), term)), Commit: new(s.GetMetadata().GetIndex())}
	if next.GetTerm() == hard.GetTerm() {
		next.Vote = new(hard.GetVote())
	}
	n.store = raft.NewMemoryStorage()
	if err := errors.Join(n.store.ApplySnapshot(s), n.store.SetHardState(next), n.restore(s)); err != nil {
		return err
	}
	return n.wake()
}

// ID is the front's incarnation.
func (n *Node) ID() uint64 { return n.id }

// Replica is what this front has applied.
func (n *Node) Replica() *statemachine.Replica { return n.rep }

// Applied is the index of the last entry applied.
func (n *Node) Applied() uint64 { return n.applied }

// Leader is the incarnation that leads, as far as this front knows, and the term; 0: none.
func (n *Node) Leader() (id, term uint64) {
	s := n.raw.BasicStatus()
	return s.Lead, s.GetTerm()
}

// LeaderName is the leader's name; empty: not known.
func (n *Node) LeaderName() string {
	id, _ := n.Leader()
	return n.nameOf(id)
}

// Leads tells whether this front leads.
func (n *Node) IsLeader() bool { return n.leads && n.raw.BasicStatus().RaftState == raft.StateLeader }

// Broken tells why this front must take no part any more; nil: it may.
func (n *Node) Broken() error { return n.broken }

// Fresh tells whether, since this process started, it has applied all that had been
// committed when it first heard the fleet.
func (n *Node) CaughtUp() bool { return n.fresh || n.leads }

// InContact tells whether the fleet's leader is heard, directly or by who feeds this front.
func (n *Node) InContact() bool {
	return n.leads || n.led() || n.feeder != "" && n.now-n.fed < n.span(feederTicks)
}

// Stale tells why this front applies no more entries; nil: it does.
func (n *Node) Stale() error { return n.stale }

// Feeder is who feeds this front; empty: nobody, it votes or knows of none.
func (n *Node) Feeder() string { return n.feeder }

// Children counts the fronts that this one feeds.
func (n *Node) Children() int { return len(n.children) }

// Older gives the fronts that are not known to read a newer version of the state than
// the fleet's, at the leader; none: there is no newer one, or all do.
func (n *Node) OutdatedFronts() (names []string) {
	s := n.rep.State()
	if s.Version >= statemachine.Version {
		return nil
	}
	for _, f := range s.Members.Fronts {
		if h := n.heard[f.Name]; f.Name != n.cfg.Name && (h.id != f.ID || h.start != f.Start || h.reads < statemachine.Version) {
			names = append(names, f.Name)
		}
	}
	return names
}

// raise has the state's version raised once all fronts are known to read it.
func (n *Node) raise() {
	if s := n.rep.State(); s.Version >= statemachine.Version || n.now-n.raisedAt < n.span(againTicks) || len(n.OutdatedFronts()) > 0 {
		return
	}
	n.raisedAt = n.now
	n.number++
	c := statemachine.Command{ID: statemachine.ID{Front: n.id, Start: n.cfg.Start, N: n.number}, RaiseVersion: statemachine.Version}
	if b, err := statemachine.Encode(c); err == nil {
		_ = n.raw.Propose(b) // or the next time
	}
}

// Changing tells what the council's next change waits for, at the leader.
func (n *Node) PendingChange() string { return n.changing }

// Term is the term of an applied or kept entry; 0: not known any more.
func (n *Node) EntryTerm(index uint64) uint64 {
	t, err := n.store.Term(index)
	if err != nil {
		return 0
	}
	return t
}

// Told gives what has happened since it was last asked, a line each.
func (n *Node) Events() (lines []string) {
	lines, n.told = n.told, nil
	return lines
}

func (n *Node) tell(format string, args ...any) {
	if len(n.told) < 256 {
		n.told = append(n.told, fmt.Sprintf(format, args...))
	}
}

// seat tells whether this front takes part in the agreement itself.
func (n *Node) seat() bool { return seated(n.conf, n.id) }

// seated tells whether an incarnation votes or learns.
func seated(c *raftpb.ConfState, id uint64) bool {
	return slices.Contains(c.GetVoters(), id) || slices.Contains(c.GetLearners(), id) || slices.Contains(c.GetVotersOutgoing(), id)
}

func (n *Node) nameOf(id uint64) string {
	if f := n.rep.State().Members.ByID(id); f != nil {
		return f.Name
	}
	return n.names[id]
}

// AddressOf is where a front is reached; empty: not known.
func (n *Node) AddressOf(name string) string {
	if f := n.rep.State().Members.Find(name); f != nil {
		return f.Address
	}
	for _, a := range n.cfg.FirstMembers {
		if a.Name == name {
			return a.Address
		}
	}
	return n.addresses[name]
}

// Tick moves this front's clock on.
func (n *Node) Tick(now Micros) {
	n.now = max(n.now, now)
	// After a pause time has passed and nothing was heard: a few ticks will do.
	for i := 0; n.now-n.ticked >= n.cfg.Tick; i++ {
		if i == 3 {
			n.ticked = n.now
			break
		}
		n.ticked += n.cfg.Tick
		n.ticks++
		n.raw.Tick()
		n.chores()
	}
}

// chores are what is done at every tick.
func (n *Node) chores() {
	n.live()
	n.lead()
	if n.ticks%beatTicks == 0 {
		n.beat()
		n.attach()
		n.join()
	}
	if n.ticks%probeTicks == 0 {
		n.probe()
	}
	n.again()
	n.dutyStep()
}

// span is so many ticks.
func (n *Node) span(ticks int) Micros { return Micros(ticks) * n.cfg.Tick }

// Submit has a command applied, once; done is told its word, or that none came
// within a span.
func (n *Node) Submit(c statemachine.Command, within Micros, done func(statemachine.Result, error)) {
	if len(n.waiting) >= mostPending {
		done(statemachine.Result{}, ErrBusy)
		return
	}
	if err := n.rep.CheckSupported(&c); err != nil {
		done(statemachine.Result{Err: err.Error()}, nil)
		return
	}
	n.number++
	c.ID = statemachine.ID{Front: n.id, Start: n.cfg.Start, N: n.number}
	data, err := statemachine.Encode(c)
	if err != nil {
		done(statemachine.Result{}, err)
		return
	}
	p := &pending{id: c.ID, data: data, end: n.now + within, done: done}
	n.waiting = append(n.waiting, p)
	n.propose(p)
}

// propose sends a command to the leader, or the way that leads there.
func (n *Node) propose(p *pending) {
	p.at = n.now
	n.forward(p.data)
}

func (n *Node) forward(data []byte) {
	lead, _ := n.Leader()
	switch name := n.nameOf(lead); {
	case lead == n.id && n.seat():
		_ = n.raw.Propose(data) // dropped ones are sent again
	case n.led() && name != "":
		n.send(name, KindPropose, data)
	case n.feeder != "":
		n.send(n.feeder, KindPropose, data)
	case name != "":
		n.send(name, KindPropose, data)
	}
}

// again sends commands anew whose word has not come, and gives up those whose time
// is over.
func (n *Node) again() {
	waiting := n.waiting
	n.waiting = n.waiting[:0:0]
	for _, p := range waiting {
		switch {
		case n.now >= p.end:
			p.done(statemachine.Result{}, ErrOutcomeUnknown)
		case n.now-p.at >= n.span(againTicks):
			n.waiting = append(n.waiting, p)
			n.propose(p)
		default:
			n.waiting = append(n.waiting, p)
		}
	}
}

// word tells a waiting command what became of it.
func (n *Node) word(id statemachine.ID, w statemachine.Result) {
	i := slices.IndexFunc(n.waiting, func(p *pending) bool { return p.id == id })
	if i < 0 {
		return
	}
	p := n.waiting[i]
	n.waiting = slices.Delete(n.waiting, i, i+1)
	p.done(w, nil)
}

func (n *Node) send(to string, kind Kind, payload []byte) {
	if to != n.cfg.Name && to != "" {
		n.sends = append(n.sends, Message{To: to, Kind: kind, Payload: payload})
	}
}

// Ready gives what is to be written and then sent, if anything; it is not asked
// again before Done.
func (n *Node) Ready() (out Output, ok bool) {
	if n.out {
		return out, false
	}
	if n.rewrite {
		n.rewrite, n.out = false, true
		return Output{Rewrite: n.image()}, true
	}
	if f := n.fedSnapshot; f != nil {
		n.fedSnapshot = nil
		if i := f.Snapshot.GetMetadata().GetIndex(); i > n.applied {
			if err := n.install(f.Snapshot, f.GetTerm()); err != nil {
				n.stale = err
				n.tell("%v: this build takes no further part", err)
			} else {
				n.out = true
				return Output{Rewrite: n.image()}, true
			}
		}
	}
	out.Messages, n.sends = n.sends, nil
	if n.raw.HasReady() {
		rd := n.raw.Ready()
		out.ready = &rd
		for _, e := range rd.Entries {
			out.Records = append(out.Records, record(recEntry, e))
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			out.Records = append(out.Records, record(recHard, rd.HardState))
		}
		if !raft.IsEmptySnap(rd.Snapshot) { // whole or not at all
			out.Rewrite = append([][]byte{IdentityRecord(Identity{Name: n.cfg.Name, ID: n.id})}, snapshotRecords(rd.Snapshot)...)
			out.Rewrite, out.Records = append(out.Rewrite, out.Records...), nil
		}
		for _, r := range rd.ReadStates {
			n.confirmed(r.RequestCtx, r.Index)
		}
		for _, m := range rd.Messages {
			out.Messages = n.wrap(out.Messages, m)
		}
	}
	n.out = out.ready != nil
	return out, n.out || len(out.Messages) > 0
}

// Done takes an output's records as durable, and applies what it commits.
func (n *Node) Advance(out Output) error {
	if out.ready == nil && out.Rewrite == nil {
		return nil
	}
	n.out = false
	if out.ready == nil {
		return nil
	}
	rd := out.ready
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.store.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("fleet: %w", err)
		}
		if err := n.restore(rd.Snapshot); err != nil {
			n.stale = err
		}
	}
	if err := n.store.Append(rd.Entries); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := n.store.SetHardState(rd.HardState); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	for _, e := range rd.CommittedEntries {
		n.apply(e)
	}
	n.raw.Advance(*rd)
	if n.founding != nil && n.applied > 0 {
		do := n.founding
		n.founding = nil
		_ = n.raw.Campaign() // alone, it leads at once
		do()
	}
	n.leads = n.raw.BasicStatus().RaftState == raft.StateLeader && n.begin()
	if len(rd.CommittedEntries) > 0 {
		n.feedAll()
		n.dutyStep()
	}
	n.live()
	if n.leads {
		n.grant()
	}
	n.compact()
	return nil
}

// begin notes that leading has begun, from which moment on time is told.
func (n *Node) begin() bool {
	if !n.leads {
		n.facts, n.confAt, n.handed, n.conf2 = n.now, n.now, n.now, 0
		n.factsLost = false
		n.leases.grantor.Reset()
		n.heard = map[string]heard{}
		for _, f := range n.rep.State().Members.Fronts { // nobody is lost for not having been heard by another
			if !f.Lost {
				n.heard[f.Name] = heard{id: f.ID, start: f.Start, at: n.now, away: f.NotServing, hurt: f.Unhealthy}
			}
		}
		n.tell("this front leads")
	}
	return true
}

// apply applies one committed entry.
func (n *Node) apply(e *raftpb.Entry) {
	index := e.GetIndex()
	if index <= n.applied {
		return
	}
	switch e.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		cc, err := decodeChange(e)
		if err != nil { // raft would not have let it in
			panic(fmt.Sprintf("fleet: entry %d: %v", index, err))
		}
		n.conf = n.raw.ApplyConfChange(cc)
		if n.stale == nil {
			n.told = append(n.told, n.rep.ApplySeats(seats(n.conf))...)
		}
	default:
		if len(e.GetData()) > 0 && n.stale == nil {
			c, err := statemachine.Decode(e.GetData())
			if err != nil {
				n.stale = fmt.Errorf("entry %d: %w", index, err)
				n.tell("%v: this build takes no further part", n.stale)
				break
			}
			w, told := n.rep.Apply(c)
			n.told = append(n.told, told...)
			n.word(c.ID, w)
		}
	}
	n.applied = index
}

// restore takes a snapshot's state over.
func (n *Node) restore(s *raftpb.Snapshot) error {
	if err := n.rep.Restore(s.GetData()); err != nil {
		return err
	}
	n.conf, n.applied = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex()
	for _, p := range slices.Clone(n.waiting) {
		if w, ok := n.rep.Seen(p.id); ok {
			n.word(p.id, w)
		}
	}
	return nil
}

func seats(c *raftpb.ConfState) membership.Seats {
	return membership.Seats{Voters: slices.Clone(c.GetVoters()), Learners: slices.Clone(c.GetLearners()),
		Joint: len(c.GetVotersOutgoing()) > 0}
}

// compact begins the log anew once it has grown. Who is further behind than what is
// kept gets a snapshot, so that nobody holds the log.
func (n *Node) compact() {
	first, err := n.store.FirstIndex()
	if err != nil || n.stale != nil || n.applied < first+n.cfg.SnapshotEntries {
		return
	}
	if _, err := n.store.CreateSnapshot(n.applied, n.conf, n.rep.Snapshot()); err != nil {
		return
	}
	if err := n.store.Compact(n.applied - min(keepBehind, n.cfg.SnapshotEntries/2)); err == nil {
		n.rewrite = true
	}
}

// image is the journal's records from here on.
func (n *Node) image() [][]byte {
	list := [][]byte{IdentityRecord(Identity{Name: n.cfg.Name, ID: n.id})}
	s, err := n.store.Snapshot()
	if err == nil && !raft.IsEmptySnap(s) {
		list = append(list, snapshotRecords(s)...)
	}
	first, last := s.GetMetadata().GetIndex()+1, n.last()
	if last >= first {
		entries, err := n.store.Entries(first, last+1, math.MaxUint64)
		if err != nil {
			panic(fmt.Sprintf("fleet: %v", err)) // they were just there
		}
		for _, e := range entries {
			list = append(list, record(recEntry, e))
		}
	}
	if hard, _, err := n.store.InitialState(); err == nil && !raft.IsEmptyHardState(hard) {
		list = append(list, record(recHard, hard))
	}
	return list
}

func (n *Node) last() uint64 {
	i, _ := n.store.LastIndex() // the memory storage has no errors
	return i
}

// rank orders feeders for a front, differently for each, so that they share the load.
func rank(front, feeder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(front + "\x00" + feeder))
	return h.Sum64()
}

// byRank orders names for a front.
func byRank(front string, names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(front, a), rank(front, b)), cmp.Compare(a, b))
	})
}

// quiet drops the agreement library's log; what matters is told by Told.
type quiet struct{}

func (quiet) Debug(...any)                   {}
func (quiet) Debugf(string, ...any)          {}
func (quiet) Error(...any)                   {}
func (quiet) Errorf(string, ...any)          {}
func (quiet) Info(...any)                    {}
func (quiet) Infof(string, ...any)           {}
func (quiet) Warning(...any)                 {}
func (quiet) Warningf(string, ...any)        {}
func (quiet) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quiet) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
