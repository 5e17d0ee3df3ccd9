// Package link implements the connections between two sites' fronts. A connection carries
// many streams with credit-based flow control, and pings that detect its failure.
//
// A connection has two goroutines, since TLS reads and writes block; streams have none.
// Decisions are made and callbacks are called on the event loop. Queues are bounded in both
// directions: data by credit, received frames by one batch on its way to the loop, and frames
// to be written by highWater.
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

// Micros is a time or a duration in microseconds.
type Micros = loop.Micros

// Config configures one side of a connection.
type Config struct {
	Hello        frame.Hello // Window, Total and Streams are the limits of this side
	Weights      []int       // by class
	PingInterval Micros      // time between two pings
	DeadTimeout  Micros      // time without a received frame after which the connection is closed
}

// Reasons for which a connection ends.
var (
	ErrSilent     = errors.New("link: nothing received from the peer")
	ErrNotReading = errors.New("link: the peer does not read")
	ErrFrameOrder = errors.New("link: frame out of order")
	ErrClosed     = errors.New("link: closed")
)

// Handler receives the events of a connection, always on the loop.
type Handler interface {
	// Up is called once, before all others, with the limits that both sides agreed on and the
	// peer's site and epoch.
	Up(c *Conn, agreed frame.Hello)
	// Frame is called for a frame that is neither data nor handled by the connection itself.
	// delay is the time that the frame took in excess of the fastest one. The handler may
	// keep the body.
	Frame(c *Conn, f frame.Frame, delay Micros)
	// Data is called with bytes of a stream, also of one that has just ended. The handler
	// calls Consumed once it no longer holds them.
	Data(c *Conn, stream uint32, b []byte)
	// Down is called once, after all others, with the reason for the end.
	Down(c *Conn, err error)
}

// Bounds of the output that waits to be written, in bytes. Data is added only below
// lowWater. Above highWater the connection is closed, because the peer does not read.
const (
	lowWater  = 64 << 10
	highWater = 1 << 20
)

// Conn is a connection. Its methods may only be called on the loop.
type Conn struct {
	loop         *loop.Loop
	conn         net.Conn
	cfg          Config
	handler      Handler
	mux          *flowcontrol.Mux // nil until the peer's hello is received
	delay        clockoffset.DelayEstimator
	pending      map[uint32][]byte // data that waits for its stream's turn, by stream
	start        Micros
	lastReceived Micros
	pingTimer    loop.Deadline
	ended        bool

	mu        sync.Mutex
	wake      *sync.Cond
	output    []byte // frames to be written
	wantsPump bool   // pump is to be called once output is taken for writing
	closed    bool
}

// New takes ownership of conn, whose handshake is done or happens at the first read, and
// sends hello.
func New(l *loop.Loop, conn net.Conn, cfg Config, handler Handler) *Conn {
	c := &Conn{loop: l, conn: conn, cfg: cfg, handler: handler, pending: map[uint32][]byte{}, start: l.Now(), lastReceived: l.Now()}
	c.wake = sync.NewCond(&c.mu)
	c.pingTimer.Init(c.checkAlive)
	hello := cfg.Hello
	hello.Versions = frame.Versions
	c.sendHead(frame.KindHello, 0, hello)
	l.Set(&c.pingTimer, c.start+cfg.PingInterval)
	go c.read()
	go c.write()
	return c
}

// checkAlive sends a ping, or ends the connection if nothing was received for DeadTimeout.
func (c *Conn) checkAlive() {
	if c.ended {
		return
	}
	now := c.loop.Now()
	if now-c.lastReceived >= c.cfg.DeadTimeout {
		c.end(ErrSilent)
		return
	}
	c.enqueue(frame.Frame{Kind: frame.KindPing})
	c.loop.Set(&c.pingTimer, min(now+c.cfg.PingInterval, c.lastReceived+c.cfg.DeadTimeout))
}

// Open opens a stream of this side and sends its open frame. It returns ErrClosed if the
// connection is not up.
func (c *Conn) Open(stream uint32, class int, head any) error {
	if c.ended || c.mux == nil {
		return ErrClosed
	}
	if err := c.mux.Open(stream, class); err != nil {
		return err
	}
	c.sendHead(frame.KindOpen, stream, head)
	return nil
}

// Accept accepts a stream that the peer has opened. It returns ErrClosed if the connection
// is not up.
func (c *Conn) Accept(stream uint32, class int) error {
	if c.ended || c.mux == nil {
		return ErrClosed
	}
	return c.mux.Open(stream, class)
}

// Send sends a frame other than data. It does nothing after the end of the connection.
func (c *Conn) Send(kind frame.Kind, stream uint32, head any) {
	if !c.ended {
		c.sendHead(kind, stream, head)
	}
}

// Write queues bytes to be sent on a stream as its turn and its credit allow.
func (c *Conn) Write(stream uint32, b []byte) {
	if c.ended || c.mux == nil || len(b) == 0 {
		return
	}
	c.pending[stream] = append(c.pending[stream], b...)
	c.mux.Queue(stream, len(b))
	c.pump()
}

// Consumed reports that n bytes of a stream are no longer held, and grants the peer credit
// to send more.
func (c *Conn) Consumed(stream uint32, n int) {
	if c.ended || c.mux == nil {
		return
	}
	streamCredit, connCredit := c.mux.Consumed(stream, n)
	c.grant(stream, streamCredit)
	c.grant(0, connCredit)
}

func (c *Conn) grant(stream uint32, n int) {
	if n > 0 {
		c.sendHead(frame.KindCredit, stream, frame.Credit{Bytes: uint32(n)})
	}
}

