package compactmap

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func keyOf(i int) (n Key) {
	if i == 0 {
		return n // the zero key is valid
	}
	sum := sha256.Sum256([]byte(fmt.Sprint(i)))
	copy(n[:], sum[:])
	return n
}

// For any sequence of operations, a table behaves as a map of bounded size, through
// sweeps and snapshots.
func TestAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, want := New[int64](100), map[Key]int64{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, 150).Draw(t, "name")
			n := keyOf(i)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if x.Find(n) == nil && (x.Add(n, int64(i)) != nil) != (len(want) < 100) {
					t.Fatal("an entry was added beyond the bound, or not within it")
				} else if len(want) < 100 {
					want[n] = int64(i)
				}
			case 2:
				if _, there := want[n]; x.Remove(n) != there {
					t.Fatal("Remove reported the wrong presence")
				}
				delete(want, n)
			case 3:
				x.Sweep(20, func(_ Key, v *int64) bool {
					if *v%7 == 0 {
						delete(want, keyOf(int(*v)))
						return true
					}
					return false
				})
			case 4:
				b, err := x.Append(nil)
				y := New[int64](100)
				if rest, err2 := y.Read(b); err != nil || err2 != nil || len(rest) > 0 {
					t.Fatal(err, err2)
				}
				if _, err := New[int64](100).Read(b[:len(b)-1]); err == nil && len(b) > 4 {
					t.Fatal("a truncated snapshot was read")
				}
				x = y
			}
			if x.Len() != len(want) {
				t.Fatalf("%d entries, want %d", x.Len(), len(want))
			}
			for n, v := range want {
				if got := x.Find(n); got == nil || *got != v {
					t.Fatalf("the entry of value %v is lost", v)
				}
			}
		}
	})
}

type record struct {
	Until, First int64
	Object       uint64
	Count, Open  uint32
}

// BenchmarkMillion compares a table with plain maps at a million entries.
func BenchmarkMillion(b *testing.B) {
	const n = 1_000_000
	names := make([]Key, 2*n)
	for i := range names {
		names[i] = keyOf(i + 1)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	b.Run("compact", func(b *testing.B) {
		before := heap()
		t := New[record](n + 1)
		for _, n := range names[:n] {
			t.Add(n, record{})
		}
		size := float64(heap()-before) / n
		i := 0
		b.ResetTimer()
		for range b.N { // one lookup, one insertion, one removal
			t.Find(names[i])
			t.Add(names[n+i], record{})
			t.Remove(names[n+i])
			i = (i + 1) % n
		}
		runtime.KeepAlive(t)
		b.ReportMetric(size, "B/entry")
	})
	b.Run("map", func(b *testing.B) {
		before := heap()
		t := map[Key]*record{}
		for _, n := range names[:n] {
			t[n] = &record{}
		}
		size := float64(heap()-before) / n
		i := 0
		b.ResetTimer()
		for range b.N {
			_ = t[names[i]]
			t[names[n+i]] = &record{}
			delete(t, names[n+i])
			i = (i + 1) % n
		}
		runtime.KeepAlive(t)
		b.ReportMetric(size, "B/entry")
	})
	b.Run("map-of-values", func(b *testing.B) {
		before := heap()
		t := map[Key]record{}
		for _, n := range names[:n] {
			t[n] = record{}
		}
		size := float64(heap()-before) / n
		i := 0
		b.ResetTimer()
		for range b.N {
			_ = t[names[i]]
			t[names[n+i]] = record{}
			delete(t, names[n+i])
			i = (i + 1) % n
		}
		runtime.KeepAlive(t)
		b.ReportMetric(size, "B/entry")
	})
}
