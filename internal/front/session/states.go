package session

import (
	"cherryramp/internal/decide/slowclient"
	"cherryramp/internal/loop"
)

// state is what a connection is doing. One that has a limit is ended when it
// stays too long.
type state uint8

const (
	outside state = iota // in no list: not yet heard of on the loop, or closed
	silent               // it has brought no whole request yet
	idle                 // no request is open
	parked               // the same, for long
	reading              // a further request has come in part
	busy                 // a request is open
	ending               // its last answer is on its way
	sending              // an answer goes out and no request is open; so many states as there are ranks of pace
	states  = sending + state(slowclient.NumRanks)
)

// sends tells whether a state is one of those in which an answer goes out.
func (s state) sends() bool { return s >= sending }

// list is the connections in one state, in the order in which they came into
// it. All may stay equally long, so the first is the next to be ended, and one
// deadline serves them all. A connection costs its two links.
type list struct {
	server *Server
	head   conn // of a ring
	count  int
	most   loop.Micros // that one may stay; 0: as long as it likes
	ended  func(*conn) // what becomes of one that stayed as long
	due    loop.Deadline
	at     loop.Micros // that it was set for
}

func (l *list) init(s *Server) {
	l.server = s
	l.head.prev, l.head.next = &l.head, &l.head
	l.due.Init(l.expire)
}

// enter takes a connection from its state to another.
func (c *conn) enter(to state) {
	s := c.server
	if c.next != nil {
		c.prev.next, c.next.prev = c.next, c.prev
		c.prev, c.next = nil, nil
		s.lists[c.state].count--
	}
	if c.meter != nil && to != c.state && !(to.sends() && c.state.sends()) {
		s.cfg.Pace.End(c.meter, c.origin())
		c.meter = nil
	}
	c.state = to
	if to == outside {
		return
	}
	l := &s.lists[to]
	c.since = s.loop.Now()
	c.prev, c.next = l.head.prev, &l.head
	c.prev.next, l.head.prev = c, c
	l.count++
	l.watch()
}

// limit is how long one may stay now.
func (l *list) limit() loop.Micros {
	s := l.server
	if s.cfg.AdaptiveIdle && (l == &s.lists[idle] || l == &s.lists[parked]) {
		return s.account.IdleTimeout(l.most)
	}
	return l.most
}

// watch has the first looked at when its time is up. Nothing is due where nobody
// is in the state, and the deadline is not put off for who leaves it early: it
// comes, finds the first one young, and is set anew. As places fill it is brought
// forward.
func (l *list) watch() {
	if l.most == 0 || l.count == 0 {
		return
	}
	at := l.head.next.since + l.limit()
	if !l.due.Pending() || l.server.cfg.AdaptiveIdle && at < l.at-l.most/8 {
		l.at = at
		l.server.loop.SetCoarse(&l.due, at)
	}
}

func (l *list) expire() {
	now := l.server.loop.Now()
	for c := l.head.next; c != &l.head && now-c.since >= l.limit(); c = l.head.next {
		l.ended(c) // which takes it to another state
	}
	l.watch()
}

// mostPassed is how many that a full socket holds up are passed over for the
// least missed.
const mostPassed = 8

// least gives the one that has been in the state for longest, if it came into it
// before a moment.
func (l *list) least(before loop.Micros) *conn {
	passed := 0
	for c := l.head.next; c != &l.head && c.since <= before && passed < mostPassed; c = c.next {
		if !c.tc.Blocked() {
			return c
		}
		passed++
	}
	return nil
}

// each visits all; what is visited may leave the state.
func (l *list) each(visit func(c *conn)) {
	for c := l.head.next; c != nil && c != &l.head; {
		next := c.next
		visit(c)
		c = next
	}
}
