// Package session manages the clients' HTTP connections of the fronts: it accepts
// them, reads one request at a time from each and writes its one answer. What a
// request means and how an outcome becomes a response is up to the front (App).
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

// parkAfter is the idle time, in us, after which a connection is parked to save
// memory. It is longer than most clients' pause between two requests, since
// netpoll serves busy connections with fewer system calls.
const parkAfter = 1_000_000

// Default timeouts for fronts that set none, in us.
const (
	defaultIdleTimeout    = 4_500_000 // without an open request; clients close after 4 s themselves
	defaultRequestTimeout = 2_300_000 // for a whole request to arrive, from the connect or its first byte
)

// minPacedAnswer is the size in bytes from which the transfer rate of an answer is
// checked. Smaller answers fit into the client's receive window at once.
const minPacedAnswer = 16 << 10

// How long a half-closed connection may stay open, in us. The short time is for
// connections without an outgoing answer; it is still longer than the 50 ms within
// which a request may cross the close.
const (
	lingerTimeout     = 500_000
	idleLingerTimeout = 60_000
)

const (
	silentEvictAfter   = 400_000   // us after which a connection without a complete request may be evicted
	idleEvictAfter     = 50_000    // us after which an idle connection may be evicted
	refusalLogInterval = 1_000_000 // us between log lines about refused clients
)

// Audit tracks every call from its arrival to its one answer.
type Audit interface {
	// Received records in the call the version under which it arrived.
	Received(c *gateway.Call)
	// Answered reports the outcome with which the call was answered.
	Answered(c *gateway.Call, o counters.Outcome)
	// ClientGone reports that the client has disconnected: the call gets no answer.
	ClientGone(c *gateway.Call)
}

// Config holds the settings and limits of a Server.
type Config struct {
	Name             string // name of the front, for the log
	Listen           string
	Limits           httpwire.Limits
	InputBuffer      int                  // bytes buffered of pipelined requests; at least one request fits
	MaxConns         int                  // limit of open connections
	RetryAfter       loop.Micros          // advised to clients refused at the connection limit; 0: no advice
	MaxPerPrefix     int                  // limit of connections per address prefix; 0: no limit
	IdleTimeout      loop.Micros          // limit of the time without an open request; 0: 4.5 s
	RequestTimeout   loop.Micros          // limit of the time for a whole request to arrive; 0: 2.3 s
	AdaptiveIdle     bool                 // idle timeouts shrink as connections near the limit, and responses announce them
	Park             bool                 // long idle connections release their buffers; see transport.Conn.Park
	Pace             *slowclient.Detector // checks transfer rates of requests and answers; nil: only total times are limited
	Memory           *resources.Budget    // budget shared by all parts of the program; nil: none
	RequestMemory    *transport.Budget    // bounds what clients' requests hold, arriving and open, shared by fronts; nil: no bound
	OutputMemory     *transport.Budget    // bounds the answers behind others that their clients have not read, shared by fronts; nil: no bound
	MaxDescriptors   int                  // descriptor limit of the process; 0: only connections are limited
	SpareDescriptors int                  // descriptors that stay free
	Admission        *Queue               // admission queue, shared by fronts; nil: none
	Counters         *counters.Counters   // counts the outcomes of calls by class; nil: not counted
	Audit            Audit                // notified of each call; nil: none
}

// App interprets requests and builds the responses.
type App interface {
	// HandleRequest turns a request into a call, or answers it at once. If both
	// results are nil, it keeps the request and calls Submit or Reply of the
	// exchange later.
	HandleRequest(r *httpwire.Request, x *Exchange) (*gateway.Call, *httpwire.Response)
	// BuildResponse turns the final answer of a call into a response. If it is nil,
	// a call of the exchange's Reply follows.
	BuildResponse(x *Exchange, a gateway.Answer) *httpwire.Response
	// OverloadResponse builds the refusal for clients beyond the connection limit,
	// with the time after which to retry; 0: no advice.
	OverloadResponse(retryAfter loop.Micros) *httpwire.Response
	// ClientGone reports that the client of an exchange has disconnected and no
	// longer waits for its answer.
	ClientGone(x *Exchange)
}

