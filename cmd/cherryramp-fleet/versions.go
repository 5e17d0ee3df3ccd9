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

const stageBytes = 2400 // of a file in one call, before base64

func (c *fleetCalls) versionsCommand() *cobra.Command {
	root := &cobra.Command{Use: "versions", Args: cobra.NoArgs, RunE: help, Short: "What the fronts act on: versions that reach them part by part"}
	root.AddCommand(c.proposeCommand(),
		&cobra.Command{Use: "list", Short: "Versions on their way, in force and before", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return c.versionList() }},
		&cobra.Command{Use: "lag", Short: "Which front acts on which version, and why one lags", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return c.lag() }},
		&cobra.Command{Use: "why N", Short: "What a version waits for, or what became of it, in a sentence", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var x map[string]string
			return c.show("VERSIONS WHY "+args[0], &x, func(w io.Writer) { _, _ = fmt.Fprintln(w, x["why"]) })
		}},
		&cobra.Command{Use: "stop [REASON...]", Short: "Have the version on its way go back to the last good one", RunE: func(_ *cobra.Command, args []string) error {
			return c.show(strings.TrimSpace("VERSIONS STOP "+strings.Join(args, " ")), nil, func(w io.Writer) { _, _ = fmt.Fprintln(w, "ok") })
		}})
	return root
}

func (c *fleetCalls) proposeCommand() *cobra.Command {
	var p fleet.Proposal
	var bar, watch, within time.Duration
	var base int64
	var wait bool
	cmd := &cobra.Command{Use: "propose FILE", Short: "Propose what all fronts are to act on", Args: cobra.ExactArgs(1),
		Long: "Propose what all fronts are to act on. The file is JSON: settings, clients and signed are laid over what each front has in\n" +
			"files of its own (objects key by key, null takes a key away), drain names servers that nothing new goes to, and purge\n" +
			"objects and groups. Every front checks it whole; then a part takes it up first, is watched, and it goes on or back.",
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return badCall{err}
			}
			if _, err := config.ParseVersion(data); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			p.GateS, p.WatchS = bar.Seconds(), watch.Seconds()
			p.Upload = fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())
			if base >= 0 {
				n := uint64(base)
				p.Base = &n
			}
			for len(data) > 0 {
				n := min(len(data), stageBytes)
				if _, err := c.call("VERSIONS STAGE "+p.Upload+" "+base64.StdEncoding.EncodeToString(data[:n]), nil); err != nil {
					return err
				}
				data = data[n:]
			}
			text, err := json.Marshal(p)
			if err != nil {
				return err
			}
			var word map[string]uint64
			if err := c.show("VERSIONS PROPOSE "+string(text), &word, func(w io.Writer) { _, _ = fmt.Fprintf(w, "version %d\n", word["version"]) }); err != nil || !wait {
				return err
			}
			return c.follow(word["version"], within)
		}}
	f := cmd.Flags()
	f.StringVar(&p.Reason, "why", "", "the reason, for others to read")
	f.StringVar(&p.ProposedBy, "by", os.Getenv("USER"), "who proposes")
	f.BoolVar(&p.Urgent, "urgent", false, "to all at once, unwatched: a revocation, a purge")
	f.DurationVar(&bar, "bar", 0, "after it stands for so long nobody may act on older ones; needs leases (rules alone_s)")
	f.DurationVar(&watch, "watch", 10*time.Second, "for which each step is watched")
	f.IntSliceVar(&p.Steps, "steps", []int{0, 10, 100}, "percent of the fronts that take it up, one step after the other; 0: one a zone")
	f.Int64Var(&base, "base", -1, "the version that it was made on; what stands by default")
	f.BoolVar(&wait, "wait", false, "wait until it stands and its bar has passed, and tell what is waited for")
	f.DurationVar(&within, "within", time.Hour, "how long to wait")
	return cmd
}

