package account

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// takeoverPrograms is the number of programs whose rows a witness writes in one
	// transaction: each takes a condition and a row, and its shard another condition.
	takeoverPrograms = maxTransactionEntries / 3
	// takeoverTimeout bounds a request to a witness to release an escrow: a read, and one
	// write for some thirty programs.
	takeoverTimeout = time.Second
)

// requestTakeover requests the witness of the escrow of p's shard to release it, if its
// owner is among the unanswered accounts, and reports whether it did. A takeover is safe
// even if the owner still runs; it only costs the owner its escrow.
func (manager *Manager) requestTakeover(ctx context.Context, p *program, unanswered []string) (bool, error) {
	if manager.witnesses == nil {
		return false, nil
	}
	accounts, version := p.unusedAccounts()
	index := budget.Shard(p.id)
	for _, account := range accounts {
		isLocal := manager.isLocal(budget.Escrow{Account: account})
		if isLocal || !slices.Contains(unanswered, account) || !manager.escrows.mayTakeOver(index, manager.clock.Now()) {
			continue
		}
		if err := manager.readShard(ctx, index); err != nil {
			return false, err
		}
		if escrow, _ := manager.escrows.get(index); escrow.Account == account && manager.takeOver(ctx, escrow, []int{index}) != nil {
			continue
		}
		p.removeEscrow(account, version)
		return true, nil
	}
	return false, nil
}

// takeOver has the witness of an escrow of another instance release it in shards. It
// returns the error of the call, which it logs.
func (manager *Manager) takeOver(ctx context.Context, escrow budget.Escrow, shards []int) error {
	if escrow.Witness == "" {
		return NewWitnessRefusedError(WitnessOtherIncarnation)
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	var err error
	if escrow.Witness == manager.owner {
		err = manager.TakeOver(ctx, escrow.Witness, escrow.Account, shards)
	} else {
		err = manager.witnesses.TakeOver(ctx, escrow.Witness, escrow.Account, shards)
	}
	if err != nil {
		manager.log.Info("escrow not released by its witness", "account", escrow.Account, "witness", escrow.Witness, "shards", len(shards), "err", err)
	}
	return err
}

// takeOverTerminated has witnesses release those of shards that are held by incarnations
// known to have terminated, and returns these shards.
func (manager *Manager) takeOverTerminated(ctx context.Context, shards []int) []int {
	if manager.witnesses == nil {
		return nil
	}
	held := map[budget.Escrow][]int{}
	for _, index := range shards {
		escrow, _ := manager.escrows.get(index)
		if escrow.Acquired() && !manager.isLocal(escrow) && manager.holders.OwnerTerminated(escrow.Account) && manager.escrows.mayTakeOver(index, manager.clock.Now()) {
			held[escrow] = append(held[escrow], index)
		}
	}
	results := make(chan []int, len(held))
	for escrow, shards := range held {
		go func() {
			if manager.takeOver(ctx, escrow, shards) != nil {
				shards = nil
			} else if err := manager.readShards(ctx, shards); err != nil {
				manager.log.Info("released shards not read: they are acquired later", "shards", len(shards), "err", err)
				shards = nil
			}
			results <- shards
		}()
	}
	var released []int
	for range held {
		released = append(released, <-results...)
	}
	return released
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
