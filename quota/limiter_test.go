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

// byName returns the instance of a name.
func (f *fleet) byName(name string) *member {
	for _, m := range f.instances {
		if m.name == name {
			return m
		}
	}
	return nil
}

// settled returns a fleet whose instances all know each other, with the quota
// of x full at its home, and the instances in the order in which they are home
// of x.
func settled(t *testing.T) (*fleet, []*member) {
	f := newFleet(t, 2, 5)
	f.isProcessOnly = true
	f.limit("x", 20, 20)
	f.pass(5 * time.Second)
	var order []*member
	for _, name := range f.instances[0].Homes("x", true) {
		order = append(order, f.byName(name))
	}
	return f, order
}

// pass lets time pass while all that run notice it.
func (f *fleet) pass(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		f.clock.Advance(50 * time.Millisecond)
		f.beat()
	}
}

// take returns the error of a request at an instance.
func (f *fleet) take(m *member) error {
	m.learn()
	_, err := m.limiter.Take(context.Background(), "x", f.limits["x"], quota.Request{})
	return err
}

// Guards against requests that nobody answers for while several instances stop
// at once: the home hands its bucket to one that stops, too, and questions go
// back and forth between them.
func TestQuotaIsKnownWhileItsHomesStopTogether(t *testing.T) {
	f, order := settled(t)
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
	assert.LessOrEqual(t, granted, 37, "the bucket moved, and was not filled again")
}

// Guards against requests that are refused while a home's process is ended:
// its machine says so, and the next one need not wait to be sure.
func TestNextHomeStandsInForAnEndedProcessAtOnce(t *testing.T) {
	f, order := settled(t)
	require.NoError(t, f.take(order[2]))
	order[0].dead = true
	f.pass(quota.MostPatience + 150*time.Millisecond)
	for _, m := range order[1:] {
		err := f.take(m)
		var unsure *quota.UnsureError
		assert.NotErrorAs(t, err, &unsure, m.name)
	}
	f.pass(quota.MostPatience + time.Second)
	granted := 0
	for f.take(order[2]) == nil {
		granted++
	}
	assert.InDelta(t, 20, granted, 8, "the rate, from when it stood in")
}

// Guards against requests that nobody answers for since the processes of all that
// may be the home have ended at once, while others live.
func TestQuotaIsKnownThoughAllItsHomesHaveEnded(t *testing.T) {
	f, order := settled(t)
	f.isCalm = true
	require.NoError(t, f.take(order[0]))
	for _, m := range order {
		m.dead = true
	}
	for _, m := range f.instances {
		if !m.dead {
			var unsure *quota.UnsureError
			assert.NotErrorAs(t, f.take(m), &unsure, m.name)
		}
	}
}

// Guards against an instance that takes itself for cut off, and refuses all,
// since the processes of many others have ended.
func TestEndedProcessesDoNotMakeAnInstanceCutOff(t *testing.T) {
	f, order := settled(t)
	for _, m := range f.instances {
		m.dead = m != order[2]
	}
	for n := range 20 {
		f.pass(100 * time.Millisecond)
		err := f.take(order[2])
		var unsure *quota.UnsureError
		assert.NotErrorAs(t, err, &unsure, fmt.Sprint("after ", n))
	}
	require.NoError(t, f.take(order[2]))
}

// Guards against an instance that gives out quota while it is cut off.
func TestCutOffInstanceSaysThatItCannotKnow(t *testing.T) {
	f, order := settled(t)
	require.NoError(t, f.take(order[0]))
	order[0].cut = true
	f.pass(500 * time.Millisecond)
	var unsure *quota.UnsureError
	require.ErrorAs(t, f.take(order[0]), &unsure)
	order[0].cut = false
	f.pass(time.Second)
	var exhausted *quota.ExhaustedError
	require.ErrorAs(t, f.take(order[0]), &exhausted, "it begins with nothing: others may have stood in")
	f.pass(500 * time.Millisecond)
	require.NoError(t, f.take(order[0]))
}
