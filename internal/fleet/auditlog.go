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

// auditLog is this front's audit: a chain of records on disk.
type auditLog struct {
	chain         audit.Chain
	journal       *journal.Journal
	path          string
	activation    rollout.ActivationRecord
	durableSeq    uint64 // of the last durable record
	durableHead   string
	flushedAt     int64  // when requests were last flushed into records
	anchoredSeq   uint64 // records up to here are known to the log
	unanchored    bool   // there are records other than anchors since the last anchor
	contact       bool
	outOfService  bool
	compacting    bool
	writeFailed   bool
	heldRecords   [][]byte // records that came during compaction
	heldCallbacks []func(error)
	restartReason string // why the chain starts anew; empty: it continues
}

// Kinds of records of the audit's journal, in the first byte.
const (
	auditLogRecord byte = iota + 1
	auditLogActivation
)

const (
	flushInterval    = 1_000_000 // us between records of requests
	maxAuditLogBytes = 8 << 20   // bytes after which the audit is compacted
	maxHeldBytes     = 1 << 20
	auditTimeout     = 3 * time.Second // for the answers of other fronts
	maxAnswerBytes   = 512 << 10
	maxAuditQueries  = 8
)

// openAuditLog reads the audit from disk. A damaged one is renamed, with a log message, and the
// chain starts anew, which the fleet sees as a gap.
func (fleet *Fleet) openAuditLog() error {
	auditLog := &fleet.auditLog
	auditLog.path = filepath.Join(fleet.cfg.Folder, "audit")
	readJournal := func() error {
		auditLog.chain, auditLog.activation = audit.Chain{}, rollout.ActivationRecord{}
		var torn int64
		var err error
		auditLog.journal, torn, err = journal.Open(auditLog.path, maxPendingWrites, fleet.loop.Post, func(record []byte) error {
			if len(record) == 0 {
				return errors.New("an empty record")
			}
			switch record[0] {
			case auditLogRecord:
				r, err := audit.Decode(record[1:])
				if err != nil {
					return err
				}
				if r.Kind == audit.KindAnchor {
					auditLog.anchoredSeq = r.Seen
				}
				return auditLog.chain.Replay(&r)
			case auditLogActivation:
				return cbor.Unmarshal(record[1:], &auditLog.activation)
			}
			return fmt.Errorf("a record of kind %d", record[0])
		})
		if torn > 0 {
			fleet.log.Warn("fleet: the audit had a torn end, which is cut off", "bytes", torn)
		}
		return err
	}
	err := readJournal()
	if err != nil {
		aside := fmt.Sprintf("%s.damaged-%d", auditLog.path, time.Now().Unix())
		fleet.log.Error("fleet: the audit is damaged; it is put aside and begins anew", "error", err, "aside", aside)
		auditLog.restartReason = "the one before is damaged: " + err.Error()
		if err := os.Rename(auditLog.path, aside); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		if err := readJournal(); err != nil {
			return err
		}
	}
	auditLog.durableSeq, auditLog.durableHead = auditLog.chain.Seq(), hexDigest(auditLog.chain.Head())
	fleet.version.applier = rollout.NewApplier(auditLog.activation)
	fleet.succeed(fleet.version.applier)
	return nil
}

// startAuditLog records the start of this process.
func (fleet *Fleet) startAuditLog() {
	fleet.auditLog.chain.SetClasses(fleet.host.Classes())
	fleet.appendAuditEvent(audit.Record{Kind: audit.KindStarted, ID: fleet.node.ID(), Start: fleet.cfg.Start, Text: fleet.auditLog.restartReason})
	fleet.updateVersion()
}

func (fleet *Fleet) timestamp() audit.Timestamp {
	return audit.Timestamp{At: fleet.loop.Now(), Fleet: fleet.node.Replica().State().Now, Index: fleet.node.Applied()}
}

