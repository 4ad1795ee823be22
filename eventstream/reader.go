package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Event is one event of a stream.
type Event struct {
	// Raw holds the bytes of the event as received, including the empty line
	// that ends it.
	Raw []byte
	// ID is the value of the last id field, and "" if there is none.
	ID string
	// Data joins the values of the data fields by line feeds. HasData tells an
	// event with empty data from one without a data field.
	Data    []byte
	HasData bool
}

// ErrTruncated is returned when a stream ends within an event.
var ErrTruncated = errors.New("event stream ended within an event")

// TooLongError is returned when an event exceeds the maximum length.
type TooLongError struct {
	limit int
}

// Error returns the maximum length.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("event exceeds the maximum length of %d bytes", e.limit)
}

// maxEvent is the maximum length of an event in bytes: a thousand times what
// engines send.
const maxEvent = 1 << 20

// Reader splits a stream into events. Use NewReader.
type Reader struct {
	buffered *bufio.Reader
}

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReader(r)} }

// Next returns the next event. At the end of the stream it returns io.EOF, or
// ErrTruncated if the last event is incomplete. It returns a *TooLongError for
// an event of more than maxEvent bytes, and otherwise the error of the stream.
// No part of an incomplete event is returned.
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
		if endsEvent(raw) {
			return parse(raw), nil
		}
	}
}

// endsEvent reports whether raw, which ends in a line feed, ends in an empty
// line that follows at least one other line.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

// parse returns the event of the given bytes. Fields other than id and data are
// kept in Raw only.
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
