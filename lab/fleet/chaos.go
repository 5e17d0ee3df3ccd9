package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// Day is what became of a random day.
type Day struct {
	Seed     uint64
	Fronts   int
	Asked    int
	Ended    int
	Most     int // fronts out at once
	Proposed int // versions
	Bars     int // that have passed
	Checked  int // states compared
	Entries  uint64
	Digest   string
	Broken   []string
}

// Chaos plays a random day: works asked for at any front, while fronts crash, stop,
// lose their disks and contact; then all is well again, and what must hold then is
// looked at. Span is the bad part's length.
func PlayRandomDay(s Spec, span Micros, verbose func(string)) (Day, *World) {
	r := rand.New(rand.NewPCG(s.Seed, 0xc4a05))
	if s.Rules == (maintenance.Rules{}) {
		s.Rules = ShortRules()
		s.Rules.MaxOut = 1 + r.IntN(max(1, s.Fronts/4))
		s.Rules.MaxZoneOut = 1 + r.IntN(s.Rules.MaxOut)
		s.Rules.MaxFrontsPercent = 20 + r.IntN(40)
		s.Rules.UnhealthyPercent = 20 + r.IntN(60)
		s.Rules.LeaseSpan = []Micros{0, 0, 2, 5, 20}[r.IntN(5)] * Second
	}
	w := NewWorld(s)
	w.Verbose = verbose
	c := &chaos{w: w, r: r, day: Day{Seed: s.Seed, Fronts: s.Fronts}, begun: map[uint64]Micros{}}
	order := r.Perm(len(w.Fronts))
	for _, i := range order {
		f := w.Fronts[i]
		w.After(Micros(r.Int64N(int64(3*Second))), f.Start)
	}
	w.RunUntil(90*Second, w.Settled)
	c.asking(w.now + span)
	if r.IntN(3) > 0 {
		c.proposing(w.now + span)
	}
	c.end = w.now + span
	w.Checker.onLeave = c.ambush
	c.troubles(w.now + span)
	w.Run(w.now + span)
	return c.finish(), w
}

// finish ends all troubles, waits until the fleet is well, and tells what became of the day.
func (c *chaos) finish() Day {
	w := c.w
	c.heal()
	// Once contact is back, everybody asked for is dealt with: what is out comes back.
	w.Run(w.now + 12*Second) // so long an asking may be on its way
	well := func() bool { c.tend(); return c.over() && w.Settled() }
	ok := w.RunUntil(600*Second, well)
	if !ok && !w.Checker.Failed() {
		w.Checker.fail("600 s after contact was back the fleet is not well")
	}
	w.Checker.CheckFinal()
	if l := w.Leader(); l != nil {
		c.day.Entries = l.node.Applied()
		c.day.Ended = len(l.node.Replica().State().Maintenance.Ended)
	}
	c.day.Bars = w.Checker.GatesPassed
	c.day.Most, c.day.Checked, c.day.Digest, c.day.Broken = w.Checker.MaxOut, w.Checker.StatesCompared, w.Digest(), w.Checker.Violations()
	return c.day
}

type chaos struct {
	w     *World
	r     *rand.Rand
	day   Day
	wet   Micros
	end   Micros
	begun map[uint64]Micros // when a front was last restarted under a permit
}

// ambush has something go wrong at the very moment at which leave is given.
func (c *chaos) ambush(x maintenance.Operation) {
	w, f := c.w, c.w.byName[x.Machine]
	if w.now >= c.end || f == nil || c.r.IntN(2) == 0 {
		return
	}
	after := func(do func()) { w.After(Micros(c.r.Int64N(int64(20*Second))), do) }
	w.After(Micros(c.r.Int64N(int64(10*Milli))), func() {
		switch c.r.IntN(5) {
		case 0:
			f.Pause(true)
			after(func() { f.Pause(false) })
		case 1:
			if l := w.Leader(); l != nil {
				l.Crash()
				after(l.Start)
			}
		case 2: // it hears, and is not heard
			for _, o := range w.Fronts {
				w.Cut(f.Name, o.Name, true)
			}
			after(func() { w.Partition() })
		case 3: // or nothing at all
			for _, o := range w.Fronts {
				w.Cut(f.Name, o.Name, true)
				w.Cut(o.Name, f.Name, true)
			}
			after(func() { w.Partition() })
		case 4: // what it says comes late
			w.lag[f.Name] = 3*Second + Micros(c.r.Int64N(int64(6*Second)))
			after(func() { delete(w.lag, f.Name) })
		}
	})
}

