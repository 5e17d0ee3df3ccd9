package lease

import (
	"fmt"
	"testing"
)

// The model of leases and bars: a council and one front, whose clocks run at 0.9 to 1.1
// of true time, each at every pair of rates; messages that come late or never; a front
// that stops at every point, also between its look and its act, is restarted, and
// takes versions up late. The council counts a bar as passed on the front's word for
// the version, or once its lease is surely over. What must hold: no act begins on the
// old version after the bar is said to have passed. All orders are played to a bound.

// Spans of the model, in ticks of true time; a clock moves 9 to 11 tenths a tick.
const (
	modelSpan  = 110 // lease, in tenths of a tick
	modelLost  = 5   // unheard for so long a front counts as lost, by the council's clock
	modelTicks = 14
)

// leaveOut is a rule that the model leaves out.
type mutation int

const (
	noMutation     mutation = iota
	skipLeaseCheck          // the front acts without a look at its lease
	ignoreProcess           // what an earlier process of the front said counts for the next
	ignoreDrift             // the lease is over once the council's clock says so
)

type modelState struct {
	tick              int8
	front, council    int16 // clocks, in tenths
	leaseEnd          int16 // of the front's lease, by its clock
	request           int16 // stamp on its way; 0: none
	requestProc       int8  // process that asked
	grant             int16 // stamp of a grant on its way back
	grantProc         int8
	proc              int8 // process of the front
	knownProc         int8 // process that the council knows
	active            int8 // version that the front acts on: 0 or 1
	knowsNew          bool // the front knows of the new version
	reportInFlight    int8 // its word that it acts on 1 is on its way, by process and 1; 0: none
	reportedProc      int8 // the council has it
	heard             int16
	lost              int16 // council's clock when it counted as lost; 0: it does not
	gated, gatePassed bool
	restarts          int8
}

func TestLeaseModel(t *testing.T) {
	for _, x := range []struct {
		name  string
		rule  mutation
		found bool
	}{{"whole", noMutation, false}, {"look", skipLeaseCheck, true}, {"process", ignoreProcess, true}, {"drift", ignoreDrift, true}} {
		t.Run(x.name, func(t *testing.T) {
			n, violation := 0, ""
			for _, f := range []int16{9, 11} {
				for _, c := range []int16{9, 11} {
					states, text := explore(x.rule, f, c)
					n += states
					if violation == "" {
						violation = text
					}
				}
			}
			if (violation != "") != x.found {
				t.Errorf("%d states: %q", n, violation)
			}
			t.Logf("%d states %s", n, violation)
		})
	}
}

func explore(m mutation, f, c int16) (int, string) {
	first := modelState{front: 1, council: 1, leaseEnd: 1 + modelSpan, proc: 1, knownProc: 1, heard: 1}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, n := range successors(s, m, f, c) {
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

func successors(s modelState, m mutation, f, c int16) (list []step) {
	add := func(do func(n *modelState)) {
		n := s
		do(&n)
		list = append(list, step{modelState: n})
	}
	// True time passes, each clock at a rate of its own.
	if s.tick < modelTicks {
		add(func(n *modelState) {
			n.tick++
			n.front += f
			n.council += c
			if n.lost == 0 && n.council-n.heard >= modelLost {
				n.lost = n.council
			}
			n.settle(m)
		})
	}
	// The front asks; the council hears it, and grants in one step with what a majority confirmed.
	if s.request == 0 && s.tick < modelTicks {
		add(func(n *modelState) { n.request, n.requestProc = n.front, n.proc })
	}
	if s.request != 0 {
		add(func(n *modelState) { // heard, and found again where it was lost
			n.heard, n.lost = n.council, 0
			n.grant, n.grantProc, n.request = n.request, n.requestProc, 0
			if n.requestProc != n.knownProc && m != ignoreProcess {
				n.grant = 0 // not before its new process is known
			}
			n.settle(m)
		})
		add(func(n *modelState) { n.request = 0 }) // lost on its way
	}
	if s.grant != 0 {
		if s.grantProc == s.proc {
			add(func(n *modelState) { // what had been committed when it was confirmed is applied with it
				var l Lease
				l.expiry = Micros(n.leaseEnd)
				l.Accept(Grant{Stamp: Micros(n.grant), Span: modelSpan}, modelSpan, 0)
				n.leaseEnd, n.grant = int16(l.End()), 0
				n.knowsNew = n.knowsNew || n.gated
			})
		}
		add(func(n *modelState) { n.grant = 0 })
	}
	// The new version, with its bar.
	if !s.gated {
		add(func(n *modelState) { n.gated = true; n.settle(m) })
	}
	if !s.knowsNew { // it is rolled out before it stands with its bar
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
	// A new process knows nothing that its disk did not keep, and holds no lease.
	if s.restarts < 1 {
		add(func(n *modelState) {
			n.restarts++
			n.proc++
			n.active, n.knowsNew, n.leaseEnd = 0, false, 0
		})
	}
	if s.knownProc < s.proc {
		add(func(n *modelState) { // it has joined
			n.knownProc, n.reportedProc, n.heard, n.lost = n.proc, 0, n.council, 0
			n.settle(m)
		})
	}
	// It looks, and then acts; between both no time passes that it could not see: what
	// it had in hand is looked at again. A stop is that any number of other steps come between.
	mayAct := (&Lease{expiry: Micros(s.leaseEnd)}).Valid(Micros(s.front)) || m == skipLeaseCheck
	if mayAct && !(s.knowsNew && s.gated && s.active == 0) {
		n := step{modelState: s}
		if s.gatePassed && s.active == 0 {
			n.violation = fmt.Sprintf("acts on the old version after the bar: %+v", s)
		}
		list = append(list, n)
	}
	return list
}

// settle counts the bar as passed where it may be.
func (s *modelState) settle(rule mutation) {
	if !s.gated || s.gatePassed {
		return
	}
	over := Expired(modelSpan, Micros(s.council-s.lost))
	if rule == ignoreDrift {
		over = s.council-s.lost >= modelSpan
	}
	if s.reportedProc == s.knownProc && s.reportedProc != 0 || s.lost != 0 && over {
		s.gatePassed = true
	}
}
