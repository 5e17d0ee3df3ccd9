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

const testTimeout = 10 * time.Second

// recorder handles the server's side of a connection and reports its events on channels.
type recorder struct {
	c       *Conn
	mu      sync.Mutex
	input   []byte
	more    chan struct{} // input has grown
	drained chan struct{}
	closed  chan struct{}
}

func (rec *recorder) Readable(c *Conn) {
	c.Consume(func(b []byte) int {
		rec.mu.Lock()
		rec.input = append(rec.input, b...)
		rec.mu.Unlock()
		return len(b)
	})
	select {
	case rec.more <- struct{}{}:
	default:
	}
}
func (rec *recorder) Drained(*Conn) { rec.drained <- struct{}{} }
func (rec *recorder) Closed(*Conn)  { close(rec.closed) }

// newRecorder returns a recorder for a connection and sends it to recorders.
func newRecorder(c *Conn, recorders chan<- *recorder) *recorder {
	rec := &recorder{c: c, more: make(chan struct{}, 1), drained: make(chan struct{}, 1), closed: make(chan struct{})}
	recorders <- rec
	return rec
}

// testServer is a listener whose connections only record events.
type testServer struct {
	loop      *loop.Loop
	addr      string
	gauge     Gauge
	recorders chan *recorder
	listener  *Listener
}

func newTestServer(t testing.TB) *testServer {
	t.Helper()
	if err := Setup(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{addr: ln.Addr().String(), recorders: make(chan *recorder, 1)}
	_ = ln.Close()
	server.loop = loop.New(func() {})
	go server.loop.Run()
	t.Cleanup(func() { server.loop.Post(server.loop.Quit) })
	server.listener, err = Listen(server.loop, server.addr, 1<<20, &server.gauge, slog.New(slog.DiscardHandler),
		func(c *Conn) Handler { return newRecorder(c, server.recorders) })
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func (server *testServer) dial(t interface{ Fatal(...any) }) (net.Conn, *recorder) {
	c, err := net.Dial("tcp", server.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, <-server.recorders
}

// waitFor polls a condition until it holds, and fails with a message after testTimeout.
func waitFor(t interface{ Fatal(...any) }, what string, condition func() bool) {
	for end := time.Now().Add(testTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatal(what)
		}
		time.Sleep(100 * time.Microsecond)
	}
}

func (rec *recorder) parked() bool {
	rec.c.mu.Lock()
	defer rec.c.mu.Unlock()
	return rec.c.parked
}

func (rec *recorder) received(want []byte) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return bytes.Equal(rec.input, want)
}

// Guards against bytes that are lost, duplicated or reordered on a parked connection or
// while it is being parked, and against a close that is not reported.
func TestParkLosesNoBytes(t *testing.T) {
	server := newTestServer(t)
	rapid.Check(t, func(t *rapid.T) {
		client, rec := server.dial(t)
		defer func() { _ = client.Close() }()
		var sent []byte
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				rec.c.Park()
			case 1: // parked for certain
				waitFor(t, "bytes did not arrive", func() bool { return rec.received(sent) })
				waitFor(t, "not parked", func() bool { rec.c.Park(); return rec.parked() })
			}
			p := rapid.SliceOfN(rapid.Byte(), 1, 4000).Draw(t, "bytes")
			if _, err := client.Write(p); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, p...)
		}
		waitFor(t, "bytes are missing", func() bool { return rec.received(sent) })
		if rapid.Bool().Draw(t, "parked at the end") {
			rec.c.Park()
		}
		if rapid.Bool().Draw(t, "we close") {
			rec.c.Close()
			if n, _ := client.Read(make([]byte, 1)); n != 0 {
				t.Fatal("the connection was not closed")
			}
		}
		_ = client.Close()
		select {
		case <-rec.closed:
		case <-time.After(testTimeout):
			t.Fatal("the close was not reported")
		}
	})
	waitFor(t, "the gauge counts bytes of closed connections", func() bool { return server.gauge.In.Load() == 0 && server.gauge.Out.Load() == 0 })
}

// Guards against output that is lost or changed behind a full socket, against wrong counts
// of acknowledged bytes, and against buffered output that stays counted after a connection
// has ended.
func TestFullSocket(t *testing.T) {
	server := newTestServer(t)
	client, rec := server.dial(t)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<19) // 8 MB
	whole, err := rec.c.Send(data)
	if whole || err != nil {
		t.Fatal("all was taken although nobody reads", err)
	}
	if taken, left := rec.c.Acknowledged(); left == 0 || taken+int64(left) != int64(len(data)) || server.gauge.Out.Load() == 0 {
		t.Errorf("%d acknowledged and %d left of %d", taken, left, len(data))
	}
	got := make([]byte, len(data))
	if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, data) {
		t.Fatal("received other data than was sent", err)
	}
	<-rec.drained
	waitFor(t, "all was read, but not all is acknowledged", func() bool {
		taken, left := rec.c.Acknowledged()
		return taken == int64(len(data)) && left == 0
	})
	if n := server.gauge.Out.Load(); n != 0 {
		t.Errorf("%d bytes are buffered", n)
	}
	if _, err := rec.c.Send(data); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	<-rec.closed
	if n := server.gauge.Out.Load(); n != 0 {
		t.Errorf("%d bytes are buffered for a closed connection", n)
	}
}

