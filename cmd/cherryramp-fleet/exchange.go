package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/exchange"
	"cherryramp/internal/fleet"
)

func (client *fleetClient) treeCommand() *cobra.Command {
	return &cobra.Command{Use: "tree", Short: "Show the sites, their owners, and where this front is attached", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var tree exchange.TreeStatus
		return client.callAndPrint("TREE", &tree, func(w io.Writer) {
			_, _ = fmt.Fprintln(w, "SITE\tKEEPER\tNUMBER")
			for _, s := range tree.Sites {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\n", s.Site, s.Owner, s.Number)
			}
			_, _ = fmt.Fprintln(w, "\nROLE\tATTACHED TO\tOF SITE\tPASSED OVER\tBELOW")
			for _, r := range tree.Roles {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Role, r.AttachedTo, r.OwnerSite, strings.Join(r.PassedOver, ", "), strings.Join(r.Children, "; "))
			}
			state := "serves"
			if !tree.CaughtUp {
				state = "waits for purges that it missed"
			}
			_, _ = fmt.Fprintf(w, "\n%s %s; %d messages sent (%d bytes), %d received, %d dropped; tasks started anew: %d\n", tree.Front, state, tree.Sent, tree.Bytes, tree.Received, tree.Dropped, tree.Restarts)
		})
	}}
}

func (client *fleetClient) limitsCommand() *cobra.Command {
	return &cobra.Command{Use: "limits", Short: "Show the fleet-wide limits: bounds, this front's shares, and what its sites allocate", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var limits exchange.LimitsStatus
		return client.callAndPrint("LIMITS", &limits, func(w io.Writer) {
			for _, b := range limits.Bounds {
				_, _ = fmt.Fprintln(w, b)
			}
			_, _ = fmt.Fprintf(w, "\n%s, attached to %s\nLIMIT\tOF\tPART\tTAKEN\tREFUSED\tFROM\n", limits.Front, limits.AttachedTo)
			for _, s := range limits.Own {
				var sources []string
				for _, allocation := range s.Allocations {
					sources = append(sources, fmt.Sprintf("/%s#%d part %d: %.4g", allocation.From.Site, allocation.From.Owner, allocation.Number, allocation.Amount))
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%d\t%d\t%s\n", s.Key.Limit, s.Key.Who, s.Amount, s.Taken, s.Refused, strings.Join(sources, "; "))
			}
			if len(limits.Sites) > 0 {
				_, _ = fmt.Fprintln(w, "\nSITE\tLIMIT\tOF\tHAS\tOUT\tDEMAND\tROLES\tSILENT\tWAITS")
			}
			for _, site := range slices.Sorted(maps.Keys(limits.Sites)) {
				for _, l := range limits.Sites[site] {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%d\t%d\t%.1f s\n", site, l.Key.Limit, l.Key.Who, l.Available, l.Outstanding, l.Demand, l.Roles, l.Silent, l.WaitSeconds)
				}
			}
		})
	}}
}

func (client *fleetClient) purgeCommand() *cobra.Command {
	root := &cobra.Command{Use: "purge", Args: cobra.NoArgs, RunE: showHelp, Short: "Purge copies across the whole fleet, and track purges until all fronts have acknowledged them"}
	root.AddCommand(client.purgeAskCommand(),
		&cobra.Command{Use: "list", Short: "List the stored purges, newest first", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			var list []invalidation.PurgeStatus
			return client.callAndPrint("PURGE LIST", &list, func(w io.Writer) {
				if len(list) == 0 {
					_, _ = fmt.Fprintln(w, "no purge")
					return
				}
				_, _ = fmt.Fprintln(w, "PURGE\tOF\tAGE\tKEPT HERE\tCOMPLETE\tASKED AS\tREASON")
				for _, p := range list {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f s\t%t\t%t\t%s\t%s\n", p.ID, p.Scope, p.AgeS, p.Stored, p.Complete, p.RequestKey, p.Reason)
				}
			})
		}},
		&cobra.Command{Use: "why ID", Short: "Show whether a purge is complete, and which fronts delay it", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var p exchange.PurgeProgress
			return client.callAndPrint("PURGE WHY "+args[0], &p, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "purge %s of %s: %s\n", p.ID, p.Scope, p.Detail)
				for _, l := range p.Laggards {
					_, _ = fmt.Fprintf(w, "  %s: %s\n", l.Front, l.Reason)
				}
			})
		}})
	return root
}

