package program

import (
	"fmt"

	"cherryramp/internal/decide/counters"
)

// readyTimeout is the time after the start, in us, at which a front reports ready even
// if the notice board has not answered yet. Members are then added once the board
// answers, as after an outage of the board.
const readyTimeout = 2_000_000

// program implements admin.Handler. The readiness state and the counters are kept in
// packages under internal/decide, and internal/admin formats the replies.

// Ready reports whether the front accepts clients and, if not, the reason.
func (p *program) Ready() (bool, string) {
	if ok, why := p.ready.Ready(p.loop.Now(), p.board.Answered()); !ok {
		return false, why
	}
	return p.servingAllowed()
}

// servingAllowed reports whether the listeners and the fleet allow the front to serve,
// regardless of its readiness state.
func (p *program) servingAllowed() (bool, string) {
	if p.drain.reopening {
		return false, "a listener can't be opened yet"
	}
	return p.fleetAllows()
}

// fleetAllows reports whether the fleet, if the front belongs to one, allows it to serve.
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

// takesClients reports whether the front accepts clients, for their health check. Unlike
// Ready it does not require the start to be finished, because the front can serve by the
// member list in its configuration.
func (p *program) takesClients() (bool, string) {
	if ok, why := p.ready.Accepting(); !ok {
		return false, why
	}
	return p.servingAllowed()
}

// Drain makes the front report that it is not ready and starts to drain it. New
// connections are accepted for another acceptGrace. Idle connections are closed at once,
// the others with their next response. Open requests are still answered.
func (p *program) Drain() { p.startDrain("operator") }

// startDrain drains the front and logs the reason.
func (p *program) startDrain(reason string) {
	if p.ready.Drain() {
		p.drain.begin(reason, acceptGrace)
	}
}

// Rejoin makes the front accept clients again at an operator's request, which takes
// precedence over the fleet: a permit under which the front is out of service is returned.
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

// rejoin cancels the drain and reopens the listeners.
func (p *program) rejoin() error {
	if err := p.ready.Rejoin(); err != nil {
		return err
	}
	if err := p.drain.cancel(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// Info appends the counters as JSON.
func (p *program) Info(b []byte) []byte {
	open := 0
	for _, f := range p.fronts {
		open += f.Busy()
	}
	known, avoided := p.gate.Servers()
	return p.counters.AppendJSON(b, counters.Gauges{InProgress: open, KnownNodes: known, SkippedNodes: avoided})
}
