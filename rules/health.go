package rules

// Health: ejection of caches and parents that fail. Each gateway decides from its own observations.

// recordHealth records one outcome of a member, from 0 (good) to 1 (bad). It ejects a member with a high
// error rate and readmits it after successful trials.
func (r *Router) recordHealth(m *member, trial bool, bad float64) {
	if m == nil || m.tier == tierOrigin {
		return
	}
	m.errorRate += errorGain * (bad - m.errorRate)
	m.samples++
	switch {
	case m.ejectedUntil > 0 && trial && bad >= 0.5:
		m.passedTrials = 0
		m.backoff = min(2*m.backoff, maxEjection)
		m.ejectedUntil = r.now + m.backoff
	case m.ejectedUntil > 0 && trial:
		if m.passedTrials++; m.passedTrials >= trialsNeeded {
			m.ejectedUntil, m.errorRate, m.samples, m.passedTrials = 0, 0, 0, 0
		}
	case m.ejectedUntil == 0 && m.errorRate > ejectThreshold: // after six failures in a row at the earliest
		m.backoff = max(minEjection, m.backoff)
		m.ejectedUntil = r.now + m.backoff
	case m.ejectedUntil == 0 && m.samples > 100:
		m.backoff = 0
	}
}
