package fleet

import (
	"fmt"
	"testing"

	"cherryramp/internal/decide/replica"
	"cherryramp/internal/decide/work"
)

// What goes between the fronts of a fleet, idle and at ten works a minute: messages
// and bytes that a front sends a second, of the leader, of who feeds others, and of the rest.
func BenchmarkTraffic(b *testing.B) {
	for _, fronts := range []int{5, 50, 300} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("fronts=%d/busy=%v", fronts, busy), func(b *testing.B) {
				for b.Loop() {
					traffic(b, fronts, busy)
				}
			})
		}
	}
}

func traffic(b *testing.B, fronts int, busy bool) {
	r := ShortRules()
	r.Out, r.Zone, r.Percent = 3, 3, 50
	w := NewWorld(Spec{Fronts: fronts, Zones: 5, Seed: 9, Rules: r, FanOut: 16})
	for _, f := range w.Fronts {
		f.Start()
	}
	if !w.RunUntil(300*Second, w.Settled) {
		w.Dump(b.Output(), 40)
		b.Fatal("the fleet does not come together")
	}
	b.ReportMetric(float64(w.Now())/1e6, "s-to-settle")
	w.Run(w.Now() + 10*Second)
	clear(w.Sent)
	clear(w.Bytes)
	leader, began := w.Leader(), w.Now()
	const span = 60
	if busy {
		for i := range 10 {
			w.After(Micros(i)*6*Second, func() {
				w.Ask(w.Fronts[1], work.Item{Machine: fmt.Sprintf("box%d", i), Kind: work.ABox, Zone: fmt.Sprint(i), Span: Second}, func(replica.Word, error) {})
			})
			w.After(Micros(i)*6*Second+4*Second, func() {
				w.Order(w.Fronts[1], replica.Order{What: replica.Finish, Work: uint64(i + 1)}, func(replica.Word, error) {})
			})
		}
	}
	w.Run(began + span*Second)
	if w.Leader() != leader || w.Checks.Failed() {
		b.Fatalf("the leader changed, or %v", w.Checks.Broken())
	}
	sent, bytes, n := map[string]int{}, map[string]int{}, map[string]int{}
	for _, f := range w.Fronts {
		role := "follower"
		if f == leader {
			role = "leader"
		} else if f.node.Children() > 0 {
			role = "relay"
		} else if f.node.Replica().State().Seats.Has(f.node.ID()) {
			role = "voter"
		}
		n[role]++
		sent[role] += w.Sent[f.Name]
		bytes[role] += w.Bytes[f.Name]
	}
	for role := range n {
		b.ReportMetric(float64(sent[role])/float64(n[role])/span, "msg/s-"+role)
		b.ReportMetric(float64(bytes[role])/float64(n[role])/span, "B/s-"+role)
	}
}
