package resources

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// The account adds up, the bounds hold, and the table holds nobody who left.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Places: rapid.IntRange(1, 50).Draw(t, "places"), Prefix: rapid.IntRange(0, 5).Draw(t, "prefix")}
		a := New(l, nil)
		var in []netip.Prefix
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "leave") && len(in) > 0 {
				i := rapid.IntRange(0, len(in)-1).Draw(t, "who")
				a.Leave(in[i])
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
			want := len(in) < l.Places && (l.Prefix == 0 || same < l.Prefix)
			if a.Enter(p) != want {
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
			a.Leave(p)
		}
		if a.Held() != 0 || a.Prefixes() != 0 {
			t.Fatalf("%d and %d prefixes left", a.Held(), a.Prefixes())
		}
	})
}

// Idle times shrink without steps, never below a sixteenth, and never grow as
// places fill.
func TestIdleShrinksSmoothly(t *testing.T) {
	a, last := New(Limits{Places: 1000}, nil), Micros(1_000_000)
	for i := range 1000 {
		got := a.Idle(1_000_000)
		if got > last || last-got > 2000 || got < 62_000 || i <= 500 && got != 1_000_000 {
			t.Fatalf("%d us with %d held, %d before", got, i, last)
		}
		last = got
		a.Enter(netip.Prefix{})
	}
	if got := a.Idle(1_000_000); got != 62_500 {
		t.Error(got)
	}
}
