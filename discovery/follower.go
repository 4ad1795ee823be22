package discovery

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// promptWatchWait is how long the store holds a watch open when nothing
	// changes, for tables whose changes must take effect within two seconds. A
	// connection that has gone silent is detected after this time plus the
	// call's timeout.
	promptWatchWait = 1200 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay between attempts after a
	// failure.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxWatchTime is the longest time from a watch to its response after which the
	// response tells that the table is current. A process that was suspended
	// meanwhile may read a response from before.
	maxWatchTime = 3 * time.Second
	// initialGatherDelay is the shortest delay that batches changes: the time
	// of two calls.
	initialGatherDelay = 10 * time.Millisecond
)

// Source describes a table to follow and the callbacks that receive its
// contents. A Follower calls them one at a time.
type Source struct {
	// Table is the name of the table. RowName, if not empty, restricts the source
	// to the row of that name.
	Table, RowName string
	// WatchTimeout is how long the store holds a watch open when nothing changes.
	// Every call is charged, so a short wait costs calls; with a long one a
	// change hidden by a silent connection is seen that much later.
	WatchTimeout time.Duration
	// MaxGatherDelay bounds the delay by which changes in quick succession are batched;
	// 0 disables batching. Where every process follows what every process
	// writes, the number of calls would otherwise grow with the square of the
	// number of processes.
	MaxGatherDelay time.Duration
	// MaxBackoff bounds the delay between attempts after a failure; 0 for maxBackoff.
	// Failed calls are charged, too.
	MaxBackoff time.Duration
	// Same reports whether two values of a row have the same meaning, so that a
	// change from one to the other is not applied. Without it, values are
	// compared byte by byte.
	Same func(a, b []byte) bool
	// Apply receives one changed row, which may be marked as removed.
	Apply func(row store.Row)
	// ReplaceAll receives all rows of the table (or the row of interest) and
	// replaces what earlier calls delivered.
	ReplaceAll func(rows []store.Row)
	// OnUnavailable is called when the store becomes unavailable, and OnAvailable when it is
	// available again.
	OnUnavailable, OnAvailable func()
	// OnVersion, unless nil, is called with the version up to which ReplaceAll and Apply have
	// delivered the table, after each successful read.
	OnVersion func(version uint64)
	// OnCurrent, unless nil, is called after each successful read with the time at
	// which the table was last known to be current. allChanges is set if Apply has
	// received each change since the last call: other instances, from which the
	// table may be read, pass on the latest change of each row only.
	OnCurrent func(at time.Time, allChanges bool)
}

// Follower delivers the contents and changes of one table to a Source. Use
// NewFollower.
type Follower struct {
	reader store.Reader
	source Source
	// table is what was read so far.
	table *feed.Replica
	log   *slog.Logger
	// lost counts the times when the store became unavailable, behind the pages
	// that were behind what is known; stale is the number of seconds since the
	// table was last known to be current.
	lost, behind tally.Counter
	stale        tally.Gauge
	clock        clock.Clock
	// applied is the version up to which the source has received all changes.
	applied atomic.Uint64
	// returnsEachChange is set once the store has returned several changes of one
	// row together; see observeChanges.
	returnsEachChange atomic.Bool
	// gatherDelay is the last delay that batched changes, and gatheredAt when
	// it ended.
	gatherDelay time.Duration
	gatheredAt  time.Time
}

