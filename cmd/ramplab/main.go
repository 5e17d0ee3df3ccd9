// Command ramplab tests and measures the built front on loopback, with simulated
// servers behind it, and plays scenarios in virtual time.
//
//	ramplab up            a site for manual testing, until interrupted
//	ramplab conformance   the test suite of the signed front, against a front or an address
//	ramplab world         the operator file and keys of that suite, for another server
//	ramplab flood         forged links beside valid ones
//	ramplab idle          many idle connections, with requests beside them and on all of them
//	ramplab sim           scenarios in virtual time
//	ramplab compare       the results of two builds on the same scenarios
//	ramplab chaos         random scenarios in virtual time
//	ramplab fleet         fleets of fronts that coordinate: up, work, exchange, judge, versions
//	ramplab load          open-loop load against any address
//	ramplab run           an experiment: scenarios, seeds and builds, kept in a store
//	ramplab tell          days of two builds, until the comparison reaches a verdict
//	ramplab report        an experiment as one HTML page with charts
//	ramplab slow          slow readers or senders, and requests beside them
//
// The exit status is 0 on success, 1 on an error, 2 on invalid arguments, and 3 if a
// case failed, a property was violated or an expectation was not met.
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
	Up          upCommand          `cmd:"" help:"Run a site on loopback for manual testing until interrupted."`
	Conformance conformanceCommand `cmd:"" help:"Run the test suite of the signed front."`
	World       worldCommand       `cmd:"" help:"Write the operator file and keys of the suite, for a server that is tested by address."`
	Idle        idleCommand        `cmd:"" help:"Hold idle connections open, measure requests beside them, and send a request on each."`
	Sim         simCommand         `cmd:"" help:"Play scenarios in virtual time and check every property."`
	Compare     compareCommand     `cmd:"" help:"Compare the days of two builds or settings pair by pair."`
	Chaos       chaosCommand       `cmd:"" help:"Play random scenarios in virtual time and shrink those that violate a property."`
	Load        loadCommand        `cmd:"" help:"Send an open-loop load to any address."`
	Run         runCommand         `cmd:"" help:"Play an experiment's days and store their results; an interrupted run resumes."`
	Tell        tellCommand        `cmd:"" help:"Play days of two builds or settings until the comparison reaches a verdict."`
	Report      reportCommand      `cmd:"" help:"Write an experiment as one HTML page with charts."`
	Day         dayCommand         `cmd:"" hidden:"" help:"Play one day for another ramplab."`
	Slow        slowCommand        `cmd:"" help:"Measure requests beside slow readers or senders."`
	IdleWorker  workerCommand      `cmd:"" hidden:"" help:"Hold connections for another ramplab."`
	Fleet       fleetCommands      `cmd:"" help:"Run and test fleets of fronts that coordinate."`
	Flood       floodCommand       `cmd:"" help:"Send forged links beside valid ones and measure both."`
}

// errNotMet makes the program exit with status 3; what was not met is printed before.
var errNotMet = errors.New("not met")

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("ramplab"), kong.Description("Tests and measures cherryramp."), kong.UsageOnError())
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

// frontPath selects the program under test.
type frontPath struct {
	Front string `default:"" help:"The built front; by default cherryramp in the folder of this program."`
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
	Address string `help:"Address of a running server to test, instead of starting a front."`
	Keys    string `type:"existingfile" help:"With --address, the file of keys that world wrote."`
	Show    int    `default:"10" help:"Maximum number of failed cases to print."`
}

// Run runs the suite. With a front of its own it also checks that no more requests reach
// the cache node than the cases allow.
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
	var started *site.Site
	if address == "" {
		front, err := c.path()
		if err != nil {
			return err
		}
		if started, err = site.Start(site.Options{Front: front, Operator: fixture.OperatorFile}); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, started.Stop()) }()
		address = started.SignedListen
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
	if started != nil {
		fmt.Printf("%d requests reached the cache node, %d may\n", started.Box.Requests(), allowed)
		if started.Box.Requests() > allowed {
			return errNotMet
		}
	}
	if len(failed) > 0 {
		return errNotMet
	}
	return nil
}

type worldCommand struct {
	Dir    string `arg:"" type:"existingdir" help:"Directory to which operator.json and keys.pem are written."`
	Listen string `default:"127.0.0.1:8443" help:"Listen address of the signed front in operator.json."`
}

// Run writes the operator file and the keys.
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
	Format      string        `default:"cloudfront-canned-rs" help:"Format of the forged links, as named in the suite's cases."`
	Carrier     string        `default:"query" help:"Carrier of the forged links: query, cookie, header or path."`
	GoodFormat  string        `default:"cloudfront-canned-es" help:"Format of the valid links."`
	Forged      int           `default:"5000" help:"Forged links per second."`
	Good        int           `default:"200" help:"Valid links per second, of which every fifth is a new one."`
	For         time.Duration `default:"10s"`
	Connections int           `default:"40" help:"Number of connections of each kind; a front with 1,024 descriptors accepts 92 before it closes idle ones."`
	Distinct    int           `default:"50000" help:"Number of different forged links, sent in turn."`
	Procs       int           `default:"1" help:"Number of cores that the front uses."`
}

// Run sends forged and valid links to a front. It fails if a forged link is accepted or
// reaches a server.
func (c floodCommand) Run() (err error) {
	front, err := c.path()
	if err != nil {
		return err
	}
	fixture, err := conformance.New(time.Now())
	if err != nil {
		return err
	}
	site, err := site.Start(site.Options{Front: front, Operator: fixture.OperatorFile, Env: []string{fmt.Sprint("GOMAXPROCS=", c.Procs)}})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, site.Stop()) }()
	forged, err := fixture.SignedRequests(c.Format, c.Carrier, c.Distinct, true)
	if err != nil {
		return err
	}
	good, err := fixture.SignedRequests(c.GoodFormat, "query", max(1, c.Good*int(c.For/time.Second)/5), false)
	if err != nil {
		return err
	}
	before, err := processCPUTime(site.Pid())
	if err != nil {
		return err
	}
	result, err := flood.Run(flood.Options{Address: site.SignedListen, GoodRate: c.Good, ForgedRate: c.Forged, Duration: c.For, Connections: c.Connections,
		Timeout: 5 * time.Second, Good: func(i int) string { return good[i%len(good)] }, Forged: func(i int) string { return forged[i%len(forged)] }})
	if err != nil {
		return err
	}
	after, err := processCPUTime(site.Pid())
	if err != nil {
		return err
	}
	fmt.Printf("good    %s\nforged  %s\n", result.Good.Summary(), result.Forged.Summary())
	refused := result.Forged.Count[403] + result.Forged.Count[503]
	reached := site.Box.Requests() + site.Parent.Requests() + site.Origin.Requests()
	fmt.Printf("forged turned away a second: %.0f; front's CPU: %.2f s a second; reached a node: %d, of %d good ones sent; resident %d KB\n",
		float64(refused)/result.Elapsed.Seconds(), (after-before).Seconds()/result.Elapsed.Seconds(), reached, c.Good*int(c.For/time.Second), process.ResidentKB(site.Pid()))
	if reached > int64(result.Good.Count[200]+result.Good.Failed) || result.Forged.Count[200] > 0 {
		return errNotMet
	}
	return nil
}
