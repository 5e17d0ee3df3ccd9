package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// The model covers one request that must not run twice, its sender and receiver, a node, a link
// that loses, delays, reorders and duplicates messages, crashes of both sides, and time in
// steps. It explores every order of events within its bounds.

// mutation disables one rule of the protocol; the model must detect it.
type mutation string

const (
	noMutation            mutation = ""
	disableEpochCheck     mutation = "epochs are not compared"
	lostMemoryDenies      mutation = "a receiver without its state reports never arrived"
	disableBlocking       mutation = "an attempt that never arrived is not blocked"
	disableDelayCheck     mutation = "messages held for too long are accepted"
	recordAfterRun        mutation = "a run is recorded after it has begun"
	disableSenderRecovery mutation = "the sender forgets sent attempts in a crash"
)

// Bounds of the model. The number of messages in flight at once dominates its size.
const (
	modelDelay, modelKeep, modelDeadline, modelEnd = 1, 4, 3, 6
	modelAttempts, modelCopies                     = 2, 1
)

type message struct {
	kind    byte // request, answer, question (query), word (status)
	attempt uint32
	epoch   uint64
	sentAt  Micros // when it was sent
	age     Micros // of the attempt, with a query
	outcome Outcome
	status  Status
}

// world is a state of the model. Both sides are kept as the records that rebuild them.
type world struct {
	sender, receiver []Record
	epoch            uint64
	knownEpoch       uint64 // epoch that the sender knows
	now              Micros
	net              []message
	pending          []uint32 // attempts that the node has received and not begun
	running          []uint32
	runs             int
	passed           int
	refused          bool
	clientDone       bool // no more is done for the client
	maySend          bool // another attempt may be sent
	copies           int
	crashes          [2]int
}

// key encodes a state for the set of visited ones; all its numbers fit in a byte.
func (w *world) key() string {
	b := make([]byte, 0, 128)
	appendAll := func(figures ...int64) {
		for _, x := range figures {
			b = append(b, byte(x))
		}
	}
	toInt := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	for _, list := range [][]Record{w.sender, w.receiver} {
		appendAll(int64(len(list)))
		for _, r := range list {
			appendAll(int64(r.Op), int64(r.Attempt), int64(r.Epoch), r.At, r.Deadline, int64(r.Outcome), int64(len(r.Body)))
		}
	}
	appendAll(int64(w.epoch), int64(w.knownEpoch), w.now, int64(w.runs), int64(w.passed), toInt(w.refused), toInt(w.clientDone), toInt(w.maySend), int64(w.copies),
		int64(w.crashes[0]), int64(w.crashes[1]), int64(len(w.net)))
	for _, x := range w.net {
		b = x.append(b)
	}
	for _, list := range [][]uint32{w.pending, w.running} {
		appendAll(int64(len(list)))
		for _, attempt := range list {
			appendAll(int64(attempt))
		}
	}
	return string(b)
}

func (m message) append(b []byte) []byte {
	return append(b, m.kind, byte(m.attempt), byte(m.epoch), byte(m.sentAt), byte(m.age), byte(m.outcome), byte(m.status.Kind), byte(m.status.Outcome),
		byte(m.status.Epoch), byte(len(m.status.Body)))
}

type model struct {
	mutation  mutation
	disk      bool
	crashes   [2]int
	messages  int // in flight at once
	visited   map[string]bool
	path      []string
	violation string
	steps     int
}

func (m *model) history() string { return strings.Join(m.path, ", ") }

func (m *model) sides(w *world) (*Sender, *Receiver) {
	cfg := Config{MaxIDs: 4, MaxBodyBytes: 100, Retention: modelKeep, MaxDelay: modelDelay}
	sender, receiver := NewSender(cfg, func(Record) {}), NewReceiver(cfg, w.epoch, func(Record) {})
	for _, r := range w.sender {
		sender.Apply(r)
	}
	for _, r := range w.receiver {
		receiver.Apply(r)
	}
	return sender, receiver
}

