// Package gateway tracks the calls of a front with their attempts, outcomes and
// deadlines, and carries out the decisions of a rules.Router. It has no protocol or
// socket code: fronts submit calls, an Upstream sends the attempts, and a client of
// the server list passes on members and purges. All of it runs on the event loop.
package gateway

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"cherryramp/internal/decide/counters"
	"cherryramp/internal/decide/recentids"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// Micros is a time in microseconds of the Unix clock, or a duration in microseconds.
type Micros = rules.Micros

// AnswerKind says how a call was answered.
type AnswerKind uint8

// The final answers.
const (
	Served      AnswerKind = iota // with the object's bytes
	NotModified                   // the client's copy is current
	Refused                       // certainly not done: a retry does no harm
	Failed
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	Body       []byte
	Tag        string // entity tag of the copy
	CreatedAt  Micros // with Served: when the origin sent the copy; 0 if unknown
	RetryAfter Micros // with Refused: when the client should come back; 0 is no advice
	TimedOut   bool   // with Failed: the deadline passed
	Repeatable bool   // with Served: the call may run again, so that refusing it instead does no harm
}

// Caller receives the answer to a call, once, on the loop. If it also has a method
// Gone() bool, that is asked before retries and before attempts that waited: the event of
// the client's disconnect may be queued behind events that the loop handles first.
type Caller interface {
	Answer(a Answer)
}

// Call is a client's request. The gateway owns it from Submit until it is answered or
// left.
type Call struct {
	ID       string // the client's id of the request, passed on unchanged
	Class    int
	Object   string
	Part     int
	HasPart  bool
	Group    int
	Body     []byte
	Tag      string  // entity tag of the client's copy
	Token    string  // idempotency key of a keyed class, equal for all tries of a request, passed on unchanged
	Size     float64 // of the part in KB, as the settings count; 0 if unknown
	Repeat   bool
	Deadline Micros // when the client stops waiting
	Caller   Caller
	Version  uint64     // configuration version of the front when it came
	Peer     netip.Addr // address of its client, where calls are audited

	id          rules.RequestID
	attempts    []*Attempt
	inFlight    int
	ended       bool
	mayHaveSent bool // a byte of an attempt may have been sent
	mayHaveRun  bool // an attempt has ended without proof that it never ran
	claimed     bool // its id is claimed, see SharedIDs
}

// Attempt is one send of a call to a server. See rules.Get for its options.
type Attempt struct {
	Call        *Call
	Server      *Server
	Source      *Server // nil: no fill
	Deadline    Micros
	KeepRank    int
	Join        bool
	HeldOnly    bool
	PassThrough bool
	Revalidate  bool

	number      int
	chosenAt    Micros
	serverStart Micros // StartedAt of the server when it was chosen
	sourceStart Micros
	maxAge      Micros
	timer       *loop.Deadline
	done        bool
}

// AttemptResult says how an attempt ended.
type AttemptResult struct {
	Code       rules.Code
	Note       rules.Note
	SourceWait Micros
	Answer     Answer // with OK
}

// Upstream sends attempts to servers.
type Upstream interface {
	// Start sends an attempt once a connection can take it. Before the first byte it
	// calls Gateway.PrepareSend, and at the end of the attempt Gateway.EndAttempt.
	Start(a *Attempt)
	// Stop abandons an attempt and reports whether it may have been sent as a whole.
	// There is no EndAttempt after it.
	Stop(a *Attempt) (sent bool)
	// ServerChanged reports a server that is new, has restarted or has gone.
	ServerChanged(s *Server)
}

// Config configures a gateway.
type Config struct {
	Settings   rules.Settings
	Zones      []string
	Kinds      []string
	Seed       uint64
	LocalCache LocalCacheLimits
	Counters   *counters.Counters // counts the attempts sent; nil: counters of its own
}

