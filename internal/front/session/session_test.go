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

const testTimeout = 10 * time.Second

// fakeApp is both App and CallHandler of a test server: it turns every request into a
// call, which the test answers. It passes what it receives to channels.
type fakeApp struct {
	calls        chan *gateway.Call
	left         chan *gateway.Call
	body         string
	answerAtOnce bool // answers calls on submission

	refused atomic.Int64 // number of refusals
}

func (app *fakeApp) HandleRequest(*httpwire.Request, *Exchange) (*gateway.Call, *httpwire.Response) {
	return &gateway.Call{}, nil
}

func (app *fakeApp) BuildResponse(_ *Exchange, a gateway.Answer) *httpwire.Response {
	if a.Kind == gateway.Refused {
		app.refused.Add(1)
	}
	return &httpwire.Response{Status: 200, Body: []byte(app.body)}
}

func (app *fakeApp) OverloadResponse(loop.Micros) *httpwire.Response {
	return &httpwire.Response{Status: 503}
}

func (app *fakeApp) ClientGone(*Exchange) {}
func (app *fakeApp) Submit(c *gateway.Call) {
	if app.answerAtOnce {
		c.Caller.Answer(gateway.Answer{Kind: gateway.Served})
		return
	}
	app.calls <- c
}
func (app *fakeApp) Leave(c *gateway.Call) { app.left <- c }

// testServer is a Server with sockets and a running loop.
type testServer struct {
	t      testing.TB
	loop   *loop.Loop
	server *Server
	app    *fakeApp
	addr   string
}

func newTestServer(t testing.TB, cfg Config) *testServer {
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
	ts := &testServer{t: t, loop: loop.New(func() {}), addr: cfg.Listen,
		app: &fakeApp{calls: make(chan *gateway.Call, 100), left: make(chan *gateway.Call, 100), body: "whole"}}
	ts.server = New(cfg, ts.loop, ts.app, ts.app, log)
	if err := ts.server.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { ts.loop.Run(); close(done) }()
	t.Cleanup(func() { ts.loop.Post(func() { ts.server.Stop(); ts.loop.Quit() }); <-done })
	return ts
}

// onLoop runs f on the loop and waits for it.
func (ts *testServer) onLoop(f func()) {
	done := make(chan struct{})
	ts.loop.Post(func() { f(); close(done) })
	<-done
}

// testClient is a client's connection.
type testClient struct {
	t      testing.TB
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (ts *testServer) connect() *testClient {
	ts.t.Helper()
	c, err := net.Dial("tcp", ts.addr)
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{t: ts.t, conn: c.(*net.TCPConn), reader: bufio.NewReader(c)}
}

const request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

func (client *testClient) send(text string) {
	client.t.Helper()
	if _, err := io.WriteString(client.conn, text); err != nil {
		client.t.Fatal(err)
	}
}

// sendUnseen sends a request and waits until the poller has read it from the client's
// connection. It is called on the loop, so the request is not handled yet.
func (client *testClient) sendUnseen(c *conn) {
	before := c.tc.BytesReceived()
	client.send(request)
	for until := time.Now().Add(testTimeout); c.tc.BytesReceived() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			client.t.Error("the request did not arrive")
			return
		}
	}
}

// readAnswer reads one whole answer.
func (client *testClient) readAnswer() (body string, last bool, err error) {
	r, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(r.Body)
	return string(b), r.Close, err
}

// answerNext answers the next call.
func (ts *testServer) answerNext() {
	ts.t.Helper()
	select {
	case c := <-ts.app.calls:
		ts.loop.Post(func() { c.Caller.Answer(gateway.Answer{}) })
	case <-time.After(testTimeout):
		ts.t.Fatal("no call was submitted")
	}
}

// onlyConn returns the one connection in a state.
func (ts *testServer) onlyConn(s state) (c *conn) {
	ts.t.Helper()
	for deadline := time.Now().Add(testTimeout); c == nil; time.Sleep(time.Millisecond) {
		ts.onLoop(func() { ts.server.lists[s].each(func(x *conn) { c = x }) })
		if time.Now().After(deadline) {
			ts.t.Fatalf("no connection in state %d", s)
		}
	}
	return c
}

