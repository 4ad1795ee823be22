package history_test

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/history"
)

// prompt returns the parts of the prompt for a chain as one text.
func prompt(chain []*history.Turn) string { return string(bytes.Join(history.PromptParts(chain), nil)) }

func TestPromptContainsChainByteForByte(t *testing.T) {
	first := &history.Turn{ID: "a", Input: []byte("question\r\n"), Events: [][]byte{[]byte("one"), {}, []byte("two\nlines")}}
	second := &history.Turn{ID: "b", Ancestors: first.Chain(), Input: []byte("more"), Events: [][]byte{[]byte("three")}}
	assert.Equal(t, "question\r\none\n\ntwo\nlines\nmorethree\nlast", prompt([]*history.Turn{first, second})+"last")
	assert.Equal(t, []string{"a", "b"}, second.Chain())
	assert.Equal(t, "alone", prompt(nil)+"alone")
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	input := make([]byte, 200_000)
	for i := range input {
		input[i] = byte(rng.Uint32())
	}
	for _, size := range []int{0, 1, 17_000, 200_000} {
		turn := &history.Turn{ID: "t", Ancestors: []string{"a", "b"}, Input: input[:size], Events: [][]byte{[]byte("x"), []byte("y")}}
		rows, err := turn.Encode(45_000)
		require.NoError(t, err)
		for _, row := range rows {
			assert.LessOrEqual(t, len(row), 45_000)
		}
		got, err := history.Decode("t", rows)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(turn.Input, got.Input))
		assert.Equal(t, turn.Events, got.Events)
		assert.Equal(t, turn.Ancestors, got.Ancestors)
	}
}

// Guards against sending an engine an incomplete conversation after only some
// of the rows of a long turn were read, when rows didn't record their number.
func TestDecodeRejectsMissingRows(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	input := make([]byte, 10_000)
	for i := range input {
		input[i] = byte(rng.Uint32())
	}
	turn := &history.Turn{ID: "t", Input: input}
	rows, err := turn.Encode(2_000)
	require.NoError(t, err)
	require.Greater(t, len(rows), 3)
	for _, incompleteRows := range [][][]byte{rows[:len(rows)-1], rows[1:], {}} {
		_, err := history.Decode("t", incompleteRows)
		var incomplete *history.IncompleteError
		assert.ErrorAs(t, err, &incomplete)
	}
	_, err = turn.Encode(10)
	var tooLarge *history.TooLargeError
	assert.True(t, errors.As(err, &tooLarge))
}

// Guards against an instance of 112 MB that is killed when it reads a row of 64
// KB that decompresses to 64 MB, because decompression was not bounded.
// Decoding this row, which decompresses to 1 GB, allocates at most
// maxUncompressedBytes and the growth of the reader's buffer, 64 MB in total.
func TestDecodeLimitsDecompressedSize(t *testing.T) {
	var row bytes.Buffer
	row.Write([]byte{0, 0})
	w, err := flate.NewWriter(&row, flate.BestSpeed)
	require.NoError(t, err)
	zeros := make([]byte, 1<<20)
	for range 1 << 10 {
		_, err := w.Write(zeros)
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = history.Decode("t", [][]byte{row.Bytes()})
	runtime.ReadMemStats(&after)
	var tooLarge *history.TooLargeError
	assert.ErrorAs(t, err, &tooLarge)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(128<<20))
}

// Guards against storing a turn that cannot be decoded again: its caller, which
// received the end of the turn, must be able to continue from it.
func TestEncodeRejectsUndecodableTurn(t *testing.T) {
	for _, turn := range []*history.Turn{
		{ID: "t", Input: make([]byte, 17<<20)},
		{ID: "t", Events: make([][]byte, 1<<16+1)},
	} {
		_, err := turn.Encode(45_000)
		var tooLarge *history.TooLargeError
		assert.ErrorAs(t, err, &tooLarge)
	}
	largest := &history.Turn{ID: "t", Events: make([][]byte, 1<<16)}
	rows, err := largest.Encode(45_000)
	require.NoError(t, err)
	_, err = history.Decode("t", rows)
	assert.NoError(t, err)
}

func FuzzDecode(f *testing.F) {
	rows, err := (&history.Turn{ID: "t", Input: []byte("x")}).Encode(100)
	require.NoError(f, err)
	f.Add(rows[0], []byte{})
	f.Add([]byte{1, 2}, []byte{0, 9})
	f.Fuzz(func(_ *testing.T, a, b []byte) {
		_, _ = history.Decode("t", [][]byte{a, b}) // must not panic
		_, _ = history.Decode("t", [][]byte{a})
	})
}

func ExamplePromptParts() {
	turn := &history.Turn{ID: "a", Input: []byte("hello "), Events: [][]byte{[]byte("hi")}}
	fmt.Printf("%q\n", bytes.Join(history.PromptParts([]*history.Turn{turn}), nil))
	// Output: "hello hi\n"
}

