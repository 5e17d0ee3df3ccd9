// Package upstream speaks the cache nodes' line protocol: many attempts share a
// connection, and each server has a few connections at most. It decides nothing;
// what waits for a connection or for a full socket is cleared with the gateway
// once more before its first byte leaves.
package upstream

import (
	"log/slog"
	"maps"
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
	"cherryramp/rules"
)

// AnswerMost is what one answer holds at most, in bytes. As many may come at once on a
// connection as attempts were sent there, and are no flood.
const AnswerMost = maxLine + maxBody + 2

const (
	inputLeast  = 4       // answers that may come on a connection before the loop looks, at the least
	pastLimit   = 512     // ids that a connection remembers before it is drained
	silentLimit = 2       // attempts that run out on a silent connection before it is drained
	silentLeast = 300_000 // us without a word, with something open, from which it is taken for silent, at the least
	wholeMost   = 500_000 // us from an answer's first byte to its last
	shareMost   = 2       // attempts on a connection from which another one is opened beside it
	silentCost  = 1000    // in pick, of a silent connection: above any number of open attempts
	busyCost    = 2000    // in pick, where an attempt should be alone
	redialAfter = 20_000  // us until a connection is tried again for which this machine lacked room
	// mostShortages is after how many of these in a row what waits goes elsewhere.
	mostShortages = 3
	freshSpan     = 50_000 // us idle from which a used connection may be reset under what comes next
)

// Config bounds the connections.
type Config struct {
	Lanes       []string       // names of the classes
	Alone       []bool         // of the classes: those that share no connection, and get a fresh one, where there is room
	Streams     int            // attempts that a connection carries together
	Connections int            // connections to one server
	Total       int            // connections to all servers; 0: any number
	ConnectTime gateway.Micros // a connection not up by then has failed
	IdleTime    gateway.Micros // an idle connection is closed after it
	Silent      gateway.Micros // without a word, with something open, a connection is taken for silent; silentLeast at least
	Input       int            // bytes of answers that may come on a connection before the loop looks; see AnswerMost
	Cancel      bool           // nodes may be told that a request is given up
	Hedges      bool           // two attempts of one request may be out together
	Repeat      []bool         // of the classes: those that may run any number of times
}

// Clearer is what the pools ask of the gateway.
type Clearer interface {
	// May tells whether an attempt that waits may still leave.
	May(a *gateway.Attempt) bool
	// Clear is May just before the first byte, and the oldest copy that will do.
	Clear(a *gateway.Attempt) (maxAge gateway.Micros, ok bool)
	End(a *gateway.Attempt, e gateway.End)
}

// Pools holds the connections to all servers.
type Pools struct {
	cfg   Config
	net   Network
	loop  *loop.Loop
	gate  Clearer
	log   *slog.Logger
	pools map[rules.ServerID]*pool
	held  int                        // connections, with those that are being dialled
	where map[*gateway.Attempt]*conn // attempts that were given to a connection
	buf   []byte
}

var _ gateway.Nodes = (*Pools)(nil)

// New makes pools without connections.
func New(cfg Config, n Network, l *loop.Loop, gate Clearer, log *slog.Logger) *Pools {
	cfg.Silent = max(cfg.Silent, silentLeast)
	return &Pools{cfg: cfg, net: n, loop: l, gate: gate, log: log, pools: map[rules.ServerID]*pool{},
		where: map[*gateway.Attempt]*conn{}}
}

// Renew takes a further configuration. Its lanes must keep those known so far in
// their places. Connections that are up stay; their numbers, and what may come on one
// unseen, are those given at the start.
func (p *Pools) Renew(cfg Config) {
	cfg.Silent = max(cfg.Silent, silentLeast)
	cfg.Connections, cfg.Total, cfg.Input = p.cfg.Connections, p.cfg.Total, p.cfg.Input
	p.cfg = cfg
}

// Held counts the connections to all servers, with those that are being dialled.
func (p *Pools) Held() int { return p.held }

