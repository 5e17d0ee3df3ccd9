// Package draining decides the steps of connection draining, by which a front stops
// serving clients without failing their requests.
//
// Inputs are the orders (Begin, StopAccepting, Cancel), the time, and observations of
// the front; outputs are the steps to take. The state is of fixed size.
//
// Invariants: listeners are closed once per drain, and not before clients had time to
// be routed elsewhere unless StopAccepting asks for it. A drain finishes only when the
// front has observed that no listener accepts and nothing is left to be answered; an
// order to close is not taken as proof that it was carried out. A drain that takes long
// is reported once.
//
// The package closes no listeners or connections itself; see package program.
package draining

// Observation is what a front observes of itself.
type Observation struct {
	Accepting bool // a listening socket is open, even if it was ordered to close
	Pending   int  // requests and connections that are not finished
}

// Step is what to do now. The zero value is nothing yet.
type Step struct {
	CloseListeners bool
	Finished       bool // the drain is complete; Advance need not be called again
	Warn           bool // the drain takes long
}

// State is the state of a front's drain. The zero value has not begun.
type State struct {
	active          bool
	startedAt       int64 // us
	closeAt         int64 // us, when listeners close
	warnAt          int64 // us, when the drain counts as taking long
	listenersClosed bool  // listeners were ordered to close
	finished        bool
	warned          bool
}

// Begin begins a drain at the time now, in which clients are still accepted for
// acceptFor and Warn is set after warnAfter; all in us. It returns false if a drain has
// already begun.
func (s *State) Begin(now, acceptFor, warnAfter int64) bool {
	if s.active {
		return false
	}
	*s = State{active: true, startedAt: now, closeAt: now + acceptFor, warnAt: now + warnAfter}
	return true
}

// StopAccepting has a drain that has begun close the listeners at the time now, in us,
// if that is earlier. If the drain had finished, it is reported as finished again.
func (s *State) StopAccepting(now int64) {
	s.closeAt = min(s.closeAt, now)
	s.finished = false
}

// Cancel cancels a drain, and reports whether one had begun.
func (s *State) Cancel() (wasActive bool) {
	wasActive = s.active
	*s = State{}
	return wasActive
}

// Elapsed returns how long a drain has lasted at the time now, in us; 0 if none has
// begun.
func (s *State) Elapsed(now int64) int64 {
	if !s.active {
		return 0
	}
	return now - s.startedAt
}

// Advance returns the step to take at the time now, in us, given an observation.
func (s *State) Advance(now int64, observed Observation) (step Step) {
	if !s.active || s.finished {
		return Step{}
	}
	if !s.listenersClosed && now >= s.closeAt {
		s.listenersClosed = true
		step.CloseListeners = true
		return step // its effect is observed at the next call
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
