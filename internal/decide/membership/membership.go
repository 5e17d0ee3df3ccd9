// Package membership decides who of a fleet's fronts votes: which fronts there are,
// under which incarnation, which of them take part in the agreement as voters,
// and when a voter that is lost is replaced. The others follow the log.
//
// Its state is replicated: every front that has applied the same entries holds
// the same one. The voters themselves are the agreement library's to know, and
// are handed in. Time is fleet time, which only entries move on.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Micros is a span, or a moment of fleet time, in microseconds.
type Micros = int64

// Bounds.
const (
	MaxFronts   = 1000 // in a fleet
	MaxNameSize = 64   // bytes of a name, zone, machine or address
)

// Front is one front as the fleet knows it.
type Front struct {
	Name       string `cbor:"1,keyasint"`
	Zone       string `cbor:"2,keyasint"`
	Machine    string `cbor:"3,keyasint"` // what is taken out; fronts may share one
	Address    string `cbor:"4,keyasint"` // where the others reach it
	ID         uint64 `cbor:"5,keyasint"` // its incarnation: its life with one disk
	Build      string `cbor:"6,keyasint,omitempty"`
	Start      uint64 `cbor:"7,keyasint,omitempty"`  // of its process, drawn anew at each
	Lost       bool   `cbor:"8,keyasint,omitempty"`  // not heard for longer than it may be
	NotServing bool   `cbor:"9,keyasint,omitempty"`  // heard, and says itself that it takes no clients
	Since      Micros `cbor:"10,keyasint"`           // fleet time at which it came, was lost or was found
	Unhealthy  bool   `cbor:"12,keyasint,omitempty"` // heard, and says itself that it is in trouble
	Leaving    bool   `cbor:"11,keyasint,omitempty"` // it goes for good once it has no seat
	Lease      Micros `cbor:"13,keyasint,omitempty"` // the longest that it acts without hearing the fleet; 0: for ever
	OwnerLease Micros `cbor:"14,keyasint,omitempty"` // the span of its lease as a keeper of a site; 0: it takes no part in what is exchanged
}

// State is the fleet's fronts, ordered by name.
type State struct {
	Fronts []Front `cbor:"1,keyasint"`
}

// Errors of a front that can't be taken in.
var (
	ErrInvalidFront  = fmt.Errorf("council: a name, zone, machine and address of 1 to %d bytes are wanted", MaxNameSize)
	ErrTooManyFronts = fmt.Errorf("council: %d fronts at most", MaxFronts)
	ErrUnknownFront  = errors.New("council: no such front, or under another incarnation")
	ErrLastFront     = errors.New("council: the last front can't leave")
)

// Find gives a front by name; nil: there is none.
func (s *State) Find(name string) *Front {
	i, ok := slices.BinarySearchFunc(s.Fronts, name, func(f Front, n string) int { return cmp.Compare(f.Name, n) })
	if !ok {
		return nil
	}
	return &s.Fronts[i]
}

