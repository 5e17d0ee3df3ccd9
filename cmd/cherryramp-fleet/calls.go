package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cherryramp/internal/fleet"
)

const (
	callTime  = 15 * time.Second // for a call with its answer
	askAgain  = 500 * time.Millisecond
	mostReply = 8 << 20 // bytes of an answer
	ended     = failed(4)
)

// badCall is a call that can't be made as it was given.
type badCall struct{ error }

func help(c *cobra.Command, _ []string) error { return c.Help() }

// fleetCalls is what the commands of a fleet share.
type fleetCalls struct {
	ops  string
	json bool
	out  io.Writer
}

// call makes a call at a front's door and reads its answer.
func (c *fleetCalls) call(line string, into any) (raw []byte, err error) {
	address := c.ops
	if address == "" {
		address = os.Getenv("ROUTER_OPS")
	}
	if address == "" {
		return nil, badCall{errors.New("no door: give --ops or ROUTER_OPS")}
	}
	conn, err := net.DialTimeout("tcp", address, callTime)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTime))
	if _, err := fmt.Fprintf(conn, "FLEET %s\n", line); err != nil {
		return nil, err
	}
	answer, err := bufio.NewReader(io.LimitReader(conn, mostReply)).ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("the door at %s: %w", address, err)
	}
	answer = strings.TrimSpace(answer)
	if text, ok := strings.CutPrefix(answer, "ok "); ok {
		if into != nil {
			err = json.Unmarshal([]byte(text), into)
		}
		return []byte(text), err
	}
	return nil, errors.New(strings.TrimPrefix(answer, "fail "))
}

// show makes a call and prints its answer: as it is with --json, else as text.
func (c *fleetCalls) show(line string, into any, text func(w io.Writer)) error {
	raw, err := c.call(line, into)
	switch {
	case err != nil:
		return err
	case c.json:
		_, err = fmt.Fprintf(c.out, "%s\n", raw)
	default:
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		text(w)
		err = w.Flush()
	}
	return err
}

func fleetCommand() *cobra.Command {
	c := &fleetCalls{out: os.Stdout}
	root := &cobra.Command{Use: "fleet", Args: cobra.NoArgs, RunE: help, Short: "What the fronts of one installation agree on",
		Long: "What the fronts of one installation agree on, asked at any front's door.\n\n" +
			"Exit codes: 0 done, 1 failed or refused, 2 called in a way that is not known, 4 with --wait: the work ended before the machine was out, or the purge is not complete in time."}
	root.PersistentFlags().StringVar(&c.ops, "ops", "", "a front's operators' door, IP:port; ROUTER_OPS by default")
	root.PersistentFlags().BoolVar(&c.json, "json", false, "answers as JSON")
	simple := func(use, short string, run func(args []string) error, args cobra.PositionalArgs) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error { return run(args) }}
	}
	root.AddCommand(
		simple("init", "Tell whether the fleet is founded, and what its founding waits for", func([]string) error {
			var x map[string]string
			return c.show("INIT", &x, func(w io.Writer) { _, _ = fmt.Fprintf(w, "founded: %s %s\n", x["fleet"], x["id"]) })
		}, cobra.NoArgs),
		simple("status", "What this front knows of the fleet and of itself", c.status, cobra.NoArgs),
		simple("members", "The fronts of the fleet", c.members, cobra.NoArgs),
		simple("leave NAME", "Take a front out of the fleet for good", func(args []string) error {
			return c.show("LEAVE "+args[0], nil, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s leaves\n", args[0]) })
		}, cobra.ExactArgs(1)),
		c.treeCommand(), c.limitsCommand(), c.purgeCommand(), c.verdictsCommand(), c.steerCommand(), c.rulesCommand(), c.versionsCommand(), c.auditCommand(), c.workCommand())
	return root
}

