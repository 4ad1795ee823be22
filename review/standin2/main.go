//go:build review

// Command standin2 plays the cases of the second review that are scripts: it starts entry
// instances as processes with the command of the deploy file, and the platform, endpoints
// and callers as stand-ins on loopback.
//
// Usage: standin2 CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule of
// the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errUsage is the error for wrong arguments.
var errUsage = errors.New("usage: standin2 late-leave|long-turns|moved-store")

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"late-leave":  playLateLeave,
	"long-turns":  playLongTurns,
	"power-loss":  playPowerLoss,
	"moved-store": playMovedStore,
}

func main() {
	isBroken, err := run(os.Args[1:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin2:", err)
		os.Exit(exitNotRun)
	case isBroken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run plays the case and reports whether the rule was broken.
func run(args []string) (isBroken bool, err error) {
	if len(args) != 2 || cases[args[0]] == nil {
		return false, errUsage
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		return false, err
	}
	s, err := newSite(newRecord(file))
	if err != nil {
		return false, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.record.add("case %s, disruption %t", args[0], trouble)
	isBroken, err = cases[args[0]](s, trouble)
	s.close()
	s.record.add("rule broken: %t, error: %v", isBroken, err)
	return isBroken, errors.Join(err, s.record.close())
}