// follow tells what a version waits for, until it stands with its bar passed, or has ended.
func (c *fleetCalls) follow(n uint64, within time.Duration) error {
	told := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(askAgain) {
		var list []fleet.Version
		_, err := c.call("VERSIONS LIST", &list)
		line := ""
		if err != nil {
			line = err.Error()
		}
		for _, v := range list {
			if v.N != n {
				continue
			}
			line = v.WaitsFor
			switch {
			case v.Phase == "standing" && (v.GateS == 0 || v.GatePassed), v.Phase == "replaced":
				_, _ = fmt.Fprintln(os.Stderr, line)
				return nil
			case v.Phase == "turned down" || v.Phase == "rolled back":
				_, _ = fmt.Fprintln(os.Stderr, line)
				return ended
			}
		}
		if line != told {
			told = line
			_, _ = fmt.Fprintln(os.Stderr, line)
		}
	}
	return fmt.Errorf("version %d does not stand after %v", n, within)
}

func (c *fleetCalls) versionList() error {
	var list []fleet.Version
	return c.show("VERSIONS LIST", &list, func(w io.Writer) {
		if len(list) == 0 {
			_, _ = fmt.Fprintln(w, "no version: each front acts on files of its own")
			return
		}
		_, _ = fmt.Fprintln(w, "VERSION\tPHASE\tACT ON IT\tBAR\tFOR\tBY\tREASON\tNOTE")
		for _, v := range list {
			bar := ""
			if v.GateS > 0 {
				bar = fmt.Sprintf("%.0f s", v.GateS)
				if v.GatePassed {
					bar += ", passed"
				}
			}
			note := v.Note
			if len(v.Exempt) > 0 {
				note += " older ones go on at: " + strings.Join(v.Exempt, ", ")
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%d of %d\t%s\t%.0f s\t%s\t%s\t%s\n", v.N, v.Phase, v.ActiveFronts, v.Fronts, bar, v.PhaseS, v.ProposedBy, v.Reason, note)
		}
	})
}

func (c *fleetCalls) lag() error {
	var list []fleet.FrontLag
	return c.show("VERSIONS LAG", &list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "FRONT\tZONE\tACTS ON\tWANTED\tBEHIND\tSTATE\tBUILD\tCAUSE")
		for _, l := range list {
			state := "in"
			switch {
			case l.Fenced:
				state = "shut out"
			case l.Warming:
				state = "warming"
			case l.Cause != "":
				state = "lags"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", l.Front, l.Zone, l.ActiveVersion, l.Target, l.Behind, state, l.Build, l.Cause)
		}
	})
}

func (c *fleetCalls) auditCommand() *cobra.Command {
	root := &cobra.Command{Use: "audit", Args: cobra.NoArgs, RunE: help, Short: "Which front acted on which version, and which requests were decided under it",
		Long: "Which front acted on which version, put together from the audits of all fronts that are reached. Each answer tells what is\n" +
			"proven (the fleet's log has the chain's head), what is only said, and what is missing. Exit code 4: something is missing or broken."}
	ask := func(use, short string, args cobra.PositionalArgs, make func(args []string) (map[string]any, error)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error {
			q, err := make(args)
			if err != nil {
				return badCall{err}
			}
			text, err := json.Marshal(q)
			if err != nil {
				return err
			}
			return c.audit(string(text))
		}}
	}
	root.AddCommand(
		ask("front NAME", "All that a front acted on", cobra.ExactArgs(1), func(a []string) (map[string]any, error) {
			return map[string]any{"front": true, "name": a[0]}, nil
		}),
		ask("version N", "Who acted on a version, when, and what was decided under it", cobra.ExactArgs(1), func(a []string) (map[string]any, error) {
			n, err := strconv.ParseUint(a[0], 10, 64)
			if err != nil {
				err = fmt.Errorf("%q is no version's number", a[0])
			}
			return map[string]any{"by_version": true, "version": n}, err
		}),
		ask("request ID", "Which front decided a request, under which version", cobra.ExactArgs(1), func(a []string) (map[string]any, error) {
			return map[string]any{"request": a[0]}, nil
		}),
		ask("at TIME", "What each front acted on at a moment of fleet time (status tells it): seconds, or how long ago, as 90s", cobra.ExactArgs(1), func(a []string) (map[string]any, error) {
			at, err := strconv.ParseFloat(a[0], 64)
			if err != nil {
				ago, err := time.ParseDuration(a[0])
				if err != nil {
					return nil, fmt.Errorf("%q is neither seconds of fleet time nor a span", a[0])
				}
				var s fleet.Status
				if _, err := c.call("STATUS", &s); err != nil {
					return nil, err
				}
				at = max(0, s.FleetTime-ago.Seconds())
			}
			return map[string]any{"at": true, "fleet_us": int64(at * 1e6)}, nil
		}),
		ask("holes", "What no audit tells", cobra.NoArgs, func([]string) (map[string]any, error) { return map[string]any{"holes": true}, nil }),
		ask("verify", "Whether the chains are whole, and the ones that the fleet's log knows", cobra.NoArgs, func([]string) (map[string]any, error) {
			return map[string]any{"verify": true}, nil
		}))
	return root
}

