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

// Crossings of the program's end with what clients do in that moment, before a started
// front: what was taken is answered whole, and the program ends by itself.

func (s *site) signal(x syscall.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(x); err != nil {
		s.t.Fatal(err)
	}
}

// ends waits for the program's own end.
func (s *site) ends() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil || !strings.Contains(s.log.String(), "msg=ended open=0") {
			s.t.Errorf("ended with %v: %s", err, s.log)
		}
	case <-time.After(patience):
		s.t.Fatal("the front goes on")
	}
}

// Guards against an answer that the program's end resets away: its client takes it slowly, and
// has sent more meanwhile.
func TestEndLeavesSlowAnswersWhole(t *testing.T) {
	s := newSite(t, 1, "")
	s.boxes[0].serveLarge()
	c := narrow(t, s.addr, "127.0.1.1")
	_ = c.c.SetDeadline(time.Now().Add(patience))
	c.r = bufio.NewReaderSize(c.c, 16)
	c.send(get("guide-video", "9f3a", 4000))
	if _, err := c.r.Peek(1); err != nil { // it has begun to come
		t.Fatal(err)
	}
	s.signal(syscall.SIGTERM)
	s.log.await(t, "told to end")
	// The front is at the end of its patience for idle ones when the rest is asked for.
	rest := dial(t, s.addr)
	if !rest.closed() {
		t.Error("a connection that says nothing stays open")
	}
	for range 10 { // it is slow to take, for less than a slow client's last answer may be, and talks meanwhile
		c.send("more that nobody asked for")
		time.Sleep(20 * time.Millisecond)
	}
	if r, body := c.answer("GET"); r.StatusCode != 200 || len(body) != 240_000 {
		t.Errorf("got %d, %d bytes", r.StatusCode, len(body))
	}
	_ = c.c.Close()
	s.ends()
}