func (c *fleetCalls) status([]string) error {
	var s fleet.Status
	return c.show("STATUS", &s, func(w io.Writer) {
		row := func(key, format string, args ...any) {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", key, fmt.Sprintf(format, args...))
		}
		list := func(names []string) string {
			if len(names) == 0 {
				return "none"
			}
			return strings.Join(names, ", ")
		}
		row("fleet", "%s %s", s.Fleet, s.ID)
		row("front", "%s (%s), incarnation %s, build %s", s.Front, s.Seat, s.Incarnation, s.Build)
		leader := s.Leader
		if leader == "" {
			leader = "none is known"
		}
		row("leader", "%s, term %d", leader, s.Term)
		row("log", "entry %d applied, fleet time %.0f s", s.Applied, s.FleetTime)
		if s.Feeder != "" {
			row("fed by", "%s", s.Feeder)
		}
		row("feeds", "%d fronts", s.Feeds)
		row("fronts", "%d; lost: %s; away: %s; in trouble: %s", s.Fronts, list(s.Lost), list(s.NotServing), list(s.Unhealthy))
		row("voters", "%s", list(s.Voters))
		if len(s.OutdatedFronts) > 0 {
			row("version", "%d, until these run a newer build: %s", s.Version, list(s.OutdatedFronts))
		}
		switch {
		case s.TolerableLosses < 0:
			row("can bear", "no majority of the voters is heard: no permits until one is back")
		case s.TolerableLosses == 0:
			row("can bear", "no further loss of a voter")
		default:
			row("can bear", "%d further losses of voters", s.TolerableLosses)
		}
		row("acts on", "version %d", s.ActiveVersion)
		if !s.MayAct {
			row("may not act", "its lease is over, or its version is too old: requests are refused")
		}
		if s.AloneS > 0 {
			row("lease", "%.1f s of %.0f s left", s.LeaseS, s.AloneS)
		}
		row("out for work", "%s", list(s.Out))
		if s.Hold != "" {
			row("held", "%s", s.Hold)
		}
		if s.WaitsFor != "" {
			row("waits", "%s", s.WaitsFor)
		}
	})
}

// rulesCommand shows the rules, or changes those that are named.
func (c *fleetCalls) rulesCommand() *cobra.Command {
	return &cobra.Command{Use: "rules [KEY=NUMBER...]", Short: "The rules of works, or a change of some of them", RunE: func(_ *cobra.Command, args []string) error {
		change := map[string]json.Number{}
		for _, a := range args {
			key, number, ok := strings.Cut(a, "=")
			if _, err := strconv.ParseFloat(number, 64); !ok || err != nil {
				return badCall{fmt.Errorf("%q is no KEY=NUMBER", a)}
			}
			change[key] = json.Number(number)
		}
		call := "RULES"
		if len(change) > 0 {
			text, err := json.Marshal(change)
			if err != nil {
				return badCall{err}
			}
			call += " " + string(text)
		}
		var x map[string]float64
		return c.show(call, &x, func(w io.Writer) {
			for _, key := range slices.Sorted(maps.Keys(x)) {
				_, _ = fmt.Fprintf(w, "%s\t%g\n", key, x[key])
			}
		})
	}}
}

func (c *fleetCalls) members([]string) error {
	var list []fleet.Member
	return c.show("MEMBERS", &list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "FRONT\tZONE\tMACHINE\tADDRESS\tSEAT\tSTATE\tFOR\tBUILD\tINCARNATION")
		for _, m := range list {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f s\t%s\t%s\n", m.Name, m.Zone, m.Machine, m.Address, m.Seat, m.State, m.StateS, m.Build,
				m.Incarnation)
		}
	})
}

func (c *fleetCalls) workCommand() *cobra.Command {
	root := &cobra.Command{Use: "work", Args: cobra.NoArgs, RunE: help, Short: "Machines taken out for work, in an order that the fronts settle"}
	number := func(use, short, call string) *cobra.Command {
		return &cobra.Command{Use: use + " ID [REASON...]", Short: short, Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return badCall{fmt.Errorf("%q is no work's number", args[0])}
			}
			return c.show("WORK "+call+" "+strings.Join(args, " "), nil, func(w io.Writer) { _, _ = fmt.Fprintln(w, "ok") })
		}}
	}
	plain := func(use, short, call string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, RunE: func(_ *cobra.Command, args []string) error {
			return c.show(strings.TrimSpace("WORK "+call+" "+strings.Join(args, " ")), nil, func(w io.Writer) { _, _ = fmt.Fprintln(w, "ok") })
		}}
	}
	table := func(use, short, call string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return c.table(call) }}
	}
	root.AddCommand(c.askCommand(), table("list", "Works under way, waiting, and ended lately", "LIST"),
		table("plan", "Who goes when, and what stands in the way", "PLAN"),
		&cobra.Command{Use: "why MACHINE", Short: "What becomes of a machine's work, in a sentence", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				var x map[string]string
				return c.show("WORK WHY "+args[0], &x, func(w io.Writer) { _, _ = fmt.Fprintln(w, x["why"]) })
			}},
		number("cancel", "End a work; a machine that is out comes back", "CANCEL"),
		number("done", "Say that a work is done: the machine comes back", "DONE"),
		number("lost", "Declare a machine lost that will not come back from its work", "LOST"),
		plain("hold [REASON...]", "Give no machine leave until resume", "HOLD"), plain("resume", "Give leave again", "RESUME"))
	return root
}

