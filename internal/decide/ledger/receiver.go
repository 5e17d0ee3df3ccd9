package ledger

// Arrival is what the far side does with a try that has come.
type Arrival uint8

// What may become of one.
const (
	Run         Arrival = iota // it is to run, once the record is kept
	Repeated                   // it has ended: the same end again
	InProgress                 // it runs; who asks will be told
	OutcomeLost                // it came before, and its end is lost
	TooLate                    // the link held it for too long: this copy will not run
	OldEpoch                   // it was sent to a memory that is gone: this copy will not run
	NoRoom                     // there is none to remember even that it must not run
	Blocked                    // it was told of as never come, or did not run: no copy will run
	Full                       // there is no room to run it: no copy will run
)

// Surely tells whether no copy of a try that got this has run or will, which is
// proof for the near side. A copy that is turned away because it is late or of
// another epoch proves nothing: another may have come before it.
func (a Arrival) NeverRuns() bool { return a >= Blocked }

// Kind is what the far side tells of a try that it is asked for.
type StatusKind uint8

// What it may tell.
const (
	Unknown StatusKind = iota // nothing can be said: it may have run
	Running
	Answered // Kept says whether the bytes are still there
	NeverArrived
)

// Tell is the far side's word.
type Status struct {
	Kind     StatusKind
	Outcome  Outcome
	BodyKept bool
	Body     []byte
	Epoch    uint64 // under which it was said
}

// Far is the side to which requests are carried.
type Receiver struct {
	table
	epoch  uint64
	bodies entry // of the ring of those with bytes, the oldest first
	bytes  int
	note   func(Record)
}

// NewFar makes a far side that remembers nothing, under an epoch that no earlier one
// had. Each change is told to note before the call that makes it returns; the caller
// acts on what was returned only once the record is kept, where it keeps any.
func NewReceiver(cfg Config, epoch uint64, note func(Record)) *Receiver {
	return &Receiver{table: newTable(cfg), epoch: epoch, note: note}
}

// Epoch names this side's memory; the near side sends it with every try.
func (f *Receiver) Epoch() uint64 { return f.epoch }

// Len counts the ids that are remembered.
func (f *Receiver) Len() int { return len(f.by) }

// Arrive decides on a try that has come under an epoch, after the link held it for
// some time more than its quickest.
func (f *Receiver) Arrive(now Micros, id ID, try uint32, epoch uint64, held Micros) (Arrival, Status) {
	f.expire(now)
	e := f.by[id]
	late := held > f.cfg.MaxDelay || held < 0
	switch {
	case epoch != f.epoch:
		return OldEpoch, Status{}
	case e == nil && late:
		return TooLate, Status{}
	case e == nil && len(f.by) >= f.cfg.MaxIDs:
		if !f.bar(now, id, try) {
			return NoRoom, Status{}
		}
		return Full, Status{}
	case e == nil:
		e = &entry{id: id}
		f.by[id] = e
	case e.state == answered:
		return Repeated, f.told(e)
	case e.state == running:
		return InProgress, Status{}
	case e.state == uncertain:
		return OutcomeLost, Status{}
	case try <= e.try: // barred
		return Blocked, Status{}
	case late:
		return TooLate, Status{}
	}
	e.state, e.try = running, try
	f.touch(e, now, true)
	f.note(Record{Op: OpRun, ID: id, Attempt: try, Epoch: f.epoch, At: now})
	return Run, Status{}
}

// Done notes a run's end. A try that did not run is barred, so that no copy of it
// does later.
func (f *Receiver) Done(now Micros, id ID, end Outcome, body []byte) {
	e := f.by[id]
	if e == nil || e.state != running {
		return
	}
	kept := end == Served && len(body) <= f.cfg.MaxBodyBytes
	if !kept {
		body = nil
	}
	f.done(e, now, end, body, kept)
	f.note(Record{Op: OpDone, ID: id, Attempt: e.try, Epoch: f.epoch, At: now, Outcome: end, Body: body, BodyKept: kept})
}

func (f *Receiver) done(e *entry, now Micros, end Outcome, body []byte, kept bool) {
	e.state, e.end = answered, end
	if end == NotRun {
		e.state, e.end = barred, NoOutcome
	}
	if kept {
		e.body = body
		f.bytes += len(body)
		ring := &f.bodies
		if ring.older == nil {
			ring.older, ring.newer = ring, ring
		}
		e.older, e.newer = ring.older, ring
		e.older.newer, ring.older = e, e
		for f.bytes > f.cfg.MaxBodyBytes {
			f.strip(ring.newer)
		}
	}
	f.touch(e, now, false)
}

