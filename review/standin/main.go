//go:build review

// Command standin plays the cases of the review: it starts entry instances as separate
// processes, acts as the platform's store, the servers and the clients, and writes what
// was sent, answered and run to record.txt.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case. A case returns the number of times that the
// rule was broken, or an error if it could not run.
var cases = map[string]func(site *site, trouble bool) (broken int, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE WAGTAILDRUM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns its exit code.
func play(name, binary, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	site, err := newSite(binary, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	site.record.printf("case %s, disruption %v", name, trouble)
	broken, err := run(site, trouble)
	site.close()
	switch {
	case err != nil:
		site.record.printf("result: could not run: %v", err)
		return exitNotRun
	case broken > 0:
		site.record.printf("result: the rule was broken %d times", broken)
		return exitBroken
	}
	site.record.printf("result: the rule held")
	return exitHeld
}
