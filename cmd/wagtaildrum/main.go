// Command wagtaildrum runs one process of the wagtaildrum scheduler for agent
// programs: an entry instance, a sidecar of an endpoint, an operator's command, a
// stand-in for an external system, the load tool, or the workload player.
// Settings files are TOML. Invalid settings or arguments exit with code 2, other
// failures with code 1.
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

// run parses args, runs the selected command and returns the exit code.
func run(args []string) int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "scheduler for agent programs"
	must(parser.AddCommand("entry", "run an entry instance", "Serves the callers' API and owns programs.", &entryCommand{}))
	must(parser.AddCommand("front", "run an entry instance on the users' platform", "Serves the platform's callers; state is kept in its store.", &frontCommand{}))
	must(parser.AddCommand("sidecar", "run the sidecar of an endpoint", "Admits, fences and drains calls to one engine or tool service.", &sidecarCommand{}))
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
	must(parser.AddCommand("play", "play workload files against an entry instance", "Prints the outcome and the total latency of each program.", &playCommand{}))

	_, err = parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, "wagtaildrum:", err)
	var settingsError *settings.Error
	if errors.As(err, &settingsError) || errors.As(err, &flagError) {
		return exitBadSettings
	}
	return exitFailure
}

// must panics if a command cannot be added, which is a programming error.
func must(_ any, err error) {
	if err != nil {
		panic(err)
	}
}
