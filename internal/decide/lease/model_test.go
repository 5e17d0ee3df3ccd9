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
	mSpan  = 110 // lease, in tenths of a tick
	mLost  = 5   // unheard for so long a front counts as lost, by the council's clock
	mTicks = 14
)

// leaveOut is a rule that the model leaves out.
type leaveOut int

const (
	nothing   leaveOut = iota
	noLook             // the front acts without a look at its lease
	noProcess          // what an earlier process of the front said counts for the next
	noDrift            // the lease is over once the council's clock says so
)

type mState struct {
	tick           int8
	front, council int16 // clocks, in tenths
	end            int16 // of the front's lease, by its clock
	ask            int16 // stamp on its way; 0: none
	askOf          int8  // process that asked
	grant          int16 // stamp of a grant on its way back
	granted        int8
	proc           int8 // process of the front
	knows          int8 // process that the council knows
	acts           int8 // version that the front acts on: 0 or 1
	wants          bool // the front knows of the new version
	word           int8 // its word that it acts on 1 is on its way, by process and 1; 0: none
	said           int8 // the council has it
	heard          int16
	lost           int16 // council's clock when it counted as lost; 0: it does not
	barred, passed bool
	restarts       int8
}

func TestModel(t *testing.T) {
	for _, x := range []struct {
		name  string
		rule  leaveOut
		found bool
	}{{"whole", nothing, false}, {"look", noLook, true}, {"process", noProcess, true}, {"drift", noDrift, true}} {
		t.Run(x.name, func(t *testing.T) {
			n, broken := 0, ""
			for _, f := range []int16{9, 11} {
				for _, c := range []int16{9, 11} {
					states, text := explore(x.rule, f, c)
					n += states
					if broken == "" {
						broken = text
					}
				}
			}
			if (broken != "") != x.found {
				t.Errorf("%d states: %q", n, broken)
			}
			t.Logf("%d states %s", n, broken)
		})
	}
}

func explore(rule leaveOut, f, c int16) (int, string) {
	first := mState{front: 1, council: 1, end: 1 + mSpan, proc: 1, knows: 1, heard: 1}
	seen := map[mState]bool{first: true}
	queue := []mState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, n := range next(s, rule, f, c) {
			if n.broken != "" {
				return len(seen), n.broken
			}
			if !seen[n.mState] {
				seen[n.mState] = true
				queue = append(queue, n.mState)
			}
		}
	}
	return len(seen), ""
}

type step struct {
	mState
	broken string
}

func next(s mState, rule leaveOut, f, c int16) (list []step) {
	add := func(do func(n *mState)) {
		n := s
		do(&n)
		list = append(list, step{mState: n})
	}
	// True time passes, each clock at a rate of its own.
	if s.tick < mTicks {
		add(func(n *mState) {
			n.tick++
			n.front += f
			n.council += c
			if n.lost == 0 && n.council-n.heard >= mLost {
				n.lost = n.council
			}
			n.settle(rule)
		})
	}
	// The front asks; the council hears it, and grants in one step with what a majority confirmed.
	if s.ask == 0 && s.tick < mTicks {
		add(func(n *mState) { n.ask, n.askOf = n.front, n.proc })
	}
	if s.ask != 0 {
		add(func(n *mState) { // heard, and found again where it was lost
			n.heard, n.lost = n.council, 0
			n.grant, n.granted, n.ask = n.ask, n.askOf, 0
			if n.askOf != n.knows && rule != noProcess {
				n.grant = 0 // not before its new process is known
			}
			n.settle(rule)
		})
		add(func(n *mState) { n.ask = 0 }) // lost on its way
	}
	if s.grant != 0 {
		if s.granted == s.proc {
			add(func(n *mState) { // what had been committed when it was confirmed is applied with it
				var l Lease
				l.end = Micros(n.end)
				l.Accept(Grant{Stamp: Micros(n.grant), Span: mSpan}, mSpan, 0)
				n.end, n.grant = int16(l.End()), 0
				n.wants = n.wants || n.barred
			})
		}
		add(func(n *mState) { n.grant = 0 })
	}
	// The new version, with its bar.
	if !s.barred {
		add(func(n *mState) { n.barred = true; n.settle(rule) })
	}
	if !s.wants { // it is rolled out before it stands with its bar
		add(func(n *mState) { n.wants = true })
	}
	if s.wants && s.acts == 0 {
		add(func(n *mState) { n.acts = 1 })
	}
	if s.acts == 1 && s.word == 0 && s.said == 0 {
		add(func(n *mState) { n.word = n.proc })
	}
	if s.word != 0 {
		add(func(n *mState) {
			if n.word == n.knows {
				n.said = n.word
			}
			n.word = 0
			n.settle(rule)
		})
		add(func(n *mState) { n.word = 0 })
	}
	// A new process knows nothing that its disk did not keep, and holds no lease.
	if s.restarts < 1 {
		add(func(n *mState) {
			n.restarts++
			n.proc++
			n.acts, n.wants, n.end = 0, false, 0
		})
	}
	if s.knows < s.proc {
		add(func(n *mState) { // it has joined
			n.knows, n.said, n.heard, n.lost = n.proc, 0, n.council, 0
			n.settle(rule)
		})
	}
	// It looks, and then acts; between both no time passes that it could not see: what
	// it had in hand is looked at again. A stop is that any number of other steps come between.
	may := (&Lease{end: Micros(s.end)}).Valid(Micros(s.front)) || rule == noLook
	if may && !(s.wants && s.barred && s.acts == 0) {
		n := step{mState: s}
		if s.passed && s.acts == 0 {
			n.broken = fmt.Sprintf("acts on the old version after the bar: %+v", s)
		}
		list = append(list, n)
	}
	return list
}

// settle counts the bar as passed where it may be.
func (s *mState) settle(rule leaveOut) {
	if !s.barred || s.passed {
		return
	}
	over := Expired(mSpan, Micros(s.council-s.lost))
	if rule == noDrift {
		over = s.council-s.lost >= mSpan
	}
	if s.said == s.knows && s.said != 0 || s.lost != 0 && over {
		s.passed = true
	}
}
