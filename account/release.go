package account

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// idleTimeout is how long after its last turn here a program is evicted
	// and its unused tokens are released. Other instances that need the tokens
	// sooner request their release. Most programs have ended within that time;
	// one that continues takes a read and a write.
	idleTimeout = 2 * time.Minute
	// minIdleTimeout is the same while there are as many programs as allowed. From half
	// of these on, the time decreases.
	minIdleTimeout = time.Second
	// sweepInterval is the interval between searches for idle programs, and
	// crowdedSweepInterval that from half of the programs allowed on.
	sweepInterval        = 5 * time.Second
	crowdedSweepInterval = 500 * time.Millisecond
	// maxTransactionEntries is the store's limit of entries in a transaction.
	maxTransactionEntries = 100
)

// ReleaseUnused releases the unused tokens of the program's local account at the
// request of another instance. It returns nil once the release is durable and
// an error if the store fails or ctx ends first. For a program without state
// here, it releases the account that this incarnation's escrow implies.
func (manager *Manager) ReleaseUnused(ctx context.Context, id string) error {
	p, escrow := manager.programOrEscrow(id)
	if p == nil {
		return manager.releaseUnusedEscrow(ctx, id, escrow)
	}
	if err := p.lockRow(ctx); err != nil {
		return err
	}
	defer p.unlockRow()
	return manager.releaseProgram(ctx, p)
}

// programOrEscrow returns the state of a program or, if there is none, the
// escrow of its shard. If that escrow belongs to this incarnation, it is no
// longer used for the program: a later turn gets another account.
func (manager *Manager) programOrEscrow(id string) (*program, budget.Escrow) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	if p := manager.programs[id]; p != nil {
		return p, budget.Escrow{}
	}
	escrow, _ := manager.escrows.get(budget.Shard(id))
	if manager.isLocal(escrow) {
		manager.escrows.recordRow(id)
	}
	return nil, escrow
}

// releaseUnusedEscrow removes the account of an escrow of this incarnation
// from the row of a program without state here, unless the account granted
// tokens. The instance that wrote the row counted the account, since the
// escrow implied it.
func (manager *Manager) releaseUnusedEscrow(ctx context.Context, id string, escrow budget.Escrow) error {
	if !manager.isLocal(escrow) {
		return nil
	}
	row, err := store.Get(ctx, manager.store, rowKey(id))
	if err != nil || row.Version == 0 {
		return err
	}
	ledger, err := budget.DecodeLedger(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	ledger, unused := ledger.RemoveUnused(escrow.Account)
	if !unused {
		return nil
	}
	value, err := ledger.Encode()
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	_, err = manager.store.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: row.Key, Version: row.Version}}, Puts: []store.Put{{Key: row.Key, Value: value}}})
	return err
}

// releaseProgram writes a row that releases the unused tokens of p, if there
// are any. The caller holds the row lock.
func (manager *Manager) releaseProgram(ctx context.Context, p *program) error {
	var err error
	for range maxConflicts {
		ledger := p.releaseUnused(manager.loans.isStopped())
		if ledger == nil {
			return nil
		}
		if err = manager.writeRow(ctx, p, ledger); err == nil {
			manager.released.Inc(1)
			return nil
		}
		if !store.Is(err, store.FailureConflict) {
			return err
		}
	}
	return err
}

// Sweep releases the unused tokens of programs that were idle for idleTimeout, or
// less while there are many, and evicts them, until ctx ends, and then sends nil on done. A program whose
// row cannot be written is kept.
func (manager *Manager) Sweep(ctx context.Context, done chan<- error) {
	swept := manager.clock.Now()
	clock.Every(ctx, crowdedSweepInterval, func(time.Time) {
		now := manager.clock.Now()
		if now.Sub(swept) >= sweepInterval || manager.crowding() > 0 {
			swept = now
			manager.SweepOnce(ctx)
		}
	}, done)
}

// crowding returns how close the number of programs is to the limit: 0 up to half of it, 1 at the
// limit.
func (manager *Manager) crowding() float64 {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.crowdingLocked()
}

// crowdingLocked is crowding for a caller that holds mu.
func (manager *Manager) crowdingLocked() float64 {
	if manager.maxPrograms <= 0 {
		return 0
	}
	return max(0, 2*float64(len(manager.programs))/float64(manager.maxPrograms)-1)
}

