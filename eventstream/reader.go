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

// TooLongError is returned when an event, its ID, or what comes without data, exceeds the
// maximum length.
type TooLongError struct {
	limit int
}

// Error returns the maximum length.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("event, its ID, or events without data, exceed the maximum length of %d bytes", e.limit)
}

// MaxEvent is the maximum length of an event in bytes: a thousand times what
// engines send.
const MaxEvent = 1 << 20

const (
	// maxID bounds the ID of an event, which a caller sends back in the head of a
	// request to resume the stream.
	maxID = 16 << 10
	// maxWithoutData bounds the bytes of events without data between two that have
	// some.
	maxWithoutData = 64 << 10
	// reserveStep is the memory of an event that is reserved at a time.
	reserveStep = 16 << 10
)

// Reader splits a stream into events. Use NewReader.
type Reader struct {
	buffered *bufio.Reader
	// reserve is called before the memory of an event grows; nil for no limit.
	reserve func(bytes int64) error
	// withoutData is the length of the events since the last one with data.
	withoutData int
}

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReader(r)} }

// NewMeteredReader returns a Reader of the stream r that calls reserve before an event takes
// more memory, by that number of bytes, and with the negative sum of these once the event is
// returned. Next returns the error of reserve, after which the event takes no more memory.
func NewMeteredReader(r io.Reader, reserve func(bytes int64) error) *Reader {
	reader := NewReader(r)
	reader.reserve = reserve
	return reader
}

// Next returns the next event. At the end of the stream it returns io.EOF, or
// ErrTruncated if the last event is incomplete. It returns a *TooLongError for
// an event of more than MaxEvent bytes or with an ID of more than maxID, or if more than
// maxWithoutData bytes come in events without data, and otherwise the error of the stream.
// No part of an incomplete event is returned.
func (reader *Reader) Next() (Event, error) {
	raw, err := reader.next()
	if err != nil {
		return Event{}, err
	}
	event := parse(raw)
	if len(event.ID) > maxID {
		return Event{}, &TooLongError{limit: maxID}
	}
	reader.withoutData += len(raw)
	if event.HasData {
		reader.withoutData = 0
	}
	if reader.withoutData > maxWithoutData {
		return Event{}, &TooLongError{limit: maxWithoutData}
	}
	return event, nil
}

// next returns the bytes of the next event.
func (reader *Reader) next() ([]byte, error) {
	var raw []byte
	var reserved int64
	defer func() { _ = reader.reserveMemory(-reserved) }() // never fails
	for {
		line, err := reader.buffered.ReadSlice('\n')
		if int64(len(raw)+len(line)) > reserved+reserveStep {
			if err := reader.reserveMemory(reserveStep); err != nil {
				return nil, err
			}
			reserved += reserveStep
		}
		raw = append(raw, line...)
		if len(raw) > MaxEvent {
			return nil, &TooLongError{limit: MaxEvent}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(raw) > 0:
			return nil, ErrTruncated
		case err != nil:
			return nil, err
		}
		if endsEvent(raw) {
			return raw, nil
		}
	}
}

// reserveMemory calls reserve.
func (reader *Reader) reserveMemory(bytes int64) error {
	if reader.reserve == nil || bytes == 0 {
		return nil
	}
	return reader.reserve(bytes)
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
