package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"cherryramp/internal/decide/statemachine"
	"cherryramp/lab/fleet"
)

type fleetCommands struct {
	Up   fleetUpCommand   `cmd:"" help:"Hold a fleet of started fronts up, to try things out on, until interrupted."`
	Work fleetWorkCommand `cmd:"" help:"Take machines out for work while things go wrong, and check every promise."`

	Exchange fleetExchangeCommand `cmd:"" help:"Limits, purges, verdicts and latencies over started fronts while things go wrong; a judge reads the histories afterwards."`
	Judge    fleetJudgeCommand    `cmd:"" help:"Judge a folder of histories that a day left."`

	Versions fleetVersionsCommand `cmd:"" help:"Propose versions while things go wrong, read every front's answers and audits, and check every promise."`
}

type fleetUpCommand struct {
	frontPath
	Fronts int           `default:"3" help:"How many."`
	Zones  int           `default:"3" help:"Zones that they stand in."`
	Rate   float64       `default:"20" help:"Requests a second of the fleet's clients; 0: none."`
	For    time.Duration `help:"How long; by default until interrupted."`
	Plain  bool          `help:"No live view; also where there is no terminal."`
}

// Run holds a fleet up.
func (c fleetUpCommand) Run() (err error) {
	front, err := c.path()
	if err != nil {
		return err
	}
	processes, err := fleet.NewProcesses(fleet.Options{Program: front, Fronts: c.Fronts, Zones: c.Zones, UseProxies: c.Fronts <= 12})
	if err != nil {
		return err
	}
	defer func() {
		if e := processes.Close(); err == nil {
			err = e
		}
	}()
	if err := processes.StartAll(); err != nil {
		return err
	}
	fmt.Printf("%d fronts start; their doors:\n\n", c.Fronts)
	for _, p := range processes.List {
		fmt.Printf("  %s  zone %s  clients %s  door %s  log %s\n", p.Name, p.Zone, p.Listen, p.Ops, p.Log)
	}
	last := processes.List[len(processes.List)-1]
	fmt.Printf("\nTo try, in another terminal:\n\n  export ROUTER_OPS=%s\n  bin/cherryramp fleet status\n  bin/cherryramp fleet work ask %s --why \"a look\" --wait\n"+
		"  bin/cherryramp fleet work plan\n  bin/cherryramp fleet work done 1\n  kill -9 %d     # %s; it is started again after 5 s\n\n", processes.List[0].Ops, last.Name,
		processes.List[0].Pid(), processes.List[0].Name)
	var clients *fleet.Clients
	if c.Rate > 0 {
		clients = fleet.NewClients(processes, c.Rate)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var deadline <-chan time.Time
	if c.For > 0 {
		deadline = time.After(c.For)
	}
	live := !c.Plain && term.IsTerminal(int(os.Stdout.Fd()))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	previous := ""
	for {
		select {
		case <-signals:
		case <-deadline:
		case <-ticker.C:
			processes.RestartEnded(5 * time.Second)
			view := fleetTable(processes)
			if live {
				fmt.Print("\x1b[H\x1b[2J" + view)
				if clients != nil {
					fmt.Printf("\nrequests: %d served, %d refused, %d failed, %d lost\n", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(), clients.Lost.Load())
				}
				fmt.Printf("\nROUTER_OPS=%s; interrupt to end\n", processes.List[0].Ops)
			} else if view != previous {
				previous = view
				fmt.Println(view)
			}
			continue
		}
		break
	}
	if clients != nil {
		clients.Stop()
		fmt.Printf("requests: %d served, %d refused, %d failed, %d lost\n", clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(), clients.Lost.Load())
	}
	return nil
}

// fleetView is the fleet as a table: what each front says of itself.
func fleetTable(processes *fleet.Processes) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FRONT\tZONE\tSEAT\tLEADER\tTERM\tENTRY\tREADY\tVERSION\tWORK")
	for _, p := range processes.List {
		s, err := p.Status()
		if err != nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\tnot reached\t\t\t\t\t\t\n", p.Name, p.Zone)
			continue
		}
		ready, work := "yes", ""
		if p.Call("PING", nil) != nil {
			ready = "no"
		}
		if list, err := p.Plan(); err == nil {
			for _, x := range list {
				if x.Machine == p.Name {
					work = fmt.Sprintf("%d %s: %s", x.ID, x.Phase, x.WaitsFor)
				}
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\n", p.Name, p.Zone, s.Seat, s.Leader, s.Term, s.Applied, ready, s.ActiveVersion, work)
	}
	_ = w.Flush()
	return b.String()
}

type fleetVersionsCommand struct {
	fleetWorkCommand
	Page string `help:"Write the day as a page with a picture of versions over time, by front, to this file."`
}

// Run plays; in virtual time days have both works and versions.
func (c fleetVersionsCommand) Run() error {
	if c.Virtual || c.Troubles != "" {
		return c.fleetWorkCommand.Run()
	}
	if c.Fronts < 1 || c.Fronts > 40 || c.Zones < 1 || c.For < time.Second {
		return fmt.Errorf("--fronts 1 to 40, --zones from 1 and --for from 1s on are possible")
	}
	front, err := c.path()
	if err != nil {
		return err
	}
	var logLine func(string)
	if c.Verbose {
		logLine = func(line string) { fmt.Println(line) }
	}
	r, err := fleet.PlayVersions(fleet.Options{Program: front, Fronts: c.Fronts, Zones: c.Zones, Seed: c.Seed, UseProxies: true}, c.For, c.Rate, c.Chaos, logLine)
	if err != nil {
		return err
	}
	if c.Page != "" {
		f, err := os.Create(c.Page)
		if err != nil {
			return err
		}
		if err := errors.Join(r.Page(f), f.Close()); err != nil {
			return err
		}
	}
	r.Happened = nil
	return c.printResult(r, len(r.Broken) > 0)
}

type fleetWorkCommand struct {
	frontPath
	Fronts  int           `default:"5" help:"How many."`
	Zones   int           `default:"3" help:"Zones that they stand in."`
	Seed    uint64        `default:"1" help:"Of the troubles and of the works."`
	For     time.Duration `default:"60s" help:"How long things go wrong."`
	Virtual bool          `help:"In virtual time, without processes."`
	Days    int           `default:"1" help:"Random days, one seed after the other, with --virtual."`
	Random  bool          `help:"With --virtual, each day's fleet is drawn too."`
	Without string        `help:"A rule to leave out, with --virtual: fence, once, lost-is-out, majority. It must be found."`
	Rate    float64       `default:"50" help:"Requests a second beside it, with processes."`
	Chaos   bool          `default:"true" negatable:"" help:"Random troubles."`

	Troubles string `type:"existingfile" help:"A day in the laboratory's language instead of random works and troubles; it says fronts, zones, seed and span itself."`
	JSON     bool   `help:"The result as JSON."`
	Verbose  bool   `help:"Every line of what happens."`
}

// Run plays.
func (c fleetWorkCommand) Run() error {
	if c.Without != "" && !c.Virtual {
		return fmt.Errorf("--without: a started front leaves no rule out; add --virtual")
	}
	if c.Fronts < 1 || c.Fronts > 300 || c.Zones < 1 || c.Days < 1 || c.For < time.Second {
		return fmt.Errorf("--fronts 1 to 300, --zones and --days from 1 and --for from 1s on are possible")
	}
	if c.Troubles != "" {
		return c.playScript()
	}
	if c.Virtual {
		return c.playVirtual()
	}
	front, err := c.path()
	if err != nil {
		return err
	}
	var logLine func(string)
	if c.Verbose {
		logLine = func(line string) { fmt.Println(line) }
	}
	r, err := fleet.Play(fleet.Options{Program: front, Fronts: c.Fronts, Zones: c.Zones, Seed: c.Seed, UseProxies: true}, c.For, c.Rate, c.Chaos, logLine)
	if err != nil {
		return err
	}
	return c.printResult(r, len(r.Broken) > 0)
}

// script plays a day that is written down.
func (c fleetWorkCommand) playScript() error {
	s, err := fleet.ReadScript(c.Troubles)
	if err != nil {
		return err
	}
	var logLine func(string)
	if c.Verbose {
		logLine = func(line string) { fmt.Println(line) }
	}
	if !c.Virtual {
		front, err := c.path()
		if err != nil {
			return err
		}
		r, err := fleet.PlayScript(s, front, c.Rate, logLine)
		if err != nil {
			return err
		}
		return c.printResult(r, len(r.Broken) > 0)
	}
	d, _ := s.PlayVirtual(statemachine.Mutation(c.Without), logLine)
	if len(d.Broken) > 0 && !c.JSON {
		short, _, w := s.Minimize(statemachine.Mutation(c.Without))
		fmt.Printf("broken, and so is what is left of the day:\n%s\nthe last of what happened in it:\n", short)
		w.Dump(os.Stdout, 40)
	}
	return c.printResult(d, len(d.Broken) > 0)
}

func (c fleetWorkCommand) playVirtual() error {
	var logLine func(string)
	if c.Verbose {
		logLine = func(line string) { fmt.Println(line) }
	}
	started := time.Now()
	total := fleet.Result{}
	for i := range c.Days {
		spec := fleet.Spec{Fronts: c.Fronts, Zones: c.Zones, Seed: c.Seed + uint64(i), Mutation: statemachine.Mutation(c.Without)}
		if c.Random {
			spec = fleet.RandomSpec(spec.Seed, spec.Mutation)
		}
		d, w := fleet.PlayRandomDay(spec, fleet.Micros(c.For.Microseconds()), logLine)
		total.Add(d)
		if len(d.Broken) > 0 {
			if !c.JSON {
				d, w, span := shortestViolation(spec, d, w, fleet.Micros(c.For.Microseconds()))
				fmt.Printf("seed %d, %d fronts: broken, also with --for %v; the last of what happened:\n", d.Seed, d.Fronts, time.Duration(span)*time.Microsecond)
				w.Dump(os.Stdout, 40)
			}
			return c.printResult(d, true)
		}
	}
	if c.Days > 1 {
		if c.JSON {
			return c.printResult(total, false)
		}
		fmt.Printf("%d days in %.0f s: %d works asked for, %d states compared, %d entries, at most %d fronts out at once; none broke a promise\n",
			total.Days, time.Since(started).Seconds(), total.Asked, total.Checked, total.Entries, total.Most)
		return nil
	}
	fmt.Printf("no promise broken: %+v\n", total)
	return nil
}

// shortest plays a day that broke a promise again with less and less trouble, as long
// as it still does.
func shortestViolation(spec fleet.Spec, d fleet.Day, w *fleet.World, span fleet.Micros) (fleet.Day, *fleet.World, fleet.Micros) {
	for step := span / 2; step >= fleet.Second; {
		if x, world := fleet.PlayRandomDay(spec, span-step, nil); span > step && len(x.Broken) > 0 {
			d, w, span = x, world, span-step
		} else {
			step /= 2
		}
	}
	return d, w, span
}

func (c fleetWorkCommand) printResult(result any, broken bool) error {
	if c.JSON {
		text, err := json.Marshal(result)
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	} else {
		fmt.Printf("%+v\n", result)
	}
	if broken {
		return errNotMet
	}
	return nil
}
