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
		version := make(chan *config.Version, 1)
		p.loop.Post(func() { version <- p.versions.current })
		cfg, operator, err := config.LoadVersion(os.Getenv, <-version)
		if err != nil {
			p.log.Error("configuration can't be used, the old one stays", "error", err)
			p.loop.Post(func() { p.counters.CountReload(false) })
			continue
		}
		p.loop.Post(func() { p.reload(cfg, operator) })
	}
}

// reload applies what a new configuration may change while the program runs.
func (p *program) reload(cfg *config.Config, operator *config.Operator) {
	if err := p.apply(cfg, operator); err != nil {
		p.log.Error("configuration can't be used, the old one stays", "error", err)
		p.counters.CountReload(false)
		return
	}
	p.counters.CountReload(true)
	p.log.Info("configuration read again", "board", p.cfg.Board, "generation", p.table.Number(), "settings", p.cfg.Digest)
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
