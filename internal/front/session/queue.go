package session

import (
	"cherryramp/internal/decide/admission"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
)

// Queue holds requests until they are admitted, for all fronts that share it. The
// limiter decides which are queued, admitted or refused. It must be used on the
// loop only.
type Queue struct {
	loop        *loop.Loop
	limiter     *admission.Limiter
	timer       loop.Deadline
	dueAt       loop.Micros // time for which timer is set
	dispatching bool
}

// NewQueue returns a queue that follows a limiter's decisions.
func NewQueue(l *loop.Loop, limiter *admission.Limiter) *Queue {
	q := &Queue{loop: l, limiter: limiter}
	q.timer.Init(q.dispatch)
	return q
}

// UpdateClasses sets the worth of the classes. Known classes keep their indexes; new
// ones are added behind them.
func (q *Queue) UpdateClasses(worth []float64) { q.limiter.UpdateClasses(worth) }

// admit starts, queues or refuses the open call of a connection.
func (q *Queue) admit(c *conn) {
	now := q.loop.Now()
	c.ticket = &admission.Ticket{Class: c.call.Class, Prefix: c.clientPrefix(), Deadline: c.call.Deadline, Value: c}
	switch verdict, retryAfter, displaced := q.limiter.Admit(c.ticket, now); verdict {
	case admission.Admitted:
		c.startCall(now)
	case admission.Refused:
		c.refuseCall(retryAfter)
	case admission.Queued:
		if displaced != nil {
			displaced.Value.(*conn).refuseCall(retryAfter)
		}
		q.schedule()
	}
}

// startCall submits an admitted call.
func (c *conn) startCall(now loop.Micros) {
	c.admittedAt = now
	c.server.handler.Submit(c.call)
}

// refuseCall refuses a call that was never submitted and so had no effect.
func (c *conn) refuseCall(retryAfter loop.Micros) {
	c.ticket = nil
	c.finishCall(gateway.Answer{Kind: gateway.Refused, RetryAfter: retryAfter})
}

// release frees the slot of a connection's open call, or removes it from the queue.
func (q *Queue) release(c *conn, answered bool) {
	t, now := c.ticket, q.loop.Now()
	c.ticket = nil
	if t.Queued() {
		q.limiter.Cancel(t)
	} else {
		q.limiter.Done(t.Class, now-c.admittedAt, now, answered)
		c.admittedAt = 0
	}
	if !q.dispatching { // otherwise the running dispatch goes on
		q.dispatch()
	}
}

// dispatch starts queued calls while the limiter admits them, and refuses those whose
// time has run out.
func (q *Queue) dispatch() {
	q.dispatching = true
	for {
		t, admitted, retryAfter := q.limiter.Next(q.loop.Now())
		if t == nil {
			break
		}
		if c := t.Value.(*conn); admitted {
			c.startCall(q.loop.Now())
		} else {
			c.refuseCall(retryAfter)
		}
	}
	q.dispatching = false
	q.schedule()
}

// RefuseAll refuses all queued calls, for a program that is about to exit.
func (q *Queue) RefuseAll() {
	for t := q.limiter.Drop(); t != nil; t = q.limiter.Drop() {
		t.Value.(*conn).refuseCall(0)
	}
}

// schedule sets the timer for the limiter's next check.
func (q *Queue) schedule() {
	at, ok := q.limiter.NextCheck()
	if !ok {
		q.loop.Stop(&q.timer)
	} else if !q.timer.Pending() || at < q.dueAt {
		q.dueAt = at
		q.loop.Set(&q.timer, at)
	}
}
