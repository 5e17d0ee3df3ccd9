// Package fleet plays a fleet of fronts that act together, with faults between
// them: the same nodes in virtual time, hundreds of them, and started processes of
// the built program. Its checkers know only what is promised.
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

// Micros is a moment or a span of virtual time, in microseconds.
type Micros = int64

// Milli and Second are spans.
const (
	Milli  Micros = 1000
	Second Micros = 1_000_000
)

// stream is a random source in place of the system's: the agreement library draws
// its election time-outs from crypto/rand.Reader, and virtual time must play the
// same day for the same seed. It is for the process that plays.
type stream struct{ c *mathrand.ChaCha8 }

func (s stream) Read(p []byte) (int, error) { return s.c.Read(p) }

var seeding sync.Mutex

// library has the agreement library draw from the world's source until undone. All
// that a front does must be within: what draws outside differs from play to play.
func (w *World) library() (undo func()) {
	if w.drawing {
		return func() {}
	}
	seeding.Lock()
	before := rand.Reader
	rand.Reader, w.drawing = w.chance, true
	return func() {
		rand.Reader, w.drawing = before, false
		seeding.Unlock()
	}
}

// Spec is a fleet in virtual time.
type Spec struct {
	Fronts         int
	Zones          int
	InitialMembers int // named first members; 0: three, or as many as there are
	Seed           uint64
	Rules          maintenance.Rules // zero: the defaults, with short spans
	Mutation       statemachine.Mutation
	FanOut         int
}

// event is something that happens at a moment.
type event struct {
	at  Micros
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// Front is one front of the world.
type Front struct {
	w        *World
	cfg      consensus.Config
	Name     string
	Zone     string
	node     *consensus.Node
	disk     [][]byte // what is durable
	life     uint64   // counts starts, so that nothing of the one before reaches the next
	paused   bool
	held     []func() // what came while it was paused
	rate     float64  // of its clock
	offset   Micros
	slow     Micros // that its disk takes
	full     bool   // its disk takes nothing
	open     int    // requests, as its host counts them
	out      bool   // it takes no clients
	outAs    uint64
	emptyAt  Micros
	hurt     bool // it says that it is in trouble
	taker    *rollout.Applier
	notes    rollout.ActivationRecord // on its disk
	opened   bool                     // all that the state wants was carried out since its lease held
	seq      uint64                   // of its audit
	Restarts int
	diedAt   Micros
	lastID   uint64 // incarnation of its disk
}

// World is a fleet in virtual time.
type World struct {
	spec         Spec
	r            *mathrand.Rand
	chance       stream // of the agreement library
	drawing      bool
	now          Micros
	seq          uint64
	queue        events
	Fronts       []*Front
	byName       map[string]*Front
	cut          map[[2]string]bool // one-way
	delay        Micros
	jitter       Micros
	tap          func(from string, s consensus.Message) // sees what is sent; nil: nobody does
	lag          map[string]Micros                      // added to the delay of what a front sends
	loss         float64
	double       float64
	last         map[[2]string]Micros
	MessagesSent map[string]int // messages by front
	BytesSent    map[string]int
	Checker      *Checker
	Log          []string
	Verbose      func(string)
	restarts     bool // whoever is out is restarted once it may be
}

// NewWorld makes a world in which nothing is started yet.
func NewWorld(s Spec) *World {
	w := &World{spec: s, r: mathrand.New(mathrand.NewPCG(s.Seed, 0xf1ee7)), byName: map[string]*Front{}, cut: map[[2]string]bool{},
		delay: Milli, jitter: Milli, last: map[[2]string]Micros{}, lag: map[string]Micros{}, MessagesSent: map[string]int{}, BytesSent: map[string]int{}, restarts: true}
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], s.Seed)
	w.chance = stream{mathrand.NewChaCha8(seed)}
	w.Checker = newChecker(w)
	if s.Rules == (maintenance.Rules{}) {
		w.spec.Rules = ShortRules()
	}
	var first []consensus.Address
	if s.InitialMembers == 0 {
		s.InitialMembers = min(3, s.Fronts)
	}
	for i := range s.InitialMembers {
		first = append(first, consensus.Address{Name: name(i), Address: "virtual"})
	}
	for i := range s.Fronts {
		f := &Front{w: w, Name: name(i), Zone: fmt.Sprintf("z%d", i%max(1, s.Zones)), rate: 1 + 1e-4*(2*w.r.Float64()-1),
			offset: Micros(w.r.Int64N(1_000_000_000))}
		f.cfg = consensus.Config{Fleet: "virtual", Name: f.Name, Zone: f.Zone, Machine: f.Name, Address: "virtual", Build: "v1", FirstMembers: first,
			Rules: w.spec.Rules, RandomID: w.draw, Tick: 100 * Milli, LostAfter: 3 * Second, SeatGrace: 30 * Second, FanOut: max(1, s.FanOut), SnapshotEntries: 200}
		if s.FanOut == 0 {
			f.cfg.FanOut = 8
		}
		w.Fronts = append(w.Fronts, f)
		w.byName[f.Name] = f
	}
	return w
}

