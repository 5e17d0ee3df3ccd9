package rules

import (
	"cmp"
	"math"
)

// Slow start: what a member that has just come up may be sent.

// slowStart is the share of its capacity that a member has at the least.
func (r *Router) slowStart(m *member) float64 {
	from, span := r.cfg.ColdFrom, r.cfg.WarmUp
	if m.tier == tierParent {
		from, span = r.cfg.ParentColdFrom, r.cfg.ParentWarmUp
	}
	if m.tier == tierOrigin || m.StartedAt == 0 || span <= 0 || r.now-m.StartedAt >= span {
		return 1
	}
	return from + (1-from)*float64(max(0, r.now-m.StartedAt))/float64(span)
}

// budget tells whether a cold member can take the request. It bears N calls within FallTime from all
// gateways, which share nothing. Each has its part of coldPart x N for any such span, as whole calls. A
// floor of one for each would add up, so the fraction is rounded by rank, evenly and alike after a restart,
// or by a draw where ranks are untold. Nothing is saved by who has just been told. N = 37 and 300 gateways:
// 15 may send one in a second, whoever is asked; drawn, 15 +- 4. Fills and further attempts count alike.
func (r *Router) budget(m *member, q *request) bool {
	w, span, usual := r.slowStart(m), max(r.cfg.FallTime, milli), r.usual(q)
	multiple := [...]float64{r.cfg.FallMultiple, r.cfg.ParentFallMultiple, 0}[m.tier]
	able := w * m.size() * multiple * float64(span)
	if w >= 1 || able == 0 { // without a multiple it bears anything
		return true
	}
	if r.cfg.Weights == WeightsRough {
		able *= roughTrust
	}
	draw := m.draw
	if r.cfg.Rank > 0 {
		_, draw = math.Modf(unit(uint64(m.StartedAt), m.ID, 3) + float64(r.cfg.Rank)*math.Phi)
	}
	calls, weight := math.Floor(able*coldPart/r.gates(m)/usual+draw), r.weigh(m, q)
	most := max(1, calls/2) * usual // and as much earned in a span
	return calls > 0 && weight <= max(able*coldMost, r.mean[q.Class]) &&
		r.earned(m, most/float64(span), most, min(weight, usual))
}

// earned tells whether a member's tokens allow what costs so many.
func (r *Router) earned(m *member, rate, most, cost float64) bool {
	m.tokens, m.filled = min(m.tokens+rate*float64(r.now-m.filled), most), r.now
	return m.tokens >= min(cost, most)
}

// weigh is what a request counts for at a member.
func (r *Router) weigh(m *member, q *request) float64 {
	if m.tier == tierCache {
		return r.usual(q)
	}
	return max(q.work, r.usual(q))
}

// usual is what requests of the class take. Means are learnt from hits alone, and in a rush the small
// ones are those that hit.
func (r *Router) usual(q *request) float64 {
	return max(r.mean[q.Class], workPriorShare*float64(q.class.Aim))
}

// size is a member's capacity in transfers at full pace.
func (m *member) size() float64 { return cmp.Or(max(0, m.Weight), 1) }
