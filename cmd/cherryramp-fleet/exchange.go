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

func (c *fleetCalls) treeCommand() *cobra.Command {
	return &cobra.Command{Use: "tree", Short: "Sites, who keeps them, and where this front is attached", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var t exchange.TreeStatus
		return c.show("TREE", &t, func(w io.Writer) {
			_, _ = fmt.Fprintln(w, "SITE\tKEEPER\tNUMBER")
			for _, s := range t.Sites {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\n", s.Site, s.Owner, s.Number)
			}
			_, _ = fmt.Fprintln(w, "\nROLE\tATTACHED TO\tOF SITE\tPASSED OVER\tBELOW")
			for _, r := range t.Roles {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Role, r.AttachedTo, r.OwnerSite, strings.Join(r.PassedOver, ", "), strings.Join(r.Children, "; "))
			}
			open := "serves"
			if !t.CaughtUp {
				open = "waits for purges that it missed"
			}
			_, _ = fmt.Fprintf(w, "\n%s %s; %d messages sent (%d bytes), %d received, %d dropped; tasks started anew: %d\n", t.Front, open, t.Sent, t.Bytes, t.Received, t.Dropped, t.Restarts)
		})
	}}
}

func (c *fleetCalls) limitsCommand() *cobra.Command {
	return &cobra.Command{Use: "limits", Short: "Limits of the whole fleet: bounds, this front's parts, and what its sites deal out", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var t exchange.LimitsStatus
		return c.show("LIMITS", &t, func(w io.Writer) {
			for _, b := range t.Bounds {
				_, _ = fmt.Fprintln(w, b)
			}
			_, _ = fmt.Fprintf(w, "\n%s, attached to %s\nLIMIT\tOF\tPART\tTAKEN\tREFUSED\tFROM\n", t.Front, t.AttachedTo)
			for _, s := range t.Own {
				var from []string
				for _, p := range s.Allocations {
					from = append(from, fmt.Sprintf("/%s#%d part %d: %.4g", p.From.Site, p.From.Owner, p.Number, p.Amount))
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%d\t%d\t%s\n", s.Key.Limit, s.Key.Who, s.Amount, s.Taken, s.Refused, strings.Join(from, "; "))
			}
			if len(t.Sites) > 0 {
				_, _ = fmt.Fprintln(w, "\nSITE\tLIMIT\tOF\tHAS\tOUT\tDEMAND\tROLES\tSILENT\tWAITS")
			}
			for _, site := range slices.Sorted(maps.Keys(t.Sites)) {
				for _, l := range t.Sites[site] {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%d\t%d\t%.1f s\n", site, l.Key.Limit, l.Key.Who, l.Available, l.Outstanding, l.Demand, l.Roles, l.Silent, l.WaitSeconds)
				}
			}
		})
	}}
}

func (c *fleetCalls) purgeCommand() *cobra.Command {
	root := &cobra.Command{Use: "purge", Args: cobra.NoArgs, RunE: help, Short: "Purges that go through the whole fleet, tracked until acknowledged"}
	root.AddCommand(c.purgeAskCommand(),
		&cobra.Command{Use: "list", Short: "Purges held, the newest first", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			var list []invalidation.PurgeStatus
			return c.show("PURGE LIST", &list, func(w io.Writer) {
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
		&cobra.Command{Use: "why ID", Short: "Whether a purge is complete, and who holds it up", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var p exchange.PurgeProgress
			return c.show("PURGE WHY "+args[0], &p, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "purge %s of %s: %s\n", p.ID, p.Scope, p.Detail)
				for _, l := range p.Laggards {
					_, _ = fmt.Fprintf(w, "  %s: %s\n", l.Front, l.Reason)
				}
			})
		}})
	return root
}

