package load

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/loopbacktest"
	"cherryramp/internal/transport"
	"cherryramp/lab/world"
)

func TestMain(m *testing.M) {
	if err := transport.Setup(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func options(address string, rate float64) Options {
	mix := &Mix{Classes: []Class{{Name: "guide-video", Share: 3, Parts: 8}, {Name: "payout-confirm", Share: 1, Write: true, Parts: 1}}, Objects: 100,
		Zipf: 1.2, Body: 10}
	return Options{Address: address, Curve: []world.RatePoint{{Rate: rate}}, Duration: time.Second, Timeout: 2 * time.Second, IdleTimeout: 4 * time.Second,
		Connections: 64, Threads: 2, Seed: 1, Kinds: mix.Kinds(), NewGenerator: mix.NewGenerator}
}

func run(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(o, &Progress{})
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, k := range r.Kinds {
		for _, n := range k.Outcomes {
			ended += n
		}
	}
	if ended != r.Due {
		t.Fatalf("%d requests due, %d outcomes: %+v", r.Due, ended, r.Kinds)
	}
	return r
}

// The standard library parses the requests, and each request has exactly one outcome
// that matches what the server did with it.
func TestOutcomes(t *testing.T) {
	var n, malformed atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		write := strings.HasPrefix(r.URL.Path, "/call/payout-confirm/")
		if len(r.Header.Get("Req-Id")) != 16 || r.Header.Get("X-Bucket") == "" || write != (r.Method == "PUT") || write != (len(body) == 10) {
			malformed.Add(1)
		}
		switch n.Add(1) % 10 {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			c, _, _ := http.NewResponseController(w).Hijack()
			_ = c.Close()
		case 2:
			c, _, _ := http.NewResponseController(w).Hijack()
			_, _ = io.WriteString(c, "what is this\r\n\r\n")
			_ = c.Close()
		case 3:
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "last")
		default:
			_, _ = io.WriteString(w, "ok")
		}
	}))
	defer s.Close()
	r := run(t, options(s.Listener.Addr().String(), 500))
	outcomes := map[string]int{}
	for _, k := range r.Kinds {
		addCounts(outcomes, k.Outcomes)
	}
	if malformed.Load() > 0 || r.Due < 350 || r.Due > 650 || outcomes["200"] == 0 || outcomes["503"] == 0 || outcomes[ConnectionLost] == 0 || outcomes[Malformed] == 0 ||
		r.Kinds[0].Outcomes["200"] <= r.Kinds[1].Outcomes["200"] {
		t.Errorf("%d due, %d malformed, %v", r.Due, malformed.Load(), outcomes)
	}
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	if r := run(t, options(ln.Addr().String(), 200)); r.Kinds[0].Outcomes[ConnectFailed]+r.Kinds[1].Outcomes[ConnectFailed] != r.Due {
		t.Errorf("no listener: %+v", r.Kinds)
	}
}

// A stalled server is charged for all requests scheduled during the stall, and requests
// to a server that never answers time out.
func TestStallsCountInLatency(t *testing.T) {
	var stalled atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stalled.CompareAndSwap(false, true) {
			time.Sleep(400 * time.Millisecond)
		}
	}))
	defer s.Close()
	o := options(s.Listener.Addr().String(), 400)
	o.Threads, o.Connections, o.Precise = 1, 1, true
	r := run(t, o)
	slow := 0.0
	for _, k := range r.Kinds {
		for _, b := range k.Latency.Distribution() {
			if b.From > 100_000 {
				slow += float64(b.Count)
			}
		}
	}
	if slow < 60 { // of 400 per second, during 0.3 s
		t.Errorf("%.0f requests were slow", slow)
	}
	ln, err := loopbacktest.Listen() // connections stay in the accept queue, unanswered
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	o.Address, o.Timeout = ln.Addr().String(), 300*time.Millisecond
	if r := run(t, o); r.Kinds[0].Outcomes[TimedOut]+r.Kinds[1].Outcomes[TimedOut] != r.Due {
		t.Errorf("server that never answers: %+v", r.Kinds)
	}
}

