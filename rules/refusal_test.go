package rules

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// The next tests guard against a gateway with nothing in flight that refuses request after request for
// seconds, though all servers answer in milliseconds. One slow answer, or one "full", of one server counted
// at once as the pace of its whole tier. By that pace no request fitted its aim, so none was sent, and
// nothing but decay corrected the estimate. The log showed "request refused" with reason="server slow",
// in_flight=0, slow=3 (the constant for one "full") or 1.09 to 2.77 (one slow answer), and expected_us
// above left_us.

// shortAims makes the aims of all classes independent of the work.
func shortAims(s *Settings) {
	for i := range s.Classes {
		s.Classes[i].AimStretch = 0
	}
}

// askAlone makes requests for new objects, one at a time, and counts those refused.
func (g *harness) askAlone(n int) (refused int) {
	for i := range n {
		get, _ := g.ask(Request{Object: uint64(1000 + i)})
		if get.ID == 0 {
			refused++
			continue
		}
		g.now += 10 * milli
		g.answer(get, 0, OK, NoteHit)
	}
	return refused
}

func TestOneSlowAnswerRefusesNothing(t *testing.T) {
	g := newHarness(t, shortAims)
	for _, spent := range []Micros{20 * milli, 300 * milli} {
		get, _ := g.ask(Request{Object: 5})
		g.now += spent
		g.step(Outcome{ID: get.ID, Server: get.Server, Code: OK, Note: NoteHit, Elapsed: spent, Closed: true})
		g.now += 10 * second
	}
	g.now -= 10 * second
	if refused := g.askAlone(50); refused > 0 {
		t.Errorf("%d of 50 requests alone on the gateway were refused", refused)
	}
}

func TestOneFullServerRefusesNothing(t *testing.T) {
	g := newHarness(t, shortAims)
	get, _ := g.ask(Request{Object: 5})
	for n := 0; get.ID != 0; n++ { // the next server is not full
		code := Full
		if n > 0 {
			code = OK
		}
		next := gets(g.answer(get, n, code, NoteNone))
		if n == 0 && len(next) == 0 {
			t.Fatal("the request is refused because of one full server")
		}
		if get = (Get{}); len(next) > 0 {
			get = next[0]
		}
	}
	if refused := g.askAlone(50); refused > 0 {
		t.Errorf("%d of 50 requests alone on the gateway were refused", refused)
	}
}

// Whatever was learnt before, a read that is alone on the gateway is sent, to test an estimate that would
// refuse it.
func TestLoneReadIsAlwaysSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newHarness(t, shortAims)
		outcomes := []Code{OK, OK, Miss, ServerError, Full, Timeout, Reset}
		for range rapid.IntRange(1, 40).Draw(rt, "requests") {
			g.now += Micros(rapid.IntRange(0, 3000).Draw(rt, "pause, ms")) * milli
			get, _ := g.ask(Request{Class: rapid.IntRange(0, 1).Draw(rt, "class"),
				Object: uint64(rapid.IntRange(1, 6).Draw(rt, "object"))})
			if get.ID == 0 {
				rt.Fatal("a read alone on the gateway was not sent")
			}
			spent := Micros(rapid.IntRange(1, 2000).Draw(rt, "spent, ms")) * milli
			g.now += spent
			g.step(Outcome{ID: get.ID, Server: get.Server, Code: rapid.SampledFrom(outcomes).Draw(rt, "code"),
				Note:    Note(rapid.IntRange(0, int(NoteOriginFailed)).Draw(rt, "note")),
				Elapsed: spent, Closed: true})
		}
	})
}

// Servers that are slow for everyone are still spared: besides the one request that tests them, requests
// that would be late are refused, and they are sent again soon after answers come in time.
func TestSlowServersAreTestedByOneRequestAtATime(t *testing.T) {
	g := newHarness(t, shortAims)
	for i := range 40 {
		get, _ := g.ask(Request{Object: 5})
		if get.ID == 0 {
			t.Fatalf("request %d alone was not sent", i)
		}
		spent := 20 * milli
		if i >= 10 {
			spent = 450 * milli
		}
		g.now += spent
		g.step(Outcome{ID: get.ID, Server: get.Server, Code: OK, Note: NoteHit, Elapsed: spent, Closed: true})
	}
	var out []Get
	for i := range 20 {
		if get, _ := g.ask(Request{Object: uint64(2000 + i)}); get.ID != 0 {
			out = append(out, get)
		}
	}
	if len(out) != 1 {
		t.Errorf("%d of 20 requests at once went to servers that are all slow, want 1", len(out))
	}
	for range 10 {
		for _, get := range out {
			g.answer(get, 0, OK, NoteHit)
		}
		out = out[:0]
		g.now += 10 * milli
		for range 5 {
			if get, _ := g.ask(Request{Object: 5}); get.ID != 0 {
				out = append(out, get)
			}
		}
	}
	if len(out) != 5 {
		t.Errorf("after 10 rounds of quick answers %d of 5 requests at once are sent", len(out))
	}
}

// Of many requests at once, after one slow or full answer of a server, only requests to that server may
// be refused: the answer says nothing of other servers.
func TestOneSlowServerDoesNotRefuseForOthers(t *testing.T) {
	for name, code := range map[string]Code{"slow": OK, "full": Full} {
		g := newHarness(t, shortAims)
		get, _ := g.ask(Request{Object: 5})
		g.answer(get, 0, OK, NoteHit)
		g.now += 10 * second
		get, _ = g.ask(Request{Object: 5})
		g.now += 300 * milli
		g.step(Outcome{ID: get.ID, Server: get.Server, Code: code, Note: NoteHit, Elapsed: 300 * milli,
			Closed: true})
		for i := range 40 {
			_, out := g.ask(Request{Object: uint64(1000 + i)})
			for _, a := range out {
				if refused, ok := a.(Refuse); ok && refused.Cause.Server != get.Server {
					t.Errorf("%s: refused by the estimate of %d, though only %d answered: %+v", name,
						refused.Cause.Server, get.Server, refused.Cause)
				}
			}
		}
	}
}

// Guards against short requests being refused for the first tens of requests of a class, though answers
// take milliseconds. The initial estimate of a class's work is half its aim, and each answer corrected
// only a twentieth of it. The log showed "request refused" with slow=0 and expected_us=38430 where
// answers took 3 to 7 ms.
func TestFirstAnswersOfAClassSetItsWork(t *testing.T) {
	g := newHarness(t, shortAims)
	for i := range 10 {
		get, _ := g.ask(Request{Object: uint64(i)})
		g.now += 5 * milli
		g.step(Outcome{ID: get.ID, Server: get.Server, Code: OK, Note: NoteHit, Elapsed: 5 * milli,
			Closed: true})
	}
	for i := range 4 { // at once, so that none is alone on the gateway
		if get, out := g.ask(Request{Object: uint64(100 + i), Expires: 60 * milli}); get.ID == 0 {
			t.Errorf("a request with 60 ms left is refused, answers take 5 ms: %+v", out)
		}
	}
}
