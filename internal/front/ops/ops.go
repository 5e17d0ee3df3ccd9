// Package ops is the operators' door: one more address, apart from the clients',
// where a connection carries one call on one line and gets one answer, a line that
// starts with "ok" or "fail". What the calls do is the program's (see Desk); this
// package only reads calls and writes answers, on the event loop.
//
//	PING       ok ready | fail lame duck | fail ending | fail starting
//	INFO       the figures as JSON on one line, then a line eof
//	LAMEDUCK   ok lame duck: the front empties and says no to PING
//	REJOIN     ok rejoined: it takes clients again
//	FLEET ...  what the fleet is asked, where the front is of one; else an unknown call
//
// A caller that sends nothing, or half a line, costs its connection only: it is
// closed after quietMost, and where more than callersMost wait the oldest goes.
// Nothing is started for a call; one timer sweeps the door while callers wait.
package ops

import (
	"bytes"
	"fmt"
	"log/slog"
	"sync/atomic"

	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	lineMost    = 256       // bytes of a call with its line end
	fleetMost   = 4096      // and where the front is of a fleet
	quietMost   = 2_000_000 // us that a caller may take to send its whole call
	sweepEvery  = 250_000   // us between looks at callers that take too long
	callersMost = 64        // callers that may wait at once; the oldest makes room
	turnAwayAt  = 4 * callersMost
	linger      = 500_000 // us for an answer to leave before the connection is cut
)

// Desk carries out the calls, on the loop.
type Desk interface {
	// Ready tells whether the front takes clients, and if not, why, in a few words.
	Ready() (ok bool, why string)
	// Info appends the figures, one line of JSON without its line end.
	Info(b []byte) []byte
	// Drain has the front empty itself and say no to Ready.
	Drain()
	// Rejoin has it take clients again; the error tells why it can't.
	Rejoin() error
	// Fleet carries out a call to the fleet, whose answer is told now or later, once;
	// false: the front is of none.
	Fleet(call string, answer func(line string)) bool
}

// Door holds the operators' connections.
type Door struct {
	loop    *loop.Loop
	desk    Desk
	log     *slog.Logger
	held    atomic.Int64 // connections, counted on the poller
	waiting []*caller    // in the order they came; on the loop
	sweep   loop.Deadline
	swept   bool // the sweep stands on the wheel
	buf     []byte
	most    int // bytes of a call
	gauge   transport.Gauge
}

type caller struct {
	door  *Door
	tc    *transport.Conn
	came  loop.Micros
	done  bool // answered or cut off
	ended bool // Closed was told
}

// New makes a door whose calls the desk carries out; fleet tells that those to the
// fleet are among them, which are longer.
func New(l *loop.Loop, desk Desk, fleet bool, log *slog.Logger) *Door {
	d := &Door{loop: l, desk: desk, log: log.With("front", "ops"), most: lineMost}
	if fleet {
		d.most = fleetMost
	}
	d.sweep.Init(d.look)
	return d
}

// Listen opens the door at an address.
func (d *Door) Listen(address string) error {
	_, err := transport.Listen(d.loop, address, d.most, &d.gauge, d.log, d.admit)
	return err
}

// admit runs on the poller.
func (d *Door) admit(tc *transport.Conn) transport.Handler {
	if d.held.Add(1) > turnAwayAt {
		d.held.Add(-1)
		return nil
	}
	c := &caller{door: d, tc: tc}
	d.loop.Post(func() { d.enter(c) })
	return c
}

// enter counts a caller in, and has the oldest make room where too many wait.
func (d *Door) enter(c *caller) {
	if c.done {
		return
	}
	c.came = d.loop.Now()
	d.waiting = append(d.waiting, c)
	if len(d.waiting) > callersMost {
		d.cut(d.waiting[0])
	}
	if !d.swept {
		d.swept = true
		d.loop.Set(&d.sweep, c.came+sweepEvery)
	}
}

// look cuts off callers that have taken too long, and comes again while any wait.
func (d *Door) look() {
	d.swept = false
	now := d.loop.Now()
	for len(d.waiting) > 0 && d.waiting[0].came+quietMost <= now {
		d.cut(d.waiting[0])
	}
	if len(d.waiting) > 0 {
		d.swept = true
		d.loop.Set(&d.sweep, now+sweepEvery)
	}
}

// cut ends a caller that has not made its call.
func (d *Door) cut(c *caller) {
	d.leave(c)
	c.tc.Close()
}

// leave takes a caller off the list of those that wait.
func (d *Door) leave(c *caller) {
	c.done = true
	for i, x := range d.waiting {
		if x == c {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// Readable looks for the whole line of a call.
func (c *caller) Readable(tc *transport.Conn) {
	if c.done {
		return
	}
	var line []byte
	long := false
	flooded := tc.Flooded() // before Consume, which holds the connection's lock
	tc.Consume(func(b []byte) int {
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			line = append([]byte(nil), b[:i]...)
			return len(b)
		}
		if len(b) >= c.door.most || flooded {
			line, long = b[:0:0], true // no room for a call
			return len(b)
		}
		return 0
	})
	if line == nil {
		return
	}
	d := c.door
	d.leave(c)
	line = bytes.TrimSpace(line)
	if call, ok := bytes.CutPrefix(line, []byte("FLEET")); ok && !long && (len(call) == 0 || call[0] == ' ') &&
		d.desk.Fleet(string(bytes.TrimSpace(call)), func(answer string) { c.reply([]byte(answer + "\n")) }) {
		return
	}
	if long {
		d.buf = append(d.buf[:0], "fail call too long\n"...)
	} else {
		d.buf = d.answer(d.buf[:0], line)
	}
	c.reply(d.buf)
}

// reply sends a caller its answer, after which the connection ends.
func (c *caller) reply(b []byte) {
	if c.ended {
		return
	}
	if _, err := c.tc.Send(b); err != nil {
		c.tc.Close()
		return
	}
	c.tc.HalfClose(c.door.loop.Now() + linger)
}

// answer appends the answer to a call.
func (d *Door) answer(b []byte, call []byte) []byte {
	switch string(call) {
	case "PING":
		if ok, why := d.desk.Ready(); !ok {
			return append(append(b, "fail "...), why+"\n"...)
		}
		return append(b, "ok ready\n"...)
	case "INFO":
		return append(d.desk.Info(b), "\neof\n"...)
	case "LAMEDUCK":
		d.desk.Drain()
		return append(b, "ok lame duck\n"...)
	case "REJOIN":
		if err := d.desk.Rejoin(); err != nil {
			return append(append(b, "fail "...), err.Error()+"\n"...)
		}
		return append(b, "ok rejoined\n"...)
	case "":
		return append(b, "fail no call\n"...)
	}
	return fmt.Appendf(b, "fail unknown call %q; calls are PING, INFO, LAMEDUCK, REJOIN\n", call)
}

// Drained has nothing to do: the answer is out.
func (c *caller) Drained(*transport.Conn) {}

// Closed counts the caller out.
func (c *caller) Closed(*transport.Conn) {
	if c.ended {
		return
	}
	c.ended = true
	c.door.held.Add(-1)
	if !c.done {
		c.door.leave(c)
	}
}
