package statemachine

import (
	"fmt"
	"slices"
	"testing"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
)

// The model of permits: one log, fronts that apply it late, reports that are lost,
// late and doubled, fronts that die and start anew, time that passes, and a person.
// Every order of events is played up to a bound. What must hold: never are more
// fronts truly out than the budget lets, and leave is never given beside one that is
// known to be lost or to a voter without whom there is no majority.

const modelFronts = 3

// kind of an entry.
const (
	eTime = iota
	eLost
	eFound
	eAccept
	eEmpty
	eBack
	eDone
	eJoin
)

// entry is a command of the model, small enough to be a key.
type entry struct {
	kind, front, permit, start uint8
}

// mState is one state of the model.
type mState struct {
	base   int // replica state that the one furthest behind has applied
	log    string
	off    [modelFronts]uint8
	starts [modelFronts]uint8
	up     [modelFronts]bool
	fresh  [modelFronts]uint8 // entries to apply before it acts, from the log's begin; 0: it does
	flight string             // reports on their way
	left   [4]uint8           // how often time may pass, one may die, one may be told lost, a person may speak
}

type model struct {
	t       *testing.T
	without Mutation
	states  []*Replica
	ids     map[string]int
	next    map[[2]int]int
	entries []entry
	entryID map[entry]int
	broken  string
	seats   membership.Seats
}

func newModel(t *testing.T, without Mutation) *model {
	return &model{t: t, without: without, ids: map[string]int{}, next: map[[2]int]int{}, entryID: map[entry]int{}}
}

func (m *model) intern(r *Replica) int {
	key := string(r.Snapshot())
	if id, ok := m.ids[key]; ok {
		return id
	}
	c := New()
	c.SetMutation(m.without)
	if err := c.Restore([]byte(key)); err != nil {
		m.t.Fatal(err)
	}
	m.ids[key] = len(m.states)
	m.states = append(m.states, c)
	return len(m.states) - 1
}

func (m *model) entry(e entry) byte {
	id, ok := m.entryID[e]
	if !ok {
		id = len(m.entries)
		m.entryID[e] = id
		m.entries = append(m.entries, e)
		if id > 250 {
			m.t.Fatal("too many entries")
		}
	}
	return byte(id)
}

func frontName(i uint8) string { return string('a' + rune(i)) }

// command is an entry as the log has it. The same report has the same id.
func (m *model) command(e entry) Command {
	name, id := frontName(e.front), uint64(e.front)+1
	c := Command{ID: ID{Front: id, Start: uint64(e.start) + 1, N: uint64(e.kind)<<16 | uint64(e.permit)<<8 | 1}}
	report := func(what string) Command {
		c.Reports = []Report{{Kind: what, Machine: name, Permit: uint64(e.permit), Front: name, ID: id, Start: uint64(e.start) + 1}}
		return c
	}
	switch e.kind {
	case eTime:
		return Command{Facts: &Facts{Span: 6_000_000}}
	case eLost, eFound:
		return Command{Facts: &Facts{Contacts: []Contact{{Name: name, ID: id, Lost: e.kind == eLost}}}}
	case eAccept:
		return report(Accepted)
	case eEmpty:
		return report(Drained)
	case eBack:
		return report(Returned)
	case eDone:
		return Command{Order: &Order{Action: Finish, Operation: uint64(e.front) + 1}}
	}
	return Command{Join: &Join{Front: modelFront(e.front, e.start)}}
}

func modelFront(i, start uint8) membership.Front {
	return membership.Front{Name: frontName(i), Zone: fmt.Sprintf("z%d", i), Machine: frontName(i), Address: "x", ID: uint64(i) + 1, Start: uint64(start) + 1}
}

// apply gives the replica state behind an entry, and holds every leave that comes of
// it against what is known there.
func (m *model) apply(state int, e byte) int {
	key := [2]int{state, int(e)}
	if to, ok := m.next[key]; ok {
		return to
	}
	r := New()
	r.SetMutation(m.without)
	if err := r.Restore(m.states[state].Snapshot()); err != nil {
		m.t.Fatal(err)
	}
	last := r.State().Maintenance.LastPermit
	r.Apply(m.command(m.entries[e]))
	if r.State().Maintenance.LastPermit > last {
		m.leave(r)
	}
	to := m.intern(r)
	m.next[key] = to
	return to
}

