package gateway

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/eventstream"
)

// ids returns the IDs of events.
func ids(events []eventstream.Event) (ids []string) {
	for _, event := range events {
		ids = append(ids, event.ID)
	}
	return ids
}

// Guards against a caller that disconnects while its response waits for the
// store, although held-back events could keep it connected.
func TestEventBufferPacesEvents(t *testing.T) {
	arrived := time.Unix(0, 0)
	at := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
	buffer := newEventBuffer(arrived, 2*time.Second)
	assert.Empty(t, buffer.takeOne(at(5000)), "the buffer is empty")
	for n := range 6 {
		buffer.add(eventstream.Event{ID: fmt.Sprint(n)})
	}
	assert.Empty(t, buffer.takeDue(at(999)))
	assert.Empty(t, buffer.takeOne(at(999)))
	assert.Equal(t, time.Millisecond, buffer.untilDue(at(999)))
	assert.Equal(t, []string{"0", "1", "2"}, ids(buffer.takeDue(at(1000))), "the stream continues")
	assert.Empty(t, buffer.takeDue(at(1999)))
	for i, ms := range []int{2000, 3000, 4000} {
		assert.Equal(t, []string{fmt.Sprint(3 + i)}, ids(buffer.takeOne(at(ms))), "the response waits for the store")
	}
	assert.True(t, buffer.isEmpty())
	assert.Empty(t, buffer.takeAll(at(5000)))
}

// Guards against a stream of few events that stalls because all of them are
// held back as keep-alive events.
func TestEventBufferReturnsAtLeastOneEvent(t *testing.T) {
	arrived := time.Unix(0, 0)
	buffer := newEventBuffer(arrived, 2*time.Second)
	buffer.add(eventstream.Event{ID: "1"})
	buffer.add(eventstream.Event{ID: "2"})
	assert.Equal(t, []string{"1"}, ids(buffer.takeDue(arrived.Add(time.Second))))
	assert.Equal(t, []string{"2"}, ids(buffer.takeAll(arrived.Add(time.Second))))
}

// Guards against events that stay in memory after they were sent, while the stream waits for the next one.
func TestTakenEventsAreReleased(t *testing.T) {
	for _, remaining := range []int{0, 1} {
		buffer := newEventBuffer(time.Unix(0, 0), time.Second)
		raw, data := make([]byte, 1<<20), make([]byte, 1<<20)
		taken, dropped := weak.Make(&raw[0]), weak.Make(&data[0])
		buffer.add(eventstream.Event{Raw: raw, Data: data})
		raw, data = nil, nil
		runtime.GC()
		assert.NotNil(t, taken.Value())
		assert.Nil(t, dropped.Value())
		for range remaining {
			buffer.add(eventstream.Event{ID: "1"})
		}
		assert.Len(t, buffer.take(1, time.Unix(0, 0)), 1)
		runtime.GC()
		assert.Nil(t, taken.Value(), "%d remain", remaining)
		assert.Len(t, buffer.takeAll(time.Unix(0, 0)), remaining)
	}
}
