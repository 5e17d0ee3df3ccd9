package main

import (
	"encoding/json"
	"fmt"
	"time"

	"cherryramp/lab/fleet"
	"cherryramp/lab/history"
)

type fleetExchangeCommand struct {
	frontPath
	Fronts  int           `default:"5" help:"Number of fronts."`
	Zones   int           `default:"3" help:"Sites that the fronts are spread over."`
	Seed    uint64        `default:"1" help:"Seed of the clients and the faults."`
	For     time.Duration `default:"24s" help:"How long faults may occur, before the fleet settles and is checked."`
	Chaos   bool          `help:"Random faults, instead of one partition of a site in the middle."`
	Limit   float64       `default:"100" help:"The tenant's hard limit in requests per second."`
	Burst   float64       `default:"20" help:"Burst of the hard limit in requests."`
	Rate    float64       `default:"300" help:"Requests per second that clients send under the limit."`
	Reads   float64       `default:"60" help:"Requests per second that are not under the limit."`
	Keep    string        `type:"path" help:"Folder in which the histories are kept."`
	JSON    bool          `help:"Print the result as JSON."`
	Verbose bool          `help:"Print every event."`
}

// Run plays a day and checks its histories.
func (c fleetExchangeCommand) Run() error {
	if c.Fronts < 1 || c.Fronts > 40 || c.Zones < 1 || c.For < 4*time.Second || c.Limit <= 0 || c.Burst < 1 || c.Rate <= 0 {
		return fmt.Errorf("--fronts must be 1 to 40, --zones and --burst at least 1, --for at least 4s, --limit and --rate above 0")
	}
	front, err := c.path()
	if err != nil {
		return err
	}
	o := fleet.ExchangeOptions{Program: front, Fronts: c.Fronts, Zones: c.Zones, Seed: c.Seed, Limit: c.Limit, Burst: c.Burst, Rate: c.Rate, Reads: c.Reads, Boxes: 2, HistoryDir: c.Keep}
	if c.Verbose {
		o.Verbose = func(line string) { fmt.Println(line) }
	}
	r, err := fleet.PlayExchange(o, c.For, c.Chaos)
	if r.Verdict == nil {
		return err
	}
	if c.JSON {
		text, e := json.Marshal(r)
		if e != nil {
			return e
		}
		fmt.Println(string(text))
	} else {
		fmt.Printf("%d served, %d refused, %d failed, %d lost; %d fills\n", r.Served, r.Refused, r.Failed, r.Lost, r.Fills)
		printVerdict(r.Verdict)
	}
	if err == nil && len(r.Verdict.Violations) > 0 {
		err = errNotMet
	}
	return err
}

type fleetJudgeCommand struct {
	Folder string `arg:"" type:"existingdir" help:"The folder with the histories."`
	JSON   bool   `help:"Print the result as JSON."`
}

// Run checks the histories of a folder.
func (c fleetJudgeCommand) Run() error {
	h, err := history.Read(c.Folder)
	if err != nil {
		return err
	}
	v := history.Check(h)
	if c.JSON {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		fmt.Println(string(text))
	} else {
		printVerdict(v)
	}
	if len(v.Violations) > 0 {
		return errNotMet
	}
	return nil
}

func printVerdict(v *history.Verdict) {
	fmt.Printf("events: %v\nhard limits: over by %.1f requests at the most (below 0: never); used at the end: %.0f%%\n", v.Counts, v.MaxExcess, 100*v.Utilization)
	for _, p := range v.Purges {
		fmt.Printf("purge %s: obeyed by %d fronts after %.3f s, complete after %.3f s\n", p.ID, p.Fronts, p.Applied, p.Complete)
	}
	if len(v.Truncated) > 0 {
		fmt.Printf("not whole, judged up to there: %v\n", v.Truncated)
	}
	if v.Dropped > 0 {
		fmt.Printf("%d events were not written\n", v.Dropped)
	}
	for _, f := range v.Violations {
		fmt.Printf("BROKEN %s: %s\n", f.Property, f.Text)
		for _, e := range f.Evidence {
			b, _ := json.Marshal(e)
			fmt.Printf("    %s\n", b)
		}
	}
	if len(v.Violations) == 0 {
		fmt.Println("no promise broken")
	}
}
