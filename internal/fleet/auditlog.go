package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherryramp/internal/decide/audit"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/fleet/consensus"
	"cherryramp/internal/journal"
)

// book is this front's audit: its chain, on disk.
type book struct {
	chain    audit.Chain
	disk     *journal.Journal
	path     string
	notes    rollout.ActivationRecord
	seq      uint64 // of the last record that is durable
	head     string
	closed   int64  // when records were last closed
	anchored uint64 // records up to here are known to the log
	events   bool   // there are records since the last anchor that are none
	contact  bool
	out      bool
	shrinks  bool
	failed   bool
	held     [][]byte // records that came while the file is made smaller
	heldNext []func(error)
	began    string // why the chain begins anew; empty: it goes on
}

// What a record of the audit's journal is, by its first byte.
const (
	bookRecord byte = iota + 1
	bookNotes
)

const (
	closeEvery = 1_000_000 // us between records of requests
	mostBook   = 8 << 20   // bytes of the audit, from which on it is made smaller
	mostHeld   = 1 << 20
	gatherFor  = 3 * time.Second // for the answers of other fronts
	mostAnswer = 512 << 10
	mostAsks   = 8
)

// openBook reads the audit back. One that is damaged is put aside, and told: the
// chain begins anew, which the fleet sees as a hole.
func (f *Fleet) openBook() error {
	b := &f.book
	b.path = filepath.Join(f.cfg.Folder, "audit")
	read := func() error {
		b.chain, b.notes = audit.Chain{}, rollout.ActivationRecord{}
		var torn int64
		var err error
		b.disk, torn, err = journal.Open(b.path, mostWrites, f.loop.Post, func(record []byte) error {
			if len(record) == 0 {
				return errors.New("an empty record")
			}
			switch record[0] {
			case bookRecord:
				r, err := audit.Decode(record[1:])
				if err != nil {
					return err
				}
				if r.Kind == audit.KindAnchor {
					b.anchored = r.Seen
				}
				return b.chain.Replay(&r)
			case bookNotes:
				return cbor.Unmarshal(record[1:], &b.notes)
			}
			return fmt.Errorf("a record of kind %d", record[0])
		})
		if torn > 0 {
			f.log.Warn("fleet: the audit had a torn end, which is cut off", "bytes", torn)
		}
		return err
	}
	err := read()
	if err != nil {
		aside := fmt.Sprintf("%s.damaged-%d", b.path, time.Now().Unix())
		f.log.Error("fleet: the audit is damaged; it is put aside and begins anew", "error", err, "aside", aside)
		b.began = "the one before is damaged: " + err.Error()
		if err := os.Rename(b.path, aside); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		if err := read(); err != nil {
			return err
		}
	}
	b.seq, b.head = b.chain.Seq(), headOf(b.chain.Head())
	f.ver.taker = rollout.NewApplier(b.notes)
	return nil
}

// beginBook notes that this process begins.
func (f *Fleet) beginBook() {
	f.book.chain.SetClasses(f.host.Classes())
	f.write1(audit.Record{Kind: audit.KindStarted, ID: f.node.ID(), Start: f.cfg.Start, Text: f.book.began})
	f.versions()
}

func (f *Fleet) moment() audit.Timestamp {
	return audit.Timestamp{At: f.loop.Now(), Fleet: f.node.Replica().State().Now, Index: f.node.Applied()}
}

// write1 adds a record, those of the requests before it first.
func (f *Fleet) write1(r audit.Record) {
	if f.book.disk == nil || f.node == nil {
		return
	}
	f.closeRecords()
	f.record(f.book.chain.Append(r, f.moment()))
}

// closeRecords puts the requests counted into records.
func (f *Fleet) closeRecords() {
	f.book.closed = f.loop.Now()
	for _, r := range f.book.chain.Flush(f.moment()) {
		f.record(r)
	}
}

// record keeps a record. Its place in the chain is told to the fleet once it is durable.
func (f *Fleet) record(r *audit.Record) {
	b := &f.book
	b.events = b.events || r.Kind != audit.KindAnchor
	seq, head := r.Seq, headOf(r.Digest())
	f.keep(append([]byte{bookRecord}, r.Encode()...), func(err error) {
		if err != nil {
			if !b.failed {
				b.failed = true
				f.log.Error("fleet: the audit is not kept: what is lost shows as a hole", "record", seq, "error", err)
			}
			return
		}
		b.failed = false
		if seq > b.seq {
			b.seq, b.head = seq, head
		}
	})
}

