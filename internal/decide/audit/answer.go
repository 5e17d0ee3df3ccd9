package audit

import (
	"encoding/hex"
	"fmt"
)

// Question is what is asked of a front's audit. Exactly one part is set.
type Question struct {
	All       bool   `json:"front,omitempty"` // all that it acted on
	Version   uint64 `json:"version,omitempty"`
	ByVersion bool   `json:"by_version,omitempty"` // Version is asked for, 0 among them
	Request   string `json:"request,omitempty"`
	FleetTime Micros `json:"fleet_us,omitempty"` // which version at this fleet time
	ByTime    bool   `json:"at,omitempty"`
	Verify    bool   `json:"verify,omitempty"`
	Gaps      bool   `json:"holes,omitempty"`
	Seq       uint64 `json:"seq,omitempty"` // with Verify and Holes: the head that the fleet's log has
	Head      string `json:"head,omitempty"`
}

// Span is a stretch of a chain in which the front acted on one version.
type Span struct {
	Version     uint64  `json:"version"`
	From        uint64  `json:"from"` // record
	To          uint64  `json:"to"`
	Began       Micros  `json:"began_us"` // by the front's own clock
	Ended       Micros  `json:"ended_us"`
	FleetTime   Micros  `json:"fleet_us"`     // fleet time known at its begin
	AfterEntry  uint64  `json:"after_entry"`  // what is in it happened after this entry of the log was committed
	BeforeEntry uint64  `json:"before_entry"` // and before this one was; 0: can't tell
	Counts      []Count `json:"counts,omitempty"`
	First       string  `json:"first,omitempty"`
	Last        string  `json:"last,omitempty"`
}

// Event is something that a chain tells of.
type Event struct {
	Seq     uint64 `json:"seq"`
	Kind    string `json:"kind"`
	At      Micros `json:"at_us"`
	Entry   uint64 `json:"entry"`
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
}

// Gap is a stretch of which a chain tells nothing, or nothing that is proven.
type Gap struct {
	From uint64 `json:"from"` // records
	To   uint64 `json:"to"`
	Why  string `json:"why"`
}

// Answer is what one front's audit says.
type Answer struct {
	Front    string  `json:"front"`
	Error    string  `json:"error,omitempty"`
	Records  uint64  `json:"records"`
	Bytes    int64   `json:"bytes"`
	Spans    []Span  `json:"spans,omitempty"`
	Events   []Event `json:"events,omitempty"`
	Gaps     []Gap   `json:"gaps,omitempty"`
	Proven   string  `json:"proven,omitempty"` // up to where, and by what
	Unproven string  `json:"said,omitempty"`   // what rests on the front's own word
	Broken   string  `json:"broken,omitempty"` // where the chain is
}

// Bounds of an answer.
const (
	mostSpans  = 400
	mostEvents = 100
)

// Reader answers a question from a chain's records, one after the other.
type Reader struct {
	q      Question
	a      Answer
	c      Chain
	mark   uint64
	began  bool
	atHead bool // the head that the log has was met
	last   Record
	spans  []Span
	hit    bool
	rolled bool
}

// NewReader begins an answer.
func NewReader(q Question) *Reader { return &Reader{q: q, mark: HashID(q.Request)} }

// Take takes the next record, as it lay on the disk.
func (d *Reader) Add(b []byte) {
	d.a.Bytes += int64(len(b))
	r, err := Decode(b)
	if err != nil {
		d.broken(err.Error())
		return
	}
	if err := d.c.Replay(&r); err != nil {
		d.broken(err.Error())
		d.c = Chain{}
		_ = d.c.Replay(&r)
	}
	d.a.Records += r.Seq - r.start() + 1
	if r.Seq == d.q.Seq && d.q.Head != "" {
		d.atHead = hex.EncodeToString(r.Digest()) == d.q.Head
		if !d.atHead {
			d.broken(fmt.Sprintf("record %d is not the one that the fleet's log knows", r.Seq))
		}
	}
	d.gaps(&r)
	d.span(&r)
	if r.Kind == KindAnchor {
		for _, list := range [][]Span{d.spans, d.a.Spans} {
			for i := range list {
				if s := &list[i]; s.BeforeEntry == 0 && s.To <= r.Seen {
					s.BeforeEntry = r.Entry
				}
			}
		}
	} else if r.Kind != KindRequests && r.Kind != KindRollup {
		e := Event{Seq: r.Seq, Kind: r.Kind, At: r.At, Entry: r.Index, Version: r.Version, Text: r.Text}
		if d.a.Events = append(d.a.Events, e); len(d.a.Events) > mostEvents {
			d.a.Events = d.a.Events[1:]
		}
	}
	d.last, d.began = r, true
}

