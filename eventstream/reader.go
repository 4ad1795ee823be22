package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Event is one event as it was sent.
type Event struct {
	// Raw is the event with its closing empty line.
	Raw []byte
	// ID is the value of its id field, empty if it has none.
	ID string
	// Data is its data, lines joined by a line feed; HasData tells an empty
	// one from none.
	Data    []byte
	HasData bool
}

// ErrTruncated is a stream that ended in the middle of an event.
var ErrTruncated = errors.New("event stream ended in the middle of an event")

// TooLongError is an event longer than the reader takes.
type TooLongError struct {
	limit int
}

// Error tells the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("event longer than %d bytes", e.limit)
}

// maxEvent bounds one event, in bytes: a thousand times what engines send.
const maxEvent = 1 << 20

// Reader splits a stream into events.
type Reader struct {
	buffered *bufio.Reader
}

// NewReader returns a reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReader(r)} }

// Next returns the next event. At the end of the stream it returns io.EOF,
// or ErrTruncated if an event was not ended; otherwise the error of the
// stream, or a *TooLongError. Nothing of an unfinished event is returned.
func (reader *Reader) Next() (Event, error) {
	var raw []byte
	for {
		line, err := reader.buffered.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > maxEvent {
			return Event{}, &TooLongError{limit: maxEvent}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(raw) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		}
		if ended(raw) {
			return parse(raw), nil
		}
	}
}

// ended reports whether raw, which ends in a line feed, ends in an empty
// line after at least one other.
func ended(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID = string(value)
		case "data":
			if event.HasData {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, value...)
			event.HasData = true
		}
	}
	return event
}
