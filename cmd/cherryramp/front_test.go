package main_test

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestServesWholeAndCurrent(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 2000))
	cmd := s.boxes[0].nextCommand(t)
	want := map[string]string{"lane": "guide-video", "name": "9f3a", "piece": "3", "next": "s-parent"}
	for k, v := range want {
		if cmd.fields[k] != v {
			t.Errorf("%s: got %q, want %q", k, cmd.fields[k], v)
		}
	}
	cmd.reply("ok", "sum=t1,t0=1,why=fill,slow=12.5", objectBody(cmd))
	r, body := c.readResponse("GET")
	if r.StatusCode != 200 || body != objectBody(cmd) || r.Header.Get("ETag") != `"t1"` {
		t.Errorf("got %d, %d bytes, %v", r.StatusCode, len(body), r.Header)
	}
	// The same connection carries the next request; the client's copy still holds.
	c.send(strings.Replace(getRequest("guide-video", "9f3a", 2000), "X-B", "If-None-Match: \"t1\"\r\nX-B", 1))
	cmd = s.boxes[0].nextCommand(t)
	if cmd.fields["cached"] != "t1" {
		t.Errorf("the tag was not passed on: %v", cmd.fields)
	}
	cmd.reply("current", "sum=t1,t0=1,why=warm", "")
	if r, body := c.readResponse("GET"); r.StatusCode != 304 || body != "" {
		t.Errorf("got %d, %d bytes", r.StatusCode, len(body))
	}
}

// Guards against malformed requests that get the wrong status or no response, or that
// leave the connection open in an undefined state.
func TestBadRequests(t *testing.T) {
	s := newSite(t, 1, "")
	good := getRequest("guide-video", "9f3a", 2000)
	for name, x := range map[string]struct {
		text   string
		status int
	}{
		"garbage":          {"\x16\x03\x01\x00garbage", 400},
		"no version":       {"GET /call/guide-video/1\r\n\r\n", 400},
		"unknown class":    {getRequest("gifs", "1", 2000), 400},
		"unknown target":   {"GET /elsewhere HTTP/1.1\r\n\r\n", 400},
		"no id":            {strings.Replace(good, "Req-Id", "Req-Ix", 1), 400},
		"no bucket":        {strings.Replace(good, "X-Bucket: 17\r\n", "", 1), 400},
		"two ids":          {strings.Replace(good, "X-B", "Req-Id: 0123456789abcdef\r\nX-B", 1), 400},
		"endless wait":     {getRequest("guide-video", "1", 99_999_999), 400},
		"no wait":          {strings.Replace(good, "Req-Wait-Ms", "Req-Wait", 1), 400},
		"bad part":         {strings.Replace(good, "seg=3", "seg=-3", 1), 400},
		"field in a name":  {getRequest("guide-video", "1,next=s-9", 2000), 400},
		"bad bucket":       {strings.Replace(good, "X-Bucket: 17", "X-Bucket: 256", 1), 400},
		"two lengths":      {strings.Replace(good, "X-B", "Content-Length: 0\r\nContent-Length: 1\r\nX-B", 1), 400},
		"chunked":          {strings.Replace(good, "X-B", "Transfer-Encoding: chunked\r\nX-B", 1), 400},
		"read by PUT":      {strings.Replace(good, "GET", "PUT", 1), 405},
		"write by GET":     {getRequest("payout-confirm", "1", 2000), 405},
		"oversized body":   {strings.Replace(putRequest(2000, ""), "Content-Length: 0", "Content-Length: 48001", 1), 413},
		"oversized header": {strings.Replace(good, "X-B", "X-Y: "+strings.Repeat("y", 9000)+"\r\nX-B", 1), 431},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, s.addr)
			c.send(x.text)
			if r, _ := c.readResponse("GET"); r.StatusCode != x.status {
				t.Errorf("got %d, want %d", r.StatusCode, x.status)
			}
			if !c.waitClosed() {
				t.Error("the connection stays open")
			}
		})
	}
	if len(s.boxes[0].commands)+len(s.origin.commands) > 0 {
		t.Error("bad input reached a node")
	}
}

