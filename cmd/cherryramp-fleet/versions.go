package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/audit"
	"cherryramp/internal/fleet"
)

const maxStageBytes = 2400 // bytes of a file in one STAGE call, before base64

func (client *fleetClient) versionsCommand() *cobra.Command {
	root := &cobra.Command{Use: "versions", Args: cobra.NoArgs, RunE: showHelp, Short: "Versions of the configuration, rolled out to the fronts in steps"}
	root.AddCommand(client.proposeCommand(),
		&cobra.Command{Use: "list", Short: "List versions: in rollout, in force and earlier ones", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return client.printVersions() }},
		&cobra.Command{Use: "lag", Short: "Show which front acts on which version, and why one lags", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return client.printLags() }},
		&cobra.Command{Use: "why N", Short: "Explain what a version waits for, or how it ended, in one sentence", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var x map[string]string
			return client.callAndPrint("VERSIONS WHY "+args[0], &x, func(w io.Writer) { _, _ = fmt.Fprintln(w, x["why"]) })
		}},
		&cobra.Command{Use: "stop [REASON...]", Short: "Stop the version in rollout and roll back to the last good one", RunE: func(_ *cobra.Command, args []string) error {
			return client.callAndPrint(strings.TrimSpace("VERSIONS STOP "+strings.Join(args, " ")), nil, func(w io.Writer) { _, _ = fmt.Fprintln(w, "ok") })
		}})
	return root
}

func (client *fleetClient) proposeCommand() *cobra.Command {
	var proposal fleet.Proposal
	var gate, watch, within time.Duration
	var base int64
	var wait bool
	cmd := &cobra.Command{Use: "propose FILE", Short: "Propose a version for all fronts to act on", Args: cobra.ExactArgs(1),
		Long: "Propose a version for all fronts to act on. The file is JSON: settings, clients and signed are merged over what each front\n" +
			"has in its own files (objects key by key, null removes a key), drain lists servers that get no new requests, and purge\n" +
			"objects and groups. Every front validates all of it; then some fronts activate it and are watched, and it goes on or is rolled back.",
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return usageError{err}
			}
			if _, err := config.ParseVersion(data); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			proposal.GateS, proposal.WatchS = gate.Seconds(), watch.Seconds()
			proposal.Upload = fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())
			if base >= 0 {
				n := uint64(base)
				proposal.Base = &n
			}
			for len(data) > 0 {
				n := min(len(data), maxStageBytes)
				if _, err := client.call("VERSIONS STAGE "+proposal.Upload+" "+base64.StdEncoding.EncodeToString(data[:n]), nil); err != nil {
					return err
				}
				data = data[n:]
			}
			text, err := json.Marshal(proposal)
			if err != nil {
				return err
			}
			var reply map[string]uint64
			if err := client.callAndPrint("VERSIONS PROPOSE "+string(text), &reply, func(w io.Writer) { _, _ = fmt.Fprintf(w, "version %d\n", reply["version"]) }); err != nil || !wait {
				return err
			}
			return client.waitForVersion(reply["version"], within)
		}}
	flags := cmd.Flags()
	flags.StringVar(&proposal.Reason, "why", "", "the reason, for others to read")
	flags.StringVar(&proposal.ProposedBy, "by", os.Getenv("USER"), "who proposes it")
	flags.BoolVar(&proposal.Urgent, "urgent", false, "to all fronts at once, unwatched: for a revocation or a purge")
	flags.DurationVar(&gate, "bar", 0, "how long after it stands no front may act on older ones; needs leases (rules alone_s)")
	flags.DurationVar(&watch, "watch", 10*time.Second, "how long each step is watched")
	flags.IntSliceVar(&proposal.Steps, "steps", []int{0, 10, 100}, "percent of the fronts that activate it in each step; 0: one front per zone")
	flags.Int64Var(&base, "base", -1, "the version that it is based on; default: the one in force")
	flags.BoolVar(&wait, "wait", false, "wait until it stands and its bar has passed, and print what it waits for")
	flags.DurationVar(&within, "within", time.Hour, "how long to wait")
	return cmd
}

