package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func propose(t *rapid.T, s *State, text string, v Version, r Rules) uint64 {
	h, err := s.StorePiece([]byte(text), 0)
	if err != nil {
		t.Fatal(err)
	}
	v.Pieces, v.Digest, v.Base = []string{h}, h, s.Stable
	n, err := s.Propose(v, r, 0)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// However fronts lag, a bar shuts out no more than the quota lets, of the fleet and of a
// zone, but for one; it passes only once each front that is heard acts on the version,
// says that it acts on nothing older, or was shut out and its lease is over.
func TestGateRespectsFencedQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rules{LeaseSpan: 5 * second, MaxFencedPercent: rapid.IntRange(0, 100).Draw(t, "quota")}
		s := &State{}
		var fleet []Machine
		for i := range rapid.IntRange(1, 12).Draw(t, "fronts") {
			fleet = append(fleet, Machine{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint("z", i%3), ID: uint64(i + 1), Start: 1, Lease: 5 * second})
		}
		n := propose(t, s, "a", Version{Urgent: true, Gate: second}, r)
		behind := 0
		for i := range fleet {
			status := FrontStatus{Name: fleet[i].Name, ID: fleet[i].ID, Start: 1, Active: n}
			if rapid.Bool().Draw(t, "behind") {
				status.Active = 0
				behind++
			}
			s.ApplyReport(status, 0)
		}
		for now := Micros(0); now < 20*second; now += second {
			s.Step(fleet, r, now, true)
			fenced, zones := 0, map[string]int{}
			for i := range fleet {
				if s.Status(fleet[i].Name).Fenced > 0 {
					fenced++
					zones[fleet[i].Zone]++
				}
			}
			if fenced > max(1, r.MaxFencedPercent*len(fleet)/100) || fenced > behind {
				t.Fatalf("%d of %d are shut out, %d%% may be, %d are behind", fenced, len(fleet), r.MaxFencedPercent, behind)
			}
			g := s.Find(n)
			if g.GatePassedAt > 0 && fenced < behind {
				t.Fatalf("the bar has passed with %d behind and %d shut out", behind, fenced)
			}
			if g.GatePassedAt > 0 && behind > 0 && now < second+minExpiry {
				t.Fatalf("the bar has passed at %d s, within a lease", now/second)
			}
			if now > 15*second && (g.GatePassedAt > 0) != (len(g.Exempt) == 0) {
				t.Fatalf("passed %d, spared %v", g.GatePassedAt, g.Exempt)
			}
		}
	})
}

const minExpiry = 6 * second // a lease of 5 s is surely over after so much at the least

// A step has at least one front a zone, or its share, and all of the step before; what
// is proposed beside another or on what no longer stands is refused with its name.
func TestStepCohortsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		var fleet []Machine
		for i := range rapid.IntRange(1, 40).Draw(t, "fronts") {
			fleet = append(fleet, Machine{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint("z", i%4), ID: uint64(i + 1), Lost: rapid.IntRange(0, 9).Draw(t, "lost") == 0})
		}
		n := propose(t, s, "a", Version{Steps: []int{0, 10, 50}, Reason: "the one before"}, Rules{})
		v := s.Find(n)
		var before []string
		for step := range v.Steps {
			s.beginStep(v, step, fleet, 0)
			for _, name := range before {
				if !v.inCohort(name) {
					t.Fatalf("step %d has not %s", step, name)
				}
			}
			before = slices.Clone(v.Cohort)
		}
		if v.Steps[len(v.Steps)-1] != 100 || !v.inCohort("n00") {
			t.Fatalf("the last step is not all: %+v", v)
		}
		if _, err := s.Propose(Version{Pieces: v.Pieces, Digest: v.Digest}, Rules{}, 0); err == nil || !strings.Contains(err.Error(), "the one before") {
			t.Fatal(err)
		}
	})
}
