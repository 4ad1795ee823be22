package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"

	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// FileError is a desired-configuration file that cannot be used.
type FileError struct {
	path   string
	detail string
}

// Error names the file and the fault.
func (e *FileError) Error() string { return fmt.Sprintf("config file %s: %s", e.path, e.detail) }

// StaleError says the configuration changed after the plan was made.
type StaleError struct{ planned, current uint64 }

// Error names both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("configuration changed since the plan (planned against version %d, now %d): plan again", e.planned, e.current)
}

// ReadDesired reads and validates a desired configuration from a TOML file
// of [[endpoint]] tables.
func ReadDesired(path string) (*config.Config, error) {
	var cfg config.Config
	md, err := toml.DecodeFile(path, &cfg)
	if err != nil {
		return nil, &FileError{path: path, detail: err.Error()}
	}
	if und := md.Undecoded(); len(und) > 0 {
		return nil, &FileError{path: path, detail: fmt.Sprintf("unknown key %q", und[0].String())}
	}
	if err := cfg.Validate(); err != nil {
		return nil, &FileError{path: path, detail: err.Error()}
	}
	return &cfg, nil
}

// Current reads the configuration in force; none yet is version 0.
func Current(ctx context.Context, pc *tableservice.Client) (*config.Config, error) {
	rec, err := pc.Get(ctx, config.Key)
	if tableservice.Is(err, tableservice.FailureNotFound) {
		return &config.Config{}, nil
	}
	if err != nil {
		return nil, err
	}
	var cfg config.Config
	if err := json.Unmarshal(rec.Value, &cfg); err != nil {
		return nil, &FileError{path: "platform:" + config.Key, detail: err.Error()}
	}
	cfg.Version = rec.Version
	return &cfg, nil
}

// Apply writes desired if the configuration is still at plan's base
// version, and returns the new version. A write whose answer was lost is
// read back: if the record holds desired at base+1, it was ours.
func Apply(ctx context.Context, pc *tableservice.Client, plan *config.Plan, desired *config.Config) (uint64, error) {
	current, err := Current(ctx, pc)
	if err != nil {
		return 0, err
	}
	if current.Version != plan.Base() {
		return 0, &StaleError{planned: plan.Base(), current: current.Version}
	}
	ops, err := changeOps(current, desired)
	if err != nil {
		return 0, err
	}
	next := plan.Base() + 1
	err = pc.Tx(ctx, ops...)
	var pe *tableservice.Error
	switch {
	case err == nil:
		return next, nil
	case tableservice.Is(err, tableservice.FailureConflict) && errors.As(err, &pe):
		return 0, &StaleError{planned: plan.Base(), current: pe.Current()}
	case tableservice.Is(err, tableservice.FailureUnavailable):
		return next, readBack(ctx, pc, plan, desired, err)
	}
	return 0, err
}

// changeOps returns the steps of the transaction that turns current into
// desired: the whole, the delta, the head, and an old delta's deletion.
func changeOps(current, desired *config.Config) ([]tableservice.TxOp, error) {
	base, next := current.Version, current.Version+1
	var ops []tableservice.TxOp
	for _, r := range []struct {
		key    string
		value  any
		expect uint64
	}{
		{config.Key, desired, base},
		{config.DeltaKey(next), config.MakeDelta(current, desired), 0},
		{config.HeadKey, struct{}{}, base},
	} {
		op, err := tableservice.PutOp(r.key, r.value, r.expect)
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	if key, ok := config.ExpiredDelta(next); ok {
		ops = append(ops, tableservice.TxOp{Key: key, Delete: true})
	}
	return ops, nil
}

// readBack finds out what became of a write whose answer was lost; it
// returns nil if it took effect.
func readBack(ctx context.Context, pc *tableservice.Client, plan *config.Plan, desired *config.Config, lost error) error {
	current, err := Current(ctx, pc)
	switch {
	case err != nil:
		return lost
	case current.Version == plan.Base()+1 && len(config.MakePlan(current, desired).Changes()) == 0:
		return nil
	case current.Version != plan.Base():
		return &StaleError{planned: plan.Base(), current: current.Version}
	}
	return lost
}
