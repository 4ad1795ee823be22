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

// stuck is a reader of the log that does not read.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Symptom: all requests stand still while the log's reader does. Events: the
// log's pipe is full; a burst of requests each log a line. Cause: lines were
// written by who served the request.
func TestStuckReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{release: make(chan struct{})}
		writer := logging.NewWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go writer.Run(ctx, done)
		log := slog.New(slog.NewTextHandler(writer, nil))
		began, used := time.Now(), processorTime(t)
		for n := range 20_000 {
			log.Info("request", "n", n)
		}
		assert.Zero(t, time.Since(began), "nothing waits")
		assert.Less(t, processorTime(t)-used, time.Second)
		cancel()
		close(out.release)
		require.NoError(t, <-done)
	})
}

// processorTime returns what this process has used, however busy the machine is.
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

func BenchmarkLine(b *testing.B) {
	log := slog.New(slog.NewTextHandler(logging.NewWriter(&bytes.Buffer{}), nil))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "status", 200, "request", "9c41d07be2a35f68", "program", "3fa81c", "took", time.Second)
	}
}
