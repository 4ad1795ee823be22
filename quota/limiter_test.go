package quota_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/quota"
)

// byName returns the instance with the name, or nil if there is none.
func (f *fleet) byName(name string) *member {
	for _, m := range f.instances {
		if m.name == name {
			return m
		}
	}
	return nil
}

// settledFleet returns a fleet whose instances all have the same membership,
// with the quota of x full at its home, and the candidates for the home of x in
// order of preference.
func settledFleet(t *testing.T) (*fleet, []*member) {
	f := newFleet(t, 2, 5)
	f.hostResponds = true
	f.limit("x", 20, 20)
	f.advance(5 * time.Second)
	var order []*member
	for _, name := range f.instances[0].Homes("x", true) {
		order = append(order, f.byName(name))
	}
	return f, order
}

// advance lets time pass in steps of 50 ms with heartbeats of all running
// instances.
func (f *fleet) advance(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		f.clock.Advance(50 * time.Millisecond)
		f.heartbeat()
	}
}

// take sends a request for the quota of x to an instance and returns its error.
func (f *fleet) take(m *member) error {
	m.applyNews()
	_, err := m.limiter.Take(context.Background(), "x", f.limits["x"], quota.Request{})
	return err
}

// Guards against requests without a decision while several instances stop at
// once: the home transfers its bucket to another stopping instance, and
// requests are forwarded back and forth between them.
func TestQuotaIsAvailableWhileHomesStopTogether(t *testing.T) {
	f, order := settledFleet(t)
	require.NoError(t, f.take(order[2]))
	for _, m := range order[:2] {
		m.limiter.Stop(context.Background())
		m.stopping = true
	}
	for n := range 10 {
		for _, m := range f.instances {
			if !m.stopping {
				require.NoError(t, f.take(m), "request %d at %s", n, m.name)
			}
		}
	}
	granted := 30
	for f.take(order[2]) == nil {
		granted++
	}
	assert.LessOrEqual(t, granted, 37, "the bucket was transferred, and not refilled")
}

// Guards against requests rejected after the process of a home has ended: its
// machine reports this, so that the next home need not wait for confirmation.
func TestNextHomeReplacesTerminatedProcessAtOnce(t *testing.T) {
	f, order := settledFleet(t)
	require.NoError(t, f.take(order[2]))
	order[0].crashed = true
	f.advance(quota.MaxCreditWait + 150*time.Millisecond)
	for _, m := range order[1:] {
		err := f.take(m)
		var unknown *quota.BalanceUnknownError
		assert.NotErrorAs(t, err, &unknown, m.name)
	}
	f.advance(quota.MaxCreditWait + time.Second)
	granted := 0
	for f.take(order[2]) == nil {
		granted++
	}
	assert.InDelta(t, 20, granted, 8, "the refill since the takeover")
}

// Guards against requests without a decision after the processes of all
// candidates have ended at once, while other instances run.
func TestQuotaIsAvailableAfterAllCandidatesTerminated(t *testing.T) {
	f, order := settledFleet(t)
	f.isReliable = true
	require.NoError(t, f.take(order[0]))
	for _, m := range order {
		m.crashed = true
	}
	for _, m := range f.instances {
		if !m.crashed {
			var unknown *quota.BalanceUnknownError
			assert.NotErrorAs(t, f.take(m), &unknown, m.name)
		}
	}
}

// Guards against an instance that takes itself for partitioned, and rejects all
// requests, because the processes of many other instances have ended.
func TestTerminatedProcessesDoNotIsolateInstance(t *testing.T) {
	f, order := settledFleet(t)
	for _, m := range f.instances {
		m.crashed = m != order[2]
	}
	for n := range 20 {
		f.advance(100 * time.Millisecond)
		err := f.take(order[2])
		var unknown *quota.BalanceUnknownError
		assert.NotErrorAs(t, err, &unknown, fmt.Sprint("after ", n))
	}
	require.NoError(t, f.take(order[2]))
}

// Guards against an instance that grants quota while it is partitioned.
func TestPartitionedInstanceReportsBalanceUnknown(t *testing.T) {
	f, order := settledFleet(t)
	require.NoError(t, f.take(order[0]))
	order[0].partitioned = true
	f.advance(500 * time.Millisecond)
	var unknown *quota.BalanceUnknownError
	require.ErrorAs(t, f.take(order[0]), &unknown)
	order[0].partitioned = false
	f.advance(time.Second)
	var exhausted *quota.ExhaustedError
	require.ErrorAs(t, f.take(order[0]), &exhausted, "it starts empty: a fallback home may have granted its credit")
	f.advance(500 * time.Millisecond)
	require.NoError(t, f.take(order[0]))
}
