package fleet

import (
	"fmt"
	"strings"
	"testing"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// up starts a world's fronts and waits until all are of the fleet and all seats taken.
func up(t *testing.T, s Spec) *World {
	t.Helper()
	w := NewWorld(s)
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(60*Second, w.Settled) {
		w.Dump(t.Output(), 60)
		t.Fatal("the fleet does not come together")
	}
	return w
}

func ended(t *testing.T, w *World) {
	t.Helper()
	if w.Checker.Failed() {
		w.Dump(t.Output(), 80)
		t.Fatal(w.Checker.Violations())
	}
}

func TestFleetComesTogether(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 12, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := up(t, Spec{Fronts: n, Zones: 3, Seed: uint64(n)})
			ended(t, w)
			t.Logf("%d fronts after %.1f s, %d voters", n, float64(w.Now())/1e6, len(w.Leader().node.Replica().State().Seats.Voters))
		})
	}
}

// One front is taken out by a permit and brought back, the leader killed in the
// middle.
func TestOutAndBack(t *testing.T) {
	w := up(t, Spec{Fronts: 3, Zones: 3, Seed: 4})
	leader := w.Leader()
	target := w.Fronts[0]
	if target == leader {
		target = w.Fronts[1]
	}
	w.RequestOperation(target, maintenance.Operation{Machine: target.Name, Duration: 60 * Second}, func(word statemachine.Result, err error) {
		if err != nil || word.Err != "" {
			t.Errorf("ask: %+v, %v", word, err)
		}
	})
	if !w.RunUntil(30*Second, func() bool { return target.out }) {
		w.Dump(t.Output(), 60)
		t.Fatal("it does not go out")
	}
	leader.Crash()
	w.Run(w.Now() + 5*Second)
	leader.Start()
	if !w.RunUntil(30*Second, func() bool {
		x := target.node.Replica().State().Maintenance.ForMachine(target.Name)
		return x != nil && x.Phase == maintenance.Out
	}) {
		w.Dump(t.Output(), 60)
		t.Fatal("it does not come empty")
	}
	w.SubmitOrder(target, statemachine.Order{Action: statemachine.Finish, Operation: 1}, func(statemachine.Result, error) {})
	if !w.RunUntil(30*Second, func() bool { return target.node.Replica().State().Maintenance.ForMachine(target.Name) == nil }) {
		w.Dump(t.Output(), 60)
		t.Fatal("it does not come back")
	}
	ended(t, w)
}

// While fronts say that they are in trouble nothing goes but what is urgent; once
// they are well again, the rest does.
func TestHurtFleetGivesNoLeave(t *testing.T) {
	w := up(t, Spec{Fronts: 5, Zones: 5, Seed: 8})
	o := others(w)
	o[0].hurt = true
	w.Run(w.Now() + 5*Second)
	asks(t, w, w.Leader(), o[1], "")
	w.Run(w.Now() + 10*Second)
	s := w.Leader().node.Replica().State()
	if x := s.Maintenance.ForMachine(o[1].Name); x == nil || x.Phase != maintenance.Requested {
		t.Fatalf("it has leave: %+v", x)
	}
	if why := s.Maintenance.Explain(o[1].Name, w.Leader().node.Replica().Fleet(), s.Now); !strings.Contains(why, "1 in trouble") {
		t.Error(why)
	}
	o[0].hurt = false
	if !w.RunUntil(20*Second, func() bool { return o[1].out }) {
		t.Error("it does not go once the fleet is well")
	}
	ended(t, w)
}
