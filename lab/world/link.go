package world

import "cherryramp/internal/loop"

// link divides its capacity evenly among its transfers, none of which runs faster
// than at a pace of its own (processor sharing). All move alike, so one figure
// tells how far each has come, and a heap by where each ends gives the next: a
// transfer costs a logarithm, however many there are.
type link struct {
	w        *World
	capacity func() float64 // bytes a microsecond, now
	most     float64        // of one transfer
	moved    float64        // bytes that a transfer of all this time would have moved
	carried  float64        // bytes, of all
	at       Micros
	heap     []*transfer
	due      loop.Deadline
}

// transfer is bytes on their way.
type transfer struct {
	link *link
	end  float64 // in the link's moved
	at   int     // in the heap
	done func()
}

// linkStep is how often a link whose capacity may change is looked at while it is
// used.
const linkStep = 200 * milli

func newLink(w *World, most float64, capacity func() float64) *link {
	l := &link{w: w, most: most, capacity: capacity}
	l.due.Init(l.pass)
	return l
}

// pace is what one transfer moves in a microsecond now.
func (l *link) pace() float64 { return min(l.most, l.capacity()/float64(max(1, len(l.heap)))) }

// catchUp moves all transfers to now, at the pace that held since.
func (l *link) catchUp() {
	now := l.w.loop.Now()
	if len(l.heap) > 0 {
		by := float64(now-l.at) * l.pace()
		l.moved += by
		l.carried += by * float64(len(l.heap))
	}
	l.at = now
}

// start sends bytes and tells when they are through.
func (l *link) start(bytes float64, done func()) *transfer {
	l.catchUp()
	t := &transfer{link: l, end: l.moved + bytes, at: len(l.heap), done: done}
	l.heap = append(l.heap, t)
	l.up(t.at)
	l.watch()
	return t
}

// stop takes a transfer off its link.
func (t *transfer) stop() {
	if t != nil && t.at >= 0 {
		t.link.catchUp()
		t.link.remove(t)
		t.link.watch()
	}
}

func (l *link) pass() {
	l.catchUp()
	for len(l.heap) > 0 && l.heap[0].end <= l.moved+1e-6 {
		t := l.heap[0]
		l.remove(t)
		t.done()
	}
	l.watch()
}

func (l *link) watch() {
	if len(l.heap) == 0 {
		l.w.loop.Stop(&l.due)
		return
	}
	pace := l.pace()
	in := linkStep
	if pace > 0 {
		in = min(in, Micros((l.heap[0].end-l.moved)/pace)+1)
	}
	l.w.loop.Set(&l.due, l.w.loop.Now()+max(1, in))
}

// load is the share of the capacity that is asked for; above 1 all are slowed.
func (l *link) load() float64 { return float64(len(l.heap)) * l.most / max(1e-9, l.capacity()) }

func (l *link) remove(t *transfer) {
	i, last := t.at, len(l.heap)-1
	l.swap(i, last)
	l.heap[last] = nil
	l.heap = l.heap[:last]
	t.at = -1
	if i < last {
		l.down(i)
		l.up(i)
	}
}

func (l *link) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].at, l.heap[j].at = i, j
}

func (l *link) up(i int) {
	for i > 0 && l.heap[i].end < l.heap[(i-1)/2].end {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *link) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(l.heap); c++ {
			if l.heap[c].end < l.heap[least].end {
				least = c
			}
		}
		if least == i {
			return
		}
		l.swap(i, least)
		i = least
	}
}
