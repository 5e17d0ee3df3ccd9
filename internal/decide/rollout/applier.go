package rollout

import (
	"math"
	"slices"
)

// minSurvival is how long, by its own clock, a process must keep running after it
// activated a version before a crash is no longer attributed to that version. A longer
// observation time of the version takes its place.
const minSurvival = 5 * second

// Action is the next thing that a front does for a version.
type Action uint8

// The actions.
const (
	Idle             Action = iota
	Check                   // validate the version, then call Checked
	RecordActivation        // write to disk that it is about to be activated, then call Recorded
	Activate                // act on it, then call Activated
	RecordSurvival          // write to disk that the process survived it, then call Recorded
)

// ActivationRecord is what a front keeps on disk of the versions that it activated.
type ActivationRecord struct {
	Version     uint64 `cbor:"1,keyasint,omitempty"` // last version that was activated
	Survived    bool   `cbor:"2,keyasint,omitempty"` // the process kept running with it
	Activations int    `cbor:"3,keyasint,omitempty"` // consecutive processes that activated it without having survived it
	Crashed     uint64 `cbor:"4,keyasint,omitempty"` // last version that crashed a process
}

// Applier is the front's side of a rollout: the version that it acts on, and the steps
// to activate the one that the state wants.
type Applier struct {
	active           uint64
	checked          []uint64 // versions found valid, the newest last
	refused          uint64
	reason           string
	crashed          uint64
	record           ActivationRecord
	busy             bool
	activationFailed uint64 // was found valid, but could not be activated
	recorded         bool   // the activation of the version that crashed before is on record
	activatedAt      Micros // own clock
	watch            Micros // of the active version
	retryAt          Micros
	startedAt        Micros // own clock, when Next was first called
	settled          bool

	// Limits set by the gate.
	mayActUntil Micros
	selfFenced  uint64
	minVersion  uint64
	minSince    Micros
}

// A candidate is given up after its first crash. A stable version, which all others act on,
// is activated by every process of a front; after maxActivations that did not survive it in
// a row, each waits crashPause first, and the front acts on nothing meanwhile.
const (
	maxActivations = 3
	crashPause     = 5 * second
)

// NewApplier returns the applier of a front with the given record on its disk.
func NewApplier(record ActivationRecord) *Applier {
	a := &Applier{record: record, crashed: record.Crashed}
	if record.Version > 0 && !record.Survived {
		a.crashed = record.Version
	}
	return a
}

// Resume has a new process's applier go on with a version that the process acts on already.
func (a *Applier) Resume(n uint64) {
	a.active, a.settled, a.mayActUntil = n, true, Forever
}

// Active returns the version that the front acts on.
func (a *Applier) Active() uint64 { return a.active }

// Settled reports whether the front acts on the wanted version or has found that it
// can't. Until it has settled once, it acts on no version.
func (a *Applier) Settled() bool { return a.settled }

// Forever is later than any point in time.
const Forever Micros = math.MaxInt64

// Evaluate computes, at a time of the front's own clock, until when it may act on its
// active version. A front that has once reported that it acts on nothing below a
// version keeps to that until it acts on that version.
func (a *Applier) Evaluate(s *State, name string, now Micros) {
	minVersion, gate := s.MinVersion(name)
	if minVersion != a.minVersion {
		a.minVersion, a.minSince = minVersion, now
	}
	switch {
	case a.active >= minVersion && (s.Stable == 0 || a.settled):
		a.mayActUntil = Forever
	case a.active >= minVersion: // just started, has not activated the stable version yet
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

// MayAct reports whether the active version lets the front act at a time of its own
// clock.
func (a *Applier) MayAct(now Micros) bool { return now < a.mayActUntil }

// MinVersion returns the version below which the front may not act, as of the last call
// of Evaluate.
func (a *Applier) MinVersion() uint64 { return a.minVersion }

// Report returns the status that the front reports of itself.
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

// Next returns the next action and its version at a time of the front's own clock,
// given the candidate (0: none) and the version that the state wants of this front.
func (a *Applier) Next(candidate, target uint64, now Micros) (Action, uint64) {
	if a.startedAt == 0 {
		a.startedAt = max(1, now)
	}
	if a.busy || now < a.retryAt || a.pauses(target, candidate, now) {
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

// mustNotActivate reports whether a version has crashed this front's process and must
// not be activated again.
func (a *Applier) mustNotActivate(n, candidate uint64) bool {
	return n > 0 && n == a.crashed && n == candidate
}

// pauses reports whether the stable version has crashed so many processes that this one
// still waits before it activates it.
func (a *Applier) pauses(target, candidate uint64, now Micros) bool {
	return target > 0 && target != candidate && target != a.active && target != a.refused && target == a.crashed &&
		a.record.Version == target && a.record.Activations >= maxActivations && now < a.startedAt+crashPause
}

// Record returns the record to write for an action.
func (a *Applier) Record(action Action, n uint64) ActivationRecord {
	record := ActivationRecord{Version: n, Survived: action == RecordSurvival || n == 0, Crashed: a.crashed}
	if action == RecordSurvival && n == a.crashed {
		record.Crashed = 0
	}
	if !record.Survived {
		record.Activations = 1
		if a.record.Version == n {
			record.Activations = a.record.Activations + 1
		}
	}
	return record
}

// retryDelay is the pause before a failed action is retried.
const retryDelay = second

// Checked takes the result of a check; an error names the key at fault.
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

// Recorded takes whether a record was written: without it no version is activated.
func (a *Applier) Recorded(record ActivationRecord, ok bool, now Micros) {
	a.busy = false
	if !ok {
		a.retryAt = now + retryDelay
		return
	}
	a.record = record
	a.recorded, a.crashed = !record.Survived, record.Crashed
}

// Activated takes the result of an activation. Watch is how long the version is
// observed.
func (a *Applier) Activated(n uint64, err error, watch, now Micros) {
	a.busy = false
	if err != nil {
		if a.activationFailed != n { // its check may be outdated: retry once, beginning with the check
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
