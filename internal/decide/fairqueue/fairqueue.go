// Package fairqueue implements the bounded, fair queue in front of the worker pool
// that verifies expensive signatures. It decides which job is next and, when the
// queue is full, which one is evicted.
//
// Tenants are served round robin, and so are the address prefixes within a tenant,
// so that neither one tenant's clients nor one address can use up the pool. Prefixes
// that recently sent forged signatures (suspects) rank behind the others of their
// tenant, but get every eighth of its turns, so that they do not starve. When the
// queue is full, the last job of the longest lane of the tenant with the most jobs is
// evicted, suspects first; that may be the new job.
package fairqueue

import "net/netip"

// Job is a queued signature check.
type Job struct {
	Tenant  string
	Prefix  netip.Prefix // of the client's address
	Suspect bool         // the prefix recently sent forged signatures
	Value   any          // for the caller's use

	lane       *lane
	prev, next *Job // in its lane
}

// suspectTurn is the interval, in turns of a tenant, at which its suspects are
// served while others wait.
const suspectTurn = 8

// Queue is a bounded queue of jobs. It is not safe for concurrent use.
type Queue struct {
	maxJobs int
	count   int
	tenants []*tenant // those with jobs, in round-robin order
	current int       // index of the tenant to serve next
	byName  map[string]*tenant
}

// tenant holds the jobs of one tenant.
type tenant struct {
	name   string
	count  int
	turns  int
	groups [2]group // others, suspects
}

// group holds the lanes of either the suspects or the others of a tenant.
type group struct {
	lanes    map[netip.Prefix]*lane
	ring     lane    // sentinel of the lanes in round-robin order
	byLength []*lane // index: length minus 1; head of the list of lanes of that length
	count    int     // jobs in all lanes
}

// lane is the queue of one prefix.
type lane struct {
	group              *group
	tenant             *tenant
	prefix             netip.Prefix
	first              *Job
	last               *Job
	count              int
	prev, next         *lane // in the ring
	prevSame, nextSame *lane // list of the lanes of the same length
}

// New returns an empty queue for at most maxJobs jobs.
func New(maxJobs int) *Queue { return &Queue{maxJobs: maxJobs, byName: map[string]*tenant{}} }

// Len returns the number of jobs.
func (q *Queue) Len() int { return q.count }

// Push adds a job. If the queue is full, it evicts and returns a job, which may be
// the new one.
func (q *Queue) Push(j *Job) (evicted *Job) {
	t := q.byName[j.Tenant]
	if t == nil {
		t = &tenant{name: j.Tenant}
		for i := range t.groups {
			g := &t.groups[i]
			g.lanes = map[netip.Prefix]*lane{}
			g.ring.prev, g.ring.next = &g.ring, &g.ring
		}
		q.byName[j.Tenant] = t
		q.tenants = append(q.tenants, t)
	}
	g := &t.groups[0]
	if j.Suspect {
		g = &t.groups[1]
	}
	l := g.lanes[j.Prefix]
	if l == nil {
		l = &lane{group: g, tenant: t, prefix: j.Prefix}
		g.lanes[j.Prefix] = l
		l.prev, l.next = g.ring.prev, &g.ring
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

// victim returns the job to evict from a full queue.
func (q *Queue) victim() *Job {
	var largest *tenant
	for _, t := range q.tenants { // few
		if largest == nil || t.count > largest.count {
			largest = t
		}
	}
	g := &largest.groups[1]
	if g.count == 0 {
		g = &largest.groups[0]
	}
	return g.byLength[len(g.byLength)-1].last
}

// resize changes a lane's length by one and moves it to the list of its new length.
func (l *lane) resize(delta int) {
	g := l.group
	if l.count > 0 {
		if l.prevSame != nil {
			l.prevSame.nextSame = l.nextSame
		} else {
			g.byLength[l.count-1] = l.nextSame
		}
		if l.nextSame != nil {
			l.nextSame.prevSame = l.prevSame
		}
	}
	l.count += delta
	g.count += delta
	if l.count > 0 {
		if l.count > len(g.byLength) {
			g.byLength = append(g.byLength, nil)
		}
		l.prevSame, l.nextSame = nil, g.byLength[l.count-1]
		if l.nextSame != nil {
			l.nextSame.prevSame = l
		}
		g.byLength[l.count-1] = l
	}
	for len(g.byLength) > 0 && g.byLength[len(g.byLength)-1] == nil {
		g.byLength = g.byLength[:len(g.byLength)-1]
	}
}

// Remove removes a job from the queue. It does nothing for a job that is not queued.
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

// Pop removes and returns the next job, or nil if the queue is empty.
func (q *Queue) Pop() *Job {
	if q.count == 0 {
		return nil
	}
	q.current %= len(q.tenants)
	t := q.tenants[q.current]
	q.current++
	t.turns++
	g := &t.groups[0]
	if g.count == 0 || t.groups[1].count > 0 && t.turns%suspectTurn == 0 {
		g = &t.groups[1]
	}
	l := g.ring.next
	l.prev.next, l.next.prev = l.next, l.prev // move the lane to the end of its ring
	l.prev, l.next = g.ring.prev, &g.ring
	l.prev.next, l.next.prev = l, l
	j := l.first
	q.Remove(j)
	return j
}
