package exchange

import (
	"context"
	"slices"

	"cherryramp/internal/decide/latency"
	"cherryramp/internal/decide/topology"
)

// LatencySource measures latencies. It is called on the loop.
type LatencySource interface {
	// LatencySamples calls each with the latency in us of every attempt since the last call.
	LatencySamples(each func(region, edge string, took int64))
	// EdgeCapacity returns the usable share of each edge, 0 to 1, as far as this front knows.
	EdgeCapacity() map[string]float64
}

// pathsReport is a role's message to its owner, pathsUpdate the owner's to the role.
type (
	pathsReport struct {
		Stamp     Micros             `cbor:"1,keyasint"`
		Summaries []latency.Summary  `cbor:"2,keyasint,omitempty"`
		Capacity  map[string]float64 `cbor:"3,keyasint,omitempty"`
	}
	pathsUpdate struct {
		Stamp  Micros          `cbor:"1,keyasint"`
		Orders []latency.Order `cbor:"2,keyasint,omitempty"`
	}
)

// Messages to the task of paths, besides envelopes.
type (
	latencySamples struct {
		list     []latency.Sample
		capacity map[string]float64
	}
	regionQuery struct {
		region string
		answer func(any, error)
	}
)

// pathTask is the task of paths.
type pathTask struct {
	sender
	rules      latency.Rules
	model      *latency.Model
	capacity   map[string]float64
	reports    map[string]*topology.Reports[pathsReport]
	stamps     map[attachment]Micros
	orders     map[topology.Role]*latency.OrderCache
	planner    *latency.Planner
	rootNumber uint64
	rounds     int
	loggedAt   Micros
}

// pathRounds is the number of rounds between two reports.
const pathRounds = 3

func (ex *Exchange) newPathTask() func(context.Context) handler {
	return func(ctx context.Context) handler {
		section := ex.section.Load().Paths
		rules := latency.Rules{HalfLife: Micros(section.HalfLifeS * 1e6), OrderTTL: Micros(section.StaleS * 1e6), ExploreShare: section.ExplorePercent / 100, MaxShiftPerSecond: section.PacePercent / 100, MaxFrontWeight: section.MaxWeight}
		return &pathTask{sender: sender{ex, ctx}, rules: rules, model: latency.NewModel(rules), reports: map[string]*topology.Reports[pathsReport]{}, stamps: map[attachment]Micros{}, orders: map[topology.Role]*latency.OrderCache{}}
	}
}

func (t *pathTask) tick() {
	if t.rounds++; t.rounds%pathRounds != 0 || t.ex.fleetState.Load() == nil {
		return
	}
	ex := t.ex
	ex.cfg.Loop.Post(func() {
		var list []latency.Sample
		ex.cfg.LatencySource.LatencySamples(func(region, edge string, took int64) {
			list = append(list, latency.Sample{Pair: latency.Pair{Region: region, Edge: edge}, Latency: took})
		})
		ex.paths.tryPut(latencySamples{list, ex.cfg.LatencySource.EdgeCapacity()})
	})
}

func (t *pathTask) publish(state *FleetState, now Micros) {
	links := t.ex.links.Load()
	t.sendUp(Paths, state.View.SelfRole(), pathsReport{now, t.model.Summaries(now), t.capacity})
	owned := state.View.OwnedBySelf()
	for site := range t.reports {
		if !slices.ContainsFunc(owned, func(owner topology.Owner) bool { return owner.Site == site }) {
			delete(t.reports, site)
		}
	}
	for _, owner := range owned {
		var fronts, sites [][]latency.Summary
		capacity := map[string]float64{}
		if reports := t.reports[owner.Site]; reports != nil {
			for role, report := range reports.All(now, t.ex.topologyConfig().FailoverAfter) {
				if role.Front != "" {
					fronts = append(fronts, report.Summaries)
				} else {
					sites = append(sites, report.Summaries)
				}
				for edge, x := range report.Capacity {
					if old, ok := capacity[edge]; (!ok || x < old) && len(capacity) < latency.MaxPairs {
						capacity[edge] = min(1, max(0, x))
					}
				}
			}
		}
		merged := latency.Merge(t.rules, fronts, sites)
		var orders []latency.Order
		if owner.Site == topology.Root {
			if t.planner == nil || t.rootNumber != owner.Number {
				t.planner, t.rootNumber = latency.NewPlanner(t.rules), owner.Number
			}
			if state.MayActAsOwner(now) {
				orders = t.planner.Step(merged, func(edge string) float64 {
					if x, ok := capacity[edge]; ok {
						return x
					}
					return 1
				}, now)
			}
		} else {
			t.sendUp(Paths, topology.SiteRole(owner), pathsReport{now, merged, capacity})
			if cache := t.orders[topology.SiteRole(owner)]; cache != nil {
				orders = cache.All(now)
			}
		}
		for _, role := range links.childrenOf(owner, now, t.ex.topologyConfig().FailoverAfter) {
			if stamp := t.stamps[attachment{role, owner.Number}]; stamp != 0 {
				t.sendDown(Paths, role, owner, pathsUpdate{stamp, orders})
			}
		}
	}
	for x := range t.stamps {
		if _, ok := links.children[x]; !ok {
			delete(t.stamps, x)
		}
	}
}

