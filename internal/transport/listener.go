package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cherryramp/internal/loop"
)

const (
	acceptRetry    = 20 * time.Millisecond  // until accepting is tried again where the system lacks room for it
	stopPoll       = 2 * time.Millisecond   // between looks at whether anybody still waits to be accepted
	detachPatience = time.Second            // for the poller to hear of a shutdown
	stopPatience   = 300 * time.Millisecond // for what waits to be accepted after Stop
	reportInterval = time.Second            // between log lines about failing accepts
)

// reusePort binds listeners with SO_REUSEPORT.
var reusePort = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); e != nil {
		return e
	}
	return err
}}

type connKey struct{}

// onRequest runs on the poller when bytes have come.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	ctx.Value(connKey{}).(*Conn).receive()
	return nil
}

// Listener accepts connections at one address until Stop. What Stop promises is that the
// socket is closed: closing is what ends listening on every system, where shutdown(2) of a
// listener is not.
type Listener struct {
	log     *slog.Logger
	address net.Addr
	served  chan struct{} // closed when netpoll has left the socket alone
	failed  atomic.Int64  // accepts

	mu       sync.Mutex
	socket   int // -1: closed
	stopped  bool
	stopBy   time.Time // after which nothing more is accepted
	entering int       // connections that were accepted and that admit has not heard of yet
	retrying bool      // netpoll has taken the socket out of its poller and calls Accept elsewhere
	reported time.Time
}

// Listen accepts connections at an address. For each, admit is called on the
// poller and gives the connection's handler; nil turns the connection away.
// The socket is bound with SO_REUSEPORT, so that a new process of an upgrade
// listens beside the old one and the kernel shares new clients between both.
// What a connection buffers is bounded by limit; see Flooded. What all hold is in
// the gauge.
func Listen(l *loop.Loop, address string, limit int, g *Gauge, log *slog.Logger, admit func(*Conn) Handler) (*Listener, error) {
	x, err := newListener(address, log)
	if err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w", address, err)
	}
	events, err := netpoll.NewEventLoop(onRequest,
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			c := wrap(l, np, limit, g)
			c.handler = admit(c)
			x.admitted()
			ctx := context.WithValue(context.Background(), connKey{}, c)
			if c.handler == nil {
				_ = np.Close()
				return ctx
			}
			// These three only make the connection faster.
			_ = syscall.SetsockoptInt(c.fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
			_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, takeBuffer)
			_ = np.AddCloseCallback(c.ended)
			return ctx
		}))
	if err != nil {
		_ = unix.Close(x.socket)
		return nil, fmt.Errorf("transport: %w", err)
	}
	go x.serve(events)
	return x, nil
}

// serve has the poller watch the socket until Stop. Where the system lacks memory for that, it is
// tried again.
func (x *Listener) serve(events netpoll.EventLoop) {
	defer close(x.served)
	for {
		err := events.Serve(x)
		x.mu.Lock()
		stopped := x.stopped
		x.mu.Unlock()
		if stopped {
			return
		}
		x.log.Warn("a listener can't be watched", "error", err)
		time.Sleep(acceptRetry)
	}
}

// newListener binds the socket.
func newListener(address string, log *slog.Logger) (*Listener, error) {
	bound, err := reusePort.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	defer bound.Close() // our own descriptor of the socket stays
	raw, err := bound.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	x := &Listener{log: log.With("listen", address), address: bound.Addr(), served: make(chan struct{})}
	if e := raw.Control(func(fd uintptr) { x.socket, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		return nil, e
	}
	return x, err
}

// Stop has the listener accept what the kernel holds for it, for stopPatience at most, and
// then close its socket; see Closed. The connections accepted stay. New clients go to the
// other processes that listen at the address, or are refused where there are none. It may
// be called from anywhere, and more than once.
func (x *Listener) Stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped {
		return
	}
	x.stopped, x.stopBy = true, time.Now().Add(stopPatience)
	go x.close()
}

// Closed tells whether the listening socket is closed. All that was accepted has been
// posted to the loop by then.
func (x *Listener) Closed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.socket < 0
}