// appendAuditEvent adds a record, after those of the requests before it.
func (fleet *Fleet) appendAuditEvent(record audit.Record) {
	if fleet.auditLog.journal == nil || fleet.node == nil {
		return
	}
	fleet.flushRequests()
	fleet.persistRecord(fleet.auditLog.chain.Append(record, fleet.timestamp()))
}

// flushRequests turns the counted requests into records.
func (fleet *Fleet) flushRequests() {
	fleet.auditLog.flushedAt = fleet.loop.Now()
	for _, r := range fleet.auditLog.chain.Flush(fleet.timestamp()) {
		fleet.persistRecord(r)
	}
}

// persistRecord writes a record. Its place in the chain is reported to the fleet once it is
// durable.
func (fleet *Fleet) persistRecord(record *audit.Record) {
	auditLog := &fleet.auditLog
	auditLog.unanchored = auditLog.unanchored || record.Kind != audit.KindAnchor
	seq, head := record.Seq, hexDigest(record.Digest())
	fleet.appendAuditLog(append([]byte{auditLogRecord}, record.Encode()...), func(err error) {
		if err != nil {
			if !auditLog.writeFailed {
				auditLog.writeFailed = true
				fleet.log.Error("fleet: the audit is not kept: what is lost shows as a hole", "record", seq, "error", err)
			}
			return
		}
		auditLog.writeFailed = false
		if seq > auditLog.durableSeq {
			auditLog.durableSeq, auditLog.durableHead = seq, head
		}
	})
}

// recordActivation writes the activation record of the version that is being activated.
func (fleet *Fleet) recordActivation(activation rollout.ActivationRecord, onDurable func(error)) {
	data, err := cbor.Marshal(activation)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // plain values always encode
	}
	fleet.auditLog.activation = activation
	fleet.appendAuditLog(append([]byte{auditLogActivation}, data...), onDurable)
}

// appendAuditLog appends to the audit's journal; during compaction the record is held back.
func (fleet *Fleet) appendAuditLog(record []byte, onDurable func(error)) {
	auditLog := &fleet.auditLog
	if auditLog.compacting {
		auditLog.heldRecords, auditLog.heldCallbacks = append(auditLog.heldRecords, record), append(auditLog.heldCallbacks, onDurable)
		return
	}
	auditLog.journal.Append(record, onDurable)
	if auditLog.journal.Size() > maxAuditLogBytes {
		fleet.compactAuditLog()
	}
}

// compactAuditLog compacts the audit outside the loop: it reads the file and rewrites it with
// fewer bytes for the older half.
func (fleet *Fleet) compactAuditLog() {
	auditLog := &fleet.auditLog
	auditLog.compacting = true
	upTo, activation := auditLog.chain.Seq(), auditLog.activation
	auditLog.journal.Append(append([]byte{auditLogActivation}, encodeActivation(activation)...), func(error) { // all before it is durable now
		go func() {
			var records []audit.Record
			err := journal.Scan(auditLog.path, func(raw []byte) error {
				if raw[0] != auditLogRecord {
					return nil
				}
				r, err := audit.Decode(raw[1:])
				records = append(records, r)
				return err
			})
			var image [][]byte
			for _, r := range audit.Compact(records) {
				image = append(image, append([]byte{auditLogRecord}, r.Encode()...))
			}
			image = append(image, append([]byte{auditLogActivation}, encodeActivation(activation)...))
			fleet.loop.Post(func() {
				if err != nil || len(records) == 0 || records[len(records)-1].Seq != upTo {
					fleet.log.Error("fleet: the audit is not made smaller", "error", err)
					fleet.resumeAuditLog()
					return
				}
				auditLog.journal.Rewrite(image, func(err error) {
					if err != nil {
						fleet.log.Error("fleet: the audit is not made smaller", "error", err)
					}
				})
				fleet.resumeAuditLog()
			})
		}()
	})
}

