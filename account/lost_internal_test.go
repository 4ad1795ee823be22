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
	assert.LessOrEqual(t, len(owners.silent), maxUnresponsive)
	now = now.Add(silenceTTL)
	owners.record([]string{"late.1"}, []string{"late.1"}, now)
	assert.True(t, owners.isLost("late.1", now.Add(lostTimeout)), "owners that are gone for good make room")
}

// Guards against repayments of expired loans that are sent for good to a home that does not
// come back.
func TestExpiredRepaymentsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	loans := newLoans()
	loans.enqueue("a", Repayment{Loan: 1}, now)
	loans.enqueue("a", Repayment{Loan: 2}, now.Add(time.Second))
	assert.Equal(t, 1, loans.putBack("a", loans.takePending("a"), now.Add(loanLifetime)))
	assert.Equal(t, 1, loans.pendingCount)
	assert.Equal(t, 1, loans.putBack("a", loans.takePending("a"), now.Add(2*loanLifetime)))
	assert.False(t, loans.owes("a"))
}
