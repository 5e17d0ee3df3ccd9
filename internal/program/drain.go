package program

import (
	"errors"
	"log/slog"

	"cherryramp/internal/decide/draining"
	"cherryramp/internal/front/session"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	acceptGrace  = 750_000   // us from being told to drain or end during which clients are still accepted
	drainPoll    = 20_000    // us between looks at whether all is answered
	reopenRetry  = 50_000    // us until a listener is opened again for which the machine lacked room
	drainWarning = 4_000_000 // us after which a drain that is not over is told
)

// drain empties a front of its clients' connections: at first it still accepts clients,
// since those who route them hear of the drain later than it does; then it closes its
// listeners; and it is over once no request and no connection is left. It carries out what
// draining decides, on the loop; its owner says who must not be ready meanwhile.
type drain struct {
	loop   *loop.Loop
	fronts []*session.Server
	gate   *gateway.Gateway
	log    *slog.Logger

	state draining.State
	poll  *loop.Deadline // the next look
	over  func()         // what follows; nil: nothing

	reopening bool // a listener is not open again yet
	retry     *loop.Deadline
	failed    func() // told where a listener can't be opened again
}

// begin has idle connections end at once and the others with their next answer, and
// closes the listeners after a span in us. Once it has begun it does nothing.
func (d *drain) begin(reason string, acceptFor loop.Micros) {
	if !d.state.Begin(d.loop.Now(), acceptFor, drainWarning) {
		return
	}
	d.loop.Stop(d.retry)
	d.reopening = false
	d.log.Info("drain: begins", "reason", reason, "requests", d.gate.OpenCalls(), "connections", d.connections(),
		"accepting_ms", acceptFor/1000)
	d.look()
}

// end drains without accepting any more, and then does what follows. A drain that has
// begun goes on.
func (d *drain) end(reason string, then func()) {
	d.over = then
	d.begin(reason, 0)
	d.state.StopAccepting(d.loop.Now())
	d.look()
}

// look ends the connections that have nothing to bring, and takes the next step.
func (d *drain) look() {
	d.loop.Stop(d.poll)
	observed := draining.Observation{Pending: d.gate.OpenCalls()}
	for _, f := range d.fronts {
		f.Drain()
		observed.Accepting = observed.Accepting || f.Accepting()
		observed.Pending += f.Busy() + f.Receiving() + f.Ending()
	}
	now := d.loop.Now()
	step := d.state.Advance(now, observed)
	spent := d.state.Elapsed(now) / 1000
	if step.Finished {
		d.log.Info("drain: over", "after_ms", spent, "closed_outright", transport.ForceClosed(),
			"poller_gave_up", transport.Adopted())
		if d.over != nil {
			d.over()
		}
		return
	}
	if step.CloseListeners {
		d.log.Info("drain: listeners close", "after_ms", spent, "connections", d.connections())
		for _, f := range d.fronts {
			f.Stop()
		}
	}
	if step.Warn {
		d.log.Warn("drain: not over", "after_ms", spent, "accepting", observed.Accepting, "requests", d.gate.OpenCalls(),
			"connections", d.connections())
	}
	d.poll = d.loop.At(now+drainPoll, d.look)
}

// cancel takes a drain back: the front listens, and answers keep their connections. Where the
// machine lacks room for a listener, reopening holds until there is. Any other error is a
// listener's; the drain then goes on.
func (d *drain) cancel() error {
	d.loop.Stop(d.poll)
	spent := d.state.Elapsed(d.loop.Now()) / 1000
	if d.state.Cancel() {
		d.log.Info("drain: taken back", "after_ms", spent)
	}
	for _, f := range d.fronts {
		f.CancelDrain()
	}
	return d.reopen()
}

// reopen opens the listeners that are closed.
func (d *drain) reopen() error {
	d.loop.Stop(d.retry)
	var err error
	for _, f := range d.fronts {
		err = errors.Join(err, f.Resume())
	}
	d.reopening = transport.IsResourceShortage(err)
	switch {
	case d.reopening:
		d.log.Warn("drain: a listener can't be opened yet", "error", err)
		d.retry = d.loop.At(d.loop.Now()+reopenRetry, func() { _ = d.reopen() })
		return nil
	case err != nil:
		d.log.Error("drain: a listener can't be opened, the front does not take clients", "error", err)
		d.failed()
		d.begin("a listener could not be opened again", 0)
	}
	return err
}

// connections counts all that clients hold.
func (d *drain) connections() (n int) {
	for _, f := range d.fronts {
		n += f.Connections()
	}
	return n
}
