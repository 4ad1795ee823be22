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
	// AncestorBytes is the memory that these turns take in total, 0 if unknown.
	AncestorBytes int64
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

// turnOverhead and partOverhead are the memory of a turn besides its data, and of each event
// and ancestor: structures, the headers of slices and the rounding up of allocations.
const (
	turnOverhead = 384
	partOverhead = 48
)

// Memory returns the memory that the turn takes, in bytes. It is never less than the length of
// its encoding before compression.
func (turn *Turn) Memory() int64 {
	return int64(turn.Size() + turnOverhead + partOverhead*(len(turn.Events)+len(turn.Ancestors)))
}

// Chain returns the ancestors of a turn that continues this one: the ancestors
// of this turn and its own ID.
func (turn *Turn) Chain() []string {
	chain := make([]string, 0, len(turn.Ancestors)+1)
	chain = append(chain, turn.Ancestors...)
	return append(chain, turn.ID)
}

// referencedInput is the size from which on PromptParts refers to the input of a turn
// instead of copying it. Each part costs a system call's vector entry to write, and what is
// referred to stays in memory with its turn.
const referencedInput = 4 << 10

// PromptParts returns the part of a prompt that precedes new input which continues the
// turns of chain, oldest first: for each turn its input, then the data of each event
// followed by a line feed. The parts are to be sent one after the other, and not to be
// changed, since they share memory with the turns.
func PromptParts(chain []*Turn) [][]byte {
	var parts [][]byte
	var small []byte
	for _, turn := range chain {
		if len(turn.Input) < referencedInput {
			small = append(small, turn.Input...)
		} else {
			if len(small) > 0 {
				parts, small = append(parts, small), nil
			}
			parts = append(parts, turn.Input)
		}
		for _, event := range turn.Events {
			small = append(small, event...)
			small = append(small, '\n')
		}
	}
	if len(small) > 0 {
		parts = append(parts, small)
	}
	return parts
}

// record is the encoded form of a Turn. The ID is the name of the row instead.
type record struct {
	Organisation  string   `cbor:"o,omitempty"`
	Ancestors     []string `cbor:"a"`
	AncestorBytes int64    `cbor:"b,omitempty"`
	Input         []byte   `cbor:"i"`
	Events        [][]byte `cbor:"e"`
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
	if size := turn.Size(); size > maxUncompressedBytes {
		return nil, &TooLargeError{id: turn.ID, size: size, unit: "bytes"}
	} else if size > scratchBytes {
		largeTurns.Lock()
		defer largeTurns.Unlock()
	}
	plain, err := codec.MarshalSized(&record{Organisation: turn.Organisation, Ancestors: turn.Ancestors, AncestorBytes: turn.AncestorBytes, Input: turn.Input, Events: turn.Events}, turn.Size()+encodedOverhead)
	if err != nil {
		return nil, eris.Wrap(err, "encode turn")
	}
	if len(plain) > maxUncompressedBytes {
		return nil, &TooLargeError{id: turn.ID, size: len(plain), unit: "bytes"}
	}
	rows := rowWriter{id: turn.ID, rowBytes: rowBytes}
	if err := compress(plain, &rows); err != nil {
		return nil, err
	}
	return rows.finish(), nil
}

// encodedOverhead is the usual size of an encoded turn beside the data of the turn.
const encodedOverhead = 512

// largeTurns is held while a turn larger than scratchBytes is encoded or decoded, which
// takes its size again in memory.
var largeTurns sync.Mutex

// rowWriter splits what is written into the rows of a turn.
type rowWriter struct {
	id       string
	rowBytes int
	rows     [][]byte
}

// Write implements io.Writer. It returns a *TooLargeError if there are more than maxRows rows.
func (writer *rowWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		last := len(writer.rows) - 1
		if last < 0 || len(writer.rows[last]) >= writer.rowBytes {
			if last+1 >= maxRows {
				return written, &TooLargeError{id: writer.id, size: maxRows + 1, unit: "rows"}
			}
			var row []byte
			if last >= 0 {
				row = make([]byte, 0, writer.rowBytes) // the turn is large
			}
			writer.rows = append(writer.rows, append(row, byte(last+1), 0))
			continue
		}
		n := min(len(p), writer.rowBytes-len(writer.rows[last]))
		writer.rows[last] = append(writer.rows[last], p[:n]...)
		p = p[n:]
		written += n
	}
	return written, nil
}

// finish returns the rows, each with the index of the last.
func (writer *rowWriter) finish() [][]byte {
	for i := range writer.rows {
		writer.rows[i][1] = byte(len(writer.rows) - 1)
	}
	return writer.rows
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
	return DecodeWithin(id, rows, func(int64) error { return nil })
}

