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

// host stands in for the front: an event loop, a limiter, and a record of invalidations.
type host struct {
	t           *testing.T
	posted      chan func()
	limiter     *quotalease.Limiter
	now         func() Micros
	mu          sync.Mutex
	invalidated []string
}

func (h *host) Post(do func()) { h.posted <- do }
func (h *host) ApplyGrant(g quotalease.Grant, newest uint64) {
	h.limiter.ApplyGrant(g, newest, h.now())
}
func (h *host) Report() []quotalease.BucketReport          { return h.limiter.Report(h.now()) }
func (h *host) SetFronts(n int)                            { h.limiter.SetFronts(n) }
func (h *host) ApplyVerdicts([]outlier.HeldVerdict)        {}
func (h *host) LatencySamples(func(string, string, int64)) {}
func (h *host) EdgeCapacity() map[string]float64           { return nil }
func (h *host) Invalidate(s invalidation.Scope, _ Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invalidated = append(h.invalidated, s.String())
}
func (h *host) Observations(string, string) ([]outlier.Observation, map[string]int) { return nil, nil }

// runSingleFront runs one front that owns every site, in virtual time.
func runSingleFront(t *testing.T, fault func(task string, m any), run func(ex *Exchange, h *host)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		h := &host{t: t, posted: make(chan func(), 4096), now: func() Micros { return 1 + time.Since(start).Microseconds() }}
		stop, loopEnded := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(loopEnded)
			for {
				select {
				case do := <-h.posted:
					do()
				case <-stop:
					return
				}
			}
		}()
		operator, err := config.ParseOperator([]byte(`{"fleet":{"name":"f","front":"a","zone":"west/hub","machine":"a","listen":"127.0.0.1:1","first":[{"name":"a","address":"127.0.0.1:1"}],
			"folder":"x","keys":{"certificate":"exchange_test.go","key":"exchange_test.go","authorities":"exchange_test.go","names":["n"]}},
			"exchange":{"limits":[{"name":"l","for":"tenant","of":"t","kind":"rate","amount":100,"burst":10,"hard":true}],"purges":{"return_s":1}}}`), ".")
		require.NoError(t, err)
		rules, list := operator.Exchange.QuotaLimits()
		h.limiter = quotalease.NewLimiter(rules, list, h.now())
		ex, err := Start(Config{Name: "a", Folder: t.TempDir(), Section: operator.Exchange, Now: h.now, Loop: h, Limiter: h, Invalidator: h, Observer: h, LatencySource: h, injectFault: fault,
			Address: func(*topology.View, string) string { return "" }}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		require.NoError(t, err)
		self := topology.Front{Name: "a", Site: "west/hub", ID: 1, Start: 2, OwnerLease: 2_000_000}
		view := &topology.View{Index: 5, FleetID: 9, Fronts: []topology.Front{self}, Self: self, Registered: true}
		for i, site := range []string{"", "west", "west/hub"} {
			view.Owners = append(view.Owners, topology.Owner{Site: site, Name: "a", ID: 1, Start: 2, Number: uint64(i + 1)})
		}
		setFleetState := func() {
			ex.SetFleetState(&FleetState{View: view, FrontsChanged: 1, OwnerUntil: h.now() + 2_000_000, MajorityAsked: h.now()})
		}
		setFleetState()
		go func() {
			for {
				select {
				case <-time.After(100 * time.Millisecond):
					setFleetState()
				case <-loopEnded:
					return
				}
			}
		}()
		run(ex, h)
		require.NoError(t, ex.Close())
		close(stop)
		<-loopEnded
		time.Sleep(time.Second)
	})
}

// take makes n requests spread over a second and returns how many the limiter let through.
func (h *host) take(n int) (passed int) {
	done := make(chan struct{})
	for range n {
		h.Post(func() {
			if _, ok := h.limiter.Find("tenant", "t", h.now())[0].Take(h.now()); ok {
				passed++
			}
		})
		time.Sleep(time.Second / time.Duration(n))
	}
	h.Post(func() { close(done) })
	<-done
	return passed
}

// Guards against a task that, after it panicked on each message of one kind or stalled,
// does not restart from its snapshot, or keeps the front from spending what it holds.
func TestTasksRestartFromSnapshot(t *testing.T) {
	for name, fault := range map[string]func(on *atomic.Bool) func(string, any){
		"panics": func(on *atomic.Bool) func(string, any) {
			return func(task string, m any) {
				if e, ok := m.(Envelope); ok && task == "limits" && e.Up && on.Load() {
					panic("injected fault")
				}
			}
		},
		"stalls": func(on *atomic.Bool) func(string, any) {
			return func(task string, m any) {
				if _, ok := m.(bucketReports); ok && task == "limits" && on.CompareAndSwap(true, false) {
					time.Sleep(5 * time.Second)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			on := &atomic.Bool{}
			runSingleFront(t, fault(on), func(ex *Exchange, h *host) {
				time.Sleep(3 * time.Second)
				require.InDelta(t, 100, h.take(200), 15, "before")
				on.Store(true)
				require.InDelta(t, 100, h.take(200), 15, "spending what is held")
				require.InDelta(t, 100, h.take(200), 15, "spending what is held")
				time.Sleep(2 * time.Second)
				on.Store(false)
				require.Positive(t, ex.counts.Restarts.Load())
				time.Sleep(12 * time.Second)
				require.InDelta(t, 100, h.take(200), 15, "after")
			})
		})
	}
}

// Guards against a purge in a fleet of one front that is not applied or never completes,
// and against two purges for two requests under one key.
func TestPurgeWithSingleFront(t *testing.T) {
	runSingleFront(t, nil, func(ex *Exchange, h *host) {
		require.False(t, ex.CaughtUp())
		time.Sleep(3 * time.Second)
		require.True(t, ex.CaughtUp())
		ids := make(chan string, 2)
		for range 2 {
			ex.RequestPurge(invalidation.Scope{Kind: invalidation.Prefix, Name: "o1"}, "once", "", func(p invalidation.Purge, err error) { ids <- p.ID() })
		}
		require.Equal(t, <-ids, <-ids)
		time.Sleep(3 * time.Second)
		done := make(chan any, 1)
		ex.QueryPurges("once", func(v any, err error) { done <- v })
		require.True(t, (<-done).(PurgeProgress).Complete)
		require.Contains(t, h.invalidated, "prefix o1")
	})
}
