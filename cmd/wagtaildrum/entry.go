package main

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/entry"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// releaseTimeout bounds how long a stopping entry spends on giving up its
// leases.
const releaseTimeout = 5 * time.Second

type entryCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs an entry instance until SIGTERM, then drains: requests in
// flight finish (up to drain_timeout) before it exits.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.Load[settings.Entry](c.Settings)
	if err != nil {
		return err
	}
	p := newProcess("entry", s.InstanceID)
	ctx, stop := signalled()
	defer stop()
	e := entry.New(s, clock.Real{}, p.log, p.metrics.Scope())
	defer e.Close()
	if err := p.serveDebug(ctx, s.Debug, e.State); err != nil {
		return err
	}
	// The peer server outlives the signal: calls of programs owned here
	// that other instances forwarded finish before it stops.
	peerCtx, stopPeer := context.WithCancel(context.Background())
	defer stopPeer()
	srv, err := peer.Listen(s.PeerListen, e.HandlePeer, p.log)
	if err != nil {
		return err
	}
	p.goroutine(ctx, e.WatchConfig)
	p.goroutine(ctx, e.Tidy)
	p.goroutine(ctx, e.MarkEnds)
	p.goroutine(peerCtx, e.WriteJournal)
	p.goroutine(peerCtx, func(ctx context.Context, done chan<- error) { done <- srv.Serve(ctx) })
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		<-ctx.Done()
		e.WaitIdle(s.DrainTimeout)
		release, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		e.ReleaseLeases(release)
		cancel()
		stopPeer()
		done <- nil
	})
	if err := p.serveHTTP(ctx, s.Listen, e.Handler(), s.DrainTimeout); err != nil {
		stop()
		_ = p.wait(stop)
		return err
	}
	p.log.Info("entry started", "listen", s.Listen, "debug", s.Debug, "data_centre", s.DataCentre)
	err = p.wait(stop)
	p.log.Info("entry stopped")
	return err
}
