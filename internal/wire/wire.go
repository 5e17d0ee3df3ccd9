// Package wire translates between the frames of protocol zephyr-ea25 and the
// types of package rules. It decides nothing.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"cherryramp/rules"
)

// MaxFrame bounds the length a batch may claim.
const MaxFrame = 1 << 30

const (
	batchHeader = 20
	entrySize   = 24
)

// Codes of events.
const (
	evStop      = 16
	evOutcome   = 17
	evMemo      = 18
	evExpired   = 19
	evTimer     = 20
	evRequest   = 21
	evPurge     = 22
	evMembers   = 23
	evInit      = 24
	evStarted   = 25
	evReport    = 26
	scopeFailed = 3
)

// Codes of actions.
const (
	acRefuse  = 80
	acFail    = 81
	acCancel  = 82
	acWatch   = 83
	acLog     = 84
	acWake    = 88
	acGet     = 89
	acBailOut = 91
	acProbe   = 92
)

// Event is one record of a batch: something for a gateway.
type Event struct {
	Gateway uint16
	Start   *Start      // the gateway begins anew
	Stop    bool        // the gateway is dead
	Event   rules.Event // otherwise; nil for records the module has no use for
}

// Start is what a gateway is told at its start.
type Start struct {
	Seed     uint64
	Settings string
}

// Batch is one frame of events.
type Batch struct {
	Clock  rules.Micros
	Number uint32
	Events []Event
}

// ReadBatch reads one frame. It returns io.EOF when the input ends between
// frames, and another error where a frame is malformed.
func ReadBatch(r io.Reader, buf *bytes.Buffer) (*Batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header is truncated: %w", err)
	}
	length := binary.BigEndian.Uint32(head[0:])
	if length < batchHeader || length > MaxFrame {
		return nil, fmt.Errorf("frame header: a length of %d bytes is out of range", length)
	}
	buf.Reset()
	if n, err := io.CopyN(buf, r, int64(length-batchHeader)); err != nil {
		return nil, fmt.Errorf("frame is truncated: %d of %d bytes", n+batchHeader, length)
	}
	return decode(head[:], buf.Bytes())
}

// Decode reads the batch that frame holds, no more and no less.
func Decode(frame []byte) (*Batch, error) {
	r := bytes.NewReader(frame)
	b, err := ReadBatch(r, new(bytes.Buffer))
	if err == nil && r.Len() > 0 {
		return nil, fmt.Errorf("%d bytes trail the frame", r.Len())
	}
	return b, err
}

func decode(head, body []byte) (*Batch, error) {
	count := binary.BigEndian.Uint32(head[4:])
	b := &Batch{
		Clock:  int64(binary.BigEndian.Uint64(head[8:])),
		Number: binary.BigEndian.Uint32(head[16:]),
	}
	c := &cursor{data: body}
	for i := uint32(0); i < count; i++ {
		at := c.at
		code := c.u8()
		ev, err := c.event(code)
		if err == nil && c.short {
			err = errors.New("record is truncated")
		}
		if err != nil {
			return nil, fmt.Errorf("batch %d, record %d (code %d) at byte %d: %w", b.Number, i, code,
				at+batchHeader, err)
		}
		b.Events = append(b.Events, ev)
	}
	if c.at != len(body) {
		return nil, fmt.Errorf("batch %d: %d bytes trail the last record", b.Number, len(body)-c.at)
	}
	return b, nil
}

// cursor reads fields one by one; past the end it gives zeros and sets short.
type cursor struct {
	data  []byte
	at    int
	short bool
}

func (c *cursor) take(n int) []byte {
	if c.short || n > len(c.data)-c.at {
		c.short = true
		return nil
	}
	c.at += n
	return c.data[c.at-n : c.at]
}

func (c *cursor) uint(n int) (v uint64) {
	for _, b := range c.take(n) {
		v = v<<8 | uint64(b)
	}
	return v
}

func (c *cursor) u8() uint8   { return uint8(c.uint(1)) }
func (c *cursor) u16() uint16 { return uint16(c.uint(2)) }
func (c *cursor) u32() uint32 { return uint32(c.uint(4)) }
func (c *cursor) u64() uint64 { return c.uint(8) }

