package history

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/codec"
)

// Turn is one turn of a conversation, as kept.
type Turn struct {
	// ID is the request that made the turn.
	ID string
	// Organisation is the one whose caller made the turn; empty for none.
	Organisation string
	// Ancestors are the turns before it, oldest first.
	Ancestors []string
	// Input is what the request carried, Events the data of each event of
	// the answer.
	Input  []byte
	Events [][]byte
}

// Size returns about how much memory the turn holds, in bytes.
func (turn *Turn) Size() int {
	size := len(turn.Input) + len(turn.ID) + len(turn.Organisation)
	for _, event := range turn.Events {
		size += len(event)
	}
	for _, ancestor := range turn.Ancestors {
		size += len(ancestor)
	}
	return size
}

// Chain returns the IDs of a turn that continues this one: its ancestors
// and itself.
func (turn *Turn) Chain() []string {
	chain := make([]string, 0, len(turn.Ancestors)+1)
	chain = append(chain, turn.Ancestors...)
	return append(chain, turn.ID)
}

// Prompt returns what an engine is sent for input after the turns of chain,
// oldest first: for each its input, then the data of each event and a line
// feed; then input.
func Prompt(chain []*Turn, input []byte) []byte {
	size := len(input)
	for _, turn := range chain {
		size += turn.Size() + len(turn.Events)
	}
	prompt := make([]byte, 0, size)
	for _, turn := range chain {
		prompt = append(prompt, turn.Input...)
		for _, event := range turn.Events {
			prompt = append(prompt, event...)
			prompt = append(prompt, '\n')
		}
	}
	return append(prompt, input...)
}

// record is the encoded form of a Turn; its ID is the row's name.
type record struct {
	Organisation string   `cbor:"o,omitempty"`
	Ancestors    []string `cbor:"a"`
	Input        []byte   `cbor:"i"`
	Events       [][]byte `cbor:"e"`
}

// partHeader is the start of each row of a turn, in bytes: the row's number
// and the last one's.
const partHeader = 2

// maxParts is the most rows that one turn is split into: what partHeader
// can count, far above the body limit of any deployment.
const maxParts = 255

// maxPlain bounds a turn before it is compressed, in bytes: four times the
// largest input taken where a configuration names no limit. A row of 64 KB can
// inflate to 64 MB, more than half of the memory of a small instance.
const maxPlain = 16 << 20

// TooLargeError is a turn that is too large to be kept, or read.
type TooLargeError struct {
	id string
	// what is too large, size how large it is at least.
	what string
	size int
}

// Error tells what is too large, and the size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("turn %s is too large: %d %s", e.id, e.size, e.what)
}

// Encode returns the values of the rows that keep turn, each of at most
// rowBytes. It returns a *TooLargeError if they are too many.
func (turn *Turn) Encode(rowBytes int) ([][]byte, error) {
	if len(turn.Events) > codec.MaxElements {
		return nil, &TooLargeError{id: turn.ID, size: len(turn.Events), what: "events"}
	}
	plain, err := codec.Marshal(&record{Organisation: turn.Organisation, Ancestors: turn.Ancestors, Input: turn.Input, Events: turn.Events})
	if err != nil {
		return nil, eris.Wrap(err, "encode turn")
	}
	if len(plain) > maxPlain {
		return nil, &TooLargeError{id: turn.ID, size: len(plain), what: "bytes"}
	}
	data, err := deflate(plain)
	if err != nil {
		return nil, err
	}
	most := rowBytes - partHeader
	count := max((len(data)+most-1)/most, 1)
	if count > maxParts {
		return nil, &TooLargeError{id: turn.ID, size: count, what: "rows"}
	}
	parts := make([][]byte, 0, count)
	for i := range count {
		chunk := data[i*most : min((i+1)*most, len(data))]
		part := append(make([]byte, 0, len(chunk)+partHeader), byte(i), byte(count-1))
		parts = append(parts, append(part, chunk...))
	}
	return parts, nil
}

// IncompleteError is a turn some of whose rows are missing.
type IncompleteError struct {
	id string
}

// Error names the turn.
func (e *IncompleteError) Error() string { return "turn " + e.id + ": rows missing" }

// Decode rebuilds a turn from the values of its rows, in order.
func Decode(id string, parts [][]byte) (*Turn, error) {
	var data []byte
	for i, part := range parts {
		if len(part) < partHeader || int(part[0]) != i || int(part[1]) != len(parts)-1 {
			return nil, &IncompleteError{id: id}
		}
		data = append(data, part[partHeader:]...)
	}
	if len(parts) == 0 {
		return nil, &IncompleteError{id: id}
	}
	plain, err := inflate(data)
	if err != nil {
		return nil, eris.Wrapf(err, "turn %s", id)
	}
	if len(plain) > maxPlain {
		return nil, &TooLargeError{id: id, size: len(plain), what: "bytes"}
	}
	var rec record
	if err := codec.Unmarshal(plain, &rec); err != nil {
		return nil, eris.Wrapf(err, "turn %s", id)
	}
	return &Turn{ID: id, Organisation: rec.Organisation, Ancestors: rec.Ancestors, Input: rec.Input, Events: rec.Events}, nil
}

// deflaters are writers to use again: a new one takes more memory than most
// turns, and more time than compressing one.
var deflaters = sync.Pool{New: func() any {
	// BestSpeed is a known level, the only thing NewWriter refuses otherwise.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

func deflate(plain []byte) ([]byte, error) {
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	var buf bytes.Buffer
	w.Reset(&buf)
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compress turn")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress turn")
	}
	return buf.Bytes(), nil
}

// inflater is a reader to use again.
type inflater interface {
	io.Reader
	flate.Resetter
}

var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// inflate stops after maxPlain bytes and one more.
func inflate(data []byte) ([]byte, error) {
	r := inflaters.Get().(inflater)
	defer inflaters.Put(r)
	if err := r.Reset(bytes.NewReader(data), nil); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxPlain+1))
}