func encodeActivation(n rollout.ActivationRecord) []byte {
	b, err := cbor.Marshal(n)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err))
	}
	return b
}

// resumeAuditLog appends the records that came during compaction.
func (fleet *Fleet) resumeAuditLog() {
	auditLog := &fleet.auditLog
	auditLog.compacting = false
	held, next := auditLog.heldRecords, auditLog.heldCallbacks
	auditLog.heldRecords, auditLog.heldCallbacks = nil, nil
	for i, r := range held {
		auditLog.journal.Append(r, next[i])
	}
}

// updateAuditLog flushes requests once a second, and records events other than requests.
func (fleet *Fleet) updateAuditLog() {
	auditLog := &fleet.auditLog
	if fleet.loop.Now()-auditLog.flushedAt >= flushInterval {
		fleet.flushRequests()
	}
	if c := fleet.node.InContact(); c != auditLog.contact {
		auditLog.contact = c
		fleet.appendAuditEvent(audit.Record{Kind: audit.KindContact, Text: map[bool]string{true: "found", false: "lost"}[c]})
	}
	if fleet.outOfService != auditLog.outOfService {
		auditLog.outOfService = fleet.outOfService
		_, permit := fleet.node.OutOfService()
		text := "back"
		if fleet.outOfService {
			text = fmt.Sprintf("out under permit %d", permit)
		}
		fleet.appendAuditEvent(audit.Record{Kind: audit.KindPermit, Text: text})
	}
	if status := fleet.node.Replica().State().Rollout.Status(fleet.cfg.Name); status != nil && status.ID == fleet.node.ID() && status.AuditSeq > auditLog.chain.Seq() {
		fleet.fail(fmt.Errorf("%w: its audit ends at record %d, and the log knows record %d", consensus.ErrOutdatedDisk, auditLog.chain.Seq(), status.AuditSeq))
		return
	}
	// Records whose head is in the log were made before that entry.
	if status := fleet.node.Replica().State().Rollout.Status(fleet.cfg.Name); status != nil && status.ID == fleet.node.ID() && status.AuditSeq > auditLog.anchoredSeq && auditLog.unanchored {
		auditLog.anchoredSeq, auditLog.unanchored = status.AuditSeq, false
		fleet.appendAuditEvent(audit.Record{Kind: audit.KindAnchor, Seen: status.AuditSeq, Entry: fleet.node.Applied()})
	}
}

// closeAuditLog writes the last records of a process that ends in order.
func (fleet *Fleet) closeAuditLog() error {
	if fleet.auditLog.journal == nil {
		return nil
	}
	if fleet.node != nil {
		for _, r := range fleet.auditLog.chain.Flush(fleet.timestamp()) {
			fleet.auditLog.journal.Append(append([]byte{auditLogRecord}, r.Encode()...), func(error) {})
		}
		r := fleet.auditLog.chain.Append(audit.Record{Kind: audit.KindLease, Text: audit.CleanExit}, fleet.timestamp())
		fleet.auditLog.journal.Append(append([]byte{auditLogRecord}, r.Encode()...), func(error) {})
		activation := fleet.auditLog.activation
		activation.Survived = true // it was told to end, and did not crash because of the version
		fleet.auditLog.journal.Append(append([]byte{auditLogActivation}, encodeActivation(activation)...), func(error) {})
	}
	return fleet.auditLog.journal.Close()
}

// answerAudit answers a question from this front's own audit, outside the loop.
func (fleet *Fleet) answerAudit(question audit.Question, done func(audit.Answer)) {
	if status := fleet.node.Replica().State().Rollout.Status(fleet.cfg.Name); status != nil && status.ID == fleet.node.ID() {
		question.Seq, question.Head = status.AuditSeq, status.AuditHead
	}
	path, name := fleet.auditLog.path, fleet.cfg.Name
	go func() {
		reader := audit.NewReader(question)
		err := journal.Scan(path, func(raw []byte) error {
			if raw[0] == auditLogRecord {
				reader.Add(raw[1:])
			}
			return nil
		})
		answer := reader.Answer(name)
		if err != nil {
			answer.Error = err.Error()
		}
		fleet.loop.Post(func() { done(answer) })
	}()
}

