package consensus

import (
	"slices"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// duty is what the fleet wants of this front for work on its own machine.
type duty struct {
	permit uint64 // that it is out under, or about to be; 0: none
	out    bool   // it is to take no clients
	sent   map[string]sent
}

// sent is a report that was made, so that it is not made at every tick.
type sent struct {
	permit uint64
	at     Micros
}

// Out tells whether this front is to take no clients, and under which permit.
func (n *Node) OutOfService() (out bool, permit uint64) { return n.duty.out, n.duty.permit }

// Host tells what the front says of itself: that it takes no clients, that it holds
// no request any more, and that it is in trouble.
func (n *Node) SetHostState(away, empty, hurt bool) { n.away, n.empty, n.hurt = away, empty, hurt }

// Boxes gives the boxes that this front is to leave, by name.
func (n *Node) BoxesToLeave() (list []string) {
	for _, x := range n.rep.State().Maintenance.Operations {
		if x.Kind == maintenance.Box && x.Phase != maintenance.Requested && !x.Phase.Ended() && x.Phase != maintenance.Returning {
			list = append(list, x.Machine)
		}
	}
	return list
}

// LeftBox tells whether the front sends nothing new to a box and has nothing open there.
func (n *Node) SetBoxLeft(box string, left bool) {
	if left {
		if _, known := n.boxes[box]; !known {
			n.boxes[box] = n.now
		}
	} else {
		delete(n.boxes, box)
	}
}

// Rejoin tells that a person has the front take clients again: what it was out
// for is given back.
func (n *Node) Rejoin() {
	if n.duty.permit != 0 && n.duty.out {
		n.duty.out = false
		n.report(statemachine.Returned, n.cfg.Name, n.duty.permit)
	}
}

// dutyStep sees what the state wants of this front. Leave is only asked to be
// accepted here; the front goes out once its acceptance has been applied.
func (n *Node) dutyStep() {
	s := n.rep.State()
	x := s.Maintenance.ForMachine(n.cfg.Name)
	n.duty.out, n.duty.permit = false, 0
	if !n.fresh && !n.leads { // what this front last knew may be long over
		return
	}
	if x != nil && x.Kind == maintenance.Front && n.stale == nil {
		n.duty.permit = x.Permit
		switch x.Phase {
		case maintenance.Permitted:
			// A leader hands over before its turn, where there is anybody to hand over to.
			if !n.leads || n.successor() == 0 {
				n.report(statemachine.Accepted, x.Machine, x.Permit)
			}
		case maintenance.Draining:
			n.duty.out = x.Holder == n.id
			if n.duty.out && n.away && n.empty {
				n.report(statemachine.Drained, x.Machine, x.Permit)
			}
		case maintenance.Out:
			n.duty.out = true
		case maintenance.Returning:
			if !n.away && (!x.Serving || x.Holder != n.id) {
				n.report(statemachine.Returned, x.Machine, x.Permit)
			}
		}
	}
	for _, x := range s.Maintenance.Operations { // its beats have said so all the while; a leader of an older build does not hear that
		if since, left := n.boxes[x.Machine]; left && x.Kind == maintenance.Box && x.Phase == maintenance.Permitted && n.now-since > n.span(leftTicks) {
			if _, heard := slices.BinarySearch(x.LeftBy, n.cfg.Name); !heard {
				n.report(statemachine.Left, x.Machine, x.Permit)
			}
		}
	}
}

// leftTicks is after how long a front that has left a box says so by itself.
const leftTicks = 50

// leftPermits are the permits of boxes that this front has left, as long as leave is
// not whole.
func (n *Node) leftPermits() (list []uint64) {
	if !n.fresh && !n.leads {
		return nil
	}
	for _, x := range n.rep.State().Maintenance.Operations {
		if _, left := n.boxes[x.Machine]; left && x.Kind == maintenance.Box && x.Phase == maintenance.Permitted && len(list) < mostLeft {
			list = append(list, x.Permit)
		}
	}
	return list
}

// gatherLeft has the leader report what beats have told of boxes that were left: one
// entry for all fronts whose word is new.
func (n *Node) gatherLeft() {
	if _, done := n.rep.Seen(n.leftID); !done && n.leftID != (statemachine.ID{}) && n.now-n.leftAt < n.span(againTicks) {
		return
	}
	s := n.rep.State()
	var reports []statemachine.Report
	for _, x := range s.Maintenance.Operations {
		if x.Kind != maintenance.Box || x.Phase != maintenance.Permitted {
			continue
		}
		for _, f := range s.Members.Fronts {
			left := n.heard[f.Name].left
			if f.Name == n.cfg.Name {
				left = n.leftPermits()
			}
			h := n.heard[f.Name]
			if _, known := slices.BinarySearch(x.LeftBy, f.Name); known || h.id != f.ID || h.start != f.Start || !slices.Contains(left, x.Permit) {
				continue
			}
			if reports = append(reports, statemachine.Report{Kind: statemachine.Left, Machine: x.Machine, Permit: x.Permit, Front: f.Name, ID: f.ID,
				Start: f.Start}); len(reports) == mostReports {
				break
			}
		}
	}
	if len(reports) == 0 {
		return
	}
	n.number++
	c := statemachine.Command{ID: statemachine.ID{Front: n.id, Start: n.cfg.Start, N: n.number}, Reports: reports[:min(len(reports), mostReports)]}
	if b, err := statemachine.Encode(c); err == nil && n.raw.Propose(b) == nil {
		n.leftID, n.leftAt = c.ID, n.now
	}
}

// mostReports bounds the words of one command: at most 160 bytes each.
const mostReports = 96

// report tells the fleet of a permit, and again while nothing has come of it.
func (n *Node) report(what, machine string, permit uint64) {
	if n.duty.sent == nil {
		n.duty.sent = map[string]sent{}
	}
	key := what + " " + machine
	if last, ok := n.duty.sent[key]; ok && last.permit == permit && n.now-last.at < n.span(3*againTicks) {
		return
	}
	if len(n.duty.sent) > 1000 {
		clear(n.duty.sent)
	}
	n.duty.sent[key] = sent{permit, n.now}
	n.Submit(statemachine.Command{Reports: []statemachine.Report{{Kind: what, Machine: machine, Permit: permit, Front: n.cfg.Name, ID: n.id,
		Start: n.cfg.Start}}}, n.span(3*againTicks), func(w statemachine.Result, err error) {
		if w.Err != "" && what == statemachine.Accepted {
			n.tell("the acceptance of permit %d came to nothing: %s", permit, w.Err)
		}
	})
}
