package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// Day is the outcome of one run. It is printed under its field names.
type Day struct {
	Seed     uint64
	Fronts   int
	Asked    int
	Ended    int
	Most     int // most fronts out of service at once
	Proposed int // versions proposed proposed
	Bars     int // health gates passed
	Checked  int // states compared
	Entries  uint64
	Digest   string
	Broken   []string
}

// PlayRandomDay requests operations at random fronts while fronts crash, pause, and lose
// disks and connectivity; then all faults end, and the final invariants are checked.
// Span is the length of the part with faults.
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
	c := &chaosRunner{world: w, random: r, day: Day{Seed: s.Seed, Fronts: s.Fronts}, restartedAt: map[uint64]Micros{}}
	order := r.Perm(len(w.Fronts))
	for _, i := range order {
		f := w.Fronts[i]
		w.After(Micros(r.Int64N(int64(3*Second))), f.Start)
	}
	w.RunUntil(90*Second, w.Settled)
	c.scheduleRequests(w.now + span)
	if r.IntN(3) > 0 {
		c.scheduleProposals(w.now + span)
	}
	c.faultsEnd = w.now + span
	w.Checker.onPermit = c.disruptGrant
	c.scheduleFaults(w.now + span)
	w.Run(w.now + span)
	return c.finish(), w
}

