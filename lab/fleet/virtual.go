// Package fleet runs fleets of fronts and injects faults: the production nodes in
// virtual time, hundreds of them, or processes of the built program. Its checkers know
// the promised invariants only, not how the fleet keeps them.
package fleet

import (
	"container/heap"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"slices"
	"sync"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
	"cherryramp/internal/fleet/consensus"
)

// Micros is a virtual time or duration in microseconds.
type Micros = int64

// Milli and Second are durations of virtual time.
const (
	Milli  Micros = 1000
	Second Micros = 1_000_000
)

// randomStream replaces crypto/rand.Reader, from which the consensus library draws its
// election timeouts, so that a seed always gives the same run. The replacement is global
// to the process.
type randomStream struct{ source *mathrand.ChaCha8 }

func (s randomStream) Read(p []byte) (int, error) { return s.source.Read(p) }

var libraryRandomMu sync.Mutex

// patchLibraryRandom makes the consensus library draw from the world's source until undo
// is called. Everything a front does must run in between: draws outside differ from run
// to run.
func (w *World) patchLibraryRandom() (undo func()) {
	if w.libraryPatched {
		return func() {}
	}
	libraryRandomMu.Lock()
	before := rand.Reader
	rand.Reader, w.libraryPatched = w.libraryRandom, true
	return func() {
		rand.Reader, w.libraryPatched = before, false
		libraryRandomMu.Unlock()
	}
}

// Spec describes a fleet in virtual time.
type Spec struct {
	Fronts         int
	Zones          int
	InitialMembers int // number of fronts named as initial members; 0: three, or all if fewer
	Seed           uint64
	Rules          maintenance.Rules // zero value: ShortRules
	Mutation       statemachine.Mutation
	FanOut         int
}

// event is a callback scheduled for a virtual time; seq orders events of the same time.
type event struct {
	at  Micros
	seq uint64
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// Front is a simulated front: a consensus node with its disk, clock and host.
type Front struct {
	world           *World
	config          consensus.Config
	Name            string
	Zone            string
	node            *consensus.Node
	durable         [][]byte // records on disk
	life            uint64   // counts starts and crashes; callbacks of an earlier life are dropped
	paused          bool
	deferred        []func() // callbacks that came due while paused
	clockRate       float64  // clock speed; 1 is true time
	clockOffset     Micros
	diskDelay       Micros // additional time of a write
	diskFull        bool   // disk full: writes fail
	openRequests    int    // open requests, as the host counts them
	outOfService    bool   // takes no clients
	outPermit       uint64
	emptyAt         Micros
	unhealthy       bool // reports itself as unhealthy
	applier         *rollout.Applier
	activation      rollout.ActivationRecord // activation record on disk
	stateApplied    bool                     // the replicated state was carried out since the lease became valid
	auditSeq        uint64                   // of the audit log
	Restarts        int
	crashedAt       Micros
	diskIncarnation uint64 // incarnation stored on disk
}

// World is a fleet in virtual time.
type World struct {
	spec           Spec
	random         *mathrand.Rand
	libraryRandom  randomStream // for the consensus library
	libraryPatched bool
	now            Micros
	seq            uint64
	queue          eventQueue
	Fronts         []*Front
	byName         map[string]*Front
	blocked        map[[2]string]bool // one-way cuts by sender and receiver
	delay          Micros
	jitter         Micros
	onSend         func(from string, s consensus.Message) // observes sent messages; may be nil
	sendDelay      map[string]Micros                      // additional delay of messages by sender
	lossRate       float64
	duplicateRate  float64
	lastDelivery   map[[2]string]Micros
	MessagesSent   map[string]int // messages sent by front
	BytesSent      map[string]int
	Checker        *Checker
	Log            []string
	Verbose        func(string)
	autoRestart    bool // fronts that are out are restarted when permitted
}

// NewWorld creates a world whose fronts are not started yet.
func NewWorld(s Spec) *World {
	w := &World{spec: s, random: mathrand.New(mathrand.NewPCG(s.Seed, 0xf1ee7)), byName: map[string]*Front{}, blocked: map[[2]string]bool{},
		delay: Milli, jitter: Milli, lastDelivery: map[[2]string]Micros{}, sendDelay: map[string]Micros{}, MessagesSent: map[string]int{}, BytesSent: map[string]int{}, autoRestart: true}
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], s.Seed)
	w.libraryRandom = randomStream{mathrand.NewChaCha8(seed)}
	w.Checker = newChecker(w)
	if s.Rules == (maintenance.Rules{}) {
		w.spec.Rules = ShortRules()
	}
	var first []consensus.Address
	if s.InitialMembers == 0 {
		s.InitialMembers = min(3, s.Fronts)
	}
	for i := range s.InitialMembers {
		first = append(first, consensus.Address{Name: frontName(i), Address: "virtual"})
	}
	for i := range s.Fronts {
		f := &Front{world: w, Name: frontName(i), Zone: fmt.Sprintf("z%d", i%max(1, s.Zones)), clockRate: 1 + 1e-4*(2*w.random.Float64()-1),
			clockOffset: Micros(w.random.Int64N(1_000_000_000))}
		f.config = consensus.Config{Fleet: "virtual", Name: f.Name, Zone: f.Zone, Machine: f.Name, Address: "virtual", Build: "v1", FirstMembers: first,
			Rules: w.spec.Rules, RandomID: w.randomID, Tick: 100 * Milli, LostAfter: 3 * Second, SeatGrace: 30 * Second, FanOut: max(1, s.FanOut), SnapshotEntries: 200}
		if s.FanOut == 0 {
			f.config.FanOut = 8
		}
		w.Fronts = append(w.Fronts, f)
		w.byName[f.Name] = f
	}
	return w
}

