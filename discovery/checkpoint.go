package discovery

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// checkpointTimeout bounds the write of a checkpoint, and replayTimeout the
	// reading of one and of the history since.
	checkpointTimeout = 2 * time.Second
	replayTimeout     = 500 * time.Millisecond
	// replayRetryInterval is the delay before a replay that the store did not serve
	// is tried again, and maxReplayAttempts bounds the attempts: a history of many
	// endpoints may be larger than a response.
	replayRetryInterval = time.Second
	maxReplayAttempts   = 3
	// maxReplayEndpoints is the number of endpoints up to which the history is read. The
	// heartbeats of more, within 20 s, are over 5,000 changes: at 25,000 the reading
	// took 33 MB, of the 64 MB of an instance, and all instances may read them at once.
	maxReplayEndpoints = 300
	// maxCheckpointServices bounds the services of a checkpoint, and
	// maxCheckpointName the length of their names and versions in bytes. With both,
	// a checkpoint stays under the size of a row.
	maxCheckpointServices = 100
	maxCheckpointName     = 200
)

// checkpointKey is the key of the row that holds the latest checkpoint.
var checkpointKey = store.Key{Table: "versions", Name: "sole"}

// checkpoint holds what an instance knew of the software versions of services. It
// outlives a loss of power of all instances, and the changes of the list of
// endpoints since tell what became of it.
type checkpoint struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the store up to which the services had their sole
	// versions.
	Version  uint64
	Services []checkpointService
}

// checkpointService is a service of a checkpoint: its endpoints had no other version
// for PeriodMillis up to the checkpoint.
type checkpointService struct {
	_             struct{} `cbor:",toarray"`
	Name, Version string
	PeriodMillis  int64
}

// sole returns the sole version of the service, and false if a field is out of
// bounds.
func (service *checkpointService) sole() (membership.SoleVersion, bool) {
	sole := membership.SoleVersion{Service: service.Name, Version: service.Version, Period: time.Duration(service.PeriodMillis) * time.Millisecond}
	return sole, service.Name != "" && len(service.Name) <= maxCheckpointName && len(service.Version) <= maxCheckpointName && service.PeriodMillis > 0 && service.PeriodMillis <= membership.MaxVersionAge.Milliseconds()
}

// Run writes checkpoints until ctx ends, then sends nil to done. At each interval it
// writes one if streams that may be resumed were served since the last, if the
// instance knows a sole version for long enough to resume some of them, and if
// isWriter reports that the instance is one of the few to write them.
func (versions *Versions) Run(interval time.Duration, isWriter func() bool) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		clock.Every(ctx, interval, func(time.Time) {
			if period := time.Duration(versions.asked.Swap(0)); period > 0 && isWriter() {
				versions.Checkpoint(ctx, period)
			}
		}, done)
	}
}

// Checkpoint writes a checkpoint of the services that had a sole version during the
// last period. It first replays the history if the instance has not done so, and
// writes none until the store has served that, since it may replace the checkpoint of
// an instance that knew of a longer time. It writes none while there are too many
// endpoints to replay it.
func (versions *Versions) Checkpoint(ctx context.Context, period time.Duration) {
	if versions.list.Len() > maxReplayEndpoints || !versions.replay(ctx) {
		return
	}
	// The list includes at least the changes up to this version when it is asked.
	written := checkpoint{Version: versions.follower.applied.Load()}
	for _, sole := range versions.list.SoleVersions(versions.clock.Now()) {
		service := checkpointService{Name: sole.Service, Version: sole.Version, PeriodMillis: sole.Period.Milliseconds()}
		if _, ok := service.sole(); ok && sole.Period >= period && len(written.Services) < maxCheckpointServices {
			written.Services = append(written.Services, service)
		}
	}
	if len(written.Services) == 0 {
		return
	}
	value, err := codec.Marshal(&written)
	if err != nil {
		versions.log.Error("checkpoint of software versions cannot be encoded", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if err := versions.write(ctx, &written, value); err != nil {
		versions.log.Warn("checkpoint of software versions not written", "err", err)
	}
}

// write writes a checkpoint, encoded as value, unless there is a later one. A write without a
// response may be applied later, so each one is made conditional on the checkpoint that it
// replaces.
func (versions *Versions) write(ctx context.Context, written *checkpoint, value []byte) error {
	replaced := versions.checkpointVersion.Load()
	for {
		version, err := versions.store.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: checkpointKey, Version: replaced}}, Puts: []store.Put{{Key: checkpointKey, Value: value}}})
		var failure *store.Error
		if !errors.As(err, &failure) || failure.Failure() != store.FailureConflict {
			if err == nil {
				versions.checkpointVersion.Store(version)
			}
			return err
		}
		var current checkpoint
		previous := replaced
		replaced = 0
		for _, row := range failure.Rows() {
			if row.Key == checkpointKey && row.Version > 0 {
				replaced = row.Version
				_ = codec.Unmarshal(row.Value, &current) // one that cannot be decoded is replaced
			}
		}
		versions.checkpointVersion.Store(replaced)
		if current.Version >= written.Version || replaced == previous {
			return nil // an earlier attempt, or another instance, wrote it
		}
	}
}

