package exchange

import (
	"context"
	"slices"

	"cherryramp/internal/decide/latency"
	"cherryramp/internal/decide/topology"
)

// Surveyor is what measures latencies, on the loop.
type LatencySource interface {
	// Sights gives what attempts took since it was last asked.
	LatencySamples(each func(region, edge string, took int64))
	// Room is which part of each edge can be used, as far as this front knows.
	EdgeCapacity() map[string]float64
}

// pathsUp is what a role says, and pathsDown what it is told.
type (
	pathsUp struct {
		Stamp Micros             `cbor:"1,keyasint"`
		List  []latency.Summary  `cbor:"2,keyasint,omitempty"`
		Room  map[string]float64 `cbor:"3,keyasint,omitempty"`
	}
	pathsDown struct {
		Stamp Micros          `cbor:"1,keyasint"`
		List  []latency.Order `cbor:"2,keyasint,omitempty"`
	}
)

// Messages to the task, beside envelopes.
type (
	samples struct {
		list []latency.Sample
		room map[string]float64
	}
	steerAsk struct {
		region string
		answer func(any, error)
	}
)

// pathTask is the task of paths.
type pathTask struct {
	teller
	rules   latency.Rules
	model   *latency.Model
	room    map[string]float64
	said    map[string]*topology.Reports[pathsUp]
	stamps  map[tie]Micros
	maps    map[topology.Role]*latency.OrderCache
	planner *latency.Planner
	root    uint64
	rounds  int
	told    Micros
}

// pathRounds is the rounds between two tellings.
const pathRounds = 3

func (x *Exchange) newPaths() func(context.Context) body {
	return func(ctx context.Context) body {
		p := x.section.Load().Paths
		r := latency.Rules{HalfLife: Micros(p.HalfLifeS * 1e6), OrderTTL: Micros(p.StaleS * 1e6), ExploreShare: p.ExplorePercent / 100, MaxShiftPerSecond: p.PacePercent / 100, MaxFrontWeight: p.MaxWeight}
		return &pathTask{teller: teller{x, ctx}, rules: r, model: latency.NewModel(r), said: map[string]*topology.Reports[pathsUp]{}, stamps: map[tie]Micros{}, maps: map[topology.Role]*latency.OrderCache{}}
	}
}

func (t *pathTask) round() {
	if t.rounds++; t.rounds%pathRounds != 0 || t.x.standing.Load() == nil {
		return
	}
	x := t.x
	x.cfg.Loop.Post(func() {
		var list []latency.Sample
		x.cfg.LatencySource.LatencySamples(func(region, edge string, took int64) {
			list = append(list, latency.Sample{Pair: latency.Pair{Region: region, Edge: edge}, Latency: took})
		})
		x.paths.offer(samples{list, x.cfg.LatencySource.EdgeCapacity()})
	})
}

func (t *pathTask) tell(s *FleetState, now Micros) {
	links := t.x.links.Load()
	t.up(Paths, s.View.SelfRole(), pathsUp{now, t.model.Summaries(now), t.room})
	keeps := s.View.OwnedBySelf()
	for site := range t.said {
		if !slices.ContainsFunc(keeps, func(k topology.Owner) bool { return k.Site == site }) {
			delete(t.said, site)
		}
	}
	for _, k := range keeps {
		var fronts, sites [][]latency.Summary
		room := map[string]float64{}
		if said := t.said[k.Site]; said != nil {
			for r, u := range said.All(now, t.x.spans().FailoverAfter) {
				if r.Front != "" {
					fronts = append(fronts, u.List)
				} else {
					sites = append(sites, u.List)
				}
				for e, x := range u.Room {
					if old, ok := room[e]; (!ok || x < old) && len(room) < latency.MaxPairs {
						room[e] = min(1, max(0, x))
					}
				}
			}
		}
		merged := latency.Merge(t.rules, fronts, sites)
		var list []latency.Order
		if k.Site == topology.Root {
			if t.planner == nil || t.root != k.Number {
				t.planner, t.root = latency.NewPlanner(t.rules), k.Number
			}
			if s.MayActAsOwner(now) {
				list = t.planner.Step(merged, func(e string) float64 {
					if x, ok := room[e]; ok {
						return x
					}
					return 1
				}, now)
			}
		} else {
			t.up(Paths, topology.SiteRole(k), pathsUp{now, merged, room})
			if m := t.maps[topology.SiteRole(k)]; m != nil {
				list = m.All(now)
			}
		}
		for _, r := range links.below(k, now, t.x.spans().FailoverAfter) {
			if stamp := t.stamps[tie{r, k.Number}]; stamp != 0 {
				t.down(Paths, r, k, pathsDown{stamp, list})
			}
		}
	}
	for x := range t.stamps {
		if _, ok := links.children[x]; !ok {
			delete(t.stamps, x)
		}
	}
}

