package session

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/loopbacktest"
	"cherryramp/internal/transport"
)

const patience = 10 * time.Second

// desk is a front and a gateway in one: it takes every request as a call, and the test
// answers. What it is told stands in channels.
type desk struct {
	came   chan *gateway.Call
	left   chan *gateway.Call
	body   string
	atOnce bool // calls are answered as they come

	refused atomic.Int64 // answers that refuse
}

func (d *desk) HandleRequest(*httpwire.Request, *Exchange) (*gateway.Call, *httpwire.Response) {
	return &gateway.Call{}, nil
}

func (d *desk) BuildResponse(_ *Exchange, a gateway.Answer) *httpwire.Response {
	if a.Kind == gateway.Refused {
		d.refused.Add(1)
	}
	return &httpwire.Response{Status: 200, Body: []byte(d.body)}
}

func (d *desk) OverloadResponse(loop.Micros) *httpwire.Response {
	return &httpwire.Response{Status: 503}
}

func (d *desk) ClientGone(*Exchange) {}
func (d *desk) Submit(c *gateway.Call) {
	if d.atOnce {
		c.Caller.Answer(gateway.Answer{Kind: gateway.Served})
		return
	}
	d.came <- c
}
func (d *desk) Leave(c *gateway.Call) { d.left <- c }

// hall is a server on sockets and a running loop.
type hall struct {
	t      testing.TB
	loop   *loop.Loop
	server *Server
	desk   *desk
	addr   string
}

func newHall(t testing.TB, cfg Config) *hall {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if err := transport.Setup(log); err != nil {
		t.Fatal(err)
	}
	free, err := loopbacktest.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = free
	if cfg.MaxConns == 0 {
		cfg.MaxConns = 100
	}
	cfg.Limits = httpwire.Limits{Head: 8 << 10, Body: 48_000}
	h := &hall{t: t, loop: loop.New(func() {}), addr: cfg.Listen,
		desk: &desk{came: make(chan *gateway.Call, 100), left: make(chan *gateway.Call, 100), body: "whole"}}
	h.server = New(cfg, h.loop, h.desk, h.desk, log)
	if err := h.server.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { h.loop.Run(); close(done) }()
	t.Cleanup(func() { h.loop.Post(func() { h.server.Stop(); h.loop.Quit() }); <-done })
	return h
}

// on runs something on the loop and waits for it.
func (h *hall) on(f func()) {
	done := make(chan struct{})
	h.loop.Post(func() { f(); close(done) })
	<-done
}

// guest is a client's connection.
type guest struct {
	t testing.TB
	c *net.TCPConn
	r *bufio.Reader
}

func (h *hall) enter() *guest {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &guest{t: h.t, c: c.(*net.TCPConn), r: bufio.NewReader(c)}
}

const request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

func (g *guest) send(text string) {
	g.t.Helper()
	if _, err := io.WriteString(g.c, text); err != nil {
		g.t.Fatal(err)
	}
}

// crosses sends a request and waits until the poller has read it from the guest's
// connection, while the loop is held: it stands there unlooked at.
func (g *guest) crosses(c *conn) {
	before := c.tc.BytesReceived()
	g.send(request)
	for until := time.Now().Add(patience); c.tc.BytesReceived() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			g.t.Error("the bytes did not come")
			return
		}
	}
}

