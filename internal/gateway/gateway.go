// Package gateway is the core: requests, attempts, outcomes and deadlines, round
// the one rules.Router that decides. It knows no wire, socket or header; fronts
// hand it calls, a Nodes carries its attempts, and whoever follows the list of
// servers tells it of members and purges. All of it runs on the event loop.
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
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// Micros is a moment or a span in microseconds of the Unix clock.
type Micros = rules.Micros

// Kind says how a call was answered.
type AnswerKind uint8

// The final answers.
const (
	Served      AnswerKind = iota // with the object's bytes
	NotModified                   // the client's own copy is the one
	Refused                       // surely not done: trying again is harmless
	Failed
)

// Answer is the one final answer to a call.
type Answer struct {
	Kind       AnswerKind
	Body       []byte
	Tag        string // names the copy, for the client's next time
	CreatedAt  Micros // with Served: when the origin gave the copy out; 0 if untold
	RetryAfter Micros // with Refused: how long to stay away; 0 is no advice
	TimedOut   bool   // with Failed: time ran out
}

// Caller gets the answer to a call, once, on the loop. One that also has a method
// Gone() bool is asked before further attempts, and before those that waited, whether it has
// gone: its end may stand behind events that the loop takes first.
type Caller interface {
	Answer(a Answer)
}

// Call is what a front asks for. The gateway owns it until it is answered or
// left.
type Call struct {
	ID       string // the client's id of the request, passed on unchanged
	Class    int
	Object   string
	Part     int
	HasPart  bool
	Group    int
	Body     []byte
	Tag      string  // of the copy that the client holds
	Token    string  // of a keyed class: the same for all tries of one request, passed on unchanged
	Size     float64 // KB of the part as the settings count; 0: not told
	Repeat   bool
	Deadline Micros // when the client stops waiting
	Caller   Caller
	Version  uint64     // of what its front acts on, under which it came
	Peer     netip.Addr // of its client, where calls are followed

	id       rules.RequestID
	attempts []*Attempt
	out      int
	over     bool
	left     bool // a byte of an attempt may have left for a node
}

// Server is a listed server.
type Server struct {
	ID        rules.ServerID
	Name      string
	Addr      string
	State     rules.MemberState
	StartedAt Micros // when it last started, not in the future

	announced Micros // Born as discovery tells it
}

// purge is what is known of the last purge of an object or a group.
type purge struct {
	stamp Micros // as it was told: copies given out until then are from before it
	at    Micros // the loop's moment for it, not in the future
}

// Attempt is one send of a call to a server.
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

	number  int
	started Micros
	born    Micros // of the server, when the module chose it
	srcBorn Micros
	maxAge  Micros
	due     *loop.Deadline
	done    bool
}

// End says how an attempt ended.
type AttemptResult struct {
	Code       rules.Code
	Note       rules.Note
	SourceWait Micros
	Answer     Answer // with OK
}

// Nodes carries attempts to servers.
type Upstream interface {
	// Start sends an attempt once a connection takes it. Before its first byte
	// it asks Gateway.Clear; how the attempt ends it tells Gateway.End.
	Start(a *Attempt)
	// Stop gives an attempt up. It tells whether any of it may have been sent
	// whole; nothing more is told of it.
	Stop(a *Attempt) (sent bool)
	// Follow tells of a server that is new, has started anew or has gone.
	ServerChanged(s *Server)
}

// Member is a line of the list of servers, in the operators' words.
type Member struct {
	Name, Addr, Zone, Kind string
	Cell                   int
	State                  rules.MemberState
	Weight                 float64
	StartedAt              Micros
}

// Purge names an object or, where Object is empty, a group.
type Purge struct {
	Object string
	Group  int
	At     Micros
}

// Config is what a gateway is told at its start.
type Config struct {
	Settings   rules.Settings
	Zones      []string
	Kinds      []string
	Seed       uint64
	LocalCache LocalCacheLimits
	Counters   *counters.Counters // where attempts that leave are counted; nil: a gateway's own
}

// Gateway owns the router and the calls it holds.
type Gateway struct {
	cfg     Config
	loop    *loop.Loop
	router  *rules.Router
	nodes   Upstream
	events  []rules.Event
	calls   map[rules.RequestID]*Call
	open    map[string]struct{} // the clients' ids of the calls
	last    rules.RequestID
	servers map[rules.ServerID]*Server
	purges  map[uint64]purge // of objects and groups
	swept   Micros
	copies  *copies
	guard   func() (ok bool, away Micros) // nil: the gateway may always act
	bounds  FleetPolicy                   // nil: none
	log     *slog.Logger

	refusals refusals
}

