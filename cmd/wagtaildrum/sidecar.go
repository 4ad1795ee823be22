package main

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/sidecar"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// sidecarCommand is the sidecar command.
type sidecarCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs a sidecar until SIGTERM or SIGINT. It then drains: it rejects new
// calls as draining, so that entry instances route them elsewhere at once, marks
// the instance as leaving, and exits after the calls in flight have completed, or
// after drain_timeout.
func (c *sidecarCommand) Execute([]string) error {
	s, err := settings.Load[settings.Sidecar](c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(goMemoryShare * float64(s.Memory())))
	p := newProcess("sidecar", s.InstanceID)
	sig, stopSig := signalContext()
	defer stopSig()
	// The peer server keeps running after the signal: it must reject new calls
	// as draining until the calls in flight have completed.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sc := sidecar.New(s, clock.Real{}, p.log, p.metrics.Scope())
	srv, err := peer.Listen(s.Listen, sc.Handle, p.limiter("peers", ownPeerMemoryShare, s.Memory(), maxPeerConns), p.log)
	if err != nil {
		return err
	}
	if err := p.serveDebug(ctx, s.Debug, sc.State, s.Memory()); err != nil {
		return err
	}
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) { done <- srv.Serve(ctx) })
	p.goroutine(ctx, sc.Run)
	pc := tableservice.NewClient(s.Platform, 2*time.Second)
	self := tableservice.Instance{ID: s.InstanceID, Address: srv.Addr(), State: tableservice.InstanceLive}
	if err := pc.SetInstance(ctx, self); err != nil {
		p.log.Warn("instance not marked live in the instance list; serving anyway", "err", err)
	}
	p.log.Info("sidecar started", "listen", srv.Addr(), "endpoint", s.Endpoint, "role", s.Role)
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		select {
		case <-ctx.Done():
		case <-sig.Done():
			drain(p, sc, pc, self, s.DrainTimeout)
			stop()
		}
		done <- nil
	})
	return p.wait(stop)
}

// drain rejects new calls, marks the instance as leaving in the instance list,
// and waits until no call is in flight or timeout has passed.
func drain(p *process, sc *sidecar.Sidecar, pc *tableservice.Client, self tableservice.Instance, timeout time.Duration) {
	idle := sc.Drain()
	p.log.Info("sidecar draining", "timeout", timeout)
	self.State = tableservice.InstanceLeaving
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	if err := pc.SetInstance(ctx, self); err != nil {
		p.log.Warn("instance not marked leaving in the instance list; draining anyway", "err", err)
	}
	cancel()
	select {
	case <-idle:
		p.log.Info("sidecar drained")
	case <-time.After(timeout):
		p.log.Warn("drain timed out; stopping with calls in flight")
	}
}
