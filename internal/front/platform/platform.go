// Package platform is the thin front for the platform's own protocol: HTTP/1.1
// whose target names class, object and part, and whose headers hold the rest.
package platform

import (
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	path        = "/call/"
	health      = "/ping"
	longestName = 128
	longestWait = 60_000     // ms
	idleMost    = 10_000_000 // us that a connection may stand without an open request
	sweepEvery  = 1_000_000  // us
)

var limits = httpwire.Limits{Head: 8 << 10, Body: 64 << 10}

// Config is what the front is told.
type Config struct {
	Listen      string
	Classes     []Class
	Connections int // client connections held at most
}

// Class is a class of requests.
type Class struct {
	Name  string
	Write bool
}

// Desk takes calls and serves them.
type Desk interface {
	Submit(c *gateway.Call)
	Leave(c *gateway.Call)
}

// Front holds the clients' connections.
type Front struct {
	cfg     Config
	loop    *loop.Loop
	desk    Desk
	log     *slog.Logger
	classes map[string]int
	conns   map[*conn]struct{}
	held    atomic.Int64
	closing bool
	buf     []byte
}

// conn is one client's connection; it carries one request at a time.
type conn struct {
	front *Front
	tc    *transport.Conn
	call  *gateway.Call // open
	last  bool          // the connection ends with the answer
	since loop.Micros   // when it last became idle
	over  bool
}

// New makes a front that hands calls to the desk.
func New(cfg Config, l *loop.Loop, desk Desk, log *slog.Logger) *Front {
	f := &Front{cfg: cfg, loop: l, desk: desk, log: log, classes: map[string]int{},
		conns: map[*conn]struct{}{}}
	for i, c := range cfg.Classes {
		f.classes[c.Name] = i
	}
	return f
}

// Start begins to accept clients.
func (f *Front) Start() error {
	f.sweep()
	return transport.Listen(f.loop, f.cfg.Listen, limits.Head+limits.Body, f.admit)
}

// admit runs on the poller.
func (f *Front) admit(tc *transport.Conn) transport.Handler {
	if f.held.Add(1) > int64(f.cfg.Connections) {
		f.held.Add(-1)
		f.log.Warn("client turned away: too many connections", "limit", f.cfg.Connections)
		return nil
	}
	c := &conn{front: f, tc: tc, since: loop.Now()}
	f.loop.Post(func() {
		if !c.over {
			f.conns[c] = struct{}{}
		}
	})
	return c
}

// sweep closes connections that have stood idle, or not taken their answer, for
// too long.
func (f *Front) sweep() {
	now := loop.Now()
	for c := range f.conns {
		if c.call == nil && now-c.since > idleMost {
			c.tc.Close()
		}
	}
	f.loop.At(now+sweepEvery, f.sweep)
}

// Drain has every connection end with its next answer, and idle ones at once.
func (f *Front) Drain() {
	f.closing = true
	for c := range f.conns {
		if c.call == nil && !c.tc.Blocked() {
			c.tc.Finish()
		}
	}
}

// Busy counts connections whose answer is open or not all out.
func (f *Front) Busy() (n int) {
	for c := range f.conns {
		if c.call != nil || c.tc.Blocked() {
			n++
		}
	}
	return n
}

// Readable takes the next request, unless one is open.
func (c *conn) Readable(tc *transport.Conn) {
	for c.call == nil && !c.over && !c.last {
		var r *httpwire.Request
		var err error
		tc.Consume(func(b []byte) (used int) {
			r, used, err = httpwire.ParseRequest(b, limits)
			return used
		})
		var wrong *httpwire.Error
		if errors.As(err, &wrong) {
			c.reject(wrong.Status, wrong.Reason)
			return
		}
		if r == nil {
			return
		}
		c.serve(r)
	}
}

// serve answers a health check or submits a request.
func (c *conn) serve(r *httpwire.Request) {
	f := c.front
	c.last = r.Close || f.closing
	if r.Target == health && r.Method == "GET" {
		c.write(&httpwire.Response{Status: 200})
		return
	}
	call, wrong := f.read(r)
	if wrong != nil {
		c.reject(wrong.Status, wrong.Reason)
		return
	}
	call.Caller = c
	c.call = call
	f.desk.Submit(call)
}

func bad(reason string) *httpwire.Error { return &httpwire.Error{Status: 400, Reason: reason} }

