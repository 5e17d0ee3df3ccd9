package rules

import "math"

// Pace: estimates of server response times, learnt from outcomes, and whether a request can be answered
// within its aim by them.

// pace is an estimate of a member's response times that decays with time.
type pace struct {
	slowdown float64 // excess over the expected time, as a multiple: of a hit, or a fill after its first byte
	wait     float64 // us until the first byte of a fill
	at       Micros
}

// recordPace adds a sample of a member's pace to its estimate and its tier's. A sample after a pause has
// more weight, by the length of the pause.
func (r *Router) recordPace(m *member, wait, slow, weight float64) {
	for _, p := range []*pace{&m.pace, &r.tierPace[m.tier]} {
		gain := weight * max(paceGain, 1-decay(r.now-p.at, paceHalfLife))
		p.slowdown += gain * (min(slow, maxSlowdown) - p.slowdown)
		p.wait += gain * (wait - p.wait)
		p.at = r.now
	}
}

// paceOf returns a member's pace as far as it has recent samples, else that of its tier: one gateway
// among hundreds has recent samples of few members.
func (r *Router) paceOf(m *member) pace {
	own, t := decay(r.now-m.pace.at, paceHalfLife), &r.tierPace[m.tier]
	tierShare := (1 - own) * decay(r.now-t.at, paceHalfLife)
	return pace{slowdown: max(0, own*m.slowdown+tierShare*t.slowdown), wait: own*m.wait + tierShare*t.wait}
}

// aim returns the time from its arrival within which an answer earns the full worth.
func (q *request) aim() Micros {
	return min(q.class.Aim+Micros(q.class.AimStretch*q.work), q.deadline-q.receivedAt)
}

// fitsAim reports whether a cache can answer within the aim, with the load of all gateways. Requests with
// the most work per worth stop fitting first. This limits overload from bursts, slow fills or lost caches.
func (r *Router) fitsAim(m *member, q *request) bool {
	p := r.paceOf(m)
	return r.withinAim(q, m, p, ReasonServerSlow, r.expectedHitTime(m, q)*(1+p.slowdown))
}

// fillFitsAim reports whether a fill can end within the aim, by the pace of recent fills.
func (r *Router) fillFitsAim(m, source *member, q *request) bool {
	p := r.paceOf(source)
	return r.withinAim(q, source, p, ReasonFillSlow, p.wait+r.expectedHitTime(m, q)*(1+p.slowdown))
}

// withinAim reports whether an answer after the expected time is within the aim. If not, it records that
// as the cause of a refusal.
func (r *Router) withinAim(q *request, m *member, p pace, reason Reason, expected float64) bool {
	left := float64(q.receivedAt + q.aim() - r.now)
	if expected <= left {
		return true
	}
	if !q.hopeless { // else the cause is already set
		q.cause = Cause{Reason: reason, Server: m.ID, Expected: Micros(expected), Remaining: Micros(left),
			Slowdown: p.slowdown, InFlight: m.inFlight}
	}
	return false
}

// probing counts the attempts that test a tier's pace.
type probing struct {
	inFlight int    // such attempts in flight
	sentAt   Micros // when the last one was sent
}

// mayProbe reports whether a request may go to a server that is expected to answer after its aim, to test
// that estimate. Otherwise an estimate that refuses would stop the traffic that corrects it, and a wrong
// one would last until it decays. One such attempt per tier is in flight at a time, to a server where the
// gateway has no other attempt; a further one may go when no sample has come for the length of an aim.
func (r *Router) mayProbe(m *member, q *request) bool {
	sampledAt := r.tierPace[m.tier].at
	if r.now-m.pace.at < paceHalfLife { // then its own pace counts, not its tier's
		sampledAt = m.pace.at
	}
	p := &r.probing[m.tier]
	alone := p.inFlight == 0 && m.inFlight == 0
	if !alone && r.now-max(sampledAt, p.sentAt) < q.aim() {
		return false
	}
	q.probes[m.tier] = true
	return true
}

// mayProbeFill reports whether a request may have a fill that is expected to end after its aim, to test
// that estimate. A fill costs the parents and the origin, which all gateways share, so only a request
// that is alone may test it, and once per half-life of the estimate.
func (r *Router) mayProbeFill(source *member, q *request) bool {
	if source == nil || r.inFlight > 0 || r.now-r.probing[source.tier].sentAt < paceHalfLife {
		return false
	}
	q.probes[source.tier] = true
	return true
}

// beginProbes counts an attempt for the tiers that it tests.
func (r *Router) beginProbes(probes tierSet) {
	for t, tested := range probes {
		if tested {
			r.probing[t].inFlight++
			r.probing[t].sentAt = r.now
		}
	}
}

// endProbes removes an ended attempt from those counts.
func (r *Router) endProbes(probes tierSet) {
	for t, tested := range probes {
		if tested {
			r.probing[t].inFlight--
		}
	}
}

// expectedHitTime returns the time in us that a hit should take at a member by its load. Where weights
// give no capacity, the load is unknown and only the pace of its answers accounts for it.
func (r *Router) expectedHitTime(m *member, q *request) float64 {
	if r.cfg.Weights == WeightsOff || r.cfg.Weights == WeightsLive {
		return q.work
	}
	own, each := float64(m.inFlight+1), float64(m.inFlight+1) // each: assumed of any other gateway
	if m.tier == tierCache {
		mean := r.meanLoad * m.capacity()
		each *= mean / (mean + 1)
	}
	return q.work * max(1, (own+(r.gatewaysSharing(m)-1)*each)/(m.capacity()*r.slowStartShare(m)))
}

// pacedHitTime returns the expected time of a hit, adjusted by the server's pace.
func (r *Router) pacedHitTime(t *attempt) float64 {
	return t.expectedHit * (1 + r.paceOf(t.server).slowdown)
}

// waitTime returns how long to wait for an answer where some get lost silently: until a second try at the
// same cache, with room times the time of a hit, can just end within the aim, but at least slack times
// the time that the first may need. If answers are slow instead of lost, the second try wastes work,
// within the retry budget.
func (r *Router) waitTime(q *request, t *attempt, slack, room float64) Micros {
	hit := r.pacedHitTime(t)
	need := hit
	if t.source != nil && t.source != t.server {
		p := r.paceOf(t.source)
		need = max(hit, p.wait+t.expectedHit*(1+p.slowdown))
	}
	return max(Micros(slack*need), q.receivedAt+q.aim()-r.now-Micros(room*hit), r.cfg.Tick)
}

// decay returns the share of a count or estimate that is left after d, by its half-life.
func decay(d, half Micros) float64 { return math.Exp2(-float64(max(0, d)) / float64(half)) }
