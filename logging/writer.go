// Package logging writes log lines without ever holding up who logs: lines
// go through a bounded queue, at a bounded rate, and what does not fit is
// counted.
package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// queuedLines are kept for a reader of the log that is slow: about a
	// second's worth at the highest rate, some 300 bytes each.
	queuedLines = 500
	// linesPerSecond is ten times what an instance logs on the heaviest
	// days met (45 a second); linesAtOnce of them may come together.
	linesPerSecond = 500
	linesAtOnce    = 1000
)

// Writer is an io.Writer for a log handler that writes one line a call. Use
// NewWriter, and Run to write.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queuedLines), limit: rate.NewLimiter(linesPerSecond, linesAtOnce)}
}

// Write queues one line, or counts it as dropped. It never blocks or fails.
func (writer *Writer) Write(line []byte) (int, error) {
	if !writer.limit.Allow() {
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

// Run writes queued lines, several at a time if they wait, until ctx ends
// and none is left; then it reports on done.
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

// flush writes the batch and whatever waits, and how many lines were
// dropped since.
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
	_, _ = writer.out.Write(batch.Bytes()) // there is nowhere to report it
	batch.Reset()
}
