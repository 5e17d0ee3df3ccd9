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

// benchWorld starts a fleet with leases in virtual time.
func benchWorld(b *testing.B, fronts int, seed uint64) *World {
	b.Helper()
	r := ShortRules()
	r.LeaseSpan, r.UnhealthyPercent, r.DrainTimeout = 10*Second, 90, Second
	w := NewWorld(Spec{Fronts: fronts, Zones: 5, Seed: seed, Rules: r, FanOut: 16})
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(300*Second, w.Settled) {
		b.Fatal("the fleet does not settle")
	}
	return w
}

// propose uploads a version of the given size to the leader, proposes it and returns its
// number.
func (w *World) propose(b *testing.B, size int, v rollout.Version) uint64 {
	b.Helper()
	data := []byte(strings.Repeat(fmt.Sprintf("%016d", w.now), size/16+1))[:size]
	v.Digest, v.Base = rollout.Hash(data), w.Leader().node.Replica().State().Rollout.Stable
	left := 0
	for len(data) > 0 {
		n := min(len(data), rollout.MaxPieceSize)
		v.Pieces = append(v.Pieces, rollout.Hash(data[:n]))
		left++
		w.submit(w.Leader(), statemachine.Command{Piece: data[:n]}, func(result statemachine.Result, err error) {
			if err != nil || result.Err != "" {
				b.Errorf("%v %v", result, err)
			}
			left--
		})
		data = data[n:]
	}
	w.RunUntil(20*Second, func() bool { return left == 0 })
	n := uint64(0)
	w.submit(w.Leader(), statemachine.Command{Propose: &v}, func(result statemachine.Result, err error) {
		if n = result.Number; err != nil || result.Err != "" {
			b.Errorf("%v %v", result, err)
		}
	})
	w.RunUntil(20*Second, func() bool { return n > 0 })
	return n
}

func (w *World) allActive(n uint64) bool {
	for _, f := range w.Fronts {
		if f.node == nil || f.applier.Active() != n {
			return false
		}
	}
	return true
}

// Virtual time from the first piece of a version until all fronts act on it (1 ms a
// message, 0.1 to 0.6 ms a write), for an urgent version and for the default steps without
// a watch period.
func BenchmarkSpread(b *testing.B) {
	for _, fronts := range []int{5, 50, 300} {
		for _, size := range []int{4 << 10, 256 << 10} {
			b.Run(fmt.Sprintf("fronts=%d/KB=%d", fronts, size>>10), func(b *testing.B) {
				for b.Loop() {
					w := benchWorld(b, fronts, 5)
					for _, x := range []struct {
						name string
						v    rollout.Version
					}{{"urgent", rollout.Version{Urgent: true}}, {"by-steps", rollout.Version{}}} {
						began := w.now
						n := w.propose(b, size, x.v)
						if !w.RunUntil(120*Second, func() bool { return w.allActive(n) }) {
							b.Fatal("not all fronts act on it")
						}
						b.ReportMetric(float64(w.now-began)/1e6, "s-"+x.name)
					}
				}
			})
		}
	}
}

// Time from proposing a version with a health gate of 2 s until the gate has passed, with
// one front partitioned that has a lease of 10 s: it must have stopped serving by then.
func BenchmarkShutOut(b *testing.B) {
	for b.Loop() {
		w := benchWorld(b, 50, 6)
		isolated := followers(w)[0]
		for _, f := range w.Fronts {
			w.Cut(isolated.Name, f.Name, true)
			w.Cut(f.Name, isolated.Name, true)
		}
		began, stopped := w.now, Micros(0)
		n := w.propose(b, 4096, rollout.Version{Urgent: true, Gate: 2 * Second})
		if !w.RunUntil(120*Second, func() bool {
			if stopped == 0 && !isolated.mayAct() {
				stopped = w.now
			}
			return w.Leader().node.Replica().State().Rollout.EnforcedMin >= n
		}) || w.Checker.Failed() {
			b.Fatal("the gate does not pass", w.Checker.Violations())
		}
		b.ReportMetric(float64(stopped-began)/1e6, "s-until-it-stopped")
		b.ReportMetric(float64(w.now-began)/1e6, "s-until-passed")
	}
}

// Lagging fronts that were partitioned during a version of 64 KB return at once: time until
// all act on it, and what the leader and all fronts send meanwhile.
func BenchmarkStragglers(b *testing.B) {
	for _, lagging := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("away=", lagging), func(b *testing.B) {
			for b.Loop() {
				w := benchWorld(b, 300, 7)
				var partitioned, others []string
				for i, f := range w.Fronts {
					if i >= len(w.Fronts)-lagging {
						partitioned = append(partitioned, f.Name)
					} else {
						others = append(others, f.Name)
					}
				}
				w.Partition(others, partitioned)
				n := w.propose(b, 64<<10, rollout.Version{Urgent: true})
				w.Run(w.now + 20*Second)
				before, leader := 0, w.Leader()
				for _, f := range w.Fronts {
					before += w.BytesSent[f.Name]
				}
				lead := w.BytesSent[leader.Name]
				w.Partition()
				began := w.now
				if !w.RunUntil(120*Second, func() bool { return w.allActive(n) }) {
					b.Fatal("not all fronts catch up")
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

// Twelve started fronts under 200 requests a second: versions with the default steps
// without a watch period, urgent ones, and each kind of audit query.
func BenchmarkVersions(b *testing.B) {
	f := benchFleet(b, Options{Fronts: 12, Zones: 3, Seed: 8, Rules: VersionRules()})
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
			_ = Await(waitTimeout, func() bool { v := f.List[0].findVersion(n); return v.Phase == "standing" })
		}
		reportQuantiles(b, steps, "by-steps")
		reportQuantiles(b, urgent, "urgent")
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