// DecodeWithin is Decode for a turn whose memory is limited: it calls reserve with the length of
// the data to decode before it allocates memory for them, and returns its error. Decoding takes
// that length again, for one large turn at a time.
func DecodeWithin(id string, rows [][]byte, reserve func(size int64) error) (*Turn, error) {
	if err := checkRows(id, rows); err != nil {
		return nil, err
	}
	scratch := scratchPool.Get().(*[scratchBytes]byte)
	defer scratchPool.Put(scratch)
	size, err := decompressedSize(rows, scratch[:])
	if err != nil {
		return nil, eris.Wrapf(err, "decompress turn %s", id)
	}
	if size > maxUncompressedBytes {
		return nil, &TooLargeError{id: id, size: size, unit: "bytes"}
	}
	if err := reserve(int64(size)); err != nil {
		return nil, err
	}
	plain := scratch[:min(size, scratchBytes)]
	if size > scratchBytes {
		largeTurns.Lock()
		defer largeTurns.Unlock()
		plain = make([]byte, size)
		if err := decompress(rows, plain); err != nil {
			return nil, eris.Wrapf(err, "decompress turn %s", id)
		}
	}
	var rec record
	if err := codec.Unmarshal(plain, &rec); err != nil {
		return nil, eris.Wrapf(err, "decode turn %s", id)
	}
	return &Turn{ID: id, Organisation: rec.Organisation, Ancestors: rec.Ancestors, AncestorBytes: max(rec.AncestorBytes, 0), Input: rec.Input, Events: rec.Events}, nil
}

// checkRows returns an *IncompleteError unless rows are all rows of a turn, in order.
func checkRows(id string, rows [][]byte) error {
	if len(rows) == 0 {
		return &IncompleteError{id: id}
	}
	for i, row := range rows {
		if len(row) < rowHeaderBytes || int(row[0]) != i || int(row[1]) != len(rows)-1 {
			return &IncompleteError{id: id}
		}
	}
	return nil
}

// writerPool holds writers for reuse: a new writer takes more memory than most
// turns, and creating it takes longer than compressing one.
var writerPool = sync.Pool{New: func() any {
	// NewWriter fails only for an unknown compression level.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// compress writes plain to w in DEFLATE format. It returns the errors of w.
func compress(plain []byte, w io.Writer) error {
	compressor := writerPool.Get().(*flate.Writer)
	defer func() {
		compressor.Reset(io.Discard) // keeps no reference to w
		writerPool.Put(compressor)
	}()
	compressor.Reset(w)
	if _, err := compressor.Write(plain); err != nil {
		return eris.Wrap(err, "compress turn")
	}
	return eris.Wrap(compressor.Close(), "compress turn")
}

// resettableReader is the interface of the readers in readerPool.
type resettableReader interface {
	io.Reader
	flate.Resetter
}

// readerPool holds readers for reuse.
var readerPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// scratchBytes is the size of the buffers in scratchPool, in which turns are
// decompressed that fit. Most do.
const scratchBytes = 64 << 10

// scratchPool holds buffers for reuse, as *[scratchBytes]byte.
var scratchPool = sync.Pool{New: func() any { return new([scratchBytes]byte) }}

// rowReader reads the data of a turn's rows.
type rowReader struct {
	rows   [][]byte
	offset int // in the data of the first of rows
}

// Read implements io.Reader.
func (reader *rowReader) Read(p []byte) (int, error) {
	for len(reader.rows) > 0 {
		if data := reader.rows[0][rowHeaderBytes+reader.offset:]; len(data) > 0 {
			n := copy(p, data)
			reader.offset += n
			return n, nil
		}
		reader.rows, reader.offset = reader.rows[1:], 0
	}
	return 0, io.EOF
}

// withDecompressor calls f with a reader of the decompressed data of rows, and returns its error.
func withDecompressor(rows [][]byte, f func(io.Reader) error) error {
	r := readerPool.Get().(resettableReader)
	defer func() {
		_ = r.Reset(bytes.NewReader(nil), nil) // keeps no reference to rows
		readerPool.Put(r)
	}()
	var data io.Reader = &rowReader{rows: rows}
	if len(rows) == 1 {
		data = bytes.NewReader(rows[0][rowHeaderBytes:]) // needs no buffer to read single bytes
	}
	if err := r.Reset(data, nil); err != nil {
		return err
	}
	return f(r)
}

// decompressedSize returns the size of the decompressed data of rows, and leaves the data in
// scratch if it fits. If the data is longer than maxUncompressedBytes, the size returned is, too.
func decompressedSize(rows [][]byte, scratch []byte) (size int, err error) {
	err = withDecompressor(rows, func(r io.Reader) error {
		for size < len(scratch) {
			n, err := r.Read(scratch[size:])
			size += n
			if err == io.EOF {
				return nil
			}
			if err != nil {
				return err
			}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(r, int64(maxUncompressedBytes+1-size)))
		size += int(n)
		return err
	})
	return size, err
}

// decompress fills plain with the beginning of the decompressed data of rows.
func decompress(rows [][]byte, plain []byte) error {
	return withDecompressor(rows, func(r io.Reader) error {
		_, err := io.ReadFull(r, plain)
		return err
	})
}
