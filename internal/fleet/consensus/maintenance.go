package consensus

import (
	"slices"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// maintenanceState is what the fleet wants of this front for maintenance of its machine.
type maintenanceState struct {
	permit       uint64 // under which it is out or about to be; 0: none
	outOfService bool   // it has to take no clients
	reports      map[string]sentReport
}

// sentReport is the last report of its kind, so that it isn't repeated at every tick.
type sentReport struct {
	permit uint64
	at     Micros
}

// OutOfService reports whether this front has to take no clients, and under which permit.
func (node *Node) OutOfService() (outOfService bool, permit uint64) {
	return node.maintenance.outOfService, node.maintenance.permit
}

// SetHostState sets what the host reports of itself: that it takes no clients, that it has no
// request open, and that it is unhealthy.
func (node *Node) SetHostState(notServing, idle, unhealthy bool) {
	node.notServing, node.idle, node.unhealthy = notServing, idle, unhealthy
}

// BoxesToLeave returns the names of the boxes that this front has to leave.
func (node *Node) BoxesToLeave() []string { return BoxesToLeave(node.replica.State()) }

// BoxesToLeave returns the names of the boxes that every front has to leave in a state.
func BoxesToLeave(state *statemachine.State) (list []string) {
	for _, op := range state.Maintenance.Operations {
		if op.Kind == maintenance.Box && op.Phase != maintenance.Requested && !op.Phase.Ended() && op.Phase != maintenance.Returning {
			list = append(list, op.Machine)
		}
	}
	return list
}

// SetBoxLeft sets whether the front sends nothing new to a box and has nothing open there.
func (node *Node) SetBoxLeft(box string, left bool) {
	if left {
		if _, known := node.leftBoxes[box]; !known {
			node.leftBoxes[box] = node.now
		}
	} else {
		delete(node.leftBoxes, box)
	}
}

// Rejoin has the front take clients again at an operator's request: the permit under which it
// is out is returned.
func (node *Node) Rejoin() {
	if node.maintenance.permit != 0 && node.maintenance.outOfService {
		node.maintenance.outOfService = false
		node.report(statemachine.Returned, node.cfg.Name, node.maintenance.permit)
	}
}

// updateMaintenance reads from the state what is wanted of this front. A permit is only
// accepted here; the front goes out once its acceptance has been applied.
func (node *Node) updateMaintenance() {
	state := node.replica.State()
	op := state.Maintenance.ForMachine(node.cfg.Name)
	node.maintenance.outOfService, node.maintenance.permit = false, 0
	if !node.caughtUp && !node.leading { // what this front last knew may be long outdated
		return
	}
	if op != nil && op.Kind == maintenance.Front && node.staleErr == nil {
		node.maintenance.permit = op.Permit
		switch op.Phase {
		case maintenance.Permitted:
			// A leader first transfers the leadership, if there is another voter to take it.
			if !node.leading || node.successor() == 0 {
				node.report(statemachine.Accepted, op.Machine, op.Permit)
			}
		case maintenance.Draining:
			node.maintenance.outOfService = op.Holder == node.id
			if node.maintenance.outOfService && node.notServing && node.idle {
				node.report(statemachine.Drained, op.Machine, op.Permit)
			}
		case maintenance.Out:
			node.maintenance.outOfService = true
		case maintenance.Returning:
			if !node.notServing && (!op.Serving || op.Holder != node.id) {
				node.report(statemachine.Returned, op.Machine, op.Permit)
			}
		}
	}
	for _, op := range state.Maintenance.Operations { // its heartbeats already report this; a leader of an older build ignores that field
		if since, left := node.leftBoxes[op.Machine]; left && op.Kind == maintenance.Box && op.Phase == maintenance.Permitted && node.now-since > node.tickSpan(leftReportTicks) {
			if _, heard := slices.BinarySearch(op.LeftBy, node.cfg.Name); !heard {
				node.report(statemachine.Left, op.Machine, op.Permit)
			}
		}
	}
}

// leftReportTicks is the delay after which a front that has left a box reports it with a
// command of its own.
const leftReportTicks = 50

// leftPermits returns the permits of boxes that this front has left and that others may still
// use.
func (node *Node) leftPermits() (list []uint64) {
	if !node.caughtUp && !node.leading {
		return nil
	}
	for _, op := range node.replica.State().Maintenance.Operations {
		if _, left := node.leftBoxes[op.Machine]; left && op.Kind == maintenance.Box && op.Phase == maintenance.Permitted && len(list) < maxLeftPermits {
			list = append(list, op.Permit)
		}
	}
	return list
}

// proposeLeftBoxes has the leader propose what heartbeats report of boxes that were left: one
// entry for all fronts with new reports.
func (node *Node) proposeLeftBoxes() {
	if _, done := node.replica.Seen(node.leftReportID); !done && node.leftReportID != (statemachine.ID{}) && node.now-node.leftReportAt < node.tickSpan(resendTicks) {
		return
	}
	state := node.replica.State()
	var reports []statemachine.Report
	for _, op := range state.Maintenance.Operations {
		if op.Kind != maintenance.Box || op.Phase != maintenance.Permitted {
			continue
		}
		for _, front := range state.Members.Fronts {
			left := node.fronts[front.Name].leftPermits
			if front.Name == node.cfg.Name {
				left = node.leftPermits()
			}
			info := node.fronts[front.Name]
			if _, known := slices.BinarySearch(op.LeftBy, front.Name); known || info.id != front.ID || info.start != front.Start || !slices.Contains(left, op.Permit) {
				continue
			}
			if reports = append(reports, statemachine.Report{Kind: statemachine.Left, Machine: op.Machine, Permit: op.Permit, Front: front.Name, ID: front.ID,
				Start: front.Start}); len(reports) == maxReports {
				break
			}
		}
	}
	if len(reports) == 0 {
		return
	}
	node.lastCommand++
	command := statemachine.Command{ID: statemachine.ID{Front: node.id, Start: node.cfg.Start, N: node.lastCommand}, Reports: reports[:min(len(reports), maxReports)]}
	if data, err := statemachine.Encode(command); err == nil && node.raw.Propose(data) == nil {
		node.leftReportID, node.leftReportAt = command.ID, node.now
	}
}

// maxReports limits the reports of one command, which have at most 160 bytes each.
const maxReports = 96

// report submits a report about a permit, and repeats it while it has had no effect.
func (node *Node) report(kind, machine string, permit uint64) {
	if node.maintenance.reports == nil {
		node.maintenance.reports = map[string]sentReport{}
	}
	key := kind + " " + machine
	if last, ok := node.maintenance.reports[key]; ok && last.permit == permit && node.now-last.at < node.tickSpan(3*resendTicks) {
		return
	}
	if len(node.maintenance.reports) > 1000 {
		clear(node.maintenance.reports)
	}
	node.maintenance.reports[key] = sentReport{permit, node.now}
	node.Submit(statemachine.Command{Reports: []statemachine.Report{{Kind: kind, Machine: machine, Permit: permit, Front: node.cfg.Name, ID: node.id,
		Start: node.cfg.Start}}}, node.tickSpan(3*resendTicks), func(result statemachine.Result, err error) {
		if result.Err != "" && kind == statemachine.Accepted {
			node.addEvent("the acceptance of permit %d came to nothing: %s", permit, result.Err)
		}
	})
}
