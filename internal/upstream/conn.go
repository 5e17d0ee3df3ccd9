package upstream

import (
	"maps"
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

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

// cut ends a connection on which an attempt has not left whole, so that it never does, and
// tells whether there is one. The socket may have taken the rest, of which Drained is about to tell.
func (c *conn) cut() bool {
	if c.partial != nil && !c.tc.CloseIfBlocked() {
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
	return known && (!p.answered || !cfg.Hedges || a.Call.Class >= len(cfg.Repeatable) || !cfg.Repeatable[a.Call.Class])
}

// stale tells whether a connection has stood idle after use: nodes may have reset
// it, and what is written before that is noticed may or may not have run.
func (c *conn) stale() bool {
	return c.used && len(c.open) == 0 && c.pool.all.loop.Now()-c.since > freshSpan
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
	c.idle = l.At(l.Now()+c.pool.all.cfg.IdleTimeout, func() {
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
		if err == nil && used == 0 && c.tc.Overflowed() {
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
			c.pool.all.gate.EndAttempt(a, ans.end)
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
	c.drop(rules.ConnectionBroken, rules.ConnectionBroken)
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
		first = rules.ConnectionBroken
	}
	c.await(false)
	c.drop(first, rules.ConnectionBroken)
	x.flush()
}

// drop ends all that is open: the first with one code, the rest with another.
func (c *conn) drop(first, rest rules.Code) {
	// In the order of their numbers, so that like events have like effects.
	open := make([]*gateway.Attempt, 0, len(c.open))
	for _, a := range c.open {
		open = append(open, a)
	}
	slices.SortFunc(open, func(a, b *gateway.Attempt) int { return a.Call.Compare(b.Call) })
	partial := c.partial
	for _, a := range open {
		c.forget(a)
		code := first
		if a == partial {
			code = rules.ConnectFailed
		} else {
			first = rest
		}
		c.pool.all.gate.EndAttempt(a, gateway.AttemptResult{Code: code})
	}
}