// Gateway owns the router and the calls it holds.
type Gateway struct {
	cfg      Config
	loop     *loop.Loop
	router   *rules.Router
	upstream Upstream
	events   []rules.Event
	calls    map[rules.RequestID]*Call
	openIDs  map[string]struct{} // the clients' ids of the open calls
	spentIDs *recentids.Set      // ids of calls that must not run twice and may have run
	shared   SharedIDs           // nil: none
	lastID   rules.RequestID
	servers  map[rules.ServerID]*Server
	purges   map[uint64]purge // of objects and groups
	sweptAt  Micros
	cache    *localCache
	guard    func() (ok bool, away Micros) // nil: no guard
	policy   FleetPolicy                   // nil: none
	log      *slog.Logger

	refusals refusals
}

// New returns a gateway. It fails on settings that rules.New doesn't take. Call SetUpstream
// before anything else.
func New(cfg Config, l *loop.Loop, log *slog.Logger) (*Gateway, error) {
	router, err := rules.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.New(make([]string, len(cfg.Settings.Classes)))
	}
	return &Gateway{cfg: cfg, loop: l, router: router, log: log, calls: map[rules.RequestID]*Call{},
		openIDs: map[string]struct{}{}, spentIDs: recentids.New(maxSpentIDs, spentIDSpan), servers: map[rules.ServerID]*Server{}, purges: map[uint64]purge{},
		cache: newLocalCache(cfg.LocalCache)}, nil
}

// SetUpstream sets what sends the attempts. It must be called before anything else.
func (g *Gateway) SetUpstream(upstream Upstream) { g.upstream = upstream }

// SetGuard sets a check that the gateway makes before it takes a call and before any byte
// of an attempt is sent. While the check fails, calls of which nothing was sent are refused
// at once, with away as the time to come back; others end without further sends.
func (g *Gateway) SetGuard(may func() (ok bool, away Micros)) { g.guard = may }

// FleetPolicy adds the purges and retry times of the whole fleet to those of the notice
// board and the router, and observes attempts.
type FleetPolicy interface {
	// PurgedUntil returns the time until which copies of an object, or of its group, count
	// as purged; ok is false without a purge.
	PurgedUntil(object string, group int) (at Micros, ok bool)
	// TagPurgedUntil is PurgedUntil for copies with a tag, which only an answer gives.
	TagPurgedUntil(tag string) (at Micros, ok bool)
	// AttemptEnded reports how an attempt ended, and after what time.
	AttemptEnded(a *Attempt, code rules.Code, took Micros)
	// RetryAfter returns when a refused client should come back, given the router's advice.
	RetryAfter(base Micros) Micros
}

// SetFleetPolicy sets the policy of the fleet.
func (g *Gateway) SetFleetPolicy(b FleetPolicy) { g.policy = b }

// UpdateSettings applies settings to later calls; open ones keep theirs. It fails without
// effect where the settings are invalid, or don't keep the classes known so far at their
// indexes.
func (g *Gateway) UpdateSettings(s rules.Settings) error {
	if err := g.router.UpdateSettings(s); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Settings = s
	return nil
}

// OpenCalls returns the number of calls that are not answered yet.
func (g *Gateway) OpenCalls() int { return len(g.calls) }

// CachedBytes returns the size of the local copies.
func (g *Gateway) CachedBytes() int { return g.cache.bytes }

// SetCacheLimits sets new limits of the local copies.
func (g *Gateway) SetCacheLimits(c LocalCacheLimits) { g.cache.setLimits(c) }

// Abandon fails every open call, for a program that must exit.
func (g *Gateway) Abandon() {
	for _, id := range slices.Sorted(maps.Keys(g.calls)) { // sorted, so that equal events have equal effects
		g.events = append(g.events, rules.Expired{ID: id})
		g.finish(id, Answer{Kind: Failed})
	}
}

// hashKey maps a name to 64 bits, equal at every front and after every start.
func hashKey(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return max(1, h.Sum64()) // 0 means none to the router
}

