package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/retry"
)

// TestBudgetLimitsRetriesToShareOfCalls guards against an overloaded system that
// triples its own load. 1,000 calls fail, and each requests two retries. A limit
// per call alone does not bound the retries of all calls together.
func TestBudgetLimitsRetriesToShareOfCalls(t *testing.T) {
	b := retry.NewBudget(0.1, 5)
	retries := 0
	for range 1000 {
		b.Call()
		for range 2 {
			if b.Retry() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 105)
	require.GreaterOrEqual(t, retries, 95)
}

// TestBackoffIsBounded checks the bounds of the delays.
func TestBackoffIsBounded(t *testing.T) {
	b := retry.Backoff{Initial: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	bound := 10 * time.Millisecond
	for range 100 {
		require.LessOrEqual(t, b.Next(), bound)
		bound = min(2*bound, 100*time.Millisecond)
	}
}

func ExampleBudget() {
	b := retry.NewBudget(0.5, 1)
	fmt.Println(b.Retry(), b.Retry())
	b.Call()
	b.Call()
	fmt.Println(b.Retry())
	// Output:
	// true false
	// true
}
