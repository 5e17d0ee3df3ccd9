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
	acceptRetryDelay = 20 * time.Millisecond  // until an accept is retried that failed for lack of system resources
	stopPollInterval = 2 * time.Millisecond   // between checks for clients that wait to be accepted
	detachTimeout    = time.Second            // for the poller to notice the shutdown of a listener
	stopTimeout      = 300 * time.Millisecond // for accepting queued clients after Stop
	reportInterval   = time.Second            // between log lines about failed accepts
)

// reusePortConfig binds listeners with SO_REUSEPORT.
var reusePortConfig = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); e != nil {
		return e
	}
	return err
}}

type connKey struct{}

// onRequest runs on the poller when data has arrived.
func onRequest(ctx context.Context, _ netpoll.Connection) error {
	ctx.Value(connKey{}).(*Conn).receive()
	return nil
}

// Listener accepts connections at one address until Stop. Stop closes the socket, since
// closing ends listening on every system, unlike shutdown(2) of a listener.
type Listener struct {
	log          *slog.Logger
	address      net.Addr
	serveDone    chan struct{} // closed when netpoll no longer uses the socket
	acceptErrors atomic.Int64  // number of failed accepts

	mu           sync.Mutex
	socket       int // -1: closed
	stopped      bool
	stopDeadline time.Time // after which no client is accepted
	admitting    int       // accepted connections that admit has not returned from yet
	retrying     bool      // netpoll has removed the socket from its poller and calls Accept in a goroutine
	lastLogged   time.Time
}

// Listen accepts connections at an address. For each, admit is called on the poller
// and returns the connection's handler; nil refuses the connection. The socket is
// bound with SO_REUSEPORT, so that during an upgrade the new process listens beside
// the old one and the kernel distributes new clients among both. limit bounds the
// input buffer of a connection in bytes; see Overflowed. The gauge counts what all
// connections buffer.
func Listen(l *loop.Loop, address string, limit int, g *Gauge, log *slog.Logger, admit func(*Conn) Handler) (*Listener, error) {
	ln, err := newListener(address, log)
	if err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w", address, err)
	}
	events, err := netpoll.NewEventLoop(onRequest,
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			c := newConn(l, np, limit, g)
			c.handler = admit(c)
			ln.admitted()
			ctx := context.WithValue(context.Background(), connKey{}, c)
			if c.handler == nil {
				_ = np.Close()
				return ctx
			}
			// Errors are ignored: these options only improve performance.
			_ = syscall.SetsockoptInt(c.fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
			_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, clientSendBuffer)
			_ = syscall.SetsockoptInt(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientRecvBuffer)
			_ = np.AddCloseCallback(c.onNetpollClose)
			return ctx
		}))
	if err != nil {
		_ = unix.Close(ln.socket)
		return nil, fmt.Errorf("transport: %w", err)
	}
	go ln.serve(events)
	return ln, nil
}

// serve has the poller watch the socket until Stop, and retries if that fails for lack of
// memory.
func (ln *Listener) serve(events netpoll.EventLoop) {
	defer close(ln.serveDone)
	for {
		err := events.Serve(ln)
		ln.mu.Lock()
		stopped := ln.stopped
		ln.mu.Unlock()
		if stopped {
			return
		}
		ln.log.Warn("a listener can't be watched", "error", err)
		time.Sleep(acceptRetryDelay)
	}
}

// newListener creates a listener with a bound socket.
func newListener(address string, log *slog.Logger) (*Listener, error) {
	bound, err := reusePortConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	defer bound.Close() // the duplicated descriptor stays open
	raw, err := bound.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	ln := &Listener{log: log.With("listen", address), address: bound.Addr(), serveDone: make(chan struct{})}
	if e := raw.Control(func(fd uintptr) { ln.socket, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		return nil, e
	}
	return ln, err
}

// Stop has the listener accept the clients that the kernel has queued, for at most stopTimeout,
// and then closes its socket; see Closed. Accepted connections stay open. New clients go to
// other processes that listen at the address, or are refused if there are none. It is safe
// for concurrent use and may be called more than once.
func (ln *Listener) Stop() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.stopped {
		return
	}
	ln.stopped, ln.stopDeadline = true, time.Now().Add(stopTimeout)
	go ln.close()
}

// Closed reports whether the listening socket is closed. By then all accepted connections
// have been passed to admit.
func (ln *Listener) Closed() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.socket < 0
}

