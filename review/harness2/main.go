// Command review2 plays the cases of the second independent review: each starts the project's fronts as
// the deploy file says, with small stand-ins of servers, clients and the platform, on loopback addresses.
//
//	review2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays
// the case without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. A case returns what broke the rule, a line each.
var cases = map[string]func(rec *record, dir string, trouble bool) (broken []string){}

var cleanUps []func()

// finish ends all that the case started and exits.
func finish(code int) {
	for i := len(cleanUps) - 1; i >= 0; i-- {
		cleanUps[i]()
	}
	os.Exit(code)
}

// cannotRun ends a case that can't run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	finish(2)
}

const maxRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if os.Getenv("KEEP") == "" {
		cleanUps = append(cleanUps, func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Fprintln(os.Stderr, "kept:", dir)
	}
	rec := &record{file: file, began: time.Now()}
	time.AfterFunc(maxRun, func() { cannotRun("it takes too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case    %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](rec, dir, trouble)
	for _, b := range broken {
		rec.line("BROKEN  %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		finish(1)
	}
	rec.line("held")
	fmt.Println("held")
	finish(0)
}
