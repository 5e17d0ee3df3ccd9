package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// Checker holds the promises against what a world's fronts show. It asks for no
// decision: it counts who is out, and compares what they hold.
type Checker struct {
	w              *World
	violations     []string
	state          map[uint64]uint64 // by index: the digest of what is held there
	leaders        map[uint64]uint64 // by term
	permits        map[uint64]string // by number: the machine
	applied        map[string]uint64 // by front
	out            map[string]string // fronts that are truly out: their zones
	asked          map[string]uint64 // by what only one asking has in its reason: the work
	told           uint64            // the highest permit seen
	term           uint64            // the newest, and since when it has a leader
	ledSince       Micros
	boxes          map[string]uint64 // boxes that are out: the entry at which that was seen first
	barred         uint64
	life           map[string]uint64           // in which a front took a version up
	lived          map[string]bool             // it went on with it
	GatesPassed    int                         // that have passed
	onLeave        func(maintenance.Operation) // is told of each leave as soon as any front has applied it
	MaxOut         int                         // out at once
	StatesCompared int
}

func newChecker(w *World) *Checker {
	return &Checker{w: w, state: map[uint64]uint64{}, leaders: map[uint64]uint64{}, permits: map[uint64]string{},
		applied: map[string]uint64{}, out: map[string]string{}, asked: map[string]uint64{}, boxes: map[string]uint64{},
		life: map[string]uint64{}, lived: map[string]bool{}}
}

// Of a fleet larger than this, the states at every so many entries are compared: a
// whole state is written out and hashed for each.
const (
	largeFleet = 24
	sampleOf   = 16
)

// Failed tells whether a promise was broken.
func (c *Checker) Failed() bool { return len(c.violations) > 0 }

// Broken is the promises that were.
func (c *Checker) Violations() []string { return c.violations }

func (c *Checker) fail(format string, args ...any) {
	if len(c.violations) < 10 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
		c.w.log("BROKEN: "+format, args...)
	}
}

// seen compares what a front holds with what others held at the same entry, and
// looks at who leads.
func (c *Checker) seen(f *Front) {
	n := f.node
	if n.IsLeader() {
		id, term := n.Leader()
		if other, ok := c.leaders[term]; ok && other != id {
			c.fail("two lead in term %d: %x and %x", term, other, id)
		}
		if term > c.term {
			c.term, c.ledSince = term, c.w.now
		}
		c.leaders[term] = id
	}
	at := n.Applied()
	if at == c.applied[f.Name] || n.Stale() != nil {
		return
	}
	c.applied[f.Name] = at
	if n.IsLeader() { // whose view is the first to hold what is new
		c.works(n.Replica().State())
	}
	if len(c.w.Fronts) > largeFleet && at%sampleOf != 0 {
		return
	}
	c.StatesCompared++
	h := fnv.New64a()
	_, _ = h.Write(n.Replica().Snapshot())
	sum := h.Sum64()
	if other, ok := c.state[at]; ok && other != sum {
		c.fail("%s holds something else at entry %d than another", f.Name, at)
	}
	c.state[at] = sum
	if len(c.state) > 20000 {
		clear(c.state)
	}
	c.works(n.Replica().State())
}

// works holds the works that a front knows against what was seen of them before.
func (c *Checker) works(s *statemachine.State) {
	for _, x := range s.Maintenance.Operations {
		c.permit(x)
		c.once(x)
		if x.Phase == maintenance.Permitted && x.Permit > c.told {
			c.told = x.Permit
			c.leave(x, s)
			if c.onLeave != nil {
				c.onLeave(x)
			}
		}
	}
	if e := s.Maintenance.Ended; len(e) > 0 {
		c.once(e[len(e)-1])
	}
}

// permit: no number for two machines.
func (c *Checker) permit(x maintenance.Operation) {
	if x.Permit == 0 {
		return
	}
	if m, ok := c.permits[x.Permit]; ok && m != x.Machine {
		c.fail("permit %d is %s's and %s's", x.Permit, m, x.Machine)
	}
	c.permits[x.Permit] = x.Machine
}

// once: what was asked for once is one work, however often the asking came.
func (c *Checker) once(x maintenance.Operation) {
	if x.Reason == "" {
		return
	}
	if id, ok := c.asked[x.Reason]; ok && id != x.ID {
		c.fail("%s was asked for once and is works %d and %d", x.Reason, id, x.ID)
	}
	c.asked[x.Reason] = x.ID
}

// host counts who is truly out under a permit.
func (c *Checker) host(f *Front) {
	if f.out {
		c.out[f.Name] = f.Zone
	} else {
		delete(c.out, f.Name)
		return
	}
	zones := map[string]int{}
	for _, z := range c.out {
		zones[z]++
	}
	r := c.w.spec.Rules
	c.MaxOut = max(c.MaxOut, len(c.out))
	if len(c.out) > r.MaxOut {
		c.fail("%d fronts are out under a permit, %d may be: %v", len(c.out), r.MaxOut, c.out)
	}
	if zones[f.Zone] > r.MaxZoneOut {
		c.fail("%d fronts of zone %s are out under a permit, %d may be", zones[f.Zone], f.Zone, r.MaxZoneOut)
	}
	if most := max(1, len(c.w.Fronts)*r.MaxFrontsPercent/100); len(c.out) > most {
		c.fail("%d fronts are out under a permit, %d%% of %d may be", len(c.out), r.MaxFrontsPercent, len(c.w.Fronts))
	}
}

