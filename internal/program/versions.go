package program

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/counters"
	"cherryramp/internal/gateway"
)

// laid is what a fleet's version makes of this front's files.
type laid struct {
	sum      [sha256.Size]byte
	version  *config.Version
	cfg      *config.Config
	operator *config.Operator
}

// versions is the program's side of what the fleet's fronts act on.
type versions struct {
	ready   []laid // found good, the newest last
	current *config.Version
	purged  map[uint64]bool // versions whose purges this process has carried out
	looks   []look          // of its figures, a second apart
}

// look is what had been answered at a moment.
type look struct {
	at        int64
	good, bad uint64
}

// Bounds.
const (
	mostReady  = 4
	faresOver  = 10_000_000 // us over which a front tells how its requests fare
	faresEvery = 1_000_000
	faresLeast = 20 // requests that tell anything
	faresStep  = 5  // percent
)

// Check is part of FleetHost. Files are read beside the loop.
func (h fleetHost) CheckVersion(content []byte, done func(error)) {
	p, sum := h.p, sha256.Sum256(content)
	go func() {
		x := laid{sum: sum}
		var err error
		if x.version, err = config.ParseVersion(content); err == nil {
			x.cfg, x.operator, err = config.LoadVersion(os.Getenv, x.version)
		}
		p.loop.Post(func() {
			if err == nil {
				err = p.fits(&x)
			}
			if err == nil {
				v := &p.versions
				v.ready = slices.DeleteFunc(v.ready, func(y laid) bool { return y.sum == sum })
				if v.ready = append(v.ready, x); len(v.ready) > mostReady {
					v.ready = slices.Delete(v.ready, 0, 1)
				}
			}
			done(err)
		})
	}()
}

// fits tells what of a version this process can't take up as it runs.
func (p *program) fits(x *laid) error {
	var errs []error
	_, fixed := p.cfg.Reload(x.cfg)
	if fixed = append(fixed, p.operator.RestartKeys(x.operator)...); len(fixed) > 0 {
		errs = append(errs, fmt.Errorf("%s: a restart is needed for that", strings.Join(fixed, ", ")))
	}
	for _, name := range x.version.Drain {
		if _, _, known := p.bars.CapacityShare(name); !known && p.bars.Listed() > 0 {
			errs = append(errs, fmt.Errorf("drain: no server %s is listed", name))
		}
	}
	return errors.Join(errs...)
}

// TakeUp is part of FleetHost.
func (h fleetHost) ActivateVersion(n uint64, content []byte) error {
	p := h.p
	v := &p.versions
	x := laid{}
	if content != nil {
		sum := sha256.Sum256(content)
		i := slices.IndexFunc(v.ready, func(x laid) bool { return x.sum == sum })
		if i < 0 {
			return errors.New("it was not checked")
		}
		x = v.ready[i]
	} else {
		var err error
		if x.cfg, x.operator, err = config.LoadVersion(os.Getenv, nil); err != nil {
			return err
		}
	}
	if err := p.take(x.cfg, x.operator); err != nil {
		return err
	}
	v.current = x.version
	if x.version != nil && x.version.Purge != nil && !v.purged[n] {
		if v.purged == nil || len(v.purged) > 1000 {
			v.purged = map[uint64]bool{}
		}
		v.purged[n] = true
		now := p.loop.Now()
		for _, o := range x.version.Purge.Objects {
			p.gate.Purge(gateway.Purge{Object: o, At: now})
		}
		for _, g := range x.version.Purge.Groups {
			p.gate.Purge(gateway.Purge{Group: g, At: now})
		}
	}
	p.log.Info("fleet: the front acts on a version", "version", n, "generation", p.table.Number(), "settings", p.cfg.Digest)
	return nil
}

// Fares is part of FleetHost.
func (h fleetHost) FailurePercent() (bad int, seen bool) {
	v, now := &h.p.versions, h.p.loop.Now()
	good, ill := h.p.figures.Totals()
	if n := len(v.looks); n == 0 || now-v.looks[n-1].at >= faresEvery {
		v.looks = append(v.looks, look{now, good, ill})
	}
	for len(v.looks) > 1 && now-v.looks[0].at > faresOver {
		v.looks = slices.Delete(v.looks, 0, 1)
	}
	good, ill = good-v.looks[0].good, ill-v.looks[0].bad
	if good+ill < faresLeast {
		return 0, false
	}
	return int(100*ill/(good+ill)) / faresStep * faresStep, true
}

// Classes is part of FleetHost.
func (h fleetHost) Classes() []string { return lanes(h.p.table.Classes()) }

// auditor passes calls on to the fleet's audit, once there is one.
type auditor struct{ p *program }

// Came is part of session.Audit.
func (a auditor) Received(c *gateway.Call) {
	if a.p.fleet != nil {
		c.Version = a.p.fleet.RequestStarted()
	}
}

// Answered is part of session.Audit.
func (a auditor) Answered(c *gateway.Call, o counters.Outcome) {
	if a.p.fleet != nil {
		a.p.fleet.RequestAnswered(c.Version, c.Class, o, c.ID)
	}
	if a.p.shared != nil {
		a.p.shared.answered(o)
	}
}

// Left is part of session.Audit.
func (a auditor) ClientGone(c *gateway.Call) {
	if a.p.fleet != nil {
		a.p.fleet.RequestAbandoned(c.Version)
	}
}