// waitForVersion polls a version until it stands with its gate passed, or was replaced, and prints
// what it waits for. It returns exitIncomplete if the version was turned down or rolled back.
func (client *fleetClient) waitForVersion(n uint64, within time.Duration) error {
	lastLine := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		var list []fleet.Version
		_, err := client.call("VERSIONS LIST", &list)
		line := ""
		if err != nil {
			line = err.Error()
		}
		for _, version := range list {
			if version.N != n {
				continue
			}
			line = version.WaitsFor
			switch {
			case version.Phase == "standing" && (version.GateS == 0 || version.GatePassed), version.Phase == "replaced":
				_, _ = fmt.Fprintln(os.Stderr, line)
				return nil
			case version.Phase == "turned down" || version.Phase == "rolled back":
				_, _ = fmt.Fprintln(os.Stderr, line)
				return exitIncomplete
			}
		}
		if line != lastLine {
			lastLine = line
			_, _ = fmt.Fprintln(os.Stderr, line)
		}
	}
	return fmt.Errorf("version %d does not stand after %v", n, within)
}

func (client *fleetClient) printVersions() error {
	var list []fleet.Version
	return client.callAndPrint("VERSIONS LIST", &list, func(w io.Writer) {
		if len(list) == 0 {
			_, _ = fmt.Fprintln(w, "no version: each front acts on files of its own")
			return
		}
		_, _ = fmt.Fprintln(w, "VERSION\tPHASE\tACT ON IT\tBAR\tFOR\tBY\tREASON\tNOTE")
		for _, version := range list {
			gate := ""
			if version.GateS > 0 {
				gate = fmt.Sprintf("%.0f s", version.GateS)
				if version.GatePassed {
					gate += ", passed"
				}
			}
			note := version.Note
			if len(version.Exempt) > 0 {
				note += " older ones go on at: " + strings.Join(version.Exempt, ", ")
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%d of %d\t%s\t%.0f s\t%s\t%s\t%s\n", version.N, version.Phase, version.ActiveFronts, version.Fronts, gate, version.PhaseS, version.ProposedBy, version.Reason, note)
		}
	})
}

func (client *fleetClient) printLags() error {
	var list []fleet.FrontLag
	return client.callAndPrint("VERSIONS LAG", &list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "FRONT\tZONE\tACTS ON\tWANTED\tBEHIND\tSTATE\tBUILD\tCAUSE")
		for _, lag := range list {
			state := "in"
			switch {
			case lag.Fenced:
				state = "shut out"
			case lag.Warming:
				state = "warming"
			case lag.Cause != "":
				state = "lags"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", lag.Front, lag.Zone, lag.ActiveVersion, lag.Target, lag.Behind, state, lag.Build, lag.Cause)
		}
	})
}

func (client *fleetClient) auditCommand() *cobra.Command {
	root := &cobra.Command{Use: "audit", Args: cobra.NoArgs, RunE: showHelp, Short: "Show which front acted on which version, and which requests were decided under it",
		Long: "Show which front acted on which version, from the audit logs of all reachable fronts. Each answer tells what is proven\n" +
			"(the fleet's log has the head of the chain), what is only said, and what is missing. Exit code 4: something is missing or broken."}
	query := func(use, short string, args cobra.PositionalArgs, build func(args []string) (map[string]any, error)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error {
			question, err := build(args)
			if err != nil {
				return usageError{err}
			}
			text, err := json.Marshal(question)
			if err != nil {
				return err
			}
			return client.printAudit(string(text))
		}}
	}
	root.AddCommand(
		query("front NAME", "Show all versions that a front acted on", cobra.ExactArgs(1), func(args []string) (map[string]any, error) {
			return map[string]any{"front": true, "name": args[0]}, nil
		}),
		query("version N", "Show which fronts acted on a version, when, and what was decided under it", cobra.ExactArgs(1), func(args []string) (map[string]any, error) {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				err = fmt.Errorf("%q is not a version number", args[0])
			}
			return map[string]any{"by_version": true, "version": n}, err
		}),
		query("request ID", "Show which front decided a request, under which version", cobra.ExactArgs(1), func(args []string) (map[string]any, error) {
			return map[string]any{"request": args[0]}, nil
		}),
		query("at TIME", "Show what each front acted on at a fleet time (see status): in seconds, or how long ago, such as 90s", cobra.ExactArgs(1), func(args []string) (map[string]any, error) {
			at, err := strconv.ParseFloat(args[0], 64)
			if err != nil {
				ago, err := time.ParseDuration(args[0])
				if err != nil {
					return nil, fmt.Errorf("%q is neither seconds of fleet time nor a duration", args[0])
				}
				var s fleet.Status
				if _, err := client.call("STATUS", &s); err != nil {
					return nil, err
				}
				at = max(0, s.FleetTime-ago.Seconds())
			}
			return map[string]any{"at": true, "fleet_us": int64(at * 1e6)}, nil
		}),
		query("holes", "Show what is missing from the audit logs", cobra.NoArgs, func([]string) (map[string]any, error) { return map[string]any{"holes": true}, nil }),
		query("verify", "Check that the chains are intact and match the heads in the fleet's log", cobra.NoArgs, func([]string) (map[string]any, error) {
			return map[string]any{"verify": true}, nil
		}))
	return root
}

