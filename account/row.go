package account

import (
	"context"
	"fmt"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// budgetTable holds one row for each program.
	budgetTable = "budget"
	// budgetPartitions spreads the programs over partitions, since the store
	// applies the transactions of one partition in sequence: 300 a second, and
	// five a second while it is slower by a factor of 60. Besides those of the
	// turns, 48 partitions then still carry 250 a second, twice what a fleet
	// of nine instances writes.
	budgetPartitions = 48
)

// readRow reads and records the program's row.
func (manager *Manager) readRow(ctx context.Context, p *program) error {
	row, err := store.Get(ctx, manager.store, rowKey(p.id))
	if err != nil {
		return err
	}
	return manager.adoptRow(p, row)
}

// adoptRow records the program's row as read. If there is no row, the
// program's only account is the one that the escrow of its shard implies.
func (manager *Manager) adoptRow(p *program, row store.Row) error {
	if row.Version == 0 {
		p.adoptImplied(manager.implied(p.id, p.usage.Owner(), p.total))
		return nil
	}
	ledger, err := budget.DecodeLedger(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	p.adoptWritten(ledger, row.Version)
	if escrow, _ := manager.escrows.get(budget.Shard(p.id)); manager.isLocal(escrow) {
		p.removeEscrow(escrow.Account, row.Version)
	}
	return nil
}

// implied returns the ledger of a program without a row and the version of its
// shard's escrow. account is the program's account here. An escrow of this
// incarnation grants nothing if that is another account: a program that was
// granted tokens by the escrow uses its account here, or has a row.
func (manager *Manager) implied(id, account string, total int64) (*budget.Ledger, uint64) {
	escrow, version := manager.escrows.get(budget.Shard(id))
	if manager.isLocal(escrow) && escrow.Account != account {
		escrow = budget.Escrow{}
	}
	return escrow.ImpliedLedger(total), version
}

// writeRow writes ledger as the program's row. On a conflict it records the
// current row and returns the conflict.
func (manager *Manager) writeRow(ctx context.Context, p *program, ledger *budget.Ledger) error {
	value, err := ledger.Encode()
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	k := rowKey(p.id)
	tx := store.Transaction{Puts: []store.Put{{Key: k, Value: value}}}
	row, escrow := p.conditions()
	tx.Conditions = append(tx.Conditions, row)
	if escrow != nil {
		tx.Conditions = append(tx.Conditions, *escrow)
	}
	version, err := manager.store.Commit(ctx, tx)
	if err == nil {
		p.adoptWritten(ledger, version)
		return nil
	}
	if store.Is(err, store.FailureUnanswered) {
		p.markUnanswered()
		manager.log.Info("budget write not answered: the row may or may not be stored", "program", p.id, "version", row.Version, "row", ledger.String(), "err", err)
	}
	if storeErr, ok := err.(*store.Error); ok && storeErr.Failure() == store.FailureConflict {
		if adoptErr := manager.adoptConflict(ctx, p, storeErr.Rows()); adoptErr != nil {
			return adoptErr
		}
	}
	return err
}

// adoptConflict records what made the write of p's row fail: a newer row, or a
// newer escrow of its shard.
func (manager *Manager) adoptConflict(ctx context.Context, p *program, rows []store.Row) error {
	k, index := rowKey(p.id), budget.Shard(p.id)
	shardUpdated := false
	for _, row := range rows {
		switch {
		case row.Key == k && row.Version > 0:
			return manager.adoptRow(p, row)
		case row.Key == shardKeys[index]:
			if err := manager.adoptShard(index, row); err != nil {
				return err
			}
			shardUpdated = true
		}
	}
	if shardUpdated {
		return manager.adoptRow(p, store.Row{Key: k})
	}
	if err := manager.readShard(ctx, index); err != nil {
		return err
	}
	return manager.readRow(ctx, p)
}

// rowKey returns the key of a program's row. IDs come from callers; store.Name
// replaces a long ID by its hash.
func rowKey(id string) store.Key {
	return store.Key{Table: budgetTable, Partition: partitionName(budget.Shard(id) % budgetPartitions), Name: store.Name(id)}
}

// partitionName returns the name of a partition of the budget and escrows
// tables.
func partitionName(number int) string { return fmt.Sprintf("program-%02d", number) }
