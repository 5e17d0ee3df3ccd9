// Command cherryramp-fleet is the front built with fleet membership, and the commands
// that query a fleet. cherryramp executes it in place of itself if the operator's file
// has a section fleet, and for `cherryramp fleet`; it need not be called directly.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 4 if a maintenance operation that
// was waited for ended before its machine was out, a purge was not complete in time, a
// version was turned down or rolled back, or an audit has missing or broken records.
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

// exitCode is an error that sets the exit code; its cause has been printed already.
type exitCode int

func (code exitCode) Error() string { return fmt.Sprintf("exit code %d", int(code)) }

const exitUsage = 2

func main() {
	program.JoinFleet = joinFleet
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
	var code exitCode
	var usage usageError
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case errors.As(err, &usage):
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

// joinFleet starts a front's membership in the fleet that the operator's file describes.
func joinFleet(section *config.Fleet, shared *config.Exchange, front string, l *loop.Loop, host program.FleetHost, log *slog.Logger) (program.FleetParticipant, error) {
	var initialMembers []consensus.Address
	for _, m := range section.InitialMembers {
		initialMembers = append(initialMembers, consensus.Address{Name: m.Name, Address: m.Address})
	}
	keys := section.Keys
	ownerLease := int64(0)
	if shared != nil {
		ownerLease = int64(shared.OwnerLeaseS * 1e6)
	}
	return fleet.Start(fleet.Config{Config: consensus.Config{Fleet: section.Name, Name: front, Zone: section.Zone, Machine: cmp.Or(section.Machine, front),
		Address: section.Address, Build: revision(), FirstMembers: initialMembers, Rules: section.Rules.Maintenance(), Tick: int64(section.TickMS) * 1000, LostAfter: int64(section.LostMS) * 1000,
		SeatGrace: int64(section.GraceS) * 1_000_000, FanOut: section.FanOut, SnapshotEntries: uint64(section.MaxLogEntries), OwnerLease: ownerLease}, Exchange: shared, Listen: section.Listen, Folder: section.DataDir, Reach: section.AddressOverrides,
		Keys: peers.Files{Certificate: keys.Certificate, Key: keys.Key, Authorities: keys.Authorities, Names: keys.PeerNames, Revoked: keys.Revoked}}, l, host, log)
}

// revision returns the version-control revision of the build if the toolchain recorded one,
// else the module version or "unknown".
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