// printAudit makes an AUDIT query and prints each front's answer with its proof. It returns
// exitIncomplete if an answer is broken or a front was not reached.
func (client *fleetClient) printAudit(query string) error {
	var report fleet.AuditReport
	err := client.callAndPrint("AUDIT "+query, &report, func(w io.Writer) {
		for _, a := range report.Answers {
			_, _ = fmt.Fprintf(w, "%s\t%d records\t%s\n", a.Front, a.Records, formatProof(&a))
			for _, s := range a.Spans {
				before := "can't tell"
				if s.BeforeEntry > 0 {
					before = fmt.Sprintf("before entry %d", s.BeforeEntry)
				}
				_, _ = fmt.Fprintf(w, "  version %d\trecords %d to %d\tafter entry %d, %s\t%s to %s by its own clock\t%s\n", s.Version, s.From, s.To, s.AfterEntry, before,
					formatClock(s.Began), formatClock(s.Ended), formatCounts(s))
			}
			for _, e := range a.Events {
				_, _ = fmt.Fprintf(w, "  record %d\t%s\tafter entry %d\t%s\tversion %d %s\n", e.Seq, e.Kind, e.Entry, formatClock(e.At), e.Version, e.Text)
			}
			for _, g := range a.Gaps {
				_, _ = fmt.Fprintf(w, "  hole\trecords %d to %d\t%s\n", g.From, g.To, g.Why)
			}
		}
		for _, l := range report.Lost {
			_, _ = fmt.Fprintf(w, "%s\thole\tthe audit of incarnation %s is gone with its disk: %d records that the log knew of, and what came after them, before fleet time %.0f s\n",
				l.Front, l.Incarnation, l.Records, l.FoundAtS)
		}
		for _, m := range report.Missing {
			_, _ = fmt.Fprintf(w, "%s\tnot reached\twhat it did is missing here\n", m)
		}
		if len(report.Answers) == 0 && len(report.Missing) == 0 {
			_, _ = fmt.Fprintln(w, "no front that was reached knows of it")
		}
	})
	if err != nil {
		return err
	}
	for _, a := range report.Answers {
		if a.Broken != "" || a.Error != "" {
			return exitIncomplete
		}
	}
	if len(report.Missing) > 0 {
		return exitIncomplete
	}
	return nil
}

func formatProof(answer *audit.Answer) string {
	var parts []string
	for _, part := range []struct{ what, text string }{{"proven", answer.Proven}, {"only said", answer.Unproven}, {"BROKEN", answer.Broken}, {"error", answer.Error}} {
		if part.text != "" {
			parts = append(parts, part.what+": "+part.text)
		}
	}
	return strings.Join(parts, "; ")
}

func formatClock(micros int64) string { return time.UnixMicro(micros).UTC().Format("15:04:05.000") }

func formatCounts(span audit.Span) string {
	var parts []string
	for _, count := range span.Counts {
		parts = append(parts, fmt.Sprintf("%s: %d served, %d refused, %d failed", count.Class, count.Served, count.Refused, count.Failed))
	}
	if span.First != "" {
		parts = append(parts, fmt.Sprintf("ids %s to %s", span.First, span.Last))
	}
	return strings.Join(parts, "; ")
}