// idleTime returns how long after its last turn a program is evicted. The caller holds mu.
func (manager *Manager) idleTime() time.Duration {
	return max(minIdleTimeout, time.Duration((1-manager.crowdingLocked())*float64(idleTimeout)))
}

// SweepOnce settles expired loans, releases the unused tokens of programs that
// are idle now and evicts these programs.
func (manager *Manager) SweepOnce(ctx context.Context) {
	manager.settleExpiredLoans()
	idle, idleTime := manager.idlePrograms()
	for _, programs := range splitIntoBatches(idle) {
		released := manager.releaseBatch(ctx, programs)
		manager.dropGrants(ctx, slices.DeleteFunc(slices.Clone(released), func(p *program) bool { return !manager.evict(p, idleTime) }))
	}
}

// idlePrograms returns the programs that were idle for the time that it returns.
func (manager *Manager) idlePrograms() ([]*program, time.Duration) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	var idlePrograms []*program
	idleTime := manager.idleTime()
	for _, p := range manager.programs {
		if p.pins == 0 && manager.isIdle(p, idleTime) {
			idlePrograms = append(idlePrograms, p)
		}
	}
	return idlePrograms, idleTime
}

// isIdle reports whether p has no turn in flight and its last use was at least
// idleTime ago.
func (manager *Manager) isIdle(p *program, idleTime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Idle() && manager.clock.Now().Sub(p.lastUsed) >= idleTime
}

// evict removes the state of a program that is still idle, and reports whether it was.
func (manager *Manager) evict(p *program, idleTime time.Duration) bool {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	if p.pins > 0 || !manager.isIdle(p, idleTime) || manager.programs[p.id] != p {
		return false
	}
	manager.escrows.recordRow(p.id)
	delete(manager.programs, p.id)
	return true
}

// Stop releases the unused tokens of all programs until ctx ends, so that
// other instances can grant them, and then this incarnation's shards. Each
// transaction carries many rows, since an instance has state of some hundred
// programs and half a second for the release. Stop returns an
// *UnreleasedBudgetError, the store's *store.Error, or both joined, if
// something could not be released. It may be called again.
func (manager *Manager) Stop(ctx context.Context) error {
	manager.loans.stop()
	manager.witnessed.stop()
	loans, remaining := manager.loans.outstanding()
	manager.log.Info("stopping: releasing unused budgets", "programs", manager.Len(), "loans", loans, "rest_tokens", remaining)
	return manager.releaseProgramsAndShards(ctx, manager.escrows.stop(), func(string) bool { return true })
}

// releaseProgramsAndShards releases the unused tokens of the programs that
// match and then shards. The shard of a program that could not be released
// keeps its escrow, which must stay until all programs that it granted tokens
// have a row. The error is or joins an *UnreleasedBudgetError if programs are
// unreleased, and the store's *store.Error if shards are.
func (manager *Manager) releaseProgramsAndShards(ctx context.Context, shards []int, match func(id string) bool) error {
	unreleased := manager.releasePrograms(ctx, match)
	blocked := map[int]bool{}
	for _, p := range unreleased {
		blocked[budget.Shard(p.id)] = true
	}
	released := slices.DeleteFunc(slices.Clone(shards), func(index int) bool { return blocked[index] })
	err := manager.releaseShards(ctx, released)
	if len(unreleased) > 0 {
		return errors.Join(&UnreleasedBudgetError{programs: len(unreleased)}, err)
	}
	return err
}

// releasePrograms releases the unused tokens of the programs that match. It
// returns the programs that could not be released.
func (manager *Manager) releasePrograms(ctx context.Context, match func(id string) bool) (unreleased []*program) {
	var programs []*program
	manager.mu.Lock()
	for id, p := range manager.programs {
		if match(id) {
			programs = append(programs, p)
		}
	}
	manager.mu.Unlock()
	released := manager.releaseBatches(ctx, splitIntoBatches(programs))
	return slices.DeleteFunc(programs, func(p *program) bool { return released[p] })
}

// releaseBatches releases the unused tokens of batches of programs, all
// batches concurrently, and returns the programs that have nothing more to
// release.
func (manager *Manager) releaseBatches(ctx context.Context, batches [][]*program) map[*program]bool {
	results := make(chan []*program, len(batches))
	for _, batch := range batches {
		go func() { results <- manager.releaseBatch(ctx, batch) }()
	}
	released := map[*program]bool{}
	for range batches {
		for _, p := range <-results {
			released[p] = true
		}
	}
	return released
}

