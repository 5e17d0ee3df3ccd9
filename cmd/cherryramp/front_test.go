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
	c.send(get("guide-video", "9f3a", 2000))
	x := s.boxes[0].next(t)
	want := map[string]string{"lane": "guide-video", "name": "9f3a", "piece": "3", "next": "s-parent"}
	for k, v := range want {
		if x.fields[k] != v {
			t.Errorf("%s: got %q, want %q", k, x.fields[k], v)
		}
	}
	x.reply("ok", "sum=t1,t0=1,why=fill,slow=12.5", object(x))
	r, body := c.answer("GET")
	if r.StatusCode != 200 || body != object(x) || r.Header.Get("ETag") != `"t1"` {
		t.Errorf("got %d, %d bytes, %v", r.StatusCode, len(body), r.Header)
	}
	// The same connection carries the next request; the client's copy still holds.
	c.send(strings.Replace(get("guide-video", "9f3a", 2000), "X-B", "If-None-Match: \"t1\"\r\nX-B", 1))
	x = s.boxes[0].next(t)
	if x.fields["cached"] != "t1" {
		t.Errorf("tag was not passed on: %v", x.fields)
	}
	x.reply("current", "sum=t1,t0=1,why=warm", "")
	if r, body := c.answer("GET"); r.StatusCode != 304 || body != "" {
		t.Errorf("got %d, %d bytes", r.StatusCode, len(body))
	}
}

// Guards against bad input that is answered wrongly, not at all, or leaves its
// connection in an unknown state.
func TestBadInput(t *testing.T) {
	s := newSite(t, 1, "")
	good := get("guide-video", "9f3a", 2000)
	for name, x := range map[string]struct {
		text   string
		status int
	}{
		"garbage":          {"\x16\x03\x01\x00garbage", 400},
		"no version":       {"GET /call/guide-video/1\r\n\r\n", 400},
		"unknown class":    {get("gifs", "1", 2000), 400},
		"unknown target":   {"GET /elsewhere HTTP/1.1\r\n\r\n", 400},
		"no id":            {strings.Replace(good, "Req-Id", "Req-Ix", 1), 400},
		"no bucket":        {strings.Replace(good, "X-Bucket: 17\r\n", "", 1), 400},
		"two ids":          {strings.Replace(good, "X-B", "Req-Id: 0123456789abcdef\r\nX-B", 1), 400},
		"endless wait":     {get("guide-video", "1", 99_999_999), 400},
		"no wait":          {strings.Replace(good, "Req-Wait-Ms", "Req-Wait", 1), 400},
		"bad part":         {strings.Replace(good, "seg=3", "seg=-3", 1), 400},
		"field in a name":  {get("guide-video", "1,next=s-9", 2000), 400},
		"bad bucket":       {strings.Replace(good, "X-Bucket: 17", "X-Bucket: 256", 1), 400},
		"two lengths":      {strings.Replace(good, "X-B", "Content-Length: 0\r\nContent-Length: 1\r\nX-B", 1), 400},
		"chunked":          {strings.Replace(good, "X-B", "Transfer-Encoding: chunked\r\nX-B", 1), 400},
		"read by PUT":      {strings.Replace(good, "GET", "PUT", 1), 405},
		"write by GET":     {get("payout-confirm", "1", 2000), 405},
		"oversized body":   {strings.Replace(put(2000, ""), "Content-Length: 0", "Content-Length: 48001", 1), 413},
		"oversized header": {strings.Replace(good, "X-B", "X-Y: "+strings.Repeat("y", 9000)+"\r\nX-B", 1), 431},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, s.addr)
			c.send(x.text)
			if r, _ := c.answer("GET"); r.StatusCode != x.status {
				t.Errorf("got %d, want %d", r.StatusCode, x.status)
			}
			if !c.closed() {
				t.Error("the connection stays open")
			}
		})
	}
	if len(s.boxes[0].came)+len(s.origin.came) > 0 {
		t.Error("bad input reached a node")
	}
}