// Guards against losing a request that arrives just as its idle connection is closed: the
// poller has read the request, but before the loop handles it a drain, the idle timeout or an
// eviction closes the connection.
func TestRequestArrivingAsConnectionCloses(t *testing.T) {
	for name, end := range map[string]func(ts *testServer, c *conn){
		"drain":        func(ts *testServer, _ *conn) { ts.server.Drain() },
		"idle timeout": func(_ *testServer, c *conn) { c.shutdown() },
		"eviction":     func(ts *testServer, c *conn) { c.stateSince -= idleEvictAfter + 1; ts.server.evictIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, Config{})
			client := ts.connect()
			client.send(request)
			ts.answerNext()
			if _, _, err := client.readAnswer(); err != nil {
				t.Fatal(err)
			}
			c := ts.onlyConn(idle)
			ts.onLoop(func() { // all of this is one turn of the loop
				client.sendUnseen(c)
				end(ts, c)
			})
			ts.answerNext()
			if body, _, err := client.readAnswer(); err != nil || body != "whole" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// Guards against submitting a request that arrives after its connection was shut down, where
// its client can get no answer. It is dropped, and the connection ends without a reset, so
// that the client may send the request again elsewhere.
func TestRequestAfterCloseIsNotSubmitted(t *testing.T) {
	ts := newTestServer(t, Config{})
	client := ts.connect()
	client.send(request)
	ts.answerNext()
	if _, _, err := client.readAnswer(); err != nil {
		t.Fatal(err)
	}
	c := ts.onlyConn(idle)
	before := c.tc.BytesReceived()
	ts.onLoop(ts.server.Drain)
	client.send(request)
	for until := time.Now().Add(testTimeout); c.tc.BytesReceived() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the request was not read, so the close would reset the connection")
		}
	}
	if _, _, err := client.readAnswer(); err != io.EOF && err != io.ErrUnexpectedEOF {
		t.Errorf("the connection did not end cleanly: %v", err)
	}
	ts.onLoop(func() {})
	if len(ts.app.calls) > 0 {
		t.Error("the request was submitted")
	}
}

// Guards against the program exiting while a last answer is on its way: data that the client
// sends meanwhile would cause a reset, and the answer be lost. The connection counts as busy or
// ending until its client has closed it, and for a bounded time if it never does.
func TestDrainWaitsForClosingConnections(t *testing.T) {
	ts := newTestServer(t, Config{})
	client, silent := ts.connect(), ts.connect()
	ts.app.body = strings.Repeat("x", 200_000)
	for _, x := range []*testClient{client, silent} {
		x.send(request)
		ts.answerNext()
		if body, _, err := x.readAnswer(); err != nil || len(body) != 200_000 {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
	client.send(request)
	call := <-ts.app.calls
	ts.onLoop(ts.server.Drain)
	var busy atomic.Int64
	ts.onLoop(func() {
		call.Caller.Answer(gateway.Answer{})
		busy.Store(int64(ts.server.Busy() + ts.server.Ending()))
	})
	if busy.Load() == 0 {
		t.Error("the program could exit with the last answer on its way")
	}
	client.send("more that nobody asked for")
	if body, last, err := client.readAnswer(); err != nil || len(body) != 200_000 || !last {
		t.Errorf("%d bytes, last %v, %v", len(body), last, err)
	}
	_ = client.conn.Close()
	// The other client never closes its connection, which is closed nevertheless.
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if ts.onLoop(func() { busy.Store(int64(ts.server.Busy() + ts.server.Ending())) }); busy.Load() == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections are still busy or ending", busy.Load())
		}
	}
}

