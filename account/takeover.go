package account

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// holderTimeout is how long the holder of an escrow may be silent before its witness
// releases the escrow. Holders call each acquireInterval.
const holderTimeout = 4 * acquireInterval

// takeoverPrograms is the number of programs whose rows a witness writes in one
// transaction: each takes a condition and a row, and its shard another condition.
const takeoverPrograms = maxTransactionEntries / 3

// witnessRecords holds what the escrows of other instances have granted to programs
// without a row, as far as this instance is their witness. Its zero value is ready for
// use.
type witnessRecords struct {
	mu       sync.Mutex
	shards   map[int]*witnessRecord
	programs int
	stopped  bool
	// heardAt is when each holder of an escrow was last heard from, and checkedAt when
	// lost was last called.
	heardAt   map[string]time.Time
	checkedAt time.Time
}

// witnessRecord holds the grants of one escrow, which follows from the version of its
// shard's row. Escrows of lower versions have ended.
type witnessRecord struct {
	version uint64
	// holder is the incarnation that holds the escrow, and account its account; both are
	// empty if they are unknown or the escrow has been released.
	holder, account string
	// sealed is set once the escrow may grant no more.
	sealed bool
	// granted holds the tokens granted to each program.
	granted map[string]int64
}

// record records a grant. It returns a *WitnessRefusedError if the escrow may not grant it
// any more.
func (records *witnessRecords) record(grant WitnessedGrant) error {
	records.mu.Lock()
	defer records.mu.Unlock()
	known := records.at(grant.Shard, grant.Version)
	_, isKnown := known.granted[grant.Program]
	switch {
	case known.version > grant.Version || known.sealed:
		return NewWitnessRefusedError(WitnessEscrowEnded)
	case records.stopped:
		return NewWitnessRefusedError(WitnessStopped)
	case !isKnown && records.programs >= maxWitnessed:
		return NewWitnessRefusedError(WitnessFull)
	case !isKnown:
		records.programs++
	}
	known.granted[grant.Program] = max(known.granted[grant.Program], grant.Tokens)
	return nil
}

// announce records the holder of escrows. It returns a *WitnessRefusedError if one of the
// escrows has ended.
func (records *witnessRecords) announce(holder string, shards []WitnessedShard, now time.Time) error {
	records.mu.Lock()
	defer records.mu.Unlock()
	for _, shard := range shards {
		known := records.at(shard.Shard, shard.Version)
		if known.version > shard.Version || known.sealed {
			return NewWitnessRefusedError(WitnessEscrowEnded)
		}
		known.holder, known.account = holder, shard.Account
	}
	if records.stopped {
		return NewWitnessRefusedError(WitnessStopped)
	}
	if records.heardAt == nil {
		records.heardAt = map[string]time.Time{}
	}
	records.heardAt[holder] = now
	return nil
}

// lost returns the shards of each account whose holder has terminated or was not heard
// from for holderTimeout. The time starts anew after a pause in which the holders' calls
// may have been missed.
func (records *witnessRecords) lost(now time.Time, hasTerminated func(account string) bool) map[string][]int {
	records.mu.Lock()
	defer records.mu.Unlock()
	if now.Sub(records.checkedAt) > holderTimeout/2 {
		for holder := range records.heardAt {
			records.heardAt[holder] = now
		}
	}
	records.checkedAt = now
	shards, held := map[string][]int{}, map[string]bool{}
	for shard, known := range records.shards {
		if known.holder == "" {
			continue
		}
		held[known.holder] = true
		if now.Sub(records.heardAt[known.holder]) >= holderTimeout || hasTerminated(known.account) {
			shards[known.account] = append(shards[known.account], shard)
		}
	}
	maps.DeleteFunc(records.heardAt, func(holder string, _ time.Time) bool { return !held[holder] })
	return shards
}

// release records that the escrow of an account has been released in shards.
func (records *witnessRecords) release(account string, shards []int) {
	records.mu.Lock()
	defer records.mu.Unlock()
	for _, shard := range shards {
		if known := records.shards[shard]; known != nil && known.account == account {
			records.programs -= len(known.granted)
			known.holder, known.account, known.sealed, known.granted = "", "", true, map[string]int64{}
		}
	}
}

