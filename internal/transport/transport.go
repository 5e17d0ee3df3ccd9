// Package transport provides TCP connections with callbacks. The sockets belong to
// netpoll, whose poller reads them and passes the bytes on to this package;
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

// ErrClosed is returned by a write to a closed connection.
var ErrClosed = errors.New("transport: connection is closed")

const (
	maxIdleBuffer    = 64 << 10  // dialed connections release an empty input buffer that is larger
	crowdedBudget    = 0.5       // share of the budget from which they release any
	pollBufferSize   = 1 << 10   // initial netpoll buffer of a connection; it grows with the input
	clientSendBuffer = 416 << 10 // SO_SNDBUF of accepted connections, so that one answer fits whole
	clientRecvBuffer = 64 << 10  // SO_RCVBUF of accepted connections; read at most at once
	dialedRecvBuffer = 256 << 10 // SO_RCVBUF of dialed connections

	writeRetryDelay = 5 * time.Millisecond // until a write is retried that failed for lack of system resources
)

// Handler receives the events of a connection, always on the loop.
type Handler interface {
	Readable(c *Conn) // data has arrived; see Consume
	Drained(c *Conn)  // all buffered output has been written to the socket
	Closed(c *Conn)   // the connection has ended; the last event, sent once
}

// Gauge counts the bytes that connections buffer. It is safe for concurrent use.
type Gauge struct {
	In  atomic.Int64 // received and not consumed
	Out atomic.Int64 // waiting for full sockets

	// Budget bounds the memory of input buffers, beyond the first one of each connection, which
	// small requests fit in. It is set before the first connection; nil: no bound. Input of an
	// accepted connection that finds no room is dropped, see Conn.Refused. For dialed ones the
	// poller waits while the loop is behind, see waitForLoop.
	Budget *Budget

	unread   atomic.Int64  // dialed connections with input that the loop has not handled
	waiting  atomic.Bool   // the poller waits for the loop
	caughtUp chan struct{} // wakes it
}

// NewGauge returns a gauge with a budget for dialed connections; nil: no bound.
func NewGauge(budget *Budget) *Gauge {
	return &Gauge{Budget: budget, caughtUp: make(chan struct{}, 1)}
}

// Conn is a TCP connection with an input buffer.
type Conn struct {
	loop       *loop.Loop
	np         netpoll.Connection // used on the poller only; nil while parked
	gauge      *Gauge
	handler    Handler // used on the loop only
	peer       netip.AddrPort
	fd         int
	inputLimit int

	mu           sync.Mutex
	in           []byte      // received and not consumed
	out          []byte      // not yet taken by the full socket
	sent         int64       // bytes written to the socket
	received     int64       // bytes received
	lastReceived loop.Micros // when the last bytes were received
	retrying     bool        // a timer will call flush
	serial       int32       // key in the watcher
	events       uint32      // epoll events set in the watcher
	dialed       bool
	notified     bool // a call of readable is posted to the loop
	flushing     bool // out is not empty
	lostOutput   bool // it ended before out was written
	parked       bool // detached from netpoll
	closed       bool // after the poller's last event; the descriptor may have been reused
	shutDown     bool // closed by this side
	discard      bool // further input is dropped
	overflowed   bool // the input limit was exceeded; the rest was dropped
	refused      bool // the budget had no room for the input, which was dropped
	charged      int  // bytes of in that count in the budget
	halfClosing  bool // shut down for writing as soon as out is empty

	closeTimer *loop.Deadline // of HalfClose; used on the loop only
}

// Setup configures netpoll's poller and must be called before any connection is made.
// The poller logs at debug level. There is one poller per process, so only the first
// call has an effect.
func Setup(log *slog.Logger) error {
	setup.once.Do(func() { setup.err = configure(log) })
	return setup.err
}

var setup struct {
	once sync.Once
	err  error
}

