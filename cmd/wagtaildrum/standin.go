package main

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/standin"
)

// engineCommand is the standin engine command.
type engineCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs the engine stand-in until SIGTERM or SIGINT.
func (c *engineCommand) Execute([]string) error {
	s, err := settings.Load[settings.Engine](c.Settings)
	if err != nil {
		return err
	}
	p := newProcess("engine", s.InstanceID)
	ctx, stop := signalContext()
	defer stop()
	eng := standin.NewEngine(standin.EngineSpec{Model: s.Model, Step: s.Step, StepPerSequence: s.StepPerSequence, MaxBatch: s.MaxBatch,
		PrefillTokens: s.PrefillTokens, CacheBlocks: s.CacheBlocks, BlockTokens: s.BlockTokens, ReportLag: s.ReportLag, EventLossPercent: s.EventLossPercent})
	p.goroutine(ctx, eng.Run)
	if err := p.serveDebug(ctx, s.Debug, eng.State, settings.DefaultMemoryMB<<20); err != nil {
		return err
	}
	if err := p.serveHTTP(ctx, s.Listen, eng.Handler(), p.limiter("callers", 0, 0, 0), time.Second); err != nil {
		return err
	}
	p.log.Info("engine stand-in started", "listen", s.Listen, "model", s.Model)
	return p.wait(stop)
}

// toolCommand is the standin tool command.
type toolCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs the tool stand-in until SIGTERM or SIGINT.
func (c *toolCommand) Execute([]string) error {
	s, err := settings.Load[settings.Tool](c.Settings)
	if err != nil {
		return err
	}
	p := newProcess("tool", s.InstanceID)
	ctx, stop := signalContext()
	defer stop()
	t := standin.NewTool(s.Hang, s.Work)
	if err := p.serveDebug(ctx, s.Debug, t.State, settings.DefaultMemoryMB<<20); err != nil {
		return err
	}
	if err := p.serveHTTP(ctx, s.Listen, t.Handler(), p.limiter("callers", 0, 0, 0), time.Second); err != nil {
		return err
	}
	p.log.Info("tool stand-in started", "listen", s.Listen)
	return p.wait(stop)
}

// platformCommand is the standin platform command.
type platformCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"TOML settings file"`
}

// Execute runs the platform stand-in until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	s, err := settings.Load[settings.Platform](c.Settings)
	if err != nil {
		return err
	}
	p := newProcess("platform", s.InstanceID)
	ctx, stop := signalContext()
	defer stop()
	pl := standin.NewPlatform(s.InstanceLag, time.Now)
	pl.SetLimits(standin.Limits{WritesPerSecond: s.WritesPerSecond, ReadsPerSecond: s.ReadsPerSecond, TableLatency: s.TableTime, ObjectLatency: s.ObjectTime})
	if err := p.serveDebug(ctx, s.Debug, pl.State, settings.DefaultMemoryMB<<20); err != nil {
		return err
	}
	if err := p.serveHTTP(ctx, s.Listen, pl.Handler(), p.limiter("callers", 0, 0, 0), time.Second); err != nil {
		return err
	}
	p.log.Info("platform stand-in started", "listen", s.Listen)
	return p.wait(stop)
}