// drop removes records of grants, unless their escrow has ended.
func (records *witnessRecords) drop(grants []WitnessedGrant) {
	records.mu.Lock()
	defer records.mu.Unlock()
	for _, grant := range grants {
		known := records.shards[grant.Shard]
		if known == nil || known.version != grant.Version || known.sealed {
			continue
		}
		if _, ok := known.granted[grant.Program]; ok {
			delete(known.granted, grant.Program)
			records.programs--
		}
	}
}

// at returns the record of a shard for the given version of its row, or for a higher one
// that is known. The caller holds mu.
func (records *witnessRecords) at(shard int, version uint64) *witnessRecord {
	known := records.shards[shard]
	if known != nil && known.version >= version {
		return known
	}
	if known != nil {
		records.programs -= len(known.granted)
	}
	if records.shards == nil {
		records.shards = map[int]*witnessRecord{}
	}
	known = &witnessRecord{version: version, granted: map[string]int64{}}
	records.shards[shard] = known
	return known
}

// seal ends the recording of grants of a shard's escrow, and returns those that were
// recorded. It returns false if a higher version of the shard's row is known, and a
// *WitnessRefusedError after stop unless the shard was sealed before: its holder may grant
// without records then.
func (records *witnessRecords) seal(shard int, version uint64) (granted map[string]int64, ok bool, err error) {
	records.mu.Lock()
	defer records.mu.Unlock()
	known := records.at(shard, version)
	switch {
	case known.version > version:
		return nil, false, nil
	case records.stopped && !known.sealed:
		return nil, false, NewWitnessRefusedError(WitnessStopped)
	}
	known.sealed = true
	return known.granted, true, nil
}

// stop ends the recording of grants and all takeovers that have not begun.
func (records *witnessRecords) stop() {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.stopped = true
}

// StopWitnessing makes this instance take over no more escrows, and tell their holders so.
// It is called when a shutdown begins, so that holders learn of it before the instance is
// gone.
func (manager *Manager) StopWitnessing() { manager.witnessed.stop() }

// WitnessedPrograms returns the number of programs whose grants this instance records for
// others.
func (manager *Manager) WitnessedPrograms() int {
	manager.witnessed.mu.Lock()
	defer manager.witnessed.mu.Unlock()
	return manager.witnessed.programs
}

// RecordGrant records a grant of another instance's escrow, of which the named incarnation
// is the witness. It returns a *WitnessRefusedError if the escrow may not grant it.
func (manager *Manager) RecordGrant(witness string, grant WitnessedGrant) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	return manager.witnessed.record(grant)
}

// Announce records that the named holder runs, and the shards of its escrows of which the
// named incarnation is the witness. It returns a *WitnessRefusedError if that is another
// one or an escrow has ended.
func (manager *Manager) Announce(witness, holder string, shards []WitnessedShard) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	return manager.witnessed.announce(holder, shards, manager.clock.Now())
}

// TakeOverLost releases the escrows of other instances whose witness this incarnation is,
// if their holders are not heard from any more.
func (manager *Manager) TakeOverLost(ctx context.Context) {
	if manager.witnesses == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for account, shards := range manager.witnessed.lost(manager.clock.Now(), manager.holders.OwnerTerminated) {
		if err := manager.TakeOver(ctx, manager.owner, account, shards); err != nil {
			manager.log.Info("escrow of a lost instance not released; trying again later", "account", account, "shards", len(shards), "err", err)
		}
	}
}

// DropGrants drops the records of grants to programs whose rows record them.
func (manager *Manager) DropGrants(witness string, grants []WitnessedGrant) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	manager.witnessed.drop(grants)
	return nil
}