func groupKey(group int) uint64 { return hashKey(fmt.Sprintf("group %d", group)) }

// BoardCurrent records that all that the notice board held at a time has been passed on.
func (g *Gateway) BoardCurrent(at Micros) { g.cache.boardCurrentAt = max(g.cache.boardCurrentAt, at) }

// Submit takes a call. Exactly one answer follows, unless Leave is called first. A call
// with the id of an open one fails: to the servers the two would be the same. So does one that
// must not run twice and comes again after it may have run.
func (g *Gateway) Submit(c *Call) {
	if _, open := g.openIDs[c.ID]; open || g.isSpent(c) {
		c.ended = true
		c.Caller.Answer(Answer{Kind: Failed})
		return
	}
	if g.guard != nil {
		if ok, away := g.guard(); !ok {
			c.ended = true
			c.Caller.Answer(Answer{Kind: Refused, RetryAfter: away})
			return
		}
	}
	if x := g.cache.find(c, &g.cfg.Settings.Classes[c.Class], g.loop.Now()); x != nil && x.createdAt > g.purgedUntil(c, x.tag) {
		c.ended = true
		a := Answer{Kind: Served, Body: x.body, Tag: x.tag, CreatedAt: x.createdAt, Repeatable: g.isRepeatable(c)}
		if c.Tag != "" && c.Tag == x.tag {
			a = Answer{Kind: NotModified, Tag: x.tag, CreatedAt: x.createdAt}
		}
		c.Caller.Answer(a)
		return
	}
	g.lastID++
	c.id = g.lastID
	g.calls[c.id] = c
	g.openIDs[c.ID] = struct{}{}
	g.events = append(g.events, rules.Request{ID: c.id, Class: c.Class, Object: hashKey(c.Object),
		Part: c.Part, Group: c.Group, Size: c.Size, Expires: max(0, c.Deadline-g.loop.Now()), Repeat: c.Repeat})
}

// Leave ends a call whose client has gone, without an answer, and stops its attempts.
func (g *Gateway) Leave(c *Call) {
	if c.ended {
		return
	}
	c.ended = true
	g.events = append(g.events, rules.Expired{ID: c.id})
	g.stopAttempts(c)
}

// stopAttempts stops the attempts in flight of an ended call and forgets the call.
func (g *Gateway) stopAttempts(c *Call) {
	for _, a := range c.attempts {
		if a.done {
			continue
		}
		code := rules.NotSent
		if g.upstream.Stop(a) {
			code = rules.Cancelled
		}
		g.recordEnd(a, AttemptResult{Code: code})
	}
	delete(g.calls, c.id)
	delete(g.openIDs, c.ID)
	g.recordSpent(c)
}

// ProcessEvents runs the router until its actions cause no further events.
func (g *Gateway) ProcessEvents() {
	for len(g.events) > 0 {
		events := g.events
		g.events = nil
		for _, a := range g.router.Step(g.loop.Now(), events) {
			g.perform(a)
		}
	}
}

// perform carries out an action of the router.
func (g *Gateway) perform(a rules.Action) {
	switch a := a.(type) {
	case rules.Get:
		g.startAttempt(a)
	case rules.Refuse:
		g.refuse(a)
	case rules.Fail:
		g.finish(a.ID, Answer{Kind: Failed})
	case rules.Cancel:
		if c := g.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) && !c.attempts[a.Attempt].done {
			x := c.attempts[a.Attempt]
			g.upstream.Stop(x)
			g.recordEnd(x, AttemptResult{Code: rules.Cancelled})
		}
	case rules.Wake:
		g.loop.At(g.loop.Now()+a.In, func() { g.events = append(g.events, rules.Timer{Tag: a.Tag}) })
	case rules.Log:
		g.log.Info("module", "text", a.Text)
	}
}

