package codec_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/codec"
)

// sample has the kinds of fields that stored and sent values have: lists of
// bytes, maps of structures and nested values.
type sample struct {
	Names  []string            `cbor:"a"`
	Input  []byte              `cbor:"i"`
	Events [][]byte            `cbor:"e"`
	Sums   map[string]struct{} `cbor:"s"`
	Next   *sample             `cbor:"n"`
}

// allocated returns the number of bytes allocated by f.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// malformedInputs returns inputs, by name, that declare more elements than they
// hold, nest too deeply or use lists of indefinite length.
func malformedInputs() map[string][]byte {
	deep := bytes.Repeat([]byte{0xa1, 0x61, 'n'}, 100_000)
	return map[string][]byte{
		"events":    {0xa1, 0x61, 'e', 0x9a, 0x03, 0xff, 0xff, 0xff},
		"names":     {0xa1, 0x61, 'a', 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"sums":      {0xa1, 0x61, 's', 0xba, 0x7f, 0xff, 0xff, 0xff},
		"input":     {0xa1, 0x61, 'i', 0x5b, 0x00, 0x00, 0x00, 0x7f, 0xff, 0xff, 0xff, 0xff},
		"depth":     deep,
		"unknown":   append([]byte{0xa1, 0x61, 'x'}, bytes.Repeat([]byte{0x81}, 100_000)...),
		"unlimited": {0xa1, 0x61, 'e', 0x9f, 0x40, 0xff},
	}
}

// Guards against instances of 112 MB that are killed when they read a row of
// eight bytes that declares 67 million events, because the decoder allocated
// memory for them, 3 GB, before it reached the end of the input. Each input
// must be rejected within 64 KB.
func TestUnmarshalRejectsMalformedInputInBoundedMemory(t *testing.T) {
	for name, data := range malformedInputs() {
		var err error
		used := allocated(func() { err = codec.Unmarshal(data, &sample{}) })
		assert.Error(t, err, name)
		assert.Less(t, used, uint64(64<<10), name)
		used = allocated(func() { err = codec.NewDecoder(bytes.NewReader(data)).Decode(&sample{}) })
		assert.Error(t, err, name)
		assert.Less(t, used, uint64(64<<10+8*len(data)), name)
	}
}

func TestUnmarshalLimitsElements(t *testing.T) {
	data, err := codec.Marshal(&sample{Events: make([][]byte, codec.MaxElements)})
	require.NoError(t, err)
	assert.NoError(t, codec.Unmarshal(data, &sample{}))
	data, err = codec.Marshal(&sample{Events: make([][]byte, codec.MaxElements+1)})
	require.NoError(t, err)
	assert.Error(t, codec.Unmarshal(data, &sample{}))
}

// FuzzUnmarshal checks the memory used for any input. A value uses at most
// about 30 bytes for each byte of its encoding: an empty event is one byte
// there and a slice header of 24 bytes in memory. The bound is twice that, and
// 64 KB for concurrent allocations by other goroutines.
func FuzzUnmarshal(f *testing.F) {
	valid, err := codec.Marshal(&sample{Names: []string{"x"}, Events: [][]byte{{1}}, Sums: map[string]struct{}{"y": {}}, Next: &sample{}})
	require.NoError(f, err)
	f.Add(valid)
	for _, data := range malformedInputs() {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var value sample
		var err error
		used := allocated(func() { err = codec.Unmarshal(data, &value) })
		require.LessOrEqual(t, used, uint64(64<<10+64*len(data)))
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(value.Events)+len(value.Names)+len(value.Sums)+len(value.Input), len(data))
		_, err = codec.Marshal(&value)
		require.NoError(t, err)
	})
}

func ExampleDecoder() {
	var buf bytes.Buffer
	encoder := codec.NewEncoder(&buf)
	_ = encoder.Encode("one")
	_ = encoder.Encode("two")
	decoder := codec.NewDecoder(&buf)
	for {
		var value string
		if err := decoder.Decode(&value); err == io.EOF {
			break
		}
		fmt.Println(value)
	}
	// Output:
	// one
	// two
}

// endlessReader returns the head of a long string and then bytes without end.
type endlessReader struct {
	head []byte
	read int
}

// Read implements io.Reader.
func (reader *endlessReader) Read(p []byte) (int, error) {
	n := len(p)
	if len(reader.head) > 0 {
		n = copy(p, reader.head)
		reader.head = reader.head[n:]
	}
	reader.read += n
	return n, nil
}

// Guards against a value that another process sends without end.
func TestDecoderBoundsValues(t *testing.T) {
	endless := &endlessReader{head: []byte{0x5b, 0, 0, 0, 1, 0, 0, 0, 0}} // a byte string of 4 GB
	var value []byte
	var tooLong *codec.TooLongError
	require.ErrorAs(t, codec.NewDecoder(endless).Decode(&value), &tooLong)
	assert.LessOrEqual(t, endless.read, codec.MaxValueBytes)
	var stream bytes.Buffer
	encoder, large := codec.NewEncoder(&stream), make([]byte, 5<<20)
	for range 3 {
		require.NoError(t, encoder.Encode(large))
	}
	decoder := codec.NewDecoder(&stream)
	for range 3 {
		require.NoError(t, decoder.Decode(&value), "the bound is that of one value")
		assert.Len(t, value, len(large))
	}
}

// Guards against an encoding that differs from that of the versions before, by which turns are compared.
func TestMarshalSizedEncodesAsMarshal(t *testing.T) {
	value := struct {
		A []byte
		B []string
		C int64
	}{A: []byte("x"), B: []string{"y", "z"}, C: 1 << 40}
	want, err := codec.Marshal(&value)
	require.NoError(t, err)
	for _, size := range []int{0, 1, 1000} {
		got, err := codec.MarshalSized(&value, size)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
}
