package world

import "cherryramp/internal/loop"

// link shares its capacity equally among its transfers, each of which has a maximum
// rate (processor sharing). All transfers progress equally, so a single counter holds
// the progress of each, and a heap ordered by end yields the next to complete: a
// transfer costs O(log n).
type link struct {
	w           *World
	capacity    func() float64 // bytes per microsecond, now
	maxPace     float64        // of one transfer, bytes per microsecond
	perTransfer float64        // bytes moved so far by a transfer that started with the link
	totalBytes  float64        // bytes of all transfers
	updatedAt   Micros
	heap        []*transfer
	timer       loop.Deadline
}

// transfer is a transfer of bytes over a link.
type transfer struct {
	link  *link
	end   float64 // value of the link's perTransfer at which it completes
	index int     // in the heap
	done  func()
}

// linkCheckInterval is how often a link in use is checked, since its capacity may
// change.
const linkCheckInterval = 200 * milli

func newLink(w *World, maxPace float64, capacity func() float64) *link {
	l := &link{w: w, maxPace: maxPace, capacity: capacity}
	l.timer.Init(l.completeDue)
	return l
}

// pace is the current rate of one transfer in bytes per microsecond.
func (l *link) pace() float64 { return min(l.maxPace, l.capacity()/float64(max(1, len(l.heap)))) }

// advance moves all transfers forward to now at the rate since the last update.
func (l *link) advance() {
	now := l.w.loop.Now()
	if len(l.heap) > 0 {
		moved := float64(now-l.updatedAt) * l.pace()
		l.perTransfer += moved
		l.totalBytes += moved * float64(len(l.heap))
	}
	l.updatedAt = now
}

// start transfers bytes and calls done on completion.
func (l *link) start(bytes float64, done func()) *transfer {
	l.advance()
	t := &transfer{link: l, end: l.perTransfer + bytes, index: len(l.heap), done: done}
	l.heap = append(l.heap, t)
	l.siftUp(t.index)
	l.schedule()
	return t
}

// stop removes a transfer from its link.
func (t *transfer) stop() {
	if t != nil && t.index >= 0 {
		t.link.advance()
		t.link.remove(t)
		t.link.schedule()
	}
}

func (l *link) completeDue() {
	l.advance()
	for len(l.heap) > 0 && l.heap[0].end <= l.perTransfer+1e-6 {
		t := l.heap[0]
		l.remove(t)
		t.done()
	}
	l.schedule()
}

func (l *link) schedule() {
	if len(l.heap) == 0 {
		l.w.loop.Stop(&l.timer)
		return
	}
	pace := l.pace()
	in := linkCheckInterval
	if pace > 0 {
		in = min(in, Micros((l.heap[0].end-l.perTransfer)/pace)+1)
	}
	l.w.loop.Set(&l.timer, l.w.loop.Now()+max(1, in))
}

// load is the demand as a fraction of the capacity; above 1 all transfers are slowed.
func (l *link) load() float64 { return float64(len(l.heap)) * l.maxPace / max(1e-9, l.capacity()) }

func (l *link) remove(t *transfer) {
	i, last := t.index, len(l.heap)-1
	l.swap(i, last)
	l.heap[last] = nil
	l.heap = l.heap[:last]
	t.index = -1
	if i < last {
		l.siftDown(i)
		l.siftUp(i)
	}
}

func (l *link) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].index, l.heap[j].index = i, j
}

func (l *link) siftUp(i int) {
	for i > 0 && l.heap[i].end < l.heap[(i-1)/2].end {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *link) siftDown(i int) {
	for {
		smallest := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(l.heap); c++ {
			if l.heap[c].end < l.heap[smallest].end {
				smallest = c
			}
		}
		if smallest == i {
			return
		}
		l.swap(i, smallest)
		i = smallest
	}
}
