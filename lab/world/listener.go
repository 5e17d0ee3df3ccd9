package world

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cherryramp/lab/process"
)

// listenerState is how a server's address responds to connection attempts.
type listenerState int

const (
	listenerRefusing listenerState = iota // connections are refused
	listenerAccepting
	listenerSilent // connection attempts time out
)

// listener is a server's address for one front.
type listener struct {
	front   *Front
	server  *server
	address string

	mu      sync.Mutex
	wanted  listenerState
	current listenerState
	ln      *net.TCPListener
	fillers []net.Conn

	acceptDone chan struct{} // closed once the accept loop has ended
}

func newListener(f *Front, s *server) *listener {
	return &listener{front: f, server: s, address: f.ip + ":0"}
}

// set changes the state asynchronously, outside the loop.
func (l *listener) set(state listenerState) {
	l.mu.Lock()
	l.wanted = state
	l.mu.Unlock()
	go func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if err := l.change(); err != nil {
			l.front.w.loop.Post(func() { l.front.w.reportViolation(ValidCommands, l.front, "laboratory listener: "+err.Error()) })
		}
	}()
}

func (l *listener) apply(state listenerState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = state
	return l.change()
}

// change brings the listener to the state wanted by now.
func (l *listener) change() error {
	if l.wanted == l.current {
		return nil
	}
	if l.ln != nil && (l.wanted == listenerRefusing || l.current == listenerSilent) {
		// The kernel resets the connections in its queue.
		err := l.ln.Close()
		for _, c := range l.fillers {
			err = errors.Join(err, c.Close())
		}
		l.ln, l.fillers, l.acceptDone = nil, nil, nil
		if err != nil {
			return err
		}
	}
	l.current = l.wanted
	if l.wanted == listenerRefusing {
		return nil
	}
	if l.ln == nil {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		l.ln = ln.(*net.TCPListener)
		if l.address != ln.Addr().String() { // the first time
			l.address = ln.Addr().String()
		}
		if l.wanted == listenerAccepting {
			l.acceptDone = make(chan struct{})
			go l.accept(l.ln, l.acceptDone)
		}
	}
	if l.wanted == listenerSilent {
		return l.fill()
	}
	return nil
}

// maxFillers is the number of connections that may be needed to fill a queue that also
// holds connections of others.
const maxFillers = 8

// fill fills the accept queue, after which the kernel drops connection attempts
// (listen(2): a backlog of 0 holds one connection on Linux).
func (l *listener) fill() error {
	if l.acceptDone != nil {
		if err := l.ln.SetDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
		<-l.acceptDone
		l.acceptDone = nil
	}
	raw, err := l.ln.SyscallConn()
	if err != nil {
		return err
	}
	control := func(call func(fd int) error) error {
		var failed error
		return errors.Join(raw.Control(func(fd uintptr) { failed = call(int(fd)) }), failed)
	}
	if err := control(func(fd int) error { return unix.Listen(fd, 0) }); err != nil {
		return err
	}
	for range maxFillers {
		// For a listening socket the kernel reports the queue's length and size in these
		// fields (tcp(7), net/ipv4/tcp.c: tcp_get_info).
		full := false
		if err := control(func(fd int) error {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			full = err == nil && info.Unacked > info.Sacked
			return err
		}); err != nil {
			return err
		}
		if full {
			return nil
		}
		c, err := net.DialTimeout("tcp", l.address, process.Timeout)
		if err != nil {
			return err
		}
		l.fillers = append(l.fillers, c)
	}
	return errors.New("the accept queue of " + l.address + " does not fill")
}

func (l *listener) accept(ln *net.TCPListener, done chan struct{}) {
	defer close(done)
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		s := &socket{w: l.front.w, tcp: c, outgoing: make(chan []byte, maxQueuedReplies), readDone: make(chan struct{})}
		l.front.w.loop.Post(func() { s.register(l) })
	}
}

// maxQueuedReplies is the number of replies that may wait for a front that does not
// read.
const maxQueuedReplies = 1024

// socket is the server's end of a connection on loopback.
type socket struct {
	w        *World
	tcp      *net.TCPConn
	conn     *connection
	outgoing chan []byte
	stopped  bool

	readDone chan struct{} // closed when nothing more is read
}

// register adds a connection to the world.
func (s *socket) register(l *listener) {
	f, srv := l.front, l.server
	if f.stopped || !srv.up || srv.unreachable {
		s.reset()
		s.stop()
		return
	}
	s.conn = s.w.connect(f, srv, s)
	go s.read()
	go s.write()
}

// read passes on received bytes. A machine that is cut off still receives them, as the
// kernel of a frozen machine would; the world discards them.
func (s *socket) read() {
	buf := make([]byte, 32<<10)
	for {
		n, err := s.tcp.Read(buf)
		if n > 0 {
			text := append([]byte(nil), buf[:n]...)
			s.w.loop.Post(func() {
				if !s.conn.closed {
					s.conn.receive(text)
				}
			})
		}
		if err != nil {
			close(s.readDone)
			s.w.loop.Post(func() {
				s.conn.closeByFront()
				s.stop()
			})
			return
		}
	}
}

func (s *socket) write() {
	for {
		select {
		case text := <-s.outgoing:
			if _, err := s.tcp.Write(text); err != nil {
				_ = s.tcp.Close() // this also ends the read loop
				return
			}
		case <-s.readDone:
			return
		}
	}
}

func (s *socket) stop() {
	s.stopped = true
	_ = s.tcp.Close()
}

// deliver implements frontEnd.
func (s *socket) deliver(text []byte) {
	if s.stopped {
		return
	}
	select {
	case s.outgoing <- text:
	default: // the front does not read
		s.conn.reset()
	}
}

// serverClosed implements frontEnd. Replies that wait to be written are discarded with
// the connection.
func (s *socket) serverClosed() {
	s.reset()
	s.stop()
}

func (s *socket) reset() { _ = s.tcp.SetLinger(0) }
