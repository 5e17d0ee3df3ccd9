// Package readiness tells whether a front takes clients, as the operators' door
// and a drain see it: a front is ready once it has started and heard the notice
// board (or waited long enough for it), and not while it is a lame duck or
// ending. It is state only; the program hands in the moment and what it heard.
package readiness

import "errors"

// ErrEnding is why a front that is ending can't rejoin.
var ErrEnding = errors.New("ending")

// State is one front's readiness. The zero value is not usable; see New.
type State struct {
	started  int64 // us, when the front began to listen
	wait     int64 // us that a start waits for the notice board; 0: there is none
	lameDuck bool
	ending   bool
}

// New begins the readiness of a front that listens from now on, in us. Where
// wait is above 0 the front waits that long at most for the board's first answer.
func New(now, wait int64) *State { return &State{started: now, wait: wait} }

// Ready tells whether the front takes clients at a moment, given whether the
// board has answered once; if not, why, in a few words.
func (s *State) Ready(now int64, heard bool) (bool, string) {
	switch {
	case s.ending:
		return false, "ending"
	case s.lameDuck:
		return false, "lame duck"
	case s.wait > 0 && !heard && now < s.started+s.wait:
		return false, "starting"
	}
	return true, ""
}

// LameDuck has the front say no from now on. It tells whether the front has to
// empty itself: not where it already does.
func (s *State) LameDuck() (empty bool) {
	if s.lameDuck || s.ending {
		return false
	}
	s.lameDuck = true
	return true
}

// Rejoin takes a lame duck back; a front that is ending can't be.
func (s *State) Rejoin() error {
	if s.ending {
		return ErrEnding
	}
	s.lameDuck = false
	return nil
}

// End says no for good. It tells whether this is the first word of the end.
func (s *State) End() (first bool) {
	first = !s.ending
	s.ending = true
	return first
}

// Duck tells whether the front is a lame duck.
func (s *State) Duck() bool { return s.lameDuck }
