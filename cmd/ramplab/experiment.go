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

// experimentInputs are the store and the scenarios of an experiment. A day is one run of
// a scenario with one seed.
type experimentInputs struct {
	Store string   `arg:"" help:"The file that stores the results; it is created if it does not exist."`
	Files []string `arg:"" type:"existingfile" help:"Scenario files, such as those in lab/scenarios."`
	Jobs  int      `default:"0" help:"Days played in parallel; 0: one per core in virtual time, one per two cores on sockets."`
}

// readScenarios reads the scenarios and appends the arm's extra lines to each.
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

// armFlags select how an arm's days are played.
type armFlags struct {
	Lab     string `help:"The ramplab of another build, which plays the days instead of this one."`
	Front   string `help:"The built front, with sockets; by default cherryramp in the folder of the ramplab that plays."`
	Sockets bool   `help:"Play against built fronts on loopback in real time, instead of in virtual time."`
	With    string `help:"Lines that are appended to every scenario, in the scenario language."`
}

// resolve returns the description of the arm for the store, with a hash of the programs
// that play it, and the player of its days.
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

// dayRequest asks another ramplab to play a day; it is sent as JSON.
type dayRequest struct {
	Job     experiment.Job
	Sockets bool
	Front   string
}

// playWithProgram plays a day with another ramplab program.
func playWithProgram(program string, request dayRequest) (day experiment.Day, err error) {
	in, err := json.Marshal(request)
	if err != nil {
		return day, err
	}
	var out, stderr bytes.Buffer
	cmd := exec.Command(program, "day")
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(in), &out, &stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt of this process does not reach it, so that it finishes its day
	if err := cmd.Run(); err != nil {
		return day, fmt.Errorf("%s day: %w: %s", program, err, strings.TrimSpace(stderr.String()))
	}
	if err := json.Unmarshal(out.Bytes(), &day); err != nil {
		return day, fmt.Errorf("%s day: %w", program, err)
	}
	return day, nil
}

type dayCommand struct{}

// Run plays the day that standard input requests and writes the result to standard output.
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

// playJobs plays jobs, stores their results in an arm and shows a progress bar.
func playJobs(store *experiment.Store, arm string, jobs []experiment.Job, parallelism int, play experiment.Player) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bar := progressbar.NewOptions(len(jobs), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(arm),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	err := experiment.Run(ctx, store, arm, jobs, parallelism, play, func(done, _ int) { _ = bar.Set(done) })
	if errors.Is(err, context.Canceled) {
		return errors.New("interrupted; the days played so far are stored, and the same command resumes the run")
	}
	return err
}

type runCommand struct {
	experimentInputs
	Arm   string `required:"" help:"The name of the arm, that is, of a build or setting."`
	Seeds int    `default:"1" help:"Number of seeds for each scenario, starting with its own."`
	Again bool   `help:"Delete the stored days of the arm and play them again."`
	armFlags
}

// Run plays the days of an arm that are not in the store.
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
	A       string   `required:"" help:"The name of the baseline arm."`
	B       string   `required:"" help:"The name of the arm that is compared with it."`
	Measure string   `default:"G" help:"The measure that is compared, as named in a report."`
	Looks   int      `default:"5" help:"Maximum number of looks; the more there are, the stricter each test is."`
	First   int      `default:"3" help:"Number of seeds for each scenario before the first look."`
	Batch   int      `default:"46" help:"Days between two looks, distributed so that the variance falls most."`
	Least   float64  `default:"0.005" help:"Effects below this are irrelevant; 0: all are relevant."`
	OfA     armFlags `embed:"" prefix:"a-"`
	OfB     armFlags `embed:"" prefix:"b-"`
}

// Run plays days of two arms until the comparison reaches a verdict.
func (c *tellCommand) Run() (err error) {
	if c.A == c.B {
		return fmt.Errorf("--a and --b both name the arm %q", c.A)
	}
	design := &experiment.Design{Looks: c.Looks, InitialSeeds: c.First, BatchDays: c.Batch, MinEffect: c.Least}
	for _, m := range experiment.Measures {
		if m.Name == c.Measure {
			design.Measure = m.Of
		}
	}
	if design.Measure == nil {
		return fmt.Errorf("there is no measure %q", c.Measure)
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
			for _, day := range all { // the arm may hold other days, which the design did not plan
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
	Store string   `arg:"" type:"existingfile" help:"The store that run and tell wrote."`
	Arms  []string `help:"The arms to show, by default all; the first two are compared."`
	Out   string   `default:"report.html" help:"The HTML file to write."`
	PNG   string   `type:"existingdir" help:"A directory to which the charts are also written as PNG files."`
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
		return fmt.Errorf("%s contains no arms", c.Store)
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