func configure(log *slog.Logger) error {
	netpoll.LinkBufferCap = pollBufferSize
	err := netpoll.Configure(netpoll.Config{
		PollerNum:    1,
		BufferSize:   pollBufferSize,
		LoggerOutput: logWriter{log},
		// Callbacks only pass bytes on, so they run on the poller itself and need no
		// goroutine.
		Runner:      func(_ context.Context, task func()) { task() },
		LoadBalance: netpoll.RoundRobin,
	})
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	return startWatcher()
}

// logWriter passes the poller's log lines to the log.
type logWriter struct{ log *slog.Logger }

// Write is part of io.Writer.
func (p logWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(syscall.EMFILE.Error())) {
		p.log.Warn("descriptors have run out: clients wait until one is free")
	}
	p.log.Debug("poller", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// Dial connects to an address until a deadline, and calls ready on the loop with the
// connection or the error. limit bounds the input buffer; see Overflowed.
func Dial(l *loop.Loop, address string, limit int, g *Gauge, h Handler, deadline loop.Micros, ready func(*Conn, error)) {
	go func() {
		left := time.Duration(deadline-l.Now()) * time.Microsecond
		np, err := netpoll.DialConnection("tcp", address, max(left, time.Microsecond))
		if isWatchFailure(err) {
			err = fmt.Errorf("%w: %w", unix.ENOMEM, err)
		}
		if err != nil {
			l.Post(func() { ready(nil, fmt.Errorf("transport: dial %s: %w", address, err)) })
			return
		}
		c := newConn(l, np, limit, g)
		c.handler, c.dialed = h, true
		_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, dialedRecvBuffer)
		l.Post(func() {
			ready(c, nil)
			_ = np.AddCloseCallback(c.onNetpollClose)
			_ = np.SetOnRequest(func(context.Context, netpoll.Connection) error {
				c.receive()
				return nil
			})
			if !np.IsActive() { // it ended before the callbacks were set
				_ = np.Close()
				_ = c.onNetpollClose(np)
			}
		})
	}()
}

// isWatchFailure reports whether a connection was established and the poller failed to
// watch it for lack of resources of this machine. netpoll's error keeps only the text
// of the cause.
func isWatchFailure(err error) bool {
	if !errors.Is(err, netpoll.ErrConnClosed) {
		return false
	}
	text := err.Error()
	return strings.HasSuffix(text, unix.ENOMEM.Error()) || strings.HasSuffix(text, unix.ENOSPC.Error())
}

func newConn(l *loop.Loop, np netpoll.Connection, limit int, g *Gauge) *Conn {
	c := &Conn{loop: l, np: np, inputLimit: limit, gauge: g, fd: -1}
	if at, err := netip.ParseAddrPort(np.RemoteAddr().String()); err == nil {
		c.peer = at
	}
	if x, ok := np.(netpoll.Conn); ok {
		c.fd = x.Fd()
	}
	return c
}

// receive takes the bytes that the poller has read.
func (c *Conn) receive() {
	r := c.np.Reader()
	if p, err := r.Next(r.Len()); err == nil {
		c.deliver(p)
	}
	_ = r.Release()
}

// maxPollerWait is how long the poller waits for the loop at most.
const maxPollerWait = 20 * time.Millisecond

// waitForLoop has the poller wait while the budget of dialed connections is used up and the loop has
// yet to look at input of theirs. Peers' data stays in the kernel meanwhile. It does not wait for input
// that the loop has seen and can't use yet, such as answers in part.
func (c *Conn) waitForLoop() {
	behind := func() bool { return c.gauge.Budget.Used() >= 1 && c.gauge.unread.Load() > 0 }
	if !behind() {
		return
	}
	c.gauge.waiting.Store(true)
	defer c.gauge.waiting.Store(false)
	timeout := time.NewTimer(maxPollerWait)
	defer timeout.Stop()
	for behind() {
		select {
		case <-c.gauge.caughtUp:
		case <-timeout.C:
			return
		}
	}
}

// inputSeen notes that the loop has handled the input of a dialed connection.
func (c *Conn) inputSeen() {
	c.gauge.unread.Add(-1)
	if c.gauge.waiting.Load() {
		select {
		case c.gauge.caughtUp <- struct{}{}:
		default:
		}
	}
}

