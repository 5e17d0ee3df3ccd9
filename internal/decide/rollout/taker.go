package rollout

import (
	"math"
	"slices"
)

// survives is for how long at least, by its own clock, a process must go on after it
// took a version up for the version to be no cause of its end; a version that is
// watched for longer has that long.
const survives = 5 * second

// Action is what a front does next for a version.
type Action uint8

// The actions.
const (
	Idle             Action = iota
	Check                   // look through the version whole, and tell Checked
	RecordActivation        // keep a note on disk that it is about to be taken up, and tell Noted
	Activate                // act on it, and tell Took
	RecordSurvival          // keep a note on disk that it did not end the process
)

// Notes are what a front's disk knows of the versions that it took up.
type ActivationRecord struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"` // the last that was taken up
	Survived bool   `cbor:"2,keyasint,omitempty"` // the process went on with it
	Crashes  int    `cbor:"3,keyasint,omitempty"` // processes that took it up, one after the other, and did not
	Crashed  uint64 `cbor:"4,keyasint,omitempty"` // the last version that ended a process
}

// Taker is a front's own side: which version it acts on, and what it does to act on
// the one that the state wants of it.
type Applier struct {
	acts    uint64
	good    []uint64 // found good, the newest last
	refused uint64
	why     string
	crashed uint64
	notes   ActivationRecord
	busy    bool
	failed  uint64 // that was found good and could not be taken up
	again   bool   // a note was kept for the version that ended a process before
	took    Micros // own clock
	watch   Micros // of the version that it acts on
	tried   Micros
	begun   bool

	// The bar that it is measured by.
	may   Micros
	shut  uint64
	below uint64
	since Micros
}

// mostTries is how many processes take up a version that stands, where each of them
// ended soon after; one that is only on its way goes back at the first.
const mostTries = 3

// NewTaker makes a front's side on what its disk knows.
func NewApplier(n ActivationRecord) *Applier {
	t := &Applier{notes: n, crashed: n.Crashed}
	if n.Version > 0 && !n.Survived {
		t.crashed = n.Version
	}
	return t
}

// Acts is the version that the front acts on.
func (t *Applier) Active() uint64 { return t.acts }

// Settled tells whether the front acts on what is wanted, or has found that it can't:
// until the first time it acts on nothing at all.
func (t *Applier) Settled() bool { return t.begun }

// Forever is past all moments.
const Forever Micros = math.MaxInt64

// Measure sees, at a moment of the front's own clock, up to when it may act on the
// version that it acts on. A front that has once said that it acts on nothing below a
// version keeps to it until it acts on that one.
func (t *Applier) Evaluate(s *State, name string, now Micros) {
	least, bar := s.MinVersion(name)
	if least != t.below {
		t.below, t.since = least, now
	}
	switch {
	case t.acts >= least && (s.Stable == 0 || t.begun):
		t.may = Forever
	case t.acts >= least: // it has only just started, and has not taken up what stands
		t.may = 0
	case bar > 0:
		t.may = t.since + bar
	default:
		t.may = 0
	}
	if t.acts < least && now >= t.may {
		t.shut = max(t.shut, least)
	}
	if t.acts < t.shut && t.acts < least || t.acts < s.floor(name) {
		t.may = 0
	}
}

// May tells whether the front may act at a moment of its own clock, by its version.
func (t *Applier) MayAct(now Micros) bool { return now < t.may }

// Below is the version below which it may not act, by what it was measured by last.
func (t *Applier) MinVersion() uint64 { return t.below }

// Report is what the front says of itself.
func (t *Applier) Report() FrontStatus {
	x := FrontStatus{Active: t.acts, Refused: t.refused, Reason: t.why, Crashed: t.crashed}
	if t.shut > t.acts {
		x.SelfFenced = t.shut
	}
	if len(t.good) > 0 {
		x.Checked = slices.Max(t.good)
	}
	return x
}

// Next is what to do at a moment of the front's own clock, given the version on its
// way (0: none) and the one that the state wants of this front.
func (t *Applier) Next(candidate, target uint64, now Micros) (Action, uint64) {
	if t.busy || now < t.tried {
		return Idle, 0
	}
	if target != t.acts && target != t.refused && !t.ends(target, candidate) {
		switch {
		case target > 0 && !slices.Contains(t.good, target):
			t.busy = true
			return Check, target
		case t.notes.Version != target || target == t.crashed && !t.again:
			t.busy = true
			return RecordActivation, target
		}
		t.busy = true
		return Activate, target
	}
	if candidate > 0 && candidate != t.refused && !t.ends(candidate, candidate) && !slices.Contains(t.good, candidate) {
		t.busy = true
		return Check, candidate
	}
	t.begun = true
	if !t.notes.Survived && t.notes.Version == t.acts && t.took > 0 && now-t.took >= max(survives, t.watch) {
		t.busy = true
		return RecordSurvival, t.acts
	}
	return Idle, 0
}

// ends tells whether a version has ended this front's process, so that it must not be
// taken up again.
func (t *Applier) ends(n, candidate uint64) bool {
	return n > 0 && n == t.crashed && (n == candidate || t.notes.Version == n && t.notes.Crashes >= mostTries)
}

// Noting is the note to keep for an action.
func (t *Applier) Record(do Action, n uint64) ActivationRecord {
	x := ActivationRecord{Version: n, Survived: do == RecordSurvival || n == 0, Crashed: t.crashed}
	if do == RecordSurvival && n == t.crashed {
		x.Crashed = 0
	}
	if !x.Survived {
		x.Crashes = 1
		if t.notes.Version == n {
			x.Crashes = t.notes.Crashes + 1
		}
	}
	return x
}

// later is after how long what came to nothing is tried once more.
const later = second

// Checked tells what came of a check; an error names the key at fault.
func (t *Applier) Checked(n uint64, err error) {
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
func (t *Applier) Recorded(n ActivationRecord, ok bool, now Micros) {
	t.busy = false
	if !ok {
		t.tried = now + later
		return
	}
	t.notes = n
	t.again, t.crashed = !n.Survived, n.Crashed
}

// Took tells that the front acts on a version, which is watched for a span, or why it
// could not.
func (t *Applier) Activated(n uint64, err error, watch, now Micros) {
	t.busy = false
	if err != nil {
		if t.failed != n { // what it was checked with may have changed since: once more from the check on
			t.failed, t.tried = n, now+later
			t.good = slices.DeleteFunc(t.good, func(g uint64) bool { return g == n })
			return
		}
		t.Checked(n, err)
		return
	}
	t.failed = 0
	t.acts, t.took, t.watch = n, max(1, now), watch
}
