package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Tests of a started front whose shutdown, start or pause coincides with what clients do: accepted
// requests are answered whole, and the front exits by itself.

func (s *site) signal(x syscall.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(x); err != nil {
		s.t.Fatal(err)
	}
}

// awaitCleanExit waits until the front exits by itself, with no open requests.
func (s *site) awaitCleanExit() {
	s.t.Helper()
	select {
	case err := <-s.exited:
		if err != nil || !strings.Contains(s.log.String(), "msg=ended open=0") {
			s.t.Errorf("ended with %v: %s", err, s.log)
		}
	case <-time.After(waitTimeout):
		s.t.Fatal("the front does not exit")
	}
}

// Guards against a response that the shutdown resets: its client reads slowly, and has sent more
// data meanwhile.
func TestShutdownCompletesSlowAnswers(t *testing.T) {
	s := newSite(t, 1, "")
	s.boxes[0].serveLarge()
	c := dialNarrow(t, s.addr, "127.0.1.1")
	_ = c.conn.SetDeadline(time.Now().Add(waitTimeout))
	c.reader = bufio.NewReaderSize(c.conn, 16)
	c.send(getRequest("guide-video", "9f3a", 4000))
	if _, err := c.reader.Peek(1); err != nil { // the response has begun to arrive
		t.Fatal(err)
	}
	s.signal(syscall.SIGTERM)
	s.log.await(t, "told to end")
	// The client reads the rest only once the front has closed idle connections.
	silent := dial(t, s.addr)
	if !silent.waitClosed() {
		t.Error("a silent connection stays open")
	}
	for range 10 { // reads nothing, for less time than a slow client's last response may take, and sends meanwhile
		c.send("more that nobody asked for")
		time.Sleep(20 * time.Millisecond)
	}
	if r, body := c.readResponse("GET"); r.StatusCode != 200 || len(body) != 240_000 {
		t.Errorf("got %d, %d bytes", r.StatusCode, len(body))
	}
	_ = c.conn.Close()
	s.awaitCleanExit()
}

// Guards against requests lost on shutdown: one is partially sent and within its timeout, one is
// pipelined behind another, and one connection is idle.
func TestShutdownWithPartialAndPipelinedRequests(t *testing.T) {
	s := newSite(t, 1, "")
	partial, pipelined, idle := dial(t, s.addr), dial(t, s.addr), dial(t, s.addr)
	text := getRequest("guide-video", "9f3a", 4000)
	partial.send(text[:20])
	first := getRequest("guide-video", "9f3b", 4000)
	pipelined.send(first)
	cmd := s.boxes[0].nextCommand(t)
	pipelined.send(getRequest("guide-video", "9f3c", 4000))
	idle.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _ := idle.readResponse("GET"); r.StatusCode != 200 {
		t.Fatal(r.Status)
	}
	s.signal(syscall.SIGTERM)
	s.signal(syscall.SIGHUP) // both in quick succession, then SIGTERM again
	s.signal(syscall.SIGTERM)
	s.log.await(t, "told to end")
	s.log.await(t, "configuration read again")
	if !idle.waitClosed() {
		t.Error("an idle connection stays open")
	}
	partial.send(text[20:])
	y := s.boxes[0].nextCommand(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	if r, body := partial.readResponse("GET"); r.StatusCode != 200 || body != objectBody(y) || !r.Close {
		t.Errorf("partial request: %d, close %v", r.StatusCode, r.Close)
	}
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := pipelined.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) || !r.Close {
		t.Errorf("open request: %d, close %v", r.StatusCode, r.Close)
	}
	if b, err := pipelined.reader.ReadByte(); err != io.EOF { // the pipelined one was not started, and its client can tell
		t.Errorf("after the last response: %d, %v", b, err)
	}
	if len(s.boxes[0].commands) > 0 {
		t.Errorf("%v was sent to the node after the shutdown", <-s.boxes[0].commands)
	}
	s.awaitCleanExit()
}

// Guards against a burst of clients that send requests and disconnect: nothing stays reserved for
// them, and none of their attempts starts after the front has noticed the disconnect.
func TestBurstOfClientsThatDisconnect(t *testing.T) {
	s := newSite(t, 1, "")
	for range 400 {
		c := dial(t, s.addr)
		c.send(strings.Repeat(getRequest("guide-video", "9f3a", 5000), 3))
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		_ = c.conn.Close()
	}
	// All started attempts are cancelled; another client is served, not refused for lack of capacity.
	connected := dial(t, s.addr)
	connected.send(getRequest("guide-video", "9f3d", 5000))
	started, cancelled := map[string]bool{}, map[string]bool{}
	var cmd command
	for cmd.fields["name"] != "9f3d" {
		if cmd = s.boxes[0].nextCommand(t); cmd.verb == "cancel" {
			cancelled[cmd.id] = true
		} else if started[cmd.id] = true; cancelled[cmd.id] {
			t.Fatalf("%s was started after it was cancelled", cmd.id)
		}
	}
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := connected.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) {
		t.Errorf("the connected client got %d", r.StatusCode)
	}
	delete(started, cmd.id)
	for len(cancelled) < len(started) {
		if cmd := s.boxes[0].nextCommand(t); cmd.verb == "cancel" {
			cancelled[cmd.id] = true
		} else if cancelled[cmd.id] {
			t.Fatalf("%s was started after it was cancelled", cmd.id)
		} else {
			started[cmd.id] = true
		}
	}
}

