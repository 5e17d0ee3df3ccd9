package upstream

import (
	"maps"
	"slices"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// endedID records an id whose attempt has ended on a connection. Answers contain only the
// id, so a late one can't be distinguished from the answer to the id's next attempt.
type endedID struct {
	deadline gateway.Micros // the call's deadline; the id is not used again after it
	answered bool           // an answer has arrived, so only a duplicate may follow, which is rare
}

// conn is one connection to a cache node.
type conn struct {
	pool          *serverPool
	tc            Conn
	open          map[string]*gateway.Attempt
	ended         map[string]endedID // ended ids to which answers may still arrive
	partial       *gateway.Attempt   // the attempt that a full socket has not taken whole
	exclusiveOpen int                // open attempts of exclusive classes
	used          bool
	draining      bool           // takes no new attempts; closed when nothing is open
	unanswered    int            // attempts given up since the last data arrived
	activeSince   gateway.Micros // when the last data arrived or, if later, an attempt was sent with nothing open
	idleTimer     *loop.Deadline
	answerTimer   *loop.Deadline // runs while part of an answer has arrived
	answerBegan   gateway.Micros // when its first part arrived
}

// cutPartial closes a connection on which an attempt is only partly sent, so that its rest is
// never sent, and reports whether there was one. If the socket has just taken the rest, and
// Drained is about to follow, there is none.
func (c *conn) cutPartial() bool {
	if c.partial != nil && !c.tc.CloseIfBlocked() {
		c.partial = nil
	}
	return c.partial != nil
}

// rememberID records an id that has ended on a connection until its call's deadline. A
// connection with more than maxEndedIDs of them is drained.
func (c *conn) rememberID(a *gateway.Attempt, answered bool) {
	if len(c.ended) >= maxEndedIDs {
		now := c.pool.pools.loop.Now()
		maps.DeleteFunc(c.ended, func(_ string, p endedID) bool { return p.deadline <= now })
	}
	if c.ended[a.Call.ID] = (endedID{deadline: a.Call.Deadline, answered: answered}); len(c.ended) > maxEndedIDs && !c.draining {
		c.pool.pools.log.Info("connection drained", "server", c.pool.name, "ended_ids", len(c.ended))
		c.draining = true
	}
}

// conflicts reports whether an attempt must not use a connection because of its id: the
// id is open there, or a late answer to it could be taken for this attempt's answer.
// Duplicate answers are so rare that after an answer only attempts must avoid the
// connection that must not run twice, or be open twice.
func (c *conn) conflicts(a *gateway.Attempt) bool {
	if _, open := c.open[a.Call.ID]; open {
		return true
	}
	p, known := c.ended[a.Call.ID]
	cfg := &c.pool.pools.cfg
	return known && (!p.answered || !cfg.Hedges || a.Call.Class >= len(cfg.Repeatable) || !cfg.Repeatable[a.Call.Class])
}

// stale reports whether a connection has been idle after use: the node may have reset
// it, and an attempt sent before that is noticed may or may not have run.
func (c *conn) stale() bool {
	return c.used && len(c.open) == 0 && c.pool.pools.loop.Now()-c.activeSince > maxFreshIdle
}

func (c *conn) removeAttempt(a *gateway.Attempt) {
	delete(c.open, a.Call.ID)
	if c.pool.pools.isExclusive(a) {
		c.exclusiveOpen--
	}
	delete(c.pool.pools.connByAttempt, a)
	if c.partial == a {
		c.partial = nil
	}
}

func (c *conn) drain() {
	c.draining = true
	c.closeOrIdle()
}

// closeOrIdle closes a draining connection with nothing open, and starts the idle timer
// of any other.
func (c *conn) closeOrIdle() {
	if len(c.open) > 0 {
		return
	}
	if c.draining {
		c.tc.Close()
		return
	}
	l := c.pool.pools.loop
	l.Stop(c.idleTimer)
	c.idleTimer = l.At(l.Now()+c.pool.pools.cfg.IdleTimeout, func() {
		c.draining = true
		c.tc.Close()
	})
}

// Readable handles the answers that have arrived. It ignores those with ids that are not
// open, such as duplicates and answers to attempts that were given up.
func (c *conn) Readable() {
	c.unanswered, c.activeSince = 0, c.pool.pools.loop.Now()
	for {
		var ans answer
		var used, available int
		var err error
		c.tc.Consume(func(b []byte) int {
			available = len(b)
			ans, used, err = parseAnswer(b)
			return used
		})
		if err == nil && used == 0 && c.tc.Overflowed() {
			err = errOverflow
		}
		if err != nil {
			c.abort(err)
			return
		}
		if used == 0 {
			c.trackAnswer(available > 0)
			break
		}
		c.trackAnswer(false)
		if a := c.open[ans.id]; a != nil {
			if !ans.matchesTag(a.Call.Tag) {
				c.abort(errUnrequestedTag)
				return
			}
			c.removeAttempt(a)
			if ans.result.Code != rules.OK { // otherwise its call is over
				c.rememberID(a, true)
			}
			c.pool.pools.controller.EndAttempt(a, ans.result)
		}
	}
	c.closeOrIdle()
	c.pool.dispatch()
}

// trackAnswer limits the time for a partly arrived answer to become complete, and the time
// without another part of it.
func (c *conn) trackAnswer(begun bool) {
	l := c.pool.pools.loop
	now := l.Now()
	switch {
	case !begun:
		l.Stop(c.answerTimer)
		c.answerTimer = nil
	case c.answerTimer == nil:
		c.answerBegan = now
		c.answerTimer = l.At(now+maxAnswerGap, func() { c.abort(errStalled) })
	default:
		l.Set(c.answerTimer, min(now+maxAnswerGap, c.answerBegan+c.pool.pools.cfg.AnswerTimeout))
	}
}

// delays reports whether answers wait behind one that has been arriving for long.
func (c *conn) delays() bool {
	return c.answerTimer != nil && c.pool.pools.loop.Now()-c.answerBegan > maxAnswerGap
}

// silent reports whether attempts are open, and nothing has arrived for long.
func (c *conn) silent() bool {
	return len(c.open) > 0 && c.pool.pools.loop.Now()-c.activeSince > c.pool.pools.cfg.SilentTimeout
}

// abort closes a connection on which a malformed, too long or incomplete answer has
// arrived. All attempts open on it may have run. They end as ConnectionBroken, which
// says little about the server's health.
func (c *conn) abort(err error) {
	c.pool.pools.log.Warn("answer can't be read", "server", c.pool.name, "error", err, "open", len(c.open))
	c.draining = true
	c.cutPartial()
	c.endAll(rules.ConnectionBroken, rules.ConnectionBroken)
	c.tc.Close()
}

// Drained dispatches the attempts that waited for a full socket.
func (c *conn) Drained() {
	c.partial = nil
	c.pool.dispatch()
}

// Closed ends all open attempts; one that was only partly sent never ran. The close
// counts once against the server's health, and not at all if an answer was incomplete.
func (c *conn) Closed() {
	pool := c.pool
	c.draining = true
	pool.pools.numConns--
	pool.pools.loop.Stop(c.idleTimer)
	pool.conns = slices.DeleteFunc(pool.conns, func(o *conn) bool { return o == c })
	first := rules.Reset
	if c.answerTimer != nil {
		first = rules.ConnectionBroken
	}
	c.trackAnswer(false)
	c.endAll(first, rules.ConnectionBroken)
	pool.dispatch()
}

// endAll ends all open attempts: a partly sent one as never run, the first other one
// with the code first, the others with rest.
func (c *conn) endAll(first, rest rules.Code) {
	// Sorted, so that the same events have the same effects.
	open := make([]*gateway.Attempt, 0, len(c.open))
	for _, a := range c.open {
		open = append(open, a)
	}
	slices.SortFunc(open, func(a, b *gateway.Attempt) int { return a.Call.Compare(b.Call) })
	partial := c.partial
	for _, a := range open {
		c.removeAttempt(a)
		code := first
		if a == partial {
			code = rules.ConnectFailed
		} else {
			first = rest
		}
		c.pool.pools.controller.EndAttempt(a, gateway.AttemptResult{Code: code})
	}
}
