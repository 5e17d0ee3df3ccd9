package program

import (
	"errors"
	"log/slog"

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
// listeners; and it is over once no request and no connection is left. It runs on the
// loop, and its owner says who must not be ready meanwhile.
type drain struct {
	loop   *loop.Loop
	fronts []*session.Server
	gate   *gateway.Gateway
	log    *slog.Logger

	active  bool
	since   loop.Micros
	closing *loop.Deadline // when the listeners close
	poll    *loop.Deadline
	warned  bool
	over    func() // what follows; nil: nothing

	reopening bool // a listener is not open again yet
	retry     *loop.Deadline
	failed    func() // told where a listener can't be opened again
}

// begin has idle connections end at once and the others with their next answer, and
// closes the listeners after a span in us. Once it has begun it does nothing.
func (d *drain) begin(reason string, acceptFor loop.Micros) {
	if d.active {
		return
	}
	d.loop.Stop(d.retry)
	d.reopening = false
	now := d.loop.Now()
	d.active, d.since, d.warned = true, now, false
	d.log.Info("drain: begins", "reason", reason, "requests", d.gate.Open(), "connections", d.connections(),
		"accepting_ms", acceptFor/1000)
	for _, f := range d.fronts {
		f.Drain()
	}
	d.closing = d.loop.At(now+acceptFor, d.stopAccepting)
	d.look()
}

// end drains without accepting any more, and then does what follows. A drain that has
// begun goes on.
func (d *drain) end(reason string, then func()) {
	d.over = then
	if !d.active {
		d.begin(reason, 0)
		return
	}
	d.loop.Stop(d.closing)
	d.loop.Stop(d.poll)
	d.stopAccepting()
	d.look()
}

// stopAccepting closes the listeners, which first accept what waits at them.
func (d *drain) stopAccepting() {
	d.log.Info("drain: listeners close", "after_ms", (d.loop.Now()-d.since)/1000, "connections", d.connections())
	for _, f := range d.fronts {
		f.Stop()
	}
}

// look ends the connections that have said nothing meanwhile, and tells when all is over.
func (d *drain) look() {
	accepting, busy := false, d.gate.Open()
	for _, f := range d.fronts {
		f.Drain()
		accepting = accepting || f.Accepting()
		busy += f.Busy() + f.Coming() + f.Ending()
	}
	spent := d.loop.Now() - d.since
	if !accepting && busy == 0 {
		d.log.Info("drain: over", "after_ms", spent/1000, "closed_outright", transport.Unshut())
		if d.over != nil {
			d.over()
		}
		return
	}
	if spent >= drainWarning && !d.warned {
		d.warned = true
		d.log.Warn("drain: not over", "after_ms", spent/1000, "accepting", accepting, "requests", d.gate.Open(),
			"connections", d.connections())
	}
	d.poll = d.loop.At(d.loop.Now()+drainPoll, d.look)
}

// cancel takes a drain back: the front listens, and answers keep their connections. Where the
// machine lacks room for a listener, reopening holds until there is. Any other error is a
// listener's; the drain then goes on.
func (d *drain) cancel() error {
	if d.active {
		d.log.Info("drain: taken back", "after_ms", (d.loop.Now()-d.since)/1000)
	}
	d.loop.Stop(d.closing)
	d.loop.Stop(d.poll)
	d.active = false
	for _, f := range d.fronts {
		f.Rejoin()
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
	d.reopening = transport.LacksRoom(err)
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
