package fleet

import (
	"fmt"
	"strings"
	"testing"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// startWorld starts a world's fronts and waits until the fleet has settled.
func startWorld(t *testing.T, s Spec) *World {
	t.Helper()
	w := NewWorld(s)
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(60*Second, w.Settled) {
		w.Dump(t.Output(), 60)
		t.Fatal("the fleet does not settle")
	}
	return w
}

func requireNoViolations(t *testing.T, w *World) {
	t.Helper()
	if w.Checker.Failed() {
		w.Dump(t.Output(), 80)
		t.Fatal(w.Checker.Violations())
	}
}

func TestFleetForms(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 12, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := startWorld(t, Spec{Fronts: n, Zones: 3, Seed: uint64(n)})
			requireNoViolations(t, w)
			t.Logf("%d fronts after %.1f s, %d voters", n, float64(w.Now())/1e6, len(w.Leader().node.Replica().State().Seats.Voters))
		})
	}
}

// A front goes out under a permit and returns. The leader crashes in between.
func TestOperationLifecycle(t *testing.T) {
	w := startWorld(t, Spec{Fronts: 3, Zones: 3, Seed: 4})
	leader := w.Leader()
	target := w.Fronts[0]
	if target == leader {
		target = w.Fronts[1]
	}
	w.RequestOperation(target, maintenance.Operation{Machine: target.Name, Duration: 60 * Second}, func(result statemachine.Result, err error) {
		if err != nil || result.Err != "" {
			t.Errorf("ask: %+v, %v", result, err)
		}
	})
	if !w.RunUntil(30*Second, func() bool { return target.outOfService }) {
		w.Dump(t.Output(), 60)
		t.Fatal("the front does not go out of service")
	}
	leader.Crash()
	w.Run(w.Now() + 5*Second)
	leader.Start()
	if !w.RunUntil(30*Second, func() bool {
		x := target.node.Replica().State().Maintenance.ForMachine(target.Name)
		return x != nil && x.Phase == maintenance.Out
	}) {
		w.Dump(t.Output(), 60)
		t.Fatal("the operation does not reach the out phase")
	}
	w.SubmitOrder(target, statemachine.Order{Action: statemachine.Finish, Operation: 1}, func(statemachine.Result, error) {})
	if !w.RunUntil(30*Second, func() bool { return target.node.Replica().State().Maintenance.ForMachine(target.Name) == nil }) {
		w.Dump(t.Output(), 60)
		t.Fatal("the operation does not end")
	}
	requireNoViolations(t, w)
}

// While fronts report themselves as unhealthy, only urgent operations get a permit; others
// wait until the fronts are healthy again.
func TestUnhealthyFleetGrantsNoPermit(t *testing.T) {
	w := startWorld(t, Spec{Fronts: 5, Zones: 5, Seed: 8})
	o := followers(w)
	o[0].unhealthy = true
	w.Run(w.Now() + 5*Second)
	requestOperation(t, w, w.Leader(), o[1], "")
	w.Run(w.Now() + 10*Second)
	s := w.Leader().node.Replica().State()
	if x := s.Maintenance.ForMachine(o[1].Name); x == nil || x.Phase != maintenance.Requested {
		t.Fatalf("the operation has a permit: %+v", x)
	}
	if why := s.Maintenance.Explain(o[1].Name, w.Leader().node.Replica().Fleet(), s.Now); !strings.Contains(why, "1 in trouble") {
		t.Error(why)
	}
	o[0].unhealthy = false
	if !w.RunUntil(20*Second, func() bool { return o[1].outOfService }) {
		t.Error("the operation gets no permit once the fleet is healthy")
	}
	requireNoViolations(t, w)
}