// New makes a gateway whose attempts nodes will carry.
func New(cfg Config, l *loop.Loop, log *slog.Logger) (*Gateway, error) {
	router, err := rules.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.New(make([]string, len(cfg.Settings.Classes)))
	}
	return &Gateway{cfg: cfg, loop: l, router: router, log: log, calls: map[rules.RequestID]*Call{},
		open: map[string]struct{}{}, servers: map[rules.ServerID]*Server{}, purges: map[uint64]purge{},
		copies: newCopies(cfg.LocalCache)}, nil
}

// Use gives the gateway its nodes; it must come before anything else.
func (g *Gateway) SetUpstream(nodes Upstream) { g.nodes = nodes }

// Guard has the gateway ask before each act whether it may: before it takes a call,
// and before any byte of an attempt leaves. Where it may not, a call of which nothing
// has left is refused at once, with away as the time to come back; others end by the
// rules, with nothing new sent.
func (g *Gateway) SetGuard(may func() (ok bool, away Micros)) { g.guard = may }

// Bounds are what the whole fleet holds of copies, beside the notice board's purges.
type FleetPolicy interface {
	// Since is the moment up to which a copy of an object counts as purged; ok is false
	// where none does.
	PurgedUntil(object string, group int) (at Micros, ok bool)
	// Tagged is the same of copies under a tag, which only an answer tells.
	TagPurgedUntil(tag string) (at Micros, ok bool)
	// Ended tells how an attempt ended, and after what time.
	AttemptEnded(a *Attempt, code rules.Code, took Micros)
	// Away is how long a refused client is told to stay away, of what the module says.
	RetryAfter(base Micros) Micros
}

// Bound has the gateway keep to bounds.
func (g *Gateway) SetFleetPolicy(b FleetPolicy) { g.bounds = b }

// since is the moment up to which a copy that a call is answered with counts as purged
// by the whole fleet; 0: none does.
func (g *Gateway) since(c *Call, tag string) Micros {
	if g.bounds == nil {
		return 0
	}
	at, _ := g.bounds.PurgedUntil(c.Object, c.Group)
	if tag != "" {
		if t, ok := g.bounds.TagPurgedUntil(tag); ok {
			at = max(at, t)
		}
	}
	return max(0, at)
}

// Renew takes settings for the calls that come from now on; open ones keep what
// they came under. The classes of the settings must keep those known so far in
// their places; else, or where the settings can't be used, nothing changes.
func (g *Gateway) UpdateSettings(s rules.Settings) error {
	if err := g.router.UpdateSettings(s); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Settings = s
	return nil
}

// Open counts the calls that are not answered yet.
func (g *Gateway) Open() int { return len(g.calls) }

// Servers counts the listed servers, and of those the ones that are avoided now:
// told as draining, or found down by the module.
func (g *Gateway) Servers() (listed, avoided int) {
	for _, s := range g.servers {
		if s.State != rules.Gone {
			listed++
		}
	}
	return listed, g.router.Avoided()
}

// Kept is the bytes of the own copies.
func (g *Gateway) CachedBytes() int { return g.copies.bytes }

// Limit bounds the own copies anew.
func (g *Gateway) SetCacheLimits(c LocalCacheLimits) { g.copies.bound(c) }

// Abandon fails every open call, for a program that has to end.
func (g *Gateway) Abandon() {
	for _, id := range slices.Sorted(maps.Keys(g.calls)) { // like events have like effects
		g.events = append(g.events, rules.Expired{ID: id})
		g.finish(id, Answer{Kind: Failed})
	}
}

// key maps a name to 64 bits, alike at every front and every start.
func key(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return max(1, h.Sum64()) // 0 means none to the module
}

func groupKey(group int) uint64 { return key(fmt.Sprintf("group %d", group)) }

// Heard tells that the notice board has just answered.
func (g *Gateway) BoardAnswered() { g.copies.heard = g.loop.Now() }