// note keeps a note of the version that is taken up.
func (f *Fleet) note(n rollout.ActivationRecord, kept func(error)) {
	b, err := cbor.Marshal(n)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // plain values always encode
	}
	f.book.notes = n
	f.keep(append([]byte{bookNotes}, b...), kept)
}

// keep appends to the audit's journal; while that is made smaller it waits.
func (f *Fleet) keep(record []byte, kept func(error)) {
	b := &f.book
	if b.shrinks {
		b.held, b.heldNext = append(b.held, record), append(b.heldNext, kept)
		return
	}
	b.disk.Append(record, kept)
	if b.disk.Size() > mostBook {
		f.shrink()
	}
}

// shrink makes the audit smaller, beside the loop: the file is read, and begun anew
// with fewer bytes for the older half.
func (f *Fleet) shrink() {
	b := &f.book
	b.shrinks = true
	upTo, notes := b.chain.Seq(), b.notes
	b.disk.Append(append([]byte{bookNotes}, encodeNotes(notes)...), func(error) { // all before it is durable now
		go func() {
			var records []audit.Record
			err := journal.Scan(b.path, func(raw []byte) error {
				if raw[0] != bookRecord {
					return nil
				}
				r, err := audit.Decode(raw[1:])
				records = append(records, r)
				return err
			})
			var image [][]byte
			for _, r := range audit.Compact(records) {
				image = append(image, append([]byte{bookRecord}, r.Encode()...))
			}
			image = append(image, append([]byte{bookNotes}, encodeNotes(notes)...))
			f.loop.Post(func() {
				if err != nil || len(records) == 0 || records[len(records)-1].Seq != upTo {
					f.log.Error("fleet: the audit is not made smaller", "error", err)
					f.resume()
					return
				}
				b.disk.Rewrite(image, func(err error) {
					if err != nil {
						f.log.Error("fleet: the audit is not made smaller", "error", err)
					}
				})
				f.resume()
			})
		}()
	})
}

func encodeNotes(n rollout.ActivationRecord) []byte {
	b, err := cbor.Marshal(n)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err))
	}
	return b
}

// resume appends what came while the audit was made smaller.
func (f *Fleet) resume() {
	b := &f.book
	b.shrinks = false
	held, next := b.held, b.heldNext
	b.held, b.heldNext = nil, nil
	for i, r := range held {
		b.disk.Append(r, next[i])
	}
}

// keepBook closes records once a second, and notes what happens beside requests.
func (f *Fleet) keepBook() {
	b := &f.book
	if f.loop.Now()-b.closed >= closeEvery {
		f.closeRecords()
	}
	if c := f.node.InContact(); c != b.contact {
		b.contact = c
		f.write1(audit.Record{Kind: audit.KindContact, Text: map[bool]string{true: "found", false: "lost"}[c]})
	}
	if f.out != b.out {
		b.out = f.out
		_, permit := f.node.OutOfService()
		text := "back"
		if f.out {
			text = fmt.Sprintf("out under permit %d", permit)
		}
		f.write1(audit.Record{Kind: audit.KindPermit, Text: text})
	}
	if x := f.node.Replica().State().Rollout.Status(f.cfg.Name); x != nil && x.ID == f.node.ID() && x.AuditSeq > b.chain.Seq() {
		f.breaks(fmt.Errorf("%w: its audit ends at record %d, and the log knows record %d", consensus.ErrOutdatedDisk, b.chain.Seq(), x.AuditSeq))
		return
	}
	// Records that the log knows the head of happened before that entry.
	if x := f.node.Replica().State().Rollout.Status(f.cfg.Name); x != nil && x.ID == f.node.ID() && x.AuditSeq > b.anchored && b.events {
		b.anchored, b.events = x.AuditSeq, false
		f.write1(audit.Record{Kind: audit.KindAnchor, Seen: x.AuditSeq, Entry: f.node.Applied()})
	}
}