func (c *fleetCalls) table(call string) error {
	var list []fleet.Operation
	return c.show("WORK "+call, &list, func(w io.Writer) {
		if len(list) == 0 {
			_, _ = fmt.Fprintln(w, "no work")
			return
		}
		_, _ = fmt.Fprintln(w, "WORK\tMACHINE\tKIND\tPHASE\tPLACE\tPERMIT\tFOR\tWAITS FOR\tREASON")
		for _, x := range list {
			place, permit, waits := "", "", x.WaitsFor
			if x.Position > 0 {
				place = strconv.Itoa(x.Position)
			}
			if x.Permit > 0 {
				permit = strconv.FormatUint(x.Permit, 10)
			}
			if waits == "" {
				waits = x.Note
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%.0f s\t%s\t%s\n", x.ID, x.Machine, x.Kind, x.Phase, place, permit, x.PhaseS, waits, x.Reason)
		}
	})
}

func (c *fleetCalls) askCommand() *cobra.Command {
	var a fleet.OperationRequest
	var span, latest, within time.Duration
	var wait bool
	var until string
	cmd := &cobra.Command{Use: "ask MACHINE", Short: "Ask for a machine to be taken out for work", Args: cobra.ExactArgs(1),
		Long: "Ask for a machine to be taken out for work: a front by its name, or a cache box that all fronts are to leave.\n" +
			"With --wait the command ends once the machine is out and the work may begin.",
		RunE: func(_ *cobra.Command, args []string) error {
			a.Machine, a.SpanS, a.LatestS = args[0], span.Seconds(), latest.Seconds()
			switch until {
			case "done":
			case "restart":
				a.EndsOnRestart = true
			default:
				return badCall{fmt.Errorf("--until: %q is not done or restart", until)}
			}
			text, err := json.Marshal(a)
			if err != nil {
				return err
			}
			var word map[string]uint64
			if err := c.show("WORK ASK "+string(text), &word, func(w io.Writer) { _, _ = fmt.Fprintf(w, "work %d\n", word["work"]) }); err != nil || !wait {
				return err
			}
			return c.wait(word["work"], within)
		}}
	f := cmd.Flags()
	f.DurationVar(&span, "span", 10*time.Minute, "how long the work takes once the machine is out")
	f.DurationVar(&latest, "latest", 0, "from now, until when leave must be given; any time by default")
	f.StringVar(&until, "until", "done", "when it is back: once a person says done, or after a restart of its process")
	f.BoolVar(&a.Box, "box", false, "the machine is a cache box that all fronts are to leave")
	f.StringVar(&a.Zone, "zone", "", "of a box")
	f.StringVar(&a.Reason, "why", "", "the reason, for others to read")
	f.IntVar(&a.Importance, "importance", 0, "the more important goes first; waiting counts too")
	f.StringSliceVar(&a.ConflictsWith, "apart", nil, "machines that must not be out at the same time")
	f.BoolVar(&a.SingleZone, "zone-wise", false, "only while nothing of another zone is out")
	f.BoolVar(&a.Urgent, "urgent", false, "goes before all that is not, also while the fleet is hurt")
	f.StringVar(&a.RequestedBy, "by", os.Getenv("USER"), "who asks")
	f.BoolVar(&wait, "wait", false, "wait until the machine is out, and tell what is waited for")
	f.DurationVar(&within, "within", time.Hour, "how long to wait")
	return cmd
}

// wait follows a work until its machine is out, and tells each time what it waits
// for now.
func (c *fleetCalls) wait(id uint64, within time.Duration) error {
	told := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(askAgain) {
		var list []fleet.Operation
		if _, err := c.call("WORK LIST", &list); err != nil {
			if told != err.Error() { // another front, or this one later, may know
				told = err.Error()
				_, _ = fmt.Fprintln(os.Stderr, told)
			}
			continue
		}
		for _, x := range list {
			if x.ID != id {
				continue
			}
			line := x.Phase
			if x.WaitsFor != "" {
				line += ": " + x.WaitsFor
			} else if x.Note != "" {
				line += ": " + x.Note
			}
			if line != told {
				told = line
				_, _ = fmt.Fprintln(os.Stderr, line)
			}
			switch x.Phase {
			case "out":
				return nil
			case "done", "cancelled", "refused", "lost":
				return ended
			}
		}
	}
	return fmt.Errorf("work %d is not out after %v", id, within)
}