// NewFollower returns a Follower of source, which it reads from reader. It
// reports the metrics follow_lost, follow_behind and follow_stale_seconds to
// scope, tagged with the table.
func NewFollower(reader store.Reader, source Source, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Follower {
	scope = scope.Tagged(map[string]string{"table": source.Table})
	return &Follower{reader: reader, source: source, table: feed.NewReplica(source.Same, clk), log: log.With("table", source.Table), clock: clk, lost: scope.Counter("follow_lost"), behind: scope.Counter("follow_behind"), stale: scope.Gauge("follow_stale_seconds")}
}

// TableName returns the name of the table.
func (follower *Follower) TableName() string { return follower.source.Table }

// Table returns what the follower has read of the table, for other instances.
func (follower *Follower) Table() *feed.Replica { return follower.table }

// Run reads the table, then watches it for changes, until ctx ends. After a
// failure it retries with backoff; if the store no longer has the history since
// the last version seen, it reads the full table again. It sends nil on done
// when it returns.
func (follower *Follower) Run(ctx context.Context, done chan<- error) {
	after, synced := uint64(0), false
	rowsVersion := uint64(0) // at which the last rows of the full table were read
	newBackoff := retry.Backoff{Initial: initialBackoff, Max: cmp.Or(follower.source.MaxBackoff, maxBackoff)}
	backoff := newBackoff
	failing := false
	lastSuccess := follower.clock.Now()
	for ctx.Err() == nil {
		var err error
		allChanges := false
		if synced {
			from := after
			after, allChanges, err = follower.applyChanges(ctx, from)
			// Changes up to rowsVersion may be hidden by later ones.
			allChanges = allChanges && from >= rowsVersion
		} else {
			after, rowsVersion, err = follower.readAll(ctx)
			synced = err == nil
		}
		now := follower.clock.Now()
		if err == nil {
			if failing {
				follower.log.Info("store available again; following the table from this version", "version", after, "away", now.Sub(lastSuccess))
				follower.source.OnAvailable()
			}
			follower.applied.Store(after)
			if follower.source.OnCurrent != nil {
				follower.source.OnCurrent(follower.table.ConfirmedAt(), allChanges)
			}
			failing, lastSuccess = false, now
			backoff = newBackoff
			follower.stale.Update(now.Sub(follower.table.ConfirmedAt()).Seconds())
			continue
		}
		if store.Is(err, store.FailureCompacted) {
			follower.log.Info("store no longer has the changes since this version; reading the full table again", "version", after)
			synced = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if store.Is(err, store.FailureThrottled) {
			follower.log.Info("store limits the rate of calls; continuing with the last state read", "version", after, "err", err)
			follower.stale.Update(now.Sub(follower.table.ConfirmedAt()).Seconds())
			clock.Sleep(ctx, initialBackoff/2+backoff.Next()) // the loop condition checks ctx
			continue
		}
		if !failing {
			follower.lost.Inc(1)
			follower.log.Warn("store unavailable; continuing with the last state read and retrying", "version", after, "err", err)
			follower.source.OnUnavailable()
		}
		failing = true
		follower.table.SetFailing()
		follower.stale.Update(now.Sub(lastSuccess).Seconds())
		clock.Sleep(ctx, initialBackoff/2+backoff.Next()) // the loop condition checks ctx
	}
	done <- nil
}

// readAll reads the full table, passes it to the source and returns the version
// at which reading began, and the one at which the last rows were read. It fails with
// store.FailureRefused if the first version is behind what is known.
func (follower *Follower) readAll(ctx context.Context) (version, rowsVersion uint64, err error) {
	var rows []store.Row
	r := store.Range{Table: follower.source.Table}
	if follower.source.RowName != "" {
		r.From, r.To = follower.source.RowName, follower.source.RowName+"!"
	}
	var confirmedAt time.Time
	for {
		page, err := follower.reader.Read(ctx, r)
		if err != nil {
			return 0, 0, err
		}
		rowsVersion = page.Version
		if version == 0 {
			// The pages are read at different times. The version of the first
			// makes the watch deliver again whatever changed between them.
			version = page.Version
			confirmedAt = follower.clock.Now().Add(-page.Age)
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Name + " "
	}
	if version < follower.table.Version() {
		follower.behind.Inc(1)
		return 0, 0, store.NewError(store.FailureRefused, "read", "the table is behind what is known")
	}
	follower.source.ReplaceAll(rows)
	follower.table.Replace(rows, version, confirmedAt)
	follower.reportVersion(version)
	return version, rowsVersion, nil
}

// applyChanges waits for changes after a version, applies them and returns the
// version to continue from. allChanges is set if they were all changes, as read
// from the store itself just now.
func (follower *Follower) applyChanges(ctx context.Context, after uint64) (next uint64, allChanges bool, err error) {
	watchedAt := follower.clock.Now()
	page, err := follower.reader.Watch(ctx, follower.source.Table, after, follower.source.WatchTimeout)
	if err != nil {
		return after, false, err
	}
	if page.Version < after {
		// Another instance, read from since a moment ago, is behind this one.
		follower.behind.Inc(1)
		follower.log.Info("page ignored: it is behind what is known", "version", after, "page_version", page.Version)
		return after, false, nil
	}
	isComplete := page.Age == 0 && !page.More && follower.observeChanges(page.Rows)
	rows := slices.DeleteFunc(page.Rows, func(row store.Row) bool {
		return follower.source.RowName != "" && row.Key.Name != follower.source.RowName
	})
	changed := len(rows) > 0
	for _, row := range follower.table.Apply(rows, page.Version, follower.clock.Now().Add(-page.Age)) {
		follower.source.Apply(row)
	}
	follower.reportVersion(page.Version)
	follower.gather(ctx, changed)
	// The monotonic clock may not count a suspension.
	now := follower.clock.Now()
	waited := max(now.Sub(watchedAt), now.Round(0).Sub(watchedAt.Round(0)))
	return page.Version, isComplete && waited <= maxWatchTime, nil
}

// reportVersion calls OnVersion.
func (follower *Follower) reportVersion(version uint64) {
	if follower.source.OnVersion != nil {
		follower.source.OnVersion(version)
	}
}

// observeChanges reports whether a page of the store with the given rows holds each
// change, and not only the latest one of each row: the protocol leaves open which. It
// is known to be the former once a page has held several changes of one row.
func (follower *Follower) observeChanges(rows []store.Row) bool {
	changed := make(map[store.Key]bool, len(rows))
	for _, row := range rows {
		if changed[row.Key] {
			follower.returnsEachChange.Store(true)
		}
		changed[row.Key] = true
	}
	return len(rows) == 0 || follower.returnsEachChange.Load()
}

// gather delays the next watch after a change, twice as long for each further
// change in quick succession. A single change is thus applied without much
// delay, while many in a row are read together.
func (follower *Follower) gather(ctx context.Context, changed bool) {
	now := follower.clock.Now()
	if !changed || follower.source.MaxGatherDelay == 0 || now.Sub(follower.gatheredAt) >= follower.source.MaxGatherDelay {
		follower.gatherDelay = 0
	}
	if !changed || follower.source.MaxGatherDelay == 0 {
		return
	}
	follower.gatherDelay = min(max(2*follower.gatherDelay, initialGatherDelay), follower.source.MaxGatherDelay)
	clock.Sleep(ctx, follower.gatherDelay) // the loop of Run checks ctx
	follower.gatheredAt = follower.clock.Now()
}

// Configuration returns the source of the operators' configuration, stored in
// the row of the given key. It offers each decoded version to current, which
// keeps the newest. A row that is removed or rejected leaves the
// configuration in force unchanged.
func Configuration(key store.Key, decode func([]byte) (*route.Table, error), current *route.Current, log *slog.Logger) Source {
	apply := func(row store.Row) {
		if row.Removed {
			log.Warn("configuration row removed; the last configuration stays in force", "row_version", row.Version)
			return
		}
		table, err := decode(row.Value)
		if err != nil {
			log.Error("configuration rejected; the last configuration stays in force", "row_version", row.Version, "err", err)
			return
		}
		if current.StoreIfNewer(table) {
			log.Info("configuration in force", "version", table.Version(), "row_version", row.Version, "routes", table.Routes())
		}
	}
	return Source{Table: key.Table, RowName: key.Name, WatchTimeout: promptWatchWait, Apply: apply, OnUnavailable: func() {}, OnAvailable: func() {}, ReplaceAll: func(rows []store.Row) {
		for _, row := range rows {
			if row.Key.Name == key.Name {
				apply(row)
			}
		}
	}}
}

// Endpoints returns the source of the list of endpoints stored in a table. It
// keeps list up to date and calls onRestart for each endpoint that has
// restarted under the same ID.
func Endpoints(table string, decode func(id string, data []byte) (*membership.Endpoint, error), list *membership.List, onRestart func(*membership.Endpoint), clk clock.Clock, log *slog.Logger) Source {
	same := func(a, b []byte) bool {
		before, err := decode("", a)
		if err != nil {
			return false
		}
		after, err := decode("", b)
		return err == nil && *before == *after
	}
	// A rejected entry still replaces the endpoint's previous
	// one, which is no longer valid.
	decodeEntry := func(row store.Row) *membership.Endpoint {
		endpoint, err := decode(row.Key.Name, row.Value)
		if err != nil {
			log.Error("endpoint entry rejected; the endpoint receives no requests", "endpoint", row.Key.Name, "row_version", row.Version, "err", err)
			return &membership.Endpoint{ID: row.Key.Name, State: membership.StateInvalid}
		}
		return endpoint
	}
	notifyRestart := func(endpoint *membership.Endpoint) {
		log.Info("endpoint restarted", "endpoint", endpoint.ID, "born", endpoint.StartMillis, "address", endpoint.Address)
		onRestart(endpoint)
	}
	return Source{
		Table:         table,
		WatchTimeout:  promptWatchWait,
		Same:          same,
		OnUnavailable: list.StoreUnavailable,
		OnAvailable:   func() { list.StoreAvailable(clk.Now()) },
		OnCurrent: func(at time.Time, allChanges bool) {
			if allChanges {
				list.ConfirmChanges(at)
				return
			}
			list.Confirm(at)
		},
		Apply: func(row store.Row) {
			if row.Removed {
				log.Info("endpoint removed from the list", "endpoint", row.Key.Name, "row_version", row.Version)
				list.Remove(row.Key.Name, clk.Now())
				return
			}
			endpoint := decodeEntry(row)
			log.Info("endpoint", "endpoint", endpoint.ID, "born", endpoint.StartMillis, "service", endpoint.Service, "software", endpoint.Version, "address", endpoint.Address, "state", endpoint.State, "row_version", row.Version)
			if list.Put(endpoint) {
				notifyRestart(endpoint)
			}
		},
		ReplaceAll: func(rows []store.Row) {
			all := make([]*membership.Endpoint, 0, len(rows))
			for _, row := range rows {
				all = append(all, decodeEntry(row))
			}
			for _, endpoint := range list.Replace(all, clk.Now()) {
				notifyRestart(endpoint)
			}
			log.Info("full list of endpoints read", "endpoints", len(all))
		},
	}
}
