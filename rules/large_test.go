package rules

import (
	"math"
	"strings"
	"testing"
)

// Fleets of hundreds of gateways, where the even share of a cache is less than one transfer each.

// Incident i4d691e: requests to idle caches were refused because one request was more than the
// gateway's even share.
func TestIdleCacheOfManyGatewaysTakesALargePart(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Gateways, s.ZoneGates = 450, []int{0, 15, 435} })
	if get, out := g.ask(Request{Object: 7, Size: 20000}); get.ID == 0 {
		t.Errorf("idle cache: %v, want the part sent", out)
	}
}

// A cache that refuses requests counts as full, however few this gateway has there. Requests with short
// aims are not sent until that estimate has decayed.
func TestFullCacheIsSpared(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Gateways, s.ZoneGates = 450, []int{0, 15, 435} })
	get, _ := g.ask(Request{Object: 7, Size: 12000})
	full := g.r.members[get.Server]
	g.answer(get, 0, Full, NoteNone)
	q := &request{class: &g.r.cfg.Classes[0], receivedAt: g.now, deadline: g.now + 5*second, work: 1.2e6}
	if g.r.fitsAim(full, q) {
		t.Error("a cache that just refused counts as having capacity")
	}
	g.now += 20 * second
	q.receivedAt, q.deadline = g.now, g.now+5*second
	if !g.r.fitsAim(full, q) {
		t.Error("20 s later it still counts as having none")
	}
}

// Incident i4d691e, deployments: with hundreds of gateways the bucket of a cold member holds less than
// one request each. It must get some work, but from all together no more than it can bear.
func TestColdMemberOfManyGateways(t *testing.T) {
	const gateways = 15
	var work, most float64
	for seed := range uint64(gateways) {
		s := testSettings()
		s.Gateways, s.ZoneGates = 450, []int{0, gateways, 435}
		r, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * second
		r.Step(now, []Event{testMembers()})
		r.Step(now, []Event{Members{List: []Member{
			{ID: 2, State: Ready, Zone: 1, Weight: 8, StartedAt: now}}}})
		most = s.FallMultiple * s.ColdFrom * 8 * float64(4*second)
		for id := RequestID(1); id < 400; id++ {
			q := Request{ID: id, Object: mix(uint64(id) + seed*1000), Size: 2500, Expires: second}
			for _, get := range gets(r.Step(now, []Event{q})) {
				if get.Server == 2 {
					work += r.meanWork[0]
				}
				r.Step(now, []Event{Outcome{ID: id, Server: get.Server, Code: OK, Note: NoteHit,
					Elapsed: 250 * milli, Closed: true}})
			}
			now += 10 * milli
		}
	}
	if work == 0 || work > most {
		t.Errorf("a cold cache got %.0f us of work in 4 s, want some and at most %.0f", work, most)
	}
}

// The pace of a tier stands in for that of a member without recent samples.
func TestUnseenParentHasThePaceOfItsTier(t *testing.T) {
	g := newHarness(t, nil)
	for range 20 {
		g.r.recordPace(g.r.members[101], 2e6, 5, 1)
	}
	if p := g.r.paceOf(g.r.members[102]); p.wait < 1e6 || p.slowdown < 2 {
		t.Errorf("parent 102: %+v, want about the pace seen at 101", p)
	}
	g.now += 20 * second
	g.step()
	if p := g.r.paceOf(g.r.members[102]); p.wait > 1e4 {
		t.Errorf("20 s later: %+v, want it forgotten", p)
	}
}

// An origin that refuses fetches is asked for fewer of them, and later for all again.
func TestRefusingOriginIsAskedForLess(t *testing.T) {
	g := newHarness(t, nil)
	held := func() (n int) {
		for range 200 {
			if get, _ := g.ask(Request{Object: mix(uint64(g.id)), Size: 100}); get.HeldOnly {
				n++
			}
		}
		return n
	}
	if n := held(); n != 0 {
		t.Fatalf("%d of 200 fills must not ask a healthy origin", n)
	}
	for range 10 {
		get, _ := g.ask(Request{Object: mix(uint64(g.id)), Size: 100})
		g.answer(get, 0, Full, NoteOriginFailed)
		g.now += 110 * milli
	}
	if n := held(); n < 60 {
		t.Errorf("only %d of 200 fills don't ask an origin that refuses", n)
	}
	g.now += 30 * second
	if n := held(); n > 5 {
		t.Errorf("30 s later %d of 200 fills still don't ask it", n)
	}
}

