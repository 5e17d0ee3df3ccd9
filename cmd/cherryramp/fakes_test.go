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

// waitTimeout bounds how long a test waits for an event that must occur.
const waitTimeout = 10 * time.Second

// binary is the path of the front, built once for all tests.
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

// command is a command that a cache node received.
type command struct {
	verb, id string
	fields   map[string]string
	body     string
	conn     net.Conn
}

// reply answers a command on its connection.
func (c command) reply(status, fields, body string) {
	_, _ = fmt.Fprintf(c.conn, "%s %s %s %d\r\n%s\r\n", c.id, status, fields, len(body), body)
}

// node is a fake cache node: it reads the line protocol and sends each command to the
// channel commands.
type node struct {
	ln        net.Listener
	commands  chan command
	malformed chan string  // a line that is not a command
	served    atomic.Int64 // commands answered by serveAll or serveLarge
}

func newNode(t *testing.T) *node {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	n := &node{ln: ln, commands: make(chan command, 1000), malformed: make(chan string, 1)}
	t.Cleanup(func() {
		_ = ln.Close()
		select {
		case line := <-n.malformed:
			t.Errorf("a node received %q", line)
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
		tokens := strings.Fields(line)
		if len(tokens) != 4 && (len(tokens) != 2 || tokens[0] == "serve") {
			select {
			case n.malformed <- line:
			default:
			}
			return
		}
		cmd := command{verb: tokens[0], id: tokens[1], conn: c, fields: map[string]string{}}
		if cmd.verb == "serve" {
			for _, f := range strings.Split(tokens[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				cmd.fields[name] = value
			}
			size, _ := strconv.Atoi(tokens[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			cmd.body = string(body[:size])
		}
		n.commands <- cmd
	}
}

// nextCommand waits for a command.
func (n *node) nextCommand(t *testing.T) command {
	t.Helper()
	select {
	case c := <-n.commands:
		return c
	case <-time.After(waitTimeout):
		t.Fatal("the node received no command")
		return command{}
	}
}

// objectBody returns the body that the fake node holds for a name and part.
func objectBody(c command) string {
	return strings.Repeat(c.fields["name"]+"/"+c.fields["piece"]+";", 2000)
}

// serveAll answers every serve command with the requested object.
func (n *node) serveAll() {
	go func() {
		for c := range n.commands {
			if c.verb == "serve" {
				n.served.Add(1)
				c.reply("ok", "sum=t1,t0=1,why=warm", objectBody(c))
			}
		}
	}()
}

// board is a fake notice board.
type board struct {
	addr            string
	mu              sync.Mutex
	changed         chan struct{} // closed and replaced when an event is added
	events          []string
	server          *http.Server
	truncatePolls   int // polls whose response is to be truncated
	unansweredPolls int // polls that are to get no response
}

func newBoard(t *testing.T) *board {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	b := &board{addr: ln.Addr().String(), changed: make(chan struct{})}
	b.server = &http.Server{Handler: http.HandlerFunc(b.poll), ReadHeaderTimeout: waitTimeout}
	t.Cleanup(func() { _ = b.server.Close() })
	go func() { _ = b.server.Serve(ln) }()
	return b
}

// stop closes the board's listener and all open connections.
func (b *board) stop() { _ = b.server.Close() }

// resume listens again at the same address after stop.
func (b *board) resume(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.poll), ReadHeaderTimeout: waitTimeout}
	go func(s *http.Server) { _ = s.Serve(ln) }(b.server)
}

// add publishes an event; events are numbered from 2, the initial state is 1.
func (b *board) add(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, fmt.Sprintf(`{"rev":%d,%s}`, len(b.events)+2, event))
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *board) poll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	b.mu.Lock()
	changed, latest := b.changed, len(b.events)+1
	b.mu.Unlock()
	if latest <= watch {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.events) >= watch && b.truncatePolls > 0 { // there is an event, and its response is truncated
		b.truncatePolls--
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, `{"rev":9,"notices":[{"rev":`)
		panic(http.ErrAbortHandler)
	}
	if len(b.events) >= watch && b.unansweredPolls > 0 {
		b.unansweredPolls--
		b.mu.Unlock()
		<-r.Context().Done()
		b.mu.Lock()
		return
	}
	_, _ = fmt.Fprintf(w, `{"rev":%d,"notices":[%s]}`, len(b.events)+1, strings.Join(b.events[watch-1:], ","))
}