// ShortRules are the defaults with spans that fit a short day.
func ShortRules() maintenance.Rules {
	r := maintenance.DefaultRules()
	r.AcceptTimeout, r.DrainTimeout, r.ReturnTimeout, r.WarmUp = 5*Second, 10*Second, 10*Second, 2*Second
	return r
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func (w *World) draw() uint64 { return max(1, w.r.Uint64()) }

func (w *World) at(at Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: max(at, w.now), seq: w.seq, do: do})
}

// After has something done after a span.
func (w *World) After(span Micros, do func()) { w.at(w.now+span, do) }

// Now is the virtual moment.
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

// Run plays until a moment.
func (w *World) Run(until Micros) {
	defer w.library()()
	for len(w.queue) > 0 && w.queue[0].at <= until && !w.Checker.Failed() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}

// RunUntil plays until something holds, or a span has passed.
func (w *World) RunUntil(within Micros, holds func() bool) bool {
	for end := w.now + within; w.now < end && !w.Checker.Failed(); {
		if holds() {
			return true
		}
		w.Run(w.now + 50*Milli)
	}
	return holds()
}

// clock is the front's own.
func (f *Front) clock() Micros { return f.offset + Micros(f.rate*float64(f.w.now)) }

// Start starts a front on what its disk holds.
func (f *Front) Start() {
	if f.node != nil {
		return
	}
	defer f.w.library()()
	f.life++
	f.Restarts++
	r := &consensus.Recovered{}
	for _, record := range f.disk {
		if err := r.Add(record); err != nil {
			f.w.log("%s can't start: %v", f.Name, err)
			return
		}
	}
	if r.Identity.ID == 0 {
		r.Identity = consensus.Identity{Name: f.Name, ID: f.w.draw()}
		f.disk = [][]byte{consensus.IdentityRecord(r.Identity)}
	}
	f.lastID, f.cfg.Start = r.Identity.ID, f.w.draw()
	n, err := consensus.New(f.cfg, r, f.clock())
	if err != nil {
		f.w.log("%s can't start: %v", f.Name, err)
		return
	}
	n.Replica().SetMutation(f.w.spec.Mutation)
	f.taker, f.opened = rollout.NewApplier(f.notes), false
	f.node, f.out, f.open, f.paused, f.held = n, false, f.w.r.IntN(5), false, nil
	f.w.log("%s starts (incarnation %x)", f.Name, r.Identity.ID)
	f.tick(f.life)
}

func (f *Front) tick(life uint64) {
	if f.life != life || f.node == nil {
		return
	}
	f.w.After(f.cfg.Tick/2, func() { f.tick(life) })
	f.do(life, func() {
		f.host()
		f.node.Tick(f.clock())
		f.pump()
	})
}

// do has something done by the front, once it is no longer stopped.
func (f *Front) do(life uint64, what func()) {
	if f.life != life || f.node == nil {
		return
	}
	if f.paused {
		if len(f.held) < 5000 {
			f.held = append(f.held, what)
		}
		return
	}
	what()
}

// host is what the program round the node does: it empties and fills the front.
func (f *Front) host() {
	out, permit := f.node.OutOfService()
	switch {
	case out && !f.out:
		f.out, f.outAs, f.emptyAt = true, permit, f.w.now+Micros(f.w.r.Int64N(int64(2*Second)))
		f.w.log("%s goes out under permit %d", f.Name, permit)
	case !out && f.out:
		f.out = false
		f.w.log("%s takes clients again", f.Name)
	}
	f.w.Checker.host(f)
	f.node.SetHostState(f.out, f.out && f.w.now >= f.emptyAt, f.hurt)
	boxes := f.node.BoxesToLeave()
	for _, b := range boxes {
		f.node.SetBoxLeft(b, true)
	}
	f.version(f.life)
	if !f.node.MayAct(f.clock()) {
		f.opened = false
	}
	f.w.Checker.box(f, boxes)
	f.w.Checker.version(f)
	f.opened = f.node.MayAct(f.clock())
}

