package account

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against owners that count as lost although they have responded in between, and
// against records without bound.
func TestResponseOfOwnerEndsItsSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	var owners unresponsiveOwners
	owners.record([]string{"a.1", "b.1"}, []string{"a.1", "b.1"}, now)
	owners.record([]string{"a.2"}, nil, now.Add(time.Second))
	assert.True(t, owners.isLost("b.7", now.Add(lostTimeout)))
	assert.False(t, owners.isLost("a.1", now.Add(lostTimeout)))
	for n := range 2 * maxUnresponsive {
		account := fmt.Sprint("c", n, ".1")
		owners.record([]string{account}, []string{account}, now)
	}
	assert.LessOrEqual(t, len(owners.since), maxUnresponsive)
}