// Guards against requests lost with their connections: half a request is still in its time, one
// is behind another, and some say nothing until after the signal.
func TestEndWithHalfAndPipelinedRequests(t *testing.T) {
	s := newSite(t, 1, "")
	half, piped, resting := dial(t, s.addr), dial(t, s.addr), dial(t, s.addr)
	text := get("guide-video", "9f3a", 4000)
	half.send(text[:20])
	first := get("guide-video", "9f3b", 4000)
	piped.send(first)
	x := s.boxes[0].next(t)
	piped.send(get("guide-video", "9f3c", 4000))
	resting.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _ := resting.answer("GET"); r.StatusCode != 200 {
		t.Fatal(r.Status)
	}
	s.signal(syscall.SIGTERM)
	s.signal(syscall.SIGHUP) // both at once, and the first once more
	s.signal(syscall.SIGTERM)
	s.log.await(t, "told to end")
	s.log.await(t, "configuration read again")
	if !resting.closed() {
		t.Error("a resting connection stays open")
	}
	half.send(text[20:])
	y := s.boxes[0].next(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	if r, body := half.answer("GET"); r.StatusCode != 200 || body != object(y) || !r.Close {
		t.Errorf("half a request: %d, close %v", r.StatusCode, r.Close)
	}
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := piped.answer("GET"); r.StatusCode != 200 || body != object(x) || !r.Close {
		t.Errorf("the open one: %d, close %v", r.StatusCode, r.Close)
	}
	if b, err := piped.r.ReadByte(); err != io.EOF { // the one behind was never begun, and its client can tell
		t.Errorf("behind the last answer: %d, %v", b, err)
	}
	if len(s.boxes[0].came) > 0 {
		t.Errorf("%v was sent on after the shutdown", <-s.boxes[0].came)
	}
	s.ends()
}

// Guards against a burst of clients that send and go: nothing is left booked for them, and no
// attempt of theirs begins once the front has heard of their end.
func TestBurstOfClientsThatGo(t *testing.T) {
	s := newSite(t, 1, "")
	for range 400 {
		c := dial(t, s.addr)
		c.send(strings.Repeat(get("guide-video", "9f3a", 5000), 3))
		_ = c.c.(*net.TCPConn).SetLinger(0)
		_ = c.c.Close()
	}
	// All that was begun is given up; a good one is served, and not refused for want of places.
	good := dial(t, s.addr)
	good.send(get("guide-video", "9f3d", 5000))
	begun, given := map[string]bool{}, map[string]bool{}
	var x command
	for x.fields["name"] != "9f3d" {
		if x = s.boxes[0].next(t); x.word == "cancel" {
			given[x.id] = true
		} else if begun[x.id] = true; given[x.id] {
			t.Fatalf("%s was begun after it was given up", x.id)
		}
	}
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := good.answer("GET"); r.StatusCode != 200 || body != object(x) {
		t.Errorf("the good one got %d", r.StatusCode)
	}
	delete(begun, x.id)
	for len(given) < len(begun) {
		if x := s.boxes[0].next(t); x.word == "cancel" {
			given[x.id] = true
		} else if given[x.id] {
			t.Fatalf("%s was begun after it was given up", x.id)
		} else {
			begun[x.id] = true
		}
	}
}

// Guards against a front that is not ready because discovery is down: it starts, serves from what
// its configuration knows, and follows the board once that is up. SIGTERM in that state ends it cleanly.
func TestStartAndEndWhileTheBoardIsDown(t *testing.T) {
	free := freeAddress(t)
	s := newSiteChanged(t, 1, "", func(config string) string {
		at := strings.Index(config, `"board":"`) + len(`"board":"`)
		return config[:at] + free + config[at+strings.Index(config[at:], `"`):]
	})
	s.boxes[0].serveAll()
	c := dial(t, s.addr)
	c.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _ := c.answer("GET"); r.StatusCode != 200 {
		t.Errorf("not ready: %d", r.StatusCode)
	}
	c.send(get("guide-video", "9f3a", 5000))
	if r, _ := c.answer("GET"); r.StatusCode != 200 {
		t.Errorf("got %d", r.StatusCode)
	}
	s.log.await(t, "notice board can't be reached")
	s.board.stop()
	s.board.addr = free
	s.board.add(s.draining())
	s.board.resume(t)
	s.log.await(t, "state=draining")
	s.board.stop()
	s.signal(syscall.SIGTERM)
	if !c.closed() {
		t.Error("a resting connection stays open")
	}
	s.ends()
}

// Guards against a good client turned away because those that came and went while the front was
// held up fill its places: the kernel still has them all, in front of the good one.
func TestWokenFrontTakesWhoIsStillThere(t *testing.T) {
	s := newSiteChanged(t, 1, "", func(config string) string {
		return strings.Replace(config, `"sockets":1024`, `"sockets":96`, 1) // 52 places
	}, "GOMAXPROCS=1") // as on the platform; the loop frees places between the poller's rounds
	s.boxes[0].serveAll()
	s.signal(syscall.SIGSTOP)
	for range 300 {
		c := dial(t, s.addr)
		c.send(get("guide-video", "9f3a", 5000))
		_ = c.c.Close()
	}
	good := dial(t, s.addr)
	good.send(get("guide-video", "9f3b", 5000))
	s.signal(syscall.SIGCONT)
	if r, _ := good.answer("GET"); r.StatusCode != 200 {
		t.Errorf("got %d", r.StatusCode)
	}
	if n := s.boxes[0].taken.Load(); n > 1 {
		t.Errorf("%d attempts were begun, of which 1 for a client that was there", n)
	}
}

// Guards against a deadline that is passed on as if the request had come when a held-up front
// read it: it has waited in the kernel, on a resting connection or on one not yet accepted.
func TestWokenFrontPassesOnWhatIsLeft(t *testing.T) {
	const wait, held, slack = 3000, 600, 150 // ms
	s := newSite(t, 1, "")
	resting := dial(t, s.addr)
	resting.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	resting.answer("GET")
	s.signal(syscall.SIGSTOP)
	fresh := dial(t, s.addr)
	resting.send(get("guide-video", "9f3a", wait))
	fresh.send(get("guide-video", "9f3b", wait))
	time.Sleep(held * time.Millisecond)
	s.signal(syscall.SIGCONT)
	for range 2 {
		x := s.boxes[0].next(t)
		if ttl, err := strconv.Atoi(x.fields["ttl"]); err != nil || ttl > wait-held+slack {
			t.Errorf("%s has %d ms left at most, and %q was passed on", x.fields["name"], wait-held, x.fields["ttl"])
		}
		x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	}
}

// Guards those who asked while the front was held up against a reset, where they are more
// than it has places for: each is served, or refused with a time to come back.
func TestWokenFrontAnswersAllWhoAsked(t *testing.T) {
	s := newSiteChanged(t, 1, "", func(config string) string {
		return strings.Replace(config, `"sockets":1024`, `"sockets":96`, 1) // 52 places
	})
	s.boxes[0].serveAll()
	s.signal(syscall.SIGSTOP)
	var all []*client
	for i := range 300 {
		c := dial(t, s.addr)
		c.send(get("guide-video", fmt.Sprint("o", i%5), 5000))
		all = append(all, c)
	}
	s.signal(syscall.SIGCONT)
	served := 0
	for i, c := range all {
		r, err := http.ReadResponse(c.r, nil)
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
