package load

import (
	"runtime"
	"time"
)

// spin is how long before a moment a precise clock stops sleeping: the runtime's
// timers come up to a millisecond late where the poller waits in whole ones.
const spin = 1500 // us

// precise is the system's clock with a Wait that looks at it again and again for
// the last stretch. It costs up to a core.
type precise struct{ timer *time.Timer }

// Now is part of loop.Clock.
func (p *precise) Now() Micros { return time.Now().UnixMicro() }

// Wait is part of loop.Clock.
func (p *precise) Wait(until Micros, wake <-chan struct{}) {
	if far := min(until-p.Now(), int64(time.Hour/time.Microsecond)) - spin; far > 0 {
		span := time.Duration(far) * time.Microsecond
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