// finish ends all faults, waits until the fleet has settled, and returns the outcome.
func (c *chaosRunner) finish() Day {
	w := c.world
	c.endFaults()
	// With connectivity restored, all requests are handled and fronts that are out return.
	w.Run(w.now + 12*Second) // a request may be under way for that long
	settled := func() bool { c.completeOperations(); return c.allComplete() && w.Settled() }
	ok := w.RunUntil(600*Second, settled)
	if !ok && !w.Checker.Failed() {
		w.Checker.fail("the fleet has not settled 600 s after connectivity was restored")
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

type chaosRunner struct {
	world          *World
	random         *rand.Rand
	day            Day
	nextCompletion Micros
	faultsEnd      Micros
	restartedAt    map[uint64]Micros // last restart under a permit, by permit
}

// disruptGrant injects a fault just after a permit was granted.
func (c *chaosRunner) disruptGrant(x maintenance.Operation) {
	w, f := c.world, c.world.byName[x.Machine]
	if w.now >= c.faultsEnd || f == nil || c.random.IntN(2) == 0 {
		return
	}
	after := func(do func()) { w.After(Micros(c.random.Int64N(int64(20*Second))), do) }
	w.After(Micros(c.random.Int64N(int64(10*Milli))), func() {
		switch c.random.IntN(5) {
		case 0:
			f.Pause(true)
			after(func() { f.Pause(false) })
		case 1:
			if l := w.Leader(); l != nil {
				l.Crash()
				after(l.Start)
			}
		case 2: // receives but can't send
			for _, o := range w.Fronts {
				w.Cut(f.Name, o.Name, true)
			}
			after(func() { w.Partition() })
		case 3: // neither receives nor sends
			for _, o := range w.Fronts {
				w.Cut(f.Name, o.Name, true)
				w.Cut(o.Name, f.Name, true)
			}
			after(func() { w.Partition() })
		case 4: // its messages are delayed
			w.sendDelay[f.Name] = 3*Second + Micros(c.random.Int64N(int64(6*Second)))
			after(func() { delete(w.sendDelay, f.Name) })
		}
	})
}

func (c *chaosRunner) randomFront() *Front { return c.world.Fronts[c.random.IntN(len(c.world.Fronts))] }

// scheduleRequests submits operation requests until a virtual time, some of them twice at
// two fronts, and random operator orders.
func (c *chaosRunner) scheduleRequests(until Micros) {
	w := c.world
	w.After(Micros(c.random.Int64N(int64(8*Second))), func() {
		if w.now >= until {
			return
		}
		x := maintenance.Operation{Machine: c.randomFront().Name, Duration: Micros(1+c.random.IntN(20)) * Second, Importance: c.random.IntN(3),
			Urgent: c.random.IntN(8) == 0, EndsOnRestart: c.random.IntN(2) == 0, SingleZone: c.random.IntN(6) == 0}
		if c.random.IntN(4) == 0 {
			x = maintenance.Operation{Machine: fmt.Sprintf("box%d", c.random.IntN(4)), Kind: maintenance.Box, Zone: c.randomFront().Zone, Duration: Second}
		}
		if c.random.IntN(5) == 0 {
			x.ConflictsWith = []string{c.randomFront().Name}
		}
		if c.random.IntN(6) == 0 {
			x.StartWithin = Micros(1+c.random.IntN(60)) * Second
		}
		c.day.Asked++
		for i := range 1 + c.random.IntN(2) {
			x.Reason = fmt.Sprintf("asking %d.%d", c.day.Asked, i)
			w.RequestOperation(c.randomFront(), x, func(statemachine.Result, error) {})
		}
		if c.random.IntN(5) == 0 {
			what := []string{statemachine.Cancel, statemachine.Finish, statemachine.Lost, statemachine.Hold, statemachine.Resume}[c.random.IntN(5)]
			w.SubmitOrder(c.randomFront(), statemachine.Order{Action: what, Operation: uint64(1 + c.random.IntN(c.day.Asked))}, func(statemachine.Result, error) {})
		}
		c.completeOperations()
		c.scheduleRequests(until)
	})
}

// scheduleProposals proposes versions until a virtual time: good ones, ones that crash or
// fail a front that activates them, ones that a front rejects; some gated, some urgent.
func (c *chaosRunner) scheduleProposals(until Micros) {
	w := c.world
	w.After(Micros(c.random.Int64N(int64(12*Second))), func() {
		if w.now >= until {
			return
		}
		at := c.randomFront()
		c.day.Proposed++
		content := fmt.Sprintf("good %d", c.day.Proposed)
		switch c.random.IntN(8) {
		case 0:
			content = "crashes"
		case 1:
			content = "fails"
		case 2:
			content = "turned down " + c.randomFront().Name
		}
		v := rollout.Version{Reason: fmt.Sprintf("proposal %d", c.day.Proposed), Digest: rollout.Hash([]byte(content)), Pieces: []string{rollout.Hash([]byte(content))},
			Watch: Micros(c.random.IntN(3)) * Second, Steps: [][]int{{0, 10, 100}, {100}, {0, 50}}[c.random.IntN(3)]}
		if c.random.IntN(2) == 0 && w.spec.Rules.LeaseSpan > 0 {
			v.Gate = Micros(1+c.random.IntN(5)) * Second
		}
		if content[0] == 'g' && c.random.IntN(4) == 0 {
			v.Urgent = true
		}
		if at.node != nil && !at.paused {
			v.Base = at.node.Replica().State().Rollout.Stable
			w.submit(at, statemachine.Command{Piece: []byte(content)}, func(result statemachine.Result, err error) {
				if err == nil && result.Err == "" {
					w.After(Milli, func() { w.submit(at, statemachine.Command{Propose: &v}, func(statemachine.Result, error) {}) })
				}
			})
		}
		c.scheduleProposals(until)
	})
}

// completeOperations acts as the operators: it restarts fronts that are out, or marks
// their operations as done.
func (c *chaosRunner) completeOperations() {
	l := c.world.Leader()
	if l == nil || c.world.now < c.nextCompletion {
		return
	}
	c.nextCompletion = c.world.now + Second
	s := l.node.Replica().State()
	for _, x := range s.Maintenance.Operations {
		if x.Phase != maintenance.Out || s.Now-x.Since < min(x.Duration, 5*Second) {
			continue
		}
		if f := c.world.byName[x.Machine]; x.EndsOnRestart && f != nil {
			if f.Up() && !f.paused && (c.restartedAt[x.Permit] == 0 || c.world.now-c.restartedAt[x.Permit] > 20*Second) {
				c.restartedAt[x.Permit] = c.world.now
				f.Crash()
				c.world.After(Micros(c.random.Int64N(int64(2*Second))), f.Start)
			}
			continue
		}
		c.world.SubmitOrder(l, statemachine.Order{Action: statemachine.Finish, Operation: x.ID}, func(statemachine.Result, error) {})
	}
}

// scheduleFaults injects random faults until a virtual time, each for a limited time.
func (c *chaosRunner) scheduleFaults(until Micros) {
	w := c.world
	w.After(Micros(c.random.Int64N(int64(4*Second))), func() {
		if w.now >= until {
			return
		}
		f := c.randomFront()
		after := func(do func()) { w.After(Micros(c.random.Int64N(int64(15*Second))), do) }
		switch c.random.IntN(14) {
		case 0, 1:
			f.Crash()
			after(f.Start)
		case 2: // the leader
			if l := w.Leader(); l != nil {
				l.Crash()
				after(l.Start)
			}
		case 3:
			if c.canWipe(f) {
				f.Wipe()
				after(f.Start)
			}
		case 4:
			f.Pause(true)
			after(func() { f.Pause(false) })
		case 5: // one-way loss, in either direction
			in := c.random.IntN(2) == 0
			for _, o := range w.Fronts {
				if in {
					w.Cut(o.Name, f.Name, true)
				} else {
					w.Cut(f.Name, o.Name, true)
				}
			}
			after(func() { w.Partition() })
		case 6: // two groups of random sizes
			names := c.shuffledNames()
			n := 1 + c.random.IntN(len(names))
			w.Partition(names[:n], names[n:])
			after(func() { w.Partition() })
		case 7: // two halves that overlap in one front
			names := c.shuffledNames()
			if n := len(names) / 2; n > 0 {
				w.Partition(append(slices.Clone(names[:n]), names[n]), names[n:])
				after(func() { w.Partition() })
			}
		case 8: // all fronts of a zone
			for _, o := range w.Fronts {
				if o.Zone == f.Zone {
					o.Crash()
					after(o.Start)
				}
			}
		case 9:
			w.lossRate, w.duplicateRate = 0.2*c.random.Float64(), 0.2*c.random.Float64()
			w.delay, w.jitter = Micros(c.random.Int64N(int64(200*Milli))), Micros(c.random.Int64N(int64(Second)))
			after(func() { w.lossRate, w.duplicateRate, w.delay, w.jitter = 0, 0, Milli, Milli })
		case 10:
			f.diskDelay = Micros(c.random.Int64N(int64(800 * Milli)))
			after(func() { f.diskDelay = 0 })
		case 11:
			f.diskFull = true
			after(func() { f.diskFull = false })
		case 12: // all fronts, one with a torn journal
			for _, o := range w.Fronts {
				o.Crash()
				if len(o.durable) > 3 && o == f {
					w.log("%s's journal has a torn end", o.Name)
				}
				after(o.Start)
			}
		case 13:
			before := f.clock()
			f.clockRate = 0.9 + 0.2*c.random.Float64()
			f.clockOffset += before - f.clock() // the clock continues without a jump
		}
		c.scheduleFaults(until)
	})
}

// canWipe reports whether a front's disk may be lost: a majority of the voters must keep
// their disks. Losing more can lose committed entries, against which there is no
// guarantee.
func (c *chaosRunner) canWipe(f *Front) bool {
	l := c.world.Leader()
	if l == nil || len(c.world.Fronts) < 3 || len(f.durable) == 0 {
		return false
	}
	s := l.node.Replica().State()
	if len(s.Seats.Voters) < 3 || s.Seats.Joint || len(s.Seats.Learners) > 0 || l.node.PendingChange() != "" {
		return false // a membership change is in progress, and the majority may change at any moment
	}
	intact := 0
	for _, o := range c.world.Fronts {
		if own := s.Members.Find(o.Name); own != nil && s.Seats.Has(own.ID) && o != f && len(o.durable) > 0 && own.ID == o.incarnation() {
			intact++
		}
	}
	return intact >= len(s.Seats.Voters)/2+1 && c.world.now > 20*Second
}

// incarnation returns the incarnation on the front's disk.
func (f *Front) incarnation() uint64 {
	if f.node != nil {
		return f.node.ID()
	}
	return f.diskIncarnation
}

func (c *chaosRunner) shuffledNames() (names []string) {
	for _, i := range c.random.Perm(len(c.world.Fronts)) {
		names = append(names, c.world.Fronts[i].Name)
	}
	return names
}

// endFaults ends all faults and restarts all fronts.
func (c *chaosRunner) endFaults() {
	w := c.world
	w.log("all faults end")
	w.Partition()
	w.lossRate, w.duplicateRate, w.delay, w.jitter = 0, 0, Milli, Milli
	clear(w.sendDelay)
	for _, f := range w.Fronts {
		f.diskDelay, f.diskFull = 0, false
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

// allComplete reports whether no operation and no rollout is left, and all fronts act on
// the stable version.
func (c *chaosRunner) allComplete() bool {
	l := c.world.Leader()
	if l == nil {
		return false
	}
	s := l.node.Replica().State()
	if s.Rollout.Candidate() != nil || len(s.Maintenance.Operations) > 0 {
		return false
	}
	for _, f := range c.world.Fronts { // the stable version has reached all fronts
		if f.node != nil && f.applier.Active() != s.Rollout.Stable && f.applier.Report().Crashed != s.Rollout.Stable && f.applier.Report().Refused != s.Rollout.Stable {
			return false
		}
	}
	return true
}

// Result sums up the outcomes of many days. It is printed under its field names.
type Result struct {
	Days, Asked, Ended, Checked, Most int
	Proposed, Bars                    int
	Entries                           uint64
	First                             *Day   `json:",omitempty"` // first day with a violation
	World                             *World `json:"-"`
}

// Add adds the outcome of a day.
func (r *Result) Add(d Day) {
	r.Days++
	r.Asked, r.Ended, r.Checked = r.Asked+d.Asked, r.Ended+d.Ended, r.Checked+d.Checked
	r.Proposed, r.Bars = r.Proposed+d.Proposed, r.Bars+d.Bars
	r.Most, r.Entries = max(r.Most, d.Most), r.Entries+d.Entries
}

// PlayRandomDays runs random days with fleets of different sizes until one has a
// violation.
func PlayRandomDays(from uint64, days int, mutation statemachine.Mutation, progress func(done int)) (res Result) {
	for i := range days {
		seed := from + uint64(i)
		d, w := PlayRandomDay(RandomSpec(seed, mutation), 60*Second, nil)
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

// RandomSpec returns the fleet of a random day.
func RandomSpec(seed uint64, mutation statemachine.Mutation) Spec {
	r := rand.New(rand.NewPCG(seed, 0x51fe))
	return Spec{Fronts: []int{3, 3, 4, 5, 5, 7, 9, 12}[r.IntN(8)], Zones: 1 + r.IntN(4), Seed: seed, FanOut: 2 + r.IntN(6), Mutation: mutation}
}