// close waits until nobody waits to be accepted and closes the socket.
func (x *Listener) close() {
	for x.waited() {
		time.Sleep(stopPoll)
	}
	x.detach()
	x.mu.Lock()
	err := unix.Close(x.socket) // whatever it says, the descriptor is gone (close(2))
	x.socket = -1
	x.mu.Unlock()
	x.log.Info("listener closed", "accept_errors", x.failed.Load(), "close_error", err)
}

// admitted tells that admit has heard of a connection that was accepted.
func (x *Listener) admitted() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entering--
}

// waited tells whether a client may still be accepted, or is on its way to admit.
func (x *Listener) waited() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if past := time.Since(x.stopBy); past > 0 { // Accept gives up by itself
		return past < detachPatience && (x.retrying || x.entering > 0)
	}
	ready := []unix.PollFd{{Fd: int32(x.socket), Events: unix.POLLIN}}
	n, err := unix.Poll(ready, 0)
	return x.retrying || x.entering > 0 || n > 0 || err != nil
}

// detach has netpoll leave the socket alone, so that its poller never touches the
// descriptor's next owner. The poller takes the shutdown for a hang-up, where the system
// knows one of a listener. Where it does not, closing the socket takes it out of the poller,
// and only netpoll's waiting goroutine is left behind.
func (x *Listener) detach() {
	err := unix.Shutdown(x.socket, unix.SHUT_RD)
	if err != nil {
		x.log.Info("listener: shutdown is not known here, its socket is closed", "error", err)
		return
	}
	select {
	case <-x.served:
	case <-time.After(detachPatience):
		x.log.Warn("listener: the poller has not heard of its shutdown, its socket is closed")
	}
}

// Accept is part of net.Listener. The poller calls it again while anything is left. It gives
// no connection where there is none now.
func (x *Listener) Accept() (net.Conn, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for {
		if x.socket < 0 || x.stopped && time.Now().After(x.stopBy) {
			x.retrying = false
			return nil, nil
		}
		fd, from, err := unix.Accept4(x.socket, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			x.entering++
			return &accepted{fd: fd, local: x.address, remote: tcpAddress(from)}, nil
		case errors.Is(err, unix.EAGAIN):
			x.retrying = false
			return nil, nil
		case errors.Is(err, unix.EINTR):
		case !IsResourceShortage(err):
			x.report(err) // of a connection that ended before it was accepted: the next may be whole
		case !x.retrying:
			x.report(err)
			x.retrying = true
			return nil, syscall.EMFILE // netpoll's sign to call Accept beside its poller until it gives none
		default:
			x.report(err)
			x.mu.Unlock()
			time.Sleep(acceptRetry)
			x.mu.Lock()
		}
	}
}

// LacksRoom tells whether this machine could not do what was asked for want of descriptors,
// buffers, ports or leave, which it may have again later. It says nothing of the other side.
func IsResourceShortage(err error) bool {
	for _, lack := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EPERM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// report counts a failed accept and says so now and then.
func (x *Listener) report(err error) {
	n := x.failed.Add(1)
	now := time.Now()
	if now.Sub(x.reported) < reportInterval {
		return
	}
	x.reported = now
	message := "a client can't be accepted"
	if errors.Is(err, unix.EMFILE) {
		message = "descriptors have run out: clients wait until one is free"
	}
	x.log.Warn(message, "error", err, "accept_errors", n)
}

// Close is part of net.Listener.
func (x *Listener) Close() error {
	x.Stop()
	return nil
}

// Fd is part of netpoll.Listener.
func (x *Listener) Fd() int { return x.socket }

// Addr is part of net.Listener.
func (x *Listener) Addr() net.Addr { return x.address }

func tcpAddress(from unix.Sockaddr) net.Addr {
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)))
	case *unix.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)))
	}
	return &net.TCPAddr{}
}

// accepted is a connection as netpoll takes it over: its descriptor and its addresses.
type accepted struct {
	net.Conn // nil: netpoll asks for nothing else
	fd       int
	local    net.Addr
	remote   net.Addr
}

// Fd is part of netpoll.Conn.
func (a *accepted) Fd() int { return a.fd }

// LocalAddr is part of net.Conn.
func (a *accepted) LocalAddr() net.Addr { return a.local }

// RemoteAddr is part of net.Conn.
func (a *accepted) RemoteAddr() net.Addr { return a.remote }
