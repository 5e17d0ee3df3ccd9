package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"cherryramp/lab/world"
)

// Design is a group-sequential comparison of two arms: it decides which days to play
// next, and when there are enough to tell which arm is better. The results are tested
// between batches of days. As there are several looks, each uses a stricter critical
// value than a single test would.
type Design struct {
	Files        []string
	Measure      func(r *world.Result) float64
	Looks        int     // maximum number of tests
	InitialSeeds int     // seeds of each scenario before the first look, at least 2
	BatchDays    int     // days between two looks
	MinEffect    float64 // effects below this are irrelevant; 0: all are relevant
}

// PlannedDay is a day that both arms have to play.
type PlannedDay struct {
	File string
	Seed uint64
}

// Step is the result of a look.
type Step struct {
	Verdict         string // better, worse, alike or can't tell; empty: play Days first
	Mean, Low, High float64
	Days            []PlannedDay
}

// pocockCritical holds the two-sided critical values of group-sequential tests with
// equal steps at 5%, by the number of looks (Pocock, Biometrika 64, 1977; Jennison and
// Turnbull, Group Sequential Methods, 2000, table 2.1). They apply to normal values and
// are converted to Student's t by their tail probability.
var pocockCritical = []float64{1.960, 2.178, 2.289, 2.361, 2.413, 2.453, 2.485, 2.512, 2.535, 2.555}

// MaxLooks is the maximum number of looks of a design.
const MaxLooks = 10

// Check returns an error if the design is invalid.
func (d *Design) Check() error {
	switch {
	case len(d.Files) == 0:
		return fmt.Errorf("experiment: no scenarios")
	case d.Looks < 1 || d.Looks > MaxLooks:
		return fmt.Errorf("experiment: %d looks, must be 1 to %d", d.Looks, MaxLooks)
	case d.InitialSeeds < 2 || d.BatchDays < 1:
		return fmt.Errorf("experiment: %d initial seeds and %d days per batch, at least 2 and 1 are required", d.InitialSeeds, d.BatchDays)
	case d.MinEffect < 0:
		return fmt.Errorf("experiment: the minimum effect %v is negative", d.MinEffect)
	}
	return nil
}

// stratum holds the statistics of one scenario.
type stratum struct {
	file       string
	count      int
	mean       float64
	sumSquares float64 // sum of squared deviations from the mean
	nextSeed   uint64
	variance   float64 // variance estimate, shrunk towards that of all scenarios
}

// priorSeeds is the weight, in seeds, of the pooled variance in a scenario's variance estimate.
const priorSeeds = 2

// Next evaluates the pairs played so far. Looks are numbered from 1. The pairs must
// include all days planned by earlier looks.
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
		s, difference := &strata[i], d.Measure(p.B)-d.Measure(p.A)
		s.count++
		delta := difference - s.mean // Welford's update of the mean
		s.mean += delta / float64(s.count)
		s.sumSquares += delta * (difference - s.mean)
		s.nextSeed = max(s.nextSeed, p.Seed+1)
	}
	var step Step
	for i := range strata {
		for s := &strata[i]; s.count < d.InitialSeeds; s.count++ {
			step.Days = append(step.Days, PlannedDay{s.file, s.nextSeed})
			s.nextSeed++
		}
	}
	if len(step.Days) > 0 {
		return step
	}
	variance, df := d.estimate(strata, &step.Mean)
	tail := distuv.UnitNormal.Survival(pocockCritical[d.Looks-1])
	margin := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.Quantile(1-tail) * math.Sqrt(variance)
	step.Low, step.High = step.Mean-margin, step.Mean+margin
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

// estimate computes the mean over the scenarios with equal weights, its variance, and
// the degrees of freedom, which are low where one noisy scenario contributes most of
// the variance (Satterthwaite, Biometrics Bulletin 2, 1946).
func (d *Design) estimate(strata []stratum, mean *float64) (variance, df float64) {
	pooled, dfSum, squares := 0.0, 0.0, 0.0
	for _, s := range strata {
		*mean += s.mean / float64(len(strata))
		pooled += s.sumSquares
		dfSum += float64(s.count - 1)
		v := s.sumSquares / float64(s.count-1) / float64(s.count)
		variance += v
		squares += v * v / float64(s.count-1)
	}
	for i := range strata {
		s := &strata[i]
		s.variance = (priorSeeds*pooled/dfSum + s.sumSquares) / (priorSeeds + float64(s.count-1))
	}
	df = dfSum
	if squares > 0 {
		df = variance * variance / squares
	}
	return variance / float64(len(strata)*len(strata)), df
}

// allocate distributes a batch over the scenarios so that each day reduces the mean's
// variance the most (Neyman allocation, one day at a time). It uses the variances only
// and never the direction of the effect.
func (d *Design) allocate(strata []stratum) (days []PlannedDay) {
	for range d.BatchDays {
		best, gain := 0, -1.0
		for i, s := range strata {
			if g := s.variance / float64(s.count*(s.count+1)); g > gain {
				best, gain = i, g
			}
		}
		s := &strata[best]
		days = append(days, PlannedDay{s.file, s.nextSeed})
		s.count, s.nextSeed = s.count+1, s.nextSeed+1
	}
	return days
}
