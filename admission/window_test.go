package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/clock"
)

var morning = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// turnTime and callTime are what a model turn and a plain call take at
// their endpoints.
const (
	turnTime = 450 * time.Millisecond
	callTime = 20 * time.Millisecond
)

// A burst of three times what the endpoints can do: 37 instances share 344
// slots. Each answer tells of a queue, one comes every 20 ms to this
// instance. Within two seconds the instance has no more under way than its
// share of the slots; when the queues are gone and its own requests wait,
// it is back at ten times that with 100 answers.
func TestWindowFollowsQueuesOfEndpoints(t *testing.T) {
	clk := clock.NewFake(morning)
	window := admission.NewWindow(clk)
	running := 60
	for range 100 {
		window.Told(12, 8, running, 20, turnTime)
		running = min(running, window.Size())
		clk.Advance(20 * time.Millisecond)
	}
	assert.LessOrEqual(t, window.Size(), 9)
	small := window.Size()
	assert.GreaterOrEqual(t, small, 2)
	for range 100 {
		window.Told(0, 8, window.Size(), 20, turnTime)
	}
	assert.GreaterOrEqual(t, window.Size(), 10*small)
}

// Symptom: callers are refused while a third of the slots are free. Events:
// 37 instances spread short calls over eleven endpoints with six slots, by
// news that is older than a call lasts; at most endpoints some calls queue
// while others have room. Cause: any queue shrank the window. Four calls
// waiting at six slots are 13 ms of wait.
func TestQueuesOfShortCallsLeaveWindowAlone(t *testing.T) {
	clk := clock.NewFake(morning)
	window := admission.NewWindow(clk)
	before := window.Size()
	for n := range 400 {
		window.Told(n%9, 6, 4, 0, callTime)
		clk.Advance(20 * time.Millisecond)
	}
	assert.Equal(t, before, window.Size())
}

// Symptom: an instance serves one request at a time for seconds after a
// moment of overload. Events: twenty answers of one moment all tell of the
// same queue. Cause: each of them shrank the window.
func TestOneMomentShrinksWindowOnce(t *testing.T) {
	window := admission.NewWindow(clock.NewFake(morning))
	for range 20 {
		window.Told(12, 8, 40, 0, turnTime)
	}
	assert.Equal(t, 34, window.Size())
}

// Symptom: in a burst of twice what the endpoints can do, nearly all
// programs end late, though half of them could be in time. Events: turns go
// in order of arrival; each program waits a little at each of its turns, and
// the wait grows until all are late, and late ones hold up those that are
// not. Cause: which program a turn belongs to, and whether it can still be
// in time, was not looked at.
func TestProgramsInTimeGoFirst(t *testing.T) {
	ticket := func(urgency int, arrived, finish time.Duration, isNew bool) *admission.Ticket {
		return &admission.Ticket{Urgency: urgency, Arrived: morning.Add(arrived), Finish: morning.Add(finish), New: isNew}
	}
	order := admission.InTime{}
	want := []*admission.Ticket{
		ticket(0, 30*time.Millisecond, 500*time.Millisecond, false), // about to end
		ticket(0, 0, 2*time.Second, false),
		ticket(0, 20*time.Millisecond, 4*time.Second, true), // the newest
		ticket(0, 10*time.Millisecond, 4*time.Second, true),
		ticket(-1, 0, time.Second, false), // less urgent
		ticket(-1, 0, time.Second, true),
		ticket(0, time.Second, time.Second, false), // late
		ticket(0, 1100*time.Millisecond, time.Second, true),
		ticket(-1, time.Second, 0, false),
	}
	for i := range len(want) - 1 {
		a, b := want[i], want[i+1]
		classA, classB := order.Class(a.Urgency, a), order.Class(b.Urgency, b)
		assert.True(t, classA > classB || classA == classB && order.Key(a) < order.Key(b), "%d goes before %d", i, i+1)
	}
}
