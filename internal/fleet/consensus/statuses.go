package consensus

import (
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
)

// stood is what the leader has proposed of a front's stand and the log may not have yet.
type stood struct {
	x  rollout.FrontStatus
	at Micros
}

const (
	headTicks    = 50 // between two proposals of heads of audits that have grown
	mostStands   = 32 // of one command: at most 480 bytes each
	mostCommands = 16 // at a beat
)

// SetStand tells which version this front acts on, in its own words.
func (n *Node) SetReport(x rollout.FrontStatus) {
	x.Name, x.ID, x.Start = n.cfg.Name, n.id, n.cfg.Start
	n.stand = &x
}

// gatherStands has the leader propose what beats have told of versions, of those whose
// word is new: heads of audits alone every few seconds.
func (n *Node) gatherStands() {
	s := n.rep.State()
	if s.Version < statemachine.VersionStatuses {
		return
	}
	if n.stood == nil || len(n.stood) > 2*len(s.Members.Fronts)+16 {
		n.stood = map[string]stood{}
	}
	heads := n.now-n.heads >= n.span(headTicks)
	if heads {
		n.heads = n.now
	}
	var list []rollout.FrontStatus
	for _, f := range s.Members.Fronts {
		h := n.heard[f.Name]
		if h.stand == nil || h.id != f.ID || h.start != f.Start || n.now-h.at > n.cfg.LostAfter {
			continue
		}
		x := *h.stand
		x.Name, x.ID, x.Start = f.Name, f.ID, f.Start
		known := rollout.FrontStatus{}
		if y := s.Rollout.Status(f.Name); y != nil {
			known = y.OwnReport()
		}
		if x == known || !heads && x.WithoutAuditHead() == known.WithoutAuditHead() {
			continue
		}
		if p, ok := n.stood[f.Name]; ok && n.now-p.at < n.span(againTicks) && (p.x == x || !heads && p.x.WithoutAuditHead() == x.WithoutAuditHead()) {
			continue
		}
		n.stood[f.Name] = stood{x, n.now}
		list = append(list, x)
	}
	for range mostCommands {
		if len(list) == 0 {
			return
		}
		part := list[:min(len(list), mostStands)]
		list = list[len(part):]
		n.number++
		c := statemachine.Command{ID: statemachine.ID{Front: n.id, Start: n.cfg.Start, N: n.number}, Statuses: part}
		if b, err := statemachine.Encode(c); err == nil {
			_ = n.raw.Propose(b) // again after a while, where it is dropped
		}
	}
	for _, x := range list { // the next beat
		delete(n.stood, x.Name)
	}
}