// Submit takes a call; exactly one answer follows, unless the call is left.
// A call under the id of one that is open has failed: to the nodes they would be one.
func (g *Gateway) Submit(c *Call) {
	if _, open := g.open[c.ID]; open {
		c.over = true
		c.Caller.Answer(Answer{Kind: Failed})
		return
	}
	if g.guard != nil {
		if ok, away := g.guard(); !ok {
			c.over = true
			c.Caller.Answer(Answer{Kind: Refused, RetryAfter: away})
			return
		}
	}
	if x := g.copies.find(c, &g.cfg.Settings.Classes[c.Class], g.loop.Now()); x != nil && x.born > g.since(c, x.tag) {
		c.over = true
		a := Answer{Kind: Served, Body: x.body, Tag: x.tag, CreatedAt: x.born}
		if c.Tag != "" && c.Tag == x.tag {
			a = Answer{Kind: NotModified, Tag: x.tag, CreatedAt: x.born}
		}
		c.Caller.Answer(a)
		return
	}
	g.last++
	c.id = g.last
	g.calls[c.id] = c
	g.open[c.ID] = struct{}{}
	g.events = append(g.events, rules.Request{ID: c.id, Class: c.Class, Object: key(c.Object),
		Part: c.Part, Group: c.Group, Size: c.Size, Expires: max(0, c.Deadline-g.loop.Now()), Repeat: c.Repeat})
}

// Leave ends a call whose client has gone; its attempts are given up.
func (g *Gateway) Leave(c *Call) {
	if c.over {
		return
	}
	c.over = true
	g.events = append(g.events, rules.Expired{ID: c.id})
	g.giveUp(c)
}

// giveUp stops what a finished call still has out.
func (g *Gateway) giveUp(c *Call) {
	for _, a := range c.attempts {
		if a.done {
			continue
		}
		code := rules.NotSent
		if g.nodes.Stop(a) {
			code = rules.Cancelled
		}
		g.end(a, AttemptResult{Code: code})
	}
	delete(g.calls, c.id)
	delete(g.open, c.ID)
}

// Members tells of the list of servers: all of it, or what changed.
func (g *Gateway) Members(full bool, list []Member) {
	e := rules.Members{Full: full}
	seen := map[rules.ServerID]bool{}
	for _, m := range list {
		zone, kind := index(g.cfg.Zones, m.Zone), index(g.cfg.Kinds, m.Kind)
		if zone < 0 || kind < 0 {
			g.log.Warn("member of an unknown place or kind is left out", "server", m.Name,
				"zone", m.Zone, "kind", m.Kind)
			continue
		}
		id := rules.ServerID(key(m.Name))
		seen[id] = true
		announced := m.StartedAt
		m.StartedAt = g.started(id, announced)
		e.List = append(e.List, rules.Member{ID: id, Kind: kind, StartedAt: m.StartedAt, State: m.State,
			Cell: m.Cell, Zone: zone, Weight: m.Weight})
		g.follow(id, m, announced)
	}
	if full {
		for _, id := range slices.Sorted(maps.Keys(g.servers)) {
			if s := g.servers[id]; !seen[id] {
				s.State = rules.Gone
				g.log.Info("server changed", "server", s.Name, "state", stateName(s.State))
				g.nodes.ServerChanged(s)
				delete(g.servers, id)
			}
		}
	}
	g.events = append(g.events, e)
}

// started is when a server last started, as the loop's clock has it. A moment in the future
// is of a clock that differs from ours: the server has started by now.
func (g *Gateway) started(id rules.ServerID, announced Micros) Micros {
	if s := g.servers[id]; s != nil && s.announced == announced {
		return s.StartedAt
	}
	return min(announced, g.loop.Now())
}

// follow keeps a server's state. One that is gone is forgotten; attempts that
// still name it see its last state.
func (g *Gateway) follow(id rules.ServerID, m Member, announced Micros) {
	s := g.servers[id]
	if s == nil {
		s = &Server{ID: id, Name: m.Name}
		g.servers[id] = s
	} else if s.State != m.State || s.StartedAt != m.StartedAt {
		g.log.Info("server changed", "server", m.Name, "kind", m.Kind, "state", stateName(m.State),
			"started_us", m.StartedAt)
	}
	s.State, s.StartedAt, s.announced = m.State, m.StartedAt, announced
	if m.Addr != "" {
		s.Addr = m.Addr
	}
	g.nodes.ServerChanged(s)
	if s.State == rules.Gone {
		delete(g.servers, id)
	}
}

func stateName(s rules.MemberState) string {
	return [...]string{"gone", "ready", "draining"}[s]
}

func index(list []string, name string) int {
	for i, x := range list {
		if x == name {
			return i
		}
	}
	return -1
}

// Purge tells of a purge.
func (g *Gateway) Purge(p Purge) {
	now := g.loop.Now()
	at := min(p.At, now) // the stamp is of another clock
	k, e := groupKey(p.Group), rules.Purge{Group: p.Group, Age: now - at}
	if p.Object != "" {
		k = key(p.Object)
		e = rules.Purge{Object: k, Age: e.Age}
	}
	g.purged(k, purge{stamp: p.At, at: at})
	g.copies.purge(p)
	if g.events = append(g.events, e); now-g.swept > g.cfg.Settings.PurgeSettle {
		g.swept = now
		maps.DeleteFunc(g.purges, func(_ uint64, p purge) bool { return g.settled(p.at, now) })
	}
}

