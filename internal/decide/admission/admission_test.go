package admission

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

// event is an arrival (a client) or the end of an answer.
type event struct {
	at     Micros
	client int
	try    int
	taken  Micros // when; -1: it is an arrival
	asked  Micros
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
// Every fourth asks for what is worth three times as much.
type storm struct {
	clients, slots int
	span           Micros
	prefixes       int
	heavy          int // every so many-th client is of one prefix; 0: none
}

// result is what became of a storm's clients.
type result struct {
	inTime, others, dear, vain int // others: not of the heavy prefix; dear: of the worthy class
	asked                      int
	latest                     Micros // from a try that is refused to its answer, at most
}

var worth = []float64{1, 3}

func (s storm) run(l *Limiter) (r result) {
	const patience, start = 2_000_000, 1_000_000_000
	random := rand.New(rand.NewPCG(7, 7))
	var h events
	for i := range s.clients {
		heap.Push(&h, event{at: start + random.Int64N(100_000), client: i, taken: -1})
	}
	busy := 0
	take := func(e event, now Micros) {
		busy++
		load := float64(busy) / float64(s.slots)
		span := float64(s.span) * max(1, load) * max(1, load/4) // it waits its turn, and all suffer from far too many
		heap.Push(&h, event{at: now + Micros(span), client: e.client, taken: now, asked: e.asked})
	}
	refuse := func(e event, away, now Micros) {
		r.latest = max(r.latest, now-e.asked)
		if e.try < 3 {
			heap.Push(&h, event{at: now + away, client: e.client, try: e.try + 1, taken: -1})
		}
	}
	for len(h) > 0 {
		e := heap.Pop(&h).(event)
		class := 0
		if e.client%4 == 3 {
			class = 1
		}
		isHeavy := s.heavy > 0 && e.client%s.heavy == 0
		if e.taken < 0 {
			r.asked++
			e.asked = e.at
			from := prefix(e.client % max(1, s.prefixes))
			if isHeavy {
				from = prefix(9999)
			}
			switch v, away, yields := l.Admit(&Ticket{Class: class, Prefix: from, Deadline: e.at + patience, Value: e}, e.at); {
			case v == Admitted:
				take(e, e.at)
			case v == Refused:
				refuse(e, away, e.at)
			case yields != nil:
				refuse(yields.Value.(event), away, e.at)
			}
			continue
		}
		busy--
		l.Done(class, e.at-e.taken, e.at, true)
		if e.at-e.asked > patience {
			r.vain++
		} else {
			r.inTime++
			if !isHeavy {
				r.others++
			}
			if class == 1 {
				r.dear++
			}
		}
		for t, taken, away := l.Next(e.at); t != nil; t, taken, away = l.Next(e.at) {
			if taken {
				take(t.Value.(event), e.at)
			} else {
				refuse(t.Value.(event), away, e.at)
			}
		}
	}
	return r
}

func config(law Algorithm) Config {
	return Config{Algorithm: law, MinLimit: 8, MaxLimit: 4000, InitialLimit: 64, MaxQueued: 20_000, MaxBackoff: 500_000, Worth: worth, Seed: 1}
}

// In a wake storm a learnt limit answers more in time than none, takes little in
// vain, and prefers what is worth more. Run with -v for the figures of both laws.
func TestWakeStorm(t *testing.T) {
	s := storm{clients: 10_000, slots: 50, span: 10_000, prefixes: 5000}
	none := config(AIMD)
	none.MinLimit, none.MaxLimit = 1<<30, 1<<30
	without := s.run(New(none))
	t.Logf("no limit: %+v", without)
	for law, name := range map[Algorithm]string{AIMD: "AIMD", Gradient: "gradient"} {
		l := New(config(law))
		got := s.run(l)
		t.Logf("%s: %+v, limit %d, pace %.0f", name, got, l.Limit(), l.Throughput())
		if got.inTime <= without.inTime || l.InFlight() != 0 || l.Waiting() != 0 {
			t.Errorf("%s: %d in time, %d without a limit; %d left open, %d waiting", name, got.inTime, without.inTime, l.InFlight(), l.Waiting())
		}
		if got.dear*4 < s.clients*9/10 || got.vain*100 > got.inTime {
			t.Errorf("%s: of %d that are worth more %d were in time; %d in vain", name, s.clients/4, got.dear, got.vain)
		}
	}
}

// One prefix that brings half of all takes no more than its share from the others.
func TestHeavyPrefix(t *testing.T) {
	s := storm{clients: 20_000, slots: 50, span: 10_000, prefixes: 5000, heavy: 2}
	got := s.run(New(config(Gradient)))
	t.Logf("%+v", got)
	if got.others*100 < s.clients/2*95 {
		t.Errorf("of %d others %d were answered in time", s.clients/2, got.others)
	}
}

// Whatever comes: the limit stays within its bounds, nobody is sent away for
// longer than may be said, what is taken is given back, a front that is not full
// refuses nobody who has time, who waits longest goes first among alike, and
// every ticket ends once.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Algorithm: Algorithm(rapid.IntRange(0, 1).Draw(t, "law")), MinLimit: 4, MaxLimit: 40, MaxQueued: rapid.IntRange(0, 30).Draw(t, "queue"),
			MaxBackoff: 500_000, Worth: worth}
		l, now := New(cfg), Micros(1_000_000)
		var open, waiting []*Ticket // Value of those open: since when
		check := func(away Micros) {
			if away < 1 || away > cfg.MaxBackoff {
				t.Fatalf("sent away for %d", away)
			}
		}
		gone := func(x *Ticket) {
			i := slices.Index(waiting, x)
			if i < 0 || x.Queued() {
				t.Fatal("it did not wait, or still does")
			}
			waiting = slices.Delete(waiting, i, i+1)
		}
		pump := func() {
			for x, taken, away := l.Next(now); x != nil; x, taken, away = l.Next(now) {
				gone(x)
				if !taken {
					check(away)
					continue
				}
				x.Value = now
				open = append(open, x)
				for _, other := range waiting {
					if other.Class == x.Class && other.Prefix == x.Prefix && other.Deadline < x.Deadline && other.lane == laneOf(x.Class, false)+1 {
						t.Fatal("one with less time left was passed over")
					}
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 20_000).Draw(t, "gap"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "done")
					x := open[i]
					open = slices.Delete(open, i, i+1)
					l.Done(x.Class, now-x.Value.(Micros), now, rapid.Bool().Draw(t, "answered"))
				}
				pump()
			case 2:
				if len(waiting) > 0 {
					x := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "left")]
					l.Cancel(x)
					gone(x)
				}
			default:
				x := &Ticket{Class: rapid.IntRange(0, 1).Draw(t, "class"), Prefix: prefix(rapid.IntRange(0, 3).Draw(t, "from")),
					Deadline: now + int64(rapid.IntRange(0, 3_000_000).Draw(t, "left"))}
				v, away, yields := l.Admit(x, now)
				switch {
				case v == Admitted:
					x.Value = now
					open = append(open, x)
				case v == Queued:
					waiting = append(waiting, x)
					if yields != nil {
						gone(yields)
						check(away)
					}
				default:
					check(away)
				}
			}
			if at, ok := l.NextCheck(); ok != (len(waiting) > 0) {
				t.Fatal("due", at, ok)
			} else if ok && at <= now {
				pump()
			}
			if l.InFlight() != len(open) || l.Waiting() != len(waiting) || l.Waiting() > cfg.MaxQueued || l.Limit() < cfg.MinLimit || l.Limit() > cfg.MaxLimit {
				t.Fatalf("%d open, want %d; %d wait, want %d; limit %d", l.InFlight(), len(open), l.Waiting(), len(waiting), l.Limit())
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	l := New(config(Gradient))
	b.ReportAllocs()
	var t Ticket
	for i := range b.N {
		t = Ticket{Class: i & 1, Prefix: prefix(i & 0xffff), Deadline: int64(i) + 2_000_000}
		if v, _, _ := l.Admit(&t, int64(i)); v == Admitted {
			l.Done(t.Class, 1000, int64(i), true)
		}
	}
}

// BenchmarkQueue is one that waits behind 10,000 others and is taken.
func BenchmarkQueue(b *testing.B) {
	cfg := config(AIMD)
	cfg.MinLimit, cfg.MaxLimit, cfg.InitialLimit = 1, 1, 1
	l := New(cfg)
	l.Admit(&Ticket{Deadline: 1 << 50}, 0)
	for i := range 10_000 {
		l.Admit(&Ticket{Class: i & 1, Prefix: prefix(i), Deadline: 1<<50 + int64(i)}, 0)
	}
	b.ReportAllocs()
	for i := range b.N {
		l.Admit(&Ticket{Class: i & 1, Prefix: prefix(i), Deadline: 1<<50 + int64(i)}, int64(i))
		l.Done(0, 1000, int64(i), false)
		l.Next(int64(i))
	}
}
