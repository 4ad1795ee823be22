package entrypeer

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// table is the store's table with one row per entry instance.
	table = "entries"
	// initialExclusion is how long an unreachable instance is excluded after
	// its first failure. The time doubles with each consecutive failure up to
	// maxExclusion, since the row of an instance that is gone for good stays.
	initialExclusion = time.Second
	maxExclusion     = 16 * time.Second
	// isolationThreshold is the number of unreachable instances, without a
	// response from any in between, from which on this instance counts as
	// isolated. A single unreachable one may have terminated or be restarting.
	isolationThreshold = 2
	// stoppingExclusion is how long a stopping instance is excluded. After
	// about eight seconds it has left the table, or has restarted and written a
	// new entry.
	stoppingExclusion = 8 * time.Second
	// noStoreDemotion is how long an instance that failed to serve a relayed
	// store call ranks last for further ones. Store outages last seconds.
	noStoreDemotion = time.Second
	// initialJoinBackoff and maxJoinBackoff bound the delay between attempts to
	// write the entry of this instance.
	initialJoinBackoff = 100 * time.Millisecond
	// watchWait is how long the store holds a watch of the table open when
	// nothing changes. Missing a new instance for some seconds does little
	// harm: there is one fewer to call.
	watchWait = 8 * time.Second
	// maxGatherDelay bounds how long changes of the table are batched. The
	// delay is harmless for a restarted instance, which keeps its name and
	// address and stays reachable. When 84 instances start within 200 ms, each
	// reads the entries in about eight calls instead of 84.
	maxGatherDelay = 300 * time.Millisecond
	maxJoinBackoff = time.Second
	// throttledJoinBackoff and maxThrottledJoinBackoff take their place while the
	// partition of the table rejects entries because others wait. It queues a
	// second of them, so a later attempt delays nobody.
	throttledJoinBackoff    = 500 * time.Millisecond
	maxThrottledJoinBackoff = 2 * time.Second
)

// Instance is the entry of an entry instance in the table.
type Instance struct {
	// Name is the machine's name and the key of the row. A restarted instance
	// overwrites the row of its previous incarnation.
	Name string `cbor:"-"`
	// Owner identifies the incarnation. It prefixes the names of the
	// incarnation's budget accounts.
	Owner string `cbor:"o"`
	// Address is where the instance serves the calls of this package.
	Address    string `cbor:"a"`
	DataCentre string `cbor:"d"`
}

// Directory holds the entries of the other entry instances and whether each was
// reachable lately. It is safe for concurrent use.
type Directory struct {
	self  Instance
	clock clock.Clock

	mu sync.Mutex
	// instances holds the other instances by name.
	instances map[string]Instance
	// ordered holds the names of the instances of this data centre, including
	// this one, in the order of feed.Order; nil after a change of instances.
	ordered []string
	// loaded is closed once the table was read.
	loaded   chan struct{}
	loadOnce sync.Once
	// exclusions holds the instances that failed or announced a shutdown, by
	// name.
	exclusions map[string]exclusion
	// listed is the version of the row of this instance in the table as last read, 0 if the
	// table has no row with its entry. Then the other instances don't know it either, or soon
	// won't. written is the version at which the row was last written, 0 if it is not known to be
	// there, and removed receives a value when it no longer is.
	listed, written uint64
	removed         chan struct{}
	// hasLeft is set once this instance removes its entry itself.
	hasLeft bool
	// unreachable holds the names of the instances that could not be reached
	// since the last response from any instance.
	unreachable map[string]struct{}
	// noStoreUntil maps each instance that failed to serve a relayed store call
	// to the time until which it ranks last for further ones. lastRelay is the
	// instance that last served one.
	noStoreUntil map[string]time.Time
	lastRelay    string
	// writtenAt is when the entry of this instance was first written, or later if the
	// store became unavailable before the other instances can have read it.
	writtenAt time.Time
	// changedAt is when an instance last joined, left or restarted.
	changedAt time.Time
	// joinedAt maps each instance to when its present incarnation was first
	// recorded.
	joinedAt map[string]time.Time
}

// exclusion holds until when an instance is excluded from calls, and its number
// of consecutive failures.
type exclusion struct {
	until    time.Time
	failures int
	// stopping is set for an instance that announced its shutdown. It still
	// responds but grants no loans.
	stopping bool
}

// NewDirectory returns a directory that holds no instance but self.
func NewDirectory(self Instance, clk clock.Clock) *Directory {
	return &Directory{self: self, clock: clk, instances: map[string]Instance{}, exclusions: map[string]exclusion{}, unreachable: map[string]struct{}{}, noStoreUntil: map[string]time.Time{}, removed: make(chan struct{}, 1), loaded: make(chan struct{}), changedAt: clk.Now(), joinedAt: map[string]time.Time{}}
}

