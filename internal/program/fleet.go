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

// FleetPart is the front's part in a fleet. It is used on the loop only.
type FleetParticipant interface {
	// Call carries out a call of the operators' door; the answer is told once, now or later.
	Call(call string, answer func(line string))
	// Holds tells whether the front may act now, and if not, after how many us to come
	// back. It is asked before each act.
	MayAct() (ok bool, away int64)
	// Warm tells whether the front is a full machine again after it was shut out.
	WarmedUp() bool
	// Came tells of a request that came, and gives the version that it is under.
	RequestStarted() (version uint64)
	// Answered tells how one was ended; Left that its client has gone.
	RequestAnswered(version uint64, class int, o counters.Outcome, id string)
	RequestAbandoned(version uint64)
	// Rejoin tells that a person has the front take clients again.
	Rejoin()
	// Close ends the part, after the loop has.
	Close() error
}

// FleetHost is the front as its part in a fleet sees it.
type FleetHost interface {
	// Takes tells whether it takes clients, whether it holds no request, and whether it
	// is in trouble.
	ServiceState() (clients, empty, hurt bool)
	// GoOut has it take no clients and empty itself, or take them again.
	SetOutOfService(out bool, permit uint64)
	// Leave has it send nothing new to boxes; it tells of each whether anything is
	// still open there.
	LeaveBoxes(boxes []string) (open map[string]bool)
	// Share tells where a box stands and which part of its hub's pace it has, in
	// percent; known is false where the front has a list and the box is not on it.
	BoxShare(box string) (zone string, percent int, known bool)
	// Check looks through a version's file whole, with this front's own files beneath
	// it, and tells later whether it can act on it.
	CheckVersion(content []byte, done func(error))
	// TakeUp has it act on a version that was checked; nil: on its own files alone.
	ActivateVersion(n uint64, content []byte) error
	// Fares is how many percent of its requests were refused or failed lately; seen is
	// false where they are too few to tell.
	FailurePercent() (bad int, seen bool)
	// Classes names the classes of requests by their places.
	Classes() []string
}

// Fleet begins a front's part in a fleet, under a name. It is set by the command
// that has the part linked in; nil: this one has not.
var JoinFleet func(c *config.Fleet, shared *config.Exchange, front string, l *loop.Loop, host FleetHost, log *slog.Logger) (FleetParticipant, error)

// Sibling is the command beside this one that has the part in a fleet.
const FleetCommand = "cherryramp-fleet"

// HandOver has the sibling run in this process's place, with the same arguments and
// environment.
func ExecFleetCommand() error {
	own, err := os.Executable()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	path := filepath.Join(filepath.Dir(own), FleetCommand)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("fleet: %s, which a fleet needs beside this program: %w", path, err)
	}
	return nil
}

// startFleet has the front take part in the fleet of the operator's file.
func (p *program) startFleet(c *config.Fleet, shared *config.Exchange) (err error) {
	if p.fleet, err = JoinFleet(c, shared, cmp.Or(c.Front, p.cfg.Name), p.loop, fleetHost{p}, p.log); err != nil {
		return err
	}
	if part, ok := p.fleet.(ExchangeRecorder); ok && p.shared != nil {
		p.shared.part = part
	}
	p.gate.SetGuard(p.fleet.MayAct)
	return nil
}

// fleetHost is the front as its part in the fleet sees it.
type fleetHost struct{ p *program }

// Takes is part of FleetHost.
func (h fleetHost) ServiceState() (clients, empty, troubled bool) {
	ready, _ := h.p.Ready()
	busy := h.p.gate.OpenCalls()
	for _, f := range h.p.fronts {
		busy += f.Busy() + f.Receiving()
	}
	c := health.Counts{}
	c.Known, c.Avoided = h.p.gate.Servers()
	c.Served, c.Failed = h.p.figures.Totals()
	was := h.p.hurt
	var why string
	if h.p.hurt, why = h.p.watched.Update(c, h.p.loop.Now()); h.p.hurt != was {
		h.p.log.Info("fleet: trouble of this front", "hurt", h.p.hurt, "why", why)
	}
	return ready, busy == 0, h.p.hurt
}

// GoOut is part of FleetHost. What a person ordered by LAMEDUCK stays until a
// person takes it back.
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

// Leave is part of FleetHost.
func (h fleetHost) LeaveBoxes(boxes []string) (open map[string]bool) {
	return h.p.bars.SetDrained(h.p.away(boxes))
}

// away is the boxes that nothing new goes to: those in work, those that the version in
// force names, and those that the fleet has found to fail.
func (p *program) away(boxes []string) []string {
	if v := p.versions.current; v != nil && len(v.Drain) > 0 {
		boxes = append(slices.Clone(boxes), v.Drain...)
	}
	if p.shared != nil {
		boxes = p.shared.away(boxes)
	}
	return boxes
}

// Share is part of FleetHost.
func (h fleetHost) BoxShare(box string) (zone string, percent int, known bool) {
	zone, percent, known = h.p.bars.CapacityShare(box)
	return zone, percent, known || h.p.bars.Listed() == 0
}

// Fleet carries out a call to the fleet.
func (p *program) Fleet(call string, answer func(line string)) bool {
	if p.fleet == nil {
		return false
	}
	p.fleet.Call(call, answer)
	return true
}
