// Package upstream speaks the cache nodes' line protocol: many attempts share a
// connection, and each server has a few connections at most. It decides nothing;
// what waits for a connection or for a full socket is cleared with the gateway
// once more before its first byte leaves.
package upstream

import (
	"log/slog"
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// AnswerMost is what one answer holds at most, in bytes. As many may come at once on a
// connection as attempts were sent there, and are no flood.
const MaxAnswerBytes = maxLine + maxBody + 2

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
	Lanes          []string       // names of the classes
	Exclusive      []bool         // of the classes: those that share no connection, and get a fresh one, where there is room
	Streams        int            // attempts that a connection carries together
	MaxConns       int            // connections to one server
	MaxTotalConns  int            // connections to all servers; 0: any number
	ConnectTimeout gateway.Micros // a connection not up by then has failed
	IdleTimeout    gateway.Micros // an idle connection is closed after it
	SilentTimeout  gateway.Micros // without a word, with something open, a connection is taken for silent; silentLeast at least
	InputBuffer    int            // bytes of answers that may come on a connection before the loop looks; see AnswerMost
	Cancel         bool           // nodes may be told that a request is given up
	Hedges         bool           // two attempts of one request may be out together
	Repeatable     []bool         // of the classes: those that may run any number of times
}

// Clearer is what the pools ask of the gateway.
type AttemptController interface {
	// May tells whether an attempt that waits may still leave.
	CanSend(a *gateway.Attempt) bool
	// Clear is May just before the first byte, and the oldest copy that will do.
	PrepareSend(a *gateway.Attempt) (maxAge gateway.Micros, ok bool)
	EndAttempt(a *gateway.Attempt, e gateway.AttemptResult)
}

// Pools holds the connections to all servers.
type Pools struct {
	cfg   Config
	net   Network
	loop  *loop.Loop
	gate  AttemptController
	log   *slog.Logger
	pools map[rules.ServerID]*pool
	held  int                        // connections, with those that are being dialled
	where map[*gateway.Attempt]*conn // attempts that were given to a connection
	buf   []byte
}

var _ gateway.Upstream = (*Pools)(nil)

// New makes pools without connections.
func New(cfg Config, n Network, l *loop.Loop, gate AttemptController, log *slog.Logger) *Pools {
	cfg.SilentTimeout = max(cfg.SilentTimeout, silentLeast)
	return &Pools{cfg: cfg, net: n, loop: l, gate: gate, log: log, pools: map[rules.ServerID]*pool{},
		where: map[*gateway.Attempt]*conn{}}
}

// Renew takes a further configuration. Its lanes must keep those known so far in
// their places. Connections that are up stay; their numbers, and what may come on one
// unseen, are those given at the start.
func (p *Pools) UpdateConfig(cfg Config) {
	cfg.SilentTimeout = max(cfg.SilentTimeout, silentLeast)
	cfg.MaxConns, cfg.MaxTotalConns, cfg.InputBuffer = p.cfg.MaxConns, p.cfg.MaxTotalConns, p.cfg.InputBuffer
	p.cfg = cfg
}

// Held counts the connections to all servers, with those that are being dialled.
func (p *Pools) Connections() int { return p.held }

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

// Follow tells of a server's state. What was connected before its last start
// speaks to a process that is no more.
func (p *Pools) ServerChanged(s *gateway.Server) {
	x := p.pools[s.ID]
	if x == nil {
		if s.State == rules.Gone {
			return
		}
		x = &pool{all: p, name: s.Name}
		p.pools[s.ID] = x
	}
	if x.addr != s.Addr || x.born != s.StartedAt || s.State == rules.Gone {
		for _, c := range slices.Clone(x.conns) {
			c.drain()
		}
	}
	x.addr, x.born, x.gone = s.Addr, s.StartedAt, s.State == rules.Gone
	if x.gone { // what it still has open ends on its own
		delete(p.pools, s.ID)
	}
	if len(x.waiting) > 0 { // once the module knows of it too, so that it does not choose this server again
		p.loop.Post(x.release)
	}
}

// Start sends an attempt as soon as a connection takes it.
func (p *Pools) Start(a *gateway.Attempt) {
	x := p.pools[a.Server.ID]
	if x == nil {
		p.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.ConnectFailed})
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
	if c.pool.all.loop.Now()-c.since > c.pool.all.cfg.SilentTimeout {
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

// full tells whether there are as many connections as there may be to all servers.
func (p *Pools) full() bool { return p.cfg.MaxTotalConns > 0 && p.held >= p.cfg.MaxTotalConns }

// alone tells whether an attempt is of a class that shares no connection.
func (p *Pools) alone(a *gateway.Attempt) bool {
	return a.Call.Class < len(p.cfg.Exclusive) && p.cfg.Exclusive[a.Call.Class]
}