// purged notes a purge of an object or a group; the latest counts.
func (g *Gateway) purged(k uint64, p purge) {
	last := g.purges[k]
	g.purges[k] = purge{stamp: max(last.stamp, p.stamp), at: max(last.at, p.at)}
}

// settled tells whether no copy from before a purge can be left anywhere.
func (g *Gateway) settled(at, now Micros) bool {
	return now-at > g.cfg.Settings.PurgeSettle+1_000_000
}

// Settle runs the router until nothing new has come of what it asked for.
func (g *Gateway) ProcessEvents() {
	for len(g.events) > 0 {
		events := g.events
		g.events = nil
		for _, a := range g.router.Step(g.loop.Now(), events) {
			g.act(a)
		}
	}
}

func (g *Gateway) act(a rules.Action) {
	switch a := a.(type) {
	case rules.Get:
		g.get(a)
	case rules.Refuse:
		g.refuse(a)
	case rules.Fail:
		g.finish(a.ID, Answer{Kind: Failed})
	case rules.Cancel:
		if c := g.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) && !c.attempts[a.Attempt].done {
			x := c.attempts[a.Attempt]
			g.nodes.Stop(x)
			g.end(x, AttemptResult{Code: rules.Cancelled})
		}
	case rules.Wake:
		g.loop.At(g.loop.Now()+a.In, func() { g.events = append(g.events, rules.Timer{Tag: a.Tag}) })
	case rules.Log:
		g.log.Info("module", "text", a.Text)
	}
}

func (g *Gateway) finish(id rules.RequestID, a Answer) {
	c := g.calls[id]
	if c == nil || c.over {
		return
	}
	c.over = true
	if a.Kind == Refused && g.bounds != nil {
		a.RetryAfter = g.bounds.RetryAfter(a.RetryAfter)
	}
	a.TimedOut = g.loop.Now() >= c.Deadline
	g.giveUp(c)
	c.Caller.Answer(a)
}

// get carries out the module's choice.
func (g *Gateway) get(x rules.Get) {
	c, now := g.calls[x.ID], g.loop.Now()
	if c == nil || c.over {
		// Its client went in the moment in which the module chose. The module books every attempt on
		// its request and server until it has ended, so it is told that this one never left.
		g.events = append(g.events, rules.Outcome{ID: x.ID, Attempt: x.Attempt, Server: x.Server,
			Code: rules.NotSent, Closed: true})
		return
	}
	if g.guard != nil && !c.left {
		if ok, away := g.guard(); !ok {
			g.events = append(g.events, rules.Expired{ID: c.id}, rules.Outcome{ID: x.ID, Attempt: x.Attempt,
				Server: x.Server, Code: rules.NotSent, Closed: true})
			g.finish(c.id, Answer{Kind: Refused, RetryAfter: away})
			return
		}
	}
	a := &Attempt{Call: c, Server: g.servers[x.Server], Deadline: c.Deadline, KeepRank: x.KeepRank,
		Join: x.Join, HeldOnly: x.HeldOnly, PassThrough: x.PassThrough, Revalidate: x.Revalidate, number: len(c.attempts),
		started: now, maxAge: x.MaxAge}
	c.attempts = append(c.attempts, a)
	c.out++
	if x.Timeout > 0 {
		a.Deadline = min(a.Deadline, now+x.Timeout)
	}
	if a.Server != nil {
		a.born = a.Server.StartedAt
	}
	if x.Source != x.Server {
		if a.Source = g.servers[x.Source]; a.Source != nil {
			a.srcBorn = a.Source.StartedAt
		}
	}
	if a.Server == nil || x.Source != x.Server && a.Source == nil || a.Deadline <= now {
		g.end(a, AttemptResult{Code: rules.NotSent})
		return
	}
	a.due = g.loop.At(a.Deadline, func() { g.expire(a) })
	g.nodes.Start(a)
}

// expire ends an attempt whose time is up.
func (g *Gateway) expire(a *Attempt) {
	if a.done {
		return
	}
	code := rules.NotSent
	if g.nodes.Stop(a) {
		code = rules.Timeout
	}
	g.end(a, AttemptResult{Code: code})
}