// Guards against a client whose flood stops the poller, and with it every other
// connection: its open request is answered, the connection then ends, and the
// rest of the flood is dropped.
func TestFloodHurtsNobodyElse(t *testing.T) {
	s := newSite(t, 1, "")
	flood := dial(t, s.addr)
	flood.send(get("guide-video", "9f3a", 5000))
	x := s.boxes[0].next(t)
	flood.send(strings.Repeat(get("guide-video", "9f3b", 5000), 4000))
	other := dial(t, s.addr)
	other.send(get("guide-video", "9f3c", 5000))
	y := s.boxes[0].next(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	if r, _ := other.answer("GET"); r.StatusCode != 200 {
		t.Errorf("beside a flood: got %d", r.StatusCode)
	}
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := flood.answer("GET"); r.StatusCode != 200 || body != object(x) || !r.Close {
		t.Errorf("the flood's own request: got %d, close %v", r.StatusCode, r.Close)
	}
	if !flood.closed() {
		t.Error("the flood's connection stays open")
	}
}

// Guards against clients that hold a place and bring nothing: half a request is
// answered, silence is ended, and what is too long gets its answer before the
// rest of it has come.
func TestSlowAndSilentClients(t *testing.T) {
	s := newSite(t, 1, "")
	half, silent, long := dial(t, s.addr), dial(t, s.addr), dial(t, s.addr)
	half.send("GET /call/guide-video/9f3a?seg=3 HT")
	long.send(strings.Replace(put(2000, ""), "Content-Length: 0", "Content-Length: 60000000", 1))
	if r, _ := long.answer("PUT"); r.StatusCode != 413 {
		t.Errorf("too long: got %d", r.StatusCode)
	}
	if r, _ := half.answer("GET"); r.StatusCode != 408 || !half.closed() {
		t.Errorf("half a request: got %d", r.StatusCode)
	}
	if !silent.closed() {
		t.Error("a silent connection stays open")
	}
}

// Guards against an id that two requests hold at once: to a node they are one,
// so the second must not be passed on.
func TestOpenIDIsNotTakenTwice(t *testing.T) {
	s := newSite(t, 1, "")
	first, second := dial(t, s.addr), dial(t, s.addr)
	text := get("guide-video", "9f3a", 5000)
	first.send(text)
	x := s.boxes[0].next(t)
	second.send(strings.Replace(text, "9f3a", "9f3b", 1))
	if r, _ := second.answer("GET"); r.StatusCode != 502 {
		t.Errorf("second: got %d", r.StatusCode)
	}
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := first.answer("GET"); r.StatusCode != 200 || body != object(x) {
		t.Errorf("first: got %d", r.StatusCode)
	}
}

// Guards against work that goes on for a client that has gone.
func TestResetCancels(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 5000))
	x := s.boxes[0].next(t)
	_ = c.c.(*net.TCPConn).SetLinger(0)
	_ = c.c.Close()
	if y := s.boxes[0].next(t); y.word != "cancel" || y.id != x.id {
		t.Errorf("got %s %s, want cancel %s", y.word, y.id, x.id)
	}
}

// Guards against a machine that says nothing holding up requests of others, and
// against a request that gets no answer because nobody answers it.
func TestSilentNode(t *testing.T) {
	s := newSite(t, 2, "")
	silent := dial(t, s.addr)
	silent.send(get("guide-video", "1", 1500))
	var stuck, other *node
	var first command
	select {
	case first = <-s.boxes[0].came:
		stuck, other = s.boxes[0], s.boxes[1]
	case first = <-s.boxes[1].came:
		stuck, other = s.boxes[1], s.boxes[0]
	}
	other.serveAll()
	// Objects that the other box serves are answered while the silent one is waited for.
	c := dial(t, s.addr)
	for object, served := 2, 0; served < 5; object++ {
		c.send(get("guide-video", strings.Repeat("x", object), 300))
		if r, _ := c.answer("GET"); r.StatusCode == 200 {
			served++
		}
		if object > 60 {
			t.Fatalf("%d served beside a silent node", served)
		}
	}
	r, _ := silent.answer("GET")
	if r.StatusCode == 200 {
		t.Error("served by nobody")
	}
	for y := stuck.next(t); y.word != "cancel" || y.id != first.id; y = stuck.next(t) {
	}
}

// Guards against one node's bad bytes hurting more than the attempts on that
// connection.
func TestGarbageFromNode(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 3000))
	x := s.boxes[0].next(t)
	_, _ = x.conn.Write([]byte("what is this\r\n"))
	y := s.boxes[0].next(t) // tried again, on another connection
	if y.conn == x.conn {
		t.Error("the connection is still used")
	}
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	if r, body := c.answer("GET"); r.StatusCode != 200 || body != object(y) {
		t.Errorf("got %d", r.StatusCode)
	}
}

