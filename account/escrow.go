package account

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	// acquireDelay is how long a start waits before it takes shards: instances
	// that start together know each other within a second.
	acquireDelay = 1500 * time.Millisecond
	// acquireInterval is how often an instance looks whether others came or
	// left, and shards have another home.
	acquireInterval = 2 * time.Second
	// acquirePause and maxAcquirePause are between tries to take shards.
	acquirePause    = 50 * time.Millisecond
	maxAcquirePause = time.Second
	// acquireTimeout bounds one try: two writes, and a read of each partition,
	// all at once, take some 30 ms, and two seconds while the store is slow by
	// a factor of 60.
	acquireTimeout = 4 * time.Second
	// shardsAtOnce are written in one transaction: the store takes 100 entries
	// in one, and each shard is a condition and a row.
	shardsAtOnce = 50
)

// Members tells which entry instances there are.
type Members interface {
	// Members returns the name of this instance, which its next start has,
	// too, and the names of all known ones, this one included.
	Members() (self string, all []string)
}

// shardKeys are the keys of the shards' escrows, shardNames the shards by the
// names of their rows.
var shardKeys, shardNames = nameShards()

func nameShards() (keys [budget.Shards]store.Key, names map[string]int) {
	names = map[string]int{}
	for at := range keys {
		keys[at] = store.Key{Table: escrowsTable, Partition: partitionName(at % partitions), Name: fmt.Sprintf("shard-%03d", at)}
		names[keys[at].Name] = at
	}
	return keys, names
}

// Acquire keeps the right to hand out parts of budgets without a write for each
// program, until ctx ends; then it reports on done.
func (keeper *Keeper) Acquire(members Members) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		defer func() { done <- nil }()
		backoff := retry.Backoff{First: acquirePause, Most: maxAcquirePause}
		began := keeper.clock.Now()
		for {
			pause := acquireInterval
			if err := keeper.AcquireOnce(ctx, members, keeper.clock.Now().Sub(began) < acquireDelay); err != nil {
				keeper.log.Info("no escrow: programs that begin here take a write each", "err", err)
				pause = acquirePause/2 + backoff.Next()
				var noEscrow *NoEscrowError
				if errors.As(err, &noEscrow) {
					pause = acquireInterval
				}
			} else {
				backoff = retry.Backoff{First: acquirePause, Most: maxAcquirePause}
			}
			if !clock.Sleep(ctx, pause) {
				return
			}
		}
	}
}

// NoEscrowError is an instance that could acquire none of the shards that it
// looked at.
type NoEscrowError struct{ detail string }

// Error says why.
func (e *NoEscrowError) Error() string { return "no escrow: " + e.detail }

