package transport

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"cherryramp/internal/loop"
	"cherryramp/internal/loopbacktest"
	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const patience = 10 * time.Second

// end is the server's side of a connection; what happens to it is told on channels.
type end struct {
	c       *Conn
	mu      sync.Mutex
	got     []byte
	more    chan struct{} // something was added to got
	drained chan struct{}
	closed  chan struct{}
}

func (e *end) Readable(c *Conn) {
	c.Consume(func(b []byte) int {
		e.mu.Lock()
		e.got = append(e.got, b...)
		e.mu.Unlock()
		return len(b)
	})
	select {
	case e.more <- struct{}{}:
	default:
	}
}
func (e *end) Drained(*Conn) { e.drained <- struct{}{} }
func (e *end) Closed(*Conn)  { close(e.closed) }

// newEnd makes the server's side of a connection and tells of it.
func newEnd(c *Conn, ends chan<- *end) *end {
	e := &end{c: c, more: make(chan struct{}, 1), drained: make(chan struct{}, 1), closed: make(chan struct{})}
	ends <- e
	return e
}

// world is a listener whose connections do nothing by themselves.
type world struct {
	loop     *loop.Loop
	addr     string
	gauge    Gauge
	ends     chan *end
	listener *Listener
}

func newWorld(t testing.TB) *world {
	t.Helper()
	if err := Setup(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{addr: ln.Addr().String(), ends: make(chan *end, 1)}
	_ = ln.Close()
	w.loop = loop.New(func() {})
	go w.loop.Run()
	t.Cleanup(func() { w.loop.Post(w.loop.Quit) })
	w.listener, err = Listen(w.loop, w.addr, 1<<20, &w.gauge, slog.New(slog.DiscardHandler), func(c *Conn) Handler { return newEnd(c, w.ends) })
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) dial(t interface{ Fatal(...any) }) (net.Conn, *end) {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	return c, <-w.ends
}

// until looks again and again whether something holds.
func until(t interface{ Fatal(...any) }, what string, holds func() bool) {
	for end := time.Now().Add(patience); !holds(); {
		if time.Now().After(end) {
			t.Fatal(what)
		}
		time.Sleep(100 * time.Microsecond)
	}
}

func (e *end) parked() bool {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.c.parked
}

func (e *end) has(want []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return bytes.Equal(e.got, want)
}

// What comes to a parked connection, or crosses its parking, comes once and in
// order; so does its end.
func TestParkLosesNothing(t *testing.T) {
	w := newWorld(t)
	rapid.Check(t, func(t *rapid.T) {
		client, e := w.dial(t)
		defer func() { _ = client.Close() }()
		var sent []byte
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				e.c.Park()
			case 1: // surely parked
				until(t, "did not come", func() bool { return e.has(sent) })
				until(t, "not parked", func() bool { e.c.Park(); return e.parked() })
			}
			p := rapid.SliceOfN(rapid.Byte(), 1, 4000).Draw(t, "bytes")
			if _, err := client.Write(p); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, p...)
		}
		until(t, "bytes are missing", func() bool { return e.has(sent) })
		if rapid.Bool().Draw(t, "parked at the end") {
			e.c.Park()
		}
		if rapid.Bool().Draw(t, "we close") {
			e.c.Close()
			if n, _ := client.Read(make([]byte, 1)); n != 0 {
				t.Fatal("no end")
			}
		}
		_ = client.Close()
		select {
		case <-e.closed:
		case <-time.After(patience):
			t.Fatal("its end is not told")
		}
	})
	until(t, "the gauge counts what has gone", func() bool { return w.gauge.In.Load() == 0 && w.gauge.Out.Load() == 0 })
}

// A full socket takes the rest later, whole, with the other side's pace told, and
// nothing stands there for a connection that ends before.
func TestFullSocket(t *testing.T) {
	w := newWorld(t)
	client, e := w.dial(t)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<19) // 8 MB
	whole, err := e.c.Send(data)
	if whole || err != nil {
		t.Fatal("nobody reads, and all was taken", err)
	}
	if taken, left := e.c.Acknowledged(); left == 0 || taken+int64(left) != int64(len(data)) || w.gauge.Out.Load() == 0 {
		t.Errorf("%d taken and %d left of %d", taken, left, len(data))
	}
	got := make([]byte, len(data))
	if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, data) {
		t.Fatal("not what was sent", err)
	}
	<-e.drained
	until(t, "all was read, and not all is taken", func() bool {
		taken, left := e.c.Acknowledged()
		return taken == int64(len(data)) && left == 0
	})
	if n := w.gauge.Out.Load(); n != 0 {
		t.Errorf("%d bytes wait", n)
	}
	if _, err := e.c.Send(data); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	<-e.closed
	if n := w.gauge.Out.Load(); n != 0 {
		t.Errorf("%d bytes wait of what has ended", n)
	}
}