func (m *model) leave(r *Replica) {
	s := r.State()
	gone, stay := map[string]bool{}, 0
	for _, x := range s.Maintenance.Operations {
		if x.Phase == maintenance.Permitted || x.Phase.IsOut() {
			gone[x.Machine] = true
		}
	}
	for _, f := range s.Members.Fronts {
		if f.Lost {
			gone[f.Name] = true
		}
	}
	for _, f := range s.Members.Fronts {
		if s.Seats.Has(f.ID) && !gone[f.Name] {
			stay++
		}
	}
	if len(gone) > s.Maintenance.Rules.MaxOut {
		m.broken = fmt.Sprintf("leave %d makes %d out or lost, %d may be", s.Maintenance.LastPermit, len(gone), s.Maintenance.Rules.MaxOut)
	}
	if stay < membership.Majority(len(s.Seats.Voters)) {
		m.broken = fmt.Sprintf("leave %d leaves %d of %d voters", s.Maintenance.LastPermit, stay, len(s.Seats.Voters))
	}
}

// view is what a front has applied.
func (m *model) view(s *mState, i int) *Replica {
	at := s.base
	for _, e := range []byte(s.log[:s.off[i]]) {
		at = m.apply(at, e)
	}
	return m.states[at]
}

// out tells whether a front is truly out: as the program has it, by what it has applied.
func (m *model) out(s *mState, i int) bool {
	if !s.up[i] || s.fresh[i] > s.off[i] {
		return false
	}
	x := m.view(s, i).State().Maintenance.ForMachine(frontName(uint8(i)))
	return x != nil && (x.Phase == maintenance.Out || x.Phase == maintenance.Draining && x.Holder == uint64(i)+1)
}

// trim drops what all have applied.
func (m *model) trim(s mState) mState {
	low := slices.Min(s.off[:])
	for _, e := range []byte(s.log[:low]) {
		s.base = m.apply(s.base, e)
	}
	s.log = s.log[low:]
	for i := range s.off {
		s.off[i] -= low
		if s.fresh[i] = max(s.fresh[i], low) - low; s.fresh[i] <= s.off[i] {
			s.fresh[i] = 0
		}
	}
	return s
}

// steps gives all that may happen next.
func (m *model) steps(s mState, mostLog, mostFlight int) (list []mState) {
	add := func(x mState) { list = append(list, m.trim(x)) }
	commit := func(x mState, e byte) (mState, bool) {
		x.log += string([]byte{e})
		return x, len(x.log) <= mostLog
	}
	put := func(e entry) {
		if x, ok := commit(s, m.entry(e)); ok {
			switch e.kind {
			case eTime:
				x.left[0]--
			case eLost, eFound:
				x.left[2]--
			case eDone:
				x.left[3]--
			}
			add(x)
		}
	}
	if s.left[0] > 0 {
		put(entry{kind: eTime})
	}
	for i := range uint8(modelFronts) {
		if s.left[2] > 0 {
			put(entry{kind: eLost, front: i})
			if s.up[i] {
				put(entry{kind: eFound, front: i})
			}
		}
		if s.left[3] > 0 && i < 2 {
			put(entry{kind: eDone, front: i})
		}
		if !s.up[i] {
			x := s // it starts anew, and says so
			x.up[i], x.starts[i], x.fresh[i] = true, s.starts[i]+1, uint8(len(s.log))
			if x, ok := commit(x, m.entry(entry{kind: eJoin, front: i, start: x.starts[i]})); ok {
				add(x)
			}
			continue
		}
		if int(s.off[i]) < len(s.log) {
			x := s
			x.off[i]++
			add(x)
		}
		if s.left[1] > 0 {
			x := s
			x.left[1]--
			x.up[i] = false
			add(x)
		}
		if s.fresh[i] > s.off[i] || len(s.flight) >= mostFlight {
			continue
		}
		w := m.view(&s, int(i)).State().Maintenance.ForMachine(frontName(i))
		if w == nil || w.Permit == 0 {
			continue
		}
		e := entry{front: i, permit: uint8(w.Permit), start: s.starts[i]}
		switch {
		case w.Phase == maintenance.Permitted:
			e.kind = eAccept
		case w.Phase == maintenance.Draining && m.out(&s, int(i)):
			e.kind = eEmpty
		case w.Phase == maintenance.Returning && !w.Serving:
			e.kind = eBack
		default:
			continue
		}
		x := s
		b := []byte(x.flight + string([]byte{m.entry(e)}))
		slices.Sort(b)
		x.flight = string(b)
		add(x)
	}
	for k := range len(s.flight) {
		if k > 0 && s.flight[k] == s.flight[k-1] {
			continue
		}
		gone := s
		gone.flight = s.flight[:k] + s.flight[k+1:]
		add(gone)
		if x, ok := commit(gone, s.flight[k]); ok {
			add(x)
		}
		if x, ok := commit(s, s.flight[k]); ok { // it comes, and comes again
			add(x)
		}
	}
	return list
}

