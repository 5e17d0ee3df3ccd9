// Package maintenance decides when machines are taken out for work, and in which order:
// what was asked for, by which rules of budget one may go, its permit, and how it
// comes back.
//
// Its state is replicated, and every replica draws the same conclusions where it
// applies an entry (Step); nobody proposes a decision. A permit is taken in two
// steps: leave, which can be taken back, and its acceptance by the machine's front,
// from which on the machine counts as out until it is heard to be back or a person
// declares it lost, never by time alone. Time is fleet time, which only entries
// move on.
package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Micros is a span, or a moment of fleet time, in microseconds.
type Micros = int64

const second Micros = 1_000_000

// Bounds.
const (
	MaxOperations = 2000 // works that are not ended
	mostEnded     = 256  // works that are, kept to be told of
	mostFences    = 2000 // machines with a fence of their own
	mostText      = 200  // bytes of a reason
	mostApart     = 16   // machines that a work must not overlap with
	mostAge       = 1 << 20
)

// Phase is how far a work has come.
type Phase uint8

// The phases.
const (
	Requested Phase = iota // it waits for its turn
	Permitted              // leave was given, and not accepted yet
	Draining               // accepted: it counts as out from here on
	Out                    // the work may be done
	Returning              // it comes back, and is not a full machine yet
	Done
	Cancelled
	Refused
	Lost // a person declared the machine lost
)

var phases = [...]string{"asked", "permitted", "emptying", "out", "returning", "done", "cancelled", "refused", "lost"}

// String is the phase's name.
func (p Phase) String() string {
	if int(p) < len(phases) {
		return phases[p]
	}
	return "unknown"
}

// Ended tells whether nothing more happens to a work.
func (p Phase) Ended() bool { return p >= Done }

// IsOut tells whether a machine counts as out.
func (p Phase) IsOut() bool { return p >= Draining && p <= Returning }

// Kind is what is taken out.
type Kind uint8

// The kinds.
const (
	Front Kind = iota // a front: it empties itself
	Box               // a cache box: every front leaves it
)

// Item is one work.
type Operation struct {
	ID            uint64   `cbor:"1,keyasint"` // in the order in which they were asked for, from 1
	Machine       string   `cbor:"2,keyasint"` // a front's name, or a box's
	Kind          Kind     `cbor:"3,keyasint,omitempty"`
	Zone          string   `cbor:"4,keyasint,omitempty"` // of a box; of a front the fleet knows it
	Reason        string   `cbor:"5,keyasint,omitempty"`
	Duration      Micros   `cbor:"6,keyasint"`           // that the work takes, once the machine is out
	StartWithin   Micros   `cbor:"7,keyasint,omitempty"` // from when it was asked, until which leave must be given; 0: any time
	Importance    int      `cbor:"8,keyasint,omitempty"`
	ConflictsWith []string `cbor:"9,keyasint,omitempty"`  // machines that must not be out at the same time
	SingleZone    bool     `cbor:"10,keyasint,omitempty"` // only while nothing of another zone is out
	Urgent        bool     `cbor:"11,keyasint,omitempty"` // goes before all that is not, also while the fleet is hurt
	EndsOnRestart bool     `cbor:"12,keyasint,omitempty"` // it is back once its process has started anew; else once a person says so
	RequestedAt   Micros   `cbor:"13,keyasint"`
	Phase         Phase    `cbor:"14,keyasint,omitempty"`
	Since         Micros   `cbor:"15,keyasint"`           // when it came into its phase
	Permit        uint64   `cbor:"16,keyasint,omitempty"` // the last one given
	Holder        uint64   `cbor:"17,keyasint,omitempty"` // incarnation that accepted it
	Start         uint64   `cbor:"18,keyasint,omitempty"` // its process when it did
	Note          string   `cbor:"19,keyasint,omitempty"` // why it ended, or what is unusual
	LeftBy        []string `cbor:"20,keyasint,omitempty"` // of a box: the fronts that have confirmed, by name, ordered
	Overdue       bool     `cbor:"21,keyasint,omitempty"`
	Unaccepted    int      `cbor:"22,keyasint,omitempty"` // leaves that were not accepted
	Serving       bool     `cbor:"23,keyasint,omitempty"` // returning: the front itself has said that it takes clients
	Pace          int      `cbor:"24,keyasint,omitempty"` // of a box: percent of its hub's pace, as the front that was asked saw it; 0: not known
}

