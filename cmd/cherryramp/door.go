package main

import (
	"errors"
	"fmt"

	"cherryramp/internal/figures"
)

// readyAfter is how long after its start a front says that it can serve even
// where the notice board has not answered yet, in us: members then come as the
// board answers, as they would after a break.
const readyAfter = 2_000_000

// The program is the desk of the operators' door: readiness, lame duck and
// figures are its state, beside the loop; the door only words them.

// Ready tells whether the front takes clients: it listens, it has heard the
// notice board once (or waited readyAfter for it), and it is neither a lame duck
// nor ending.
func (p *program) Ready() (bool, string) {
	switch {
	case p.stopping:
		return false, "ending"
	case p.lameDuck:
		return false, "lame duck"
	case p.cfg.Board != "" && !p.news.Answered() && p.loop.Now() < p.started+readyAfter:
		return false, "starting"
	}
	return true, ""
}

// LameDuck has the front say no to readiness and empty itself: it stops
// listening, so that new clients are refused (or go to another process at the
// address); idle connections end now, others with their next answer; what is open
// is answered.
func (p *program) LameDuck() {
	if p.lameDuck || p.stopping {
		return
	}
	p.lameDuck = true
	for _, f := range p.fronts {
		f.Stop()
		f.Drain()
	}
}

// Rejoin listens and takes clients again after LameDuck.
func (p *program) Rejoin() error {
	if p.stopping {
		return errors.New("ending")
	}
	var err error
	for _, f := range p.fronts {
		f.Rejoin()
		err = errors.Join(err, f.Resume())
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.lameDuck = false
	return nil
}

// Info appends the figures.
func (p *program) Info(b []byte) []byte {
	open := 0
	for _, f := range p.fronts {
		open += f.Busy()
	}
	known, draining := p.gate.Servers()
	return p.figures.AppendJSON(b, figures.Gauges{InProgress: open, Known: known, Skipped: draining})
}