// play goes through all orders, and gives how many states there are.
func (m *model) play(out, mostLog, mostFlight, mostStates int, left [4]uint8) (states int) {
	r := New()
	r.SetMutation(m.without)
	rules := maintenance.DefaultRules()
	rules.MaxOut, rules.MaxZoneOut, rules.MaxFrontsPercent, rules.UnhealthyPercent, rules.AcceptTimeout, rules.WarmUp = out, 1, 100, 100, 5_000_000, 0
	r.Apply(Command{ID: ID{Front: 1, N: 1 << 40}, Found: &Found{Name: "m", Fleet: 1, Rules: rules}})
	for i := range uint8(modelFronts) {
		r.Apply(Command{Join: &Join{Front: modelFront(i, 0)}})
	}
	r.ApplySeats(membership.Seats{Voters: []uint64{1, 2, 3}})
	for i := range uint8(modelFronts) {
		r.Apply(Command{Facts: &Facts{Contacts: []Contact{{Name: frontName(i), ID: uint64(i) + 1}}}})
	}
	for i := range uint8(2) {
		r.Apply(Command{ID: ID{Front: 1, N: 1<<40 + 1 + uint64(i)}, Request: &Request{Operation: maintenance.Operation{Machine: frontName(i), Duration: 1_000_000}}})
		m.leave(r)
	}
	first := mState{base: m.intern(r), up: [modelFronts]bool{true, true, true}, left: left}
	seen := map[mState]bool{first: true}
	queue := []mState{first}
	for len(queue) > 0 && m.broken == "" && len(seen) < mostStates {
		s := queue[0]
		queue = queue[1:]
		outs := 0
		for i := range modelFronts {
			if m.out(&s, i) {
				outs++
			}
		}
		if outs > out {
			m.broken = fmt.Sprintf("%d fronts are truly out, %d may be", outs, out)
		}
		for _, x := range m.steps(s, mostLog, mostFlight) {
			if !seen[x] {
				seen[x] = true
				queue = append(queue, x)
			}
		}
	}
	if m.broken == "" && len(queue) > 0 {
		m.t.Logf("bound of %d states reached", mostStates)
	}
	return len(seen)
}

func TestModelOfPermits(t *testing.T) {
	for _, x := range []struct {
		name            string
		out             int
		mostLog, flight int
		left            [4]uint8 // time, deaths, told lost or found, a person's words
		found           []Mutation
	}{
		{"time and a person", 1, 2, 2, [4]uint8{2, 0, 0, 1}, []Mutation{DisableFence}},
		{"deaths, and who is told lost", 1, 2, 2, [4]uint8{1, 1, 1, 0}, []Mutation{DisableLostCount}},
		{"two dead or told lost", 3, 2, 1, [4]uint8{0, 1, 2, 0}, []Mutation{DisableMajority}},
	} {
		t.Run(x.name, func(t *testing.T) {
			const most = 3_000_000
			m := newModel(t, "")
			n := m.play(x.out, x.mostLog, x.flight, most, x.left)
			t.Logf("%d states, %d of replicas", n, len(m.states))
			if m.broken != "" || n >= most {
				t.Errorf("%d states: %s", n, m.broken)
			}
			for _, rule := range x.found {
				m := newModel(t, rule)
				n := m.play(x.out, x.mostLog, x.flight, most, x.left)
				t.Logf("without %s: found after %d states: %s", rule, n, m.broken)
				if m.broken == "" {
					t.Errorf("without %s nothing was found", rule)
				}
			}
		})
	}
}
