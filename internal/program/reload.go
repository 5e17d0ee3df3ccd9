package program

import (
	"cmp"
	"os"

	"cherryramp/internal/config"
	"cherryramp/internal/discovery"
	"cherryramp/internal/front/session"
)

// handleReloadSignals reads the configuration files again on a signal. Since that may take
// any time, it runs neither on the loop nor on the goroutine that handles shutdown signals.
func (p *program) handleReloadSignals(signals <-chan os.Signal) {
	for range signals {
		files, err := config.ReadFiles(os.Getenv)
		if err != nil {
			p.loop.Post(func() { p.rejectReload(err) })
			continue
		}
		inForce := make(chan checkedVersion, 1)
		p.loop.Post(func() { inForce <- checkedVersion{version: p.versions.current, files: p.files} })
		current := <-inForce
		next := &checkedVersion{version: current.version}
		if err = files.CheckReplaces(current.files); err == nil {
			err = next.combine(files)
		}
		p.loop.Post(func() { p.reload(next, err) })
	}
}

// reload applies new files, on which the version in force is combined, or which err says
// can't be used.
func (p *program) reload(next *checkedVersion, err error) {
	if err == nil && next.version != p.versions.current { // another version has come into force meanwhile
		next.version = p.versions.current
		err = next.combine(next.files)
	}
	if err == nil {
		err = p.apply(next.cfg, next.operator)
	}
	if err != nil {
		p.rejectReload(err)
		return
	}
	p.files = next.files
	p.counters.CountReload(true)
	p.log.Info("configuration read again", "board", p.cfg.Board, "generation", p.table.Number(), "settings", p.cfg.Digest)
}

// rejectReload records files that can't be used.
func (p *program) rejectReload(err error) {
	p.log.Error("configuration can't be used, the old one stays", "error", err)
	p.counters.CountReload(false)
}

// apply makes all parts use a configuration, or none of them if it is invalid.
func (p *program) apply(cfg *config.Config, operator *config.Operator) error {
	next, fixed := p.cfg.Reload(cfg)
	if err := p.applySettings(next); err != nil {
		return err
	}
	if fixed = append(fixed, p.operator.RestartKeys(operator)...); len(fixed) > 0 {
		p.log.Warn("configuration: these keys need a restart, their old values stay", "keys", fixed)
	}
	p.cfg = next
	p.board.SetTimeouts(discovery.TimeoutsFor(minGrace(p.cfg)))
	if p.cfg.Board != "" {
		p.board.SetAddress(p.cfg.Board)
	}
	p.gate.SetCacheLimits(localCacheLimits(p.cfg))
	if p.policy != nil && operator.Exchange != nil {
		p.policy.reconfigure(operator.Exchange)
	}
	if c := operator.Clients; p.operator.Clients != nil && c != nil {
		for i, f := range p.fronts {
			b := session.Bounds{MaxConns: maxClientConns(p.cfg, c), MaxPerPrefix: c.MaxPerPrefix, IdleTimeout: int64(c.IdleTimeoutMS) * 1000, RequestTimeout: int64(c.RequestTimeoutMS) * 1000}
			if i > 0 {
				b.MaxConns = int(signedShare * float64(p.cfg.Sockets))
			}
			f.UpdateBounds(b)
		}
	}
	if p.signed != nil {
		p.signedConfig = cmp.Or(operator.Signed, p.signedConfig)
		p.signed.Reload(p.signedPolicy(p.signedConfig))
	}
	return nil
}
