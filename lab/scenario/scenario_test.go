package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
	"cherryramp/lab/world"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Plays every scenario in lab/scenarios: it must parse, hold every property and meet its
// own expectations.
func TestLibrary(t *testing.T) {
	for folder, x := range map[string]struct {
		site  string
		least int
	}{"../scenarios": {"branches", 20}, "../scenarios/campus": {"campus", 4}} {
		files, err := filepath.Glob(filepath.Join(folder, "*.scn"))
		if err != nil || len(files) < x.least {
			t.Fatal(folder, len(files), err)
		}
		playLibrary(t, world.Sites[x.site], files)
	}
}

func playLibrary(t *testing.T, site func() world.Spec, files []string) {
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseFor(site(), filepath.Base(path), string(text))
			if err != nil {
				t.Fatal(err)
			}
			w, err := world.New(s.Spec)
			if err != nil {
				t.Fatal(err)
			}
			r, err := w.Run(s.Plan)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s\n%s", s.Name, r)
			for _, v := range r.Violations {
				t.Error(v)
			}
			for _, e := range s.Expectations {
				if is, ok := e.Check(r); !ok {
					t.Errorf("want %s, got %.3f", e, is)
				}
			}
		})
	}
}

// Random scenarios must hold every property. Of each group, one is also written out and
// parsed again, and must keep its faults and still play.
func TestRandomDays(t *testing.T) {
	const each = 15
	for group := range uint64(8) {
		t.Run(fmt.Sprint("from ", group*each), func(t *testing.T) {
			t.Parallel()
			for seed := group * each; seed < (group+1)*each; seed++ {
				playRandomDay(t, seed, seed%each == 0)
			}
		})
	}
}

// Replays random scenarios on which the front once violated a property.
func TestPastViolations(t *testing.T) {
	for _, seed := range []uint64{2040, 2261} { // overloaded cold servers: the mean costs were learnt from small cache hits only
		playRandomDay(t, seed, false)
	}
}

func playRandomDay(t *testing.T, seed uint64, reread bool) {
	s := Random(seed)
	r, err := s.Play(world.NoMutation)
	if err != nil {
		t.Fatal(seed, err)
	}
	for _, v := range r.Violations {
		t.Errorf("seed %d: %v", seed, v)
	}
	if !reread {
		return
	}
	again, err := Parse("x", s.String())
	if err != nil {
		t.Fatalf("%v\n%s", err, s)
	}
	if r2, err := again.Play(world.NoMutation); err != nil || len(again.Plan.Faults) != len(s.Plan.Faults) || r2.Requests() == 0 {
		t.Fatalf("seed %d differs after parsing its text: %v\n%s", seed, err, s)
	}
}

// A scenario that violates a property must shrink to one that is no longer, has at most
// two faults and violates the same property.
func TestShrink(t *testing.T) {
	for seed := uint64(1); ; seed++ {
		s := Random(seed)
		r, err := s.Play(world.IgnoreDrains)
		if err != nil {
			t.Fatal(err)
		}
		if r.Broken[world.NoSendToDraining] == 0 || len(s.Plan.Faults) < 4 {
			continue
		}
		small := s.Shrink(world.NoSendToDraining, world.IgnoreDrains, 80)
		r, err = small.Play(world.IgnoreDrains)
		if err != nil || r.Broken[world.NoSendToDraining] == 0 {
			t.Fatal("the shrunk scenario no longer violates the property", err)
		}
		t.Logf("from %d faults to %d:\n%s", len(s.Plan.Faults), len(small.Plan.Faults), small)
		if len(small.Plan.Faults) > 2 || small.Plan.Duration > s.Plan.Duration {
			t.Errorf("still %d faults:\n%s", len(small.Plan.Faults), small)
		}
		return
	}
}

// Parse errors must name line and column, and what is wrong.
func TestErrorPositions(t *testing.T) {
	for text, want := range map[string]string{
		"run 60s\nat 5s lose branch \"edge-9\" for 3s":       `x:2:1: no branch is called "edge-9"`,
		"at 5s lose branch \"edge-1\"":                       "x:1:1: lose branch: for how long?",
		"run 10s\n  at 50s storm for 3s":                     "x:2:3: it begins after the day",
		"at 5s rain for 3s":                                  `x:1:7: unexpected token "rain"`,
		"load 5/s, from 3s 4/s, from 2s 9/s":                 "x:1:",
		"at 1s purge 3% of groups for 3s":                    "over at once",
		"at 1s storm for 3s silently":                        "silently",
		"class \"films\" { worth 3 }":                        `no class is called "films"`,
		"site { branch \"a\" at \"moon\" 1 boxes 1 fronts }": "moon",
		"site { fleet 0 nodes 1 fronts }":                    "fleet of 0",
		"seed 3.5":                                           "3.5",
		"name \"x\ny\"":                                      "x:1:6",
		"at 3s kill front \"edge-1.front-9\" for 1s":         "edge-1.front-9",
		"clients retry 3 times":                              "x:1:",
		"expect worth above 3":                               "worth",
		"at 3s register late 3 for 4s":                       "x:1:",
	} {
		if _, err := Parse("x", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// For any sequence of tokens, Parse must return either a scenario or an error.
func TestArbitraryText(t *testing.T) {
	words := []string{"at", "from", "for", "3s", "lose", "branch", `"edge-1"`, "{", "}", "site", "5%", "origin", "slower", "2x", "load", "100/s", ",",
		"purge", "of", "groups", "storm", "class", "#", "\n", "silently", "expect", "G", "above", "0.5", "\x00"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(words), 0, 30).Draw(t, "words"), " ")
		if s, err := Parse("x", text); (s == nil) == (err == nil) {
			t.Fatal(s, err)
		}
	})
}
