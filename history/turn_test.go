package history_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
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