// f32 gives 0 for what is not a number.
func (c *cursor) f32() float64 {
	f := float64(math.Float32frombits(c.u32()))
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

// small turns a number carried as f32 into a whole one.
func (c *cursor) small() int {
	return int(math.Max(-1, math.Min(c.f32(), 1<<30)))
}

func (c *cursor) server() rules.ServerID { return rules.ServerID(c.uint(6)) }
func (c *cursor) micros() rules.Micros   { return int64(c.u32()) }

func (c *cursor) load() []float64 {
	n := int(c.u8())
	if c.short || n*4 > len(c.data)-c.at {
		c.short = true
		return nil
	}
	var out []float64
	for range n {
		out = append(out, c.f32())
	}
	return out
}

func (c *cursor) event(code uint8) (Event, error) {
	e := Event{Gateway: c.u16()}
	switch code {
	case evStop:
		e.Stop = true
	case evInit:
		s := &Start{Seed: c.u64()}
		s.Settings = string(c.take(int(c.u32())))
		e.Start = s
	case evOutcome:
		o := rules.Outcome{ID: rules.RequestID(c.u32()), Attempt: int(c.u16()), Server: c.server()}
		o.Code = rules.Code(c.u16())
		o.Elapsed = c.micros()
		o.Closed = c.u8() != 0
		o.Note = rules.Note(min(c.u32(), 255))
		o.SourceWait = c.micros()
		c.load()
		e.Event = o
	case evMemo:
		c.take(4)
		c.take(int(c.u16()))
	case evExpired:
		e.Event = rules.Expired{ID: rules.RequestID(c.u32())}
	case evTimer:
		e.Event = rules.Timer{Tag: c.u32()}
	case evRequest:
		q := rules.Request{ID: rules.RequestID(c.u32()), Class: int(c.u8())}
		c.u32() // the tenant
		q.Object = c.u64()
		q.Expires = c.micros()
		q.Size = math.Max(0, c.f32())
		q.Group = c.small()
		q.Part = c.small()
		q.Repeat = c.u8()&2 != 0
		e.Event = q
	case evPurge:
		e.Event = rules.Purge{Object: c.u64(), Group: int(c.u16()), Age: c.micros()}
	case evMembers:
		return c.members(e)
	case evStarted:
		s := rules.Started{ID: rules.RequestID(c.u32())}
		c.take(10)
		s.Attempt = int(c.u16())
		e.Event = s
	case evReport:
		r := rules.Report{Server: c.server(), Elapsed: c.micros(), Code: rules.Code(c.u16())}
		r.Load = c.load()
		e.Event = r
	default:
		return e, errors.New("unknown code")
	}
	return e, nil
}

func (c *cursor) members(e Event) (Event, error) {
	scope := c.u8()
	c.u64() // the serial
	n := int(c.u32())
	if scope > scopeFailed {
		return e, fmt.Errorf("unknown scope %d", scope)
	}
	if c.short || n > (len(c.data)-c.at)/entrySize {
		c.short = true
		return e, nil
	}
	m := rules.Members{Full: scope == 1 || scope == 2, Failed: scope == scopeFailed}
	m.List = make([]rules.Member, 0, n)
	for range n {
		x := rules.Member{ID: c.server(), Kind: int(c.u16()), StartedAt: int64(c.u64())}
		state := c.u8()
		if state > uint8(rules.Draining) {
			return e, fmt.Errorf("unknown status %d", state)
		}
		x.State = rules.MemberState(state)
		x.Cell = int(c.u16())
		x.Zone = int(c.u8())
		x.Weight = c.f32()
		m.List = append(m.List, x)
	}
	e.Event = m
	return e, nil
}

// Reply is the frame that answers one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset begins the reply to a batch.
func (r *Reply) Reset(number uint32) {
	r.buf = append(r.buf[:0], make([]byte, 8)...)
	r.buf = binary.BigEndian.AppendUint32(r.buf, number)
	r.count = 0
}

// Bytes gives the finished frame.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[0:], uint32(len(r.buf)))
	binary.BigEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}

func (r *Reply) begin(code uint8, gateway uint16) {
	r.count++
	r.buf = append(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, gateway)
}

func (r *Reply) u16(v uint16) { r.buf = binary.BigEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }

func (r *Reply) server(s rules.ServerID) {
	r.u32(uint32(s >> 16))
	r.u16(uint16(s))
}

// micros writes a span, cut to what the field holds.
func (r *Reply) micros(v rules.Micros) { r.u32(uint32(max(0, min(v, math.MaxInt32)))) }

func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// BailOut reports that the decision code of a gateway failed.
func (r *Reply) BailOut(gateway uint16, text string) {
	r.begin(acBailOut, gateway)
	r.text(text)
}

// Add writes one action of a gateway.
func (r *Reply) Add(gateway uint16, action rules.Action) {
	switch a := action.(type) {
	case rules.Get:
		r.begin(acGet, gateway)
		r.u32(uint32(a.ID))
		r.server(a.Server)
		r.micros(a.Timeout)
		r.server(a.Source)
		r.buf = append(r.buf, uint8(a.KeepRank))
		r.micros(a.MaxAge)
		var how uint8
		for bit, set := range []bool{a.Join, a.HeldOnly, a.PassThrough, a.Revalidate} {
			if set {
				how |= 1 << bit
			}
		}
		r.buf = append(r.buf, how)
	case rules.Cancel:
		r.begin(acCancel, gateway)
		r.u32(uint32(a.ID))
		r.u16(uint16(a.Attempt))
	case rules.Refuse:
		r.begin(acRefuse, gateway)
		r.u32(uint32(a.ID))
		r.micros(a.RetryAfter)
	case rules.Fail:
		r.begin(acFail, gateway)
		r.u32(uint32(a.ID))
	case rules.Probe:
		r.begin(acProbe, gateway)
		r.server(a.Server)
	case rules.Wake:
		r.begin(acWake, gateway)
		r.u32(a.Tag)
		r.micros(a.In)
	case rules.Watch:
		r.begin(acWatch, gateway)
		r.buf = append(r.buf, 1)
	case rules.Log:
		r.begin(acLog, gateway)
		r.text(a.Text)
	default:
		panic(fmt.Sprintf("wire: unknown action %T", action))
	}
}
