package upstream

import (
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// serverPool holds the connections to one server and the attempts that wait for them.
type serverPool struct {
	pools      *Pools
	name       string
	addr       string
	startedAt  gateway.Micros
	conns      []*conn
	dialing    int   // dials within Config.ConnectTimeout
	longDial   *dial // the one that may take longer; nil: none
	dialFailed bool  // the last dial failed
	dialPaused bool  // dialing waits for redialDelay after a resource shortage of this machine
	shortages  int   // dials in a row that failed for a resource shortage
	removed    bool  // the server has left the list
	waiting    []*gateway.Attempt
}

// releaseWaiting ends waiting attempts that may no longer be sent, so that they can go to
// another server in time.
func (pool *serverPool) releaseWaiting() {
	for _, a := range pool.takeWaiting(func(a *gateway.Attempt) bool { return !pool.pools.controller.CanSend(a) }) {
		pool.pools.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
	}
}

// takeWaiting removes and returns the waiting attempts that match.
func (pool *serverPool) takeWaiting(match func(a *gateway.Attempt) bool) (removed []*gateway.Attempt) {
	pool.waiting = slices.DeleteFunc(pool.waiting, func(a *gateway.Attempt) bool {
		if match(a) {
			removed = append(removed, a)
			return true
		}
		return false
	})
	return removed
}

// dispatch sends waiting attempts on suitable connections, and opens another one if they
// don't suffice, or if too many attempts would break with one connection. An attempt that
// no connection suits does not delay those behind it.
func (pool *serverPool) dispatch() {
	wanted := 0
	for i := 0; i < len(pool.waiting); {
		a := pool.waiting[i]
		c, cost := pool.pick(a)
		if c == nil && !pool.blockedByID(a) {
			break // no connection takes any of the rest either
		}
		if c == nil || cost >= exclusiveCost {
			pool.makeRoom(a, c == nil)
			if c != nil && c.draining { // c itself was drained to make room
				continue
			}
		}
		switch {
		case c == nil && !pool.canOpen() && pool.dialing == 0: // its id conflicts on all allowed connections
			pool.waiting = slices.Delete(pool.waiting, i, i+1)
			pool.pools.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
			continue
		case c == nil:
			wanted++
			i++
			continue
		case cost >= shareThreshold && pool.canOpen() && !pool.dialFailed:
			if wanted++; cost >= silentCost { // it waits for a new connection
				i++
				continue
			}
		}
		pool.waiting = slices.Delete(pool.waiting, i, i+1)
		pool.send(c, a)
	}
	streams := max(1, pool.pools.cfg.Streams)
	if pool.dialPaused {
		return
	}
	if (len(pool.waiting) > pool.dialing*streams || wanted > pool.dialing) && pool.canOpen() {
		if pool.pools.atTotalLimit() {
			pool.pools.evictIdle(pool)
			if len(pool.conns)+pool.dialing == 0 { // no connection will come; the server is not to blame
				for _, a := range pool.takeWaiting(func(*gateway.Attempt) bool { return true }) {
					pool.pools.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
				}
			}
			return
		}
		pool.dial()
	}
}

// blockedByID reports whether a connection rejects an attempt only because of its id; see
// conflicts.
func (pool *serverPool) blockedByID(a *gateway.Attempt) bool {
	return slices.ContainsFunc(pool.conns, func(c *conn) bool { return !c.draining && c.conflicts(a) })
}

// canOpen reports whether another connection may be opened. Draining ones, which may
// stay open as long as their last attempt, don't count against MaxConns, but the total
// is limited to twice as many.
func (pool *serverPool) canOpen() bool {
	live := pool.dialing
	for _, c := range pool.conns {
		if !c.draining {
			live++
		}
	}
	maxConns := pool.pools.cfg.MaxConns
	return live < maxConns && len(pool.conns)+pool.dialing < 2*maxConns
}

// makeRoom drains a connection if no other may be opened: one with nothing open or, if
// the attempt suits no connection, the least busy one that conflicts with it.
func (pool *serverPool) makeRoom(a *gateway.Attempt, blocked bool) {
	if pool.canOpen() {
		return
	}
	var target *conn
	for _, c := range pool.conns {
		if !c.draining && (len(c.open) == 0 || blocked && c.conflicts(a)) && (target == nil || len(c.open) < len(target.open)) {
			target = c
		}
	}
	if target != nil {
		target.drain()
	}
}

// pick returns the connection with the lowest cost for an attempt, and the cost: the
// number of attempts open there, plus exclusiveCost if one of them or this one is of an
// exclusive class, plus silentCost if the connection is silent or delays answers, since they
// may never arrive. Two attempts of one call never share a connection, since their answers
// could not be distinguished.
func (pool *serverPool) pick(a *gateway.Attempt) (best *conn, lowest int) {
	for _, c := range pool.conns {
		if c.draining || c.conflicts(a) || len(c.open) >= max(1, pool.pools.cfg.Streams) || c.tc.Blocked() {
			continue
		}
		cost := len(c.open)
		if _, known := c.ended[a.Call.ID]; known {
			cost++
		}
		if c.exclusiveOpen > 0 || pool.pools.isExclusive(a) && (cost > 0 || c.stale()) {
			cost += exclusiveCost
		}
		if c.silent() || c.delays() {
			cost += silentCost
		}
		if best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best, lowest
}

// send sends an attempt on a connection, unless the gateway forbids it now.
func (pool *serverPool) send(c *conn, a *gateway.Attempt) {
	p := pool.pools
	maxAge, ok := p.controller.PrepareSend(a)
	if !ok {
		p.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
		return
	}
	p.buf = appendServe(p.buf[:0], a, p.cfg.Lanes[a.Call.Class], p.loop.Now(), maxAge)
	whole, err := c.tc.Send(p.buf)
	if err != nil { // the node can't have received it whole
		c.draining = true
		c.tc.Close()
		p.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.ConnectFailed})
		return
	}
	p.loop.Stop(c.idleTimer)
	c.idleTimer, c.used = nil, true
	if len(c.open) == 0 {
		c.activeSince = c.pool.pools.loop.Now()
	}
	c.open[a.Call.ID] = a
	p.connByAttempt[a] = c
	if p.isExclusive(a) {
		c.exclusiveOpen++
	}
	if !whole {
		c.partial = a
	}
}

// redialLater dials again after redialDelay: this machine lacked resources for a connection, for
// which the server is not to blame. After maxShortages in a row the waiting attempts are ended,
// so that they can go to another server.
func (pool *serverPool) redialLater(err error) {
	p := pool.pools
	pool.dialPaused = true
	pool.shortages++
	p.log.Warn("connection can't be opened here", "server", pool.name, "error", err, "waiting", len(pool.waiting))
	if pool.shortages >= maxShortages && len(pool.conns)+pool.dialing == 0 {
		for _, a := range pool.takeWaiting(func(*gateway.Attempt) bool { return true }) {
			p.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
		}
	}
	p.loop.At(p.loop.Now()+redialDelay, func() {
		pool.dialPaused = false
		pool.dispatch()
	})
}

// failWaiting ends all waiting attempts if no connection is left that would take them.
func (pool *serverPool) failWaiting() {
	for _, c := range pool.conns {
		if !c.draining {
			return
		}
	}
	waiting := pool.waiting
	pool.waiting = nil
	for _, a := range waiting {
		pool.pools.controller.EndAttempt(a, gateway.AttemptResult{Code: rules.ConnectFailed})
	}
}
