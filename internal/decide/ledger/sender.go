package ledger

import (
	"cmp"
	"slices"
)

// Action is what the sender does next with a request.
type Action uint8

// Actions of the sender.
const (
	Nothing       Action = iota // wait, or the event is not for this attempt
	Send                        // another attempt may be sent, here or elsewhere
	QueryReceiver               // query the receiver about the attempt, with its age
	Pass                        // pass the response on
	Fail                        // what became of it can't be known in time
	Refuse                      // it certainly did not run, and no time is left
	Duplicate                   // the id is known already: nothing is sent for it
)

// Step is an action and its parameters.
type Step struct {
	Action  Action
	Attempt uint32
	Epoch   uint64
	Age     Micros // since the attempt was sent
	Outcome Outcome
	Body    []byte
	At      Micros // with QueryReceiver: when to ask
}

// queryInterval is the pause before the sender asks again about an attempt that is running.
const queryInterval = 50_000 // us

// Sender is the ledger of the site that forwards requests.
type Sender struct {
	table
	record     func(Record)
	unexpected int
}

// NewSender returns an empty sender; record is as for NewReceiver.
func NewSender(cfg Config, record func(Record)) *Sender {
	return &Sender{table: newTable(cfg), record: record}
}

// Len returns the number of ids that are remembered.
func (sender *Sender) Len() int { return len(sender.byID) }

// Unexpected counts events that no attempt waits for, or that can't be true.
func (sender *Sender) Unexpected() int { return sender.unexpected }

// Open accepts a request whose client waits until the deadline. Without room for it the request
// is refused; an id that is known already is not forwarded again.
func (sender *Sender) Open(now Micros, id ID, once bool, deadline Micros) Step {
	sender.expire(now)
	switch {
	case sender.byID[id] != nil:
		return Step{Action: Duplicate}
	case len(sender.byID) >= sender.cfg.MaxIDs || deadline <= now:
		return Step{Action: Refuse}
	}
	e := &entry{id: id, once: once, deadline: deadline}
	sender.byID[id] = e
	sender.touch(e, now, true)
	sender.record(Record{Op: OpOpen, ID: id, At: now, Deadline: deadline, Once: once})
	return Step{Action: Send, Attempt: 1}
}

// Dispatch notes that an attempt is about to be sent to a receiver under an epoch. Its record
// must be durable before the first byte is sent.
func (sender *Sender) Dispatch(now Micros, id ID, epoch uint64) (attempt uint32, ok bool) {
	e := sender.byID[id]
	if e == nil || e.state != unsent && e.state != notRun || now >= e.deadline {
		return 0, false
	}
	e.state, e.attempt, e.epoch, e.sentAt = sent, e.attempt+1, epoch, now
	sender.touch(e, now, true)
	sender.record(Record{Op: OpSend, ID: id, Attempt: e.attempt, Epoch: epoch, At: now})
	return e.attempt, true
}

// sentAttempt returns the entry if this attempt is the one that is out, else nil.
func (sender *Sender) sentAttempt(id ID, attempt uint32) *entry {
	if e := sender.byID[id]; e != nil && e.state == sent && e.attempt == attempt {
		return e
	}
	sender.unexpected++
	return nil
}

// Answer handles the outcome of an attempt; if the receiver could not tell it, the receiver is
// queried.
func (sender *Sender) Answer(now Micros, id ID, attempt uint32, outcome Outcome, body []byte) Step {
	e := sender.sentAttempt(id, attempt)
	if e == nil {
		return Step{}
	}
	switch outcome {
	case NotRun:
		return sender.markNotRun(e, now)
	case NoOutcome:
		return sender.AttemptLost(now, id, attempt)
	}
	sender.close(e, now, outcome)
	if outcome == Served {
		return Step{Action: Pass, Attempt: attempt, Outcome: outcome, Body: body}
	}
	return Step{Action: Fail, Attempt: attempt, Outcome: outcome}
}

// markNotRun notes that an attempt did not run.
func (sender *Sender) markNotRun(e *entry, now Micros) Step {
	e.state = notRun
	sender.touch(e, now, true)
	sender.record(Record{Op: OpNotRun, ID: e.id, Attempt: e.attempt, At: now})
	if now >= e.deadline {
		return Step{Action: Refuse, Attempt: e.attempt}
	}
	return Step{Action: Send, Attempt: e.attempt + 1}
}

// AttemptLost decides on an attempt whose connection ended without an outcome. A request that
// may run twice is simply sent again.
func (sender *Sender) AttemptLost(now Micros, id ID, attempt uint32) Step {
	e := sender.sentAttempt(id, attempt)
	switch {
	case e == nil:
		return Step{}
	case now >= e.deadline:
		return sender.GiveUp(now, id)
	case !e.once:
		return sender.markNotRun(e, now)
	}
	return Step{Action: QueryReceiver, Attempt: attempt, Epoch: e.epoch, Age: now - e.sentAt, At: now}
}

