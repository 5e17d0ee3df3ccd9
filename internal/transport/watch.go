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

// watcher is an epoll instance that netpoll's poller watches as if it were a
// listener, since epoll descriptors can be polled themselves (epoll(7)). So its
// Accept runs on the poller whenever an event is ready, and never concurrently with
// the poller's work for a connection. It contains two kinds of descriptors:
//
//   - parked connections. netpoll's part of one, some 4 KB, is released for good;
//     from then on the watcher reads and closes it.
//   - full sockets, until they are writable. No goroutine waits for them.
type watcher struct {
	fd, wake int // epoll instance; eventfd that triggers runTasks
	events   [128]syscall.EpollEvent
	buf      [clientRecvBuffer]byte

	mu     sync.Mutex
	serial int32
	conns  map[int32]*Conn // in the epoll instance, by serial
	tasks  []func()        // to run on the poller
}

// shared holds the watcher of the process, which like netpoll's poller exists once.
var shared struct{ watcher *watcher }

// startWatcher creates the watcher of the process and adds it to the poller.
func startWatcher() (err error) {
	shared.watcher, err = newWatcher()
	return err
}

func newWatcher() (*watcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("transport: epoll: %w", err)
	}
	wake, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, fmt.Errorf("transport: eventfd: %w", errno)
	}
	w := &watcher{fd: fd, wake: int(wake), conns: map[int32]*Conn{}}
	if err := syscall.EpollCtl(fd, syscall.EPOLL_CTL_ADD, w.wake, &syscall.EpollEvent{Events: syscall.EPOLLIN, Fd: int32(wake)}); err != nil {
		return nil, fmt.Errorf("transport: epoll: %w", err)
	}
	events, err := netpoll.NewEventLoop(onRequest) // no connection ever comes from it
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	go func() { // Serve returns only if the system lacks memory to poll the watcher
		for {
			_ = events.Serve(w)
			time.Sleep(acceptRetryDelay)
		}
	}()
	return w, nil
}

// Fd is part of netpoll.Listener.
func (w *watcher) Fd() int { return w.fd }

// Addr is part of net.Listener.
func (w *watcher) Addr() net.Addr { return &net.UnixAddr{Name: "watch", Net: "unix"} }

// Close is part of net.Listener. The watcher lives as long as the process.
func (w *watcher) Close() error { return nil }

// Accept runs on the poller and handles the ready events. It never returns a
// connection; the poller calls it again while events are left.
func (w *watcher) Accept() (net.Conn, error) {
	n, _ := syscall.EpollWait(w.fd, w.events[:], 0) // on EINTR it is called again
	for _, e := range w.events[:max(0, n)] {
		if int(e.Fd) == w.wake {
			w.runTasks()
			continue
		}
		w.mu.Lock()
		c := w.conns[e.Pad]
		w.mu.Unlock()
		if c == nil {
			continue // the connection ended after the event
		}
		if e.Events&syscall.EPOLLOUT != 0 {
			c.flush()
		}
		if e.Events&^syscall.EPOLLOUT != 0 {
			c.read(w.buf[:])
		}
	}
	return nil, nil
}

// read receives data or the end of a parked connection. Connections that are not
// parked are read by netpoll.
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
		c.closeParked()
	}
}

// closeParked closes a parked connection. It runs on the poller.
func (c *Conn) closeParked() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	c.terminate()
	_ = syscall.Close(c.fd) // even on an error the descriptor is released (close(2))
}

// setEvents sets the events for which a connection's descriptor is watched; 0 removes it. On an
// error nothing has changed. A descriptor that has ended gives one too; Closed follows for it.
func (w *watcher) setEvents(c *Conn, events uint32) error {
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

// requestPark has the poller park a connection.
func (w *watcher) requestPark(c *Conn) { w.runOnPoller(func() { c.park(w) }) }

// runOnPoller has the poller call a function, between its work for connections.
func (w *watcher) runOnPoller(task func()) {
	w.mu.Lock()
	w.tasks = append(w.tasks, task)
	first := len(w.tasks) == 1
	w.mu.Unlock()
	if !first {
		return
	}
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	for {
		if _, err := syscall.Write(w.wake, one[:]); !errors.Is(err, syscall.EINTR) {
			return // a full eventfd counter wakes the poller too
		}
	}
}

// runTasks runs the queued tasks. If the eventfd can't be reset, the poller calls it again.
func (w *watcher) runTasks() {
	var count [8]byte
	_, _ = syscall.Read(w.wake, count[:])
	w.mu.Lock()
	tasks := w.tasks
	w.tasks = nil
	w.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// park detaches a connection from netpoll. It runs on the poller, so the poller is not
// working on the connection; elsewhere netpoll's Detach must not be called, since it
// waits for the poller.
func (c *Conn) park(w *watcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	np, ok := c.np.(interface{ Detach() error })
	if !ok || c.parked || c.closed || c.np.Reader().Len() > 0 {
		return
	}
	c.parked, c.np = true, nil
	c.mu.Unlock()
	_ = np.Detach() // calls onNetpollClose, which ignores a parked connection
	c.mu.Lock()
	c.addToWatcher()
}

// addToWatcher adds a parked connection to the watcher, and retries by timer if the system lacks
// memory for that.
func (c *Conn) addToWatcher() {
	if c.closed || shared.watcher.setEvents(c, c.wantedEvents()) == nil {
		return
	}
	time.AfterFunc(writeRetryDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.addToWatcher()
	})
}

// wantedEvents returns the events for which the watcher has to watch a connection.
func (c *Conn) wantedEvents() (events uint32) {
	if c.parked {
		events = syscall.EPOLLIN | syscall.EPOLLRDHUP
	}
	if c.flushing && !c.retrying {
		events |= syscall.EPOLLOUT
	}
	return events
}

// flush writes the output that waited for a full socket. Drained follows when all is
// written. A write error closes the connection.
func (c *Conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if !c.flushing { // EPOLLOUT is still set in the watcher
		c.watchWritable()
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
		c.watchWritable()
		return
	}
	c.out, c.flushing = nil, false
	c.watchWritable()
	if c.halfClosing {
		c.shutdownOutput()
	}
	c.loop.Post(c.drained)
}