// close waits until no client waits to be accepted and closes the socket.
func (ln *Listener) close() {
	for ln.hasPending() {
		time.Sleep(stopPollInterval)
	}
	ln.detach()
	ln.mu.Lock()
	err := unix.Close(ln.socket) // even on an error the descriptor is released (close(2))
	ln.socket = -1
	ln.mu.Unlock()
	ln.log.Info("listener closed", "accept_errors", ln.acceptErrors.Load(), "close_error", err)
}

// admitted notes that admit has returned for an accepted connection.
func (ln *Listener) admitted() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.admitting--
}

// hasPending reports whether a client may still be accepted, or is being passed to admit.
func (ln *Listener) hasPending() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if past := time.Since(ln.stopDeadline); past > 0 { // Accept accepts no more
		return past < detachTimeout && (ln.retrying || ln.admitting > 0)
	}
	ready := []unix.PollFd{{Fd: int32(ln.socket), Events: unix.POLLIN}}
	n, err := unix.Poll(ready, 0)
	return ln.retrying || ln.admitting > 0 || n > 0 || err != nil
}

// detach has netpoll release the socket, so that its poller never touches a later use of
// the descriptor. The poller handles the shutdown like a hang-up, if the system supports
// shutdown of a listener. Otherwise closing the socket removes it from the poller, and only
// netpoll's waiting goroutine is leaked.
func (ln *Listener) detach() {
	err := unix.Shutdown(ln.socket, unix.SHUT_RD)
	if err != nil {
		ln.log.Info("listener: shutdown is not known here, its socket is closed", "error", err)
		return
	}
	select {
	case <-ln.serveDone:
	case <-time.After(detachTimeout):
		ln.log.Warn("listener: the poller has not heard of its shutdown, its socket is closed")
	}
}

// Accept is part of net.Listener. The poller calls it again while clients are queued. It
// returns nil without an error if there is none.
func (ln *Listener) Accept() (net.Conn, error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for {
		if ln.socket < 0 || ln.stopped && time.Now().After(ln.stopDeadline) {
			ln.retrying = false
			return nil, nil
		}
		fd, from, err := unix.Accept4(ln.socket, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			ln.admitting++
			return &acceptedConn{fd: fd, local: ln.address, remote: tcpAddress(from)}, nil
		case errors.Is(err, unix.EAGAIN):
			ln.retrying = false
			return nil, nil
		case errors.Is(err, unix.EINTR):
		case !IsResourceShortage(err):
			ln.logAcceptError(err) // a connection that ended before it was accepted: try the next
		case !ln.retrying:
			ln.logAcceptError(err)
			ln.retrying = true
			return nil, syscall.EMFILE // has netpoll call Accept in a goroutine until it returns none
		default:
			ln.logAcceptError(err)
			ln.mu.Unlock()
			time.Sleep(acceptRetryDelay)
			ln.mu.Lock()
		}
	}
}

// IsResourceShortage reports whether err means that this machine lacks descriptors, buffers,
// memory, ports or permission. This may pass, and it says nothing about the peer.
func IsResourceShortage(err error) bool {
	for _, lack := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EPERM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// logAcceptError counts a failed accept and logs it, at most once per reportInterval.
func (ln *Listener) logAcceptError(err error) {
	n := ln.acceptErrors.Add(1)
	now := time.Now()
	if now.Sub(ln.lastLogged) < reportInterval {
		return
	}
	ln.lastLogged = now
	message := "a client can't be accepted"
	if errors.Is(err, unix.EMFILE) {
		message = "descriptors have run out: clients wait until one is free"
	}
	ln.log.Warn(message, "error", err, "accept_errors", n)
}

// Close is part of net.Listener.
func (ln *Listener) Close() error {
	ln.Stop()
	return nil
}

// Fd is part of netpoll.Listener.
func (ln *Listener) Fd() int { return ln.socket }

// Addr is part of net.Listener.
func (ln *Listener) Addr() net.Addr { return ln.address }

func tcpAddress(from unix.Sockaddr) net.Addr {
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)))
	case *unix.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)))
	}
	return &net.TCPAddr{}
}

// acceptedConn is a connection in the form that netpoll takes over: a descriptor with addresses.
type acceptedConn struct {
	net.Conn // nil: netpoll uses no other methods
	fd       int
	local    net.Addr
	remote   net.Addr
}

// Fd is part of netpoll.Conn.
func (a *acceptedConn) Fd() int { return a.fd }

// LocalAddr is part of net.Conn.
func (a *acceptedConn) LocalAddr() net.Addr { return a.local }

// RemoteAddr is part of net.Conn.
func (a *acceptedConn) RemoteAddr() net.Addr { return a.remote }
