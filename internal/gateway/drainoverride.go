package gateway

import "cherryramp/rules"

// DrainOverride is a Gateway that treats some listed servers as draining, whatever
// the server list says: servers under maintenance, to which no front of the fleet
// sends new requests.
type DrainOverride struct {
	*Gateway
	listed  map[string]Member // by name, with the state that the list gives
	drained map[string]bool
}

// NewDrainOverride returns an override of the gateway's list with no server drained.
func NewDrainOverride(g *Gateway) *DrainOverride {
	return &DrainOverride{Gateway: g, listed: map[string]Member{}, drained: map[string]bool{}}
}

// Members passes an update of the list to the gateway, with the overridden servers as
// draining.
func (d *DrainOverride) Members(full bool, list []Member) {
	if full {
		clear(d.listed)
	}
	out := make([]Member, 0, len(list))
	for _, m := range list {
		if m.State == rules.Gone {
			delete(d.listed, m.Name)
		} else {
			d.listed[m.Name] = m
		}
		out = append(out, d.effective(m))
	}
	d.Gateway.Members(full, out)
}

// effective returns a member with the state that the gateway is to see.
func (d *DrainOverride) effective(m Member) Member {
	if d.drained[m.Name] && m.State == rules.Ready {
		m.State = rules.Draining
	}
	return m
}

// CapacityShare returns a listed server's zone, and its share of the weights of all
// ready servers of its kind in the zone, in percent.
func (d *DrainOverride) CapacityShare(name string) (zone string, percent int, ok bool) {
	m, ok := d.listed[name]
	if !ok {
		return "", 0, false
	}
	weight, total := m.Weight, 0.0
	for _, o := range d.listed {
		if o.Zone == m.Zone && o.Kind == m.Kind && (o.State == rules.Ready || o.Name == name) {
			total += o.Weight
		}
	}
	if total <= 0 {
		return m.Zone, 0, true
	}
	return m.Zone, int(100*weight/total + 0.5), true
}

// ZoneAndKind returns the zone and kind of a listed server.
func (d *DrainOverride) ZoneAndKind(name string) (zone, kind string, known bool) {
	m, known := d.listed[name]
	return m.Zone, m.Kind, known
}

// Count returns the number of listed servers of a kind in a zone.
func (d *DrainOverride) Count(zone, kind string) (n int) {
	for _, m := range d.listed {
		if m.Zone == zone && m.Kind == kind {
			n++
		}
	}
	return n
}

// CountByZoneAndKind returns the number of listed servers by zone and kind, with keys
// ZONE/KIND.
func (d *DrainOverride) CountByZoneAndKind() map[string]int {
	out := map[string]int{}
	for _, m := range d.listed {
		out[m.Zone+"/"+m.Kind]++
	}
	return out
}

// Listed returns the number of servers on the list.
func (d *DrainOverride) Listed() int { return len(d.listed) }

// SetDrained overrides the state of exactly the named servers. It returns for each
// whether an attempt there has not ended.
func (d *DrainOverride) SetDrained(names []string) (open map[string]bool) {
	open = map[string]bool{}
	if len(names) == 0 && len(d.drained) == 0 {
		return open
	}
	before := d.drained
	d.drained = map[string]bool{}
	for _, n := range names {
		d.drained[n] = true
		open[n] = d.HasOpenAttempts(n)
	}
	var changed []Member
	for n, m := range d.listed {
		if before[n] != d.drained[n] {
			changed = append(changed, d.effective(m))
		}
	}
	if len(changed) > 0 {
		d.Gateway.Members(false, changed)
	}
	return open
}

// HasOpenAttempts reports whether an attempt at a server has not ended.
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
