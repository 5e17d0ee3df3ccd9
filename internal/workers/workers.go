// Package workers is a small fixed pool for what takes longer than the event
// loop may be held: signatures and compression. It has no queue. Whoever has
// work asks whether a worker is free and keeps its own order of what waits, so
// that a worker always waits for the loop between two jobs and the loop comes
// in between, on one core as well.
package workers

import "cherryramp/internal/loop"

// Pool is the workers. It is used on the loop only.
type Pool struct {
	loop *loop.Loop
	jobs chan job
	free int
}

type job struct {
	work func()
	done func()
}

// New starts so many workers, which run as long as the program.
func New(l *loop.Loop, workers int) *Pool {
	p := &Pool{loop: l, jobs: make(chan job, workers), free: workers}
	for range workers {
		go func() {
			for j := range p.jobs {
				j.work()
				l.Post(func() {
					p.free++
					j.done()
				})
			}
		}()
	}
	return p
}

// Free counts the workers that wait.
func (p *Pool) Free() int { return p.free }

// Do has work done by a free worker, then done on the loop. It tells whether
// there was one; it never blocks.
func (p *Pool) Do(work, done func()) bool {
	if p.free == 0 {
		return false
	}
	p.free--
	p.jobs <- job{work, done} // as much room as workers
	return true
}
