package main

import (
	"bufio"
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run, a line each.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return ln
}

// freeAddress returns a loopback address at which nobody listens. Each caller has a host of its own, so
// that no outgoing connection takes the port meanwhile.
func freeAddress(host string) string {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// run is a request that a node has received.
type run struct {
	At                     time.Time
	Node, ID, Lane, Object string
	Word                   string // the answer's
	T0                     int64  // of the copy, Unix ms
	Fields                 string
}

// servers are the stand-ins of one site: cache nodes, the origin and the notice board.
type servers struct {
	rec   *record
	nodes []*node
	// answer, if not nil, may replace the answer's word of a request, and delay it.
	answer func(n *node, r *run) (word string, delay time.Duration)
	fresh  map[string]int64 // by class, ms; 0: until it is purged
	size   int              // of a body; 0: 2000 bytes
	quiet  bool             // what nodes receive and answer is not recorded

	mu   sync.Mutex
	runs []run

	board  net.Listener
	events []string // of the board, after the first list
	wake   chan struct{}
}

// node is a cache node or the origin.
type node struct {
	name, zone, kind string
	site             *servers
	ln               net.Listener
	copies           map[string]int64 // t0 of each copy by object and part, guarded by site.mu
}

// newServers starts cache nodes b0, b1 and so on, an origin, and the board.
func newServers(rec *record, boxes int) *servers {
	s := &servers{rec: rec, wake: make(chan struct{}), fresh: map[string]int64{}}
	for i := range boxes {
		s.add(fmt.Sprintf("s-b%d", i), "edge-1", "box")
	}
	s.add("s-origin", "hub", "origin")
	s.board = listen()
	go func() { _ = http.Serve(s.board, http.HandlerFunc(s.poll)) }()
	return s
}

func (s *servers) add(name, zone, kind string) *node {
	n := &node{name: name, zone: zone, kind: kind, site: s, ln: listen(), copies: map[string]int64{}}
	s.nodes = append(s.nodes, n)
	go func() {
		for {
			c, err := n.ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n
}

func (n *node) member(phase string, upSince int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":0,"phase":%q,"size":100,"up_since_ms":%d}`,
		n.name, n.ln.Addr(), n.zone, n.kind, phase, upSince)
}

// known returns the events of a front's start: the list.
func (s *servers) known() string {
	var members []string
	for _, n := range s.nodes {
		members = append(members, n.member("SERVING", 0))
	}
	return fmt.Sprintf(`{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}]}`, strings.Join(members, ","))
}

// tell puts an event on the board; text is the event without its number.
func (s *servers) tell(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.events) + 2
	s.events = append(s.events, fmt.Sprintf(`{"rev":%d,%s}`, number, text))
	close(s.wake)
	s.wake = make(chan struct{})
	s.rec.line("board   event %d %s", number, text)
}

// poll answers GET /board/poll.
func (s *servers) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("watch"))
	linger, _ := strconv.Atoi(r.FormValue("linger"))
	timeout := time.After(time.Duration(min(linger, 5000)) * time.Millisecond)
	for {
		s.mu.Lock()
		last, wake := len(s.events)+1, s.wake
		var later []string
		if after < last {
			later = s.events[max(0, after-1):]
		}
		text := fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, last, strings.Join(later, ","))
		s.mu.Unlock()
		if len(later) > 0 {
			_, _ = io.WriteString(w, text)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			_, _ = io.WriteString(w, text)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serve answers the commands of a connection; answers come in any order.
func (n *node) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var mu sync.Mutex
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(c, text)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		args := strings.Fields(line)
		switch {
		case len(args) == 2 && args[0] == "health":
			write(args[1] + " yes - 0\r\n\r\n")
		case len(args) == 4 && args[0] == "serve":
			size, err := strconv.Atoi(args[3])
			if err != nil {
				return
			}
			if _, err := r.Discard(size + 2); err != nil {
				return
			}
			go n.handle(args[1], args[2], write)
		}
	}
}

// lookUp returns the copy that a request may have, as a sound cache node, or asks its source.
func (n *node) lookUp(lane, key string, fields map[string]string, filled func(name string) *node) (t0 int64, why string, ok bool) {
	now := time.Now().UnixMilli()
	limit := n.site.fresh[lane]
	if age, err := strconv.ParseInt(fields["agelim"], 10, 64); err == nil && age > 0 {
		limit = age
	}
	if t, held := n.copies[key]; held && n.kind != "origin" && (limit == 0 || now-t <= limit) {
		return t, "warm", true
	}
	if n.kind == "origin" {
		return now, "", true
	}
	if filled(fields["next"]) == nil {
		return 0, "", false
	}
	if n.copies[key] = now; fields["admit"] == "" || fields["admit"] == "0" {
		delete(n.copies, key)
	}
	return now, "fill", true
}