// Exchange is one request, from its last byte until its answer is written. It
// must be used on the loop only.
type Exchange struct {
	State any // for use by the App
	conn  *conn
	open  bool
}

// Peer returns the client's address.
func (x *Exchange) Peer() netip.Addr { return x.conn.address() }

func (c *conn) address() netip.Addr { return c.tc.Peer().Addr() }

// ReceivedAt returns when the last byte of the request was received. Under overload
// this is long before the App sees the request, and the client waits since then.
func (x *Exchange) ReceivedAt() gateway.Micros {
	return min(x.conn.tc.LastReceived(), x.conn.server.loop.Now())
}

// Submit submits the call made from a request that the App had kept.
func (x *Exchange) Submit(call *gateway.Call) {
	if x.open {
		x.conn.submit(call)
	}
}

// Reply answers a request that the App had kept.
func (x *Exchange) Reply(r *httpwire.Response) {
	if x.open {
		x.conn.reply(r)
	}
}

// CallHandler serves calls. Leave cancels a submitted call whose client has gone.
type CallHandler interface {
	Submit(c *gateway.Call)
	Leave(c *gateway.Call)
}

// Server manages the connections of one front.
type Server struct {
	cfg              Config
	loop             *loop.Loop
	app              App
	overloadResponse []byte // encoded refusal for clients beyond the connection limit
	handler          CallHandler
	log              *slog.Logger
	lists            [numStates]list
	gauge            transport.Gauge
	account          *resources.Account
	numConns         atomic.Int64 // open, including those not yet posted to the loop
	maxConns         atomic.Int64
	lastRefusalLog   atomic.Int64  // time of the last log line about refused clients
	memoryRefusals   int           // requests refused for want of memory
	nextCrowdedCheck loop.Micros   // see refuseStalled
	stalledTimer     loop.Deadline // see reserveAnswer
	wantedOutput     int64         // bytes for which stalled answers are ended
	wantedAt         loop.Micros   // when an answer of that size was refused
	draining         bool
	listener         *transport.Listener // nil if none or if it is being stopped
	stoppingListener *transport.Listener // the last one stopped
	buf              []byte
}

// conn is a client's connection. It carries one request at a time.
type conn struct {
	server         *Server
	tc             *transport.Conn
	exchange       *Exchange         // the open request; nil: none
	call           *gateway.Call     // of the open request; nil while the App keeps it
	ticket         *admission.Ticket // of the open call; nil: not subject to admission
	admittedAt     loop.Micros       // when the call was admitted; 0: it is queued
	headOnly       bool              // the open request is a HEAD request
	closeAfter     bool              // the connection closes after the answer
	meter          *slowclient.Meter // while a request arrives or an answer is sent
	requestStart   loop.Micros       // when the request began to arrive; 0: none is arriving
	partialRequest bool              // part of a request has arrived
	closed         bool
	accounted      bool // counted in the server's account
	overLimit      bool // beyond the limit: its request is refused and the connection closed
	memory         memoryState
	prefix         netip.Prefix // set if connections per prefix are limited

	state      state
	stateSince loop.Micros // when it entered its state
	prev, next *conn       // in the list of its state
}

// New returns a server that submits its calls to handler.
func New(cfg Config, l *loop.Loop, app App, handler CallHandler, log *slog.Logger) *Server {
	cfg.IdleTimeout, cfg.RequestTimeout = cmp.Or(cfg.IdleTimeout, defaultIdleTimeout), cmp.Or(cfg.RequestTimeout, defaultRequestTimeout)
	s := &Server{cfg: cfg, loop: l, app: app, handler: handler, log: log.With("front", cfg.Name)}
	s.gauge.Budget = cfg.RequestMemory
	s.stalledTimer.Init(s.onStalledTimer)
	s.account = resources.New(s.limits(), cfg.Memory)
	s.maxConns.Store(int64(cfg.MaxConns))
	for i := range s.lists {
		s.lists[i].init(s)
	}
	s.applyBounds()
	return s
}

