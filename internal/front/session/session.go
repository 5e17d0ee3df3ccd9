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

	"cherryramp/internal/decide/abuse"
	"cherryramp/internal/decide/admission"
	"cherryramp/internal/decide/counters"
	"cherryramp/internal/decide/resources"
	"cherryramp/internal/decide/slowclient"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

// parkAfter is how long a connection must have been idle for as little of it to
// be held as can be. It is longer than most clients take between two requests,
// since netpoll serves those that stay busy with fewer system calls.
const parkAfter = 1_000_000

// The limits where a front sets none, in us.
const (
	idleMost    = 4_500_000 // without an open request; clients close after 4 s themselves
	requestMost = 2_300_000 // that a whole request may take to come, from connecting or its first byte
)

// pacedFrom is the bytes from which an answer's pace is looked at. Less goes into
// the other side's window at once.
const pacedFrom = 16 << 10

// How long a half-closed connection may take to end, in us; the short time is for
// one without an answer on its way, and still longer than the 50 ms in which a
// request may cross its end.
const (
	linger      = 500_000
	lingerShort = 60_000
)

const (
	yieldSilent  = 400_000   // us after which one that has said nothing whole yet may have to make room
	yieldIdle    = 50_000    // us after which an idle one may
	refusalEvery = 1_000_000 // us between log lines about clients turned away
)

// Audit follows calls from where they came to their one answer.
type Audit interface {
	// Came notes in the call what it came under.
	Received(c *gateway.Call)
	// Answered tells that it was answered.
	Answered(c *gateway.Call, o counters.Outcome)
	// Left tells that its client has gone: it gets no answer.
	ClientGone(c *gateway.Call)
}

// Config bounds the connections.
type Config struct {
	Name             string // of the front, for the log
	Listen           string
	Limits           httpwire.Limits
	InputBuffer      int                  // bytes that may wait, of requests sent behind each other; 0: as one request
	MaxConns         int                  // held at most
	RetryAfter       loop.Micros          // that a client refused for want of a place is told to stay away; 0: no advice
	MaxPerPrefix     int                  // held of one prefix of addresses at most; 0: any number
	IdleTimeout      loop.Micros          // that a connection may have no open request; 0: 4.5 s
	RequestTimeout   loop.Micros          // that a whole request may take to come; 0: 2.3 s
	AdaptiveIdle     bool                 // idle times shrink as places fill, and clients are told
	Park             bool                 // connections long idle hold as little as can be
	Pace             *slowclient.Detector // of requests that come and answers that go; nil: only whole times are bounded
	Memory           *resources.Budget    // of all parts of the program; nil: none is kept
	MaxDescriptors   int                  // of the process; 0: only the connections are bounded
	SpareDescriptors int                  // of them that stay free
	Admission        *Queue               // of requests, for all fronts that share it; nil: none
	Counters         *counters.Counters   // where the answers to calls are counted, by class; nil: nowhere
	Audit            Audit                // is told of each call; nil: nobody is
}