// Guards against descriptors and watcher entries leaked by parked connections, whichever side
// closes them.
func TestParkLeaksNoDescriptors(t *testing.T) {
	server := newTestServer(t)
	files := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	before := files()
	for i := range 1000 {
		client, rec := server.dial(t)
		waitFor(t, "not parked", func() bool { rec.c.Park(); return rec.parked() })
		if i%2 == 0 {
			rec.c.Close()
			_, _ = client.Read(make([]byte, 1))
		}
		_ = client.Close()
		<-rec.closed
	}
	shared.watcher.mu.Lock()
	left := len(shared.watcher.conns)
	shared.watcher.mu.Unlock()
	if left != 0 {
		t.Errorf("%d connections are left in the watcher", left)
	}
	waitFor(t, "descriptors are leaked", func() bool { return files() <= before+1 })
}

// BenchmarkPark measures the delivery of a byte on a connection that netpoll reads, and
// on a parked one.
func BenchmarkPark(b *testing.B) {
	for _, park := range []bool{false, true} {
		b.Run(map[bool]string{false: "left", true: "parked"}[park], func(b *testing.B) {
			client, rec := newTestServer(b).dial(b)
			defer func() { _ = client.Close() }()
			_ = client.SetDeadline(time.Time{})
			if park {
				waitFor(b, "not parked", func() bool { rec.c.Park(); return rec.parked() })
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_, _ = client.Write([]byte("x"))
				<-rec.more
			}
		})
	}
}

// Guards against losing bytes that arrive right before the close, when the poller has seen
// both before the loop handles the bytes.
func TestBytesBeforeCloseAreDelivered(t *testing.T) {
	server := newTestServer(t)
	for range 200 {
		client, rec := server.dial(t)
		hold := make(chan struct{})
		server.loop.Post(func() { <-hold }) // until the poller has seen the bytes and the close
		_, _ = client.Write([]byte("last words"))
		_ = client.Close()
		waitFor(t, "the poller has not seen the close", func() bool {
			rec.c.mu.Lock()
			defer rec.c.mu.Unlock()
			return rec.c.closed
		})
		close(hold)
		<-rec.closed
		if !rec.received([]byte("last words")) {
			t.Fatalf("got %q", rec.input)
		}
	}
}

// Guards against a second listener that can't share the address, as the new process opens it
// during an upgrade, and against clients that reach neither listener or a stopped one.
func TestListenersShareAnAddress(t *testing.T) {
	server := newTestServer(t)
	recorders := make(chan *recorder, 1)
	second, err := Listen(server.loop, server.addr, 1<<20, &server.gauge, slog.New(slog.DiscardHandler),
		func(c *Conn) Handler { return newRecorder(c, recorders) })
	if err != nil {
		t.Fatalf("second listener: %v", err)
	}
	// The first client may go to either; once the second stops, every client goes
	// to the first.
	for i := range 9 {
		if i == 1 {
			second.Stop()
			waitFor(t, "the listener closes", second.Closed)
		}
		c, err := net.Dial("tcp", server.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		select {
		case <-server.recorders:
		case <-recorders:
			if i > 0 {
				t.Fatal("a stopped listener accepted a client")
			}
		case <-time.After(testTimeout):
			t.Fatal("no listener accepted the client")
		}
	}
}

// Guards against small writes that the kernel delays until the next one, or loses with a
// reset: accepted and dialed connections have TCP_NODELAY.
func TestNoDelayIsSet(t *testing.T) {
	server := newTestServer(t)
	dialled, failed := make(chan *Conn, 1), make(chan error, 1)
	var g Gauge
	rec := &recorder{more: make(chan struct{}, 1), drained: make(chan struct{}, 1), closed: make(chan struct{})}
	server.loop.Post(func() {
		Dial(server.loop, server.addr, 1<<20, &g, rec, server.loop.Now()+int64(testTimeout/time.Microsecond), func(c *Conn, err error) {
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
		case x := <-server.recorders:
			both = append(both, x.c)
		case err := <-failed:
			t.Fatal(err)
		case <-time.After(testTimeout):
			t.Fatal("no connection")
		}
	}
	for _, c := range both {
		on, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil || on == 0 {
			t.Errorf("dialled %v: TCP_NODELAY is %d, %v", c.dialed, on, err)
		}
	}
	for _, c := range both { // only now, since closing one closes the other
		c.Close()
	}
}

// Guards against bytes that are sent although CloseIfBlocked reported that they never will be,
// and the reverse: it may report so only while they wait, whatever events the loop has handled.
func TestCloseIfBlocked(t *testing.T) {
	server := newTestServer(t)
	for _, drained := range []bool{false, true} {
		client, rec := server.dial(t)
		big := make([]byte, 16<<20)
		whole, err := rec.c.Send(big)
		if whole || err != nil {
			t.Fatalf("sent whole: %v, %v", whole, err)
		}
		read := make(chan int64, 1)
		go func() {
			n, _ := io.Copy(io.Discard, client)
			read <- n
		}()
		if drained {
			<-rec.drained
			if rec.c.CloseIfBlocked() {
				t.Error("reported unsent bytes although all were sent")
			}
			rec.c.Close()
			if n := <-read; n != int64(len(big)) {
				t.Errorf("%d of %d bytes arrived", n, len(big))
			}
		} else if blocked := rec.c.CloseIfBlocked(); blocked != (<-read < int64(len(big))) {
			t.Errorf("reported unsent bytes: %v", blocked)
		} else if !blocked {
			rec.c.Close()
		}
		_ = client.Close()
		<-rec.closed
	}
}
