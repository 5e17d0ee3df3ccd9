package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherryramp/internal/loopbacktest"
	"cherryramp/lab/syscallfault"
)

// patience is how long a test waits for what must come. Nothing sleeps for it.
const patience = 10 * time.Second

// binary is the built front, made once for all tests.
var binary string

func TestMain(m *testing.M) {
	syscallfault.RunLauncher()
	dir, err := os.MkdirTemp("", "cherryramp")
	if err == nil {
		binary = filepath.Join(dir, "cherryramp")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// command is what came to a cache node.
type command struct {
	word, id string
	fields   map[string]string
	body     string
	conn     net.Conn
}

// reply answers a command on its connection.
func (c command) reply(word, fields, body string) {
	_, _ = fmt.Fprintf(c.conn, "%s %s %s %d\r\n%s\r\n", c.id, word, fields, len(body), body)
}

// node is a stand-in for a cache node: it reads the line protocol and hands
// every command over.
type node struct {
	ln    net.Listener
	came  chan command
	wrong chan string  // a line that is no command
	taken atomic.Int64 // commands that came to serveAll
}

func newNode(t *testing.T) *node {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	n := &node{ln: ln, came: make(chan command, 1000), wrong: make(chan string, 1)}
	t.Cleanup(func() {
		_ = ln.Close()
		select {
		case line := <-n.wrong:
			t.Errorf("a node was told %q", line)
		default:
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go n.read(c)
		}
	}()
	return n
}

func (n *node) read(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) != 4 && (len(words) != 2 || words[0] == "serve") {
			select {
			case n.wrong <- line:
			default:
			}
			return
		}
		x := command{word: words[0], id: words[1], conn: c, fields: map[string]string{}}
		if x.word == "serve" {
			for _, f := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				x.fields[name] = value
			}
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			x.body = string(body[:size])
		}
		n.came <- x
	}
}

// next waits for a command.
func (n *node) next(t *testing.T) command {
	t.Helper()
	select {
	case c := <-n.came:
		return c
	case <-time.After(patience):
		t.Fatal("no command came to the node")
		return command{}
	}
}

// object is what the stand-in holds under a name and part.
func object(c command) string {
	return strings.Repeat(c.fields["name"]+"/"+c.fields["piece"]+";", 2000)
}

// serveAll answers all that comes with the object asked for.
func (n *node) serveAll() {
	go func() {
		for c := range n.came {
			if c.word == "serve" {
				n.taken.Add(1)
				c.reply("ok", "sum=t1,t0=1,why=warm", object(c))
			}
		}
	}()
}

// board is a stand-in for the notice board.
type board struct {
	addr string
	mu   sync.Mutex
	more chan struct{} // closed when there is news
	news []string
	srv  *http.Server
	cut  int // polls that break off in the middle of their answer
	mute int // polls that are never answered
}

func newBoard(t *testing.T) *board {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	b := &board{addr: ln.Addr().String(), more: make(chan struct{})}
	b.srv = &http.Server{Handler: http.HandlerFunc(b.poll), ReadHeaderTimeout: patience}
	t.Cleanup(func() { _ = b.srv.Close() })
	go func() { _ = b.srv.Serve(ln) }()
	return b
}

// stop has the board refuse connections and end those that are open.
func (b *board) stop() { _ = b.srv.Close() }

// resume takes back a stop.
func (b *board) resume(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	b.srv = &http.Server{Handler: http.HandlerFunc(b.poll), ReadHeaderTimeout: patience}
	go func(s *http.Server) { _ = s.Serve(ln) }(b.srv)
}

// add tells of an event, numbered from 2: the start has number 1.
func (b *board) add(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.news = append(b.news, fmt.Sprintf(`{"rev":%d,%s}`, len(b.news)+2, event))
	close(b.more)
	b.more = make(chan struct{})
}

