package discovery

import (
	"cmp"

	"cherryramp/internal/decide/longpoll"
	"cherryramp/internal/gateway"
)

const (
	maxLinger = 150_000 // us that the board may hold a poll
	minGrace  = 100_000 // us; a shorter grace leaves no time for a poll and its answer
)

// Timeouts are a client's timeouts. All derive from the grace that the settings allow for
// acting on events: it counts from when the board holds an event, whether or not the
// connection still delivers. So within the grace the board has to be polled beside a
// connection that is silent, and after an outage the board has to be found again, whether
// connects are refused or hang.
type Timeouts struct {
	linger        gateway.Micros // how long the board may hold a poll
	margin        gateway.Micros // after the linger, from which an answer is late and another poll is sent beside it
	silence       gateway.Micros // after a poll, from which the board is considered silent
	stall         gateway.Micros // between two parts of an answer, from which another poll is sent beside it
	redialAfter   gateway.Micros // from which another connect is started beside one that hangs
	maxRetryPause gateway.Micros // between two connects
}

// TimeoutsFor returns the timeouts for a grace, which it raises to minGrace. 0 or less
// stands for 300 ms, the shortest grace seen at a site.
func TimeoutsFor(grace gateway.Micros) Timeouts {
	g := max(minGrace, cmp.Or(max(0, grace), 300_000))
	linger := min(maxLinger, g/2)
	return Timeouts{linger: linger, margin: g / 8, silence: linger + g/3, stall: g / 3, redialAfter: g / 3, maxRetryPause: g / 4}
}

// schedule returns the timeouts as the intervals of a schedule of polls.
func (t Timeouts) schedule() longpoll.Config {
	return longpoll.Config{Linger: t.linger, Margin: t.margin, Redial: t.redialAfter, Stall: t.stall, Silence: t.silence, MaxRetryPause: t.maxRetryPause}
}
