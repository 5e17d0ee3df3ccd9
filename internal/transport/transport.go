// Package transport holds TCP connections as objects with callbacks. The
// sockets are netpoll's: its poller reads them and hands the bytes over here;
// everything else happens on the event loop, which never blocks on a socket.
package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"cherryramp/internal/loop"
)

// ErrClosed is the error of a write to a connection that has ended.
var ErrClosed = errors.New("transport: connection is closed")

const (
	keepBuffer = 64 << 10  // an empty buffer larger than this is let go, of those that we dial
	pollBuffer = 1 << 10   // the poller's, for each connection from its start; it grows with what comes
	sendBuffer = 416 << 10 // asked of the kernel for clients, so that one answer fits whole
	takeBuffer = 64 << 10  // and for what they send; the poller reads as much at once
	peerBuffer = 256 << 10 // and for what those that we dial send
	lingerSpan = 500_000   // us that a half-closed connection may take to end
)

// Handler is told what happens on a connection, always on the loop.
type Handler interface {
	Readable(c *Conn) // bytes have come; see Consume
	Drained(c *Conn)  // a full socket has taken all that waited
	Closed(c *Conn)   // it has ended; told once, and nothing follows
}

// Conn is one connection with one buffer for what came in.
type Conn struct {
	loop    *loop.Loop
	np      netpoll.Connection
	fd      int
	handler Handler // used on the loop only
	limit   int
	dialed  bool

	mu       sync.Mutex
	in       []byte // what came and is not consumed
	told     bool   // the loop is about to look at it
	out      []byte // what a full socket did not take
	flushing bool
	closed   bool // the poller has said its last word; the descriptor may be another's
	shut     bool // told to end
	discard  bool // what comes in is of no more use
	flooded  bool // more came than the limit; the rest is dropped
	ending   bool // to be half-closed when all is out
}

// Setup prepares the poller; call it once, before any connection. What the
// poller has to say goes to the log's lowest level.
func Setup(log *slog.Logger) error {
	netpoll.LinkBufferCap = pollBuffer
	err := netpoll.Configure(netpoll.Config{
		PollerNum:    1,
		BufferSize:   pollBuffer,
		LoggerOutput: printer{log},
		// Callbacks only hand bytes over, so they run on the poller itself and
		// nothing is started for them.
		Runner:      func(_ context.Context, task func()) { task() },
		LoadBalance: netpoll.RoundRobin,
	})
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	return nil
}

// printer passes the poller's lines to the log.
type printer struct{ log *slog.Logger }

// Write is part of io.Writer.
func (p printer) Write(line []byte) (int, error) {
	p.log.Debug("poller", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

type connKey struct{}

// Listen accepts connections at an address. For each, admit is called on the
// poller and gives the connection's handler; nil turns the connection away.
// What a connection buffers is bounded by limit; see Flooded.
func Listen(l *loop.Loop, address string, limit int, admit func(*Conn) Handler) error {
	ln, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return fmt.Errorf("transport: listen on %s: %w", address, err)
	}
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			ctx.Value(connKey{}).(*Conn).receive()
			return nil
		},
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			c := wrap(l, np, limit)
			c.handler = admit(c)
			ctx := context.WithValue(context.Background(), connKey{}, c)
			if c.handler == nil {
				_ = np.Close()
				return ctx
			}
			_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, takeBuffer)
			_ = np.AddCloseCallback(c.ended)
			return ctx
		}))
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	go func() { _ = events.Serve(ln) }()
	return nil
}

// Dial connects until a deadline and then tells ready, on the loop.
func Dial(l *loop.Loop, address string, limit int, h Handler, by loop.Micros, ready func(*Conn, error)) {
	go func() {
		left := time.Duration(by-l.Now()) * time.Microsecond
		np, err := netpoll.DialConnection("tcp", address, max(left, time.Microsecond))
		if err != nil {
			l.Post(func() { ready(nil, fmt.Errorf("transport: dial %s: %w", address, err)) })
			return
		}
		c := wrap(l, np, limit)
		c.handler, c.dialed = h, true
		_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, peerBuffer)
		l.Post(func() {
			ready(c, nil)
			_ = np.AddCloseCallback(c.ended)
			_ = np.SetOnRequest(func(context.Context, netpoll.Connection) error {
				c.receive()
				return nil
			})
			if !np.IsActive() { // it ended before anyone could be told
				_ = np.Close()
				_ = c.ended(np)
			}
		})
	}()
}