// selfKey returns the key of this instance's row.
func (directory *Directory) selfKey() store.Key {
	return store.Key{Table: table, Name: store.Name(directory.self.Name)}
}

// Join returns a function that writes the entry of this instance to the table
// through s. The first attempt, and the next ones while the store limits the rate
// of calls, go through first, which must not repeat a call that takes long: when
// all instances start at once, their entries wait in one partition for up to a
// second.
//
// The function writes the entry again whenever the table turns out to have no row
// with it: a write or a removal of an earlier incarnation whose response was lost may be
// applied seconds later, and an operator may remove it. Other instances could then not find the
// holder of the present incarnation's budget accounts, and would not agree with it on the homes of
// quotas. The function runs until its context ends, then sends nil on done.
func (directory *Directory) Join(first, s store.Store, log *slog.Logger) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		defer func() { done <- nil }()
		value, err := codec.Marshal(&directory.self)
		if err != nil {
			log.Error("cannot encode the entry of this instance; other instances will not find it", "err", err)
			return
		}
		backoff := retry.Backoff{Initial: initialJoinBackoff, Max: maxJoinBackoff}
		throttledBackoff := retry.Backoff{Initial: throttledJoinBackoff, Max: maxThrottledJoinBackoff}
		through := first
		for {
			version, err := directory.write(ctx, through, value)
			if err == nil {
				directory.recordWritten(version)
				log.Info("entry of this instance written; other instances can find it", "address", directory.self.Address, "owner", directory.self.Owner, "version", version)
				backoff = retry.Backoff{Initial: initialJoinBackoff, Max: maxJoinBackoff}
				select {
				case <-ctx.Done():
					return
				case <-directory.removed:
					log.Warn("entry of this instance is gone: writing it again; until others know it, this instance is no home of quotas", "version", version)
					continue
				}
			}
			log.Warn("entry of this instance not written; retrying", "err", err)
			var delay time.Duration
			if store.Is(err, store.FailureThrottled) {
				delay = throttledBackoff.Next()
			} else {
				through, delay = s, backoff.Next()
			}
			if !clock.Sleep(ctx, initialJoinBackoff/2+delay) {
				return
			}
		}
	}
}

// maxConflicts bounds the attempts to write or remove a row that others change meanwhile.
const maxConflicts = 4

// write writes the entry of this instance and returns the version of its row. A write without a
// response may be applied later, when the row may be that of the next incarnation, so each one is
// made conditional on the row that it replaces.
func (directory *Directory) write(ctx context.Context, s store.Store, value []byte) (version uint64, err error) {
	key, replaced := directory.selfKey(), uint64(0)
	for range maxConflicts {
		version, err = s.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: key, Version: replaced}}, Puts: []store.Put{{Key: key, Value: value}}})
		current, isConflict := conflictingRow(err, key)
		if !isConflict {
			return version, err
		}
		if directory.isOwn(current) {
			return current.Version, nil // an earlier attempt was applied
		}
		replaced = current.Version
	}
	return 0, err
}

// conflictingRow returns the row of key as a failed condition found it, with version 0 if there is
// none. It returns false if err is no conflict.
func conflictingRow(err error, key store.Key) (store.Row, bool) {
	var failure *store.Error
	if !errors.As(err, &failure) || failure.Failure() != store.FailureConflict {
		return store.Row{}, false
	}
	for _, row := range failure.Rows() {
		if row.Key == key {
			return row, true
		}
	}
	return store.Row{Key: key}, true
}

// isOwn reports whether a row has the entry of this incarnation.
func (directory *Directory) isOwn(row store.Row) bool {
	var instance Instance
	return row.Version > 0 && codec.Unmarshal(row.Value, &instance) == nil && instance.Owner == directory.self.Owner
}

// recordWritten records that the entry of this instance was written at a version.
func (directory *Directory) recordWritten(version uint64) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.written = version
	if directory.writtenAt.IsZero() {
		directory.writtenAt = directory.clock.Now()
	}
}

// Leave deletes the entry of this instance from the table, unless it is that of another
// incarnation: a deletion without a response may be applied later, when the next one has
// written its own. It returns the error of the store.
func (directory *Directory) Leave(ctx context.Context, s store.Store) error {
	key := directory.selfKey()
	directory.mu.Lock()
	directory.hasLeft = true
	row := store.Row{Key: key, Version: max(directory.listed, directory.written)}
	directory.mu.Unlock()
	if row.Version == 0 {
		current, err := store.Get(ctx, s, key)
		if err != nil || !directory.isOwn(current) {
			return err
		}
		row = current
	}
	var err error
	for range maxConflicts {
		_, err = s.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: key, Version: row.Version}}, Deletes: []store.Key{key}})
		current, isConflict := conflictingRow(err, key)
		if !isConflict {
			return err
		}
		if !directory.isOwn(current) {
			return nil
		}
		row = current
	}
	return err
}

