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

// event is a client's arrival or the end of an answer.
type event struct {
	at        Micros
	client    int
	try       int
	admitted  Micros // -1 for an arrival
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

// storm simulates one server with a number of slots, whose answers take longer by
// the square once more requests are in flight than that. All clients wake within
// 100 ms, wait 2 s, and retry after their backoff, three times at most. Every
// fourth asks for a class of three times the worth.
type storm struct {
	clients, slots int
	serviceTime    Micros
	prefixes       int
	heavyEvery     int // every n-th client is in one prefix; 0: none
}

// result counts the outcomes of a storm's clients.
type result struct {
	inTime, others, highWorth, late int // others: not in the heavy prefix; highWorth: of the class of higher worth
	requests                        int
	maxRefusalDelay                 Micros // longest time from an attempt to its refusal
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
		serviceTime := float64(s.serviceTime) * max(1, load) * max(1, load/4) // queueing, and an overload that slows all answers down
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
			from := prefix(e.client % max(1, s.prefixes))
			if isHeavy {
				from = prefix(9999)
			}
			switch v, backoff, evicted := l.Admit(&Ticket{Class: class, Prefix: from, Deadline: e.at + patience, Value: e}, e.at); {
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

func config(algorithm Algorithm) Config {
	return Config{Algorithm: algorithm, MinLimit: 8, MaxLimit: 4000, InitialLimit: 64, MaxQueued: 20_000, MaxBackoff: 500_000, Worth: worth, Seed: 1}
}

// Guards against a limit that does not help when all clients wake at once: it must
// answer more in time than no limit, admit little that is answered late, and prefer
// the class of higher worth. Run with -v for the figures of both algorithms.
func TestWakeStorm(t *testing.T) {
	s := storm{clients: 10_000, slots: 50, serviceTime: 10_000, prefixes: 5000}
	unlimited := config(AIMD)
	unlimited.MinLimit, unlimited.MaxLimit = 1<<30, 1<<30
	baseline := s.run(New(unlimited))
	t.Logf("no limit: %+v", baseline)
	for algorithm, name := range map[Algorithm]string{AIMD: "AIMD", Gradient: "gradient"} {
		l := New(config(algorithm))
		got := s.run(l)
		t.Logf("%s: %+v, limit %d, throughput %.0f", name, got, l.Limit(), l.Throughput())
		if got.inTime <= baseline.inTime || l.InFlight() != 0 || l.Waiting() != 0 {
			t.Errorf("%s: %d in time, %d without a limit; %d left in flight, %d queued", name, got.inTime, baseline.inTime, l.InFlight(), l.Waiting())
		}
		if got.highWorth*4 < s.clients*9/10 || got.late*100 > got.inTime {
			t.Errorf("%s: of %d requests of higher worth %d were in time; %d answers were late", name, s.clients/4, got.highWorth, got.late)
		}
	}
}

// Guards against one prefix that sends half of all requests and crowds out the others.
func TestHeavyPrefix(t *testing.T) {
	s := storm{clients: 20_000, slots: 50, serviceTime: 10_000, prefixes: 5000, heavyEvery: 2}
	got := s.run(New(config(Gradient)))
	t.Logf("%+v", got)
	if got.others*100 < s.clients/2*95 {
		t.Errorf("of %d clients of other prefixes %d were answered in time", s.clients/2, got.others)
	}
}

// For any sequence of requests and answers: the limit stays within its bounds, no
// backoff exceeds its maximum, the counts of requests in flight and queued are
// right, tickets of one class and prefix are admitted by deadline, and every ticket
// leaves the queue once.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Algorithm: Algorithm(rapid.IntRange(0, 1).Draw(t, "law")), MinLimit: 4, MaxLimit: 40, MaxQueued: rapid.IntRange(0, 30).Draw(t, "queue"),
			MaxBackoff: 500_000, Worth: worth}
		l, now := New(cfg), Micros(1_000_000)
		var inFlight, waiting []*Ticket // Value of those in flight: when they were admitted
		check := func(backoff Micros) {
			if backoff < 1 || backoff > cfg.MaxBackoff {
				t.Fatalf("backoff of %d us", backoff)
			}
		}
		removed := func(x *Ticket) {
			i := slices.Index(waiting, x)
			if i < 0 || x.Queued() {
				t.Fatal("the ticket was not queued, or still is")
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
						t.Fatal("a ticket with an earlier deadline was passed over")
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
				t.Fatal("NextCheck", at, ok)
			} else if ok && at <= now {
				pump()
			}
			if l.InFlight() != len(inFlight) || l.Waiting() != len(waiting) || l.Waiting() > cfg.MaxQueued || l.Limit() < cfg.MinLimit || l.Limit() > cfg.MaxLimit {
				t.Fatalf("%d in flight, want %d; %d queued, want %d; limit %d", l.InFlight(), len(inFlight), l.Waiting(), len(waiting), l.Limit())
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
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

// BenchmarkQueue measures a request that is queued with 10,000 others and admitted.
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
