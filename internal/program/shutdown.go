package program

import (
	"os"

	"cherryramp/internal/loop"
)

const (
	maxShutdownWait = 3_000_000 // us that open calls get after SIGTERM at most, if their classes allow as much
	shutdownSlack   = 500_000   // us after that until calls that are still open are failed
	shutdownFlush   = 150_000   // us after that for the last responses to be sent
)

// handleShutdownSignals shuts the program down on a signal.
func (p *program) handleShutdownSignals(signals <-chan os.Signal) {
	for received := range signals {
		p.loop.Post(func() { p.shutDown(received) })
	}
}

// shutDown goes on serving for acceptGrace, because clients may still arrive, and then
// drains. The program ends once everything is answered, or after a timeout, so that it is
// not killed by whoever sent the signal.
func (p *program) shutDown(received os.Signal) {
	if !p.ready.Shutdown() {
		return
	}
	now := p.loop.Now()
	p.log.Info("told to end", "signal", received.String(), "open", p.gate.OpenCalls())
	p.loop.At(now+acceptGrace, func() { p.drain.finish(received.String(), p.loop.Quit) })
	timeout := max(acceptGrace, min(p.longestDeadline(), maxShutdownWait)+shutdownSlack)
	p.loop.At(now+timeout, p.failOpenCalls)
	p.loop.At(now+timeout+shutdownFlush, p.loop.Quit)
}

// longestDeadline returns the longest time that a client of any class waits.
func (p *program) longestDeadline() (longest loop.Micros) {
	for _, c := range p.table.Classes() {
		longest = max(longest, c.GiveUp)
	}
	return longest
}

// failOpenCalls fails the calls that are still open, so that clients get a response before
// the program ends.
func (p *program) failOpenCalls() {
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
