package ratelimit

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Checks that no time window contains more admitted requests than rate and burst allow,
// and that a client that waits as long as it was told is admitted.
func TestRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: rapid.IntRange(1, 5).Draw(t, "burst")}
		r := NewRates(4)
		claims := []Claim{{Key, "k", l}}
		now := int64(1_000_000)
		var in []int64
		for range 200 {
			now += int64(rapid.IntRange(0, 100_000).Draw(t, "gap"))
			wait, refusal := r.Take(claims, now)
			if refusal != "" {
				if w, again := r.Take(claims, now+wait); again != "" || w != 0 {
					t.Fatalf("refused after the wait of %d us that was returned: %s", wait, again)
				}
				now += wait
			}
			in = append(in, now)
			r.Release(claims)
		}
		for i := range in {
			for j := i + 1; j < len(in); j++ {
				if allowed := float64(in[j]-in[i])*l.Rate/1e6 + float64(max(1, l.Burst)) + 0.01; float64(j-i+1) > allowed {
					t.Fatalf("%d in %d us, allowed %.2f", j-i+1, in[j]-in[i], allowed)
				}
			}
		}
	})
}

// Checks that a request refused by one limit is not counted against the others.
func TestAllOrNone(t *testing.T) {
	r := NewRates(10)
	both := []Claim{{Tenant, "a", Limit{Rate: 1, Burst: 2}}, {Subject, "x", Limit{Open: 1}}}
	if _, refusal := r.Take(both, 1); refusal != "" {
		t.Fatal(refusal)
	}
	for range 5 {
		if wait, refusal := r.Take(both, 2); refusal != OpenExceeded || wait == 0 {
			t.Fatal(refusal)
		}
	}
	r.Release(both)
	if _, refusal := r.Take(both, 3); refusal != "" {
		t.Error("refused requests were counted:", refusal)
	}
	r.Release(both)
	if wait, refusal := r.Take(both, 4); refusal != RateExceeded || wait < 900_000 {
		t.Error(wait, refusal)
	}
}

// Checks that full tables evict entries that no longer limit anything, and otherwise
// refuse new names instead of evicting entries that do.
func TestFullTables(t *testing.T) {
	r := NewRates(100)
	claim := func(i int) []Claim { return []Claim{{Subject, fmt.Sprint(i), Limit{Rate: 1}}} }
	for i := range 100 {
		if _, refusal := r.Take(claim(i), 1_000_000); refusal != "" {
			t.Fatal(refusal)
		}
		r.Release(claim(i))
	}
	if wait, refusal := r.Take(claim(100), 1_000_001); refusal != RatesTableFull || wait == 0 {
		t.Fatal(refusal)
	}
	if _, refusal := r.Take(claim(5), 1_000_001); refusal != RateExceeded {
		t.Error("evicted an entry that still limits requests:", refusal)
	}
	if _, refusal := r.Take(claim(100), 2_000_000); refusal != "" {
		t.Error("kept an entry that limits nothing:", refusal)
	}
	u := NewUses(10)
	token := func(i int, until Micros) Token {
		x := Token{ExpiresAt: until, MaxUses: 1, Object: "o", RetryWindow: 5}
		sum := sha256.Sum256([]byte{byte(i)})
		copy(x.Name[:], sum[:])
		return x
	}
	for i := range 10 {
		u.Take(token(i, 100), 1)
		u.Release(token(i, 0).Name, false)
	}
	if wait, refusal := u.Take(token(11, 200), 50); refusal != UsesTableFull || wait == 0 {
		t.Error(refusal)
	}
	if _, refusal := u.Take(token(3, 100), 50); refusal != TokenUsedUp {
		t.Error("lost a use:", refusal)
	}
	if _, refusal := u.Take(token(11, 200), 101); refusal != "" {
		t.Error("kept expired tokens:", refusal)
	}
}

// Guards against evicting entries that the same request has just added: with several new
// names and a very small table, making room for the last one checks the first ones.
// Checks also that a request that finds no room changes no counts.
func TestSweepKeepsEntriesInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewRates(rapid.IntRange(1, 5).Draw(t, "most")), int64(1_000_000)
		var open [][]Claim
		for range 300 {
			now += int64(rapid.IntRange(0, 400_000).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "done") && len(open) > 0 {
				r.Release(open[0])
				open = open[1:]
				continue
			}
			var claims []Claim
			for _, k := range []Kind{Tenant, Key, Subject} {
				claims = append(claims, Claim{k, fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "name")), Limit{Rate: 4, Burst: 3, Open: 2}})
			}
			if _, refusal := r.Take(claims, now); refusal == "" {
				open = append(open, claims)
			}
			held := map[string]uint32{}
			for _, c := range open {
				for _, x := range c {
					held[string(x.Kind)+x.Name]++
				}
			}
			for name, n := range held {
				if b := r.table.Find(hashName(Kind(name[0]), name[1:])); b == nil || b.Open != n {
					t.Fatalf("%s: %+v, want %d open", name, b, n)
				}
			}
		}
	})
}

// Checks single-use tokens: concurrent use, retry, another object, lost response, refusal
// and restart.
func TestUses(t *testing.T) {
	u := NewUses(10)
	x := Token{Name: [16]byte{1}, ExpiresAt: 1000, MaxUses: 1, Object: "a", RetryWindow: 100}
	other := x
	other.Object = "b"
	for _, s := range []struct {
		what string
		t    Token
		at   Micros
		done bool
		want Refusal
	}{
		{"first", x, 10, false, ""},
		{"concurrent request", x, 11, false, TokenInUse},
		{"another object", other, 12, true, TokenUsedUp},
		{"lost response: retry", x, 60, true, ""},
		{"retry at the end of the window of the first", x, 110, true, ""},
		{"after the window", x, 111, false, TokenUsedUp},
	} {
		if s.what == "lost response: retry" {
			u.Release(x.Name, false)
		}
		_, refusal := u.Take(s.t, s.at)
		if refusal != s.want {
			t.Errorf("%s: %q, want %q", s.what, refusal, s.want)
		}
		if s.done && refusal == "" {
			u.Release(x.Name, false)
		}
	}
	b, err := u.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	v := NewUses(10)
	if _, err := v.Read(b); err != nil {
		t.Fatal(err)
	}
	if _, refusal := v.Take(other, 200); refusal != TokenUsedUp {
		t.Error("a restart lost a use:", refusal)
	}
	y := Token{Name: [16]byte{2}, ExpiresAt: 1000, MaxUses: 2, Object: "a"}
	u.Take(y, 1)
	u.Release(y.Name, true) // refused before any work: not a use
	for i := range 3 {
		_, refusal := u.Take(y, Micros(10+i))
		u.Release(y.Name, false)
		if want := map[bool]Refusal{true: TokenUsedUp}[i == 2]; refusal != want {
			t.Errorf("use %d of two: %q", i, refusal)
		}
	}
}

func BenchmarkTake(b *testing.B) {
	r := NewRates(1 << 20)
	claims := []Claim{{Tenant, "padma", Limit{Rate: 1e6, Burst: 1e6}}, {Key, "k", Limit{Rate: 1e6, Burst: 1e6}}, {Subject, "member 7", Limit{Rate: 1e6, Burst: 1e6, Open: 9}}}
	b.ReportAllocs()
	for i := range b.N {
		r.Take(claims, int64(i))
		r.Release(claims)
	}
}
