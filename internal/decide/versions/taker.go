package versions

import "slices"

// survives is for how long, by its own clock, a process must go on after it took a
// version up for the version to be no cause of its end.
const survives = 5 * second

// Action is what a front does next for a version.
type Action uint8

// The actions.
const (
	Rest    Action = iota
	Check          // look through the version whole, and tell Checked
	Note           // keep a note on disk that it is about to be taken up, and tell Noted
	Take           // act on it, and tell Took
	Survive        // keep a note on disk that it did not end the process
)

// Notes are what a front's disk knows of the versions that it took up.
type Notes struct {
	Trying   uint64 `cbor:"1,keyasint,omitempty"` // the last that was taken up
	Survived bool   `cbor:"2,keyasint,omitempty"` // the process went on with it
}

// Taker is a front's own side: which version it acts on, and what it does to act on
// the one that the state wants of it.
type Taker struct {
	acts    uint64
	good    []uint64 // found good, the newest last
	refused uint64
	why     string
	crashed uint64
	notes   Notes
	busy    bool
	took    Micros // own clock
	tried   Micros
	begun   bool
}

// NewTaker makes a front's side on what its disk knows.
func NewTaker(n Notes) *Taker {
	t := &Taker{notes: n}
	if n.Trying > 0 && !n.Survived {
		t.crashed = n.Trying
	}
	return t
}

// Acts is the version that the front acts on.
func (t *Taker) Acts() uint64 { return t.acts }

// Settled tells whether the front acts on what is wanted, or has found that it can't:
// until the first time it acts on nothing at all.
func (t *Taker) Settled() bool { return t.begun }

// Report is what the front says of itself.
func (t *Taker) Report() Stand {
	x := Stand{Acts: t.acts, Refused: t.refused, Why: t.why, Crashed: t.crashed}
	if len(t.good) > 0 {
		x.Checked = slices.Max(t.good)
	}
	return x
}

// Next is what to do at a moment of the front's own clock, given the version on its
// way (0: none) and the one that the state wants of this front.
func (t *Taker) Next(candidate, target uint64, now Micros) (Action, uint64) {
	if t.busy || now < t.tried {
		return Rest, 0
	}
	if target != t.acts && target != t.refused && target != t.crashed {
		switch {
		case target > 0 && !slices.Contains(t.good, target):
			t.busy = true
			return Check, target
		case t.notes.Trying != target:
			t.busy = true
			return Note, target
		}
		t.busy = true
		return Take, target
	}
	if candidate > 0 && candidate != t.refused && candidate != t.crashed && !slices.Contains(t.good, candidate) {
		t.busy = true
		return Check, candidate
	}
	t.begun = true
	if !t.notes.Survived && t.notes.Trying == t.acts && t.took > 0 && now-t.took >= survives {
		t.busy = true
		return Survive, t.acts
	}
	return Rest, 0
}

// again is after how long what came to nothing is tried once more.
const again = second

// Checked tells what came of a check; an error names the key at fault.
func (t *Taker) Checked(n uint64, err error) {
	t.busy = false
	if err != nil {
		if t.refused, t.why = n, err.Error(); len(t.why) > mostText {
			t.why = t.why[:mostText]
		}
		return
	}
	if t.good = append(t.good, n); len(t.good) > mostKept {
		t.good = slices.Delete(t.good, 0, 1)
	}
}

// Noted tells that a note was kept, or was not: without it nothing is taken up.
func (t *Taker) Noted(n Notes, ok bool, now Micros) {
	t.busy = false
	if !ok {
		t.tried = now + again
		return
	}
	t.notes = n
}

// Took tells that the front acts on a version, or why it could not.
func (t *Taker) Took(n uint64, err error, now Micros) {
	t.busy = false
	if err != nil {
		t.Checked(n, err)
		return
	}
	t.acts, t.took = n, max(1, now)
}
