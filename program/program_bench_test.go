package program

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkProgramMemory measures the memory that an owner needs for each
// program, without history and with a history of 10 turns of 40 words each,
// at three numbers of programs, so that the slope is visible. It reports the
// metric bytes/program; ns/op is the time to create all programs.
func BenchmarkProgramMemory(b *testing.B) {
	turn := Message{Role: "user", Content: strings.Repeat("voyage ", 40)}
	for _, turns := range []int{0, 10} {
		for _, n := range []int{1000, 10000, 100000} {
			b.Run(fmt.Sprintf("turns=%d/programs=%d", turns, n), func(b *testing.B) {
				var perProgram float64
				for b.Loop() {
					perProgram = measure(n, turns, turn)
				}
				b.ReportMetric(perProgram, "bytes/program")
			})
		}
	}
}

// measure returns the heap bytes per program of n programs with the given
// number of turns.
func measure(n, turns int, turn Message) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := make(map[ID]*Program, n)
	now := time.Unix(0, 0)
	for i := range n {
		id := ID("program-" + strconv.Itoa(i))
		p, err := New(Spec{ID: id, BudgetTokens: 250000, NonIdempotentTools: []string{"billing_charge"}}, now, 1)
		if err != nil {
			panic(err)
		}
		for t := range turns {
			_ = p.Begin(uint64(t+1), 0, now)
			// The text of each turn is allocated separately, as for a turn
			// received from a caller.
			p.Finish(uint64(t+1), 0, Message{Role: turn.Role, Content: strings.Clone(turn.Content)})
		}
		table[id] = p
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}
