// Package wire translates between the frames of protocol zephyr-ea25 and the types of package
// rules.
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

// MaxFrame is the maximum length of a batch's frame in bytes.
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

// Event is one record of a batch, addressed to a gateway.
type Event struct {
	Gateway uint16
	Start   *Start      // the gateway starts
	Stop    bool        // the gateway has stopped
	Event   rules.Event // otherwise; nil for records that are ignored
}

// Start holds the seed and the settings of a gateway that starts.
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

// ReadBatch reads one frame, with buf as scratch space. It returns io.EOF if the input ends
// between frames, and another error if a frame is malformed.
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

// Decode decodes a frame. It returns an error if anything follows the batch.
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
		if err == nil && c.truncated {
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

// cursor reads fields one by one. Past the end it returns zeros and sets truncated.
type cursor struct {
	data      []byte
	at        int
	truncated bool
}

func (c *cursor) take(n int) []byte {
	if c.truncated || n > len(c.data)-c.at {
		c.truncated = true
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

// f32 returns 0 for NaN and infinities.
func (c *cursor) f32() float64 {
	f := float64(math.Float32frombits(c.u32()))
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

// smallInt reads an integer that is encoded as f32, and clamps it to -1 to 1<<30.
func (c *cursor) smallInt() int {
	return int(math.Max(-1, math.Min(c.f32(), 1<<30)))
}

func (c *cursor) server() rules.ServerID { return rules.ServerID(c.uint(6)) }
func (c *cursor) micros() rules.Micros   { return int64(c.u32()) }

func (c *cursor) load() []float64 {
	n := int(c.u8())
	if c.truncated || n*4 > len(c.data)-c.at {
		c.truncated = true
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
		start := &Start{Seed: c.u64()}
		start.Settings = string(c.take(int(c.u32())))
		e.Start = start
	case evOutcome:
		outcome := rules.Outcome{ID: rules.RequestID(c.u32()), Attempt: int(c.u16()), Server: c.server()}
		outcome.Code = rules.Code(c.u16())
		outcome.Elapsed = c.micros()
		outcome.Closed = c.u8() != 0
		outcome.Note = rules.Note(min(c.u32(), 255))
		outcome.SourceWait = c.micros()
		c.load()
		e.Event = outcome
	case evMemo:
		c.take(4)
		c.take(int(c.u16()))
	case evExpired:
		e.Event = rules.Expired{ID: rules.RequestID(c.u32())}
	case evTimer:
		e.Event = rules.Timer{Tag: c.u32()}
	case evRequest:
		request := rules.Request{ID: rules.RequestID(c.u32()), Class: int(c.u8())}
		c.u32() // the tenant
		request.Object = c.u64()
		request.Expires = c.micros()
		request.Size = math.Max(0, c.f32())
		request.Group = c.smallInt()
		request.Part = c.smallInt()
		request.Repeat = c.u8()&2 != 0
		e.Event = request
	case evPurge:
		e.Event = rules.Purge{Object: c.u64(), Group: int(c.u16()), Age: c.micros()}
	case evMembers:
		return c.members(e)
	case evStarted:
		started := rules.Started{ID: rules.RequestID(c.u32())}
		c.take(10)
		started.Attempt = int(c.u16())
		e.Event = started
	case evReport:
		report := rules.Report{Server: c.server(), Elapsed: c.micros(), Code: rules.Code(c.u16())}
		report.Load = c.load()
		e.Event = report
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
	if c.truncated || n > (len(c.data)-c.at)/entrySize {
		c.truncated = true
		return e, nil
	}
	m := rules.Members{Full: scope == 1 || scope == 2, Failed: scope == scopeFailed}
	m.List = make([]rules.Member, 0, n)
	for range n {
		member := rules.Member{ID: c.server(), Kind: int(c.u16()), StartedAt: int64(c.u64())}
		state := c.u8()
		if state > uint8(rules.Draining) {
			return e, fmt.Errorf("unknown status %d", state)
		}
		member.State = rules.MemberState(state)
		member.Cell = int(c.u16())
		member.Zone = int(c.u8())
		member.Weight = c.f32()
		m.List = append(m.List, member)
	}
	e.Event = m
	return e, nil
}

// Reply builds the frame that answers one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset starts the reply to the batch of a number.
func (r *Reply) Reset(number uint32) {
	r.buf = append(r.buf[:0], make([]byte, 8)...)
	r.buf = binary.BigEndian.AppendUint32(r.buf, number)
	r.count = 0
}

// Bytes returns the finished frame, which is valid until the next Reset.
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

// micros writes a duration, clamped to the range of the field.
func (r *Reply) micros(v rules.Micros) { r.u32(uint32(max(0, min(v, math.MaxInt32)))) }

func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// BailOut reports that the decision code of a gateway has failed.
func (r *Reply) BailOut(gateway uint16, text string) {
	r.begin(acBailOut, gateway)
	r.text(text)
}

// Add appends one action of a gateway. It panics for an unknown type of action.
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
		var flags uint8
		for bit, set := range []bool{a.Join, a.HeldOnly, a.PassThrough, a.Revalidate} {
			if set {
				flags |= 1 << bit
			}
		}
		r.buf = append(r.buf, flags)
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
