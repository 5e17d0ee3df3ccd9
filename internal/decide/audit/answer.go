package audit

import (
	"encoding/hex"
	"fmt"
)

// Question is a query of a front's audit. Exactly one kind of query is set: All, ByVersion,
// Request, ByTime, Verify or Gaps.
type Question struct {
	All       bool   `json:"front,omitempty"` // everything that the front acted on
	Version   uint64 `json:"version,omitempty"`
	ByVersion bool   `json:"by_version,omitempty"` // Version is asked for; it may be 0
	Request   string `json:"request,omitempty"`
	FleetTime Micros `json:"fleet_us,omitempty"` // with ByTime: the version active at this fleet time
	ByTime    bool   `json:"at,omitempty"`
	Verify    bool   `json:"verify,omitempty"`
	Gaps      bool   `json:"holes,omitempty"`
	Seq       uint64 `json:"seq,omitempty"` // with Verify and Gaps: the head of this chain in the fleet's log
	Head      string `json:"head,omitempty"`
}

// Span is a range of records in which the front acted on one version.
type Span struct {
	Version     uint64  `json:"version"`
	From        uint64  `json:"from"` // sequence number of the first record
	To          uint64  `json:"to"`
	Began       Micros  `json:"began_us"` // by the front's own clock
	Ended       Micros  `json:"ended_us"`
	FleetTime   Micros  `json:"fleet_us"`     // fleet time known when it began
	AfterEntry  uint64  `json:"after_entry"`  // everything in it happened after this entry of the log was committed
	BeforeEntry uint64  `json:"before_entry"` // and before this entry was; 0: unknown
	Counts      []Count `json:"counts,omitempty"`
	First       string  `json:"first,omitempty"`
	Last        string  `json:"last,omitempty"`
}

// Event is an event recorded in a chain, other than requests and anchors.
type Event struct {
	Seq     uint64 `json:"seq"`
	Kind    string `json:"kind"`
	At      Micros `json:"at_us"`
	Entry   uint64 `json:"entry"`
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
}

// Gap is a range for which a chain has no records, or none that can be proven.
type Gap struct {
	From uint64 `json:"from"` // sequence numbers
	To   uint64 `json:"to"`
	Why  string `json:"why"`
}

// Answer is the result of a query of one front's audit.
type Answer struct {
	Front    string  `json:"front"`
	Error    string  `json:"error,omitempty"`
	Records  uint64  `json:"records"`
	Bytes    int64   `json:"bytes"`
	Spans    []Span  `json:"spans,omitempty"`
	Events   []Event `json:"events,omitempty"`
	Gaps     []Gap   `json:"gaps,omitempty"`
	Proven   string  `json:"proven,omitempty"` // up to which record, and by what
	Unproven string  `json:"said,omitempty"`   // what rests on the front's own statement alone
	Broken   string  `json:"broken,omitempty"` // where the chain is broken
}

// Limits of an answer.
const (
	maxSpans  = 400
	maxEvents = 100
)

// Reader answers a question from a chain's records, one after the other.
type Reader struct {
	question    Question
	answer      Answer
	chain       Chain
	idHash      uint64
	started     bool
	headMatched bool // the record with the head in the fleet's log was found and matches
	last        Record
	spans       []Span
	found       bool
	rollupSeen  bool
}

// NewReader starts an answer.
func NewReader(question Question) *Reader {
	return &Reader{question: question, idHash: HashID(question.Request)}
}

// Add processes the next record as stored on disk. A record that can't be decoded or does not
// follow the one before is noted in Answer.Broken.
func (reader *Reader) Add(raw []byte) {
	reader.answer.Bytes += int64(len(raw))
	record, err := Decode(raw)
	if err != nil {
		reader.setBroken(err.Error())
		return
	}
	if err := reader.chain.Replay(&record); err != nil {
		reader.setBroken(err.Error())
		reader.chain = Chain{}
		_ = reader.chain.Replay(&record)
	}
	reader.answer.Records += record.Seq - record.firstSeq() + 1
	if record.Seq == reader.question.Seq && reader.question.Head != "" {
		reader.headMatched = hex.EncodeToString(record.Digest()) == reader.question.Head
		if !reader.headMatched {
			reader.setBroken(fmt.Sprintf("record %d is not the one that the fleet's log knows", record.Seq))
		}
	}
	reader.addGaps(&record)
	reader.addSpan(&record)
	if record.Kind == KindAnchor {
		for _, list := range [][]Span{reader.spans, reader.answer.Spans} {
			for i := range list {
				if s := &list[i]; s.BeforeEntry == 0 && s.To <= record.Seen {
					s.BeforeEntry = record.Entry
				}
			}
		}
	} else if record.Kind != KindRequests && record.Kind != KindRollup {
		e := Event{Seq: record.Seq, Kind: record.Kind, At: record.At, Entry: record.Index, Version: record.Version, Text: record.Text}
		if reader.answer.Events = append(reader.answer.Events, e); len(reader.answer.Events) > maxEvents {
			reader.answer.Events = reader.answer.Events[1:]
		}
	}
	reader.last, reader.started = record, true
}

