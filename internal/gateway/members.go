package gateway

import (
	"maps"
	"slices"

	"cherryramp/rules"
)

// Server is a listed server.
type Server struct {
	ID        rules.ServerID
	Name      string
	Addr      string
	State     rules.MemberState
	StartedAt Micros // time of its last start, not in the future

	announced  Micros // time of its last start as discovery gives it
	zone, kind string // as discovery names them
}

// Member is an entry of the server list, with the operators' names.
type Member struct {
	Name, Addr, Zone, Kind string
	Cell                   int
	State                  rules.MemberState
	Weight                 float64
	StartedAt              Micros
}

// Servers returns the number of listed servers, and of those avoided now: draining, or
// ejected by the router.
func (g *Gateway) Servers() (listed, avoided int) {
	for _, s := range g.servers {
		if s.State != rules.Gone {
			listed++
		}
	}
	return listed, g.router.Avoided()
}

// Members updates the server list: all of it, if full, or the changed entries.
//
// A server that comes up at the address of another one takes its place: the other's process has
// ended, whether discovery has told so or not, and what is sent to it would reach the new one.
func (g *Gateway) Members(full bool, list []Member) {
	if !full {
		list = append(g.replaced(list), list...)
	}
	e := rules.Members{Full: full}
	listed := map[rules.ServerID]bool{}
	for _, m := range list {
		zone, kind := indexOf(g.cfg.Zones, m.Zone), indexOf(g.cfg.Kinds, m.Kind)
		if zone < 0 || kind < 0 {
			g.log.Warn("member of an unknown place or kind is left out", "server", m.Name,
				"zone", m.Zone, "kind", m.Kind)
			continue
		}
		id := rules.ServerID(hashKey(m.Name))
		listed[id] = true
		announced := m.StartedAt
		m.StartedAt = g.startTime(id, announced)
		e.List = append(e.List, rules.Member{ID: id, Kind: kind, StartedAt: m.StartedAt, State: m.State,
			Cell: m.Cell, Zone: zone, Weight: m.Weight})
		g.updateServer(id, m, announced)
	}
	if full {
		for _, id := range slices.Sorted(maps.Keys(g.servers)) {
			if s := g.servers[id]; !listed[id] {
				s.State = rules.Gone
				g.log.Info("server changed", "server", s.Name, "state", stateName(s.State))
				g.upstream.ServerChanged(s)
				delete(g.servers, id)
			}
		}
	}
	g.events = append(g.events, e)
}

// replaced returns the listed servers whose address a new server of an update has, as gone. Those that
// the update names itself are left as it has them.
func (g *Gateway) replaced(list []Member) (gone []Member) {
	for _, m := range list {
		s := g.servers[rules.ServerID(hashKey(m.Name))]
		if m.State == rules.Gone || m.Addr == "" || s != nil && s.Addr == m.Addr {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(g.servers)) {
			other := g.servers[id]
			if other.Addr != m.Addr || slices.ContainsFunc(list, func(x Member) bool { return x.Name == other.Name }) {
				continue
			}
			g.log.Info("server's address is taken over: it is gone", "server", other.Name, "by", m.Name)
			gone = append(gone, Member{Name: other.Name, Zone: other.zone, Kind: other.kind, State: rules.Gone, StartedAt: other.announced})
		}
	}
	return gone
}

// startTime returns the time of a server's last start by the loop's clock. An announced time
// in the future is of a clock ahead of ours, and counts as now.
func (g *Gateway) startTime(id rules.ServerID, announced Micros) Micros {
	if s := g.servers[id]; s != nil && s.announced == announced {
		return s.StartedAt
	}
	return min(announced, g.loop.Now())
}

// updateServer records a server's state. One that is gone is forgotten; attempts that
// still refer to it see its last state.
func (g *Gateway) updateServer(id rules.ServerID, m Member, announced Micros) {
	s := g.servers[id]
	if s == nil {
		s = &Server{ID: id, Name: m.Name}
		g.servers[id] = s
	} else if s.State != m.State || s.StartedAt != m.StartedAt {
		g.log.Info("server changed", "server", m.Name, "kind", m.Kind, "state", stateName(m.State),
			"started_us", m.StartedAt)
	}
	s.State, s.StartedAt, s.announced, s.zone, s.kind = m.State, m.StartedAt, announced, m.Zone, m.Kind
	if m.Addr != "" {
		s.Addr = m.Addr
	}
	g.upstream.ServerChanged(s)
	if s.State == rules.Gone {
		delete(g.servers, id)
	}
}

// stateName returns a state's name for the log.
func stateName(s rules.MemberState) string {
	return [...]string{"gone", "ready", "draining"}[s]
}

func indexOf(list []string, name string) int {
	for i, x := range list {
		if x == name {
			return i
		}
	}
	return -1
}

func serverID(s *Server) rules.ServerID {
	if s == nil {
		return 0
	}
	return s.ID
}
