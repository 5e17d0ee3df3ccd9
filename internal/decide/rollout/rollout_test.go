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
	hash, err := s.StorePiece([]byte(text), 0)
	if err != nil {
		t.Fatal(err)
	}
	v.Pieces, v.Digest, v.Base = []string{hash}, hash, s.Stable
	n, err := s.Propose(v, r, 0)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Whichever fronts lag, a gate fences no more of them than the limit allows, for the
// fleet and for each zone, except that one is always allowed. It passes only once every
// reachable front acts on the version, reports that it acts on nothing older, or was
// fenced and its lease has expired.
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
				t.Fatalf("%d of %d fronts are fenced, limit %d%%, %d are behind", fenced, len(fleet), r.MaxFencedPercent, behind)
			}
			stable := s.Find(n)
			if stable.GatePassedAt > 0 && fenced < behind {
				t.Fatalf("the gate passed with %d fronts behind and %d fenced", behind, fenced)
			}
			if stable.GatePassedAt > 0 && behind > 0 && now < second+minExpiry {
				t.Fatalf("the gate passed at %d s, before the leases expired", now/second)
			}
			if now > 15*second && (stable.GatePassedAt > 0) != (len(stable.Exempt) == 0) {
				t.Fatalf("gate passed at %d, exempt fronts %v", stable.GatePassedAt, stable.Exempt)
			}
		}
	})
}

const minExpiry = 6 * second // a lease of 5 s has certainly expired after no less than this

// A step has at least one front per zone, or its percentage, and all fronts of the
// previous step. A proposal beside a candidate, or on a base that is no longer stable,
// is refused with that version's reason.
func TestStepCohortsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		var fleet []Machine
		for i := range rapid.IntRange(1, 40).Draw(t, "fronts") {
			fleet = append(fleet, Machine{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint("z", i%4), ID: uint64(i + 1), Lost: rapid.IntRange(0, 9).Draw(t, "lost") == 0})
		}
		n := propose(t, s, "a", Version{Steps: []int{0, 10, 50}, Reason: "previous version"}, Rules{})
		v := s.Find(n)
		var before []string
		for step := range v.Steps {
			s.beginStep(v, step, fleet, 0)
			for _, name := range before {
				if !v.inCohort(name) {
					t.Fatalf("step %d lacks front %s of the step before", step, name)
				}
			}
			before = slices.Clone(v.Cohort)
		}
		if v.Steps[len(v.Steps)-1] != 100 || !v.inCohort("n00") {
			t.Fatalf("the last step does not cover all fronts: %+v", v)
		}
		if _, err := s.Propose(Version{Pieces: v.Pieces, Digest: v.Digest}, Rules{}, 0); err == nil || !strings.Contains(err.Error(), "previous version") {
			t.Fatal(err)
		}
	})
}
