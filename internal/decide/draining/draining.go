// Package draining decides the steps of connection draining: how a front that was told to
// stop empties itself of its clients.
//
// Inputs are the orders (begin, end, cancel), the moment, and what the front observes of
// itself; outputs are the steps to take. The state is of fixed size.
//
// Invariants: listeners are told to close once for each drain, not before its clients had
// time to be routed elsewhere unless an end asks for it. A drain is over only when the front
// has observed that no listener accepts and nothing is left to be answered; an order to close
// is not taken for its effect. A drain that lasts is told once.
//
// It closes nothing and knows no connection; see the program for that.
package draining

// Observed is what a front sees of itself.
type Observation struct {
	Accepting bool // a listening socket is open, whatever it was told
	Pending   int  // requests and connections that something is still owed to
}

// Step is what is to be done now. The zero value: nothing yet.
type Step struct {
	CloseListeners bool
	Finished       bool // nothing is left; no further look is needed
	Warn           bool // it lasts
}

// State is a front's drain. The zero value is one that has not begun.
type State struct {
	active          bool
	startedAt       int64 // us
	closeAt         int64 // us, when listeners close
	warnAt          int64 // us
	listenersClosed bool  // listeners were told to close
	finished        bool
	warned          bool
}

// Begin begins a drain at a moment, in us, in which clients are accepted for a span and
// which is told as lasting after another. It tells whether it did: not where one has begun.
func (s *State) Begin(now, acceptFor, warnAfter int64) bool {
	if s.active {
		return false
	}
	*s = State{active: true, startedAt: now, closeAt: now + acceptFor, warnAt: now + warnAfter}
	return true
}

// End has a drain that has begun accept no more clients, and be told as over once more where
// it was.
func (s *State) StopAccepting(now int64) {
	s.closeAt = min(s.closeAt, now)
	s.finished = false
}

// Cancel takes a drain back, and tells whether one had begun.
func (s *State) Cancel() (wasActive bool) {
	wasActive = s.active
	*s = State{}
	return wasActive
}

// Spent is how long a drain has lasted at a moment, in us; 0 where none has begun.
func (s *State) Elapsed(now int64) int64 {
	if !s.active {
		return 0
	}
	return now - s.startedAt
}

// Look gives the step to take at a moment by what is observed.
func (s *State) Advance(now int64, observed Observation) (step Step) {
	if !s.active || s.finished {
		return Step{}
	}
	if !s.listenersClosed && now >= s.closeAt {
		s.listenersClosed = true
		step.CloseListeners = true
		return step // its effect is observed at the next look
	}
	if s.listenersClosed && !observed.Accepting && observed.Pending == 0 {
		s.finished = true
		step.Finished = true
		return step
	}
	if !s.warned && now >= s.warnAt {
		s.warned = true
		step.Warn = true
	}
	return step
}
