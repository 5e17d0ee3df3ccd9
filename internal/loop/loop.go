// Package loop implements the program's event loop: a queue of callbacks that other
// goroutines fill, and one timer for all deadlines. Code that runs on the loop needs no
// locks against other code that runs there.
//
// The loop runs on the system's clock, or on a virtual one that only advances when nothing
// is left to be done, for tests and simulations.
package loop

import (
	"sync"
	"time"
)

// Micros is a time in microseconds. On the system's clock times start at the Unix time at
// which the loop was made and advance monotonically from there, so steps of the wall clock
// don't change any duration. Code that has to follow the wall clock, such as the expiry of
// a link, uses Wall.
type Micros = int64

// Clock gives the time and waits.
type Clock interface {
	// Now returns the current time. It may be called from any goroutine.
	Now() Micros
	// Wait returns at a time, or earlier if wake receives a value.
	Wait(until Micros, wake <-chan struct{})
}

// forever is the time to wait for when no deadline is set.
const forever Micros = 1<<63 - 1

// systemClock is the system's clock.
type systemClock struct {
	start time.Time // includes the monotonic clock reading
	timer *time.Timer
}

func (s *systemClock) Now() Micros { return s.start.UnixMicro() + time.Since(s.start).Microseconds() }

// Wall returns the time of the system's wall clock, which may step.
func Wall() Micros { return time.Now().UnixMicro() }

// Wait implements Clock.
func (s *systemClock) Wait(until Micros, wake <-chan struct{}) {
	if until == forever {
		<-wake
		return
	}
	span := time.Duration(min(until-s.Now(), int64(time.Hour/time.Microsecond))) * time.Microsecond
	if s.timer == nil {
		s.timer = time.NewTimer(max(0, span))
	} else {
		s.timer.Reset(max(0, span))
	}
	select {
	case <-wake:
	case <-s.timer.C:
	}
}

// Virtual is a clock that stands still while callbacks run, and jumps to the next deadline
// when none is left. Only the loop that runs on it may advance it.
type Virtual struct {
	mu sync.Mutex
	at Micros
}

// NewVirtual returns a clock that starts at a time.
func NewVirtual(at Micros) *Virtual { return &Virtual{at: at} }

// Now implements Clock.
func (v *Virtual) Now() Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

// Wait implements Clock.
func (v *Virtual) Wait(until Micros, wake <-chan struct{}) {
	if until == forever {
		<-wake
		return
	}
	select {
	case <-wake:
	default:
		v.mu.Lock()
		v.at = max(v.at, until)
		v.mu.Unlock()
	}
}

// Loop runs callbacks one after another on the goroutine that calls Run.
type Loop struct {
	clock      Clock
	mu         sync.Mutex
	queue      []func()
	wake       chan struct{}
	wheel      wheel
	afterBatch func()
	quit       bool
}

// New returns a loop on the system's clock that calls afterBatch after each batch of
// callbacks.
func New(afterBatch func()) *Loop { return NewOn(&systemClock{start: time.Now()}, afterBatch) }

// NewOn returns a loop on a clock; see New.
func NewOn(clock Clock, afterBatch func()) *Loop {
	l := &Loop{clock: clock, wake: make(chan struct{}, 1), afterBatch: afterBatch}
	l.wheel.now = clock.Now()
	return l
}

// Now returns the time of the loop's clock. It may be called from any goroutine.
func (l *Loop) Now() Micros { return l.clock.Now() }

// Post queues a callback. It never blocks and may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// At calls do at a time. Like all methods below, it may only be called on the loop.
func (l *Loop) At(at Micros, do func()) *Deadline {
	d := &Deadline{do: do}
	l.wheel.set(d, at)
	return d
}

// Set sets or moves a deadline.
func (l *Loop) Set(d *Deadline, at Micros) { l.wheel.set(d, at) }

// SetCoarse is like Set, but the deadline may be late by up to a 32nd of its duration, so
// that many such deadlines share one wake-up.
func (l *Loop) SetCoarse(d *Deadline, at Micros) { l.wheel.set(d, coarse(l.wheel.now, at)) }

// Stop cancels a deadline. It does nothing if the deadline is nil or has passed.
func (l *Loop) Stop(d *Deadline) {
	if d != nil && d.position != 0 {
		l.wheel.stop(d)
	}
}

// Quit makes Run return after the current batch.
func (l *Loop) Quit() { l.quit = true }

// Run runs callbacks and deadlines until Quit is called.
func (l *Loop) Run() {
	var batch []func()
	for !l.quit {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		for i, f := range batch {
			f()
			batch[i] = nil
		}
		l.wheel.advance(l.clock.Now())
		l.afterBatch()
		if l.quit || len(batch) > 0 {
			continue
		}
		until, ok := l.wheel.due()
		if !ok {
			until = forever
		}
		l.clock.Wait(until, l.wake)
	}
}
