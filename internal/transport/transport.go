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
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

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

	writeRetry = 5 * time.Millisecond // until a write is tried again for which the system lacked room
)

// Handler is told what happens on a connection, always on the loop.
type Handler interface {
	Readable(c *Conn) // bytes have come; see Consume
	Drained(c *Conn)  // a full socket has taken all that waited
	Closed(c *Conn)   // it has ended; told once, and nothing follows
}

// Gauge tells what connections hold, in bytes. It may be read from anywhere.
type Gauge struct {
	In  atomic.Int64 // came and is not consumed
	Out atomic.Int64 // waits for full sockets
}

// Conn is one connection with one buffer for what came in.
type Conn struct {
	loop    *loop.Loop
	np      netpoll.Connection // used on the poller only; nil while parked
	gauge   *Gauge
	handler Handler // used on the loop only
	peer    netip.AddrPort
	fd      int
	limit   int

	mu       sync.Mutex
	in       []byte      // what came and is not consumed
	out      []byte      // what a full socket did not take
	sent     int64       // bytes that the socket has taken
	came     int64       // bytes that have come
	last     loop.Micros // when the last of them did
	retrying bool        // a push follows by timer
	serial   int32       // in the watch
	events   uint32      // that the watch looks for
	dialed   bool
	told     bool // the loop is about to look at what came
	flushing bool // out waits
	lost     bool // it ended while out waited
	parked   bool // netpoll knows nothing of it any more
	closed   bool // the poller has said its last word; the descriptor may be another's
	shut     bool // told to end
	discard  bool // what comes in is of no more use
	flooded  bool // more came than the limit; the rest is dropped
	ending   bool // to be half-closed when all is out
}

// Setup prepares the poller, before any connection. What the poller has to say goes to
// the log's lowest level. The poller is the process's: only the first call counts.
func Setup(log *slog.Logger) error {
	setup.once.Do(func() { setup.err = configure(log) })
	return setup.err
}

var setup struct {
	once sync.Once
	err  error
}

func configure(log *slog.Logger) error {
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
	return startWatch()
}

// printer passes the poller's lines to the log.
type printer struct{ log *slog.Logger }

