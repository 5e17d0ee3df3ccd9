package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func drawCommand(t *rapid.T) Command {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "front")
	id := uint64(name[0]) + uint64(rapid.IntRange(0, 1).Draw(t, "life"))*1000
	c := Command{ID: ID{Front: id, Start: 1, N: uint64(rapid.IntRange(1, 400).Draw(t, "n"))}}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		c.Join = &Join{membership.Front{Name: name, Zone: "z" + name[:rapid.IntRange(0, 1).Draw(t, "zone")], Machine: name, Address: "x", ID: id, Start: 1}}
	case 1:
		c.Facts = &Facts{Span: rapid.Int64Range(-5, 20_000_000).Draw(t, "span"), Contacts: []Contact{{Name: name, ID: id, Lost: rapid.Bool().Draw(t, "lost"),
			NotServing: rapid.Bool().Draw(t, "away"), Unhealthy: rapid.Bool().Draw(t, "hurt")}}}
	case 2:
		c.Request = &Request{Operation: maintenance.Operation{Machine: name, Duration: rapid.Int64Range(0, 100_000_000).Draw(t, "span"), StartWithin: rapid.Int64Range(-1, 50_000_000).Draw(t, "latest"),
			Importance: rapid.IntRange(-3, 3).Draw(t, "importance"), Urgent: rapid.Bool().Draw(t, "urgent"), EndsOnRestart: rapid.Bool().Draw(t, "restart"),
			SingleZone: rapid.Bool().Draw(t, "zonewise"), ConflictsWith: rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 1).Draw(t, "apart")}}
	case 3:
		c.Order = &Order{Action: rapid.SampledFrom([]string{Cancel, Hold, Resume, Lost, Finish, "?"}).Draw(t, "what"), Operation: uint64(rapid.IntRange(0, 9).Draw(t, "work"))}
	case 4:
		c.Reports = []Report{{Kind: rapid.SampledFrom([]string{Accepted, Drained, Returned, Left}).Draw(t, "what"), Machine: name,
			Permit: uint64(rapid.IntRange(0, 9).Draw(t, "permit")), Front: name, ID: id, Start: 1}}
	case 5:
		c.Leave = &Leave{name}
	}
	return c
}

// Replicas that apply the same commands hold the same bytes, also if one of them was
// restored from a snapshot in between; commands survive encoding; permits never exceed
// the budget of machines out; each machine has one operation.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		rules := maintenance.DefaultRules()
		rules.MaxOut, rules.MaxZoneOut, rules.MaxFrontsPercent = rapid.IntRange(1, 3).Draw(t, "out"), 3, 100
		found := Command{ID: ID{N: 1}, Found: &Found{Name: "x", Fleet: 7, Rules: rules}}
		a.Apply(found)
		b.Apply(found)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t)
			encoded, err := Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			if c, err = Decode(encoded); err != nil {
				t.Fatal(err)
			}
			last := a.State().Maintenance.LastPermit
			wa, _ := a.Apply(c)
			wb, _ := b.Apply(c)
			if wa != wb {
				t.Fatalf("results differ: %+v and %+v", wa, wb)
			}
			if !bytes.Equal(a.Snapshot(), b.Snapshot()) {
				t.Fatal("the snapshots of two replicas differ")
			}
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				if err := b.Restore(a.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			s := a.State()
			out, machines := 0, map[string]bool{}
			for _, op := range s.Maintenance.Operations {
				if machines[op.Machine] || op.Phase.Ended() {
					t.Fatalf("two operations on %s, or one that has ended", op.Machine)
				}
				machines[op.Machine] = true
				if op.Phase == maintenance.Permitted || op.Phase.IsOut() {
					out++
				}
			}
			if s.Maintenance.LastPermit > last && out > rules.MaxOut {
				t.Fatalf("%d machines out, limit %d", out, rules.MaxOut)
			}
		}
	})
}

// Truncated snapshots and commands are rejected.
func TestTruncatedInputRejected(t *testing.T) {
	r := New()
	r.Apply(Command{ID: ID{N: 1}, Found: &Found{Name: "x", Fleet: 7, Rules: maintenance.DefaultRules()}})
	snapshot := r.Snapshot()
	for cut := range len(snapshot) {
		if err := New().Restore(snapshot[:cut]); err == nil {
			t.Fatalf("a snapshot truncated at %d was accepted", cut)
		}
	}
	encoded, _ := Encode(Command{ID: ID{N: 1}, Leave: &Leave{"x"}})
	for cut := range len(encoded) {
		if _, err := Decode(encoded[:cut]); err == nil {
			t.Fatalf("a command truncated at %d was accepted", cut)
		}
	}
}

// BenchmarkPlan measures the plan, a step and a command with a thousand operations.
func BenchmarkPlan(b *testing.B) {
	r := New()
	rules := maintenance.DefaultRules()
	r.Apply(Command{ID: ID{N: 1}, Found: &Found{Name: "x", Fleet: 7, Rules: rules}})
	for i := range 300 {
		name := fmt.Sprintf("n%03d", i)
		r.Apply(Command{Join: &Join{membership.Front{Name: name, Zone: fmt.Sprintf("z%d", i%5), Machine: name, Address: "x", ID: uint64(i + 1), Start: 1}}})
		r.Apply(Command{Facts: &Facts{Contacts: []Contact{{Name: name, ID: uint64(i + 1)}}}})
	}
	for i := range 1000 {
		op := maintenance.Operation{Machine: fmt.Sprintf("box%04d", i), Kind: maintenance.Box, Zone: fmt.Sprintf("z%d", i%5), Duration: 1_000_000}
		if i < 300 {
			op.Machine, op.Kind = fmt.Sprintf("n%03d", i), maintenance.Front
		}
		r.Apply(Command{ID: ID{N: uint64(i + 2)}, Request: &Request{Operation: op}})
	}
	s := r.State()
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			s.Maintenance.Plan(r.Fleet(), s.Now)
		}
	})
	b.Run("step", func(b *testing.B) {
		for b.Loop() {
			s.Maintenance.Step(r.Fleet(), s.Now)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			r.Apply(Command{Facts: &Facts{Span: 1}})
		}
	})
	b.ReportMetric(float64(len(r.Snapshot()))/1300, "state-bytes/front-or-work")
}
