package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/statemachine"
	"cherryramp/internal/fleet"
)

// together makes a fleet in virtual time that lives by leases.
func together(b *testing.B, fronts int, seed uint64) *World {
	b.Helper()
	r := ShortRules()
	r.LeaseSpan, r.UnhealthyPercent, r.DrainTimeout = 10*Second, 90, Second
	w := NewWorld(Spec{Fronts: fronts, Zones: 5, Seed: seed, Rules: r, FanOut: 16})
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(300*Second, w.Settled) {
		b.Fatal("the fleet does not come together")
	}
	return w
}

// proposes has the leader take in a version of so many bytes, and gives its number.
func (w *World) proposes(b *testing.B, size int, v rollout.Version) uint64 {
	b.Helper()
	data := []byte(strings.Repeat(fmt.Sprintf("%016d", w.now), size/16+1))[:size]
	v.Digest, v.Base = rollout.Hash(data), w.Leader().node.Replica().State().Rollout.Stable
	left := 0
	for len(data) > 0 {
		n := min(len(data), rollout.MaxPieceSize)
		v.Pieces = append(v.Pieces, rollout.Hash(data[:n]))
		left++
		w.order(w.Leader(), statemachine.Command{Piece: data[:n]}, func(word statemachine.Result, err error) {
			if err != nil || word.Err != "" {
				b.Errorf("%v %v", word, err)
			}
			left--
		})
		data = data[n:]
	}
	w.RunUntil(20*Second, func() bool { return left == 0 })
	n := uint64(0)
	w.order(w.Leader(), statemachine.Command{Propose: &v}, func(word statemachine.Result, err error) {
		if n = word.Number; err != nil || word.Err != "" {
			b.Errorf("%v %v", word, err)
		}
	})
	w.RunUntil(20*Second, func() bool { return n > 0 })
	return n
}

func (w *World) allAct(n uint64) bool {
	for _, f := range w.Fronts {
		if f.node == nil || f.taker.Active() != n {
			return false
		}
	}
	return true
}

// From a version's first piece until all fronts act on it, in virtual time (1 ms a
// message, 0.1 to 0.6 ms a write): an urgent one, and by the usual steps unwatched.
func BenchmarkSpread(b *testing.B) {
	for _, fronts := range []int{5, 50, 300} {
		for _, size := range []int{4 << 10, 256 << 10} {
			b.Run(fmt.Sprintf("fronts=%d/KB=%d", fronts, size>>10), func(b *testing.B) {
				for b.Loop() {
					w := together(b, fronts, 5)
					for _, x := range []struct {
						name string
						v    rollout.Version
					}{{"urgent", rollout.Version{Urgent: true}}, {"by-steps", rollout.Version{}}} {
						began := w.now
						n := w.proposes(b, size, x.v)
						if !w.RunUntil(120*Second, func() bool { return w.allAct(n) }) {
							b.Fatal("not all act on it")
						}
						b.ReportMetric(float64(w.now-began)/1e6, "s-"+x.name)
					}
				}
			})
		}
	}
}

// From a version with a bar of 2 s standing until its bar has passed, with one front
// cut off that lives by a lease of 10 s: promised is that it has stopped by then.
func BenchmarkShutOut(b *testing.B) {
	for b.Loop() {
		w := together(b, 50, 6)
		cut := others(w)[0]
		for _, f := range w.Fronts {
			w.Cut(cut.Name, f.Name, true)
			w.Cut(f.Name, cut.Name, true)
		}
		began, stopped := w.now, Micros(0)
		n := w.proposes(b, 4096, rollout.Version{Urgent: true, Gate: 2 * Second})
		if !w.RunUntil(120*Second, func() bool {
			if stopped == 0 && !cut.acts() {
				stopped = w.now
			}
			return w.Leader().node.Replica().State().Rollout.EnforcedMin >= n
		}) || w.Checker.Failed() {
			b.Fatal("the bar does not pass", w.Checker.Violations())
		}
		b.ReportMetric(float64(stopped-began)/1e6, "s-until-it-stopped")
		b.ReportMetric(float64(w.now-began)/1e6, "s-until-passed")
	}
}

// Stragglers that were cut off across a version of 64 KB come back at once: until all
// act on it, what the leader sends meanwhile, and what one straggler costs.
func BenchmarkStragglers(b *testing.B) {
	for _, away := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("away=", away), func(b *testing.B) {
			for b.Loop() {
				w := together(b, 300, 7)
				var cut, rest []string
				for i, f := range w.Fronts {
					if i >= len(w.Fronts)-away {
						cut = append(cut, f.Name)
					} else {
						rest = append(rest, f.Name)
					}
				}
				w.Partition(rest, cut)
				n := w.proposes(b, 64<<10, rollout.Version{Urgent: true})
				w.Run(w.now + 20*Second)
				before, leader := 0, w.Leader()
				for _, f := range w.Fronts {
					before += w.BytesSent[f.Name]
				}
				lead := w.BytesSent[leader.Name]
				w.Partition()
				began := w.now
				if !w.RunUntil(120*Second, func() bool { return w.allAct(n) }) {
					b.Fatal("not all come up")
				}
				sum := -before
				for _, f := range w.Fronts {
					sum += w.BytesSent[f.Name]
				}
				b.ReportMetric(float64(w.now-began)/1e6, "s-all-up")
				b.ReportMetric(float64(w.BytesSent[leader.Name]-lead)/1024, "KB-leader")
				b.ReportMetric(float64(sum)/1024, "KB-all")
			}
		})
	}
}

// Twelve started fronts under 200 requests a second: versions by the usual steps
// unwatched, urgent ones, and each question of the audit.
func BenchmarkVersions(b *testing.B) {
	f := processes(b, Options{Fronts: 12, Zones: 3, Seed: 8, Rules: VersionRules()})
	for b.Loop() {
		clients := NewClients(f, 200)
		var steps, urgent []time.Duration
		for i := range 20 {
			x := fleet.Proposal{Urgent: i%2 == 0}
			began := time.Now()
			n, err := f.List[i%12].Propose(ProbeSettings(i), x)
			if err != nil {
				b.Fatal(err)
			}
			for done := false; !done; time.Sleep(5 * time.Millisecond) {
				done = true
				for _, p := range f.List {
					s, err := p.Status()
					done = done && err == nil && s.ActiveVersion == n
				}
			}
			if x.Urgent {
				urgent = append(urgent, time.Since(began))
			} else {
				steps = append(steps, time.Since(began))
			}
			_ = Await(within, func() bool { v := f.List[0].version(n); return v.Phase == "standing" })
		}
		quantiles(b, steps, "by-steps")
		quantiles(b, urgent, "urgent")
		for _, q := range []struct{ name, text string }{{"front", `{"front":true,"name":"n1"}`}, {"version", `{"by_version":true,"version":3}`},
			{"request", `{"request":"0000000000000010"}`}, {"at", `{"at":true,"fleet_us":20000000}`}, {"holes", `{"holes":true}`}, {"verify", `{"verify":true}`}} {
			began := time.Now()
			if err := f.List[0].Call("FLEET AUDIT "+q.text, nil); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-"+q.name)
		}
		if first := clients.Stop(); first != "" {
			b.Fatal(first)
		}
		b.ReportMetric(float64(clients.Lost.Load()+clients.Failed.Load()), "lost-or-failed")
		b.ReportMetric(float64(clients.Served.Load()), "served")
	}
}