// ShortRules returns the default rules with timeouts short enough for a short run.
func ShortRules() maintenance.Rules {
	r := maintenance.DefaultRules()
	r.AcceptTimeout, r.DrainTimeout, r.ReturnTimeout, r.WarmUp = 5*Second, 10*Second, 10*Second, 2*Second
	return r
}

func frontName(i int) string { return fmt.Sprintf("n%d", i) }

func (w *World) randomID() uint64 { return max(1, w.random.Uint64()) }

func (w *World) schedule(at Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: max(at, w.now), seq: w.seq, run: do})
}

// After schedules a callback after a delay.
func (w *World) After(span Micros, do func()) { w.schedule(w.now+span, do) }

// Now returns the virtual time.
func (w *World) Now() Micros { return w.now }

func (w *World) log(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", float64(w.now)/1e6) + fmt.Sprintf(format, args...)
	if w.Log = append(w.Log, line); len(w.Log) > 4000 {
		w.Log = slices.Delete(w.Log, 0, 1000)
	}
	if w.Verbose != nil {
		w.Verbose(line)
	}
}

// Run processes events until a virtual time or the first violation.
func (w *World) Run(until Micros) {
	defer w.patchLibraryRandom()()
	for len(w.queue) > 0 && w.queue[0].at <= until && !w.Checker.Failed() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = max(w.now, until)
}

// RunUntil runs until a condition holds or a duration has passed, and reports whether the
// condition holds. The condition is evaluated every 50 ms of virtual time.
func (w *World) RunUntil(within Micros, holds func() bool) bool {
	for end := w.now + within; w.now < end && !w.Checker.Failed(); {
		if holds() {
			return true
		}
		w.Run(w.now + 50*Milli)
	}
	return holds()
}

// clock returns the front's local time.
func (f *Front) clock() Micros { return f.clockOffset + Micros(f.clockRate*float64(f.world.now)) }