// Start starts accepting clients.
func (s *Server) Start() (err error) {
	response := s.app.OverloadResponse(s.cfg.RetryAfter)
	response.Close = true
	s.overloadResponse = httpwire.AppendResponse(nil, response, false)
	s.listener, err = transport.Listen(s.loop, s.cfg.Listen, max(s.cfg.InputBuffer, s.cfg.Limits.Head+s.cfg.Limits.Body),
		&s.gauge, s.log, s.admit)
	return err
}

// admit decides on an accepted connection. It runs on the poller. Near the limit
// it has an idle connection evicted.
func (s *Server) admit(tc *transport.Conn) transport.Handler {
	limit := s.maxConns.Load()
	decision, evict := resources.DecideConn(s.numConns.Add(1), limit, tc.PeerClosed)
	if decision == resources.RefuseConn || decision == resources.CloseConn {
		s.logRefusal("client turned away: too many connections", "limit", limit)
	}
	if evict {
		s.loop.Post(s.evictIdle)
	}
	if decision == resources.CloseConn {
		tc.Reject(s.overloadResponse)
	}
	if decision == resources.ClientGone || decision == resources.CloseConn {
		s.numConns.Add(-1)
		return nil
	}
	c := &conn{server: s, tc: tc, overLimit: decision == resources.RefuseConn}
	s.loop.Post(func() {
		if c.closed || c.state != unlisted {
			return
		}
		if c.overLimit {
			c.setState(silent)
			return
		}
		if s.account.TracksPrefixes() {
			c.prefix = abuse.Prefix(c.address())
		}
		if !s.account.Acquire(c.prefix) {
			s.logRefusal("client turned away: too many connections of its prefix", "prefix", c.prefix)
			c.prefix = netip.Prefix{}
			c.setState(ending)
			c.closeAfter = true
			tc.HalfClose(s.loop.Now() + idleLingerTimeout)
			return
		}
		c.accounted = true
		c.setState(silent)
		if s.cfg.AdaptiveIdle {
			s.lists[idle].schedule()
			s.lists[parked].schedule()
		}
	})
	return c
}

// logRefusal logs that clients are refused, at most once per refusalLogInterval. It
// is safe for concurrent use.
func (s *Server) logRefusal(text string, args ...any) {
	now := s.loop.Now()
	if last := s.lastRefusalLog.Load(); now-last > refusalLogInterval && s.lastRefusalLog.CompareAndSwap(last, now) {
		s.log.Warn(text, args...)
	}
}

// evictIdle closes the connection that matters least: the oldest of those that have
// sent no complete request for a while, else the one idle for longest. New
// connections are spared, since their first request may be on its way.
func (s *Server) evictIdle() {
	now := s.loop.Now()
	for _, x := range []struct {
		state state
		limit loop.Micros
	}{
		{silent, s.account.SilentTimeout(silentEvictAfter, s.lists[silent].count)},
		{parked, idleEvictAfter}, {idle, idleEvictAfter}, {reading, idleEvictAfter},
	} {
		for range maxBlockedSkipped {
			c := s.lists[x.state].oldestUnblocked(now - x.limit)
			if c == nil {
				break
			}
			if c.shutdownBy(now + idleLingerTimeout) {
				return
			}
		}
	}
}

// Readable handles the next request, unless one is open.
func (c *conn) Readable(tc *transport.Conn) {
	for c.exchange == nil && !c.closed && !c.closeAfter {
		if tc.Refused() {
			c.refuseRequest()
			return
		}
		if c.awaitsReader() {
			return
		}
		var r *httpwire.Request
		var err error
		tc.Consume(func(b []byte) (used int) {
			r, used, err = c.parseRequest(b)
			return used
		})
		if r == nil && err == nil && tc.Overflowed() {
			err = &httpwire.Error{Status: 400, Reason: "too much at once"}
		}
		var parseErr *httpwire.Error
		if errors.As(err, &parseErr) {
			c.server.log.Info("request can't be read", "status", parseErr.Status, "reason", parseErr.Reason,
				"peer", tc.Peer().String())
			c.writeResponse(&httpwire.Response{Status: parseErr.Status, Body: []byte(parseErr.Reason + "\n"), Close: true})
			return
		}
		if r == nil {
			if c.partialRequest {
				c.beginRequest()
				c.server.refuseStalled()
			}
			return
		}
		c.handleRequest(r)
	}
}

