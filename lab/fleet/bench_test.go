package fleet

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/statemachine"
	"cherryramp/internal/fleet"
)

// Traffic between the fronts of a fleet, idle and at ten operations a minute: messages and
// bytes per second that a front sends, for the leader, relays, voters and followers.
func BenchmarkTraffic(b *testing.B) {
	for _, fronts := range []int{5, 50, 300} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("fronts=%d/busy=%v", fronts, busy), func(b *testing.B) {
				for b.Loop() {
					measureTraffic(b, fronts, busy)
				}
			})
		}
	}
}

func measureTraffic(b *testing.B, fronts int, busy bool) {
	r := ShortRules()
	r.MaxOut, r.MaxZoneOut, r.MaxFrontsPercent = 3, 3, 50
	w := NewWorld(Spec{Fronts: fronts, Zones: 5, Seed: 9, Rules: r, FanOut: 16})
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(300*Second, w.Settled) {
		w.Dump(b.Output(), 40)
		b.Fatal("the fleet does not settle")
	}
	b.ReportMetric(float64(w.Now())/1e6, "s-to-settle")
	w.Run(w.Now() + 10*Second)
	clear(w.MessagesSent)
	clear(w.BytesSent)
	leader, began := w.Leader(), w.Now()
	const span = 60
	if busy {
		for i := range 10 {
			w.After(Micros(i)*6*Second, func() {
				w.RequestOperation(w.Fronts[1], maintenance.Operation{Machine: fmt.Sprintf("box%d", i), Kind: maintenance.Box, Zone: fmt.Sprint(i), Duration: Second}, func(statemachine.Result, error) {})
			})
			w.After(Micros(i)*6*Second+4*Second, func() {
				w.SubmitOrder(w.Fronts[1], statemachine.Order{Action: statemachine.Finish, Operation: uint64(i + 1)}, func(statemachine.Result, error) {})
			})
		}
	}
	w.Run(began + span*Second)
	if w.Leader() != leader || w.Checker.Failed() {
		b.Fatalf("the leader changed, or violations: %v", w.Checker.Violations())
	}
	sent, bytes, count := map[string]int{}, map[string]int{}, map[string]int{}
	for _, f := range w.Fronts {
		role := "follower"
		if f == leader {
			role = "leader"
		} else if f.node.Children() > 0 {
			role = "relay"
		} else if f.node.Replica().State().Seats.Has(f.node.ID()) {
			role = "voter"
		}
		count[role]++
		sent[role] += w.MessagesSent[f.Name]
		bytes[role] += w.BytesSent[f.Name]
	}
	for role := range count {
		b.ReportMetric(float64(sent[role])/float64(count[role])/span, "msg/s-"+role)
		b.ReportMetric(float64(bytes[role])/float64(count[role])/span, "B/s-"+role)
	}
}

