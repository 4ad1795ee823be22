package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Event is one event of a stream.
type Event struct {
	// Raw holds the bytes of the event as received, including the empty line
	// that ends it.
	Raw []byte
	// ID is the value of the last id field, and "" if there is none.
	ID string
	// Data joins the values of the data fields by line feeds, and may be a part of Raw.
	// HasData tells an event with empty data from one without a data field.
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
	// discardsData is set if events are returned without Data.
	discardsData bool
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

// DiscardData makes Next return events without Data, which takes memory beside Raw. HasData is
// set all the same.
func (reader *Reader) DiscardData() { reader.discardsData = true }

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
	event := parse(raw, reader.discardsData)
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

// parts holds buffers of reserveStep bytes, so that those of long events do not wait for a
// garbage collection.
var parts = sync.Pool{New: func() any { return new([reserveStep]byte) }}

// longEvent is the part of a long event that was read so far. It is read in parts, since a
// buffer that grows takes several times its length.
type longEvent struct {
	parts []*[reserveStep]byte
	// used is the length of the last part, and length that of all.
	used, length int
}

// add appends bytes.
func (event *longEvent) add(data []byte) {
	event.length += len(data)
	for len(data) > 0 {
		if len(event.parts) == 0 || event.used == reserveStep {
			event.parts, event.used = append(event.parts, parts.Get().(*[reserveStep]byte)), 0
		}
		n := copy(event.parts[len(event.parts)-1][event.used:], data)
		event.used, data = event.used+n, data[n:]
	}
}

// appendTo appends all bytes to raw.
func (event *longEvent) appendTo(raw []byte) []byte {
	for remaining := event.parts; len(remaining) > 0; remaining = remaining[1:] {
		if len(remaining) == 1 {
			return append(raw, remaining[0][:event.used]...)
		}
		raw = append(raw, remaining[0][:]...)
	}
	return raw
}

// release lets other events use the parts.
func (event *longEvent) release() {
	for _, part := range event.parts {
		parts.Put(part)
	}
}

// next returns the bytes of the next event.
func (reader *Reader) next() ([]byte, error) {
	var raw []byte // up to reserveStep bytes, the rest of the event follows in long
	var long longEvent
	endsLine := false
	var reserved int64
	defer func() {
		long.release()
		_ = reader.reserveMemory(-reserved) // never fails
	}()
	for {
		line, err := reader.buffered.ReadSlice('\n')
		length := len(raw) + long.length + len(line)
		if int64(length) > reserved+reserveStep {
			if err := reader.reserveMemory(reserveStep); err != nil {
				return nil, err
			}
			reserved += reserveStep
		}
		if long.length == 0 && len(raw)+len(line) <= reserveStep {
			raw = append(raw, line...)
		} else {
			long.add(line)
		}
		if length > MaxEvent {
			return nil, &TooLongError{limit: MaxEvent}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			endsLine = false
			continue
		case err == io.EOF && length > 0:
			return nil, ErrTruncated
		case err != nil:
			return nil, err
		case endsLine && isEmptyLine(line) && long.length == 0:
			return raw, nil
		case endsLine && isEmptyLine(line):
			if err := reader.reserveMemory(int64(length)); err != nil {
				return nil, err
			}
			reserved += int64(length)
			return long.appendTo(append(make([]byte, 0, length), raw...)), nil
		}
		endsLine = true
	}
}

// reserveMemory calls reserve.
func (reader *Reader) reserveMemory(bytes int64) error {
	if reader.reserve == nil || bytes == 0 {
		return nil
	}
	return reader.reserve(bytes)
}

// isEmptyLine reports whether a line has nothing but its end.
func isEmptyLine(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }

// parse returns the event of the given bytes, without Data if discardsData is set. Fields
// other than id and data are kept in Raw only.
func parse(raw []byte, discardsData bool) Event {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID = string(value)
		case "data":
			switch {
			case discardsData:
			case !event.HasData:
				event.Data = value[:len(value):len(value)]
			default:
				event.Data = append(append(slices.Grow(event.Data, len(raw)-len(event.Data)), '\n'), value...)
			}
			event.HasData = true
		}
	}
	return event
}