// acts tells whether the front may act now, as its program sees it before each act.
func (f *Front) acts() bool {
	now := f.clock()
	if f.node.HasMutation(statemachine.DisableLeaseCheck) {
		return true
	}
	return f.opened && f.node.MayAct(now) && f.taker.MayAct(now) && f.node.Stale() == nil
}

// version is what the program does for versions: the taker's actions, with the disk's
// delays and what a version does to whoever takes it up.
func (f *Front) version(life uint64) {
	s := &f.node.Replica().State().Rollout
	target, candidate := s.Target(f.Name), uint64(0)
	if c := s.Candidate(); c != nil {
		candidate = c.Number
	}
	f.taker.Evaluate(s, f.Name, f.clock())
	later := func(do func()) {
		f.w.After(f.slow+Milli, func() { f.do(life, do) })
	}
	do, n := f.taker.Next(candidate, target, f.clock())
	bad := ""
	if n > 0 {
		bad = string(s.Content(n))
	}
	switch do {
	case rollout.Check:
		later(func() {
			var err error
			if bad == "turned down "+f.Name {
				err = errDown
			}
			f.taker.Checked(n, err)
		})
	case rollout.RecordActivation, rollout.RecordSurvival:
		notes := f.taker.Record(do, n)
		later(func() {
			if !f.full {
				f.notes = notes
			}
			f.taker.Recorded(notes, !f.full, f.clock())
		})
	case rollout.Activate:
		f.w.log("%s acts on version %d (%q), noted %+v, said %+v, candidate %d", f.Name, n, bad, f.notes, f.taker.Report(), candidate)
		f.taker.Activated(n, nil, s.Watch(n), f.clock())
		f.w.Checker.took(f, n)
		if bad == "crashes" {
			f.w.After(Second, func() {
				if f.life == life && f.node != nil && f.taker.Active() == n {
					f.Crash()
					f.w.After(2*Second, f.Start)
				}
			})
		}
	}
	f.taker.Evaluate(s, f.Name, f.clock())
	x := f.taker.Report()
	f.seq++
	x.AuditSeq, x.AuditHead = f.seq, "virtual"
	if bad := string(s.Content(x.Active)); bad == "fails" {
		x.FailedPercent = 50
	}
	x.HasSample = true
	f.node.SetReport(x)
}

// pump writes and sends what the node has for it.
func (f *Front) pump() {
	for _, line := range f.node.Events() {
		f.w.log("%s: %s", f.Name, line)
	}
	f.w.Checker.seen(f)
	out, ok := f.node.Ready()
	if !ok {
		return
	}
	life, n := f.life, f.node
	done := func() {
		f.do(life, func() {
			if len(out.Records) > 0 && f.full {
				f.w.After(Second, func() { f.do(life, func() { f.retry(out) }) })
				return
			}
			f.keep(out)
			f.finish(n, out)
		})
	}
	if len(out.Records) == 0 && out.Rewrite == nil {
		f.finish(n, out)
		return
	}
	f.w.After(f.slow+100+Micros(f.w.r.Int64N(500)), done)
}

func (f *Front) retry(out consensus.Output) {
	if f.full {
		life := f.life
		f.w.After(Second, func() { f.do(life, func() { f.retry(out) }) })
		return
	}
	f.keep(out)
	f.finish(f.node, out)
}

func (f *Front) keep(out consensus.Output) {
	if out.Rewrite != nil {
		f.disk = slices.Clone(out.Rewrite)
		return
	}
	f.disk = append(f.disk, out.Records...)
}

func (f *Front) finish(n *consensus.Node, out consensus.Output) {
	for _, s := range out.Messages {
		f.w.send(f, s)
	}
	if err := n.Advance(out); err != nil {
		f.w.Checker.fail("%s: %v", f.Name, err)
		return
	}
	f.pump()
}

// send brings a message on its way.
func (w *World) send(f *Front, s consensus.Message) {
	if w.tap != nil {
		w.tap(f.Name, s)
	}
	w.MessagesSent[f.Name]++
	w.BytesSent[f.Name] += len(s.Payload) + 16
	to, pair := w.byName[s.To], [2]string{f.Name, s.To}
	if to == nil || w.cut[pair] || w.loss > 0 && w.r.Float64() < w.loss {
		return
	}
	times := 1
	if w.double > 0 && w.r.Float64() < w.double {
		times = 2
	}
	for range times {
		due := w.now + w.delay + w.lag[f.Name] + Micros(w.r.Int64N(int64(w.jitter)+1))
		if w.double == 0 { // in order, as on one connection
			due = max(due, w.last[pair])
			w.last[pair] = due
		}
		life := to.life
		w.at(due, func() {
			if w.cut[pair] {
				return
			}
			to.do(life, func() {
				to.node.AdvanceClock(to.clock())
				if err := to.node.Receive(f.Name, s.Kind, s.Payload); err != nil {
					w.Checker.fail("%s can't read a message of %s: %v", to.Name, f.Name, err)
				}
				to.pump()
			})
		})
	}
}

