// Package maintenance decides when machines are taken out for an operation, and in
// which order: which operations were requested, which of them the budgets allow now,
// their permits, and how machines return.
//
// The state is replicated. Every replica draws the same conclusions when it applies an
// entry (Step); nobody proposes a decision. An operation starts in two steps: a permit,
// which can be withdrawn, and its acceptance by the machine's front. From the
// acceptance on, the machine counts as out until it is known to be back or an operator
// declares it lost, never by the passage of time alone. Time is fleet time, which only
// entries advance.
package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Micros is a duration, or a point in fleet time, in microseconds.
type Micros = int64

const second Micros = 1_000_000

// Limits.
const (
	MaxOperations = 2000 // operations that have not ended
	maxEnded      = 256  // ended operations kept for reports
	maxFences     = 2000 // machines with an entry in State.Fences
	maxTextSize   = 200  // bytes of a reason
	maxConflicts  = 16   // machines that an operation must not overlap with
	maxAge        = 1 << 20
)

// Phase is the stage of an operation.
type Phase uint8

// The phases of an operation.
const (
	Requested Phase = iota // waits for its turn
	Permitted              // has a permit that is not accepted yet
	Draining               // accepted: counts as out from here on
	Out                    // the operation may be carried out
	Returning              // on its way back, not yet a full machine
	Done
	Cancelled
	Refused
	Lost // an operator declared the machine lost
)

