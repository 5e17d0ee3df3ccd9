package load

import (
	"runtime"
	"time"
)

// spinMargin is how long before a deadline spinningClock stops sleeping: the runtime's
// timers fire up to a millisecond late where the poller waits in whole milliseconds.
const spinMargin = 1500 // us

// spinningClock is the system's clock with a Wait that busy-waits before the deadline.
// It uses up to one core.
type spinningClock struct{ timer *time.Timer }

// Now implements loop.Clock.
func (p *spinningClock) Now() Micros { return time.Now().UnixMicro() }

// Wait implements loop.Clock.
func (p *spinningClock) Wait(until Micros, wake <-chan struct{}) {
	if remaining := min(until-p.Now(), int64(time.Hour/time.Microsecond)) - spinMargin; remaining > 0 {
		span := time.Duration(remaining) * time.Microsecond
		if p.timer == nil {
			p.timer = time.NewTimer(span)
		} else {
			p.timer.Reset(span)
		}
		select {
		case <-wake:
			return
		case <-p.timer.C:
		}
	}
	for p.Now() < until {
		select {
		case <-wake:
			return
		default:
			runtime.Gosched()
		}
	}
}
