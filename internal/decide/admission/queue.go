package admission

import "net/netip"

// Ticket is one request that asks for admission. The Limiter owns it from Admit
// until it is admitted, refused or cancelled.
type Ticket struct {
	Class    int
	Prefix   netip.Prefix // of the client
	Deadline Micros       // when the client stops waiting
	Value    any          // for the caller's use

	lane      int // index of its lane plus 1; 0: not queued
	heapIndex int // in the lane's heap
}

// Queued reports whether a ticket is in the queue.
func (t *Ticket) Queued() bool { return t.lane > 0 }

// lane holds the queued tickets of one class, of either the heavy prefixes or the
// others. The tickets are a heap by deadline, the earliest first.
type lane struct {
	tickets []*Ticket
	worth   float64
	latency float64 // us, recent average of an answer; 0: unknown
}

// minLatency is the lower bound of a lane's latency in us, also used while it is
// unknown.
const minLatency = 1000

// heavyRankFactor scales the worth of heavy prefixes.
const heavyRankFactor = 1.0 / 8

// rank returns the worth per microsecond that a slot earns. It orders lanes, not
// tickets, so the latency of a single request need not be known.
func (l *lane) rank() float64 { return l.worth / max(minLatency, l.latency) }

// latestStart returns the last moment at which the first ticket can be admitted
// and still meet its deadline.
func (l *lane) latestStart() Micros {
	return l.tickets[0].Deadline - Micros(max(minLatency, l.latency))
}

// laneIndex returns the index of a class's lane.
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

// remove removes the ticket at index i of the heap.
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

// highestRanked returns the lane to admit from next, or nil if the queue is empty.
func (l *Limiter) highestRanked() (highest *lane) {
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && (highest == nil || x.rank() > highest.rank()) {
			highest = x
		}
	}
	return highest
}

// lowestRanked returns the lane to evict from when the queue is full, or nil if it
// is empty.
func (l *Limiter) lowestRanked() (lowest *lane) {
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && (lowest == nil || x.rank() < lowest.rank()) {
			lowest = x
		}
	}
	return lowest
}

// queuedAhead counts the tickets that are admitted before a new one of a rank.
func (l *Limiter) queuedAhead(rank float64) (n int) {
	for i := range l.lanes {
		if x := &l.lanes[i]; x.rank() >= rank {
			n += len(x.tickets)
		}
	}
	return n
}

// meetsDeadline reports whether a request of a lane with so many ahead of it is
// answered by its deadline at the measured throughput (Little's law).
func (l *Limiter) meetsDeadline(ahead int, queue *lane, deadline, now Micros) bool {
	if l.throughput == 0 {
		return ahead < unmeasuredQueueFactor*int(l.limit)
	}
	return float64(now)+float64(ahead)/l.throughput+max(minLatency, queue.latency) <= float64(deadline)
}

// Next removes a ticket from the queue that is admitted now, or one that is refused
// because it can no longer be answered in time, with the backoff of its client. It
// returns nil if there is neither. Call it after Done and at the time of NextCheck,
// until it returns nil.
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

// popUnmeetable removes a ticket from a lane in which not all deadlines can be met
// any more, since requests of higher rank have come: the one with the earliest
// deadline. So its client is told as soon as that is known.
func (l *Limiter) popUnmeetable(now Micros) *Ticket {
	if l.throughput == 0 || !l.recheck {
		return nil
	}
	for i := range l.lanes {
		x := &l.lanes[i]
		// The latest deadline is near the end of the heap; the last entry stands for it.
		if n := len(x.tickets); n > 0 && !l.meetsDeadline(l.inFlight+l.queuedAhead(x.rank())-1, x, x.tickets[n-1].Deadline, now) {
			l.waiting--
			return x.remove(0)
		}
	}
	l.recheck = false
	return nil
}

// NextCheck returns when Next has to be called even if no request ended; ok is
// false while the queue is empty.
func (l *Limiter) NextCheck() (at Micros, ok bool) {
	for i := range l.lanes {
		if x := &l.lanes[i]; len(x.tickets) > 0 && (!ok || x.latestStart() < at) {
			at, ok = x.latestStart(), true
		}
	}
	return at + 1, ok
}

// Cancel removes a queued ticket whose client has gone. It does nothing for others.
func (l *Limiter) Cancel(t *Ticket) {
	if t.lane > 0 {
		l.lanes[t.lane-1].remove(t.heapIndex)
		l.waiting--
	}
}

// Drop removes one queued ticket, which the caller refuses. It returns nil if the
// queue is empty.
func (l *Limiter) Drop() *Ticket {
	x := l.highestRanked()
	if x == nil {
		return nil
	}
	l.waiting--
	return x.remove(0)
}

// Waiting returns the number of queued tickets.
func (l *Limiter) Waiting() int { return l.waiting }
