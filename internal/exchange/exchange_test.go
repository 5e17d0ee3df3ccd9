package exchange

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host is a front round its part: a loop that runs what is posted, and a purse.
type host struct {
	t     *testing.T
	todo  chan func()
	purse *quotalease.Limiter
	now   func() Micros
	mu    sync.Mutex
	obeys []string
}

func (h *host) Post(do func())                               { h.todo <- do }
func (h *host) ApplyGrant(g quotalease.Grant, newest uint64) { h.purse.ApplyGrant(g, newest, h.now()) }
func (h *host) Report() []quotalease.BucketReport            { return h.purse.Report(h.now()) }
func (h *host) SetFronts(n int)                              { h.purse.SetFronts(n) }
func (h *host) ApplyVerdicts([]outlier.HeldVerdict)          {}
func (h *host) LatencySamples(func(string, string, int64))   {}
func (h *host) EdgeCapacity() map[string]float64             { return nil }
func (h *host) Invalidate(s invalidation.Scope, _ Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.obeys = append(h.obeys, s.String())
}
func (h *host) Observations(string, string) ([]outlier.Observation, map[string]int) { return nil, nil }

// alone plays one front that keeps every site itself, in virtual time.
func alone(t *testing.T, fault func(task string, m any), play func(x *Exchange, h *host)) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := &host{t: t, todo: make(chan func(), 4096), now: func() Micros { return 1 + time.Since(began).Microseconds() }}
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for {
				select {
				case do := <-h.todo:
					do()
				case <-stop:
					return
				}
			}
		}()
		o, err := config.ParseOperator([]byte(`{"fleet":{"name":"f","front":"a","zone":"west/hub","machine":"a","listen":"127.0.0.1:1","first":[{"name":"a","address":"127.0.0.1:1"}],
			"folder":"x","keys":{"certificate":"exchange_test.go","key":"exchange_test.go","authorities":"exchange_test.go","names":["n"]}},
			"exchange":{"limits":[{"name":"l","for":"tenant","of":"t","kind":"rate","amount":100,"burst":10,"hard":true}],"purges":{"return_s":1}}}`), ".")
		require.NoError(t, err)
		rules, list := o.Exchange.QuotaLimits()
		h.purse = quotalease.NewLimiter(rules, list, h.now())
		x, err := Start(Config{Name: "a", Folder: t.TempDir(), Section: o.Exchange, Now: h.now, Loop: h, Limiter: h, Invalidator: h, Observer: h, LatencySource: h, fault: fault,
			Address: func(*topology.View, string) string { return "" }}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		require.NoError(t, err)
		me := topology.Front{Name: "a", Site: "west/hub", ID: 1, Start: 2, OwnerLease: 2_000_000}
		v := &topology.View{Index: 5, FleetID: 9, Fronts: []topology.Front{me}, Self: me, Registered: true}
		for i, site := range []string{"", "west", "west/hub"} {
			v.Owners = append(v.Owners, topology.Owner{Site: site, Name: "a", ID: 1, Start: 2, Number: uint64(i + 1)})
		}
		know := func() {
			x.SetFleetState(&FleetState{View: v, FrontsChanged: 1, OwnerUntil: h.now() + 2_000_000, MajorityAsked: h.now()})
		}
		know()
		go func() {
			for {
				select {
				case <-time.After(100 * time.Millisecond):
					know()
				case <-ended:
					return
				}
			}
		}()
		play(x, h)
		require.NoError(t, x.Close())
		close(stop)
		<-ended
		time.Sleep(time.Second)
	})
}

// take takes what the purse lets through in a second.
func (h *host) take(n int) (passed int) {
	done := make(chan struct{})
	for range n {
		h.Post(func() {
			if _, ok := h.purse.Find("tenant", "t", h.now())[0].Take(h.now()); ok {
				passed++
			}
		})
		time.Sleep(time.Second / time.Duration(n))
	}
	h.Post(func() { close(done) })
	<-done
	return passed
}

// Guards that a task that panics at each message of one kind, and one that stalls, come
// back from their snapshots while the front goes on spending what it holds.
func TestTasksComeBack(t *testing.T) {
	for name, fault := range map[string]func(on *atomic.Bool) func(string, any){
		"panics": func(on *atomic.Bool) func(string, any) {
			return func(task string, m any) {
				if e, ok := m.(Envelope); ok && task == "limits" && e.Up && on.Load() {
					panic("a message of one kind")
				}
			}
		},
		"stalls": func(on *atomic.Bool) func(string, any) {
			return func(task string, m any) {
				if _, ok := m.(says); ok && task == "limits" && on.CompareAndSwap(true, false) {
					time.Sleep(5 * time.Second)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			on := &atomic.Bool{}
			alone(t, fault(on), func(x *Exchange, h *host) {
				time.Sleep(3 * time.Second)
				require.InDelta(t, 100, h.take(200), 15, "before")
				on.Store(true)
				require.InDelta(t, 100, h.take(200), 15, "by what is held")
				require.InDelta(t, 100, h.take(200), 15, "by what is held")
				time.Sleep(2 * time.Second)
				on.Store(false)
				require.Positive(t, x.counts.Restarts.Load())
				time.Sleep(12 * time.Second)
				require.InDelta(t, 100, h.take(200), 15, "after")
			})
		})
	}
}

// Guards the way of a purge of a fleet of one, and that what is asked twice is one.
func TestPurgeOfOne(t *testing.T) {
	alone(t, nil, func(x *Exchange, h *host) {
		require.False(t, x.CaughtUp())
		time.Sleep(3 * time.Second)
		require.True(t, x.CaughtUp())
		ids := make(chan string, 2)
		for range 2 {
			x.RequestPurge(invalidation.Scope{Kind: invalidation.Prefix, Name: "o1"}, "once", "", func(p invalidation.Purge, err error) { ids <- p.ID() })
		}
		require.Equal(t, <-ids, <-ids)
		time.Sleep(3 * time.Second)
		done := make(chan any, 1)
		x.QueryPurges("once", func(v any, err error) { done <- v })
		require.True(t, (<-done).(PurgeProgress).Complete)
		require.Contains(t, h.obeys, "prefix o1")
	})
}