// finish answers a call, if it is still open.
func (g *Gateway) finish(id rules.RequestID, a Answer) {
	c := g.calls[id]
	if c == nil || c.ended {
		return
	}
	c.ended = true
	if a.Kind == Refused && g.policy != nil {
		a.RetryAfter = g.policy.RetryAfter(a.RetryAfter)
	}
	a.TimedOut = g.loop.Now() >= c.Deadline
	g.stopAttempts(c)
	c.Caller.Answer(a)
}

// startAttempt starts the attempt that the router chose.
func (g *Gateway) startAttempt(x rules.Get) {
	c, now := g.calls[x.ID], g.loop.Now()
	if c == nil || c.ended {
		// The client left in the same turn. The router counts every attempt on its request and
		// server until it has ended, so it must hear that this one was never sent.
		g.events = append(g.events, rules.Outcome{ID: x.ID, Attempt: x.Attempt, Server: x.Server,
			Code: rules.NotSent, Closed: true})
		return
	}
	if g.guard != nil && !c.mayHaveSent {
		if ok, away := g.guard(); !ok {
			g.events = append(g.events, rules.Expired{ID: c.id}, rules.Outcome{ID: x.ID, Attempt: x.Attempt,
				Server: x.Server, Code: rules.NotSent, Closed: true})
			g.finish(c.id, Answer{Kind: Refused, RetryAfter: away})
			return
		}
	}
	a := &Attempt{Call: c, Server: g.servers[x.Server], Deadline: c.Deadline, KeepRank: x.KeepRank,
		Join: x.Join, HeldOnly: x.HeldOnly, PassThrough: x.PassThrough, Revalidate: x.Revalidate, number: len(c.attempts),
		chosenAt: now, maxAge: x.MaxAge}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	if x.Timeout > 0 {
		a.Deadline = min(a.Deadline, now+x.Timeout)
	}
	if a.Server != nil {
		a.serverStart = a.Server.StartedAt
	}
	if x.Source != x.Server {
		if a.Source = g.servers[x.Source]; a.Source != nil {
			a.sourceStart = a.Source.StartedAt
		}
	}
	if a.Server == nil || x.Source != x.Server && a.Source == nil || a.Deadline <= now {
		g.recordEnd(a, AttemptResult{Code: rules.NotSent})
		return
	}
	a.timer = g.loop.At(a.Deadline, func() { g.expire(a) })
	g.upstream.Start(a)
}

// expire ends an attempt whose deadline has passed.
func (g *Gateway) expire(a *Attempt) {
	if a.done {
		return
	}
	code := rules.NotSent
	if g.upstream.Stop(a) {
		code = rules.Timeout
	}
	g.recordEnd(a, AttemptResult{Code: code})
}

// CanSend reports whether an attempt that waited for a connection or a full socket may
// still be sent: its deadline may have passed, its client left, or its server or source
// may be draining or restarted.
func (g *Gateway) CanSend(a *Attempt) bool {
	if a.done || g.loop.Now() >= a.Deadline || a.Server.State != rules.Ready || a.Server.StartedAt != a.serverStart ||
		a.Source != nil && (a.Source.State != rules.Ready || a.Source.StartedAt != a.sourceStart) {
		return false
	}
	if g.guard != nil {
		if ok, _ := g.guard(); !ok {
			return false
		}
	}
	if a.number > 0 || g.loop.Now()-a.chosenAt > waitedThreshold {
		if c, ok := a.Call.Caller.(interface{ Gone() bool }); ok && c.Gone() {
			return false
		}
	}
	return true
}

// maxClockSkew is how far the time at which the origin sent a copy may be ahead of our
// clock, in us, for the copy's age to count as known.
const maxClockSkew = 50_000

// waitedThreshold is how long after its choice an attempt counts as one that waited, in us.
const waitedThreshold = 1000

