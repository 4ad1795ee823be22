// Package logging writes log lines without blocking the callers that log: lines
// go through a bounded queue at a bounded rate, and the lines that exceed
// either bound are dropped and counted.
package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the number of lines held for a slow reader of the log:
	// about one second of lines at the maximum rate, of some 300 bytes each.
	queueCapacity = 500
	// maxLinesPerSecond is about ten times the rate an instance logged on the
	// heaviest days observed, 45 lines a second. Bursts of up to maxBurstLines
	// are accepted.
	maxLinesPerSecond = 500
	maxBurstLines     = 1000
	// lineBytes is the length up to which a line counts once; a longer one counts for
	// each further lineBytes.
	lineBytes = 1 << 10
)

// Writer is an io.Writer for a log handler that makes one Write call a line.
// Create it with NewWriter; Run writes the queued lines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes lines to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueCapacity), limit: rate.NewLimiter(maxLinesPerSecond, maxBurstLines)}
}

// Write queues one line, or drops and counts it if the queue is full or the
// rate is exceeded. It never blocks and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	if !writer.limit.AllowN(time.Now(), min(1+len(line)/lineBytes, maxBurstLines)) {
		writer.dropped.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- bytes.Clone(line):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines to the output, combining lines that are queued
// together, until ctx ends. It then writes the remaining lines and sends nil to
// done.
func (writer *Writer) Run(ctx context.Context, done chan<- error) {
	var batch bytes.Buffer
	for {
		select {
		case line := <-writer.lines:
			batch.Write(line)
		case <-ctx.Done():
			writer.flush(&batch)
			done <- nil
			return
		}
		writer.flush(&batch)
	}
}

// flush writes the batch, all queued lines, and a line with the number of lines
// dropped since the last flush.
func (writer *Writer) flush(batch *bytes.Buffer) {
	for {
		select {
		case line := <-writer.lines:
			batch.Write(line)
			continue
		default:
		}
		break
	}
	if dropped := writer.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(batch, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	_, _ = writer.out.Write(batch.Bytes()) // a failing log cannot be reported
	batch.Reset()
}