// ReceiverStatus handles the receiver's reply to a query about an attempt.
func (sender *Sender) ReceiverStatus(now Micros, id ID, attempt uint32, status Status) Step {
	e := sender.sentAttempt(id, attempt)
	if e == nil {
		return Step{}
	}
	switch {
	case status.Kind == Answered && status.Epoch == e.epoch && status.Outcome == Served && status.BodyKept:
		sender.close(e, now, Served)
		return Step{Action: Pass, Attempt: attempt, Outcome: Served, Body: status.Body}
	case status.Kind == Answered && status.Epoch == e.epoch: // it ran, and its body is gone
		sender.close(e, now, Failed)
		return Step{Action: Fail, Attempt: attempt, Outcome: Failed}
	case status.Kind == NeverArrived && status.Epoch == e.epoch:
		return sender.markNotRun(e, now)
	case status.Kind == Running && status.Epoch == e.epoch:
		if now+queryInterval >= e.deadline {
			return Step{}
		}
		return Step{Action: QueryReceiver, Attempt: attempt, Epoch: e.epoch, Age: now + queryInterval - e.sentAt, At: now + queryInterval}
	case status.Kind == NeverArrived || status.Kind == Answered: // under an epoch in which it was not sent
		sender.unexpected++
	}
	return sender.GiveUp(now, id)
}

// GiveUp ends a request about which nothing more will be known in time: refused if no attempt
// can have run, else failed.
func (sender *Sender) GiveUp(now Micros, id ID) Step {
	e := sender.byID[id]
	if e == nil || e.state == closed {
		return Step{}
	}
	if e.state == unsent || e.state == notRun {
		sender.close(e, now, NotRun)
		return Step{Action: Refuse}
	}
	sender.close(e, now, Failed)
	return Step{Action: Fail, Outcome: Failed}
}

// close ends a request; its id stays for a while, so that it is not forwarded again.
func (sender *Sender) close(e *entry, now Micros, outcome Outcome) {
	e.state, e.outcome = closed, outcome
	sender.touch(e, now, false)
	sender.record(Record{Op: OpClose, ID: e.id, Attempt: e.attempt, At: now, Outcome: outcome})
}

func (sender *Sender) expire(now Micros) {
	for e := sender.expired(now); e != nil; e = sender.expired(now) {
		sender.drop(e)
		sender.record(Record{Op: OpDrop, ID: e.id, At: now})
	}
}

// Apply replays a record of an earlier process. Records are applied in order.
func (sender *Sender) Apply(r Record) {
	e := sender.byID[r.ID]
	switch {
	case r.Op == OpOpen:
		e = &entry{id: r.ID, once: r.Once, deadline: r.Deadline}
		sender.byID[r.ID] = e
		sender.touch(e, r.At, true)
	case e == nil:
	case r.Op == OpDrop:
		sender.drop(e)
	case r.Op == OpSend:
		e.state, e.attempt, e.epoch, e.sentAt = sent, r.Attempt, r.Epoch, r.At
		sender.touch(e, r.At, true)
	case r.Op == OpNotRun:
		e.state, e.attempt = notRun, r.Attempt
		sender.touch(e, r.At, true)
	case r.Op == OpClose:
		e.state, e.attempt, e.outcome = closed, r.Attempt, r.Outcome
		sender.touch(e, r.At, false)
	}
}

// FinishRestore ends the replay of records. The clients of that time are gone, so nothing is
// sent for open requests; they are given up, and their ids stay known. It returns how many may
// have run.
func (sender *Sender) FinishRestore(now Micros) (unclear int) {
	for _, id := range sender.openIDs() {
		if sender.GiveUp(now, id).Action == Fail {
			unclear++
		}
	}
	return unclear
}

// openIDs returns the ids without an outcome, sorted.
func (sender *Sender) openIDs() (ids []ID) {
	for id, e := range sender.byID {
		if e.state != closed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Snapshot returns records that rebuild this sender.
func (sender *Sender) Snapshot() (list []Record) {
	for _, e := range sender.byID {
		list = append(list, Record{Op: OpOpen, ID: e.id, At: e.changedAt, Deadline: e.deadline, Once: e.once})
		if e.attempt > 0 {
			list = append(list, Record{Op: OpSend, ID: e.id, Attempt: e.attempt, Epoch: e.epoch, At: e.sentAt})
		}
		switch e.state {
		case notRun:
			list = append(list, Record{Op: OpNotRun, ID: e.id, Attempt: e.attempt, At: e.changedAt})
		case closed:
			list = append(list, Record{Op: OpClose, ID: e.id, Attempt: e.attempt, At: e.changedAt, Outcome: e.outcome})
		}
	}
	sortRecords(list)
	return list
}

// sortRecords sorts a snapshot: records of one id stay together, ids are ordered by their last
// change, the order in which the lists are built.
func sortRecords(list []Record) {
	last := map[ID]Micros{}
	for _, r := range list {
		last[r.ID] = max(last[r.ID], r.At)
	}
	slices.SortStableFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(last[a.ID], last[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}