// deliver buffers received bytes and notifies the loop.
func (c *Conn) deliver(p []byte) {
	if c.dialed {
		c.waitForLoop()
	}
	c.mu.Lock()
	notify := !c.notified && !c.discard
	c.received += int64(len(p))
	c.lastReceived = c.loop.Now()
	if !c.dialed {
		c.lastReceived -= kernelWait(c.fd)
	}
	if !c.discard {
		switch {
		case len(c.in)+len(p) > c.inputLimit:
			c.overflowed, c.discard = true, true
		case !c.makeRoom(len(p)):
			c.refused, c.discard = true, true
			c.dropInput()
		default:
			c.in = append(c.in, p...)
			c.gauge.In.Add(int64(len(p)))
		}
	}
	c.notified = c.notified || notify
	c.mu.Unlock()
	if notify {
		if c.dialed {
			c.gauge.unread.Add(1)
		}
		c.loop.Post(c.readable)
	}
}

// makeRoom makes the input buffer large enough for n more bytes, and reports whether the
// budget has room for that.
func (c *Conn) makeRoom(n int) bool {
	if c.in == nil {
		c.in = bufferPool.Get().(*buffer)[:0]
	}
	size := cap(c.in)
	if len(c.in)+n <= size {
		return true
	}
	for size < len(c.in)+n {
		size *= 2
	}
	size = max(len(c.in)+n, min(size, c.inputLimit))
	if more := int64(size - c.charged); c.dialed {
		c.gauge.Budget.Add(more)
	} else if !c.gauge.Budget.TryAdd(more) {
		return false
	}
	c.charged = size
	grown := make([]byte, len(c.in), size)
	copy(grown, c.in)
	c.recycle()
	c.in = grown
	return true
}

// recycle gives an input buffer of the pool's size back to the pool.
func (c *Conn) recycle() {
	if cap(c.in) == len(buffer{}) {
		bufferPool.Put((*buffer)(c.in[:len(buffer{})]))
	}
	c.in = nil
}

// discharge takes the input buffer out of the budget.
func (c *Conn) discharge() {
	c.gauge.Budget.Add(int64(-c.charged))
	c.charged = 0
}

// InputMemory returns the bytes of the input buffer that count in the budget.
func (c *Conn) InputMemory() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged
}

// Refused reports whether input was dropped because the budget of all connections had no
// room for it. Everything after it is dropped as well.
func (c *Conn) Refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (c *Conn) readable() {
	c.mu.Lock()
	c.notified = false
	closing := c.shutDown || c.halfClosing
	c.mu.Unlock()
	if !closing {
		c.handler.Readable(c)
	}
	if c.dialed {
		c.inputSeen()
	}
}

// Overflowed reports whether more data arrived than the connection may buffer. The
// buffer holds what arrived before; everything after it is dropped.
func (c *Conn) Overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflowed
}

// onNetpollClose is called by netpoll before it closes the descriptor of a connection.
func (c *Conn) onNetpollClose(netpoll.Connection) error {
	c.mu.Lock()
	continues := c.parked || c.adopt() // parked: it was only detached from netpoll
	c.mu.Unlock()
	if !continues {
		c.terminate()
	}
	return nil
}

// adopt takes over a connection that netpoll is about to close although neither side has
// ended it, and reports whether that succeeded. netpoll closes a connection if the kernel
// lacks memory to watch or read the socket, although the connection is intact. It
// continues parked, under a duplicate of the descriptor.
func (c *Conn) adopt() bool {
	if c.closed || c.shutDown || c.hungUp() {
		return false
	}
	dup, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return false
	}
	_ = shared.watcher.setEvents(c, 0) // under the old descriptor
	c.fd, c.parked, c.np = dup, true, nil
	adoptedConns.Add(1)
	c.addToWatcher()
	return true
}

// adoptedConns counts the intact connections that netpoll gave up.
var adoptedConns atomic.Int64

