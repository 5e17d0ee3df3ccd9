// Package seededtest runs a package's tests with a fixed seed for rapid, so that
// every run tries the same cases and leaves no files behind.
package seededtest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Main is for a package's TestMain.
func Main(m *testing.M) { os.Exit(Run(m)) }

// Run is for a TestMain that has something to do after the tests; it gives the
// exit code.
func Run(m *testing.M) (code int) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	return m.Run()
}