// Listed implements quota.Peers. It reports whether the table, as last read, has the entry of this
// instance. Of two instances that are listed, at least one then knows the other: the one whose
// entry was written later.
func (client *Client) Listed() bool { return client.directory.isListed() }

func (directory *Directory) isListed() bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.listed != 0
}

// setListed records the version of the row with the entry of this instance, 0 for none. The caller
// must hold mu.
func (directory *Directory) setListed(version uint64) {
	if (version == 0) != (directory.listed == 0) {
		directory.changedAt = directory.clock.Now()
	}
	directory.listed = version
}

// observeVersion records that the table was read up to a version. If it should have the entry of
// this instance and does not, the entry is to be written again.
func (directory *Directory) observeVersion(version uint64) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.hasLeft || directory.listed != 0 || directory.written == 0 || version < directory.written {
		return
	}
	directory.written, directory.writtenAt = 0, time.Time{}
	select {
	case directory.removed <- struct{}{}:
	default: // a notification is pending
	}
}

// Source returns the discovery source that applies the table to the directory.
func (directory *Directory) Source(log *slog.Logger) discovery.Source {
	return discovery.Source{Table: table, WatchTimeout: watchWait, MaxGatherDelay: maxGatherDelay, OnUnavailable: func() {}, OnAvailable: func() {}, OnVersion: directory.observeVersion, Apply: func(row store.Row) {
		directory.mu.Lock()
		defer directory.mu.Unlock()
		directory.apply(row, log)
	}, ReplaceAll: func(rows []store.Row) {
		directory.replaceAll(rows, log)
		directory.loadOnce.Do(func() { close(directory.loaded) })
	}}
}

// replaceAll replaces what is known by the rows of the table.
func (directory *Directory) replaceAll(rows []store.Row, log *slog.Logger) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	clear(directory.instances)
	directory.ordered = nil
	self := directory.selfKey().Name
	if !slices.ContainsFunc(rows, func(row store.Row) bool { return row.Key.Name == self }) {
		directory.setListed(0)
	}
	for _, row := range rows {
		directory.apply(row, log)
	}
}

// Members implements account.Members.
func (directory *Directory) Members() (self string, all []string) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	self = directory.selfKey().Name
	return self, append(slices.Collect(maps.Keys(directory.instances)), self)
}

// Len returns the number of other instances.
func (directory *Directory) Len() int {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return len(directory.instances)
}

// apply updates the directory from one row of the table. A row that cannot be
// decoded is logged and changes nothing, unless it is that of this instance. The caller must hold
// mu.
func (directory *Directory) apply(row store.Row, log *slog.Logger) {
	if row.Key.Name == directory.selfKey().Name {
		directory.applySelf(row)
		return
	}
	if row.Removed {
		delete(directory.instances, row.Key.Name)
		directory.ordered = nil
		delete(directory.joinedAt, row.Key.Name)
		delete(directory.noStoreUntil, row.Key.Name)
		directory.changedAt = directory.clock.Now()
		return
	}
	var instance Instance
	if err := codec.Unmarshal(row.Value, &instance); err != nil {
		log.Error("entry of another instance cannot be decoded; ignoring it", "instance", row.Key.Name, "err", err)
		return
	}
	instance.Name = row.Key.Name
	if directory.instances[row.Key.Name] != instance {
		delete(directory.exclusions, row.Key.Name) // restarted, so earlier failures no longer count
		directory.changedAt = directory.clock.Now()
		directory.joinedAt[row.Key.Name] = directory.changedAt
	}
	directory.instances[row.Key.Name] = instance
	directory.ordered = nil
}

// applySelf records what the table has in the row of this instance. The caller must hold mu.
func (directory *Directory) applySelf(row store.Row) {
	if row.Removed || !directory.isOwn(row) {
		directory.setListed(0)
		return
	}
	directory.setListed(row.Version)
}

// neighbours returns the names of the reachable instances of this data centre,
// including this one, in the order of feed.Order.
func (directory *Directory) neighbours() []string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.ordered == nil {
		directory.ordered = []string{directory.selfKey().Name}
		for name, instance := range directory.instances {
			if instance.DataCentre == directory.self.DataCentre {
				directory.ordered = append(directory.ordered, name)
			}
		}
		feed.Order(directory.ordered)
	}
	now := directory.clock.Now()
	reachable := make([]string, 0, len(directory.ordered))
	for _, name := range directory.ordered {
		if !directory.isExcluded(name, now) {
			reachable = append(reachable, name)
		}
	}
	return reachable
}