// Write is part of io.Writer.
func (p printer) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(syscall.EMFILE.Error())) {
		p.log.Warn("descriptors have run out: clients wait until one is free")
	}
	p.log.Debug("poller", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// Dial connects until a deadline and then tells ready, on the loop.
func Dial(l *loop.Loop, address string, limit int, g *Gauge, h Handler, by loop.Micros, ready func(*Conn, error)) {
	go func() {
		left := time.Duration(by-l.Now()) * time.Microsecond
		np, err := netpoll.DialConnection("tcp", address, max(left, time.Microsecond))
		if unwatched(err) {
			err = fmt.Errorf("%w: %w", unix.ENOMEM, err)
		}
		if err != nil {
			l.Post(func() { ready(nil, fmt.Errorf("transport: dial %s: %w", address, err)) })
			return
		}
		c := wrap(l, np, limit, g)
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

// unwatched tells whether a connection came up and the poller could not watch it, which is a want of this
// machine. Of the reason netpoll's error keeps the text alone.
func unwatched(err error) bool {
	if !errors.Is(err, netpoll.ErrConnClosed) {
		return false
	}
	text := err.Error()
	return strings.HasSuffix(text, unix.ENOMEM.Error()) || strings.HasSuffix(text, unix.ENOSPC.Error())
}

func wrap(l *loop.Loop, np netpoll.Connection, limit int, g *Gauge) *Conn {
	c := &Conn{loop: l, np: np, limit: limit, gauge: g, fd: -1}
	if at, err := netip.ParseAddrPort(np.RemoteAddr().String()); err == nil {
		c.peer = at
	}
	if x, ok := np.(netpoll.Conn); ok {
		c.fd = x.Fd()
	}
	return c
}

// receive takes over what the poller has read.
func (c *Conn) receive() {
	r := c.np.Reader()
	if p, err := r.Next(r.Len()); err == nil {
		c.deliver(p)
	}
	_ = r.Release()
}

// deliver keeps what has come for the loop to look at.
func (c *Conn) deliver(p []byte) {
	c.mu.Lock()
	tell := !c.told && !c.discard
	c.came += int64(len(p))
	c.last = c.loop.Now()
	if !c.dialed {
		c.last -= waited(c.fd)
	}
	if !c.discard {
		if len(c.in)+len(p) > c.limit {
			c.flooded, c.discard = true, true
		} else {
			if c.in == nil {
				c.in = buffers.Get().(*buffer)[:0]
			}
			c.in = append(c.in, p...)
			c.gauge.In.Add(int64(len(p)))
		}
	}
	c.told = c.told || tell
	c.mu.Unlock()
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
func (c *Conn) Overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flooded
}

// ended is the poller's last word on a connection; its descriptor is still open.
func (c *Conn) ended(netpoll.Connection) error {
	c.mu.Lock()
	goesOn := c.parked || c.adopt() // parked: netpoll has only let go of it
	c.mu.Unlock()
	if !goesOn {
		c.over()
	}
	return nil
}

// adopt takes over a connection that netpoll is about to close though nobody has ended it, and
// tells whether it could: netpoll closes where the kernel lacks memory to watch the socket or
// to read from it, which says nothing of the connection. It goes on under a descriptor of our own.
func (c *Conn) adopt() bool {
	if c.closed || c.shut || c.hungUp() {
		return false
	}
	fd, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return false
	}
	_ = watched.w.set(c, 0) // under the descriptor that goes
	c.fd, c.parked, c.np = fd, true, nil
	adopted.Add(1)
	c.attach()
	return true
}

// adopted counts the connections that netpoll gave up though they were whole.
var adopted atomic.Int64

// Adopted counts the connections of the process that the poller could not watch or read for want
// of memory, and that went on. It may be called from anywhere.
func Adopted() int64 { return adopted.Load() }

// over ends a connection whose descriptor is about to be closed.
func (c *Conn) over() {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.gauge.Out.Add(int64(-len(c.out)))
		c.lost = c.flushing
		c.out, c.flushing = nil, false
		_ = watched.w.set(c, 0) // closing the descriptor takes it out as well
	}
	c.mu.Unlock()
	if first {
		c.loop.Post(func() { // behind what came before the end
			c.handler.Closed(c)
			c.mu.Lock()
			c.drop()
			c.mu.Unlock()
		})
	}
}

// drop lets go of what came in.
func (c *Conn) drop() {
	c.gauge.In.Add(int64(-len(c.in)))
	c.in = nil
}

// Consume shows parse all that has come and drops the bytes that it says it
// has used. What parse keeps it must copy.
func (c *Conn) Consume(parse func(b []byte) (used int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := parse(c.in)
	c.gauge.In.Add(int64(-n))
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

// dismissMost is how much of what came is read for the sake of a refusal.
const dismissMost = 64 << 10

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
		n, err := c.write(p)
		if err != nil {
			return false, fmt.Errorf("transport: write: %w", err)
		}
		if p = p[n:]; len(p) == 0 {
			return true, nil
		}
	}
	c.out = append(c.out, p...)
	c.gauge.Out.Add(int64(len(p)))
	if !c.flushing {
		c.flushing = true
		c.awaitRoom()
	}
	return false, nil
}

// awaitRoom has what waits be sent once the socket takes more, or at the next try. Where the
// system lacks room to be asked there is one.
func (c *Conn) awaitRoom() {
	if err := watched.w.set(c, c.wants()); err != nil {
		c.pushLater()
	}
}

// pushLater tries to send what waits after writeRetry.
func (c *Conn) pushLater() {
	if c.retrying {
		return
	}
	c.retrying = true
	time.AfterFunc(writeRetry, func() {
		c.mu.Lock()
		c.retrying = false
		c.mu.Unlock()
		c.push()
	})
}

// Dismiss answers what has already come on a connection that is not taken, without a wait:
// it is read, since a close over unread bytes is a reset that may overtake the answer. Where
// nothing has come yet there is nothing to answer. It is for admit alone.
func (c *Conn) Reject(answer []byte) {
	var buf buffer
	came := 0
	for came < dismissMost {
		n, _, err := syscall.Recvfrom(c.fd, buf[:], syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			break
		}
		came += n
	}
	if came == 0 {
		return
	}
	if _, err := c.write(answer); err == nil { // so little fits, or the client has gone
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
	}
}

// write hands bytes to the socket and tells how many it took.
func (c *Conn) write(p []byte) (n int, err error) {
	for n < len(p) {
		some, err := syscall.Write(c.fd, p[n:])
		if some > 0 {
			n += some
			c.sent += int64(some)
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			break
		}
		if IsResourceShortage(err) { // the socket is writable, so nothing would tell of the end of that
			c.pushLater()
			break
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (c *Conn) drained() { c.handler.Drained(c) }

// Park asks that netpoll's part of a connection be given up, since it is worth less
// than what it takes: the connection has long been idle.
func (c *Conn) Park() {
	c.mu.Lock()
	parked := c.parked || c.closed
	c.mu.Unlock()
	if !parked {
		watched.w.ask(c)
	}
}

// Taken counts the bytes of what was sent that the other side has acknowledged,
// and those that it has not: in the kernel, or waiting here. Where the kernel does
// not tell, those that it holds count as taken.
func (c *Conn) Acknowledged() (taken int64, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.sent, 0
	}
	held := c.unacknowledged()
	return c.sent - int64(held), held + len(c.out)
}

// Pending tells whether bytes have come that nobody has looked at: here, or in the
// kernel. Whoever ends a connection with some resets it, and loses a request.
func (c *Conn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.discard {
		return false
	}
	if len(c.in) > 0 {
		return true
	}
	n, err := unix.IoctlGetInt(c.fd, unix.TIOCINQ)
	return err == nil && n > 0
}

// Blocked tells whether bytes wait for a full socket.
func (c *Conn) Blocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flushing
}

// Came counts the bytes that have come.
func (c *Conn) BytesReceived() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came
}

// Last is when the last bytes came, which may be long before the loop looks at them, or the
// poller: for a connection that was accepted it is when the kernel took them in.
func (c *Conn) LastReceived() loop.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Close ends a connection now. Closed follows. It only shuts the socket, which
// the poller then takes for an end by the other side: netpoll's own Close waits
// for the poller to leave the connection, and so for ever where the poller is
// the one that carries it out.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}

func (c *Conn) close() {
	if c.closed || c.shut {
		return
	}
	c.shut, c.discard = true, true
	c.drop()
	if err := syscall.Shutdown(c.fd, syscall.SHUT_RDWR); err != nil && !c.hungUp() {
		c.release()
	}
}

// endOutput ends our side, behind all that was written. Where the socket can't be shut for
// that, the connection is closed as soon as the other side has taken all: whoever is not told of
// the end sends on, for nothing.
func (c *Conn) endOutput() {
	if err := syscall.Shutdown(c.fd, syscall.SHUT_WR); err == nil || c.hungUp() {
		return
	}
	if c.unacknowledged() == 0 {
		c.close()
		return
	}
	time.AfterFunc(writeRetry, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && !c.shut {
			c.endOutput()
		}
	})
}

