// Package link is a connection between two sites' fronts: many streams on one
// connection, each with credit, watched by frames of its own.
//
// A connection has two goroutines, since TLS reads and writes block; nothing is
// started for a stream. All that is decided and told happens on the event loop. What
// waits in either direction is bounded: bytes by credit, frames by one batch on its
// way to the loop and by what may wait to be written.
package link

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"

	"cherryramp/internal/decide/clockoffset"
	"cherryramp/internal/decide/flowcontrol"
	"cherryramp/internal/link/frame"
	"cherryramp/internal/loop"
)

// Micros is a moment or a span in microseconds.
type Micros = loop.Micros

// Config is what a side wants of its connections.
type Config struct {
	Hello        frame.Hello // Window, Total and Streams are what this side allows
	Weights      []int       // by class
	PingInterval Micros      // a frame is sent at least so often
	DeadTimeout  Micros      // a connection on which nothing came for so long is given up
}

// Reasons for which a connection ends.
var (
	ErrSilent     = errors.New("link: the other side says nothing")
	ErrNotReading = errors.New("link: the other side reads nothing")
	ErrFrameOrder = errors.New("link: a frame out of order")
	ErrClosed     = errors.New("link: closed")
)

// Handler is told what happens on a connection, always on the loop.
type Handler interface {
	// Up comes once, first: what both sides agreed on. The epoch is the other's.
	Up(c *Conn, agreed frame.Hello)
	// Frame is a frame but for data and what the connection itself takes. It was held
	// for so long on its way, more than the quickest. The body is the handler's own.
	Frame(c *Conn, f frame.Frame, held Micros)
	// Data is bytes of a stream, also of one that has just ended. Consumed tells once
	// they are no longer held.
	Data(c *Conn, stream uint32, b []byte)
	// Down comes once, last.
	Down(c *Conn, err error)
}

// Bounds of what waits to be written, in bytes: data is only added below the first;
// where the second is reached the other side does not read.
const (
	lowWater  = 64 << 10
	highWater = 1 << 20
)

// Conn is a connection. Its methods are for the loop alone.
type Conn struct {
	loop  *loop.Loop
	conn  net.Conn
	cfg   Config
	h     Handler
	mux   *flowcontrol.Mux // nil until both have said hello
	held  clockoffset.DelayEstimator
	data  map[uint32][]byte // waits for its stream's turn
	began Micros
	came  Micros
	watch loop.Deadline
	over  bool

	mu     sync.Mutex
	wake   *sync.Cond
	out    []byte // to be written
	wants  bool   // the loop is to be told once there is room
	closed bool
}

// New takes a connection over, whose handshake is done or will be by its first read.
// It says hello at once.
func New(l *loop.Loop, conn net.Conn, cfg Config, h Handler) *Conn {
	c := &Conn{loop: l, conn: conn, cfg: cfg, h: h, data: map[uint32][]byte{}, began: l.Now(), came: l.Now()}
	c.wake = sync.NewCond(&c.mu)
	c.watch.Init(c.look)
	hello := cfg.Hello
	hello.Versions = frame.Versions
	c.head(frame.KindHello, 0, hello)
	l.Set(&c.watch, c.began+cfg.PingInterval)
	go c.read()
	go c.write()
	return c
}

// look sends a ping, and gives up a connection that is silent.
func (c *Conn) look() {
	if c.over {
		return
	}
	now := c.loop.Now()
	if now-c.came >= c.cfg.DeadTimeout {
		c.end(ErrSilent)
		return
	}
	c.put(frame.Frame{Kind: frame.KindPing})
	c.loop.Set(&c.watch, min(now+c.cfg.PingInterval, c.came+c.cfg.DeadTimeout))
}

// Open opens a stream of ours and sends what opens it.
func (c *Conn) Open(stream uint32, class int, head any) error {
	if c.over || c.mux == nil {
		return ErrClosed
	}
	if err := c.mux.Open(stream, class); err != nil {
		return err
	}
	c.head(frame.KindOpen, stream, head)
	return nil
}

// Accept takes a stream in that the other side has opened.
func (c *Conn) Accept(stream uint32, class int) error {
	if c.over || c.mux == nil {
		return ErrClosed
	}
	return c.mux.Open(stream, class)
}

// Send sends a frame other than data.
func (c *Conn) Send(kind frame.Kind, stream uint32, head any) {
	if !c.over {
		c.head(kind, stream, head)
	}
}

// Write has bytes sent on a stream as its turn comes and its credit lets it. They
// are kept as they are until then.
func (c *Conn) Write(stream uint32, b []byte) {
	if c.over || c.mux == nil || len(b) == 0 {
		return
	}
	c.data[stream] = append(c.data[stream], b...)
	c.mux.Queue(stream, len(b))
	c.pump()
}

// Consumed tells that bytes of a stream are no longer held, so that more may come.
func (c *Conn) Consumed(stream uint32, n int) {
	if c.over || c.mux == nil {
		return
	}
	one, all := c.mux.Consumed(stream, n)
	c.grant(stream, one)
	c.grant(0, all)
}

func (c *Conn) grant(stream uint32, n int) {
	if n > 0 {
		c.head(frame.KindCredit, stream, frame.Credit{Bytes: uint32(n)})
	}
}

// Done ends a stream; what it has not sent is dropped.
func (c *Conn) CloseStream(stream uint32) {
	if c.over || c.mux == nil {
		return
	}
	delete(c.data, stream)
	c.grant(0, c.mux.Close(stream))
}