// Arrivals follow the rate curve with constant and rising sections, with the variation
// of a Poisson process unless they are evenly spaced.
func TestArrivals(t *testing.T) {
	curve := []world.RatePoint{{Rate: 100}, {At: 10 * second, Rate: 0}, {At: 20 * second, Rate: 0, Ramp: true}, {At: 40 * second, Rate: 400}}
	for _, even := range []bool{false, true} {
		o := options("", 1)
		o.Curve, o.EvenlySpaced, o.Duration, o.Threads, o.Connections = curve, even, 60*time.Second, 1, 1
		thread := newThread(&o, 0, 0, &Progress{})
		var counts [6]float64
		var gaps []float64
		for before := Micros(0); thread.advance(); before = thread.nextDue {
			counts[thread.nextDue/(10*second)]++
			if thread.nextDue < 10*second {
				gaps = append(gaps, float64(thread.nextDue-before))
			}
		}
		for i, want := range []float64{1000, 0, 1000, 3000, 4000, 4000} {
			if math.Abs(counts[i]-want) > 4*math.Sqrt(want)+40 {
				t.Errorf("even %v: %v requests in the 10 s from %d s on, want %.0f", even, counts[i], 10*i, want)
			}
		}
		mean, square := 0.0, 0.0
		for _, g := range gaps {
			mean += g / float64(len(gaps))
		}
		for _, g := range gaps {
			square += (g - mean) * (g - mean) / float64(len(gaps))
		}
		if spread := math.Sqrt(square) / mean; even && spread > 0.01 || !even && (spread < 0.85 || spread > 1.15) {
			t.Errorf("even %v: standard deviation of the gaps is %.2f of their mean", even, spread)
		}
	}
}

// Invalid options and mixes are rejected.
func TestInvalidOptions(t *testing.T) {
	for _, change := range []func(o *Options){func(o *Options) { o.Curve = nil }, func(o *Options) { o.Duration = 0 }, func(o *Options) { o.Connections = 1 },
		func(o *Options) { o.Kinds = nil }} {
		o := options("", 1)
		change(&o)
		if _, err := Run(o, &Progress{}); err == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
	for _, m := range []Mix{{}, {Classes: []Class{{Name: "x", Share: 1, Parts: 1}}, Objects: 1, Zipf: 1}, {Classes: []Class{{Name: "x", Share: 1}}}} {
		if m.Check() == nil {
			t.Errorf("%+v is accepted", m)
		}
	}
}

// echoHandler answers every request at once.
type echoHandler struct{}

func (echoHandler) Readable(c *transport.Conn) {
	n := 0
	c.Consume(func(b []byte) (used int) {
		for {
			r, u, err := httpwire.ParseRequest(b[used:], httpwire.Limits{Head: 8 << 10, Body: 1 << 10})
			if r == nil || err != nil {
				return used
			}
			used += u
			n++
		}
	})
	for range n {
		_, _ = c.Send([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}
func (echoHandler) Drained(*transport.Conn) {}
func (echoHandler) Closed(*transport.Conn)  {}

// BenchmarkMaxRate measures how many requests per second one thread sends to a server
// that answers at once, and the lag behind the schedule.
func BenchmarkMaxRate(b *testing.B) {
	l := loop.New(func() {})
	var memory transport.Gauge
	ln, err := loopbacktest.Listen()
	if err != nil {
		b.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	if _, err := transport.Listen(l, address, 64<<10, &memory, slog.New(slog.DiscardHandler), func(*transport.Conn) transport.Handler { return echoHandler{} }); err != nil {
		b.Fatal(err)
	}
	go l.Run()
	for _, bench := range []struct {
		rate    float64
		precise bool
	}{{1000, false}, {10_000, false}, {40_000, false}, {80_000, false}, {120_000, false}, {160_000, false}, {1000, true}, {40_000, true}} {
		b.Run(fmt.Sprintf("%.0f precise %v", bench.rate, bench.precise), func(b *testing.B) {
			for range b.N {
				o := options(address, bench.rate)
				o.Threads, o.Duration, o.Precise = 1, 2*time.Second, bench.precise
				r, err := Run(o, &Progress{})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(r.Kinds[0].Outcomes["200"]+r.Kinds[1].Outcomes["200"])/r.Elapsed.Seconds(), "requests/s")
				b.ReportMetric(float64(r.Lag.ValueAtQuantile(50)), "lag-p50-us")
				b.ReportMetric(float64(r.Lag.ValueAtQuantile(99)), "lag-p99-us")
			}
		})
	}
}
