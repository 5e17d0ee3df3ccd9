package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"

	"cherryramp/lab/experiment"
	"cherryramp/lab/scenario"
	"cherryramp/lab/world"
)

type simCommand struct {
	Files  []string `arg:"" type:"existingfile" help:"Scenario files, such as those in lab/scenarios."`
	Site   string   `default:"branches" enum:"branches,campus" help:"The deployment that the scenarios are for: ${enum}."`
	Seeds  int      `default:"1" help:"Number of seeds for each scenario, starting with its own."`
	JSON   string   `help:"File to which all results are written as JSON."`
	Second bool     `help:"Print the worth requested and earned in each second."`
	frontPath
	Sockets   bool   `help:"Play against built fronts on loopback in real time."`
	Ephemeral bool   `help:"With --sockets, list members by ephemeral nodes instead of by the notice board."`
	Log       string `help:"With --sockets, file to which the log of the fronts is written."`
	Jobs      int    `default:"0" help:"Days played in parallel; 0: one per core in virtual time, one per two cores on sockets."`
}

// dayResult is the result of one day, as written to the file that --json names.
type dayResult struct {
	File   string
	Seed   uint64
	Took   time.Duration
	Result *world.Result
}

// Run plays scenarios and checks their properties and expectations.
func (c *simCommand) Run() error {
	if err := requirePositive("seeds", c.Seeds); err != nil {
		return err
	}
	var days []*scenario.Scenario
	var files []string
	for _, path := range c.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for i := range c.Seeds {
			s, err := scenario.ParseFor(world.Sites[c.Site](), path, string(text))
			if err != nil {
				return err
			}
			s.Spec.Seed += uint64(i)
			days, files = append(days, s), append(files, path)
		}
	}
	out, failed := make([]dayResult, len(days)), false
	if !c.Sockets && (c.Ephemeral || c.Log != "") {
		return fmt.Errorf("--ephemeral and --log need --sockets")
	}
	front, err := c.path()
	if err != nil {
		return err
	}
	jobs := c.Jobs
	if jobs == 0 && c.Sockets {
		jobs = max(1, runtime.GOMAXPROCS(0)/2)
	}
	var log io.Writer
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		log = f
	}
	errs := runParallel(len(days), jobs, nil, func(i int) error {
		start := time.Now()
		var r *world.Result
		var err error
		if c.Sockets {
			r, err = days[i].PlayOnSockets(world.NoMutation, world.SocketOptions{Front: front, Log: log, Ephemeral: c.Ephemeral})
		} else {
			r, err = days[i].Play(world.NoMutation)
		}
		out[i] = dayResult{files[i], days[i].Spec.Seed, time.Since(start), r}
		return err
	})
	for i, s := range days {
		if errs[i] != nil {
			return errs[i]
		}
		r := out[i].Result
		fmt.Printf("%s (seed %d, %.2f s)\n%s", s.Name, s.Spec.Seed, out[i].Took.Seconds(), r)
		for _, v := range r.Violations {
			fmt.Printf("  %s\n", v)
			failed = true
		}
		for _, e := range s.Expectations {
			if is, ok := e.Check(r); !ok {
				fmt.Printf("  EXPECTED %s, it is %.3f\n", e, is)
				failed = true
			}
		}
		if c.Second {
			for n, x := range r.Seconds {
				fmt.Printf("  %3d s  asked %7.1f  earned %7.1f\n", n, x.Asked, x.Earned)
			}
		}
	}
	if err := writeJSON(c.JSON, out); err != nil {
		return err
	}
	if failed {
		return errNotMet
	}
	return nil
}

type compareCommand struct {
	A string `arg:"" type:"existingfile" help:"The file that sim --json wrote with one build or setting."`
	B string `arg:"" type:"existingfile" help:"The file that it wrote with another."`
}