func (t *pathTask) take(m any) {
	s, now := t.x.standing.Load(), t.x.cfg.Now()
	if s == nil {
		return
	}
	switch m := m.(type) {
	case samples:
		t.model.Add(m.list, now)
		t.room = m.room
		t.tell(s, now)
	case steerAsk:
		m.answer(t.steer(s, m.region, now), nil)
	case Envelope:
		if m.Up {
			var u pathsUp
			if decoder.Unmarshal(m.Body, &u) != nil {
				return
			}
			if t.said[m.Site] == nil {
				t.said[m.Site] = &topology.Reports[pathsUp]{}
			}
			t.said[m.Site].Put(m.Role, m.Seq, u, now)
			t.stamps[tie{m.Role, m.Owner}] = u.Stamp
			return
		}
		var d pathsDown
		if decoder.Unmarshal(m.Body, &d) != nil {
			return
		}
		if t.maps[m.Role] == nil {
			t.maps[m.Role] = &latency.OrderCache{}
		}
		t.maps[m.Role].Update(d.List, d.Stamp, t.rules.OrderTTL)
		for r := range t.maps {
			if !slices.Contains(roles(s.View), r) {
				delete(t.maps, r)
			}
		}
		if m.Role == s.View.SelfRole() && t.x.history.on() && now-t.told > 200_000 {
			t.told = now
			for _, o := range t.maps[m.Role].All(now) {
				t.x.history.write("order", map[string]any{"region": o.Region, "age_ms": float64(t.rules.OrderTTL-o.Remaining) / 1000, "bound_ms": float64(t.rules.OrderTTL) / 1000})
			}
		}
	}
}

// Steered is what a front tells of a region.
type RegionOrder struct {
	Region     string          `json:"region"`
	Source     string          `json:"by"` // the fleet's order, own sight, static
	Edges      []latency.Share `json:"edges"`
	RemainingS float64         `json:"holds_s"` // from now on
	MaxAgeS    float64         `json:"stale_by_s"`
}

// steer falls back in steps: the fleet's order until its end, then this front's own
// sight, then the static order, which is none: evenly.
func (t *pathTask) steer(s *FleetState, region string, now Micros) RegionOrder {
	out := RegionOrder{Region: region, MaxAgeS: float64(t.rules.OrderTTL) / 1e6}
	if m := t.maps[s.View.SelfRole()]; m != nil {
		if o, ok := m.Lookup(region, now); ok {
			out.Source, out.Edges, out.RemainingS = "the fleet's order", o.Edges, float64(o.Remaining)/1e6
			return out
		}
	}
	own := latency.NewPlanner(t.rules).Step(t.model.Summaries(now), func(e string) float64 {
		if x, ok := t.room[e]; ok {
			return x
		}
		return 1
	}, now)
	for _, o := range own {
		if o.Region == region {
			out.Source, out.Edges, out.RemainingS = "own sight", o.Edges, float64(t.x.round().Microseconds()*pathRounds)/1e6
			return out
		}
	}
	out.Source = "static"
	return out
}

// Steer asks for a region's order; the answer comes on the loop.
func (x *Exchange) QueryRegion(region string, answer func(any, error)) bool {
	return x.cfg.Section.Paths != nil && x.paths.offer(steerAsk{region, func(v any, err error) { x.cfg.Loop.Post(func() { answer(v, err) }) }})
}
