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
	acceptGrace  = 750_000   // us after a request to drain or shut down in which clients are still accepted
	drainPoll    = 20_000    // us between checks whether everything is answered
	reopenRetry  = 50_000    // us until another try to open a listener that failed for lack of resources
	drainWarning = 4_000_000 // us after which an unfinished drain is logged
)

// drain removes the client connections of all fronts. It first goes on accepting clients,
// because load balancers learn of the drain later than the front does, then closes the
// listeners, and is finished once no request and no connection is left. It carries out
// what package draining decides and runs on the loop. The caller is responsible for
// reporting the front as not ready.
type drain struct {
	loop   *loop.Loop
	fronts []*session.Server
	gate   *gateway.Gateway
	log    *slog.Logger

	state      draining.State
	poll       *loop.Deadline // the next update
	onFinished func()         // called when the drain is finished, if not nil

	reopening      bool // a listener could not be opened again yet
	retry          *loop.Deadline
	onReopenFailed func() // called when a listener can't be opened again
}

// begin closes idle connections at once and the others with their next response, and
// closes the listeners after acceptFor us. It does nothing if the drain has begun already.
func (d *drain) begin(reason string, acceptFor loop.Micros) {
	if !d.state.Begin(d.loop.Now(), acceptFor, drainWarning) {
		return
	}
	d.loop.Stop(d.retry)
	d.reopening = false
	d.log.Info("drain: begins", "reason", reason, "requests", d.gate.OpenCalls(), "connections", d.connections(),
		"accepting_ms", acceptFor/1000)
	d.update()
}

// finish drains without accepting any more clients, also if a drain has already begun, and
// calls onFinished at its end.
func (d *drain) finish(reason string, onFinished func()) {
	d.onFinished = onFinished
	d.begin(reason, 0)
	d.state.StopAccepting(d.loop.Now())
	d.update()
}

// update closes idle connections and carries out the next step of the drain.
func (d *drain) update() {
	d.loop.Stop(d.poll)
	observed := draining.Observation{Pending: d.gate.OpenCalls()}
	for _, f := range d.fronts {
		f.Drain()
		observed.Accepting = observed.Accepting || f.Accepting()
		observed.Pending += f.Busy() + f.Receiving() + f.Ending()
	}
	now := d.loop.Now()
	step := d.state.Advance(now, observed)
	elapsed := d.state.Elapsed(now) / 1000
	if step.Finished {
		d.log.Info("drain: over", "after_ms", elapsed, "closed_outright", transport.ForceClosed(),
			"poller_gave_up", transport.Adopted())
		if d.onFinished != nil {
			d.onFinished()
		}
		return
	}
	if step.CloseListeners {
		d.log.Info("drain: listeners close", "after_ms", elapsed, "connections", d.connections())
		for _, f := range d.fronts {
			f.Stop()
		}
	}
	if step.Warn {
		d.log.Warn("drain: not over", "after_ms", elapsed, "accepting", observed.Accepting, "requests", d.gate.OpenCalls(),
			"connections", d.connections())
	}
	d.poll = d.loop.At(now+drainPoll, d.update)
}

// cancel ends a drain: the front listens again, and connections stay open after a response.
// If resources for a listener are lacking, reopening stays true until it can be opened. On
// any other error, which is returned, the drain goes on.
func (d *drain) cancel() error {
	d.loop.Stop(d.poll)
	elapsed := d.state.Elapsed(d.loop.Now()) / 1000
	if d.state.Cancel() {
		d.log.Info("drain: taken back", "after_ms", elapsed)
	}
	for _, f := range d.fronts {
		f.CancelDrain()
	}
	return d.reopen()
}

// reopen opens closed listeners, and tries again later if resources are lacking.
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
		d.onReopenFailed()
		d.begin("a listener could not be opened again", 0)
	}
	return err
}

// connections returns the number of client connections.
func (d *drain) connections() (n int) {
	for _, f := range d.fronts {
		n += f.Connections()
	}
	return n
}
