// Package ledger records, at both sites, the requests that one site forwards to another, so
// that a request that must not run twice does not: neither when a response is lost on its way
// back, nor when a front dies with its state.
//
// On the sending side an attempt is unsent, sent, or proven not to have run. Only in the first
// and the last state may another attempt be sent. The receiving side gives the proof, and can
// because it remembers it: when it reports that an attempt never arrived, it blocks that
// attempt, and a copy that still arrives later is rejected. A receiver that has lost its state
// starts a new epoch, under which nothing that was sent before can run and nothing can be
// proven about it.
//
// The package does no I/O and reads no clock. Each change comes with a Record; a caller that
// persists the records before acting on a change can rebuild the ledger from them. The two
// sites' clocks are never compared: only spans are exchanged, and the link reports for how long
// it held a message back.
package ledger

import "fmt"

// Micros is a moment or a span in microseconds, by the clock of one site.
type Micros = int64

// ID is a request's id as its client gave it: 16 hex digits.
type ID uint64

// Outcome is what became of a request at a node.
type Outcome uint8

// Outcomes.
const (
	NoOutcome Outcome = iota
	Served            // with its body
	Failed            // it may have run
	NotRun            // certainly not run: refused, missed, stale, or never written whole
)

// Op is the operation that a record describes.
type Op uint8

// Operations of records, the sender's first.
const (
	OpOpen   Op = iota + 1 // sender: a request was accepted for forwarding
	OpSend                 // sender: an attempt is about to be sent
	OpNotRun               // sender: the attempt did not run
	OpClose                // sender: the outcome is known, or the client has gone without one
	OpRun                  // receiver: an attempt is about to run
	OpBlock                // receiver: an attempt must never run
	OpDone                 // receiver: the outcome of an attempt
	OpDrop                 // both: the id is forgotten
)

// Record is one change of a ledger. Replaying all records in order rebuilds it. The tags keep
// the names under which the fields were first encoded.
type Record struct {
	Op       Op
	ID       ID
	Attempt  uint32 `cbor:"Try"` // counts from 1
	Epoch    uint64 // of the receiver
	At       Micros
	Deadline Micros  `cbor:"Until"` // sender: until when the client waits
	Once     bool    // sender: it must not run twice
	Outcome  Outcome `cbor:"End"`
	Body     []byte  // receiver: of a response whose body is kept
	BodyKept bool    `cbor:"Kept"`
}

// Config holds the limits of a ledger.
type Config struct {
	MaxIDs       int    // ids remembered; at this limit no more requests are accepted
	MaxBodyBytes int    // of kept responses, at the receiver; the oldest bodies are dropped first
	Retention    Micros // how long an id is remembered after its last change
	MaxDelay     Micros // longest delay of the link; what it held for longer is treated as not arrived
}

// Check returns an error for limits that no ledger can work with. Retention has to cover the
// longest deadline of a client: an id must outlive everything that may still be asked about or
// arrive.
func (c Config) Check() error {
	switch {
	case c.MaxIDs < 1 || c.MaxBodyBytes < 0:
		return fmt.Errorf("ledger: %d ids and %d bytes", c.MaxIDs, c.MaxBodyBytes)
	case c.MaxDelay <= 0 || c.Retention <= 3*c.MaxDelay:
		return fmt.Errorf("ledger: ids kept for %d us with delays of up to %d: more than three of these are needed", c.Retention, c.MaxDelay)
	}
	return nil
}

// entry is one id. Sender and Receiver each use their own fields of it.
type entry struct {
	id         ID
	attempt    uint32
	state      state
	outcome    Outcome
	once       bool
	changedAt  Micros // last change
	epoch      uint64
	sentAt     Micros // sender: when the attempt was sent
	deadline   Micros
	body       []byte
	prev, next *entry // by last change, the oldest first

	older, newer *entry // receiver: list of the entries whose bodies are kept
}

type state uint8

const (
	unsent state = iota
	sent
	notRun
	closed
	running
	blocked
	answered
	uncertain // it may have run; the process that knew is gone
)

// table holds entries by id and by last change. Entries that must not be forgotten are in no
// list.
type table struct {
	cfg  Config
	byID map[ID]*entry
	head entry // of the circular list
}

func newTable(cfg Config) table { return table{cfg: cfg, byID: map[ID]*entry{}} }

func (table *table) link(e *entry) {
	if table.head.next == nil {
		table.head.next, table.head.prev = &table.head, &table.head
	}
	e.prev, e.next = table.head.prev, &table.head
	e.prev.next, e.next.prev = e, e
}

func (table *table) unlink(e *entry) {
	if e.next != nil {
		e.prev.next, e.next.prev = e.next, e.prev
		e.prev, e.next = nil, nil
	}
}

// touch notes a change of an entry; a pinned entry does not expire.
func (table *table) touch(e *entry, now Micros, pinned bool) {
	table.unlink(e)
	e.changedAt = now
	if !pinned {
		table.link(e)
	}
}

// expired returns the entry with the oldest change if its retention is over, else nil.
func (table *table) expired(now Micros) *entry {
	if e := table.head.next; e != nil && e != &table.head && now-e.changedAt > table.cfg.Retention {
		return e
	}
	return nil
}

func (table *table) drop(e *entry) {
	table.unlink(e)
	delete(table.byID, e.id)
}
