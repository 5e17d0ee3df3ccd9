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

// playOutage plays 60 s of 200 requests a second at a site that loses its hubs from
// 10 s to 30 s, when requests served locally fail. It counts the forwarded and the
// failed requests of each second.
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

// Guards against an abrupt failover: a site that loses its hubs forwards gradually
// what it can't serve, and takes it back gradually, with two transitions and nothing
// forwarded in the end.
func TestFailsOverAndBack(t *testing.T) {
	sel := newSelector(t, config())
	remote, failed := playOutage(t, sel, func(Micros) bool { return true })
	if remote[9] != 0 || remote[22] < 150 || failed[25] > 60 || remote[59] != 0 || sel.state.Transitions != 2 {
		t.Errorf("%d transitions; forwarded %v; failed %v", sel.state.Transitions, remote, failed)
	}
	for i := 1; i < 60; i++ {
		if d := remote[i] - remote[i-1]; d > 30 || d < -30 {
			t.Errorf("forwarded requests jump from %d to %d in second %d", remote[i-1], remote[i], i)
		}
	}
}

// Guards against load sent to a remote site that fails too, and against forwarding
// loops: little is sent there, and a request that came from it is not sent back.
func TestBothSitesUnhealthy(t *testing.T) {
	sel := newSelector(t, config())
	remote, _ := playOutage(t, sel, func(Micros) bool { return false })
	if remote[25] > 20 {
		t.Errorf("%d requests a second are forwarded to a failing site: %v", remote[25], remote)
	}
	for _, q := range []Request{{Remaining: second, FromRemote: true}, {Remaining: second, Hops: 2}} {
		for i := range 200 {
			sel.SetHubs(61*second, 0, 2)
			q.Object = fmt.Sprint(i)
			if v := sel.Select(61*second, q); v.Destination == Remote {
				t.Fatalf("%+v is forwarded", q)
			}
		}
	}
}

// unhealthySelector returns a selector that forwards all objects.
func unhealthySelector(t interface{ Fatal(...any) }, cfg Config) *Selector {
	sel := newSelector(t, cfg)
	for at := Micros(0); at < 15*second; at += second / 10 {
		sel.SetHubs(at, 0, 2)
	}
	return sel
}

// Each reason leads to its verdict by itself.
func TestReasons(t *testing.T) {
	now := 15 * second
	remoteStore := config()
	remoteStore.StoreLocal = false
	for name, x := range map[string]struct {
		sel  *Selector
		do   func(sel *Selector)
		q    Request
		want Verdict
	}{
		"read":                           {unhealthySelector(t, config()), nil, Request{Object: "x", Remaining: second}, Verdict{Remote, LocalUnhealthy}},
		"write, local store":             {unhealthySelector(t, config()), nil, Request{Class: 2, Object: "x", Remaining: second}, Verdict{Local, LocalHealthy}},
		"write, remote store":            {newSelector(t, remoteStore), nil, Request{Class: 2, Object: "x", Remaining: second}, Verdict{Remote, StoreRemote}},
		"write, remote store, link down": {newSelector(t, remoteStore), func(sel *Selector) { sel.SetLink(now, false) }, Request{Class: 2, Remaining: second}, Verdict{Refused, LinkDown}},
		"write, remote store, no time":   {newSelector(t, remoteStore), nil, Request{Class: 2, Remaining: 100_000}, Verdict{Refused, DeadlineTooShort}},
		"read, no time, no local hubs":   {unhealthySelector(t, config()), nil, Request{Object: "x", Remaining: 150_000}, Verdict{Refused, DeadlineTooShort}},
		"read from the remote site":      {unhealthySelector(t, config()), nil, Request{Object: "x", Remaining: second, FromRemote: true}, Verdict{Refused, LoopPrevented}},
		"no budget":                      {unhealthySelector(t, config()), func(sel *Selector) { sel.advance(now); sel.state.RequestTokens = 0 }, Request{Object: "x", Remaining: second}, Verdict{Refused, BudgetExhausted}},
		"worth too low":                  {unhealthySelector(t, config()), func(sel *Selector) { sel.advance(now); sel.state.MinWorthPerByte = 1 }, Request{Object: "x", Remaining: second}, Verdict{Refused, BudgetExhausted}},
		"no remote capacity": {newSelector(t, config()), func(sel *Selector) {
			sel.SetRemoteCapacity(now, 0)
			sel.SetHubs(now, 0, 2)
			sel.SetHubs(now+second, 0, 2)
		}, Request{Object: "x", Remaining: second}, Verdict{Local, LocalHealthy}},
		"invalid remote capacity": {unhealthySelector(t, config()), func(sel *Selector) { sel.SetRemoteCapacity(now, 7); sel.SetRemoteCapacity(now, -1) }, Request{Object: "x", Remaining: second}, Verdict{Remote, LocalUnhealthy}},
	} {
		if x.do != nil {
			x.do(x.sel)
		}
		if got := x.sel.Select(now, x.q); got != x.want {
			t.Errorf("%s: got %+v, want %+v", name, got, x.want)
		}
	}
}

