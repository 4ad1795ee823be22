package account

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// openingsTable holds all openings in one row of the empty partition,
	// and a mark in each partition of the budgets. They are only ever written
	// together, so that all have one version: who makes a program's row does
	// it on the condition that the mark of its partition has the version of
	// the openings that it knows, at no cost but the condition.
	openingsTable = "openings"
	openingsName  = "all"
	// openDelay is how long the first start of an instance waits before it
	// opens: instances that start together know each other within a second,
	// and openings of the same set do not overlap.
	openDelay = 1500 * time.Millisecond
	// reopenInterval is how often an instance that has handed out nothing yet
	// looks whether others came, and one without an opening whether there is
	// room for it.
	reopenInterval = 2 * time.Second
	// openPause and maxOpenPause are between tries to open.
	openPause    = 50 * time.Millisecond
	maxOpenPause = time.Second
	// openTimeout bounds one try: a read, a write over all partitions and a
	// read of each, all at once, take some 30 ms, and two seconds while the
	// store is slow by a factor of 60.
	openTimeout = 4 * time.Second
)

// markValue is what a mark holds: its version tells all, but the store takes
// no row without a value.
var markValue = []byte{1}

// Members tells which entry instances there are.
type Members interface {
	// Members returns the name of this instance, which its next start has,
	// too, and the names of all known ones, this one included.
	Members() (self string, all []string)
}

// openings are those known here, and what this instance's own is of.
type openings struct {
	mu      sync.Mutex
	all     *budget.Openings
	version uint64
	// own is this instance's, among those of set. It is used while ahead is
	// set: after it stands in the store and the programs that had a row by
	// then are known.
	own   budget.Opening
	set   []string
	ahead bool
	// used is set once something may have been handed out by it, stopped once
	// nothing may be any more.
	used, stopped bool
	// rows are the hashes of programs that have a row: made before the own
	// opening, whose accounts they lack, or by a tab that was forgotten. A
	// program that shares its hash with one of them takes a write.
	rows map[uint64]struct{}
}

// known returns the openings and their version.
func (openings *openings) known() (*budget.Openings, uint64) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	if openings.all == nil {
		return &budget.Openings{}, 0
	}
	return openings.all, openings.version
}

func (openings *openings) take(all *budget.Openings, version uint64) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	if version >= openings.version {
		openings.all, openings.version = all, version
	}
}

// account returns the account that may be used of a program's budget without
// a row, and whether there is one.
func (openings *openings) account(id string) (string, bool) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	if _, hasRow := openings.rows[rowHash(id)]; hasRow || !openings.ahead || budget.Home(id, openings.set) != openings.own.Instance {
		return "", false
	}
	openings.used = true
	return openings.own.Account, true
}

// isOwn reports whether an opening is the one in use here.
func (openings *openings) isOwn(opening budget.Opening) bool {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	return openings.ahead && openings.own.Account == opening.Account
}

// noteRow notes that a program may have a row.
func (openings *openings) noteRow(id string) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	if openings.rows != nil {
		openings.rows[rowHash(id)] = struct{}{}
	}
}

// suspend has nothing handed out ahead unless that was begun already. It
// reports whether it was not, and may be opened.
func (openings *openings) suspend() bool {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	if openings.used || openings.stopped {
		return false
	}
	openings.ahead = false
	return true
}

// stop has nothing handed out ahead from now on.
func (openings *openings) stop() {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	openings.ahead, openings.stopped = false, true
}

// use hands out ahead by own, given the programs that have a row.
func (openings *openings) use(own budget.Opening, set []string, rows map[uint64]struct{}) {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	openings.own, openings.set, openings.ahead, openings.rows = own, set, !openings.stopped, rows
}

// settled reports whether no other opening would hold more.
func (openings *openings) settled(members []string) bool {
	openings.mu.Lock()
	defer openings.mu.Unlock()
	return openings.ahead && contains(openings.set, members)
}

func contains(set, names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(set, name) })
}

// rowHash is the hash of a program's row name.
func rowHash(id string) uint64 { return xxhash.Sum64String(store.Name(id)) }

func openingsMark(partition string) store.Key {
	return store.Key{Table: openingsTable, Partition: partition, Name: openingsName}
}

// Open keeps the right to hand out parts of budgets without a write for each
// program, until ctx ends; then it reports on done.
func (keeper *Keeper) Open(members Members) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		defer func() { done <- nil }()
		backoff := retry.Backoff{First: openPause, Most: maxOpenPause}
		began := keeper.clock.Now()
		for {
			pause := reopenInterval
			if err := keeper.OpenOnce(ctx, members, keeper.clock.Now().Sub(began) < openDelay); err != nil {
				keeper.log.Info("not opened: programs that begin here take a write each", "err", err)
				pause = openPause/2 + backoff.Next()
				var notOpen *NotOpenError
				if errors.As(err, &notOpen) {
					pause = reopenInterval
				}
			} else {
				backoff = retry.Backoff{First: openPause, Most: maxOpenPause}
			}
			if !clock.Sleep(ctx, pause) {
				return
			}
		}
	}
}

// NotOpenError is an instance that has no opening.
type NotOpenError struct{ detail string }

// Error says why.
func (e *NotOpenError) Error() string { return "no opening: " + e.detail }

