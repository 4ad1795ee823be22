package settings_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/settings"
)

const goodEntry = `
instance_id = "entry-1"
data_centre = "riga-a"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8082"
debug = "127.0.0.1:8081"
platform = "http://127.0.0.1:7000"
lease_ttl = "10s"
config_poll = "1s"
call_timeout = "30s"
drain_timeout = "30s"
`

func TestDecodeEntrySettings(t *testing.T) {
	s, err := settings.Decode[settings.Entry]("entry.toml", goodEntry)
	require.NoError(t, err)
	require.Equal(t, "riga-a", s.DataCentre)
	require.Equal(t, "10s", s.LeaseTTL.String())
	require.EqualValues(t, settings.DefaultMemoryMB<<20, s.Memory())
}

// Guards against a process that starts with an invalid or partial configuration:
// each kind of fault is returned as a *settings.Error with the key at fault.
func TestDecodeInvalidSettingsReturnsTypedError(t *testing.T) {
	cases := []struct {
		name    string
		data    string
		key     string
		problem settings.Problem
	}{
		{"unknown key", goodEntry + `lease_tll = "5s"`, "lease_tll", settings.ProblemUnknownKey},
		{"missing key", replace(goodEntry, `data_centre = "riga-a"`, ``), "data_centre", settings.ProblemMissing},
		{"bad address", replace(goodEntry, `"127.0.0.1:8080"`, `"8080"`), "listen", settings.ProblemBadValue},
		{"bad url", replace(goodEntry, `"http://127.0.0.1:7000"`, `"127.0.0.1:7000"`), "platform", settings.ProblemBadValue},
		{"zero duration", replace(goodEntry, `lease_ttl = "10s"`, `lease_ttl = "0s"`), "lease_ttl", settings.ProblemBadValue},
		{"syntax", goodEntry + "listen = ", "", settings.ProblemSyntax},
		{"bad duration", replace(goodEntry, `lease_ttl = "10s"`, `lease_ttl = "soon"`), "lease_ttl", settings.ProblemBadValue},
		{"too little memory", goodEntry + "memory_mb = 100", "memory_mb", settings.ProblemBadValue},
		{"wrong type", replace(goodEntry, `listen = "127.0.0.1:8080"`, `listen = 8080`), "listen", settings.ProblemBadValue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Decode[settings.Entry]("entry.toml", c.data)
			var serr *settings.Error
			require.True(t, errors.As(err, &serr), "want *settings.Error, got %v", err)
			require.Equal(t, c.problem, serr.Problem(), serr.Error())
			require.Equal(t, c.key, serr.Key(), serr.Error())
			require.Contains(t, serr.Error(), "entry.toml")
		})
	}
}

func TestLoadUnreadableFile(t *testing.T) {
	_, err := settings.Load[settings.Sidecar]("/nonexistent/sidecar.toml")
	var serr *settings.Error
	require.ErrorAs(t, err, &serr)
	require.Equal(t, settings.ProblemUnreadable, serr.Problem())
}

func replace(s, old, repl string) string {
	out := s
	for i := 0; i+len(old) <= len(out); i++ {
		if out[i:i+len(old)] == old {
			return out[:i] + repl + out[i+len(old):]
		}
	}
	panic("replace: " + old + " not found")
}