func (c *fleetCalls) purgeAskCommand() *cobra.Command {
	var a fleet.PurgeRequest
	var wait bool
	var within time.Duration
	cmd := &cobra.Command{Use: "ask KIND [NAME]", Short: "Purge an object, group, prefix, tag, or all", Args: cobra.RangeArgs(1, 2),
		Long: "Purge an object, group, prefix of objects' names, tag of copies, or all.\n\n" +
			"--as names the asking: asked again under the same name it is the same purge, so it can be asked again where no word came.\n" +
			"With --wait the command ends once every front of the fleet keeps and obeys it; exit code 4 tells that it did not within --within.",
		RunE: func(_ *cobra.Command, args []string) error {
			if a.Kind = args[0]; len(args) > 1 {
				a.Name = args[1]
			}
			if _, err := invalidation.ParseScope(a.Kind, a.Name); err != nil {
				return badCall{err}
			}
			if a.Asked == "" {
				var b [8]byte
				if _, err := rand.Read(b[:]); err != nil {
					return err
				}
				a.Asked = hex.EncodeToString(b[:])
			}
			text, err := json.Marshal(a)
			if err != nil {
				return err
			}
			var word map[string]string
			if err := c.show("PURGE ASK "+string(text), &word, func(w io.Writer) { _, _ = fmt.Fprintf(w, "purge %s, asked as %s\n", word["id"], word["asked"]) }); err != nil || !wait {
				return err
			}
			return c.waitPurge(word["id"], within)
		}}
	f := cmd.Flags()
	f.StringVar(&a.Asked, "as", "", "name of the asking; a random one by default")
	f.StringVar(&a.Reason, "why", "", "the reason, for others to read")
	f.BoolVar(&wait, "wait", false, "wait until it is complete, and tell who holds it up")
	f.DurationVar(&within, "within", time.Minute, "how long to wait")
	return cmd
}

// waitPurge follows a purge until it is complete.
func (c *fleetCalls) waitPurge(id string, within time.Duration) error {
	told := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(askAgain / 2) {
		var p exchange.PurgeProgress
		line := ""
		if _, err := c.call("PURGE WHY "+id, &p); err != nil {
			line = err.Error()
		} else if p.Complete {
			return nil
		} else {
			line = p.Detail
			for _, l := range p.Laggards {
				line += fmt.Sprintf("; %s: %s", l.Front, l.Reason)
			}
		}
		if line != told {
			told = line
			_, _ = fmt.Fprintln(os.Stderr, line)
		}
	}
	_, _ = fmt.Fprintf(os.Stderr, "purge %s is not complete after %v\n", id, within)
	return ended
}

func (c *fleetCalls) verdictsCommand() *cobra.Command {
	return &cobra.Command{Use: "verdicts", Short: "What holds of boxes, hubs and prefixes for the whole fleet, with witnesses and age", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var t exchange.VerdictsStatus
		return c.show("VERDICTS", &t, func(w io.Writer) {
			line := func(v exchange.VerdictStatus) {
				var names []string
				for _, x := range v.Witnesses {
					names = append(names, fmt.Sprintf("%s (/%s, %.0f)", x.Front, x.Site, x.Evidence))
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f s\t%s\n", v.Subject, v.State, v.Count, v.Sites, v.RemainingS, strings.Join(names, ", "))
			}
			_, _ = fmt.Fprintln(w, "HOLDS\tSTATE\tWITNESSES\tSITES\tLEFT\tSOME OF THEM")
			for _, v := range t.Active {
				line(v)
			}
			_, _ = fmt.Fprintf(w, "\nOPINIONS OF %s\tSTATE\t\t\t\tEVIDENCE\n", t.Front)
			for _, v := range t.Own {
				line(v)
			}
		})
	}}
}

func (c *fleetCalls) steerCommand() *cobra.Command {
	return &cobra.Command{Use: "steer REGION", Short: "In which order and with which shares a region's clients should go to edges", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		var t exchange.RegionOrder
		return c.show("STEER "+args[0], &t, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s: by %s; holds for %.1f s more, stale by %.1f s at most\nEDGE\tSHARE\tTAKES\tREQUESTS\tROOM\n", t.Region, t.Source, t.RemainingS, t.MaxAgeS)
			for _, e := range t.Edges {
				_, _ = fmt.Fprintf(w, "%s\t%.0f%%\t%.1f ms\t%.0f\t%.0f%%\n", e.Edge, 100*e.Share, e.Median/1000, e.Weight, 100*e.Capacity)
			}
		})
	}}
}