// Guards against a client that pipelines so many requests that the poller stalls, and with
// it every other connection: the open request is answered, the connection is then closed,
// and the rest of the flood is dropped.
func TestPipelinedFloodDoesNotAffectOtherConnections(t *testing.T) {
	s := newSite(t, 1, "")
	flood := dial(t, s.addr)
	flood.send(getRequest("guide-video", "9f3a", 5000))
	cmd := s.boxes[0].nextCommand(t)
	flood.send(strings.Repeat(getRequest("guide-video", "9f3b", 5000), 4000))
	other := dial(t, s.addr)
	other.send(getRequest("guide-video", "9f3c", 5000))
	y := s.boxes[0].nextCommand(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	if r, _ := other.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("request beside the flood: got %d", r.StatusCode)
	}
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := flood.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) || !r.Close {
		t.Errorf("the flooding client's open request: got %d, close %v", r.StatusCode, r.Close)
	}
	if !flood.waitClosed() {
		t.Error("the flood's connection stays open")
	}
}

// Guards against clients that hold a connection without a request: an incomplete request
// gets 408, a silent connection is closed, and an oversized body gets 413 before it has
// arrived.
func TestIncompleteSilentAndOversizedRequests(t *testing.T) {
	s := newSite(t, 1, "")
	incomplete, silent, oversized := dial(t, s.addr), dial(t, s.addr), dial(t, s.addr)
	incomplete.send("GET /call/guide-video/9f3a?seg=3 HT")
	oversized.send(strings.Replace(putRequest(2000, ""), "Content-Length: 0", "Content-Length: 60000000", 1))
	if r, _ := oversized.readResponse("PUT"); r.StatusCode != 413 {
		t.Errorf("oversized body: got %d", r.StatusCode)
	}
	if r, _ := incomplete.readResponse("GET"); r.StatusCode != 408 || !incomplete.waitClosed() {
		t.Errorf("incomplete request: got %d", r.StatusCode)
	}
	if !silent.waitClosed() {
		t.Error("a silent connection stays open")
	}
}

// Guards against two open requests with the same id: a node can't tell them apart, so the
// second must not be passed on.
func TestDuplicateOpenRequestIDIsRejected(t *testing.T) {
	s := newSite(t, 1, "")
	first, second := dial(t, s.addr), dial(t, s.addr)
	text := getRequest("guide-video", "9f3a", 5000)
	first.send(text)
	cmd := s.boxes[0].nextCommand(t)
	second.send(strings.Replace(text, "9f3a", "9f3b", 1))
	if r, _ := second.readResponse("GET"); r.StatusCode != 502 {
		t.Errorf("second: got %d", r.StatusCode)
	}
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := first.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) {
		t.Errorf("first: got %d", r.StatusCode)
	}
}

// Guards against attempts that continue after their client has disconnected.
func TestClientResetCancelsAttempt(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 5000))
	cmd := s.boxes[0].nextCommand(t)
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
	if y := s.boxes[0].nextCommand(t); y.verb != "cancel" || y.id != cmd.id {
		t.Errorf("got %s %s, want cancel %s", y.verb, y.id, cmd.id)
	}
}

// Guards against a node that does not answer delaying other requests, and against a
// request without a response because its node sends none.
func TestSilentNode(t *testing.T) {
	s := newSite(t, 2, "")
	silent := dial(t, s.addr)
	silent.send(getRequest("guide-video", "1", 1500))
	var stuck, other *node
	var first command
	select {
	case first = <-s.boxes[0].commands:
		stuck, other = s.boxes[0], s.boxes[1]
	case first = <-s.boxes[1].commands:
		stuck, other = s.boxes[1], s.boxes[0]
	}
	other.serveAll()
	// Objects served by the other box are answered while the silent one is pending.
	c := dial(t, s.addr)
	for object, served := 2, 0; served < 5; object++ {
		c.send(getRequest("guide-video", strings.Repeat("x", object), 300))
		if r, _ := c.readResponse("GET"); r.StatusCode == 200 {
			served++
		}
		if object > 60 {
			t.Fatalf("%d served beside a silent node", served)
		}
	}
	r, _ := silent.readResponse("GET")
	if r.StatusCode == 200 {
		t.Error("got 200 though the node did not answer")
	}
	for y := stuck.nextCommand(t); y.verb != "cancel" || y.id != first.id; y = stuck.nextCommand(t) {
	}
}

// Guards against malformed bytes from a node affecting more than the attempts on that
// connection.
func TestGarbageFromNode(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 3000))
	cmd := s.boxes[0].nextCommand(t)
	_, _ = cmd.conn.Write([]byte("what is this\r\n"))
	y := s.boxes[0].nextCommand(t) // tried again, on another connection
	if y.conn == cmd.conn {
		t.Error("the connection is still used")
	}
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	if r, body := c.readResponse("GET"); r.StatusCode != 200 || body != objectBody(y) {
		t.Errorf("got %d", r.StatusCode)
	}
}

