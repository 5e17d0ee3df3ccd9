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
	Up   fleetUpCommand   `cmd:"" help:"Run a fleet of fronts for manual testing until interrupted."`
	Work fleetWorkCommand `cmd:"" help:"Take machines out for maintenance operations while faults occur, and check every property."`

	Exchange fleetExchangeCommand `cmd:"" help:"Exercise shared limits, purges, verdicts and latencies on started fronts while faults occur, and check the histories afterwards."`
	Judge    fleetJudgeCommand    `cmd:"" help:"Check a folder of histories of a finished day."`

	Versions fleetVersionsCommand `cmd:"" help:"Propose versions while faults occur, read every front's answers and audits, and check every property."`
}

type fleetUpCommand struct {
	frontPath
	Fronts int           `default:"3" help:"Number of fronts."`
	Zones  int           `default:"3" help:"Zones that the fronts are spread over."`
	Rate   float64       `default:"20" help:"Requests per second of the fleet's clients; 0: none."`
	For    time.Duration `help:"How long the fleet runs; by default until interrupted."`
	Plain  bool          `help:"Show no live view; it is also off without a terminal."`
}

// Run starts a fleet and keeps it running; a front that ends is started again after 5 s.
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
	fmt.Printf("%d fronts are starting; their addresses (door: the admin endpoint):\n\n", c.Fronts)
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

// fleetTable returns the status that each front reports, as a table.
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
	Page string `help:"File to which the day is written as an HTML page with a chart of each front's version over time."`
}

// Run plays a day of version changes. In virtual time, and with --troubles, it plays what
// fleet work plays, where days have both operations and versions.
func (c fleetVersionsCommand) Run() error {
	if c.Virtual || c.Troubles != "" {
		return c.fleetWorkCommand.Run()
	}
	if c.Fronts < 1 || c.Fronts > 40 || c.Zones < 1 || c.For < time.Second {
		return fmt.Errorf("--fronts must be 1 to 40, --zones at least 1 and --for at least 1s")
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
	Fronts  int           `default:"5" help:"Number of fronts."`
	Zones   int           `default:"3" help:"Zones that the fronts are spread over."`
	Seed    uint64        `default:"1" help:"Seed of the faults and the operations."`
	For     time.Duration `default:"60s" help:"How long faults and operations go on."`
	Virtual bool          `help:"Play in virtual time, without processes."`
	Days    int           `default:"1" help:"With --virtual, number of random days, with consecutive seeds."`
	Random  bool          `help:"With --virtual, draw the fleet of each day at random too."`
	Without string        `help:"With --virtual, a rule to disable: fence, once, lost-is-out or majority. The checks must then find a violation."`
	Rate    float64       `default:"50" help:"Requests per second of the clients, with processes."`
	Chaos   bool          `default:"true" negatable:"" help:"Random faults."`

	Troubles string `type:"existingfile" help:"A day in the scenario language instead of random operations and faults; it defines fronts, zones, seed and duration itself."`
	JSON     bool   `help:"Print the result as JSON."`
	Verbose  bool   `help:"Print every event."`
}

// Run plays a day of maintenance operations, or several in virtual time.
func (c fleetWorkCommand) Run() error {
	if c.Without != "" && !c.Virtual {
		return fmt.Errorf("--without needs --virtual: started fronts cannot disable rules")
	}
	if c.Fronts < 1 || c.Fronts > 300 || c.Zones < 1 || c.Days < 1 || c.For < time.Second {
		return fmt.Errorf("--fronts must be 1 to 300, --zones and --days at least 1 and --for at least 1s")
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

// playScript plays the day of the file that --troubles names.
func (c fleetWorkCommand) playScript() error {
	script, err := fleet.ReadScript(c.Troubles)
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
		r, err := fleet.PlayScript(script, front, c.Rate, logLine)
		if err != nil {
			return err
		}
		return c.printResult(r, len(r.Broken) > 0)
	}
	day, _ := script.PlayVirtual(statemachine.Mutation(c.Without), logLine)
	if len(day.Broken) > 0 && !c.JSON {
		short, _, w := script.Minimize(statemachine.Mutation(c.Without))
		fmt.Printf("a property was violated; the shortest script found that still violates it:\n%s\nits last events:\n", short)
		w.Dump(os.Stdout, 40)
	}
	return c.printResult(day, len(day.Broken) > 0)
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
		day, w := fleet.PlayRandomDay(spec, fleet.Micros(c.For.Microseconds()), logLine)
		total.Add(day)
		if len(day.Broken) > 0 {
			if !c.JSON {
				day, w, span := shortestViolation(spec, day, w, fleet.Micros(c.For.Microseconds()))
				fmt.Printf("seed %d, %d fronts: a property was violated, also with --for %v; the last events:\n", day.Seed, day.Fronts, time.Duration(span)*time.Microsecond)
				w.Dump(os.Stdout, 40)
			}
			return c.printResult(day, true)
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

// shortestViolation shortens a day that violated a property as long as it still does.
func shortestViolation(spec fleet.Spec, day fleet.Day, w *fleet.World, span fleet.Micros) (fleet.Day, *fleet.World, fleet.Micros) {
	for step := span / 2; step >= fleet.Second; {
		if shorter, world := fleet.PlayRandomDay(spec, span-step, nil); span > step && len(shorter.Broken) > 0 {
			day, w, span = shorter, world, span-step
		} else {
			step /= 2
		}
	}
	return day, w, span
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
