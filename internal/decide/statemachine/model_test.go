package statemachine

import (
	"fmt"
	"slices"
	"testing"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
)

// The model of permits: one log; fronts that apply it late; reports that are lost,
// delayed and duplicated; fronts that crash and restart; time that passes; an operator.
// Every order of events is explored up to a bound. Checked: never are more fronts
// actually out than the budget allows, and no permit is given while too many are out or
// known to be lost, or to a voter without which there is no majority.

const modelFronts = 3

// The kinds of entries.
const (
	entryTime = iota
	entryLost
	entryFound
	entryAccept
	entryDrained
	entryReturned
	entryFinish
	entryJoin
)

// entry is a command of the model, small enough to be a map key.
type entry struct {
	kind, front, permit, start uint8
}

// modelState is one state of the model.
type modelState struct {
	base        int // replica state that the slowest front has applied
	log         string
	applied     [modelFronts]uint8
	starts      [modelFronts]uint8
	up          [modelFronts]bool
	replayUntil [modelFronts]uint8 // log entries to apply before it acts; 0: it may act
	inFlight    string             // reports in flight
	budget      [4]uint8           // how often time may pass, a front crash, a front be marked lost or found, an operator act
}

type model struct {
	t         *testing.T
	mutation  Mutation
	states    []*Replica
	ids       map[string]int
	next      map[[2]int]int
	entries   []entry
	entryID   map[entry]int
	violation string
	seats     membership.Seats
}

func newModel(t *testing.T, mutation Mutation) *model {
	return &model{t: t, mutation: mutation, ids: map[string]int{}, next: map[[2]int]int{}, entryID: map[entry]int{}}
}

