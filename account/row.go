package account

import (
	"context"
	"fmt"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// table holds a row for each program.
	table = "budget"
	// partitions spread the programs, since one partition applies its
	// transactions one after another: 300 a second, and five a second while
	// the store is slow by a factor of 60. 48, besides those of the turns,
	// then still carry 250, twice what a fleet of nine instances writes.
	partitions = 48
)

// read takes in the program's row.
func (keeper *Keeper) read(ctx context.Context, p *program) error {
	row, err := store.Get(ctx, keeper.store, key(p.id))
	if err != nil {
		return err
	}
	return keeper.adopt(p, row)
}

// adopt takes in the program's row as read. If there is none, its account is
// the one that the escrow of its shard implies.
func (keeper *Keeper) adopt(p *program, row store.Row) error {
	if row.Version == 0 {
		p.imply(keeper.implied(p.id, p.usage.Owner(), p.total))
		return nil
	}
	ledger, err := budget.DecodeLedger(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	p.written(ledger, row.Version)
	if escrow, _ := keeper.escrows.known(budget.Shard(p.id)); keeper.isOwn(escrow) {
		p.disown(escrow.Account, row.Version)
	}
	return nil
}

// implied returns the ledger of a program that has no row, whose account here is
// the one given, and the version of its shard's escrow. An escrow of this start
// grants nothing to other accounts of it: a program that it handed something out
// of has its account, or a row.
func (keeper *Keeper) implied(id, account string, total int64) (*budget.Ledger, uint64) {
	escrow, version := keeper.escrows.known(budget.Shard(id))
	if keeper.isOwn(escrow) && escrow.Account != account {
		escrow = budget.Escrow{}
	}
	return escrow.Implied(total), version
}

// write makes ledger the program's row. On a conflict the row that stands
// is taken in.
func (keeper *Keeper) write(ctx context.Context, p *program, ledger *budget.Ledger) error {
	value, err := ledger.Encode()
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	k := key(p.id)
	tx := store.Transaction{Puts: []store.Put{{Key: k, Value: value}}}
	row, escrow := p.conditions()
	tx.Conditions = append(tx.Conditions, row)
	if escrow != nil {
		tx.Conditions = append(tx.Conditions, *escrow)
	}
	version, err := keeper.store.Commit(ctx, tx)
	if err == nil {
		p.written(ledger, version)
		return nil
	}
	if store.Is(err, store.FailureUnanswered) {
		p.unanswered()
		keeper.log.Info("budget row may be written", "program", p.id, "version", row.Version, "row", ledger.String(), "err", err)
	}
	if se, ok := err.(*store.Error); ok && se.Failure() == store.FailureConflict {
		if cerr := keeper.conflicted(ctx, p, se.Rows()); cerr != nil {
			return cerr
		}
	}
	return err
}

// conflicted takes in what stands in the way of p's row: another row, or
// another escrow of its shard.
func (keeper *Keeper) conflicted(ctx context.Context, p *program, rows []store.Row) error {
	k, at := key(p.id), budget.Shard(p.id)
	told := false
	for _, row := range rows {
		switch {
		case row.Key == k && row.Version > 0:
			return keeper.adopt(p, row)
		case row.Key == shardKeys[at]:
			if err := keeper.takeShard(at, row); err != nil {
				return err
			}
			told = true
		}
	}
	if told {
		return keeper.adopt(p, store.Row{Key: k})
	}
	if err := keeper.readShard(ctx, at); err != nil {
		return err
	}
	return keeper.read(ctx, p)
}

// key returns the key of a program's row. IDs come from callers; a long one
// is replaced by its hash.
func key(id string) store.Key {
	return store.Key{Table: table, Partition: partitionName(budget.Shard(id) % partitions), Name: store.Name(id)}
}

func partitionName(number int) string { return fmt.Sprintf("program-%02d", number) }
