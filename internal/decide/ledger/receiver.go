package ledger

// Arrival is the receiver's decision on an attempt that has arrived.
type Arrival uint8

// Decisions on an attempt.
const (
	Run         Arrival = iota // run it, once the record is persisted
	Repeated                   // it has ended: the same outcome again
	InProgress                 // it is running; the sender may query it
	OutcomeLost                // it arrived before, and its outcome is lost
	TooLate                    // the link held it for too long: this copy will not run
	OldEpoch                   // it was sent under an earlier epoch: this copy will not run
	NoRoom                     // no room to remember even that it must not run
	Blocked                    // reported as never arrived, or it did not run: no copy will run
	Full                       // no room to run it: no copy will run
)

// NeverRuns reports whether no copy of an attempt with this decision has run or will, which is
// proof for the sender. A copy that is rejected as late or for its epoch proves nothing:
// another copy may have arrived before it.
func (a Arrival) NeverRuns() bool { return a >= Blocked }

// StatusKind is what the receiver reports about an attempt that it is asked about.
type StatusKind uint8

// Kinds of status.
const (
	Unknown StatusKind = iota // nothing can be said: it may have run
	Running
	Answered // BodyKept tells whether the body is still there
	NeverArrived
)

// Status is the receiver's reply to a query.
type Status struct {
	Kind     StatusKind
	Outcome  Outcome
	BodyKept bool
	Body     []byte
	Epoch    uint64 // of the receiver when it replied
}

// Receiver is the ledger of the site to which requests are forwarded.
type Receiver struct {
	table
	epoch     uint64
	bodies    entry // circular list of the entries with bodies, the oldest first
	bodyBytes int
	record    func(Record)
}

// NewReceiver returns an empty receiver under an epoch that no earlier one had. Each change is
// passed to record before the call that makes it returns; a caller that persists records acts
// on the result only once the record is durable.
func NewReceiver(cfg Config, epoch uint64, record func(Record)) *Receiver {
	return &Receiver{table: newTable(cfg), epoch: epoch, record: record}
}

// Epoch identifies this receiver's state; the sender sends it with every attempt.
func (receiver *Receiver) Epoch() uint64 { return receiver.epoch }

// Len returns the number of ids that are remembered.
func (receiver *Receiver) Len() int { return len(receiver.byID) }

// Arrive decides on an attempt that has arrived under an epoch. held is how much longer the
// link held it than its quickest transfer takes.
func (receiver *Receiver) Arrive(now Micros, id ID, attempt uint32, epoch uint64, held Micros) (Arrival, Status) {
	receiver.expire(now)
	e := receiver.byID[id]
	tooLate := held > receiver.cfg.MaxDelay || held < 0
	switch {
	case epoch != receiver.epoch:
		return OldEpoch, Status{}
	case e == nil && tooLate:
		return TooLate, Status{}
	case e == nil && len(receiver.byID) >= receiver.cfg.MaxIDs:
		if !receiver.block(now, id, attempt) {
			return NoRoom, Status{}
		}
		return Full, Status{}
	case e == nil:
		e = &entry{id: id}
		receiver.byID[id] = e
	case e.state == answered:
		return Repeated, receiver.status(e)
	case e.state == running:
		return InProgress, Status{}
	case e.state == uncertain:
		return OutcomeLost, Status{}
	case attempt <= e.attempt: // blocked
		return Blocked, Status{}
	case tooLate:
		return TooLate, Status{}
	}
	e.state, e.attempt = running, attempt
	receiver.touch(e, now, true)
	receiver.record(Record{Op: OpRun, ID: id, Attempt: attempt, Epoch: receiver.epoch, At: now})
	return Run, Status{}
}

// Done records the outcome of a run. An attempt that did not run is blocked, so that no copy of
// it runs later.
func (receiver *Receiver) Done(now Micros, id ID, outcome Outcome, body []byte) {
	e := receiver.byID[id]
	if e == nil || e.state != running {
		return
	}
	bodyKept := outcome == Served && len(body) <= receiver.cfg.MaxBodyBytes
	if !bodyKept {
		body = nil
	}
	receiver.finish(e, now, outcome, body, bodyKept)
	receiver.record(Record{Op: OpDone, ID: id, Attempt: e.attempt, Epoch: receiver.epoch, At: now, Outcome: outcome, Body: body, BodyKept: bodyKept})
}

func (receiver *Receiver) finish(e *entry, now Micros, outcome Outcome, body []byte, bodyKept bool) {
	e.state, e.outcome = answered, outcome
	if outcome == NotRun {
		e.state, e.outcome = blocked, NoOutcome
	}
	if bodyKept {
		e.body = body
		receiver.bodyBytes += len(body)
		ring := &receiver.bodies
		if ring.older == nil {
			ring.older, ring.newer = ring, ring
		}
		e.older, e.newer = ring.older, ring
		e.older.newer, ring.older = e, e
		for receiver.bodyBytes > receiver.cfg.MaxBodyBytes {
			receiver.dropBody(ring.newer)
		}
	}
	receiver.touch(e, now, false)
}