// ByID gives a front by incarnation; nil: none that counts has it.
func (s *State) ByID(id uint64) *Front {
	i := slices.IndexFunc(s.Fronts, func(f Front) bool { return f.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Fronts[i]
}

// Join takes a front in, or takes in what has changed of one: its address, its
// build, its process. Under a new incarnation it takes the place of the one it
// was, which counts for nothing from then on. A new process counts as away until it
// is heard to take clients.
func (s *State) Join(f Front, now Micros) error {
	for _, x := range []string{f.Name, f.Zone, f.Machine, f.Address} {
		if x == "" || len(x) > MaxNameSize {
			return ErrInvalidFront
		}
	}
	if f.ID == 0 || len(f.Build) > MaxNameSize || f.Lease < 0 || f.OwnerLease < 0 {
		return ErrInvalidFront
	}
	f.Lost, f.NotServing, f.Since = false, true, now // until it is heard to take clients
	if old := s.Find(f.Name); old != nil {
		if same := *old; same.ID == f.ID && same.Start == f.Start {
			f.Since, f.Lost, f.NotServing, f.Unhealthy = same.Since, same.Lost, same.NotServing, same.Unhealthy
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

// Leave has a front go for good, once its seat, if it has one, was given up.
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

// Settle forgets the fronts that leave and have no seat, and gives their names.
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

// Contact takes in whether a front is heard, whether it takes clients and whether
// it is in trouble. It tells whether anything has changed.
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

// Majority is how many of so many voters are one.
func Majority(voters int) int { return voters/2 + 1 }

// Target is how many voters there should be: 7 where twenty fronts stand in three
// zones or more, 5 from five fronts on, 3 from three; fewer fronts vote all. An
// even number bears no more losses than the odd one below it.
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

// Seats is who takes part in the agreement now, by incarnation.
type Seats struct {
	Voters   []uint64
	Learners []uint64
	Joint    bool // a change is under way
}

// Has tells whether an incarnation votes.
func (s *Seats) Has(id uint64) bool { return slices.Contains(s.Voters, id) }

// Kind is what a move does.
type Kind uint8

// The moves.
const (
	Stay       Kind = iota
	AddLearner      // Add becomes a learner
	Promote         // Add, a learner that has caught up, becomes a voter; in place of Drop, where that is not 0
	Remove          // Drop is neither voter nor learner any more
)

// Move is one change of the seats.
type Change struct {
	Kind        Kind
	Add, Remove uint64
	Reason      string
}

// Config holds what the operators set.
type Config struct {
	Grace Micros // fleet time for which a lost voter keeps its seat; a restart must not reach it
}

// View is what the leader knows beside the state.
type View struct {
	Now      Micros
	Leader   uint64
	CaughtUp func(id uint64) bool // the learner has all but the newest entries
	KeepsUp  func(f *Front) bool  // it follows the log closely enough to become a learner; nil: all do
	Avoid    func(f *Front) bool  // it is about to go out for work: no seat for it, if another can have it
}

// Next gives the next change of the seats, one at a time, and why; Stay tells in
// Why what is waited for, if anything is. What it never does: begin a change
// that the voters who are heard could not end, or give up a voter while those
// who are left and heard would be no majority, before and after.
func (s *State) Next(seats Seats, cfg Config, v View) Change {
	if seats.Joint {
		return Change{Reason: "a change of voters is under way"}
	}
	// Who should go.
	out, reason := s.departing(&seats, cfg, &v)
	// Who should come: in place of the one that goes, or where seats are free.
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
	// Learners that are not wanted, or no more, go first: one learner at a time.
	for _, id := range seats.Learners {
		if in == nil || in.ID != id {
			f := s.ByID(id)
			if in != nil && f != nil && !f.Lost && !v.Avoid(f) { // one that already learns will do as well
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
	// Nobody takes its place. One of an even number bears no loss that those left do not.
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

// leaving finds a voter that should give up its seat: one of an incarnation that
// counts for nothing any more, one that has been lost for the grace, or one that
// is about to go out for work.
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
		return 0, "" // seats move for work while all voters are heard: one thing at a time
	}
	for _, id := range seats.Voters {
		if f := s.ByID(id); id != v.Leader && v.Avoid(f) {
			return id, f.Name + " goes out for work"
		}
	}
	return 0, ""
}

// candidate finds the front that should have the next seat: one that is heard and
// stays, in the zone with the fewest voters, on a machine with none.
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

// spread counts the voters by zone and machine, but for one.
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

// even tells whether a voter that goes out for work is one of an even number.
func (s *State) isOneOfEven(f *Front, seats *Seats, v *View) bool {
	return len(seats.Voters)%2 == 0 && v.Avoid(f)
}

// Yields tells whether a voter's seat can be taken by another front, or given up,
// before it goes out for work.
func (s *State) CanYield(id uint64, seats Seats, avoid func(f *Front) bool) bool {
	f := s.ByID(id)
	if f == nil || !seats.Has(id) {
		return false
	}
	v := View{Avoid: func(x *Front) bool { return x == f || avoid(x) }}
	return s.candidate(&seats, id, &v) != nil || len(seats.Voters)%2 == 0 && len(seats.Voters) > 1
}

// surplus finds a voter to do without: not the leader, of the fullest zone.
func (s *State) surplus(seats *Seats, v *View) (id uint64) {
	zones, _ := s.spread(seats, 0)
	highest := 0
	for _, x := range seats.Voters {
		if f := s.ByID(x); f != nil && x != v.Leader && zones[f.Zone] > highest {
			id, highest = x, zones[f.Zone]
		}
	}
	return id
}

// uneven finds a voter whose zone has two more than a zone where a candidate is.
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

// canChange tells whether the voters who are heard are a majority of those before
// a change, and without the one that goes of those after it.
func (s *State) canChange(seats *Seats, add, drop uint64) bool {
	heard, heardAfter := 0, 0
	for _, id := range seats.Voters {
		if f := s.ByID(id); f != nil && !f.Lost {
			heard++ // also the one that goes in order, and votes for it itself
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

// Bears is how many further losses of voters leave a majority that is heard;
// below 0: there is none now.
func (s *State) TolerableLosses(seats Seats) int {
	heard := 0
	for _, id := range seats.Voters {
		if f := s.ByID(id); f != nil && !f.Lost {
			heard++
		}
	}
	return heard - Majority(len(seats.Voters))
}