// Start starts a front from the records on its disk.
func (f *Front) Start() {
	if f.node != nil {
		return
	}
	defer f.world.patchLibraryRandom()()
	f.life++
	f.Restarts++
	r := &consensus.Recovered{}
	for _, record := range f.durable {
		if err := r.Add(record); err != nil {
			f.world.log("%s can't start: %v", f.Name, err)
			return
		}
	}
	if r.Identity.ID == 0 {
		r.Identity = consensus.Identity{Name: f.Name, ID: f.world.randomID()}
		f.durable = [][]byte{consensus.IdentityRecord(r.Identity)}
	}
	f.diskIncarnation, f.config.Start = r.Identity.ID, f.world.randomID()
	n, err := consensus.New(f.config, r, f.clock())
	if err != nil {
		f.world.log("%s can't start: %v", f.Name, err)
		return
	}
	n.Replica().SetMutation(f.world.spec.Mutation)
	f.applier, f.stateApplied = rollout.NewApplier(f.activation), false
	f.node, f.outOfService, f.openRequests, f.paused, f.deferred = n, false, f.world.random.IntN(5), false, nil
	f.world.log("%s starts (incarnation %x)", f.Name, r.Identity.ID)
	f.tick(f.life)
}

func (f *Front) tick(life uint64) {
	if f.life != life || f.node == nil {
		return
	}
	f.world.After(f.config.Tick/2, func() { f.tick(life) })
	f.run(life, func() {
		f.updateHost()
		f.node.Tick(f.clock())
		f.flush()
	})
}

// run executes a callback of the front's given life, deferred while the front is paused.
func (f *Front) run(life uint64, what func()) {
	if f.life != life || f.node == nil {
		return
	}
	if f.paused {
		if len(f.deferred) < 5000 {
			f.deferred = append(f.deferred, what)
		}
		return
	}
	what()
}

// updateHost does the work of the program around the node: it drains the front, takes it
// back into service and applies the replicated state.
func (f *Front) updateHost() {
	out, permit := f.node.OutOfService()
	switch {
	case out && !f.outOfService:
		f.outOfService, f.outPermit, f.emptyAt = true, permit, f.world.now+Micros(f.world.random.Int64N(int64(2*Second)))
		f.world.log("%s goes out of service under permit %d", f.Name, permit)
	case !out && f.outOfService:
		f.outOfService = false
		f.world.log("%s is back in service", f.Name)
	}
	f.world.Checker.checkOutOfService(f)
	f.node.SetHostState(f.outOfService, f.outOfService && f.world.now >= f.emptyAt, f.unhealthy)
	boxes := f.node.BoxesToLeave()
	for _, b := range boxes {
		f.node.SetBoxLeft(b, true)
	}
	f.applyVersions(f.life)
	if !f.node.MayAct(f.clock()) {
		f.stateApplied = false
	}
	f.world.Checker.checkBoxes(f, boxes)
	f.world.Checker.checkGate(f)
	f.stateApplied = f.node.MayAct(f.clock())
}

// mayAct reports whether the front may act now, by the check that the program makes
// before each action.
func (f *Front) mayAct() bool {
	now := f.clock()
	if f.node.HasMutation(statemachine.DisableLeaseCheck) {
		return true
	}
	return f.stateApplied && f.node.MayAct(now) && f.applier.MayAct(now) && f.node.Stale() == nil
}

// applyVersions carries out the applier's next action, with disk delays and the simulated
// effects of a version on the front that activates it.
func (f *Front) applyVersions(life uint64) {
	s := &f.node.Replica().State().Rollout
	target, candidate := s.Target(f.Name), uint64(0)
	if c := s.Candidate(); c != nil {
		candidate = c.Number
	}
	f.applier.Evaluate(s, f.Name, f.clock())
	later := func(do func()) {
		f.world.After(f.diskDelay+Milli, func() { f.run(life, do) })
	}
	do, n := f.applier.Next(candidate, target, f.clock())
	content := ""
	if n > 0 {
		content = string(s.Content(n))
	}
	switch do {
	case rollout.Check:
		later(func() {
			var err error
			if content == "turned down "+f.Name {
				err = errFrontDown
			}
			f.applier.Checked(n, err)
		})
	case rollout.RecordActivation, rollout.RecordSurvival:
		record := f.applier.Record(do, n)
		later(func() {
			if !f.diskFull {
				f.activation = record
			}
			f.applier.Recorded(record, !f.diskFull, f.clock())
		})
	case rollout.Activate:
		f.world.log("%s acts on version %d (%q), recorded %+v, reported %+v, candidate %d", f.Name, n, content, f.activation, f.applier.Report(), candidate)
		f.applier.Activated(n, nil, s.Watch(n), f.clock())
		f.world.Checker.checkActivation(f, n)
		if content == "crashes" {
			f.world.After(Second, func() {
				if f.life == life && f.node != nil && f.applier.Active() == n {
					f.Crash()
					f.world.After(2*Second, f.Start)
				}
			})
		}
	}
	f.applier.Evaluate(s, f.Name, f.clock())
	x := f.applier.Report()
	f.auditSeq++
	x.AuditSeq, x.AuditHead = f.auditSeq, "virtual"
	if content := string(s.Content(x.Active)); content == "fails" {
		x.FailedPercent = 50
	}
	x.HasSample = true
	f.node.SetReport(x)
}

