package entrypeer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// pollTimeout bounds a request for changes at the reading instance. An
	// instance that is suspended is detected after that time.
	pollTimeout = feed.MaxPollWait + 300*time.Millisecond
	// sharedWatchWait is how long the store holds a watch open for an instance
	// that other instances read from, and bounds the time in which they learn
	// that it is current.
	sharedWatchWait = 800 * time.Millisecond
	// fullReadTimeout bounds a request for a complete table, which an instance
	// makes when it starts. After a loss of power of all instances the others are
	// starting, too, and the store must be read soon.
	fullReadTimeout = 250 * time.Millisecond
	// maxFeedAttempts is the number of instances tried for one request before
	// the store is read, and maxFullReadAttempts that for a complete table. An
	// instance that is partitioned reaches none of them.
	maxFeedAttempts     = 2
	maxFullReadAttempts = 1
	// maxPolls bounds the requests for tables that an instance holds open. While
	// instances that start together do not know each other yet, many of them may
	// read from the same one.
	maxPolls = 512
	// recoveryTolerance is the difference from which a reported recovery of the
	// store counts as another one than the last.
	recoveryTolerance = time.Second
	// loadTimeout bounds the wait for the first list of instances, without which
	// a table can only be read from the store.
	loadTimeout = 500 * time.Millisecond
	// storeName stands for the store where a source of a table is logged.
	storeName = "store"
)

// feedRequest requests the rows of a table that changed after a version, or all
// rows.
type feedRequest struct {
	Table string
	After uint64
	Full  bool
}

// feedRow is a changed row of the requested table.
type feedRow struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Name      string
	Value     []byte
	Version   uint64
	Removed   bool
}

// feedResponse holds the requested rows and the state of the responding
// instance's table; see feed.Update.
type feedResponse struct {
	Rows      []feedRow
	Version   uint64
	Compacted bool
	Loaded    bool
	Failing   bool
	// Age is how long ago the table was known to be current.
	Age time.Duration
	// Recovered is how long ago the table became readable again; 0 if it always
	// was.
	Recovered time.Duration
}

// TableReader reads followed tables from another instance of the data centre as
// feed.Tree chooses it, and from the store if this instance is the one to do so
// or no other responds. It implements store.Reader for the tables that
// discovery.Follower follows.
//
// An outage of the store that the other instance went through fails one call,
// so that it is noticed by every instance.
type TableReader struct {
	store  store.Reader
	client *Client
	tree   *feed.Tree
	clock  clock.Clock
	log    *slog.Logger

	failures, changes tally.Counter

	mu sync.Mutex
	// sources holds where each table was last read from, and recoveries when
	// the store last recovered, as reported with each table.
	sources    map[string]string
	recoveries map[string]time.Time
}

// NewTableReader returns a TableReader that reads from the instances known to
// client and from s. It reports the metrics feed_failures and
// feed_source_changes to scope.
func NewTableReader(s store.Reader, client *Client, clk clock.Clock, log *slog.Logger, scope tally.Scope) *TableReader {
	self := client.directory.selfKey().Name
	return &TableReader{store: s, client: client, tree: feed.NewTree(self, clk), clock: clk, log: log, sources: map[string]string{}, recoveries: map[string]time.Time{},
		failures: scope.Counter("feed_failures"), changes: scope.Counter("feed_source_changes")}
}

// Read implements store.Reader. A page from another instance holds the complete
// table.
func (reader *TableReader) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if r.Table != table {
		reader.awaitInstances(ctx)
	}
	return reader.read(ctx, &feedRequest{Table: r.Table, Full: true}, func() (store.Page, error) { return reader.store.Read(ctx, r) })
}

// Watch implements store.Reader.
func (reader *TableReader) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	return reader.read(ctx, &feedRequest{Table: table, After: after}, func() (store.Page, error) {
		if feed.IsShared(len(reader.client.directory.neighbours())) {
			wait = min(wait, sharedWatchWait)
		}
		return reader.store.Watch(ctx, table, after, wait)
	})
}

