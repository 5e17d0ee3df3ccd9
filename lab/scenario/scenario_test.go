package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seeded"
	"cherryramp/lab/world"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Every scenario of the library can be read; all promises hold in it, and what it
// expects is met.
func TestLibrary(t *testing.T) {
	files, err := filepath.Glob("../scenarios/*.scn")
	if err != nil || len(files) < 20 {
		t.Fatal(len(files), err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Parse(filepath.Base(path), string(text))
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
			for _, e := range s.Expects {
				if is, ok := e.Met(r); !ok {
					t.Errorf("%s expected, it is %.3f", e, is)
				}
			}
		})
	}
}

// Faults are told with line and column, and what is wrong.
func TestErrorsNameThePlace(t *testing.T) {
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

// Whatever is written, Parse says yes or no.
func TestGarbage(t *testing.T) {
	words := []string{"at", "from", "for", "3s", "lose", "branch", `"edge-1"`, "{", "}", "site", "5%", "origin", "slower", "2x", "load", "100/s", ",",
		"purge", "of", "groups", "storm", "class", "#", "\n", "silently", "expect", "G", "above", "0.5", "\x00"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(words), 0, 30).Draw(t, "words"), " ")
		if s, err := Parse("x", text); (s == nil) == (err == nil) {
			t.Fatal(s, err)
		}
	})
}