// tagOf returns the tag of the bytes of an object that the origin gave out at a time. All versions of
// an object here have one tag until setTag.
func tagOf(object string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(object))
	return fmt.Sprintf("%016x", h.Sum64())
}

// handle runs a request and answers it.
func (n *node) handle(id, text string, write func(string)) {
	fields := map[string]string{}
	for f := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(f, "=")
		fields[name] = value
	}
	s := n.site
	r := run{At: time.Now(), Node: n.name, ID: id, Lane: fields["lane"], Object: fields["name"], Word: "ok", Fields: text}
	delay := time.Duration(0)
	if s.answer != nil {
		if word, d := s.answer(n, &r); word != "" || d > 0 {
			delay = d
			if word != "" {
				r.Word = word
			}
		}
	}
	s.mu.Lock()
	why := ""
	if r.Word == "ok" {
		var ok bool
		if r.T0, why, ok = n.lookUp(r.Lane, r.Object+"/"+fields["piece"], fields, s.find); !ok {
			r.Word = "nothing"
		}
	}
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	if !s.quiet {
		s.rec.line("node    %s received %s %s", n.name, id, text)
	}
	time.Sleep(delay)
	if !s.quiet {
		s.rec.line("node    %s answers %s %s t0=%d %s", n.name, id, r.Word, r.T0, why)
	}
	if r.Word != "ok" {
		write(fmt.Sprintf("%s %s - 0\r\n\r\n", id, r.Word))
		return
	}
	tag := tagOf(r.Object)
	out := fmt.Sprintf("sum=%s,t0=%d", tag, r.T0)
	if why != "" {
		out += ",why=" + why
	}
	if fields["cached"] == tag {
		write(fmt.Sprintf("%s current %s 0\r\n\r\n", id, out))
		return
	}
	body := fmt.Sprintf("object=%s t0=%d ", r.Object, r.T0)
	body += strings.Repeat(".", max(0, cmp.Or(s.size, 2000)-len(body)))
	write(fmt.Sprintf("%s ok %s %d\r\n%s\r\n", id, out, len(body), body))
}

func (s *servers) find(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// hold gives a cache node a copy of an object that the origin gave out some time ago.
func (s *servers) hold(object string, ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.kind == "box" {
			n.copies[object+"/"] = time.Now().Add(-ago).UnixMilli()
		}
	}
}

// runsOf returns the requests with an id that nodes have received, and those of them that were run.
func (s *servers) runsOf(id string) (all, ran []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.ID != id {
			continue
		}
		if all = append(all, r); r.Word == "ok" || r.Word == "error" {
			ran = append(ran, r)
		}
	}
	return all, ran
}

func (s *servers) close() {
	for _, n := range s.nodes {
		_ = n.ln.Close()
	}
	_ = s.board.Close()
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is a front's answer to a client.
type answer struct {
	ID     string
	Status int // 0: none
	Body   string
	T0     int64 // of the copy, by its bytes
	Err    error
}

func (a answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	return fmt.Sprintf("%d, %d bytes, t0=%d", a.Status, len(a.Body), a.T0)
}

// ask sends one request on a connection of its own and waits for the answer.
func ask(rec *record, address, class, object string, wait time.Duration) (a answer) {
	a.ID = newID()
	a.Err = func() error {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))
		rec.line("client  %s GET %s/%s at %s, waits %d ms", a.ID, class, object, address, wait.Milliseconds())
		if _, err := fmt.Fprintf(c, "GET /call/%s/%s HTTP/1.1\r\nHost: service.internal\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nX-Bucket: 17\r\nConnection: close\r\n\r\n",
			class, object, a.ID, wait.Milliseconds()); err != nil {
			return err
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		defer r.Body.Close()
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		a.Status, a.Body = r.StatusCode, string(b)
		if _, after, ok := strings.Cut(a.Body, " t0="); ok {
			text, _, _ := strings.Cut(after, " ")
			a.T0, _ = strconv.ParseInt(text, 10, 64)
		}
		return nil
	}()
	rec.line("client  %s has %s", a.ID, a)
	return a
}

// settings returns the settings of lab/site/settings.json with some values set, by path.
func settings(set map[string]any) string {
	text, err := os.ReadFile("lab/site/settings.json")
	if err != nil {
		cannotRun("%v", err)
	}
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		cannotRun("settings: %v", err)
	}
	for path, value := range set {
		var at any = tree
		keys := strings.Split(path, ".")
		for i, k := range keys {
			last := i == len(keys)-1
			switch x := at.(type) {
			case map[string]any:
				if last {
					x[k] = value
				}
				at = x[k]
			case []any:
				n, _ := strconv.Atoi(k)
				if last {
					x[n] = value
				}
				at = x[n]
			}
		}
	}
	out, _ := json.Marshal(tree)
	return string(out)
}