// Guards against a payout that runs twice: once it may have run, the request fails; it is
// retried or refused only if it surely did not run.
func TestPayoutRunsOnce(t *testing.T) {
	s := newSite(t, 1, "")
	for _, x := range []struct {
		name, word string
		status     int
		refused    bool
	}{{"error", "error", 502, false}, {"ok", "ok", 200, false}, {"reset", "", 502, false},
		{"malformed", "odd", 502, false}} {
		t.Run(x.name, func(t *testing.T) {
			c := dial(t, s.addr)
			c.send(putRequest(2000, "pay 100"))
			y := s.origin.nextCommand(t)
			if y.body != "pay 100" {
				t.Errorf("body: %q", y.body)
			}
			if x.word == "" {
				_ = y.conn.Close()
			} else {
				y.reply(x.word, "t0=1", "")
			}
			if r, _ := c.readResponse("PUT"); r.StatusCode != x.status {
				t.Errorf("got %d, want %d", r.StatusCode, x.status)
			}
			if len(s.origin.commands) > 0 {
				t.Error("it was sent twice")
			}
		})
	}
	// Refused by the origin, it goes through the parent, and is retried as long as it surely did not run.
	for _, x := range []struct {
		name, word string
		status     int
		more       bool // attempts may follow
	}{{"refused, then refused", "refused", 503, true}, {"refused, then an error", "error", 502, false},
		{"refused, then a reset", "", 502, false}, {"refused, then served", "ok", 200, false}} {
		t.Run(x.name, func(t *testing.T) {
			c := dial(t, s.addr)
			c.send(putRequest(2000, "pay 100"))
			y := s.origin.nextCommand(t)
			y.reply("refused", "-", "")
			z := s.parent.nextCommand(t)
			if z.body != "pay 100" || z.id != y.id || z.fields["next"] != "s-origin" {
				t.Errorf("the parent received %+v", z)
			}
			if x.word == "" {
				_ = z.conn.Close()
			} else {
				z.reply(x.word, "sum=t1,t0=1", "")
			}
			if x.more {
				stop := make(chan struct{})
				defer close(stop)
				go func() {
					for {
						select {
						case z := <-s.parent.commands:
							z.reply(x.word, "-", "")
						case <-stop:
							return
						}
					}
				}()
			}
			r, _ := c.readResponse("PUT")
			if r.StatusCode != x.status || x.status == 503 && r.Header.Get("Srv-Wait-Ms") == "" {
				t.Errorf("got %d %v", r.StatusCode, r.Header)
			}
			if len(s.origin.commands) > 0 || !x.more && len(s.parent.commands) > 0 {
				t.Error("it was sent again")
			}
		})
	}
}

// Guards against requests sent to a server that the notice board lists as draining.
func TestDrainingBoxGetsNoRequests(t *testing.T) {
	s := newSite(t, 1, "")
	s.board.add(`"pool":{"complete":false,"members":[{"id":"s-0","host_port":"` +
		s.boxes[0].ln.Addr().String() + `","locality":"edge-1","flavor":"box","phase":"DRAINING","size":100}]}`)
	s.log.await(t, "state=draining")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 500))
	s.parent.serveAll()
	if r, _ := c.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("got %d", r.StatusCode)
	}
	if len(s.boxes[0].commands) > 0 {
		t.Error("a draining box got a request")
	}
}

// Guards against a purge that does not lower the maximum age sent with a request.
func TestPurgeLimitsAge(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 3000))
	cmd := s.boxes[0].nextCommand(t)
	if cmd.fields["agelim"] != "" {
		t.Errorf("agelim without a purge: %v", cmd.fields)
	}
	cmd.reply("ok", "sum=t1,t0=1,why=warm", "a")
	c.readResponse("GET")
	s.board.add(`"flush":{"collection":17,"ms":` + nowMS() + `}`)
	s.board.add(`"pool":{"complete":false,"members":[{"id":"s-parent","host_port":"` +
		s.parent.ln.Addr().String() + `","locality":"hub","flavor":"parent","phase":"DRAINING","size":100}]}`)
	s.log.await(t, "state=draining") // events are applied in order, so the purge is too
	c.send(getRequest("guide-video", "9f3a", 3000))
	if cmd = s.boxes[0].nextCommand(t); cmd.fields["agelim"] == "" {
		t.Errorf("no agelim after a purge: %v", cmd.fields)
	}
}

