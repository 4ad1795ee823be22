package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/debug"
	"github.com/wagtaildrum/wagtaildrum/logging"
)

const (
	// checkMemoryShare is the share of the memory limit that readiness checks, and
	// separately readers of metrics, can make a process hold.
	checkMemoryShare = 0.02
	// maxCheckConns bounds the connections of each.
	maxCheckConns = 16
	// writeTimeout bounds each write to a client that may not read.
	writeTimeout = 20 * time.Second
)

// process holds the state that all long-running commands share: the logger, the
// metrics and the running goroutines.
type process struct {
	log     *slog.Logger
	metrics *debug.Metrics
	done    chan error // receives the result of each goroutine
	running int        // goroutines started
}

// newProcess returns a process of a role and an instance that logs to standard
// error.
func newProcess(role, instance string) *process {
	return newLoggingProcess(role, instance, os.Stderr)
}

// newLoggingProcess is like newProcess for a process that logs to out.
func newLoggingProcess(role, instance string, out io.Writer) *process {
	log := slog.New(logging.NewHandler(out)).With("role", role, "instance", instance)
	return &process{log: log, metrics: debug.NewMetrics(role), done: make(chan error, 16)}
}

// goroutine runs f in a new goroutine. f must send its result on done exactly
// once, when it ends.
func (p *process) goroutine(ctx context.Context, f func(ctx context.Context, done chan<- error)) {
	p.running++
	go f(ctx, p.done)
}

// limiter returns a limiter for the listener of the given name. Its clients can make the process
// hold the given share of memory bytes, and so many connections.
func (p *process) limiter(name string, share float64, memory int64, connections int) *connlimit.Limiter {
	return connlimit.New(connlimit.Config{Name: name, Memory: int64(share * float64(memory)), Connections: connections, WriteTimeout: writeTimeout, Log: p.log, Metrics: p.metrics.Scope()})
}

// serveHTTP starts serving h on addr within the limits of limiter and returns. When ctx
// ends, the server shuts down gracefully and waits up to grace for requests in flight, so
// that a planned stop interrupts none of them. It returns an error if it cannot listen on
// addr.
func (p *process) serveHTTP(ctx context.Context, addr string, h http.Handler, limiter *connlimit.Limiter, grace time.Duration) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	p.serveListener(ctx, connlimit.NewListener(ln, limiter), h, grace)
	return nil
}

// serveListener is like serveHTTP for an open listener.
func (p *process) serveListener(ctx context.Context, ln net.Listener, h http.Handler, grace time.Duration) {
	srv := connlimit.NewServer(h, p.log)
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		serveDone := make(chan error, 1)
		go func() { serveDone <- srv.Serve(ln) }()
		select {
		case err := <-serveDone:
			done <- err
		case <-ctx.Done():
			shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			err := srv.Shutdown(shutdownCtx)
			if serveErr := <-serveDone; !errors.Is(serveErr, http.ErrServerClosed) {
				err = errors.Join(err, serveErr)
			}
			done <- err
		}
	})
}

// serveDebug starts serving the state dump and the metrics on addr until ctx
// ends, and logs the state on SIGUSR1. memory is the memory limit of the process.
func (p *process) serveDebug(ctx context.Context, addr string, state debug.StateFunc, memory int64) error {
	if err := p.serveHTTP(ctx, addr, debug.Handler(state, p.metrics), p.limiter("debug", checkMemoryShare, memory, maxCheckConns), time.Second); err != nil {
		return err
	}
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) { debug.LogOnSignal(ctx, p.log, state, done) })
	return nil
}

// signalContext returns a context that ends on SIGTERM or SIGINT, or when it is
// cancelled. The signals remain handled until the process exits: otherwise a
// signal during shutdown would terminate the process with requests in flight.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return context.WithCancel(ctx)
}

// wait waits until every goroutine has ended and returns the first error other
// than http.ErrServerClosed. After each such error it calls stop, which must end
// the other goroutines.
func (p *process) wait(stop context.CancelFunc) error {
	var first error
	for range p.running {
		if err := <-p.done; err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("goroutine failed; stopping the process", "err", err)
			if first == nil {
				first = err
			}
			stop()
		}
	}
	p.metrics.Close()
	return first
}