// After the origin failed a request, its next attempt asks only for what the parent holds.
func TestRequestFailedByOriginDoesNotAskItAgain(t *testing.T) {
	g := newHarness(t, nil)
	get, _ := g.ask(Request{Object: 77, Size: 100})
	again := gets(g.answer(get, 0, Full, NoteOriginFailed))
	if len(again) != 1 || !again[0].HeldOnly {
		t.Errorf("after the origin failed it: %+v, want one attempt that asks for what is held", again)
	}
}

// A cache slower than its peers loses some of its keys, not all, and gets them back.
func TestSlowCacheKeepsKeysByItsPace(t *testing.T) {
	g := newHarness(t, nil)
	keys := func() (n int) {
		for u := range 100 {
			if g.r.usable(g.r.members[1], &request{class: &g.r.cfg.Classes[0]}, float64(u)/100) {
				n++
			}
		}
		return n
	}
	for range 40 {
		for id := ServerID(1); id <= 4; id++ {
			g.r.recordPace(g.r.members[id], 0, map[bool]float64{true: 9, false: 0}[id == 1], 1)
		}
	}
	if n := keys(); n > 70 || n < 5 {
		t.Errorf("ten times slower than its peers: %d%% of its keys stay", n)
	}
	g.now += 60 * second
	g.step()
	if n := keys(); n != 100 {
		t.Errorf("a minute later: %d%%", n)
	}
}

// Incident ib27e0f: a third of the answers never came. Once that is measured, attempts time out early
// enough for a second one at the same cache, which has the copy.
func TestLostAnswersGetATimeoutAndASecondTry(t *testing.T) {
	g := newHarness(t, nil)
	if get, _ := g.ask(Request{Object: 9, Size: 1000}); get.Timeout != 0 {
		t.Fatalf("no answers lost: timeout %d", get.Timeout)
	}
	for i := range 60 {
		get, _ := g.ask(Request{Object: 9, Size: 1000, Expires: 5 * second})
		if i%3 == 0 {
			g.step(Outcome{ID: get.ID, Server: get.Server, Code: Timeout, Elapsed: 5 * second, Closed: true})
		} else {
			g.step(Outcome{ID: get.ID, Server: get.Server, Code: OK, Note: NoteHit,
				Elapsed: 100 * milli, Closed: true})
		}
	}
	get, _ := g.ask(Request{Object: 9, Size: 1000, Expires: 5 * second})
	if get.Timeout < 150*milli || get.Timeout > 700*milli {
		t.Fatalf("answers lost: timeout %d us, want it to leave time within the aim", get.Timeout)
	}
	g.now += get.Timeout
	again := gets(g.step(Outcome{ID: get.ID, Server: get.Server, Code: Timeout, Elapsed: get.Timeout}))
	if len(again) != 1 || again[0].Server != get.Server {
		t.Errorf("after the timeout: %+v, want the same cache once more", again)
	}
}

