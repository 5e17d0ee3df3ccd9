// Package loop is the program's one event loop: a queue of callbacks that other
// goroutines fill, and one timer that serves every deadline. Whatever runs on
// the loop needs no locks against anything else that runs there.
//
// The loop has its clock from outside: the system's, or one that only moves when
// nothing is left to be done, for tests and the laboratory.
package loop

import (
	"sync"
	"time"
)

// Micros is a moment, in microseconds. On the system's clock moments are those of the Unix
// clock as it stood when the loop was made, and go on monotonically from there: a step of the
// wall clock moves none of them, so that spans hold. What has to follow the wall clock, such
// as the expiry of a link, asks Wall.
type Micros = int64

// Clock tells the time and waits.
type Clock interface {
	// Now may be called from anywhere.
	Now() Micros
	// Wait returns at a moment, or earlier when wake has something.
	Wait(until Micros, wake <-chan struct{})
}

// forever is waited for where nothing is due.
const forever Micros = 1<<63 - 1

// system is the system's clock.
type system struct {
	began time.Time // with its monotonic reading
	timer *time.Timer
}

func (s *system) Now() Micros { return s.began.UnixMicro() + time.Since(s.began).Microseconds() }

// Wall is the moment that the system's wall clock shows now, steps and all.
func Wall() Micros { return time.Now().UnixMicro() }

// Wait is part of Clock.
func (s *system) Wait(until Micros, wake <-chan struct{}) {
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

// Virtual is a clock that stands still while something is done, and goes to the
// next deadline when all is. Only the loop that it was given to may move it.
type Virtual struct {
	mu sync.Mutex
	at Micros
}

// NewVirtual makes a clock that stands at a moment.
func NewVirtual(at Micros) *Virtual { return &Virtual{at: at} }

// Now is part of Clock.
func (v *Virtual) Now() Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

// Wait is part of Clock.
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
	clock  Clock
	mu     sync.Mutex
	queue  []func()
	wake   chan struct{}
	wheel  wheel
	settle func()
	done   bool
}

// New makes a loop on the system's clock that calls settle after each batch of
// callbacks.
func New(settle func()) *Loop { return NewOn(&system{began: time.Now()}, settle) }

// NewOn makes a loop on a clock.
func NewOn(clock Clock, settle func()) *Loop {
	l := &Loop{clock: clock, wake: make(chan struct{}, 1), settle: settle}
	l.wheel.now = clock.Now()
	return l
}

// Now reads the loop's clock. It may be called from anywhere.
func (l *Loop) Now() Micros { return l.clock.Now() }

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

// At has something done at a moment. Only the loop's own callbacks may call it,
// as all that follows.
func (l *Loop) At(at Micros, do func()) *Deadline {
	d := &Deadline{do: do}
	l.wheel.set(d, at)
	return d
}

// Set sets or moves a deadline.
func (l *Loop) Set(d *Deadline, at Micros) { l.wheel.set(d, at) }

// SetCoarse is as Set, for what may come late by a 32nd of its span: many such
// deadlines come together and cost one wake-up.
func (l *Loop) SetCoarse(d *Deadline, at Micros) { l.wheel.set(d, coarse(l.wheel.now, at)) }

// Stop takes a deadline back; one that has passed, or nil, is left alone.
func (l *Loop) Stop(d *Deadline) {
	if d != nil && d.place != 0 {
		l.wheel.stop(d)
	}
}

// Quit ends Run after the batch at hand.
func (l *Loop) Quit() { l.done = true }

// Run serves callbacks and deadlines until Quit.
func (l *Loop) Run() {
	var batch []func()
	for !l.done {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		for i, f := range batch {
			f()
			batch[i] = nil
		}
		l.wheel.advance(l.clock.Now())
		l.settle()
		if l.done || len(batch) > 0 {
			continue
		}
		until, ok := l.wheel.due()
		if !ok {
			until = forever
		}
		l.clock.Wait(until, l.wake)
	}
}
