package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"cherryramp/lab/world"
)

// Design decides which days to play next, and when enough are played to tell which
// of two arms is better. It looks at what there is between batches of days; as it
// looks several times, each look asks for more than a single one would.
type Design struct {
	Files        []string
	Measure      func(r *world.Result) float64
	Looks        int     // at most
	InitialSeeds int     // seeds of each scenario before the first look, 2 at least
	BatchDays    int     // days between two looks
	MinEffect    float64 // an effect below this matters to nobody; 0: any does
}

// Want is a day that both arms are to play.
type PlannedDay struct {
	File string
	Seed uint64
}

// Step is what the design says at a look.
type Step struct {
	Verdict         string // better, worse, alike, can't tell; empty: play Days
	Mean, Low, High float64
	Days            []PlannedDay
}

// pocock are the critical values of group-sequential tests with equal steps at 5%,
// two-sided, by the number of looks (Pocock, Biometrika 64, 1977; Jennison and
// Turnbull, Group Sequential Methods, 2000, table 2.1). They are for normal values;
// here they are taken to Student's t by their tail.
var pocock = []float64{1.960, 2.178, 2.289, 2.361, 2.413, 2.453, 2.485, 2.512, 2.535, 2.555}

// MostLooks is the most that a design may have.
const MaxLooks = 10

// Check names what no design can have.
func (d *Design) Check() error {
	switch {
	case len(d.Files) == 0:
		return fmt.Errorf("experiment: no scenarios")
	case d.Looks < 1 || d.Looks > MaxLooks:
		return fmt.Errorf("experiment: %d looks, 1 to %d are possible", d.Looks, MaxLooks)
	case d.InitialSeeds < 2 || d.BatchDays < 1:
		return fmt.Errorf("experiment: %d seeds first and %d days a batch, 2 and 1 are the least", d.InitialSeeds, d.BatchDays)
	case d.MinEffect < 0:
		return fmt.Errorf("experiment: an effect of %v that matters", d.MinEffect)
	}
	return nil
}

// stratum is what is known of one scenario.
type stratum struct {
	file  string
	n     int
	sum   float64
	sq    float64 // of distances from the mean
	next  uint64
	guess float64 // of the variance
}

// priorSeeds is what the variance of all scenarios weighs in that of one, in seeds.
const priorSeeds = 2

// Next looks at the pairs that there are, for the look-th time from 1 on. What an
// earlier look has asked for must be among them.
func (d *Design) Next(pairs []Pair, look int) Step {
	strata := make([]stratum, len(d.Files))
	for i, f := range d.Files {
		strata[i].file = f
	}
	for _, p := range pairs {
		i := slices.Index(d.Files, p.File)
		if i < 0 {
			continue
		}
		s, x := &strata[i], d.Measure(p.B)-d.Measure(p.A)
		s.n++
		delta := x - s.sum // Welford: sum holds the mean
		s.sum += delta / float64(s.n)
		s.sq += delta * (x - s.sum)
		s.next = max(s.next, p.Seed+1)
	}
	var step Step
	for i := range strata {
		for s := &strata[i]; s.n < d.InitialSeeds; s.n++ {
			step.Days = append(step.Days, PlannedDay{s.file, s.next})
			s.next++
		}
	}
	if len(step.Days) > 0 {
		return step
	}
	variance, df := d.estimate(strata, &step.Mean)
	tail := distuv.UnitNormal.Survival(pocock[d.Looks-1])
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.Quantile(1-tail) * math.Sqrt(variance)
	step.Low, step.High = step.Mean-half, step.Mean+half
	switch {
	case step.Low > 0:
		step.Verdict = "better"
	case step.High < 0:
		step.Verdict = "worse"
	case variance == 0 || step.Low > -d.MinEffect && step.High < d.MinEffect:
		step.Verdict = "alike"
	case look >= d.Looks:
		step.Verdict = "can't tell"
	default:
		step.Days = d.allocate(strata)
	}
	return step
}

// estimate gives the mean over the scenarios, each of the same weight, and its
// variance with the degrees of freedom, which are few where one noisy scenario makes
// up most of it (Satterthwaite, Biometrics Bulletin 2, 1946).
func (d *Design) estimate(strata []stratum, mean *float64) (variance, df float64) {
	pooled, all, squares := 0.0, 0.0, 0.0
	for _, s := range strata {
		*mean += s.sum / float64(len(strata))
		pooled += s.sq
		all += float64(s.n - 1)
		v := s.sq / float64(s.n-1) / float64(s.n)
		variance += v
		squares += v * v / float64(s.n-1)
	}
	for i := range strata {
		s := &strata[i]
		s.guess = (priorSeeds*pooled/all + s.sq) / (priorSeeds + float64(s.n-1))
	}
	df = all
	if squares > 0 {
		df = variance * variance / squares
	}
	return variance / float64(len(strata)*len(strata)), df
}

// allocate spreads a batch over the scenarios so that the mean's variance falls most
// with each day (Neyman's allocation, reached day by day). It looks at variances
// only, never at which arm is ahead.
func (d *Design) allocate(strata []stratum) (days []PlannedDay) {
	for range d.BatchDays {
		best, gain := 0, -1.0
		for i, s := range strata {
			if g := s.guess / float64(s.n*(s.n+1)); g > gain {
				best, gain = i, g
			}
		}
		s := &strata[best]
		days = append(days, PlannedDay{s.file, s.next})
		s.n, s.next = s.n+1, s.next+1
	}
	return days
}