// Waits tells how many bytes a stream has not sent yet.
func (c *Conn) Pending(stream uint32) int { return len(c.data[stream]) }

// Close ends the connection. Down follows.
func (c *Conn) Close() { c.end(ErrClosed) }

func (c *Conn) end(err error) {
	if c.over {
		return
	}
	c.over = true
	c.loop.Stop(&c.watch)
	c.mu.Lock()
	c.closed = true
	c.wake.Broadcast()
	c.mu.Unlock()
	// Closing a TLS connection may wait to write its end; nobody here does.
	go func() { _ = c.conn.Close() }()
	c.loop.Post(func() { c.h.Down(c, err) })
}

func (c *Conn) head(kind frame.Kind, stream uint32, head any) {
	body, err := frame.EncodeHead(head)
	if err != nil {
		c.end(err)
		return
	}
	c.put(frame.Frame{Kind: kind, Stream: stream, Body: body})
}

// put queues a frame to be written.
func (c *Conn) put(f frame.Frame) {
	f.Sent = uint64(c.loop.Now() - c.began)
	c.mu.Lock()
	var err error
	c.out, err = frame.Append(c.out, f)
	if err == nil && len(c.out) > highWater {
		err = ErrNotReading
	}
	c.wake.Signal()
	c.mu.Unlock()
	if err != nil {
		c.end(err)
	}
}

// pump adds data to what is to be written, while little waits there: so what comes
// later and matters more is not behind much.
func (c *Conn) pump() {
	for !c.over {
		c.mu.Lock()
		full := len(c.out) >= lowWater
		c.wants = full
		c.mu.Unlock()
		if full {
			return
		}
		id, n, ok := c.mux.Next(frame.MaxData)
		if !ok {
			return
		}
		b := c.data[id]
		c.put(frame.Frame{Kind: frame.KindData, Stream: id, Body: b[:n]})
		if n == len(b) {
			delete(c.data, id)
		} else {
			c.data[id] = b[n:]
		}
	}
}

func (c *Conn) write() {
	var b []byte
	for {
		c.mu.Lock()
		for len(c.out) == 0 && !c.closed {
			c.wake.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		b, c.out = c.out, b[:0]
		wants := c.wants
		c.wants = false
		c.mu.Unlock()
		if wants {
			c.loop.Post(c.pump)
		}
		if _, err := c.conn.Write(b); err != nil {
			c.loop.Post(func() { c.end(fmt.Errorf("link: %w", err)) })
			return
		}
	}
}

// read brings frames to the loop, a batch at a time: it reads on once the last was
// taken, so that no more than one is ever on its way.
func (c *Conn) read() {
	var buf []byte
	taken := make(chan struct{}, 1) // so that the loop never waits for this
	for {
		buf = slices.Grow(buf, 32<<10)
		n, err := c.conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		var batch []frame.Frame
		used, bad := 0, error(nil)
		for {
			f, n, err := frame.Parse(buf[used:])
			if n == 0 || err != nil {
				bad = err
				break
			}
			f.Body = slices.Clone(f.Body)
			batch, used = append(batch, f), used+n
		}
		buf = buf[:copy(buf, buf[used:])]
		if bad == nil && err != nil {
			bad = fmt.Errorf("link: %w", err)
		}
		c.loop.Post(func() {
			for _, f := range batch {
				if !c.over {
					c.take(f)
				}
			}
			if bad != nil {
				c.end(bad)
			}
			taken <- struct{}{}
		})
		// The loop may have ended with the program; then so does this.
		<-taken
		if bad != nil {
			return
		}
	}
}

// take takes a frame in.
func (c *Conn) take(f frame.Frame) {
	now := c.loop.Now()
	c.came = now
	held := c.held.Observe(Micros(f.Sent), now)
	if c.mux == nil {
		c.hello(f)
		return
	}
	switch f.Kind {
	case frame.KindHello:
		c.end(ErrFrameOrder)
	case frame.KindPing:
		c.put(frame.Frame{Kind: frame.KindPong})
	case frame.KindPong:
	case frame.KindCredit:
		var x frame.Credit
		err := frame.DecodeHead(f, &x)
		if err == nil {
			err = c.mux.Credit(f.Stream, int(x.Bytes))
		}
		if err != nil {
			c.end(err)
			return
		}
		c.pump()
	case frame.KindData:
		if err := c.mux.Received(f.Stream, len(f.Body)); err != nil {
			c.end(err)
			return
		}
		c.h.Data(c, f.Stream, f.Body)
	default:
		c.h.Frame(c, f, held)
	}
}

// hello agrees with the other side: the lesser of each bound.
func (c *Conn) hello(f frame.Frame) {
	if f.Kind != frame.KindHello {
		c.end(ErrFrameOrder)
		return
	}
	var x frame.Hello
	err := frame.DecodeHead(f, &x)
	var version uint16
	if err == nil {
		version, err = frame.NegotiateVersion(x.Versions)
	}
	own := c.cfg.Hello
	agreed := frame.Hello{Versions: []uint16{version}, Site: x.Site, Epoch: x.Epoch, Window: min(own.Window, x.Window),
		Total: min(own.Total, x.Total), Streams: min(own.Streams, x.Streams)}
	if err == nil {
		c.mux, err = flowcontrol.New(flowcontrol.Config{Weights: c.cfg.Weights, StreamWindow: int(agreed.Window), ConnWindow: int(agreed.Total),
			MaxStreams: int(agreed.Streams), Quantum: frame.MaxData})
	}
	if err != nil {
		c.end(err)
		return
	}
	c.h.Up(c, agreed)
}
