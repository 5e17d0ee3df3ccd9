package program

import (
	"os"

	"cherryramp/internal/loop"
)

const (
	endMost  = 3_000_000 // us that open calls may take after SIGTERM, if their classes allow as much
	endSlack = 500_000   // us past it after which what is still open is failed
	endFlush = 150_000   // us past that for the last answers to leave
)

// heedEnds carries out the signals that end the program.
func (p *program) heedEnds(signals <-chan os.Signal) {
	for got := range signals {
		p.loop.Post(func() { p.stop(got) })
	}
}

// stop goes on serving while clients may still come, then ends once all is
// answered, and before whoever sent the signal runs out of patience.
func (p *program) stop(got os.Signal) {
	if !p.ready.Shutdown() {
		return
	}
	now := p.loop.Now()
	p.log.Info("told to end", "signal", got.String(), "open", p.gate.OpenCalls())
	p.loop.At(now+acceptGrace, func() { p.drain.end(got.String(), p.loop.Quit) })
	last := max(acceptGrace, min(p.longestDeadline(), endMost)+endSlack)
	p.loop.At(now+last, p.abandon)
	p.loop.At(now+last+endFlush, p.loop.Quit)
}

// longestDeadline is the longest that a client of any class waits.
func (p *program) longestDeadline() (longest loop.Micros) {
	for _, c := range p.table.Classes() {
		longest = max(longest, c.GiveUp)
	}
	return longest
}

// abandon fails what is still open, so that it has its answer before the program ends.
func (p *program) abandon() {
	open := p.gate.OpenCalls()
	if open == 0 {
		return
	}
	p.log.Warn("out of time: what is open is failed", "open", open)
	if p.queue != nil {
		p.queue.RefuseAll()
	}
	p.gate.Abandon()
}