// Rules are the budgets and bounds, replicated so that all replicas use the same.
type Rules struct {
	MaxOut           int    `cbor:"1,keyasint"`            // machines out at once, lost ones included
	MaxZoneOut       int    `cbor:"2,keyasint"`            // of one zone
	MaxFrontsPercent int    `cbor:"3,keyasint"`            // of the fleet's fronts, rounded down, but one at least
	UnhealthyPercent int    `cbor:"4,keyasint"`            // percent of the fronts lost from which nothing goes but what is urgent
	AcceptTimeout    Micros `cbor:"5,keyasint"`            // for leave to be accepted
	DrainTimeout     Micros `cbor:"6,keyasint"`            // for a machine to be empty, after which it is told as late
	ReturnTimeout    Micros `cbor:"7,keyasint"`            // for it to come back, after which it is told as late
	WarmUp           Micros `cbor:"8,keyasint"`            // it is not a full machine for so long after it came back
	AgeStep          Micros `cbor:"9,keyasint"`            // waiting that counts as one step of importance
	Patience         Micros `cbor:"10,keyasint"`           // after which a work that waits is not passed over any more
	LeaseSpan        Micros `cbor:"11,keyasint,omitempty"` // for which a front acts without hearing the fleet; 0: for ever
	MaxPacePercent   int    `cbor:"12,keyasint,omitempty"` // percent of a hub's pace that boxes out at once may have; 0: not looked at
	MaxFencedPercent int    `cbor:"13,keyasint,omitempty"` // percent of the fronts, and of a zone's, that may be shut out for acting on old versions; 0: 34
}

// Defaults are the rules where the operators set none.
func DefaultRules() Rules {
	return Rules{MaxOut: 1, MaxZoneOut: 1, MaxFrontsPercent: 34, UnhealthyPercent: 20, AcceptTimeout: 20 * second, DrainTimeout: 90 * second, ReturnTimeout: 120 * second,
		WarmUp: 15 * second, AgeStep: 60 * second, Patience: 600 * second}
}

