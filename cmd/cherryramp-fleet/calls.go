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
	callTimeout    = 15 * time.Second // to connect; again for the call and its reply
	pollInterval   = 500 * time.Millisecond
	maxReply       = 8 << 20 // bytes of a reply
	exitIncomplete = exitCode(4)
)

// usageError is an error of the command line; the exit code is then 2.
type usageError struct{ error }

func showHelp(c *cobra.Command, _ []string) error { return c.Help() }

// fleetClient calls a front's admin endpoint and prints the replies, for all fleet commands.
type fleetClient struct {
	adminAddress string
	jsonOutput   bool
	out          io.Writer
}

// call sends "FLEET line" to a front's admin endpoint and returns the JSON of its "ok" reply,
// decoded into result unless that is nil. The text of a "fail" reply is the error.
func (client *fleetClient) call(line string, result any) (raw []byte, err error) {
	address := client.adminAddress
	if address == "" {
		address = os.Getenv("ROUTER_OPS")
	}
	if address == "" {
		return nil, usageError{errors.New("no admin address: set --ops or ROUTER_OPS")}
	}
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintf(conn, "FLEET %s\n", line); err != nil {
		return nil, err
	}
	reply, err := bufio.NewReader(io.LimitReader(conn, maxReply)).ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("read reply of %s: %w", address, err)
	}
	reply = strings.TrimSpace(reply)
	if text, ok := strings.CutPrefix(reply, "ok "); ok {
		if result != nil {
			err = json.Unmarshal([]byte(text), result)
		}
		return []byte(text), err
	}
	return nil, errors.New(strings.TrimPrefix(reply, "fail "))
}

// callAndPrint makes a call and prints its reply: the JSON with --json, else what printText writes.
func (client *fleetClient) callAndPrint(line string, result any, printText func(w io.Writer)) error {
	raw, err := client.call(line, result)
	switch {
	case err != nil:
		return err
	case client.jsonOutput:
		_, err = fmt.Fprintf(client.out, "%s\n", raw)
	default:
		w := tabwriter.NewWriter(client.out, 0, 0, 2, ' ', 0)
		printText(w)
		err = w.Flush()
	}
	return err
}

func fleetCommand() *cobra.Command {
	client := &fleetClient{out: os.Stdout}
	root := &cobra.Command{Use: "fleet", Args: cobra.NoArgs, RunE: showHelp, Short: "Query and control the fleet of fronts of one installation",
		Long: "Shared state of the fronts of one installation, queried at the admin endpoint of any front.\n\n" +
			"Exit codes: 0 success, 1 failed or refused, 2 wrong usage, 4 with --wait: the work ended before the machine was out, or the purge is not complete in time."}
	root.PersistentFlags().StringVar(&client.adminAddress, "ops", "", "admin endpoint of a front, IP:port; default: ROUTER_OPS")
	root.PersistentFlags().BoolVar(&client.jsonOutput, "json", false, "print replies as JSON")
	newCommand := func(use, short string, run func(args []string) error, args cobra.PositionalArgs) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error { return run(args) }}
	}
	root.AddCommand(
		newCommand("init", "Show whether the fleet is founded, and what founding waits for", func([]string) error {
			var x map[string]string
			return client.callAndPrint("INIT", &x, func(w io.Writer) { _, _ = fmt.Fprintf(w, "founded: %s %s\n", x["fleet"], x["id"]) })
		}, cobra.NoArgs),
		newCommand("status", "Show what this front knows of the fleet and of itself", client.status, cobra.NoArgs),
		newCommand("members", "List the fronts of the fleet", client.members, cobra.NoArgs),
		newCommand("leave NAME", "Remove a front from the fleet permanently", func(args []string) error {
			return client.callAndPrint("LEAVE "+args[0], nil, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s leaves\n", args[0]) })
		}, cobra.ExactArgs(1)),
		client.treeCommand(), client.limitsCommand(), client.purgeCommand(), client.verdictsCommand(), client.steerCommand(), client.rulesCommand(), client.versionsCommand(), client.auditCommand(), client.workCommand())
	return root
}

