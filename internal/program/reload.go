package program

import (
	"cmp"
	"os"

	"cherryramp/internal/config"
	"cherryramp/internal/discovery"
	"cherryramp/internal/front/session"
)

// heedReloads reads the files anew at a signal. That may take any time, and happens beside
// the loop and beside the signals that end the program.
func (p *program) heedReloads(signals <-chan os.Signal) {
	for range signals {
		version := make(chan *config.Version, 1)
		p.loop.Post(func() { version <- p.versions.current })
		cfg, operator, err := config.LoadVersion(os.Getenv, <-version)
		if err != nil {
			p.log.Error("configuration can't be used, the old one stays", "error", err)
			p.loop.Post(func() { p.figures.CountReload(false) })
			continue
		}
		p.loop.Post(func() { p.reload(cfg, operator) })
	}
}

// reload takes over what a new configuration may change while the program runs.
func (p *program) reload(cfg *config.Config, operator *config.Operator) {
	if err := p.take(cfg, operator); err != nil {
		p.log.Error("configuration can't be used, the old one stays", "error", err)
		p.figures.CountReload(false)
		return
	}
	p.figures.CountReload(true)
	p.log.Info("configuration read again", "board", p.cfg.Board, "generation", p.table.Number(), "settings", p.cfg.Digest)
}

// take has all parts take a configuration over, or none.
func (p *program) take(cfg *config.Config, operator *config.Operator) error {
	next, fixed := p.cfg.Reload(cfg)
	if err := p.settle(next); err != nil {
		return err
	}
	if fixed = append(fixed, p.operator.RestartKeys(operator)...); len(fixed) > 0 {
		p.log.Warn("configuration: these keys need a restart, their old values stay", "keys", fixed)
	}
	p.cfg = next
	p.news.SetTimeouts(discovery.TimeoutsFor(grace(p.cfg)))
	if p.cfg.Board != "" {
		p.news.SetAddress(p.cfg.Board)
	}
	p.gate.SetCacheLimits(copies(p.cfg))
	if p.shared != nil && operator.Exchange != nil {
		p.shared.renew(operator.Exchange)
	}
	if c := operator.Clients; p.operator.Clients != nil && c != nil {
		for i, f := range p.fronts {
			b := session.Bounds{MaxConns: held(p.cfg, c), MaxPerPrefix: c.MaxPerPrefix, IdleTimeout: int64(c.IdleTimeoutMS) * 1000, RequestTimeout: int64(c.RequestTimeoutMS) * 1000}
			if i > 0 {
				b.MaxConns = int(signedShare * float64(p.cfg.Sockets))
			}
			f.UpdateBounds(b)
		}
	}
	if p.signed != nil {
		p.links = cmp.Or(operator.Signed, p.links)
		p.signed.Reload(p.signedPolicy(p.links))
	}
	return nil
}