// Connections that come and go parked, by their end or ours, leave no descriptor and nothing in the watch behind.
func TestParkLeaksNothing(t *testing.T) {
	w := newWorld(t)
	files := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	before := files()
	for i := range 1000 {
		client, e := w.dial(t)
		until(t, "not parked", func() bool { e.c.Park(); return e.parked() })
		if i%2 == 0 {
			e.c.Close()
			_, _ = client.Read(make([]byte, 1))
		}
		_ = client.Close()
		<-e.closed
	}
	watched.w.mu.Lock()
	left := len(watched.w.conns)
	watched.w.mu.Unlock()
	if left != 0 {
		t.Errorf("%d are left in the watch", left)
	}
	until(t, "descriptors are left", func() bool { return files() <= before+1 })
}

// BenchmarkPark is a byte that comes to a connection that netpoll reads, and to a
// parked one.
func BenchmarkPark(b *testing.B) {
	for _, park := range []bool{false, true} {
		b.Run(map[bool]string{false: "left", true: "parked"}[park], func(b *testing.B) {
			client, e := newWorld(b).dial(b)
			defer func() { _ = client.Close() }()
			_ = client.SetDeadline(time.Time{})
			if park {
				until(b, "not parked", func() bool { e.c.Park(); return e.parked() })
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_, _ = client.Write([]byte("x"))
				<-e.more
			}
		})
	}
}

// What came just before the end is still there when the loop comes to it.
func TestLastWordsAreHeard(t *testing.T) {
	w := newWorld(t)
	for range 200 {
		client, e := w.dial(t)
		hold := make(chan struct{})
		w.loop.Post(func() { <-hold }) // until the poller has seen both
		_, _ = client.Write([]byte("last words"))
		_ = client.Close()
		until(t, "the poller has not seen the end", func() bool {
			e.c.mu.Lock()
			defer e.c.mu.Unlock()
			return e.c.closed
		})
		close(hold)
		<-e.closed
		if !e.has([]byte("last words")) {
			t.Fatalf("got %q", e.got)
		}
	}
}

// A second listener at the same address, as a new process of an upgrade opens
// it, is let in beside the first, and clients reach one of the two.
func TestListenersShareAnAddress(t *testing.T) {
	w := newWorld(t)
	ends := make(chan *end, 1)
	second, err := Listen(w.loop, w.addr, 1<<20, &w.gauge, slog.New(slog.DiscardHandler), func(c *Conn) Handler { return newEnd(c, ends) })
	if err != nil {
		t.Fatalf("second listener: %v", err)
	}
	// The first client may go to either; once the second stops, every client goes
	// to the first.
	for i := range 9 {
		if i == 1 {
			second.Stop()
			until(t, "the listener closes", second.Closed)
		}
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		select {
		case <-w.ends:
		case <-ends:
			if i > 0 {
				t.Fatal("a stopped listener took a client")
			}
		case <-time.After(patience):
			t.Fatal("no listener took the client")
		}
	}
}

// Guards against small writes that the system holds back, to go out with the next or be lost
// with a reset: both kinds of connections have TCP_NODELAY.
func TestNothingIsHeldBack(t *testing.T) {
	w := newWorld(t)
	dialled, failed := make(chan *Conn, 1), make(chan error, 1)
	var g Gauge
	e := &end{more: make(chan struct{}, 1), drained: make(chan struct{}, 1), closed: make(chan struct{})}
	w.loop.Post(func() {
		Dial(w.loop, w.addr, 1<<20, &g, e, w.loop.Now()+int64(patience/time.Microsecond), func(c *Conn, err error) {
			if err != nil {
				failed <- err
				return
			}
			dialled <- c
		})
	})
	var both []*Conn
	for len(both) < 2 {
		select {
		case c := <-dialled:
			both = append(both, c)
		case x := <-w.ends:
			both = append(both, x.c)
		case err := <-failed:
			t.Fatal(err)
		case <-time.After(patience):
			t.Fatal("no connection")
		}
	}
	for _, c := range both {
		on, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil || on == 0 {
			t.Errorf("dialled %v: TCP_NODELAY is %d, %v", c.dialed, on, err)
		}
	}
	for _, c := range both { // only now: the end of one is the end of the other
		c.Close()
	}
}

// Guards against bytes that leave although whoever sent them was told that they never will, and
// against the contrary: a cut counts only while they wait, whatever the loop has heard.
func TestCut(t *testing.T) {
	w := newWorld(t)
	for _, drained := range []bool{false, true} {
		client, e := w.dial(t)
		big := make([]byte, 16<<20)
		whole, err := e.c.Send(big)
		if whole || err != nil {
			t.Fatalf("sent whole: %v, %v", whole, err)
		}
		read := make(chan int64, 1)
		go func() {
			n, _ := io.Copy(io.Discard, client)
			read <- n
		}()
		if drained {
			<-e.drained
			if e.c.CloseIfBlocked() {
				t.Error("all had left")
			}
			e.c.Close()
			if n := <-read; n != int64(len(big)) {
				t.Errorf("%d of %d bytes came", n, len(big))
			}
		} else if cut := e.c.CloseIfBlocked(); cut != (<-read < int64(len(big))) {
			t.Errorf("cut: %v", cut)
		} else if !cut {
			e.c.Close()
		}
		_ = client.Close()
		<-e.closed
	}
}
