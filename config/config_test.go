package config_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/config"
)

// TestMakePlan checks that a plan lists a removed, a modified and an added
// endpoint in order of their names.
func TestMakePlan(t *testing.T) {
	cur := &config.Config{Version: 4, Endpoints: []config.Endpoint{
		{Name: "a", Role: "engine", Model: "m", Sidecar: "h:1"},
		{Name: "b", Role: "engine", Model: "m", Sidecar: "h:2"},
	}}
	want := &config.Config{Endpoints: []config.Endpoint{
		{Name: "b", Role: "engine", Model: "m", Sidecar: "h:2", Draining: true},
		{Name: "c", Role: "tool", Tools: []string{"t"}, Sidecar: "h:3"},
	}}
	plan := config.MakePlan(cur, want)
	require.EqualValues(t, 4, plan.BaseVersion())
	var got []string
	for _, c := range plan.Changes() {
		got = append(got, c.Kind.String()+" "+c.Endpoint)
	}
	require.Equal(t, []string{"remove a", "modify b", "add c"}, got)
}

// TestValidate checks that each kind of invalid endpoint, and a duplicate name,
// is an error.
func TestValidate(t *testing.T) {
	bad := []config.Endpoint{
		{Name: "", Role: "engine", Model: "m", Sidecar: "h:1"},
		{Name: "x", Role: "gpu", Sidecar: "h:1"},
		{Name: "x", Role: "engine", Sidecar: "h:1"},
		{Name: "x", Role: "tool", Sidecar: "h:1"},
		{Name: "x", Role: "engine", Model: "m"},
	}
	for _, e := range bad {
		c := &config.Config{Endpoints: []config.Endpoint{e}}
		var cerr *config.Error
		require.ErrorAs(t, c.Validate(), &cerr, "%+v", e)
	}
	duplicate := &config.Config{Endpoints: []config.Endpoint{{Name: "a", Role: "engine", Model: "m", Sidecar: "h"}, {Name: "a", Role: "engine", Model: "m", Sidecar: "h"}}}
	require.Error(t, duplicate.Validate())
}

func ExampleMakePlan() {
	cur := &config.Config{Version: 1, Endpoints: []config.Endpoint{{Name: "workshop-1", Role: "engine", Model: "workshop", Sidecar: "127.0.0.1:19001"}}}
	want := &config.Config{Endpoints: []config.Endpoint{{Name: "workshop-1", Role: "engine", Model: "workshop", Sidecar: "127.0.0.1:19001", Draining: true}}}
	fmt.Print(config.MakePlan(cur, want))
	// Output:
	// plan against version 1: 1 change(s)
	//   modify workshop-1 role=engine sidecar=127.0.0.1:19001 dc= model=workshop -> role=engine sidecar=127.0.0.1:19001 dc= model=workshop draining
}
