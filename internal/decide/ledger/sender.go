package ledger

import (
	"cmp"
	"slices"
)

// Do is what the near side does next with a request.
type Action uint8

// What it may do.
const (
	Nothing       Action = iota // it waits, or what came is not for it
	Send                        // another try may go, here or elsewhere
	QueryReceiver               // the far side is to be asked for the try, with the age
	Pass                        // the answer is to be passed on
	Fail                        // what became of it can't be known in time
	Refuse                      // it surely did not run, and no time is left
	Duplicate                   // an id that is known already: nothing is sent for it
)

// Step is what is to be done, and with what.
type Step struct {
	Action  Action
	Attempt uint32
	Epoch   uint64
	Age     Micros // since the try left
	Outcome Outcome
	Body    []byte
	At      Micros // with AskFar: when
}

// askPause is how long the near side waits before it asks again for what runs.
const askPause = 50_000 // us

// Near is the side that carries requests away.
type Sender struct {
	table
	note   func(Record)
	strays int
}

// NewNear makes a near side that remembers nothing; note is as for NewFar.
func NewSender(cfg Config, note func(Record)) *Sender {
	return &Sender{table: newTable(cfg), note: note}
}

// Len counts the ids that are remembered.
func (n *Sender) Len() int { return len(n.by) }

// Strays counts what came that no try waits for, or that can't be true.
func (n *Sender) Unexpected() int { return n.strays }

// Open takes in a request whose client waits until a moment. Where there is no room
// it is refused; an id that is known already is not carried again.
func (n *Sender) Open(now Micros, id ID, once bool, until Micros) Step {
	n.expire(now)
	switch {
	case n.by[id] != nil:
		return Step{Action: Duplicate}
	case len(n.by) >= n.cfg.MaxIDs || until <= now:
		return Step{Action: Refuse}
	}
	e := &entry{id: id, once: once, until: until}
	n.by[id] = e
	n.touch(e, now, true)
	n.note(Record{Op: OpOpen, ID: id, At: now, Deadline: until, Once: once})
	return Step{Action: Send, Attempt: 1}
}

// Leave notes that a try is about to leave for a far side under an epoch. It must be
// kept before the first byte goes.
func (n *Sender) Dispatch(now Micros, id ID, epoch uint64) (try uint32, ok bool) {
	e := n.by[id]
	if e == nil || e.state != unsent && e.state != proven || now >= e.until {
		return 0, false
	}
	e.state, e.try, e.epoch, e.sent = sent, e.try+1, epoch, now
	n.touch(e, now, true)
	n.note(Record{Op: OpSend, ID: id, Attempt: e.try, Epoch: epoch, At: now})
	return e.try, true
}

// out gives the try that is out, if this is it.
func (n *Sender) out(id ID, try uint32) *entry {
	if e := n.by[id]; e != nil && e.state == sent && e.try == try {
		return e
	}
	n.strays++
	return nil
}

// Answer takes in a try's end; where the far side could not tell one, it is asked.
func (n *Sender) Answer(now Micros, id ID, try uint32, end Outcome, body []byte) Step {
	e := n.out(id, try)
	if e == nil {
		return Step{}
	}
	switch end {
	case NotRun:
		return n.prove(e, now)
	case NoOutcome:
		return n.AttemptLost(now, id, try)
	}
	n.close(e, now, end)
	if end == Served {
		return Step{Action: Pass, Attempt: try, Outcome: end, Body: body}
	}
	return Step{Action: Fail, Attempt: try, Outcome: end}
}

// prove notes that a try did not run.
func (n *Sender) prove(e *entry, now Micros) Step {
	e.state = proven
	n.touch(e, now, true)
	n.note(Record{Op: OpNotRun, ID: e.id, Attempt: e.try, At: now})
	if now >= e.until {
		return Step{Action: Refuse, Attempt: e.try}
	}
	return Step{Action: Send, Attempt: e.try + 1}
}

// Lost says what to do about a try whose connection has ended without its end. What
// may run twice is simply sent again.
func (n *Sender) AttemptLost(now Micros, id ID, try uint32) Step {
	e := n.out(id, try)
	switch {
	case e == nil:
		return Step{}
	case now >= e.until:
		return n.GiveUp(now, id)
	case !e.once:
		return n.prove(e, now)
	}
	return Step{Action: QueryReceiver, Attempt: try, Epoch: e.epoch, Age: now - e.sent, At: now}
}

