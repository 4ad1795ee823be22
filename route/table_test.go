package route_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/route"
)

func table(t *testing.T, version uint64, routes ...*route.Route) *route.Table {
	t.Helper()
	table, err := route.NewTable(version, routes, nil, nil, route.Limits{})
	require.NoError(t, err)
	return table
}

func to(host, prefix, service string) *route.Route {
	return &route.Route{Name: host + prefix, Host: host, Prefix: prefix, Targets: []route.Target{{Service: service, Weight: 1}}}
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	table := table(t, 1, to("a.example", "/", "root"), to("a.example", "/x/y/", "deep"), to("a.example", "/x/", "shallow"), to("b.example", "/x/", "other"))
	for _, test := range []struct{ host, path, service string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.Example:8080", "/x/y/", "deep"},
		{"a.example", "/x/y", "shallow"},
		{"a.example", "/xy", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	} {
		matched := table.Match(test.host, test.path)
		if test.service == "" {
			assert.Nil(t, matched, "%s%s", test.host, test.path)
			continue
		}
		require.NotNil(t, matched, "%s%s", test.host, test.path)
		assert.Equal(t, test.service, matched.PickService())
	}
}

// Guards against a changed route being served by its old service again. The feed
// delivers version 7; a read that started earlier returns version 5 after it. The
// last table to arrive, not the newest, used to become active.
func TestCurrentRejectsOlderTables(t *testing.T) {
	var current route.Current
	require.Nil(t, current.Load())
	assert.True(t, current.StoreIfNewer(table(t, 7)))
	assert.False(t, current.StoreIfNewer(table(t, 5)))
	assert.False(t, current.StoreIfNewer(table(t, 7)))
	assert.EqualValues(t, 7, current.Load().Version())
	assert.True(t, current.StoreIfNewer(table(t, 12)))
	assert.EqualValues(t, 12, current.Load().Version())
}

func TestInvalidConfigurationIsRefused(t *testing.T) {
	for name, bad := range map[string]*route.Route{
		"no host":    to("", "/x/", "s"),
		"no slash":   to("a.example", "/x", "s"),
		"no service": {Name: "r", Host: "a.example", Prefix: "/x/"},
	} {
		_, err := route.NewTable(1, []*route.Route{bad}, nil, nil, route.Limits{})
		var invalid *route.InvalidRouteError
		assert.ErrorAs(t, err, &invalid, name)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	split := &route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for range 10000 {
		counts[split.PickService()]++
	}
	assert.InDelta(t, 9000, counts["a"], 300)
	assert.InDelta(t, 1000, counts["b"], 300)
	assert.Zero(t, counts["c"])
}

func ExampleTable_Match() {
	table, err := route.NewTable(1, []*route.Route{
		{Name: "chat", Host: "desk.example", Prefix: "/chat/", Targets: []route.Target{{Service: "model", Weight: 1}}},
	}, nil, nil, route.Limits{})
	if err != nil {
		panic(err)
	}
	fmt.Println(table.Match("desk.example", "/chat/7").Name, table.Match("desk.example", "/other/") == nil)
	// Output: chat true
}
