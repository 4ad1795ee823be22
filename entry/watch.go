package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/platform"
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

func (e *Entry) refreshConfig(ctx context.Context) {
	cfg, err := ReadConfig(ctx, e.platform)
	if err != nil {
		if !platform.Is(err, platform.FailureNotFound) {
			e.log.Warn("config read failed", "err", err)
		}
		return
	}
	if e.applyConfig(cfg) {
		e.log.Info("config applied", "version", cfg.Version, "endpoints", len(cfg.Endpoints))
	}
}

// applyConfig installs cfg if it is newer than the one held.
func (e *Entry) applyConfig(cfg *config.Config) bool {
	for {
		cur := e.config.Load()
		if cfg.Version <= cur.Version {
			return false
		}
		if e.config.CompareAndSwap(cur, cfg) {
			e.router.Update(cfg.Endpoints)
			return true
		}
	}
}

// ReadConfig reads and decodes the configuration record.
func ReadConfig(ctx context.Context, pc *platform.Client) (*config.Config, error) {
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