func TestInvalidSettingIsNamed(t *testing.T) {
	for key, change := range map[string]func(*Settings){
		"Gateways":              func(s *Settings) { s.Gateways = -1 },
		"ZoneGates[1]":          func(s *Settings) { s.ZoneGates = []int{0, -2} },
		"MaxAttempts":           func(s *Settings) { s.MaxAttempts = -8 },
		"Weights":               func(s *Settings) { s.Weights = 9 },
		"Siblings":              func(s *Settings) { s.Siblings = 3 },
		"Classes[0].Scope":      func(s *Settings) { s.Classes[0].Scope = 7 },
		"Classes[1].OldWorth":   func(s *Settings) { s.Classes[1].OldWorth = 1.5 },
		"Classes[0].Worth":      func(s *Settings) { s.Classes[0].Worth = math.Inf(1) },
		"ColdFrom":              func(s *Settings) { s.ColdFrom = math.NaN() },
		"ParentColdFrom":        func(s *Settings) { s.ParentColdFrom = 1.1 },
		"FallMultiple":          func(s *Settings) { s.FallMultiple = -1 },
		"ZoneLink[0]":           func(s *Settings) { s.ZoneLink = []float64{math.NaN()} },
		"Classes[2].AimStretch": func(s *Settings) { s.Classes[2].AimStretch = math.Inf(-1) },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v, want an error that names it", key, err)
		}
	}
}

// Zero or unknown counts, a zone without gateways and thousands of members must not cause refusals.
func TestZeroCountsAndThousandsOfMembers(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no gateways":              func(s *Settings) { s.Gateways, s.ZoneGates = 0, nil },
		"zone without gateways":    func(s *Settings) { s.ZoneGates = []int{0, 0, 450} },
		"short list of zone sizes": func(s *Settings) { s.ZoneGates = []int{1} },
	} {
		g := newHarness(t, change)
		m := testMembers()
		for id := ServerID(1000); id < 4000; id++ {
			one := Member{ID: id, State: Ready, Zone: int(id % 300), Weight: float64(id % 3)}
			m.List = append(m.List, one)
		}
		g.step(m)
		sent := 0
		for i := range 200 {
			get, _ := g.ask(Request{Object: uint64(i), Size: 500})
			if get.ID != 0 {
				sent++
				g.answer(get, 0, OK, NoteFilled)
			}
			g.now += milli
		}
		if sent != 200 {
			t.Errorf("%s: %d of 200 requests sent to idle caches", name, sent)
		}
		g.step(testMembers())
		if n := len(g.r.members); n != len(testMembers().List) {
			t.Errorf("%s: %d members remembered after they were gone", name, n)
		}
	}
}

// A timeout is a sample from the time when its attempt was sent. Where samples are rare, a late one must
// not exclude a source that has recovered since.
func TestOldTimeoutsCountLess(t *testing.T) {
	slow := func(spent Micros) float64 {
		g := newHarness(t, nil)
		get, _ := g.ask(Request{Object: 77, Size: 2000, Expires: 6 * second})
		g.now += spent
		g.step(Outcome{ID: get.ID, Server: get.Server, Code: Timeout, Elapsed: spent, Closed: true})
		return g.r.paceOf(g.r.origin).slowdown
	}
	if fresh, old := slow(second), slow(6*second); fresh <= 0 || old >= fresh {
		t.Errorf("after 1 s the origin counts as %.2f slower, after 6 s as %.2f", fresh, old)
	}
}

// Guards against fills that are limited because the origin refuses writes: that limit is on direct
// calls, and fills through parents report their own refusals.
func TestRefusedWritesDoNotLimitFills(t *testing.T) {
	g := newHarness(t, nil)
	for range 20 {
		get, _ := g.ask(Request{Class: 2, Object: mix(uint64(g.id))})
		if get.Server != 200 {
			t.Fatalf("a write went to %d", get.Server)
		}
		g.answer(get, 0, Full, NoteNone)
		g.now += 110 * milli
	}
	for range 200 {
		get, _ := g.ask(Request{Object: mix(uint64(g.id)), Size: 100})
		if get.HeldOnly || get.Source == get.Server {
			t.Fatalf("a fill may not ask the origin: %+v", get)
		}
		g.answer(get, 0, OK, NoteOriginFetched)
	}
}

