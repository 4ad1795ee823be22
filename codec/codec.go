// Package codec encodes and decodes, as CBOR, the values that instances write
// to the store and send to each other. Input to decode is not trusted: it may
// be a row of another writer, a truncated row or a message of a later version.
// Decoding uses memory in proportion to the length of the input, whatever
// lengths the input declares.
package codec

import (
	"bytes"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxElements is the maximum number of elements of each list and each map.
	// The largest lists are the events of one response; 65,536 of them take 1.5
	// MB without their data.
	MaxElements = 1 << 16
	// maxDepth is the maximum nesting depth. No type of this project needs more
	// than six levels, and a decoder uses stack for each level.
	maxDepth = 16
)

// decMode is the decoding mode for all input. Its decoder validates the
// complete input before it allocates memory, and rejects a list that declares
// more elements than bytes follow. A decoder that allocated memory for the
// declared length took 3 GB for a row of eight bytes, which crashes an instance
// of 112 MB.
var decMode = mustDecMode(cbor.DecOptions{
	MaxArrayElements: MaxElements,
	MaxMapPairs:      MaxElements,
	MaxNestedLevels:  maxDepth,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
})

// mustDecMode returns the decoding mode for constant options. It panics if they
// are invalid.
func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the encoding of value. It encodes lists and maps of more than
// MaxElements elements, but Unmarshal rejects them.
func Marshal(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, eris.Wrap(err, "encode")
}

// encMode encodes into buffers of its caller, which the encoder does not keep.
var encMode = mustEncMode(cbor.EncOptions{})

// mustEncMode returns the encoding mode for constant options. It panics if they
// are invalid.
func mustEncMode(options cbor.EncOptions) cbor.UserBufferEncMode {
	mode, err := options.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// MarshalSized is Marshal for a value whose encoding has about the given size, for which it
// takes no more memory than that.
func MarshalSized(value any, size int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(size)
	err := encMode.MarshalToBuffer(value, &buf)
	return buf.Bytes(), eris.Wrap(err, "encode")
}

// Unmarshal decodes data into the value that dst points to. It fails if data
// holds anything but exactly one valid value within the limits of this package.
func Unmarshal(data []byte, dst any) error {
	return eris.Wrap(decMode.Unmarshal(data, dst), "decode")
}

// Encoder writes a sequence of values.
type Encoder struct{ encoder *cbor.Encoder }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{encoder: cbor.NewEncoder(w)} }

// Encode writes the encoding of one value.
func (encoder *Encoder) Encode(value any) error {
	return eris.Wrap(encoder.encoder.Encode(value), "encode")
}

// MaxValueBytes bounds the encoding of a value that a Decoder reads.
const MaxValueBytes = 8 << 20

// Decoder reads a sequence of values.
type Decoder struct {
	decoder *cbor.Decoder
	limit   *valueReader
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	limit := &valueReader{reader: r}
	return &Decoder{decoder: decMode.NewDecoder(limit), limit: limit}
}

// TooLongError is returned for a value of more than MaxValueBytes bytes.
type TooLongError struct{}

// Error returns the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("value exceeds the maximum length of %d bytes", MaxValueBytes)
}

// valueReader reads up to remaining bytes of reader, which are set for each value, and then
// returns a *TooLongError.
type valueReader struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (limit *valueReader) Read(p []byte) (int, error) {
	if limit.remaining <= 0 {
		return 0, &TooLongError{}
	}
	n, err := limit.reader.Read(p[:min(len(p), limit.remaining)])
	limit.remaining -= n
	return n, err
}

// Decode reads the next value into the value that dst points to. It returns
// io.EOF at the end of the input, and a *TooLongError for a value that is too long.
func (decoder *Decoder) Decode(dst any) error {
	decoder.limit.remaining = MaxValueBytes
	err := decoder.decoder.Decode(dst)
	if err == io.EOF {
		return io.EOF
	}
	return eris.Wrap(err, "decode")
}
