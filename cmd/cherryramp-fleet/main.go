// Command cherryramp-fleet is the front with its part in a fleet linked in, and the
// commands to ask a fleet. cherryramp runs it in its own place where the operator's
// file has a section fleet, and for `cherryramp fleet`; nobody need call it by name.
//
// It exits with 0 where all is well, 1 where something failed, 2 where it was called
// in a way that it does not know, and 4 where a work that was waited for ended
// before its machine was out.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"cherryramp/internal/config"
	"cherryramp/internal/fleet"
	"cherryramp/internal/fleet/consensus"
	"cherryramp/internal/link/peers"
	"cherryramp/internal/loop"
	"cherryramp/internal/program"
)

// failed is an exit code whose cause has been told.
type failed int

func (f failed) Error() string { return fmt.Sprintf("exit code %d", int(f)) }

const exitUsage = 2

func main() {
	program.JoinFleet = part
	if len(os.Args) == 1 || os.Args[1] == "serve" {
		if program.Serve() != nil {
			os.Exit(1)
		}
		return
	}
	running := false
	root := &cobra.Command{Use: "cherryramp", SilenceErrors: true, SilenceUsage: true,
		PersistentPreRun: func(*cobra.Command, []string) { running = true }}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(fleetCommand())
	cmd, err := root.ExecuteC()
	var code failed
	var wrong badCall
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, "cherryramp:", err)
		os.Exit(exitUsage)
	case err != nil && !running:
		fmt.Fprintf(os.Stderr, "cherryramp: %v\n\n%s", err, cmd.UsageString())
		os.Exit(exitUsage)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cherryramp:", err)
		os.Exit(1)
	}
}

// part begins a front's part in the fleet of the operator's file.
func part(c *config.Fleet, shared *config.Exchange, front string, l *loop.Loop, host program.FleetHost, log *slog.Logger) (program.FleetParticipant, error) {
	var first []consensus.Address
	for _, m := range c.InitialMembers {
		first = append(first, consensus.Address{Name: m.Name, Address: m.Address})
	}
	k := c.Keys
	keep := int64(0)
	if shared != nil {
		keep = int64(shared.OwnerLeaseS * 1e6)
	}
	return fleet.Start(fleet.Config{Config: consensus.Config{Fleet: c.Name, Name: front, Zone: c.Zone, Machine: cmp.Or(c.Machine, front),
		Address: c.Address, Build: revision(), FirstMembers: first, Rules: c.Rules.Maintenance(), Tick: int64(c.TickMS) * 1000, LostAfter: int64(c.LostMS) * 1000,
		SeatGrace: int64(c.GraceS) * 1_000_000, FanOut: c.FanOut, SnapshotEntries: uint64(c.MaxLogEntries), OwnerLease: keep}, Exchange: shared, Listen: c.Listen, Folder: c.DataDir, Reach: c.AddressOverrides,
		Keys: peers.Files{Certificate: k.Certificate, Key: k.Key, Authorities: k.Authorities, Names: k.PeerNames, Revoked: k.Revoked}}, l, host, log)
}

// revision names the build: its version-control revision, where the tool chain noted one.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return cmp.Or(info.Main.Version, "unknown")
}
