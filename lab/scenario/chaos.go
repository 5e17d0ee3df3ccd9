package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"cherryramp/lab/world"
)

// Random generates a scenario from a seed: a small site, a load, and faults of all kinds
// that may overlap.
func Random(seed uint64) *Scenario {
	random := rand.New(rand.NewPCG(seed, 3))
	s := &Scenario{Name: fmt.Sprint("chaos ", seed), Spec: world.Default(), Plan: world.Plan{WarmUp: 10 * 1_000_000, Duration: 30 * 1_000_000}}
	s.Spec.Seed = seed
	s.Spec.Rate = 60 + 240*random.Float64()
	s.Spec.Branches = nil
	for i := range 1 + random.IntN(4) {
		s.Spec.Branches = append(s.Spec.Branches, world.Branch{Name: fmt.Sprint("edge-", i+1), Hub: s.Spec.Hubs[random.IntN(len(s.Spec.Hubs))],
			Boxes: 1 + random.IntN(5), Fronts: 1 + random.IntN(2)})
	}
	s.Spec.Parents = 1 + random.IntN(4)
	s.Spec.Retries = world.RetryPolicy{MaxRetries: random.IntN(4), HonorRetryAfter: random.IntN(2) == 0}
	if random.IntN(3) > 0 {
		s.Spec.Retries.Wait = [2]world.Micros{random.Int64N(300_000), 300_000 + random.Int64N(500_000)}
	}
	w, err := world.New(s.Spec)
	if err != nil {
		panic(err) // all values drawn above are valid
	}
	branches, hubs, caches, fronts := w.FaultTargets()
	pick := func(list []string) string { return list[random.IntN(len(list))] }
	for range random.IntN(9) {
		fault := world.Fault{At: random.Int64N(int64(s.Plan.Duration)), Duration: 500_000 + random.Int64N(12_000_000), Silent: random.IntN(3) == 0}
		switch random.IntN(18) {
		case 0, 1:
			fault.Kind, fault.Target = world.LoseBranch, pick(branches)
		case 2, 3:
			fault.Kind, fault.Target = world.LoseParents, pick(hubs)
		case 4:
			fault.Kind, fault.Target = world.LoseServer, pick(caches)
		case 5:
			fault.Kind, fault.Target = world.DrainServer, pick(caches)
		case 6:
			fault.Kind, fault.Amount = world.OriginSlow, 1.5+4*random.Float64()
		case 7:
			fault.Kind = world.OriginStops
		case 8:
			fault.Kind, fault.Amount, fault.Duration = world.PurgeGroups, 0.2+0.8*random.Float64(), 0
		case 9:
			fault.Kind, fault.Amount, fault.Duration = world.PurgeHot, float64(1+random.IntN(60)), 0
		case 10:
			fault.Kind, fault.Amount = world.Scan, 0.3*random.Float64()
		case 11:
			fault.Kind, fault.Amount = world.Surge, 1+2*random.Float64()
		case 12:
			fault.Kind = world.RetryStorm
		case 13:
			fault.Kind, fault.Target = world.CutBranch, pick(branches)
		case 14:
			fault.Kind, fault.Duration = world.ResetConnections, 0
		case 15:
			fault.Kind, fault.Amount = world.CorruptAnswers, 0.05*random.Float64()
		case 16:
			fault.Kind, fault.Amount = world.LoseAnswers, 0.05*random.Float64()
		default:
			switch random.IntN(7) {
			case 4:
				fault.Kind, fault.Target = world.FreezeBranch, pick(branches)
			case 5:
				fault.Kind, fault.Target = world.FreezeAnswers, pick(branches)
			case 6:
				fault.Kind, fault.Target = world.RestartFront, pick(fronts)
			case 0:
				fault.Kind = world.RegisterUnreachable
			case 1:
				fault.Kind, fault.Amount = world.RegisterLate, 5*random.Float64()
			case 2:
				fault.Kind, fault.Target = world.KillFront, pick(fronts)
			default:
				fault.Kind, fault.Target, fault.Amount = world.FlapServer, pick(caches), float64(1+random.IntN(6))
			}
		}
		if fault.Kind != world.LoseBranch && fault.Kind != world.LoseParents && fault.Kind != world.LoseServer {
			fault.Silent = false
		}
		s.Plan.Faults = append(s.Plan.Faults, fault)
	}
	return s
}

// Play runs the scenario in virtual time with the given mutation, world.NoMutation for
// none.
func (s *Scenario) Play(mutation world.Mutation) (*world.Result, error) {
	w, err := world.New(s.Spec)
	if err != nil {
		return nil, err
	}
	w.Mutation = mutation
	return w.Run(s.Plan)
}

// PlayOnSockets runs the scenario in real time against built fronts on loopback.
func (s *Scenario) PlayOnSockets(mutation world.Mutation, o world.SocketOptions) (*world.Result, error) {
	w, err := world.NewOnSockets(s.Spec, o)
	if err != nil {
		return nil, err
	}
	w.Mutation = mutation
	return w.Run(s.Plan)
}