func wrap(l *loop.Loop, np netpoll.Connection, limit int) *Conn {
	c := &Conn{loop: l, np: np, limit: limit, fd: -1}
	if x, ok := np.(netpoll.Conn); ok {
		c.fd = x.Fd()
	}
	return c
}

// receive takes over what the poller has read.
func (c *Conn) receive() {
	r := c.np.Reader()
	p, err := r.Next(r.Len())
	c.mu.Lock()
	tell := !c.told && !c.discard
	if err == nil && !c.discard {
		if len(c.in)+len(p) > c.limit {
			c.flooded, c.discard = true, true
		} else {
			if c.in == nil {
				c.in = buffers.Get().(*buffer)[:0]
			}
			c.in = append(c.in, p...)
		}
	}
	c.told = c.told || tell
	c.mu.Unlock()
	_ = r.Release()
	if tell {
		c.loop.Post(c.readable)
	}
}

func (c *Conn) readable() {
	c.mu.Lock()
	c.told = false
	useless := c.shut || c.ending
	c.mu.Unlock()
	if !useless {
		c.handler.Readable(c)
	}
}

// Flooded tells whether more has come than the connection may buffer. What came
// until then stands in the buffer; nothing more will.
func (c *Conn) Flooded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flooded
}

// ended is the poller's last word on a connection; its descriptor is still open.
func (c *Conn) ended(netpoll.Connection) error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.loop.Post(func() { c.handler.Closed(c) })
	}
	return nil
}

// Consume shows parse all that has come and drops the bytes that it says it
// has used. What parse keeps it must copy.
func (c *Conn) Consume(parse func(b []byte) (used int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := parse(c.in)
	rest := copy(c.in, c.in[n:])
	c.in = c.in[:rest]
	if rest > 0 {
		return
	}
	// A client's connection holds no buffer while nothing of a request is here.
	switch {
	case cap(c.in) == len(buffer{}):
		buffers.Put((*buffer)(c.in[:len(buffer{})]))
		c.in = nil
	case !c.dialed || cap(c.in) > keepBuffer:
		c.in = nil
	}
}

// buffer is what most requests fit in.
type buffer [1 << 10]byte

// buffers are those that no connection holds.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// Send writes bytes, keeping those that a full socket does not take. It tells
// whether all are out; if not, Drained follows.
func (c *Conn) Send(p []byte) (whole bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.shut || c.ending {
		return false, ErrClosed
	}
	if !c.flushing {
		for len(p) > 0 {
			n, err := syscall.Write(c.fd, p)
			if n > 0 {
				p = p[n:]
			}
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if errors.Is(err, syscall.EAGAIN) {
				break
			}
			if err != nil {
				return false, fmt.Errorf("transport: write: %w", err)
			}
		}
		if len(p) == 0 {
			return true, nil
		}
	}
	c.out = append(c.out, p...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return false, nil
}

// flush waits on a full socket, away from the loop; there is one at most for a
// connection.
func (c *Conn) flush() {
	for {
		c.mu.Lock()
		out := c.out
		c.out = nil
		if c.closed {
			c.mu.Unlock()
			return
		}
		if len(out) == 0 {
			c.flushing = false
			if c.ending {
				_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
			}
			c.mu.Unlock()
			c.loop.Post(func() { c.handler.Drained(c) })
			return
		}
		c.mu.Unlock()
		_, err := c.np.Writer().WriteBinary(out)
		if err == nil {
			err = c.np.Writer().Flush()
		}
		if err != nil { // Closed follows, and not Drained
			c.Close()
			return
		}
	}
}

// Blocked tells whether bytes wait for a full socket.
func (c *Conn) Blocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flushing
}

// Close ends a connection now. Closed follows. It only shuts the socket, which
// the poller then takes for an end by the other side: netpoll's own Close waits
// for the poller to leave the connection, and so for ever where the poller is
// the one that carries it out.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.shut {
		return
	}
	c.shut, c.discard, c.in = true, true, nil
	_ = syscall.Shutdown(c.fd, syscall.SHUT_RDWR)
}

// Finish ends a connection once all is out and the other side has seen it: what
// still comes in is dropped, so that no reset overtakes the last answer.
func (c *Conn) Finish() {
	c.mu.Lock()
	if c.closed || c.shut || c.ending {
		c.mu.Unlock()
		return
	}
	c.ending, c.discard, c.in = true, true, nil
	if !c.flushing {
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
	}
	c.mu.Unlock()
	c.loop.At(c.loop.Now()+lingerSpan, c.Close)
}

// Peer is the other side's address, for the log.
func (c *Conn) Peer() net.Addr { return c.np.RemoteAddr() }