func (reader *Reader) setBroken(text string) {
	if reader.answer.Broken == "" {
		reader.answer.Broken = text
	}
}

// addGaps notes what is missing in the chain: records that are gone, and requests lost with a
// process that ended without closing its last record.
func (reader *Reader) addGaps(record *Record) {
	if !reader.started && record.firstSeq() > 1 {
		reader.answer.Gaps = append(reader.answer.Gaps, Gap{From: 1, To: record.firstSeq() - 1, Why: "the chain's begin is gone"})
	}
	if record.Kind == KindRollup {
		if n := len(reader.answer.Gaps); n > 0 && reader.rollupSeen && reader.answer.Gaps[n-1].To+1 == record.From {
			reader.answer.Gaps[n-1].To = record.Seq
		} else {
			reader.answer.Gaps = append(reader.answer.Gaps, Gap{From: record.From, To: record.Seq, Why: "rolled up: counts are only said, ids are gone"})
		}
		reader.rollupSeen = true
	}
	if record.Kind == KindStarted && reader.started && reader.last.Text != CleanExit {
		reader.answer.Gaps = append(reader.answer.Gaps, Gap{From: reader.last.Seq, To: record.Seq, Why: fmt.Sprintf(
			"its process ended without a last word: requests of its last moments, after entry %d and before %d, are in no record", reader.last.To, record.Index)})
	}
	if len(reader.answer.Gaps) > maxSpans {
		reader.answer.Gaps = reader.answer.Gaps[1:]
	}
}

// CleanExit is the text of the last record of a process that ended in order.
const CleanExit = "the process ends"

// addSpan adds a record to the span of its version, or begins another span.
func (reader *Reader) addSpan(record *Record) {
	n := len(reader.spans)
	if record.Kind == KindAnchor && n > 0 {
		return // an anchor is no action of the front; it only bounds those before it
	}
	if n == 0 || reader.spans[n-1].Version != record.Version || record.Kind == KindStarted {
		reader.spans = append(reader.spans, Span{Version: record.Version, From: record.firstSeq(), Began: record.At, FleetTime: record.Fleet, AfterEntry: record.Index})
		n++
	}
	span := &reader.spans[n-1]
	span.To, span.Ended, span.BeforeEntry = record.Seq, record.At, 0
	if record.Kind == KindRequests || record.Kind == KindRollup {
		if reader.question.Request == "" {
			span.Counts = AddCounts(span.Counts, record.Counts)
			if span.First == "" {
				span.First = record.First
			}
			span.Last = record.Last
		} else if contained, known := record.MayContain(reader.idHash); contained {
			reader.found = true
			reader.answer.Spans = append(reader.answer.Spans, Span{Version: record.Version, From: record.Seq, To: record.Seq, Began: record.At, Ended: record.At, FleetTime: record.Fleet, AfterEntry: record.Index,
				Counts: record.Counts, First: record.First, Last: record.Last})
		} else if !known {
			reader.answer.Unproven = "records whose ids are gone may hold it too"
		}
	}
}

// Answer returns the result after the last record was added.
func (reader *Reader) Answer(front string) Answer {
	reader.answer.Front = front
	switch {
	case reader.question.Request != "":
	case reader.question.ByTime:
		for i, s := range reader.spans {
			if s.FleetTime <= reader.question.FleetTime && (i+1 == len(reader.spans) || reader.spans[i+1].FleetTime > reader.question.FleetTime) {
				reader.answer.Spans = append(reader.answer.Spans, s)
			}
		}
	case reader.question.ByVersion:
		for _, s := range reader.spans {
			if s.Version == reader.question.Version {
				reader.answer.Spans = append(reader.answer.Spans, s)
			}
		}
	case reader.question.All:
		reader.answer.Spans = reader.spans
	}
	reader.answer.Spans = reader.answer.Spans[max(0, len(reader.answer.Spans)-maxSpans):]
	if !reader.question.All && !reader.question.ByVersion {
		reader.answer.Events = nil
	}
	switch {
	case reader.question.Head == "":
		reader.answer.Unproven = joinText(reader.answer.Unproven, "the fleet's log has no head of this chain yet: all is the front's word")
	case reader.headMatched:
		reader.answer.Proven = fmt.Sprintf("records up to %d of %d: the fleet's log has their head", reader.question.Seq, reader.chain.seq)
		if reader.chain.seq > reader.question.Seq {
			reader.answer.Unproven = joinText(reader.answer.Unproven, fmt.Sprintf("records %d to %d are the front's word", reader.question.Seq+1, reader.chain.seq))
		}
	case reader.chain.seq < reader.question.Seq:
		reader.answer.Gaps = append(reader.answer.Gaps, Gap{From: reader.chain.seq + 1, To: reader.question.Seq, Why: "the fleet's log knows of these records, and the disk has them no more"})
		reader.setBroken(fmt.Sprintf("the chain ends at record %d, and the fleet's log knows it up to %d", reader.chain.seq, reader.question.Seq))
	case reader.answer.Broken == "":
		reader.answer.Unproven = joinText(reader.answer.Unproven, "the head that the fleet's log has is rolled up: all is the front's word")
	}
	return reader.answer
}

func joinText(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}