// replay extends what the list knows of sole versions by the latest checkpoint and
// the changes since. For each time since which the list is followed, the store
// serves this once at most. Concurrent calls wait for the same reading. It reports
// whether the reading is done, whatever it told.
func (versions *Versions) replay(ctx context.Context) bool {
	followedSince := versions.list.FollowedSince()
	versions.mu.Lock()
	isDone := followedSince.Equal(versions.replayedFor)
	if followedSince.IsZero() || isDone || versions.replaying == nil && versions.clock.Now().Before(versions.replayAt) {
		versions.mu.Unlock()
		return isDone && !followedSince.IsZero()
	}
	if versions.replaying == nil {
		versions.replaying = make(chan struct{})
		go versions.runReplay(context.WithoutCancel(ctx), followedSince, versions.replaying)
	}
	ended := versions.replaying
	versions.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	versions.mu.Lock()
	defer versions.mu.Unlock()
	return followedSince.Equal(versions.replayedFor)
}

// runReplay reads the checkpoint and the history, records the result, and closes
// ended.
func (versions *Versions) runReplay(ctx context.Context, followedSince time.Time, ended chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, replayTimeout)
	defer cancel()
	soles, err := versions.readHistory(ctx)
	now := versions.clock.Now()
	for _, sole := range soles {
		versions.list.ExtendSole(sole, followedSince, now)
	}
	versions.log.Info("software versions replayed from the history of the list", "sole", soles, "err", err)
	versions.mu.Lock()
	defer versions.mu.Unlock()
	versions.replaying = nil
	versions.replayAttempts++
	if store.Unserved(err) && versions.replayAttempts < maxReplayAttempts {
		versions.replayAt = now.Add(replayRetryInterval)
	} else {
		versions.replayedFor, versions.replayAttempts = followedSince, 0
	}
	close(ended)
}

// readHistory returns the sole versions of the latest checkpoint that no change of
// the list since contradicts. It returns a *HistoryError if they cannot be known for
// certain, and the error of the store.
func (versions *Versions) readHistory(ctx context.Context) ([]membership.SoleVersion, error) {
	if n := versions.list.Len(); n > maxReplayEndpoints {
		return nil, &HistoryError{problem: "too many endpoints to read it: " + strconv.Itoa(n)}
	}
	applied := versions.follower.applied.Load()
	row, err := store.Get(ctx, versions.store, checkpointKey)
	switch {
	case err != nil:
		return nil, err
	case row.Version == 0:
		return nil, &HistoryError{problem: "there is no checkpoint"}
	}
	versions.checkpointVersion.Store(row.Version)
	var latest checkpoint
	if err := codec.Unmarshal(row.Value, &latest); err != nil {
		return nil, &HistoryError{problem: "checkpoint cannot be decoded: " + err.Error()}
	}
	page, err := versions.store.Watch(ctx, versions.follower.TableName(), latest.Version, 0)
	switch {
	case err != nil:
		return nil, err
	case page.More:
		return nil, &HistoryError{problem: "history exceeds a page"}
	case page.Version < max(applied, latest.Version):
		// The changes up to those that the list includes are not all in the page.
		return nil, store.NewError(store.FailureRefused, "watch", "the page is behind what is known")
	case !versions.follower.observeChanges(page.Rows):
		return nil, &HistoryError{problem: "it may hold the latest change of each row only"}
	}
	return versions.uncontradicted(&latest, page.Rows)
}

// uncontradicted returns the sole versions of a checkpoint that none of the changes
// since contradicts. It returns a *HistoryError if the service or version of a
// removed endpoint is not known, which may have been of any service.
func (versions *Versions) uncontradicted(latest *checkpoint, changes []store.Row) ([]membership.SoleVersion, error) {
	known, contradicted := map[string]bool{}, map[string]bool{}
	checkpointed := map[string]string{}
	for _, service := range latest.Services {
		checkpointed[service.Name] = service.Version
	}
	for _, row := range changes {
		if row.Removed {
			if !known[row.Key.Name] {
				return nil, &HistoryError{problem: "version of removed endpoint " + row.Key.Name + " is not known"}
			}
			continue
		}
		endpoint, err := versions.decode(row.Key.Name, row.Value)
		if err != nil {
			continue // an entry that cannot be decoded names no endpoint
		}
		known[row.Key.Name] = true
		if endpoint.Version != checkpointed[endpoint.Service] {
			contradicted[endpoint.Service] = true
		}
	}
	var soles []membership.SoleVersion
	for i := range latest.Services {
		if sole, ok := latest.Services[i].sole(); ok && !contradicted[sole.Service] {
			soles = append(soles, sole)
		}
	}
	return soles, nil
}

// HistoryError is returned if the history of the list of endpoints does not tell for
// certain which software versions a service had.
type HistoryError struct{ problem string }

// Error returns the problem.
func (e *HistoryError) Error() string {
	return "software versions of the past are unknown: " + e.problem
}