// Guards against a front that is not ready because discovery is down: it starts, serves with the
// servers of its configuration, and follows the notice board once that is up. SIGTERM while the
// board is down again ends it cleanly.
func TestStartAndShutdownWhileTheBoardIsDown(t *testing.T) {
	free := freeAddress(t)
	s := newSiteWithConfig(t, 1, "", func(config string) string {
		at := strings.Index(config, `"board":"`) + len(`"board":"`)
		return config[:at] + free + config[at+strings.Index(config[at:], `"`):]
	})
	s.boxes[0].serveAll()
	c := dial(t, s.addr)
	c.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _ := c.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("not ready: %d", r.StatusCode)
	}
	c.send(getRequest("guide-video", "9f3a", 5000))
	if r, _ := c.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("got %d", r.StatusCode)
	}
	s.log.await(t, "notice board can't be reached")
	s.board.stop()
	s.board.addr = free
	s.board.add(s.drainEvent())
	s.board.resume(t)
	s.log.await(t, "state=draining")
	s.board.stop()
	s.signal(syscall.SIGTERM)
	if !c.waitClosed() {
		t.Error("an idle connection stays open")
	}
	s.awaitCleanExit()
}

// Guards against a connected client being refused because clients that connected and disconnected
// while the front was stopped take all places: they are ahead of it in the kernel's accept queue.
func TestResumedFrontServesClientsStillConnected(t *testing.T) {
	s := newSiteWithConfig(t, 1, "", func(config string) string {
		return strings.Replace(config, `"sockets":1024`, `"sockets":96`, 1) // 52 places
	}, "GOMAXPROCS=1") // as on the platform; the loop frees places between two rounds of the poller
	s.boxes[0].serveAll()
	s.signal(syscall.SIGSTOP)
	for range 300 {
		c := dial(t, s.addr)
		c.send(getRequest("guide-video", "9f3a", 5000))
		_ = c.conn.Close()
	}
	connected := dial(t, s.addr)
	connected.send(getRequest("guide-video", "9f3b", 5000))
	s.signal(syscall.SIGCONT)
	if r, _ := connected.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("got %d", r.StatusCode)
	}
	if n := s.boxes[0].served.Load(); n > 1 {
		t.Errorf("%d attempts were started, of which 1 for the connected client", n)
	}
}

// Guards against a ttl computed as if a request had arrived when a stopped front read it: the
// request waited in the kernel, on an idle connection or on one not yet accepted.
func TestResumedFrontPassesOnRemainingTime(t *testing.T) {
	const wait, stopped, slack = 3000, 600, 150 // ms
	s := newSite(t, 1, "")
	idle := dial(t, s.addr)
	idle.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.readResponse("GET")
	s.signal(syscall.SIGSTOP)
	fresh := dial(t, s.addr)
	idle.send(getRequest("guide-video", "9f3a", wait))
	fresh.send(getRequest("guide-video", "9f3b", wait))
	time.Sleep(stopped * time.Millisecond)
	s.signal(syscall.SIGCONT)
	for range 2 {
		cmd := s.boxes[0].nextCommand(t)
		if ttl, err := strconv.Atoi(cmd.fields["ttl"]); err != nil || ttl > wait-stopped+slack {
			t.Errorf("%s has %d ms left at most, and %q was passed on", cmd.fields["name"], wait-stopped, cmd.fields["ttl"])
		}
		cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	}
}

// Guards against resets of clients that sent requests while the front was stopped and are more than
// it has places for: each is served, or refused with a time to retry.
func TestResumedFrontAnswersAllRequests(t *testing.T) {
	s := newSiteWithConfig(t, 1, "", func(config string) string {
		return strings.Replace(config, `"sockets":1024`, `"sockets":96`, 1) // 52 places
	})
	s.boxes[0].serveAll()
	s.signal(syscall.SIGSTOP)
	var all []*client
	for i := range 300 {
		c := dial(t, s.addr)
		c.send(getRequest("guide-video", fmt.Sprint("o", i%5), 5000))
		all = append(all, c)
	}
	s.signal(syscall.SIGCONT)
	served := 0
	for i, c := range all {
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatalf("client %d of 300: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatalf("client %d of 300: %v", i, err)
		}
		switch {
		case r.StatusCode == 200:
			served++
		case r.StatusCode != 503 || r.Header.Get("Srv-Wait-Ms") == "":
			t.Fatalf("client %d of 300: %s %v", i, r.Status, r.Header)
		}
	}
	if served < 10 {
		t.Errorf("%d of 300 were served", served)
	}
}
