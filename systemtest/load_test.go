package systemtest

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/load"
	"github.com/wagtaildrum/wagtaildrum/operator"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// TestShortExperiment runs a small experiment from its file to its report,
// on real processes, in a few seconds.
func TestShortExperiment(t *testing.T) {
	x, err := load.Load(filepath.Join("..", "testdata", "experiments", "short.toml"))
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, load.WriteFleet(x, dir, load.FleetOptions{Routing: "affinity", Order: "oldest_program", BasePort: 31000}))
	f := startFleet(t, dir)
	targets, err := load.ReadTargets(filepath.Join(dir, "targets.json"))
	require.NoError(t, err)
	desired, err := operator.ReadDesired(filepath.Join(dir, "config.toml"))
	require.NoError(t, err)
	pc := tableservice.NewClient("http://"+f.platform, 2*time.Second)
	_, err = operator.Apply(context.Background(), pc, config.MakePlan(&config.Config{}, desired), desired)
	require.NoError(t, err)
	time.Sleep(500 * time.Millisecond) // config polls

	res, err := load.Run(context.Background(), x, targets, "ours")
	require.NoError(t, err)
	all := res.Summarise(x, func(*load.ProgramResult) bool { return true })
	require.Greater(t, all.Count, 10)
	require.Zero(t, all.Failed, "%+v", res.Programs)
	require.Positive(t, res.Tokens.Reusable)

	var report bytes.Buffer
	require.NoError(t, load.Report(&report, x, []*load.Result{res, res}))
	require.Contains(t, report.String(), "| ours | 1.00 | 1.00 |")
	for _, plot := range []func(string, *load.Experiment, []*load.Result) error{load.PlotLatency, load.PlotWasted} {
		require.NoError(t, plot(filepath.Join(dir, "plot.png"), x, []*load.Result{res}))
	}
}

// startFleet starts the processes that load.WriteFleet listed in dir.
func startFleet(t *testing.T, dir string) *fleet {
	bin, err := platformtest.BuildBinary()
	require.NoError(t, err)
	f := &fleet{t: t, bin: bin, dir: dir, procs: map[string]*exec.Cmd{}}
	t.Cleanup(f.stopAll)
	lines, err := os.ReadFile(filepath.Join(dir, "processes"))
	require.NoError(t, err)
	for line := range strings.Lines(string(lines)) {
		words := strings.Fields(line)
		f.run(words[0], words[2:], words[1])
	}
	cfg, err := os.ReadFile(filepath.Join(dir, "ctl.toml"))
	require.NoError(t, err)
	_, after, _ := strings.Cut(string(cfg), "http://")
	f.platform, _, _ = strings.Cut(after, "\"")
	return f
}