// AcquireOnce hands over the shards that have another home by now, and acquires
// the escrow of those whose home is here. Early after a start the others are not
// known yet. It returns a *NoEscrowError if there is nothing to acquire, a
// *NotGivenBackError or the store's *store.Error; then programs take a write each.
func (keeper *Keeper) AcquireOnce(ctx context.Context, members Members, early bool) error {
	if early {
		return &NoEscrowError{detail: "the other instances are not known yet"}
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	self, names := members.Members()
	away, toAcquire := keeper.escrows.plan(self, names, keeper.clock.Now())
	if err := keeper.handOver(ctx, away); err != nil {
		return err
	}
	if len(toAcquire) == 0 {
		return nil
	}
	acquired, err := keeper.acquireShards(ctx, self, toAcquire)
	if err != nil {
		return err
	}
	rows, err := keeper.programsWithRows(ctx, acquired)
	if err != nil {
		return err
	}
	keeper.escrows.use(acquired, rows)
	if len(acquired) < len(toAcquire) {
		keeper.escrows.postpone(keeper.clock.Now())
	}
	if len(acquired) == 0 {
		return &NoEscrowError{detail: fmt.Sprintf("all %d shards are of other starts", len(toAcquire))}
	}
	keeper.log.Info("escrow acquired: programs begin here without a write", "shards", len(acquired), "of", len(toAcquire), "instances", len(names), "rows", len(rows))
	return nil
}

// acquireShards has escrows of this start stand in the store, and returns the
// shards that have one: others are of other starts.
func (keeper *Keeper) acquireShards(ctx context.Context, self string, shards []int) ([]int, error) {
	keeper.mu.Lock()
	keeper.accounts++
	escrow := budget.Escrow{Account: fmt.Sprintf("%s.%d", keeper.owner, keeper.accounts), Instance: self}
	keeper.mu.Unlock()
	if err := keeper.lookAgain(ctx, shards); err != nil {
		return nil, err
	}
	keeper.escrows.setTried(shards, true)
	var acquired []int
	for some := range slices.Chunk(shards, shardsAtOnce) {
		own, err := keeper.writeShards(ctx, some, escrow, func(stands budget.Escrow) bool { return !stands.Stands() })
		if err != nil {
			return nil, err
		}
		acquired = append(acquired, own...)
	}
	taken := slices.DeleteFunc(slices.Clone(shards), func(at int) bool { return slices.Contains(acquired, at) })
	keeper.escrows.setTried(taken, false)
	return acquired, nil
}

// lookAgain reads the rows of those shards that other starts had when last
// seen. A start that is known to have ended releases them no more: after a
// loss of power of all instances each would read all partitions again and again.
func (keeper *Keeper) lookAgain(ctx context.Context, shards []int) error {
	taken := map[string]bool{}
	for _, at := range shards {
		escrow, _ := keeper.escrows.known(at)
		if escrow.Stands() && !keeper.isOwn(escrow) && !keeper.holders.Gone(escrow.Account) {
			taken[shardKeys[at].Partition] = true
		}
	}
	return inPartitions(taken, func(partition string) error {
		page, err := keeper.store.Read(ctx, store.Range{Table: escrowsTable, Partition: partition})
		if err != nil {
			return err
		}
		return keeper.takeShards(page.Rows)
	})
}

// inPartitions calls f for each partition at once, and returns one of the
// errors.
func inPartitions(partitions map[string]bool, f func(partition string) error) error {
	results := make(chan error, len(partitions))
	for partition := range partitions {
		go func() { results <- f(partition) }()
	}
	var failed error
	for range partitions {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// releaseShards takes this start's escrows out of the store. All programs that
// they were used for must have a row. A shard whose escrow may still come, by
// a write without an answer, is written, too: that write's condition fails
// then.
func (keeper *Keeper) releaseShards(ctx context.Context, shards []int) error {
	var failed error
	for some := range slices.Chunk(shards, shardsAtOnce) {
		released, err := keeper.writeShards(ctx, some, budget.Escrow{}, func(stands budget.Escrow) bool { return !stands.Stands() || keeper.isOwn(stands) })
		if err != nil {
			failed = err
		} else {
			released = some // also those that turned out to be of other starts
		}
		keeper.escrows.setTried(released, false)
	}
	return failed
}

// isOwn reports whether an escrow is this start's.
func (keeper *Keeper) isOwn(escrow budget.Escrow) bool {
	return strings.HasPrefix(escrow.Account, keeper.owner+".")
}

// writeShards makes escrow that of shards, but of those whose escrow may not
// be replaced, and returns the shards that are written, or whose escrow is this
// start's. With an error these may be some.
func (keeper *Keeper) writeShards(ctx context.Context, shards []int, escrow budget.Escrow, replaces func(budget.Escrow) bool) ([]int, error) {
	value, err := escrow.Encode()
	if err != nil {
		return nil, store.NewError(store.FailureInvalid, "escrows", err.Error())
	}
	for range maxConflicts {
		var tx store.Transaction
		var own, written []int
		for _, at := range shards {
			stands, version := keeper.escrows.known(at)
			switch {
			case replaces(stands):
				tx.Conditions = append(tx.Conditions, store.Condition{Key: shardKeys[at], Version: version})
				tx.Puts = append(tx.Puts, store.Put{Key: shardKeys[at], Value: value})
				written = append(written, at)
			case keeper.isOwn(stands):
				own = append(own, at)
			}
		}
		if len(written) == 0 {
			return own, nil
		}
		version, err := keeper.store.Commit(ctx, tx)
		if err == nil {
			for _, at := range written {
				keeper.escrows.take(at, escrow, version)
			}
			return append(own, written...), nil
		}
		if apart := shardsByPartition(written); store.Unserved(err) && len(apart) > 1 {
			more, err := keeper.writeShardsApart(ctx, apart, escrow, replaces)
			return append(own, more...), err
		}
		if err := keeper.learnShards(err); err != nil {
			return own, err
		}
	}
	return nil, store.NewError(store.FailureConflict, "escrows", "other instances write them all the time")
}

// writeShardsApart writes shards, those of each partition by themselves: one
// partition that is away or busy refuses what spans it. It returns what
// writeShards does, and one of the errors.
func (keeper *Keeper) writeShardsApart(ctx context.Context, apart [][]int, escrow budget.Escrow, replaces func(budget.Escrow) bool) ([]int, error) {
	type result struct {
		written []int
		err     error
	}
	results := make(chan result, len(apart))
	for _, shards := range apart {
		go func() {
			written, err := keeper.writeShards(ctx, shards, escrow, replaces)
			results <- result{written, err}
		}()
	}
	var all result
	for range apart {
		got := <-results
		all.written = append(all.written, got.written...)
		if got.err != nil {
			all.err = got.err
		}
	}
	return all.written, all.err
}

// shardsByPartition splits shards by the partition of their rows.
func shardsByPartition(shards []int) [][]int {
	split := map[string][]int{}
	for _, at := range shards {
		partition := shardKeys[at].Partition
		split[partition] = append(split[partition], at)
	}
	return slices.Collect(maps.Values(split))
}

// learnShards takes in the escrows that stand in the way of a write. It
// returns err if that is no conflict.
func (keeper *Keeper) learnShards(err error) error {
	var failure *store.Error
	if !errors.As(err, &failure) || failure.Failure() != store.FailureConflict {
		return err
	}
	return keeper.takeShards(failure.Rows())
}

// takeShards takes in those of rows that are of shards.
func (keeper *Keeper) takeShards(rows []store.Row) error {
	for _, row := range rows {
		at, ok := shardNames[row.Key.Name]
		if !ok || row.Key != shardKeys[at] {
			continue
		}
		if err := keeper.takeShard(at, row); err != nil {
			return err
		}
	}
	return nil
}

// takeShard takes in a shard's row.
func (keeper *Keeper) takeShard(at int, row store.Row) error {
	escrow, err := budget.DecodeEscrow(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "escrows", err.Error())
	}
	keeper.escrows.take(at, escrow, row.Version)
	return nil
}

// readShard reads a shard's row.
func (keeper *Keeper) readShard(ctx context.Context, at int) error {
	row, err := store.Get(ctx, keeper.store, shardKeys[at])
	if err != nil {
		return err
	}
	return keeper.takeShard(at, row)
}

// handOver has other instances acquire shards: nothing is handed out by escrow
// in them any more, each of their programs known here gets a row, and the
// escrows are released. It returns a *NotGivenBackError if a row is not
// written; the escrows stand until it is.
func (keeper *Keeper) handOver(ctx context.Context, shards []int) error {
	if len(shards) == 0 {
		return nil
	}
	keeper.escrows.suspend(shards)
	err := keeper.release(ctx, shards, func(id string) bool {
		_, ok := slices.BinarySearch(shards, budget.Shard(id))
		return ok
	})
	if err != nil {
		return err
	}
	keeper.log.Info("handed over: programs have another home", "shards", len(shards))
	return nil
}

// programsWithRows reads which programs have a row in the partitions of
// shards, as hashes of their names.
func (keeper *Keeper) programsWithRows(ctx context.Context, shards []int) (map[uint64]struct{}, error) {
	in := map[string]bool{}
	for _, at := range shards {
		in[shardKeys[at].Partition] = true
	}
	var mu sync.Mutex
	rows := map[uint64]struct{}{}
	err := inPartitions(in, func(partition string) error {
		names, err := keeper.namesIn(ctx, partition)
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			rows[xxhash.Sum64String(name)] = struct{}{}
		}
		return err
	})
	return rows, err
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