// Guards against work for clients that send requests and disconnect at once. The close may be
// right behind the request, or the request behind others that are not handled yet. Every
// submitted call must be cancelled, and the requests behind it never submitted.
func TestClientsDisconnectingAfterRequests(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			ts := newTestServer(t, Config{})
			for range 20 {
				client := ts.connect()
				client.send(strings.Repeat(request, 5))
				if reset {
					_ = client.conn.SetLinger(0)
				}
				_ = client.conn.Close()
			}
			last := ts.connect() // accepted after all the others
			last.send(request)
			for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				var open int
				ts.onLoop(func() { open = int(ts.server.numConns.Load()) })
				if open == 1 && len(ts.app.calls) == len(ts.app.left)+1 {
					break
				}
				if time.Now().After(until) {
					t.Fatalf("%d connections open, %d calls submitted, %d cancelled", open, len(ts.app.calls), len(ts.app.left))
				}
			}
			if submitted := len(ts.app.calls); submitted > 21 {
				t.Errorf("%d of 20 were submitted", submitted-1)
			}
		})
	}
}

// Guards against submitting a request whose client has already disconnected: the loop was
// busy, and handles the request and the close behind it together.
func TestClientGoneWithRequestUnread(t *testing.T) {
	ts := newTestServer(t, Config{})
	client := ts.connect()
	c := ts.onlyConn(silent)
	ts.onLoop(func() { // all of this is one turn of the loop
		client.send(request)
		_ = client.conn.Close()
		for until := time.Now().Add(testTimeout); c.tc.BytesReceived() == 0 || !c.tc.PeerClosed(); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Error("the request and the close did not arrive")
				return
			}
		}
	})
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var open int
		if ts.onLoop(func() { open = int(ts.server.numConns.Load()) }); open == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the connection stays open")
		}
	}
	if len(ts.app.calls) > 0 {
		t.Error("the request was submitted")
	}
}

// Guards against refusing new clients because the connection chosen for eviction has just
// received a request: the next one must be evicted instead.
func TestEvictionSkipsConnectionWithNewRequest(t *testing.T) {
	ts := newTestServer(t, Config{})
	var clients []*testClient
	for range 3 {
		client := ts.connect()
		client.send(request)
		ts.answerNext()
		if _, _, err := client.readAnswer(); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, client)
	}
	ts.onLoop(func() { // all of this is one turn of the loop
		oldest := ts.server.lists[idle].head.next
		clients[0].sendUnseen(oldest)
		ts.server.lists[idle].each(func(c *conn) { c.stateSince -= idleEvictAfter + 1 })
		ts.server.evictIdle()
		if n := ts.server.Ending(); n != 1 {
			t.Errorf("%d connections were evicted", n)
		}
	})
	ts.answerNext()
	if body, _, err := clients[0].readAnswer(); err != nil || body != "whole" {
		t.Errorf("the client that had just sent a request got %q, %v", body, err)
	}
	if _, err := clients[1].reader.ReadByte(); err != io.EOF {
		t.Errorf("the next connection was not closed: %v", err)
	}
}

// Guards against resetting new clients when clients with open requests hold all places: a few
// more clients get a refusal, and none of their requests is submitted.
func TestRefusalWhenNoPlaceIsLeft(t *testing.T) {
	ts := newTestServer(t, Config{MaxConns: 16})
	for range 16 {
		ts.connect().send(request)
	}
	for range 16 {
		select {
		case <-ts.app.calls:
		case <-time.After(testTimeout):
			t.Fatal("a request was not submitted")
		}
	}
	more := []*testClient{ts.connect(), ts.connect()}
	for _, client := range more {
		client.send(request)
		if _, last, err := client.readAnswer(); err != nil || !last {
			t.Errorf("connection closes after the answer: %v, %v", last, err)
		}
	}
	if len(ts.app.calls) > 0 || int(ts.app.refused.Load()) != len(more) {
		t.Errorf("%d were submitted, %d refused", len(ts.app.calls), ts.app.refused.Load())
	}
	for _, client := range more { // their places become free again
		_ = client.conn.Close()
	}
	for until := time.Now().Add(testTimeout); ts.server.numConns.Load() > 16; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the refused connections stay open")
		}
	}
}