// explore visits all successors of a state.
func (m *model) explore(w world) {
	key := w.key()
	if m.violation != "" || m.visited[key] {
		return
	}
	m.visited[key] = true
	switch {
	case w.runs > 1:
		m.violation = "it ran twice: " + m.history()
	case w.refused && w.runs > 0:
		m.violation = "it was refused, and ran: " + m.history()
	case w.passed > 1 || w.passed == 1 && w.runs == 0:
		m.violation = "answers are wrong: " + m.history()
	}
	// next explores the state that results from applying change to copies of both sides.
	next := func(event string, change func(x *world, sender *Sender, receiver *Receiver)) {
		if m.violation != "" {
			return
		}
		m.path = append(m.path, event)
		defer func() { m.path = m.path[:len(m.path)-1] }()
		x := w
		x.net, x.pending, x.running = slices.Clone(w.net), slices.Clone(w.pending), slices.Clone(w.running)
		sender, receiver := m.sides(&w)
		change(&x, sender, receiver)
		x.sender, x.receiver = sender.Snapshot(), receiver.Snapshot()
		slices.SortFunc(x.net, func(a, b message) int { return bytes.Compare(a.append(nil), b.append(nil)) })
		m.steps++
		m.explore(x)
	}
	sender, _ := m.sides(&w)
	e := sender.byID[1]
	if e != nil && w.maySend && e.attempt < modelAttempts {
		next("an attempt is sent", func(x *world, sender *Sender, _ *Receiver) {
			if attempt, ok := sender.Dispatch(x.now, 1, x.knownEpoch); ok {
				x.maySend = false
				x.net = append(x.net, message{kind: 'r', attempt: attempt, epoch: x.knownEpoch, sentAt: x.now})
			}
		})
	}
	if w.knownEpoch != w.epoch {
		next("the sender learns the epoch", func(x *world, _ *Sender, _ *Receiver) { x.knownEpoch = x.epoch })
	}
	if e != nil && e.state == sent && len(w.net) < m.messages && !slices.ContainsFunc(w.net, func(x message) bool { return x.kind == 'q' || x.kind == 'w' }) {
		next("the attempt is lost", func(x *world, sender *Sender, _ *Receiver) {
			m.step(x, sender.AttemptLost(x.now, 1, sender.byID[1].attempt))
		})
	}
	if e != nil && w.now >= modelDeadline && !w.clientDone {
		next("the deadline passes", func(x *world, sender *Sender, _ *Receiver) { m.step(x, sender.GiveUp(x.now, 1)) })
	}
	for i, msg := range w.net {
		next(fmt.Sprintf("arrives %c%d", msg.kind, msg.attempt), func(x *world, sender *Sender, receiver *Receiver) { // it arrives
			x.net = slices.Delete(x.net, i, i+1)
			m.deliver(x, sender, receiver, msg)
		})
		next(fmt.Sprintf("lost %c%d", msg.kind, msg.attempt), func(x *world, _ *Sender, _ *Receiver) { x.net = slices.Delete(x.net, i, i+1) })
		if w.copies < modelCopies && len(w.net) < m.messages {
			next(fmt.Sprintf("duplicated %c%d", msg.kind, msg.attempt), func(x *world, _ *Sender, _ *Receiver) { x.net, x.copies = append(x.net, msg), x.copies+1 })
		}
	}
	for i, attempt := range w.pending { // the node begins it, or rejects it
		next(fmt.Sprint("begins ", attempt), func(x *world, _ *Sender, _ *Receiver) {
			x.pending, x.running, x.runs = slices.Delete(x.pending, i, i+1), append(x.running, attempt), x.runs+1
		})
		next(fmt.Sprint("rejected ", attempt), func(x *world, _ *Sender, receiver *Receiver) {
			x.pending = slices.Delete(x.pending, i, i+1)
			m.done(x, receiver, attempt, NotRun)
		})
	}
	for i, attempt := range w.running {
		next(fmt.Sprint("ends ", attempt), func(x *world, _ *Sender, receiver *Receiver) {
			x.running = slices.Delete(x.running, i, i+1)
			m.done(x, receiver, attempt, Served)
		})
	}
	if w.crashes[1] < m.crashes[1] {
		next("the receiver crashes", func(x *world, _ *Sender, receiver *Receiver) {
			x.crashes[1]++
			if !m.disk {
				x.epoch++
				*receiver = *NewReceiver(receiver.cfg, x.epoch, receiver.record)
				return
			}
			receiver.FinishRestore(x.now)
		})
	}
	if w.crashes[0] < m.crashes[0] {
		next("the sender crashes", func(x *world, sender *Sender, _ *Receiver) {
			x.crashes[0]++
			x.maySend, x.clientDone = false, true // its client is gone
			if m.mutation == disableSenderRecovery {
				*sender = *NewSender(sender.cfg, sender.record)
			}
			sender.FinishRestore(x.now)
			if x.now >= modelDeadline {
				return
			}
			// A client that retries with the same id while it has time left.
			if s := sender.Open(x.now, 1, true, modelDeadline); s.Action == Send {
				x.maySend, x.clientDone = true, false
			}
		})
	}
	if w.now < modelEnd {
		next("time passes", func(x *world, _ *Sender, _ *Receiver) { x.now++ })
	}
}

// done handles an outcome from the node; the receiver that ran it may have crashed meanwhile.
func (m *model) done(state *world, receiver *Receiver, attempt uint32, outcome Outcome) {
	if e := receiver.byID[1]; e != nil && e.state == running && e.attempt == attempt {
		receiver.Done(state.now, 1, outcome, []byte("x"))
		if len(state.net) < m.messages {
			state.net = append(state.net, message{kind: 'a', attempt: attempt, outcome: outcome})
		}
	}
}

