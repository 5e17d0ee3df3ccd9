package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// Checker checks a world's invariants against the observed state of its fronts. It
// doesn't call the decision code: it counts the fronts that are out of service and
// compares the replicated states.
type Checker struct {
	world             *World
	violations        []string
	digests           map[uint64]uint64           // digest of the replicated state by log index
	leaders           map[uint64]uint64           // leader by term
	permits           map[uint64]string           // machine by permit number
	applied           map[string]uint64           // last applied index by front
	outZones          map[string]string           // zones of the fronts that are actually out of service
	operationByReason map[string]uint64           // operation ID by reason; reasons are unique to a request
	maxPermit         uint64                      // highest permit seen
	newestTerm        uint64                      // newest term with a leader
	leaderSince       Micros                      // since when newestTerm has a leader
	boxesOut          map[string]uint64           // index at which a box was first seen as out
	enforcedMin       uint64                      // newest version whose health gate has passed
	activationLife    map[string]uint64           // process life in which a front activated a version
	survived          map[string]bool             // whether the front survived the activation
	GatesPassed       int                         // health gates passed
	onPermit          func(maintenance.Operation) // called for each permit once any front has applied it
	MaxOut            int                         // most fronts out of service at once
	StatesCompared    int
}

func newChecker(w *World) *Checker {
	return &Checker{world: w, digests: map[uint64]uint64{}, leaders: map[uint64]uint64{}, permits: map[uint64]string{},
		applied: map[string]uint64{}, outZones: map[string]string{}, operationByReason: map[string]uint64{}, boxesOut: map[string]uint64{},
		activationLife: map[string]uint64{}, survived: map[string]bool{}}
}

// Fleets larger than largeFleet have their states compared at every sampleInterval
// entries only, since each comparison encodes and hashes a whole state.
const (
	largeFleet     = 24
	sampleInterval = 16
)

// Failed reports whether an invariant was violated.
func (c *Checker) Failed() bool { return len(c.violations) > 0 }

// Violations returns descriptions of the violated invariants, ten at most.
func (c *Checker) Violations() []string { return c.violations }

func (c *Checker) fail(format string, args ...any) {
	if len(c.violations) < 10 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
		c.world.log("BROKEN: "+format, args...)
	}
}

// observe compares a front's replicated state with other fronts' state at the same log
// index, and checks that each term has one leader.
func (c *Checker) observe(f *Front) {
	n := f.node
	if n.IsLeader() {
		id, term := n.Leader()
		if other, ok := c.leaders[term]; ok && other != id {
			c.fail("two leaders in term %d: %x and %x", term, other, id)
		}
		if term > c.newestTerm {
			c.newestTerm, c.leaderSince = term, c.world.now
		}
		c.leaders[term] = id
	}
	at := n.Applied()
	if at == c.applied[f.Name] || n.Stale() != nil {
		return
	}
	c.applied[f.Name] = at
	if n.IsLeader() { // the leader is the first to apply new entries
		c.checkOperations(n.Replica().State())
	}
	if len(c.world.Fronts) > largeFleet && at%sampleInterval != 0 {
		return
	}
	c.StatesCompared++
	h := fnv.New64a()
	_, _ = h.Write(n.Replica().Snapshot())
	sum := h.Sum64()
	if other, ok := c.digests[at]; ok && other != sum {
		c.fail("state of %s at entry %d differs from another front's", f.Name, at)
	}
	c.digests[at] = sum
	if len(c.digests) > 20000 {
		clear(c.digests)
	}
	c.checkOperations(n.Replica().State())
}

// checkOperations checks the operations in a front's state against those seen before.
func (c *Checker) checkOperations(s *statemachine.State) {
	for _, x := range s.Maintenance.Operations {
		c.checkPermit(x)
		c.checkSingleOperation(x)
		if x.Phase == maintenance.Permitted && x.Permit > c.maxPermit {
			c.maxPermit = x.Permit
			c.checkGrant(x, s)
			if c.onPermit != nil {
				c.onPermit(x)
			}
		}
	}
	if e := s.Maintenance.Ended; len(e) > 0 {
		c.checkSingleOperation(e[len(e)-1])
	}
}