// OpenOnce opens, or opens anew if that holds more and nothing was handed out
// yet. Early in the first start of an instance the others are not known yet.
// It returns a *NotOpenError if there is nothing to open, or the store's
// *store.Error; programs then take a write each.
func (keeper *Keeper) OpenOnce(ctx context.Context, members Members, early bool) error {
	self, names := members.Members()
	if keeper.openings.settled(names) || !keeper.openings.suspend() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	if err := keeper.refreshOpenings(ctx); err != nil {
		return err
	}
	all, version := keeper.openings.known()
	before := lastSet(all, self)
	if before == nil && early {
		return &NotOpenError{detail: "the other instances are not known yet"}
	}
	// Instances that are away for a restart stay in the set: without them it
	// would overlap with what they open next.
	own, set, err := keeper.writeOpening(ctx, all, version, self, union(before, names))
	if err != nil {
		return err
	}
	rows, err := keeper.programsWithRows(ctx)
	if err != nil {
		return err
	}
	keeper.openings.use(own, set, rows)
	keeper.log.Info("opened: programs begin here without a write", "account", own.Account, "instances", set, "rows", len(rows), "version", version)
	return nil
}

// lastSet returns the last set that holds an instance.
func lastSet(all *budget.Openings, instance string) []string {
	for _, set := range slices.Backward(all.Sets) {
		if slices.Contains(set, instance) {
			return set
		}
	}
	return nil
}

// union returns the names in either list, sorted.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// writeOpening has an opening of this start stand in the store, and returns
// it and the instances among which it is. One that stands already, as
// an earlier write without an answer may have left it, is replaced only by one
// among more instances.
func (keeper *Keeper) writeOpening(ctx context.Context, all *budget.Openings, version uint64, self string, set []string) (budget.Opening, []string, error) {
	standing, stands := keeper.ownOpening(all)
	if stands && contains(all.Sets[standing.Set], set) {
		return standing, all.Sets[standing.Set], nil
	}
	keeper.mu.Lock()
	keeper.tabs++
	account := fmt.Sprintf("%s.%d", keeper.owner, keeper.tabs)
	keeper.mu.Unlock()
	next, ok := all.Close(standing.Account).Open(account, self, set)
	switch {
	case ok:
		own, _ := next.Of(account)
		return own, set, keeper.commitOpenings(ctx, next, version)
	case stands:
		return standing, all.Sets[standing.Set], nil
	}
	return standing, nil, &NotOpenError{detail: "another opening may be of the same programs"}
}

// ownOpening returns the opening of this start among all.
func (keeper *Keeper) ownOpening(all *budget.Openings) (budget.Opening, bool) {
	for _, opening := range all.List {
		if strings.HasPrefix(opening.Account, keeper.owner+".") {
			return opening, true
		}
	}
	return budget.Opening{}, false
}

// commitOpenings makes all the openings if they stand at version.
func (keeper *Keeper) commitOpenings(ctx context.Context, all *budget.Openings, version uint64) error {
	value, err := all.Encode()
	if err != nil {
		return store.NewError(store.FailureInvalid, "openings", err.Error())
	}
	tx := store.Transaction{Conditions: []store.Condition{{Key: openingsMark(""), Version: version}}, Puts: []store.Put{{Key: openingsMark(""), Value: value}}}
	for i := range partitions {
		tx.Puts = append(tx.Puts, store.Put{Key: openingsMark(partitionName(i)), Value: markValue})
	}
	written, err := keeper.store.Commit(ctx, tx)
	if err == nil {
		keeper.openings.take(all, written)
	}
	return err
}

// refreshOpenings reads the openings.
func (keeper *Keeper) refreshOpenings(ctx context.Context) error {
	row, err := store.Get(ctx, keeper.store, openingsMark(""))
	if err != nil {
		return err
	}
	all, err := budget.DecodeOpenings(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "openings", err.Error())
	}
	keeper.openings.take(all, row.Version)
	return nil
}

// closeOpening takes this start's opening out of the store. All programs that
// it was used for must have a row.
func (keeper *Keeper) closeOpening(ctx context.Context) error {
	var err error
	for range maxConflicts {
		if err = keeper.refreshOpenings(ctx); err != nil {
			return err
		}
		all, version := keeper.openings.known()
		own, stands := keeper.ownOpening(all)
		if !stands {
			return nil
		}
		if err = keeper.commitOpenings(ctx, all.Close(own.Account), version); !store.Is(err, store.FailureConflict) {
			return err
		}
	}
	return err
}

// programsWithRows reads which programs have a row, as hashes of their names.
func (keeper *Keeper) programsWithRows(ctx context.Context) (map[uint64]struct{}, error) {
	type result struct {
		names []string
		err   error
	}
	results := make(chan result, partitions)
	for i := range partitions {
		go func() {
			names, err := keeper.namesIn(ctx, partitionName(i))
			results <- result{names: names, err: err}
		}()
	}
	rows := map[uint64]struct{}{}
	var failed error
	for range partitions {
		got := <-results
		if got.err != nil {
			failed = got.err
		}
		for _, name := range got.names {
			rows[xxhash.Sum64String(name)] = struct{}{}
		}
	}
	return rows, failed
}

// namesIn returns the names of the rows in a partition.
func (keeper *Keeper) namesIn(ctx context.Context, partition string) ([]string, error) {
	var names []string
	r := store.Range{Table: table, Partition: partition}
	for {
		page, err := keeper.store.Read(ctx, r)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			names = append(names, row.Key.Name)
		}
		if !page.More || len(page.Rows) == 0 {
			return names, nil
		}
		r.From = names[len(names)-1] + "\x00"
	}
}
