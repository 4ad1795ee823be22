package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// WatchConfig reads the configuration from the platform at once and then at
// every poll interval until ctx ends, then sends nil on done. A version not
// higher than the current one is ignored, so that a stale read, from a
// lagging replica of the table service or by a delayed response, never
// reverts an applied configuration. While the platform is unavailable the
// last version stays in use.
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

// maxDeltas is the largest number of versions that are followed by deltas. An
// instance further behind reads the complete configuration.
const maxDeltas = 64

// refreshConfig reads and applies the newest configuration. A failed read is
// logged, and the current configuration stays in use.
func (e *Entry) refreshConfig(ctx context.Context) {
	cfg, err := e.fetchNewerConfig(ctx)
	if err != nil {
		if !tableservice.IsFailure(err, tableservice.FailureNotFound) {
			e.log.Warn("configuration not read; the current version stays in use", "err", err)
		}
		return
	}
	if cfg != nil && e.applyConfig(cfg) {
		e.log.Info("configuration applied", "version", cfg.Version, "endpoints", len(cfg.Endpoints))
	}
}

// fetchNewerConfig returns the newest configuration, or nil if that is the
// current one. It reads the head, and then only the deltas that are missing
// here.
func (e *Entry) fetchNewerConfig(ctx context.Context) (*config.Config, error) {
	held := e.config.Load()
	head, err := e.platform.Get(ctx, config.HeadKey)
	if err != nil || head.Version <= held.Version {
		return nil, err
	}
	if held.Version == 0 || head.Version-held.Version > maxDeltas {
		return ReadConfig(ctx, e.platform)
	}
	cfg := held
	for version := held.Version + 1; version <= head.Version; version++ {
		next, err := e.applyDelta(ctx, cfg, version)
		if err != nil {
			// A delta may be missing or may not apply; the complete
			// configuration is always valid.
			e.log.Info("configuration delta not applied; reading the complete configuration", "version", version, "err", err)
			return ReadConfig(ctx, e.platform)
		}
		cfg = next
	}
	return cfg, nil
}

// applyDelta returns cfg with the delta of the given version applied.
func (e *Entry) applyDelta(ctx context.Context, cfg *config.Config, version uint64) (*config.Config, error) {
	rec, err := e.platform.Get(ctx, config.DeltaKey(version))
	if err != nil {
		return nil, err
	}
	var d config.Delta
	if err := json.Unmarshal(rec.Value, &d); err != nil {
		return nil, err
	}
	return cfg.ApplyDelta(&d)
}

// applyConfig installs cfg and reports whether it did; a cfg that is not
// newer than the current one is ignored. Versions are compared and installed
// under one lock, so that an older version never replaces a newer one,
// neither here nor in the router.
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

// ReadConfig reads and decodes the complete configuration. Its version is
// that of the record.
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
