// Package readiness holds the readiness state of one front, as its health checks and
// the admin endpoint report it: a front is ready once it has started and the notice
// board has answered (or it has waited long enough for it), and not while it is
// draining or shutting down.
//
// Inputs are the orders to drain, rejoin and shut down, the time, and whether the board
// has answered; the output is whether the front is ready, with the reason if not.
// Rejoin ends draining; shutdown is final. The state is of fixed size. The package only
// keeps state: the program closes listeners and connections.
package readiness

import "errors"

// ErrEnding is returned by Rejoin for a front that is shutting down.
var ErrEnding = errors.New("ending")

// State is one front's readiness. The zero value is not usable; see New.
type State struct {
	started   int64 // us, when the front began to listen
	boardWait int64 // us, how long startup waits for the notice board; 0: there is none
	draining  bool
	ending    bool // shutting down
}

// New returns the state of a front that begins to listen at the time now and waits at
// most boardWait for the board's first answer, if boardWait is above 0; both in us.
func New(now, boardWait int64) *State { return &State{started: now, boardWait: boardWait} }

// Ready reports whether the front accepts clients and has completed its startup at the
// time now, in us, given whether the board has answered once; if not, also the reason.
func (s *State) Ready(now int64, boardAnswered bool) (bool, string) {
	if ok, reason := s.Accepting(); !ok {
		return false, reason
	}
	if s.boardWait > 0 && !boardAnswered && now < s.started+s.boardWait {
		return false, "starting"
	}
	return true, ""
}

// Accepting reports whether the front accepts clients, regardless of its startup; if
// not, also the reason.
func (s *State) Accepting() (bool, string) {
	switch {
	case s.ending:
		return false, "ending"
	case s.draining:
		return false, "lame duck"
	}
	return true, ""
}

// Drain makes the front not ready. It reports whether this starts a drain: false if
// the front is already draining or shutting down.
func (s *State) Drain() (started bool) {
	if s.draining || s.ending {
		return false
	}
	s.draining = true
	return true
}

// Rejoin cancels draining. It returns ErrEnding if the front is shutting down.
func (s *State) Rejoin() error {
	if s.ending {
		return ErrEnding
	}
	s.draining = false
	return nil
}

// Shutdown makes the front not ready for good. It reports whether this is the first call.
func (s *State) Shutdown() (first bool) {
	first = !s.ending
	s.ending = true
	return first
}

// Draining reports whether the front was ordered to drain.
func (s *State) Draining() bool { return s.draining }