var phaseNames = [...]string{"asked", "permitted", "emptying", "out", "returning", "done", "cancelled", "refused", "lost"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Ended reports whether the operation is over.
func (p Phase) Ended() bool { return p >= Done }

// IsOut reports whether the machine counts as out.
func (p Phase) IsOut() bool { return p >= Draining && p <= Returning }

// Kind is the kind of machine that is taken out.
type Kind uint8

// The kinds of machines.
const (
	Front Kind = iota // a front: it drains itself
	Box               // a cache box: every front stops using it
)

// Operation is one maintenance operation on a machine.
type Operation struct {
	ID            uint64   `cbor:"1,keyasint"` // in the order of the requests, from 1
	Machine       string   `cbor:"2,keyasint"` // name of a front or a box
	Kind          Kind     `cbor:"3,keyasint,omitempty"`
	Zone          string   `cbor:"4,keyasint,omitempty"` // of a box; that of a front is known from the fleet
	Reason        string   `cbor:"5,keyasint,omitempty"`
	Duration      Micros   `cbor:"6,keyasint"`           // of the operation, once the machine is out
	StartWithin   Micros   `cbor:"7,keyasint,omitempty"` // time after the request within which a permit must be given; 0: unlimited
	Importance    int      `cbor:"8,keyasint,omitempty"`
	ConflictsWith []string `cbor:"9,keyasint,omitempty"`  // machines that must not be out at the same time
	SingleZone    bool     `cbor:"10,keyasint,omitempty"` // only while no machine of another zone is out
	Urgent        bool     `cbor:"11,keyasint,omitempty"` // goes before all others that are not urgent, even while the fleet is unhealthy
	EndsOnRestart bool     `cbor:"12,keyasint,omitempty"` // ends when the machine's process has restarted; else when an operator says so
	RequestedAt   Micros   `cbor:"13,keyasint"`
	Phase         Phase    `cbor:"14,keyasint,omitempty"`
	Since         Micros   `cbor:"15,keyasint"`           // start of the current phase
	Permit        uint64   `cbor:"16,keyasint,omitempty"` // the latest one given
	Holder        uint64   `cbor:"17,keyasint,omitempty"` // incarnation that accepted the permit
	Start         uint64   `cbor:"18,keyasint,omitempty"` // process that accepted the permit
	Note          string   `cbor:"19,keyasint,omitempty"` // why it ended, or what is unusual
	LeftBy        []string `cbor:"20,keyasint,omitempty"` // of a box: names of the fronts that have confirmed leaving it, sorted
	Overdue       bool     `cbor:"21,keyasint,omitempty"`
	Unaccepted    int      `cbor:"22,keyasint,omitempty"` // permits that were not accepted
	Serving       bool     `cbor:"23,keyasint,omitempty"` // returning: the front itself has reported that it takes clients
	Pace          int      `cbor:"24,keyasint,omitempty"` // of a box: its percentage of its hub's pace, as seen by the front that took the request; 0: unknown
}

// Rules are the budgets and timeouts, replicated so that all replicas use the same
// ones.
type Rules struct {
	MaxOut           int    `cbor:"1,keyasint"`            // machines out at once, lost ones included
	MaxZoneOut       int    `cbor:"2,keyasint"`            // machines of one zone out at once
	MaxFrontsPercent int    `cbor:"3,keyasint"`            // percent of the fleet's fronts, rounded down, at least one
	UnhealthyPercent int    `cbor:"4,keyasint"`            // percent of fronts lost or in trouble from which only urgent operations start
	AcceptTimeout    Micros `cbor:"5,keyasint"`            // for a permit to be accepted
	DrainTimeout     Micros `cbor:"6,keyasint"`            // for a machine to drain, after which it is reported as overdue
	ReturnTimeout    Micros `cbor:"7,keyasint"`            // for a machine to return, after which it is reported as overdue
	WarmUp           Micros `cbor:"8,keyasint"`            // time after its return until it counts as a full machine
	AgeStep          Micros `cbor:"9,keyasint"`            // waiting time that counts as one step of importance
	Patience         Micros `cbor:"10,keyasint"`           // waiting time after which no other operation may overtake
	LeaseSpan        Micros `cbor:"11,keyasint,omitempty"` // how long a front acts without contact to the fleet; 0: unlimited
	MaxPacePercent   int    `cbor:"12,keyasint,omitempty"` // percent of a hub's pace that boxes out at once may have; 0: no limit
	MaxFencedPercent int    `cbor:"13,keyasint,omitempty"` // percent of all fronts, and of those of a zone, that may be fenced for acting on old versions; 0: 34
}

// DefaultRules returns the rules for what the operators have not set.
func DefaultRules() Rules {
	return Rules{MaxOut: 1, MaxZoneOut: 1, MaxFrontsPercent: 34, UnhealthyPercent: 20, AcceptTimeout: 20 * second, DrainTimeout: 90 * second, ReturnTimeout: 120 * second,
		WarmUp: 15 * second, AgeStep: 60 * second, Patience: 600 * second}
}

// Validate returns an error that names the first invalid rule.
func (r Rules) Validate() error {
	for _, rule := range []struct {
		key              string
		n                int64
		minimum, maximum int64
	}{{"out", int64(r.MaxOut), 1, 1000}, {"zone", int64(r.MaxZoneOut), 1, 1000}, {"percent", int64(r.MaxFrontsPercent), 1, 100},
		{"hurt_percent", int64(r.UnhealthyPercent), 1, 100}, {"accept_s", r.AcceptTimeout, second / 10, 3600 * second}, {"empty_s", r.DrainTimeout, second / 10, 3600 * second},
		{"back_s", r.ReturnTimeout, second / 10, 24 * 3600 * second}, {"cold_s", r.WarmUp, 0, 3600 * second},
		{"age_step_s", r.AgeStep, second / 10, 24 * 3600 * second}, {"patience_s", r.Patience, second / 10, 24 * 3600 * second},
		{"alone_s", r.LeaseSpan, 0, 24 * 3600 * second}} {
		if rule.n < rule.minimum || rule.n > rule.maximum {
			return fmt.Errorf("%s: %d is not %d to %d", rule.key, rule.n, rule.minimum, rule.maximum)
		}
	}
	if r.MaxPacePercent < 0 || r.MaxPacePercent > 100 {
		return fmt.Errorf("pace_percent: %d is not 0 to 100", r.MaxPacePercent)
	}
	if r.MaxFencedPercent < 0 || r.MaxFencedPercent > 100 {
		return fmt.Errorf("lag_percent: %d is not 0 to 100", r.MaxFencedPercent)
	}
	if r.LeaseSpan > 0 && r.LeaseSpan < second {
		return fmt.Errorf("alone_s: %d us is under a second", r.LeaseSpan)
	}
	return nil
}

// Machine is what Step needs to know about a front.
type Machine struct {
	Name         string
	Zone         string
	ID           uint64
	Start        uint64
	Lost         bool
	NotServing   bool // it reports that it takes no clients
	Unhealthy    bool // it reports that it is in trouble
	Voter        bool
	CanYieldSeat bool   // voter whose seat another front can take, or that is dispensable
	LeaseExpiry  Micros // lost: fleet time at which its lease, with all its open requests, has certainly expired; 0: never
	Lease        Micros // longest time that it acts without contact to the fleet; 0: unlimited
}

// Fleet is the fronts as in the replicated state, sorted by name.
type Fleet []Machine

// Find returns the front of a name, or nil.
func (f Fleet) Find(name string) *Machine {
	i, ok := slices.BinarySearchFunc(f, name, func(m Machine, n string) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return &f[i]
}

// State holds all operations. Permits are numbered throughout the fleet's life.
type State struct {
	Rules      Rules             `cbor:"1,keyasint"`
	LastPermit uint64            `cbor:"2,keyasint"` // number of the latest permit
	LastID     uint64            `cbor:"3,keyasint"`
	HoldReason string            `cbor:"4,keyasint,omitempty"` // why no operation may start; empty: they may
	Operations []Operation       `cbor:"5,keyasint,omitempty"` // not ended, sorted by ID
	Ended      []Operation       `cbor:"6,keyasint,omitempty"` // the most recent ones
	Fences     map[string]uint64 `cbor:"7,keyasint,omitempty"` // by machine: permits below this number are void
}

// New returns the state of a fleet without any operations.
func New() State { return State{Rules: DefaultRules(), Fences: map[string]uint64{}} }

// Errors of requests and reports.
var (
	ErrNoOperation       = errors.New("no such work, or it has ended")
	ErrTooManyOperations = fmt.Errorf("%d works wait or are under way, which is the most", MaxOperations)
	ErrDuplicate         = errors.New("the machine has a work that is not ended")
	ErrPermitVoid        = errors.New("the permit is void")
	ErrPhase             = errors.New("the work is not so far, or farther")
	ErrNoFront           = errors.New("no front of that name")
	ErrDuration          = errors.New("span: 1 s to 7 days are wanted")
	ErrText              = fmt.Errorf("a machine, a reason of %d bytes at most, and %d machines apart at most are wanted", maxTextSize, maxConflicts)
	ErrFrontReachable    = errors.New("the front is heard: it can say itself that it is back")
)

// Request adds an operation and returns its ID. A front must belong to the fleet, and a
// machine has at most one operation at a time.
func (s *State) Request(op Operation, fleet Fleet, now Micros) (id uint64, err error) {
	switch {
	case op.Machine == "" || len(op.Machine) > maxTextSize || len(op.Reason) > maxTextSize || len(op.ConflictsWith) > maxConflicts || len(op.Zone) > maxTextSize:
		return 0, ErrText
	case op.Duration < second || op.Duration > 7*24*3600*second || op.StartWithin < 0:
		return 0, ErrDuration
	case op.Kind == Front && fleet.Find(op.Machine) == nil:
		return 0, ErrNoFront
	case len(s.Operations) >= MaxOperations:
		return 0, ErrTooManyOperations
	case s.ForMachine(op.Machine) != nil:
		return 0, ErrDuplicate
	}
	s.LastID++
	s.Operations = append(s.Operations, Operation{ID: s.LastID, Machine: op.Machine, Kind: op.Kind, Zone: op.Zone, Reason: op.Reason, Duration: op.Duration,
		StartWithin: op.StartWithin, Importance: op.Importance, Pace: max(0, min(op.Pace, 100)), ConflictsWith: op.ConflictsWith, SingleZone: op.SingleZone, Urgent: op.Urgent, EndsOnRestart: op.EndsOnRestart,
		RequestedAt: now, Since: now})
	return s.LastID, nil
}

// Find returns an operation that has not ended, or nil.
func (s *State) Find(id uint64) *Operation {
	i, ok := slices.BinarySearchFunc(s.Operations, id, func(op Operation, id uint64) int { return cmp.Compare(op.ID, id) })
	if !ok {
		return nil
	}
	return &s.Operations[i]
}

// ForMachine returns the operation of a machine that has not ended, or nil.
func (s *State) ForMachine(machine string) *Operation {
	i := slices.IndexFunc(s.Operations, func(op Operation) bool { return op.Machine == machine })
	if i < 0 {
		return nil
	}
	return &s.Operations[i]
}

func (op *Operation) setPhase(p Phase, now Micros) {
	op.Phase, op.Since, op.Overdue, op.Serving = p, now, false, false
}

// voidPermit voids the permit that a machine may still hold.
func (s *State) voidPermit(op *Operation) {
	if op.Permit == 0 {
		return
	}
	if s.Fences == nil {
		s.Fences = map[string]uint64{}
	}
	if len(s.Fences) >= maxFences { // the lowest matter least: their permits are the oldest
		var lowest string
		for m, n := range s.Fences {
			if lowest == "" || n < s.Fences[lowest] || n == s.Fences[lowest] && m < lowest {
				lowest = m
			}
		}
		delete(s.Fences, lowest)
	}
	s.Fences[op.Machine] = op.Permit + 1
}

// finish ends an operation and voids its permit.
func (s *State) finish(op *Operation, p Phase, note string, now Micros) {
	s.voidPermit(op)
	op.setPhase(p, now)
	if note != "" {
		op.Note = note
	}
	ended := *op
	ended.LeftBy = nil
	s.Operations = slices.DeleteFunc(s.Operations, func(other Operation) bool { return other.ID == ended.ID })
	if s.Ended = append(s.Ended, ended); len(s.Ended) > maxEnded {
		s.Ended = slices.Delete(s.Ended, 0, len(s.Ended)-maxEnded)
	}
}

// Cancel ends an operation whose machine is not out yet. A machine that is out returns
// at once.
func (s *State) Cancel(id uint64, why string, now Micros) error {
	op := s.Find(id)
	switch {
	case op == nil:
		return ErrNoOperation
	case !op.Phase.IsOut():
		s.finish(op, Cancelled, why, now)
	case op.Phase != Returning:
		op.Note = cmp.Or(why, "cancelled: it comes back")
		op.setPhase(Returning, now)
	}
	return nil
}

// Finish ends the work on a machine, on a report of an operator or of the front itself:
// the machine returns.
func (s *State) Finish(id uint64, now Micros) error {
	op := s.Find(id)
	switch {
	case op == nil:
		return ErrNoOperation
	case op.Phase != Out && op.Phase != Draining:
		return ErrPhase
	}
	op.setPhase(Returning, now)
	return nil
}

// DeclareLost ends an operation on an operator's statement that the machine will not
// come back. Apart from contact with the machine, this is the only way in which it
// stops counting as out. A front that is reachable can report its return itself.
func (s *State) DeclareLost(id uint64, why string, fleet Fleet, now Micros) error {
	op := s.Find(id)
	if op == nil {
		return ErrNoOperation
	}
	if !op.Phase.IsOut() {
		return ErrPhase
	}
	if m := fleet.Find(op.Machine); op.Kind == Front && m != nil && !m.Lost && m.ID == op.Holder && m.Start == op.Start {
		return ErrFrontReachable
	}
	s.finish(op, Lost, cmp.Or(why, "declared lost"), now)
	return nil
}

// Accept takes a front's acceptance of a permit: the machine is out from here on. It is
// valid only while the permit is.
func (s *State) Accept(machine string, permit, id, start uint64, now Micros) error {
	op := s.ForMachine(machine)
	if op == nil || permit < s.Fences[machine] || op.Permit != permit {
		return ErrPermitVoid
	}
	if op.Phase != Permitted {
		return ErrPhase
	}
	op.Holder, op.Start = id, start
	op.setPhase(Draining, now)
	return nil
}

// Drained takes a front's report that it has no open requests.
func (s *State) Drained(machine string, permit, id uint64, now Micros) error {
	op := s.ForMachine(machine)
	if op == nil || op.Permit != permit || op.Holder != id {
		return ErrPermitVoid
	}
	if op.Phase != Draining {
		return ErrPhase
	}
	op.setPhase(Out, now)
	return nil
}

// Returned takes a front's report that it takes clients again. Nothing else ends its
// operation: what others last heard of it may date from before it went out.
func (s *State) Returned(machine string, permit, id uint64, now Micros) error {
	op := s.ForMachine(machine)
	if op == nil || op.Permit != permit {
		return ErrPermitVoid
	}
	if !op.Phase.IsOut() || op.Serving && op.Holder == id {
		return ErrPhase
	}
	op.Holder = id
	op.setPhase(Returning, now)
	op.Serving = true
	return nil
}

// ConfirmLeft takes a front's report that it sends nothing new to a box and has no open
// requests there.
func (s *State) ConfirmLeft(machine string, permit uint64, front string, now Micros) error {
	op := s.ForMachine(machine)
	if op == nil || op.Kind != Box || op.Permit != permit {
		return ErrPermitVoid
	}
	if op.Phase != Permitted && op.Phase != Draining {
		return ErrPhase
	}
	if i, ok := slices.BinarySearch(op.LeftBy, front); !ok {
		op.LeftBy = slices.Insert(op.LeftBy, i, front)
	}
	return nil
}

// Rejoined handles a front that came back under a new incarnation or process: what the
// previous one confirmed about boxes is void.
func (s *State) Rejoined(front string) {
	for i := range s.Operations {
		if j, ok := slices.BinarySearch(s.Operations[i].LeftBy, front); ok && s.Operations[i].Phase < Out {
			s.Operations[i].LeftBy = slices.Delete(s.Operations[i].LeftBy, j, j+1)
		}
	}
}

// zone returns the zone of the operation's machine.
func (op *Operation) zone(fleet Fleet) string {
	if m := fleet.Find(op.Machine); op.Kind == Front && m != nil {
		return m.Zone
	}
	return op.Zone
}

// usage counts what is out, for whatever reason.
type usage struct {
	out, fronts, lost int
	unhealthy         int
	zones             map[string]int
	pace              map[string]int // by hub: percent of its pace that boxes with a permit have
	machines          map[string]bool
	voters, staying   int // staying: the reachable voters without an operation
}

// countUsage counts the usage. A machine with a permit already counts as out, since the
// permit may be accepted.
func (s *State) countUsage(fleet Fleet) usage {
	u := usage{zones: map[string]int{}, pace: map[string]int{}, machines: map[string]bool{}}
	count := func(name, zone string, front bool) {
		if u.machines[name] {
			return
		}
		u.machines[name] = true
		u.out++
		u.zones[zone]++
		if front {
			u.fronts++
		}
	}
	for i := range s.Operations {
		if op := &s.Operations[i]; op.Phase == Permitted || op.Phase.IsOut() {
			count(op.Machine, op.zone(fleet), op.Kind == Front)
			u.pace[op.Zone] += op.Pace
		}
	}
	for _, m := range fleet {
		if m.Voter {
			u.voters++
			if !u.machines[m.Name] && !m.Lost { // a voter that takes no clients still votes
				u.staying++
			}
		}
		if m.Lost && !u.machines[m.Name] {
			u.lost++
		}
		if m.Unhealthy && !m.Lost {
			u.unhealthy++
		}
		if m.Lost || m.NotServing {
			count(m.Name, m.Zone, true)
		}
	}
	return u
}

// score is the priority of a waiting operation: its importance, plus one for each
// AgeStep that it has waited.
func (op *Operation) score(r Rules, now Micros) int64 {
	return int64(op.Importance) + min(maxAge, (now-op.RequestedAt)/max(1, r.AgeStep))
}

// queue returns the waiting operations, the next one first.
func (s *State) queue(now Micros) (list []*Operation) {
	for i := range s.Operations {
		if op := &s.Operations[i]; op.Phase == Requested {
			list = append(list, op)
		}
	}
	slices.SortStableFunc(list, func(a, b *Operation) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score(s.Rules, now), a.score(s.Rules, now)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

const reasonSeatFirst = "its seat in the council goes to another front first"

// blockedBy returns why an operation can't get a permit now; empty: it can.
func (s *State) blockedBy(op *Operation, u *usage, fleet Fleet, now Micros) string {
	m := fleet.Find(op.Machine)
	zone := op.zone(fleet)
	switch {
	case s.HoldReason != "":
		return "held: " + s.HoldReason
	case op.Kind == Front && m == nil:
		return "the front has left the fleet"
	case op.Kind == Front && m.Lost:
		return "the front is not heard, so it can't accept"
	case (u.lost+u.unhealthy)*100 >= s.Rules.UnhealthyPercent*len(fleet) && u.lost+u.unhealthy > 0 && !op.Urgent:
		return fmt.Sprintf("the fleet is hurt: of %d fronts %d are lost and %d in trouble", len(fleet), u.lost, u.unhealthy)
	}
	if retry := s.retryAt(op); now < retry {
		return fmt.Sprintf("%s; it is asked again in %d s", op.Note, (retry-now)/second+1)
	}
	others, sameZone, fronts := u.out, u.zones[zone], u.fronts
	if u.machines[op.Machine] { // it takes no clients, so it is already counted
		others, sameZone, fronts = others-1, sameZone-1, fronts-1
	}
	switch {
	case others+1 > s.Rules.MaxOut:
		return fmt.Sprintf("%d machines are out or lost, %d may be", others, s.Rules.MaxOut)
	case sameZone+1 > s.Rules.MaxZoneOut:
		return fmt.Sprintf("%d machines of zone %s are out or lost, %d may be", sameZone, zone, s.Rules.MaxZoneOut)
	case op.Kind == Front && fronts+1 > max(1, len(fleet)*s.Rules.MaxFrontsPercent/100):
		return fmt.Sprintf("%d of %d fronts are out or lost, %d%% may be", fronts, len(fleet), s.Rules.MaxFrontsPercent)
	case op.Kind == Box && s.Rules.MaxPacePercent > 0 && u.pace[zone] > 0 && u.pace[zone]+op.Pace > s.Rules.MaxPacePercent:
		return fmt.Sprintf("boxes with %d%% of the pace of %s are out and this one has %d%%, together %d%% may be", u.pace[zone], zone, op.Pace, s.Rules.MaxPacePercent)
	case op.Kind == Front && m.CanYieldSeat:
		return reasonSeatFirst
	case op.Kind == Front && m.Voter && u.voters > 1 && u.staying-1 < u.voters/2+1:
		return fmt.Sprintf("it votes, and %d of %d voters would be left, no majority", u.staying-1, u.voters)
	}
	return s.conflict(op, u, zone)
}

// retryAt returns when an operation whose permit was not accepted may get the next one.
// The wait doubles each time, so that a front that receives but can't be heard costs
// little.
func (s *State) retryAt(op *Operation) Micros {
	if op.Unaccepted == 0 {
		return 0
	}
	return op.Since + s.Rules.AcceptTimeout<<(op.Unaccepted-1)
}

// conflict returns what prevents an operation apart from the budgets; empty: nothing.
func (s *State) conflict(op *Operation, u *usage, zone string) string {
	for _, other := range op.ConflictsWith {
		if other != op.Machine && u.machines[other] {
			return other + " is out, and both must not be"
		}
	}
	for i := range s.Operations {
		active := &s.Operations[i]
		if active.Machine != op.Machine && (active.Phase == Permitted || active.Phase.IsOut()) && slices.Contains(active.ConflictsWith, op.Machine) {
			return active.Machine + " is out, and both must not be"
		}
	}
	if op.SingleZone {
		for z, n := range u.zones {
			if z != zone && n > 0 {
				return "machines of another zone are out, and a zone at a time was asked for"
			}
		}
	}
	return ""
}

// Step draws the conclusions of the current time: timeouts, ended operations, and
// permits for those whose turn it is. It must run after every change, and returns one
// line for each event.
func (s *State) Step(fleet Fleet, now Micros) (events []string) {
	emit := func(op *Operation, what string) {
		events = append(events, fmt.Sprintf("work %d on %s: %s", op.ID, op.Machine, what))
	}
	withdraw := func(op *Operation, reason string) {
		s.voidPermit(op)
		op.Note = fmt.Sprintf("leave %d %s", op.Permit, reason)
		emit(op, op.Note)
		op.setPhase(Requested, now)
	}
	for _, id := range s.ids() {
		op := s.Find(id)
		m := fleet.Find(op.Machine)
		elapsed := now - op.Since
		switch op.Phase {
		case Requested:
			if op.StartWithin > 0 && now-op.RequestedAt > op.StartWithin {
				emit(op, "refused: its latest moment has passed")
				s.finish(op, Refused, "its latest moment has passed", now)
			} else if op.Kind == Front && m == nil {
				emit(op, "refused: the front has left the fleet")
				s.finish(op, Refused, "the front has left the fleet", now)
			}
		case Permitted:
			switch {
			case op.Kind == Box:
				if s.allLeft(op, fleet, now) {
					emit(op, "all fronts have left it")
					op.setPhase(Out, now)
				}
			case elapsed > s.Rules.AcceptTimeout || m == nil || m.Lost:
				op.Unaccepted = min(op.Unaccepted+1, 8)
				withdraw(op, "was not accepted and was taken back")
			case m.Voter: // it may have become a voter, or another voter been lost, since the permit
				if u := s.countUsage(fleet); u.voters > 1 && u.staying < u.voters/2+1 {
					withdraw(op, "was taken back: those voters that are left are no majority any more")
				}
			}
		case Draining:
			if op.Kind == Front && m != nil && !m.Lost && (m.ID != op.Holder || m.Start != op.Start) {
				emit(op, "its process ended on its way out")
				op.setPhase(Out, now)
			} else if !op.Overdue && elapsed > s.Rules.DrainTimeout {
				op.Overdue, op.Note = true, "emptying takes longer than it may"
				emit(op, op.Note)
			}
		case Out:
			if op.EndsOnRestart && m != nil && !m.Lost && (m.ID != op.Holder || m.Start != op.Start) {
				emit(op, "its process has started anew")
				op.Holder = m.ID
				op.setPhase(Returning, now)
			} else if !op.Overdue && elapsed > op.Duration {
				op.Overdue, op.Note = true, "out for longer than was asked"
				emit(op, op.Note)
			}
		case Returning:
			ready := op.Kind == Box || op.Serving && m != nil && !m.Lost && m.ID == op.Holder
			if ready && elapsed >= s.Rules.WarmUp {
				emit(op, "done")
				s.finish(op, Done, "", now)
			} else if !ready && !op.Overdue && elapsed > s.Rules.ReturnTimeout {
				op.Overdue, op.Note = true, "coming back takes longer than it may"
				emit(op, op.Note)
			}
		}
	}
	u := s.countUsage(fleet)
	for _, op := range s.queue(now) {
		// Once the budget is used up, only operations on machines that are already
		// counted need a closer look.
		reason := "the budget is spent"
		if u.out < s.Rules.MaxOut || u.machines[op.Machine] {
			reason = s.blockedBy(op, &u, fleet, now)
		}
		if reason == "" {
			s.LastPermit++
			op.Permit, op.LeftBy, op.Holder, op.Start = s.LastPermit, nil, 0, 0
			op.setPhase(Permitted, now)
			emit(op, fmt.Sprintf("leave %d", op.Permit))
			u = s.countUsage(fleet)
		} else if now-op.RequestedAt > s.Rules.Patience && s.HoldReason == "" && !s.stuck(op, fleet, now) {
			break // nothing may overtake it any more
		}
	}
	return events
}

// stuck reports whether an operation waits for its own machine, so that others need not
// wait behind it.
func (s *State) stuck(op *Operation, fleet Fleet, now Micros) bool {
	m := fleet.Find(op.Machine)
	return op.Kind == Front && (m == nil || m.Lost || now < s.retryAt(op))
}

// allLeft reports whether every front has confirmed that it left a box, or can't act
// any more.
func (s *State) allLeft(op *Operation, fleet Fleet, now Micros) bool {
	for _, m := range fleet {
		if _, ok := slices.BinarySearch(op.LeftBy, m.Name); !ok && !m.leaseExpired(now) {
			return false
		}
	}
	return true
}

// leaseExpired reports whether a front is lost and its lease has certainly expired.
func (m *Machine) leaseExpired(now Micros) bool {
	return m.Lost && m.LeaseExpiry > 0 && now >= m.LeaseExpiry
}

func (s *State) ids() (ids []uint64) {
	for _, op := range s.Operations {
		ids = append(ids, op.ID)
	}
	return ids
}

// PlanEntry is an operation in the plan and what it waits for.
type PlanEntry struct {
	Operation
	Position int    // in the queue, from 1; 0: already started
	WaitsFor string // empty: for nothing
}

// Plan returns the started operations, then the waiting ones in order, each with what
// it waits for.
func (s *State) Plan(fleet Fleet, now Micros) (plan []PlanEntry) {
	u := s.countUsage(fleet)
	for i := range s.Operations {
		if op := &s.Operations[i]; op.Phase != Requested {
			plan = append(plan, PlanEntry{Operation: *op, WaitsFor: s.waitReason(op, fleet, now)})
		}
	}
	for i, op := range s.queue(now) {
		plan = append(plan, PlanEntry{Operation: *op, Position: i + 1, WaitsFor: cmp.Or(s.blockedBy(op, &u, fleet, now), "its turn")})
	}
	return plan
}

// waitReason returns what a started operation waits for.
func (s *State) waitReason(op *Operation, fleet Fleet, now Micros) string {
	overdue := ""
	if op.Overdue {
		overdue = " (" + op.Note + ")"
	}
	switch op.Phase {
	case Permitted:
		if op.Kind == Box {
			var missing []string
			for _, m := range fleet {
				if _, ok := slices.BinarySearch(op.LeftBy, m.Name); !ok && !m.leaseExpired(now) {
					if m.Lost && m.LeaseExpiry > 0 {
						m.Name += fmt.Sprintf(" (not heard; its lease is surely over in %d s)", (m.LeaseExpiry-now)/second+1)
					} else if m.Lost {
						m.Name += " (not heard)"
					}
					missing = append(missing, m.Name)
				}
			}
			n := len(missing)
			if n > 5 {
				missing = append(missing[:5], "...")
			}
			return fmt.Sprintf("%d fronts to leave it: %s", n, strings.Join(missing, ", "))
		}
		return "the front to accept"
	case Draining:
		return "its open requests to end" + overdue
	case Out:
		if op.EndsOnRestart {
			return "its process to start anew" + overdue
		}
		return "a person's word that it is done" + overdue
	case Returning:
		return "it to be ready and warm" + overdue
	}
	return ""
}

// Explain returns a sentence on the operation of a machine.
func (s *State) Explain(machine string, fleet Fleet, now Micros) string {
	for _, entry := range s.Plan(fleet, now) {
		if entry.Machine != machine {
			continue
		}
		if entry.Position > 0 {
			return fmt.Sprintf("%s waits as number %d (work %d, asked %d s ago): %s.", machine, entry.Position, entry.ID, (now-entry.RequestedAt)/second, entry.WaitsFor)
		}
		return fmt.Sprintf("%s is %s under permit %d (work %d) for %d s and waits for %s.", machine, entry.Phase, entry.Permit, entry.ID, (now-entry.Since)/second, entry.WaitsFor)
	}
	for i := len(s.Ended) - 1; i >= 0; i-- {
		if op := s.Ended[i]; op.Machine == machine {
			text := fmt.Sprintf("%s has no work; its last one (work %d) was %s %d s ago", machine, op.ID, op.Phase, (now-op.Since)/second)
			if op.Note != "" {
				text += ": " + op.Note
			}
			return text + "."
		}
	}
	return machine + " has no work."
}

// OutSoon reports whether a front is out or about to go out: it should not hold a seat
// that another front can take.
func (s *State) OutSoon(front string, fleet Fleet, now Micros) bool {
	if op := s.ForMachine(front); op != nil && op.Kind == Front && op.Phase != Requested {
		return true
	}
	u := s.countUsage(fleet)
	for _, op := range s.queue(now) {
		if s.blockedBy(op, &u, fleet, now) == reasonSeatFirst { // one seat at a time
			return op.Machine == front
		}
	}
	return false
}
