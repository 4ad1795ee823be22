package logging_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/logging"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	writer := logging.NewWriter(&out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go writer.Run(ctx, done)
	log := slog.New(slog.NewTextHandler(writer, nil))
	for n := range 100 {
		log.Info("request", "n", n)
	}
	cancel()
	require.NoError(t, <-done)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 100)
	for n, line := range lines {
		assert.Contains(t, line, fmt.Sprintf("n=%d", n))
	}
}

// stalledOutput is an output whose writes block until release is closed.
type stalledOutput struct{ release chan struct{} }

func (s stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that block while the reader of the log does. When the
// log's pipe was full, each request in a burst wrote its own log line and
// waited.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stalledOutput{release: make(chan struct{})}
		writer := logging.NewWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go writer.Run(ctx, done)
		log := slog.New(slog.NewTextHandler(writer, nil))
		started, usedBefore := time.Now(), processorTime(t)
		for n := range 20_000 {
			log.Info("request", "n", n)
		}
		assert.Zero(t, time.Since(started), "Write must not block")
		assert.Less(t, processorTime(t)-usedBefore, time.Second)
		cancel()
		close(out.release)
		require.NoError(t, <-done)
	})
}

// processorTime returns the processor time used by this process, which doesn't
// depend on the load of the machine.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	writer := logging.NewWriter(&out)
	for range 5000 {
		_, err := writer.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan error, 1)
	writer.Run(ctx, done)
	require.NoError(t, <-done)
	assert.Contains(t, out.String(), "log lines dropped")
	assert.Contains(t, out.String(), "lines=4500")
}

// Guards against a log that grows with the length of what callers send.
func TestLongLinesCountForTheirLength(t *testing.T) {
	var out bytes.Buffer
	writer := logging.NewWriter(&out)
	line := append(bytes.Repeat([]byte{'x'}, 64<<10), '\n')
	for range 100 {
		_, err := writer.Write(line)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan error, 1)
	writer.Run(ctx, done)
	require.NoError(t, <-done)
	assert.Less(t, out.Len(), 2<<20)
	assert.Contains(t, out.String(), "log lines dropped")
}

func BenchmarkLine(b *testing.B) {
	log := slog.New(slog.NewTextHandler(logging.NewWriter(&bytes.Buffer{}), nil))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "status", 200, "request", "9c41d07be2a35f68", "program", "3fa81c", "took", time.Second)
	}
}
