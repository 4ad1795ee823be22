package admission_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/clock"
)

// harness submits calls to a gate one after another and records the order in
// which they are admitted.
type harness struct {
	t        *testing.T
	clk      *clock.Fake
	gate     *admission.Gate[admission.Order]
	admitted chan string
	refused  chan error
	releases chan func()
}

func newHarness(t *testing.T, order admission.Order, limits admission.Limits) *harness {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	return &harness{t: t, clk: clk, gate: admission.NewGate(order, limits, clk),
		admitted: make(chan string, 1000), refused: make(chan error, 1000), releases: make(chan func(), 1000)}
}

// submit sends a call to the gate and returns once it runs, waits or is refused.
func (l *harness) submit(name string, t admission.Ticket) {
	before := l.accepted()
	go func() {
		release, err := l.gate.Acquire(context.Background(), t)
		if err != nil {
			l.refused <- fmt.Errorf("%s: %w", name, err)
			return
		}
		l.admitted <- name
		l.releases <- release
	}()
	require.Eventually(l.t, func() bool { return l.accepted() > before || len(l.refused) > 0 }, time.Second, 50*time.Microsecond)
}

func (l *harness) accepted() int {
	running, waiting, _ := l.gate.Stats()
	return running + waiting + len(l.refused)
}

// releaseOne ends one running call and returns the name of the call admitted to
// its slot.
func (l *harness) releaseOne() string {
	(<-l.releases)()
	return l.nextAdmitted()
}

func (l *harness) nextAdmitted() string {
	select {
	case name := <-l.admitted:
		return name
	case <-time.After(time.Second):
		l.t.Fatal("no call was admitted within a second")
		return ""
	}
}

// TestUrgentCallPrecedesQueuedBurst guards against an urgent call, such as a
// loan-chair alert, waiting behind a burst, such as a renewal of the whole fleet.
// The burst of normal calls takes every slot available to it and fills the queue;
// then two urgent calls arrive. In order of arrival, as engines admit requests,
// they would wait or be refused. They take the reserved slot and displace the
// last queued call of the burst.
func TestUrgentCallPrecedesQueuedBurst(t *testing.T) {
	l := newHarness(t, admission.Arrival{}, admission.Limits{Running: 3, UrgentOnly: 1, Waiting: 5, Urgent: 2})
	for i := range 7 {
		l.submit(fmt.Sprintf("burst-%d", i), admission.Ticket{Urgency: 1})
	}
	require.Equal(t, "burst-0", l.nextAdmitted())
	require.Equal(t, "burst-1", l.nextAdmitted())
	l.submit("alert-0", admission.Ticket{Urgency: 2})
	require.Equal(t, "alert-0", l.nextAdmitted(), "the reserved slot is free for the first urgent call")
	l.submit("alert-1", admission.Ticket{Urgency: 2})
	err := <-l.refused
	require.ErrorContains(t, err, "burst-6", "the last queued call of the burst is displaced from the full queue")
	var ae *admission.Error
	require.True(t, errors.As(err, &ae))
	require.Equal(t, admission.RefusalDisplaced, ae.Refusal())
	require.Equal(t, "alert-1", l.releaseOne(), "the next free slot goes to the urgent call")
}

// TestNoCallStarves guards against unbounded waits, such as of a long dispute
// whose next turn is never admitted while short chats arrive. A call of a program
// that has used 250,000 tokens waits, and whenever a slot becomes free, a call of
// a new program has just arrived. An order by tokens used alone, without regard
// to the time waited, would pass over the first call forever.
func TestNoCallStarves(t *testing.T) {
	for _, order := range []admission.Order{admission.LeastAttained{PerToken: admission.DefaultPerToken, MaxShift: admission.DefaultMaxShift},
		admission.OldestProgram{MaxShift: admission.DefaultMaxShift}} {
		t.Run(fmt.Sprintf("%T", order), func(t *testing.T) {
			l := newHarness(t, order, admission.Limits{Running: 1, Waiting: 100, Urgent: 2})
			l.submit("running", admission.Ticket{})
			require.Equal(t, "running", l.nextAdmitted())
			l.submit("long", admission.Ticket{Attained: 250_000, Started: l.clk.Now()})
			const step = 100 * time.Millisecond
			for i := range 2 * int(admission.DefaultMaxShift/step) {
				l.clk.Advance(step)
				// New programs for one order, old programs for the other: each has
				// those that it prefers.
				l.submit(fmt.Sprint("other-", i), admission.Ticket{Started: l.clk.Now().Add(-time.Hour)})
				if l.releaseOne() == "long" {
					return
				}
			}
			t.Fatal("the call was passed over for twice the order's bound")
		})
	}
}

