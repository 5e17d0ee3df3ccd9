package sites

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const second Micros = 1_000_000

func config() Config {
	return Config{Classes: []Class{{Worth: 2, InitialBytes: 200_000, InitialLatency: 100_000}, {Worth: 1, InitialBytes: 50_000, InitialLatency: 60_000}, {Write: true, Worth: 3, InitialBytes: 1000, InitialLatency: 80_000}},
		StoreLocal: true, UnhealthyBelow: 0.6, HealthyAbove: 0.9, UnhealthyAfter: 500_000, HealthyAfter: 3 * second, RampUp: 10 * second, RampDown: 10 * second, RequestRate: 500, ByteRate: 1e8, MaxHops: 2, Seed: 9}
}

func newSelector(t interface{ Fatal(...any) }, cfg Config) *Selector {
	sel, err := New(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	sel.SetLink(0, true)
	return sel
}

// day plays 60 s of 200 requests a second at a site that loses its hubs from 10 s to
// 30 s: then what is served here fails. It gives what each second had.
func playOutage(t *testing.T, sel *Selector, remoteGood func(at Micros) bool) (remote, failed [60]int) {
	t.Helper()
	for at := Micros(1); at < 60*second; at += second / 200 {
		lost := at >= 10*second && at < 30*second
		up := 2
		if lost {
			up = 0
		}
		sel.SetHubs(at, up, 2)
		v := sel.Select(at, Request{Class: int(at/5000) % 2, Object: fmt.Sprint("o", at/5000%997), Remaining: second})
		n := at / second
		switch v.Destination {
		case Remote:
			remote[n]++
			good := remoteGood(at)
			sel.RecordRemote(at, int(at/5000)%2, good, 90_000, 100_000)
			if !good {
				failed[n]++
			}
		case Local:
			sel.RecordLocal(at, !lost)
			if lost {
				failed[n]++
			}
		}
	}
	return remote, failed
}

// A site that loses its hubs sends what it can't serve across by and by, and takes it
// back by and by: it turns twice, never jumps, and ends with nothing across.
func TestFailsOverAndBack(t *testing.T) {
	sel := newSelector(t, config())
	remote, failed := playOutage(t, sel, func(Micros) bool { return true })
	if remote[9] != 0 || remote[22] < 150 || failed[25] > 60 || remote[59] != 0 || sel.state.Transitions != 2 {
		t.Errorf("%d turns; across %v; bad %v", sel.state.Transitions, remote, failed)
	}
	for i := 1; i < 60; i++ {
		if d := remote[i] - remote[i-1]; d > 30 || d < -30 {
			t.Errorf("from %d to %d in second %d", remote[i-1], remote[i], i)
		}
	}
}

// Where the other site fails too, little is sent there; and what was sent here comes
// back to nobody.
func TestBothInTrouble(t *testing.T) {
	sel := newSelector(t, config())
	remote, _ := playOutage(t, sel, func(Micros) bool { return false })
	if remote[25] > 20 {
		t.Errorf("%d a second go to a site that fails them: %v", remote[25], remote)
	}
	for _, q := range []Request{{Remaining: second, FromRemote: true}, {Remaining: second, Hops: 2}} {
		for i := range 200 {
			sel.SetHubs(61*second, 0, 2)
			q.Object = fmt.Sprint(i)
			if v := sel.Select(61*second, q); v.Destination == Remote {
				t.Fatalf("%+v goes across", q)
			}
		}
	}
}

// trouble makes a chooser all of whose objects have gone across.
func unhealthySelector(t interface{ Fatal(...any) }, cfg Config) *Selector {
	sel := newSelector(t, cfg)
	for at := Micros(0); at < 15*second; at += second / 10 {
		sel.SetHubs(at, 0, 2)
	}
	return sel
}

// Each reason for not going across holds by itself.
func TestReasons(t *testing.T) {
	now := 15 * second
	remoteStore := config()
	remoteStore.StoreLocal = false
	for name, x := range map[string]struct {
		c    *Selector
		do   func(c *Selector)
		q    Request
		want Verdict
	}{
		"a read":                      {unhealthySelector(t, config()), nil, Request{Object: "x", Remaining: second}, Verdict{Remote, LocalUnhealthy}},
		"a write, the store here":     {unhealthySelector(t, config()), nil, Request{Class: 2, Object: "x", Remaining: second}, Verdict{Local, LocalHealthy}},
		"a write, the store there":    {newSelector(t, remoteStore), nil, Request{Class: 2, Object: "x", Remaining: second}, Verdict{Remote, StoreRemote}},
		"that, no link":               {newSelector(t, remoteStore), func(c *Selector) { c.SetLink(now, false) }, Request{Class: 2, Remaining: second}, Verdict{Refused, LinkDown}},
		"that, no time":               {newSelector(t, remoteStore), nil, Request{Class: 2, Remaining: 100_000}, Verdict{Refused, DeadlineTooShort}},
		"no time, nothing here":       {unhealthySelector(t, config()), nil, Request{Object: "x", Remaining: 150_000}, Verdict{Refused, DeadlineTooShort}},
		"it came from there":          {unhealthySelector(t, config()), nil, Request{Object: "x", Remaining: second, FromRemote: true}, Verdict{Refused, LoopPrevented}},
		"no budget":                   {unhealthySelector(t, config()), func(c *Selector) { c.advance(now); c.state.RequestTokens = 0 }, Request{Object: "x", Remaining: second}, Verdict{Refused, BudgetExhausted}},
		"worth too little":            {unhealthySelector(t, config()), func(c *Selector) { c.advance(now); c.state.MinWorthPerByte = 1 }, Request{Object: "x", Remaining: second}, Verdict{Refused, BudgetExhausted}},
		"nothing is offered":          {newSelector(t, config()), func(c *Selector) { c.SetRemoteCapacity(now, 0); c.SetHubs(now, 0, 2); c.SetHubs(now+second, 0, 2) }, Request{Object: "x", Remaining: second}, Verdict{Local, LocalHealthy}},
		"a peer that offers nonsense": {unhealthySelector(t, config()), func(c *Selector) { c.SetRemoteCapacity(now, 7); c.SetRemoteCapacity(now, -1) }, Request{Object: "x", Remaining: second}, Verdict{Remote, LocalUnhealthy}},
	} {
		if x.do != nil {
			x.do(x.c)
		}
		if got := x.c.Select(now, x.q); got != x.want {
			t.Errorf("%s: got %+v, want %+v", name, got, x.want)
		}
	}
}

// Whatever happens: no more crosses than the budget has, an object that crosses at
// one share crosses at every greater one, the state stays in its bounds, and a
// chooser that goes on from a snapshot decides the same.
func TestWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.RequestRate, cfg.ByteRate = 20, 2e6
		c, now := newSelector(t, cfg), Micros(0)
		again := newSelector(t, cfg)
		crossed := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Int64Range(0, 200_000).Draw(t, "pause")
			kind, flag, class := rapid.IntRange(0, 5).Draw(t, "step"), rapid.Bool().Draw(t, "flag"), rapid.IntRange(0, 2).Draw(t, "class")
			object := fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "object"))
			took := rapid.Int64Range(1, 2_000_000).Draw(t, "took")
			step := func(c *Selector) (v Verdict) {
				switch kind {
				case 0:
					c.SetHubs(now, int(took%3), 2)
				case 1:
					c.SetLink(now, flag)
				case 2:
					c.RecordLocal(now, flag)
				case 3:
					c.RecordRemote(now, class, flag, took, float64(took))
				case 4:
					c.SetRemoteCapacity(now, float64(took)/1e6)
				default:
					v = c.Select(now, Request{Class: class, Object: object, Remaining: took})
				}
				return v
			}
			link := c.state.LinkUp
			if err := again.Restore(c.Snapshot(), now); err != nil {
				t.Fatal(err)
			}
			again.state.LinkUp = link
			a, b := step(c), step(again)
			if a != b || !reflect.DeepEqual(c.state, again.state) {
				t.Fatalf("got %+v, and %+v from the snapshot\n%+v\n%+v", a, b, c.state, again.state)
			}
			if a.Destination == Remote {
				crossed++
			}
			if float64(crossed) > cfg.RequestRate*(burstSeconds+float64(now)/1e6)+1 {
				t.Fatalf("%d crossed in %.1f s", crossed, float64(now)/1e6)
			}
			if c.state.RemoteShare < 0 || c.state.RemoteShare > 1 || c.state.RequestTokens < 0 || c.state.ByteTokens < 0 || c.Health() < 0 || c.Health() > 1 {
				t.Fatalf("%+v", c.state)
			}
			if c.assignedRemote(object) {
				share := c.state.RemoteShare
				c.state.RemoteShare = min(1, share+0.1)
				if !c.assignedRemote(object) {
					t.Fatal("it crosses at a share and not at a greater one")
				}
				c.state.RemoteShare = share
			}
		}
	})
}

// What makes no sense is refused by name.
func TestChecked(t *testing.T) {
	for _, change := range []func(c *Config){func(c *Config) { c.Classes = nil }, func(c *Config) { c.UnhealthyBelow = 0.95 }, func(c *Config) { c.RampUp = 0 },
		func(c *Config) { c.ByteRate = 0 }, func(c *Config) { c.Classes[0].InitialLatency = 0 }} {
		cfg := config()
		change(&cfg)
		if _, err := New(cfg, 0); err == nil {
			t.Errorf("%+v is taken", cfg)
		}
	}
	if newSelector(t, config()).Restore(State{}, 0) == nil {
		t.Error("a state of no classes is taken")
	}
}

// BenchmarkChoose is a decision while half of the objects cross.
func BenchmarkChoose(b *testing.B) {
	sel := unhealthySelector(b, config())
	for i := range b.N {
		sel.Select(Micros(i), Request{Object: "9f3a17c2", Remaining: second})
	}
}
