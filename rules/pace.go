package rules

import "math"

// How servers answer: the estimates of their times, learnt from outcomes, and what follows from them
// for a request that has an aim.

// pace is a fading estimate of how a member answers.
type pace struct {
	slow float64 // excess of a hit's time, or a fill's past its first byte, over a hit's as expected
	wait float64 // us until the first byte of a fill
	at   Micros
}

// gauge books a sample of a member's pace on it and its tier. A sample after a
// silence counts for the time that it bridges.
func (r *Router) gauge(m *member, wait, slow, trust float64) {
	for _, p := range []*pace{&m.pace, &r.tiers[m.tier]} {
		gain := trust * max(paceGain, 1-fade(r.now-p.at, easeHalf))
		p.slow += gain * (min(slow, slowMost) - p.slow)
		p.wait += gain * (wait - p.wait)
		p.at = r.now
	}
}

// paceOf is a member's pace as far as it was seen lately, else that of its
// tier: where hundreds share the work, most members were not seen lately.
func (r *Router) paceOf(m *member) pace {
	own, t := fade(r.now-m.pace.at, easeHalf), &r.tiers[m.tier]
	rest := (1 - own) * fade(r.now-t.at, easeHalf)
	return pace{slow: max(0, own*m.slow+rest*t.slow), wait: own*m.wait + rest*t.wait}
}

// aim is the span from its coming within which an answer earns the full worth.
func (q *request) aim() Micros {
	return min(q.class.Aim+Micros(q.class.AimStretch*q.work), q.deadline-q.came)
}

// fits tells whether a cache with what it has out for all gateways can answer within the aim. The
// largest work per worth stops fitting first. Guards against jams: a rush, slow fills, lost caches.
func (r *Router) fits(m *member, q *request) bool {
	p := r.paceOf(m)
	return r.inAim(q, m, p, ReasonServerSlow, r.expect(m, q)*(1+p.slow))
}

// fillFits tells whether a fill, as fills went lately, can still be in time.
func (r *Router) fillFits(m, source *member, q *request) bool {
	p := r.paceOf(source)
	return r.inAim(q, source, p, ReasonFillSlow, p.wait+r.expect(m, q)*(1+p.slow))
}

// inAim tells whether an answer that is expected after so long can be in time, and notes it as the
// cause of a refusal where it can't.
func (r *Router) inAim(q *request, m *member, p pace, reason Reason, expected float64) bool {
	left := float64(q.came + q.aim() - r.now)
	if expected <= left {
		return true
	}
	if !q.hopeless { // else its cause is known
		q.cause = Cause{Reason: reason, Server: m.ID, Expected: Micros(expected), Remaining: Micros(left),
			Slowdown: p.slow, InFlight: m.inFlight}
	}
	return false
}

// probing is what tests a tier's pace.
type probing struct {
	out  int    // attempts that do
	last Micros // when one was last sent
}

// probe tells whether a request may go to a server that is expected to answer past its aim, to test that
// belief. A belief that refuses would else stop the very traffic that corrects it and, where it is
// wrong, last until it fades. Of each tier one such attempt is out at a time, to a server where the gateway
// has nothing out; another may go where neither it nor any other answer has told of the pace for an aim.
func (r *Router) probe(m *member, q *request) bool {
	heard := r.tiers[m.tier].at
	if r.now-m.pace.at < easeHalf { // its own pace is what counts
		heard = m.pace.at
	}
	p := &r.probing[m.tier]
	free := p.out == 0 && m.inFlight == 0
	if !free && r.now-max(heard, p.last) < q.aim() {
		return false
	}
	q.probes[m.tier] = true
	return true
}

// probeFill tells whether a request may have a fill that is expected to end past its aim, to test that
// belief. A fill costs the parents and the origin, which all gateways share, so it is tested by a
// request that is alone, and once in the span in which the belief halves by itself.
func (r *Router) probeFill(source *member, q *request) bool {
	if source == nil || r.out > 0 || r.now-r.probing[source.tier].last < easeHalf {
		return false
	}
	q.probes[source.tier] = true
	return true
}

// beginProbes books what a request's attempt tests.
func (r *Router) beginProbes(probes tierSet) {
	for t, tested := range probes {
		if tested {
			r.probing[t].out++
			r.probing[t].last = r.now
		}
	}
}

// endProbes takes it back.
func (r *Router) endProbes(probes tierSet) {
	for t, tested := range probes {
		if tested {
			r.probing[t].out--
		}
	}
}

// expect is the time that a hit should take at a cache. Where weights tell no
// size, only the pace of its answers tells how full it is.
func (r *Router) expect(m *member, q *request) float64 {
	if r.cfg.Weights == WeightsOff || r.cfg.Weights == WeightsLive {
		return q.work
	}
	own, each := float64(m.inFlight+1), float64(m.inFlight+1) // each: what any other gateway may have there
	if m.tier == tierCache {
		mean := r.load * m.size()
		each *= mean / (mean + 1)
	}
	return q.work * max(1, (own+(r.gates(m)-1)*each)/(m.size()*r.slowStart(m)))
}

func (r *Router) hitTime(t *attempt) float64 { return t.expect * (1 + r.paceOf(t.server).slow) }

// patience is how long to wait where some answers never come though the work is done: until a
// second try at the same cache, given room times what a hit takes, can just be in time, but not less
// than slack times what the first may need. Guards against answers lost in silence; where they are
// slow instead it wastes work, within the budget.
func (r *Router) patience(q *request, t *attempt, slack, room float64) Micros {
	hit := r.hitTime(t)
	need := hit
	if t.source != nil && t.source != t.server {
		p := r.paceOf(t.source)
		need = max(hit, p.wait+t.expect*(1+p.slow))
	}
	return max(Micros(slack*need), q.came+q.aim()-r.now-Micros(room*hit), r.cfg.Tick)
}

// fade is what is left of a count or a bad estimate that nothing renewed.
func fade(d, half Micros) float64 { return math.Exp2(-float64(max(0, d)) / float64(half)) }
