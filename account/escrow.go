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
	// acquireDelay is the time after process start before shards are acquired.
	// Instances that start together discover each other within a second.
	acquireDelay = 1500 * time.Millisecond
	// acquireInterval is the interval at which an instance checks whether
	// membership changes have moved the home of any shard.
	acquireInterval = 2 * time.Second
	// initialAcquireBackoff and maxAcquireBackoff bound the backoff between
	// failed attempts to acquire shards.
	initialAcquireBackoff = 50 * time.Millisecond
	maxAcquireBackoff     = time.Second
	// acquireTimeout bounds one attempt. An attempt makes two writes and one
	// concurrent read of each partition, which take about 30 ms, and two
	// seconds while the store is slower by a factor of 60.
	acquireTimeout = 4 * time.Second
	// maxShardsPerTransaction follows from the store's limit of 100 entries a
	// transaction: each shard takes a condition and a row.
	maxShardsPerTransaction = 50
)

// Members lists the entry instances.
type Members interface {
	// Members returns the name of this instance, which stays the same across
	// restarts, and the names of all known instances, including this one.
	Members() (self string, all []string)
}

// shardKeys holds the row key of each shard's escrow. shardNames maps the
// names of these rows to shard numbers.
var shardKeys, shardNames = buildShardKeys()

// buildShardKeys returns the values of shardKeys and shardNames.
func buildShardKeys() (keys [budget.Shards]store.Key, names map[string]int) {
	names = map[string]int{}
	for index := range keys {
		keys[index] = store.Key{Table: escrowsTable, Partition: partitionName(index % budgetPartitions), Name: fmt.Sprintf("shard-%03d", index)}
		names[keys[index].Name] = index
	}
	return keys, names
}

// Acquire returns a function that keeps acquiring the escrows of the shards
// whose home is this instance, and releasing those of lost instances whose witness it
// is, until ctx ends, and then sends nil on done.
// With an escrow, programs start without a write each.
func (manager *Manager) Acquire(members Members) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		defer func() { done <- nil }()
		backoff := retry.Backoff{Initial: initialAcquireBackoff, Max: maxAcquireBackoff}
		started := manager.clock.Now()
		for {
			delay := acquireInterval
			manager.TakeOverLost(ctx)
			if err := manager.AcquireOnce(ctx, members, manager.clock.Now().Sub(started) < acquireDelay); err != nil {
				manager.log.Info("shards not acquired: programs that start here take a write each until the next attempt", "err", err)
				delay = initialAcquireBackoff/2 + backoff.Next()
				var noEscrow *NoEscrowError
				if errors.As(err, &noEscrow) {
					delay = acquireInterval
				}
			} else {
				backoff = retry.Backoff{Initial: initialAcquireBackoff, Max: maxAcquireBackoff}
			}
			if !clock.Sleep(ctx, delay) {
				return
			}
		}
	}
}

// NoEscrowError is returned when no shard was acquired, since the other
// instances have not been discovered yet or all shards to acquire are held by
// other incarnations.
type NoEscrowError struct{ detail string }

// Error gives the reason.
func (e *NoEscrowError) Error() string { return "no escrow: " + e.detail }