// Check names the first rule that can't be.
func (r Rules) Validate() error {
	for _, x := range []struct {
		key         string
		n           int64
		least, most int64
	}{{"out", int64(r.MaxOut), 1, 1000}, {"zone", int64(r.MaxZoneOut), 1, 1000}, {"percent", int64(r.MaxFrontsPercent), 1, 100},
		{"hurt_percent", int64(r.UnhealthyPercent), 1, 100}, {"accept_s", r.AcceptTimeout, second / 10, 3600 * second}, {"empty_s", r.DrainTimeout, second / 10, 3600 * second},
		{"back_s", r.ReturnTimeout, second / 10, 24 * 3600 * second}, {"cold_s", r.WarmUp, 0, 3600 * second},
		{"age_step_s", r.AgeStep, second / 10, 24 * 3600 * second}, {"patience_s", r.Patience, second / 10, 24 * 3600 * second},
		{"alone_s", r.LeaseSpan, 0, 24 * 3600 * second}} {
		if x.n < x.least || x.n > x.most {
			return fmt.Errorf("%s: %d is not %d to %d", x.key, x.n, x.least, x.most)
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

// Machine is what Step must know of a front.
type Machine struct {
	Name         string
	Zone         string
	ID           uint64
	Start        uint64
	Lost         bool
	NotServing   bool // it says itself that it takes no clients
	Unhealthy    bool // it says itself that it is in trouble
	Voter        bool
	CanYieldSeat bool   // it votes, and another front can take its seat, or it can be done without
	LeaseExpiry  Micros // lost: fleet time at which its lease is surely over, with all that it had open; 0: never
	Lease        Micros // the longest that it acts without hearing the fleet; 0: for ever
}

// Fleet is the fronts as the council's state has them, ordered by name.
type Fleet []Machine

// Find gives a front by name; nil: there is none.
func (f Fleet) Find(name string) *Machine {
	i, ok := slices.BinarySearchFunc(f, name, func(m Machine, n string) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return &f[i]
}

// State is all works. Permits are numbered through the fleet's life.
type State struct {
	Rules      Rules             `cbor:"1,keyasint"`
	LastPermit uint64            `cbor:"2,keyasint"` // permit
	LastID     uint64            `cbor:"3,keyasint"`
	HoldReason string            `cbor:"4,keyasint,omitempty"` // why nothing new goes; empty: it does
	Operations []Operation       `cbor:"5,keyasint,omitempty"` // not ended, by ID
	Ended      []Operation       `cbor:"6,keyasint,omitempty"` // the last ones
	Fences     map[string]uint64 `cbor:"7,keyasint,omitempty"` // permits of a machine below it are void
}

// New makes the state of a fleet that has never taken a machine out.
func New() State { return State{Rules: DefaultRules(), Fences: map[string]uint64{}} }

// Errors of what was asked.
var (
	ErrNoOperation       = errors.New("no such work, or it has ended")
	ErrTooManyOperations = fmt.Errorf("%d works wait or are under way, which is the most", MaxOperations)
	ErrDuplicate         = errors.New("the machine has a work that is not ended")
	ErrPermitVoid        = errors.New("the permit is void")
	ErrPhase             = errors.New("the work is not so far, or farther")
	ErrNoFront           = errors.New("no front of that name")
	ErrDuration          = errors.New("span: 1 s to 7 days are wanted")
	ErrText              = fmt.Errorf("a machine, a reason of %d bytes at most, and %d machines apart at most are wanted", mostText, mostApart)
	ErrFrontReachable    = errors.New("the front is heard: it can say itself that it is back")
)

// Ask takes a work in. A front's must be of the fleet; one work a machine.
func (s *State) Request(x Operation, fleet Fleet, now Micros) (id uint64, err error) {
	switch {
	case x.Machine == "" || len(x.Machine) > mostText || len(x.Reason) > mostText || len(x.ConflictsWith) > mostApart || len(x.Zone) > mostText:
		return 0, ErrText
	case x.Duration < second || x.Duration > 7*24*3600*second || x.StartWithin < 0:
		return 0, ErrDuration
	case x.Kind == Front && fleet.Find(x.Machine) == nil:
		return 0, ErrNoFront
	case len(s.Operations) >= MaxOperations:
		return 0, ErrTooManyOperations
	case s.ForMachine(x.Machine) != nil:
		return 0, ErrDuplicate
	}
	s.LastID++
	s.Operations = append(s.Operations, Operation{ID: s.LastID, Machine: x.Machine, Kind: x.Kind, Zone: x.Zone, Reason: x.Reason, Duration: x.Duration,
		StartWithin: x.StartWithin, Importance: x.Importance, Pace: max(0, min(x.Pace, 100)), ConflictsWith: x.ConflictsWith, SingleZone: x.SingleZone, Urgent: x.Urgent, EndsOnRestart: x.EndsOnRestart,
		RequestedAt: now, Since: now})
	return s.LastID, nil
}

// Find gives a work that is not ended; nil: there is none.
func (s *State) Find(id uint64) *Operation {
	i, ok := slices.BinarySearchFunc(s.Operations, id, func(x Operation, id uint64) int { return cmp.Compare(x.ID, id) })
	if !ok {
		return nil
	}
	return &s.Operations[i]
}

// On gives a machine's work that is not ended; nil: there is none.
func (s *State) ForMachine(machine string) *Operation {
	i := slices.IndexFunc(s.Operations, func(x Operation) bool { return x.Machine == machine })
	if i < 0 {
		return nil
	}
	return &s.Operations[i]
}

func (x *Operation) to(p Phase, now Micros) {
	x.Phase, x.Since, x.Overdue, x.Serving = p, now, false, false
}

// fence voids the permit that a machine may still have in hand.
func (s *State) fence(x *Operation) {
	if x.Permit == 0 {
		return
	}
	if s.Fences == nil {
		s.Fences = map[string]uint64{}
	}
	if len(s.Fences) >= mostFences { // the lowest tell least: their permits are the oldest
		var low string
		for m, n := range s.Fences {
			if low == "" || n < s.Fences[low] || n == s.Fences[low] && m < low {
				low = m
			}
		}
		delete(s.Fences, low)
	}
	s.Fences[x.Machine] = x.Permit + 1
}

// end ends a work and voids its permit.
func (s *State) end(x *Operation, p Phase, note string, now Micros) {
	s.fence(x)
	x.to(p, now)
	if note != "" {
		x.Note = note
	}
	done := *x
	done.LeftBy = nil
	s.Operations = slices.DeleteFunc(s.Operations, func(y Operation) bool { return y.ID == done.ID })
	if s.Ended = append(s.Ended, done); len(s.Ended) > mostEnded {
		s.Ended = slices.Delete(s.Ended, 0, len(s.Ended)-mostEnded)
	}
}

// Cancel ends a work that has not begun; one that has comes back at once.
func (s *State) Cancel(id uint64, why string, now Micros) error {
	x := s.Find(id)
	switch {
	case x == nil:
		return ErrNoOperation
	case !x.Phase.IsOut():
		s.end(x, Cancelled, why, now)
	case x.Phase != Returning:
		x.Note = cmp.Or(why, "cancelled: it comes back")
		x.to(Returning, now)
	}
	return nil
}

// Finish is a person's word, or the front's own, that the work is done and the
// machine comes back.
func (s *State) Finish(id uint64, now Micros) error {
	x := s.Find(id)
	switch {
	case x == nil:
		return ErrNoOperation
	case x.Phase != Out && x.Phase != Draining:
		return ErrPhase
	}
	x.to(Returning, now)
	return nil
}

// Declare is a person's word that a machine in work will not come back: the only
// way in which it stops counting as out without being heard. A front that is
// heard can say so itself.
func (s *State) DeclareLost(id uint64, why string, fleet Fleet, now Micros) error {
	x := s.Find(id)
	if x == nil {
		return ErrNoOperation
	}
	if !x.Phase.IsOut() {
		return ErrPhase
	}
	if m := fleet.Find(x.Machine); x.Kind == Front && m != nil && !m.Lost && m.ID == x.Holder && m.Start == x.Start {
		return ErrFrontReachable
	}
	s.end(x, Lost, cmp.Or(why, "declared lost"), now)
	return nil
}

// Accept is a front's acceptance of leave: from here on it is out. It stands only
// while the leave does.
func (s *State) Accept(machine string, permit, id, start uint64, now Micros) error {
	x := s.ForMachine(machine)
	if x == nil || permit < s.Fences[machine] || x.Permit != permit {
		return ErrPermitVoid
	}
	if x.Phase != Permitted {
		return ErrPhase
	}
	x.Holder, x.Start = id, start
	x.to(Draining, now)
	return nil
}

// Empty is a front's word that it holds no request any more.
func (s *State) Drained(machine string, permit, id uint64, now Micros) error {
	x := s.ForMachine(machine)
	if x == nil || x.Permit != permit || x.Holder != id {
		return ErrPermitVoid
	}
	if x.Phase != Draining {
		return ErrPhase
	}
	x.to(Out, now)
	return nil
}

// Back is a front's word that it takes clients again. Only that ends its work: what
// others last heard of it may be older than its way out.
func (s *State) Returned(machine string, permit, id uint64, now Micros) error {
	x := s.ForMachine(machine)
	if x == nil || x.Permit != permit {
		return ErrPermitVoid
	}
	if !x.Phase.IsOut() || x.Serving && x.Holder == id {
		return ErrPhase
	}
	x.Holder = id
	x.to(Returning, now)
	x.Serving = true
	return nil
}

// Leave is a front's word, for a box in work, that it sends nothing new there and
// has nothing open there.
func (s *State) ConfirmLeft(machine string, permit uint64, front string, now Micros) error {
	x := s.ForMachine(machine)
	if x == nil || x.Kind != Box || x.Permit != permit {
		return ErrPermitVoid
	}
	if x.Phase != Permitted && x.Phase != Draining {
		return ErrPhase
	}
	if i, ok := slices.BinarySearch(x.LeftBy, front); !ok {
		x.LeftBy = slices.Insert(x.LeftBy, i, front)
	}
	return nil
}

// Rejoined is told when a front came under a new incarnation, or its process
// started anew: what the one before confirmed of boxes counts no more.
func (s *State) Rejoined(front string) {
	for i := range s.Operations {
		if j, ok := slices.BinarySearch(s.Operations[i].LeftBy, front); ok && s.Operations[i].Phase < Out {
			s.Operations[i].LeftBy = slices.Delete(s.Operations[i].LeftBy, j, j+1)
		}
	}
}

// Zone is where a work's machine stands.
func (x *Operation) zone(fleet Fleet) string {
	if m := fleet.Find(x.Machine); x.Kind == Front && m != nil {
		return m.Zone
	}
	return x.Zone
}

// usage is what is out now, by every reason.
type usage struct {
	out, fronts, lost int
	hurt              int
	zones             map[string]int
	pace              map[string]int // of hubs: percent that boxes under way have
	machines          map[string]bool
	voters, heard     int // heard: those that are and stay in
}

// use counts. What has leave counts as out already: it may be accepted.
func (s *State) use(fleet Fleet) usage {
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
		if x := &s.Operations[i]; x.Phase == Permitted || x.Phase.IsOut() {
			count(x.Machine, x.zone(fleet), x.Kind == Front)
			u.pace[x.Zone] += x.Pace
		}
	}
	for _, m := range fleet {
		if m.Voter {
			u.voters++
			if !u.machines[m.Name] && !m.Lost { // one that is away by itself votes all the same
				u.heard++
			}
		}
		if m.Lost && !u.machines[m.Name] {
			u.lost++
		}
		if m.Unhealthy && !m.Lost {
			u.hurt++
		}
		if m.Lost || m.NotServing {
			count(m.Name, m.Zone, true)
		}
	}
	return u
}

// score orders what waits: importance, and a step of it for every span waited.
func (x *Operation) score(r Rules, now Micros) int64 {
	return int64(x.Importance) + min(mostAge, (now-x.RequestedAt)/max(1, r.AgeStep))
}

// queue is what waits, the next first.
func (s *State) queue(now Micros) (list []*Operation) {
	for i := range s.Operations {
		if x := &s.Operations[i]; x.Phase == Requested {
			list = append(list, x)
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

const seatFirst = "its seat in the council goes to another front first"

// bar tells why a work can't have leave now; empty: it can.
func (s *State) bar(x *Operation, u *usage, fleet Fleet, now Micros) string {
	m := fleet.Find(x.Machine)
	zone := x.zone(fleet)
	switch {
	case s.HoldReason != "":
		return "held: " + s.HoldReason
	case x.Kind == Front && m == nil:
		return "the front has left the fleet"
	case x.Kind == Front && m.Lost:
		return "the front is not heard, so it can't accept"
	case (u.lost+u.hurt)*100 >= s.Rules.UnhealthyPercent*len(fleet) && u.lost+u.hurt > 0 && !x.Urgent:
		return fmt.Sprintf("the fleet is hurt: of %d fronts %d are lost and %d in trouble", len(fleet), u.lost, u.hurt)
	}
	if wait := s.again(x); now < wait {
		return fmt.Sprintf("%s; it is asked again in %d s", x.Note, (wait-now)/second+1)
	}
	others, sameZone, fronts := u.out, u.zones[zone], u.fronts
	if u.machines[x.Machine] { // it says that it is away, and so counts already
		others, sameZone, fronts = others-1, sameZone-1, fronts-1
	}
	switch {
	case others+1 > s.Rules.MaxOut:
		return fmt.Sprintf("%d machines are out or lost, %d may be", others, s.Rules.MaxOut)
	case sameZone+1 > s.Rules.MaxZoneOut:
		return fmt.Sprintf("%d machines of zone %s are out or lost, %d may be", sameZone, zone, s.Rules.MaxZoneOut)
	case x.Kind == Front && fronts+1 > max(1, len(fleet)*s.Rules.MaxFrontsPercent/100):
		return fmt.Sprintf("%d of %d fronts are out or lost, %d%% may be", fronts, len(fleet), s.Rules.MaxFrontsPercent)
	case x.Kind == Box && s.Rules.MaxPacePercent > 0 && u.pace[zone] > 0 && u.pace[zone]+x.Pace > s.Rules.MaxPacePercent:
		return fmt.Sprintf("boxes with %d%% of the pace of %s are out and this one has %d%%, together %d%% may be", u.pace[zone], zone, x.Pace, s.Rules.MaxPacePercent)
	case x.Kind == Front && m.CanYieldSeat:
		return seatFirst
	case x.Kind == Front && m.Voter && u.voters > 1 && u.heard-1 < u.voters/2+1:
		return fmt.Sprintf("it votes, and %d of %d voters would be left, no majority", u.heard-1, u.voters)
	}
	return s.apart(x, u, zone)
}

// again is when a work whose leave was not accepted may have the next: it waits twice
// as long after each, so that a front that hears and is not heard costs little.
func (s *State) again(x *Operation) Micros {
	if x.Unaccepted == 0 {
		return 0
	}
	return x.Since + s.Rules.AcceptTimeout<<(x.Unaccepted-1)
}

// apart tells what stands against a work beside the budgets.
func (s *State) apart(x *Operation, u *usage, zone string) string {
	for _, other := range x.ConflictsWith {
		if other != x.Machine && u.machines[other] {
			return other + " is out, and both must not be"
		}
	}
	for i := range s.Operations {
		y := &s.Operations[i]
		if y.Machine != x.Machine && (y.Phase == Permitted || y.Phase.IsOut()) && slices.Contains(y.ConflictsWith, x.Machine) {
			return y.Machine + " is out, and both must not be"
		}
	}
	if x.SingleZone {
		for z, n := range u.zones {
			if z != zone && n > 0 {
				return "machines of another zone are out, and a zone at a time was asked for"
			}
		}
	}
	return ""
}

// Step draws the conclusions of a moment: bounds that have passed, works that are
// over, leave for those whose turn it is. It must run after every change, and
// gives what has happened, a line each.
func (s *State) Step(fleet Fleet, now Micros) (told []string) {
	tell := func(x *Operation, what string) {
		told = append(told, fmt.Sprintf("work %d on %s: %s", x.ID, x.Machine, what))
	}
	back := func(x *Operation, why string) {
		s.fence(x)
		x.Note = fmt.Sprintf("leave %d %s", x.Permit, why)
		tell(x, x.Note)
		x.to(Requested, now)
	}
	for _, id := range s.ids() {
		x := s.Find(id)
		m := fleet.Find(x.Machine)
		waited := now - x.Since
		switch x.Phase {
		case Requested:
			if x.StartWithin > 0 && now-x.RequestedAt > x.StartWithin {
				tell(x, "refused: its latest moment has passed")
				s.end(x, Refused, "its latest moment has passed", now)
			} else if x.Kind == Front && m == nil {
				tell(x, "refused: the front has left the fleet")
				s.end(x, Refused, "the front has left the fleet", now)
			}
		case Permitted:
			switch {
			case x.Kind == Box:
				if s.left(x, fleet, now) {
					tell(x, "all fronts have left it")
					x.to(Out, now)
				}
			case waited > s.Rules.AcceptTimeout || m == nil || m.Lost:
				x.Unaccepted = min(x.Unaccepted+1, 8)
				back(x, "was not accepted and was taken back")
			case m.Voter: // it may have got a seat, or another voter been lost, since
				if u := s.use(fleet); u.voters > 1 && u.heard < u.voters/2+1 {
					back(x, "was taken back: those voters that are left are no majority any more")
				}
			}
		case Draining:
			if x.Kind == Front && m != nil && !m.Lost && (m.ID != x.Holder || m.Start != x.Start) {
				tell(x, "its process ended on its way out")
				x.to(Out, now)
			} else if !x.Overdue && waited > s.Rules.DrainTimeout {
				x.Overdue, x.Note = true, "emptying takes longer than it may"
				tell(x, x.Note)
			}
		case Out:
			if x.EndsOnRestart && m != nil && !m.Lost && (m.ID != x.Holder || m.Start != x.Start) {
				tell(x, "its process has started anew")
				x.Holder = m.ID
				x.to(Returning, now)
			} else if !x.Overdue && waited > x.Duration {
				x.Overdue, x.Note = true, "out for longer than was asked"
				tell(x, x.Note)
			}
		case Returning:
			ready := x.Kind == Box || x.Serving && m != nil && !m.Lost && m.ID == x.Holder
			if ready && waited >= s.Rules.WarmUp {
				tell(x, "done")
				s.end(x, Done, "", now)
			} else if !ready && !x.Overdue && waited > s.Rules.ReturnTimeout {
				x.Overdue, x.Note = true, "coming back takes longer than it may"
				tell(x, x.Note)
			}
		}
	}
	u := s.use(fleet)
	for _, x := range s.queue(now) {
		// Where the budget is spent, nobody who is not part of what spent it need be looked at.
		why := "the budget is spent"
		if u.out < s.Rules.MaxOut || u.machines[x.Machine] {
			why = s.bar(x, &u, fleet, now)
		}
		if why == "" {
			s.LastPermit++
			x.Permit, x.LeftBy, x.Holder, x.Start = s.LastPermit, nil, 0, 0
			x.to(Permitted, now)
			tell(x, fmt.Sprintf("leave %d", x.Permit))
			u = s.use(fleet)
		} else if now-x.RequestedAt > s.Rules.Patience && s.HoldReason == "" && !s.stuck(x, fleet, now) {
			break // nothing goes before it any more
		}
	}
	return told
}

// stuck tells that a work waits for something of its own, so that others need not
// wait with it.
func (s *State) stuck(x *Operation, fleet Fleet, now Micros) bool {
	m := fleet.Find(x.Machine)
	return x.Kind == Front && (m == nil || m.Lost || now < s.again(x))
}

// left tells whether every front has confirmed that it has left a box, or can't act
// any more.
func (s *State) left(x *Operation, fleet Fleet, now Micros) bool {
	for _, m := range fleet {
		if _, ok := slices.BinarySearch(x.LeftBy, m.Name); !ok && !m.over(now) {
			return false
		}
	}
	return true
}

// over tells whether a front is lost and its lease surely over.
func (m *Machine) over(now Micros) bool { return m.Lost && m.LeaseExpiry > 0 && now >= m.LeaseExpiry }

func (s *State) ids() (ids []uint64) {
	for _, x := range s.Operations {
		ids = append(ids, x.ID)
	}
	return ids
}

// Line is one work of a plan, with what it waits for.
type PlanEntry struct {
	Operation
	Position int    // in the order, from 1; 0: it is under way
	WaitsFor string // for what; empty: for nothing
}

// Plan is who goes when: what is under way, then what waits in its order, each with
// what stands in its way now.
func (s *State) Plan(fleet Fleet, now Micros) (plan []PlanEntry) {
	u := s.use(fleet)
	for i := range s.Operations {
		if x := &s.Operations[i]; x.Phase != Requested {
			plan = append(plan, PlanEntry{Operation: *x, WaitsFor: s.waits(x, fleet, now)})
		}
	}
	for i, x := range s.queue(now) {
		plan = append(plan, PlanEntry{Operation: *x, Position: i + 1, WaitsFor: cmp.Or(s.bar(x, &u, fleet, now), "its turn")})
	}
	return plan
}

// waits tells what a work under way waits for.
func (s *State) waits(x *Operation, fleet Fleet, now Micros) string {
	late := ""
	if x.Overdue {
		late = " (" + x.Note + ")"
	}
	switch x.Phase {
	case Permitted:
		if x.Kind == Box {
			var missing []string
			for _, m := range fleet {
				if _, ok := slices.BinarySearch(x.LeftBy, m.Name); !ok && !m.over(now) {
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
		return "its open requests to end" + late
	case Out:
		if x.EndsOnRestart {
			return "its process to start anew" + late
		}
		return "a person's word that it is done" + late
	case Returning:
		return "it to be ready and warm" + late
	}
	return ""
}

// Why says in a sentence what becomes of a machine's work.
func (s *State) Explain(machine string, fleet Fleet, now Micros) string {
	for _, l := range s.Plan(fleet, now) {
		if l.Machine != machine {
			continue
		}
		if l.Position > 0 {
			return fmt.Sprintf("%s waits as number %d (work %d, asked %d s ago): %s.", machine, l.Position, l.ID, (now-l.RequestedAt)/second, l.WaitsFor)
		}
		return fmt.Sprintf("%s is %s under permit %d (work %d) for %d s and waits for %s.", machine, l.Phase, l.Permit, l.ID, (now-l.Since)/second, l.WaitsFor)
	}
	for i := len(s.Ended) - 1; i >= 0; i-- {
		if x := s.Ended[i]; x.Machine == machine {
			text := fmt.Sprintf("%s has no work; its last one (work %d) was %s %d s ago", machine, x.ID, x.Phase, (now-x.Since)/second)
			if x.Note != "" {
				text += ": " + x.Note
			}
			return text + "."
		}
	}
	return machine + " has no work."
}

// Soon tells whether a front is about to go out, or is: it should hold no seat that
// another can have.
func (s *State) OutSoon(front string, fleet Fleet, now Micros) bool {
	if x := s.ForMachine(front); x != nil && x.Kind == Front && x.Phase != Requested {
		return true
	}
	u := s.use(fleet)
	for _, x := range s.queue(now) {
		if s.bar(x, &u, fleet, now) == seatFirst { // one seat at a time
			return x.Machine == front
		}
	}
	return false
}