// Run compares two sets of days pair by pair.
func (c *compareCommand) Run() error {
	var sets [2][]experiment.Day
	for i, path := range []string{c.A, c.B} {
		text, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(text, &sets[i])
		}
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		for _, d := range sets[i] {
			if d.Result == nil {
				return fmt.Errorf("%s: a day has no result; the file must be written by sim --json", path)
			}
		}
	}
	pairs, alone, err := experiment.Pairs(sets[0], sets[1])
	if err != nil {
		return err
	}
	effects, err := experiment.Compare(pairs)
	if err != nil {
		return err
	}
	fmt.Printf("%d pairs, %d days in one file only\n%-26s %8s %8s  B less A (95%%)\n", len(pairs), alone, "", "A", "B")
	for _, e := range effects {
		fmt.Println(e)
	}
	return nil
}

type chaosCommand struct {
	Seed   uint64 `arg:"" optional:"" default:"1" help:"The first seed."`
	Days   int    `default:"1000" help:"Number of random scenarios, with consecutive seeds."`
	Mutate string `help:"A mutation to apply, which breaks a property on purpose; see --list."`
	List   bool   `help:"List the mutations."`
	Shrink int    `default:"300" help:"Maximum number of days played to shrink a scenario that violates a property."`
	Keep   int    `default:"3" help:"Maximum number of violating scenarios to shrink and print."`
}

// Run plays random scenarios, and shrinks and prints those that violate a property.
func (c *chaosCommand) Run() error {
	if c.List {
		for _, mutation := range sortedMutations() {
			fmt.Printf("%-45s breaks: %s\n", mutation, world.Mutations[mutation])
		}
		return nil
	}
	if err := requirePositive("days", c.Days); err != nil {
		return err
	}
	mutation := world.Mutation(c.Mutate)
	if _, ok := world.Mutations[mutation]; mutation != world.NoMutation && !ok {
		return fmt.Errorf("there is no mutation %q; see --list", c.Mutate)
	}
	bar := progressbar.NewOptions(c.Days, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("days"),
		progressbar.OptionShowIts(), progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	results := make([]*world.Result, c.Days)
	start := time.Now()
	errs := runParallel(c.Days, 0, bar, func(i int) (err error) {
		results[i], err = scenario.Random(c.Seed + uint64(i)).Play(mutation)
		return err
	})
	tries, requests, broken, service := 0, 0, 0, 0.0
	for i, r := range results {
		if errs[i] != nil {
			return fmt.Errorf("seed %d: %w", c.Seed+uint64(i), errs[i])
		}
		tries, requests, service = tries+r.Tries, requests+r.Requests(), service+r.Service
		if len(r.Violations) == 0 {
			continue
		}
		if broken++; broken > c.Keep {
			continue
		}
		v := r.Violations[0]
		fmt.Printf("seed %d: %s\n", c.Seed+uint64(i), v)
		shrunk := scenario.Random(c.Seed+uint64(i)).Shrink(v.Promise, mutation, c.Shrink)
		replayed, err := shrunk.Play(mutation)
		if err != nil {
			return err
		}
		fmt.Printf("shortest found:\n%s\n", shrunk)
		for n, v := range replayed.Violations {
			if n == 5 {
				break
			}
			fmt.Printf("  %s\n", v)
		}
	}
	took := time.Since(start)
	fmt.Printf("%d days, %d requests, %d tries in %.1f s (%.0f a second); service %.3f on average; a promise broken on %d days\n", c.Days, requests,
		tries, took.Seconds(), float64(tries)/took.Seconds(), service/float64(c.Days), broken)
	if broken > 0 {
		return errNotMet
	}
	return nil
}

func sortedMutations() (out []world.Mutation) {
	for _, p := range world.Properties {
		for m, breaks := range world.Mutations {
			if breaks == p {
				out = append(out, m)
			}
		}
	}
	return out
}

// runParallel runs n jobs, at most parallelism at a time (0: the number of cores), and
// returns their errors by index.
func runParallel(n, parallelism int, bar *progressbar.ProgressBar, job func(i int) error) []error {
	errs, next := make([]error, n), make(chan int)
	var wg sync.WaitGroup
	if parallelism <= 0 {
		parallelism = runtime.GOMAXPROCS(0)
	}
	for range min(n, parallelism) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				errs[i] = job(i)
				if bar != nil {
					_ = bar.Add(1)
				}
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	return errs
}