// Told takes in the far side's word on a try that was asked for.
func (n *Sender) ReceiverStatus(now Micros, id ID, try uint32, t Status) Step {
	e := n.out(id, try)
	if e == nil {
		return Step{}
	}
	switch {
	case t.Kind == Answered && t.Epoch == e.epoch && t.Outcome == Served && t.BodyKept:
		n.close(e, now, Served)
		return Step{Action: Pass, Attempt: try, Outcome: Served, Body: t.Body}
	case t.Kind == Answered && t.Epoch == e.epoch: // it ran, and its bytes are gone
		n.close(e, now, Failed)
		return Step{Action: Fail, Attempt: try, Outcome: Failed}
	case t.Kind == NeverArrived && t.Epoch == e.epoch:
		return n.prove(e, now)
	case t.Kind == Running && t.Epoch == e.epoch:
		if now+askPause >= e.until {
			return Step{}
		}
		return Step{Action: QueryReceiver, Attempt: try, Epoch: e.epoch, Age: now + askPause - e.sent, At: now + askPause}
	case t.Kind == NeverArrived || t.Kind == Answered: // under an epoch in which it was not sent
		n.strays++
	}
	return n.GiveUp(now, id)
}

// GiveUp ends a request that nothing more will be known of in time: refused where no
// try can have run, else failed.
func (n *Sender) GiveUp(now Micros, id ID) Step {
	e := n.by[id]
	if e == nil || e.state == closed {
		return Step{}
	}
	if e.state == unsent || e.state == proven {
		n.close(e, now, NotRun)
		return Step{Action: Refuse}
	}
	n.close(e, now, Failed)
	return Step{Action: Fail, Outcome: Failed}
}

// close ends a request; its id stays for a while, so that it is not carried again.
func (n *Sender) close(e *entry, now Micros, end Outcome) {
	e.state, e.end = closed, end
	n.touch(e, now, false)
	n.note(Record{Op: OpClose, ID: e.id, Attempt: e.try, At: now, Outcome: end})
}

func (n *Sender) expire(now Micros) {
	for e := n.due(now); e != nil; e = n.due(now) {
		n.drop(e)
		n.note(Record{Op: OpDrop, ID: e.id, At: now})
	}
}

// Apply takes in a record of an earlier life, in order.
func (n *Sender) Apply(r Record) {
	e := n.by[r.ID]
	switch {
	case r.Op == OpOpen:
		e = &entry{id: r.ID, once: r.Once, until: r.Deadline}
		n.by[r.ID] = e
		n.touch(e, r.At, true)
	case e == nil:
	case r.Op == OpDrop:
		n.drop(e)
	case r.Op == OpSend:
		e.state, e.try, e.epoch, e.sent = sent, r.Attempt, r.Epoch, r.At
		n.touch(e, r.At, true)
	case r.Op == OpNotRun:
		e.state, e.try = proven, r.Attempt
		n.touch(e, r.At, true)
	case r.Op == OpClose:
		e.state, e.try, e.end = closed, r.Attempt, r.Outcome
		n.touch(e, r.At, false)
	}
}

// Restored ends the taking in of records. The clients of then are gone, so nothing
// is sent for what was open; it is given up, and its ids stay known. It tells how
// many may have run.
func (n *Sender) FinishRestore(now Micros) (unclear int) {
	for _, id := range n.open() {
		if n.GiveUp(now, id).Action == Fail {
			unclear++
		}
	}
	return unclear
}

// open are the ids that have no end, in order.
func (n *Sender) open() (ids []ID) {
	for id, e := range n.by {
		if e.state != closed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Snapshot gives records that build this side again.
func (n *Sender) Snapshot() (list []Record) {
	for _, e := range n.by {
		list = append(list, Record{Op: OpOpen, ID: e.id, At: e.at, Deadline: e.until, Once: e.once})
		if e.try > 0 {
			list = append(list, Record{Op: OpSend, ID: e.id, Attempt: e.try, Epoch: e.epoch, At: e.sent})
		}
		switch e.state {
		case proven:
			list = append(list, Record{Op: OpNotRun, ID: e.id, Attempt: e.try, At: e.at})
		case closed:
			list = append(list, Record{Op: OpClose, ID: e.id, Attempt: e.try, At: e.at, Outcome: e.end})
		}
	}
	sortRecords(list)
	return list
}

// sortRecords orders a snapshot: by id what belongs together, ids by the moment of
// their last change, as lists are built in that order.
func sortRecords(list []Record) {
	last := map[ID]Micros{}
	for _, r := range list {
		last[r.ID] = max(last[r.ID], r.At)
	}
	slices.SortStableFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(last[a.ID], last[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}
