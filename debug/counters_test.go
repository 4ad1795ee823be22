package debug_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/debug"
)

func TestCountersByLabel(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	counters := debug.NewCounters(scope, "calls", "op", "table")
	counters.Inc(1, "read", "turns")
	counters.Inc(2, "read", "turns")
	counters.Inc(5, "commit", "turns")
	values := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		values[counter.Tags()["op"]+" "+counter.Tags()["table"]] = counter.Value()
	}
	assert.Equal(t, map[string]int64{"read turns": 3, "commit turns": 5}, values)
}
