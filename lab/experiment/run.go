package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cherryramp/lab/scenario"
	"cherryramp/lab/world"
)

// Job is a day to play.
type Job struct {
	File string // base name of the scenario file
	Text string // of the scenario, with the lines added by the arm
	Seed uint64 // added to the scenario's own seed
}

// Player plays a day. It must be safe for concurrent use.
type Player func(ctx context.Context, j Job) (Day, error)

// InVirtualTime plays a day in this process.
func InVirtualTime(_ context.Context, j Job) (Day, error) {
	return play(j, func(s *scenario.Scenario) (*world.Result, error) { return s.Play(world.NoMutation) })
}

// OnSockets returns a player that plays days against built fronts on sockets.
func OnSockets(o world.SocketOptions) Player {
	return func(_ context.Context, j Job) (Day, error) {
		return play(j, func(s *scenario.Scenario) (*world.Result, error) { return s.PlayOnSockets(world.NoMutation, o) })
	}
}

func play(j Job, playScenario func(s *scenario.Scenario) (*world.Result, error)) (Day, error) {
	s, err := scenario.Parse(j.File, j.Text)
	if err != nil {
		return Day{}, err
	}
	s.Spec.Seed += j.Seed
	d := Day{File: j.File, Name: s.Name, Seed: j.Seed}
	for _, t := range s.Plan.Faults {
		d.Marks = append(d.Marks, Mark{t.Label(), t.At, t.Duration})
	}
	start := time.Now()
	d.Result, err = playScenario(s)
	d.Took = time.Since(start)
	return d, err
}

// Run plays the days that an arm does not have yet, the given number in parallel, and
// stores each when it ends. When the context ends, no further day is started; running
// days are waited for and stored. Progress is called after each day.
func Run(ctx context.Context, s *Store, arm string, jobs []Job, parallel int, play Player, progress func(done, of int)) error {
	var pending []Job
	for _, j := range jobs {
		has, err := s.Has(arm, j)
		if err != nil {
			return err
		}
		if !has {
			pending = append(pending, j)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs []error
	next, done := make(chan Job), 0
	for range min(max(1, parallel), len(pending)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range next {
				d, err := play(ctx, j)
				if err == nil {
					err = s.Put(arm, j.Text, d)
				}
				mu.Lock()
				done++
				if err != nil {
					errs = append(errs, fmt.Errorf("experiment: %s, seed %d: %w", j.File, j.Seed, err))
				}
				progress(len(jobs)-len(pending)+done, len(jobs))
				mu.Unlock()
			}
		}()
	}
	for _, j := range pending {
		select {
		case next <- j:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	wg.Wait()
	return errors.Join(errors.Join(errs...), ctx.Err())
}