// evictIdle has the connection that has stood idle for longest make room for one to another
// server.
func (p *Pools) evictIdle(other *pool) {
	var oldest *conn
	for _, x := range p.pools {
		for _, c := range x.conns {
			if x != other && !c.draining && len(c.open) == 0 && (oldest == nil || c.since < oldest.since ||
				c.since == oldest.since && c.pool.name < oldest.pool.name) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.drain()
	}
}

// pool is one server's connections and what waits for them.
type pool struct {
	all        *Pools
	name       string
	addr       string
	born       gateway.Micros
	conns      []*conn
	dialing    int
	dialFailed bool // the last connection did not come up
	paused     bool // nothing is dialled for a while: this machine lacked room for it
	shortages  int  // connections in a row for which it lacked room
	gone       bool // the server has left the list
	waiting    []*gateway.Attempt
}

// past is what is kept of an id that has ended on a connection. Answers name nothing but
// ids, so what still comes under one can't be told from the answer to its next attempt.
type past struct {
	until    gateway.Micros // its call's deadline; nothing goes under the id afterwards
	answered bool           // only a second answer can come, which is rare
}

// conn is one connection to a cache node.
type conn struct {
	pool     *pool
	tc       Conn
	open     map[string]*gateway.Attempt
	past     map[string]past  // ids that have ended on it, to which answers may still come
	partial  *gateway.Attempt // what a full socket has not taken whole
	alone    int              // open attempts of classes that share no connection
	used     bool
	draining bool           // takes nothing new; closed when nothing is open
	unheard  int            // attempts that ran out since it last said anything
	since    gateway.Micros // when it last said anything or, if later, took something on with nothing open
	idle     *loop.Deadline
	whole    *loop.Deadline // of an answer that has begun to come
}

// Follow tells of a server's state. What was connected before its last start
// speaks to a process that is no more.
func (p *Pools) Follow(s *gateway.Server) {
	x := p.pools[s.ID]
	if x == nil {
		if s.State == rules.Gone {
			return
		}
		x = &pool{all: p, name: s.Name}
		p.pools[s.ID] = x
	}
	if x.addr != s.Addr || x.born != s.Born || s.State == rules.Gone {
		for _, c := range slices.Clone(x.conns) {
			c.drain()
		}
	}
	x.addr, x.born, x.gone = s.Addr, s.Born, s.State == rules.Gone
	if x.gone { // what it still has open ends on its own
		delete(p.pools, s.ID)
	}
	if len(x.waiting) > 0 { // once the module knows of it too, so that it does not choose this server again
		p.loop.Post(x.release)
	}
}

// release ends what waits and may no longer leave, so that it can go elsewhere in time.
func (x *pool) release() {
	for _, a := range x.take(func(a *gateway.Attempt) bool { return !x.all.gate.May(a) }) {
		x.all.gate.End(a, gateway.End{Code: rules.Moot})
	}
}

// take takes out of what waits all for which out holds.
func (x *pool) take(out func(a *gateway.Attempt) bool) (taken []*gateway.Attempt) {
	x.waiting = slices.DeleteFunc(x.waiting, func(a *gateway.Attempt) bool {
		if out(a) {
			taken = append(taken, a)
			return true
		}
		return false
	})
	return taken
}

// Start sends an attempt as soon as a connection takes it.
func (p *Pools) Start(a *gateway.Attempt) {
	x := p.pools[a.Server.ID]
	if x == nil {
		p.gate.End(a, gateway.End{Code: rules.ConnectFailed})
		return
	}
	x.waiting = append(x.waiting, a)
	x.flush()
}

// Stop gives an attempt up and tells whether it may have been sent whole.
func (p *Pools) Stop(a *gateway.Attempt) (sent bool) {
	c := p.where[a]
	if c == nil {
		if x := p.pools[a.Server.ID]; x != nil {
			x.waiting = slices.DeleteFunc(x.waiting, func(w *gateway.Attempt) bool { return w == a })
		}
		return false
	}
	if c.partial == a && len(c.open) == 1 && c.cut() { // the rest of it must not leave
		c.forget(a)
		c.draining = true
		return false
	}
	c.forget(a)
	c.remember(a, false)
	if c.pool.all.loop.Now()-c.since > c.pool.all.cfg.Silent {
		c.unheard++
	}
	if c.unheard >= silentLimit || c.unheard > 0 && len(c.open) == 0 {
		p.log.Info("connection drained", "server", c.pool.name, "silent", c.unheard, "ended_ids", len(c.past))
		c.draining = true
	}
	if p.cfg.Cancel {
		if _, err := c.tc.Send(appendCancel(p.buf[:0], a.Call.ID)); err != nil {
			c.tc.Close()
		}
	}
	c.rest()
	return true
}

// cut ends a connection on which an attempt has not left whole, so that it never does, and
// tells whether there is one. The socket may have taken the rest, of which Drained is about to tell.
func (c *conn) cut() bool {
	if c.partial != nil && !c.tc.Cut() {
		c.partial = nil
	}
	return c.partial != nil
}

// remember keeps an id that has ended on a connection for as long as its call may go
// out again. One that has to remember too many takes nothing new.
func (c *conn) remember(a *gateway.Attempt, answered bool) {
	if len(c.past) >= pastLimit {
		now := c.pool.all.loop.Now()
		maps.DeleteFunc(c.past, func(_ string, p past) bool { return p.until <= now })
	}
	if c.past[a.Call.ID] = (past{until: a.Call.Deadline, answered: answered}); len(c.past) > pastLimit && !c.draining {
		c.pool.all.log.Info("connection drained", "server", c.pool.name, "ended_ids", len(c.past))
		c.draining = true
	}
}

// flush hands what waits to connections, and opens one more where they don't
// suffice, or where one that breaks would take too much with it. What no connection
// suits does not hold up what waits behind it.
func (x *pool) flush() {
	more := 0
	for i := 0; i < len(x.waiting); {
		a := x.waiting[i]
		c, cost := x.pick(a)
		if c == nil && !x.barred(a) {
			break // nor would any of the rest find one
		}
		if c == nil || cost >= busyCost {
			x.evict(a, c == nil)
			if c != nil && c.draining { // it made room itself
				continue
			}
		}
		switch {
		case c == nil && !x.room() && x.dialing == 0: // its id has been on all that there may be
			x.waiting = slices.Delete(x.waiting, i, i+1)
			x.all.gate.End(a, gateway.End{Code: rules.Moot})
			continue
		case c == nil:
			more++
			i++
			continue
		case cost >= shareMost && x.room() && !x.dialFailed:
			if more++; cost >= silentCost { // it waits for a connection of its own
				i++
				continue
			}
		}
		x.waiting = slices.Delete(x.waiting, i, i+1)
		x.send(c, a)
	}
	streams := max(1, x.all.cfg.Streams)
	if x.paused {
		return
	}
	if (len(x.waiting) > x.dialing*streams || more > x.dialing) && x.room() {
		if x.all.full() {
			x.all.evictIdle(x)
			if len(x.conns)+x.dialing == 0 { // nothing would come to take them; the server is not to blame
				for _, a := range x.take(func(*gateway.Attempt) bool { return true }) {
					x.all.gate.End(a, gateway.End{Code: rules.Moot})
				}
			}
			return
		}
		x.dial()
	}
}

// full tells whether there are as many connections as there may be to all servers.
func (p *Pools) full() bool { return p.cfg.Total > 0 && p.held >= p.cfg.Total }

// barred tells whether there are connections that would take an attempt, but for its id
// having been on them.
func (x *pool) barred(a *gateway.Attempt) bool {
	return slices.ContainsFunc(x.conns, func(c *conn) bool { return !c.draining && c.knows(a) })
}

// knows tells whether an attempt may not go on a connection because of what its id did
// there: it is open, or what still comes under it could be taken for this attempt's
// answer. A second answer to one that was answered is that rare that only what must not
// run twice, or be out twice, keeps away for its sake.
func (c *conn) knows(a *gateway.Attempt) bool {
	if _, open := c.open[a.Call.ID]; open {
		return true
	}
	p, known := c.past[a.Call.ID]
	cfg := &c.pool.all.cfg
	return known && (!p.answered || !cfg.Hedges || a.Call.Class >= len(cfg.Repeat) || !cfg.Repeat[a.Call.Class])
}

// room tells whether one more connection may be opened. Draining ones, which may
// stay open for as long as their last attempt, take no place of the new; all
// together are bounded too.
func (x *pool) room() bool {
	live := x.dialing
	for _, c := range x.conns {
		if !c.draining {
			live++
		}
	}
	most := x.all.cfg.Connections
	return live < most && len(x.conns)+x.dialing < 2*most
}

// evict has a connection take nothing new, if no other may be opened: one with
// nothing open or, for an attempt that can go on none, the least busy that bars it.
func (x *pool) evict(a *gateway.Attempt, barred bool) {
	if x.room() {
		return
	}
	var least *conn
	for _, c := range x.conns {
		if !c.draining && (len(c.open) == 0 || barred && c.knows(a)) && (least == nil || len(c.open) < len(least.open)) {
			least = c
		}
	}
	if least != nil {
		least.drain()
	}
}

// pick finds the connection that suits an attempt best, and at what cost: the
// attempts open there, and more where one of them, or this one, should be alone,
// or where it has fallen silent: its answers may never come.
// Two attempts of one call never share one, since their answers would be alike.
func (x *pool) pick(a *gateway.Attempt) (best *conn, least int) {
	for _, c := range x.conns {
		if c.draining || c.knows(a) || len(c.open) >= max(1, x.all.cfg.Streams) || c.tc.Blocked() {
			continue
		}
		cost := len(c.open)
		if _, known := c.past[a.Call.ID]; known {
			cost++
		}
		if c.alone > 0 || x.all.alone(a) && (cost > 0 || c.stale()) {
			cost += busyCost
		}
		if len(c.open) > 0 && c.pool.all.loop.Now()-c.since > c.pool.all.cfg.Silent {
			cost += silentCost
		}
		if best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best, least
}

// stale tells whether a connection has stood idle after use: nodes may have reset
// it, and what is written before that is noticed may or may not have run.
func (c *conn) stale() bool {
	return c.used && len(c.open) == 0 && c.pool.all.loop.Now()-c.since > freshSpan
}

// alone tells whether an attempt is of a class that shares no connection.
func (p *Pools) alone(a *gateway.Attempt) bool {
	return a.Call.Class < len(p.cfg.Alone) && p.cfg.Alone[a.Call.Class]
}

func (x *pool) send(c *conn, a *gateway.Attempt) {
	p := x.all
	maxAge, ok := p.gate.Clear(a)
	if !ok {
		p.gate.End(a, gateway.End{Code: rules.Moot})
		return
	}
	p.buf = appendServe(p.buf[:0], a, p.cfg.Lanes[a.Call.Class], p.loop.Now(), maxAge)
	whole, err := c.tc.Send(p.buf)
	if err != nil { // nothing of it can have come whole
		c.draining = true
		c.tc.Close()
		p.gate.End(a, gateway.End{Code: rules.ConnectFailed})
		return
	}
	p.loop.Stop(c.idle)
	c.idle, c.used = nil, true
	if len(c.open) == 0 {
		c.since = c.pool.all.loop.Now()
	}
	c.open[a.Call.ID] = a
	p.where[a] = c
	if p.alone(a) {
		c.alone++
	}
	if !whole {
		c.partial = a
	}
}

func (x *pool) dial() {
	x.dialing++
	p := x.all
	p.held++
	c := &conn{pool: x, open: map[string]*gateway.Attempt{}, past: map[string]past{}}
	addr, born := x.addr, x.born
	p.net.Dial(addr, max(p.cfg.Input, inputLeast*AnswerMost), c, p.loop.Now()+p.cfg.ConnectTime,
		func(tc Conn, err error) {
			x.dialing--
			if err != nil {
				p.held--
			}
			if transport.LacksRoom(err) {
				x.dialLater(err)
				return
			}
			x.shortages = 0
			if x.dialFailed = err != nil; err == nil {
				c.tc = tc
				x.conns = append(x.conns, c)
				c.draining = x.gone || addr != x.addr || born != x.born
				c.rest()
			} else if x.dialing == 0 {
				p.log.Warn("connect failed", "server", x.name, "error", err)
				x.fail()
			}
			x.flush()
		})
}

// dialLater connects again after redialAfter: this machine lacked room for a connection, of
// which the server is not to blame. Where that lasts, what waits may go elsewhere.
func (x *pool) dialLater(err error) {
	p := x.all
	x.paused = true
	x.shortages++
	p.log.Warn("connection can't be opened here", "server", x.name, "error", err, "waiting", len(x.waiting))
	if x.shortages >= mostShortages && len(x.conns)+x.dialing == 0 {
		for _, a := range x.take(func(*gateway.Attempt) bool { return true }) {
			p.gate.End(a, gateway.End{Code: rules.Moot})
		}
	}
	p.loop.At(p.loop.Now()+redialAfter, func() {
		x.paused = false
		x.flush()
	})
}

// fail ends what waits and no connection is left to take.
func (x *pool) fail() {
	for _, c := range x.conns {
		if !c.draining {
			return
		}
	}
	waiting := x.waiting
	x.waiting = nil
	for _, a := range waiting {
		x.all.gate.End(a, gateway.End{Code: rules.ConnectFailed})
	}
}

func (c *conn) forget(a *gateway.Attempt) {
	delete(c.open, a.Call.ID)
	if c.pool.all.alone(a) {
		c.alone--
	}
	delete(c.pool.all.where, a)
	if c.partial == a {
		c.partial = nil
	}
}

func (c *conn) drain() {
	c.draining = true
	c.rest()
}

// rest looks after a connection with nothing open: a draining one is closed, any
// other after its idle time.
func (c *conn) rest() {
	if len(c.open) > 0 {
		return
	}
	if c.draining {
		c.tc.Close()
		return
	}
	l := c.pool.all.loop
	l.Stop(c.idle)
	c.idle = l.At(l.Now()+c.pool.all.cfg.IdleTime, func() {
		c.draining = true
		c.tc.Close()
	})
}

// Readable takes the answers that have come. Those under ids that are not open
// (a second copy, one that was given up) are passed over.
func (c *conn) Readable() {
	c.unheard, c.since = 0, c.pool.all.loop.Now()
	for {
		var ans answer
		var used, have int
		var err error
		c.tc.Consume(func(b []byte) int {
			have = len(b)
			ans, used, err = parseAnswer(b)
			return used
		})
		if err == nil && used == 0 && c.tc.Flooded() {
			err = errFlood
		}
		if err != nil {
			c.spoilt(err)
			return
		}
		if used == 0 {
			c.await(have > 0)
			break
		}
		c.await(false)
		if a := c.open[ans.id]; a != nil {
			if !ans.fits(a.Call.Tag) {
				c.spoilt(errUnasked)
				return
			}
			c.forget(a)
			if ans.end.Code != rules.OK { // else its call is over
				c.remember(a, true)
			}
			c.pool.all.gate.End(a, ans.end)
		}
	}
	c.rest()
	c.pool.flush()
}

// await bounds the time that an answer takes to come whole.
func (c *conn) await(begun bool) {
	l := c.pool.all.loop
	switch {
	case !begun:
		l.Stop(c.whole)
		c.whole = nil
	case c.whole == nil:
		c.whole = l.At(l.Now()+wholeMost, func() { c.spoilt(errStalled) })
	}
}

// spoilt ends a connection that has brought what can't be read, or too much, or
// only a part. All that is open on it may have run; of the server's health it
// tells little.
func (c *conn) spoilt(err error) {
	c.pool.all.log.Warn("answer can't be read", "server", c.pool.name, "error", err, "open", len(c.open))
	c.draining = true
	c.cut()
	c.drop(rules.Spoilt, rules.Spoilt)
	c.tc.Close()
}

// Drained goes on with what waited for a full socket.
func (c *conn) Drained() {
	c.partial = nil
	c.pool.flush()
}

// Closed ends what was open: what had not left whole never ran. It is one event
// and counts once against its server's health, and not at all where an answer
// broke off.
func (c *conn) Closed() {
	x := c.pool
	c.draining = true
	x.all.held--
	x.all.loop.Stop(c.idle)
	x.conns = slices.DeleteFunc(x.conns, func(o *conn) bool { return o == c })
	first := rules.Reset
	if c.whole != nil {
		first = rules.Spoilt
	}
	c.await(false)
	c.drop(first, rules.Spoilt)
	x.flush()
}

// drop ends all that is open: the first with one code, the rest with another.
func (c *conn) drop(first, rest rules.Code) {
	// In the order of their numbers, so that like events have like effects.
	open := make([]*gateway.Attempt, 0, len(c.open))
	for _, a := range c.open {
		open = append(open, a)
	}
	slices.SortFunc(open, func(a, b *gateway.Attempt) int { return a.Call.Before(b.Call) })
	partial := c.partial
	for _, a := range open {
		c.forget(a)
		code := first
		if a == partial {
			code = rules.ConnectFailed
		} else {
			first = rest
		}
		c.pool.all.gate.End(a, gateway.End{Code: code})
	}
}
