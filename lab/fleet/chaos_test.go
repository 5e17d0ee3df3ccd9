package fleet

import (
	"testing"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
	"cherryramp/internal/fleet/consensus"
)

// Random days violate no invariant, and a seed always gives the same run.
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
			t.Errorf("two runs of seed %d differ: %+v, %+v", 70+seed, a, b)
		}
	}
}

// mutationCase is a run in which the fleet violates an invariant if one rule is disabled.
type mutationCase struct {
	mutation statemachine.Mutation
	run      func(t *testing.T, without statemachine.Mutation) *World
}

// Guards the checkers: a disabled rule is detected in a run that depends on it, and the
// same run has no violation with the rule. `ramplab fleet work --virtual --without`
// detects them on random days.
func TestMutationsAreDetected(t *testing.T) {
	for _, x := range []mutationCase{{statemachine.DisableFence, lateAcceptance}, {statemachine.DisableLostCount, frontLost}, {statemachine.DisableMajority, voterMajority}, {statemachine.DisableDedup, repeatedRequest},
		{statemachine.DisableDrift, isolatedFront}, {statemachine.DisableLeaseCheck, isolatedFront}} {
		t.Run(string(x.mutation), func(t *testing.T) {
			if w := x.run(t, ""); w.Checker.Failed() {
				w.Dump(t.Output(), 60)
				t.Error(w.Checker.Violations())
			}
			w := x.run(t, x.mutation)
			if !w.Checker.Failed() {
				w.Dump(t.Output(), 60)
				t.Error("no violation detected")
			}
			t.Log(w.Checker.Violations()[:min(1, len(w.Checker.Violations()))])
		})
	}
}

func requestOperation(t *testing.T, w *World, at, f *Front, reason string) {
	w.RequestOperation(at, maintenance.Operation{Machine: f.Name, Duration: Second, Reason: reason}, func(result statemachine.Result, err error) {
		if err != nil || result.Err != "" {
			t.Errorf("ask: %+v, %v", result, err)
		}
	})
}

// followers returns all fronts but the leader.
func followers(w *World) (list []*Front) {
	leader := w.Leader()
	for _, f := range w.Fronts {
		if f != leader {
			list = append(list, f)
		}
	}
	return list
}

// frontLost crashes a front; no other front may go out while it counts as lost.
func frontLost(t *testing.T, mutation statemachine.Mutation) *World {
	r := ShortRules()
	r.UnhealthyPercent = 100
	return requestBesideDeadFront(t, Spec{Fronts: 5, Zones: 5, Seed: 5, Rules: r, Mutation: mutation})
}

// requestBesideDeadFront crashes a front and requests an operation on another one.
func requestBesideDeadFront(t *testing.T, s Spec) *World {
	w := startWorld(t, s)
	o := followers(w)
	w.Run(w.Now() + 10*Second)
	o[0].Crash()
	w.Run(w.Now() + 20*Second)
	requestOperation(t, w, w.Leader(), o[1], "")
	w.Run(w.Now() + 10*Second)
	return w
}

// isolatedFront partitions a front with the slowest allowed clock, while the others have
// the fastest, and requests an operation on a box. The front acts until its lease expires,
// and the box must not be out before that; then it is, though the front was not reached.
func isolatedFront(t *testing.T, mutation statemachine.Mutation) *World {
	r := ShortRules()
	r.MaxOut, r.MaxZoneOut, r.MaxFrontsPercent, r.LeaseSpan = 3, 3, 100, 60*Second
	w := startWorld(t, Spec{Fronts: 5, Zones: 5, Seed: 9, Rules: r, Mutation: mutation})
	isolated := followers(w)[0]
	for _, f := range w.Fronts {
		before := f.clock()
		f.clockRate = 1.1
		if f == isolated {
			f.clockRate = 0.9
		}
		f.clockOffset += before - f.clock()
	}
	w.Run(w.Now() + 5*Second)
	for _, f := range w.Fronts {
		w.Cut(isolated.Name, f.Name, true)
		w.Cut(f.Name, isolated.Name, true)
	}
	w.Run(w.Now() + 5*Second)
	w.RequestOperation(w.Leader(), maintenance.Operation{Machine: "box", Kind: maintenance.Box, Zone: "z", Duration: 300 * Second, Urgent: true}, func(result statemachine.Result, err error) {
		if err != nil || result.Err != "" {
			t.Errorf("ask: %+v, %v", result, err)
		}
	})
	w.Run(w.Now() + 40*Second)
	if !isolated.node.MayAct(isolated.clock()) {
		t.Error("the partitioned front lost its lease too early")
	}
	boxOut := func() bool {
		x := w.Leader().node.Replica().State().Maintenance.ForMachine("box")
		return x != nil && x.Phase == maintenance.Out
	}
	if !w.RunUntil(60*Second, boxOut) && mutation == "" {
		t.Error("the box is not out although the lease has expired")
	}
	w.Run(w.Now() + 20*Second)
	return w
}

// voterMajority crashes one of three voters; no other voter may go out.
func voterMajority(t *testing.T, mutation statemachine.Mutation) *World {
	r := ShortRules()
	r.MaxOut, r.MaxZoneOut, r.MaxFrontsPercent, r.UnhealthyPercent = 3, 3, 100, 100
	return requestBesideDeadFront(t, Spec{Fronts: 3, Zones: 3, Seed: 6, Rules: r, Mutation: mutation})
}

// repeatedRequest delivers a request again after its operation has ended.
func repeatedRequest(t *testing.T, mutation statemachine.Mutation) *World {
	w := startWorld(t, Spec{Fronts: 3, Zones: 3, Seed: 7, Mutation: mutation})
	o := followers(w)
	var seen []consensus.Message
	w.onSend = func(from string, s consensus.Message) {
		if from == o[0].Name && s.Kind == consensus.KindPropose {
			seen = append(seen, s)
		}
	}
	requestOperation(t, w, o[0], o[1], "asked for once")
	if !w.RunUntil(30*Second, func() bool {
		return o[1].node.Replica().State().Maintenance.ForMachine(o[1].Name) != nil && o[1].outOfService
	}) {
		t.Fatal("the front does not go out of service")
	}
	w.onSend = nil
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

// lateAcceptance delays a front's acceptance of its permit until the permit was revoked and
// another front has got one.
func lateAcceptance(t *testing.T, mutation statemachine.Mutation) *World {
	w := startWorld(t, Spec{Fronts: 5, Zones: 3, Seed: 3, Mutation: mutation})
	leader := w.Leader()
	var a, b *Front
	for _, f := range w.Fronts {
		if f != leader {
			a, b = b, f
		}
	}
	w.Checker.onPermit = func(x maintenance.Operation) {
		if x.Machine == a.Name && x.Permit == 1 {
			w.sendDelay[a.Name] = 7 * Second // delays the acceptance
		}
	}
	requestOperation(t, w, leader, a, "")
	w.Run(w.Now() + 2*Second)
	requestOperation(t, w, leader, b, "")
	w.Run(w.Now() + 20*Second)
	return w
}
