package rules

import (
	"cmp"
	"math"
)

// Slow start: limits on what is sent to a member that has just started.

// slowStartShare returns the share of its capacity that a member has for sure: 1 when it is warm.
func (r *Router) slowStartShare(m *member) float64 {
	from, span := r.cfg.ColdFrom, r.cfg.WarmUp
	if m.tier == tierParent {
		from, span = r.cfg.ParentColdFrom, r.cfg.ParentWarmUp
	}
	if m.tier == tierOrigin || m.StartedAt == 0 || span <= 0 || r.now-m.StartedAt >= span {
		return 1
	}
	return from + (1-from)*float64(max(0, r.now-m.StartedAt))/float64(span)
}

// withinColdBudget reports whether a cold member can take the request. It bears N calls within FallTime
// from all gateways, which don't coordinate. Each gateway gets an equal part of coldBudgetShare x N per
// FallTime, in whole calls. A minimum of one call each would exceed N, so the fraction is rounded by the
// gateway's rank, evenly and unchanged by a restart, or at random where ranks are unknown. A gateway that
// has just learnt of the member has no saved-up tokens. Example: with N = 37 and 300 gateways, 15 may
// send one call in a second; at random, 15 +- 4. Fills and retries count the same.
func (r *Router) withinColdBudget(m *member, q *request) bool {
	share, span, work := r.slowStartShare(m), max(r.cfg.FallTime, milli), r.usualWork(q)
	multiple := [...]float64{r.cfg.FallMultiple, r.cfg.ParentFallMultiple, 0}[m.tier]
	capacity := share * m.capacity() * multiple * float64(span)
	if share >= 1 || capacity == 0 { // without a multiple there is no limit
		return true
	}
	if r.cfg.Weights == WeightsRough {
		capacity *= roughWeightTrust
	}
	rounding := m.rounding
	if r.cfg.Rank > 0 {
		_, rounding = math.Modf(hashUnit(uint64(m.StartedAt), m.ID, 3) + float64(r.cfg.Rank)*math.Phi)
	}
	calls, cost := math.Floor(capacity*coldBudgetShare/r.gatewaysSharing(m)/work+rounding), r.coldCost(m, q)
	burst := max(1, calls/2) * work // as much is earned per FallTime
	return calls > 0 && cost <= max(capacity*maxColdRequestShare, r.meanWork[q.Class]) &&
		r.hasTokens(m, burst/float64(span), burst, min(cost, work))
}

// hasTokens refills a member's tokens and reports whether they cover the cost.
func (r *Router) hasTokens(m *member, rate, burst, cost float64) bool {
	m.tokens, m.tokensAt = min(m.tokens+rate*float64(r.now-m.tokensAt), burst), r.now
	return m.tokens >= min(cost, burst)
}

// coldCost returns what a request costs of a member's cold budget.
func (r *Router) coldCost(m *member, q *request) float64 {
	if m.tier == tierCache {
		return r.usualWork(q)
	}
	return max(q.work, r.usualWork(q))
}

// usualWork returns the transfer time to assume for the class, at least the prior. Means are learnt only
// from hits, and under overload those are mostly the small ones.
func (r *Router) usualWork(q *request) float64 {
	return max(r.meanWork[q.Class], workPriorShare*float64(q.class.Aim))
}

// capacity returns a member's capacity in transfers at full rate.
func (m *member) capacity() float64 { return cmp.Or(max(0, m.Weight), 1) }
