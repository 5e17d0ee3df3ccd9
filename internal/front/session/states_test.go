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

// newServerWithoutSockets returns a server whose connections are only list entries.
func newServerWithoutSockets() *Server {
	s := New(Config{MaxConns: 1 << 21, IdleTimeout: 3_600_000_000, Park: true},
		loop.NewOn(loop.NewVirtual(1e15), func() {}), nil, nil, slog.Default())
	for i := range s.lists {
		s.lists[i].onExpire = func(*conn) {}
	}
	return s
}

// Guards against state lists that lose or duplicate connections: whatever the order of
// state changes, a connection is in the list of its state only, enters it at the end,
// and leaves nothing behind when it is removed.
func TestStateListsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newServerWithoutSockets()
		all := make([]*conn, 20)
		for i := range all {
			all[i] = &conn{server: s}
		}
		for range 1000 { // per case, of which rapid runs 100
			c := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
			to := state(rapid.IntRange(0, int(numStates)-1).Draw(t, "to"))
			c.setState(to)
			if to != unlisted && s.lists[to].head.prev != c {
				t.Fatal("the connection is not the last of its list")
			}
		}
		for i := range numStates {
			n := 0
			s.lists[i].each(func(c *conn) {
				if n++; c.state != i {
					t.Fatalf("a connection in state %d is in the list of state %d", c.state, i)
				}
			})
			if n != s.lists[i].count {
				t.Fatalf("%d connections in the list of state %d, %d counted", n, i, s.lists[i].count)
			}
		}
		for _, c := range all {
			c.setState(unlisted)
		}
		for i := range s.lists {
			if l := &s.lists[i]; l.count != 0 || l.head.next != &l.head || l.head.prev != &l.head {
				t.Fatalf("the list of state %d is not empty", i)
			}
		}
	})
}

// BenchmarkRecords measures state changes of connections without sockets: one of
// very many connections receives and answers a request.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newServerWithoutSockets()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			all := make([]*conn, n)
			for i := range all {
				all[i] = &conn{server: s}
				all[i].setState(parked)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c := all[i*7919%n]
				c.setState(busy)
				c.setState(idle)
				c.setState(parked)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
			runtime.KeepAlive(all)
		})
	}
}