func (c *chaos) front() *Front { return c.w.Fronts[c.r.IntN(len(c.w.Fronts))] }

// asking has works asked for until a moment, some twice at two fronts, and persons
// change their minds.
func (c *chaos) asking(until Micros) {
	w := c.w
	w.After(Micros(c.r.Int64N(int64(8*Second))), func() {
		if w.now >= until {
			return
		}
		x := maintenance.Operation{Machine: c.front().Name, Duration: Micros(1+c.r.IntN(20)) * Second, Importance: c.r.IntN(3),
			Urgent: c.r.IntN(8) == 0, EndsOnRestart: c.r.IntN(2) == 0, SingleZone: c.r.IntN(6) == 0}
		if c.r.IntN(4) == 0 {
			x = maintenance.Operation{Machine: fmt.Sprintf("box%d", c.r.IntN(4)), Kind: maintenance.Box, Zone: c.front().Zone, Duration: Second}
		}
		if c.r.IntN(5) == 0 {
			x.ConflictsWith = []string{c.front().Name}
		}
		if c.r.IntN(6) == 0 {
			x.StartWithin = Micros(1+c.r.IntN(60)) * Second
		}
		c.day.Asked++
		for i := range 1 + c.r.IntN(2) {
			x.Reason = fmt.Sprintf("asking %d.%d", c.day.Asked, i)
			w.RequestOperation(c.front(), x, func(statemachine.Result, error) {})
		}
		if c.r.IntN(5) == 0 {
			what := []string{statemachine.Cancel, statemachine.Finish, statemachine.Lost, statemachine.Hold, statemachine.Resume}[c.r.IntN(5)]
			w.SubmitOrder(c.front(), statemachine.Order{Action: what, Operation: uint64(1 + c.r.IntN(c.day.Asked))}, func(statemachine.Result, error) {})
		}
		c.tend()
		c.asking(until)
	})
}

// proposing has versions proposed until a moment: good ones, some that crash or fail
// who takes them up, some that one front turns down; some with bars, some urgent.
func (c *chaos) proposing(until Micros) {
	w := c.w
	w.After(Micros(c.r.Int64N(int64(12*Second))), func() {
		if w.now >= until {
			return
		}
		at := c.front()
		c.day.Proposed++
		text := fmt.Sprintf("good %d", c.day.Proposed)
		switch c.r.IntN(8) {
		case 0:
			text = "crashes"
		case 1:
			text = "fails"
		case 2:
			text = "turned down " + c.front().Name
		}
		v := rollout.Version{Reason: fmt.Sprintf("proposal %d", c.day.Proposed), Digest: rollout.Hash([]byte(text)), Pieces: []string{rollout.Hash([]byte(text))},
			Watch: Micros(c.r.IntN(3)) * Second, Steps: [][]int{{0, 10, 100}, {100}, {0, 50}}[c.r.IntN(3)]}
		if c.r.IntN(2) == 0 && w.spec.Rules.LeaseSpan > 0 {
			v.Gate = Micros(1+c.r.IntN(5)) * Second
		}
		if text[0] == 'g' && c.r.IntN(4) == 0 {
			v.Urgent = true
		}
		if at.node != nil && !at.paused {
			v.Base = at.node.Replica().State().Rollout.Stable
			w.order(at, statemachine.Command{Piece: []byte(text)}, func(word statemachine.Result, err error) {
				if err == nil && word.Err == "" {
					w.After(Milli, func() { w.order(at, statemachine.Command{Propose: &v}, func(statemachine.Result, error) {}) })
				}
			})
		}
		c.proposing(until)
	})
}

