package world

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cherryramp/lab/process"
)

// doorState is how a server's address answers those who connect.
type doorState int

const (
	doorShut doorState = iota // connections are refused
	doorOpen
	doorMute // none comes up, and none is refused
)

// door is a server's address for one front.
type door struct {
	front   *Front
	server  *server
	address string

	mu      sync.Mutex
	want    doorState
	is      doorState
	ln      *net.TCPListener
	fillers []net.Conn

	accepting chan struct{} // closed once nobody accepts any more
}

func newDoor(f *Front, s *server) *door { return &door{front: f, server: s, address: f.ip + ":0"} }

// set changes how the address answers, beside the loop.
func (d *door) set(state doorState) {
	d.mu.Lock()
	d.want = state
	d.mu.Unlock()
	go func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err := d.change(); err != nil {
			d.front.w.loop.Post(func() { d.front.w.broken(ValidCommands, d.front, "the laboratory: "+err.Error()) })
		}
	}()
}

func (d *door) apply(state doorState) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.want = state
	return d.change()
}

// change brings the address to the state that is wanted by now.
func (d *door) change() error {
	if d.want == d.is {
		return nil
	}
	if d.ln != nil && (d.want == doorShut || d.is == doorMute) {
		// What stands in its queue is reset by the kernel.
		err := d.ln.Close()
		for _, c := range d.fillers {
			err = errors.Join(err, c.Close())
		}
		d.ln, d.fillers, d.accepting = nil, nil, nil
		if err != nil {
			return err
		}
	}
	d.is = d.want
	if d.want == doorShut {
		return nil
	}
	if d.ln == nil {
		ln, err := net.Listen("tcp", d.address)
		if err != nil {
			return err
		}
		d.ln = ln.(*net.TCPListener)
		if d.address != ln.Addr().String() { // the first time
			d.address = ln.Addr().String()
		}
		if d.want == doorOpen {
			d.accepting = make(chan struct{})
			go d.accept(d.ln, d.accepting)
		}
	}
	if d.want == doorMute {
		return d.fill()
	}
	return nil
}

// mostFillers is how many connections may be needed to fill a queue, with those
// that somebody else has there.
const mostFillers = 8

// fill takes the places in the queue for connections, after which the kernel drops
// what comes (listen(2): a backlog of 0 holds one on Linux).
func (d *door) fill() error {
	if d.accepting != nil {
		if err := d.ln.SetDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
		<-d.accepting
		d.accepting = nil
	}
	raw, err := d.ln.SyscallConn()
	if err != nil {
		return err
	}
	control := func(do func(fd int) error) error {
		var failed error
		return errors.Join(raw.Control(func(fd uintptr) { failed = do(int(fd)) }), failed)
	}
	if err := control(func(fd int) error { return unix.Listen(fd, 0) }); err != nil {
		return err
	}
	for range mostFillers {
		// Of a listening socket the kernel tells the queue's length and size here (tcp(7),
		// net/ipv4/tcp.c: tcp_get_info).
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
		c, err := net.DialTimeout("tcp", d.address, process.Timeout)
		if err != nil {
			return err
		}
		d.fillers = append(d.fillers, c)
	}
	return errors.New("the queue of " + d.address + " does not fill")
}

func (d *door) accept(ln *net.TCPListener, over chan struct{}) {
	defer close(over)
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		s := &socket{w: d.front.w, conn: c, out: make(chan []byte, mostQueued), ended: make(chan struct{})}
		d.front.w.loop.Post(func() { s.come(d) })
	}
}

// mostQueued is how many answers wait for a front that does not read.
const mostQueued = 1024

// socket is a server's end of a connection on loopback.
type socket struct {
	w    *World
	conn *net.TCPConn
	wire *wire
	out  chan []byte
	over bool

	ended chan struct{} // nothing comes any more
}

// come makes a connection known to the world.
func (s *socket) come(d *door) {
	f, x := d.front, d.server
	if f.dead || !x.up || x.silent {
		s.reset()
		s.stop()
		return
	}
	s.wire = s.w.connect(f, x, s)
	go s.read()
	go s.write()
}

// read passes on what comes. A machine that is cut off takes it in all the same,
// as the kernel of one that is frozen would; the world drops it.
func (s *socket) read() {
	buf := make([]byte, 32<<10)
	for {
		n, err := s.conn.Read(buf)
		if n > 0 {
			text := append([]byte(nil), buf[:n]...)
			s.w.loop.Post(func() {
				if !s.wire.closed {
					s.wire.sent(text)
				}
			})
		}
		if err != nil {
			close(s.ended)
			s.w.loop.Post(func() {
				s.wire.shut()
				s.stop()
			})
			return
		}
	}
}

func (s *socket) write() {
	for {
		select {
		case text := <-s.out:
			if _, err := s.conn.Write(text); err != nil {
				_ = s.conn.Close() // what reads ends by that, too
				return
			}
		case <-s.ended:
			return
		}
	}
}

func (s *socket) stop() {
	s.over = true
	_ = s.conn.Close()
}

// deliver is part of farEnd.
func (s *socket) deliver(text []byte) {
	if s.over {
		return
	}
	select {
	case s.out <- text:
	default: // nobody reads
		s.wire.reset()
	}
}

// lost is part of farEnd: what waits to be written goes with the connection.
func (s *socket) lost() {
	s.reset()
	s.stop()
}

func (s *socket) reset() { _ = s.conn.SetLinger(0) }
