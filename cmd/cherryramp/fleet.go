package main

import (
	"cmp"
	"runtime/debug"

	"cherryramp/internal/config"
	"cherryramp/internal/fleet"
	"cherryramp/internal/fleet/agree"
)

// startFleet has the front take part in the fleet of the operator's file.
func (p *program) startFleet(c *config.Fleet) (err error) {
	front := cmp.Or(c.Front, p.cfg.Name)
	var first []agree.Address
	for _, m := range c.First {
		first = append(first, agree.Address{Name: m.Name, Address: m.Address})
	}
	p.fleet, err = fleet.Start(fleet.Config{Config: agree.Config{Fleet: c.Name, Name: front, Zone: c.Zone, Machine: cmp.Or(c.Machine, front),
		Address: c.Address, Build: revision(), First: first, Rules: c.Rules.Work(), Tick: int64(c.TickMS) * 1000, Lost: int64(c.LostMS) * 1000,
		Grace: int64(c.GraceS) * 1_000_000, FanOut: c.FanOut, Snapshot: uint64(c.Log)},
		Listen: c.Listen, Folder: c.Folder, Keys: c.Keys.Files(), Reach: c.Reach}, p.loop, fleetHost{p}, p.log)
	return err
}

// revision names the build: its version-control revision, where the tool chain noted one.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return cmp.Or(info.Main.Version, "unknown")
}

// fleetHost is the front as its part in the fleet sees it.
type fleetHost struct{ p *program }

// Takes tells whether the front takes clients, and whether it holds no request.
func (h fleetHost) Takes() (clients, empty bool) {
	ready, _ := h.p.Ready()
	busy := h.p.gate.Open()
	for _, f := range h.p.fronts {
		busy += f.Busy() + f.Coming()
	}
	return ready, busy == 0
}

// GoOut empties the front for work, or has it take clients again. What a person
// ordered by LAMEDUCK stays until a person takes it back.
func (h fleetHost) GoOut(out bool, permit uint64) {
	p := h.p
	switch {
	case out && !p.duck:
		p.log.Info("fleet: the front empties itself", "permit", permit)
		p.LameDuck()
		p.duck = true
	case !out && p.duck:
		p.duck = false
		if err := p.rejoin(); err != nil {
			p.log.Error("fleet: the front does not take clients again", "error", err)
		} else {
			p.log.Info("fleet: the front takes clients again")
		}
	}
}

// Leave has nothing new go to boxes in work.
func (h fleetHost) Leave(boxes []string) (open map[string]bool) { return h.p.bars.Set(boxes) }

// Fleet carries out a call to the fleet.
func (p *program) Fleet(call string, answer func(line string)) bool {
	if p.fleet == nil {
		return false
	}
	p.fleet.Call(call, answer)
	return true
}
