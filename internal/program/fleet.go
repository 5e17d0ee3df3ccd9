package program

import (
	"cmp"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/counters"
	"cherryramp/internal/decide/health"
	"cherryramp/internal/loop"
)

// FleetParticipant is the front's membership of a fleet. It is used on the loop only.
type FleetParticipant interface {
	// Call carries out a FLEET call of the admin endpoint. It calls answer once, now or
	// later.
	Call(call string, answer func(line string))
	// MayAct reports whether the front may serve requests now and, if not, the time in us
	// after which clients should retry. It is called before every attempt.
	MayAct() (ok bool, retryAfter int64)
	// WarmedUp reports whether the front has warmed up again after it was fenced.
	WarmedUp() bool
	// RequestStarted records a received request and returns the version it runs under.
	RequestStarted() (version uint64)
	// RequestAnswered records the outcome of a request.
	RequestAnswered(version uint64, class int, o counters.Outcome, id string)
	// RequestAbandoned records that the client of a request has disconnected.
	RequestAbandoned(version uint64)
	// Rejoin records that an operator has made the front accept clients again.
	Rejoin()
	// Close ends the membership. It is called after the loop has ended.
	Close() error
}

// FleetHost is the interface of the front to its FleetParticipant.
type FleetHost interface {
	// ServiceState reports whether the front accepts clients, whether it holds no request,
	// and whether it is unhealthy.
	ServiceState() (clients, empty, unhealthy bool)
	// SetOutOfService drains the front, or makes it accept clients again.
	SetOutOfService(out bool, permit uint64)
	// LeaveBoxes stops new requests to boxes, and reports for each whether requests are
	// still open there.
	LeaveBoxes(boxes []string) (open map[string]bool)
	// BoxShare returns the zone of a box and its share of its hub's capacity in percent.
	// known is false if the front has a member list and the box is not on it.
	BoxShare(box string) (zone string, percent int, known bool)
	// CheckVersion validates the file of a version on top of this front's own files, and
	// later calls done with the reason why the front can't activate it, or nil.
	CheckVersion(content []byte, done func(error))
	// ActivateVersion makes the front act on a version that was checked, or, with nil
	// content, on its own files alone.
	ActivateVersion(n uint64, content []byte) error
	// FailurePercent returns the percentage of recent requests that were refused or
	// failed. seen is false if there were too few of them.
	FailurePercent() (percent int, seen bool)
	// Classes returns the names of the request classes by index.
	Classes() []string
}

// JoinFleet starts a front's membership of a fleet, under a name. It is set by the command
// that links the fleet code, and nil in others.
var JoinFleet func(c *config.Fleet, shared *config.Exchange, front string, l *loop.Loop, host FleetHost, log *slog.Logger) (FleetParticipant, error)

// FleetCommand is the name of the executable that links the fleet code. It lies in the same
// folder as this one.
const FleetCommand = "cherryramp-fleet"

// ExecFleetCommand replaces this process with FleetCommand, with the same arguments and
// environment. It returns only on failure.
func ExecFleetCommand() error {
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	path := filepath.Join(filepath.Dir(executable), FleetCommand)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("fleet: %s, which a fleet needs beside this program: %w", path, err)
	}
	return nil
}

// startFleet joins the fleet of the operator's file.
func (p *program) startFleet(c *config.Fleet, shared *config.Exchange) (err error) {
	if p.fleet, err = JoinFleet(c, shared, cmp.Or(c.Front, p.cfg.Name), p.loop, fleetHost{p}, p.log); err != nil {
		return err
	}
	if recorder, ok := p.fleet.(ExchangeRecorder); ok && p.policy != nil {
		p.policy.recorder = recorder
	}
	p.gate.SetGuard(p.fleet.MayAct)
	return nil
}

// fleetHost implements FleetHost and, for the exchange, fleet.ExchangeHost.
type fleetHost struct{ p *program }

// ServiceState implements FleetHost.
func (h fleetHost) ServiceState() (clients, empty, unhealthy bool) {
	ready, _ := h.p.Ready()
	busy := h.p.gate.OpenCalls()
	for _, f := range h.p.fronts {
		busy += f.Busy() + f.Receiving()
	}
	counts := health.Counts{}
	counts.Known, counts.Avoided = h.p.gate.Servers()
	counts.Served, counts.Failed = h.p.counters.Totals()
	wasUnhealthy := h.p.unhealthy
	var reason string
	if h.p.unhealthy, reason = h.p.healthDetector.Update(counts, h.p.loop.Now()); h.p.unhealthy != wasUnhealthy {
		h.p.log.Info("fleet: trouble of this front", "hurt", h.p.unhealthy, "why", reason)
	}
	return ready, busy == 0, h.p.unhealthy
}

// SetOutOfService implements FleetHost. A drain that an operator has ordered by LAMEDUCK
// lasts until an operator cancels it.
func (h fleetHost) SetOutOfService(out bool, permit uint64) {
	p := h.p
	switch {
	case out && !p.drainedByFleet:
		p.log.Info("fleet: the front empties itself", "permit", permit)
		p.drainedByHand = p.ready.Draining()
		p.startDrain("fleet")
		p.drainedByFleet = true
	case !out && p.drainedByFleet:
		p.drainedByFleet = false
		if p.drainedByHand {
			return
		}
		if err := p.rejoin(); err != nil {
			p.log.Error("fleet: the front does not take clients again", "error", err)
		} else {
			p.log.Info("fleet: the front takes clients again")
		}
	}
}

// LeaveBoxes implements FleetHost.
func (h fleetHost) LeaveBoxes(boxes []string) (open map[string]bool) {
	return h.p.drainOverride.SetDrained(h.p.boxesToDrain(boxes))
}

// boxesToDrain returns the boxes that get no new requests: those under maintenance, those
// that the version in force names, and those that the fleet has found failing.
func (p *program) boxesToDrain(boxes []string) []string {
	if v := p.versions.current; v != nil && len(v.Drain) > 0 {
		boxes = append(slices.Clone(boxes), v.Drain...)
	}
	if p.policy != nil {
		boxes = p.policy.addFailingBoxes(boxes)
	}
	return boxes
}

// BoxShare implements FleetHost.
func (h fleetHost) BoxShare(box string) (zone string, percent int, known bool) {
	zone, percent, known = h.p.drainOverride.CapacityShare(box)
	return zone, percent, known || h.p.drainOverride.Listed() == 0
}

// Fleet passes a FLEET call of the admin endpoint to the fleet. It returns false if the
// front belongs to none.
func (p *program) Fleet(call string, answer func(line string)) bool {
	if p.fleet == nil {
		return false
	}
	p.fleet.Call(call, answer)
	return true
}