func (b *board) poll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	b.mu.Lock()
	more, have := b.more, len(b.news)+1
	b.mu.Unlock()
	if have <= watch {
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.news) >= watch && b.cut > 0 { // there is news, and it breaks off
		b.cut--
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"rev":9,"notices":[{"rev":`)
		panic(http.ErrAbortHandler)
	}
	if len(b.news) >= watch && b.mute > 0 {
		b.mute--
		b.mu.Unlock()
		<-r.Context().Done()
		b.mu.Lock()
		return
	}
	_, _ = fmt.Fprintf(w, `{"rev":%d,"notices":[%s]}`, len(b.news)+1, strings.Join(b.news[watch-1:], ","))
}

const settings = `{"balancers":1,"discovery":"pushed","extra":{"class-write":[false,false,true],
 "direct":true,"flow-kb-per-s":11200.0,"hub-by-zone":[0,0],"in-parts":[true,false,false],"lateral":"any",
 "max-age-us":[0,8000000,0],"note-level":"all","obey-after-us":300000,"purge-settles-us":6000000,
 "old-copy-worth":[0.7,0.7,0.7],"parent-cold-from":0.067,"parent-limit-factor":2.0,"store-kind":2,
 "upper-cold-us":20000000,"upper-kind":1,"usable-after-us":[0,10000000,0],"zone-balancers":[0,1]},
 "grades":[
 {"name":"guide-video","effect":"read_like","give-up-us":5000000,"goal-time-us":200000,"importance":2.0},
 {"name":"page-asset","effect":"read_like","give-up-us":2000000,"goal-time-us":1000000,"importance":1.0},
 {"name":"payout-confirm","effect":"non_idempotent","give-up-us":3000000,"goal-time-us":600000,"importance":3.0}],
 "limits":{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":400000,"max-attempts":6,
 "max-retry-after-us":500000,"retry-after":true,"second-copies":true,"streams-per-conn":32},
 "machine-types":["box","parent","origin"],"report":{"fields":["util"],"source":"inline"},
 "rules":{"cold-from":0.28,"drain-grace-us":500000,"fall-multiple":2.0,"fall-us":1000000,
 "grace-to-answer-us":5000,"warm-up-us":15000000},"tick-us":1000,"weights":"rough","zone":1,
 "zones":["hub","edge-1"]}`

// site is a front with what it talks to.
type site struct {
	t      *testing.T
	boxes  []*node
	parent *node
	origin *node
	board  *board
	addr   string
	signed string
	config string // path of the configuration
	rules  string // path of the operator's file
	cmd    *exec.Cmd
	log    *lines
	ended  chan error
	faults *syscallfault.Injector // nil: its system calls are left alone
}

// faults are what happens to a front's system calls and clock.
type faults struct {
	matches []syscallfault.Match
	clock   bool // it can be stepped
	decide  syscallfault.Decide
}

// newSite starts the program with so many cache boxes; operator is the text of
// an operator's file, where "LISTEN" stands for an address, or empty.
func newSite(t *testing.T, boxes int, operator string) *site {
	t.Helper()
	return newSiteEnv(t, boxes, operator)
}

// newSiteEnv is newSite with more of the environment.
func newSiteEnv(t *testing.T, boxes int, operator string, more ...string) *site {
	t.Helper()
	return newSiteChanged(t, boxes, operator, func(config string) string { return config }, more...)
}

// newSiteChanged is newSiteEnv with a configuration that is changed first.
func newSiteChanged(t *testing.T, boxes int, operator string, change func(config string) string, more ...string) *site {
	t.Helper()
	return newSiteUnder(t, boxes, operator, change, nil, more...)
}

// newSiteUnder is newSiteChanged with faults in the front's system calls; nil: none.
func newSiteUnder(t *testing.T, boxes int, operator string, change func(config string) string, f *faults, more ...string) *site {
	t.Helper()
	s := &site{t: t, parent: newNode(t), origin: newNode(t), board: newBoard(t), addr: freeAddress(t)}
	var members []string
	member := func(id string, n *node, place, kind string) string {
		return fmt.Sprintf(`{"id":"%s","host_port":"%s","locality":"%s","flavor":"%s","cell":0,`+
			`"phase":"SERVING","size":100,"up_since_ms":0}`, id, n.ln.Addr(), place, kind)
	}
	for i := range boxes {
		s.boxes = append(s.boxes, newNode(t))
		members = append(members, member(fmt.Sprintf("s-%d", i), s.boxes[i], "edge-1", "box"))
	}
	members = append(members, member("s-parent", s.parent, "hub", "parent"),
		member("s-origin", s.origin, "hub", "origin"))
	config := fmt.Sprintf(`{"name":"n0","listen":"%s","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"board":"%s",
		"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":0,"complete":true,"members":[%s]}}]},
		"settings":%s}`, s.addr, s.board.addr, strings.Join(members, ","), settings)
	s.config = write(t, change(config))
	env := append([]string{"ROUTER_CONFIG=" + s.config}, more...)
	if operator != "" {
		s.signed = freeAddress(t)
		s.rules = write(t, strings.ReplaceAll(operator, "LISTEN", s.signed))
		env = append(env, "CHERRYRAMP_OPERATOR="+s.rules)
	}
	s.start(env, f)
	return s
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	free, err := loopbacktest.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return free
}

// lines is a log that can be waited on.
type lines struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	more chan struct{}
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
	return l.buf.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// await waits until the log holds a text.
func (l *lines) await(t *testing.T, text string) {
	t.Helper()
	l.awaitCount(t, text, 1)
}

// awaitCount waits until the log holds a text so many times.
func (l *lines) awaitCount(t *testing.T, text string, n int) {
	t.Helper()
	end := time.After(patience)
	for strings.Count(l.String(), text) < n {
		select {
		case <-l.more:
		case <-end:
			t.Fatalf("log lacks %q: %s", text, l)
		}
	}
}

func (s *site) start(env []string, f *faults) {
	s.t.Helper()
	s.log = &lines{more: make(chan struct{}, 1)}
	s.cmd = exec.Command(binary)
	s.cmd.Env, s.cmd.Stderr = env, s.log
	var err error
	if f != nil {
		s.faults, err = syscallfault.Start(s.cmd, f.matches, f.clock, f.decide)
	} else {
		err = s.cmd.Start()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.ended = make(chan error, 1)
	go func() { s.ended <- s.cmd.Wait() }()
	s.t.Cleanup(func() { _ = s.cmd.Process.Kill() })
	s.log.await(s.t, "msg=serving")
}

// client is a client's connection.
type client struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{t: t, c: c, r: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads one whole answer to a request of a method.
func (c *client) answer(method string) (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return r, string(body)
}

// closed tells whether the other side has ended the connection.
func (c *client) closed() bool {
	_, err := c.r.ReadByte()
	return err != nil && !os.IsTimeout(err)
}

var lastID atomic.Int64

func get(class, object string, wait int) string {
	return fmt.Sprintf("GET /call/%s/%s?seg=3 HTTP/1.1\r\nHost: x\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n"+
		"X-Bucket: 17\r\n\r\n", class, object, lastID.Add(1), wait)
}

func put(wait int, body string) string {
	return fmt.Sprintf("PUT /call/payout-confirm/77 HTTP/1.1\r\nHost: x\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n"+
		"X-Bucket: 1\r\nContent-Length: %d\r\n\r\n%s", lastID.Add(1), wait, len(body), body)
}

// check makes sure that the stand-ins' own texts are what they claim to be.
var _ = json.Valid([]byte(settings)) || func() bool { panic("settings are not JSON") }()

func nowMS() string { return strconv.FormatInt(time.Now().UnixMilli(), 10) }
