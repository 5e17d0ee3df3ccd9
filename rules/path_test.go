package rules

import "testing"

func TestEdgeSpreadsPartsAndKeepsEachInPlace(t *testing.T) {
	g := newHarness(t, nil)
	used := map[ServerID]int{}
	for part := range 40 {
		g.now += 10 * second // so that no object is hot
		get, _ := g.ask(Request{Object: 7, Part: part})
		g.answer(get, 0, OK, NoteHit)
		for other := range 8 {
			filler, _ := g.ask(Request{Object: uint64(100 + other), Part: part})
			g.answer(filler, 0, OK, NoteHit)
		}
		again, _ := g.ask(Request{Object: 7, Part: part})
		g.answer(again, 0, OK, NoteHit)
		if get.Server != again.Server {
			t.Errorf("part %d: at %d, then at %d", part, get.Server, again.Server)
		}
		used[get.Server]++
	}
	if len(used) != 4 {
		t.Errorf("40 parts of an object on %d of 4 caches: %v", len(used), used)
	}
}

func TestHotObjectUsesTwoCaches(t *testing.T) {
	for _, hot := range []bool{true, false} {
		g := newHarness(t, nil)
		used := map[ServerID]int{}
		for i := range 60 { // nothing is answered, so the first cache gets busier
			for other := range 30 {
				if !hot {
					get, _ := g.ask(Request{Object: uint64(1000 + 30*i + other), Size: 1000})
					g.answer(get, 0, OK, NoteHit)
				}
			}
			if get, _ := g.ask(Request{Object: 7, Size: 50}); get.ID != 0 {
				used[get.Server]++
			}
		}
		if want := map[bool]int{true: 2, false: 1}[hot]; len(used) != want {
			t.Errorf("hot %v: on %d caches, want %d: %v", hot, len(used), want, used)
		}
	}
}

func TestRunnerUpTakesOverForADrainingFirst(t *testing.T) {
	g := newHarness(t, nil)
	first, runnerUp := g.r.topParents(42)
	m := first.Member
	m.State = Draining
	g.step(Members{List: []Member{m}})
	if get, _ := g.ask(Request{Object: 42}); get.Source != runnerUp.ID {
		t.Errorf("source %d, want the runner-up %d", get.Source, runnerUp.ID)
	}
	if a, b := g.r.topParents(42); a != first || b != runnerUp {
		t.Error("a drain changed the first parent or the runner-up")
	}
}

func TestListIsSubscribedToWhereRequired(t *testing.T) {
	r, err := New(func() Settings { s := testSettings(); s.ListOnRequest = true; return s }(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range []Members{testMembers(), {Failed: true}} { // at the start, and after a failure
		out := r.Step(second, []Event{e})
		if len(out) != 1 || out[0] != (Watch{}) {
			t.Errorf("%+v: got %v, want a subscription", e.Failed, out)
		}
	}
	if out := r.Step(second, []Event{testMembers()}); len(out) != 0 {
		t.Errorf("subscribed already: %v", out)
	}
}
