// Package workers provides a small fixed pool of goroutines for work that would block the
// event loop for too long: signatures and compression. It has no queue. Callers check
// whether a worker is free and queue pending jobs themselves. A worker therefore waits for
// the loop between two jobs, so that the loop gets to run even on a single core.
package workers

import "cherryramp/internal/loop"

// Pool is a fixed number of workers. It is used on the loop only.
type Pool struct {
	loop *loop.Loop
	jobs chan job
	free int
}

type job struct {
	work func()
	done func()
}

// New starts a number of workers, which run for the lifetime of the process.
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

// Free returns the number of idle workers.
func (p *Pool) Free() int { return p.free }

// Do runs work on an idle worker and then done on the loop. It never blocks, and returns
// false if no worker is idle.
func (p *Pool) Do(work, done func()) bool {
	if p.free == 0 {
		return false
	}
	p.free--
	p.jobs <- job{work, done} // never blocks: the channel's capacity is the number of workers
	return true
}