// CloseStream ends a stream and drops its unsent bytes.
func (c *Conn) CloseStream(stream uint32) {
	if c.ended || c.mux == nil {
		return
	}
	delete(c.pending, stream)
	c.grant(0, c.mux.Close(stream))
}

// Pending returns the number of unsent bytes of a stream.
func (c *Conn) Pending(stream uint32) int { return len(c.pending[stream]) }

// Close ends the connection. Handler.Down is called later.
func (c *Conn) Close() { c.end(ErrClosed) }

func (c *Conn) end(err error) {
	if c.ended {
		return
	}
	c.ended = true
	c.loop.Stop(&c.pingTimer)
	c.mu.Lock()
	c.closed = true
	c.wake.Broadcast()
	c.mu.Unlock()
	// Closing a TLS connection may block while it writes its close_notify alert, and the
	// loop must not block.
	go func() { _ = c.conn.Close() }()
	c.loop.Post(func() { c.handler.Down(c, err) })
}

func (c *Conn) sendHead(kind frame.Kind, stream uint32, head any) {
	body, err := frame.EncodeHead(head)
	if err != nil {
		c.end(err)
		return
	}
	c.enqueue(frame.Frame{Kind: kind, Stream: stream, Body: body})
}

// enqueue queues a frame to be written.
func (c *Conn) enqueue(f frame.Frame) {
	f.Sent = uint64(c.loop.Now() - c.start)
	c.mu.Lock()
	var err error
	c.output, err = frame.Append(c.output, f)
	if err == nil && len(c.output) > highWater {
		err = ErrNotReading
	}
	c.wake.Signal()
	c.mu.Unlock()
	if err != nil {
		c.end(err)
	}
}

// pump adds data to the output, up to lowWater, so that later frames of higher priority do
// not wait behind much.
func (c *Conn) pump() {
	for !c.ended {
		c.mu.Lock()
		full := len(c.output) >= lowWater
		c.wantsPump = full
		c.mu.Unlock()
		if full {
			return
		}
		id, n, ok := c.mux.Next(frame.MaxData)
		if !ok {
			return
		}
		b := c.pending[id]
		c.enqueue(frame.Frame{Kind: frame.KindData, Stream: id, Body: b[:n]})
		if n == len(b) {
			delete(c.pending, id)
		} else {
			c.pending[id] = b[n:]
		}
	}
}

func (c *Conn) write() {
	var b []byte
	for {
		c.mu.Lock()
		for len(c.output) == 0 && !c.closed {
			c.wake.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		b, c.output = c.output, b[:0]
		wantsPump := c.wantsPump
		c.wantsPump = false
		c.mu.Unlock()
		if wantsPump {
			c.loop.Post(c.pump)
		}
		if _, err := c.conn.Write(b); err != nil {
			c.loop.Post(func() { c.end(fmt.Errorf("link: %w", err)) })
			return
		}
	}
}

// read passes received frames to the loop, a batch at a time. It reads on once the loop has
// handled a batch, so that at most one is pending.
func (c *Conn) read() {
	var buf []byte
	taken := make(chan struct{}, 1) // buffered, so that the loop never blocks on it
	for {
		buf = slices.Grow(buf, 32<<10)
		n, err := c.conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		var batch []frame.Frame
		used, failure := 0, error(nil)
		for {
			f, n, err := frame.Parse(buf[used:])
			if n == 0 || err != nil {
				failure = err
				break
			}
			f.Body = slices.Clone(f.Body)
			batch, used = append(batch, f), used+n
		}
		buf = buf[:copy(buf, buf[used:])]
		if failure == nil && err != nil {
			failure = fmt.Errorf("link: %w", err)
		}
		c.loop.Post(func() {
			for _, f := range batch {
				if !c.ended {
					c.receive(f)
				}
			}
			if failure != nil {
				c.end(failure)
			}
			taken <- struct{}{}
		})
		// If the loop has ended, this blocks until the process exits.
		<-taken
		if failure != nil {
			return
		}
	}
}

// receive handles a received frame.
func (c *Conn) receive(f frame.Frame) {
	now := c.loop.Now()
	c.lastReceived = now
	delay := c.delay.Observe(Micros(f.Sent), now)
	if c.mux == nil {
		c.negotiate(f)
		return
	}
	switch f.Kind {
	case frame.KindHello:
		c.end(ErrFrameOrder)
	case frame.KindPing:
		c.enqueue(frame.Frame{Kind: frame.KindPong})
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
		c.handler.Data(c, f.Stream, f.Body)
	default:
		c.handler.Frame(c, f, delay)
	}
}

// negotiate handles the peer's hello. The lesser of both sides' limits holds.
func (c *Conn) negotiate(f frame.Frame) {
	if f.Kind != frame.KindHello {
		c.end(ErrFrameOrder)
		return
	}
	var remote frame.Hello
	err := frame.DecodeHead(f, &remote)
	var version uint16
	if err == nil {
		version, err = frame.NegotiateVersion(remote.Versions)
	}
	local := c.cfg.Hello
	agreed := frame.Hello{Versions: []uint16{version}, Site: remote.Site, Epoch: remote.Epoch, Window: min(local.Window, remote.Window),
		Total: min(local.Total, remote.Total), Streams: min(local.Streams, remote.Streams)}
	if err == nil {
		c.mux, err = flowcontrol.New(flowcontrol.Config{Weights: c.cfg.Weights, StreamWindow: int(agreed.Window), ConnWindow: int(agreed.Total),
			MaxStreams: int(agreed.Streams), Quantum: frame.MaxData})
	}
	if err != nil {
		c.end(err)
		return
	}
	c.handler.Up(c, agreed)
}
