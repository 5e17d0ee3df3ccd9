package rules

import (
	"testing"
)

// testSettings returns settings for a zone with caches 1 to 4, parents 101 to 103 and origin 200.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "parts", Aim: 500 * milli, AimStretch: 2, GiveUp: 5 * second, Worth: 2,
				LateWorth: 0.2, Parts: true},
			{Name: "pages", Aim: 300 * milli, AimStretch: 2, GiveUp: 3 * second, Worth: 1, LateWorth: 0.2,
				Fresh: 12 * second, Grace: 20 * second, OldWorth: 0.5},
			{Name: "order", Effect: Unsafe, Aim: 600 * milli, GiveUp: 3 * second, Worth: 3, Write: true},
		},
		Gateways: 3, Zone: 1, ZoneGates: []int{0, 2, 1}, ParentKind: 7, OriginKind: 8, Flow: 10000,
		Weights: WeightsNominal, Direct: true, Joins: true, Siblings: SiblingsLocation, Notes: NotesAll,
		Cancel: true, RetryAfter: true, MaxAttempts: 8, MaxHeld: 1000, MaxAway: second,
		ConnectTime: 400 * milli, Tick: 2 * milli, DrainGrace: second, FallMultiple: 2, FallTime: second,
		ColdFrom: 0.16, WarmUp: 16 * second, AnswerGrace: 8 * milli, PurgeGrace: 300 * milli,
		PurgeSettle: 6 * second, ParentColdFrom: 0.07, ParentWarmUp: 20 * second, ParentFallMultiple: 2,
	}
}

func testMembers() Members {
	m := Members{Full: true}
	for id := ServerID(1); id <= 4; id++ {
		m.List = append(m.List, Member{ID: id, State: Ready, Zone: 1, Weight: 8})
	}
	for id := ServerID(101); id <= 103; id++ {
		m.List = append(m.List, Member{ID: id, Kind: 7, State: Ready, Weight: 16})
	}
	m.List = append(m.List, Member{ID: 200, Kind: 8, State: Ready, Weight: 1})
	return m
}

// harness drives one router and keeps the time and the last request id.
type harness struct {
	t   *testing.T
	r   *Router
	now Micros
	id  RequestID
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, r: r, now: 100 * second}
	g.step(testMembers())
	return g
}

func (g *harness) step(events ...Event) []Action {
	return append([]Action(nil), g.r.Step(g.now, events)...)
}

// ask passes a request to the router and returns the Get for it, if any, and all actions.
func (g *harness) ask(q Request) (Get, []Action) {
	g.id++
	q.ID = g.id
	if q.Expires == 0 {
		q.Expires = 3 * second
	}
	out := g.step(q)
	for _, a := range out {
		if get, ok := a.(Get); ok && get.ID == q.ID {
			return get, out
		}
	}
	return Get{}, out
}

// answer ends the attempt of a Get after 10 ms.
func (g *harness) answer(get Get, attempt int, code Code, note Note) []Action {
	return g.step(Outcome{ID: get.ID, Attempt: attempt, Server: get.Server, Code: code, Note: note,
		Elapsed: 10 * milli, Closed: code == OK})
}

func TestFirstParentIsTheTopScoreWhateverTheHealth(t *testing.T) {
	g := newHarness(t, nil)
	for object := uint64(1); object < 200; object++ {
		first, second := g.r.topParents(object)
		get, _ := g.ask(Request{Object: object})
		if get.Source != first.ID || first == second {
			t.Fatalf("object %d: source %d, first parent %d", object, get.Source, first.ID)
		}
		g.answer(get, 0, OK, NoteOriginFetched)
	}
	before := map[uint64][2]*member{}
	for object := uint64(1); object < 200; object++ {
		a, b := g.r.topParents(object)
		before[object] = [2]*member{a, b}
	}
	failing := g.r.members[101]
	for range 20 {
		g.r.recordHealth(failing, false, 1)
	}
	if failing.ejectedUntil == 0 {
		t.Fatal("twenty failures did not eject")
	}
	for object := uint64(1); object < 200; object++ {
		a, b := g.r.topParents(object)
		if before[object] != [2]*member{a, b} {
			t.Fatalf("object %d: health changed first or runner-up", object)
		}
		get, _ := g.ask(Request{Object: object})
		want := a
		if a == failing {
			want = b
		}
		if get.Source != want.ID {
			t.Fatalf("object %d: source %d, want %d", object, get.Source, want.ID)
		}
		g.answer(get, 0, OK, NoteHit)
	}
}

func TestRunnerUpIsWarmedOncePerInterval(t *testing.T) {
	g := newHarness(t, nil)
	first, runnerUp := g.r.topParents(42)
	var sources []ServerID
	for range 12 {
		get, _ := g.ask(Request{Object: 42})
		sources = append(sources, get.Source)
		g.answer(get, 0, OK, NoteFilled)
		g.now += second
	}
	for i, s := range sources {
		want := first.ID
		if i == warmupMinHits {
			want = runnerUp.ID
		}
		if s != want {
			t.Errorf("fill %d went to %d, want %d", i, s, want)
		}
	}
}

func TestOverloadRefusesLargestFirst(t *testing.T) {
	g := newHarness(t, nil)
	taken, refused := map[float64]int{}, map[float64]int{}
	for i := range 4000 { // nothing is answered, so the caches fill up
		size := []float64{300, 12000}[i%2]
		get, out := g.ask(Request{Object: uint64(i), Size: size})
		if get.ID != 0 {
			taken[size]++
		} else if refuse, ok := out[0].(Refuse); ok && refuse.RetryAfter > 0 {
			refused[size]++
		}
	}
	if refused[12000] == 0 || taken[300] <= taken[12000] {
		t.Errorf("taken %v, refused %v: want the large refused first", taken, refused)
	}
	if refused[300] == 0 {
		t.Errorf("taken %v: even the small can't all be answered in time", taken)
	}
}