// read turns a request into a call.
func (f *Front) read(r *httpwire.Request) (*gateway.Call, *httpwire.Error) {
	target, query, parted := strings.Cut(r.Target, "?")
	rest, ok := strings.CutPrefix(target, path)
	if !ok {
		return nil, bad("target is unknown")
	}
	name, object, _ := strings.Cut(rest, "/")
	class, known := f.classes[name]
	id := r.Header.Get("Req-Id")
	switch {
	case !known:
		return nil, bad("class is unknown")
	case !isName(object):
		return nil, bad("object is malformed")
	case len(id) != 16 || strings.Trim(id, "0123456789abcdefABCDEF") != "":
		return nil, bad("Req-Id is not 16 hex digits")
	case f.cfg.Classes[class].Write != (r.Method == "PUT") || r.Method != "PUT" && r.Method != "GET":
		return nil, &httpwire.Error{Status: 405, Reason: "method does not fit the class"}
	case r.Method == "GET" && len(r.Body) > 0:
		return nil, bad("a read has no body")
	}
	c := &gateway.Call{ID: id, Class: class, Object: object, Body: r.Body, Repeat: r.Header.Get("Req-Retry") == "1"}
	wait, err := strconv.ParseUint(r.Header.Get("Req-Wait-Ms"), 10, 32)
	if err != nil {
		return nil, bad("Req-Wait-Ms is not a number")
	}
	c.Deadline = loop.Now() + int64(min(wait, longestWait))*1000
	if text := r.Header.Get("X-Bucket"); text != "" {
		group, err := strconv.ParseUint(text, 10, 8)
		if err != nil {
			return nil, bad("X-Bucket is not 0 to 255")
		}
		c.Group = int(group)
	}
	if parted {
		text, ok := strings.CutPrefix(query, "seg=")
		part, err := strconv.ParseUint(text, 10, 30)
		if !ok || err != nil {
			return nil, bad("query is not seg=N")
		}
		c.Part, c.HasPart = int(part), true
	}
	if tag := strings.Trim(r.Header.Get("If-None-Match"), `"`); isName(tag) {
		c.Tag = tag
	}
	return c, nil
}

// isName tells whether a word can stand in a field of the nodes' protocol.
func isName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(",=/?%+\"", c) >= 0 {
			return false
		}
	}
	return s != "" && len(s) <= longestName
}

// Answer writes the final answer of the open call.
func (c *conn) Answer(a gateway.Answer) {
	c.call = nil
	r := &httpwire.Response{Status: 502}
	if a.Tag != "" {
		r.Header = append(r.Header, httpwire.Field{Name: "ETag", Value: `"` + a.Tag + `"`})
	}
	switch {
	case a.Kind == gateway.Served:
		r.Status, r.Body = 200, a.Body
	case a.Kind == gateway.Current:
		r.Status = 304
	case a.Kind == gateway.Refused:
		r.Status = 503
		r.Header = httpwire.Header{{Name: "Srv-Wait-Ms", Value: strconv.FormatInt((a.Await+999)/1000, 10)}}
	case a.Late:
		r.Status = 504
	}
	c.write(r)
	if !c.last {
		c.front.loop.Post(func() { c.Readable(c.tc) }) // what came meanwhile
	}
}

func (c *conn) write(r *httpwire.Response) {
	f := c.front
	c.last = c.last || f.closing
	r.Close = c.last
	f.buf = httpwire.AppendResponse(f.buf[:0], r, r.Status == 304)
	c.since = loop.Now()
	if _, err := c.tc.Send(f.buf); err != nil {
		c.tc.Close()
		return
	}
	if c.last {
		c.tc.Finish()
	}
}

// reject answers what can't be read, and ends the connection.
func (c *conn) reject(status int, reason string) {
	c.front.log.Info("request rejected", "status", status, "reason", reason, "peer", c.tc.Peer().String())
	c.last = true
	c.write(&httpwire.Response{Status: status, Body: []byte(reason + "\n")})
}

// Drained has nothing to do: the transport has sent the rest.
func (c *conn) Drained(*transport.Conn) {}

// Closed gives up what the client no longer waits for.
func (c *conn) Closed(*transport.Conn) {
	c.over = true
	c.front.held.Add(-1)
	delete(c.front.conns, c)
	if c.call != nil {
		c.front.desk.Leave(c.call)
		c.call = nil
	}
}
