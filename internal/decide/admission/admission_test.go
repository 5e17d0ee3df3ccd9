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
	at        Micros
	client    int
	try       int
	admitted  Micros // when; -1: it is an arrival
	requested Micros
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
	serviceTime    Micros
	prefixes       int
	heavyEvery     int // every so many-th client is of one prefix; 0: none
}

// result is what became of a storm's clients.
type result struct {
	inTime, others, highWorth, late int // others: not of the heavy prefix; dear: of the worthy class
	requests                        int
	maxRefusalDelay                 Micros // from a try that is refused to its answer, at most
}

var worth = []float64{1, 3}

func (s storm) run(l *Limiter) (r result) {
	const patience, startTime = 2_000_000, 1_000_000_000
	random := rand.New(rand.NewPCG(7, 7))
	var h events
	for i := range s.clients {
		heap.Push(&h, event{at: startTime + random.Int64N(100_000), client: i, admitted: -1})
	}
	busy := 0
	admit := func(e event, now Micros) {
		busy++
		load := float64(busy) / float64(s.slots)
		serviceTime := float64(s.serviceTime) * max(1, load) * max(1, load/4) // it waits its turn, and all suffer from far too many
		heap.Push(&h, event{at: now + Micros(serviceTime), client: e.client, admitted: now, requested: e.requested})
	}
	refuse := func(e event, backoff, now Micros) {
		r.maxRefusalDelay = max(r.maxRefusalDelay, now-e.requested)
		if e.try < 3 {
			heap.Push(&h, event{at: now + backoff, client: e.client, try: e.try + 1, admitted: -1})
		}
	}
	for len(h) > 0 {
		e := heap.Pop(&h).(event)
		class := 0
		if e.client%4 == 3 {
			class = 1
		}
		isHeavy := s.heavyEvery > 0 && e.client%s.heavyEvery == 0
		if e.admitted < 0 {
			r.requests++
			e.requested = e.at
			prefixOf := prefix(e.client % max(1, s.prefixes))
			if isHeavy {
				prefixOf = prefix(9999)
			}
			switch v, backoff, evicted := l.Admit(&Ticket{Class: class, Prefix: prefixOf, Deadline: e.at + patience, Value: e}, e.at); {
			case v == Admitted:
				admit(e, e.at)
			case v == Refused:
				refuse(e, backoff, e.at)
			case evicted != nil:
				refuse(evicted.Value.(event), backoff, e.at)
			}
			continue
		}
		busy--
		l.Done(class, e.at-e.admitted, e.at, true)
		if e.at-e.requested > patience {
			r.late++
		} else {
			r.inTime++
			if !isHeavy {
				r.others++
			}
			if class == 1 {
				r.highWorth++
			}
		}
		for t, admitted, backoff := l.Next(e.at); t != nil; t, admitted, backoff = l.Next(e.at) {
			if admitted {
				admit(t.Value.(event), e.at)
			} else {
				refuse(t.Value.(event), backoff, e.at)
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
	s := storm{clients: 10_000, slots: 50, serviceTime: 10_000, prefixes: 5000}
	unlimited := config(AIMD)
	unlimited.MinLimit, unlimited.MaxLimit = 1<<30, 1<<30
	baseline := s.run(New(unlimited))
	t.Logf("no limit: %+v", baseline)
	for law, name := range map[Algorithm]string{AIMD: "AIMD", Gradient: "gradient"} {
		l := New(config(law))
		got := s.run(l)
		t.Logf("%s: %+v, limit %d, pace %.0f", name, got, l.Limit(), l.Throughput())
		if got.inTime <= baseline.inTime || l.InFlight() != 0 || l.Waiting() != 0 {
			t.Errorf("%s: %d in time, %d without a limit; %d left open, %d waiting", name, got.inTime, baseline.inTime, l.InFlight(), l.Waiting())
		}
		if got.highWorth*4 < s.clients*9/10 || got.late*100 > got.inTime {
			t.Errorf("%s: of %d that are worth more %d were in time; %d in vain", name, s.clients/4, got.highWorth, got.late)
		}
	}
}

// One prefix that brings half of all takes no more than its share from the others.
func TestHeavyPrefix(t *testing.T) {
	s := storm{clients: 20_000, slots: 50, serviceTime: 10_000, prefixes: 5000, heavyEvery: 2}
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
		var inFlight, waiting []*Ticket // Value of those open: since when
		check := func(backoff Micros) {
			if backoff < 1 || backoff > cfg.MaxBackoff {
				t.Fatalf("sent away for %d", backoff)
			}
		}
		removed := func(x *Ticket) {
			i := slices.Index(waiting, x)
			if i < 0 || x.Queued() {
				t.Fatal("it did not wait, or still does")
			}
			waiting = slices.Delete(waiting, i, i+1)
		}
		pump := func() {
			for x, admitted, backoff := l.Next(now); x != nil; x, admitted, backoff = l.Next(now) {
				removed(x)
				if !admitted {
					check(backoff)
					continue
				}
				x.Value = now
				inFlight = append(inFlight, x)
				for _, other := range waiting {
					if other.Class == x.Class && other.Prefix == x.Prefix && other.Deadline < x.Deadline && other.lane == laneIndex(x.Class, false)+1 {
						t.Fatal("one with less time left was passed over")
					}
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 20_000).Draw(t, "gap"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "done")
					x := inFlight[i]
					inFlight = slices.Delete(inFlight, i, i+1)
					l.Done(x.Class, now-x.Value.(Micros), now, rapid.Bool().Draw(t, "answered"))
				}
				pump()
			case 2:
				if len(waiting) > 0 {
					x := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "left")]
					l.Cancel(x)
					removed(x)
				}
			default:
				x := &Ticket{Class: rapid.IntRange(0, 1).Draw(t, "class"), Prefix: prefix(rapid.IntRange(0, 3).Draw(t, "from")),
					Deadline: now + int64(rapid.IntRange(0, 3_000_000).Draw(t, "left"))}
				v, backoff, evicted := l.Admit(x, now)
				switch {
				case v == Admitted:
					x.Value = now
					inFlight = append(inFlight, x)
				case v == Queued:
					waiting = append(waiting, x)
					if evicted != nil {
						removed(evicted)
						check(backoff)
					}
				default:
					check(backoff)
				}
			}
			if at, ok := l.NextCheck(); ok != (len(waiting) > 0) {
				t.Fatal("due", at, ok)
			} else if ok && at <= now {
				pump()
			}
			if l.InFlight() != len(inFlight) || l.Waiting() != len(waiting) || l.Waiting() > cfg.MaxQueued || l.Limit() < cfg.MinLimit || l.Limit() > cfg.MaxLimit {
				t.Fatalf("%d open, want %d; %d wait, want %d; limit %d", l.InFlight(), len(inFlight), l.Waiting(), len(waiting), l.Limit())
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
