package eventstream_test

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/eventstream"
)

// readAll returns all events of r and the error that ended it.
func readAll(r io.Reader) ([]eventstream.Event, error) {
	reader := eventstream.NewReader(r)
	var events []eventstream.Event
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestEventsPreserveBytes(t *testing.T) {
	text := "id: 1\ndata: one\n\nx-note: 4\nid:2\r\ndata:two\r\ndata: more\r\n\r\n: comment\n\ndata\n\n"
	events, err := readAll(iotest.OneByteReader(strings.NewReader(text)))
	require.ErrorIs(t, err, io.EOF)
	require.Len(t, events, 4)
	var raw []byte
	for _, event := range events {
		raw = append(raw, event.Raw...)
	}
	assert.Equal(t, text, string(raw))
	assert.Equal(t, "1", events[0].ID)
	assert.Equal(t, "one", string(events[0].Data))
	assert.Equal(t, "2", events[1].ID)
	assert.Equal(t, "two\nmore", string(events[1].Data))
	assert.False(t, events[2].HasData)
	assert.True(t, events[3].HasData)
	assert.Empty(t, events[3].Data)
}

// Guards against a stream that repeats the start of an event when it resumes at
// another engine: the first engine stopped within an event, and the bytes
// received up to there had been forwarded.
func TestIncompleteEventNotReturned(t *testing.T) {
	events, err := readAll(strings.NewReader("id: 1\ndata: one\n\nid: 2\ndata: tw"))
	require.ErrorIs(t, err, eventstream.ErrTruncated)
	assert.Len(t, events, 1)
	broken := errors.New("reset")
	events, err = readAll(io.MultiReader(strings.NewReader("id: 1\ndata: one\n\nid: 2\n"), iotest.ErrReader(broken)))
	require.ErrorIs(t, err, broken)
	assert.Len(t, events, 1)
}

func TestOverlongEventRejected(t *testing.T) {
	_, err := readAll(strings.NewReader(strings.Repeat("x", 3<<20)))
	var tooLong *eventstream.TooLongError
	assert.ErrorAs(t, err, &tooLong)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: one\n\n"))
	f.Add([]byte("\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := readAll(bytes.NewReader(data))
		require.Error(t, err)
		var raw []byte
		for _, event := range events {
			raw = append(raw, event.Raw...)
		}
		require.True(t, bytes.HasPrefix(data, raw), "the events are the bytes of the stream, unchanged and in order")
	})
}

// Guards against events without data, such as comments, that come without end.
func TestEventsWithoutDataAreBounded(t *testing.T) {
	comments, event := strings.Repeat(": c\n\n", 10<<10), "data: x\n\n"
	events, err := readAll(strings.NewReader(comments + event + comments + event))
	require.ErrorIs(t, err, io.EOF)
	assert.Len(t, events, 20<<10+2)
	_, err = readAll(strings.NewReader(comments + comments))
	var tooLong *eventstream.TooLongError
	assert.ErrorAs(t, err, &tooLong)
}

// Guards against events that take memory which is not accounted for, or not released.
func TestMemoryOfEventsIsReserved(t *testing.T) {
	long, short := "data: "+strings.Repeat("x", 300<<10)+"\n\n", "data: x\n\n"
	var reserved, peak int64
	reader := eventstream.NewMeteredReader(strings.NewReader(long+short), func(bytes int64) error {
		reserved += bytes
		peak = max(peak, reserved)
		return nil
	})
	for range 2 {
		_, err := reader.Next()
		require.NoError(t, err)
		assert.Zero(t, reserved)
	}
	assert.Greater(t, peak, int64(2*280<<10), "its parts, and the event")
	full := errors.New("full")
	reader = eventstream.NewMeteredReader(strings.NewReader(long), func(bytes int64) error {
		reserved += bytes
		if reserved > 100<<10 {
			reserved -= bytes
			return full
		}
		return nil
	})
	_, err := reader.Next()
	require.ErrorIs(t, err, full)
	assert.Zero(t, reserved)
}

// Guards against long events that are changed, joined or split where their parts end.
func TestLongEventsPreserveBytes(t *testing.T) {
	for _, around := range []int{4 << 10, 16 << 10, 32 << 10} {
		for length := around - 12; length <= around+12; length++ {
			for _, end := range []string{"\n", "\r\n"} {
				text := "data: " + strings.Repeat("x", length-len("data: ")-len(end)) + end + end
				more := "id: 1" + end + text
				events, err := readAll(strings.NewReader(text + more + text))
				require.ErrorIs(t, err, io.EOF)
				require.Len(t, events, 3)
				for n, want := range []string{text, more, text} {
					require.Equal(t, want, string(events[n].Raw))
					require.Len(t, events[n].Data, length-len("data: ")-len(end))
				}
			}
		}
	}
}

// Guards against a long event that takes many times its length, by a buffer that grows and by copies of its fields.
func TestMemoryOfLongEvent(t *testing.T) {
	line := "data: " + strings.Repeat("x", 500<<10) + "\n"
	for lines, text := range []string{line + line[6:] + "\n", line + line + "\n"} {
		reader := eventstream.NewReader(strings.NewReader(text))
		reader.DiscardData()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		event, err := reader.Next()
		runtime.ReadMemStats(&after)
		require.NoError(t, err)
		assert.Equal(t, len(text), len(event.Raw))
		assert.True(t, event.HasData)
		assert.Nil(t, event.Data)
		assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(5*len(text)/2), "%d more lines of data", lines)
	}
}

// Guards against streams that each keep an ID of the length of an event.
func TestOverlongIDRejected(t *testing.T) {
	for length, isRead := range map[int]bool{16 << 10: true, 16<<10 + 1: false} {
		events, err := readAll(strings.NewReader("id: " + strings.Repeat("x", length) + "\ndata: x\n\n"))
		var tooLong *eventstream.TooLongError
		assert.Equal(t, !isRead, errors.As(err, &tooLong), "%d bytes: %v", length, err)
		assert.Equal(t, isRead, len(events) == 1)
	}
}