// Guards against a turn that is decoded with the bytes of another turn, or
// rejected although its rows are complete. Turns are encoded and decoded
// concurrently, with corrupted rows among them, since compressors and
// decompressors are reused even after an error.
func TestConcurrentEncodeAndDecode(t *testing.T) {
	var readers sync.WaitGroup
	for n := range 8 {
		readers.Go(func() {
			for round := range 200 {
				turn := &history.Turn{ID: "t", Input: []byte(strings.Repeat(fmt.Sprint("input ", n, round), 1+round*n)), Events: [][]byte{[]byte(fmt.Sprint(n))}}
				rows, err := turn.Encode(256)
				if !assert.NoError(t, err) {
					return
				}
				broken := slices.Clone(rows)
				broken[0] = append([]byte{broken[0][0], broken[0][1]}, "no compressed bytes"...)
				_, err = history.Decode("t", broken)
				assert.Error(t, err)
				decoded, err := history.Decode("t", rows)
				if !assert.NoError(t, err) {
					return
				}
				assert.Equal(t, turn.Input, decoded.Input)
				assert.Equal(t, turn.Events, decoded.Events)
			}
		})
	}
	readers.Wait()
}

// Guards against losing conversations in an update of the program: the row was
// written by a version whose turns had no organisation.
func TestDecodeRowOfEarlierVersion(t *testing.T) {
	row, err := hex.DecodeString("0000001900e6ffa3616181616161694568656c6c6f616582436f6e654374776f010000ffff")
	require.NoError(t, err)
	turn, err := history.Decode("b", [][]byte{row})
	require.NoError(t, err)
	assert.Equal(t, &history.Turn{ID: "b", Ancestors: []string{"a"}, Input: []byte("hello"), Events: [][]byte{[]byte("one"), []byte("two")}}, turn)
	turn.Organisation = "x"
	rows, err := turn.Encode(1000)
	require.NoError(t, err)
	again, err := history.Decode("b", rows)
	require.NoError(t, err)
	assert.Equal(t, "x", again.Organisation)
}

// Guards against memory that is taken for a turn without being reserved, and a reservation that is larger than the turn.
func TestMemoryIsReservedBeforeDecoding(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		turn := &history.Turn{ID: "t", Ancestors: []string{"a", strings.Repeat("b", rng.IntN(60))}, AncestorBytes: rng.Int64N(1 << 40), Input: bytes.Repeat([]byte("x"), rng.IntN(200_000))}
		for range rng.IntN(50) {
			turn.Events = append(turn.Events, bytes.Repeat([]byte("y"), rng.IntN(100)))
		}
		rows, err := turn.Encode(1000)
		require.NoError(t, err)
		reserved := int64(0)
		got, err := history.DecodeWithin("t", rows, func(size int64) error {
			reserved = size
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, turn.AncestorBytes, got.AncestorBytes)
		require.Equal(t, turn.Memory(), got.Memory())
		require.LessOrEqual(t, reserved, turn.Memory())
		require.GreaterOrEqual(t, reserved, int64(turn.Size()))
		_, err = history.DecodeWithin("t", rows, func(int64) error { return errNoRoom })
		require.ErrorIs(t, err, errNoRoom)
	}
}

var errNoRoom = errors.New("no room in this test")

// Guards against many large turns that are decoded, or encoded, at once, each of which takes its size again.
func TestLargeTurnsAreCodedOneAtATime(t *testing.T) {
	const size, parallel = 4 << 20, 16
	turn := &history.Turn{ID: "t", Input: make([]byte, size)}
	rows, err := turn.Encode(40_000)
	require.NoError(t, err)
	highest := heapWhile(func() {
		var all sync.WaitGroup
		for range parallel {
			all.Go(func() {
				_, err := turn.Encode(40_000)
				assert.NoError(t, err)
			})
		}
		all.Wait()
	})
	t.Logf("encoding: %d MB", highest>>20)
	assert.Less(t, highest, uint64(6*size))
	highest = heapWhile(func() {
		var all sync.WaitGroup
		for range parallel {
			all.Go(func() {
				got, err := history.Decode("t", rows)
				assert.NoError(t, err)
				assert.Len(t, got.Input, size)
			})
		}
		all.Wait()
	})
	t.Logf("decoding: %d MB", highest>>20)
	assert.Less(t, highest, uint64(6*size))
}

// heapWhile returns how much memory is in use at most while f runs, beyond that before.
func heapWhile(f func()) uint64 {
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	highest, ended := uint64(0), make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	for {
		runtime.ReadMemStats(&now)
		highest = max(highest, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
		select {
		case <-ended:
			return highest
		case <-time.After(100 * time.Microsecond):
		}
	}
}

// Guards against the input of a large turn that is copied for each request that continues it.
func TestPromptPartsShareLargeInputs(t *testing.T) {
	large := &history.Turn{ID: "a", Input: bytes.Repeat([]byte("x"), 10_000), Events: [][]byte{[]byte("one")}}
	parts := history.PromptParts([]*history.Turn{large, {ID: "b", Input: []byte("two"), Events: [][]byte{[]byte("three")}}, large})
	require.Len(t, parts, 4)
	assert.Same(t, &large.Input[0], &parts[0][0])
	assert.Same(t, &large.Input[0], &parts[2][0])
	assert.Equal(t, "one\ntwothree\n", string(parts[1]))
}