// TestOrdersSortByProgram checks that the orders sort the calls of a class by
// properties of their programs.
func TestOrdersSortByProgram(t *testing.T) {
	cases := []struct {
		order admission.Order
		want  []string
	}{
		{admission.Arrival{}, []string{"new", "old", "short"}},
		{admission.OldestProgram{MaxShift: time.Minute}, []string{"old", "short", "new"}},
		{admission.LeastAttained{PerToken: time.Millisecond, MaxShift: time.Minute}, []string{"short", "new", "old"}},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%T", c.order), func(t *testing.T) {
			l := newHarness(t, c.order, admission.Limits{Running: 1, Waiting: 10, Urgent: 2})
			now := l.clk.Now()
			l.submit("running", admission.Ticket{})
			require.Equal(t, "running", l.nextAdmitted())
			l.submit("new", admission.Ticket{Started: now, Attained: 500})
			l.submit("old", admission.Ticket{Started: now.Add(-20 * time.Second), Attained: 9000})
			l.submit("short", admission.Ticket{Started: now.Add(-time.Second), Attained: 10})
			require.Equal(t, c.want, []string{l.releaseOne(), l.releaseOne(), l.releaseOne()})
		})
	}
}

// TestCallBeyondDeadlineIsRefusedImmediately guards against a caller waiting
// until its deadline for a refusal. Calls take a second each and ten are queued;
// a call whose deadline is in two seconds arrives. It is refused immediately,
// with the time after which to retry.
func TestCallBeyondDeadlineIsRefusedImmediately(t *testing.T) {
	l := newHarness(t, admission.Arrival{}, admission.Limits{Running: 1, Waiting: 100, Urgent: 2})
	l.submit("running", admission.Ticket{})
	require.Equal(t, "running", l.nextAdmitted())
	for i := range 40 { // the mean time of a call settles near one second
		l.submit(fmt.Sprint("w", i), admission.Ticket{})
		l.clk.Advance(time.Second)
		l.releaseOne()
	}
	for i := range 10 {
		l.submit(fmt.Sprint("queued", i), admission.Ticket{})
	}
	l.submit("hopeless", admission.Ticket{Deadline: l.clk.Now().Add(2 * time.Second)})
	var ae *admission.Error
	require.ErrorAs(t, <-l.refused, &ae)
	require.Equal(t, admission.RefusalTooLate, ae.Refusal())
	require.InDelta(t, 10, ae.RetryAfter().Seconds(), 1)
	l.submit("patient", admission.Ticket{Deadline: l.clk.Now().Add(time.Minute)})
	require.Empty(t, l.refused)
}

// Guards against calls that are taken for short or long ones since they left their slot without using it.
func TestAbandonedSlotIsFreeAndNotMeasured(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	gate := admission.NewGate(admission.EarliestFinish{}, admission.Limits{Running: 1, Waiting: 1}, clk)
	_, err := gate.Acquire(context.Background(), admission.Ticket{})
	require.NoError(t, err)
	clk.Advance(time.Second)
	gate.Abandon()
	assert.Zero(t, gate.MeanServiceTime())
	release, err := gate.Acquire(context.Background(), admission.Ticket{})
	require.NoError(t, err)
	clk.Advance(time.Second)
	release()
	assert.Positive(t, gate.MeanServiceTime())
}
