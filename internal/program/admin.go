package program

import (
	"fmt"

	"cherryramp/internal/decide/counters"
)

// readyAfter is how long after its start a front says that it can serve even
// where the notice board has not answered yet, in us: members then come as the
// board answers, as they would after a break.
const readyAfter = 2_000_000

// The program is the handler of the admin endpoint. Readiness and the figures are
// state of their own (internal/decide); the program carries out what they say,
// and internal/admin only formats it.

// Ready tells whether the front takes clients.
func (p *program) Ready() (bool, string) {
	if ok, why := p.ready.Ready(p.loop.Now(), p.news.Answered()); !ok {
		return false, why
	}
	return p.allowed()
}

// allowed tells whether anything but the front's own state keeps it from serving.
func (p *program) allowed() (bool, string) {
	if p.drain.reopening {
		return false, "a listener can't be opened yet"
	}
	return p.fleetAllows()
}

// fleetAllows tells whether the front's part in a fleet lets it serve.
func (p *program) fleetAllows() (bool, string) {
	if p.fleet == nil {
		return true, ""
	}
	if ok, _ := p.fleet.MayAct(); !ok {
		return false, "no lease of the fleet holds, or the version is too old"
	}
	if !p.fleet.WarmedUp() {
		return false, "warming: it was shut out and came back"
	}
	return true, ""
}

// takesClients tells whether the front takes clients, as their health check asks. A start
// that is not over is no reason against it: the configuration holds a list to serve by.
func (p *program) takesClients() (bool, string) {
	if ok, why := p.ready.Accepting(); !ok {
		return false, why
	}
	return p.allowed()
}

// Drain has the front say no to readiness and empty itself. It goes on accepting for
// acceptGrace; idle connections end now, others with their next answer; what is open is
// answered.
func (p *program) Drain() { p.startDrain("operator") }

// startDrain is Drain, for a reason that the log tells.
func (p *program) startDrain(reason string) {
	if p.ready.Drain() {
		p.drain.begin(reason, acceptGrace)
	}
}

// Rejoin is a person's word to take clients again. It goes before what the fleet
// wants: a permit under which the front is out is given back.
func (p *program) Rejoin() error {
	if err := p.rejoin(); err != nil {
		return err
	}
	if p.drainedByFleet {
		p.drainedByFleet = false
		p.fleet.Rejoin()
	}
	return nil
}

// rejoin listens and takes clients again after Drain.
func (p *program) rejoin() error {
	if err := p.ready.Rejoin(); err != nil {
		return err
	}
	if err := p.drain.cancel(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// Info appends the figures.
func (p *program) Info(b []byte) []byte {
	open := 0
	for _, f := range p.fronts {
		open += f.Busy()
	}
	known, avoided := p.gate.Servers()
	return p.figures.AppendJSON(b, counters.Gauges{InProgress: open, KnownNodes: known, SkippedNodes: avoided})
}
