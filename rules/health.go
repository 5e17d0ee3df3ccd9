package rules

// Health. Guards against members that fail, die or refuse; the same rule for
// every tier, and each gateway by what it saw itself.

// judge books one outcome on a member: 0 good to 1 bad.
func (r *Router) judge(m *member, trial bool, bad float64) {
	if m == nil || m.tier == tierOrigin {
		return
	}
	m.errs += errorGain * (bad - m.errs)
	m.samples++
	switch {
	case m.ejected > 0 && trial && bad >= 0.5:
		m.passed = 0
		m.backoff = min(2*m.backoff, ejectMost)
		m.ejected = r.now + m.backoff
	case m.ejected > 0 && trial:
		if m.passed++; m.passed >= trialsNeeded {
			m.ejected, m.errs, m.samples, m.passed = 0, 0, 0, 0
		}
	case m.ejected == 0 && m.errs > errorLimit: // six at the least
		m.backoff = max(ejectFirst, m.backoff)
		m.ejected = r.now + m.backoff
	case m.ejected == 0 && m.samples > 100:
		m.backoff = 0
	}
}
