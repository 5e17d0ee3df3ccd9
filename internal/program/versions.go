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

// checkedVersion is a version of the fleet combined with this front's own files.
type checkedVersion struct {
	sum      [sha256.Size]byte
	version  *config.Version // nil: none, only the files
	files    *config.Files
	cfg      *config.Config
	operator *config.Operator
}

// versions is the state of the fleet's versions on this front.
type versions struct {
	checked   []checkedVersion // valid versions, the newest last
	current   *config.Version
	purged    map[uint64]bool   // numbers of versions whose purges this process has carried out
	snapshots []outcomeSnapshot // of the request counters, a second apart
}

// outcomeSnapshot is the number of served and failed requests at a time.
type outcomeSnapshot struct {
	at             int64
	served, failed uint64
}

// Bounds of checked versions and of the failure percentage.
const (
	maxCheckedVersions    = 4
	failureWindow         = 10_000_000 // us of requests that the percentage covers
	failureSampleInterval = 1_000_000
	minFailureSample      = 20 // requests below which no percentage is given
	failurePercentStep    = 5  // percentages are rounded down to a multiple of this
)

// CheckVersion implements FleetHost. The version has to fit this front's own files, both
// those in force and those on disk, which the next SIGHUP or start reads. They are read on a
// goroutine of its own.
func (h fleetHost) CheckVersion(content []byte, done func(error)) {
	p, sum := h.p, sha256.Sum256(content)
	files := p.files
	go func() {
		version, err := config.ParseVersion(content)
		checked := checkedVersion{sum: sum, version: version}
		if err == nil {
			err = checked.fitsDisk()
		}
		if err == nil {
			err = checked.combine(files)
		}
		p.loop.Post(func() {
			if err == nil {
				err = p.checkApplicable(&checked)
			}
			if err == nil {
				v := &p.versions
				v.checked = slices.DeleteFunc(v.checked, func(y checkedVersion) bool { return y.sum == sum })
				if v.checked = append(v.checked, checked); len(v.checked) > maxCheckedVersions {
					v.checked = slices.Delete(v.checked, 0, 1)
				}
			}
			done(err)
		})
	}()
}

// combine applies the version to a front's own files.
func (checked *checkedVersion) combine(files *config.Files) (err error) {
	checked.files = files
	checked.cfg, checked.operator, err = files.Load(checked.version)
	return err
}

// fitsDisk returns what prevents the version from being applied to the files on disk, or nil.
func (checked *checkedVersion) fitsDisk() error {
	onDisk, err := config.ReadFiles(os.Getenv)
	if err != nil {
		return err
	}
	_, _, err = onDisk.Load(checked.version)
	return err
}

// checkApplicable returns what prevents this process from applying a version without a
// restart, or nil.
func (p *program) checkApplicable(candidate *checkedVersion) error {
	var errs []error
	_, fixed := p.cfg.Reload(candidate.cfg)
	if fixed = append(fixed, p.operator.RestartKeys(candidate.operator)...); len(fixed) > 0 {
		errs = append(errs, fmt.Errorf("%s: a restart is needed for that", strings.Join(fixed, ", ")))
	}
	for _, name := range candidate.version.Drain {
		if _, _, known := p.drainOverride.CapacityShare(name); !known && p.drainOverride.Listed() > 0 {
			errs = append(errs, fmt.Errorf("drain: no server %s is listed", name))
		}
	}
	return errors.Join(errs...)
}

// ActivateVersion implements FleetHost.
func (h fleetHost) ActivateVersion(n uint64, content []byte) error {
	p := h.p
	v := &p.versions
	x := checkedVersion{}
	if content != nil {
		sum := sha256.Sum256(content)
		i := slices.IndexFunc(v.checked, func(x checkedVersion) bool { return x.sum == sum })
		if i < 0 {
			return errors.New("it was not checked")
		}
		x = v.checked[i]
	}
	if x.files != p.files { // SIGHUP has brought others since
		if err := x.combine(p.files); err != nil {
			return err
		}
	}
	if err := p.apply(x.cfg, x.operator); err != nil {
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

// FailurePercent implements FleetHost.
func (h fleetHost) FailurePercent() (percent int, seen bool) {
	v, now := &h.p.versions, h.p.loop.Now()
	served, failed := h.p.counters.Totals()
	if n := len(v.snapshots); n == 0 || now-v.snapshots[n-1].at >= failureSampleInterval {
		v.snapshots = append(v.snapshots, outcomeSnapshot{now, served, failed})
	}
	for len(v.snapshots) > 1 && now-v.snapshots[0].at > failureWindow {
		v.snapshots = slices.Delete(v.snapshots, 0, 1)
	}
	served, failed = served-v.snapshots[0].served, failed-v.snapshots[0].failed
	if served+failed < minFailureSample {
		return 0, false
	}
	return int(100*failed/(served+failed)) / failurePercentStep * failurePercentStep, true
}

// Classes implements FleetHost.
func (h fleetHost) Classes() []string { return classNames(h.p.table.Classes()) }

// auditor passes calls on to the fleet's audit, once the fleet is joined.
type auditor struct{ p *program }

// Received implements session.Audit.
func (a auditor) Received(c *gateway.Call) {
	if a.p.fleet != nil {
		c.Version = a.p.fleet.RequestStarted()
	}
}

// Answered implements session.Audit.
func (a auditor) Answered(c *gateway.Call, o counters.Outcome) {
	if a.p.fleet != nil {
		a.p.fleet.RequestAnswered(c.Version, c.Class, o, c.ID)
	}
	if a.p.policy != nil {
		a.p.policy.recordOutcome(o)
	}
}

// ClientGone implements session.Audit.
func (a auditor) ClientGone(c *gateway.Call) {
	if a.p.fleet != nil {
		a.p.fleet.RequestAbandoned(c.Version)
	}
}
