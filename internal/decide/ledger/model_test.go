package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// The model is one request that must not run twice, its near and far side, a node, a
// link that loses, holds, reorders and doubles what it carries, crashes of both
// sides, and time in steps. Every order in which things can happen is gone through,
// up to its bounds.

// fault is something left out on purpose, which the model must find.
type fault string

const (
	none        fault = ""
	noEpoch     fault = "epochs are not compared"
	lostIsNever fault = "a lost memory says never came"
	noBar       fault = "what never came is not barred"
	lateIsFine  fault = "what was held for long still counts"
	runFirst    fault = "a run is recorded after it has begun"
	noOpen      fault = "what was sent is forgotten by a crash"
)

// Bounds of the model. How many messages are on their way at once makes it large.
const (
	modelDelay, modelKeep, modelUntil, modelEnd = 1, 4, 3, 6
	modelTries, modelCopies                     = 2, 1
)

type message struct {
	kind  byte // request, answer, question, word
	try   uint32
	epoch uint64
	at    Micros // when it was sent
	age   Micros // of the try, with a question
	end   Outcome
	tell  Status
}

// world is a state. Both sides are kept as the records that build them.
type world struct {
	near, far []Record
	epoch     uint64
	known     uint64 // epoch that the near side was told
	now       Micros
	net       []message
	pending   []uint32 // tries that the node has and has not begun
	begun     []uint32
	runs      int
	passed    int
	refused   bool
	ended     bool // for the client
	ready     bool // another try may go
	copies    int
	crashes   [2]int
}

// key is a state's name; all its figures are small.
func (w *world) key() string {
	b := make([]byte, 0, 128)
	put := func(figures ...int64) {
		for _, x := range figures {
			b = append(b, byte(x))
		}
	}
	flag := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	for _, list := range [][]Record{w.near, w.far} {
		put(int64(len(list)))
		for _, r := range list {
			put(int64(r.Op), int64(r.Attempt), int64(r.Epoch), r.At, r.Deadline, int64(r.Outcome), int64(len(r.Body)))
		}
	}
	put(int64(w.epoch), int64(w.known), w.now, int64(w.runs), int64(w.passed), flag(w.refused), flag(w.ended), flag(w.ready), int64(w.copies),
		int64(w.crashes[0]), int64(w.crashes[1]), int64(len(w.net)))
	for _, x := range w.net {
		b = x.append(b)
	}
	for _, list := range [][]uint32{w.pending, w.begun} {
		put(int64(len(list)))
		for _, try := range list {
			put(int64(try))
		}
	}
	return string(b)
}

func (m message) append(b []byte) []byte {
	return append(b, m.kind, byte(m.try), byte(m.epoch), byte(m.at), byte(m.age), byte(m.end), byte(m.tell.Kind), byte(m.tell.Outcome),
		byte(m.tell.Epoch), byte(len(m.tell.Body)))
}

type model struct {
	fault    fault
	disk     bool
	crashes  [2]int
	messages int // on their way at once
	seen     map[string]bool
	path     []string
	bad      string
	steps    int
}

func (m *model) history() string { return strings.Join(m.path, ", ") }

func (m *model) sides(w *world) (*Sender, *Receiver) {
	cfg := Config{MaxIDs: 4, MaxBodyBytes: 100, Retention: modelKeep, MaxDelay: modelDelay}
	n, f := NewSender(cfg, func(Record) {}), NewReceiver(cfg, w.epoch, func(Record) {})
	for _, r := range w.near {
		n.Apply(r)
	}
	for _, r := range w.far {
		f.Apply(r)
	}
	return n, f
}

