package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"cherryramp/lab/world"
)

// syntheticDays returns n days of two arms with noisy results; the service of b is
// shifted by effect.
func syntheticDays(n int, effect, noise float64, seed uint64) (a, b []Day) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		base := 0.7 + 0.2*r.Float64() // days differ far more than builds do
		a = append(a, Day{File: "x", Seed: uint64(i), Result: &world.Result{Service: base + noise*r.NormFloat64()}})
		b = append(b, Day{File: "x", Seed: uint64(i), Result: &world.Result{Service: base + effect + noise*r.NormFloat64()}})
	}
	return a, b
}

func serviceEffect(t *testing.T, a, b []Day) Effect {
	t.Helper()
	pairs, _, err := Pairs(a, b)
	if err != nil {
		t.Fatal(err)
	}
	effects, err := Compare(pairs)
	if err != nil {
		t.Fatal(err)
	}
	return effects[1]
}

// Pairing detects an effect far smaller than the variation between days; without an
// effect, false claims are about as frequent as the interval allows.
func TestVerdicts(t *testing.T) {
	for _, x := range []struct {
		effect, noise float64
		want          string
	}{{0.01, 0.01, "better"}, {-0.01, 0.01, "worse"}, {0, 0, "alike"}} {
		a, b := syntheticDays(40, x.effect, x.noise, 7)
		if e := serviceEffect(t, a, b); e.Verdict() != x.want {
			t.Error(e)
		}
	}
	falseClaims := 0
	for seed := range uint64(100) {
		a, b := syntheticDays(30, 0, 0.01, seed)
		if serviceEffect(t, a, b).Verdict() != "can't tell" {
			falseClaims++
		}
	}
	if falseClaims > 15 {
		t.Errorf("%d of 100 comparisons without an effect claim one", falseClaims)
	}
}

// Unpaired days are counted; too few pairs and duplicate days are rejected.
func TestPairs(t *testing.T) {
	a, b := syntheticDays(10, 0, 0, 1)
	if _, unpaired, err := Pairs(a[:8], b[2:]); unpaired != 4 || err != nil {
		t.Error(unpaired, err)
	}
	few, _, _ := Pairs(a[:4], b)
	if _, err := Compare(few); err == nil {
		t.Error("four days are accepted")
	}
	if _, _, err := Pairs(append(a, a[0]), b); err == nil {
		t.Error("a duplicate day is accepted")
	}
}

// runDesign runs a design to its verdict on synthetic scenarios, with the given effect and noise by file.
func runDesign(t *testing.T, d *Design, effect float64, noise map[string]float64, seed uint64) (Step, int, map[string]int) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 2))
	var pairs []Pair
	count := map[string]int{}
	for look := 1; ; {
		step := d.Next(pairs, look)
		if step.Verdict != "" {
			return step, len(pairs), count
		}
		for _, x := range step.Days {
			base := r.Float64()
			pairs = append(pairs, Pair{x.File, x.Seed, &world.Result{G: base}, &world.Result{G: base + effect + noise[x.File]*r.NormFloat64()}})
			count[x.File]++
		}
		if len(pairs) > d.InitialSeeds*len(d.Files) {
			look++
		}
	}
}

// A design with five looks claims a nonexistent effect no more often than once in twenty,
// detects an existing effect, plays fewer days where it is large, and gives noisy scenarios more
// days.
func TestDesign(t *testing.T) {
	d := &Design{Files: []string{"a", "b", "c", "d"}, Measure: func(r *world.Result) float64 { return r.G }, Looks: 5, InitialSeeds: 4, BatchDays: 12}
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	noise := map[string]float64{"a": 0.01, "b": 0.01, "c": 0.01, "d": 0.06}
	falseClaims, found := 0, 0
	const plays = 1000
	for seed := range uint64(plays) {
		if step, _, _ := runDesign(t, d, 0, noise, seed); step.Verdict != "can't tell" {
			falseClaims++
		}
		if step, _, _ := runDesign(t, d, 0.02, noise, seed); step.Verdict == "better" {
			found++
		}
	}
	if falseClaims > plays/14 || found < plays*8/10 {
		t.Errorf("of %d: %d false claims, %d effects detected", plays, falseClaims, found)
	}
	_, plain, _ := runDesign(t, d, 0.5, noise, 1)
	_, hidden, count := runDesign(t, d, 0, noise, 1)
	if plain != 16 || hidden <= 2*plain || count["d"] < 2*count["a"] {
		t.Errorf("%d days for a large effect, %d for none; by scenario %v", plain, hidden, count)
	}
	d.MinEffect = 0.05
	if step, n, _ := runDesign(t, d, 0, noise, 3); step.Verdict != "alike" || n >= hidden {
		t.Errorf("verdict %q after %d days", step.Verdict, n)
	}
	for _, bad := range []Design{{}, {Files: d.Files, Looks: 11, InitialSeeds: 2, BatchDays: 1}, {Files: d.Files, Looks: 2, InitialSeeds: 1, BatchDays: 1},
		{Files: d.Files, Looks: 2, InitialSeeds: 2, BatchDays: 1, MinEffect: -1}} {
		if bad.Check() == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}

// A stopped experiment resumes where it was, replays days whose scenario changed,
// rejects another build under the same name, and names the day that failed.
func TestStoreResume(t *testing.T) {
	path := filepath.Join(t.TempDir(), "days.db")
	open := func() *Store {
		s, err := OpenStore(path)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	arm := Arm{Name: "today", Build: "1"}
	if err := s.BeginArm(arm); err != nil {
		t.Fatal(err)
	}
	const text = `name "small" site { branch "b" at "north-hub" 2 boxes 1 fronts parents 1 } warm 1s run 3s load 20/s at 1s storm for 1s`
	var jobs []Job
	for seed := range uint64(6) {
		jobs = append(jobs, Job{"small.scn", text, seed})
	}
	ctx, stop := context.WithCancel(context.Background())
	played := 0
	player := func(ctx context.Context, j Job) (Day, error) {
		if played++; played == 2 {
			stop()
		}
		return InVirtualTime(ctx, j)
	}
	run := func(ctx context.Context, s *Store) error {
		return Run(ctx, s, "today", jobs, 1, player, func(int, int) {})
	}
	if err := run(ctx, s); !errors.Is(err, context.Canceled) || played > 3 {
		t.Fatal(err, played)
	}
	before := played
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open()
	if err := s.BeginArm(Arm{Name: "today", Build: "2"}); err == nil || !strings.Contains(err.Error(), "another build") {
		t.Error(err)
	}
	if err := s.BeginArm(arm); err != nil {
		t.Fatal(err)
	}
	if err := run(context.Background(), s); err != nil || played != 6 {
		t.Fatalf("%v; %d days played, %d of them before the stop", err, played, before)
	}
	days, err := s.Days("today")
	if err != nil || len(days) != 6 || days[3].Seed != 3 || days[0].Result.Requests() == 0 || len(days[0].Marks) != 1 || days[0].Name != "small" {
		t.Fatalf("%v %+v", err, days)
	}
	jobs[2].Text += " "
	if err := run(context.Background(), s); err != nil || played != 7 {
		t.Error(err, played)
	}
	jobs[5].Text = "at"
	if err := run(context.Background(), s); err == nil || !strings.Contains(err.Error(), "small.scn, seed 5") {
		t.Error(err)
	}
	if err := errors.Join(s.DeleteArm("today"), s.Close()); err != nil {
		t.Error(err)
	}
}
