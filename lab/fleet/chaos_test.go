package fleet

import (
	"testing"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
	"cherryramp/internal/fleet/consensus"
)

// Random days, none of which breaks a promise; the same seed plays the same day.
func TestRandomDays(t *testing.T) {
	res := PlayRandomDays(1, 40, "", nil)
	if res.First != nil {
		res.World.Dump(t.Output(), 150)
		t.Fatalf("seed %d, %d fronts: %v", res.First.Seed, res.First.Fronts, res.First.Broken)
	}
	t.Logf("%+v", res)
	for seed := range uint64(12) {
		a, _ := PlayRandomDay(RandomSpec(70+seed, ""), 30*Second, nil)
		b, _ := PlayRandomDay(RandomSpec(70+seed, ""), 30*Second, nil)
		if a.Digest != b.Digest || a.Checked != b.Checked {
			t.Errorf("two plays of seed %d differ: %+v, %+v", 70+seed, a, b)
		}
	}
}

// whole is a day on which what one rule forbids would happen.
type whole struct {
	rule statemachine.Mutation
	play func(t *testing.T, without statemachine.Mutation) *World
}

// Each rule that is left out is found, on a day that needs just that rule; with it
// the day is whole. `ramplab fleet work --virtual --without` finds them on random days.
func TestRulesLeftOutAreFound(t *testing.T) {
	for _, x := range []whole{{statemachine.DisableFence, late}, {statemachine.DisableLostCount, lost}, {statemachine.DisableMajority, majority}, {statemachine.DisableDedup, twice},
		{statemachine.DisableDrift, alone}, {statemachine.DisableLeaseCheck, alone}} {
		t.Run(string(x.rule), func(t *testing.T) {
			if w := x.play(t, ""); w.Checker.Failed() {
				w.Dump(t.Output(), 60)
				t.Error(w.Checker.Violations())
			}
			w := x.play(t, x.rule)
			if !w.Checker.Failed() {
				w.Dump(t.Output(), 60)
				t.Error("not found")
			}
			t.Log(w.Checker.Violations()[:min(1, len(w.Checker.Violations()))])
		})
	}
}

func asks(t *testing.T, w *World, at, f *Front, why string) {
	w.RequestOperation(at, maintenance.Operation{Machine: f.Name, Duration: Second, Reason: why}, func(word statemachine.Result, err error) {
		if err != nil || word.Err != "" {
			t.Errorf("ask: %+v, %v", word, err)
		}
	})
}

// others are the fronts that do not lead.
func others(w *World) (list []*Front) {
	leader := w.Leader()
	for _, f := range w.Fronts {
		if f != leader {
			list = append(list, f)
		}
	}
	return list
}

// lost: a front dies, and another one may not go out beside it.
func lost(t *testing.T, without statemachine.Mutation) *World {
	r := ShortRules()
	r.UnhealthyPercent = 100
	return besideDead(t, Spec{Fronts: 5, Zones: 5, Seed: 5, Rules: r, Mutation: without})
}

// besideDead has a front die, and another one asked for beside it.
func besideDead(t *testing.T, s Spec) *World {
	w := up(t, s)
	o := others(w)
	w.Run(w.Now() + 10*Second)
	o[0].Crash()
	w.Run(w.Now() + 20*Second)
	asks(t, w, w.Leader(), o[1], "")
	w.Run(w.Now() + 10*Second)
	return w
}

