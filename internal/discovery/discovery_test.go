package discovery

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/loopbacktest"
	"cherryramp/internal/seededtest"
	"cherryramp/internal/transport"
)

func TestMain(m *testing.M) {
	if err := transport.Setup(quiet); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	seededtest.Main(m)
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

const maxWait = 10 * time.Second

// memberSink is a sink that sends the members it receives to a channel.
type memberSink struct{ members chan gateway.Member }

func (s memberSink) Members(_ bool, list []gateway.Member) {
	for _, m := range list {
		s.members <- m
	}
}
func (memberSink) Purge(gateway.Purge)         {}
func (memberSink) BoardCurrent(gateway.Micros) {}

// follow starts a client of a board at an address. The function returned runs another
// one on the client's loop and waits for it.
func follow(t *testing.T, address string) (*Client, memberSink, func(func())) {
	t.Helper()
	l := loop.New(func() {})
	sink := memberSink{make(chan gateway.Member, 100)}
	b := New(l, quiet, address, TimeoutsFor(500_000), nil, sink)
	done := make(chan struct{})
	go func() { l.Run(); close(done) }()
	t.Cleanup(func() { l.Post(l.Quit); <-done })
	l.Post(b.Start)
	return b, sink, func(f func()) {
		done := make(chan struct{})
		l.Post(func() { f(); close(done) })
		<-done
	}
}

// boardConn is the board's side of one connection.
type boardConn struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func accept(t *testing.T, ln net.Listener) *boardConn {
	t.Helper()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(maxWait))
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(maxWait))
	return &boardConn{t, c, bufio.NewReader(c)}
}

// poll reads a poll and returns the event number after which it asks.
func (w *boardConn) poll() string {
	w.t.Helper()
	r, err := http.ReadRequest(w.r)
	if err != nil {
		w.t.Fatal(err)
	}
	return r.URL.Query().Get("watch")
}

const drainingAnswer = `{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:1",` +
	`"locality":"z","flavor":"k","phase":"DRAINING"}]}}]}`

func httpAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (w *boardConn) send(text string) {
	w.t.Helper()
	if _, err := io.WriteString(w.c, text); err != nil {
		w.t.Fatal(err)
	}
}

// Guards against requests that still go to a draining server because the connection that
// would have delivered the event fell silent: from the start, in the middle of an event,
// or after a whole answer. Each time the board must be polled on another connection, from
// the last whole event on.
func TestSilentWatches(t *testing.T) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	_, sink, _ := follow(t, ln.Addr().String())
	if n := accept(t, ln).poll(); n != "0" { // never answered
		t.Errorf("polled after event %s", n)
	}
	cut := accept(t, ln)
	cut.poll()
	cut.send(httpAnswer(drainingAnswer)[:120])
	w := accept(t, ln)
	if n := w.poll(); n != "0" {
		t.Errorf("after half an event it polls after event %s", n)
	}
	w.send(httpAnswer(drainingAnswer))
	select {
	case m := <-sink.members:
		if m.Name != "s-1" {
			t.Errorf("received %+v", m)
		}
	case <-time.After(maxWait):
		t.Fatal("no member received")
	}
	if n := w.poll(); n != "1" {
		t.Errorf("the next poll polls after event %s", n)
	}
	if n := accept(t, ln).poll(); n != "1" {
		t.Errorf("on another connection it polls after event %s", n)
	}
}

// slowBoard is a board that answers each poll later than it is due.
type slowBoard struct {
	late    time.Duration
	inParts bool        // half of an answer is sent when it is due
	slow    atomic.Bool // as late as that from now on
	held    atomic.Bool // the board holds the event
}

// ServeHTTP answers a poll.
func (board *slowBoard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := `{"rev":0,"notices":[]}`
	linger, _ := strconv.Atoi(r.FormValue("linger"))
	for end := time.Now().Add(time.Duration(linger) * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if board.held.Load() {
			body = drainingAnswer
			break
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if board.inParts {
		_, _ = io.WriteString(w, body[:9])
		body = body[9:]
		_ = http.NewResponseController(w).Flush()
	}
	if board.slow.Load() {
		time.Sleep(board.late)
	}
	_, _ = io.WriteString(w, body)
}

func (board *slowBoard) start(t *testing.T) (address string) {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: board}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// Guards against a sound board whose answers are late being given up again and again, so
// that no event arrives: polls must outlast its lateness, and one must wait at the board at
// any time, so that an event is as late as the answers are.
func TestSlowBoardIsHeard(t *testing.T) {
	const late = 400 * time.Millisecond // more than Timeouts.silence for a grace of 500 ms
	for _, x := range []struct {
		name           string
		inParts        bool
		fromStart      bool // slow from the first poll on, after the start or a move
		moved          bool
		late, maxDelay time.Duration
	}{
		{name: "later on", late: late, maxDelay: late + 150*time.Millisecond},
		{name: "from the first poll on", fromStart: true, late: late, maxDelay: 2*late + 500*time.Millisecond},
		{name: "after it has moved", fromStart: true, moved: true, late: late, maxDelay: 2*late + 500*time.Millisecond},
		{name: "in the middle of an answer", inParts: true, late: late, maxDelay: 2*late + 500*time.Millisecond},
		{name: "by seconds", fromStart: true, late: 3 * time.Second, maxDelay: 7 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			board := &slowBoard{late: x.late, inParts: x.inParts}
			board.slow.Store(x.fromStart)
			address := board.start(t)
			first := address
			if x.moved {
				first = (&slowBoard{}).start(t)
			}
			client, sink, on := follow(t, first)
			time.Sleep(300 * time.Millisecond)
			on(func() { client.SetAddress(address) })
			if !x.fromStart {
				board.slow.Store(true)
				time.Sleep(3 * x.late)
			}
			held := time.Now()
			board.held.Store(true)
			select {
			case <-sink.members:
				if took := time.Since(held); took > x.maxDelay {
					t.Errorf("the event took %v", took)
				}
			case <-time.After(maxWait):
				t.Fatal("the event has not arrived")
			}
		})
	}
}

// Guards against a long answer taken for silence: it arrives in small parts that together
// take longer than the silence timeout.
func TestLongAnswerIsNotSilence(t *testing.T) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	_, sink, on := follow(t, ln.Addr().String())
	w := accept(t, ln)
	w.poll()
	text := httpAnswer(strings.Replace(drainingAnswer, `"notices"`, strings.Repeat(" ", 400)+`"notices"`, 1))
	var silent time.Duration
	on(func() { silent = time.Duration(TimeoutsFor(500_000).silence) * time.Microsecond })
	for began := time.Now(); time.Since(began) < 2*silent; time.Sleep(20 * time.Millisecond) {
		w.send(text[:1])
		text = text[1:]
	}
	w.send(text)
	select {
	case <-sink.members:
	case <-time.After(maxWait):
		t.Fatal("no member received")
	}
	if n := w.poll(); n != "1" { // still the same connection
		t.Errorf("polls after event %s", n)
	}
}