// May tells whether an attempt that waits for a connection or a full socket may
// still leave. It may have been overtaken by its deadline, or by a drain or restart of
// the server or the source.
func (g *Gateway) CanSend(a *Attempt) bool {
	if a.done || g.loop.Now() >= a.Deadline || a.Server.State != rules.Ready || a.Server.StartedAt != a.born ||
		a.Source != nil && (a.Source.State != rules.Ready || a.Source.StartedAt != a.srcBorn) {
		return false
	}
	if g.guard != nil {
		if ok, _ := g.guard(); !ok {
			return false
		}
	}
	if a.number > 0 || g.loop.Now()-a.started > waitedFrom {
		if c, ok := a.Call.Caller.(interface{ Gone() bool }); ok && c.Gone() {
			return false
		}
	}
	return true
}

// clockSlack is how far the moment at which the origin gave a copy out may lie ahead of our
// clock, in us, for the copy's age to be believed.
const clockSlack = 50_000

// waitedFrom is how long after its choice an attempt counts as one that waited, in us.
const waitedFrom = 1000

// Clear tells, just before an attempt's first byte leaves, whether it still may (see
// May), and the oldest copy that will do, by what was purged meanwhile (0: the
// class's default). An attempt that may not leave must be ended as never sent.
func (g *Gateway) PrepareSend(a *Attempt) (maxAge Micros, ok bool) {
	if !g.CanSend(a) {
		return 0, false
	}
	now := g.loop.Now()
	a.Call.left = true
	maxAge = a.maxAge
	for _, k := range []uint64{key(a.Call.Object), groupKey(a.Call.Group)} {
		if p, known := g.purges[k]; known && !g.settled(p.at, now) {
			if age := max(1000, now-p.at); maxAge == 0 || age < maxAge {
				maxAge = age
			}
			if fresh := g.cfg.Settings.Classes[a.Call.Class].Fresh; a.maxAge == 0 && fresh > 0 {
				maxAge = min(maxAge, fresh)
			}
		}
	}
	if at := g.since(a.Call, ""); at > 0 && !g.cfg.Settings.Classes[a.Call.Class].Write {
		if a.Call.Tag != "" { // the client's own copy may be one from before
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

// End tells how an attempt ended.
func (g *Gateway) EndAttempt(a *Attempt, e AttemptResult) {
	if !a.done {
		if e.Code == rules.OK && g.bounds != nil && !g.cfg.Settings.Classes[a.Call.Class].Write {
			if at := g.since(a.Call, e.Answer.Tag); at > 0 && e.Answer.CreatedAt <= at {
				// From before a purge that came meanwhile, or of a tag that only the answer
				// tells: as if nothing suitable had been held. It goes again for a newer one.
				g.purged(key(a.Call.Object), purge{stamp: at, at: at})
				g.events = append(g.events, rules.Purge{Object: key(a.Call.Object), Age: max(0, g.loop.Now()-at)})
				e = AttemptResult{Code: rules.Miss, SourceWait: e.SourceWait}
			}
		}
		g.end(a, e)
	}
}

func (g *Gateway) end(a *Attempt, e AttemptResult) {
	c := a.Call
	a.done = true
	c.out--
	g.loop.Stop(a.due)
	if g.bounds != nil && a.Server != nil {
		g.bounds.AttemptEnded(a, e.Code, g.loop.Now()-a.started)
	}
	serves := e.Code == rules.OK && !c.over
	g.events = append(g.events, rules.Outcome{ID: c.id, Attempt: a.number, Server: serverID(a.Server),
		Code: e.Code, Elapsed: g.loop.Now() - a.started, Closed: c.over || serves, Note: e.Note,
		SourceWait: e.SourceWait})
	if serves {
		c.over = true
		g.giveUp(c)
		if aheadOf := e.Answer.CreatedAt - g.loop.Now(); aheadOf <= clockSlack { // else its age can't be known
			g.copies.keep(c, &g.cfg.Settings.Classes[c.Class], &e.Answer, g.purgedSince(c, e.Answer.CreatedAt))
		}
		c.Caller.Answer(e.Answer)
	}
}

// purgedSince tells whether a call's object was purged after a moment.
func (g *Gateway) purgedSince(c *Call, born Micros) bool {
	return g.purges[key(c.Object)].stamp >= born || g.purges[groupKey(c.Group)].stamp >= born || g.since(c, "") >= born
}

func serverID(s *Server) rules.ServerID {
	if s == nil {
		return 0
	}
	return s.ID
}

// Before compares calls by the order in which they came.
func (c *Call) Compare(o *Call) int { return cmp.Compare(c.id, o.id) }

const longestName = 128

// IsName tells whether a word can name an object or a copy: visible ASCII, and
// none of the signs that part fields, paths and queries.
func IsName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(",=/?%+&\"", c) >= 0 {
			return false
		}
	}
	return s != "" && len(s) <= longestName
}
