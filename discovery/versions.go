package discovery

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// Versions tells which software versions the endpoints of a service have. It
// implements resumption.Versions.
type Versions struct {
	// checkpointVersion is the version of the checkpoint in the store as last read or written, 0
	// for none.
	checkpointVersion atomic.Uint64

	list     *membership.List
	follower *Follower
	store    store.Store
	decode   func(id string, data []byte) (*membership.Endpoint, error)
	clock    clock.Clock
	log      *slog.Logger
	// asked is the shortest period that Sole was asked for since Run last looked; 0 if
	// it was not asked.
	asked atomic.Int64

	mu sync.Mutex
	// replaying is closed when the replay in progress ends; nil if there is none.
	replaying chan struct{}
	// replayedFor is the time since which the list was followed at the last completed
	// replay. After replayAttempts that the store did not serve, the next one starts
	// at replayAt at the earliest.
	replayedFor, replayAt time.Time
	replayAttempts        int
}

// NewVersions returns Versions of the endpoints in list, which follower keeps up to
// date. It reads the latest changes from s, which must be the store itself, and
// writes checkpoints to it.
func NewVersions(list *membership.List, follower *Follower, s store.Store, decode func(id string, data []byte) (*membership.Endpoint, error), clk clock.Clock, log *slog.Logger) *Versions {
	return &Versions{list: list, follower: follower, store: s, decode: decode, clock: clk, log: log}
}

// Sole implements resumption.Versions. It goes by the list as this instance knows
// it.
func (versions *Versions) Sole(service string, period time.Duration) (string, bool) {
	if service == "" {
		return "", false
	}
	for {
		asked := versions.asked.Load()
		if asked != 0 && int64(period) >= asked || versions.asked.CompareAndSwap(asked, int64(period)) {
			return versions.list.SoleVersion(service, period, versions.clock.Now())
		}
	}
}

// Prove implements resumption.Versions. It reads the history of the list from the
// store, once at most for each time since which the list is followed.
func (versions *Versions) Prove(ctx context.Context, service string, period time.Duration) (string, bool) {
	versions.replay(ctx)
	return versions.list.SoleVersion(service, period, versions.clock.Now())
}

// appliedPollInterval is the interval at which Confirm looks for the version of a list
// that has just been read.
const appliedPollInterval = 2 * time.Millisecond

// Confirm implements resumption.Versions. It reads the changes that this instance
// has not received from the store. It returns a *VersionError if an endpoint of the
// service has another version, and the error of the store.
func (versions *Versions) Confirm(ctx context.Context, service, version string) error {
	// Changes up to this version are in the list already, later ones in the page.
	after := versions.follower.applied.Load()
	for after == 0 && clock.Sleep(ctx, appliedPollInterval) {
		// The list was read for the first time, and its version is about to be
		// recorded. A watch from version 0 would return all that was ever listed.
		after = versions.follower.applied.Load()
	}
	page, err := versions.store.Watch(ctx, versions.follower.TableName(), after, 0)
	if err != nil {
		return err
	}
	if page.More {
		return &VersionError{service: service}
	}
	for _, row := range page.Rows {
		if row.Removed {
			continue
		}
		// An entry that cannot be decoded names no endpoint.
		if endpoint, err := versions.decode(row.Key.Name, row.Value); err == nil && endpoint.Service == service && endpoint.Version != version {
			return &VersionError{service: service, version: endpoint.Version}
		}
	}
	if other, ok := versions.list.OtherVersion(service, version); ok {
		return &VersionError{service: service, version: other}
	}
	return nil
}

// VersionError is returned if a service may have endpoints of another software
// version.
type VersionError struct {
	// version is the other version; empty if it is not known.
	service, version string
}

// Error returns the service and the version.
func (e *VersionError) Error() string {
	return "service " + e.service + " may have endpoints of another version: " + e.version
}