// Guards against two attempts of one request in flight together where the settings allow neither hedges
// nor cancels: one that timed out early would still run at its server. Its timeout is the client's.
func TestNoEarlyTimeoutWithoutCancelOrHedges(t *testing.T) {
	for _, x := range []struct{ cancel, hedges, early bool }{{false, false, false}, {true, false, true},
		{false, true, true}, {true, true, true}} {
		g := newHarness(t, func(s *Settings) { s.Cancel, s.Hedges = x.cancel, x.hedges })
		home, _ := g.ask(Request{Object: 9, Size: 1000})
		for i := range 60 { // answers get lost
			get, _ := g.ask(Request{Object: 9, Size: 1000, Expires: 5 * second})
			code, note := OK, NoteHit
			if i%3 == 0 {
				code, note = Timeout, NoteNone
			}
			g.step(Outcome{ID: get.ID, Server: get.Server, Code: code, Note: note, Elapsed: 100 * milli,
				Closed: true})
		}
		if get, _ := g.ask(Request{Object: 9, Size: 1000,
			Expires: 5 * second}); (get.Timeout > 0) != x.early {
			t.Errorf("%+v: timeout %d where answers get lost", x, get.Timeout)
		}
		m := g.r.members[home.Server]
		m.ejectedUntil, m.backoff, m.trialOut, g.r.lostShare = 1, second, false, 0 // its ejection is over
		get, _ := g.ask(Request{Object: 9, Size: 1000, Expires: 5 * second})
		if (get.Timeout > 0) != x.early || get.Server != m.ID {
			t.Errorf("%+v: timeout %d of a trial at %d", x, get.Timeout, get.Server)
		}
	}
}

// Guards against an origin that gets requests until it stops: where it refuses fills, its refusals of
// writes count as overload too.
func TestRefusedWritesLimitFillsWhereFillsAreRefused(t *testing.T) {
	held := func(code Code) (n int) {
		g := newHarness(t, nil)
		for i := range 20 {
			if i < 2 {
				get, _ := g.ask(Request{Object: mix(uint64(g.id)), Size: 100})
				g.answer(get, 0, Full, NoteOriginFailed)
				g.now += 110 * milli
			}
			get, _ := g.ask(Request{Class: 2, Object: mix(uint64(g.id))})
			g.answer(get, 0, code, NoteNone)
			g.now += 110 * milli
		}
		for range 200 {
			get, _ := g.ask(Request{Object: mix(uint64(g.id)), Size: 100})
			if get.HeldOnly {
				n++
			}
			g.answer(get, 0, Miss, NoteSourceMiss)
		}
		return n
	}
	if served, refused := held(OK), held(Full); refused <= served {
		t.Errorf("%d of 200 fills are held where writes are refused, %d where they run", refused, served)
	}
}

// Guards against writes that go to the origin directly again and again where a limit refuses such calls:
// the retry goes through a parent. A write that may have run is not retried.
func TestRefusedWriteGoesThroughAParent(t *testing.T) {
	g := newHarness(t, nil)
	for code, want := range map[Code]bool{Full: true, Miss: true, ConnectFailed: true, ServerError: false} {
		first, _ := g.ask(Request{Class: 2, Object: mix(uint64(g.id))})
		if first.Server != 200 || first.Source != 200 {
			t.Fatalf("a write went to %+v first", first)
		}
		again := gets(g.answer(first, 0, code, NoteNone))
		if len(again) > 0 != want {
			t.Fatalf("after %v: %+v", code, again)
		}
		for _, x := range again {
			if m := g.r.members[x.Server]; m.tier != tierParent || x.Source != 200 {
				t.Errorf("after %v it went to %+v", code, x)
			}
		}
		g.now += 2 * second
	}
}

// Covers deployments whose origin has no parent, or no usable one.
func TestRefusedWriteWithoutAParent(t *testing.T) {
	g := newHarness(t, nil)
	for id, m := range g.r.members {
		if m.tier == tierParent {
			m.State = Draining
			g.r.members[id] = m
		}
	}
	first, _ := g.ask(Request{Class: 2, Object: mix(uint64(g.id))})
	for _, x := range gets(g.answer(first, 0, Full, NoteNone)) {
		if x.Server != 200 {
			t.Errorf("it went to %+v", x)
		}
	}
}
