package admission

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

// event is an arrival (a client) or the end of an answer.
type event struct {
	at     Micros
	client int
	try    int
	taken  Micros // when; -1: it is an arrival
}
type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// storm is a world of one server: so many answers at a time, each of which
// takes its span, longer by the square as more are open than that; clients that
// all wake within 100 ms, wait 2 s, and come back as told, three times at most.
type storm struct {
	clients, slots int
	span           Micros
	prefixes       int
	heavy          int // every so many-th client is of one prefix; 0: none
}

// run tells how many were answered in time, of all and of those that are not of
// the heavy prefix, and how many were taken in vain.
func (s storm) run(l *Limiter) (inTime, others, vain int) {
	const patience = 2_000_000
	r := rand.New(rand.NewPCG(7, 7))
	var h events
	for i := range s.clients {
		heap.Push(&h, event{at: 1_000_000_000 + r.Int64N(100_000), client: i, taken: -1})
	}
	busy := 0
	for len(h) > 0 {
		e := heap.Pop(&h).(event)
		from := prefix(e.client % max(1, s.prefixes))
		isHeavy := s.heavy > 0 && e.client%s.heavy == 0
		if isHeavy {
			from = prefix(9999)
		}
		if e.taken >= 0 {
			busy--
			l.Done(e.at-e.taken, e.at, true)
			if e.at-e.taken <= patience {
				inTime++
				if !isHeavy {
					others++
				}
			} else {
				vain++
			}
			continue
		}
		away, ok := l.Take(from, patience, e.at)
		if !ok {
			if e.try < 3 {
				heap.Push(&h, event{at: e.at + away, client: e.client, try: e.try + 1, taken: -1})
			}
			continue
		}
		busy++
		load := float64(busy) / float64(s.slots)
		span := float64(s.span) * max(1, load) * max(1, load/4) // it waits its turn, and all suffer from far too many
		heap.Push(&h, event{at: e.at + Micros(span), client: e.client, taken: e.at})
	}
	return inTime, others, vain
}

// In a wake storm a learnt limit answers more in time than none, and takes
// little in vain. Run with -v for the figures of both laws.
func TestWakeStorm(t *testing.T) {
	s := storm{clients: 10_000, slots: 50, span: 10_000, prefixes: 5000}
	none, _, vainNone := s.run(New(Config{Least: 1 << 30, Most: 1 << 30, Away: 500_000}))
	t.Logf("no limit: %d in time, %d in vain", none, vainNone)
	for law, name := range map[Law]string{AIMD: "AIMD", Gradient: "gradient"} {
		l := New(Config{Law: law, Least: 8, Most: 4000, Start: 64, Away: 500_000, Seed: 1})
		got, _, vain := s.run(l)
		t.Logf("%s: %d in time, %d in vain, limit %d, pace %.0f", name, got, vain, l.Limit(), l.Pace())
		if got <= none || l.Open() != 0 {
			t.Errorf("%s: %d in time, %d without a limit; %d left open", name, got, none, l.Open())
		}
	}
}

// One prefix that brings half of all takes no more than its share from the others.
func TestHeavyPrefix(t *testing.T) {
	s := storm{clients: 10_000, slots: 50, span: 10_000, prefixes: 5000, heavy: 2}
	l := New(Config{Law: Gradient, Least: 8, Most: 4000, Start: 64, Away: 500_000, Seed: 1})
	all, others, _ := s.run(l)
	t.Logf("%d in time, %d of them of other prefixes", all, others)
	if others*3 < all*2 {
		t.Errorf("%d of %d answered in time are of the others, who are half", others, all)
	}
}

// Whatever comes: the limit stays within its bounds, nobody is sent away for
// longer than may be said, what is taken is given back, and a front that is not
// full refuses nobody.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Law: Law(rapid.IntRange(0, 1).Draw(t, "law")), Least: 4, Most: 200, Away: 500_000}
		l, now, open := New(cfg), Micros(1_000_000), 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 20_000).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "done") && open > 0 {
				open--
				l.Done(int64(rapid.IntRange(1, 3_000_000).Draw(t, "spent")), now, rapid.Bool().Draw(t, "answered"))
			} else if away, ok := l.Take(prefix(rapid.IntRange(0, 3).Draw(t, "from")), 1<<40, now); ok {
				open++
			} else if away < 1 || away > cfg.Away || open < cfg.Least*3/4 {
				t.Fatalf("sent away for %d with %d open of %d", away, open, l.Limit())
			}
			if l.Open() != open || l.Limit() < cfg.Least || l.Limit() > cfg.Most {
				t.Fatalf("%d open, want %d; limit %d", l.Open(), open, l.Limit())
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	l := New(Config{Law: Gradient, Least: 8, Most: 4000, Start: 64, Away: 500_000, Seed: 1})
	b.ReportAllocs()
	for i := range b.N {
		if _, ok := l.Take(prefix(i&0xffff), 2_000_000, int64(i)); ok {
			l.Done(1000, int64(i), true)
		}
	}
}
