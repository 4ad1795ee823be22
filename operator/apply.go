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

// FileError is returned for a configuration that can't be used: a file that
// can't be read, parsed or validated, or a table record that can't be decoded.
type FileError struct {
	path   string
	detail string
}

// Error returns the file or record and the reason why it can't be used.
func (e *FileError) Error() string { return fmt.Sprintf("config file %s: %s", e.path, e.detail) }

// StaleError is returned by Apply if the configuration was changed after the
// plan was made.
type StaleError struct{ planned, current uint64 }

// Error returns the version of the plan and the current one.
func (e *StaleError) Error() string {
	return fmt.Sprintf("configuration changed after the plan was made (plan against version %d, current version %d): make a new plan", e.planned, e.current)
}

// ReadDesired reads and validates the desired configuration, a TOML file of
// [[endpoint]] tables. It returns a *FileError if the file can't be read, has an
// unknown key or holds an invalid endpoint.
func ReadDesired(path string) (*config.Config, error) {
	var cfg config.Config
	md, err := toml.DecodeFile(path, &cfg)
	if err != nil {
		return nil, &FileError{path: path, detail: err.Error()}
	}
	if undecoded := md.Undecoded(); len(undecoded) > 0 {
		return nil, &FileError{path: path, detail: fmt.Sprintf("unknown key %q", undecoded[0].String())}
	}
	if err := cfg.Validate(); err != nil {
		return nil, &FileError{path: path, detail: err.Error()}
	}
	return &cfg, nil
}

// Current returns the current configuration from the table service, or an empty
// one of version 0 if none has been written.
func Current(ctx context.Context, pc *tableservice.Client) (*config.Config, error) {
	rec, err := pc.Get(ctx, config.Key)
	if tableservice.IsFailure(err, tableservice.FailureNotFound) {
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

// Apply writes desired if the current configuration still has the plan's base
// version, and returns the new version; otherwise it returns a *StaleError. If
// the response to the write is lost, Apply reads the configuration back: the
// write took effect if the version after the base holds desired.
func Apply(ctx context.Context, pc *tableservice.Client, plan *config.Plan, desired *config.Config) (uint64, error) {
	current, err := Current(ctx, pc)
	if err != nil {
		return 0, err
	}
	if current.Version != plan.BaseVersion() {
		return 0, &StaleError{planned: plan.BaseVersion(), current: current.Version}
	}
	ops, err := transactionOps(current, desired)
	if err != nil {
		return 0, err
	}
	next := plan.BaseVersion() + 1
	err = pc.Tx(ctx, ops...)
	var pe *tableservice.Error
	switch {
	case err == nil:
		return next, nil
	case tableservice.IsFailure(err, tableservice.FailureConflict) && errors.As(err, &pe):
		return 0, &StaleError{planned: plan.BaseVersion(), current: pe.Current()}
	case tableservice.IsFailure(err, tableservice.FailureUnavailable):
		return next, resolveUnknownWrite(ctx, pc, plan, desired, err)
	}
	return 0, err
}

// transactionOps returns the operations of the transaction that turns current
// into desired: it writes the full configuration, the delta and the head, and
// deletes the delta that expires.
func transactionOps(current, desired *config.Config) ([]tableservice.TxOp, error) {
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
		op, err := tableservice.NewPutOp(r.key, r.value, r.expect)
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	if key, ok := config.ExpiredDeltaKey(next); ok {
		ops = append(ops, tableservice.TxOp{Key: key, Delete: true})
	}
	return ops, nil
}

// resolveUnknownWrite reads the configuration back after a write without a
// response. It returns nil if the write took effect, a *StaleError if another
// change did, and writeErr if the outcome stays unknown or there was no effect.
func resolveUnknownWrite(ctx context.Context, pc *tableservice.Client, plan *config.Plan, desired *config.Config, writeErr error) error {
	current, err := Current(ctx, pc)
	switch {
	case err != nil:
		return writeErr
	case current.Version == plan.BaseVersion()+1 && len(config.MakePlan(current, desired).Changes()) == 0:
		return nil
	case current.Version != plan.BaseVersion():
		return &StaleError{planned: plan.BaseVersion(), current: current.Version}
	}
	return writeErr
}
