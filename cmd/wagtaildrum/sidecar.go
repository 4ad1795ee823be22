package main

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/sidecar"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

type sidecarCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs a sidecar until SIGTERM. A planned stop first drains: new
// calls are refused as "draining" (so entries route elsewhere at once),
// the instance is marked leaving, calls in flight finish, then it exits.
func (c *sidecarCommand) Execute([]string) error {
	s, err := settings.Load[settings.Sidecar](c.Settings)
	if err != nil {
		return err
	}
	p := newProcess("sidecar", s.InstanceID)
	sig, stopSig := signalled()
	defer stopSig()
	// The peer server outlives the signal: it must keep answering
	// (refusing as draining) until calls in flight are done.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sc := sidecar.New(s, clock.Real{}, p.log, p.metrics.Scope())
	srv, err := peer.Listen(s.Listen, sc.Handle, p.log)
	if err != nil {
		return err
	}
	if err := p.serveDebug(ctx, s.Debug, sc.State); err != nil {
		return err
	}
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) { done <- srv.Serve(ctx) })
	p.goroutine(ctx, sc.Run)
	pc := tableservice.NewClient(s.Platform, 2*time.Second)
	self := tableservice.Instance{ID: s.InstanceID, Address: srv.Addr(), State: tableservice.InstanceLive}
	if err := pc.SetInstance(ctx, self); err != nil {
		p.log.Warn("instance list not updated", "err", err)
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

func drain(p *process, sc *sidecar.Sidecar, pc *tableservice.Client, self tableservice.Instance, timeout time.Duration) {
	idle := sc.Drain()
	p.log.Info("sidecar draining", "timeout", timeout)
	self.State = tableservice.InstanceLeaving
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	if err := pc.SetInstance(ctx, self); err != nil {
		p.log.Warn("instance list not updated", "err", err)
	}
	cancel()
	select {
	case <-idle:
		p.log.Info("sidecar drained")
	case <-time.After(timeout):
		p.log.Warn("drain timed out with calls in flight")
	}
}