// Guards against a board that is back but not polled because an earlier connect hangs:
// others must be started beside it, but few.
func TestHangingConnects(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil { // one connection fills the backlog, after which connects hang
		t.Fatal(err)
	}
	listenAddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", listenAddr.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = filler.Close() }()
	b, _, on := follow(t, address)
	maxDials := 0
	for end := time.Now().Add(maxWait); maxDials < 3; time.Sleep(time.Millisecond) {
		on(func() { maxDials = max(maxDials, b.schedule.Connects()) })
		if time.Now().After(end) {
			t.Fatalf("%d connects at a time", maxDials)
		}
	}
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if on(func() { maxDials = max(maxDials, b.schedule.Connects()) }); maxDials > 6 {
			t.Fatalf("%d connects at a time", maxDials)
		}
	}
	// The board is back: the first to connect is polled, and later ones are closed.
	asked, closed := make(chan int, 100), make(chan int, 100)
	go func() {
		for {
			c, _, err := syscall.Accept(fd)
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = syscall.Close(c) }()
				buf := make([]byte, 1000)
				if n, _ := syscall.Read(c, buf); n > 0 {
					asked <- c
					_, _ = syscall.Read(c, buf) // until the client closes it
				}
				closed <- c
			}()
		}
	}()
	defer func() { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) }()
	for range 3 { // silent ones are closed and others connect, beside connects that still hang
		select {
		case <-asked:
		case <-time.After(maxWait):
			t.Fatal("the board is not polled")
		}
	}
	on(func() {}) // the loop still runs
}

// Guards against timeouts that exceed the grace: whatever it is, a connection that falls
// silent right after its poll is detected, and a connect that hangs is repeated, with time
// left to receive the event and act on it. Polls must not be so short that they make up
// most of the work.
func TestTimeoutsFitTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Int64Range(minGrace, 10_000_000).Draw(t, "grace")
		timeouts := TimeoutsFor(grace)
		if timeouts.silence+timeouts.linger/3 > grace || timeouts.redialAfter+timeouts.maxRetryPause > grace*3/4 || timeouts.silence <= timeouts.linger {
			t.Fatalf("%+v", timeouts)
		}
		if timeouts.linger < minGrace/2 || timeouts.linger > maxLinger {
			t.Fatalf("%+v", timeouts)
		}
	})
	for _, grace := range []gateway.Micros{-5, 0} {
		if TimeoutsFor(grace) != TimeoutsFor(300_000) {
			t.Errorf("%d: %+v", grace, TimeoutsFor(grace))
		}
	}
}

// Guards against a crash of the front when several concurrent connects succeed: one is
// polled, the others are closed.
func TestBothConnectsComeUp(t *testing.T) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	b, sink, on := follow(t, ln.Addr().String())
	on(func() { // another connect each time, since none can come up meanwhile
		b.SetTimeouts(Timeouts{redialAfter: 1})
		for b.schedule.Connects() < 4 {
			time.Sleep(time.Millisecond)
			b.advance()
		}
		b.SetTimeouts(TimeoutsFor(500_000))
	})
	ended, asked := make(chan bool, 100), make(chan *boardConn, 100)
	for range 4 { // including the first one's
		w := accept(t, ln)
		go func() {
			if _, err := w.r.Peek(1); err != nil {
				ended <- true
			} else {
				asked <- w
			}
		}()
	}
	for range 3 {
		select {
		case <-ended:
		case <-time.After(maxWait):
			t.Fatal("a connection that is not used stays open")
		}
	}
	w := <-asked
	w.poll()
	w.send(httpAnswer(drainingAnswer))
	select {
	case <-sink.members:
	case <-time.After(maxWait):
		t.Fatal("no member received")
	}
}