func (client *fleetClient) status([]string) error {
	var status fleet.Status
	return client.callAndPrint("STATUS", &status, func(w io.Writer) {
		row := func(key, format string, args ...any) {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", key, fmt.Sprintf(format, args...))
		}
		list := func(names []string) string {
			if len(names) == 0 {
				return "none"
			}
			return strings.Join(names, ", ")
		}
		row("fleet", "%s %s", status.Fleet, status.ID)
		row("front", "%s (%s), incarnation %s, build %s", status.Front, status.Seat, status.Incarnation, status.Build)
		leader := status.Leader
		if leader == "" {
			leader = "none is known"
		}
		row("leader", "%s, term %d", leader, status.Term)
		row("log", "entry %d applied, fleet time %.0f s", status.Applied, status.FleetTime)
		if status.Feeder != "" {
			row("fed by", "%s", status.Feeder)
		}
		row("feeds", "%d fronts", status.Feeds)
		row("fronts", "%d; lost: %s; away: %s; in trouble: %s", status.Fronts, list(status.Lost), list(status.NotServing), list(status.Unhealthy))
		row("voters", "%s", list(status.Voters))
		if len(status.OutdatedFronts) > 0 {
			row("version", "%d, until these run a newer build: %s", status.Version, list(status.OutdatedFronts))
		}
		switch {
		case status.TolerableLosses < 0:
			row("can bear", "no majority of the voters is heard: no permits until one is back")
		case status.TolerableLosses == 0:
			row("can bear", "no further loss of a voter")
		default:
			row("can bear", "%d further losses of voters", status.TolerableLosses)
		}
		row("acts on", "version %d", status.ActiveVersion)
		if !status.MayAct {
			row("may not act", "its lease is over, or its version is too old: requests are refused")
		}
		if status.AloneS > 0 {
			row("lease", "%.1f s of %.0f s left", status.LeaseS, status.AloneS)
		}
		row("out for work", "%s", list(status.Out))
		if status.Hold != "" {
			row("held", "%s", status.Hold)
		}
		if status.WaitsFor != "" {
			row("waits", "%s", status.WaitsFor)
		}
	})
}

// rulesCommand prints the rules, after changing those that are given as KEY=NUMBER.
func (client *fleetClient) rulesCommand() *cobra.Command {
	return &cobra.Command{Use: "rules [KEY=NUMBER...]", Short: "Show the rules of maintenance work, or change some of them", RunE: func(_ *cobra.Command, args []string) error {
		change := map[string]json.Number{}
		for _, a := range args {
			key, number, ok := strings.Cut(a, "=")
			if _, err := strconv.ParseFloat(number, 64); !ok || err != nil {
				return usageError{fmt.Errorf("%q is not KEY=NUMBER", a)}
			}
			change[key] = json.Number(number)
		}
		call := "RULES"
		if len(change) > 0 {
			text, err := json.Marshal(change)
			if err != nil {
				return usageError{err}
			}
			call += " " + string(text)
		}
		var rules map[string]float64
		return client.callAndPrint(call, &rules, func(w io.Writer) {
			for _, key := range slices.Sorted(maps.Keys(rules)) {
				_, _ = fmt.Fprintf(w, "%s\t%g\n", key, rules[key])
			}
		})
	}}
}

func (client *fleetClient) members([]string) error {
	var list []fleet.Member
	return client.callAndPrint("MEMBERS", &list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "FRONT\tZONE\tMACHINE\tADDRESS\tSEAT\tSTATE\tFOR\tBUILD\tINCARNATION")
		for _, m := range list {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f s\t%s\t%s\n", m.Name, m.Zone, m.Machine, m.Address, m.Seat, m.State, m.StateS, m.Build,
				m.Incarnation)
		}
	})
}

func (client *fleetClient) workCommand() *cobra.Command {
	root := &cobra.Command{Use: "work", Args: cobra.NoArgs, RunE: showHelp, Short: "Take machines out for maintenance work, in an order that the fronts agree on"}
	withID := func(use, short, call string) *cobra.Command {
		return &cobra.Command{Use: use + " ID [REASON...]", Short: short, Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return usageError{fmt.Errorf("%q is not the number of a work", args[0])}
			}
			return client.callAndPrint("WORK "+call+" "+strings.Join(args, " "), nil, func(w io.Writer) { _, _ = fmt.Fprintln(w, "ok") })
		}}
	}
	withReason := func(use, short, call string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, RunE: func(_ *cobra.Command, args []string) error {
			return client.callAndPrint(strings.TrimSpace("WORK "+call+" "+strings.Join(args, " ")), nil, func(w io.Writer) { _, _ = fmt.Fprintln(w, "ok") })
		}}
	}
	listing := func(use, short, call string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return client.printOperations(call) }}
	}
	root.AddCommand(client.workAskCommand(), listing("list", "List works in progress, waiting and recently ended", "LIST"),
		listing("plan", "Show the planned order, and what each work waits for", "PLAN"),
		&cobra.Command{Use: "why MACHINE", Short: "Explain the state of a machine's work in one sentence", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				var x map[string]string
				return client.callAndPrint("WORK WHY "+args[0], &x, func(w io.Writer) { _, _ = fmt.Fprintln(w, x["why"]) })
			}},
		withID("cancel", "Cancel a work; a machine that is out returns to service", "CANCEL"),
		withID("done", "Mark a work as done: the machine returns to service", "DONE"),
		withID("lost", "Declare a machine lost that will not return from its work", "LOST"),
		withReason("hold [REASON...]", "Issue no permits until resume", "HOLD"), withReason("resume", "Issue permits again", "RESUME"))
	return root
}

