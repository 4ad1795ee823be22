package history

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// Turn is one turn of a conversation.
type Turn struct {
	// ID is the ID of the request that created the turn.
	ID string
	// Organisation is the organisation of the caller that created the turn, or
	// empty if it has none.
	Organisation string
	// Ancestors are the IDs of the turns that this one continues, oldest first.
	Ancestors []string
	// Input is the new input of the request, and Events the data of each event
	// of the response.
	Input  []byte
	Events [][]byte
}

// Size returns the approximate memory used by the turn, in bytes.
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

// Chain returns the ancestors of a turn that continues this one: the ancestors
// of this turn and its own ID.
func (turn *Turn) Chain() []string {
	chain := make([]string, 0, len(turn.Ancestors)+1)
	chain = append(chain, turn.Ancestors...)
	return append(chain, turn.ID)
}

// Prompt returns the prompt sent to an engine for input that continues the
// turns of chain, which are oldest first. For each turn it has the turn's
// input, then the data of each event followed by a line feed; the new input
// comes last.
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

// record is the encoded form of a Turn. The ID is the name of the row instead.
type record struct {
	Organisation string   `cbor:"o,omitempty"`
	Ancestors    []string `cbor:"a"`
	Input        []byte   `cbor:"i"`
	Events       [][]byte `cbor:"e"`
}

// rowHeaderBytes is the size of the header of each row of a turn: one byte for
// the index of the row and one for the index of the last row.
const rowHeaderBytes = 2

// maxRows is the maximum number of rows of one turn. The transaction that makes a
// turn visible has an entry for each of its rows, and one more.
const maxRows = store.MaxTransactionEntries - 1

// maxUncompressedBytes bounds the encoding of a turn before compression. It is
// four times the largest input accepted if the configuration sets no limit.
// Without a bound, a row of 64 KB can decompress to 64 MB, more than half of
// the memory of a small instance.
const maxUncompressedBytes = 16 << 20

// responseRows is the number of rows that CheckInput leaves for the response.
const responseRows = 6

// CheckInput returns a *TooLargeError if a turn with the given input cannot be encoded
// in rows of at most rowBytes, whatever its response is.
func CheckInput(id string, input []byte, rowBytes int) error {
	if len(input) <= (maxRows-responseRows-1)*(rowBytes-rowHeaderBytes) {
		return nil // even if it cannot be compressed
	}
	turn := Turn{ID: id, Input: input}
	rows, err := turn.Encode(rowBytes)
	if err == nil && len(rows) > maxRows-responseRows {
		err = &TooLargeError{id: id, size: len(rows), unit: "rows"}
	}
	return err
}

// TooLargeError is returned for a turn that is too large to be stored or
// decoded.
type TooLargeError struct {
	id string
	// size is the size of the turn, or a lower bound of it, in unit: "events",
	// "bytes" or "rows".
	unit string
	size int
}

// Error returns a message with the ID of the turn and its size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("turn %s is too large: %d %s", e.id, e.size, e.unit)
}

// Encode returns the values of the rows that store turn, each of at most
// rowBytes bytes. It returns a *TooLargeError if the turn has too many events,
// its encoding is longer than maxUncompressedBytes, or it needs more than
// maxRows rows.
func (turn *Turn) Encode(rowBytes int) ([][]byte, error) {
	if len(turn.Events) > codec.MaxElements {
		return nil, &TooLargeError{id: turn.ID, size: len(turn.Events), unit: "events"}
	}
	plain, err := codec.Marshal(&record{Organisation: turn.Organisation, Ancestors: turn.Ancestors, Input: turn.Input, Events: turn.Events})
	if err != nil {
		return nil, eris.Wrap(err, "encode turn")
	}
	if len(plain) > maxUncompressedBytes {
		return nil, &TooLargeError{id: turn.ID, size: len(plain), unit: "bytes"}
	}
	data, err := compress(plain)
	if err != nil {
		return nil, err
	}
	maxChunk := rowBytes - rowHeaderBytes
	count := max((len(data)+maxChunk-1)/maxChunk, 1)
	if count > maxRows {
		return nil, &TooLargeError{id: turn.ID, size: count, unit: "rows"}
	}
	rows := make([][]byte, 0, count)
	for i := range count {
		chunk := data[i*maxChunk : min((i+1)*maxChunk, len(data))]
		row := append(make([]byte, 0, len(chunk)+rowHeaderBytes), byte(i), byte(count-1))
		rows = append(rows, append(row, chunk...))
	}
	return rows, nil
}

// IncompleteError is returned for a turn with missing or misplaced rows.
type IncompleteError struct {
	id string
}

// Error returns a message with the ID of the turn.
func (e *IncompleteError) Error() string { return "turn " + e.id + ": rows missing" }

// RowCount returns the number of rows of a turn, given its first row; 0 if that is
// invalid.
func RowCount(first []byte) int {
	if len(first) < rowHeaderBytes {
		return 0
	}
	return int(first[1]) + 1
}

// Decode returns the turn encoded in the values of its rows, which must be in
// order. It returns an *IncompleteError if rows are missing, a *TooLargeError
// if the encoding is longer than maxUncompressedBytes, and another error if the
// rows cannot be decompressed or decoded.
func Decode(id string, rows [][]byte) (*Turn, error) {
	var data []byte
	for i, row := range rows {
		if len(row) < rowHeaderBytes || int(row[0]) != i || int(row[1]) != len(rows)-1 {
			return nil, &IncompleteError{id: id}
		}
		data = append(data, row[rowHeaderBytes:]...)
	}
	if len(rows) == 0 {
		return nil, &IncompleteError{id: id}
	}
	plain, err := decompress(data)
	if err != nil {
		return nil, eris.Wrapf(err, "decompress turn %s", id)
	}
	if len(plain) > maxUncompressedBytes {
		return nil, &TooLargeError{id: id, size: len(plain), unit: "bytes"}
	}
	var rec record
	if err := codec.Unmarshal(plain, &rec); err != nil {
		return nil, eris.Wrapf(err, "decode turn %s", id)
	}
	return &Turn{ID: id, Organisation: rec.Organisation, Ancestors: rec.Ancestors, Input: rec.Input, Events: rec.Events}, nil
}

// writerPool holds writers for reuse: a new writer takes more memory than most
// turns, and creating it takes longer than compressing one.
var writerPool = sync.Pool{New: func() any {
	// NewWriter fails only for an unknown compression level.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// compress returns plain in DEFLATE format.
func compress(plain []byte) ([]byte, error) {
	w := writerPool.Get().(*flate.Writer)
	defer writerPool.Put(w)
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

// resettableReader is the interface of the readers in readerPool.
type resettableReader interface {
	io.Reader
	flate.Resetter
}

// readerPool holds readers for reuse.
var readerPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// decompress returns the decompressed data, but at most maxUncompressedBytes +
// 1 bytes, enough for the caller to detect that the data is too long.
func decompress(data []byte) ([]byte, error) {
	r := readerPool.Get().(resettableReader)
	defer readerPool.Put(r)
	if err := r.Reset(bytes.NewReader(data), nil); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUncompressedBytes+1))
}