// closeBook writes the last word of a process that ends in order.
func (f *Fleet) closeBook() error {
	if f.book.disk == nil {
		return nil
	}
	if f.node != nil {
		for _, r := range f.book.chain.Flush(f.moment()) {
			f.book.disk.Append(append([]byte{bookRecord}, r.Encode()...), func(error) {})
		}
		r := f.book.chain.Append(audit.Record{Kind: audit.KindLease, Text: audit.CleanExit}, f.moment())
		f.book.disk.Append(append([]byte{bookRecord}, r.Encode()...), func(error) {})
		notes := f.book.notes
		notes.Survived = true // it was told to end, and did not end of the version
		f.book.disk.Append(append([]byte{bookNotes}, encodeNotes(notes)...), func(error) {})
	}
	return f.book.disk.Close()
}

// answerAudit answers a question from this front's own audit, beside the loop.
func (f *Fleet) answerAudit(q audit.Question, done func(audit.Answer)) {
	if x := f.node.Replica().State().Rollout.Status(f.cfg.Name); x != nil && x.ID == f.node.ID() {
		q.Seq, q.Head = x.AuditSeq, x.AuditHead
	}
	path, name := f.book.path, f.cfg.Name
	go func() {
		d := audit.NewReader(q)
		err := journal.Scan(path, func(raw []byte) error {
			if raw[0] == bookRecord {
				d.Add(raw[1:])
			}
			return nil
		})
		a := d.Answer(name)
		if err != nil {
			a.Error = err.Error()
		}
		f.loop.Post(func() { done(a) })
	}()
}

// gathering is answers of fronts that are on their way.
type gathering struct {
	missing map[string]bool
	answers []audit.Answer
	done    func([]audit.Answer, []string)
}

// message is a question, or an answer, between fronts.
type message struct {
	N        uint64          `json:"n"`
	Question *audit.Question `json:"question,omitempty"`
	Answer   *audit.Answer   `json:"answer,omitempty"`
}

// askAll asks fronts for their audits, and tells what came in time, and who did not
// answer.
func (f *Fleet) askAll(q audit.Question, names []string, done func(answers []audit.Answer, missing []string)) error {
	if len(f.gather) >= mostAsks {
		return errors.New("too many questions are being answered")
	}
	f.asks++
	n := f.asks
	g := &gathering{missing: map[string]bool{}, done: done}
	if f.gather == nil {
		f.gather = map[uint64]*gathering{}
	}
	f.gather[n] = g
	for _, name := range names {
		g.missing[name] = true
	}
	b, err := json.Marshal(message{N: n, Question: &q})
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == f.cfg.Name {
			f.answerAudit(q, func(a audit.Answer) { f.answered(n, a) })
		} else {
			f.send(consensus.Message{To: name, Kind: consensus.KindAuditQuestion, Payload: b})
		}
	}
	f.loop.At(f.loop.Now()+gatherFor.Microseconds(), func() { f.gathered(n) })
	return nil
}

func (f *Fleet) answered(n uint64, a audit.Answer) {
	g := f.gather[n]
	if g == nil || !g.missing[a.Front] {
		return
	}
	delete(g.missing, a.Front)
	if g.answers = append(g.answers, a); len(g.missing) == 0 {
		f.gathered(n)
	}
}

func (f *Fleet) gathered(n uint64) {
	g := f.gather[n]
	if g == nil {
		return
	}
	delete(f.gather, n)
	var missing []string
	for name := range g.missing {
		missing = append(missing, name)
	}
	slices.Sort(missing)
	slices.SortFunc(g.answers, func(a, b audit.Answer) int {
		if a.Front < b.Front {
			return -1
		}
		return 1
	})
	g.done(g.answers, missing)
}

// heardOfAudit takes a question or an answer of another front.
func (f *Fleet) heardOfAudit(from string, kind consensus.Kind, payload []byte) {
	var m message
	if err := json.Unmarshal(payload, &m); err != nil {
		f.log.Warn("fleet: a question or answer of an audit can't be read", "from", from, "error", err)
		return
	}
	switch {
	case kind == consensus.KindAuditQuestion && m.Question != nil && f.node != nil:
		f.answerAudit(*m.Question, func(a audit.Answer) {
			b, err := json.Marshal(message{N: m.N, Answer: &a})
			if err != nil || len(b) > mostAnswer {
				b, _ = json.Marshal(message{N: m.N, Answer: &audit.Answer{Front: f.cfg.Name, Error: "the answer is too long"}})
			}
			f.send(consensus.Message{To: from, Kind: consensus.KindAuditAnswer, Payload: b})
		})
	case kind == consensus.KindAuditAnswer && m.Answer != nil && m.Answer.Front == from:
		f.answered(m.N, *m.Answer)
	}
}
