package world

import (
	"slices"

	"cherryramp/rules"
)

// View is how a world is at a moment of its day.
type View struct {
	At         Micros // of the day; below 0 in the warm-up
	Tries      int    // so far, as the next four
	Attempts   int
	Refused    int
	Failed     int
	Denied     int     // calls that the store turned away
	Asked      float64 // worth in the last ten whole seconds, and what was earned of it
	Earned     float64
	Servers    []ServerView
	Fronts     []FrontView
	Troubles   []Fault // that go on
	Broken     int
	Violations []Violation // the last few
}

// ServerView is a server in a View.
type ServerView struct {
	Name, Kind string
	State      string  // serving, draining, gone, cut off
	Share      float64 // of its capacity that it has, while it warms
	Load       float64 // asked of its link; above 1 all are slowed
	Work       int     // requests at it
}

// FrontView is a front in a View.
type FrontView struct {
	Name, Address, Signed string // addresses on sockets only
	Serves                bool
	Held, KB, Descriptors int
}

// shownViolations is how many of them a view has.
const shownViolations = 4

// Watch has a world be looked at now and then, from the begin of its first moment
// on; look is called on the world's loop and must not keep it. To be called before
// Run.
func (w *World) Watch(every Micros, look func(View)) {
	var tick func()
	tick = func() {
		look(w.view())
		w.after(every, tick)
	}
	w.loop.Post(tick)
}

// Stop ends a day at once. It may be called from anywhere.
func (w *World) Stop() { w.loop.Post(w.quit) }

// Inject has a trouble begin now, and tells what is wrong with it. It may be called
// from anywhere while the day runs.
func (w *World) Inject(t Fault, told func(error)) {
	w.loop.Post(func() {
		t.At = w.loop.Now() - w.began
		err := w.plan(&t)
		if err == nil && t.Duration > 0 {
			w.injected = append(w.injected, t)
		}
		told(err)
	})
}

func (w *World) view() View {
	now := w.loop.Now()
	v := View{At: now - w.began, Tries: w.stats.Tries, Attempts: w.stats.Attempts, Denied: w.stats.Denied}
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
		case s.silent || w.cut(s):
			state = "cut off"
		case !s.up:
			state = "down"
		}
		v.Servers = append(v.Servers, ServerView{s.name, kinds[s.kind], state, s.share(), s.out.load(), s.work})
	}
	for _, f := range w.fronts {
		x := FrontView{Name: f.name, Serves: f.serves}
		if f.serves {
			x.Held, x.KB, x.Descriptors = f.prog.held()
			if o, ok := f.prog.(*outside); ok {
				x.Address, x.Signed = o.listen, o.signed
			}
		}
		v.Fronts = append(v.Fronts, x)
	}
	for _, n := range w.stats.Broken {
		v.Broken += n
	}
	v.Violations = slices.Clone(w.violations[max(0, len(w.violations)-shownViolations):])
	w.injected = slices.DeleteFunc(w.injected, func(t Fault) bool { return t.At+t.Duration <= v.At })
	v.Troubles = slices.Clone(w.injected)
	for _, t := range w.planned {
		if t.At <= v.At && v.At < t.At+t.Duration {
			v.Troubles = append(v.Troubles, t)
		}
	}
	return v
}