// explore goes through all that can follow a state.
func (m *model) explore(w world) {
	key := w.key()
	if m.bad != "" || m.seen[key] {
		return
	}
	m.seen[key] = true
	switch {
	case w.runs > 1:
		m.bad = "it ran twice: " + m.history()
	case w.refused && w.runs > 0:
		m.bad = "it was refused, and ran: " + m.history()
	case w.passed > 1 || w.passed == 1 && w.runs == 0:
		m.bad = "answers are wrong: " + m.history()
	}
	// next goes on from a state that differs by what do does with copies of both sides.
	next := func(what string, do func(x *world, n *Sender, f *Receiver)) {
		if m.bad != "" {
			return
		}
		m.path = append(m.path, what)
		defer func() { m.path = m.path[:len(m.path)-1] }()
		x := w
		x.net, x.pending, x.begun = slices.Clone(w.net), slices.Clone(w.pending), slices.Clone(w.begun)
		n, f := m.sides(&w)
		do(&x, n, f)
		x.near, x.far = n.Snapshot(), f.Snapshot()
		slices.SortFunc(x.net, func(a, b message) int { return bytes.Compare(a.append(nil), b.append(nil)) })
		m.steps++
		m.explore(x)
	}
	n, _ := m.sides(&w)
	e := n.by[1]
	if e != nil && w.ready && e.try < modelTries {
		next("a try leaves", func(x *world, n *Sender, _ *Receiver) {
			if try, ok := n.Dispatch(x.now, 1, x.known); ok {
				x.ready = false
				x.net = append(x.net, message{kind: 'r', try: try, epoch: x.known, at: x.now})
			}
		})
	}
	if w.known != w.epoch {
		next("the epoch is told", func(x *world, _ *Sender, _ *Receiver) { x.known = x.epoch })
	}
	if e != nil && e.state == sent && len(w.net) < m.messages && !slices.ContainsFunc(w.net, func(x message) bool { return x.kind == 'q' || x.kind == 'w' }) {
		next("the try is given up for lost", func(x *world, n *Sender, _ *Receiver) { m.step(x, n.AttemptLost(x.now, 1, n.by[1].try)) })
	}
	if e != nil && w.now >= modelUntil && !w.ended {
		next("the client has no more time", func(x *world, n *Sender, _ *Receiver) { m.step(x, n.GiveUp(x.now, 1)) })
	}
	for i, msg := range w.net {
		next(fmt.Sprintf("comes %c%d", msg.kind, msg.try), func(x *world, n *Sender, f *Receiver) { // it comes
			x.net = slices.Delete(x.net, i, i+1)
			m.deliver(x, n, f, msg)
		})
		next(fmt.Sprintf("lost %c%d", msg.kind, msg.try), func(x *world, _ *Sender, _ *Receiver) { x.net = slices.Delete(x.net, i, i+1) })
		if w.copies < modelCopies && len(w.net) < m.messages {
			next(fmt.Sprintf("doubled %c%d", msg.kind, msg.try), func(x *world, _ *Sender, _ *Receiver) { x.net, x.copies = append(x.net, msg), x.copies+1 })
		}
	}
	for i, try := range w.pending { // the node begins it, or turns it away
		next(fmt.Sprint("begins ", try), func(x *world, _ *Sender, _ *Receiver) {
			x.pending, x.begun, x.runs = slices.Delete(x.pending, i, i+1), append(x.begun, try), x.runs+1
		})
		next(fmt.Sprint("turned away ", try), func(x *world, _ *Sender, f *Receiver) {
			x.pending = slices.Delete(x.pending, i, i+1)
			m.done(x, f, try, NotRun)
		})
	}
	for i, try := range w.begun {
		next(fmt.Sprint("ends ", try), func(x *world, _ *Sender, f *Receiver) {
			x.begun = slices.Delete(x.begun, i, i+1)
			m.done(x, f, try, Served)
		})
	}
	if w.crashes[1] < m.crashes[1] {
		next("the far side crashes", func(x *world, _ *Sender, f *Receiver) {
			x.crashes[1]++
			if !m.disk {
				x.epoch++
				*f = *NewReceiver(f.cfg, x.epoch, f.note)
				return
			}
			f.FinishRestore(x.now)
		})
	}
	if w.crashes[0] < m.crashes[0] {
		next("the near side crashes", func(x *world, n *Sender, _ *Receiver) {
			x.crashes[0]++
			x.ready, x.ended = false, true // its client is gone
			if m.fault == noOpen {
				*n = *NewSender(n.cfg, n.note)
			}
			n.FinishRestore(x.now)
			if x.now >= modelUntil {
				return
			}
			// Who comes again with the same id, while it has patience.
			if s := n.Open(x.now, 1, true, modelUntil); s.Action == Send {
				x.ready, x.ended = true, false
			}
		})
	}
	if w.now < modelEnd {
		next("time passes", func(x *world, _ *Sender, _ *Receiver) { x.now++ })
	}
}

// done is an end that the node gives; who runs it may have died meanwhile.
func (m *model) done(x *world, f *Receiver, try uint32, end Outcome) {
	if e := f.by[1]; e != nil && e.state == running && e.try == try {
		f.Done(x.now, 1, end, []byte("x"))
		if len(x.net) < m.messages {
			x.net = append(x.net, message{kind: 'a', try: try, end: end})
		}
	}
}

