// Package readiness is the readiness state of one front, as its health checks and the
// operators' door tell it: a front is ready once it has started and heard the notice
// board (or waited long enough for it), and not while it is draining or ending.
//
// Inputs are the orders to drain, rejoin and end, the moment, and whether the board has
// answered; the output is a yes or no with its reason. Draining ends with a rejoin; an
// end is for good. The state is of fixed size. It carries nothing out: the program closes
// listeners and connections.
package readiness

import "errors"

// ErrEnding is why a front that is ending can't rejoin.
var ErrEnding = errors.New("ending")

// State is one front's readiness. The zero value is not usable; see New.
type State struct {
	started   int64 // us, when the front began to listen
	boardWait int64 // us that a start waits for the notice board; 0: there is none
	draining  bool
	ending    bool
}

// New begins the readiness of a front that listens from now on, in us. Where
// wait is above 0 the front waits that long at most for the board's first answer.
func New(now, boardWait int64) *State { return &State{started: now, boardWait: boardWait} }

// Ready tells whether the front takes clients and its start is over at a moment, given
// whether the board has answered once; if not, why, in a few words.
func (s *State) Ready(now int64, boardAnswered bool) (bool, string) {
	if ok, reason := s.Accepting(); !ok {
		return false, reason
	}
	if s.boardWait > 0 && !boardAnswered && now < s.started+s.boardWait {
		return false, "starting"
	}
	return true, ""
}

// Takes tells whether the front takes clients, its start aside; if not, why, in a few words.
func (s *State) Accepting() (bool, string) {
	switch {
	case s.ending:
		return false, "ending"
	case s.draining:
		return false, "lame duck"
	}
	return true, ""
}

// Drain has the front say no from now on. It tells whether the front has to empty itself:
// not where it already does.
func (s *State) Drain() (started bool) {
	if s.draining || s.ending {
		return false
	}
	s.draining = true
	return true
}

// Rejoin takes a drain back; a front that is ending can't be.
func (s *State) Rejoin() error {
	if s.ending {
		return ErrEnding
	}
	s.draining = false
	return nil
}

// End says no for good. It tells whether this is the first word of the end.
func (s *State) Shutdown() (first bool) {
	first = !s.ending
	s.ending = true
	return first
}

// Draining tells whether the front was told to drain.
func (s *State) Draining() bool { return s.draining }
