package history_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wagtaildrum/wagtaildrum/history"
)

func longTurn() *history.Turn {
	turn := &history.Turn{ID: "t", Input: []byte(strings.Repeat("crew usage dispute ", 360))}
	for n := range 10 {
		turn.Events = append(turn.Events, []byte(fmt.Sprintf("event %d of the answer to a dispute", n)))
	}
	return turn
}

// BenchmarkTurnEncode encodes a turn of 1,700 input tokens and 10 events, as
// for the store and for other instances.
func BenchmarkTurnEncode(b *testing.B) {
	turn := longTurn()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := turn.Encode(64 << 10); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTurnDecode decodes the same turn, as read from the store or received
// from another instance.
func BenchmarkTurnDecode(b *testing.B) {
	rows, err := longTurn().Encode(64 << 10)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := history.Decode("t", rows); err != nil {
			b.Fatal(err)
		}
	}
}
