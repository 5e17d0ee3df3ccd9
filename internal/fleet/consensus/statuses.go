package consensus

import (
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// proposedStatus is the status of a front that the leader has proposed and that the log may not
// have yet.
type proposedStatus struct {
	status rollout.FrontStatus
	at     Micros
}

const (
	headIntervalTicks = 50 // between two proposals of audit heads that have grown
	maxStatuses       = 32 // of one command, with at most 480 bytes each
	maxStatusCommands = 16 // at a heartbeat
)

// SetReport sets the version that this front acts on, as it reports it.
func (node *Node) SetReport(status rollout.FrontStatus) {
	status.Name, status.ID, status.Start = node.cfg.Name, node.id, node.cfg.Start
	node.status = &status
}

// proposeStatuses has the leader propose the versions that heartbeats report, for the fronts
// whose status has changed. Audit heads alone are proposed only every headIntervalTicks.
func (node *Node) proposeStatuses() {
	state := node.replica.State()
	if state.Version < statemachine.VersionStatuses {
		return
	}
	if node.proposedStatuses == nil || len(node.proposedStatuses) > 2*len(state.Members.Fronts)+16 {
		node.proposedStatuses = map[string]proposedStatus{}
	}
	headsDue := node.now-node.headsProposedAt >= node.tickSpan(headIntervalTicks)
	if headsDue {
		node.headsProposedAt = node.now
	}
	var list []rollout.FrontStatus
	for _, front := range state.Members.Fronts {
		info := node.fronts[front.Name]
		if info.status == nil || info.id != front.ID || info.start != front.Start || node.now-info.heardAt > node.cfg.LostAfter {
			continue
		}
		status := *info.status
		status.Name, status.ID, status.Start = front.Name, front.ID, front.Start
		known := rollout.FrontStatus{}
		if reported := state.Rollout.Status(front.Name); reported != nil {
			known = reported.OwnReport()
		}
		if status == known || !headsDue && status.WithoutAuditHead() == known.WithoutAuditHead() {
			continue
		}
		if p, ok := node.proposedStatuses[front.Name]; ok && node.now-p.at < node.tickSpan(resendTicks) && (p.status == status || !headsDue && p.status.WithoutAuditHead() == status.WithoutAuditHead()) {
			continue
		}
		node.proposedStatuses[front.Name] = proposedStatus{status, node.now}
		list = append(list, status)
	}
	for range maxStatusCommands {
		if len(list) == 0 {
			return
		}
		batch := list[:min(len(list), maxStatuses)]
		list = list[len(batch):]
		node.lastCommand++
		command := statemachine.Command{ID: statemachine.ID{Front: node.id, Start: node.cfg.Start, N: node.lastCommand}, Statuses: batch}
		if data, err := statemachine.Encode(command); err == nil {
			_ = node.raw.Propose(data) // dropped ones are proposed again after a while
		}
	}
	for _, status := range list { // at the next heartbeat
		delete(node.proposedStatuses, status.Name)
	}
}