// checkPermit checks that a permit number belongs to one machine only.
func (c *Checker) checkPermit(x maintenance.Operation) {
	if x.Permit == 0 {
		return
	}
	if m, ok := c.permits[x.Permit]; ok && m != x.Machine {
		c.fail("permit %d was issued to both %s and %s", x.Permit, m, x.Machine)
	}
	c.permits[x.Permit] = x.Machine
}

// checkSingleOperation checks that a request that is delivered more than once leads to
// one operation only.
func (c *Checker) checkSingleOperation(x maintenance.Operation) {
	if x.Reason == "" {
		return
	}
	if known, ok := c.operationByReason[x.Reason]; ok && known != x.ID {
		c.fail("request %q led to operations %d and %d", x.Reason, known, x.ID)
	}
	c.operationByReason[x.Reason] = x.ID
}

// checkOutOfService counts the fronts that are out under a permit, in total, by zone and
// as a percentage of the fleet.
func (c *Checker) checkOutOfService(f *Front) {
	if f.outOfService {
		c.outZones[f.Name] = f.Zone
	} else {
		delete(c.outZones, f.Name)
		return
	}
	zones := map[string]int{}
	for _, z := range c.outZones {
		zones[z]++
	}
	r := c.world.spec.Rules
	c.MaxOut = max(c.MaxOut, len(c.outZones))
	if len(c.outZones) > r.MaxOut {
		c.fail("%d fronts are out under a permit, at most %d allowed: %v", len(c.outZones), r.MaxOut, c.outZones)
	}
	if zones[f.Zone] > r.MaxZoneOut {
		c.fail("%d fronts of zone %s are out under a permit, at most %d allowed", zones[f.Zone], f.Zone, r.MaxZoneOut)
	}
	if limit := max(1, len(c.world.Fronts)*r.MaxFrontsPercent/100); len(c.outZones) > limit {
		c.fail("%d fronts are out under a permit, at most %d%% of %d allowed", len(c.outZones), r.MaxFrontsPercent, len(c.world.Fronts))
	}
}

// checkBoxes checks that no front that may act sends to a box while the box is out.
func (c *Checker) checkBoxes(f *Front, excluded []string) {
	at := f.node.Applied()
	for _, x := range f.node.Replica().State().Maintenance.Operations {
		if x.Kind != maintenance.Box {
			continue
		}
		if x.Phase == maintenance.Out {
			if c.boxesOut[x.Machine] == 0 {
				c.boxesOut[x.Machine] = at
			}
		} else if at > c.boxesOut[x.Machine] {
			delete(c.boxesOut, x.Machine)
		}
	}
	for b, since := range c.boxesOut {
		if at > since && f.node.Replica().State().Maintenance.ForMachine(b) == nil {
			delete(c.boxesOut, b)
		}
	}
	// Without leases, a front that has just started acts on the state on its disk.
	if f.outOfService || !f.mayAct() || f.node.LeaseSpan() == 0 && !f.node.CaughtUp() {
		return
	}
	for b := range c.boxesOut {
		if !slices.Contains(excluded, b) {
			c.fail("box %s is out, and %s at entry %d still sends to it", b, f.Name, at)
		}
	}
}

// checkGate checks that no front acts on an older version once a version's gate is
// reported as passed.
func (c *Checker) checkGate(f *Front) {
	s := &f.node.Replica().State().Rollout
	if s.EnforcedMin > c.enforcedMin {
		c.enforcedMin, c.GatesPassed = s.EnforcedMin, c.GatesPassed+1
		for _, o := range c.world.Fronts { // all fronts that may act at this moment
			if o.node != nil && !o.paused {
				c.checkActiveVersion(o)
			}
		}
	}
	c.checkActiveVersion(f)
}

func (c *Checker) checkActiveVersion(f *Front) {
	if active := f.applier.Active(); active < c.enforcedMin && !f.outOfService && f.mayAct() {
		c.fail("%s acts on version %d after the gate of version %d was reported as passed", f.Name, active, c.enforcedMin)
	}
}

