package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/eventstream"
)

func ids(events []eventstream.Event) (ids []string) {
	for _, event := range events {
		ids = append(ids, event.ID)
	}
	return ids
}

// Guards against a caller that leaves an answer which waits for the store,
// though there are events to keep it with.
func TestOutboxKeepsItsCaller(t *testing.T) {
	arrived := time.Unix(0, 0)
	at := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
	outbox := newOutbox(arrived, 2*time.Second)
	assert.Empty(t, outbox.takeOne(at(5000)), "there is none")
	for n := range 6 {
		outbox.add(eventstream.Event{ID: fmt.Sprint(n)})
	}
	assert.Empty(t, outbox.takeDue(at(999)))
	assert.Empty(t, outbox.takeOne(at(999)))
	assert.Equal(t, time.Millisecond, outbox.untilDue(at(999)))
	assert.Equal(t, []string{"0", "1", "2"}, ids(outbox.takeDue(at(1000))), "the stream goes on")
	assert.Empty(t, outbox.takeDue(at(1999)))
	for i, ms := range []int{2000, 3000, 4000} {
		assert.Equal(t, []string{fmt.Sprint(3 + i)}, ids(outbox.takeOne(at(ms))), "it waits for the store")
	}
	assert.True(t, outbox.isEmpty())
	assert.Empty(t, outbox.takeAll(at(5000)))
}

// Guards against a stream that stands still since each of its few events is held
// back as a spare one.
func TestOutboxGivesOneAtLeast(t *testing.T) {
	arrived := time.Unix(0, 0)
	outbox := newOutbox(arrived, 2*time.Second)
	outbox.add(eventstream.Event{ID: "1"})
	outbox.add(eventstream.Event{ID: "2"})
	assert.Equal(t, []string{"1"}, ids(outbox.takeDue(arrived.Add(time.Second))))
	assert.Equal(t, []string{"2"}, ids(outbox.takeAll(arrived.Add(time.Second))))
}