// TakeOver releases the escrow of an account of another instance in those of shards whose
// witness is this incarnation. From then on the other instance grants nothing more by it.
// Programs to which it granted tokens get rows that count them as spent. It returns a
// *WitnessRefusedError if this is not the witness of one of the shards, and the store's
// *store.Error if a shard could not be released. After an error it may be called again.
func (manager *Manager) TakeOver(ctx context.Context, witness, account string, shards []int) error {
	if witness != manager.owner {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	select {
	case manager.takingOver <- struct{}{}:
	case <-ctx.Done():
		return store.NewError(store.FailureUnreachable, "escrows", "timed out waiting for another takeover")
	}
	defer func() { <-manager.takingOver }()
	if err := manager.readShards(ctx, shards); err != nil {
		return err
	}
	var sealed []int
	var granted []witnessedProgram
	for _, shard := range shards {
		escrow, version := manager.escrows.get(shard)
		if escrow.Account != account {
			continue // released already
		}
		if escrow.Witness != manager.owner {
			return NewWitnessRefusedError(WitnessOtherIncarnation)
		}
		programs, ok, err := manager.witnessed.seal(shard, version)
		if err != nil {
			return err
		}
		if !ok {
			continue // released since it was read
		}
		sealed = append(sealed, shard)
		for _, id := range slices.Sorted(maps.Keys(programs)) {
			granted = append(granted, witnessedProgram{id: id, account: budget.Account{Granted: programs[id], Used: programs[id], Escrowed: true}, shard: store.Condition{Key: shardKeys[shard], Version: version}})
		}
	}
	for batch := range slices.Chunk(granted, takeoverPrograms) {
		if err := manager.writeWitnessed(ctx, account, batch); err != nil {
			return err
		}
	}
	for chunk := range slices.Chunk(sealed, maxShardsPerTransaction) {
		if _, err := manager.writeShards(ctx, chunk, budget.Escrow{}, func(current budget.Escrow) bool { return current.Account == account }); err != nil {
			return err
		}
	}
	manager.witnessed.release(account, shards)
	if len(sealed) > 0 {
		manager.takenOver.Inc(int64(len(sealed)))
		manager.log.Info("escrow of another instance released by its witness", "account", account, "shards", len(sealed), "programs", len(granted))
	}
	return nil
}

// witnessedProgram is a program to which the escrow of an account granted tokens, with the
// account to enter in its row and the condition that the escrow is still in force.
type witnessedProgram struct {
	id      string
	account budget.Account
	shard   store.Condition
}

// writeWitnessed writes rows that count as spent what an escrow granted to programs. It
// writes them in one transaction, or one by one if some of the programs have rows.
func (manager *Manager) writeWitnessed(ctx context.Context, account string, programs []witnessedProgram) error {
	var tx store.Transaction
	for _, p := range programs {
		value, err := (&budget.Ledger{Accounts: map[string]budget.Account{account: p.account}}).Encode()
		if err != nil {
			return store.NewError(store.FailureInvalid, "budget", err.Error())
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Key: rowKey(p.id)})
		if !slices.Contains(tx.Conditions, p.shard) {
			tx.Conditions = append(tx.Conditions, p.shard)
		}
		tx.Puts = append(tx.Puts, store.Put{Key: rowKey(p.id), Value: value})
	}
	_, err := manager.store.Commit(ctx, tx)
	if err == nil {
		return nil
	}
	for _, p := range programs {
		if err := manager.writeWitnessedProgram(ctx, account, p); err != nil {
			return err
		}
	}
	return nil
}

// writeWitnessedProgram counts as spent, in one program's row, what an escrow granted to
// it. A row in which the owner of the escrow has recorded its use, or which it has
// released, stays as it is.
func (manager *Manager) writeWitnessedProgram(ctx context.Context, account string, p witnessedProgram) error {
	for range maxConflicts {
		row, err := store.Get(ctx, manager.store, rowKey(p.id))
		if err != nil {
			return err
		}
		ledger, err := budget.DecodeLedger(row.Value)
		if err != nil {
			return store.NewError(store.FailureInvalid, "budget", err.Error())
		}
		if row.Version > 0 && !ledger.IsUnused(account) {
			return nil
		}
		ledger.Accounts[account] = p.account
		value, err := ledger.Encode()
		if err != nil {
			return store.NewError(store.FailureInvalid, "budget", err.Error())
		}
		_, err = manager.store.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: row.Key, Version: row.Version}, p.shard}, Puts: []store.Put{{Key: row.Key, Value: value}}})
		if err == nil || !store.Is(err, store.FailureConflict) {
			return err
		}
	}
	return store.NewError(store.FailureConflict, "budget", "other instances keep writing the row")
}

// readShards reads and records the rows of the partitions of shards.
func (manager *Manager) readShards(ctx context.Context, shards []int) error {
	partitions := map[string]bool{}
	for _, shard := range shards {
		partitions[shardKeys[shard].Partition] = true
	}
	return manager.readPartitions(ctx, partitions)
}
