// Package session holds the clients' HTTP connections for the fronts: it accepts
// them, takes one request at a time from each, and writes the one answer. What a
// request means, and how an outcome is told, is the front's own matter.
package session

import (
	"cmp"
	"errors"
	"log/slog"
	"net/netip"
	"strconv"
	"sync/atomic"

	"cherryramp/internal/decide/admission"
	"cherryramp/internal/decide/resources"
	"cherryramp/internal/decide/suspects"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

// The limits where a front sets none, in us.
const (
	idleMost    = 4_500_000 // without an open request; clients close after 4 s themselves
	requestMost = 2_300_000 // that a whole request may take to come, from connecting or its first byte
)

const (
	yieldSilent  = 400_000   // us after which one that has said nothing whole yet may have to make room
	yieldIdle    = 50_000    // us after which an idle one may
	refusalEvery = 1_000_000 // us between log lines about clients turned away
	crowdShare   = 0.9       // part of the places from which new clients have others make room
)

// Config bounds the connections.
type Config struct {
	Name        string // of the front, for the log
	Listen      string
	Limits      httpwire.Limits
	Buffer      int                // bytes that may wait, of requests sent behind each other; 0: as one request
	Connections int                // held at most
	Prefix      int                // held of one prefix of addresses at most; 0: any number
	Idle        loop.Micros        // that a connection may have no open request; 0: 4.5 s
	Request     loop.Micros        // that a whole request may take to come; 0: 2.3 s
	Shrink      bool               // idle times shrink as places fill, and clients are told
	Admission   *admission.Limiter // of requests, for all fronts that share it; nil: none
}

// App gives requests and outcomes their meaning.
type App interface {
	// Take turns a request into a call, or answers it at once. Where both are
	// nil it keeps the request, and later calls the exchange's Submit or Reply.
	Take(r *httpwire.Request, x *Exchange) (*gateway.Call, *httpwire.Response)
	// Reply words the final answer to a call. Where it is nil, the exchange's
	// Reply follows.
	Reply(x *Exchange, a gateway.Answer) *httpwire.Response
	// Left tells that the client of an exchange has gone; nobody waits for its
	// answer.
	Left(x *Exchange)
}

// Exchange is one request, from its last byte until its answer is written. It
// is used on the loop only.
type Exchange struct {
	State any // the App's own
	conn  *conn
	open  bool
}

// Peer is the client's address.
func (x *Exchange) Peer() netip.Addr { return x.conn.address() }

func (c *conn) address() netip.Addr {
	if !c.peer.IsValid() {
		if at, err := netip.ParseAddrPort(c.tc.Peer().String()); err == nil {
			c.peer = at.Addr()
		}
	}
	return c.peer
}

// Submit hands over the call that a kept request has become.
func (x *Exchange) Submit(call *gateway.Call) {
	if x.open {
		x.conn.submit(call)
	}
}

// Reply answers a kept request.
func (x *Exchange) Reply(r *httpwire.Response) {
	if x.open {
		x.conn.reply(r)
	}
}

// Desk serves calls.
type Desk interface {
	Submit(c *gateway.Call)
	Leave(c *gateway.Call)
}

// Server holds a front's connections.
type Server struct {
	cfg     Config
	loop    *loop.Loop
	app     App
	desk    Desk
	log     *slog.Logger
	lists   [states]list
	account *resources.Account
	held    atomic.Int64 // with those that the loop has not heard of yet
	refused atomic.Int64 // when one was last turned away
	closing bool
	buf     []byte
}

// conn is one client's connection; it carries one request at a time.
type conn struct {
	server  *Server
	tc      *transport.Conn
	x       *Exchange     // open
	call    *gateway.Call // of the open one; nil while the App keeps it
	peer    netip.Addr    // once asked for
	taken   loop.Micros   // when the open call was let in; 0: not by the limiter
	head    bool          // the open request wants no body
	last    bool          // the connection ends with the answer
	begun   bool          // a request has come in part
	over    bool
	counted bool         // in the account
	prefix  netip.Prefix // where prefixes are bounded

	state      state
	since      loop.Micros // when it came into its state
	prev, next *conn       // of its state
}

// New makes a server that hands its calls to the desk.
func New(cfg Config, l *loop.Loop, app App, desk Desk, log *slog.Logger) *Server {
	cfg.Idle, cfg.Request = cmp.Or(cfg.Idle, idleMost), cmp.Or(cfg.Request, requestMost)
	s := &Server{cfg: cfg, loop: l, app: app, desk: desk, log: log.With("front", cfg.Name),
		account: resources.New(resources.Limits{Places: cfg.Connections, Prefix: cfg.Prefix})}
	for i, most := range [states]loop.Micros{silent: cfg.Request, idle: cfg.Idle, reading: cfg.Request} {
		s.lists[i].init(s, most)
	}
	return s
}

// Start begins to accept clients.
func (s *Server) Start() error {
	return transport.Listen(s.loop, s.cfg.Listen, max(s.cfg.Buffer, s.cfg.Limits.Head+s.cfg.Limits.Body), s.admit)
}

// admit runs on the poller. Where few places are left, one of the connections
// that stand idle has to make room.
func (s *Server) admit(tc *transport.Conn) transport.Handler {
	held := s.held.Add(1)
	if held > int64(s.cfg.Connections) {
		s.held.Add(-1)
		s.turnAway("client turned away: too many connections", "limit", s.cfg.Connections)
		s.loop.Post(s.makeRoom)
		return nil
	}
	c := &conn{server: s, tc: tc}
	s.loop.Post(func() {
		if c.over || c.state != outside {
			return
		}
		if s.account.PerPrefix() {
			c.prefix = suspects.Prefix(c.address())
		}
		if !s.account.Enter(c.prefix) {
			s.turnAway("client turned away: too many connections of its prefix", "prefix", c.prefix)
			c.prefix = netip.Prefix{}
			c.enter(ending)
			c.last = true
			tc.Finish()
			return
		}
		c.counted = true
		c.enter(silent)
		if s.cfg.Shrink {
			s.lists[idle].watch()
		}
	})
	if float64(held) > crowdShare*float64(s.cfg.Connections) {
		s.loop.Post(s.makeRoom)
	}
	return c
}

// turnAway says now and then that clients are turned away. It may be called from
// anywhere.
func (s *Server) turnAway(text string, args ...any) {
	now := s.loop.Now()
	if last := s.refused.Load(); now-last > refusalEvery && s.refused.CompareAndSwap(last, now) {
		s.log.Warn(text, args...)
	}
}

// makeRoom ends the connection that is least missed: of those that have brought
// no whole request for a while the oldest, else the one idle for longest. One
// that has just come is left alone, since its first request may be under way.
func (s *Server) makeRoom() {
	now := s.loop.Now()
	for _, x := range []struct {
		state state
		limit loop.Micros
	}{{silent, yieldSilent}, {idle, yieldIdle}, {reading, yieldIdle}} {
		if c := s.lists[x.state].least(now - x.limit); c != nil {
			c.quit()
			return
		}
	}
}

// Drain has every connection end with its next answer, and idle ones at once.
func (s *Server) Drain() {
	s.closing = true
	for _, state := range []state{silent, idle, reading} {
		s.lists[state].each(func(c *conn) {
			if !c.tc.Blocked() {
				c.quit()
			}
		})
	}
}

// Busy counts connections whose answer is open or not all out.
func (s *Server) Busy() (n int) {
	for i := range s.lists {
		s.lists[i].each(func(c *conn) {
			if c.x != nil || c.tc.Blocked() {
				n++
			}
		})
	}
	return n
}

// Readable takes the next request, unless one is open.
func (c *conn) Readable(tc *transport.Conn) {
	for c.x == nil && !c.over && !c.last {
		var r *httpwire.Request
		var err error
		tc.Consume(func(b []byte) (used int) {
			r, used, err = httpwire.ParseRequest(b, c.server.cfg.Limits)
			c.begun = len(b) > 0 && r == nil
			return used
		})
		if r == nil && err == nil && tc.Flooded() {
			err = &httpwire.Error{Status: 400, Reason: "too much at once"}
		}
		var wrong *httpwire.Error
		if errors.As(err, &wrong) {
			c.server.log.Info("request can't be read", "status", wrong.Status, "reason", wrong.Reason,
				"peer", tc.Peer().String())
			c.write(&httpwire.Response{Status: wrong.Status, Body: []byte(wrong.Reason + "\n"), Close: true})
			return
		}
		if r == nil {
			if c.begun && c.state == idle {
				c.enter(reading)
			}
			return
		}
		c.take(r)
	}
}

// quit ends a connection without an open request. Half a request is answered.
func (c *conn) quit() {
	if c.begun {
		c.write(&httpwire.Response{Status: 408, Close: true})
		return
	}
	c.last = true
	c.enter(ending)
	c.tc.Finish()
}

func (c *conn) take(r *httpwire.Request) {
	c.head, c.last = r.Method == "HEAD", r.Close || c.tc.Flooded()
	c.enter(busy)
	x := &Exchange{conn: c, open: true}
	c.x = x
	switch call, answer := c.server.app.Take(r, x); {
	case answer != nil:
		c.x, x.open = nil, false
		c.write(answer)
	case call != nil && x.open:
		c.submit(call)
	}
}

func (c *conn) submit(call *gateway.Call) {
	if l := c.server.cfg.Admission; l != nil {
		now := c.server.loop.Now()
		away, ok := l.Take(suspects.Prefix(c.address()), call.Deadline-now, now)
		if !ok { // nothing has been sent, so it is harmless
			c.answer(gateway.Answer{Kind: gateway.Refused, Await: away})
			return
		}
		c.taken = now
	}
	call.Caller = c
	c.call = call
	c.server.desk.Submit(call)
}

// done tells the limiter, if there is one, that the open call has ended.
func (c *conn) done(answered bool) {
	if c.taken > 0 {
		now := c.server.loop.Now()
		c.server.cfg.Admission.Done(now-c.taken, now, answered)
		c.taken = 0
	}
}

// Answer words and writes the final answer of the open call.
func (c *conn) Answer(a gateway.Answer) {
	c.done(a.Kind == gateway.Served || a.Kind == gateway.Current)
	c.answer(a)
}

func (c *conn) answer(a gateway.Answer) {
	c.call = nil
	if r := c.server.app.Reply(c.x, a); r != nil {
		c.reply(r)
	}
}

// reply writes the answer of the open exchange, and looks at what came meanwhile.
func (c *conn) reply(r *httpwire.Response) {
	c.x.open = false
	c.x = nil
	c.write(r)
	if !c.last {
		c.server.loop.Post(func() { c.Readable(c.tc) })
	}
}

func (c *conn) write(r *httpwire.Response) {
	s := c.server
	c.last = c.last || r.Close || s.closing || c.tc.Flooded()
	r.Close = c.last
	if s.cfg.Shrink && !c.last {
		// Under a second there is nothing that whole seconds could promise.
		if left := s.account.Idle(s.cfg.Idle) / 1_000_000; left > 0 {
			r.Header = append(r.Header, httpwire.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.FormatInt(left, 10)})
		}
	}
	s.buf = httpwire.AppendResponse(s.buf[:0], r, c.head)
	c.enter(idle)
	if _, err := c.tc.Send(s.buf); err != nil {
		c.tc.Close()
		return
	}
	if c.last {
		c.enter(ending)
		c.tc.Finish()
	}
}

// Drained has nothing to do: the transport has sent the rest.
func (c *conn) Drained(*transport.Conn) {}

// Closed gives up what the client no longer waits for.
func (c *conn) Closed(*transport.Conn) {
	c.over = true
	c.server.held.Add(-1)
	c.enter(outside)
	if c.counted {
		c.server.account.Leave(c.prefix)
	}
	if c.call != nil {
		c.done(false)
		c.server.desk.Leave(c.call)
		c.call = nil
	}
	if c.x != nil {
		c.x.open = false
		c.server.app.Left(c.x)
		c.x = nil
	}
}