// dropBody drops the body of an entry, if it has one.
func (receiver *Receiver) dropBody(e *entry) {
	if e.newer == nil {
		return
	}
	e.older.newer, e.newer.older = e.newer, e.older
	e.older, e.newer = nil, nil
	receiver.bodyBytes -= len(e.body)
	e.body = nil
}

// Query reports what became of an attempt that was sent under an epoch. age is the time from
// the attempt to the query by the sender's clock; held is how much longer the link held the
// query than its quickest transfer takes. Querying an attempt that never arrived blocks it.
func (receiver *Receiver) Query(now Micros, id ID, attempt uint32, epoch uint64, age, held Micros) Status {
	receiver.expire(now)
	e := receiver.byID[id]
	switch {
	case epoch != receiver.epoch || age < 0 || held < 0 || held > receiver.cfg.MaxDelay:
		return Status{Epoch: receiver.epoch}
	case e == nil && age+2*receiver.cfg.MaxDelay > receiver.cfg.Retention:
		return Status{Epoch: receiver.epoch} // it may have been forgotten
	case e != nil && e.state != blocked:
		return receiver.status(e)
	}
	if !receiver.block(now, id, attempt) {
		return Status{Epoch: receiver.epoch}
	}
	return Status{Kind: NeverArrived, Epoch: receiver.epoch}
}

// blockedDivisor allows one more blocked id to be remembered for each so many ids, once nothing
// more may run.
const blockedDivisor = 4

// block prevents an attempt, and those before it, from ever running. It returns false if there
// is no room to remember that.
func (receiver *Receiver) block(now Micros, id ID, attempt uint32) bool {
	e := receiver.byID[id]
	if e == nil {
		if len(receiver.byID) > receiver.cfg.MaxIDs+receiver.cfg.MaxIDs/blockedDivisor {
			return false
		}
		e = &entry{id: id, state: blocked}
		receiver.byID[id] = e
	}
	e.attempt = max(e.attempt, attempt)
	receiver.touch(e, now, false)
	receiver.record(Record{Op: OpBlock, ID: id, Attempt: e.attempt, Epoch: receiver.epoch, At: now})
	return true
}

func (receiver *Receiver) status(e *entry) Status {
	status := Status{Epoch: receiver.epoch}
	switch e.state {
	case running:
		status.Kind = Running
	case answered:
		status.Kind, status.Outcome, status.Body, status.BodyKept = Answered, e.outcome, e.body, e.outcome != Served || e.newer != nil
	}
	return status
}

// expire forgets ids that nobody can ask about any more.
func (receiver *Receiver) expire(now Micros) {
	for e := receiver.expired(now); e != nil; e = receiver.expired(now) {
		receiver.forget(e)
		receiver.record(Record{Op: OpDrop, ID: e.id, At: now})
	}
}

func (receiver *Receiver) forget(e *entry) {
	receiver.dropBody(e)
	receiver.drop(e)
}

// Apply replays a record of an earlier process under the same epoch. Records are applied in
// order.
func (receiver *Receiver) Apply(r Record) {
	if r.Epoch != receiver.epoch && r.Op != OpDrop {
		return // of a state that was lost
	}
	e := receiver.byID[r.ID]
	if r.Op == OpDrop {
		if e != nil {
			receiver.forget(e)
		}
		return
	}
	if e == nil {
		e = &entry{id: r.ID}
		receiver.byID[r.ID] = e
	}
	e.attempt = r.Attempt
	switch r.Op {
	case OpRun:
		e.state = running
		receiver.touch(e, r.At, true)
	case OpBlock:
		e.state = blocked
		receiver.touch(e, r.At, false)
	case OpDone:
		receiver.finish(e, r.At, r.Outcome, r.Body, r.BodyKept)
	}
}

// FinishRestore ends the replay of records: what was running then has no known outcome.
func (receiver *Receiver) FinishRestore(now Micros) {
	for _, e := range receiver.byID {
		if e.state == running {
			e.state = uncertain
			receiver.touch(e, now, false)
		}
	}
}

// Snapshot returns records that rebuild this receiver, in the order of their moments.
func (receiver *Receiver) Snapshot() (list []Record) {
	for _, e := range receiver.byID {
		r := Record{Op: OpRun, ID: e.id, Attempt: e.attempt, Epoch: receiver.epoch, At: e.changedAt}
		switch e.state {
		case blocked:
			r.Op = OpBlock
		case answered:
			r.Op, r.Outcome, r.Body, r.BodyKept = OpDone, e.outcome, e.body, e.newer != nil
		}
		list = append(list, r)
	}
	sortRecords(list)
	return list
}