// AcquireOnce transfers the shards whose home is now another instance and
// acquires the escrows of those whose home is this one. With early set,
// shortly after process start, it does neither, since the other instances may
// not have been discovered yet. It returns a *NoEscrowError if no shard was
// acquired although some were due, an *UnreleasedBudgetError if a program's
// row could not be written for a transfer, or the store's *store.Error. After
// an error programs take a write each.
func (manager *Manager) AcquireOnce(ctx context.Context, members Members, early bool) error {
	if early {
		return &NoEscrowError{detail: "the other instances have not been discovered yet"}
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	self, names := members.Members()
	manager.announce(ctx)
	toTransfer, toRenew, toAcquire := manager.escrows.plan(self, names, manager.clock.Now(), manager.needsWitness)
	if err := manager.transferShards(ctx, toTransfer); err != nil {
		return err
	}
	if manager.renewShards(ctx, toRenew) {
		toAcquire = append(toAcquire, toRenew...)
	}
	if len(toAcquire) == 0 {
		return nil
	}
	acquired, err := manager.acquireShards(ctx, self, toAcquire)
	if err != nil {
		return err
	}
	rows, err := manager.programsWithRows(ctx, acquired)
	if err != nil {
		return err
	}
	manager.escrows.enable(acquired, rows)
	manager.announce(ctx)
	if len(acquired) < len(toAcquire) {
		manager.escrows.postponeRetry(manager.clock.Now())
	}
	if len(acquired) == 0 {
		return &NoEscrowError{detail: fmt.Sprintf("all %d shards are held by other incarnations", len(toAcquire))}
	}
	manager.log.Info("escrow acquired: programs start here without a write", "shards", len(acquired), "of", len(toAcquire), "instances", len(names), "rows", len(rows))
	return nil
}

// acquireShards writes an escrow of this incarnation to each of shards and
// returns the shards that now have one. The remaining shards are held by other
// incarnations.
func (manager *Manager) acquireShards(ctx context.Context, self string, shards []int) ([]int, error) {
	manager.mu.Lock()
	manager.accounts++
	account := accountName(manager.owner, manager.accounts)
	manager.mu.Unlock()
	if err := manager.refreshShards(ctx, shards); err != nil {
		return nil, err
	}
	escrow := budget.Escrow{Account: account, Instance: self, Witness: manager.nextWitness()}
	manager.escrows.setMaybeAcquired(shards, true)
	acquired, err := manager.writeFreeShards(ctx, shards, escrow)
	if err != nil {
		return nil, err
	}
	if released := manager.takeOverTerminated(ctx, without(shards, acquired)); len(released) > 0 {
		more, err := manager.writeFreeShards(ctx, released, escrow)
		if err != nil {
			return nil, err
		}
		acquired = append(acquired, more...)
	}
	manager.escrows.setMaybeAcquired(without(shards, acquired), false)
	return acquired, nil
}

// without returns those of shards that are not in others.
func without(shards, others []int) []int {
	return slices.DeleteFunc(slices.Clone(shards), func(index int) bool { return slices.Contains(others, index) })
}

// writeFreeShards writes their escrows to those of shards that have none, and returns the
// shards that now have one of this incarnation.
func (manager *Manager) writeFreeShards(ctx context.Context, shards []int, escrow budget.Escrow) ([]int, error) {
	var acquired []int
	for chunk := range slices.Chunk(shards, maxShardsPerTransaction) {
		written, err := manager.writeShards(ctx, chunk, escrow, func(current budget.Escrow) bool { return !current.Acquired() })
		if err != nil {
			return nil, err
		}
		acquired = append(acquired, written...)
	}
	return acquired, nil
}

// refreshShards reads the rows of those shards that were last seen held by
// other incarnations. Shards of an incarnation that is known to have
// terminated are left out, since it can no longer release them: after a power
// loss of all instances each would otherwise read all partitions repeatedly.
func (manager *Manager) refreshShards(ctx context.Context, shards []int) error {
	stale := map[string]bool{}
	for _, index := range shards {
		escrow, _ := manager.escrows.get(index)
		if escrow.Acquired() && !manager.isLocal(escrow) && !manager.holders.OwnerTerminated(escrow.Account) {
			stale[shardKeys[index].Partition] = true
		}
	}
	return manager.readPartitions(ctx, stale)
}

// readPartitions reads and records the rows of all shards in partitions.
func (manager *Manager) readPartitions(ctx context.Context, partitions map[string]bool) error {
	return forEachPartition(partitions, func(partition string) error {
		page, err := manager.store.Read(ctx, store.Range{Table: escrowsTable, Partition: partition})
		if err != nil {
			return err
		}
		return manager.adoptShards(page.Rows)
	})
}

// forEachPartition calls f for all partitions concurrently and returns one of
// the errors.
func forEachPartition(partitions map[string]bool, f func(partition string) error) error {
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

// releaseShards removes this incarnation's escrows from the store. Every
// program that was granted tokens by one of them must already have a row. A
// shard is written even if its escrow is not in the store yet, since an
// unanswered write may still be applied; the release makes the condition of
// that write fail.
func (manager *Manager) releaseShards(ctx context.Context, shards []int) error {
	var failed error
	for chunk := range slices.Chunk(shards, maxShardsPerTransaction) {
		manager.escrows.setReleasing(chunk)
		released, err := manager.writeShards(ctx, chunk, budget.Escrow{}, func(current budget.Escrow) bool { return !current.Acquired() || manager.isLocal(current) })
		if err != nil {
			failed = err
		} else {
			released = chunk // including shards found to be held by other incarnations
		}
		manager.escrows.setMaybeAcquired(released, false)
	}
	return failed
}

// isLocal reports whether an escrow belongs to this incarnation.
func (manager *Manager) isLocal(escrow budget.Escrow) bool {
	return strings.HasPrefix(escrow.Account, manager.owner+".")
}

// writeShards writes escrow to those of shards whose current escrow replaces
// accepts. It returns the shards that were written or already belong to this
// incarnation. With an error the result may be incomplete.
func (manager *Manager) writeShards(ctx context.Context, shards []int, escrow budget.Escrow, replaces func(budget.Escrow) bool) ([]int, error) {
	value, err := escrow.Encode()
	if err != nil {
		return nil, store.NewError(store.FailureInvalid, "escrows", err.Error())
	}
	for range maxConflicts {
		var tx store.Transaction
		var alreadyLocal, written []int
		for _, index := range shards {
			current, version := manager.escrows.get(index)
			switch {
			case replaces(current):
				tx.Conditions = append(tx.Conditions, store.Condition{Key: shardKeys[index], Version: version})
				tx.Puts = append(tx.Puts, store.Put{Key: shardKeys[index], Value: value})
				written = append(written, index)
			case manager.isLocal(current):
				alreadyLocal = append(alreadyLocal, index)
			}
		}
		if len(written) == 0 {
			return alreadyLocal, nil
		}
		version, err := manager.store.Commit(ctx, tx)
		if err == nil {
			for _, index := range written {
				manager.escrows.update(index, escrow, version)
			}
			return append(alreadyLocal, written...), nil
		}
		if groups := shardsByPartition(written); store.Unserved(err) && len(groups) > 1 {
			more, err := manager.writeShardsByPartition(ctx, groups, escrow, replaces)
			return append(alreadyLocal, more...), err
		}
		if err := manager.adoptConflictingShards(err); err != nil {
			return alreadyLocal, err
		}
	}
	return nil, store.NewError(store.FailureConflict, "escrows", "other instances keep writing the shards")
}

// writeShardsByPartition calls writeShards for the shards of each partition
// separately, since a transaction over several partitions is rejected if one
// of them is unavailable or busy. It returns the shards as writeShards does,
// and one of the errors.
func (manager *Manager) writeShardsByPartition(ctx context.Context, groups [][]int, escrow budget.Escrow, replaces func(budget.Escrow) bool) ([]int, error) {
	type result struct {
		written []int
		err     error
	}
	results := make(chan result, len(groups))
	for _, shards := range groups {
		go func() {
			written, err := manager.writeShards(ctx, shards, escrow, replaces)
			results <- result{written, err}
		}()
	}
	var all result
	for range groups {
		got := <-results
		all.written = append(all.written, got.written...)
		if got.err != nil {
			all.err = got.err
		}
	}
	return all.written, all.err
}

// shardsByPartition groups shards by the partition of their rows.
func shardsByPartition(shards []int) [][]int {
	groups := map[string][]int{}
	for _, index := range shards {
		partition := shardKeys[index].Partition
		groups[partition] = append(groups[partition], index)
	}
	return slices.Collect(maps.Values(groups))
}

// adoptConflictingShards records the escrows that made a write fail with a
// conflict. It returns err unchanged if err is not a conflict.
func (manager *Manager) adoptConflictingShards(err error) error {
	var failure *store.Error
	if !errors.As(err, &failure) || failure.Failure() != store.FailureConflict {
		return err
	}
	return manager.adoptShards(failure.Rows())
}

// adoptShards records those of rows that hold the escrow of a shard.
func (manager *Manager) adoptShards(rows []store.Row) error {
	for _, row := range rows {
		index, ok := shardNames[row.Key.Name]
		if !ok || row.Key != shardKeys[index] {
			continue
		}
		if err := manager.adoptShard(index, row); err != nil {
			return err
		}
	}
	return nil
}

// adoptShard records the row of one shard.
func (manager *Manager) adoptShard(index int, row store.Row) error {
	escrow, err := budget.DecodeEscrow(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "escrows", err.Error())
	}
	manager.escrows.update(index, escrow, row.Version)
	return nil
}

// readShard reads and records the row of one shard.
func (manager *Manager) readShard(ctx context.Context, index int) error {
	row, err := store.Get(ctx, manager.store, shardKeys[index])
	if err != nil {
		return err
	}
	return manager.adoptShard(index, row)
}

// transferShards lets other instances acquire shards. It stops granting by
// their escrows, writes a row for each of their programs known here and then
// releases the escrows. It returns an *UnreleasedBudgetError if a program's
// row could not be written; the escrow of that program's shard stays until it
// is.
func (manager *Manager) transferShards(ctx context.Context, shards []int) error {
	if len(shards) == 0 {
		return nil
	}
	manager.escrows.disable(shards)
	err := manager.releaseProgramsAndShards(ctx, shards, func(id string) bool {
		_, ok := slices.BinarySearch(shards, budget.Shard(id))
		return ok
	})
	if err != nil {
		return err
	}
	manager.log.Info("shards transferred: their programs have another home", "shards", len(shards))
	return nil
}

// renewShards releases shards that are to be acquired with another witness, and reports
// whether it did. While the store cannot be read their escrows stay in use.
func (manager *Manager) renewShards(ctx context.Context, shards []int) bool {
	if len(shards) == 0 {
		return false
	}
	err := manager.readShards(ctx, shards)
	if err == nil {
		err = manager.transferShards(ctx, shards)
	}
	if err == nil {
		return true
	}
	manager.log.Info("shards do not get another witness yet", "shards", len(shards), "err", err)
	return false
}

// programsWithRows returns the hashes of the names of all program rows in the
// partitions of shards.
func (manager *Manager) programsWithRows(ctx context.Context, shards []int) (map[uint64]struct{}, error) {
	inPartition := map[string]bool{}
	for _, index := range shards {
		inPartition[shardKeys[index].Partition] = true
	}
	var mu sync.Mutex
	rows := map[uint64]struct{}{}
	err := forEachPartition(inPartition, func(partition string) error {
		names, err := manager.rowNames(ctx, partition)
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			rows[xxhash.Sum64String(name)] = struct{}{}
		}
		return err
	})
	return rows, err
}

// rowNames returns the names of the program rows in a partition.
func (manager *Manager) rowNames(ctx context.Context, partition string) ([]string, error) {
	var names []string
	r := store.Range{Table: budgetTable, Partition: partition}
	for {
		page, err := manager.store.Read(ctx, r)
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
