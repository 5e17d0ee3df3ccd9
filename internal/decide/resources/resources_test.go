package resources

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// The account adds up, the bounds hold, and the table holds nobody who left.
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
				t.Fatalf("let in %v, of %d with %d alike", !want, len(in), same)
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

// Idle times shrink without steps, never below a sixteenth, and never grow as
// places fill.
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

// The account of bytes: what is over a cap goes at once; copies go first, and all
// that must; nothing goes below its floor; marks come with slack.
func TestBudget(t *testing.T) {
	limits := ByteLimits{Total: 1000}
	limits.Cap[PendingOutput] = 500
	for p := range limits.Floor {
		limits.Floor[p] = 50
	}
	b := NewBudget(limits)
	for _, x := range []struct {
		name       string
		held, give [NumConsumers]int64
		mark       Level
	}{
		{"easy", [NumConsumers]int64{CachedCopies: 300, PendingOutput: 300}, [NumConsumers]int64{}, Easy},
		{"over a cap", [NumConsumers]int64{PendingOutput: 600}, [NumConsumers]int64{PendingOutput: 100}, Easy},
		{"tight", [NumConsumers]int64{CachedCopies: 400, PendingOutput: 350}, [NumConsumers]int64{CachedCopies: 100}, Tight},
		{"within the slack", [NumConsumers]int64{CachedCopies: 320, PendingOutput: 350}, [NumConsumers]int64{CachedCopies: 20}, Tight},
		{"tight, and few copies", [NumConsumers]int64{CachedCopies: 100, PendingOutput: 400, PartialRequests: 200}, [NumConsumers]int64{CachedCopies: 50}, Tight},
		{"critical", [NumConsumers]int64{CachedCopies: 100, PendingOutput: 400, PartialRequests: 300, ConnRecords: 200}, [NumConsumers]int64{CachedCopies: 50, PendingOutput: 100}, Critical},
		{"critical without answers", [NumConsumers]int64{PartialRequests: 100, ConnRecords: 900}, [NumConsumers]int64{PartialRequests: 50, ConnRecords: 100}, Critical},
		{"easy again", [NumConsumers]int64{CachedCopies: 300, PendingOutput: 300}, [NumConsumers]int64{}, Easy},
	} {
		if release := b.Observe(x.held); release != x.give || b.Level() != x.mark {
			t.Errorf("%s: gives %v, %v; want %v, %v", x.name, release, b.Level(), x.give, x.mark)
		}
	}
}

// Guards against a good client ended for what slow ones held a moment ago: what was given
// back is free at once.
func TestWhatWasGivenBackIsFree(t *testing.T) {
	limits := ByteLimits{Total: 1000}
	limits.Cap[PendingOutput] = 500
	b := NewBudget(limits)
	b.Observe([NumConsumers]int64{PendingOutput: 500})
	if b.TryReserve(PendingOutput, 100) {
		t.Fatal("over the cap")
	}
	if b.Release(PendingOutput, 100); !b.TryReserve(PendingOutput, 100) || b.TryReserve(PendingOutput, 1) {
		t.Error("what was given back is not free, or more than that is")
	}
	if b.Release(PendingOutput, 900); !b.TryReserve(PendingOutput, 500) || b.TryReserve(PendingOutput, 1) {
		t.Error("more was given back than was held")
	}
}

// Whatever is held: nobody gives more than is held or goes below the floor but for
// the cap, and what all can give is enough, or all give what they can. Nobody new
// is let in, and nothing grows past its floor, while it is critical.
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
					t.Fatalf("%d gives %d of %d", p, n, held[p])
				}
				if sum -= n; Consumer(p) < NodeResponses {
					spare += max(0, held[p]-n-limits.Floor[p])
				}
			}
			if b.Level() == Critical && sum > 850 && spare > 0 {
				t.Fatalf("%d stay, and %d could go", sum, spare)
			}
			if in := a.Acquire(prefixes[0]); in != (b.Level() != Critical) {
				t.Fatalf("%v, and let in: %v", b.Level(), in)
			} else if in {
				a.Release(prefixes[0])
			}
			if b.Level() == Critical && b.TryReserve(PendingOutput, 1+max(0, limits.Floor[PendingOutput]-held[PendingOutput])) {
				t.Fatal("answers may grow past their floor")
			}
		}
	})
}

var prefixes = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24")}

// A crowd of silent ones has less patience than a few have.
func TestSilentYield(t *testing.T) {
	a, last := New(Limits{MaxConns: 100}, nil), Micros(400)
	for n := range 100 {
		got := a.SilentTimeout(400, n)
		if got > last || n <= 25 && got != 400 || n >= 75 && got != 0 {
			t.Fatalf("%d for %d silent ones, %d for one less", got, n, last)
		}
		last = got
	}
}

// Clients yield to nodes where descriptors run short, and bytes shrink idle times
// as places do.
func TestPressureOfOthers(t *testing.T) {
	b := NewBudget(ByteLimits{Total: 1000})
	a := New(Limits{MaxConns: 100, MaxDescriptors: 60, SpareDescriptors: 10}, b)
	a.SetOtherDescriptors(45)
	for range 5 {
		if !a.Acquire(prefixes[0]) {
			t.Fatal("there is room")
		}
	}
	if a.Acquire(prefixes[0]) {
		t.Error("a sixth was let in, and 45 + 10 of 60 are others'")
	}
	a.SetOtherDescriptors(0)
	if a.IdleTimeout(1_000_000) != 1_000_000 {
		t.Error("shrunk, and all is easy")
	}
	b.Observe([NumConsumers]int64{CachedCopies: 750})
	if got := a.IdleTimeout(1_000_000); got < 500_000 || got > 600_000 {
		t.Errorf("%d left of a second at three quarters of the bytes", got)
	}
}