// For any sequence of events: no more is forwarded than the budget allows, an object
// forwarded at one share is forwarded at every greater one, the state stays in its
// bounds, and a selector restored from a snapshot decides the same.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.RequestRate, cfg.ByteRate = 20, 2e6
		sel, now := newSelector(t, cfg), Micros(0)
		restored := newSelector(t, cfg)
		forwarded := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Int64Range(0, 200_000).Draw(t, "pause")
			kind, flag, class := rapid.IntRange(0, 5).Draw(t, "step"), rapid.Bool().Draw(t, "flag"), rapid.IntRange(0, 2).Draw(t, "class")
			object := fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "object"))
			took := rapid.Int64Range(1, 2_000_000).Draw(t, "took")
			step := func(sel *Selector) (v Verdict) {
				switch kind {
				case 0:
					sel.SetHubs(now, int(took%3), 2)
				case 1:
					sel.SetLink(now, flag)
				case 2:
					sel.RecordLocal(now, flag)
				case 3:
					sel.RecordRemote(now, class, flag, took, float64(took))
				case 4:
					sel.SetRemoteCapacity(now, float64(took)/1e6)
				default:
					v = sel.Select(now, Request{Class: class, Object: object, Remaining: took})
				}
				return v
			}
			link := sel.state.LinkUp
			if err := restored.Restore(sel.Snapshot(), now); err != nil {
				t.Fatal(err)
			}
			restored.state.LinkUp = link
			a, b := step(sel), step(restored)
			if a != b || !reflect.DeepEqual(sel.state, restored.state) {
				t.Fatalf("got %+v, and %+v from the snapshot\n%+v\n%+v", a, b, sel.state, restored.state)
			}
			if a.Destination == Remote {
				forwarded++
			}
			if float64(forwarded) > cfg.RequestRate*(burstSeconds+float64(now)/1e6)+1 {
				t.Fatalf("%d requests forwarded in %.1f s", forwarded, float64(now)/1e6)
			}
			if sel.state.RemoteShare < 0 || sel.state.RemoteShare > 1 || sel.state.RequestTokens < 0 || sel.state.ByteTokens < 0 || sel.Health() < 0 || sel.Health() > 1 {
				t.Fatalf("%+v", sel.state)
			}
			if sel.assignedRemote(object) {
				share := sel.state.RemoteShare
				sel.state.RemoteShare = min(1, share+0.1)
				if !sel.assignedRemote(object) {
					t.Fatal("an object is forwarded at a share and not at a greater one")
				}
				sel.state.RemoteShare = share
			}
		}
	})
}

// Invalid configurations and snapshots are refused.
func TestCheck(t *testing.T) {
	for _, change := range []func(c *Config){func(c *Config) { c.Classes = nil }, func(c *Config) { c.UnhealthyBelow = 0.95 }, func(c *Config) { c.RampUp = 0 },
		func(c *Config) { c.ByteRate = 0 }, func(c *Config) { c.Classes[0].InitialLatency = 0 }} {
		cfg := config()
		change(&cfg)
		if _, err := New(cfg, 0); err == nil {
			t.Errorf("no error for %+v", cfg)
		}
	}
	if newSelector(t, config()).Restore(State{}, 0) == nil {
		t.Error("a snapshot of no classes is accepted")
	}
}

// BenchmarkSelect measures a decision while the site is unhealthy.
func BenchmarkSelect(b *testing.B) {
	sel := unhealthySelector(b, config())
	for i := range b.N {
		sel.Select(Micros(i), Request{Object: "9f3a17c2", Remaining: second})
	}
}