func (d *Reader) broken(text string) {
	if d.a.Broken == "" {
		d.a.Broken = text
	}
}

// gaps notes what the chain does not tell: records that are gone, and requests that a
// process took with it which ended without closing its last record.
func (d *Reader) gaps(r *Record) {
	if !d.began && r.start() > 1 {
		d.a.Gaps = append(d.a.Gaps, Gap{From: 1, To: r.start() - 1, Why: "the chain's begin is gone"})
	}
	if r.Kind == KindRollup {
		if n := len(d.a.Gaps); n > 0 && d.rolled && d.a.Gaps[n-1].To+1 == r.From {
			d.a.Gaps[n-1].To = r.Seq
		} else {
			d.a.Gaps = append(d.a.Gaps, Gap{From: r.From, To: r.Seq, Why: "rolled up: counts are only said, ids are gone"})
		}
		d.rolled = true
	}
	if r.Kind == KindStarted && d.began && d.last.Text != CleanExit {
		d.a.Gaps = append(d.a.Gaps, Gap{From: d.last.Seq, To: r.Seq, Why: fmt.Sprintf(
			"its process ended without a last word: requests of its last moments, after entry %d and before %d, are in no record", d.last.To, r.Index)})
	}
	if len(d.a.Gaps) > mostSpans {
		d.a.Gaps = d.a.Gaps[1:]
	}
}

// Ended is the text of the last record of a process that ended in order.
const CleanExit = "the process ends"

// span adds a record to the stretch of its version, or begins another.
func (d *Reader) span(r *Record) {
	n := len(d.spans)
	if r.Kind == KindAnchor && n > 0 {
		return // it is no act, and bounds those before it
	}
	if n == 0 || d.spans[n-1].Version != r.Version || r.Kind == KindStarted {
		d.spans = append(d.spans, Span{Version: r.Version, From: r.start(), Began: r.At, FleetTime: r.Fleet, AfterEntry: r.Index})
		n++
	}
	s := &d.spans[n-1]
	s.To, s.Ended, s.BeforeEntry = r.Seq, r.At, 0
	if r.Kind == KindRequests || r.Kind == KindRollup {
		if d.q.Request == "" {
			s.Counts = AddCounts(s.Counts, r.Counts)
			if s.First == "" {
				s.First = r.First
			}
			s.Last = r.Last
		} else if has, known := r.MayContain(d.mark); has {
			d.hit = true
			d.a.Spans = append(d.a.Spans, Span{Version: r.Version, From: r.Seq, To: r.Seq, Began: r.At, Ended: r.At, FleetTime: r.Fleet, AfterEntry: r.Index,
				Counts: r.Counts, First: r.First, Last: r.Last})
		} else if !known {
			d.a.Unproven = "records whose ids are gone may hold it too"
		}
	}
}

// Answer is what the records told.
func (d *Reader) Answer(front string) Answer {
	d.a.Front = front
	switch {
	case d.q.Request != "":
	case d.q.ByTime:
		for i, s := range d.spans {
			if s.FleetTime <= d.q.FleetTime && (i+1 == len(d.spans) || d.spans[i+1].FleetTime > d.q.FleetTime) {
				d.a.Spans = append(d.a.Spans, s)
			}
		}
	case d.q.ByVersion:
		for _, s := range d.spans {
			if s.Version == d.q.Version {
				d.a.Spans = append(d.a.Spans, s)
			}
		}
	case d.q.All:
		d.a.Spans = d.spans
	}
	d.a.Spans = d.a.Spans[max(0, len(d.a.Spans)-mostSpans):]
	if !d.q.All && !d.q.ByVersion {
		d.a.Events = nil
	}
	switch {
	case d.q.Head == "":
		d.a.Unproven = join(d.a.Unproven, "the fleet's log has no head of this chain yet: all is the front's word")
	case d.atHead:
		d.a.Proven = fmt.Sprintf("records up to %d of %d: the fleet's log has their head", d.q.Seq, d.c.seq)
		if d.c.seq > d.q.Seq {
			d.a.Unproven = join(d.a.Unproven, fmt.Sprintf("records %d to %d are the front's word", d.q.Seq+1, d.c.seq))
		}
	case d.c.seq < d.q.Seq:
		d.a.Gaps = append(d.a.Gaps, Gap{From: d.c.seq + 1, To: d.q.Seq, Why: "the fleet's log knows of these records, and the disk has them no more"})
		d.broken(fmt.Sprintf("the chain ends at record %d, and the fleet's log knows it up to %d", d.c.seq, d.q.Seq))
	case d.a.Broken == "":
		d.a.Unproven = join(d.a.Unproven, "the head that the fleet's log has is rolled up: all is the front's word")
	}
	return d.a
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}