// answer reads one whole answer.
func (g *guest) answer() (body string, last bool, err error) {
	r, err := http.ReadResponse(g.r, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(r.Body)
	return string(b), r.Close, err
}

// serve answers the next call that comes.
func (h *hall) serve() {
	h.t.Helper()
	select {
	case c := <-h.desk.came:
		h.loop.Post(func() { c.Caller.Answer(gateway.Answer{}) })
	case <-time.After(patience):
		h.t.Fatal("no call came")
	}
}

// only gives the one connection that stands in a state.
func (h *hall) only(s state) (c *conn) {
	h.t.Helper()
	for end := time.Now().Add(patience); c == nil; time.Sleep(time.Millisecond) {
		h.on(func() { h.server.lists[s].each(func(x *conn) { c = x }) })
		if time.Now().After(end) {
			h.t.Fatalf("no connection in state %d", s)
		}
	}
	return c
}

// Guards against a request that is lost because it came in the very moment in which its
// resting connection was ended: here the bytes are read and the loop is about to look at
// them when the end comes first, by a drain, its idle time, or because room is wanted.
func TestRequestThatCrossesTheEnd(t *testing.T) {
	for name, end := range map[string]func(h *hall, c *conn){
		"drain":     func(h *hall, _ *conn) { h.server.Drain() },
		"idle time": func(_ *hall, c *conn) { c.quit() },
		"room":      func(h *hall, c *conn) { c.since -= yieldIdle + 1; h.server.evictIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHall(t, Config{})
			g := h.enter()
			g.send(request)
			h.serve()
			if _, _, err := g.answer(); err != nil {
				t.Fatal(err)
			}
			c := h.only(idle)
			h.on(func() { // all of this is one turn of the loop
				g.crosses(c)
				end(h, c)
			})
			h.serve()
			if body, _, err := g.answer(); err != nil || body != "whole" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// Guards against a request that is sent on though its connection was shut before it came:
// its client can get no answer. It is dropped unread, and the end is clean, so that the client
// may send it again elsewhere.
func TestRequestAfterTheEndIsNotSentOn(t *testing.T) {
	h := newHall(t, Config{})
	g := h.enter()
	g.send(request)
	h.serve()
	if _, _, err := g.answer(); err != nil {
		t.Fatal(err)
	}
	c := h.only(idle)
	before := c.tc.BytesReceived()
	h.on(h.server.Drain)
	g.send(request)
	for until := time.Now().Add(patience); c.tc.BytesReceived() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the bytes were not read, so that the close would reset the connection")
		}
	}
	if _, _, err := g.answer(); err != io.EOF && err != io.ErrUnexpectedEOF {
		t.Errorf("the end is not clean: %v", err)
	}
	h.on(func() {})
	if len(h.desk.came) > 0 {
		t.Error("it was sent on")
	}
}

// Guards against a program that ends while a last answer is on its way: what the client
// sends meanwhile would reset it away. The connection counts until its client has ended it, and
// within a bound where it never does.
func TestEndingConnectionsAreWaitedFor(t *testing.T) {
	h := newHall(t, Config{})
	g, resting := h.enter(), h.enter()
	h.desk.body = strings.Repeat("x", 200_000)
	for _, x := range []*guest{g, resting} {
		x.send(request)
		h.serve()
		if body, _, err := x.answer(); err != nil || len(body) != 200_000 {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
	g.send(request)
	call := <-h.desk.came
	h.on(h.server.Drain)
	var busy atomic.Int64
	h.on(func() {
		call.Caller.Answer(gateway.Answer{})
		busy.Store(int64(h.server.Busy() + h.server.Ending()))
	})
	if busy.Load() == 0 {
		t.Error("the program could end with the last answer on its way")
	}
	g.send("more that nobody asked for")
	if body, last, err := g.answer(); err != nil || len(body) != 200_000 || !last {
		t.Errorf("%d bytes, last %v, %v", len(body), last, err)
	}
	_ = g.c.Close()
	// The other one rests for ever and is ended all the same.
	for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if h.on(func() { busy.Store(int64(h.server.Busy() + h.server.Ending())) }); busy.Load() == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections are still waited for", busy.Load())
		}
	}
}

// Guards against work for clients that sent and went: the end may stand right behind the
// request, or the request behind others that are not looked at yet. Whoever was submitted has
// left too, and what was behind is never submitted.
func TestClientsThatSendMuchAndGo(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			h := newHall(t, Config{})
			for range 20 {
				g := h.enter()
				g.send(strings.Repeat(request, 5))
				if reset {
					_ = g.c.SetLinger(0)
				}
				_ = g.c.Close()
			}
			last := h.enter() // whoever came before it has been let in when it is
			last.send(request)
			for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				var held int
				h.on(func() { held = int(h.server.held.Load()) })
				if held == 1 && len(h.desk.came) == len(h.desk.left)+1 {
					break
				}
				if time.Now().After(until) {
					t.Fatalf("%d connections held, %d came, %d left", held, len(h.desk.came), len(h.desk.left))
				}
			}
			if came := len(h.desk.came); came > 21 {
				t.Errorf("%d of 20 were submitted", came-1)
			}
		})
	}
}

// Guards against an attempt that begins long after its client has gone: the front was held up,
// and the request and the end behind it are looked at together.
func TestClientGoneBehindItsRequest(t *testing.T) {
	h := newHall(t, Config{})
	g := h.enter()
	c := h.only(silent)
	h.on(func() { // all of this is one turn of the loop
		g.send(request)
		_ = g.c.Close()
		for until := time.Now().Add(patience); c.tc.BytesReceived() == 0 || !c.tc.PeerClosed(); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Error("the request and the end did not come")
				return
			}
		}
	})
	for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		var held int
		if h.on(func() { held = int(h.server.held.Load()) }); held == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("its connection stays")
		}
	}
	if len(h.desk.came) > 0 {
		t.Error("it was submitted")
	}
}

// Guards against newcomers turned away because the connection that was to make room for them
// has just brought something: the next one does.
func TestRoomIsMadeByTheNext(t *testing.T) {
	h := newHall(t, Config{})
	var guests []*guest
	for range 3 {
		g := h.enter()
		g.send(request)
		h.serve()
		if _, _, err := g.answer(); err != nil {
			t.Fatal(err)
		}
		guests = append(guests, g)
	}
	h.on(func() { // all of this is one turn of the loop
		oldest := h.server.lists[idle].head.next
		guests[0].crosses(oldest)
		h.server.lists[idle].each(func(c *conn) { c.since -= yieldIdle + 1 })
		h.server.evictIdle()
		if n := h.server.Ending(); n != 1 {
			t.Errorf("%d connections made room", n)
		}
	})
	h.serve()
	if body, _, err := guests[0].answer(); err != nil || body != "whole" {
		t.Errorf("the one that had just brought something got %q, %v", body, err)
	}
	if _, err := guests[1].r.ReadByte(); err != io.EOF {
		t.Errorf("the next one was not ended: %v", err)
	}
}

// Guards against newcomers that are reset where all places are held by clients whose requests
// are open: a few more get a refusal, and the request of none of them is submitted.
func TestWithoutAPlaceThereIsARefusal(t *testing.T) {
	h := newHall(t, Config{MaxConns: 16})
	for range 16 {
		h.enter().send(request)
	}
	for range 16 {
		select {
		case <-h.desk.came:
		case <-time.After(patience):
			t.Fatal("a request did not come")
		}
	}
	more := []*guest{h.enter(), h.enter()}
	for _, g := range more {
		g.send(request)
		if _, last, err := g.answer(); err != nil || !last {
			t.Errorf("last answer %v, %v", last, err)
		}
	}
	if len(h.desk.came) > 0 || int(h.desk.refused.Load()) != len(more) {
		t.Errorf("%d were submitted, %d refused", len(h.desk.came), h.desk.refused.Load())
	}
	for _, g := range more { // the places that they took for it are free again
		_ = g.c.Close()
	}
	for until := time.Now().Add(patience); h.server.held.Load() > 16; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("their connections stay")
		}
	}
}
