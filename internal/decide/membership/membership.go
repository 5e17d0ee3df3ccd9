// Package membership decides which fronts of a fleet vote: which fronts there are,
// under which incarnation, which of them are voters of the consensus group, and when a
// lost voter is replaced. The others follow the log.
//
// The state is replicated: every front that has applied the same entries holds the same
// state. The voters themselves are known to the consensus library and are passed in.
// Time is fleet time, which only entries advance.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Micros is a duration, or a point in fleet time, in microseconds.
type Micros = int64

// Limits.
const (
	MaxFronts   = 1000 // in a fleet
	MaxNameSize = 64   // bytes of a name, zone, machine or address
)

// Front is a front as known to the fleet.
type Front struct {
	Name       string `cbor:"1,keyasint"`
	Zone       string `cbor:"2,keyasint"`
	Machine    string `cbor:"3,keyasint"` // what is taken out; several fronts may share it
	Address    string `cbor:"4,keyasint"` // where the other fronts reach it
	ID         uint64 `cbor:"5,keyasint"` // incarnation: its life with one disk
	Build      string `cbor:"6,keyasint,omitempty"`
	Start      uint64 `cbor:"7,keyasint,omitempty"`  // of its process, drawn anew at each start
	Lost       bool   `cbor:"8,keyasint,omitempty"`  // not heard for longer than allowed
	NotServing bool   `cbor:"9,keyasint,omitempty"`  // reachable, and reports that it takes no clients
	Since      Micros `cbor:"10,keyasint"`           // fleet time at which it joined, was lost or was found
	Unhealthy  bool   `cbor:"12,keyasint,omitempty"` // reachable, and reports that it is in trouble
	Leaving    bool   `cbor:"11,keyasint,omitempty"` // is removed once it has no seat
	Lease      Micros `cbor:"13,keyasint,omitempty"` // longest time that it acts without contact to the fleet; 0: unlimited
	OwnerLease Micros `cbor:"14,keyasint,omitempty"` // span of its lease as an owner of sites; 0: it never owns a site
}

// State is the fleet's fronts, sorted by name.
type State struct {
	Fronts []Front `cbor:"1,keyasint"`
}

// Errors of joining and leaving.
var (
	ErrInvalidFront  = fmt.Errorf("council: a name, zone, machine and address of 1 to %d bytes are wanted", MaxNameSize)
	ErrTooManyFronts = fmt.Errorf("council: %d fronts at most", MaxFronts)
	ErrUnknownFront  = errors.New("council: no such front, or under another incarnation")
	ErrLastFront     = errors.New("council: the last front can't leave")
)

// Find returns the front of a name, or nil.
func (s *State) Find(name string) *Front {
	i, ok := slices.BinarySearchFunc(s.Fronts, name, func(f Front, n string) int { return cmp.Compare(f.Name, n) })
	if !ok {
		return nil
	}
	return &s.Fronts[i]
}