// flush persists and sends the node's pending output.
func (f *Front) flush() {
	for _, line := range f.node.Events() {
		f.world.log("%s: %s", f.Name, line)
	}
	f.world.Checker.observe(f)
	out, ok := f.node.Ready()
	if !ok {
		return
	}
	life, n := f.life, f.node
	done := func() {
		f.run(life, func() {
			if len(out.Records) > 0 && f.diskFull {
				f.world.After(Second, func() { f.run(life, func() { f.retryWrite(out) }) })
				return
			}
			f.persist(out)
			f.advance(n, out)
		})
	}
	if len(out.Records) == 0 && out.Rewrite == nil {
		f.advance(n, out)
		return
	}
	f.world.After(f.diskDelay+100+Micros(f.world.random.Int64N(500)), done)
}

func (f *Front) retryWrite(out consensus.Output) {
	if f.diskFull {
		life := f.life
		f.world.After(Second, func() { f.run(life, func() { f.retryWrite(out) }) })
		return
	}
	f.persist(out)
	f.advance(f.node, out)
}

func (f *Front) persist(out consensus.Output) {
	if out.Rewrite != nil {
		f.durable = slices.Clone(out.Rewrite)
		return
	}
	f.durable = append(f.durable, out.Records...)
}

func (f *Front) advance(n *consensus.Node, out consensus.Output) {
	for _, s := range out.Messages {
		f.world.send(f, s)
	}
	if err := n.Advance(out); err != nil {
		f.world.Checker.fail("%s: %v", f.Name, err)
		return
	}
	f.flush()
}

// send schedules the delivery of a message, subject to cuts, loss, duplication and delay.
func (w *World) send(f *Front, s consensus.Message) {
	if w.onSend != nil {
		w.onSend(f.Name, s)
	}
	w.MessagesSent[f.Name]++
	w.BytesSent[f.Name] += len(s.Payload) + 16
	to, pair := w.byName[s.To], [2]string{f.Name, s.To}
	if to == nil || w.blocked[pair] || w.lossRate > 0 && w.random.Float64() < w.lossRate {
		return
	}
	times := 1
	if w.duplicateRate > 0 && w.random.Float64() < w.duplicateRate {
		times = 2
	}
	for range times {
		due := w.now + w.delay + w.sendDelay[f.Name] + Micros(w.random.Int64N(int64(w.jitter)+1))
		if w.duplicateRate == 0 { // delivered in order, as on a connection
			due = max(due, w.lastDelivery[pair])
			w.lastDelivery[pair] = due
		}
		life := to.life
		w.schedule(due, func() {
			if w.blocked[pair] {
				return
			}
			to.run(life, func() {
				to.node.AdvanceClock(to.clock())
				if err := to.node.Receive(f.Name, s.Kind, s.Payload); err != nil {
					w.Checker.fail("%s can't read a message of %s: %v", to.Name, f.Name, err)
				}
				to.flush()
			})
		})
	}
}

// Crash stops a front at once; state that was not persisted is lost.
func (f *Front) Crash() {
	if f.node == nil {
		return
	}
	f.world.log("%s crashes", f.Name)
	f.node, f.paused, f.deferred = nil, false, nil
	f.life++
	f.crashedAt = f.world.now
}

// Wipe crashes a front and erases its disk.
func (f *Front) Wipe() {
	f.Crash()
	f.durable, f.diskIncarnation, f.activation = nil, 0, rollout.ActivationRecord{}
	f.world.log("%s's disk is wiped", f.Name)
}

