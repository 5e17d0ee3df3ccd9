package program

import (
	"net/netip"
	"slices"
	"strings"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/counters"
	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// sample is what an attempt took, from a region to where its box stands.
type sample struct {
	region, edge string
	took         int64
}

// sees sets up what this front sees for the others.
func (s *shared) sees(x *config.Exchange) {
	if v := x.Verdicts; v != nil {
		s.rules, s.watch = v.Rules(), v.ObserveOnly
		s.seen = outlier.NewObserver(s.rules)
	}
	if f := s.p.operator.Fleet; f != nil {
		s.branch = f.Zone
	}
	if p := x.Paths; p != nil {
		s.paths = true
		for prefix, name := range p.RegionsByPrefix() {
			s.regions = append(s.regions, region{prefix, name})
		}
		slices.SortFunc(s.regions, func(a, b region) int { return b.prefix.Bits() - a.prefix.Bits() }) // the narrowest first
	}
}

// AttemptEnded is part of gateway.FleetPolicy.
func (s *shared) AttemptEnded(a *gateway.Attempt, code rules.Code, took gateway.Micros) {
	if s.seen == nil && !s.paths || s.p.bars == nil {
		return
	}
	zone, kind, known := s.p.bars.ZoneAndKind(a.Server.Name)
	if !known {
		return
	}
	switch code {
	case rules.OK, rules.Miss:
		if s.seen != nil {
			s.seen.RecordAnswer(a.Server.Name, zone+"/"+kind, true, took, mono())
		}
		if s.paths && code == rules.OK && len(s.samples) < mostSamples {
			s.samples = append(s.samples, sample{s.region(a.Call.Peer), zone, took})
		}
	case rules.ServerError, rules.Timeout, rules.Reset, rules.ConnectionBroken, rules.ConnectFailed:
		if s.seen != nil {
			s.seen.RecordAnswer(a.Server.Name, zone+"/"+kind, false, took, mono())
		}
	}
}

// region is where a client is: by the table of prefixes, or this front's branch.
func (s *shared) region(peer netip.Addr) string {
	peer = peer.Unmap()
	for i := range s.regions {
		if s.regions[i].prefix.Contains(peer) {
			return s.regions[i].name
		}
	}
	return s.branch
}

// answered notes how a request of this front's clients was ended.
func (s *shared) answered(o counters.Outcome) {
	if s.seen != nil {
		s.seen.RecordRequest(o == counters.Dropped, mono())
	}
}

// RetryAfter is part of gateway.FleetPolicy: return times grow while this front's hub is overloaded.
func (s *shared) RetryAfter(base gateway.Micros) gateway.Micros {
	if s.watch || base <= 0 {
		return base
	}
	now := mono()
	for _, h := range s.others {
		if h.State == outlier.Overloaded && h.Subject == s.branch && now < h.Until {
			return s.rules.RetryAfter(base, h.Factor, s.draws.Float64(), s.p.cfg.Settings.MaxAway)
		}
	}
	return base
}

// Forged is part of signed.Shared.
func (s *shared) Forged(p netip.Prefix) {
	if s.seen != nil {
		s.seen.RecordForged(p.String(), mono())
	}
}

// Suspect is part of signed.Shared.
func (s *shared) Suspect(p netip.Prefix) bool {
	now := mono()
	for _, h := range s.others {
		if h.State == outlier.Forging && now < h.Until && h.Subject == p.String() && !s.watch {
			return true
		}
	}
	return false
}

// judged takes the verdicts that hold now.
func (s *shared) judged(list []outlier.HeldVerdict) {
	clear(s.holds)
	s.others = s.others[:0]
	for _, h := range list {
		if h.State == outlier.Failing {
			s.holds[h.Subject] = h
		} else {
			s.others = append(s.others, h)
		}
	}
}

// lookEvery is the longest time between two looks at verdicts, in us: none is acted on past its
// end because the next look comes later.
const lookEvery = 100_000

// away adds the boxes that the fleet has found to fail, but for those that this front has
// itself seen to be well lately, and never all of a hub.
func (s *shared) away(boxes []string) []string {
	if s.seen == nil {
		return boxes
	}
	now := mono()
	var add []string
	hubs := map[string]int{}
	for name, h := range s.holds {
		state, fresh := s.seen.State(name, now)
		if s.watch || now+lookEvery >= h.Until || fresh && state != outlier.Failing {
			continue
		}
		add = append(add, name)
	}
	slices.Sort(add)
	kept := add[:0]
	for _, name := range add {
		zone, kind, known := s.p.bars.ZoneAndKind(name)
		if !known {
			continue
		}
		hub := zone + "/" + kind
		if all := s.p.bars.Count(zone, kind); hubs[hub]+1 < all {
			hubs[hub]++
			kept = append(kept, name)
		}
	}
	for _, name := range kept {
		s.acted(name, true, hubs)
	}
	for name := range s.acts {
		if !slices.Contains(kept, name) {
			s.acted(name, false, hubs)
		}
	}
	if len(kept) == 0 {
		return boxes
	}
	return append(slices.Clone(boxes), kept...)
}

// acted tells of a verdict that this front begins to act on, or no longer does.
func (s *shared) acted(name string, on bool, hubs map[string]int) {
	if s.acts[name] == on {
		return
	}
	if on {
		s.acts[name] = true
	} else {
		delete(s.acts, name)
	}
	h := s.holds[name]
	s.p.log.Info("fleet: a verdict on a box", "box", name, "acts", on, "number", h.Number, "witnesses", h.Count, "sites", h.Sites)
	if s.part != nil && h.Number != 0 {
		zone, kind, _ := s.p.bars.ZoneAndKind(name)
		all := s.p.bars.Count(zone, kind)
		s.part.RecordVerdict(h, on, all, all-hubs[zone+"/"+kind])
	}
}

// Opinions is part of exchange.Witness.
func (h fleetHost) Observations(front, site string) (list []outlier.Observation, boxes map[string]int) {
	s := h.p.shared
	if s.seen == nil {
		return nil, nil
	}
	return s.seen.Observations(front, site, mono()), h.p.bars.CountByZoneAndKind()
}

// Judged is part of exchange.Witness.
func (h fleetHost) ApplyVerdicts(list []outlier.HeldVerdict) { h.p.shared.judged(list) }

// Sights gives what attempts took since it was last asked.
func (h fleetHost) LatencySamples(each func(region, edge string, took int64)) {
	s := h.p.shared
	for _, x := range s.samples {
		each(x.region, x.edge, x.took)
	}
	s.samples = s.samples[:0]
}

// Room is which part of each edge's boxes no verdict takes away.
func (h fleetHost) EdgeCapacity() map[string]float64 {
	s, out, now := h.p.shared, map[string]float64{}, mono()
	for hub, n := range h.p.bars.CountByZoneAndKind() {
		zone, bad := hub, 0
		if i := strings.LastIndexByte(hub, '/'); i >= 0 {
			zone = hub[:i]
		}
		for name, v := range s.holds {
			if z, _, known := h.p.bars.ZoneAndKind(name); known && z == zone && now < v.Until {
				bad++
			}
		}
		room := 1 - float64(bad)/float64(max(1, n))
		if old, ok := out[zone]; !ok || room < old {
			out[zone] = room
		}
	}
	return out
}
