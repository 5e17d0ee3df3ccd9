// Package upstream implements the client side of the cache nodes' line protocol. Many
// attempts share a connection, and there are at most a few connections per server. The
// package makes no routing decisions: an attempt that has waited for a connection or a
// full socket is checked with the gateway again right before it is sent.
package upstream

import (
	"log/slog"
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// MaxAnswerBytes is the maximum size of an answer. As many answers may arrive at once on a
// connection as attempts were sent there; see Config.InputBuffer.
const MaxAnswerBytes = maxLine + maxBody + 2

const (
	minInputAnswers  = 4       // answers that a connection can buffer, at the least
	maxEndedIDs      = 512     // ended ids that a connection remembers before it is drained
	maxUnanswered    = 2       // attempts given up on a silent connection before it is drained
	minSilentTimeout = 300_000 // us; lower bound of Config.SilentTimeout
	maxAnswerGap     = 500_000 // us between two parts of an answer, and from its first part until nothing new is sent behind it
	shareThreshold   = 2       // open attempts on a connection from which another connection is opened
	silentCost       = 1000    // in pick, for a silent connection: above any number of open attempts
	exclusiveCost    = 2000    // in pick, where an exclusive attempt would share a connection or use a stale one
	redialDelay      = 20_000  // us until a dial is retried for which this machine lacked resources
	maxShortages     = 3       // such failures in a row after which waiting attempts are ended
	maxFreshIdle     = 50_000  // us idle after which a node may reset a used connection as the next attempt is sent
)

// Config holds the settings and limits of the connections.
type Config struct {
	Lanes          []string       // names of the classes, by class
	Exclusive      []bool         // by class: attempts share no connection and get a fresh one, if one may be opened
	Streams        int            // limit of open attempts per connection
	MaxConns       int            // limit of connections to one server
	MaxTotalConns  int            // limit of connections to all servers; 0: none
	ConnectTimeout gateway.Micros // time limit of a dial
	IdleTimeout    gateway.Micros // after which an idle connection is closed
	SilentTimeout  gateway.Micros // without input, with attempts open, after which a connection counts as silent; minSilentTimeout at least
	AnswerTimeout  gateway.Micros // from the first part of an answer until it must be whole, however slowly it arrives; maxAnswerGap at least
	InputBuffer    int            // bytes of answers that a connection can buffer; minInputAnswers answers at least
	Cancel         bool           // tell nodes of attempts that are given up
	Hedges         bool           // two attempts of one call may be open at a time
	Repeatable     []bool         // by class: calls may run any number of times
}

// AttemptController is the gateway as the pools use it.
type AttemptController interface {
	// CanSend reports whether a waiting attempt may still be sent.
	CanSend(a *gateway.Attempt) bool
	// PrepareSend is called right before an attempt is sent. It returns the maximum age
	// of an acceptable copy, 0 for the default of its class, and whether the attempt may be sent.
	PrepareSend(a *gateway.Attempt) (maxAge gateway.Micros, ok bool)
	// EndAttempt reports the result of an attempt.
	EndAttempt(a *gateway.Attempt, e gateway.AttemptResult)
}

// Pools holds the connections to all servers.
type Pools struct {
	cfg           Config
	network       Network
	loop          *loop.Loop
	controller    AttemptController
	log           *slog.Logger
	pools         map[rules.ServerID]*serverPool
	numConns      int                        // connections, including those being dialed
	connByAttempt map[*gateway.Attempt]*conn // attempts sent on a connection
	buf           []byte
}

var _ gateway.Upstream = (*Pools)(nil)

// New returns pools without connections.
func New(cfg Config, n Network, l *loop.Loop, controller AttemptController, log *slog.Logger) *Pools {
	cfg = cfg.withMinima()
	return &Pools{cfg: cfg, network: n, loop: l, controller: controller, log: log, pools: map[rules.ServerID]*serverPool{},
		connByAttempt: map[*gateway.Attempt]*conn{}}
}

// withMinima returns the configuration with its lower bounds applied.
func (cfg Config) withMinima() Config {
	cfg.SilentTimeout = max(cfg.SilentTimeout, minSilentTimeout)
	cfg.AnswerTimeout = max(cfg.AnswerTimeout, maxAnswerGap)
	return cfg
}

// UpdateConfig replaces the configuration. Known lanes must keep their indexes. Open
// connections stay. MaxConns, MaxTotalConns and InputBuffer keep their initial values.
func (p *Pools) UpdateConfig(cfg Config) {
	cfg = cfg.withMinima()
	cfg.MaxConns, cfg.MaxTotalConns, cfg.InputBuffer = p.cfg.MaxConns, p.cfg.MaxTotalConns, p.cfg.InputBuffer
	p.cfg = cfg
}

// Connections returns the number of connections to all servers, including those being
// dialed.
func (p *Pools) Connections() int { return p.numConns }

// evictIdle drains the connection to another server that has been idle for longest, to make
// room for one of the given pool.
func (p *Pools) evictIdle(requester *serverPool) {
	var oldest *conn
	for _, pool := range p.pools {
		for _, c := range pool.conns {
			if pool != requester && !c.draining && len(c.open) == 0 && (oldest == nil || c.activeSince < oldest.activeSince ||
				c.activeSince == oldest.activeSince && c.pool.name < oldest.pool.name) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.drain()
	}
}

// ServerChanged updates a server's state. Connections from before its last start are
// drained, since they lead to a process that has ended.
func (p *Pools) ServerChanged(s *gateway.Server) {
	pool := p.pools[s.ID]
	if pool == nil {
		if s.State == rules.Gone {
			return
		}
		pool = &serverPool{pools: p, name: s.Name}
		p.pools[s.ID] = pool
	}
	if pool.addr != s.Addr || pool.startedAt != s.StartedAt || s.State == rules.Gone {
		for _, c := range slices.Clone(pool.conns) {
			c.drain()
		}
	}
	pool.addr, pool.startedAt, pool.removed = s.Addr, s.StartedAt, s.State == rules.Gone
	if pool.removed { // its open attempts still end
		delete(p.pools, s.ID)
	}
	if len(pool.waiting) > 0 { // posted, so that the rules know the change first and don't choose this server again
		p.loop.Post(pool.releaseWaiting)
	}
}

// Start sends an attempt as soon as a connection is available.
func (p *Pools) Start(a *gateway.Attempt) {
	pool := p.pools[a.Server.ID]
	if pool == nil {
		p.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.ConnectFailed})
		return
	}
	pool.waiting = append(pool.waiting, a)
	pool.dispatch()
}

