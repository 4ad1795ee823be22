package main

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/entry"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

const (
	// ownCallerMemoryShare and ownPeerMemoryShare are the shares of the memory limit that
	// callers, and other processes that call, can make an entry instance or sidecar hold.
	ownCallerMemoryShare = 0.4
	ownPeerMemoryShare   = 0.4
	// maxPeerConns bounds the QUIC connections of other processes; each keeps one.
	maxPeerConns = 4096
)

// leaseReleaseTimeout is the maximum time that a stopping entry instance spends
// on releasing its leases.
const leaseReleaseTimeout = 5 * time.Second

// entryCommand is the entry command.
type entryCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs an entry instance until SIGTERM or SIGINT. It then drains: it
// exits after the requests in flight have completed, or after drain_timeout.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.Load[settings.Entry](c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(goMemoryShare * float64(s.Memory())))
	sockets := connlimit.Descriptors(0)
	p := newProcess("entry", s.InstanceID)
	ctx, stop := signalContext()
	defer stop()
	e := entry.New(s, clock.Real{}, p.log, p.metrics.Scope())
	defer e.Close()
	if err := p.serveDebug(ctx, s.Debug, e.State, s.Memory()); err != nil {
		return err
	}
	// The peer server keeps running after the signal, so that calls forwarded by
	// other instances for programs owned here complete before it stops.
	peerCtx, stopPeer := context.WithCancel(context.Background())
	defer stopPeer()
	srv, err := peer.Listen(s.PeerListen, e.HandlePeer, p.limiter("peers", ownPeerMemoryShare, s.Memory(), maxPeerConns), p.log)
	if err != nil {
		return err
	}
	p.goroutine(ctx, e.WatchConfig)
	p.goroutine(ctx, e.RunMaintenance)
	p.goroutine(ctx, e.RunEndedLeases)
	p.goroutine(peerCtx, e.WriteJournal)
	p.goroutine(peerCtx, func(ctx context.Context, done chan<- error) { done <- srv.Serve(ctx) })
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		<-ctx.Done()
		e.WaitIdle(s.DrainTimeout)
		releaseCtx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
		e.ReleaseLeases(releaseCtx)
		cancel()
		stopPeer()
		done <- nil
	})
	if err := p.serveHTTP(ctx, s.Listen, e.Handler(), p.limiter("callers", ownCallerMemoryShare, s.Memory(), sockets/2), s.DrainTimeout); err != nil {
		stop()
		_ = p.wait(stop)
		return err
	}
	p.log.Info("entry started", "listen", s.Listen, "debug", s.Debug, "data_centre", s.DataCentre)
	err = p.wait(stop)
	p.log.Info("entry stopped")
	return err
}