// Pause suspends a front's process or resumes it.
func (f *Front) Pause(on bool) {
	if f.node == nil || f.paused == on {
		return
	}
	defer f.world.patchLibraryRandom()()
	f.paused = on
	f.world.log("%s %s", f.Name, map[bool]string{true: "is paused", false: "is resumed"}[on])
	if !on {
		deferred := f.deferred
		f.deferred = nil
		for _, do := range deferred {
			f.run(f.life, do)
		}
	}
}

// Up reports whether the front runs.
func (f *Front) Up() bool { return f.node != nil }

// Node returns the front's node; nil while the front is down.
func (f *Front) Node() *consensus.Node { return f.node }

// Cut blocks messages from one front to another, or unblocks them.
func (w *World) Cut(from, to string, on bool) {
	if on {
		w.blocked[[2]string{from, to}] = true
	} else {
		delete(w.blocked, [2]string{from, to})
	}
}

// Partition replaces all cuts: fronts that share no group can't reach each other. Without
// groups, connectivity is restored.
func (w *World) Partition(groups ...[]string) {
	clear(w.blocked)
	if len(groups) == 0 {
		w.log("connectivity restored")
		return
	}
	w.log("partitioned: %v", groups)
	for _, a := range w.Fronts {
		for _, b := range w.Fronts {
			connected := slices.ContainsFunc(groups, func(g []string) bool { return slices.Contains(g, a.Name) && slices.Contains(g, b.Name) })
			if a != b && !connected {
				w.blocked[[2]string{a.Name, b.Name}] = true
			}
		}
	}
}

// Leader returns the leader of the newest term, or nil.
func (w *World) Leader() (leader *Front) {
	newestTerm := uint64(0)
	for _, f := range w.Fronts {
		if f.node != nil && f.node.IsLeader() {
			if _, term := f.node.Leader(); term > newestTerm {
				leader, newestTerm = f, term
			}
		}
	}
	return leader
}

// RequestOperation submits a request for an operation at a front; done gets the result.
func (w *World) RequestOperation(at *Front, x maintenance.Operation, done func(statemachine.Result, error)) {
	w.submit(at, statemachine.Command{Request: &statemachine.Request{Operation: x}}, done)
}

// SubmitOrder submits an operator's order at a front; done gets the result.
func (w *World) SubmitOrder(at *Front, o statemachine.Order, done func(statemachine.Result, error)) {
	w.submit(at, statemachine.Command{Order: &o}, done)
}

var errFrontDown = errors.New("the front is down")

func (w *World) submit(at *Front, c statemachine.Command, done func(statemachine.Result, error)) {
	if at.node == nil || at.paused {
		done(statemachine.Result{}, errFrontDown)
		return
	}
	defer w.patchLibraryRandom()()
	at.node.Submit(c, 10*Second, done)
	at.flush()
}

// Settled reports whether all running fronts are members with their current incarnation
// and have applied the same entries, and the number of voters is the target.
func (w *World) Settled() bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	s := l.node.Replica().State()
	for _, f := range w.Fronts {
		if f.node == nil {
			continue
		}
		own := s.Members.Find(f.Name)
		if own == nil || own.ID != f.node.ID() || own.Lost || f.node.Applied() != l.node.Applied() {
			return false
		}
	}
	return len(s.Seats.Voters) == s.Members.TargetVoters() && !s.Seats.Joint
}

// Digest hashes the states and disks of all fronts, to compare two runs.
func (w *World) Digest() string {
	h := sha256.New()
	for _, f := range w.Fronts {
		_, _ = fmt.Fprintf(h, "%s %d %d\n", f.Name, f.life, w.MessagesSent[f.Name])
		if f.node != nil {
			_, _ = h.Write(f.node.Replica().Snapshot())
		}
		for _, r := range f.durable {
			_, _ = h.Write(r)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Dump writes the last lines of the event log.
func (w *World) Dump(to io.Writer, lines int) {
	for _, l := range w.Log[max(0, len(w.Log)-lines):] {
		_, _ = fmt.Fprintln(to, l)
	}
}
