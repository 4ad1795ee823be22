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

	"github.com/wagtaildrum/wagtaildrum/debug"
	"github.com/wagtaildrum/wagtaildrum/logging"
)

// process holds what every long-running subcommand shares: its logger,
// metrics, and the goroutines it started, each of which reports its end
// on done.
type process struct {
	log     *slog.Logger
	metrics *debug.Metrics
	done    chan error
	running int
}

func newProcess(role, instance string) *process {
	return newLoggingProcess(role, instance, os.Stderr)
}

// newLoggingProcess is newProcess for a process that logs to out.
func newLoggingProcess(role, instance string, out io.Writer) *process {
	log := slog.New(logging.NewHandler(out)).With("role", role, "instance", instance)
	return &process{log: log, metrics: debug.NewMetrics(role), done: make(chan error, 16)}
}

// goroutine starts f, which must report its end on done.
func (p *process) goroutine(ctx context.Context, f func(ctx context.Context, done chan<- error)) {
	p.running++
	go f(ctx, p.done)
}

// serveHTTP serves h on addr until ctx ends, then shuts down gracefully,
// waiting up to grace for requests in flight: a planned stop cuts none.
func (p *process) serveHTTP(ctx context.Context, addr string, h http.Handler, grace time.Duration) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	p.serveListener(ctx, ln, h, grace)
	return nil
}

func (p *process) serveListener(ctx context.Context, ln net.Listener, h http.Handler, grace time.Duration) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		errc := make(chan error, 1)
		go func() { errc <- srv.Serve(ln) }()
		select {
		case err := <-errc:
			done <- err
		case <-ctx.Done():
			sctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			err := srv.Shutdown(sctx)
			if serr := <-errc; !errors.Is(serr, http.ErrServerClosed) {
				err = errors.Join(err, serr)
			}
			done <- err
		}
	})
}

// serveDebug serves the state dump and metrics, and logs the state on
// SIGUSR1.
func (p *process) serveDebug(ctx context.Context, addr string, state debug.StateFunc) error {
	if err := p.serveHTTP(ctx, addr, debug.Handler(state, p.metrics), time.Second); err != nil {
		return err
	}
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) { debug.LogOnSignal(ctx, p.log, state, done) })
	return nil
}

// signalled returns a context that ends on SIGTERM or SIGINT, or when it is
// cancelled. The signals stay handled until the process has ended: one that
// comes while it stops would end it at once, with what is in flight.
func signalled() (context.Context, context.CancelFunc) {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return context.WithCancel(ctx)
}

// wait waits for every goroutine to report its end, and returns the first
// error reported. If one ends early with an error, stop is called so the
// others end too.
func (p *process) wait(stop context.CancelFunc) error {
	var first error
	for range p.running {
		if err := <-p.done; err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("goroutine ended", "err", err)
			if first == nil {
				first = err
			}
			stop()
		}
	}
	p.metrics.Close()
	return first
}
