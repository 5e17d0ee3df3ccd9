// Package seededtest runs a package's tests with a fixed seed for rapid, so that every run
// checks the same cases, and without rapid's files for failed ones.
package seededtest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Main runs the tests and exits. It is called by a package's TestMain.
func Main(m *testing.M) { os.Exit(Run(m)) }

// Run runs the tests and returns the exit code, for a TestMain that has cleanup to do.
func Run(m *testing.M) (code int) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	return m.Run()
}
