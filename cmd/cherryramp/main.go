// Command cherryramp is the front, with the operator's commands around it:
//
//	cherryramp [serve]   serves as one front until SIGTERM
//	cherryramp check     reports all errors of configuration files
//	cherryramp sign      signs a link of any format with a key of the operator's file
//	cherryramp verify    reports whether a link is accepted, and why not
//	cherryramp keys      lists the keys and their states
//	cherryramp fleet     queries and controls the fleet of fronts of one installation
//
// Exit codes: 0 success, 1 failure or faulty configuration, 2 wrong usage, 3 if a link
// is refused.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cherryramp/internal/program"
)

// exitCode is an error that sets the exit code; its cause has been printed already.
type exitCode int

func (code exitCode) Error() string { return fmt.Sprintf("exit code %d", int(code)) }

const (
	exitFailed  exitCode = 1
	exitRefused exitCode = 3
)

// exitUsage is the exit code for wrong usage.
const exitUsage = 2

func main() {
	if len(os.Args) == 1 { // the platform starts it this way; skips building the command line
		if program.Serve() != nil {
			os.Exit(int(exitFailed))
		}
		return
	}
	running := false
	root := &cobra.Command{Use: "cherryramp", Short: "A gateway in front of caches of large objects",
		Long: "A gateway in front of caches of large objects. Without a command it serves.\n\nEnvironment variables: ROUTER_CONFIG, " +
			"ROUTER_NAME, ROUTER_LISTEN, ROUTER_OPS (the admin endpoint), CHERRYRAMP_OPERATOR and CHERRYRAMP_LOG.\n\nExit codes: 0 success, 1 failure or faulty configuration, " +
			"2 wrong usage, 3 a link is refused.",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRun: func(*cobra.Command, []string) { running = true }}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(&cobra.Command{Use: "serve", Short: "Serve as one front, until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if program.Serve() != nil {
				return exitFailed
			}
			return nil
		}}, checkCommand(), signCommand(), verifyCommand(), keysCommand(),
		&cobra.Command{Use: "fleet", Short: "Query and control the fleet of fronts of one installation", DisableFlagParsing: true,
			RunE: func(*cobra.Command, []string) error { return program.ExecFleetCommand() }})
	cmd, err := root.ExecuteC()
	var code exitCode
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case err != nil && !running:
		fmt.Fprintf(os.Stderr, "cherryramp: %v\n\n%s", err, cmd.UsageString())
		os.Exit(exitUsage)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cherryramp:", err)
		os.Exit(int(exitFailed))
	}
}