// checkActivation checks that a front activates neither a version that is withdrawn in
// the front's own state nor a candidate that ended the front's process before.
func (c *Checker) checkActivation(f *Front, n uint64) {
	s := &f.node.Replica().State().Rollout
	if v := s.Find(n); v != nil && v.Phase.Withdrawn() {
		c.fail("%s activates version %d, which is %s", f.Name, n, v.Phase)
	}
	key := fmt.Sprintf("%s %d %d", f.Name, n, f.node.ID())
	c.survived[key] = c.survived[key] || f.activation.Version == n && f.activation.Survived
	if v := s.Candidate(); c.activationLife[key] != 0 && c.activationLife[key] != f.life && !c.survived[key] && v != nil && v.Number == n {
		c.fail("%s activates version %d again, which ended its process before", f.Name, n)
	}
	c.activationLife[key] = f.life
}

// lossDetectionTime is how long a front must be down, under one leader, for the fleet to
// have detected it in any case.
const lossDetectionTime = 13 * Second

// checkGrant checks a permit, at the moment at which it is first seen, against the fronts
// that are actually down or out: a lost front counts as out, and a voter may only leave
// if a majority of the voters remains.
func (c *Checker) checkGrant(x maintenance.Operation, s *statemachine.State) {
	leader := c.world.Leader()
	if leader == nil || c.world.now-c.leaderSince < lossDetectionTime || x.Kind != maintenance.Front {
		return
	}
	outOrDead := map[string]bool{x.Machine: true}
	for _, f := range c.world.Fronts {
		known := s.Members.Find(f.Name)
		if f.outOfService || f.node == nil && c.world.now-f.crashedAt > lossDetectionTime && known != nil && known.ID == f.diskIncarnation && c.world.now-known.Since > lossDetectionTime {
			outOrDead[f.Name] = true
		}
	}
	if len(outOrDead) > c.world.spec.Rules.MaxOut {
		c.fail("permit %d makes %d fronts out or down, at most %d allowed: %v", x.Permit, len(outOrDead), c.world.spec.Rules.MaxOut, outOrDead)
	}
	own, remaining := s.Members.Find(x.Machine), 0
	for _, id := range s.Seats.Voters {
		if f := s.Members.ByID(id); f != nil && !outOrDead[f.Name] {
			remaining++
		}
	}
	if y := s.Maintenance.Find(x.ID); y == nil || y.Phase != maintenance.Permitted {
		return // revoked already by an entry of the same batch
	}
	if own != nil && s.Seats.Has(own.ID) && len(s.Seats.Voters) > 1 && remaining < len(s.Seats.Voters)/2+1 {
		c.fail("permit %d to a voter leaves %d of %d voters", x.Permit, remaining, len(s.Seats.Voters))
	}
}

// CheckFinal checks what must hold once connectivity is restored: every running front has
// the same state and acts on the stable version, and every operation has ended.
func (c *Checker) CheckFinal() {
	var last *Front
	for _, f := range c.world.Fronts {
		if f.node == nil {
			continue
		}
		if last != nil && f.node.Applied() != last.node.Applied() {
			c.fail("with connectivity restored %s is at entry %d, %s at %d", f.Name, f.node.Applied(), last.Name, last.node.Applied())
		}
		last = f
	}
	if last == nil {
		return
	}
	s := last.node.Replica().State()
	for _, f := range c.world.Fronts {
		if f.node == nil {
			continue
		}
		if at := f.applier.Active(); at != s.Rollout.Stable && f.applier.Report().Crashed != s.Rollout.Stable && f.applier.Report().Refused != s.Rollout.Stable {
			c.fail("with connectivity restored %s acts on version %d instead of the stable %d", f.Name, at, s.Rollout.Stable)
		}
		if !f.mayAct() && f.applier.Active() == s.Rollout.Stable {
			c.fail("with connectivity restored %s may not act: lease valid %v until %d, now %d, allowed by its version %v; lease span %d; feeder %q, leader %q, status %+v", f.Name,
				f.node.MayAct(f.clock()), f.node.LeaseEnd(), f.clock(), f.applier.MayAct(f.clock()), f.node.LeaseSpan(), f.node.Feeder(), f.node.LeaderName(), s.Rollout.Status(f.Name))
		}
	}
	for _, x := range s.Maintenance.Operations {
		c.fail("operation %d on %s has not ended: %s", x.ID, x.Machine, s.Maintenance.Explain(x.Machine, last.node.Replica().Fleet(), s.Now))
	}
}