// alone: a front with the slowest clock that may be is cut off while a box is asked
// for, and all others have the fastest. It acts up to the end of its lease, and the
// box is not said to be left before that; then it is, though it was never heard.
func alone(t *testing.T, without statemachine.Mutation) *World {
	r := ShortRules()
	r.MaxOut, r.MaxZoneOut, r.MaxFrontsPercent, r.LeaseSpan = 3, 3, 100, 60*Second
	w := up(t, Spec{Fronts: 5, Zones: 5, Seed: 9, Rules: r, Mutation: without})
	cut := others(w)[0]
	for _, f := range w.Fronts {
		before := f.clock()
		f.rate = 1.1
		if f == cut {
			f.rate = 0.9
		}
		f.offset += before - f.clock()
	}
	w.Run(w.Now() + 5*Second)
	for _, f := range w.Fronts {
		w.Cut(cut.Name, f.Name, true)
		w.Cut(f.Name, cut.Name, true)
	}
	w.Run(w.Now() + 5*Second)
	w.RequestOperation(w.Leader(), maintenance.Operation{Machine: "box", Kind: maintenance.Box, Zone: "z", Duration: 300 * Second, Urgent: true}, func(word statemachine.Result, err error) {
		if err != nil || word.Err != "" {
			t.Errorf("ask: %+v, %v", word, err)
		}
	})
	w.Run(w.Now() + 40*Second)
	if !cut.node.MayAct(cut.clock()) {
		t.Error("the front that is cut off lost its lease before its time")
	}
	left := func() bool {
		x := w.Leader().node.Replica().State().Maintenance.ForMachine("box")
		return x != nil && x.Phase == maintenance.Out
	}
	if !w.RunUntil(60*Second, left) && without == "" {
		t.Error("the box is not left, though the lease is surely over")
	}
	w.Run(w.Now() + 20*Second)
	return w
}

// majority: with one of three voters dead, another one may not go.
func majority(t *testing.T, without statemachine.Mutation) *World {
	r := ShortRules()
	r.MaxOut, r.MaxZoneOut, r.MaxFrontsPercent, r.UnhealthyPercent = 3, 3, 100, 100
	return besideDead(t, Spec{Fronts: 3, Zones: 3, Seed: 6, Rules: r, Mutation: without})
}

// twice: what was asked for comes again, long after the work was done.
func twice(t *testing.T, without statemachine.Mutation) *World {
	w := up(t, Spec{Fronts: 3, Zones: 3, Seed: 7, Mutation: without})
	o := others(w)
	var seen []consensus.Message
	w.tap = func(from string, s consensus.Message) {
		if from == o[0].Name && s.Kind == consensus.KindPropose {
			seen = append(seen, s)
		}
	}
	asks(t, w, o[0], o[1], "asked for once")
	if !w.RunUntil(30*Second, func() bool { return o[1].node.Replica().State().Maintenance.ForMachine(o[1].Name) != nil && o[1].out }) {
		t.Fatal("it does not go out")
	}
	w.tap = nil
	w.RunUntil(10*Second, func() bool {
		w.SubmitOrder(w.Leader(), statemachine.Order{Action: statemachine.Finish, Operation: 1}, func(statemachine.Result, error) {})
		return o[1].node.Replica().State().Maintenance.ForMachine(o[1].Name) == nil
	})
	for _, s := range seen {
		if err := w.Leader().node.Receive(o[0].Name, s.Kind, s.Payload); err != nil {
			t.Error(err)
		}
	}
	w.Run(w.Now() + 10*Second)
	return w
}

// late plays an acceptance that comes after the leave was taken back and given to
// another: a front that is stopped, or not heard, with leave in hand.
func late(t *testing.T, without statemachine.Mutation) *World {
	w := up(t, Spec{Fronts: 5, Zones: 3, Seed: 3, Mutation: without})
	leader := w.Leader()
	var a, b *Front
	for _, f := range w.Fronts {
		if f != leader {
			a, b = b, f
		}
	}
	w.Checker.onLeave = func(x maintenance.Operation) {
		if x.Machine == a.Name && x.Permit == 1 {
			w.lag[a.Name] = 7 * Second // its acceptance is on its way
		}
	}
	asks(t, w, leader, a, "")
	w.Run(w.Now() + 2*Second)
	asks(t, w, leader, b, "")
	w.Run(w.Now() + 20*Second)
	return w
}
