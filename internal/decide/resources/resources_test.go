package resources

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// The counts add up, the limits hold, and the table keeps no prefix without connections.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{MaxConns: rapid.IntRange(1, 50).Draw(t, "places"), MaxPerPrefix: rapid.IntRange(0, 5).Draw(t, "prefix")}
		a := New(l, nil)
		var in []netip.Prefix
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "leave") && len(in) > 0 {
				i := rapid.IntRange(0, len(in)-1).Draw(t, "who")
				a.Release(in[i])
				in = append(in[:i], in[i+1:]...)
				continue
			}
			p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(rapid.IntRange(0, 4).Draw(t, "from")), 0}), 24)
			same := 0
			for _, x := range in {
				if x == p {
					same++
				}
			}
			want := len(in) < l.MaxConns && (l.MaxPerPrefix == 0 || same < l.MaxPerPrefix)
			if a.Acquire(p) != want {
				t.Fatalf("accepted: %v, with %d held and %d of the same prefix", !want, len(in), same)
			}
			if want {
				in = append(in, p)
			}
		}
		if a.Held() != len(in) {
			t.Fatalf("%d held, want %d", a.Held(), len(in))
		}
		for _, p := range in {
			a.Release(p)
		}
		if a.Held() != 0 || a.Prefixes() != 0 {
			t.Fatalf("%d and %d prefixes left", a.Held(), a.Prefixes())
		}
	})
}

// Idle timeouts shrink without steps as connections fill up, never grow, and never
// fall below a sixteenth.
func TestIdleShrinksSmoothly(t *testing.T) {
	a, last := New(Limits{MaxConns: 1000}, nil), Micros(1_000_000)
	for i := range 1000 {
		got := a.IdleTimeout(1_000_000)
		if got > last || last-got > 2000 || got < 62_000 || i <= 500 && got != 1_000_000 {
			t.Fatalf("%d us with %d held, %d before", got, i, last)
		}
		last = got
		a.Acquire(netip.Prefix{})
	}
	if got := a.IdleTimeout(1_000_000); got != 62_500 {
		t.Error(got)
	}
}

// What exceeds a cap is released at once; cached copies are released first; no
// consumer falls below its floor; levels have hysteresis.
func TestBudget(t *testing.T) {
	limits := ByteLimits{Total: 1000}
	limits.Cap[PendingOutput] = 500
	for p := range limits.Floor {
		limits.Floor[p] = 50
	}
	b := NewBudget(limits)
	for _, x := range []struct {
		name          string
		held, release [NumConsumers]int64
		level         Level
	}{
		{"easy", [NumConsumers]int64{CachedCopies: 300, PendingOutput: 300}, [NumConsumers]int64{}, Easy},
		{"over a cap", [NumConsumers]int64{PendingOutput: 600}, [NumConsumers]int64{PendingOutput: 100}, Easy},
		{"tight", [NumConsumers]int64{CachedCopies: 400, PendingOutput: 350}, [NumConsumers]int64{CachedCopies: 100}, Tight},
		{"within the hysteresis", [NumConsumers]int64{CachedCopies: 320, PendingOutput: 350}, [NumConsumers]int64{CachedCopies: 20}, Tight},
		{"tight with few copies", [NumConsumers]int64{CachedCopies: 100, PendingOutput: 400, PartialRequests: 200}, [NumConsumers]int64{CachedCopies: 50}, Tight},
		{"critical", [NumConsumers]int64{CachedCopies: 100, PendingOutput: 400, PartialRequests: 300, ConnRecords: 200}, [NumConsumers]int64{CachedCopies: 50, PendingOutput: 100}, Critical},
		{"critical without answers", [NumConsumers]int64{PartialRequests: 100, ConnRecords: 900}, [NumConsumers]int64{PartialRequests: 50, ConnRecords: 100}, Critical},
		{"easy again", [NumConsumers]int64{CachedCopies: 300, PendingOutput: 300}, [NumConsumers]int64{}, Easy},
	} {
		if release := b.Observe(x.held); release != x.release || b.Level() != x.level {
			t.Errorf("%s: releases %v, level %v; want %v, %v", x.name, release, b.Level(), x.release, x.level)
		}
	}
}

