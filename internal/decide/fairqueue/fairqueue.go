// Package fairqueue is the bounded queue before the pool that checks costly
// signatures. It decides whose is checked next and, when it is full, who goes.
//
// Tenants take turns, and within a tenant the prefixes of addresses do, so that
// neither one tenant's clients nor one address can spend the pool. Prefixes that
// brought forged signatures lately wait behind the others of their tenant, but
// get every eighth of its turns, so that nobody starves. When the queue is full,
// the last in the longest lane of the tenant that holds most has to go, suspects
// first; that may be the newcomer.
package fairqueue

import "net/netip"

// Job waits for its turn.
type Job struct {
	Tenant  string
	Prefix  netip.Prefix
	Suspect bool
	Value   any

	lane       *lane
	prev, next *Job // in its lane
}

// suspectTurn is the share of a tenant's turns that its suspects get while
// others wait.
const suspectTurn = 8

// Queue holds jobs, so many at most. It is used by one goroutine.
type Queue struct {
	maxJobs int
	count   int
	tenants []*tenant // in turn, those with jobs
	current int
	byName  map[string]*tenant
}

type tenant struct {
	name   string
	count  int
	turns  int
	groups [2]group // others, suspects
}

// row is the lanes of one rank.
type group struct {
	lanes    map[netip.Prefix]*lane
	ring     lane    // of lanes in turn
	byLength []*lane // by length less one, the first of those that have it
	count    int
}

// lane is the jobs of one prefix.
type lane struct {
	group              *group
	tenant             *tenant
	prefix             netip.Prefix
	first              *Job
	last               *Job
	count              int
	prev, next         *lane // in the ring
	prevSame, nextSame *lane // of the same length
}

// New makes a queue.
func New(maxJobs int) *Queue { return &Queue{maxJobs: maxJobs, byName: map[string]*tenant{}} }

// Len counts the jobs.
func (q *Queue) Len() int { return q.count }

// Push takes a job. Where there is no room, it gives the job that has to go
// instead, which may be the same.
func (q *Queue) Push(j *Job) (evicted *Job) {
	t := q.byName[j.Tenant]
	if t == nil {
		t = &tenant{name: j.Tenant}
		for i := range t.groups {
			r := &t.groups[i]
			r.lanes = map[netip.Prefix]*lane{}
			r.ring.prev, r.ring.next = &r.ring, &r.ring
		}
		q.byName[j.Tenant] = t
		q.tenants = append(q.tenants, t)
	}
	r := &t.groups[0]
	if j.Suspect {
		r = &t.groups[1]
	}
	l := r.lanes[j.Prefix]
	if l == nil {
		l = &lane{group: r, tenant: t, prefix: j.Prefix}
		r.lanes[j.Prefix] = l
		l.prev, l.next = r.ring.prev, &r.ring
		l.prev.next, l.next.prev = l, l
	}
	j.lane, j.prev = l, l.last
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
	l.resize(1)
	t.count++
	q.count++
	if q.count <= q.maxJobs {
		return nil
	}
	evicted = q.victim()
	q.Remove(evicted)
	return evicted
}

// least is the job that goes when there is no room.
func (q *Queue) victim() *Job {
	var largest *tenant
	for _, t := range q.tenants { // few
		if largest == nil || t.count > largest.count {
			largest = t
		}
	}
	r := &largest.groups[1]
	if r.count == 0 {
		r = &largest.groups[0]
	}
	return r.byLength[len(r.byLength)-1].last
}

// grow changes a lane's length by one and keeps it among those of its length.
func (l *lane) resize(delta int) {
	r := l.group
	if l.count > 0 {
		if l.prevSame != nil {
			l.prevSame.nextSame = l.nextSame
		} else {
			r.byLength[l.count-1] = l.nextSame
		}
		if l.nextSame != nil {
			l.nextSame.prevSame = l.prevSame
		}
	}
	l.count += delta
	r.count += delta
	if l.count > 0 {
		if l.count > len(r.byLength) {
			r.byLength = append(r.byLength, nil)
		}
		l.prevSame, l.nextSame = nil, r.byLength[l.count-1]
		if l.nextSame != nil {
			l.nextSame.prevSame = l
		}
		r.byLength[l.count-1] = l
	}
	for len(r.byLength) > 0 && r.byLength[len(r.byLength)-1] == nil {
		r.byLength = r.byLength[:len(r.byLength)-1]
	}
}

// Remove takes a job out that is still waiting.
func (q *Queue) Remove(j *Job) {
	l := j.lane
	if l == nil {
		return
	}
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		l.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		l.last = j.prev
	}
	j.lane, j.prev, j.next = nil, nil, nil
	l.resize(-1)
	l.tenant.count--
	q.count--
	if l.count == 0 {
		l.prev.next, l.next.prev = l.next, l.prev
		delete(l.group.lanes, l.prefix)
	}
	if l.tenant.count == 0 {
		delete(q.byName, l.tenant.name)
		for i, t := range q.tenants {
			if t == l.tenant {
				q.tenants = append(q.tenants[:i], q.tenants[i+1:]...)
				if i < q.current {
					q.current--
				}
				break
			}
		}
	}
}

// Pop gives the next job, or nil.
func (q *Queue) Pop() *Job {
	if q.count == 0 {
		return nil
	}
	q.current %= len(q.tenants)
	t := q.tenants[q.current]
	q.current++
	t.turns++
	r := &t.groups[0]
	if r.count == 0 || t.groups[1].count > 0 && t.turns%suspectTurn == 0 {
		r = &t.groups[1]
	}
	l := r.ring.next
	l.prev.next, l.next.prev = l.next, l.prev // to the end of its ring
	l.prev, l.next = r.ring.prev, &r.ring
	l.prev.next, l.next.prev = l, l
	j := l.first
	q.Remove(j)
	return j
}