func (m *model) intern(r *Replica) int {
	key := string(r.Snapshot())
	if id, ok := m.ids[key]; ok {
		return id
	}
	c := New()
	c.SetMutation(m.mutation)
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

// command returns the command of an entry. The same report has the same ID.
func (m *model) command(e entry) Command {
	name, id := frontName(e.front), uint64(e.front)+1
	c := Command{ID: ID{Front: id, Start: uint64(e.start) + 1, N: uint64(e.kind)<<16 | uint64(e.permit)<<8 | 1}}
	report := func(kind string) Command {
		c.Reports = []Report{{Kind: kind, Machine: name, Permit: uint64(e.permit), Front: name, ID: id, Start: uint64(e.start) + 1}}
		return c
	}
	switch e.kind {
	case entryTime:
		return Command{Facts: &Facts{Span: 6_000_000}}
	case entryLost, entryFound:
		return Command{Facts: &Facts{Contacts: []Contact{{Name: name, ID: id, Lost: e.kind == entryLost}}}}
	case entryAccept:
		return report(Accepted)
	case entryDrained:
		return report(Drained)
	case entryReturned:
		return report(Returned)
	case entryFinish:
		return Command{Order: &Order{Action: Finish, Operation: uint64(e.front) + 1}}
	}
	return Command{Join: &Join{Front: modelFront(e.front, e.start)}}
}

func modelFront(i, start uint8) membership.Front {
	return membership.Front{Name: frontName(i), Zone: fmt.Sprintf("z%d", i), Machine: frontName(i), Address: "x", ID: uint64(i) + 1, Start: uint64(start) + 1}
}

// apply returns the replica state after an entry, and checks every permit that it gives
// against that state.
func (m *model) apply(state int, e byte) int {
	key := [2]int{state, int(e)}
	if to, ok := m.next[key]; ok {
		return to
	}
	r := New()
	r.SetMutation(m.mutation)
	if err := r.Restore(m.states[state].Snapshot()); err != nil {
		m.t.Fatal(err)
	}
	last := r.State().Maintenance.LastPermit
	r.Apply(m.command(m.entries[e]))
	if r.State().Maintenance.LastPermit > last {
		m.checkPermit(r)
	}
	to := m.intern(r)
	m.next[key] = to
	return to
}

func (m *model) checkPermit(r *Replica) {
	s := r.State()
	out, staying := map[string]bool{}, 0
	for _, op := range s.Maintenance.Operations {
		if op.Phase == maintenance.Permitted || op.Phase.IsOut() {
			out[op.Machine] = true
		}
	}
	for _, f := range s.Members.Fronts {
		if f.Lost {
			out[f.Name] = true
		}
	}
	for _, f := range s.Members.Fronts {
		if s.Seats.Has(f.ID) && !out[f.Name] {
			staying++
		}
	}
	if len(out) > s.Maintenance.Rules.MaxOut {
		m.violation = fmt.Sprintf("permit %d makes %d machines out or lost, limit %d", s.Maintenance.LastPermit, len(out), s.Maintenance.Rules.MaxOut)
	}
	if staying < membership.Majority(len(s.Seats.Voters)) {
		m.violation = fmt.Sprintf("permit %d leaves %d of %d voters", s.Maintenance.LastPermit, staying, len(s.Seats.Voters))
	}
}

// view returns what a front has applied.
func (m *model) view(s *modelState, i int) *Replica {
	at := s.base
	for _, e := range []byte(s.log[:s.applied[i]]) {
		at = m.apply(at, e)
	}
	return m.states[at]
}

// out reports whether a front is actually out: as the program does it, by what the
// front has applied.
func (m *model) out(s *modelState, i int) bool {
	if !s.up[i] || s.replayUntil[i] > s.applied[i] {
		return false
	}
	op := m.view(s, i).State().Maintenance.ForMachine(frontName(uint8(i)))
	return op != nil && (op.Phase == maintenance.Out || op.Phase == maintenance.Draining && op.Holder == uint64(i)+1)
}

// trim drops the log entries that all fronts have applied.
func (m *model) trim(s modelState) modelState {
	low := slices.Min(s.applied[:])
	for _, e := range []byte(s.log[:low]) {
		s.base = m.apply(s.base, e)
	}
	s.log = s.log[low:]
	for i := range s.applied {
		s.applied[i] -= low
		if s.replayUntil[i] = max(s.replayUntil[i], low) - low; s.replayUntil[i] <= s.applied[i] {
			s.replayUntil[i] = 0
		}
	}
	return s
}

// successors returns all states that may come next.
func (m *model) successors(s modelState, maxLog, maxInFlight int) (list []modelState) {
	add := func(next modelState) { list = append(list, m.trim(next)) }
	commit := func(next modelState, e byte) (modelState, bool) {
		next.log += string([]byte{e})
		return next, len(next.log) <= maxLog
	}
	propose := func(e entry) {
		if next, ok := commit(s, m.entry(e)); ok {
			switch e.kind {
			case entryTime:
				next.budget[0]--
			case entryLost, entryFound:
				next.budget[2]--
			case entryFinish:
				next.budget[3]--
			}
			add(next)
		}
	}
	if s.budget[0] > 0 {
		propose(entry{kind: entryTime})
	}
	for i := range uint8(modelFronts) {
		if s.budget[2] > 0 {
			propose(entry{kind: entryLost, front: i})
			if s.up[i] {
				propose(entry{kind: entryFound, front: i})
			}
		}
		if s.budget[3] > 0 && i < 2 {
			propose(entry{kind: entryFinish, front: i})
		}
		if !s.up[i] {
			next := s // it restarts, and joins again
			next.up[i], next.starts[i], next.replayUntil[i] = true, s.starts[i]+1, uint8(len(s.log))
			if next, ok := commit(next, m.entry(entry{kind: entryJoin, front: i, start: next.starts[i]})); ok {
				add(next)
			}
			continue
		}
		if int(s.applied[i]) < len(s.log) {
			next := s
			next.applied[i]++
			add(next)
		}
		if s.budget[1] > 0 {
			next := s
			next.budget[1]--
			next.up[i] = false
			add(next)
		}
		if s.replayUntil[i] > s.applied[i] || len(s.inFlight) >= maxInFlight {
			continue
		}
		op := m.view(&s, int(i)).State().Maintenance.ForMachine(frontName(i))
		if op == nil || op.Permit == 0 {
			continue
		}
		e := entry{front: i, permit: uint8(op.Permit), start: s.starts[i]}
		switch {
		case op.Phase == maintenance.Permitted:
			e.kind = entryAccept
		case op.Phase == maintenance.Draining && m.out(&s, int(i)):
			e.kind = entryDrained
		case op.Phase == maintenance.Returning && !op.Serving:
			e.kind = entryReturned
		default:
			continue
		}
		next := s
		b := []byte(next.inFlight + string([]byte{m.entry(e)}))
		slices.Sort(b)
		next.inFlight = string(b)
		add(next)
	}
	for k := range len(s.inFlight) {
		if k > 0 && s.inFlight[k] == s.inFlight[k-1] {
			continue
		}
		delivered := s
		delivered.inFlight = s.inFlight[:k] + s.inFlight[k+1:]
		add(delivered)
		if next, ok := commit(delivered, s.inFlight[k]); ok {
			add(next)
		}
		if next, ok := commit(s, s.inFlight[k]); ok { // delivered, and delivered again
			add(next)
		}
	}
	return list
}

// explore visits all orders of events and returns the number of states.
func (m *model) explore(out, maxLog, maxInFlight, maxStates int, budget [4]uint8) (states int) {
	r := New()
	r.SetMutation(m.mutation)
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
		m.checkPermit(r)
	}
	first := modelState{base: m.intern(r), up: [modelFronts]bool{true, true, true}, budget: budget}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 && m.violation == "" && len(seen) < maxStates {
		s := queue[0]
		queue = queue[1:]
		outs := 0
		for i := range modelFronts {
			if m.out(&s, i) {
				outs++
			}
		}
		if outs > out {
			m.violation = fmt.Sprintf("%d fronts are actually out, limit %d", outs, out)
		}
		for _, next := range m.successors(s, maxLog, maxInFlight) {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	if m.violation == "" && len(queue) > 0 {
		m.t.Logf("limit of %d states reached", maxStates)
	}
	return len(seen)
}

func TestPermitModel(t *testing.T) {
	for _, tc := range []struct {
		name            string
		out             int
		mostLog, flight int
		left            [4]uint8 // time, crashes, marked lost or found, operator actions
		found           []Mutation
	}{
		{"time and an operator", 1, 2, 2, [4]uint8{2, 0, 0, 1}, []Mutation{DisableFence}},
		{"crashes and fronts marked lost", 1, 2, 2, [4]uint8{1, 1, 1, 0}, []Mutation{DisableLostCount}},
		{"two crashed or marked lost", 3, 2, 1, [4]uint8{0, 1, 2, 0}, []Mutation{DisableMajority}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const maxStates = 3_000_000
			m := newModel(t, "")
			n := m.explore(tc.out, tc.mostLog, tc.flight, maxStates, tc.left)
			t.Logf("%d states, %d of replicas", n, len(m.states))
			if m.violation != "" || n >= maxStates {
				t.Errorf("%d states: %s", n, m.violation)
			}
			for _, rule := range tc.found {
				m := newModel(t, rule)
				n := m.explore(tc.out, tc.mostLog, tc.flight, maxStates, tc.left)
				t.Logf("mutation %s: detected after %d states: %s", rule, n, m.violation)
				if m.violation == "" {
					t.Errorf("mutation %s was not detected", rule)
				}
			}
		})
	}
}