// audit asks, and tells each front's answer with what it rests on.
func (c *fleetCalls) audit(question string) error {
	var r fleet.AuditReport
	err := c.show("AUDIT "+question, &r, func(w io.Writer) {
		for _, a := range r.Answers {
			_, _ = fmt.Fprintf(w, "%s\t%d records\t%s\n", a.Front, a.Records, proof(&a))
			for _, s := range a.Spans {
				before := "can't tell"
				if s.BeforeEntry > 0 {
					before = fmt.Sprintf("before entry %d", s.BeforeEntry)
				}
				_, _ = fmt.Fprintf(w, "  version %d\trecords %d to %d\tafter entry %d, %s\t%s to %s by its own clock\t%s\n", s.Version, s.From, s.To, s.AfterEntry, before,
					clock(s.Began), clock(s.Ended), counts(s))
			}
			for _, e := range a.Events {
				_, _ = fmt.Fprintf(w, "  record %d\t%s\tafter entry %d\t%s\tversion %d %s\n", e.Seq, e.Kind, e.Entry, clock(e.At), e.Version, e.Text)
			}
			for _, g := range a.Gaps {
				_, _ = fmt.Fprintf(w, "  hole\trecords %d to %d\t%s\n", g.From, g.To, g.Why)
			}
		}
		for _, l := range r.Lost {
			_, _ = fmt.Fprintf(w, "%s\thole\tthe audit of incarnation %s is gone with its disk: %d records that the log knew of, and what came after them, before fleet time %.0f s\n",
				l.Front, l.Incarnation, l.Records, l.FoundAtS)
		}
		for _, m := range r.Missing {
			_, _ = fmt.Fprintf(w, "%s\tnot reached\twhat it did is missing here\n", m)
		}
		if len(r.Answers) == 0 && len(r.Missing) == 0 {
			_, _ = fmt.Fprintln(w, "no front that was reached knows of it")
		}
	})
	if err != nil {
		return err
	}
	for _, a := range r.Answers {
		if a.Broken != "" || a.Error != "" {
			return ended
		}
	}
	if len(r.Missing) > 0 {
		return ended
	}
	return nil
}

func proof(a *audit.Answer) string {
	var list []string
	for _, x := range []struct{ what, text string }{{"proven", a.Proven}, {"only said", a.Unproven}, {"BROKEN", a.Broken}, {"error", a.Error}} {
		if x.text != "" {
			list = append(list, x.what+": "+x.text)
		}
	}
	return strings.Join(list, "; ")
}

func clock(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05.000") }

func counts(s audit.Span) string {
	var list []string
	for _, x := range s.Counts {
		list = append(list, fmt.Sprintf("%s: %d served, %d refused, %d failed", x.Class, x.Served, x.Refused, x.Failed))
	}
	if s.First != "" {
		list = append(list, fmt.Sprintf("ids %s to %s", s.First, s.Last))
	}
	return strings.Join(list, "; ")
}