// Stop gives an attempt up and reports whether it may have been sent whole.
func (p *Pools) Stop(a *gateway.Attempt) (sent bool) {
	c := p.connByAttempt[a]
	if c == nil {
		if pool := p.pools[a.Server.ID]; pool != nil {
			pool.waiting = slices.DeleteFunc(pool.waiting, func(w *gateway.Attempt) bool { return w == a })
		}
		return false
	}
	if c.partial == a && len(c.open) == 1 && c.cutPartial() { // its rest must not be sent
		c.removeAttempt(a)
		c.draining = true
		return false
	}
	c.removeAttempt(a)
	c.rememberID(a, false)
	if c.pool.pools.loop.Now()-c.activeSince > c.pool.pools.cfg.SilentTimeout {
		c.unanswered++
	}
	if c.unanswered >= maxUnanswered || c.unanswered > 0 && len(c.open) == 0 {
		p.log.Info("connection drained", "server", c.pool.name, "silent", c.unanswered, "ended_ids", len(c.ended))
		c.draining = true
	}
	if p.cfg.Cancel {
		if _, err := c.tc.Send(appendCancel(p.buf[:0], a.Call.ID)); err != nil {
			c.tc.Close()
		}
	}
	c.closeOrIdle()
	return true
}

// atTotalLimit reports whether MaxTotalConns is reached.
func (p *Pools) atTotalLimit() bool {
	return p.cfg.MaxTotalConns > 0 && p.numConns >= p.cfg.MaxTotalConns
}

// isExclusive reports whether an attempt is of an exclusive class.
func (p *Pools) isExclusive(a *gateway.Attempt) bool {
	return a.Call.Class < len(p.cfg.Exclusive) && p.cfg.Exclusive[a.Call.Class]
}