// ByID returns the front of an incarnation, or nil if no current front has it.
func (s *State) ByID(id uint64) *Front {
	i := slices.IndexFunc(s.Fronts, func(f Front) bool { return f.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Fronts[i]
}

// Join adds a front, or updates its address, build or process. A new incarnation
// replaces the former one, which no longer counts. A new process counts as taking no
// clients until it is heard to take them.
func (s *State) Join(f Front, now Micros) error {
	for _, text := range []string{f.Name, f.Zone, f.Machine, f.Address} {
		if text == "" || len(text) > MaxNameSize {
			return ErrInvalidFront
		}
	}
	if f.ID == 0 || len(f.Build) > MaxNameSize || f.Lease < 0 || f.OwnerLease < 0 {
		return ErrInvalidFront
	}
	f.Lost, f.NotServing, f.Since = false, true, now // until it is heard to take clients
	if old := s.Find(f.Name); old != nil {
		if known := *old; known.ID == f.ID && known.Start == f.Start {
			f.Since, f.Lost, f.NotServing, f.Unhealthy = known.Since, known.Lost, known.NotServing, known.Unhealthy
		}
		*old = f
		return nil
	}
	if len(s.Fronts) >= MaxFronts {
		return ErrTooManyFronts
	}
	s.Fronts = append(s.Fronts, f)
	slices.SortFunc(s.Fronts, func(a, b Front) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

// Leave marks a front as leaving. It is removed once it has no seat.
func (s *State) Leave(name string) error {
	f := s.Find(name)
	if f == nil {
		return ErrUnknownFront
	}
	if !slices.ContainsFunc(s.Fronts, func(x Front) bool { return x.Name != name && !x.Leaving }) {
		return ErrLastFront
	}
	f.Leaving = true
	return nil
}

// RemoveLeft removes the leaving fronts that have no seat, and returns their names.
func (s *State) RemoveLeft(seats Seats) (removed []string) {
	s.Fronts = slices.DeleteFunc(s.Fronts, func(f Front) bool {
		remove := f.Leaving && !seats.Has(f.ID) && !slices.Contains(seats.Learners, f.ID)
		if remove {
			removed = append(removed, f.Name)
		}
		return remove
	})
	return removed
}

// SetContact records whether a front is reachable, takes clients and is in trouble. It
// returns whether anything has changed.
func (s *State) SetContact(name string, id uint64, lost, notServing, unhealthy bool, now Micros) (changed bool, err error) {
	f := s.Find(name)
	if f == nil || f.ID != id {
		return false, ErrUnknownFront
	}
	if f.Lost == lost && f.NotServing == notServing && f.Unhealthy == unhealthy {
		return false, nil
	}
	if f.Lost != lost {
		f.Since = now
	}
	f.Lost, f.NotServing, f.Unhealthy = lost, notServing, unhealthy
	return true, nil
}

// Majority returns the size of a majority of the given number of voters.
func Majority(voters int) int { return voters/2 + 1 }

// TargetVoters returns how many voters there should be: 7 with twenty fronts in at
// least three zones, 5 from five fronts on, 3 from three; with fewer, all fronts vote.
// An even number tolerates no more losses than the odd number below it.
func (s *State) TargetVoters() int {
	zones, n := map[string]bool{}, 0
	for _, f := range s.Fronts {
		if !f.Leaving {
			zones[f.Zone] = true
			n++
		}
	}
	switch {
	case n >= 20 && len(zones) >= 3:
		return 7
	case n >= 5:
		return 5
	case n >= 3:
		return 3
	default:
		return n
	}
}

// Seats are the voters and learners of the consensus group, by incarnation.
type Seats struct {
	Voters   []uint64
	Learners []uint64
	Joint    bool // a joint configuration: a change is in progress
}

// Has reports whether an incarnation is a voter.
func (s *Seats) Has(id uint64) bool { return slices.Contains(s.Voters, id) }

// Kind is the kind of a change.
type Kind uint8

// The kinds of changes.
const (
	Stay       Kind = iota
	AddLearner      // Add becomes a learner
	Promote         // Add, a learner that has caught up, becomes a voter; it replaces the voter Remove, if not 0
	Remove          // Remove is no longer a voter or learner
)

// Change is one change of the seats.
type Change struct {
	Kind        Kind
	Add, Remove uint64
	Reason      string
}

// Config holds the settings of the operators.
type Config struct {
	Grace Micros // fleet time for which a lost voter keeps its seat; must exceed the time of a restart
}

// View is what the leader knows in addition to the state.
type View struct {
	Now      Micros
	Leader   uint64
	CaughtUp func(id uint64) bool // the learner has all but the newest entries
	KeepsUp  func(f *Front) bool  // it follows the log closely enough to become a learner; nil: all do
	Avoid    func(f *Front) bool  // it is about to go out for maintenance: no seat for it, if another front can take it
}

// Next returns the next change of the seats and the reason for it, one change at a
// time. With Stay, the reason says what the change waits for, if anything. Next never
// begins a change that the reachable voters could not complete, and never gives up a
// voter unless the remaining reachable ones are a majority before and after.
func (s *State) Next(seats Seats, cfg Config, v View) Change {
	if seats.Joint {
		return Change{Reason: "a change of voters is under way"}
	}
	// Which voter should go.
	out, reason := s.departing(&seats, cfg, &v)
	// Which front should come: in place of that voter, or for a free seat.
	free := s.TargetVoters() - len(seats.Voters)
	var in *Front
	if out != 0 || free > 0 {
		in = s.candidate(&seats, out, &v)
	}
	if out == 0 && free < 0 {
		out, reason = s.surplus(&seats, &v), "more voters than are wanted"
	}
	if out == 0 && free <= 0 {
		if out, in = s.imbalanced(&seats, &v); out != 0 {
			reason = "its zone has two voters more than another"
		}
	}
	// Learners that are not wanted any more go first: one learner at a time.
	for _, id := range seats.Learners {
		if in == nil || in.ID != id {
			f := s.ByID(id)
			if in != nil && f != nil && !f.Lost && !v.Avoid(f) { // an existing learner will do as well
				in = f
				continue
			}
			return Change{Kind: Remove, Remove: id, Reason: "a learner that is not wanted any more"}
		}
	}
	if in != nil && !slices.Contains(seats.Learners, in.ID) {
		if !s.canChange(&seats, 0, 0) {
			return Change{Reason: "no majority of the voters is heard"}
		}
		return Change{Kind: AddLearner, Add: in.ID, Reason: cmp.Or(reason, "a seat is free") + ": " + in.Name + " learns"}
	}
	if in != nil {
		if !v.CaughtUp(in.ID) {
			return Change{Reason: in.Name + " learns and has not caught up"}
		}
		if !s.canChange(&seats, in.ID, out) {
			return Change{Reason: "no majority of the voters is heard without the one replaced"}
		}
		return Change{Kind: Promote, Add: in.ID, Remove: out, Reason: cmp.Or(reason, "a seat is free") + ": " + in.Name + " votes"}
	}
	// No front replaces it. Without one of an even number, the group tolerates as many
	// losses as before.
	if f := s.ByID(out); out != 0 && (free < 0 || f == nil || f.Leaving || s.isOneOfEven(f, &seats, &v)) {
		if out == v.Leader {
			return Change{Reason: "the leader's seat goes once it has handed over"}
		}
		if !s.canChange(&seats, 0, out) {
			return Change{Reason: "no majority of the voters is heard without the one replaced"}
		}
		return Change{Kind: Remove, Remove: out, Reason: reason}
	}
	if out != 0 {
		return Change{Reason: reason + ", and no other front can take its seat"}
	}
	return Change{}
}

// departing finds a voter that should give up its seat: one whose incarnation no longer
// exists, one that leaves, one that has been lost for the grace time, or one that is
// about to go out for maintenance.
func (s *State) departing(seats *Seats, cfg Config, v *View) (id uint64, reason string) {
	for _, id := range seats.Voters {
		if s.ByID(id) == nil {
			return id, "a voter's incarnation has gone"
		}
	}
	for _, id := range seats.Voters {
		if f := s.ByID(id); f.Leaving {
			return id, f.Name + " leaves"
		}
	}
	for _, id := range seats.Voters {
		if f := s.ByID(id); f.Lost && v.Now-f.Since >= cfg.Grace {
			return id, f.Name + " is lost"
		}
	}
	if slices.ContainsFunc(seats.Voters, func(id uint64) bool { return s.ByID(id).Lost }) {
		return 0, "" // seats move for maintenance only while all voters are reachable: one thing at a time
	}
	for _, id := range seats.Voters {
		if f := s.ByID(id); id != v.Leader && v.Avoid(f) {
			return id, f.Name + " goes out for work"
		}
	}
	return 0, ""
}

// candidate finds the front that should get the next seat: one that is reachable and
// stays, in the zone with the fewest voters, on a machine without voters.
func (s *State) candidate(seats *Seats, out uint64, v *View) (best *Front) {
	zones, machines := s.spread(seats, out)
	for i := range s.Fronts {
		f := &s.Fronts[i]
		if f.Lost || f.NotServing || f.Leaving || seats.Has(f.ID) || v.Avoid(f) || machines[f.Machine] > 0 || v.KeepsUp != nil && !v.KeepsUp(f) {
			continue
		}
		if best == nil || zones[f.Zone] < zones[best.Zone] {
			best = f
		}
	}
	return best
}

// spread counts the voters by zone and machine, except one.
func (s *State) spread(seats *Seats, except uint64) (zones, machines map[string]int) {
	zones, machines = map[string]int{}, map[string]int{}
	for _, id := range seats.Voters {
		if f := s.ByID(id); f != nil && id != except {
			zones[f.Zone]++
			machines[f.Machine]++
		}
	}
	return zones, machines
}

// isOneOfEven reports whether a voter that goes out for maintenance is one of an even
// number.
func (s *State) isOneOfEven(f *Front, seats *Seats, v *View) bool {
	return len(seats.Voters)%2 == 0 && v.Avoid(f)
}

// CanYield reports whether a voter's seat can be taken by another front, or given up,
// before it goes out for maintenance.
func (s *State) CanYield(id uint64, seats Seats, avoid func(f *Front) bool) bool {
	f := s.ByID(id)
	if f == nil || !seats.Has(id) {
		return false
	}
	v := View{Avoid: func(x *Front) bool { return x == f || avoid(x) }}
	return s.candidate(&seats, id, &v) != nil || len(seats.Voters)%2 == 0 && len(seats.Voters) > 1
}

// surplus finds a dispensable voter: not the leader, from the zone with the most
// voters.
func (s *State) surplus(seats *Seats, v *View) (id uint64) {
	zones, _ := s.spread(seats, 0)
	highest := 0
	for _, voter := range seats.Voters {
		if f := s.ByID(voter); f != nil && voter != v.Leader && zones[f.Zone] > highest {
			id, highest = voter, zones[f.Zone]
		}
	}
	return id
}

// imbalanced finds a voter whose zone has at least two more voters than the zone of a
// candidate.
func (s *State) imbalanced(seats *Seats, v *View) (out uint64, in *Front) {
	zones, _ := s.spread(seats, 0)
	for _, id := range seats.Voters {
		f := s.ByID(id)
		if f == nil || id == v.Leader {
			continue
		}
		if c := s.candidate(seats, id, v); c != nil && zones[f.Zone] >= zones[c.Zone]+2 {
			return id, c
		}
	}
	return 0, nil
}

// canChange reports whether the reachable voters are a majority before a change and,
// without the voter that goes, after it.
func (s *State) canChange(seats *Seats, add, drop uint64) bool {
	heard, heardAfter := 0, 0
	for _, id := range seats.Voters {
		if f := s.ByID(id); f != nil && !f.Lost {
			heard++ // includes the voter that goes in an orderly way, which takes part in the change itself
			if id != drop {
				heardAfter++
			}
		}
	}
	after := len(seats.Voters)
	if add != 0 {
		after, heardAfter = after+1, heardAfter+1
	}
	if drop != 0 {
		after--
	}
	return heard >= Majority(len(seats.Voters)) && after > 0 && heardAfter >= Majority(after)
}

// TolerableLosses returns how many more voters may be lost while the reachable ones
// remain a majority; negative: they are none now.
func (s *State) TolerableLosses(seats Seats) int {
	heard := 0
	for _, id := range seats.Voters {
		if f := s.ByID(id); f != nil && !f.Lost {
			heard++
		}
	}
	return heard - Majority(len(seats.Voters))
}
