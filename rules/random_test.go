package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fuzzer feeds a router valid but arbitrary events and checks the invariants that are visible in its
// actions. It models no servers.
type fuzzer struct {
	rnd        *rand.Rand
	cfg        Settings
	r          *Router
	now        Micros
	members    map[ServerID]*seenMember
	open       map[RequestID]*seenRequest
	sends      []seenSend
	purges     map[uint64]Micros // by object, or group with the top bit set
	next       RequestID
	tamper     func(Action) Action // changes actions, to show that a broken guard is detected
	violations []string
}

type seenMember struct {
	Member
	since Micros // when the router received its state
}

type seenRequest struct {
	Request
	deadline   Micros
	attempts   []seenSend
	inFlight   int
	firstRunAt Micros
	mayHaveRun bool
}

type seenSend struct {
	at     Micros
	server ServerID
	done   bool
}

func (w *fuzzer) violation(format string, args ...any) {
	if len(w.violations) < 5 {
		w.violations = append(w.violations, fmt.Sprintf("at %d: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func newFuzzer(seed uint64, tamper func(Action) Action) *fuzzer {
	w := &fuzzer{rnd: rand.New(rand.NewPCG(seed, 7)), tamper: tamper, now: Micros(seed) * 1000003}
	s := testSettings()
	p := func() bool { return w.rnd.IntN(2) == 0 }
	s.Direct, s.Joins, s.Cancel, s.RetryAfter, s.Probes = p(), p(), p(), p(), p()
	s.ListOnRequest = w.rnd.IntN(4) == 0
	s.Siblings, s.Notes = Siblings(w.rnd.IntN(3)), Notes(w.rnd.IntN(3))
	s.Weights = Weights(w.rnd.IntN(4))
	s.MaxAttempts = 1 + w.rnd.IntN(8)
	s.Classes[0].Effect = Effect(w.rnd.IntN(2))
	s.Hedges = seed%3 > 0
	s.Classes[0].Scope, s.Classes[0].MemorySpan = Scope(w.rnd.IntN(3)), 2*second
	if p() {
		s.Flow = 0
	}
	if seed%2 == 0 { // a fleet of hundreds, where this gateway's share is less than one request
		s.Gateways, s.ZoneGates = 450, make([]int, 80)
		for zone := 1; zone < len(s.ZoneGates); zone++ {
			s.ZoneGates[zone] = w.rnd.IntN(16)
		}
	}
	w.cfg = s
	w.restart()
	return w
}

// restart replaces the router by a new one, which knows only the server list.
func (w *fuzzer) restart() {
	r, err := New(w.cfg, w.rnd.Uint64())
	if err != nil {
		panic(err)
	}
	w.r, w.open = r, map[RequestID]*seenRequest{}
	w.members, w.purges = map[ServerID]*seenMember{}, map[uint64]Micros{}
	m := testMembers()
	for _, x := range m.List {
		w.members[x.ID] = &seenMember{x, w.now}
	}
	w.step(m)
}

func (w *fuzzer) step(events ...Event) {
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			w.open[e.ID] = &seenRequest{Request: e, deadline: w.now + e.Expires}
		case Purge:
			key := e.Object
			if key == 0 {
				key = 1<<63 | uint64(e.Group)
			}
			w.purges[key] = max(w.purges[key], w.now-e.Age)
		}
	}
	for _, a := range w.r.Step(w.now, events) {
		if w.tamper != nil {
			a = w.tamper(a)
		}
		w.check(a)
	}
}

func (w *fuzzer) check(action Action) {
	final := func(id RequestID) {
		q := w.open[id]
		if q == nil {
			w.violation("final answer for a request not held")
			return
		}
		delete(w.open, id)
	}
	switch a := action.(type) {
	case Get:
		w.checkGet(a)
	case Fail:
		final(a.ID)
	case Refuse:
		if q := w.open[a.ID]; q != nil && (q.mayHaveRun || q.inFlight > 0) {
			c := w.cfg.Classes[q.Class]
			if c.Effect == Unsafe ||
				c.Effect == Keyed && (c.Scope != ScopeAll || w.now-q.firstRunAt > c.MemorySpan) {
				w.violation("a request that may have run is refused")
			}
		}
		final(a.ID)
	}
}

func (w *fuzzer) checkGet(a Get) {
	q := w.open[a.ID]
	if q == nil {
		w.violation("send for a request not held")
		return
	}
	if q.inFlight > 0 && (!w.cfg.Hedges || w.cfg.Classes[q.Class].Effect != Safe || q.inFlight > 1) {
		w.violation("%d attempts in flight at a time", q.inFlight+1)
	}
	if len(q.attempts) >= w.cfg.MaxAttempts {
		w.violation("attempt %d", len(q.attempts)+1)
	}
	if q.mayHaveRun && w.cfg.Classes[q.Class].Effect != Safe {
		w.violation("sent again though it may have run")
	}
	for _, id := range []ServerID{a.Server, a.Source} {
		m := w.members[id]
		if m == nil {
			w.violation("server %d was never listed", id)
		} else if m.State != Ready && w.now-m.since > w.cfg.DrainGrace {
			w.violation("server %d is in state %d since %d us", id, m.State, w.now-m.since)
		}
	}
	if a.Server > 100 && !w.cfg.Direct {
		w.violation("sent past the caches where that is not permitted")
	}
	if a.Join && !w.cfg.Joins {
		w.violation("joins where that is not permitted")
	}
	for _, key := range []uint64{q.Object, 1<<63 | uint64(q.Group)} {
		at, known := w.purges[key]
		if known && w.now-at < w.cfg.PurgeSettle && (a.MaxAge == 0 || a.MaxAge > max(1, w.now-at)) {
			w.violation("an age of %d for what was purged %d us ago", a.MaxAge, w.now-at)
		}
	}
	q.attempts = append(q.attempts, seenSend{at: w.now, server: a.Server})
	q.inFlight++
}

// finish ends one attempt in a random valid way.
func (w *fuzzer) finish(q *seenRequest, id RequestID) {
	for i := range q.attempts {
		if q.attempts[i].done {
			continue
		}
		t := &q.attempts[i]
		t.done = true
		q.inFlight--
		codes := []Code{OK, OK, OK, Miss, NotSent, Cancelled, ServerError, ConnectFailed, Full,
			Timeout, Reset}
		o := Outcome{ID: id, Attempt: i, Server: t.server, Code: codes[w.rnd.IntN(len(codes))],
			Note: Note(w.rnd.IntN(11)), Elapsed: w.now - t.at,
			SourceWait: Micros(w.rnd.IntN(1 << w.rnd.IntN(32)))}
		switch o.Code {
		case OK:
			o.Closed = true
			delete(w.open, id)
		case Miss, NotSent, ConnectFailed, Full:
		default:
			if !q.mayHaveRun {
				q.mayHaveRun, q.firstRunAt = true, t.at
			}
		}
		w.step(o)
		return
	}
}

func (w *fuzzer) turn() {
	w.now += Micros(w.rnd.IntN(1 << (1 + w.rnd.IntN(21))))
	for id := RequestID(1); id <= w.next; id++ { // the client's time is up
		if q := w.open[id]; q != nil && w.now >= q.deadline {
			if q.inFlight == 0 {
				w.violation("request %d is held without an attempt until its deadline", id)
			}
			delete(w.open, id)
			w.step(Expired{id})
		}
	}
	switch n := w.rnd.IntN(100); {
	case n < 45:
		w.next++
		w.step(Request{ID: w.next, Class: w.rnd.IntN(3), Object: uint64(1 + w.rnd.IntN(40)),
			Part: w.rnd.IntN(4), Group: w.rnd.IntN(5), Expires: Micros(1 + w.rnd.IntN(5_000_000)),
			Size: float64(w.rnd.IntN(1 << w.rnd.IntN(20)))})
	case n < 88:
		for id := max(1, w.next-30); id <= w.next; id++ {
			if q := w.open[id]; q != nil && q.inFlight > 0 && w.rnd.IntN(3) == 0 {
				w.finish(q, id)
				break
			}
		}
	case n < 93:
		p := Purge{Object: uint64(w.rnd.IntN(40)), Group: w.rnd.IntN(5), Age: Micros(w.rnd.IntN(300000))}
		w.step(p)
	case n < 99:
		list := testMembers().List
		x := list[w.rnd.IntN(len(list)-1)] // the origin stays
		x.State = MemberState(w.rnd.IntN(3))
		if w.rnd.IntN(2) == 0 {
			x.StartedAt = w.now
		}
		if m := w.members[x.ID]; m.State != x.State {
			w.members[x.ID] = &seenMember{x, w.now}
		}
		w.step(Members{List: []Member{x}}, Members{Failed: w.cfg.ListOnRequest})
	default:
		if w.rnd.IntN(20) == 0 {
			w.restart()
		}
		w.step(Timer{uint32(1 + w.rnd.IntN(int(w.next)+1))}, Report{Server: 1, Code: OK},
			Outcome{ID: w.next + 5, Code: OK})
	}
}

func (w *fuzzer) run(turns int) []string {
	for range turns {
		w.turn()
	}
	for name, n := range map[string]int{"objects": len(w.r.objects.young), "parts": len(w.r.parts.young),
		"purges": len(w.r.purges.young)} {
		if n > tableCap {
			w.violation("%d %s kept", n, name)
		}
	}
	return w.violations
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		for _, complaint := range newFuzzer(seed, nil).run(3000) {
			t.Errorf("seed %d: %s", seed, complaint)
		}
	}
}

