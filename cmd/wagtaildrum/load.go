package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/wagtaildrum/wagtaildrum/load"
)

// experimentFlag is the flag that the load commands share.
type experimentFlag struct {
	File string `long:"file" short:"f" required:"true" description:"experiment file (TOML)"`
}

// loadFleetCommand is the load fleet command.
type loadFleetCommand struct {
	experimentFlag
	Dir      string `long:"dir" required:"true" description:"where to write the settings"`
	Routing  string `long:"routing" default:"affinity" description:"routing policy of the entry instances"`
	Order    string `long:"order" default:"oldest_program" description:"order of waiting calls at the sidecars"`
	BasePort int    `long:"base-port" default:"21000" description:"first loopback port"`
}

// Execute writes the settings files of the processes of an experiment.
func (c *loadFleetCommand) Execute([]string) error {
	x, err := load.Load(c.File)
	if err != nil {
		return err
	}
	return load.WriteFleet(x, c.Dir, load.FleetOptions{Routing: c.Routing, Order: c.Order, BasePort: c.BasePort})
}

// loadRunCommand is the load run command.
type loadRunCommand struct {
	experimentFlag
	Targets string `long:"targets" required:"true" description:"targets.json of the fleet"`
	Label   string `long:"label" required:"true" description:"name of the run in reports"`
	Out     string `long:"out" required:"true" description:"where to write the result (JSON)"`
}

// Execute runs the workload of an experiment against a running fleet, prints a
// summary and writes the result.
func (c *loadRunCommand) Execute([]string) error {
	x, err := load.Load(c.File)
	if err != nil {
		return err
	}
	targets, err := load.ReadTargets(c.Targets)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	res, err := load.Run(ctx, x, targets, c.Label)
	if err != nil {
		return err
	}
	s := res.Summarise(x, func(*load.ProgramResult) bool { return true })
	fmt.Printf("%s %s: %d programs, %d failed, p50 %s, p95 %s, p99 %s, wasted cache %.1f %%\n", res.Experiment, res.Label, s.Count, s.Failed, s.P50, s.P95, s.P99, 100*res.WastedShare())
	return res.Write(c.Out)
}

// loadReportCommand is the load report command.
type loadReportCommand struct {
	experimentFlag
	Dir  string `long:"dir" required:"true" description:"where to write the report and the plots"`
	Args struct {
		Results []string `positional-arg-name:"RESULT" required:"1" description:"results to compare, the project's own first"`
	} `positional-args:"true"`
}

// Execute writes a Markdown report and PNG plots that compare several results.
func (c *loadReportCommand) Execute([]string) error {
	x, err := load.Load(c.File)
	if err != nil {
		return err
	}
	var runs []*load.Result
	for _, path := range c.Args.Results {
		res, err := load.ReadResult(path)
		if err != nil {
			return err
		}
		runs = append(runs, res)
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(c.Dir, x.Name+".md"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := load.Report(f, x, runs); err != nil {
		return err
	}
	if err := load.PlotLatency(filepath.Join(c.Dir, x.Name+"-latency.png"), x, runs); err != nil {
		return err
	}
	return load.PlotWasted(filepath.Join(c.Dir, x.Name+"-wasted.png"), x, runs)
}

// addLoadCommands adds the load command and its subcommands to parser.
func addLoadCommands(parser *flags.Parser) {
	group, err := parser.AddCommand("load", "load and experiment tool", "Drives real processes on loopback, bounded in count and time.", &struct{}{})
	must(group, err)
	must(group.AddCommand("fleet", "write the settings of an experiment's processes", "", &loadFleetCommand{}))
	must(group.AddCommand("run", "play an experiment against a running fleet", "", &loadRunCommand{}))
	must(group.AddCommand("report", "compare results: Markdown table and PNG plots", "", &loadReportCommand{}))
}