// Adopted returns the number of connections of the process that the poller failed to watch or
// read for lack of memory, and that were continued. It is safe for concurrent use.
func Adopted() int64 { return adoptedConns.Load() }

// terminate marks a connection as closed whose descriptor is about to be closed.
func (c *Conn) terminate() {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.gauge.Out.Add(int64(-len(c.out)))
		c.lostOutput = c.flushing
		c.out, c.flushing = nil, false
		_ = shared.watcher.setEvents(c, 0) // closing the descriptor takes it out as well
	}
	c.mu.Unlock()
	if first {
		c.loop.Post(func() { // after the events of earlier input
			c.handler.Closed(c)
			c.loop.Stop(c.closeTimer)
			c.mu.Lock()
			c.dropInput()
			c.mu.Unlock()
		})
	}
}

// dropInput discards the input buffer.
func (c *Conn) dropInput() {
	c.gauge.In.Add(int64(-len(c.in)))
	c.discharge()
	c.in = nil
}

// Consume calls parse with all buffered input and removes the bytes that it reports as
// used. parse must copy what it keeps.
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
	// A client's connection holds no buffer while no part of a request has arrived.
	if cap(c.in) == len(buffer{}) || !c.dialed || cap(c.in) > maxIdleBuffer || c.gauge.Budget.Used() >= crowdedBudget {
		c.discharge()
		c.recycle()
	}
}

// maxRejectRead limits the input that Reject reads, in bytes.
const maxRejectRead = 64 << 10

// buffer is an input buffer in which most requests fit.
type buffer [1 << 10]byte

// bufferPool holds unused input buffers.
var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// Send writes p to the socket and buffers what a full socket does not take. It reports
// whether the socket took all; otherwise Drained follows. It returns ErrClosed for a
// connection that is closed or closing.
func (c *Conn) Send(p []byte) (whole bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.shutDown || c.halfClosing {
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
		c.watchWritable()
	}
	return false, nil
}

// watchWritable has the watcher flush the output once the socket is writable. If the watcher
// can't be set for lack of system resources, flush is retried by timer.
func (c *Conn) watchWritable() {
	if err := shared.watcher.setEvents(c, c.wantedEvents()); err != nil {
		c.flushLater()
	}
}

// flushLater calls flush after writeRetryDelay.
func (c *Conn) flushLater() {
	if c.retrying {
		return
	}
	c.retrying = true
	time.AfterFunc(writeRetryDelay, func() {
		c.mu.Lock()
		c.retrying = false
		c.mu.Unlock()
		c.flush()
	})
}

// Reject answers a connection that is refused, without blocking. It first reads the input that
// has already arrived, since closing with unread bytes sends a reset that may overtake the
// answer. If nothing has arrived, there is nothing to answer. It may be called only by the
// admit function passed to Listen.
func (c *Conn) Reject(answer []byte) {
	var buf buffer
	received := 0
	for received < maxRejectRead {
		n, _, err := syscall.Recvfrom(c.fd, buf[:], syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			break
		}
		received += n
	}
	if received == 0 {
		return
	}
	if _, err := c.write(answer); err == nil { // the short answer fits, or the client has gone
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
	}
}

// write writes to the socket and returns how many bytes it took.
func (c *Conn) write(p []byte) (n int, err error) {
	for n < len(p) {
		written, err := syscall.Write(c.fd, p[n:])
		if written > 0 {
			n += written
			c.sent += int64(written)
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			break
		}
		if IsResourceShortage(err) { // the socket is writable, so no event would follow
			c.flushLater()
			break
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (c *Conn) drained() { c.handler.Drained(c) }

// Park requests that a long idle connection be detached from netpoll, whose part of it
// takes more memory than it is worth.
func (c *Conn) Park() {
	c.mu.Lock()
	parked := c.parked || c.closed
	c.mu.Unlock()
	if !parked {
		shared.watcher.requestPark(c)
	}
}

// Acknowledged returns how many bytes of the output the peer has acknowledged, and how
// many it has not: in the kernel or buffered here. If the kernel does not report what it
// holds, that counts as acknowledged.
func (c *Conn) Acknowledged() (acked int64, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.sent, 0
	}
	held := c.unacknowledged()
	return c.sent - int64(held), held + len(c.out)
}

// Pending reports whether there is unread input, buffered here or in the kernel. Closing
// a connection with unread input resets it and loses a request.
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

// Blocked reports whether output waits for a full socket.
func (c *Conn) Blocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flushing
}

// BytesReceived returns the number of bytes received so far.
func (c *Conn) BytesReceived() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// LastReceived returns when the last bytes were received, which may be long before the loop
// handles them. For an accepted connection it is when the kernel received them, which may
// also be long before the poller read them.
func (c *Conn) LastReceived() loop.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived
}

