// Command wagtaildrum runs one process of the wagtaildrum scheduler for
// agent programs: an entry instance, a sidecar beside an endpoint, the
// operator's ctl, a stand-in for an outside system, or the workload
// player. Each reads a TOML settings file; bad settings exit with code 2.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/wagtaildrum/wagtaildrum/settings"
)

// Exit codes.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run parses args, runs the subcommand and returns the exit code.
func run(args []string) int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "scheduler for agent programs"
	must(parser.AddCommand("entry", "run an entry instance", "Serves the callers' API and owns programs.", &entryCommand{}))
	must(parser.AddCommand("front", "run an entry instance on the users' platform", "Serves the platform's callers; state is kept in its store.", &frontCommand{}))
	must(parser.AddCommand("sidecar", "run the sidecar beside an endpoint", "Admits, fences and drains calls to one engine or tool service.", &sidecarCommand{}))
	ctl, err := parser.AddCommand("ctl", "operator commands", "Plan and apply configuration changes.", &struct{}{})
	must(ctl, err)
	must(ctl.AddCommand("apply", "plan a configuration change, write it with --confirm", "Shows the plan; nothing is written without --confirm.", &applyCommand{}))
	must(ctl.AddCommand("show", "print the configuration in force", "", &showCommand{}))
	standin, err := parser.AddCommand("standin", "run a stand-in for an outside system", "For tests and local runs only.", &struct{}{})
	must(standin, err)
	must(standin.AddCommand("engine", "model engine stand-in", "", &engineCommand{}))
	must(standin.AddCommand("tool", "tool service stand-in", "", &toolCommand{}))
	must(standin.AddCommand("platform", "platform stand-in (table, objects, instance list)", "", &platformCommand{}))
	addLoadCommands(parser)
	must(parser.AddCommand("play", "play workload files against an entry instance", "Prints each program's outcome and whole-program latency.", &playCommand{}))

	_, err = parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var ferr *flags.Error
	if errors.As(err, &ferr) && ferr.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, "wagtaildrum:", err)
	var serr *settings.Error
	if errors.As(err, &serr) || errors.As(err, &ferr) {
		return exitBadSettings
	}
	return exitFailure
}

func must(_ any, err error) {
	if err != nil {
		panic(err)
	}
}