// Guards against closing a good client for bytes that slow ones held a moment ago:
// released bytes must be free at once, not only after the next Observe.
func TestReleasedBytesAreFree(t *testing.T) {
	limits := ByteLimits{Total: 1000}
	limits.Cap[PendingOutput] = 500
	b := NewBudget(limits)
	b.Observe([NumConsumers]int64{PendingOutput: 500})
	if b.TryReserve(PendingOutput, 100) {
		t.Fatal("bytes over the cap were reserved")
	}
	if b.Release(PendingOutput, 100); !b.TryReserve(PendingOutput, 100) || b.TryReserve(PendingOutput, 1) {
		t.Error("the released bytes are not free, or more than those are")
	}
	if b.Release(PendingOutput, 900); !b.TryReserve(PendingOutput, 500) || b.TryReserve(PendingOutput, 1) {
		t.Error("releasing more than was held was not bounded by it")
	}
}

// For any bytes held: no consumer releases more than it holds, and at level Critical
// enough is released or all consumers release what they can, no connection is
// accepted, and no consumer grows past its floor.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ByteLimits{Total: 1000}
		for p := range NumConsumers {
			limits.Cap[p] = int64(rapid.IntRange(0, 800).Draw(t, "cap"))
			limits.Floor[p] = int64(rapid.IntRange(0, 50).Draw(t, "floor"))
		}
		b := NewBudget(limits)
		a := New(Limits{MaxConns: 10}, b)
		for range 20 {
			var held [NumConsumers]int64
			var sum, spare int64
			for p := range held {
				held[p] = int64(rapid.IntRange(0, 400).Draw(t, "held"))
				sum += held[p]
			}
			release := b.Observe(held)
			for p, n := range release {
				if n < 0 || n > held[p] {
					t.Fatalf("consumer %d releases %d of %d", p, n, held[p])
				}
				if sum -= n; Consumer(p) < NodeResponses {
					spare += max(0, held[p]-n-limits.Floor[p])
				}
			}
			if b.Level() == Critical && sum > 850 && spare > 0 {
				t.Fatalf("%d bytes stay, and %d more could be released", sum, spare)
			}
			if in := a.Acquire(prefixes[0]); in != (b.Level() != Critical) {
				t.Fatalf("level %v, accepted: %v", b.Level(), in)
			} else if in {
				a.Release(prefixes[0])
			}
			if b.Level() == Critical && b.TryReserve(PendingOutput, 1+max(0, limits.Floor[PendingOutput]-held[PendingOutput])) {
				t.Fatal("pending output may grow past its floor")
			}
		}
	})
}

var prefixes = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24")}

// The timeout of silent connections shrinks as their number grows.
func TestSilentTimeoutShrinks(t *testing.T) {
	a, last := New(Limits{MaxConns: 100}, nil), Micros(400)
	for n := range 100 {
		got := a.SilentTimeout(400, n)
		if got > last || n <= 25 && got != 400 || n >= 75 && got != 0 {
			t.Fatalf("%d for %d silent connections, %d for one less", got, n, last)
		}
		last = got
	}
}

// Clients yield to nodes when descriptors run short, and held bytes shrink idle
// timeouts as held connections do.
func TestDescriptorAndMemoryPressure(t *testing.T) {
	b := NewBudget(ByteLimits{Total: 1000})
	a := New(Limits{MaxConns: 100, MaxDescriptors: 60, SpareDescriptors: 10}, b)
	a.SetOtherDescriptors(45)
	for range 5 {
		if !a.Acquire(prefixes[0]) {
			t.Fatal("refused, and there is room")
		}
	}
	if a.Acquire(prefixes[0]) {
		t.Error("a sixth connection was accepted with 45 + 10 of 60 descriptors not available")
	}
	a.SetOtherDescriptors(0)
	if a.IdleTimeout(1_000_000) != 1_000_000 {
		t.Error("the idle timeout shrank without pressure")
	}
	b.Observe([NumConsumers]int64{CachedCopies: 750})
	if got := a.IdleTimeout(1_000_000); got < 500_000 || got > 600_000 {
		t.Errorf("idle timeout of %d us of a second at three quarters of the bytes", got)
	}
}