// Close ends a connection now; Closed follows. It only shuts the socket down, which the
// poller then handles like a close by the peer. netpoll's own Close would wait for the
// poller to leave the connection, and so forever if called on the poller.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}

func (c *Conn) close() {
	if c.closed || c.shutDown {
		return
	}
	c.shutDown, c.discard = true, true
	c.dropInput()
	if err := syscall.Shutdown(c.fd, syscall.SHUT_RDWR); err != nil && !c.hungUp() {
		c.forceClose()
	}
}

// shutdownOutput shuts the socket down for writing, after all that was written. If that fails,
// the connection is closed as soon as the peer has acknowledged all: without a notice of the
// end the peer would go on sending in vain.
func (c *Conn) shutdownOutput() {
	if err := syscall.Shutdown(c.fd, syscall.SHUT_WR); err == nil || c.hungUp() {
		return
	}
	if c.unacknowledged() == 0 {
		c.close()
		return
	}
	time.AfterFunc(writeRetryDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && !c.shutDown {
			c.shutdownOutput()
		}
	})
}

// unacknowledged returns the bytes in the kernel's send buffer; 0 if it does not report them.
func (c *Conn) unacknowledged() int {
	held, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return held
}

// forceClose closes the descriptor of a connection whose socket can't be shut down, since the
// poller would never see its end.
func (c *Conn) forceClose() {
	forceClosed.Add(1)
	if c.parked {
		shared.watcher.runOnPoller(c.closeParked)
		return
	}
	go func(np netpoll.Connection) { _ = np.Close() }(c.np) // it may wait for the poller
}

// forceClosed counts the calls of forceClose.
var forceClosed atomic.Int64

// ForceClosed returns the number of connections of the process whose sockets could not be shut
// down and were closed outright. It is safe for concurrent use.
func ForceClosed() int64 { return forceClosed.Load() }

// PeerClosed reports whether the peer has closed its side, or the connection has ended. Input
// from before the close may still be unread by the poller or the loop.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.shutDown || c.hungUp()
}

// hungUp reports whether the peer has closed its side or the connection is broken. The
// poller has seen it, or is about to.
func (c *Conn) hungUp() bool {
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// CloseIfBlocked closes a connection if output still waits for its full socket, and reports
// whether it does: that output is then never sent. If the poller has just sent the rest, and
// the loop has not been notified yet (Drained), it does nothing.
func (c *Conn) CloseIfBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.flushing {
		return c.lostOutput
	}
	c.close()
	return true
}

// Abort closes a connection now and has the kernel discard its send buffer, so that the
// peer sees a reset instead of a regular close.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = syscall.SetsockoptLinger(c.fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.close()
}

// HalfClose closes a connection once all output is sent and the peer has closed too, or at
// a deadline. Input is read and dropped, so that no reset overtakes the last answer.
func (c *Conn) HalfClose(deadline loop.Micros) {
	c.mu.Lock()
	if c.closed || c.shutDown || c.halfClosing {
		c.mu.Unlock()
		return
	}
	c.halfClosing, c.discard = true, true
	c.dropInput()
	if !c.flushing {
		c.shutdownOutput()
	}
	c.mu.Unlock()
	c.closeTimer = c.loop.At(deadline, c.Close)
}

// Peer returns the peer's address.
func (c *Conn) Peer() netip.AddrPort { return c.peer }