// strip takes an entry's bytes away, if it has any.
func (f *Receiver) strip(e *entry) {
	if e.newer == nil {
		return
	}
	e.older.newer, e.newer.older = e.newer, e.older
	e.older, e.newer = nil, nil
	f.bytes -= len(e.body)
	e.body = nil
}

// Ask tells what became of a try that was sent under an epoch, some time before the
// question was, by the near side's clock; the link held the question for some time
// more than its quickest. A try that never came is barred by being asked for.
func (f *Receiver) Query(now Micros, id ID, try uint32, epoch uint64, age, held Micros) Status {
	f.expire(now)
	e := f.by[id]
	switch {
	case epoch != f.epoch || age < 0 || held < 0 || held > f.cfg.MaxDelay:
		return Status{Epoch: f.epoch}
	case e == nil && age+2*f.cfg.MaxDelay > f.cfg.Retention:
		return Status{Epoch: f.epoch} // it may have been forgotten
	case e != nil && e.state != barred:
		return f.told(e)
	}
	if !f.bar(now, id, try) {
		return Status{Epoch: f.epoch}
	}
	return Status{Kind: NeverArrived, Epoch: f.epoch}
}

// barsEach is the ids for each of which one more may be remembered as barred, when
// nothing more may run.
const barsEach = 4

// bar has a try, and those before it, never run. It tells whether there is room to
// remember that.
func (f *Receiver) bar(now Micros, id ID, try uint32) bool {
	e := f.by[id]
	if e == nil {
		if len(f.by) > f.cfg.MaxIDs+f.cfg.MaxIDs/barsEach {
			return false
		}
		e = &entry{id: id, state: barred}
		f.by[id] = e
	}
	e.try = max(e.try, try)
	f.touch(e, now, false)
	f.note(Record{Op: OpBlock, ID: id, Attempt: e.try, Epoch: f.epoch, At: now})
	return true
}

func (f *Receiver) told(e *entry) Status {
	t := Status{Epoch: f.epoch}
	switch e.state {
	case running:
		t.Kind = Running
	case answered:
		t.Kind, t.Outcome, t.Body, t.BodyKept = Answered, e.end, e.body, e.end != Served || e.newer != nil
	}
	return t
}

// expire forgets ids that nobody can ask for any more.
func (f *Receiver) expire(now Micros) {
	for e := f.due(now); e != nil; e = f.due(now) {
		f.forget(e)
		f.note(Record{Op: OpDrop, ID: e.id, At: now})
	}
}

func (f *Receiver) forget(e *entry) {
	f.strip(e)
	f.drop(e)
}

// Apply takes in a record of an earlier life under the same epoch, in order.
func (f *Receiver) Apply(r Record) {
	if r.Epoch != f.epoch && r.Op != OpDrop {
		return // of a memory that was lost
	}
	e := f.by[r.ID]
	if r.Op == OpDrop {
		if e != nil {
			f.forget(e)
		}
		return
	}
	if e == nil {
		e = &entry{id: r.ID}
		f.by[r.ID] = e
	}
	e.try = r.Attempt
	switch r.Op {
	case OpRun:
		e.state = running
		f.touch(e, r.At, true)
	case OpBlock:
		e.state = barred
		f.touch(e, r.At, false)
	case OpDone:
		f.done(e, r.At, r.Outcome, r.Body, r.BodyKept)
	}
}

// Restored ends the taking in of records: what ran then has no end that is known.
func (f *Receiver) FinishRestore(now Micros) {
	for _, e := range f.by {
		if e.state == running {
			e.state = uncertain
			f.touch(e, now, false)
		}
	}
}

// Snapshot gives records that build this side again, in the order of their moments.
func (f *Receiver) Snapshot() (list []Record) {
	for _, e := range f.by {
		r := Record{Op: OpRun, ID: e.id, Attempt: e.try, Epoch: f.epoch, At: e.at}
		switch e.state {
		case barred:
			r.Op = OpBlock
		case answered:
			r.Op, r.Outcome, r.Body, r.BodyKept = OpDone, e.end, e.body, e.newer != nil
		}
		list = append(list, r)
	}
	sortRecords(list)
	return list
}
