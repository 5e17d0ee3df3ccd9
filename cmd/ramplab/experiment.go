package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"

	"cherryramp/lab/experiment"
	"cherryramp/lab/report"
	"cherryramp/lab/world"
)

// days says which days an experiment has.
type days struct {
	Store string   `arg:"" help:"The file that keeps the results; it is made where it is not there."`
	Files []string `arg:"" type:"existingfile" help:"Scenarios, as those in lab/scenarios."`
	Jobs  int      `default:"0" help:"Days at a time; 0: one a core in virtual time, one for every two cores on sockets."`
}

// texts reads the scenarios; each has the lines added that an arm wants.
func (d *days) texts(with string) (files, texts []string, err error) {
	for _, path := range d.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		files = append(files, filepath.Base(path))
		if with != "" {
			text = fmt.Appendf(text, "\n%s\n", with)
		}
		texts = append(texts, string(text))
	}
	return files, texts, nil
}

// armFlags say how an arm's days are played.
type armFlags struct {
	Lab     string `help:"Another build's ramplab, in place of this one."`
	Front   string `help:"The built front, on sockets; by default cherryramp beside the ramplab that plays."`
	Sockets bool   `help:"Before built fronts on loopback, in the system's time, and not in virtual time."`
	With    string `help:"Lines added to every scenario, in the scenarios' language."`
}

// arm gives what the store is to know of an arm, and who plays its days.
func (a *armFlags) arm(name string) (experiment.Arm, experiment.Player, error) {
	own, err := os.Executable()
	if err != nil {
		return experiment.Arm{}, nil, err
	}
	lab := own
	if a.Lab != "" {
		lab = a.Lab
	}
	programs := []string{lab}
	if a.Sockets {
		if a.Front == "" {
			a.Front = filepath.Join(filepath.Dir(lab), "cherryramp")
		}
		programs = append(programs, a.Front)
	}
	sum := sha256.New()
	for _, p := range programs {
		text, err := os.ReadFile(p)
		if err != nil {
			return experiment.Arm{}, nil, err
		}
		_, _ = sum.Write(text)
	}
	x := experiment.Arm{Name: name, Build: fmt.Sprintf("%x", sum.Sum(nil)[:6]), Sockets: a.Sockets, With: a.With, Began: time.Now()}
	switch {
	case lab != own:
		return x, func(ctx context.Context, j experiment.Job) (experiment.Day, error) {
			return playElsewhere(lab, order{j, a.Sockets, a.Front})
		}, nil
	case a.Sockets:
		return x, experiment.OnSockets(world.SocketOptions{Front: a.Front}), nil
	}
	return x, experiment.InVirtualTime, nil
}

func (a *armFlags) atATime(jobs int) int {
	switch {
	case jobs > 0:
		return jobs
	case a.Sockets:
		return max(1, runtime.GOMAXPROCS(0)/2)
	}
	return runtime.GOMAXPROCS(0)
}

// order is a day that another ramplab plays.
type order struct {
	Job     experiment.Job
	Sockets bool
	Front   string
}

// playElsewhere has another ramplab play a day.
func playElsewhere(lab string, o order) (d experiment.Day, err error) {
	in, err := json.Marshal(o)
	if err != nil {
		return d, err
	}
	var out, errs bytes.Buffer
	cmd := exec.Command(lab, "day")
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(in), &out, &errs
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt here lets it end its day
	if err := cmd.Run(); err != nil {
		return d, fmt.Errorf("%s day: %w: %s", lab, err, strings.TrimSpace(errs.String()))
	}
	if err := json.Unmarshal(out.Bytes(), &d); err != nil {
		return d, fmt.Errorf("%s day: %w", lab, err)
	}
	return d, nil
}

type dayCommand struct{}

// Run plays one day for another ramplab.
func (dayCommand) Run() error {
	var o order
	if err := json.NewDecoder(os.Stdin).Decode(&o); err != nil {
		return err
	}
	play := experiment.InVirtualTime
	if o.Sockets {
		play = experiment.OnSockets(world.SocketOptions{Front: o.Front})
	}
	d, err := play(context.Background(), o.Job)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(d)
}

// run plays jobs into an arm, with a bar.
func run(s *experiment.Store, arm string, jobs []experiment.Job, atATime int, play experiment.Player) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bar := progressbar.NewOptions(len(jobs), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(arm),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	err := experiment.Run(ctx, s, arm, jobs, atATime, play, func(done, _ int) { _ = bar.Set(done) })
	if errors.Is(err, context.Canceled) {
		return errors.New("stopped; what was played is kept, and the same command goes on")
	}
	return err
}

type runCommand struct {
	days
	Arm   string `required:"" help:"The name of the build or setting."`
	Seeds int    `default:"1" help:"Days of each scenario, from its own seed on."`
	Again bool   `help:"Forget what the arm has, and play it anew."`
	armFlags
}

// Run plays an arm's days that the store does not have.
func (c *runCommand) Run() (err error) {
	if err := positive("seeds", c.Seeds); err != nil {
		return err
	}
	files, texts, err := c.texts(c.With)
	if err != nil {
		return err
	}
	arm, play, err := c.arm(c.Arm)
	if err != nil {
		return err
	}
	s, err := experiment.OpenStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	if c.Again {
		if err := s.DeleteArm(c.Arm); err != nil {
			return err
		}
	}
	if err := s.BeginArm(arm); err != nil {
		return err
	}
	var jobs []experiment.Job
	for seed := range uint64(c.Seeds) {
		for i := range files {
			jobs = append(jobs, experiment.Job{File: files[i], Text: texts[i], Seed: seed})
		}
	}
	if err := run(s, c.Arm, jobs, c.atATime(c.Jobs), play); err != nil {
		return err
	}
	all, err := s.Days(c.Arm)
	if err != nil {
		return err
	}
	broken := 0
	for _, d := range all {
		broken += len(d.Result.Violations)
	}
	fmt.Printf("%s: %d days, promises broken %d times\n", c.Arm, len(all), broken)
	if broken > 0 {
		return errNotMet
	}
	return nil
}

