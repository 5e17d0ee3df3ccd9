package experiment

import (
	"math/rand/v2"
	"testing"

	"cherryramp/lab/world"
)

// days are so many pairs, of which the second has its service moved by an effect
// and both are noisy.
func days(n int, effect, noise float64, seed uint64) (a, b []Day) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		base := 0.7 + 0.2*r.Float64() // days differ far more than builds
		a = append(a, Day{"x", uint64(i), &world.Result{Service: base + noise*r.NormFloat64()}})
		b = append(b, Day{"x", uint64(i), &world.Result{Service: base + effect + noise*r.NormFloat64()}})
	}
	return a, b
}

func service(t *testing.T, a, b []Day) Effect {
	t.Helper()
	effects, _, err := Compare(a, b)
	if err != nil {
		t.Fatal(err)
	}
	return effects[1]
}

// An effect that is far smaller than what days differ by is found by pairs; where
// there is none, it is claimed about as often as the interval says.
func TestVerdicts(t *testing.T) {
	for _, x := range []struct {
		effect, noise float64
		want          string
	}{{0.01, 0.01, "better"}, {-0.01, 0.01, "worse"}, {0, 0, "alike"}} {
		a, b := days(40, x.effect, x.noise, 7)
		if e := service(t, a, b); e.Verdict() != x.want {
			t.Error(e)
		}
	}
	wrong := 0
	for seed := range uint64(100) {
		a, b := days(30, 0, 0.01, seed)
		if service(t, a, b).Verdict() != "can't tell" {
			wrong++
		}
	}
	if wrong > 15 {
		t.Errorf("of 100 comparisons of the same, %d claim an effect", wrong)
	}
}

// Days that are in one only are told, few days and doubled ones refused.
func TestPairs(t *testing.T) {
	a, b := days(10, 0, 0, 1)
	if _, alone, err := Compare(a[:8], b[2:]); alone != 4 || err != nil {
		t.Error(alone, err)
	}
	if _, _, err := Compare(a[:4], b); err == nil {
		t.Error("four days are enough")
	}
	if _, _, err := Compare(append(a, a[0]), b); err == nil {
		t.Error("a day is there twice")
	}
}