// beginRequest notes that part of a request has arrived.
func (c *conn) beginRequest() {
	paced := c.server.cfg.Pace != nil
	if c.state == reading || c.state == silent && !paced {
		return
	}
	c.requestStart = c.server.loop.Now()
	if c.state == silent { // the timeout runs from the connect
		c.requestStart = c.stateSince
	}
	c.setState(reading)
	if paced {
		c.startMeter(c.tc.BytesReceived(), 0)
	}
}

// startMeter starts metering a transfer.
func (c *conn) startMeter(moved, left int64) {
	if c.meter == nil {
		m := c.server.cfg.Pace.Begin(c.clientPrefix(), moved, left, c.server.loop.Now())
		c.meter = &m
	}
}

// clientPrefix returns the address prefix by which the client's transfer rates are tracked.
func (c *conn) clientPrefix() netip.Prefix { return abuse.Prefix(c.address()) }

// checkReading closes a connection whose request arrives too slowly or not in time.
func (c *conn) checkReading() {
	now := c.server.loop.Now()
	if now-c.requestStart >= c.server.cfg.RequestTimeout {
		c.shutdown()
		return
	}
	if c.meter != nil {
		if _, over := c.server.cfg.Pace.Observe(c.meter, c.clientPrefix(), c.tc.BytesReceived(), 0, now); over {
			c.server.logSlowClient(c, "request")
			c.shutdown()
			return
		}
	}
	c.setState(reading)
}

// checkSending aborts a connection whose client receives its answer too slowly.
func (c *conn) checkSending() {
	taken, left := c.tc.Acknowledged()
	if left == 0 || c.meter == nil {
		c.setState(idle)
		return
	}
	rank, over := c.server.cfg.Pace.Observe(c.meter, c.clientPrefix(), taken, int64(left), c.server.loop.Now())
	if over {
		c.server.logSlowClient(c, "answer")
		c.tc.Abort()
		c.setState(ending)
		return
	}
	c.setState(sending + state(rank))
}

func (s *Server) logSlowClient(c *conn, what string) {
	s.log.Info("client is too slow", "what", what, "peer", c.tc.Peer().String())
}

// maxShedPerRank limits the transfers of one rank that one call of shed checks, and
// the idle connections that it evicts.
const maxShedPerRank = 64

// Shed frees memory: out bytes by aborting pending answers, slowest first, in bytes
// by closing connections with partial requests, oldest first, and records
// connections by evicting idle ones.
func (s *Server) Shed(out, in int64, records int) {
	ended := 0
	for i := sending; i < numStates && out > 0; i++ {
		l, next := &s.lists[i], (*conn)(nil)
		for c, seen := l.head.next, 0; c != &l.head && out > 0 && seen < maxShedPerRank; c, seen = next, seen+1 {
			next = c.next
			if _, left := c.tc.Acknowledged(); left > 0 {
				out -= s.endAnswer(c, int64(left))
				ended++
			}
		}
	}
	for c := s.lists[reading].head.next; in > 0 && c != &s.lists[reading].head; c = s.lists[reading].head.next {
		in -= c.tc.BytesReceived()
		ended++
		c.shutdown()
	}
	for range min(records, maxShedPerRank) {
		s.evictIdle()
	}
	s.logEnded(ended)
}

// Usage returns the bytes buffered by the program for clients' connections, and
// their number. Bytes in kernel buffers are tracked by Config.Pace.
func (s *Server) Usage() (in, out int64, records int) {
	return s.gauge.In.Load(), s.gauge.Out.Load(), s.account.Held()
}

// Bounds are the limits that may change while a server runs; see Config.
type Bounds struct {
	MaxConns, MaxPerPrefix      int
	IdleTimeout, RequestTimeout loop.Micros
}

