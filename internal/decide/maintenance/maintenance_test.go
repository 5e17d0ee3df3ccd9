package maintenance

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Whichever boxes are requested, those out of one hub never have more of its pace than
// the rules allow, except a single box that exceeds it alone; and all operations end.
func TestHubPaceLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.Rules.MaxOut, s.Rules.MaxZoneOut, s.Rules.MaxPacePercent, s.Rules.WarmUp = 1000, 1000, rapid.IntRange(10, 80).Draw(t, "pace"), 0
		fleet := Fleet{{Name: "a", Zone: "x"}}
		n := rapid.IntRange(1, 12).Draw(t, "boxes")
		for i := range n {
			op := Operation{Machine: string(rune('A' + i)), Kind: Box, Zone: []string{"h1", "h2"}[i%2], Duration: second, Pace: rapid.IntRange(1, 60).Draw(t, "share")}
			if _, err := s.Request(op, fleet, 0); err != nil {
				t.Fatal(err)
			}
		}
		for now := Micros(0); len(s.Operations) > 0; now += second {
			if now > Micros(5*n)*second {
				t.Fatalf("%d operations never end: %+v", len(s.Operations), s.Plan(fleet, now))
			}
			s.Step(fleet, now)
			used, count := map[string]int{}, map[string]int{}
			for i := range s.Operations {
				if op := &s.Operations[i]; op.Phase == Permitted || op.Phase.IsOut() {
					used[op.Zone] += op.Pace
					count[op.Zone]++
				}
			}
			for z, p := range used {
				if p > s.Rules.MaxPacePercent && count[z] > 1 {
					t.Fatalf("%d%% of the pace of %s is out, limit %d%%", p, z, s.Rules.MaxPacePercent)
				}
			}
			for _, id := range s.ids() {
				op := s.Find(id)
				switch op.Phase {
				case Permitted:
					_ = s.ConfirmLeft(op.Machine, op.Permit, "a", now)
				case Out:
					_ = s.Finish(id, now)
				}
			}
		}
	})
}

// A lost front counts as having left a box once its lease has certainly expired, and no
// earlier.
func TestExpiredLeaseCountsAsLeft(t *testing.T) {
	s := New()
	fleet := Fleet{{Name: "a"}, {Name: "b", Lost: true, LeaseExpiry: 60 * second}}
	s.Rules.MaxOut, s.Rules.MaxZoneOut, s.Rules.UnhealthyPercent = 9, 9, 100
	if _, err := s.Request(Operation{Machine: "box", Kind: Box, Duration: second, Urgent: true}, fleet, 0); err != nil {
		t.Fatal(err)
	}
	s.Step(fleet, second)
	if err := s.ConfirmLeft("box", s.LastPermit, "a", second); err != nil {
		t.Fatal(err)
	}
	s.Step(fleet, 59*second)
	if why := s.Explain("box", fleet, 59*second); s.ForMachine("box").Phase != Permitted || !strings.Contains(why, "surely over in 2 s") {
		t.Error(why)
	}
	s.Step(fleet, 60*second)
	if s.ForMachine("box").Phase != Out {
		t.Error(s.Explain("box", fleet, 60*second))
	}
}