// PrepareSend is called just before the first byte of an attempt is sent. It returns whether
// the attempt may still be sent (see CanSend), and the maximum age of the copy, by the
// purges since (0: the class's default). An attempt that may not be sent must be ended with
// rules.NotSent.
func (g *Gateway) PrepareSend(a *Attempt) (maxAge Micros, ok bool) {
	if !g.CanSend(a) || !g.claim(a.Call) {
		return 0, false
	}
	now := g.loop.Now()
	a.Call.mayHaveSent = true
	maxAge = a.maxAge
	for _, k := range []uint64{hashKey(a.Call.Object), groupKey(a.Call.Group)} {
		if p, found := g.purges[k]; found && !g.purgeSettled(p, now) {
			if age := max(1000, now-p.at); maxAge == 0 || age < maxAge {
				maxAge = age
			}
			if fresh := g.cfg.Settings.Classes[a.Call.Class].Fresh; a.maxAge == 0 && fresh > 0 {
				maxAge = min(maxAge, fresh)
			}
		}
	}
	if at := g.purgedUntil(a.Call, ""); at > 0 && !g.cfg.Settings.Classes[a.Call.Class].Write {
		if a.Call.Tag != "" { // the client's copy may be older than the purge
			a.Call.Tag = ""
		}
		if age := max(1000, now-at); maxAge == 0 || age < maxAge {
			maxAge = age
		}
		if fresh := g.cfg.Settings.Classes[a.Call.Class].Fresh; a.maxAge == 0 && fresh > 0 {
			maxAge = min(maxAge, fresh)
		}
	}
	g.cfg.Counters.CountAttempt(a.Call.Class)
	return maxAge, true
}

// EndAttempt records how an attempt ended. After the first end of an attempt it does nothing.
func (g *Gateway) EndAttempt(a *Attempt, e AttemptResult) {
	if a.done {
		return
	}
	if at := g.outdatedBy(a.Call, &e); at > 0 {
		g.noteOutdatedCopy(a.Call, at)
		e = AttemptResult{Code: rules.Outdated, SourceWait: e.SourceWait}
	}
	g.recordEnd(a, e)
}

func (g *Gateway) recordEnd(a *Attempt, e AttemptResult) {
	c := a.Call
	a.done = true
	c.inFlight--
	c.mayHaveRun = c.mayHaveRun || !e.Code.NeverRan()
	g.loop.Stop(a.timer)
	if g.policy != nil && a.Server != nil {
		g.policy.AttemptEnded(a, e.Code, g.loop.Now()-a.chosenAt)
	}
	serves := e.Code == rules.OK && !c.ended
	g.events = append(g.events, rules.Outcome{ID: c.id, Attempt: a.number, Server: serverID(a.Server),
		Code: e.Code, Elapsed: g.loop.Now() - a.chosenAt, Closed: c.ended || serves, Note: e.Note,
		SourceWait: e.SourceWait})
	if serves {
		c.ended = true
		g.stopAttempts(c)
		if aheadOf := e.Answer.CreatedAt - g.loop.Now(); aheadOf <= maxClockSkew { // else its age is unknown
			g.cache.add(c, &g.cfg.Settings.Classes[c.Class], &e.Answer, g.purgedSince(c, e.Answer.CreatedAt))
		}
		e.Answer.Repeatable = g.isRepeatable(c)
		c.Caller.Answer(e.Answer)
	}
}

// isRepeatable reports whether a call may run any number of times.
func (g *Gateway) isRepeatable(c *Call) bool {
	return g.cfg.Settings.Classes[c.Class].Effect == rules.Safe
}

// Compare orders calls by when they came, as cmp.Compare does.
func (c *Call) Compare(o *Call) int { return cmp.Compare(c.id, o.id) }

const maxNameLength = 128

// IsName reports whether a string can name an object or a copy: 1 to 128 visible ASCII
// characters, without those that separate fields, paths and queries.
func IsName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(",=/?%+&\"", c) >= 0 {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}
