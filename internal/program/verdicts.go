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

// sample is the latency of one attempt, from a client region to the edge of its box.
type sample struct {
	region, edge string
	latency      int64
}

// configureObservation sets up what this front observes for the exchange.
func (policy *fleetPolicy) configureObservation(section *config.Exchange) {
	if v := section.Verdicts; v != nil {
		policy.verdictRules, policy.observeOnly = v.Rules(), v.ObserveOnly
		policy.observer = outlier.NewObserver(policy.verdictRules)
	}
	if f := policy.program.operator.Fleet; f != nil {
		policy.branch = f.Zone
	}
	if p := section.Paths; p != nil {
		policy.tracksLatency = true
		for prefix, name := range p.RegionsByPrefix() {
			policy.regions = append(policy.regions, region{prefix, name})
		}
		slices.SortFunc(policy.regions, func(a, b region) int { return b.prefix.Bits() - a.prefix.Bits() }) // longest prefix first
	}
}

// AttemptEnded implements gateway.FleetPolicy.
func (policy *fleetPolicy) AttemptEnded(attempt *gateway.Attempt, code rules.Code, latency gateway.Micros) {
	if policy.observer == nil && !policy.tracksLatency || policy.program.drainOverride == nil {
		return
	}
	zone, kind, known := policy.program.drainOverride.ZoneAndKind(attempt.Server.Name)
	if !known {
		return
	}
	switch code {
	case rules.OK, rules.Miss, rules.Outdated:
		if policy.observer != nil {
			policy.observer.RecordAnswer(attempt.Server.Name, zone+"/"+kind, true, latency, monotonic())
		}
		if policy.tracksLatency && code == rules.OK && len(policy.samples) < maxSamples {
			policy.samples = append(policy.samples, sample{policy.region(attempt.Call.Peer), zone, latency})
		}
	case rules.ServerError, rules.Timeout, rules.Reset, rules.ConnectionBroken, rules.ConnectFailed:
		if policy.observer != nil {
			policy.observer.RecordAnswer(attempt.Server.Name, zone+"/"+kind, false, latency, monotonic())
		}
	}
}

// region returns a client's region by the table of prefixes, or this front's branch if no
// prefix matches.
func (policy *fleetPolicy) region(peer netip.Addr) string {
	peer = peer.Unmap()
	for i := range policy.regions {
		if policy.regions[i].prefix.Contains(peer) {
			return policy.regions[i].name
		}
	}
	return policy.branch
}

// recordOutcome records the outcome of a request of this front's clients.
func (policy *fleetPolicy) recordOutcome(o counters.Outcome) {
	if policy.observer != nil {
		policy.observer.RecordRequest(o == counters.Dropped, monotonic())
	}
}

// RetryAfter implements gateway.FleetPolicy. Retry times grow while this front's hub is
// overloaded.
func (policy *fleetPolicy) RetryAfter(base gateway.Micros) gateway.Micros {
	if policy.observeOnly || base <= 0 {
		return base
	}
	now := monotonic()
	for _, h := range policy.otherVerdicts {
		if h.State == outlier.Overloaded && h.Subject == policy.branch && now < h.Until {
			return policy.verdictRules.RetryAfter(base, h.Factor, policy.random.Float64(), policy.program.cfg.Settings.MaxAway)
		}
	}
	return base
}

// Forged implements signed.SharedLimits.
func (policy *fleetPolicy) Forged(p netip.Prefix) {
	if policy.observer != nil {
		policy.observer.RecordForged(p.String(), monotonic())
	}
}

// Suspect implements signed.SharedLimits.
func (policy *fleetPolicy) Suspect(p netip.Prefix) bool {
	now := monotonic()
	for _, h := range policy.otherVerdicts {
		if h.State == outlier.Forging && now < h.Until && h.Subject == p.String() && !policy.observeOnly {
			return true
		}
	}
	return false
}

// applyVerdicts replaces the verdicts in force.
func (policy *fleetPolicy) applyVerdicts(list []outlier.HeldVerdict) {
	clear(policy.failing)
	policy.otherVerdicts = policy.otherVerdicts[:0]
	for _, h := range list {
		if h.State == outlier.Failing {
			policy.failing[h.Subject] = h
		} else {
			policy.otherVerdicts = append(policy.otherVerdicts, h)
		}
	}
}