// UpdateBounds replaces the limits. Connections above a lowered limit are evicted in
// small batches.
func (s *Server) UpdateBounds(b Bounds) {
	s.cfg.MaxConns, s.cfg.MaxPerPrefix = b.MaxConns, b.MaxPerPrefix
	s.cfg.IdleTimeout, s.cfg.RequestTimeout = cmp.Or(b.IdleTimeout, defaultIdleTimeout), cmp.Or(b.RequestTimeout, defaultRequestTimeout)
	s.maxConns.Store(int64(b.MaxConns))
	s.account.SetLimits(s.limits())
	s.applyBounds()
	for i := range s.lists {
		s.loop.Stop(&s.lists[i].due)
		s.lists[i].schedule()
	}
	s.trim()
}

// applyBounds sets the timeouts of the state lists.
func (s *Server) applyBounds() {
	for i := range s.lists {
		s.lists[i].maxStay, s.lists[i].onExpire = 0, (*conn).shutdown
	}
	s.lists[silent].maxStay, s.lists[idle].maxStay, s.lists[reading].maxStay = s.cfg.RequestTimeout, s.cfg.IdleTimeout, s.cfg.RequestTimeout
	s.lists[parked].maxStay = max(1, s.cfg.IdleTimeout-parkAfter)
	if p := s.cfg.Pace; p != nil {
		s.lists[reading].maxStay, s.lists[reading].onExpire = min(s.cfg.RequestTimeout, p.Window()), (*conn).checkReading
		for i := sending; i < numStates; i++ {
			s.lists[i].maxStay, s.lists[i].onExpire = p.Window(), (*conn).checkSending
		}
	}
	if s.cfg.Park && s.cfg.IdleTimeout > 2*parkAfter {
		s.lists[idle].maxStay, s.lists[idle].onExpire = parkAfter, (*conn).park
	}
}

func (s *Server) limits() resources.Limits {
	return resources.Limits{MaxConns: s.cfg.MaxConns, MaxPerPrefix: s.cfg.MaxPerPrefix,
		MaxDescriptors: s.cfg.MaxDescriptors, SpareDescriptors: s.cfg.SpareDescriptors}
}

const (
	trimBatch    = 64    // connections evicted at a time after the limit was lowered
	trimInterval = 5_000 // us
)

func (s *Server) trim() {
	over := s.account.Held() - s.lists[ending].count - s.cfg.MaxConns
	for range min(over, trimBatch) {
		s.evictIdle()
	}
	if over > 0 {
		s.loop.At(s.loop.Now()+trimInterval, s.trim)
	}
}

// SetOtherDescriptors sets the number of descriptors in use for other purposes than
// clients.
func (s *Server) SetOtherDescriptors(n int) { s.account.SetOtherDescriptors(n) }

// park reduces the memory held for an idle connection.
func (c *conn) park() {
	c.setState(parked)
	c.tc.Park()
}