// App gives requests and outcomes their meaning.
type App interface {
	// Take turns a request into a call, or answers it at once. Where both are
	// nil it keeps the request, and later calls the exchange's Submit or Reply.
	HandleRequest(r *httpwire.Request, x *Exchange) (*gateway.Call, *httpwire.Response)
	// Reply words the final answer to a call. Where it is nil, the exchange's
	// Reply follows.
	BuildResponse(x *Exchange, a gateway.Answer) *httpwire.Response
	// Full words the refusal of whoever finds no place, with the time to stay away;
	// 0: no advice.
	OverloadResponse(away loop.Micros) *httpwire.Response
	// Left tells that the client of an exchange has gone; nobody waits for its
	// answer.
	ClientGone(x *Exchange)
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

func (c *conn) address() netip.Addr { return c.tc.Peer().Addr() }

// Came is when the request's last byte was read. Where requests come faster than
// they can be looked at, that is long before the App sees them, and their clients
// wait since then.
func (x *Exchange) ReceivedAt() gateway.Micros {
	return min(x.conn.tc.LastReceived(), x.conn.server.loop.Now())
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
type CallHandler interface {
	Submit(c *gateway.Call)
	Leave(c *gateway.Call)
}

// Server holds a front's connections.
type Server struct {
	cfg      Config
	loop     *loop.Loop
	app      App
	full     []byte // what whoever finds no place is told
	desk     CallHandler
	log      *slog.Logger
	lists    [states]list
	gauge    transport.Gauge
	account  *resources.Account
	held     atomic.Int64 // with those that the loop has not heard of yet
	places   atomic.Int64 // held at most
	refused  atomic.Int64 // when one was last turned away
	closing  bool
	listener *transport.Listener // nil: none, or it is being stopped
	stopping *transport.Listener // the last one that was stopped
	buf      []byte
}

// conn is one client's connection; it carries one request at a time.
type conn struct {
	server  *Server
	tc      *transport.Conn
	x       *Exchange         // open
	call    *gateway.Call     // of the open one; nil while the App keeps it
	ticket  *admission.Ticket // of the open call; nil: not by the limiter
	taken   loop.Micros       // when it was let in; 0: it waits
	head    bool              // the open request wants no body
	last    bool              // the connection ends with the answer
	meter   *slowclient.Meter // while a request comes or an answer goes
	began   loop.Micros       // when the request began to come; 0: none is coming
	begun   bool              // a request has come in part
	over    bool
	counted bool         // in the account
	refuse  bool         // it has no place: its request is refused, and ends it
	prefix  netip.Prefix // where prefixes are bounded

	state      state
	since      loop.Micros // when it came into its state
	prev, next *conn       // of its state
}

// New makes a server that hands its calls to the desk.
func New(cfg Config, l *loop.Loop, app App, desk CallHandler, log *slog.Logger) *Server {
	cfg.IdleTimeout, cfg.RequestTimeout = cmp.Or(cfg.IdleTimeout, idleMost), cmp.Or(cfg.RequestTimeout, requestMost)
	s := &Server{cfg: cfg, loop: l, app: app, desk: desk, log: log.With("front", cfg.Name)}
	s.account = resources.New(s.limits(), cfg.Memory)
	s.places.Store(int64(cfg.MaxConns))
	for i := range s.lists {
		s.lists[i].init(s)
	}
	s.bound()
	return s
}

// Start begins to accept clients.
func (s *Server) Start() (err error) {
	full := s.app.OverloadResponse(s.cfg.RetryAfter)
	full.Close = true
	s.full = httpwire.AppendResponse(nil, full, false)
	s.listener, err = transport.Listen(s.loop, s.cfg.Listen, max(s.cfg.InputBuffer, s.cfg.Limits.Head+s.cfg.Limits.Body),
		&s.gauge, s.log, s.admit)
	return err
}

// admit runs on the poller. Where few places are left, one of the connections
// that stand idle has to make room.
func (s *Server) admit(tc *transport.Conn) transport.Handler {
	places := s.places.Load()
	arrival, room := resources.DecideConn(s.held.Add(1), places, tc.PeerClosed)
	if arrival == resources.RefuseConn || arrival == resources.CloseConn {
		s.turnAway("client turned away: too many connections", "limit", places)
	}
	if room {
		s.loop.Post(s.evictIdle)
	}
	if arrival == resources.CloseConn {
		tc.Reject(s.full)
	}
	if arrival == resources.ClientGone || arrival == resources.CloseConn {
		s.held.Add(-1)
		return nil
	}
	c := &conn{server: s, tc: tc, refuse: arrival == resources.RefuseConn}
	s.loop.Post(func() {
		if c.over || c.state != outside {
			return
		}
		if c.refuse {
			c.enter(silent)
			return
		}
		if s.account.TracksPrefixes() {
			c.prefix = abuse.Prefix(c.address())
		}
		if !s.account.Acquire(c.prefix) {
			s.turnAway("client turned away: too many connections of its prefix", "prefix", c.prefix)
			c.prefix = netip.Prefix{}
			c.enter(ending)
			c.last = true
			tc.HalfClose(s.loop.Now() + lingerShort)
			return
		}
		c.counted = true
		c.enter(silent)
		if s.cfg.AdaptiveIdle {
			s.lists[idle].watch()
			s.lists[parked].watch()
		}
	})
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

// evictIdle ends the connection that is least missed: of those that have brought
// no whole request for a while the oldest, else the one idle for longest. One
// that has just come is left alone, since its first request may be under way.
func (s *Server) evictIdle() {
	now := s.loop.Now()
	for _, x := range []struct {
		state state
		limit loop.Micros
	}{{silent, s.account.SilentTimeout(yieldSilent, s.lists[silent].count)}, {parked, yieldIdle}, {idle, yieldIdle}, {reading, yieldIdle}} {
		for range mostPassed {
			c := s.lists[x.state].least(now - x.limit)
			if c == nil {
				break
			}
			if c.quitBy(now + lingerShort) {
				return
			}
		}
	}
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
		if r == nil && err == nil && tc.Overflowed() {
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
			if c.begun {
				c.begin()
			}
			return
		}
		c.take(r)
	}
}

// begin notes that a request has begun to come.
func (c *conn) begin() {
	paced := c.server.cfg.Pace != nil
	if c.state == reading || c.state == silent && !paced {
		return
	}
	c.began = c.server.loop.Now()
	if c.state == silent { // its time runs since it connected
		c.began = c.since
	}
	c.enter(reading)
	if paced {
		c.measure(c.tc.BytesReceived(), 0)
	}
}

// measure begins to meter a transfer.
func (c *conn) measure(moved, left int64) {
	if c.meter == nil {
		m := c.server.cfg.Pace.Begin(c.origin(), moved, left, c.server.loop.Now())
		c.meter = &m
	}
}

// origin is whom a connection's pace is held with.
func (c *conn) origin() netip.Prefix { return abuse.Prefix(c.address()) }

// lookReading ends a connection whose request comes too slowly, or not in its time.
func (c *conn) lookReading() {
	now := c.server.loop.Now()
	if now-c.began >= c.server.cfg.RequestTimeout {
		c.quit()
		return
	}
	if c.meter != nil {
		if _, over := c.server.cfg.Pace.Observe(c.meter, c.origin(), c.tc.BytesReceived(), 0, now); over {
			c.server.slow(c, "request")
			c.quit()
			return
		}
	}
	c.enter(reading)
}

// lookSending ends a connection that takes its answer too slowly.
func (c *conn) lookSending() {
	taken, left := c.tc.Acknowledged()
	if left == 0 || c.meter == nil {
		c.enter(idle)
		return
	}
	rank, over := c.server.cfg.Pace.Observe(c.meter, c.origin(), taken, int64(left), c.server.loop.Now())
	if over {
		c.server.slow(c, "answer")
		c.tc.Abort()
		c.enter(ending)
		return
	}
	c.enter(sending + state(rank))
}

func (s *Server) slow(c *conn, what string) {
	s.log.Info("client is too slow", "what", what, "peer", c.tc.Peer().String())
}

// mostShed is how many transfers of one rank are looked at in one go.
const mostShed = 64

// Shed gives bytes back: answers that wait, the slowest first, requests that have
// come in part, the longest under way first, and the connections least missed.
func (s *Server) Shed(out, in int64, records int) { s.shed(out, in, records, nil) }

// shed is Shed, but for one connection: its answer has just been written, and nothing can
// be known of its pace yet.
func (s *Server) shed(out, in int64, records int, but *conn) {
	ended := 0
	for i := sending; i < states && out > 0; i++ {
		l, next := &s.lists[i], (*conn)(nil)
		for c, seen := l.head.next, 0; c != &l.head && out > 0 && seen < mostShed; c, seen = next, seen+1 {
			next = c.next
			if _, n := c.tc.Acknowledged(); n > 0 && c != but {
				counted := s.cfg.Pace.PendingBytes()
				c.tc.Abort()
				c.enter(ending)
				// The account knows what was left when the transfer was last looked at, which is more.
				freed := max(int64(n), counted-s.cfg.Pace.PendingBytes())
				out -= freed
				ended++
				if b := s.cfg.Memory; b != nil {
					b.Release(resources.PendingOutput, freed)
				}
			}
		}
	}
	for c := s.lists[reading].head.next; in > 0 && c != &s.lists[reading].head; c = s.lists[reading].head.next {
		in -= c.tc.BytesReceived()
		ended++
		c.quit()
	}
	for range min(records, mostShed) {
		s.evictIdle()
	}
	if ended > 0 {
		s.log.Warn("memory runs short: slow transfers are ended", "ended", ended)
	}
}

// Held is the bytes that clients' connections hold in the program, and how many
// there are. What the kernel holds for them the pacer knows.
func (s *Server) Usage() (in, out int64, records int) {
	return s.gauge.In.Load(), s.gauge.Out.Load(), s.account.Held()
}

// Bounds is what may change while a server runs.
type Bounds struct {
	MaxConns, MaxPerPrefix      int
	IdleTimeout, RequestTimeout loop.Micros
}

// Rebound sets the bounds anew. Where more is held than there may be now, the least
// missed are ended, little by little.
func (s *Server) UpdateBounds(b Bounds) {
	s.cfg.MaxConns, s.cfg.MaxPerPrefix = b.MaxConns, b.MaxPerPrefix
	s.cfg.IdleTimeout, s.cfg.RequestTimeout = cmp.Or(b.IdleTimeout, idleMost), cmp.Or(b.RequestTimeout, requestMost)
	s.places.Store(int64(b.MaxConns))
	s.account.SetLimits(s.limits())
	s.bound()
	for i := range s.lists {
		s.loop.Stop(&s.lists[i].due)
		s.lists[i].watch()
	}
	s.trim()
}

// bound tells the lists how long one may stay.
func (s *Server) bound() {
	for i := range s.lists {
		s.lists[i].most, s.lists[i].ended = 0, (*conn).quit
	}
	s.lists[silent].most, s.lists[idle].most, s.lists[reading].most = s.cfg.RequestTimeout, s.cfg.IdleTimeout, s.cfg.RequestTimeout
	s.lists[parked].most = max(1, s.cfg.IdleTimeout-parkAfter)
	if p := s.cfg.Pace; p != nil {
		s.lists[reading].most, s.lists[reading].ended = min(s.cfg.RequestTimeout, p.Window()), (*conn).lookReading
		for i := sending; i < states; i++ {
			s.lists[i].most, s.lists[i].ended = p.Window(), (*conn).lookSending
		}
	}
	if s.cfg.Park && s.cfg.IdleTimeout > 2*parkAfter {
		s.lists[idle].most, s.lists[idle].ended = parkAfter, (*conn).park
	}
}

func (s *Server) limits() resources.Limits {
	return resources.Limits{MaxConns: s.cfg.MaxConns, MaxPerPrefix: s.cfg.MaxPerPrefix, MaxDescriptors: s.cfg.MaxDescriptors, SpareDescriptors: s.cfg.SpareDescriptors}
}

const (
	trimMost  = 64    // connections that are ended at a time when places were taken away
	trimEvery = 5_000 // us
)

func (s *Server) trim() {
	over := s.account.Held() - s.lists[ending].count - s.cfg.MaxConns
	for range min(over, trimMost) {
		s.evictIdle()
	}
	if over > 0 {
		s.loop.At(s.loop.Now()+trimEvery, s.trim)
	}
}

// Others takes over how many descriptors are held by others than clients.
func (s *Server) SetOtherDescriptors(n int) { s.account.SetOtherDescriptors(n) }

// park has as little as can be held for an idle connection.
func (c *conn) park() {
	c.enter(parked)
	c.tc.Park()
}

func (c *conn) take(r *httpwire.Request) {
	if c.Gone() { // its end stands behind the request: nobody waits for an answer
		c.last = true
		c.enter(ending)
		c.tc.Close()
		return
	}
	c.head, c.last = r.Method == "HEAD", r.Close || c.refuse || c.tc.Overflowed()
	c.began = 0
	c.enter(busy)
	x := &Exchange{conn: c, open: true}
	c.x = x
	switch call, answer := c.server.app.HandleRequest(r, x); {
	case answer != nil:
		c.x, x.open = nil, false
		c.write(answer)
	case call != nil && x.open:
		c.submit(call)
	}
}

func (c *conn) submit(call *gateway.Call) {
	call.Caller = c
	c.call = call
	if a := c.server.cfg.Audit; a != nil {
		call.Peer = c.address()
		a.Received(call)
	}
	if c.refuse {
		c.answer(gateway.Answer{Kind: gateway.Refused, RetryAfter: c.server.cfg.RetryAfter})
		return
	}
	if q := c.server.cfg.Admission; q != nil {
		q.ask(c)
		return
	}
	c.server.desk.Submit(call)
}

// Gone tells whether the client has ended its side, heard of or not.
func (c *conn) Gone() bool { return c.over || c.tc.PeerClosed() }

// Answer words and writes the final answer of the open call.
func (c *conn) Answer(a gateway.Answer) {
	if c.ticket != nil {
		c.server.cfg.Admission.done(c, a.Kind == gateway.Served || a.Kind == gateway.NotModified)
	}
	c.answer(a)
}

// answer is where every answer to a call passes, the gateway's and the queue's:
// it is counted here, once.
func (c *conn) answer(a gateway.Answer) {
	if f := c.server.cfg.Counters; f != nil {
		f.CountOutcome(c.call.Class, outcome(a.Kind))
	}
	if x := c.server.cfg.Audit; x != nil {
		x.Answered(c.call, outcome(a.Kind))
	}
	c.call = nil
	if r := c.server.app.BuildResponse(c.x, a); r != nil {
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
	c.last = c.last || r.Close || s.closing || c.tc.Overflowed()
	r.Close = c.last
	if s.cfg.AdaptiveIdle && !c.last {
		// Under a second there is nothing that whole seconds could promise.
		if left := s.account.IdleTimeout(s.cfg.IdleTimeout) / 1_000_000; left > 0 {
			r.Header = append(r.Header, httpwire.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.FormatInt(left, 10)})
		}
	}
	s.buf = httpwire.AppendResponse(s.buf[:0], r, c.head)
	c.enter(idle)
	if _, err := c.tc.Send(s.buf); err != nil {
		c.tc.Close()
		return
	}
	if s.cfg.Pace != nil && !c.last && len(s.buf) >= pacedFrom {
		if taken, left := c.tc.Acknowledged(); left > 0 {
			c.enter(sending + state(slowclient.Fast))
			c.measure(taken, int64(left))
			if b := s.cfg.Memory; b != nil && !b.TryReserve(resources.PendingOutput, int64(left)) {
				s.shed(int64(left), 0, 0, c)
				b.TryReserve(resources.PendingOutput, int64(left))
			}
		}
	}
	if c.last {
		c.finish()
	}
}

// outcome is what the figures count an answer as.
func outcome(k gateway.AnswerKind) counters.Outcome {
	switch k {
	case gateway.Refused:
		return counters.Dropped
	case gateway.Failed:
		return counters.BadGateway
	}
	return counters.Passed
}

// Drained has nothing to do: the transport has sent the rest.
func (c *conn) Drained(*transport.Conn) {}

// Closed gives up what the client no longer waits for.
func (c *conn) Closed(*transport.Conn) {
	c.over = true
	c.server.held.Add(-1)
	c.enter(outside)
	if c.counted {
		c.server.account.Release(c.prefix)
	}
	if c.call != nil {
		waits := c.ticket != nil && c.ticket.Queued()
		if c.ticket != nil {
			c.server.cfg.Admission.done(c, false)
		}
		if !waits {
			c.server.desk.Leave(c.call)
		}
		if a := c.server.cfg.Audit; a != nil {
			a.ClientGone(c.call)
		}
		c.call = nil
	}
	if c.x != nil {
		c.x.open = false
		c.server.app.ClientGone(c.x)
		c.x = nil
	}
}
