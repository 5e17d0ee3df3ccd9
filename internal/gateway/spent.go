package gateway

import "cherryramp/rules"

// Bounds of the ids of ended calls that must not run twice. The span is longer than any client
// goes on with a request.
const (
	maxSpentIDs = 1 << 14
	spentIDSpan = 60_000_000 // us
)

// SharedIDs holds the ids of calls that must not run twice for all processes of the front.
type SharedIDs interface {
	// Claimed reports whether an id was claimed lately and not released.
	Claimed(id uint64) bool
	// Claim claims an id before it is sent, and reports false where it was claimed already.
	Claim(id uint64) bool
	// Release takes a claim back, since the call never ran.
	Release(id uint64)
}

// SetSharedIDs sets what holds the ids of calls that must not run twice beyond this process.
func (g *Gateway) SetSharedIDs(shared SharedIDs) { g.shared = shared }

func (g *Gateway) isUnsafe(c *Call) bool {
	return g.cfg.Settings.Classes[c.Class].Effect == rules.Unsafe
}

// isSpent reports whether a call must not run twice and its id has come before with a call that may
// have run, here or at another process: its client has left, or has had its answer.
func (g *Gateway) isSpent(c *Call) bool {
	if !g.isUnsafe(c) {
		return false
	}
	id := hashKey(c.ID)
	return g.spentIDs.Has(id, g.loop.Now()) || g.shared != nil && g.shared.Claimed(id)
}

// claim claims the id of a call that must not run twice before its first byte is sent, and reports
// whether it may be sent.
func (g *Gateway) claim(c *Call) bool {
	if g.shared == nil || c.claimed || !g.isUnsafe(c) {
		return true
	}
	c.claimed = g.shared.Claim(hashKey(c.ID))
	return c.claimed
}

// recordSpent records the id of a call that has ended, if it must not run twice and may have run.
func (g *Gateway) recordSpent(c *Call) {
	switch {
	case !g.isUnsafe(c):
	case c.mayHaveRun:
		g.spentIDs.Add(hashKey(c.ID), g.loop.Now())
	case c.claimed:
		g.shared.Release(hashKey(c.ID))
	}
}