// awaitInstances waits until the list of instances was read, for at most
// loadTimeout.
func (reader *TableReader) awaitInstances(ctx context.Context) {
	timer := time.NewTimer(loadTimeout)
	defer timer.Stop()
	select {
	case <-reader.client.directory.loaded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read makes one request to the instances to read from, one after the other,
// and calls fromStore if there are none or as many as may be tried failed.
func (reader *TableReader) read(ctx context.Context, request *feedRequest, fromStore func() (store.Page, error)) (store.Page, error) {
	reason := "no instance before this one"
	attempts := maxFeedAttempts
	if request.Full {
		attempts = maxFullReadAttempts
	}
	for range attempts {
		instance, ok := reader.next()
		if !ok {
			break
		}
		update, err := reader.ask(ctx, instance, request)
		if ctx.Err() != nil {
			return store.Page{}, store.NewError(store.FailureUnanswered, "feed", ctx.Err().Error())
		}
		if err != nil {
			reader.failures.Inc(1)
			reader.tree.RecordFailure(instance.Name)
			reason = err.Error()
			continue
		}
		outdated := update.OutdatedReason(reader.clock.Now())
		if outdated == "" {
			reader.tree.RecordSuccess(instance.Name)
			reader.recordSource(request.Table, instance.Name, reason)
			return reader.page(request.Table, instance, update)
		}
		reason = "instance " + instance.Name + ": " + outdated
		if !reader.tree.RecordOutdated(instance.Name) && update.Loaded {
			return store.Page{}, store.NewError(store.FailureRefused, "feed", reason)
		}
	}
	reader.recordSource(request.Table, storeName, reason)
	return fromStore()
}

// next returns the instance to read from, and false if it is this one's turn to
// read from the store.
func (reader *TableReader) next() (Instance, bool) {
	name := reader.tree.Source(reader.client.directory.neighbours())
	if name == "" {
		return Instance{}, false
	}
	return reader.client.directory.instance(name)
}

// ask makes one request to an instance. A failure does not exclude the instance
// from other calls, whose timeouts are shorter.
func (reader *TableReader) ask(ctx context.Context, instance Instance, request *feedRequest) (feed.Update, error) {
	timeout := pollTimeout
	if request.Full {
		timeout = fullReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response feedResponse
	if err := reader.client.exchange(ctx, instance, pathFeed, request, &response); err != nil {
		return feed.Update{}, err
	}
	return response.update(request.Table, reader.clock.Now()), nil
}

// page returns the page of a current update. It fails with
// store.FailureCompacted if the full table must be read, and with
// store.FailureRefused once after an outage of the store that this instance has
// not noticed.
func (reader *TableReader) page(table string, instance Instance, update feed.Update) (store.Page, error) {
	if reader.recordRecovery(table, update.RecoveredAt) {
		return store.Page{}, store.NewError(store.FailureRefused, "feed", "instance "+instance.Name+": the store was unavailable")
	}
	if update.Compacted {
		return store.Page{}, store.NewError(store.FailureCompacted, "feed", "instance "+instance.Name)
	}
	// An age of 0 would mark a page of the store itself.
	return store.Page{Version: update.Version, Rows: update.Rows, Age: max(reader.clock.Now().Sub(update.ConfirmedAt), 1)}, nil
}

// recordRecovery records when the store last recovered, as reported with a
// table. It reports whether that is a recovery not recorded before; the first
// report tells of none.
func (reader *TableReader) recordRecovery(table string, recoveredAt time.Time) bool {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	last, known := reader.recoveries[table]
	if known && recoveredAt.Sub(last) < recoveryTolerance {
		return false
	}
	reader.recoveries[table] = recoveredAt
	return known
}

// recordSource records and logs where a table is read from, if that changed.
func (reader *TableReader) recordSource(table, source, reason string) {
	reader.mu.Lock()
	previous, known := reader.sources[table]
	reader.sources[table] = source
	reader.mu.Unlock()
	if previous == source {
		return
	}
	if known {
		reader.changes.Inc(1)
	}
	reader.log.Info("source of table changed", "table", table, "from", previous, "to", source, "reason", reason)
}

// handleFeed serves a request for a table. It responds at once if there are
// changes or if the table is not current, and otherwise when it is confirmed or
// after maxPollWait.
func (server *Server) handleFeed(w http.ResponseWriter, r *http.Request) {
	var message feedRequest
	if !decode(w, r, &message) {
		return
	}
	followed, ok := server.Tables[message.Table]
	if !ok {
		http.Error(w, "table is not followed", http.StatusNotFound)
		return
	}
	defer server.polls.Add(-1)
	if server.polls.Add(1) > maxPolls {
		http.Error(w, "too many requests for tables", http.StatusServiceUnavailable)
		return
	}
	update, err := awaitUpdate(r.Context(), followed, &message)
	if err != nil {
		return // the other instance has closed the connection
	}
	server.reply(w, newFeedResponse(update, time.Now()))
}

// awaitUpdate returns what to respond to a request for a table. It returns the
// error of ctx if that ends first.
func awaitUpdate(ctx context.Context, followed *feed.Replica, message *feedRequest) (feed.Update, error) {
	if message.Full {
		return followed.All(), nil
	}
	started := time.Now()
	timer := time.NewTimer(feed.MaxPollWait)
	defer timer.Stop()
	for {
		update, changed := followed.Since(message.After)
		if update.IsDue(started) {
			return update, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return update, nil
		case <-ctx.Done():
			return feed.Update{}, ctx.Err()
		}
	}
}

// newFeedResponse returns the response that describes update at now.
func newFeedResponse(update feed.Update, now time.Time) *feedResponse {
	response := &feedResponse{Version: update.Version, Compacted: update.Compacted, Loaded: update.Loaded, Failing: update.Failing, Age: now.Sub(update.ConfirmedAt)}
	if !update.RecoveredAt.IsZero() {
		response.Recovered = max(now.Sub(update.RecoveredAt), 1)
	}
	for _, row := range update.Rows {
		response.Rows = append(response.Rows, feedRow{Partition: row.Key.Partition, Name: row.Key.Name, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	return response
}

// update returns the update of a table that the response, received at now,
// describes.
func (response *feedResponse) update(table string, now time.Time) feed.Update {
	update := feed.Update{Version: response.Version, Compacted: response.Compacted, Loaded: response.Loaded, Failing: response.Failing, ConfirmedAt: now.Add(-max(response.Age, 0))}
	if response.Recovered > 0 {
		update.RecoveredAt = now.Add(-response.Recovered)
	}
	for _, row := range response.Rows {
		update.Rows = append(update.Rows, store.Row{Key: store.Key{Table: table, Partition: row.Partition, Name: row.Name}, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	return update
}
