package rollout

import (
	"math"
	"slices"
)

// survives is for how long at least, by its own clock, a process must go on after it
// took a version up for the version to be no cause of its end; a version that is
// watched for longer has that long.
const minSurvival = 5 * second

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
	active           uint64
	checked          []uint64 // found good, the newest last
	refused          uint64
	reason           string
	crashed          uint64
	record           ActivationRecord
	busy             bool
	activationFailed uint64 // that was found good and could not be taken up
	recorded         bool   // a note was kept for the version that ended a process before
	activatedAt      Micros // own clock
	watch            Micros // of the version that it acts on
	retryAt          Micros
	settled          bool

	// The bar that it is measured by.
	mayActUntil Micros
	selfFenced  uint64
	minVersion  uint64
	minSince    Micros
}

// mostTries is how many processes take up a version that stands, where each of them
// ended soon after; one that is only on its way goes back at the first.
const maxCrashes = 3

// NewTaker makes a front's side on what its disk knows.
func NewApplier(record ActivationRecord) *Applier {
	a := &Applier{record: record, crashed: record.Crashed}
	if record.Version > 0 && !record.Survived {
		a.crashed = record.Version
	}
	return a
}

// Acts is the version that the front acts on.
func (a *Applier) Active() uint64 { return a.active }

// Settled tells whether the front acts on what is wanted, or has found that it can't:
// until the first time it acts on nothing at all.
func (a *Applier) Settled() bool { return a.settled }

// Forever is past all moments.
const Forever Micros = math.MaxInt64

// Measure sees, at a moment of the front's own clock, up to when it may act on the
// version that it acts on. A front that has once said that it acts on nothing below a
// version keeps to it until it acts on that one.
func (a *Applier) Evaluate(s *State, name string, now Micros) {
	minVersion, gate := s.MinVersion(name)
	if minVersion != a.minVersion {
		a.minVersion, a.minSince = minVersion, now
	}
	switch {
	case a.active >= minVersion && (s.Stable == 0 || a.settled):
		a.mayActUntil = Forever
	case a.active >= minVersion: // it has only just started, and has not taken up what stands
		a.mayActUntil = 0
	case gate > 0:
		a.mayActUntil = a.minSince + gate
	default:
		a.mayActUntil = 0
	}
	if a.active < minVersion && now >= a.mayActUntil {
		a.selfFenced = max(a.selfFenced, minVersion)
	}
	if a.active < a.selfFenced && a.active < minVersion || a.active < s.enforcedMinFor(name) {
		a.mayActUntil = 0
	}
}

// May tells whether the front may act at a moment of its own clock, by its version.
func (a *Applier) MayAct(now Micros) bool { return now < a.mayActUntil }

// Below is the version below which it may not act, by what it was measured by last.
func (a *Applier) MinVersion() uint64 { return a.minVersion }

// Report is what the front says of itself.
func (a *Applier) Report() FrontStatus {
	status := FrontStatus{Active: a.active, Refused: a.refused, Reason: a.reason, Crashed: a.crashed}
	if a.selfFenced > a.active {
		status.SelfFenced = a.selfFenced
	}
	if len(a.checked) > 0 {
		status.Checked = slices.Max(a.checked)
	}
	return status
}

// Next is what to do at a moment of the front's own clock, given the version on its
// way (0: none) and the one that the state wants of this front.
func (a *Applier) Next(candidate, target uint64, now Micros) (Action, uint64) {
	if a.busy || now < a.retryAt {
		return Idle, 0
	}
	if target != a.active && target != a.refused && !a.mustNotActivate(target, candidate) {
		switch {
		case target > 0 && !slices.Contains(a.checked, target):
			a.busy = true
			return Check, target
		case a.record.Version != target || target == a.crashed && !a.recorded:
			a.busy = true
			return RecordActivation, target
		}
		a.busy = true
		return Activate, target
	}
	if candidate > 0 && candidate != a.refused && !a.mustNotActivate(candidate, candidate) && !slices.Contains(a.checked, candidate) {
		a.busy = true
		return Check, candidate
	}
	a.settled = true
	if !a.record.Survived && a.record.Version == a.active && a.activatedAt > 0 && now-a.activatedAt >= max(minSurvival, a.watch) {
		a.busy = true
		return RecordSurvival, a.active
	}
	return Idle, 0
}

// ends tells whether a version has ended this front's process, so that it must not be
// taken up again.
func (a *Applier) mustNotActivate(n, candidate uint64) bool {
	return n > 0 && n == a.crashed && (n == candidate || a.record.Version == n && a.record.Crashes >= maxCrashes)
}

// Noting is the note to keep for an action.
func (a *Applier) Record(action Action, n uint64) ActivationRecord {
	record := ActivationRecord{Version: n, Survived: action == RecordSurvival || n == 0, Crashed: a.crashed}
	if action == RecordSurvival && n == a.crashed {
		record.Crashed = 0
	}
	if !record.Survived {
		record.Crashes = 1
		if a.record.Version == n {
			record.Crashes = a.record.Crashes + 1
		}
	}
	return record
}

// later is after how long what came to nothing is tried once more.
const retryDelay = second

// Checked tells what came of a check; an error names the key at fault.
func (a *Applier) Checked(n uint64, err error) {
	a.busy = false
	if err != nil {
		if a.refused, a.reason = n, err.Error(); len(a.reason) > maxTextSize {
			a.reason = a.reason[:maxTextSize]
		}
		return
	}
	if a.checked = append(a.checked, n); len(a.checked) > maxVersions {
		a.checked = slices.Delete(a.checked, 0, 1)
	}
}

// Noted tells that a note was kept, or was not: without it nothing is taken up.
func (a *Applier) Recorded(record ActivationRecord, ok bool, now Micros) {
	a.busy = false
	if !ok {
		a.retryAt = now + retryDelay
		return
	}
	a.record = record
	a.recorded, a.crashed = !record.Survived, record.Crashed
}

// Took tells that the front acts on a version, which is watched for a span, or why it
// could not.
func (a *Applier) Activated(n uint64, err error, watch, now Micros) {
	a.busy = false
	if err != nil {
		if a.activationFailed != n { // what it was checked with may have changed since: once more from the check on
			a.activationFailed, a.retryAt = n, now+retryDelay
			a.checked = slices.DeleteFunc(a.checked, func(g uint64) bool { return g == n })
			return
		}
		a.Checked(n, err)
		return
	}
	a.activationFailed = 0
	a.active, a.activatedAt, a.watch = n, max(1, now), watch
}
