package admission

import "net/netip"

// Ticket is one request that asks to be taken. It belongs to the limiter from Ask
// until it is taken, refused or left.
type Ticket struct {
	Class    int
	Prefix   netip.Prefix // of the client
	Deadline Micros       // when the client stops waiting
	Value    any          // the caller's own

	lane      int // one more than its place; 0: it does not wait
	heapIndex int // in the lane's heap
}

// Waits tells whether a ticket stands in the queue.
func (t *Ticket) Queued() bool { return t.lane > 0 }

// lane is the tickets of one class that wait, and of prefixes that are heavy or
// are not; a heap by the time left, so that the first is the next to run out.
type lane struct {
	tickets []*Ticket
	worth   float64
	latency float64 // us that an answer takes of late; 0: unknown
}

// timeLeast stands for an answer's time where it is not known, or is less: a place
// is never held for nothing.
const minLatency = 1000

// heavyLess is what is left of the rank of those of heavy prefixes.
const heavyRankFactor = 1.0 / 8

// rank is the worth that a place earns a second. It orders lanes, not tickets, so
// that no answer's time has to be known for one request.
func (l *lane) rank() float64 { return l.worth / max(minLatency, l.latency) }

// starts is the last moment at which the first ticket can still be taken.
func (l *lane) latestStart() Micros {
	return l.tickets[0].Deadline - Micros(max(minLatency, l.latency))
}

// laneOf gives the place of a class's lane.
func laneIndex(class int, heavy bool) int {
	if heavy {
		return 2*class + 1
	}
	return 2 * class
}

func (l *lane) less(i, j int) bool { return l.tickets[i].Deadline < l.tickets[j].Deadline }

func (l *lane) swap(i, j int) {
	l.tickets[i], l.tickets[j] = l.tickets[j], l.tickets[i]
	l.tickets[i].heapIndex, l.tickets[j].heapIndex = i, j
}

func (l *lane) push(t *Ticket, index int) {
	t.lane, t.heapIndex = index+1, len(l.tickets)
	l.tickets = append(l.tickets, t)
	l.up(t.heapIndex)
}

// take removes the ticket at a place of the heap.
func (l *lane) remove(i int) *Ticket {
	t, last := l.tickets[i], len(l.tickets)-1
	l.swap(i, last)
	l.tickets[last] = nil
	l.tickets = l.tickets[:last]
	if i < last {
		l.down(i)
		l.up(i)
	}
	t.lane = 0
	return t
}

func (l *lane) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !l.less(i, parent) {
			return
		}
		l.swap(i, parent)
		i = parent
	}
}

func (l *lane) down(i int) {
	for {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(l.tickets); child++ {
			if l.less(child, earliest) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		l.swap(i, earliest)
		i = earliest
	}
}

// best is the lane from which the next is taken; nil: nobody waits.
func (l *Limiter) highestRanked() (highest *lane) {
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && (highest == nil || x.rank() > highest.rank()) {
			highest = x
		}
	}
	return highest
}

// worst is the lane that yields when there is no room.
func (l *Limiter) lowestRanked() (lowest *lane) {
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && (lowest == nil || x.rank() < lowest.rank()) {
			lowest = x
		}
	}
	return lowest
}

// ahead counts the tickets that are taken before a new one of a rank.
func (l *Limiter) queuedAhead(rank float64) (n int) {
	for i := range l.lanes {
		if x := &l.lanes[i]; x.rank() >= rank {
			n += len(x.tickets)
		}
	}
	return n
}

// inTime tells whether one with so many before it is answered by a moment, at the
// measured pace of the answers (Little's law).
func (l *Limiter) meetsDeadline(ahead int, queue *lane, deadline, now Micros) bool {
	if l.throughput == 0 {
		return ahead < unmeasuredQueueFactor*int(l.limit)
	}
	return float64(now)+float64(ahead)/l.throughput+max(minLatency, queue.latency) <= float64(deadline)
}

// Next gives a waiting ticket that is to be taken now, or one that is refused
// because it could no longer be answered in time; nil: neither. It is asked after
// Done and at the moment of Due, until it gives nil.
func (l *Limiter) Next(now Micros) (t *Ticket, admitted bool, backoff Micros) {
	if l.waiting == 0 {
		return nil, false, 0
	}
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && x.latestStart() < now {
			l.waiting--
			return x.remove(0), false, l.backoff(now)
		}
	}
	if t := l.popUnmeetable(now); t != nil {
		return t, false, l.backoff(now)
	}
	if l.inFlight >= int(l.limit) {
		return nil, false, 0
	}
	t = l.highestRanked().remove(0)
	l.waiting--
	l.start()
	return t, true, 0
}

// hopeless gives one of those that more has come before than can be answered in
// their time, the nearest its end, so that it is told as soon as that is known.
func (l *Limiter) popUnmeetable(now Micros) *Ticket {
	if l.throughput == 0 || !l.recheck {
		return nil
	}
	for i := range l.lanes {
		x := &l.lanes[i]
		// Those with the most time left are about the last in the heap.
		if n := len(x.tickets); n > 0 && !l.meetsDeadline(l.inFlight+l.queuedAhead(x.rank())-1, x, x.tickets[n-1].Deadline, now) {
			l.waiting--
			return x.remove(0)
		}
	}
	l.recheck = false
	return nil
}

// Due is when Next has to be asked again though nothing was done.
func (l *Limiter) NextCheck() (at Micros, ok bool) {
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && (!ok || x.latestStart() < at) {
			at, ok = x.latestStart(), true
		}
	}
	return at + 1, ok
}

// Leave takes back a ticket that waits, for a client that has gone.
func (l *Limiter) Cancel(t *Ticket) {
	if t.lane > 0 {
		l.lanes[t.lane-1].remove(t.heapIndex)
		l.waiting--
	}
}

// Drop gives one of those that wait, which is refused; nil: nobody waits.
func (l *Limiter) Drop() *Ticket {
	x := l.highestRanked()
	if x == nil {
		return nil
	}
	l.waiting--
	return x.remove(0)
}

// Waiting counts the tickets in the queue.
func (l *Limiter) Waiting() int { return l.waiting }
