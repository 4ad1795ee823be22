package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/retry"
)

// TestBudgetBoundsRetries: retries stay a share of the calls.
//
// Symptom: an overloaded system gets three times its load from itself.
// Sequence: 1,000 calls, each failing and asking to be tried twice more.
// Cause: a bound per call, but none for all calls together.
func TestBudgetBoundsRetries(t *testing.T) {
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

// TestBackoffGrowsAndStaysBounded checks the bounds of the pauses.
func TestBackoffGrowsAndStaysBounded(t *testing.T) {
	b := retry.Backoff{First: 10 * time.Millisecond, Most: 100 * time.Millisecond}
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
