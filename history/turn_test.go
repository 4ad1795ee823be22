package history_test

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/history"
)

func TestPromptRepeatsChainByteForByte(t *testing.T) {
	first := &history.Turn{ID: "a", Input: []byte("question\r\n"), Events: [][]byte{[]byte("one"), {}, []byte("two\nlines")}}
	second := &history.Turn{ID: "b", Ancestors: first.Chain(), Input: []byte("more"), Events: [][]byte{[]byte("three")}}
	assert.Equal(t, "question\r\none\n\ntwo\nlines\nmorethree\nlast", string(history.Prompt([]*history.Turn{first, second}, []byte("last"))))
	assert.Equal(t, []string{"a", "b"}, second.Chain())
	assert.Equal(t, "alone", string(history.Prompt(nil, []byte("alone"))))
}

func TestTurnSurvivesItsRows(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	input := make([]byte, 200_000)
	for i := range input {
		input[i] = byte(rng.Uint32())
	}
	for _, size := range []int{0, 1, 17_000, 200_000} {
		turn := &history.Turn{ID: "t", Ancestors: []string{"a", "b"}, Input: input[:size], Events: [][]byte{[]byte("x"), []byte("y")}}
		parts, err := turn.Encode(45_000)
		require.NoError(t, err)
		for _, part := range parts {
			assert.LessOrEqual(t, len(part), 45_000)
		}
		got, err := history.Decode("t", parts)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(turn.Input, got.Input))
		assert.Equal(t, turn.Events, got.Events)
		assert.Equal(t, turn.Ancestors, got.Ancestors)
	}
}

// Symptom: an engine is sent half a conversation. Events: of the rows of a
// long turn only some are read. Cause: a turn did not know how many rows it
// has.
func TestMissingRowsAreNoticed(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	input := make([]byte, 10_000)
	for i := range input {
		input[i] = byte(rng.Uint32())
	}
	turn := &history.Turn{ID: "t", Input: input}
	parts, err := turn.Encode(2_000)
	require.NoError(t, err)
	require.Greater(t, len(parts), 3)
	for _, some := range [][][]byte{parts[:len(parts)-1], parts[1:], {}} {
		_, err := history.Decode("t", some)
		var incomplete *history.IncompleteError
		assert.ErrorAs(t, err, &incomplete)
	}
	_, err = turn.Encode(10)
	var tooLarge *history.TooLargeError
	assert.True(t, errors.As(err, &tooLarge))
}

// Symptom: an instance of 112 MB is killed as it reads a conversation. Events:
// a row of 64 KB holds a turn that inflates to 64 MB. Cause: a turn was
// inflated to its end, however long. At most maxPlain and what the reader's
// buffer grows by, 64 MB in all over its growth, are allocated for one that
// would be 1 GB.
func TestTurnThatInflatesWithoutEndIsRefused(t *testing.T) {
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

// What could not be read back is not kept: a caller that was told the end of
// a turn finds it.
func TestTurnThatCannotBeReadIsNotKept(t *testing.T) {
	for _, turn := range []*history.Turn{
		{ID: "t", Input: make([]byte, 17<<20)},
		{ID: "t", Events: make([][]byte, 1<<16+1)},
	} {
		_, err := turn.Encode(45_000)
		var tooLarge *history.TooLargeError
		assert.ErrorAs(t, err, &tooLarge)
	}
	most := &history.Turn{ID: "t", Events: make([][]byte, 1<<16)}
	parts, err := most.Encode(45_000)
	require.NoError(t, err)
	_, err = history.Decode("t", parts)
	assert.NoError(t, err)
}

func FuzzDecode(f *testing.F) {
	parts, err := (&history.Turn{ID: "t", Input: []byte("x")}).Encode(100)
	require.NoError(f, err)
	f.Add(parts[0], []byte{})
	f.Add([]byte{1, 2}, []byte{0, 9})
	f.Fuzz(func(_ *testing.T, a, b []byte) {
		_, _ = history.Decode("t", [][]byte{a, b}) // must not panic
		_, _ = history.Decode("t", [][]byte{a})
	})
}

func ExamplePrompt() {
	turn := &history.Turn{ID: "a", Input: []byte("hello "), Events: [][]byte{[]byte("hi")}}
	fmt.Printf("%q\n", history.Prompt([]*history.Turn{turn}, []byte("bye")))
	// Output: "hello hi\nbye"
}

// Symptom it guards against: a turn is read with the bytes of another, or
// refused though its rows are whole. Events: many turns are written and read at
// once, among them rows that are broken. Cause it guards against: compressors
// are used again, also those that have just failed.
func TestTurnsAtOnceKeepApart(t *testing.T) {
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
				read, err := history.Decode("t", rows)
				if !assert.NoError(t, err) {
					return
				}
				assert.Equal(t, turn.Input, read.Input)
				assert.Equal(t, turn.Events, read.Events)
			}
		})
	}
	readers.Wait()
}

// Guards against conversations that are lost to a new version of the program:
// a row written before turns named their organisation.
func TestRowOfEarlierVersionIsRead(t *testing.T) {
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
