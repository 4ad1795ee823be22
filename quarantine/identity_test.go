package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

// Guards against requests of other organisations, programs or sessions that share a count, and against fields that run into each other.
func TestKeysOfDifferentRequestsDiffer(t *testing.T) {
	base := quarantine.Identity{Organisation: "o", Program: "p", Session: "s", Previous: "t", Method: "POST", Host: "h", Target: "/x", Segments: []string{"a", "b"}, Body: []byte("body")}
	keys := map[quarantine.Key]string{base.Key(): "base"}
	for name, change := range map[string]func(*quarantine.Identity){
		"organisation":      func(identity *quarantine.Identity) { identity.Organisation = "o2" },
		"program":           func(identity *quarantine.Identity) { identity.Program = "p2" },
		"session":           func(identity *quarantine.Identity) { identity.Session = "s2" },
		"previous turn":     func(identity *quarantine.Identity) { identity.Previous = "t2" },
		"method":            func(identity *quarantine.Identity) { identity.Method = "GET" },
		"host":              func(identity *quarantine.Identity) { identity.Host = "h2" },
		"target":            func(identity *quarantine.Identity) { identity.Target = "/y" },
		"segments":          func(identity *quarantine.Identity) { identity.Segments = []string{"ab"} },
		"body":              func(identity *quarantine.Identity) { identity.Body = []byte("body2") },
		"program into next": func(identity *quarantine.Identity) { identity.Program, identity.Session = "ps", "" },
		"segment into body": func(identity *quarantine.Identity) {
			identity.Segments, identity.Body = []string{"a"}, append([]byte("b"), identity.Body...)
		},
	} {
		changed := base
		change(&changed)
		assert.NotContains(t, keys, changed.Key(), name)
		keys[changed.Key()] = name
	}
	same := base
	assert.Equal(t, base.Key(), same.Key())
}
