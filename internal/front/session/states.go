package session

import (
	"cherryramp/internal/decide/slowclient"
	"cherryramp/internal/loop"
)

// state is the activity of a connection. A connection that stays in a state longer
// than its list allows is closed or checked; see applyBounds.
type state uint8

const (
	unlisted  state = iota // in no list: not yet known to the loop, or closed
	silent                 // no complete request has arrived yet
	idle                   // no request is open
	parked                 // idle for long, with little memory held
	reading                // part of a request has arrived
	busy                   // a request is open
	ending                 // closing, perhaps with the last answer still being sent
	sending                // an answer is being sent and no request is open; one state per rank of slowclient
	numStates = sending + state(slowclient.NumRanks)
)

// isSending reports whether s is one of the sending states.
func (s state) isSending() bool { return s >= sending }

// list holds the connections of one state in the order in which they entered it. All
// have the same time limit, so the first expires next and one deadline serves the
// whole list. A connection costs two links.
type list struct {
	server   *Server
	head     conn // sentinel of the ring
	count    int
	maxStay  loop.Micros // time limit of the state; 0: none
	onExpire func(*conn) // called for a connection at its limit; moves it to another state
	due      loop.Deadline
	dueAt    loop.Micros // time for which due is set
}

func (l *list) init(s *Server) {
	l.server = s
	l.head.prev, l.head.next = &l.head, &l.head
	l.due.Init(l.expire)
}

// setState moves a connection to the end of another state's list.
func (c *conn) setState(to state) {
	s := c.server
	if c.next != nil {
		c.prev.next, c.next.prev = c.next, c.prev
		c.prev, c.next = nil, nil
		s.lists[c.state].count--
	}
	if c.meter != nil && to != c.state && !(to.isSending() && c.state.isSending()) {
		s.cfg.Pace.End(c.meter, c.clientPrefix())
		c.meter = nil
	}
	c.state = to
	if to == unlisted {
		return
	}
	l := &s.lists[to]
	c.stateSince = s.loop.Now()
	c.prev, c.next = l.head.prev, &l.head
	c.prev.next, l.head.prev = c, c
	l.count++
	l.schedule()
}

// limit returns the current time limit of the state.
func (l *list) limit() loop.Micros {
	s := l.server
	if s.cfg.AdaptiveIdle && (l == &s.lists[idle] || l == &s.lists[parked]) {
		return s.account.IdleTimeout(l.maxStay)
	}
	return l.maxStay
}

// schedule sets the deadline for the first connection of the list. It does nothing
// for an empty list, and does not move the deadline when a connection leaves early:
// expire then finds nothing due and schedules again. With AdaptiveIdle the deadline
// is brought forward as the limit shrinks.
func (l *list) schedule() {
	if l.maxStay == 0 || l.count == 0 {
		return
	}
	at := l.head.next.stateSince + l.limit()
	if !l.due.Pending() || l.server.cfg.AdaptiveIdle && at < l.dueAt-l.maxStay/8 {
		l.dueAt = at
		l.server.loop.SetCoarse(&l.due, at)
	}
}

func (l *list) expire() {
	now := l.server.loop.Now()
	for c := l.head.next; c != &l.head && now-c.stateSince >= l.limit(); c = l.head.next {
		l.onExpire(c) // leaves the state
	}
	l.schedule()
}

// maxBlockedSkipped limits the connections with a full socket that are skipped in
// the search for one to evict.
const maxBlockedSkipped = 8

// oldestUnblocked returns the connection without a full socket that has been in the
// state for longest, if it entered it no later than before; nil if there is none.
func (l *list) oldestUnblocked(before loop.Micros) *conn {
	skipped := 0
	for c := l.head.next; c != &l.head && c.stateSince <= before && skipped < maxBlockedSkipped; c = c.next {
		if !c.tc.Blocked() {
			return c
		}
		skipped++
	}
	return nil
}

// each calls visit for all connections of the list, which visit may move away.
func (l *list) each(visit func(c *conn)) {
	for c := l.head.next; c != nil && c != &l.head; {
		next := c.next
		visit(c)
		c = next
	}
}
