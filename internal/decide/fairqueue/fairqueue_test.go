package fairqueue

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

// For any sequence of operations, no job is lost or returned twice, and the bound holds.
func TestEachJobOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, held := New(20), map[*Job]bool{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				j := &Job{Tenant: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
					Prefix: prefix(rapid.IntRange(0, 5).Draw(t, "prefix")), Suspect: rapid.Bool().Draw(t, "suspect")}
				held[j] = true
				if out := q.Push(j); out != nil {
					if !held[out] || len(held) != 21 {
						t.Fatal("a job was evicted that was not queued, or while there was room")
					}
					delete(held, out)
				}
			case 2:
				j := q.Pop()
				if j == nil != (len(held) == 0) || j != nil && !held[j] {
					t.Fatal("popped a job that was not queued")
				}
				delete(held, j)
			case 3:
				for j := range held {
					q.Remove(j)
					q.Remove(j) // has no effect
					delete(held, j)
					break
				}
			}
			if q.Len() != len(held) {
				t.Fatalf("%d jobs, want %d", q.Len(), len(held))
			}
		}
	})
}

// Guards against one tenant that floods the queue and uses up the pool: another
// tenant gets every second turn, and none of its jobs is evicted.
func TestTenantsShareThePool(t *testing.T) {
	q := New(100)
	for i := range 1000 {
		q.Push(&Job{Tenant: "flooded", Prefix: prefix(i)})
	}
	for i := range 30 {
		if out := q.Push(&Job{Tenant: "good", Prefix: prefix(i)}); out == nil || out.Tenant != "flooded" {
			t.Fatalf("%+v was evicted", out)
		}
	}
	good := 0
	for range 60 {
		if q.Pop().Tenant == "good" {
			good++
		}
	}
	if good != 30 {
		t.Errorf("%d of 30 in 60 turns", good)
	}
}

// Guards against one address that floods its tenant's queue, and against suspects
// that either crowd out the others or starve.
func TestPrefixesShareTheirTenantsTurns(t *testing.T) {
	q := New(100)
	for i := range 300 {
		q.Push(&Job{Tenant: "a", Prefix: prefix(1), Value: i})
	}
	for i := range 10 {
		if out := q.Push(&Job{Tenant: "a", Prefix: prefix(2), Value: fmt.Sprint(i)}); out.Prefix != prefix(1) {
			t.Fatal("a job of the short lane was evicted")
		}
	}
	short := 0
	for range 20 {
		if q.Pop().Prefix == prefix(2) {
			short++
		}
	}
	if short != 10 {
		t.Errorf("%d of 10 in 20 turns", short)
	}
	for range 60 {
		q.Push(&Job{Tenant: "a", Prefix: prefix(3), Suspect: true})
	}
	if out := q.Push(&Job{Tenant: "a", Prefix: prefix(4)}); out == nil || !out.Suspect {
		t.Errorf("%+v was evicted before the suspects", out)
	}
	suspects := 0
	for range 64 {
		if q.Pop().Suspect {
			suspects++
		}
	}
	if suspects != 8 {
		t.Errorf("suspects got %d of 64 turns", suspects)
	}
}

func BenchmarkFull(b *testing.B) {
	q := New(1024)
	b.ReportAllocs()
	for i := range b.N {
		q.Push(&Job{Tenant: "a", Prefix: prefix(i & 0xfff)})
		if i%8 == 0 {
			q.Pop()
		}
	}
}