func (client *fleetClient) printOperations(call string) error {
	var list []fleet.Operation
	return client.callAndPrint("WORK "+call, &list, func(w io.Writer) {
		if len(list) == 0 {
			_, _ = fmt.Fprintln(w, "no work")
			return
		}
		_, _ = fmt.Fprintln(w, "WORK\tMACHINE\tKIND\tPHASE\tPLACE\tPERMIT\tFOR\tWAITS FOR\tREASON")
		for _, operation := range list {
			position, permit, waitsFor := "", "", operation.WaitsFor
			if operation.Position > 0 {
				position = strconv.Itoa(operation.Position)
			}
			if operation.Permit > 0 {
				permit = strconv.FormatUint(operation.Permit, 10)
			}
			if waitsFor == "" {
				waitsFor = operation.Note
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%.0f s\t%s\t%s\n", operation.ID, operation.Machine, operation.Kind, operation.Phase, position, permit, operation.PhaseS, waitsFor, operation.Reason)
		}
	})
}

func (client *fleetClient) workAskCommand() *cobra.Command {
	var request fleet.OperationRequest
	var span, latest, within time.Duration
	var wait bool
	var until string
	cmd := &cobra.Command{Use: "ask MACHINE", Short: "Request that a machine be taken out for work", Args: cobra.ExactArgs(1),
		Long: "Request that a machine be taken out for work: a front by its name, or a cache box that all fronts stop using.\n" +
			"With --wait the command returns once the machine is out and the work may begin.",
		RunE: func(_ *cobra.Command, args []string) error {
			request.Machine, request.SpanS, request.LatestS = args[0], span.Seconds(), latest.Seconds()
			switch until {
			case "done":
			case "restart":
				request.EndsOnRestart = true
			default:
				return usageError{fmt.Errorf("--until: %q is not done or restart", until)}
			}
			text, err := json.Marshal(request)
			if err != nil {
				return err
			}
			var reply map[string]uint64
			if err := client.callAndPrint("WORK ASK "+string(text), &reply, func(w io.Writer) { _, _ = fmt.Fprintf(w, "work %d\n", reply["work"]) }); err != nil || !wait {
				return err
			}
			return client.waitForWork(reply["work"], within)
		}}
	flags := cmd.Flags()
	flags.DurationVar(&span, "span", 10*time.Minute, "how long the work takes once the machine is out")
	flags.DurationVar(&latest, "latest", 0, "how long from now the permit may be issued at the latest; default: no limit")
	flags.StringVar(&until, "until", "done", "what ends the work: the command done, or a restart of the machine's process")
	flags.BoolVar(&request.Box, "box", false, "the machine is a cache box that all fronts stop using")
	flags.StringVar(&request.Zone, "zone", "", "zone of the box")
	flags.StringVar(&request.Reason, "why", "", "the reason, for others to read")
	flags.IntVar(&request.Importance, "importance", 0, "higher goes first; time spent waiting counts too")
	flags.StringSliceVar(&request.ConflictsWith, "apart", nil, "machines that must not be out at the same time")
	flags.BoolVar(&request.SingleZone, "zone-wise", false, "only while nothing of another zone is out")
	flags.BoolVar(&request.Urgent, "urgent", false, "goes before all that are not urgent, even while the fleet is unhealthy")
	flags.StringVar(&request.RequestedBy, "by", os.Getenv("USER"), "who requests it")
	flags.BoolVar(&wait, "wait", false, "wait until the machine is out, and print what it waits for")
	flags.DurationVar(&within, "within", time.Hour, "how long to wait")
	return cmd
}

// waitForWork polls a work until its machine is out and prints each change of what it
// waits for. It returns exitIncomplete if the work ended otherwise.
func (client *fleetClient) waitForWork(id uint64, within time.Duration) error {
	lastLine := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		var list []fleet.Operation
		if _, err := client.call("WORK LIST", &list); err != nil {
			if lastLine != err.Error() { // not final: the front may answer later
				lastLine = err.Error()
				_, _ = fmt.Fprintln(os.Stderr, lastLine)
			}
			continue
		}
		for _, operation := range list {
			if operation.ID != id {
				continue
			}
			line := operation.Phase
			if operation.WaitsFor != "" {
				line += ": " + operation.WaitsFor
			} else if operation.Note != "" {
				line += ": " + operation.Note
			}
			if line != lastLine {
				lastLine = line
				_, _ = fmt.Fprintln(os.Stderr, line)
			}
			switch operation.Phase {
			case "out":
				return nil
			case "done", "cancelled", "refused", "lost":
				return exitIncomplete
			}
		}
	}
	return fmt.Errorf("work %d is not out after %v", id, within)
}
