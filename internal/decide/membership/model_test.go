package membership

import (
	"fmt"
	"slices"
	"testing"
)

// The model of seats: fronts whose disks are lost come back under a new incarnation
// while one entry is committed and spreads. Every order of disk losses, returns,
// contacts, changes of seats and copying is explored. Checked: among the voters with
// intact disks, those without the entry are never a majority of the voters, or an
// election could lose the entry. Disks are lost one at a time, and only while a
// majority of the voters has intact ones.

const modelFronts = 4

// disk is the disk of one front: its incarnation, and whether it holds the entry.
type disk struct {
	id       uint8 // front + 8 * incarnation; 0: it was lost and the front is not back
	hasEntry bool
}

type seatState struct {
	disks        [modelFronts]disk
	joined       [modelFronts]uint8 // incarnation known to the fleet
	lost         [modelFronts]bool
	voters       string // incarnations, sorted
	learner      uint8
	losses       uint8
	incarnations [modelFronts]uint8
}

// mutation disables one rule.
type mutation uint8

const (
	noMutation       mutation = iota
	reuseIncarnation          // a front with an empty disk comes back under its former incarnation
	promoteEarly              // a learner becomes a voter before it has the entries
)

func (s *seatState) state() (*State, Seats) {
	c := &State{}
	for i := range modelFronts {
		c.Fronts = append(c.Fronts, Front{Name: string('a' + rune(i)), Zone: fmt.Sprint(i), Machine: fmt.Sprint(i), Address: "x",
			ID: uint64(s.joined[i]), Lost: s.lost[i]})
	}
	var seats Seats
	for _, v := range []byte(s.voters) {
		seats.Voters = append(seats.Voters, uint64(v))
	}
	if s.learner != 0 {
		seats.Learners = []uint64{uint64(s.learner)}
	}
	return c, seats
}

// diskState reports whether the disk of an incarnation is intact, and whether it holds
// the entry.
func (s *seatState) diskState(id uint8) (whole, holds bool) {
	for _, d := range s.disks {
		if d.id == id {
			return true, d.hasEntry
		}
	}
	return false, false
}

// entrySafe reports whether no election among intact disks can lose the entry.
func (s *seatState) entrySafe() bool {
	without := 0
	for _, v := range []byte(s.voters) {
		if whole, holds := s.diskState(v); whole && !holds {
			without++
		}
	}
	return without < Majority(len(s.voters))
}

// canCommit reports whether enough voters are intact for consensus to continue, with
// one that holds the entry as the leader.
func (s *seatState) canCommit(voters string) bool {
	n, leads := 0, false
	for _, v := range []byte(voters) {
		whole, holds := s.diskState(v)
		if whole {
			n++
		}
		leads = leads || whole && holds
	}
	return leads && n >= Majority(len(voters))
}

func (s seatState) successors(m mutation) (list []seatState) {
	for i := range modelFronts {
		d := s.disks[i]
		if d.id != 0 && s.losses > 0 {
			next := s
			next.disks[i], next.losses = disk{}, s.losses-1
			if next.canCommit(next.voters) { // more losses than that are not tolerated
				list = append(list, next)
			}
		}
		if d.id == 0 { // it comes back with an empty disk
			next := s
			next.incarnations[i]++
			next.disks[i].id = uint8(i+1) + 8*next.incarnations[i]
			if m == reuseIncarnation {
				next.disks[i].id = s.joined[i]
			}
			list = append(list, next)
		}
		if !s.canCommit(s.voters) { // no entry can be committed
			continue
		}
		if d.id != 0 && s.joined[i] != d.id {
			next := s
			next.joined[i], next.lost[i] = d.id, false
			list = append(list, next)
		}
		if whole, _ := s.diskState(s.joined[i]); whole == s.lost[i] {
			next := s
			next.lost[i] = !whole
			list = append(list, next)
		}
		if d.id != 0 && !d.hasEntry && (slices.Contains([]byte(s.voters), d.id) || s.learner == d.id) { // the leader copies the entry
			next := s
			next.disks[i].hasEntry = true
			list = append(list, next)
		}
	}
	if !s.canCommit(s.voters) {
		return list
	}
	c, seats := s.state()
	v := View{Now: 100, Leader: s.leader(), Avoid: func(*Front) bool { return false }, CaughtUp: func(id uint64) bool {
		_, holds := s.diskState(uint8(id))
		return holds || m == promoteEarly
	}}
	move := c.Next(seats, Config{Grace: 10}, v)
	next := s
	switch move.Kind {
	case Stay:
		return list
	case AddLearner:
		next.learner = uint8(move.Add)
	case Promote, Remove:
		b := slices.DeleteFunc([]byte(s.voters), func(v byte) bool { return uint64(v) == move.Remove })
		if move.Kind == Promote {
			b = append(b, byte(move.Add))
		}
		slices.Sort(b)
		next.voters = string(b)
		if uint64(next.learner) == move.Add || uint64(next.learner) == move.Remove {
			next.learner = 0
		}
		if len(b) == 0 || !s.canCommit(next.voters) {
			return list // joint consensus: the new seats must have a majority too, or the change does not complete
		}
	}
	return append(list, next)
}

// leader returns an intact voter that holds the entry.
func (s *seatState) leader() uint64 {
	for _, v := range []byte(s.voters) {
		if whole, holds := s.diskState(v); whole && holds {
			return uint64(v)
		}
	}
	return 0
}

func exploreSeats(m mutation, losses uint8) (states int, violation *seatState) {
	var first []seatState
	for _, holders := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		s := seatState{losses: losses, voters: string([]byte{1, 2, 3})}
		for i := range modelFronts {
			s.disks[i].id, s.joined[i] = uint8(i+1), uint8(i+1)
		}
		s.disks[holders[0]].hasEntry, s.disks[holders[1]].hasEntry = true, true
		first = append(first, s)
	}
	seen := map[seatState]bool{}
	queue := first
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if seen[s] {
			continue
		}
		seen[s] = true
		if !s.entrySafe() {
			return len(seen), &s
		}
		queue = append(queue, s.successors(m)...)
	}
	return len(seen), nil
}

func TestSeatModel(t *testing.T) {
	n, violation := exploreSeats(noMutation, 3)
	t.Logf("%d states", n)
	if violation != nil {
		t.Errorf("the entry can be lost: %+v", *violation)
	}
	for _, m := range []mutation{reuseIncarnation, promoteEarly} {
		n, violation := exploreSeats(m, 3)
		if violation == nil {
			t.Errorf("mutation %d was not detected in %d states", m, n)
		} else {
			t.Logf("mutation %d: detected after %d states: %+v", m, n, *violation)
		}
	}
}