// tend does what persons do: a front that is out is restarted or said to be done.
func (c *chaos) tend() {
	l := c.w.Leader()
	if l == nil || c.w.now < c.wet {
		return
	}
	c.wet = c.w.now + Second
	s := l.node.Replica().State()
	for _, x := range s.Maintenance.Operations {
		if x.Phase != maintenance.Out || s.Now-x.Since < min(x.Duration, 5*Second) {
			continue
		}
		if f := c.w.byName[x.Machine]; x.EndsOnRestart && f != nil {
			if f.Up() && !f.paused && (c.begun[x.Permit] == 0 || c.w.now-c.begun[x.Permit] > 20*Second) {
				c.begun[x.Permit] = c.w.now
				f.Crash()
				c.w.After(Micros(c.r.Int64N(int64(2*Second))), f.Start)
			}
			continue
		}
		c.w.SubmitOrder(l, statemachine.Order{Action: statemachine.Finish, Operation: x.ID}, func(statemachine.Result, error) {})
	}
}

// troubles has things go wrong until a moment, and each of them end some time later.
func (c *chaos) troubles(until Micros) {
	w := c.w
	w.After(Micros(c.r.Int64N(int64(4*Second))), func() {
		if w.now >= until {
			return
		}
		f := c.front()
		after := func(do func()) { w.After(Micros(c.r.Int64N(int64(15*Second))), do) }
		switch c.r.IntN(14) {
		case 0, 1:
			f.Crash()
			after(f.Start)
		case 2: // the leader
			if l := w.Leader(); l != nil {
				l.Crash()
				after(l.Start)
			}
		case 3:
			if c.wipeable(f) {
				f.Wipe()
				after(f.Start)
			}
		case 4:
			f.Pause(true)
			after(func() { f.Pause(false) })
		case 5: // hears and is not heard, or the other way round
			in := c.r.IntN(2) == 0
			for _, o := range w.Fronts {
				if in {
					w.Cut(o.Name, f.Name, true)
				} else {
					w.Cut(f.Name, o.Name, true)
				}
			}
			after(func() { w.Partition() })
		case 6: // two halves, or a pair that only hear each other
			names := c.shuffled()
			n := 1 + c.r.IntN(len(names))
			w.Partition(names[:n], names[n:])
			after(func() { w.Partition() })
		case 7: // a bridge: both halves reach one
			names := c.shuffled()
			if n := len(names) / 2; n > 0 {
				w.Partition(append(slices.Clone(names[:n]), names[n]), names[n:])
				after(func() { w.Partition() })
			}
		case 8: // a zone at once
			for _, o := range w.Fronts {
				if o.Zone == f.Zone {
					o.Crash()
					after(o.Start)
				}
			}
		case 9:
			w.loss, w.double = 0.2*c.r.Float64(), 0.2*c.r.Float64()
			w.delay, w.jitter = Micros(c.r.Int64N(int64(200*Milli))), Micros(c.r.Int64N(int64(Second)))
			after(func() { w.loss, w.double, w.delay, w.jitter = 0, 0, Milli, Milli })
		case 10:
			f.slow = Micros(c.r.Int64N(int64(800 * Milli)))
			after(func() { f.slow = 0 })
		case 11:
			f.full = true
			after(func() { f.full = false })
		case 12: // all at once, one with a torn end
			for _, o := range w.Fronts {
				o.Crash()
				if len(o.disk) > 3 && o == f {
					w.log("%s's journal had a torn end", o.Name)
				}
				after(o.Start)
			}
		case 13:
			before := f.clock()
			f.rate = 0.9 + 0.2*c.r.Float64()
			f.offset += before - f.clock() // its clock goes on from where it is
		}
		c.troubles(until)
	})
}

