package fleet

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/audit"
	"cherryramp/internal/decide/rollout"
)

// versionState is the state of the version that this front acts on.
type versionState struct {
	applier       *rollout.Applier
	appliedIndex  uint64
	target        uint64
	candidate     uint64
	openRequests  []openCount
	refusalLogged bool // the refusal was logged
	nodeStartedAt int64
	standingKnown bool // see knowsStanding
}

// openCount counts the open requests that started under a version.
type openCount struct {
	version  uint64
	requests int
}

// errPiecesGone is the error of a version whose pieces are not kept any more.
var errPiecesGone = errors.New("its pieces are not in the fleet's state")

// updateVersion has the front check and activate the version that the state wants of it, and
// reports its status to the fleet.
func (fleet *Fleet) updateVersion() {
	version := &fleet.version
	state := &fleet.node.Replica().State().Rollout
	if fleet.node.Stale() != nil || !fleet.knowsStanding() {
		return
	}
	if at := fleet.node.Applied(); at != version.appliedIndex {
		version.appliedIndex, version.target, version.candidate = at, state.Stable, 0
		if c := state.Candidate(); c != nil {
			version.candidate = c.Number
			version.target = state.Target(fleet.cfg.Name)
		}
	}
	fleet.evaluateVersion(state)
	switch action, n := version.applier.Next(version.candidate, version.target, fleet.now()); action {
	case rollout.Check:
		content := state.Content(n)
		if content == nil {
			version.applier.Checked(n, errPiecesGone)
			break
		}
		fleet.host.CheckVersion(content, func(err error) {
			version.applier.Checked(n, err)
			if err != nil {
				fleet.log.Warn("fleet: a version is turned down", "version", n, "error", err)
			}
		})
	case rollout.RecordActivation, rollout.RecordSurvival:
		activation := version.applier.Record(action, n)
		fleet.recordActivation(activation, func(err error) {
			if err != nil {
				fleet.log.Error("fleet: the disk takes no note, and no version without one is taken up", "error", err)
			}
			version.applier.Recorded(activation, err == nil, fleet.now())
		})
	case rollout.Activate:
		fleet.flushRequests()
		var content []byte
		if n > 0 {
			content = state.Content(n)
		}
		err := fleet.host.ActivateVersion(n, content)
		version.applier.Activated(n, err, state.Watch(n), fleet.now())
		if err != nil {
			fleet.log.Error("fleet: a version is not taken up", "version", n, "error", err)
			break
		}
		fleet.auditLog.chain.SetClasses(fleet.host.Classes())
		fleet.appendAuditEvent(audit.Record{Kind: audit.KindActivated, Version: n})
		fleet.updateHost()
	}
	fleet.evaluateVersion(state)
	fleet.reportStatus()
}

// startTimeout bounds how long a process that has just started waits to hear which version
// stands, in us. A front that does not hear the fleet goes on by what its folder has.
const startTimeout = 3_000_000

// knowsStanding reports whether this process knows which version stands: it has applied all
// that its folder has, and all that the fleet had committed when it was first heard. Until then
// the front takes no version up and acts on none, its own files included.
func (fleet *Fleet) knowsStanding() bool {
	version := &fleet.version
	if !version.standingKnown {
		waited := fleet.now()-version.nodeStartedAt >= startTimeout
		succeeds := fleet.predecessor.settled // it has followed this folder until now
		version.standingKnown = fleet.node.Recovered() && (fleet.node.CaughtUp() || waited || succeeds)
	}
	return version.standingKnown
}

// belowStanding reports whether this front acts on a version below the one that its state has
// as standing, and has not turned that one down.
func (fleet *Fleet) belowStanding() bool {
	standing := fleet.node.Replica().State().Rollout.Stable
	applier := fleet.version.applier
	return applier.Active() < standing && applier.Report().Refused != standing
}

// evaluateVersion checks whether the front may act on its active version, and logs a change.
func (fleet *Fleet) evaluateVersion(state *rollout.State) {
	version, now := &fleet.version, fleet.now()
	version.applier.Evaluate(state, fleet.cfg.Name, now)
	refused := !version.applier.MayAct(now)
	if refused == version.refusalLogged {
		return
	}
	version.refusalLogged = refused
	text := "no more"
	if refused {
		text = fmt.Sprintf("below version %d", version.applier.MinVersion())
		fleet.log.Warn("fleet: the front acts on a version that is too old, and refuses requests", "version", version.applier.Active(), "wanted", version.applier.MinVersion())
	} else {
		fleet.log.Info("fleet: the front may act on its version", "version", version.applier.Active())
	}
	fleet.appendAuditEvent(audit.Record{Kind: audit.KindOutdated, Text: text})
}

// reportStatus reports to the fleet which version this front acts on.
func (fleet *Fleet) reportStatus() {
	status := fleet.version.applier.Report()
	for _, open := range fleet.version.openRequests {
		if open.requests > 0 && open.version < status.Active && (status.OldestInUse == 0 || open.version+1 < status.OldestInUse) {
			status.OldestInUse = open.version + 1
		}
	}
	status.FailedPercent, status.HasSample = fleet.host.FailurePercent()
	status.AuditSeq, status.AuditHead = fleet.auditLog.durableSeq, fleet.auditLog.durableHead
	fleet.node.SetReport(status)
}

// RequestStarted counts a request as open and returns the version that it runs under.
func (fleet *Fleet) RequestStarted() uint64 {
	if fleet.version.applier == nil {
		return 0
	}
	n := fleet.version.applier.Active()
	for i := range fleet.version.openRequests {
		if open := &fleet.version.openRequests[i]; open.version == n {
			open.requests++
			return n
		}
	}
	fleet.version.openRequests = append(fleet.version.openRequests, openCount{n, 1})
	return n
}

// RequestAnswered records how a request ended that started under a version.
func (fleet *Fleet) RequestAnswered(version uint64, class int, outcome audit.Outcome, id string) {
	fleet.RequestAbandoned(version)
	if fleet.node != nil && fleet.auditLog.chain.Count(version, class, outcome, id, fleet.node.Applied()) {
		fleet.flushRequests()
	}
}

// RequestAbandoned ends a request without an answer: its client has gone.
func (fleet *Fleet) RequestAbandoned(version uint64) {
	for i := range fleet.version.openRequests {
		if open := &fleet.version.openRequests[i]; open.version == version {
			if open.requests--; open.requests == 0 && len(fleet.version.openRequests) > 1 {
				fleet.version.openRequests = append(fleet.version.openRequests[:i], fleet.version.openRequests[i+1:]...)
			}
			return
		}
	}
}
