package program

import (
	"fmt"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/generations"
	"cherryramp/internal/front/platform"
	"cherryramp/internal/upstream"
	"cherryramp/rules"
)

// classesMost is how many classes, of all generations of settings, a process
// holds: about 700 bytes each, over all parts that keep something by class.
const classesMost = 1024

// settle has all parts take the settings of a configuration, or none: requests
// that come from now on are under them, and open ones stay with the class and
// number of attempts under which they came.
func (p *program) settle(cfg *config.Config) error {
	table, err := generations.Restore(classesMost, p.table.State())
	if err != nil {
		return err
	}
	changed, err := table.Update(cfg.Digest, cfg.Settings.Classes)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if !changed {
		return nil
	}
	classes := table.Classes()
	s := cfg.Settings
	s.Classes = classes
	if err := p.gate.UpdateSettings(s); err != nil {
		return err
	}
	p.table = table
	p.pools.UpdateConfig(towards(cfg, classes))
	p.figures.UpdateClasses(lanes(classes))
	if p.queue != nil {
		p.queue.UpdateClasses(worth(classes))
	}
	p.platform.Reload(p.named())
	return nil
}

// named is the classes that requests may name now.
func (p *program) named() (out []platform.Class) {
	for _, place := range p.table.InForce() {
		c := &p.table.Classes()[place]
		out = append(out, platform.Class{Name: c.Name, Index: place, Write: c.Write, Keyed: c.Effect == rules.Keyed})
	}
	return out
}

// towards is what the connections to nodes are told of settings and of all classes.
func towards(cfg *config.Config, classes []rules.Class) upstream.Config {
	c := upstream.Config{Lanes: lanes(classes), Streams: cfg.StreamsPerConn, ConnectTimeout: cfg.ConnectTimeout,
		IdleTimeout: int64(idleShare * float64(cfg.ConnIdleTimeout)), Cancel: cfg.Settings.Cancel, Hedges: cfg.Settings.Hedges}
	for _, x := range classes {
		c.SilentTimeout = max(c.SilentTimeout, x.Aim/2) // long work says nothing for long
	}
	for _, x := range classes { // what must not run twice does not suffer from others' answers
		c.Exclusive = append(c.Exclusive, x.Effect == rules.Unsafe)
		c.Repeatable = append(c.Repeatable, x.Effect == rules.Safe)
	}
	return c
}

// lanes is the classes' names, by place.
func lanes(classes []rules.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

// worth is the classes' worth, by place.
func worth(classes []rules.Class) (out []float64) {
	for _, c := range classes {
		out = append(out, c.Worth)
	}
	return out
}