// wipeable tells whether a front's disk may be lost: so many at a time that a
// majority of the voters still has its own. More than that takes what was agreed
// with it, and nothing promises otherwise.
func (c *chaos) wipeable(f *Front) bool {
	l := c.w.Leader()
	if l == nil || len(c.w.Fronts) < 3 || len(f.disk) == 0 {
		return false
	}
	s := l.node.Replica().State()
	if len(s.Seats.Voters) < 3 || s.Seats.Joint || len(s.Seats.Learners) > 0 || l.node.PendingChange() != "" {
		return false // a change of seats is under way, by which the majority may be another at once
	}
	whole := 0
	for _, o := range c.w.Fronts {
		if own := s.Members.Find(o.Name); own != nil && s.Seats.Has(own.ID) && o != f && len(o.disk) > 0 && own.ID == o.incarnation() {
			whole++
		}
	}
	return whole >= len(s.Seats.Voters)/2+1 && c.w.now > 20*Second
}

// incarnation is the one of a front's disk.
func (f *Front) incarnation() uint64 {
	if f.node != nil {
		return f.node.ID()
	}
	return f.lastID
}

func (c *chaos) shuffled() (names []string) {
	for _, i := range c.r.Perm(len(c.w.Fronts)) {
		names = append(names, c.w.Fronts[i].Name)
	}
	return names
}

// heal ends all troubles.
func (c *chaos) heal() {
	w := c.w
	w.log("all is well again")
	w.Partition()
	w.loss, w.double, w.delay, w.jitter = 0, 0, Milli, Milli
	clear(w.lag)
	for _, f := range w.Fronts {
		f.slow, f.full = 0, false
		f.Pause(false)
		f.Start()
	}
	w.After(2*Second, func() {
		for _, f := range w.Fronts {
			f.Pause(false)
			f.Start()
		}
		w.SubmitOrder(w.Fronts[0], statemachine.Order{Action: statemachine.Resume}, func(statemachine.Result, error) {})
	})
	w.After(20*Second, func() {
		w.Partition()
		if l := w.Leader(); l != nil {
			w.SubmitOrder(l, statemachine.Order{Action: statemachine.Resume}, func(statemachine.Result, error) {})
		}
	})
}

// over tells whether no work is left.
func (c *chaos) over() bool {
	l := c.w.Leader()
	if l == nil {
		return false
	}
	s := l.node.Replica().State()
	if s.Rollout.Candidate() != nil || len(s.Maintenance.Operations) > 0 {
		return false
	}
	for _, f := range c.w.Fronts { // the last version has come to all
		if f.node != nil && f.taker.Active() != s.Rollout.Stable && f.taker.Report().Crashed != s.Rollout.Stable && f.taker.Report().Refused != s.Rollout.Stable {
			return false
		}
	}
	return true
}

// Result is what became of many days.
type Result struct {
	Days, Asked, Ended, Checked, Most int
	Proposed, Bars                    int
	Entries                           uint64
	First                             *Day   `json:",omitempty"` // that broke a promise
	World                             *World `json:"-"`
}

// Add counts a day in.
func (r *Result) Add(d Day) {
	r.Days++
	r.Asked, r.Ended, r.Checked = r.Asked+d.Asked, r.Ended+d.Ended, r.Checked+d.Checked
	r.Proposed, r.Bars = r.Proposed+d.Proposed, r.Bars+d.Bars
	r.Most, r.Entries = max(r.Most, d.Most), r.Entries+d.Entries
}

// Days plays so many random days, of fleets of different sizes, until one breaks a promise.
func PlayRandomDays(from uint64, days int, without statemachine.Mutation, progress func(done int)) (res Result) {
	for i := range days {
		seed := from + uint64(i)
		d, w := PlayRandomDay(RandomSpec(seed, without), 60*Second, nil)
		res.Add(d)
		if len(d.Broken) > 0 {
			res.First, res.World = &d, w
			return res
		}
		if progress != nil {
			progress(res.Days)
		}
	}
	return res
}

// Random is a random day's fleet.
func RandomSpec(seed uint64, without statemachine.Mutation) Spec {
	r := rand.New(rand.NewPCG(seed, 0x51fe))
	return Spec{Fronts: []int{3, 3, 4, 5, 5, 7, 9, 12}[r.IntN(8)], Zones: 1 + r.IntN(4), Seed: seed, FanOut: 2 + r.IntN(6), Mutation: without}
}