// Guards against a restart that loses accepted requests: after SIGTERM new clients are still
// served for a while, and the program exits by itself.
func TestSIGTERM(t *testing.T) {
	s := newSite(t, 1, "")
	before := dial(t, s.addr)
	before.send(getRequest("guide-video", "9f3a", 5000))
	first := s.boxes[0].nextCommand(t)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.log.await(t, "told to end")
	after := dial(t, s.addr)
	after.send(getRequest("guide-video", "9f3b", 5000))
	second := s.boxes[0].nextCommand(t)
	second.reply("ok", "sum=t1,t0=1,why=warm", objectBody(second))
	if r, body := after.readResponse("GET"); r.StatusCode != 200 || body != objectBody(second) {
		t.Errorf("after SIGTERM: got %d", r.StatusCode)
	}
	if !after.waitClosed() { // draining closes idle connections
		t.Error("an idle connection stays open")
	}
	first.reply("ok", "sum=t1,t0=1,why=warm", objectBody(first))
	if r, body := before.readResponse("GET"); r.StatusCode != 200 || body != objectBody(first) {
		t.Errorf("before SIGTERM: got %d", r.StatusCode)
	}
	if err := <-s.exited; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// drainEvent returns a notice board event that the first box drains.
func (s *site) drainEvent() string {
	return `"pool":{"complete":false,"members":[{"id":"s-0","host_port":"` + s.boxes[0].ln.Addr().String() +
		`","locality":"edge-1","flavor":"box","phase":"DRAINING","size":100}]}`
}

// Guards against SIGHUP ending the program, against an invalid file taking effect, and against
// the old notice board being followed too long, or the new one from the wrong event on. The
// request that is open meanwhile is answered.
func TestSIGHUP(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 5000))
	cmd := s.boxes[0].nextCommand(t)
	good, err := os.ReadFile(s.configPath)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text, until string) {
		t.Helper()
		if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		s.log.await(t, until)
	}
	reload(strings.Replace(string(good), `"sockets":1024`, `"sockets":"many"`, 1), "limits.sockets")
	reload(strings.Replace(string(good), `"sockets":1024`, `"sockets":512`, 1), "keys=[limits]")
	other := newBoard(t)
	s.board.add(`"flush":{"collection":17,"ms":1}`)
	other.add(`"flush":{"collection":17,"ms":1}`)
	other.add(s.drainEvent())
	reload(strings.Replace(string(good), s.board.addr, other.addr, 1), "state=draining")
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := c.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) {
		t.Errorf("got %d", r.StatusCode)
	}
}

// Guards against events that are lost if the board truncates a response, or stops responding
// with the connection open.
func TestBoardTruncatesAndStalls(t *testing.T) {
	s := newSite(t, 1, "")
	s.board.mu.Lock()
	s.board.truncatePolls, s.board.unansweredPolls = 2, 1
	s.board.mu.Unlock()
	began := time.Now()
	s.board.add(s.drainEvent())
	s.log.await(t, "state=draining")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("event applied after %v", took)
	}
}

// Guards against a restart that is delayed by a call that no node answers: the request fails
// in time, and the program exits.
func TestSIGTERMIsBounded(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 9000))
	s.boxes[0].nextCommand(t)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if r, _ := c.readResponse("GET"); r.StatusCode != 502 {
		t.Errorf("got %d", r.StatusCode)
	}
	if err := <-s.exited; err != nil {
		t.Errorf("ended with %v", err)
	}
}

func TestBadConfiguration(t *testing.T) {
	for _, x := range []struct{ key, config, operator string }{
		{"listen", `{"settings":{}}`, ""},
		{"limits.sockets", `{"listen":"127.0.0.1:1","limits":{"sockets":"many"}}`, ""},
		{"grades", `{"listen":"127.0.0.1:1","settings":{}}`, ""},
		{"limits.max-attempts", `{"listen":"127.0.0.1:1","settings":{"limits":{"max-attempts":"x"}}}`, ""},
		{"known", `{"listen":"127.0.0.1:1","known":{"notices":[]},"settings":` + platformSettings + `}`, ""},
		{"signed.url_keys[0].secret", `{"listen":"127.0.0.1:1","settings":` + platformSettings + `}`,
			`{"signed":{"listen":"127.0.0.1:2","branch":"b","url_base":"https://x",
			"url_keys":[{"name":"k","secret":"short"}]}}`},
		{"sgned", `{"listen":"127.0.0.1:1","settings":` + platformSettings + `}`, `{"sgned":{}}`},
	} {
		t.Run(x.key, func(t *testing.T) {
			cmd := exec.Command(binary)
			cmd.Env = []string{"ROUTER_CONFIG=" + writeConfig(t, x.config)}
			if x.operator != "" {
				cmd.Env = append(cmd.Env, "CHERRYRAMP_OPERATOR="+writeConfig(t, x.operator))
			}
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), x.key) {
				t.Errorf("err %v, output %s", err, out)
			}
		})
	}
}
