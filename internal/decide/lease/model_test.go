package lease

import (
	"fmt"
	"testing"
)

// The model of leases and version gates: the fleet and one front, whose clocks run at
// 0.9 to 1.1 of true time, explored at each pair of extreme rates; messages that are
// late or lost; a front that stops at any point, also between its check and its act, is
// restarted, and activates versions late. The fleet counts a gate as passed when the
// front has reported the new version, or once its lease has certainly expired. Checked:
// no act begins on the old version after the gate has passed. All orders of events are
// explored up to a bound.

// Sizes of the model. A clock moves 9 or 11 tenths of a tick per tick of true time.
const (
	modelSpan  = 110 // lease, in tenths of a tick
	modelLost  = 5   // a front unheard for this long counts as lost, by the fleet's clock, in tenths of a tick
	modelTicks = 14
)

// mutation is a rule that the model disables.
type mutation int

const (
	noMutation     mutation = iota
	skipLeaseCheck          // the front acts without checking its lease
	ignoreProcess           // reports of an earlier process of the front count for the next
	ignoreDrift             // the lease counts as expired without an allowance for drift
)

type modelState struct {
	tick              int8
	front, fleet      int16 // clocks, in tenths of a tick
	leaseEnd          int16 // of the front, by its clock
	request           int16 // stamp of a request in flight; 0: none
	requestProc       int8  // process that made the request
	grant             int16 // stamp of a grant in flight
	grantProc         int8
	proc              int8 // process of the front
	knownProc         int8 // process known to the fleet
	active            int8 // version that the front acts on: 0 or 1
	knowsNew          bool // the front knows of the new version
	reportInFlight    int8 // process whose report that it acts on version 1 is in flight; 0: none
	reportedProc      int8 // process whose report the fleet has
	heardAt           int16
	lostAt            int16 // fleet's clock when the front counted as lost; 0: not lost
	gated, gatePassed bool
	restarts          int8
}

func TestLeaseModel(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rule  mutation
		found bool
	}{{"whole", noMutation, false}, {"look", skipLeaseCheck, true}, {"process", ignoreProcess, true}, {"drift", ignoreDrift, true}} {
		t.Run(tc.name, func(t *testing.T) {
			n, violation := 0, ""
			for _, f := range []int16{9, 11} {
				for _, c := range []int16{9, 11} {
					states, text := explore(tc.rule, f, c)
					n += states
					if violation == "" {
						violation = text
					}
				}
			}
			if (violation != "") != tc.found {
				t.Errorf("%d states: %q", n, violation)
			}
			t.Logf("%d states %s", n, violation)
		})
	}
}

func explore(m mutation, frontRate, fleetRate int16) (int, string) {
	first := modelState{front: 1, fleet: 1, leaseEnd: 1 + modelSpan, proc: 1, knownProc: 1, heardAt: 1}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, n := range successors(s, m, frontRate, fleetRate) {
			if n.violation != "" {
				return len(seen), n.violation
			}
			if !seen[n.modelState] {
				seen[n.modelState] = true
				queue = append(queue, n.modelState)
			}
		}
	}
	return len(seen), ""
}

type step struct {
	modelState
	violation string
}

func successors(s modelState, m mutation, frontRate, fleetRate int16) (list []step) {
	add := func(do func(n *modelState)) {
		n := s
		do(&n)
		list = append(list, step{modelState: n})
	}
	// True time passes, each clock at its own rate.
	if s.tick < modelTicks {
		add(func(n *modelState) {
			n.tick++
			n.front += frontRate
			n.fleet += fleetRate
			if n.lostAt == 0 && n.fleet-n.heardAt >= modelLost {
				n.lostAt = n.fleet
			}
			n.settle(m)
		})
	}
	// The front requests a lease; the fleet receives the request, and grants it in one
	// step with the confirmation by a majority.
	if s.request == 0 && s.tick < modelTicks {
		add(func(n *modelState) { n.request, n.requestProc = n.front, n.proc })
	}
	if s.request != 0 {
		add(func(n *modelState) { // heard, and found again if it was lost
			n.heardAt, n.lostAt = n.fleet, 0
			n.grant, n.grantProc, n.request = n.request, n.requestProc, 0
			if n.requestProc != n.knownProc && m != ignoreProcess {
				n.grant = 0 // not before its new process is known
			}
			n.settle(m)
		})
		add(func(n *modelState) { n.request = 0 }) // lost in transit
	}
	if s.grant != 0 {
		if s.grantProc == s.proc {
			add(func(n *modelState) { // entries committed before the confirmation are applied with the grant
				var l Lease
				l.expiry = Micros(n.leaseEnd)
				l.Accept(Grant{Stamp: Micros(n.grant), Span: modelSpan}, modelSpan, 0)
				n.leaseEnd, n.grant = int16(l.End()), 0
				n.knowsNew = n.knowsNew || n.gated
			})
		}
		add(func(n *modelState) { n.grant = 0 })
	}
	// The new version, with its gate.
	if !s.gated {
		add(func(n *modelState) { n.gated = true; n.settle(m) })
	}
	if !s.knowsNew { // it is rolled out before its gate is set
		add(func(n *modelState) { n.knowsNew = true })
	}
	if s.knowsNew && s.active == 0 {
		add(func(n *modelState) { n.active = 1 })
	}
	if s.active == 1 && s.reportInFlight == 0 && s.reportedProc == 0 {
		add(func(n *modelState) { n.reportInFlight = n.proc })
	}
	if s.reportInFlight != 0 {
		add(func(n *modelState) {
			if n.reportInFlight == n.knownProc {
				n.reportedProc = n.reportInFlight
			}
			n.reportInFlight = 0
			n.settle(m)
		})
		add(func(n *modelState) { n.reportInFlight = 0 })
	}
	// A new process knows only what its disk kept, and holds no lease.
	if s.restarts < 1 {
		add(func(n *modelState) {
			n.restarts++
			n.proc++
			n.active, n.knowsNew, n.leaseEnd = 0, false, 0
		})
	}
	if s.knownProc < s.proc {
		add(func(n *modelState) { // it has joined
			n.knownProc, n.reportedProc, n.heardAt, n.lostAt = n.proc, 0, n.fleet, 0
			n.settle(m)
		})
	}
	// The front checks, then acts. Between the two no time passes that it could not
	// notice: pending work is checked again. A stop is any number of other steps in
	// between.
	mayAct := (&Lease{expiry: Micros(s.leaseEnd)}).Valid(Micros(s.front)) || m == skipLeaseCheck
	if mayAct && !(s.knowsNew && s.gated && s.active == 0) {
		n := step{modelState: s}
		if s.gatePassed && s.active == 0 {
			n.violation = fmt.Sprintf("acts on the old version after the gate passed: %+v", s)
		}
		list = append(list, n)
	}
	return list
}

// settle marks the gate as passed when it may be.
func (s *modelState) settle(rule mutation) {
	if !s.gated || s.gatePassed {
		return
	}
	over := Expired(modelSpan, Micros(s.fleet-s.lostAt))
	if rule == ignoreDrift {
		over = s.fleet-s.lostAt >= modelSpan
	}
	if s.reportedProc == s.knownProc && s.reportedProc != 0 || s.lostAt != 0 && over {
		s.gatePassed = true
	}
}
