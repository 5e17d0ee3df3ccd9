package gateway

import "cherryramp/rules"

// refusalLogInterval is the minimum time between two log lines on the same reason, in us.
const refusalLogInterval = 1_000_000

// refusals counts the requests that the router refused, by reason, and limits how often one is logged.
type refusals [rules.NumReasons]struct {
	total  uint64
	logged Micros // time of the last log line on it; 0: never
}

// count adds a refusal. It returns the number for its reason since the start, and whether a log line
// is due.
func (r *refusals) count(reason rules.Reason, now Micros) (total uint64, due bool) {
	x := &r[reason]
	x.total++
	if due = x.logged == 0 || now-x.logged >= refusalLogInterval; due {
		x.logged = now
	}
	return x.total, due
}

// refuse answers a call with the router's refusal.
func (g *Gateway) refuse(a rules.Refuse) {
	if c := g.calls[a.ID]; c != nil && !c.ended {
		g.logRefusal(c, a.Cause)
	}
	g.finish(a.ID, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
}

// logRefusal logs a refusal with its cause, unless one with its reason was logged just before.
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
