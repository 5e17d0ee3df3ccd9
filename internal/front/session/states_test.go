package session

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/loop"
	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// fixture is a server without sockets; its connections are records alone.
func fixture() *Server {
	s := New(Config{MaxConns: 1 << 21, IdleTimeout: 3_600_000_000, Park: true}, loop.NewOn(loop.NewVirtual(1e15), func() {}), nil, nil, slog.Default())
	for i := range s.lists {
		s.lists[i].ended = func(*conn) {}
	}
	return s
}

// Connections move through all states, in any order and very often, and are in
// one list at a time, at its end; nothing is left of those that go.
func TestStatesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fixture()
		all := make([]*conn, 20)
		for i := range all {
			all[i] = &conn{server: s}
		}
		for range 1000 { // 100 cases of it
			c := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
			to := state(rapid.IntRange(0, int(states)-1).Draw(t, "to"))
			c.enter(to)
			if to != outside && s.lists[to].head.prev != c {
				t.Fatal("it is not the last of its list")
			}
		}
		for i := range states {
			n := 0
			s.lists[i].each(func(c *conn) {
				if n++; c.state != i {
					t.Fatalf("one in state %d stands in the list of %d", c.state, i)
				}
			})
			if n != s.lists[i].count {
				t.Fatalf("%d in the list of %d, %d counted", n, i, s.lists[i].count)
			}
		}
		for _, c := range all {
			c.enter(outside)
		}
		for i := range s.lists {
			if l := &s.lists[i]; l.count != 0 || l.head.next != &l.head || l.head.prev != &l.head {
				t.Fatalf("the list of %d is not empty", i)
			}
		}
	})
}

// BenchmarkRecords is connections' records in their lists, without sockets: a
// request comes to one of very many and is answered.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fixture()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			all := make([]*conn, n)
			for i := range all {
				all[i] = &conn{server: s}
				all[i].enter(parked)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c := all[i*7919%n]
				c.enter(busy)
				c.enter(idle)
				c.enter(parked)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
			runtime.KeepAlive(all)
		})
	}
}
