package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInvalidSettingsExitCode checks that commands reject an invalid or missing
// settings file with exit code 2 before they open any socket.
func TestInvalidSettingsExitCode(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("instance_id = \"x\"\nno_such_key = 1\n"), 0o600))
	for _, cmd := range [][]string{
		{"entry"}, {"sidecar"}, {"standin", "engine"}, {"standin", "tool"}, {"standin", "platform"},
		{"ctl", "show"},
	} {
		args := append(cmd, "--settings", bad)
		require.Equal(t, exitBadSettings, run(args), "wagtaildrum %v", args)
	}
	require.Equal(t, exitBadSettings, run([]string{"entry", "--settings", filepath.Join(dir, "missing.toml")}))
	require.Equal(t, exitBadSettings, run([]string{"entry"}), "missing --settings flag")
}