// benchFleet starts a fleet for a benchmark.
func benchFleet(b *testing.B, o Options) *Processes {
	b.Helper()
	o.Program = program
	f, err := NewProcesses(o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	if err := f.StartAll(); err != nil {
		b.Fatal(err)
	}
	if err := Await(waitTimeout, f.Settled); err != nil {
		b.Fatal(err, f.StatusReport())
	}
	return f
}

func reportQuantiles(b *testing.B, list []time.Duration, what string) {
	slices.Sort(list)
	b.ReportMetric(list[len(list)/2].Seconds(), "s-p50-"+what)
	b.ReportMetric(list[len(list)*99/100].Seconds(), "s-p99-"+what)
}

// Time from a leader's crash until a front knows the next leader, and until that leader
// grants a permit.
func BenchmarkElection(b *testing.B) {
	f := benchFleet(b, Options{Fronts: 5, Zones: 3, Seed: 4, Rules: map[string]any{"out": 5, "zone": 5, "percent": 100, "hurt_percent": 100, "cold_s": 0.1}})
	var elect, permit []time.Duration
	for b.Loop() {
		for range 30 {
			l := f.Leader()
			for l == nil {
				l = f.Leader()
			}
			at := f.List[0]
			if at == l {
				at = f.List[1]
			}
			began := time.Now()
			l.Kill()
			for {
				if s, err := at.Status(); err == nil && s.Leader != "" && s.Leader != l.Name {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			elect = append(elect, time.Since(began))
			var id uint64
			var err error
			for id, err = at.RequestOperation(fleet.OperationRequest{Machine: "s-0", Box: true, SpanS: 1, Urgent: true}); err != nil; {
				id, err = at.RequestOperation(fleet.OperationRequest{Machine: "s-0", Box: true, SpanS: 1, Urgent: true})
			}
			for operationPhase(at, "s-0") == "asked" {
				time.Sleep(5 * time.Millisecond)
			}
			permit = append(permit, time.Since(began))
			_ = at.Call(fmt.Sprint("FLEET WORK CANCEL ", id), nil)
			if err := l.Start(); err != nil {
				b.Fatal(err)
			}
			if err := Await(waitTimeout, f.Settled); err != nil {
				b.Fatal(err, f.StatusReport())
			}
		}
	}
	reportQuantiles(b, elect, "elected")
	reportQuantiles(b, permit, "permit")
}

// Time from the start of a wiped front until it has caught up.
func BenchmarkWiped(b *testing.B) {
	f := benchFleet(b, Options{Fronts: 5, Zones: 3, Seed: 5})
	var back []time.Duration
	for b.Loop() {
		for i := range 10 {
			p := f.List[1+i%4]
			p.Kill()
			if err := p.Wipe(); err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			if err := p.Start(); err != nil {
				b.Fatal(err)
			}
			for {
				if s, err := p.Status(); err == nil && s.ID != "" && s.Applied > 10 {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			back = append(back, time.Since(began))
			if err := Await(waitTimeout, f.Settled); err != nil {
				b.Fatal(err, f.StatusReport())
			}
		}
	}
	reportQuantiles(b, back, "back")
}

// Twelve fronts are restarted by planned operations under 200 requests a second, with one
// crash meanwhile.
func BenchmarkRollingUpgrade(b *testing.B) {
	f := benchFleet(b, Options{Fronts: 12, Zones: 3, Seed: 6, Rules: map[string]any{"out": 2, "zone": 1, "percent": 34, "hurt_percent": 50, "accept_s": 5,
		"cold_s": 1}})
	for b.Loop() {
		clients := NewClients(f, 200)
		time.Sleep(2 * time.Second)
		began := time.Now()
		for _, p := range f.List {
			if _, err := f.List[0].RequestOperation(fleet.OperationRequest{Machine: p.Name, SpanS: 60, EndsOnRestart: true, Reason: "upgrade"}); err != nil {
				b.Fatal(err)
			}
		}
		restarted, crashed := map[string]bool{}, false
		for {
			at := f.Leader()
			if at == nil {
				continue
			}
			list, err := at.Plan()
			if err != nil {
				continue
			}
			if len(list) == 0 {
				break
			}
			for _, w := range list {
				p := f.Find(w.Machine)
				if w.Phase != "out" || restarted[w.Machine] {
					continue
				}
				restarted[w.Machine] = true
				go func() { _ = p.Stop(); _ = p.Start() }()
			}
			if len(restarted) >= 6 && !crashed {
				crashed = true
				for _, p := range f.List {
					if !restarted[p.Name] {
						p.Kill()
						go func() { time.Sleep(time.Second); _ = p.Start() }()
						break
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		took := time.Since(began)
		first := clients.Stop()
		b.ReportMetric(took.Seconds(), "s-all-restarted")
		b.ReportMetric(float64(clients.Lost.Load()), "lost")
		b.ReportMetric(float64(clients.Served.Load()), "served")
		b.ReportMetric(float64(clients.Refused.Load()+clients.Failed.Load()+clients.Unreachable.Load()), "refused-or-failed")
		b.ReportMetric(float64(clients.Crashed.Load()), "crashed-under")
		if first != "" {
			b.Log(first)
		}
	}
}

// Log entries per second of three fronts with disks: with one caller, and with 64
// concurrent ones, which share the waits for the disk.
func BenchmarkEntries(b *testing.B) {
	for _, at := range []int{1, 64} {
		b.Run(fmt.Sprintf("at-once=%d", at), func(b *testing.B) {
			f := benchFleet(b, Options{Fronts: 3, Zones: 3, Seed: 7})
			l := f.Leader()
			for b.Loop() {
				began, n := time.Now(), 0
				var wg sync.WaitGroup
				var count atomic.Int64
				for range at {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for time.Since(began) < 3*time.Second {
							if l.Call("FLEET WORK HOLD bench", nil) == nil {
								count.Add(1)
							}
						}
					}()
				}
				wg.Wait()
				n = int(count.Load())
				b.ReportMetric(float64(n)/time.Since(began).Seconds(), "entries/s")
			}
		})
	}
}

// 300 fronts in virtual time, of which 30 crash and restart all the time, with operations
// on the others.
func BenchmarkFlapping(b *testing.B) {
	for b.Loop() {
		d := playFlapping(b, 300, 30, 30*Second)
		b.ReportMetric(float64(d.Entries), "entries")
		b.ReportMetric(float64(d.Asked), "works-asked")
		b.ReportMetric(float64(d.Ended), "works-ended")
	}
}

// Size of the replicated state per front and per operation.
func BenchmarkState(b *testing.B) {
	for b.Loop() {
		r := statemachine.New()
		r.Apply(statemachine.Command{Found: &statemachine.Found{Name: "f", Fleet: 1, Rules: maintenance.DefaultRules()}})
		empty := len(r.Snapshot())
		for i := range 300 {
			n := fmt.Sprintf("front-%03d", i)
			r.Apply(statemachine.Command{Join: &statemachine.Join{Front: membership.Front{Name: n, Zone: fmt.Sprintf("zone-%d", i%5), Machine: n, Address: fmt.Sprintf("10.0.%d.%d:7003", i/200, i%200),
				ID: ^uint64(i), Start: ^uint64(i) / 3, Build: "0123456789ab"}}})
		}
		fronts := len(r.Snapshot())
		for i := range 100 {
			r.Apply(statemachine.Command{Request: &statemachine.Request{Operation: maintenance.Operation{Machine: fmt.Sprintf("front-%03d", i), Duration: 600 * Second, Reason: "a new build"}}})
		}
		b.ReportMetric(float64(fronts-empty)/300, "B/front")
		b.ReportMetric(float64(len(r.Snapshot())-fronts)/100, "B/work")
	}
}