const platformSettings = `{"balancers":1,"discovery":"pushed","extra":{"class-write":[false,false,true],
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

// site is a started front with the fake nodes and notice board that it uses.
type site struct {
	t            *testing.T
	boxes        []*node
	parent       *node
	origin       *node
	board        *board
	addr         string
	signedAddr   string
	configPath   string // path of the platform's configuration
	operatorPath string // path of the operator's file
	cmd          *exec.Cmd
	log          *logBuffer
	exited       chan error
	injector     *syscallfault.Injector // nil: no faults are injected
}

// faultOptions configures the faults in a front's system calls and the control of its clock.
type faultOptions struct {
	matches      []syscallfault.Match
	controlClock bool // allows StepClock
	decide       syscallfault.Decide
}

// newSite starts the front with a number of cache boxes. operator is the text of an
// operator's file, in which "LISTEN" is replaced by a free address; empty: no file.
func newSite(t *testing.T, boxes int, operator string) *site {
	t.Helper()
	return newSiteWithEnv(t, boxes, operator)
}

// newSiteWithEnv is newSite with additional environment variables.
func newSiteWithEnv(t *testing.T, boxes int, operator string, env ...string) *site {
	t.Helper()
	return newSiteWithConfig(t, boxes, operator, func(config string) string { return config }, env...)
}

// newSiteWithConfig is newSiteWithEnv with a configuration changed by change.
func newSiteWithConfig(t *testing.T, boxes int, operator string, change func(config string) string, env ...string) *site {
	t.Helper()
	return newSiteWithFaults(t, boxes, operator, change, nil, env...)
}

// newSiteWithFaults is newSiteWithConfig with faults in the front's system calls; nil: none.
func newSiteWithFaults(t *testing.T, boxes int, operator string, change func(config string) string, f *faultOptions, extraEnv ...string) *site {
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
		"settings":%s}`, s.addr, s.board.addr, strings.Join(members, ","), platformSettings)
	s.configPath = writeConfig(t, change(config))
	env := append([]string{"ROUTER_CONFIG=" + s.configPath}, extraEnv...)
	if operator != "" {
		s.signedAddr = freeAddress(t)
		s.operatorPath = writeConfig(t, strings.ReplaceAll(operator, "LISTEN", s.signedAddr))
		env = append(env, "CHERRYRAMP_OPERATOR="+s.operatorPath)
	}
	s.start(env, f)
	return s
}

func writeConfig(t *testing.T, text string) string {
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

// logBuffer collects a log and lets tests wait for its texts.
type logBuffer struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	written chan struct{}
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.written <- struct{}{}:
	default:
	}
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// await waits until the log contains a text.
func (l *logBuffer) await(t *testing.T, text string) {
	t.Helper()
	l.awaitCount(t, text, 1)
}

// awaitCount waits until the log contains a text n times.
func (l *logBuffer) awaitCount(t *testing.T, text string, n int) {
	t.Helper()
	end := time.After(waitTimeout)
	for strings.Count(l.String(), text) < n {
		select {
		case <-l.written:
		case <-end:
			t.Fatalf("log lacks %q: %s", text, l)
		}
	}
}

func (s *site) start(env []string, f *faultOptions) {
	s.t.Helper()
	s.log = &logBuffer{written: make(chan struct{}, 1)}
	s.cmd = exec.Command(binary)
	s.cmd.Env, s.cmd.Stderr = env, s.log
	var err error
	if f != nil {
		s.injector, err = syscallfault.Start(s.cmd, f.matches, f.controlClock, f.decide)
	} else {
		err = s.cmd.Start()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.exited = make(chan error, 1)
	go func() { s.exited <- s.cmd.Wait() }()
	s.t.Cleanup(func() { _ = s.cmd.Process.Kill() })
	s.log.await(s.t, "msg=serving")
}

// client is a client's connection to the front.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{t: t, conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads one whole response to a request of the given method.
func (c *client) readResponse(method string) (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return r, string(body)
}

// waitClosed waits for the next byte or the end of the connection and reports whether it ended.
func (c *client) waitClosed() bool {
	_, err := c.reader.ReadByte()
	return err != nil && !os.IsTimeout(err)
}

var lastID atomic.Int64

func getRequest(class, object string, wait int) string {
	return fmt.Sprintf("GET /call/%s/%s?seg=3 HTTP/1.1\r\nHost: x\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n"+
		"X-Bucket: 17\r\n\r\n", class, object, lastID.Add(1), wait)
}

func putRequest(wait int, body string) string {
	return fmt.Sprintf("PUT /call/payout-confirm/77 HTTP/1.1\r\nHost: x\r\nReq-Id: %016x\r\nReq-Wait-Ms: %d\r\n"+
		"X-Bucket: 1\r\nContent-Length: %d\r\n\r\n%s", lastID.Add(1), wait, len(body), body)
}

// Fails at initialization if platformSettings is not valid JSON.
var _ = json.Valid([]byte(platformSettings)) || func() bool { panic("settings are not JSON") }()

func nowMS() string { return strconv.FormatInt(time.Now().UnixMilli(), 10) }
