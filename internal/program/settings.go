package program

import (
	"fmt"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/generations"
	"cherryramp/internal/front/platform"
	"cherryramp/internal/upstream"
	"cherryramp/rules"
)

// maxClasses bounds the classes of all generations of settings in a process. Each takes
// about 700 bytes in all components that keep state by class.
const maxClasses = 1024

// applySettings makes all parts use the settings of a configuration, or none of them if
// they are invalid. They hold for requests received from now on. Open requests keep the
// class and the number of attempts with which they were received.
func (p *program) applySettings(cfg *config.Config) error {
	table, err := generations.Restore(maxClasses, p.table.State())
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
	p.pools.UpdateConfig(upstreamConfig(cfg, classes))
	p.counters.UpdateClasses(classNames(classes))
	if p.queue != nil {
		p.queue.UpdateClasses(classWorths(classes))
	}
	p.platform.Reload(p.currentClasses())
	return nil
}

// currentClasses returns the classes that requests may name now.
func (p *program) currentClasses() (out []platform.Class) {
	for _, index := range p.table.InForce() {
		c := &p.table.Classes()[index]
		out = append(out, platform.Class{Name: c.Name, Index: index, Write: c.Write, Keyed: c.Effect == rules.Keyed})
	}
	return out
}

// upstreamConfig returns the configuration of node connections for the settings and classes.
func upstreamConfig(cfg *config.Config, classes []rules.Class) upstream.Config {
	c := upstream.Config{Lanes: classNames(classes), Streams: cfg.StreamsPerConn, ConnectTimeout: cfg.ConnectTimeout,
		IdleTimeout: int64(idleShare * float64(cfg.ConnIdleTimeout)), Cancel: cfg.Settings.Cancel, Hedges: cfg.Settings.Hedges}
	for _, class := range classes {
		c.SilentTimeout = max(c.SilentTimeout, class.Aim/2)  // long requests send nothing for a long time
		c.AnswerTimeout = max(c.AnswerTimeout, class.GiveUp) // no client waits longer
	}
	for _, class := range classes { // unsafe requests get a connection of their own, so that other answers don't affect them
		c.Exclusive = append(c.Exclusive, class.Effect == rules.Unsafe)
		c.Repeatable = append(c.Repeatable, class.Effect == rules.Safe)
	}
	return c
}

// classNames returns the names of the classes by index.
func classNames(classes []rules.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}

// classWorths returns the worth of the classes by index.
func classWorths(classes []rules.Class) (out []float64) {
	for _, c := range classes {
		out = append(out, c.Worth)
	}
	return out
}