// step carries out the sender's action.
func (m *model) step(state *world, s Step) {
	switch s.Action {
	case Send:
		state.maySend = true
	case QueryReceiver:
		if len(state.net) < m.messages {
			state.net = append(state.net, message{kind: 'q', attempt: s.Attempt, epoch: s.Epoch, sentAt: state.now, age: s.Age})
		}
	case Pass:
		state.passed++
		state.clientDone = true
	case Refuse:
		state.refused, state.clientDone, state.maySend = true, true, false
	case Fail:
		state.clientDone = true
	}
}

func (m *model) deliver(state *world, sender *Sender, receiver *Receiver, msg message) {
	epoch := msg.epoch
	if m.mutation == disableEpochCheck {
		epoch = receiver.epoch
	}
	held := state.now - msg.sentAt
	if m.mutation == disableDelayCheck {
		held = 0
	}
	switch msg.kind {
	case 'r':
		before := receiver.byID[1]
		arrival, status := receiver.Arrive(state.now, 1, msg.attempt, epoch, held)
		switch {
		case arrival == Run:
			state.pending = append(state.pending, msg.attempt)
			if m.mutation == recordAfterRun && state.crashes[1] < m.crashes[1] && before == nil {
				receiver.drop(receiver.byID[1]) // the crash comes between the run and its record
				state.crashes[1]++
			}
		case arrival.NeverRuns():
			state.net = append(state.net, message{kind: 'a', attempt: msg.attempt, outcome: NotRun})
		case arrival == TooLate || arrival == OldEpoch || arrival == OutcomeLost:
			state.net = append(state.net, message{kind: 'a', attempt: msg.attempt})
		case arrival == Repeated:
			state.net = append(state.net, message{kind: 'a', attempt: msg.attempt, outcome: status.Outcome})
		}
	case 'a':
		m.step(state, sender.Answer(state.now, 1, msg.attempt, msg.outcome, []byte("x")))
	case 'q':
		known := receiver.byID[1] != nil
		status := receiver.Query(state.now, 1, msg.attempt, epoch, msg.age, held)
		if m.mutation == disableBlocking && !known && status.Kind == NeverArrived {
			receiver.drop(receiver.byID[1])
		}
		if m.mutation == lostMemoryDenies && status.Kind == Unknown {
			status = Status{Kind: NeverArrived, Epoch: msg.epoch}
		}
		if m.mutation == disableEpochCheck {
			status.Epoch = msg.epoch
		}
		state.net = append(state.net, message{kind: 'w', attempt: msg.attempt, status: status})
	case 'w':
		m.step(state, sender.ReceiverStatus(state.now, 1, msg.attempt, msg.status))
	}
}

func runModel(disabled mutation, disk bool, senderCrashes, receiverCrashes, messages int) *model {
	m := &model{mutation: disabled, disk: disk, messages: messages, crashes: [2]int{senderCrashes, receiverCrashes}, visited: map[string]bool{}}
	w := world{epoch: 1, knownEpoch: 1, maySend: true}
	sender, _ := m.sides(&w)
	sender.Open(0, 1, true, modelDeadline)
	w.sender = sender.Snapshot()
	m.explore(w)
	return m
}

// In no order of losses, copies, delays and crashes does a request that must not run twice run
// twice, or run after it was refused.
func TestModel(t *testing.T) {
	for _, x := range []struct {
		name      string
		disk      bool
		near, far int
	}{{"no disk, the receiver crashes", false, 0, 1}, {"disk, the receiver crashes", true, 0, 1}, {"disk, both crash", true, 1, 1}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			m := runModel(noMutation, x.disk, x.near, x.far, 2)
			t.Logf("%d states, %d steps", len(m.visited), m.steps)
			if m.violation != "" || len(m.visited) < 1000 {
				t.Error(len(m.visited), m.violation)
			}
		})
	}
}

// Disabling any one rule makes the model find a violation.
func TestModelDetectsMutations(t *testing.T) {
	for disabled, disk := range map[mutation]bool{disableEpochCheck: false, lostMemoryDenies: false, disableBlocking: true, disableDelayCheck: true, recordAfterRun: true, disableSenderRecovery: true} {
		t.Run(string(disabled), func(t *testing.T) {
			t.Parallel()
			senderCrashes := 0
			if disabled == disableSenderRecovery {
				senderCrashes = 1
			}
			m := runModel(disabled, disk, senderCrashes, 1, 2)
			t.Logf("%d states: %.200s", len(m.visited), m.violation)
			if m.violation == "" {
				t.Errorf("not found in %d states", len(m.visited))
			}
		})
	}
}

// BenchmarkModel explores the model with three messages in flight at once; it takes minutes.
func BenchmarkModel(b *testing.B) {
	for range b.N {
		for _, disk := range []bool{false, true} {
			m := runModel(noMutation, disk, 0, 1, 3)
			b.Logf("disk %v: %d states, %d steps", disk, len(m.visited), m.steps)
			if m.violation != "" {
				b.Fatal(m.violation)
			}
		}
	}
}