// Checks that the fuzzer detects each guard that is undone in the actions.
func TestRandomEventsDetectBrokenGuards(t *testing.T) {
	get := func(change func(*Get)) func(Action) Action {
		return func(a Action) Action {
			if g, ok := a.(Get); ok {
				change(&g)
				return g
			}
			return a
		}
	}
	for name, tamper := range map[string]func(Action) Action{
		"age dropped":      get(func(g *Get) { g.MaxAge = 0 }),
		"drain forgotten":  get(func(g *Get) { g.Server = 2 }),
		"source forgotten": get(func(g *Get) { g.Source = 102 }),
		"answered twice":   get(func(g *Get) { g.ID-- }),
		"failed as refused": func(a Action) Action {
			if f, ok := a.(Fail); ok {
				return Refuse{ID: f.ID}
			}
			return a
		},
		"always joined": get(func(g *Get) { g.Join = true }),
	} {
		found := false
		for seed := uint64(1); seed <= 20 && !found; seed++ {
			found = len(newFuzzer(seed, tamper).run(1500)) > 0
		}
		if !found {
			t.Errorf("%s: not detected", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []string) {
		w := newFuzzer(11, nil)
		w.tamper = func(a Action) Action {
			all = append(all, fmt.Sprintf("%T%v", a, a))
			return a
		}
		w.run(3000)
		return all
	}
	a, b := run(), run()
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d: %s and %s", i, a[i], b[i])
		}
	}
}

func BenchmarkRequest(b *testing.B) { benchmark(b, testMembers()) }

// Uses the largest zone and list of parents of the large deployments.
func BenchmarkRequestAtSize(b *testing.B) {
	m := testMembers()
	for i := range ServerID(80) {
		m.List = append(m.List, Member{ID: 300 + i, Kind: 7, State: Ready, Weight: 16})
	}
	for i := range ServerID(9) {
		m.List = append(m.List, Member{ID: 500 + i, State: Ready, Zone: 1, Weight: 8})
	}
	benchmark(b, m)
}

func benchmark(b *testing.B, members Members) {
	r, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := 100 * second
	r.Step(now, []Event{members})
	b.ReportAllocs()
	events := make([]Event, 1)
	for i := 0; b.Loop(); i++ {
		now += milli
		events[0] = Request{ID: RequestID(i), Object: uint64(i % 5000), Size: 500, Expires: second}
		for _, a := range r.Step(now, events) {
			if g, ok := a.(Get); ok {
				events[0] = Outcome{ID: g.ID, Server: g.Server, Code: OK, Note: NoteHit, Closed: true,
					Elapsed: milli}
				r.Step(now, events)
			}
		}
	}
}