// Guards against a payout that runs twice: once it may have run, it is failed;
// only proof that it did not lets it be tried again or refused.
func TestPayoutRunsOnce(t *testing.T) {
	s := newSite(t, 1, "")
	for _, x := range []struct {
		name, word string
		status     int
		refused    bool
	}{{"error", "error", 502, false}, {"ok", "ok", 200, false}, {"reset", "", 502, false},
		{"spoilt", "odd", 502, false}} {
		t.Run(x.name, func(t *testing.T) {
			c := dial(t, s.addr)
			c.send(put(2000, "pay 100"))
			y := s.origin.next(t)
			if y.body != "pay 100" {
				t.Errorf("body: %q", y.body)
			}
			if x.word == "" {
				_ = y.conn.Close()
			} else {
				y.reply(x.word, "t0=1", "")
			}
			if r, _ := c.answer("PUT"); r.StatusCode != x.status {
				t.Errorf("got %d, want %d", r.StatusCode, x.status)
			}
			if len(s.origin.came) > 0 {
				t.Error("it was sent a second time")
			}
		})
	}
	// Turned away by the origin it goes through the parent, and on as long as it surely did not run.
	for _, x := range []struct {
		name, word string
		status     int
		more       bool // attempts may follow
	}{{"turned away, then done", "refused", 503, true}, {"turned away, then an error", "error", 502, false},
		{"turned away, then a reset", "", 502, false}, {"turned away, then served", "ok", 200, false}} {
		t.Run(x.name, func(t *testing.T) {
			c := dial(t, s.addr)
			c.send(put(2000, "pay 100"))
			y := s.origin.next(t)
			y.reply("refused", "-", "")
			z := s.parent.next(t)
			if z.body != "pay 100" || z.id != y.id || z.fields["next"] != "s-origin" {
				t.Errorf("the parent was told %+v", z)
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
						case z := <-s.parent.came:
							z.reply(x.word, "-", "")
						case <-stop:
							return
						}
					}
				}()
			}
			r, _ := c.answer("PUT")
			if r.StatusCode != x.status || x.status == 503 && r.Header.Get("Srv-Wait-Ms") == "" {
				t.Errorf("got %d %v", r.StatusCode, r.Header)
			}
			if len(s.origin.came) > 0 || !x.more && len(s.parent.came) > 0 {
				t.Error("it was sent once more")
			}
		})
	}
}

// Guards against sends to a server that is known to drain.
func TestDrainIsHeeded(t *testing.T) {
	s := newSite(t, 1, "")
	s.board.add(`"pool":{"complete":false,"members":[{"id":"s-0","host_port":"` +
		s.boxes[0].ln.Addr().String() + `","locality":"edge-1","flavor":"box","phase":"DRAINING","size":100}]}`)
	s.log.await(t, "state=draining")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 500))
	s.parent.serveAll()
	if r, _ := c.answer("GET"); r.StatusCode != 200 {
		t.Errorf("got %d", r.StatusCode)
	}
	if len(s.boxes[0].came) > 0 {
		t.Error("a draining box got a request")
	}
}

// Guards against a purge that the age sent with a request does not heed.
func TestPurgeLimitsAge(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 3000))
	x := s.boxes[0].next(t)
	if x.fields["agelim"] != "" {
		t.Errorf("agelim without a purge: %v", x.fields)
	}
	x.reply("ok", "sum=t1,t0=1,why=warm", "a")
	c.answer("GET")
	s.board.add(`"flush":{"collection":17,"ms":` + nowMS() + `}`)
	s.board.add(`"pool":{"complete":false,"members":[{"id":"s-parent","host_port":"` +
		s.parent.ln.Addr().String() + `","locality":"hub","flavor":"parent","phase":"DRAINING","size":100}]}`)
	s.log.await(t, "state=draining") // told after the purge, and in its order
	c.send(get("guide-video", "9f3a", 3000))
	if x = s.boxes[0].next(t); x.fields["agelim"] == "" {
		t.Errorf("no agelim after a purge: %v", x.fields)
	}
}