// Crash ends a front at once; what was not durable is gone.
func (f *Front) Crash() {
	if f.node == nil {
		return
	}
	f.w.log("%s crashes", f.Name)
	f.node, f.paused, f.held = nil, false, nil
	f.life++
	f.diedAt = f.w.now
}

// Wipe crashes a front and empties its disk.
func (f *Front) Wipe() {
	f.Crash()
	f.disk, f.lastID, f.notes = nil, 0, rollout.ActivationRecord{}
	f.w.log("%s's disk is wiped", f.Name)
}

// Pause stops a front's process, or has it go on.
func (f *Front) Pause(on bool) {
	if f.node == nil || f.paused == on {
		return
	}
	defer f.w.library()()
	f.paused = on
	f.w.log("%s %s", f.Name, map[bool]string{true: "is stopped", false: "goes on"}[on])
	if !on {
		held := f.held
		f.held = nil
		for _, do := range held {
			f.do(f.life, do)
		}
	}
}

// Up tells whether a front runs.
func (f *Front) Up() bool { return f.node != nil }

// Node is the front's node; nil while it is down.
func (f *Front) Node() *consensus.Node { return f.node }

// Cut has nothing come from one front to another, or again.
func (w *World) Cut(from, to string, on bool) {
	if on {
		w.cut[[2]string{from, to}] = true
	} else {
		delete(w.cut, [2]string{from, to})
	}
}

// Part parts the fronts into groups that hear nothing of each other; none: all
// hear all.
func (w *World) Partition(groups ...[]string) {
	clear(w.cut)
	if len(groups) == 0 {
		w.log("all hear all")
		return
	}
	w.log("parted: %v", groups)
	for _, a := range w.Fronts {
		for _, b := range w.Fronts {
			together := slices.ContainsFunc(groups, func(g []string) bool { return slices.Contains(g, a.Name) && slices.Contains(g, b.Name) })
			if a != b && !together {
				w.cut[[2]string{a.Name, b.Name}] = true
			}
		}
	}
}

// Leader is the front that leads in the newest term; nil: none does.
func (w *World) Leader() (best *Front) {
	most := uint64(0)
	for _, f := range w.Fronts {
		if f.node != nil && f.node.IsLeader() {
			if _, term := f.node.Leader(); term > most {
				best, most = f, term
			}
		}
	}
	return best
}

// Ask has a front asked for a work, and tells its word.
func (w *World) RequestOperation(at *Front, x maintenance.Operation, done func(statemachine.Result, error)) {
	w.order(at, statemachine.Command{Request: &statemachine.Request{Operation: x}}, done)
}

// Order has a front told a person's word.
func (w *World) SubmitOrder(at *Front, o statemachine.Order, done func(statemachine.Result, error)) {
	w.order(at, statemachine.Command{Order: &o}, done)
}

var errDown = errors.New("the front is down")

func (w *World) order(at *Front, c statemachine.Command, done func(statemachine.Result, error)) {
	if at.node == nil || at.paused {
		done(statemachine.Result{}, errDown)
		return
	}
	defer w.library()()
	at.node.Submit(c, 10*Second, done)
	at.pump()
}

// Settled tells whether all fronts that are up hold the same, are of the fleet as
// they are, and the council has all the seats that it wants.
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

// Digest is over what all fronts hold, for a comparison of two runs.
func (w *World) Digest() string {
	h := sha256.New()
	for _, f := range w.Fronts {
		_, _ = fmt.Fprintf(h, "%s %d %d\n", f.Name, f.life, w.MessagesSent[f.Name])
		if f.node != nil {
			_, _ = h.Write(f.node.Replica().Snapshot())
		}
		for _, r := range f.disk {
			_, _ = h.Write(r)
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Dump writes the last lines of what happened.
func (w *World) Dump(to io.Writer, lines int) {
	for _, l := range w.Log[max(0, len(w.Log)-lines):] {
		_, _ = fmt.Fprintln(to, l)
	}
}