func (client *fleetClient) purgeAskCommand() *cobra.Command {
	var request fleet.PurgeRequest
	var wait bool
	var within time.Duration
	cmd := &cobra.Command{Use: "ask KIND [NAME]", Short: "Purge an object, group, prefix, tag, or everything", Args: cobra.RangeArgs(1, 2),
		Long: "Purge an object, a group, a prefix of object names, a tag of copies, or everything.\n\n" +
			"--as is an idempotency key: a request with the same key is the same purge, so it can be repeated if no reply came.\n" +
			"With --wait the command returns once every front of the fleet has stored and applied it; exit code 4 if not within --within.",
		RunE: func(_ *cobra.Command, args []string) error {
			if request.Kind = args[0]; len(args) > 1 {
				request.Name = args[1]
			}
			if _, err := invalidation.ParseScope(request.Kind, request.Name); err != nil {
				return usageError{err}
			}
			if request.Asked == "" {
				var b [8]byte
				if _, err := rand.Read(b[:]); err != nil {
					return err
				}
				request.Asked = hex.EncodeToString(b[:])
			}
			text, err := json.Marshal(request)
			if err != nil {
				return err
			}
			var reply map[string]string
			if err := client.callAndPrint("PURGE ASK "+string(text), &reply, func(w io.Writer) { _, _ = fmt.Fprintf(w, "purge %s, asked as %s\n", reply["id"], reply["asked"]) }); err != nil || !wait {
				return err
			}
			return client.waitForPurge(reply["id"], within)
		}}
	flags := cmd.Flags()
	flags.StringVar(&request.Asked, "as", "", "idempotency key; default: random")
	flags.StringVar(&request.Reason, "why", "", "the reason, for others to read")
	flags.BoolVar(&wait, "wait", false, "wait until it is complete, and print which fronts delay it")
	flags.DurationVar(&within, "within", time.Minute, "how long to wait")
	return cmd
}

// waitForPurge polls a purge until it is complete and prints each change of what delays it.
// It returns exitIncomplete if the time runs out.
func (client *fleetClient) waitForPurge(id string, within time.Duration) error {
	lastLine := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval / 2) {
		var progress exchange.PurgeProgress
		line := ""
		if _, err := client.call("PURGE WHY "+id, &progress); err != nil {
			line = err.Error()
		} else if progress.Complete {
			return nil
		} else {
			line = progress.Detail
			for _, l := range progress.Laggards {
				line += fmt.Sprintf("; %s: %s", l.Front, l.Reason)
			}
		}
		if line != lastLine {
			lastLine = line
			_, _ = fmt.Fprintln(os.Stderr, line)
		}
	}
	_, _ = fmt.Fprintf(os.Stderr, "purge %s is not complete after %v\n", id, within)
	return exitIncomplete
}

func (client *fleetClient) verdictsCommand() *cobra.Command {
	return &cobra.Command{Use: "verdicts", Short: "Show the fleet-wide verdicts on boxes, hubs and prefixes, with witnesses and time left", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var verdicts exchange.VerdictsStatus
		return client.callAndPrint("VERDICTS", &verdicts, func(w io.Writer) {
			line := func(v exchange.VerdictStatus) {
				var witnesses []string
				for _, witness := range v.Witnesses {
					witnesses = append(witnesses, fmt.Sprintf("%s (/%s, %.0f)", witness.Front, witness.Site, witness.Evidence))
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f s\t%s\n", v.Subject, v.State, v.Count, v.Sites, v.RemainingS, strings.Join(witnesses, ", "))
			}
			_, _ = fmt.Fprintln(w, "HOLDS\tSTATE\tWITNESSES\tSITES\tLEFT\tSOME OF THEM")
			for _, v := range verdicts.Active {
				line(v)
			}
			_, _ = fmt.Fprintf(w, "\nOPINIONS OF %s\tSTATE\t\t\t\tEVIDENCE\n", verdicts.Front)
			for _, v := range verdicts.Own {
				line(v)
			}
		})
	}}
}

func (client *fleetClient) steerCommand() *cobra.Command {
	return &cobra.Command{Use: "steer REGION", Short: "Show the order and shares in which a region's clients should use the edges", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		var order exchange.RegionOrder
		return client.callAndPrint("STEER "+args[0], &order, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s: by %s; holds for %.1f s more, stale by %.1f s at most\nEDGE\tSHARE\tTAKES\tREQUESTS\tROOM\n", order.Region, order.Source, order.RemainingS, order.MaxAgeS)
			for _, e := range order.Edges {
				_, _ = fmt.Fprintf(w, "%s\t%.0f%%\t%.1f ms\t%.0f\t%.0f%%\n", e.Edge, 100*e.Share, e.Median/1000, e.Weight, 100*e.Capacity)
			}
		})
	}}
}