// splitIntoBatches splits programs into batches that each fit one transaction.
func splitIntoBatches(programs []*program) [][]*program {
	var batches [][]*program
	entryCount := maxTransactionEntries
	for _, p := range programs {
		needed := p.entryCount()
		if entryCount+needed > maxTransactionEntries {
			batches, entryCount = append(batches, nil), 0
		}
		batches[len(batches)-1] = append(batches[len(batches)-1], p)
		entryCount += needed
	}
	return batches
}

// programsByPartition groups programs by the partition of their rows.
func programsByPartition(programs []*program) [][]*program {
	groups := map[string][]*program{}
	for _, p := range programs {
		partition := rowKey(p.id).Partition
		groups[partition] = append(groups[partition], p)
	}
	return slices.Collect(maps.Values(groups))
}

// entryCount returns the number of transaction entries that a release of the
// program takes: its row, the condition on the row and, if there is no row
// yet, the condition on the escrow of its shard.
func (p *program) entryCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage.Version() == 0 {
		return 3
	}
	return 2
}

// UnreleasedBudgetError is returned when an instance still holds unused
// budgets of programs, since their rows could not be written.
type UnreleasedBudgetError struct{ programs int }

// Error gives the number of programs.
func (e *UnreleasedBudgetError) Error() string {
	return fmt.Sprintf("unused budgets of %d programs could not be released", e.programs)
}

// releaseBatch releases the unused tokens of programs in one transaction or,
// if another instance wrote one of their rows meanwhile, in one for each
// program. If the store does not serve the transaction, releaseBatch retries
// by partition, since a transaction over several partitions is rejected if one
// of them is unavailable or busy. It returns the programs that have nothing
// more to release.
func (manager *Manager) releaseBatch(ctx context.Context, programs []*program) []*program {
	done, unserved := manager.releaseInTransaction(ctx, programs)
	if groups := programsByPartition(unserved); len(groups) > 1 {
		return slices.AppendSeq(done, maps.Keys(manager.releaseBatches(ctx, groups)))
	}
	return done
}

// releaseInTransaction releases the unused tokens of programs in one
// transaction, and after a conflict one by one. It returns the programs that
// have nothing more to release, and those of a transaction that the store did
// not serve.
func (manager *Manager) releaseInTransaction(ctx context.Context, programs []*program) (done, unserved []*program) {
	var tx store.Transaction
	var ledgers []*budget.Ledger
	var granted []*program
	conditioned := map[store.Condition]bool{}
	for _, p := range programs {
		if err := p.lockRow(ctx); err != nil {
			manager.log.Info("unused budget not released: another turn holds the program's row; kept until the next attempt", "program", p.id, "err", err)
			continue
		}
		defer p.unlockRow()
		ledger := p.releaseUnused(manager.loans.isStopped())
		if ledger == nil {
			done = append(done, p)
			continue
		}
		value, err := ledger.Encode()
		if err != nil {
			manager.log.Error("unused budget not released: the ledger cannot be encoded; kept until the next attempt", "program", p.id, "err", err)
			continue
		}
		k := rowKey(p.id)
		row, escrow := p.conditions()
		tx.Conditions = append(tx.Conditions, row)
		if escrow != nil && !conditioned[*escrow] {
			conditioned[*escrow] = true
			tx.Conditions = append(tx.Conditions, *escrow)
		}
		tx.Puts = append(tx.Puts, store.Put{Key: k, Value: value})
		ledgers, granted = append(ledgers, ledger), append(granted, p)
	}
	if len(granted) == 0 {
		return done, nil
	}
	version, err := manager.store.Commit(ctx, tx)
	if store.Unserved(err) {
		manager.log.Info("unused budgets not released: the store did not serve the transaction; kept until the next attempt", "programs", len(granted), "err", err)
		for _, p := range granted {
			if !store.Is(err, store.FailureUnanswered) && !manager.loans.isStopped() {
				p.releaseRejected()
			}
		}
		return done, granted
	}
	for i, p := range granted {
		if err == nil {
			p.adoptWritten(ledgers[i], version)
			manager.released.Inc(1)
		} else if oneErr := manager.releaseProgram(ctx, p); oneErr != nil {
			manager.log.Info("unused budget not released: the row was not written; kept until the next attempt", "program", p.id, "err", oneErr)
			continue
		}
		done = append(done, p)
	}
	return done, nil
}
