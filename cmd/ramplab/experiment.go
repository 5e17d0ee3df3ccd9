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
type experimentInputs struct {
	Store string   `arg:"" help:"The file that keeps the results; it is made where it is not there."`
	Files []string `arg:"" type:"existingfile" help:"Scenarios, as those in lab/scenarios."`
	Jobs  int      `default:"0" help:"Days at a time; 0: one a core in virtual time, one for every two cores on sockets."`
}

// texts reads the scenarios; each has the lines added that an arm wants.
func (d *experimentInputs) readScenarios(extraLines string) (files, texts []string, err error) {
	for _, path := range d.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		files = append(files, filepath.Base(path))
		if extraLines != "" {
			text = fmt.Appendf(text, "\n%s\n", extraLines)
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
func (a *armFlags) resolve(name string) (experiment.Arm, experiment.Player, error) {
	executable, err := os.Executable()
	if err != nil {
		return experiment.Arm{}, nil, err
	}
	program := executable
	if a.Lab != "" {
		program = a.Lab
	}
	programs := []string{program}
	if a.Sockets {
		if a.Front == "" {
			a.Front = filepath.Join(filepath.Dir(program), "cherryramp")
		}
		programs = append(programs, a.Front)
	}
	hash := sha256.New()
	for _, p := range programs {
		text, err := os.ReadFile(p)
		if err != nil {
			return experiment.Arm{}, nil, err
		}
		_, _ = hash.Write(text)
	}
	arm := experiment.Arm{Name: name, Build: fmt.Sprintf("%x", hash.Sum(nil)[:6]), Sockets: a.Sockets, With: a.With, Began: time.Now()}
	switch {
	case program != executable:
		return arm, func(ctx context.Context, j experiment.Job) (experiment.Day, error) {
			return playWithProgram(program, dayRequest{j, a.Sockets, a.Front})
		}, nil
	case a.Sockets:
		return arm, experiment.OnSockets(world.SocketOptions{Front: a.Front}), nil
	}
	return arm, experiment.InVirtualTime, nil
}

func (a *armFlags) parallelism(jobs int) int {
	switch {
	case jobs > 0:
		return jobs
	case a.Sockets:
		return max(1, runtime.GOMAXPROCS(0)/2)
	}
	return runtime.GOMAXPROCS(0)
}

// order is a day that another ramplab plays.
type dayRequest struct {
	Job     experiment.Job
	Sockets bool
	Front   string
}

// playElsewhere has another ramplab play a day.
func playWithProgram(program string, request dayRequest) (day experiment.Day, err error) {
	in, err := json.Marshal(request)
	if err != nil {
		return day, err
	}
	var out, stderr bytes.Buffer
	cmd := exec.Command(program, "day")
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(in), &out, &stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt here lets it end its day
	if err := cmd.Run(); err != nil {
		return day, fmt.Errorf("%s day: %w: %s", program, err, strings.TrimSpace(stderr.String()))
	}
	if err := json.Unmarshal(out.Bytes(), &day); err != nil {
		return day, fmt.Errorf("%s day: %w", program, err)
	}
	return day, nil
}

type dayCommand struct{}

// Run plays one day for another ramplab.
func (dayCommand) Run() error {
	var request dayRequest
	if err := json.NewDecoder(os.Stdin).Decode(&request); err != nil {
		return err
	}
	play := experiment.InVirtualTime
	if request.Sockets {
		play = experiment.OnSockets(world.SocketOptions{Front: request.Front})
	}
	day, err := play(context.Background(), request.Job)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(day)
}

// run plays jobs into an arm, with a bar.
func playJobs(store *experiment.Store, arm string, jobs []experiment.Job, parallelism int, play experiment.Player) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bar := progressbar.NewOptions(len(jobs), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(arm),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	err := experiment.Run(ctx, store, arm, jobs, parallelism, play, func(done, _ int) { _ = bar.Set(done) })
	if errors.Is(err, context.Canceled) {
		return errors.New("stopped; what was played is kept, and the same command goes on")
	}
	return err
}

type runCommand struct {
	experimentInputs
	Arm   string `required:"" help:"The name of the build or setting."`
	Seeds int    `default:"1" help:"Days of each scenario, from its own seed on."`
	Again bool   `help:"Forget what the arm has, and play it anew."`
	armFlags
}

// Run plays an arm's days that the store does not have.
func (c *runCommand) Run() (err error) {
	if err := requirePositive("seeds", c.Seeds); err != nil {
		return err
	}
	files, texts, err := c.readScenarios(c.With)
	if err != nil {
		return err
	}
	arm, play, err := c.resolve(c.Arm)
	if err != nil {
		return err
	}
	store, err := experiment.OpenStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	if c.Again {
		if err := store.DeleteArm(c.Arm); err != nil {
			return err
		}
	}
	if err := store.BeginArm(arm); err != nil {
		return err
	}
	var jobs []experiment.Job
	for seed := range uint64(c.Seeds) {
		for i := range files {
			jobs = append(jobs, experiment.Job{File: files[i], Text: texts[i], Seed: seed})
		}
	}
	if err := playJobs(store, c.Arm, jobs, c.parallelism(c.Jobs), play); err != nil {
		return err
	}
	all, err := store.Days(c.Arm)
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
	experimentInputs
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
	design := &experiment.Design{Looks: c.Looks, InitialSeeds: c.First, BatchDays: c.Batch, MinEffect: c.Least}
	for _, m := range experiment.Measures {
		if m.Name == c.Measure {
			design.Measure = m.Of
		}
	}
	if design.Measure == nil {
		return fmt.Errorf("%q is no measure", c.Measure)
	}
	store, err := experiment.OpenStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	type side struct {
		name  string
		flags *armFlags
		texts []string
		play  experiment.Player
	}
	sides := []side{{name: c.A, flags: &c.OfA}, {name: c.B, flags: &c.OfB}}
	for i := range sides {
		current := &sides[i]
		var arm experiment.Arm
		if design.Files, current.texts, err = c.readScenarios(current.flags.With); err != nil {
			return err
		}
		if arm, current.play, err = current.flags.resolve(current.name); err != nil {
			return err
		}
		if err := store.BeginArm(arm); err != nil {
			return err
		}
	}
	if err := design.Check(); err != nil {
		return err
	}
	fileIndex := map[string]int{}
	for i, f := range design.Files {
		fileIndex[f] = i
	}
	planned := map[experiment.PlannedDay]bool{}
	for look := 1; ; {
		var sets [2][]experiment.Day
		for i, current := range sides {
			all, err := store.Days(current.name)
			if err != nil {
				return err
			}
			for _, day := range all { // others may have been played into the arm: they were not asked for
				if planned[experiment.PlannedDay{File: day.File, Seed: day.Seed}] {
					sets[i] = append(sets[i], day)
				}
			}
		}
		pairs, _, err := experiment.Pairs(sets[0], sets[1])
		if err != nil {
			return err
		}
		step := design.Next(pairs, look)
		if len(pairs) >= c.First*len(design.Files) {
			fmt.Printf("look %d: %d pairs, %s %+.4f (%+.4f to %+.4f) %s\n", look, len(pairs), c.Measure, step.Mean, step.Low, step.High, step.Verdict)
			look++
		}
		if step.Verdict != "" {
			return nil
		}
		for _, current := range sides {
			var jobs []experiment.Job
			for _, w := range step.Days {
				planned[w] = true
				jobs = append(jobs, experiment.Job{File: w.File, Text: current.texts[fileIndex[w.File]], Seed: w.Seed})
			}
			if err := playJobs(store, current.name, jobs, current.flags.parallelism(c.Jobs), current.play); err != nil {
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
	store, err := experiment.OpenStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	known, err := store.Arms()
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
		if x.Days, err = store.Days(name); err != nil {
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
