package upstream

import (
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/internal/transport"
	"cherryramp/rules"
)

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

// release ends what waits and may no longer leave, so that it can go elsewhere in time.
func (x *pool) release() {
	for _, a := range x.take(func(a *gateway.Attempt) bool { return !x.all.gate.CanSend(a) }) {
		x.all.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
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
			x.all.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
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
					x.all.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
				}
			}
			return
		}
		x.dial()
	}
}

// barred tells whether there are connections that would take an attempt, but for its id
// having been on them.
func (x *pool) barred(a *gateway.Attempt) bool {
	return slices.ContainsFunc(x.conns, func(c *conn) bool { return !c.draining && c.knows(a) })
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
	most := x.all.cfg.MaxConns
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
		if len(c.open) > 0 && c.pool.all.loop.Now()-c.since > c.pool.all.cfg.SilentTimeout {
			cost += silentCost
		}
		if best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best, least
}

func (x *pool) send(c *conn, a *gateway.Attempt) {
	p := x.all
	maxAge, ok := p.gate.PrepareSend(a)
	if !ok {
		p.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
		return
	}
	p.buf = appendServe(p.buf[:0], a, p.cfg.Lanes[a.Call.Class], p.loop.Now(), maxAge)
	whole, err := c.tc.Send(p.buf)
	if err != nil { // nothing of it can have come whole
		c.draining = true
		c.tc.Close()
		p.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.ConnectFailed})
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
	p.net.Dial(addr, max(p.cfg.InputBuffer, inputLeast*MaxAnswerBytes), c, p.loop.Now()+p.cfg.ConnectTimeout,
		func(tc Conn, err error) {
			x.dialing--
			if err != nil {
				p.held--
			}
			if transport.IsResourceShortage(err) {
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
			p.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
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
		x.all.gate.EndAttempt(a, gateway.AttemptResult{Code: rules.ConnectFailed})
	}
}
