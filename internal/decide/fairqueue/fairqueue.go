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
	most    int
	count   int
	tenants []*tenant // in turn, those with jobs
	at      int
	byName  map[string]*tenant
}

type tenant struct {
	name  string
	count int
	turn  int
	rows  [2]row // others, suspects
}

// row is the lanes of one rank.
type row struct {
	lanes  map[netip.Prefix]*lane
	ring   lane    // of lanes in turn
	longer []*lane // by length less one, the first of those that have it
	count  int
}

// lane is the jobs of one prefix.
type lane struct {
	row        *row
	tenant     *tenant
	prefix     netip.Prefix
	first      *Job
	last       *Job
	count      int
	prev, next *lane // in the ring
	less, more *lane // of the same length
}

// New makes a queue.
func New(most int) *Queue { return &Queue{most: most, byName: map[string]*tenant{}} }

// Len counts the jobs.
func (q *Queue) Len() int { return q.count }

// Push takes a job. Where there is no room, it gives the job that has to go
// instead, which may be the same.
func (q *Queue) Push(j *Job) (out *Job) {
	t := q.byName[j.Tenant]
	if t == nil {
		t = &tenant{name: j.Tenant}
		for i := range t.rows {
			r := &t.rows[i]
			r.lanes = map[netip.Prefix]*lane{}
			r.ring.prev, r.ring.next = &r.ring, &r.ring
		}
		q.byName[j.Tenant] = t
		q.tenants = append(q.tenants, t)
	}
	r := &t.rows[0]
	if j.Suspect {
		r = &t.rows[1]
	}
	l := r.lanes[j.Prefix]
	if l == nil {
		l = &lane{row: r, tenant: t, prefix: j.Prefix}
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
	l.grow(1)
	t.count++
	q.count++
	if q.count <= q.most {
		return nil
	}
	out = q.least()
	q.Remove(out)
	return out
}

// least is the job that goes when there is no room.
func (q *Queue) least() *Job {
	var most *tenant
	for _, t := range q.tenants { // few
		if most == nil || t.count > most.count {
			most = t
		}
	}
	r := &most.rows[1]
	if r.count == 0 {
		r = &most.rows[0]
	}
	return r.longer[len(r.longer)-1].last
}

// grow changes a lane's length by one and keeps it among those of its length.
func (l *lane) grow(by int) {
	r := l.row
	if l.count > 0 {
		if l.less != nil {
			l.less.more = l.more
		} else {
			r.longer[l.count-1] = l.more
		}
		if l.more != nil {
			l.more.less = l.less
		}
	}
	l.count += by
	r.count += by
	if l.count > 0 {
		if l.count > len(r.longer) {
			r.longer = append(r.longer, nil)
		}
		l.less, l.more = nil, r.longer[l.count-1]
		if l.more != nil {
			l.more.less = l
		}
		r.longer[l.count-1] = l
	}
	for len(r.longer) > 0 && r.longer[len(r.longer)-1] == nil {
		r.longer = r.longer[:len(r.longer)-1]
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
	l.grow(-1)
	l.tenant.count--
	q.count--
	if l.count == 0 {
		l.prev.next, l.next.prev = l.next, l.prev
		delete(l.row.lanes, l.prefix)
	}
	if l.tenant.count == 0 {
		delete(q.byName, l.tenant.name)
		for i, t := range q.tenants {
			if t == l.tenant {
				q.tenants = append(q.tenants[:i], q.tenants[i+1:]...)
				if i < q.at {
					q.at--
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
	q.at %= len(q.tenants)
	t := q.tenants[q.at]
	q.at++
	t.turn++
	r := &t.rows[0]
	if r.count == 0 || t.rows[1].count > 0 && t.turn%suspectTurn == 0 {
		r = &t.rows[1]
	}
	l := r.ring.next
	l.prev.next, l.next.prev = l.next, l.prev // to the end of its ring
	l.prev, l.next = r.ring.prev, &r.ring
	l.prev.next, l.next.prev = l, l
	j := l.first
	q.Remove(j)
	return j
}
