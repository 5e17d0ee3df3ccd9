package maintenance

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Whatever boxes are asked for, those under way in a hub never have more of its pace
// than the rules let, but for one that has more by itself; and all go in the end.
func TestPaceOfAHub(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.Rules.Out, s.Rules.Zone, s.Rules.Pace, s.Rules.Cold = 1000, 1000, rapid.IntRange(10, 80).Draw(t, "pace"), 0
		fleet := Fleet{{Name: "a", Zone: "x"}}
		n := rapid.IntRange(1, 12).Draw(t, "boxes")
		for i := range n {
			x := Item{Machine: string(rune('A' + i)), Kind: ABox, Zone: []string{"h1", "h2"}[i%2], Span: second, Pace: rapid.IntRange(1, 60).Draw(t, "share")}
			if _, err := s.Ask(x, fleet, 0); err != nil {
				t.Fatal(err)
			}
		}
		for now := Micros(0); len(s.Items) > 0; now += second {
			if now > Micros(5*n)*second {
				t.Fatalf("%d works never end: %+v", len(s.Items), s.Plan(fleet, now))
			}
			s.Step(fleet, now)
			used, count := map[string]int{}, map[string]int{}
			for i := range s.Items {
				if x := &s.Items[i]; x.Phase == Permitted || x.Phase.IsOut() {
					used[x.Zone] += x.Pace
					count[x.Zone]++
				}
			}
			for z, p := range used {
				if p > s.Rules.Pace && count[z] > 1 {
					t.Fatalf("%d%% of %s are out, %d%% may be", p, z, s.Rules.Pace)
				}
			}
			for _, id := range s.ids() {
				x := s.Find(id)
				switch x.Phase {
				case Permitted:
					_ = s.Leave(x.Machine, x.Permit, "a", now)
				case Out:
					_ = s.Finish(id, now)
				}
			}
		}
	})
}

// A front whose lease is surely over counts as having left a box, not a moment before.
func TestLeaseOverLeavesABox(t *testing.T) {
	s := New()
	fleet := Fleet{{Name: "a"}, {Name: "b", Lost: true, Ended: 60 * second}}
	s.Rules.Out, s.Rules.Zone, s.Rules.Hurt = 9, 9, 100
	if _, err := s.Ask(Item{Machine: "box", Kind: ABox, Span: second, Urgent: true}, fleet, 0); err != nil {
		t.Fatal(err)
	}
	s.Step(fleet, second)
	if err := s.Leave("box", s.Last, "a", second); err != nil {
		t.Fatal(err)
	}
	s.Step(fleet, 59*second)
	if why := s.Why("box", fleet, 59*second); s.On("box").Phase != Permitted || !strings.Contains(why, "surely over in 2 s") {
		t.Error(why)
	}
	s.Step(fleet, 60*second)
	if s.On("box").Phase != Out {
		t.Error(s.Why("box", fleet, 60*second))
	}
}