// instance returns the recorded instance of the given name, whether or not it is
// excluded, and false if there is none.
func (directory *Directory) instance(name string) (Instance, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	instance, ok := directory.instances[name]
	return instance, ok
}

// Observe records an instance that made a call, unless a later or the same
// incarnation of it is recorded.
func (directory *Directory) Observe(instance Instance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	caller, ok := parseOwner(instance.Owner)
	if !ok || instance.Name == directory.selfKey().Name {
		return
	}
	recorded, isRecorded := directory.instances[instance.Name]
	if current, ok := parseOwner(recorded.Owner); isRecorded && ok && current.startedAt >= caller.startedAt {
		return
	}
	delete(directory.exclusions, instance.Name)
	directory.instances[instance.Name] = instance
	directory.changedAt = directory.clock.Now()
	directory.joinedAt[instance.Name] = directory.changedAt
}

// accountHolder returns the instance whose present incarnation owns a budget
// account, and false if there is none. It includes excluded instances: the
// tokens that they hold cannot be had elsewhere, and an unresponsive one may
// just have been waiting for the store.
func (directory *Directory) accountHolder(account string) (Instance, bool) {
	owner := accountOwner(account)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, instance := range directory.instances {
		if instance.Owner == owner {
			return instance, true
		}
	}
	return Instance{}, false
}

// available returns the instance of the given name, and false if it is not
// recorded or is excluded.
func (directory *Directory) available(name string) (Instance, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	instance, ok := directory.instances[name]
	return instance, ok && !directory.isExcluded(name, directory.clock.Now())
}

// relayCandidates returns up to n other instances through which to relay a
// store call: first the one that last served one, then those of the same data
// centre, then the remaining ones, each group in random order, and last those
// that lately failed to serve one. Excluded instances are left out.
func (directory *Directory) relayCandidates(n int) []Instance {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	var all []Instance
	for _, instance := range directory.instances {
		if !directory.isExcluded(instance.Name, now) {
			all = append(all, instance)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	rank := func(instance Instance) int {
		switch {
		case now.Before(directory.noStoreUntil[instance.Name]):
			return 3
		case instance.Name == directory.lastRelay:
			return 0
		case instance.DataCentre == directory.self.DataCentre:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(all, func(a, b Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(n, len(all))]
}

// recordRelay records whether an instance served a relayed store call.
func (directory *Directory) recordRelay(instance Instance, served bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if served {
		directory.lastRelay = instance.Name
		delete(directory.noStoreUntil, instance.Name)
		return
	}
	directory.noStoreUntil[instance.Name] = directory.clock.Now().Add(noStoreDemotion)
}

// isExcluded reports whether an instance is excluded from calls at now. The
// caller must hold mu.
func (directory *Directory) isExcluded(name string, now time.Time) bool {
	return now.Before(directory.exclusions[name].until)
}

// markFailed excludes an instance after a failed call, for longer with each
// consecutive failure if it could not be reached at all. After a timeout (late)
// only the initial exclusion applies: in a store outage all instances wait for
// the store, and if they excluded each other for long afterwards, programs
// would have accounts at many instances.
func (directory *Directory) markFailed(instance Instance, late bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	excluded := directory.exclusions[instance.Name]
	if late {
		excluded.failures = 0
	}
	excluded.until = now.Add(min(initialExclusion<<min(excluded.failures, 10), maxExclusion))
	excluded.failures++
	directory.exclusions[instance.Name] = excluded
	if !late {
		directory.unreachable[instance.Name] = struct{}{}
	}
}

// markStopping excludes an instance that announced its shutdown, for as long as
// a shutdown takes.
func (directory *Directory) markStopping(instance Instance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.exclusions[instance.Name] = exclusion{until: directory.clock.Now().Add(stoppingExclusion), stopping: true}
}

// markReachable records a response from an instance. It ends the exclusion of
// the instance unless it is shutting down.
func (directory *Directory) markReachable(instance Instance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if !directory.exclusions[instance.Name].stopping || !directory.isExcluded(instance.Name, directory.clock.Now()) {
		delete(directory.exclusions, instance.Name)
	}
	clear(directory.unreachable)
}

// Isolated reports whether this instance appears to be partitioned from all
// others: at least isolationThreshold of them are unreachable, or the only
// other one is. Timeouts do not count, since an instance that responds late may
// be waiting for the store.
func (directory *Directory) Isolated() bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	unreachable := len(directory.unreachable)
	return unreachable >= isolationThreshold || unreachable > 0 && len(directory.instances) == 1
}
