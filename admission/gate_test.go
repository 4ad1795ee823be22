package admission_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/clock"
)

// line is a gate under test: calls enter it one after another, and the
// order in which they are admitted is recorded.
type line struct {
	t        *testing.T
	clk      *clock.Fake
	gate     *admission.Gate[admission.Order]
	admitted chan string
	refused  chan error
	releases chan func()
}

func newLine(t *testing.T, order admission.Order, limits admission.Limits) *line {
	clk := clock.NewFake(time.Unix(1_000_000_000, 0))
	return &line{t: t, clk: clk, gate: admission.NewGate(order, limits, clk),
		admitted: make(chan string, 1000), refused: make(chan error, 1000), releases: make(chan func(), 1000)}
}

// enter sends a call to the gate and returns once it runs, waits or is
// refused.
func (l *line) enter(name string, t admission.Ticket) {
	before := l.total()
	go func() {
		release, err := l.gate.Acquire(context.Background(), t)
		if err != nil {
			l.refused <- fmt.Errorf("%s: %w", name, err)
			return
		}
		l.admitted <- name
		l.releases <- release
	}()
	require.Eventually(l.t, func() bool { return l.total() > before || len(l.refused) > 0 }, time.Second, 50*time.Microsecond)
}

func (l *line) total() int {
	running, waiting, _ := l.gate.Stats()
	return running + waiting + len(l.refused)
}

// next ends one running call and returns the name of the one admitted in
// its place.
func (l *line) next() string {
	(<-l.releases)()
	return l.wait()
}

func (l *line) wait() string {
	select {
	case name := <-l.admitted:
		return name
	case <-time.After(time.Second):
		l.t.Fatal("nobody was admitted")
		return ""
	}
}

// TestUrgentPassesBurst: an urgent call goes before a burst that came
// first, takes the place kept for it, and is not refused by a full queue.
//
// Symptom: a loan-chair alert waits behind a fleet-wide renewal.
// Sequence: a burst of normal calls takes every place open to it and fills
// the queue; two urgent calls arrive.
// Cause: first come, first served, as the engines do it.
func TestUrgentPassesBurst(t *testing.T) {
	l := newLine(t, admission.Arrival{}, admission.Limits{Running: 3, UrgentOnly: 1, Waiting: 5, Urgent: 2})
	for i := range 7 {
		l.enter(fmt.Sprintf("burst-%d", i), admission.Ticket{Urgency: 1})
	}
	require.Equal(t, "burst-0", l.wait())
	require.Equal(t, "burst-1", l.wait())
	l.enter("alert-0", admission.Ticket{Urgency: 2})
	require.Equal(t, "alert-0", l.wait(), "the place kept for urgent calls is taken at once")
	l.enter("alert-1", admission.Ticket{Urgency: 2})
	err := <-l.refused
	require.ErrorContains(t, err, "burst-6", "the queue is full: the last of the burst makes room")
	var ae *admission.Error
	require.True(t, errors.As(err, &ae))
	require.Equal(t, admission.RefusalDisplaced, ae.Refusal())
	require.Equal(t, "alert-1", l.next(), "the next place goes to the alert")
}

// TestNoCallStarves: a program at a disadvantage is not passed for ever.
//
// Symptom: a long dispute never gets its next turn while short chats keep
// coming.
// Sequence: a call of a program that has had 250,000 tokens waits; each
// time a place frees, a call of a fresh program has just arrived.
// Cause: an order by service alone, without regard to the time waited.
func TestNoCallStarves(t *testing.T) {
	for _, order := range []admission.Order{admission.LeastAttained{PerToken: admission.DefaultPerToken, Most: admission.DefaultMost},
		admission.OldestProgram{Most: admission.DefaultMost}} {
		t.Run(fmt.Sprintf("%T", order), func(t *testing.T) {
			l := newLine(t, order, admission.Limits{Running: 1, Waiting: 100, Urgent: 2})
			l.enter("running", admission.Ticket{})
			require.Equal(t, "running", l.wait())
			l.enter("long", admission.Ticket{Attained: 250_000, Started: l.clk.Now()})
			const step = 100 * time.Millisecond
			for i := range 2 * int(admission.DefaultMost/step) {
				l.clk.Advance(step)
				// Fresh programs for the one order, old ones for the other:
				// whatever it prefers.
				l.enter(fmt.Sprint("other-", i), admission.Ticket{Started: l.clk.Now().Add(-time.Hour)})
				if l.next() == "long" {
					return
				}
			}
			t.Fatal("the call was passed for twice the order's bound")
		})
	}
}

// TestOrdersPreferPrograms: within a class, the orders look at the program
// and not at the call.
func TestOrdersPreferPrograms(t *testing.T) {
	cases := []struct {
		order admission.Order
		want  []string
	}{
		{admission.Arrival{}, []string{"new", "old", "short"}},
		{admission.OldestProgram{Most: time.Minute}, []string{"old", "short", "new"}},
		{admission.LeastAttained{PerToken: time.Millisecond, Most: time.Minute}, []string{"short", "new", "old"}},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%T", c.order), func(t *testing.T) {
			l := newLine(t, c.order, admission.Limits{Running: 1, Waiting: 10, Urgent: 2})
			now := l.clk.Now()
			l.enter("running", admission.Ticket{})
			require.Equal(t, "running", l.wait())
			l.enter("new", admission.Ticket{Started: now, Attained: 500})
			l.enter("old", admission.Ticket{Started: now.Add(-20 * time.Second), Attained: 9000})
			l.enter("short", admission.Ticket{Started: now.Add(-time.Second), Attained: 10})
			require.Equal(t, c.want, []string{l.next(), l.next(), l.next()})
		})
	}
}

// TestHopelessCallRefusedAtOnce: a call that would only be admitted after
// its deadline is told so at once, with when to come back.
//
// Symptom: a caller waits to its deadline for a refusal.
// Sequence: calls take a second each; ten wait; a call with two seconds
// left arrives.
// Cause: queueing without looking at the queue.
func TestHopelessCallRefusedAtOnce(t *testing.T) {
	l := newLine(t, admission.Arrival{}, admission.Limits{Running: 1, Waiting: 100, Urgent: 2})
	l.enter("running", admission.Ticket{})
	require.Equal(t, "running", l.wait())
	for i := range 40 { // the mean time of a call settles near one second
		l.enter(fmt.Sprint("w", i), admission.Ticket{})
		l.clk.Advance(time.Second)
		l.next()
	}
	for i := range 10 {
		l.enter(fmt.Sprint("queued", i), admission.Ticket{})
	}
	l.enter("hopeless", admission.Ticket{Deadline: l.clk.Now().Add(2 * time.Second)})
	var ae *admission.Error
	require.ErrorAs(t, <-l.refused, &ae)
	require.Equal(t, admission.RefusalTooLate, ae.Refusal())
	require.InDelta(t, 10, ae.RetryAfter().Seconds(), 1)
	l.enter("patient", admission.Ticket{Deadline: l.clk.Now().Add(time.Minute)})
	require.Empty(t, l.refused)
}
