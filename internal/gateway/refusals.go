package gateway

import "cherryramp/rules"

// refusalSpan is how long after a line on a reason the next one on it may stand in the log, in us.
const refusalSpan = 1_000_000

// refusals counts the requests that the module refused, by reason, and says when one of them is told.
// It holds a fixed number of counts.
type refusals [rules.NumReasons]struct {
	total  uint64
	logged Micros // when a line last told of it; 0: never
}

// count adds a refusal. It gives how many there were for its reason since the start, and whether
// a line is due.
func (r *refusals) count(reason rules.Reason, now Micros) (total uint64, due bool) {
	x := &r[reason]
	x.total++
	if due = x.logged == 0 || now-x.logged >= refusalSpan; due {
		x.logged = now
	}
	return x.total, due
}

// refuse answers a call with the module's refusal.
func (g *Gateway) refuse(a rules.Refuse) {
	if c := g.calls[a.ID]; c != nil && !c.over {
		g.logRefusal(c, a.Cause)
	}
	g.finish(a.ID, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
}

func (g *Gateway) logRefusal(c *Call, cause rules.Cause) {
	total, due := g.refusals.count(cause.Reason, g.loop.Now())
	if !due {
		return
	}
	server := ""
	if s := g.servers[cause.Server]; s != nil {
		server = s.Name
	}
	g.log.Info("request refused", "reason", cause.Reason, "refused", total, "id", c.ID, "class", c.Class,
		"attempts", len(c.attempts), "open", len(g.calls)-1, "server", server, "in_flight", cause.InFlight,
		"expected_us", cause.Expected, "left_us", cause.Remaining, "slow", cause.Slowdown)
}
