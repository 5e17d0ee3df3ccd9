package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// watch is an epoll instance of our own that netpoll's poller watches as if it
// were a listener: epoll descriptors can be polled themselves (epoll(7)). So its
// Accept runs on the poller whenever something happens there, and never beside
// what the poller does for a connection. Two kinds of descriptors stand in it:
//
//   - parked connections. netpoll's part of one, some 4 KB, is given up for good;
//     from then on the watch reads it, and ends it.
//   - full sockets, until they take more. Nothing is started to wait for them.
type watch struct {
	fd, wake int // epoll instance; eventfd that has it run tasks
	events   [128]syscall.EpollEvent
	buf      [takeBuffer]byte

	mu     sync.Mutex
	serial int32
	conns  map[int32]*Conn // by serial; of those in the epoll instance
	tasks  []func()        // for the poller
}

// watched is the program's watch, as netpoll's poller is the program's.
var watched struct{ w *watch }

// startWatch has the poller look after the watch; once for the program.
func startWatch() (err error) {
	watched.w, err = newWatch()
	return err
}

func newWatch() (*watch, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("transport: epoll: %w", err)
	}
	wake, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, fmt.Errorf("transport: eventfd: %w", errno)
	}
	w := &watch{fd: fd, wake: int(wake), conns: map[int32]*Conn{}}
	if err := syscall.EpollCtl(fd, syscall.EPOLL_CTL_ADD, w.wake, &syscall.EpollEvent{Events: syscall.EPOLLIN, Fd: int32(wake)}); err != nil {
		return nil, fmt.Errorf("transport: epoll: %w", err)
	}
	events, err := netpoll.NewEventLoop(onRequest) // it never has a connection of its own
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	go func() { // it returns only where the system lacks memory to watch the watch
		for {
			_ = events.Serve(w)
			time.Sleep(acceptRetry)
		}
	}()
	return w, nil
}

// Fd is part of netpoll.Listener.
func (w *watch) Fd() int { return w.fd }

// Addr is part of net.Listener.
func (w *watch) Addr() net.Addr { return &net.UnixAddr{Name: "watch", Net: "unix"} }

// Close is part of net.Listener. The watch lives as long as the program.
func (w *watch) Close() error { return nil }

// Accept runs on the poller and looks at what has happened. There is never a new
// connection; while something is left the poller calls it again.
func (w *watch) Accept() (net.Conn, error) {
	n, _ := syscall.EpollWait(w.fd, w.events[:], 0) // EINTR: it is called again
	for _, e := range w.events[:max(0, n)] {
		if int(e.Fd) == w.wake {
			w.runAll()
			continue
		}
		w.mu.Lock()
		c := w.conns[e.Pad]
		w.mu.Unlock()
		if c == nil {
			continue // it ended after the event
		}
		if e.Events&syscall.EPOLLOUT != 0 {
			c.push()
		}
		if e.Events&^syscall.EPOLLOUT != 0 {
			c.read(w.buf[:])
		}
	}
	return nil, nil
}

// read takes in what has come on a parked connection, or its end. Of one that is
// not parked, netpoll sees the same.
func (c *Conn) read(buf []byte) {
	c.mu.Lock()
	parked := c.parked && !c.closed
	c.mu.Unlock()
	if !parked {
		return
	}
	switch n, err := syscall.Read(c.fd, buf); {
	case n > 0:
		c.deliver(buf[:n])
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR), IsResourceShortage(err):
	default:
		c.end()
	}
}

// end ends a parked connection. It runs on the poller.
func (c *Conn) end() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	c.over()
	_ = syscall.Close(c.fd) // whatever it says, the descriptor is gone (close(2))
}

// set has a descriptor watched for events; none takes it out. On an error nothing has changed;
// there is one for a descriptor that has ended, of which Closed tells.
func (w *watch) set(c *Conn, events uint32) error {
	if events == c.events {
		return nil
	}
	op := syscall.EPOLL_CTL_MOD
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case c.events == 0:
		op = syscall.EPOLL_CTL_ADD
		for w.serial++; w.serial == 0 || w.conns[w.serial] != nil; w.serial++ {
		}
		c.serial = w.serial
	case events == 0:
		op = syscall.EPOLL_CTL_DEL
		delete(w.conns, c.serial)
	}
	err := syscall.EpollCtl(w.fd, op, c.fd, &syscall.EpollEvent{Events: events, Fd: int32(c.fd), Pad: c.serial})
	if err != nil && events != 0 {
		return err
	}
	if events != 0 {
		w.conns[c.serial] = c
	}
	c.events = events
	return nil
}

// ask has the poller park a connection.
func (w *watch) ask(c *Conn) { w.run(func() { c.park(w) }) }

// run has the poller call a function, between what it does for connections.
func (w *watch) run(do func()) {
	w.mu.Lock()
	w.tasks = append(w.tasks, do)
	first := len(w.tasks) == 1
	w.mu.Unlock()
	if !first {
		return
	}
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	for {
		if _, err := syscall.Write(w.wake, one[:]); !errors.Is(err, syscall.EINTR) {
			return // a full counter wakes the poller as well
		}
	}
}

// runAll runs what was asked for. Where the wake-up can't be taken back the poller comes again.
func (w *watch) runAll() {
	var count [8]byte
	_, _ = syscall.Read(w.wake, count[:])
	w.mu.Lock()
	tasks := w.tasks
	w.tasks = nil
	w.mu.Unlock()
	for _, do := range tasks {
		do()
	}
}

// park gives netpoll's part of a connection up. It runs on the poller, so nothing
// of the connection is under way there; netpoll's Detach may be called at no
// other time, since it waits for the poller.
func (c *Conn) park(w *watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	np, ok := c.np.(interface{ Detach() error })
	if !ok || c.parked || c.closed || c.np.Reader().Len() > 0 {
		return
	}
	c.parked, c.np = true, nil
	c.mu.Unlock()
	_ = np.Detach() // calls ended, which passes over a parked connection
	c.mu.Lock()
	c.attach()
}

// attach has the watch look after a parked connection, at once or, where the system lacks memory
// for that, soon.
func (c *Conn) attach() {
	if c.closed || watched.w.set(c, c.wants()) == nil {
		return
	}
	time.AfterFunc(writeRetry, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attach()
	})
}

// wants is the events that the watch has to look for.
func (c *Conn) wants() (events uint32) {
	if c.parked {
		events = syscall.EPOLLIN | syscall.EPOLLRDHUP
	}
	if c.flushing && !c.retrying {
		events |= syscall.EPOLLOUT
	}
	return events
}

// push sends what waited for a full socket. Drained follows when all is out. What
// can't be sent ends the connection.
func (c *Conn) push() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if !c.flushing { // its last event is still asked for
		c.awaitRoom()
		return
	}
	n, err := c.write(c.out)
	c.gauge.Out.Add(int64(-n))
	c.out = c.out[n:]
	if err != nil {
		c.close()
		return
	}
	if len(c.out) > 0 {
		c.awaitRoom()
		return
	}
	c.out, c.flushing = nil, false
	c.awaitRoom()
	if c.ending {
		c.endOutput()
	}
	c.loop.Post(c.drained)
}