// Shrink searches for a smaller scenario that still violates a property: it removes
// faults that are not needed, shortens the others, and lowers the load and the run time.
// It plays at most maxRuns scenarios.
func (s *Scenario) Shrink(property world.Property, mutation world.Mutation, maxRuns int) *Scenario {
	best := *s
	try := func(change func(s *Scenario) bool) bool {
		next := best
		next.Plan.Faults = slices.Clone(best.Plan.Faults)
		if maxRuns <= 0 || !change(&next) {
			return false
		}
		maxRuns--
		r, err := next.Play(mutation)
		if err != nil || r.Broken[property] == 0 {
			return false
		}
		best = next
		return true
	}
	for improved := true; improved && maxRuns > 0; {
		improved = false
		// Remove half of the faults first, then ever smaller groups down to single ones
		// (delta debugging, Zeller and Hildebrandt, 2002).
		for size := max(1, len(best.Plan.Faults)/2); size >= 1; size /= 2 {
			for i := 0; i+size <= len(best.Plan.Faults); {
				if try(func(s *Scenario) bool { s.Plan.Faults = slices.Delete(s.Plan.Faults, i, i+size); return true }) {
					improved = true
				} else {
					i += size
				}
			}
		}
		for i := range best.Plan.Faults {
			for try(func(s *Scenario) bool {
				fault := &s.Plan.Faults[i]
				fault.Duration /= 2
				return fault.Duration >= 250_000
			}) {
				improved = true
			}
		}
		for try(func(s *Scenario) bool { s.Plan.Duration = s.Plan.Duration * 3 / 4; return s.Plan.Duration > 1_000_000 }) {
			improved = true
		}
		for try(func(s *Scenario) bool { s.Plan.WarmUp /= 2; return s.Plan.WarmUp > 100_000 }) {
			improved = true
		}
		for try(func(s *Scenario) bool { s.Spec.Rate *= 0.6; return s.Spec.Rate > 2 }) {
			improved = true
		}
	}
	return &best
}

// String writes the scenario in the scenario language, without what the language cannot
// express.
func (s *Scenario) String() string {
	text := fmt.Sprintf("name %q\nseed %d\nsite {\n", s.Name, s.Spec.Seed)
	for _, b := range s.Spec.Branches {
		text += fmt.Sprintf("  branch %q at %q %d boxes %d fronts\n", b.Name, b.Hub, b.Boxes, b.Fronts)
	}
	text += fmt.Sprintf("  parents %d\n}\n", s.Spec.Parents)
	retries := s.Spec.Retries
	text += fmt.Sprintf("clients retry %d times after %s to %s", retries.MaxRetries, formatMillis(retries.Wait[0]), formatMillis(retries.Wait[1]))
	if retries.HonorRetryAfter {
		text += " obeying"
	}
	text += fmt.Sprintf("\nload %s/s\nwarm %s\nrun %s\n", formatDecimal(s.Spec.Rate), formatMillis(s.Plan.WarmUp), formatMillis(s.Plan.Duration))
	for _, fault := range s.Plan.Faults {
		text += "at " + formatMillis(fault.At) + " " + faultPhrase(fault)
		if fault.Duration > 0 {
			text += " for " + formatMillis(fault.Duration)
		}
		if fault.Silent {
			text += " silently"
		}
		text += "\n"
	}
	return text
}

func formatMillis(m world.Micros) string { return formatDecimal(float64(m)/1000) + "ms" }

// formatDecimal writes a number without an exponent, which the language does not have.
func formatDecimal(x float64) string { return fmt.Sprintf("%.6f", x) }

// faultPhrase writes a fault in the scenario language, without its times.
func faultPhrase(fault world.Fault) string {
	switch fault.Kind {
	case world.OriginSlow, world.Surge:
		return fmt.Sprintf("%s %sx", fault.Kind, formatDecimal(fault.Amount))
	case world.PurgeGroups:
		return fmt.Sprintf("purge %s%% of groups", formatDecimal(100*fault.Amount))
	case world.PurgeHot:
		return fmt.Sprintf("purge %d hot objects", int(fault.Amount))
	case world.Scan, world.CorruptAnswers:
		return fmt.Sprintf("%s %s%%", fault.Kind, formatDecimal(100*fault.Amount))
	case world.LoseAnswers:
		return fmt.Sprintf("lose %s%% of answers", formatDecimal(100*fault.Amount))
	case world.ResetConnections:
		return "reset connections"
	case world.RegisterLate:
		return "register late " + formatMillis(world.Micros(fault.Amount*1e6))
	case world.KillFront, world.RestartFront, world.ReloadFront:
		return fmt.Sprintf("%s front %q", fault.Kind, fault.Target)
	case world.FlapServer:
		return fmt.Sprintf("flap %q %d times", fault.Target, int(fault.Amount))
	}
	if fault.Target != "" {
		return fmt.Sprintf("%s %q", fault.Kind, fault.Target)
	}
	return string(fault.Kind)
}
