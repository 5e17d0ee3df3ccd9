// Command ramplab is the project's laboratory. It starts the built front before
// stand-ins on loopback and measures what it does.
//
//	ramplab up            a site to try things out on, until it is interrupted
//	ramplab conformance   the suite of the signed front, against a front or an address
//	ramplab world         the suite's operator's file and keys, for another server
//	ramplab flood         forged links beside good ones
//	ramplab idle          many idle connections, requests beside them, and all waking
//	ramplab sim           scenarios in virtual time
//	ramplab compare       what two builds made of the same scenarios
//	ramplab chaos         random days in virtual time
//	ramplab fleet         fronts that act together: up, work
//	ramplab load          open-loop load against any address
//	ramplab run           an experiment: scenarios, seeds and builds, kept in a store
//	ramplab tell          days of two builds until it can be told which is better
//	ramplab report        an experiment as one page with pictures
//	ramplab slow          slow readers or senders, and requests beside them
//
// It exits with 0 where all is well, 1 where something failed, 2 where it was
// called in a way that it does not know, 3 where a case or a limit was not met.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"cherryramp/lab/conformance"
	"cherryramp/lab/flood"
	"cherryramp/lab/process"
	"cherryramp/lab/site"
)

type commands struct {
	Up          upCommand          `cmd:"" help:"Start a site on loopback to try things out on, until interrupted."`
	Conformance conformanceCommand `cmd:"" help:"Run the suite of the signed front."`
	World       worldCommand       `cmd:"" help:"Write the suite's operator's file and keys, for a server to be tested by address."`
	Idle        idleCommand        `cmd:"" help:"Hold idle connections open, measure requests beside them, and wake them."`
	Sim         simCommand         `cmd:"" help:"Play scenarios in virtual time, and check every promise."`
	Compare     compareCommand     `cmd:"" help:"Compare the days of two builds or settings, pair by pair."`
	Chaos       chaosCommand       `cmd:"" help:"Play random days in virtual time, and find the shortest that breaks a promise."`
	Load        loadCommand        `cmd:"" help:"Send an open-loop load to any address."`
	Run         runCommand         `cmd:"" help:"Play an experiment's days into a store, and go on where it was stopped."`
	Tell        tellCommand        `cmd:"" help:"Play days of two builds or settings until it can be told which is better."`
	Report      reportCommand      `cmd:"" help:"Write an experiment as one page with pictures."`
	Day         dayCommand         `cmd:"" hidden:"" help:"Play one day for another ramplab."`
	Slow        slowCommand        `cmd:"" help:"Let slow readers or senders come, and measure requests beside them."`
	IdleWorker  workerCommand      `cmd:"" hidden:"" help:"Hold connections for another ramplab."`
	Fleet       fleetCommands      `cmd:"" help:"Fleets of fronts that act together: held up, or at work while things go wrong."`
	Flood       floodCommand       `cmd:"" help:"Send forged links beside good ones and measure both."`
}

var errNotMet = errors.New("not met")

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("ramplab"), kong.Description("The laboratory of cherryramp."), kong.UsageOnError())
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(2)
	}
	switch err := ctx.Run(); {
	case errors.Is(err, errNotMet):
		os.Exit(3)
	case err != nil:
		fmt.Fprintln(os.Stderr, "ramplab:", err)
		os.Exit(1)
	}
}

// frontPath is the program under test.
type frontPath struct {
	Front string `default:"" help:"The built front; by default cherryramp beside this program."`
}

func (f frontPath) path() (string, error) {
	if f.Front != "" {
		return f.Front, nil
	}
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(executable), "cherryramp"), nil
}

type conformanceCommand struct {
	frontPath
	Address string `help:"A running server's address, in place of a front of our own."`
	Keys    string `type:"existingfile" help:"The keys that world wrote, with --address."`
	Show    int    `default:"10" help:"Failed cases to print whole."`
}