// verdictCheckInterval is the longest time between two checks of the verdicts, in us. A
// verdict that expires before the next check is no longer acted on.
const verdictCheckInterval = 100_000

// addFailingBoxes adds the boxes that the fleet has found failing, except those that this
// front has recently observed to be healthy. It never adds all boxes of a hub.
func (policy *fleetPolicy) addFailingBoxes(boxes []string) []string {
	if policy.observer == nil {
		return boxes
	}
	now := monotonic()
	var candidates []string
	avoidedByHub := map[string]int{}
	for name, h := range policy.failing {
		state, fresh := policy.observer.State(name, now)
		if policy.observeOnly || now+verdictCheckInterval >= h.Until || fresh && state != outlier.Failing {
			continue
		}
		candidates = append(candidates, name)
	}
	slices.Sort(candidates)
	avoided := candidates[:0]
	for _, name := range candidates {
		zone, kind, known := policy.program.drainOverride.ZoneAndKind(name)
		if !known {
			continue
		}
		hub := zone + "/" + kind
		if total := policy.program.drainOverride.Count(zone, kind); avoidedByHub[hub]+1 < total {
			avoidedByHub[hub]++
			avoided = append(avoided, name)
		}
	}
	for _, name := range avoided {
		policy.setActing(name, true, avoidedByHub)
	}
	for name := range policy.acting {
		if !slices.Contains(avoided, name) {
			policy.setActing(name, false, avoidedByHub)
		}
	}
	if len(avoided) == 0 {
		return boxes
	}
	return append(slices.Clone(boxes), avoided...)
}

// setActing logs and records that this front starts or stops acting on a verdict.
func (policy *fleetPolicy) setActing(name string, on bool, avoidedByHub map[string]int) {
	if policy.acting[name] == on {
		return
	}
	if on {
		policy.acting[name] = true
	} else {
		delete(policy.acting, name)
	}
	verdict := policy.failing[name]
	policy.program.log.Info("fleet: a verdict on a box", "box", name, "acts", on, "number", verdict.Number, "witnesses", verdict.Count, "sites", verdict.Sites)
	if policy.recorder != nil && verdict.Number != 0 {
		zone, kind, _ := policy.program.drainOverride.ZoneAndKind(name)
		total := policy.program.drainOverride.Count(zone, kind)
		policy.recorder.RecordVerdict(verdict, on, total, total-avoidedByHub[zone+"/"+kind])
	}
}

// Observations implements exchange.Observer.
func (h fleetHost) Observations(front, site string) (list []outlier.Observation, boxes map[string]int) {
	policy := h.p.policy
	if policy.observer == nil {
		return nil, nil
	}
	return policy.observer.Observations(front, site, monotonic()), h.p.drainOverride.CountByZoneAndKind()
}

// ApplyVerdicts implements exchange.Observer.
func (h fleetHost) ApplyVerdicts(list []outlier.HeldVerdict) { h.p.policy.applyVerdicts(list) }

// LatencySamples implements exchange.LatencySource. It passes on the samples since the last
// call.
func (h fleetHost) LatencySamples(each func(region, edge string, took int64)) {
	policy := h.p.policy
	for _, sample := range policy.samples {
		each(sample.region, sample.edge, sample.latency)
	}
	policy.samples = policy.samples[:0]
}

// EdgeCapacity implements exchange.LatencySource. It returns by edge the share of boxes
// without a verdict against them.
func (h fleetHost) EdgeCapacity() map[string]float64 {
	policy, capacity, now := h.p.policy, map[string]float64{}, monotonic()
	for hub, n := range h.p.drainOverride.CountByZoneAndKind() {
		zone, failing := hub, 0
		if i := strings.LastIndexByte(hub, '/'); i >= 0 {
			zone = hub[:i]
		}
		for name, v := range policy.failing {
			if z, _, known := h.p.drainOverride.ZoneAndKind(name); known && z == zone && now < v.Until {
				failing++
			}
		}
		share := 1 - float64(failing)/float64(max(1, n))
		if old, ok := capacity[zone]; !ok || share < old {
			capacity[zone] = share
		}
	}
	return capacity
}