func (c *conn) handleRequest(r *httpwire.Request) {
	if c.Gone() { // the client closed right behind its request: it waits for no answer
		c.closeAfter = true
		c.setState(ending)
		c.tc.Close()
		return
	}
	c.headOnly, c.closeAfter = r.Method == "HEAD", r.Close || c.overLimit || c.inputLost()
	c.requestStart = 0
	c.holdBody(len(r.Body))
	c.setState(busy)
	x := &Exchange{conn: c, open: true}
	c.exchange = x
	switch call, answer := c.server.app.HandleRequest(r, x); {
	case answer != nil:
		c.exchange, x.open = nil, false
		c.releaseBody()
		c.writeResponse(answer)
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
	if c.overLimit {
		c.finishCall(gateway.Answer{Kind: gateway.Refused, RetryAfter: c.server.cfg.RetryAfter})
		return
	}
	if q := c.server.cfg.Admission; q != nil {
		q.admit(c)
		return
	}
	c.server.handler.Submit(call)
}

// Gone reports whether the client has closed its side, even if the loop has not been
// notified yet.
func (c *conn) Gone() bool { return c.closed || c.tc.PeerClosed() }

// Answer writes the final answer of the open call.
func (c *conn) Answer(a gateway.Answer) {
	if c.ticket != nil {
		c.server.cfg.Admission.release(c, a.Kind == gateway.Served || a.Kind == gateway.NotModified)
	}
	c.finishCall(a)
}

// finishCall counts and writes the answer to a call. Every answer passes here once,
// the gateway's and the queue's.
func (c *conn) finishCall(a gateway.Answer) {
	if a.Kind == gateway.Served && a.Repeatable && !c.server.reserveAnswer(len(a.Body)) {
		a = gateway.Answer{Kind: gateway.Refused, RetryAfter: c.server.cfg.RetryAfter}
	}
	if f := c.server.cfg.Counters; f != nil {
		f.CountOutcome(c.call.Class, outcome(a.Kind))
	}
	if x := c.server.cfg.Audit; x != nil {
		x.Answered(c.call, outcome(a.Kind))
	}
	c.call = nil
	if r := c.server.app.BuildResponse(c.exchange, a); r != nil {
		c.reply(r)
	}
}

// reply writes the answer of the open exchange, and then handles what has arrived
// meanwhile.
func (c *conn) reply(r *httpwire.Response) {
	c.exchange.open = false
	c.exchange = nil
	c.releaseBody()
	c.writeResponse(r)
	if !c.closeAfter {
		c.server.loop.Post(func() { c.Readable(c.tc) })
	}
}

func (c *conn) writeResponse(r *httpwire.Response) {
	s := c.server
	c.closeAfter = c.closeAfter || r.Close || s.draining || c.inputLost()
	r.Close = c.closeAfter
	if s.cfg.AdaptiveIdle && !c.closeAfter {
		// Keep-Alive is in whole seconds, so less than one can't be announced.
		if left := s.account.IdleTimeout(s.cfg.IdleTimeout) / 1_000_000; left > 0 {
			r.Header = append(r.Header, httpwire.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.FormatInt(left, 10)})
		}
	}
	s.buf = httpwire.AppendResponse(s.buf[:0], r, c.headOnly)
	c.setState(idle)
	whole, err := c.tc.Send(s.buf)
	if whole || err != nil {
		c.releaseOutput()
	}
	if err != nil {
		c.tc.Close()
		return
	}
	if s.cfg.Pace != nil && !c.closeAfter && len(s.buf) >= minPacedAnswer {
		if taken, left := c.tc.Acknowledged(); left > 0 {
			c.setState(sending + state(slowclient.Fast))
			c.startMeter(taken, int64(left))
		}
	}
	if c.closeAfter {
		c.closeWhenSent()
	}
}

// outcome returns the outcome under which an answer is counted.
func outcome(k gateway.AnswerKind) counters.Outcome {
	switch k {
	case gateway.Refused:
		return counters.Dropped
	case gateway.Failed:
		return counters.BadGateway
	}
	return counters.Passed
}

// Drained handles the next request, if one has waited for the client to read.
func (c *conn) Drained(tc *transport.Conn) {
	c.releaseOutput()
	if c.memory.unreadSince != 0 {
		c.Readable(tc)
	}
}

// Closed cancels the open request, whose client no longer waits.
func (c *conn) Closed(*transport.Conn) {
	c.closed = true
	c.stopTimers()
	c.releaseBody()
	c.releaseOutput()
	c.server.numConns.Add(-1)
	c.setState(unlisted)
	if c.accounted {
		c.server.account.Release(c.prefix)
	}
	if c.call != nil {
		waits := c.ticket != nil && c.ticket.Queued()
		if c.ticket != nil {
			c.server.cfg.Admission.release(c, false)
		}
		if !waits {
			c.server.handler.Leave(c.call)
		}
		if a := c.server.cfg.Audit; a != nil {
			a.ClientGone(c.call)
		}
		c.call = nil
	}
	if c.exchange != nil {
		c.exchange.open = false
		c.server.app.ClientGone(c.exchange)
		c.exchange = nil
	}
}