// step carries out what the near side wants.
func (m *model) step(x *world, s Step) {
	switch s.Action {
	case Send:
		x.ready = true
	case QueryReceiver:
		if len(x.net) < m.messages {
			x.net = append(x.net, message{kind: 'q', try: s.Attempt, epoch: s.Epoch, at: x.now, age: s.Age})
		}
	case Pass:
		x.passed++
		x.ended = true
	case Refuse:
		x.refused, x.ended, x.ready = true, true, false
	case Fail:
		x.ended = true
	}
}

func (m *model) deliver(x *world, n *Sender, f *Receiver, msg message) {
	epoch := msg.epoch
	if m.fault == noEpoch {
		epoch = f.epoch
	}
	held := x.now - msg.at
	if m.fault == lateIsFine {
		held = 0
	}
	switch msg.kind {
	case 'r':
		before := f.by[1]
		a, t := f.Arrive(x.now, 1, msg.try, epoch, held)
		switch {
		case a == Run:
			x.pending = append(x.pending, msg.try)
			if m.fault == runFirst && x.crashes[1] < m.crashes[1] && before == nil {
				f.drop(f.by[1]) // the crash comes between the run and its record
				x.crashes[1]++
			}
		case a.NeverRuns():
			x.net = append(x.net, message{kind: 'a', try: msg.try, end: NotRun})
		case a == TooLate || a == OldEpoch || a == OutcomeLost:
			x.net = append(x.net, message{kind: 'a', try: msg.try})
		case a == Repeated:
			x.net = append(x.net, message{kind: 'a', try: msg.try, end: t.Outcome})
		}
	case 'a':
		m.step(x, n.Answer(x.now, 1, msg.try, msg.end, []byte("x")))
	case 'q':
		known := f.by[1] != nil
		t := f.Query(x.now, 1, msg.try, epoch, msg.age, held)
		if m.fault == noBar && !known && t.Kind == NeverArrived {
			f.drop(f.by[1])
		}
		if m.fault == lostIsNever && t.Kind == Unknown {
			t = Status{Kind: NeverArrived, Epoch: msg.epoch}
		}
		if m.fault == noEpoch {
			t.Epoch = msg.epoch
		}
		x.net = append(x.net, message{kind: 'w', try: msg.try, tell: t})
	case 'w':
		m.step(x, n.ReceiverStatus(x.now, 1, msg.try, msg.tell))
	}
}

func runModel(f fault, disk bool, near, far, messages int) *model {
	m := &model{fault: f, disk: disk, messages: messages, crashes: [2]int{near, far}, seen: map[string]bool{}}
	w := world{epoch: 1, known: 1, ready: true}
	n, _ := m.sides(&w)
	n.Open(0, 1, true, modelUntil)
	w.near = n.Snapshot()
	m.explore(w)
	return m
}

// In no order of losses, copies, delays and crashes does a request that must not run
// twice run twice, or run after it was refused.
func TestModel(t *testing.T) {
	for _, x := range []struct {
		name      string
		disk      bool
		near, far int
	}{{"no disk, the far side crashes", false, 0, 1}, {"disk, the far side crashes", true, 0, 1}, {"disk, both crash", true, 1, 1}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			m := runModel(none, x.disk, x.near, x.far, 2)
			t.Logf("%d states, %d steps", len(m.seen), m.steps)
			if m.bad != "" || len(m.seen) < 1000 {
				t.Error(len(m.seen), m.bad)
			}
		})
	}
}

// Each rule that is left out is found to be needed.
func TestModelFindsFaults(t *testing.T) {
	for f, disk := range map[fault]bool{noEpoch: false, lostIsNever: false, noBar: true, lateIsFine: true, runFirst: true, noOpen: true} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			near := 0
			if f == noOpen {
				near = 1
			}
			m := runModel(f, disk, near, 1, 2)
			t.Logf("%d states: %.200s", len(m.seen), m.bad)
			if m.bad == "" {
				t.Errorf("not found in %d states", len(m.seen))
			}
		})
	}
}

// BenchmarkModel goes through the model with three messages on their way at once;
// it takes minutes.
func BenchmarkModel(b *testing.B) {
	for range b.N {
		for _, disk := range []bool{false, true} {
			m := runModel(none, disk, 0, 1, 3)
			b.Logf("disk %v: %d states, %d steps", disk, len(m.seen), m.steps)
			if m.bad != "" {
				b.Fatal(m.bad)
			}
		}
	}
}
