package load_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/load"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// experiments is the directory of the experiment files.
const experiments = "../testdata/experiments"

// TestExperimentFilesLoad checks that all experiment files in the repository
// are valid.
func TestExperimentFilesLoad(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(experiments, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := load.Load(file)
		require.NoError(t, err)
	}
}

// TestLoadInvalidExperimentReturnsSettingsError checks that Load rejects an
// experiment that exceeds a limit, has an unknown key, or names an undefined
// model, tool or urgency, with a *settings.Error that names the key. Otherwise
// a run could overload the machine or fail halfway.
func TestLoadInvalidExperimentReturnsSettingsError(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(experiments, "short.toml"))
	require.NoError(t, err)
	cases := []struct{ name, old, repl, key string }{
		{"too long", `after = "1s"`, `after = "10m"`, "quiet+burst+after"},
		{"too many engines", "count = 2", "count = 2000", "engine.count"},
		{"too many programs", "per_second = 5", "per_second = 500000", "program.per_second"},
		{"unknown model", `model = "workshop"`, `model = "other"`, "program.model"},
		{"unknown tool", `once_tool = "dispatch_van"`, `once_tool = "van"`, "program.tool"},
		{"unknown urgency", `urgency = "urgent"`, `urgency = "now"`, "program.urgency"},
		{"unknown key", `seed = 3`, `sead = 3`, "sead"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "x.toml")
			text := strings.Replace(string(raw), c.old, c.repl, 1)
			require.NotEqual(t, string(raw), text)
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			_, err := load.Load(path)
			var serr *settings.Error
			require.ErrorAs(t, err, &serr)
			require.Equal(t, c.key, serr.Key())
		})
	}
}

// TestRunRejectsNonLoopbackAddress guards against load on other machines: Run
// must reject targets that are not loopback addresses.
func TestRunRejectsNonLoopbackAddress(t *testing.T) {
	x, err := load.Load(filepath.Join(experiments, "short.toml"))
	require.NoError(t, err)
	for _, address := range []string{"http://10.0.0.1:80", "http://example.com", "http://0.0.0.0:1", "://"} {
		_, err := load.Run(context.Background(), x, &load.Targets{Entries: []string{address}, Platform: "http://127.0.0.1:1"}, "x")
		var aerr *load.AddressError
		require.ErrorAs(t, err, &aerr, address)
	}
}
