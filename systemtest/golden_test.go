package systemtest

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/workload"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenSessions plays each scripted workload through a whole
// deployment and compares every request and answer, in sequence order and
// without times, with its golden file. Run with -update to rewrite them.
func TestGoldenSessions(t *testing.T) {
	for _, name := range []string{"sul", "jurassakari"} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, defaultEngines, 1)
			script, err := workload.Load(filepath.Join("..", "testdata", "workloads", name+".toml"))
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			ses := workload.NewPlayer(b.entryURL[0]).Play(ctx, script)
			got, err := json.MarshalIndent(ses, "", "  ")
			require.NoError(t, err)
			got = append(got, '\n')
			path := filepath.Join("..", "testdata", "golden", name+".golden.json")
			if *update {
				require.NoError(t, os.WriteFile(path, got, 0o644))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err, "no golden file; run go test ./systemtest -run TestGoldenSessions -update")
			require.JSONEq(t, string(want), string(got))
			for _, o := range ses.Outcomes {
				require.Zero(t, o.Failed, "program %s had failed calls", o.Program)
			}
		})
	}
}
