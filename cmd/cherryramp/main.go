// Command cherryramp is the front and what an operator needs beside it:
//
//	cherryramp [serve]   one real front, until SIGTERM
//	cherryramp check     all faults of configuration files
//	cherryramp sign      a link of any format, by a key of the operator's file
//	cherryramp verify    whether a link is let in, and why not
//	cherryramp keys      the states of the keys
//	cherryramp fleet     what the fronts of one installation agree on
//
// It exits with 0 where all is well, 1 where something failed or is at fault, 2
// where it was called in a way that it does not know, and 3 where a link is not
// let in.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cherryramp/internal/program"
)

// failed is an exit code whose cause has been told.
type failed int

func (f failed) Error() string { return fmt.Sprintf("exit code %d", int(f)) }

const (
	atFault  failed = 1
	notLetIn failed = 3
)

// exitUsage is the exit code of a call that is not known.
const exitUsage = 2

func main() {
	if len(os.Args) == 1 { // as the platform starts it: nothing is made for a command line
		if program.Serve() != nil {
			os.Exit(int(atFault))
		}
		return
	}
	running := false
	root := &cobra.Command{Use: "cherryramp", Short: "A gateway in front of caches of large objects",
		Long: "A gateway in front of caches of large objects. Without a command it serves.\n\nThe environment gives ROUTER_CONFIG, " +
			"ROUTER_NAME, ROUTER_LISTEN, ROUTER_OPS (the operators' door), CHERRYRAMP_OPERATOR and CHERRYRAMP_LOG.\n\nExit codes: 0 well, 1 failed or at fault, " +
			"2 called in a way that is not known, 3 a link is not let in.",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRun: func(*cobra.Command, []string) { running = true }}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(&cobra.Command{Use: "serve", Short: "Serve as one front, until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if program.Serve() != nil {
				return atFault
			}
			return nil
		}}, checkCommand(), signCommand(), verifyCommand(), keysCommand(),
		&cobra.Command{Use: "fleet", Short: "What the fronts of one installation agree on", DisableFlagParsing: true,
			RunE: func(*cobra.Command, []string) error { return program.ExecFleetCommand() }})
	cmd, err := root.ExecuteC()
	var code failed
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case err != nil && !running:
		fmt.Fprintf(os.Stderr, "cherryramp: %v\n\n%s", err, cmd.UsageString())
		os.Exit(exitUsage)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cherryramp:", err)
		os.Exit(int(atFault))
	}
}
