package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// WatchConfig reads the configuration from the platform now and then every
// poll period until ctx ends, then reports on done. A version lower than
// or equal to the one held is ignored, so a stale read (a lagging replica
// of the table service, a delayed answer) never reverts an accepted
// configuration. While the platform is down the last version stays.
func (e *Entry) WatchConfig(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(e.configPoll)
	defer ticker.Stop()
	for {
		e.refreshConfig(ctx)
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-ticker.C:
		}
	}
}

// mostDeltas is how many versions a watcher follows by deltas; further
// behind, it reads the whole.
const mostDeltas = 64

func (e *Entry) refreshConfig(ctx context.Context) {
	cfg, err := e.newerConfig(ctx)
	if err != nil {
		if !tableservice.Is(err, tableservice.FailureNotFound) {
			e.log.Warn("config read failed", "err", err)
		}
		return
	}
	if cfg != nil && e.applyConfig(cfg) {
		e.log.Info("config applied", "version", cfg.Version, "endpoints", len(cfg.Endpoints))
	}
}

// newerConfig returns the newest configuration, or nil if it is the one
// held. It reads the head, and then only the deltas it lacks.
func (e *Entry) newerConfig(ctx context.Context) (*config.Config, error) {
	held := e.config.Load()
	head, err := e.platform.Get(ctx, config.HeadKey)
	if err != nil || head.Version <= held.Version {
		return nil, err
	}
	if held.Version == 0 || head.Version-held.Version > mostDeltas {
		return ReadConfig(ctx, e.platform)
	}
	cfg := held
	for version := held.Version + 1; version <= head.Version; version++ {
		next, err := e.followDelta(ctx, cfg, version)
		if err != nil {
			// Missing or foreign: the whole is always right.
			e.log.Info("config delta not usable", "version", version, "err", err)
			return ReadConfig(ctx, e.platform)
		}
		cfg = next
	}
	return cfg, nil
}

func (e *Entry) followDelta(ctx context.Context, cfg *config.Config, version uint64) (*config.Config, error) {
	rec, err := e.platform.Get(ctx, config.DeltaKey(version))
	if err != nil {
		return nil, err
	}
	var d config.Delta
	if err := json.Unmarshal(rec.Value, &d); err != nil {
		return nil, err
	}
	return cfg.With(&d)
}

// applyConfig installs cfg if it is newer than the one held. Versions are
// compared and installed under one lock, so an older one never lands, here
// or in the router, after a newer.
func (e *Entry) applyConfig(cfg *config.Config) bool {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if cfg.Version <= e.config.Load().Version {
		return false
	}
	e.config.Store(cfg)
	e.router.Update(cfg.Endpoints)
	return true
}

// ReadConfig reads and decodes the configuration record.
func ReadConfig(ctx context.Context, pc *tableservice.Client) (*config.Config, error) {
	rec, err := pc.Get(ctx, config.Key)
	if err != nil {
		return nil, err
	}
	var cfg config.Config
	if err := json.Unmarshal(rec.Value, &cfg); err != nil {
		return nil, err
	}
	cfg.Version = rec.Version
	return &cfg, nil
}