// Run runs the suite.
func (c conformanceCommand) Run() (err error) {
	fixture, err := conformance.New(time.Now())
	if err != nil {
		return err
	}
	address := c.Address
	if c.Keys != "" {
		keys, err := os.ReadFile(c.Keys)
		if err != nil {
			return err
		}
		if err := fixture.LoadKeys(keys); err != nil {
			return err
		}
	}
	var s *site.Site
	if address == "" {
		front, err := c.path()
		if err != nil {
			return err
		}
		if s, err = site.Start(site.Options{Front: front, Operator: fixture.OperatorFile}); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, s.Stop()) }()
		address = s.SignedListen
	}
	cases, allowed := fixture.Cases(), int64(0)
	for _, x := range cases {
		if x.Status < 400 || x.Status == 416 {
			allowed++
		}
	}
	failed, err := conformance.Run(address, cases, 5*time.Second)
	if err != nil {
		return err
	}
	for i, f := range failed {
		if i == c.Show {
			fmt.Printf("... and %d more\n", len(failed)-i)
			break
		}
		fmt.Println(f)
	}
	fmt.Printf("%d cases, %d failed\n", len(cases), len(failed))
	if s != nil {
		fmt.Printf("%d requests reached the cache node, %d may\n", s.Box.Requests(), allowed)
		if s.Box.Requests() > allowed {
			return errNotMet
		}
	}
	if len(failed) > 0 {
		return errNotMet
	}
	return nil
}

type worldCommand struct {
	Dir    string `arg:"" type:"existingdir" help:"Where operator.json and keys.pem are written."`
	Listen string `default:"127.0.0.1:8443" help:"The address that the file gives the signed front."`
}

// Run writes a world.
func (c worldCommand) Run() error {
	fixture, err := conformance.New(time.Now())
	if err != nil {
		return err
	}
	keys, err := fixture.Keys()
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(c.Dir, "operator.json"), fixture.OperatorFile(c.Listen), 0o600),
		os.WriteFile(filepath.Join(c.Dir, "keys.pem"), keys, 0o600))
}

type floodCommand struct {
	frontPath
	Format      string        `default:"cloudfront-canned-rs" help:"The format of the forged links, as conformance names them."`
	Carrier     string        `default:"query" help:"Where they are carried."`
	GoodFormat  string        `default:"cloudfront-canned-es" help:"The format of the good links."`
	Forged      int           `default:"5000" help:"Forged links a second."`
	Good        int           `default:"200" help:"Good links a second, of which every fifth is a new one."`
	For         time.Duration `default:"10s"`
	Connections int           `default:"40" help:"Of each kind; a front of 1,024 descriptors takes 92 before it closes idle ones."`
	Distinct    int           `default:"50000" help:"Different forged links, sent in turn."`
	Procs       int           `default:"1" help:"Cores that the front uses."`
}

// Run floods a front.
func (c floodCommand) Run() (err error) {
	front, err := c.path()
	if err != nil {
		return err
	}
	fixture, err := conformance.New(time.Now())
	if err != nil {
		return err
	}
	s, err := site.Start(site.Options{Front: front, Operator: fixture.OperatorFile, Env: []string{fmt.Sprint("GOMAXPROCS=", c.Procs)}})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Stop()) }()
	forged, err := fixture.SignedRequests(c.Format, c.Carrier, c.Distinct, true)
	if err != nil {
		return err
	}
	good, err := fixture.SignedRequests(c.GoodFormat, "query", max(1, c.Good*int(c.For/time.Second)/5), false)
	if err != nil {
		return err
	}
	before, err := processCPUTime(s.Pid())
	if err != nil {
		return err
	}
	r, err := flood.Run(flood.Options{Address: s.SignedListen, GoodRate: c.Good, ForgedRate: c.Forged, Duration: c.For, Connections: c.Connections,
		Timeout: 5 * time.Second, Good: func(i int) string { return good[i%len(good)] }, Forged: func(i int) string { return forged[i%len(forged)] }})
	if err != nil {
		return err
	}
	after, err := processCPUTime(s.Pid())
	if err != nil {
		return err
	}
	fmt.Printf("good    %s\nforged  %s\n", r.Good.Summary(), r.Forged.Summary())
	n := r.Forged.Count[403] + r.Forged.Count[503]
	reached := s.Box.Requests() + s.Parent.Requests() + s.Origin.Requests()
	fmt.Printf("forged turned away a second: %.0f; front's CPU: %.2f s a second; reached a node: %d, of %d good ones sent; resident %d KB\n",
		float64(n)/r.Elapsed.Seconds(), (after-before).Seconds()/r.Elapsed.Seconds(), reached, c.Good*int(c.For/time.Second), process.ResidentKB(s.Pid()))
	if reached > int64(r.Good.Count[200]+r.Good.Failed) || r.Forged.Count[200] > 0 {
		return errNotMet
	}
	return nil
}
