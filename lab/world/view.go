package world

import (
	"slices"

	"cherryramp/rules"
)

// View is the state of a world at a moment of its day.
type View struct {
	At         Micros // of the day; negative in the warm-up
	Tries      int    // total so far, as are the next four
	Attempts   int
	Refused    int
	Failed     int
	Denied     int     // calls that the store turned away
	Asked      float64 // worth requested in the last ten whole seconds, and worth earned of it
	Earned     float64
	Servers    []ServerView
	Fronts     []FrontView
	Faults     []Fault // in progress
	Broken     int
	Violations []Violation // the most recent ones
}

// ServerView is a server in a View.
type ServerView struct {
	Name, Kind string
	State      string  // serving, draining, gone, down or cut off
	Share      float64 // available fraction of its capacity while it warms up
	Load       float64 // demand on its link; above 1 all transfers are slowed
	Work       int     // requests in progress
}

// FrontView is a front in a View.
type FrontView struct {
	Name, Address, Signed string // addresses on sockets only
	Serves                bool
	Held, KB, Descriptors int
}

// shownViolations is the number of violations in a view.
const shownViolations = 4

// Watch calls look at a regular interval from the start of the warm-up; look runs on
// the world's loop and must not block it. Watch has to be called before Run.
func (w *World) Watch(every Micros, look func(View)) {
	var tick func()
	tick = func() {
		look(w.view())
		w.after(every, tick)
	}
	w.loop.Post(tick)
}

// Stop ends a day at once. It may be called from any goroutine.
func (w *World) Stop() { w.loop.Post(w.shutDown) }

// Inject starts a fault now and passes nil, or why the fault is invalid, to done. It
// may be called from any goroutine while the day runs.
func (w *World) Inject(t Fault, done func(error)) {
	w.loop.Post(func() {
		t.At = w.loop.Now() - w.start
		err := w.scheduleFault(&t)
		if err == nil && t.Duration > 0 {
			w.injectedFaults = append(w.injectedFaults, t)
		}
		done(err)
	})
}

func (w *World) view() View {
	now := w.loop.Now()
	v := View{At: now - w.start, Tries: w.stats.Tries, Attempts: w.stats.Attempts, Denied: w.stats.Denied}
	for i := range w.spec.Classes {
		v.Refused, v.Failed = v.Refused+w.stats.Refused[i], v.Failed+w.stats.Failed[i]
	}
	if n := int(v.At / second); n > 0 {
		for _, x := range w.stats.Seconds[max(0, min(n, len(w.stats.Seconds))-tenSeconds):min(n, len(w.stats.Seconds))] {
			v.Asked, v.Earned = v.Asked+x.Asked, v.Earned+x.Earned
		}
	}
	for _, s := range w.servers {
		state := map[State]string{rules.Ready: "serving", rules.Draining: "draining", rules.Gone: "gone"}[s.state]
		switch {
		case s.unreachable || w.isCut(s):
			state = "cut off"
		case !s.up:
			state = "down"
		}
		v.Servers = append(v.Servers, ServerView{s.name, serverKinds[s.kind], state, s.capacityShare(), s.out.load(), s.active})
	}
	for _, f := range w.fronts {
		x := FrontView{Name: f.name, Serves: f.serving}
		if f.serving {
			x.Held, x.KB, x.Descriptors = f.program.resources()
			if o, ok := f.program.(*subprocess); ok {
				x.Address, x.Signed = o.listen, o.signed
			}
		}
		v.Fronts = append(v.Fronts, x)
	}
	for _, n := range w.stats.Broken {
		v.Broken += n
	}
	v.Violations = slices.Clone(w.violations[max(0, len(w.violations)-shownViolations):])
	w.injectedFaults = slices.DeleteFunc(w.injectedFaults, func(t Fault) bool { return t.At+t.Duration <= v.At })
	v.Faults = slices.Clone(w.injectedFaults)
	for _, t := range w.plannedFaults {
		if t.At <= v.At && v.At < t.At+t.Duration {
			v.Faults = append(v.Faults, t)
		}
	}
	return v
}
