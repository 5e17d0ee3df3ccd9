package session

import (
	"cherryramp/internal/decide/admission"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
)

// Queue is where requests wait for a place, for all fronts that share it. Who
// waits, who is taken and who is refused, the limiter decides. It is used on the
// loop only.
type Queue struct {
	loop    *loop.Loop
	limiter *admission.Limiter
	due     loop.Deadline
	dueAt   loop.Micros // that it was set for
	pumping bool
}

// NewQueue makes a queue round a limiter.
func NewQueue(l *loop.Loop, x *admission.Limiter) *Queue {
	q := &Queue{loop: l, limiter: x}
	q.due.Init(q.pump)
	return q
}

// Renew takes the worth of further classes; those known so far keep their places.
func (q *Queue) UpdateClasses(worth []float64) { q.limiter.UpdateClasses(worth) }

// ask has a connection's open call taken, or waits with it, or refuses it.
func (q *Queue) ask(c *conn) {
	now := q.loop.Now()
	c.ticket = &admission.Ticket{Class: c.call.Class, Prefix: c.origin(), Deadline: c.call.Deadline, Value: c}
	switch v, away, yields := q.limiter.Admit(c.ticket, now); v {
	case admission.Admitted:
		c.turn(now)
	case admission.Refused:
		c.turnDown(away)
	case admission.Queued:
		if yields != nil {
			yields.Value.(*conn).turnDown(away)
		}
		q.watch()
	}
}

// turn hands over a call that has its place.
func (c *conn) turn(now loop.Micros) {
	c.taken = now
	c.server.desk.Submit(c.call)
}

// turnDown refuses a call that has reached nothing, so that it is harmless.
func (c *conn) turnDown(away loop.Micros) {
	c.ticket = nil
	c.answer(gateway.Answer{Kind: gateway.Refused, RetryAfter: away})
}

// done gives back what a connection's open call holds: its place, or its turn.
func (q *Queue) done(c *conn, answered bool) {
	t, now := c.ticket, q.loop.Now()
	c.ticket = nil
	if t.Queued() {
		q.limiter.Cancel(t)
	} else {
		q.limiter.Done(t.Class, now-c.taken, now, answered)
		c.taken = 0
	}
	if !q.pumping { // else whoever pumps goes on
		q.pump()
	}
}

// pump hands over calls as long as there are places, and refuses those whose time
// has run out.
func (q *Queue) pump() {
	q.pumping = true
	for {
		t, taken, away := q.limiter.Next(q.loop.Now())
		if t == nil {
			break
		}
		if c := t.Value.(*conn); taken {
			c.turn(q.loop.Now())
		} else {
			c.turnDown(away)
		}
	}
	q.pumping = false
	q.watch()
}

// Abandon refuses all that wait, for a program that has to end.
func (q *Queue) RefuseAll() {
	for t := q.limiter.Drop(); t != nil; t = q.limiter.Drop() {
		t.Value.(*conn).turnDown(0)
	}
}

// watch has the next that runs out told in time.
func (q *Queue) watch() {
	at, ok := q.limiter.NextCheck()
	if !ok {
		q.loop.Stop(&q.due)
	} else if !q.due.Pending() || at < q.dueAt {
		q.dueAt = at
		q.loop.Set(&q.due, at)
	}
}