// unacknowledged is the bytes that the kernel holds for the other side; 0 where it does not tell.
func (c *Conn) unacknowledged() int {
	held, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return held
}

// release ends a connection whose socket can't be shut, and of whose end the poller would
// never hear: its descriptor is closed.
func (c *Conn) release() {
	unshut.Add(1)
	if c.parked {
		watched.w.run(c.end)
		return
	}
	go func(np netpoll.Connection) { _ = np.Close() }(c.np) // it may wait for the poller
}

// unshut counts the connections that were ended by closing their descriptors.
var unshut atomic.Int64

// Unshut counts the connections of the process whose sockets could not be shut and were closed
// outright. It may be called from anywhere.
func ForceClosed() int64 { return unshut.Load() }

// Gone tells whether the other side has ended its side. Its last bytes may still stand
// before the end, unread by the poller or by the loop, where either was held up.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.shut || c.hungUp()
}

// hungUp tells whether the other side has ended its side, or the connection is broken. The
// poller has heard of it, or is about to.
func (c *Conn) hungUp() bool {
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Cut ends a connection now if bytes still wait for its full socket, and tells whether
// they do: then they never leave. The poller may have sent the rest a moment ago, before the
// loop has heard of it (Drained); then nothing is done.
func (c *Conn) CloseIfBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.flushing {
		return c.lost
	}
	c.close()
	return true
}

// Abort ends a connection now and has the kernel drop what it holds for it, so that
// the other side sees a reset and not a whole end.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = syscall.SetsockoptLinger(c.fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.close()
}

// HalfClose ends a connection once all is out and the other side has seen it, or at a
// moment: what
// still comes in is dropped, so that no reset overtakes the last answer.
func (c *Conn) HalfClose(by loop.Micros) {
	c.mu.Lock()
	if c.closed || c.shut || c.ending {
		c.mu.Unlock()
		return
	}
	c.ending, c.discard = true, true
	c.drop()
	if !c.flushing {
		c.endOutput()
	}
	c.mu.Unlock()
	c.loop.At(by, c.Close)
}

// Peer is the other side's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }
