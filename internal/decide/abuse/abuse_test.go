package abuse

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
)

func randomPrefix(r *rand.Rand) netip.Prefix {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], r.Uint32())
	return Prefix(netip.AddrFrom4(b))
}

// No prefix is underestimated, few are overestimated by much even with far more
// prefixes than counters, and counts decay to 0.
func TestSketchAgainstExactCounts(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	s, exact := New(99), map[netip.Prefix]uint32{}
	heavy := Prefix(netip.MustParseAddr("2001:db8::1"))
	now := int64(1_800_000_000_000_000)
	for i := range 20_000 {
		p := randomPrefix(r)
		if i%4 == 0 {
			p = heavy
		}
		s.Add(p, now)
		exact[p]++
	}
	over := 0
	for p, n := range exact {
		got := s.Count(p, now)
		if got < n {
			t.Fatalf("%v: counted %d of %d", p, got, n)
		}
		if got > n+20 {
			over++
		}
	}
	if over > len(exact)/100 {
		t.Errorf("%d of %d prefixes are overestimated by more than 20", over, len(exact))
	}
	if got := s.Count(heavy, now); got < 5000 || got > 5100 {
		t.Errorf("the heavy prefix: %d", got)
	}
	if got := s.Count(heavy, now+3*HalfLife); got > 640 {
		t.Errorf("after three half-lives: %d", got)
	}
	if got := s.Count(heavy, now+40*HalfLife); got != 0 {
		t.Errorf("after forty half-lives: %d", got)
	}
}

// BenchmarkMillion compares the sketch with an exact map at a million prefixes.
func BenchmarkMillion(b *testing.B) {
	list := make([]netip.Prefix, 1_000_000)
	r := rand.New(rand.NewPCG(7, 7))
	for i := range list {
		list[i] = randomPrefix(r)
	}
	b.Run("sketch", func(b *testing.B) {
		s := New(1)
		for i := range b.N {
			s.Add(list[i%len(list)], 1)
		}
		b.ReportMetric(Size, "bytes")
	})
	b.Run("map", func(b *testing.B) {
		var m1, m2 runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m1)
		m := map[netip.Prefix]uint32{}
		for _, p := range list {
			m[p]++
		}
		runtime.GC()
		runtime.ReadMemStats(&m2)
		b.ResetTimer()
		for i := range b.N {
			m[list[i%len(list)]]++
		}
		b.ReportMetric(float64(m2.HeapAlloc-m1.HeapAlloc), "bytes")
		runtime.KeepAlive(m)
	})
}
