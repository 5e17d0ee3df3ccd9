// Package loop is the program's one event loop: a queue of callbacks that other
// goroutines fill, and one timer that serves every deadline. Whatever runs on
// the loop needs no locks against anything else that runs there.
package loop

import (
	"container/heap"
	"sync"
	"time"
)

// Micros is a moment, in microseconds of the system's Unix clock.
type Micros = int64

// Now reads the system's clock.
func Now() Micros { return time.Now().UnixMicro() }

// Deadline is something to be done at a moment, unless it is stopped before.
type Deadline struct {
	at    Micros
	do    func()
	place int // in the heap; -1 when it is not there
}

// Loop runs callbacks one after another on the goroutine that calls Run.
type Loop struct {
	mu     sync.Mutex
	queue  []func()
	wake   chan struct{}
	due    deadlines
	settle func()
	done   bool
}

// New makes a loop that calls settle after each batch of callbacks.
func New(settle func()) *Loop {
	return &Loop{wake: make(chan struct{}, 1), settle: settle}
}

// Post queues a callback. It never blocks and may be called from anywhere.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// At has something done at a moment. Only the loop's own callbacks may call it.
func (l *Loop) At(at Micros, do func()) *Deadline {
	d := &Deadline{at: at, do: do}
	heap.Push(&l.due, d)
	return d
}

// Stop takes a deadline back; one that has passed, or nil, is left alone.
func (l *Loop) Stop(d *Deadline) {
	if d != nil && d.place >= 0 {
		heap.Remove(&l.due, d.place)
	}
}

// Quit ends Run after the batch at hand.
func (l *Loop) Quit() { l.done = true }

// Run serves callbacks and deadlines until Quit.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []func()
	for !l.done {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		for i, f := range batch {
			f()
			batch[i] = nil
		}
		for now := Now(); len(l.due) > 0 && l.due[0].at <= now; {
			heap.Pop(&l.due).(*Deadline).do()
		}
		l.settle()
		if l.done || len(batch) > 0 {
			continue
		}
		wait := time.Hour
		if len(l.due) > 0 {
			wait = time.Duration(l.due[0].at-Now()) * time.Microsecond
		}
		timer.Reset(max(0, wait))
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// deadlines is a heap by moment.
type deadlines []*Deadline

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, j int) bool { return h[i].at < h[j].at }

func (h deadlines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push is for package heap.
func (h *deadlines) Push(x any) {
	d := x.(*Deadline)
	d.place = len(*h)
	*h = append(*h, d)
}

// Pop is for package heap.
func (h *deadlines) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.place = -1
	return d
}