func (t *pathTask) handle(m any) {
	state, now := t.ex.fleetState.Load(), t.ex.cfg.Now()
	if state == nil {
		return
	}
	switch m := m.(type) {
	case latencySamples:
		t.model.Add(m.list, now)
		t.capacity = m.capacity
		t.publish(state, now)
	case regionQuery:
		m.answer(t.regionOrder(state, m.region, now), nil)
	case Envelope:
		if m.Up {
			var report pathsReport
			if decoder.Unmarshal(m.Body, &report) != nil {
				return
			}
			if t.reports[m.Site] == nil {
				t.reports[m.Site] = &topology.Reports[pathsReport]{}
			}
			t.reports[m.Site].Put(m.Role, m.Seq, report, now)
			t.stamps[attachment{m.Role, m.Owner}] = report.Stamp
			return
		}
		var update pathsUpdate
		if decoder.Unmarshal(m.Body, &update) != nil {
			return
		}
		if t.orders[m.Role] == nil {
			t.orders[m.Role] = &latency.OrderCache{}
		}
		t.orders[m.Role].Update(update.Orders, update.Stamp, t.rules.OrderTTL)
		for r := range t.orders {
			if !slices.Contains(roles(state.View), r) {
				delete(t.orders, r)
			}
		}
		if m.Role == state.View.SelfRole() && t.ex.history.enabled() && now-t.loggedAt > 200_000 {
			t.loggedAt = now
			for _, order := range t.orders[m.Role].All(now) {
				t.ex.history.write("order", map[string]any{"region": order.Region, "age_ms": float64(t.rules.OrderTTL-order.Remaining) / 1000, "bound_ms": float64(t.rules.OrderTTL) / 1000})
			}
		}
	}
}

// RegionOrder is the order of edges for a region, for the admin endpoint.
type RegionOrder struct {
	Region     string          `json:"region"`
	Source     string          `json:"by"` // "the fleet's order", "own sight" or "static"
	Edges      []latency.Share `json:"edges"`
	RemainingS float64         `json:"holds_s"` // how long the order still holds
	MaxAgeS    float64         `json:"stale_by_s"`
}

// regionOrder returns the order of a region: the fleet's until it expires, else one from
// this front's own samples, else the static one, which is empty and means evenly.
func (t *pathTask) regionOrder(state *FleetState, region string, now Micros) RegionOrder {
	out := RegionOrder{Region: region, MaxAgeS: float64(t.rules.OrderTTL) / 1e6}
	if cache := t.orders[state.View.SelfRole()]; cache != nil {
		if order, ok := cache.Lookup(region, now); ok {
			out.Source, out.Edges, out.RemainingS = "the fleet's order", order.Edges, float64(order.Remaining)/1e6
			return out
		}
	}
	orders := latency.NewPlanner(t.rules).Step(t.model.Summaries(now), func(edge string) float64 {
		if x, ok := t.capacity[edge]; ok {
			return x
		}
		return 1
	}, now)
	for _, order := range orders {
		if order.Region == region {
			out.Source, out.Edges, out.RemainingS = "own sight", order.Edges, float64(t.ex.roundInterval().Microseconds()*pathRounds)/1e6
			return out
		}
	}
	out.Source = "static"
	return out
}

// QueryRegion asks for a region's order; answer is called on the loop. It reports whether
// the query was accepted.
func (ex *Exchange) QueryRegion(region string, answer func(any, error)) bool {
	return ex.cfg.Section.Paths != nil && ex.paths.tryPut(regionQuery{region, func(v any, err error) { ex.cfg.Loop.Post(func() { answer(v, err) }) }})
}