// Guards against a restart that loses what was taken: after SIGTERM clients
// still come for a while and are served, and the program ends by itself.
func TestSIGTERM(t *testing.T) {
	s := newSite(t, 1, "")
	before := dial(t, s.addr)
	before.send(get("guide-video", "9f3a", 5000))
	first := s.boxes[0].next(t)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.log.await(t, "told to end")
	after := dial(t, s.addr)
	after.send(get("guide-video", "9f3b", 5000))
	second := s.boxes[0].next(t)
	second.reply("ok", "sum=t1,t0=1,why=warm", object(second))
	if r, body := after.answer("GET"); r.StatusCode != 200 || body != object(second) {
		t.Errorf("after SIGTERM: got %d", r.StatusCode)
	}
	if !after.closed() { // the drain closes idle connections
		t.Error("an idle connection stays open")
	}
	first.reply("ok", "sum=t1,t0=1,why=warm", object(first))
	if r, body := before.answer("GET"); r.StatusCode != 200 || body != object(first) {
		t.Errorf("before SIGTERM: got %d", r.StatusCode)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// draining is a notice that the first box drains.
func (s *site) draining() string {
	return `"pool":{"complete":false,"members":[{"id":"s-0","host_port":"` + s.boxes[0].ln.Addr().String() +
		`","locality":"edge-1","flavor":"box","phase":"DRAINING","size":100}]}`
}

// Guards against SIGHUP ending the program, against a bad file taking effect,
// and against a board that is left too late or asked for the wrong events. The
// request that is open meanwhile is answered.
func TestSIGHUP(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 5000))
	x := s.boxes[0].next(t)
	good, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text, until string) {
		t.Helper()
		if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
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
	other.add(s.draining())
	reload(strings.Replace(string(good), s.board.addr, other.addr, 1), "state=draining")
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := c.answer("GET"); r.StatusCode != 200 || body != object(x) {
		t.Errorf("got %d", r.StatusCode)
	}
}

// Guards against news that is lost when the board breaks off in the middle of an
// event, or stops and stays open.
func TestBoardBreaksAndStops(t *testing.T) {
	s := newSite(t, 1, "")
	s.board.mu.Lock()
	s.board.cut, s.board.mute = 2, 1
	s.board.mu.Unlock()
	began := time.Now()
	s.board.add(s.draining())
	s.log.await(t, "state=draining")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("heard after %v", took)
	}
}

// Guards against a restart that is held up by a call that nobody answers: it is
// failed in time, and the program ends.
func TestSIGTERMIsBounded(t *testing.T) {
	s := newSite(t, 1, "")
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 9000))
	s.boxes[0].next(t)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if r, _ := c.answer("GET"); r.StatusCode != 502 {
		t.Errorf("got %d", r.StatusCode)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

func TestBadConfiguration(t *testing.T) {
	for _, x := range []struct{ key, config, operator string }{
		{"listen", `{"settings":{}}`, ""},
		{"limits.sockets", `{"listen":"127.0.0.1:1","limits":{"sockets":"many"}}`, ""},
		{"grades", `{"listen":"127.0.0.1:1","settings":{}}`, ""},
		{"limits.max-attempts", `{"listen":"127.0.0.1:1","settings":{"limits":{"max-attempts":"x"}}}`, ""},
		{"known", `{"listen":"127.0.0.1:1","known":{"notices":[]},"settings":` + settings + `}`, ""},
		{"signed.url_keys[0].secret", `{"listen":"127.0.0.1:1","settings":` + settings + `}`,
			`{"signed":{"listen":"127.0.0.1:2","branch":"b","url_base":"https://x",
			"url_keys":[{"name":"k","secret":"short"}]}}`},
		{"sgned", `{"listen":"127.0.0.1:1","settings":` + settings + `}`, `{"sgned":{}}`},
	} {
		t.Run(x.key, func(t *testing.T) {
			cmd := exec.Command(binary)
			cmd.Env = []string{"ROUTER_CONFIG=" + write(t, x.config)}
			if x.operator != "" {
				cmd.Env = append(cmd.Env, "CHERRYRAMP_OPERATOR="+write(t, x.operator))
			}
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), x.key) {
				t.Errorf("err %v, said %s", err, out)
			}
		})
	}
}
