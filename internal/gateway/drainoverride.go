package gateway

import "cherryramp/rules"

// Bars stands before a gateway's list of servers and has nothing new go to some of
// them, as to ones that drain, whatever the list says: servers in work that the
// whole fleet leaves.
type DrainOverride struct {
	*Gateway
	told   map[string]Member // as the list has them
	barred map[string]bool
}

// NewBars makes bars before a gateway, none of which are down.
func NewDrainOverride(g *Gateway) *DrainOverride {
	return &DrainOverride{Gateway: g, told: map[string]Member{}, barred: map[string]bool{}}
}

// Members passes the list on, with those barred as draining.
func (b *DrainOverride) Members(full bool, list []Member) {
	if full {
		clear(b.told)
	}
	out := make([]Member, 0, len(list))
	for _, m := range list {
		if m.State == rules.Gone {
			delete(b.told, m.Name)
		} else {
			b.told[m.Name] = m
		}
		out = append(out, b.seen(m))
	}
	b.Gateway.Members(full, out)
}

func (b *DrainOverride) seen(m Member) Member {
	if b.barred[m.Name] && m.State == rules.Ready {
		m.State = rules.Draining
	}
	return m
}

// Share tells where a server stands, and which part of the pace of its kind there it
// has by the list's weights, in percent; of what is listed as ready.
func (b *DrainOverride) CapacityShare(name string) (zone string, percent int, ok bool) {
	m, ok := b.told[name]
	if !ok {
		return "", 0, false
	}
	own, all := m.Weight, 0.0
	for _, o := range b.told {
		if o.Zone == m.Zone && o.Kind == m.Kind && (o.State == rules.Ready || o.Name == name) {
			all += o.Weight
		}
	}
	if all <= 0 {
		return m.Zone, 0, true
	}
	return m.Zone, int(100*own/all + 0.5), true
}

// Place tells where a listed server stands, and of what kind it is.
func (b *DrainOverride) ZoneAndKind(name string) (zone, kind string, known bool) {
	m, known := b.told[name]
	return m.Zone, m.Kind, known
}

// Count counts the listed servers of a kind in a zone.
func (b *DrainOverride) Count(zone, kind string) (n int) {
	for _, m := range b.told {
		if m.Zone == zone && m.Kind == kind {
			n++
		}
	}
	return n
}

// Hubs counts the listed servers by zone and kind, as ZONE/KIND.
func (b *DrainOverride) CountByZoneAndKind() map[string]int {
	out := map[string]int{}
	for _, m := range b.told {
		out[m.Zone+"/"+m.Kind]++
	}
	return out
}

// Listed counts the servers of the list.
func (b *DrainOverride) Listed() int { return len(b.told) }

// Set bars the servers named and no others. It tells of each whether anything is
// still open there.
func (b *DrainOverride) SetDrained(names []string) (open map[string]bool) {
	open = map[string]bool{}
	if len(names) == 0 && len(b.barred) == 0 {
		return open
	}
	was := b.barred
	b.barred = map[string]bool{}
	for _, n := range names {
		b.barred[n] = true
		open[n] = b.HasOpenAttempts(n)
	}
	var changed []Member
	for n, m := range b.told {
		if was[n] != b.barred[n] {
			changed = append(changed, b.seen(m))
		}
	}
	if len(changed) > 0 {
		b.Gateway.Members(false, changed)
	}
	return open
}

// OpenAt tells whether an attempt at a server has not ended.
func (g *Gateway) HasOpenAttempts(name string) bool {
	for _, c := range g.calls {
		for _, a := range c.attempts {
			if !a.done && a.Server != nil && a.Server.Name == name {
				return true
			}
		}
	}
	return false
}