// box: while a box is out no front that may act has it among those it sends to.
func (c *Checker) box(f *Front, barred []string) {
	at := f.node.Applied()
	for _, x := range f.node.Replica().State().Maintenance.Operations {
		if x.Kind != maintenance.Box {
			continue
		}
		if x.Phase == maintenance.Out {
			if c.boxes[x.Machine] == 0 {
				c.boxes[x.Machine] = at
			}
		} else if at > c.boxes[x.Machine] {
			delete(c.boxes, x.Machine)
		}
	}
	for b, since := range c.boxes {
		if at > since && f.node.Replica().State().Maintenance.ForMachine(b) == nil {
			delete(c.boxes, b)
		}
	}
	// Without leases, one that has only just started acts on what its disk has.
	if f.out || !f.acts() || f.node.LeaseSpan() == 0 && !f.node.CaughtUp() {
		return
	}
	for b := range c.boxes {
		if !slices.Contains(barred, b) {
			c.fail("%s is out and %s, at entry %d, sends to it", b, f.Name, at)
		}
	}
}

// version: once a bar is said to have passed, nobody acts on an older version.
func (c *Checker) version(f *Front) {
	s := &f.node.Replica().State().Rollout
	if s.EnforcedMin > c.barred {
		c.barred, c.GatesPassed = s.EnforcedMin, c.GatesPassed+1
		for _, o := range c.w.Fronts { // at that very moment, whoever may
			if o.node != nil && !o.paused {
				c.older(o)
			}
		}
	}
	c.older(f)
}

func (c *Checker) older(f *Front) {
	if acts := f.taker.Active(); acts < c.barred && !f.out && f.acts() {
		c.fail("%s acts on version %d, and the bar of %d is said to have passed", f.Name, acts, c.barred)
	}
}

// took: nobody takes up a version that the fleet has said is void, as far as that
// front knows, nor one that ended its process.
func (c *Checker) took(f *Front, n uint64) {
	s := &f.node.Replica().State().Rollout
	if v := s.Find(n); v != nil && v.Phase.Withdrawn() {
		c.fail("%s takes up version %d, which is %s", f.Name, n, v.Phase)
	}
	key := fmt.Sprintf("%s %d %d", f.Name, n, f.node.ID())
	c.lived[key] = c.lived[key] || f.notes.Version == n && f.notes.Survived
	if v := s.Candidate(); c.life[key] != 0 && c.life[key] != f.life && !c.lived[key] && v != nil && v.Number == n {
		c.fail("%s takes up version %d again, which ended its process", f.Name, n)
	}
	c.life[key] = f.life
}

// surely is how long a front must have been dead, under one leader, for the fleet to
// know of it.
const surely = 13 * Second

// leave holds a leave, at the moment at which it is first seen, against who is dead
// or out in truth: what is lost counts as out, and a voter goes only where a
// majority stays.
func (c *Checker) leave(x maintenance.Operation, s *statemachine.State) {
	l := c.w.Leader()
	if l == nil || c.w.now-c.ledSince < surely || x.Kind != maintenance.Front {
		return
	}
	gone := map[string]bool{x.Machine: true}
	for _, f := range c.w.Fronts {
		known := s.Members.Find(f.Name)
		if f.out || f.node == nil && c.w.now-f.diedAt > surely && known != nil && known.ID == f.lastID && c.w.now-known.Since > surely {
			gone[f.Name] = true
		}
	}
	if len(gone) > c.w.spec.Rules.MaxOut {
		c.fail("leave %d makes %d fronts out or dead, %d may be: %v", x.Permit, len(gone), c.w.spec.Rules.MaxOut, gone)
	}
	own, stay := s.Members.Find(x.Machine), 0
	for _, id := range s.Seats.Voters {
		if f := s.Members.ByID(id); f != nil && !gone[f.Name] {
			stay++
		}
	}
	if y := s.Maintenance.Find(x.ID); y == nil || y.Phase != maintenance.Permitted {
		return // taken back already, by what came with it
	}
	if own != nil && s.Seats.Has(own.ID) && len(s.Seats.Voters) > 1 && stay < len(s.Seats.Voters)/2+1 {
		c.fail("leave %d to a voter leaves %d of %d voters", x.Permit, stay, len(s.Seats.Voters))
	}
}

// End tells what must hold once contact is back: every front that is up holds the
// same, and every work that was asked for has ended.
func (c *Checker) CheckFinal() {
	var last *Front
	for _, f := range c.w.Fronts {
		if f.node == nil {
			continue
		}
		if last != nil && f.node.Applied() != last.node.Applied() {
			c.fail("%s is at entry %d, %s at %d, with contact back", f.Name, f.node.Applied(), last.Name, last.node.Applied())
		}
		last = f
	}
	if last == nil {
		return
	}
	s := last.node.Replica().State()
	for _, f := range c.w.Fronts {
		if f.node == nil {
			continue
		}
		if at := f.taker.Active(); at != s.Rollout.Stable && f.taker.Report().Crashed != s.Rollout.Stable && f.taker.Report().Refused != s.Rollout.Stable {
			c.fail("%s acts on version %d, and %d stands, with contact back", f.Name, at, s.Rollout.Stable)
		}
		if !f.acts() && f.taker.Active() == s.Rollout.Stable {
			c.fail("%s may not act, with contact back: its lease holds %v until %d, now %d, its version lets it %v; lives by %d; fed by %q, leader %q, stand %+v", f.Name,
				f.node.MayAct(f.clock()), f.node.LeaseEnd(), f.clock(), f.taker.MayAct(f.clock()), f.node.LeaseSpan(), f.node.Feeder(), f.node.LeaderName(), s.Rollout.Status(f.Name))
		}
	}
	for _, x := range s.Maintenance.Operations {
		c.fail("work %d on %s has not ended: %s", x.ID, x.Machine, s.Maintenance.Explain(x.Machine, last.node.Replica().Fleet(), s.Now))
	}
}