// auditQuery is a query whose answers are being collected.
type auditQuery struct {
	missing map[string]bool
	answers []audit.Answer
	done    func([]audit.Answer, []string)
}

// auditMessage is a question or an answer between fronts.
type auditMessage struct {
	ID       uint64          `json:"n"`
	Question *audit.Question `json:"question,omitempty"`
	Answer   *audit.Answer   `json:"answer,omitempty"`
}

// queryAudits asks fronts about their audits. It calls done with the answers that came within
// auditTimeout, and the fronts that did not answer.
func (fleet *Fleet) queryAudits(question audit.Question, names []string, done func(answers []audit.Answer, missing []string)) error {
	if len(fleet.auditQueries) >= maxAuditQueries {
		return errors.New("too many questions are being answered")
	}
	fleet.lastAuditQuery++
	id := fleet.lastAuditQuery
	query := &auditQuery{missing: map[string]bool{}, done: done}
	if fleet.auditQueries == nil {
		fleet.auditQueries = map[uint64]*auditQuery{}
	}
	fleet.auditQueries[id] = query
	for _, name := range names {
		query.missing[name] = true
	}
	data, err := json.Marshal(auditMessage{ID: id, Question: &question})
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == fleet.cfg.Name {
			fleet.answerAudit(question, func(a audit.Answer) { fleet.auditAnswered(id, a) })
		} else {
			fleet.send(consensus.Message{To: name, Kind: consensus.KindAuditQuestion, Payload: data})
		}
	}
	fleet.loop.At(fleet.loop.Now()+auditTimeout.Microseconds(), func() { fleet.finishAuditQuery(id) })
	return nil
}

func (fleet *Fleet) auditAnswered(id uint64, answer audit.Answer) {
	query := fleet.auditQueries[id]
	if query == nil || !query.missing[answer.Front] {
		return
	}
	delete(query.missing, answer.Front)
	if query.answers = append(query.answers, answer); len(query.missing) == 0 {
		fleet.finishAuditQuery(id)
	}
}

func (fleet *Fleet) finishAuditQuery(id uint64) {
	query := fleet.auditQueries[id]
	if query == nil {
		return
	}
	delete(fleet.auditQueries, id)
	var missing []string
	for name := range query.missing {
		missing = append(missing, name)
	}
	slices.Sort(missing)
	slices.SortFunc(query.answers, func(a, b audit.Answer) int {
		if a.Front < b.Front {
			return -1
		}
		return 1
	})
	query.done(query.answers, missing)
}

// handleAuditMessage handles a question or an answer of another front.
func (fleet *Fleet) handleAuditMessage(from string, kind consensus.Kind, payload []byte) {
	var message auditMessage
	if err := json.Unmarshal(payload, &message); err != nil {
		fleet.log.Warn("fleet: a question or answer of an audit can't be read", "from", from, "error", err)
		return
	}
	switch {
	case kind == consensus.KindAuditQuestion && message.Question != nil && fleet.node != nil:
		fleet.answerAudit(*message.Question, func(a audit.Answer) {
			data, err := json.Marshal(auditMessage{ID: message.ID, Answer: &a})
			if err != nil || len(data) > maxAnswerBytes {
				data, _ = json.Marshal(auditMessage{ID: message.ID, Answer: &audit.Answer{Front: fleet.cfg.Name, Error: "the answer is too long"}})
			}
			fleet.send(consensus.Message{To: from, Kind: consensus.KindAuditAnswer, Payload: data})
		})
	case kind == consensus.KindAuditAnswer && message.Answer != nil && message.Answer.Front == from:
		fleet.auditAnswered(message.ID, *message.Answer)
	}
}
