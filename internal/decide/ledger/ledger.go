// Package ledger keeps what ran of the requests that one site carries to another,
// on both sides, so that what must not run twice does not: neither when an answer is
// lost on its way back, nor when a front dies with what it knew.
//
// Three words hold for every try on the near side: unsent, sent, proven not to have
// run. Only the first and the last allow another. Proof is the far side's word, and
// it is worth something because the far side keeps it: when it says that a try never
// came, it bars that try, and a copy of it that still comes late is turned away. A
// far side that has lost its memory has another epoch, under which nothing that was
// sent before can run and nothing can be proven about it.
//
// Nothing here does I/O or asks a clock. Each change comes with a Record; who keeps
// the records before acting on a change can build the ledger again from them. The
// two sites' clocks are never compared: only spans cross, and the link tells for how
// long it held something back.
package ledger

import "fmt"

// Micros is a moment or a span in microseconds, by the clock of one site.
type Micros = int64

// ID is a request's id as its client gave it: 16 hex digits.
type ID uint64

// End is what became of a request at a node.
type Outcome uint8

// The ends.
const (
	NoOutcome Outcome = iota
	Served            // with its bytes
	Failed            // it may have run
	NotRun            // surely not: refused, missed, stale, or never written whole
)

// Op is what a record tells.
type Op uint8

// The records' operations. Those of the near side come first.
const (
	OpOpen   Op = iota + 1 // near: a request is to be carried
	OpSend                 // near: a try is about to leave
	OpNotRun               // near: the try did not run
	OpClose                // near: its end is known, or its client has gone without one
	OpRun                  // far: a try is about to run
	OpBlock                // far: a try must never run
	OpDone                 // far: a try's end
	OpDrop                 // either: it is forgotten
)

// Record is a change. Kept in order, records build a ledger again.
type Record struct {
	Op       Op
	ID       ID
	Attempt  uint32 `cbor:"Try"` // from 1 on
	Epoch    uint64 // of the far side
	At       Micros
	Deadline Micros  `cbor:"Until"` // near: until when the client waits
	Once     bool    // near: it must not run twice
	Outcome  Outcome `cbor:"End"`
	Body     []byte  // far: of an answer whose bytes are
	BodyKept bool    `cbor:"Kept"`
}

// Config bounds a ledger.
type Config struct {
	MaxIDs       int    // ids remembered; when they are, nothing more is taken
	MaxBodyBytes int    // of answers, on the far side; the oldest lose theirs first
	Retention    Micros // for which an id is remembered after it last changed
	MaxDelay     Micros // by which a link may be late; what it held for longer does not count as come
}

// Check names what no ledger can have. A client's longest patience belongs to Keep:
// an id must outlive all that may still be asked or come.
func (c Config) Check() error {
	switch {
	case c.MaxIDs < 1 || c.MaxBodyBytes < 0:
		return fmt.Errorf("ledger: %d ids and %d bytes", c.MaxIDs, c.MaxBodyBytes)
	case c.MaxDelay <= 0 || c.Retention <= 3*c.MaxDelay:
		return fmt.Errorf("ledger: ids kept for %d us with delays of up to %d: more than three of these are needed", c.Retention, c.MaxDelay)
	}
	return nil
}

// entry is one id. Near and far use their own parts of it.
type entry struct {
	id         ID
	try        uint32
	state      state
	end        Outcome
	once       bool
	at         Micros // when it last changed
	epoch      uint64
	sent       Micros // near: when the try left
	until      Micros
	body       []byte
	prev, next *entry // by when they changed, the longest ago first

	older, newer *entry // far: of those whose bytes are kept
}

type state uint8

const (
	unsent state = iota
	sent
	proven
	closed
	running
	barred
	answered
	uncertain // it ran, or not; what knew is lost
)

// table is entries by id and by when they last changed. Those that may not be
// forgotten stand apart, in no list.
type table struct {
	cfg  Config
	by   map[ID]*entry
	head entry // of the ring
}

func newTable(cfg Config) table { return table{cfg: cfg, by: map[ID]*entry{}} }

func (t *table) link(e *entry) {
	if t.head.next == nil {
		t.head.next, t.head.prev = &t.head, &t.head
	}
	e.prev, e.next = t.head.prev, &t.head
	e.prev.next, e.next.prev = e, e
}

func (t *table) unlink(e *entry) {
	if e.next != nil {
		e.prev.next, e.next.prev = e.next, e.prev
		e.prev, e.next = nil, nil
	}
}

// touch notes a change of an entry; one that lasts is not forgotten by time.
func (t *table) touch(e *entry, now Micros, lasts bool) {
	t.unlink(e)
	e.at = now
	if !lasts {
		t.link(e)
	}
}

// due gives the entry that has been there longest since it changed, if it may go.
func (t *table) due(now Micros) *entry {
	if e := t.head.next; e != nil && e != &t.head && now-e.at > t.cfg.Retention {
		return e
	}
	return nil
}

func (t *table) drop(e *entry) {
	t.unlink(e)
	delete(t.by, e.id)
}