type tellCommand struct {
	days
	A       string   `required:"" help:"The name of the arm that is compared with."`
	B       string   `required:"" help:"The name of the other."`
	Measure string   `default:"G" help:"What is compared, as in a report."`
	Looks   int      `default:"5" help:"Looks at most; the more there are, the more each asks for."`
	First   int      `default:"3" help:"Seeds of each scenario before the first look."`
	Batch   int      `default:"46" help:"Days between two looks, given to the scenarios that tell least."`
	Least   float64  `default:"0.005" help:"An effect under this matters to nobody."`
	OfA     armFlags `embed:"" prefix:"a-"`
	OfB     armFlags `embed:"" prefix:"b-"`
}

// Run plays days of two arms until it can tell which is better.
func (c *tellCommand) Run() (err error) {
	if c.A == c.B {
		return fmt.Errorf("--a, --b: %q is one arm", c.A)
	}
	d := &experiment.Design{Looks: c.Looks, InitialSeeds: c.First, BatchDays: c.Batch, MinEffect: c.Least}
	for _, m := range experiment.Measures {
		if m.Name == c.Measure {
			d.Measure = m.Of
		}
	}
	if d.Measure == nil {
		return fmt.Errorf("%q is no measure", c.Measure)
	}
	s, err := experiment.OpenStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	type side struct {
		name  string
		flags *armFlags
		texts []string
		play  experiment.Player
	}
	sides := []side{{name: c.A, flags: &c.OfA}, {name: c.B, flags: &c.OfB}}
	for i := range sides {
		x := &sides[i]
		var arm experiment.Arm
		if d.Files, x.texts, err = c.texts(x.flags.With); err != nil {
			return err
		}
		if arm, x.play, err = x.flags.arm(x.name); err != nil {
			return err
		}
		if err := s.BeginArm(arm); err != nil {
			return err
		}
	}
	if err := d.Check(); err != nil {
		return err
	}
	want := map[string]int{}
	for i, f := range d.Files {
		want[f] = i
	}
	asked := map[experiment.PlannedDay]bool{}
	for look := 1; ; {
		var sets [2][]experiment.Day
		for i, x := range sides {
			all, err := s.Days(x.name)
			if err != nil {
				return err
			}
			for _, day := range all { // others may have been played into the arm: they were not asked for
				if asked[experiment.PlannedDay{File: day.File, Seed: day.Seed}] {
					sets[i] = append(sets[i], day)
				}
			}
		}
		pairs, _, err := experiment.Pairs(sets[0], sets[1])
		if err != nil {
			return err
		}
		step := d.Next(pairs, look)
		if len(pairs) >= c.First*len(d.Files) {
			fmt.Printf("look %d: %d pairs, %s %+.4f (%+.4f to %+.4f) %s\n", look, len(pairs), c.Measure, step.Mean, step.Low, step.High, step.Verdict)
			look++
		}
		if step.Verdict != "" {
			return nil
		}
		for _, x := range sides {
			var jobs []experiment.Job
			for _, w := range step.Days {
				asked[w] = true
				jobs = append(jobs, experiment.Job{File: w.File, Text: x.texts[want[w.File]], Seed: w.Seed})
			}
			if err := run(s, x.name, jobs, x.flags.atATime(c.Jobs), x.play); err != nil {
				return err
			}
		}
	}
}

type reportCommand struct {
	Store string   `arg:"" type:"existingfile" help:"What run and tell have written."`
	Arms  []string `help:"The arms to show; the first two are compared. By default all."`
	Out   string   `default:"report.html" help:"The page."`
	PNG   string   `type:"existingdir" help:"A directory for the pictures as files."`
	Title string   `default:"cherryramp: days that go wrong"`
}

// Run writes a report.
func (c *reportCommand) Run() (err error) {
	s, err := experiment.OpenStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	known, err := s.Arms()
	if err != nil {
		return err
	}
	if len(c.Arms) == 0 {
		for _, a := range known {
			c.Arms = append(c.Arms, a.Name)
		}
	}
	var arms []report.Arm
	for _, name := range c.Arms {
		x := report.Arm{}
		for _, a := range known {
			if a.Name == name {
				x.Arm = a
			}
		}
		if x.Days, err = s.Days(name); err != nil {
			return err
		}
		arms = append(arms, x)
	}
	if len(arms) == 0 {
		return fmt.Errorf("%s holds no arm yet", c.Store)
	}
	var page bytes.Buffer
	pictures, err := report.Write(&page, c.Title, arms)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, page.Bytes(), 0o644); err != nil {
		return err
	}
	for _, p := range pictures {
		if c.PNG == "" {
			break
		}
		if err := os.WriteFile(filepath.Join(c.PNG, p.Name+".png"), p.PNG, 0o644); err != nil {
			return err
		}
	}
	fmt.Printf("%s: %d arms, %d pictures, %d KB\n", c.Out, len(arms), len(pictures), page.Len()>>10)
	return nil
}
