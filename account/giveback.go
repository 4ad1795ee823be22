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
	// restTime after its last turn here, what a program was granted and did
	// not use is given back, and the program is forgotten. Other instances
	// that need it sooner ask for it. Most programs have ended by then, and
	// each that comes again takes a read and a write.
	restTime = 2 * time.Minute
	// sweepInterval is how often programs at rest are looked for.
	sweepInterval = 5 * time.Second
	// mostEntries are written in one transaction: the store takes 100.
	mostEntries = 100
)

// GiveBack gives back what the program was granted here and does not use,
// as another instance asked for. It returns once that is durable, or ctx
// ends. Of a program unknown here this start's escrow may hold something.
func (keeper *Keeper) GiveBack(ctx context.Context, id string) error {
	p, escrow := keeper.holder(id)
	if p == nil {
		return keeper.giveBackEscrow(ctx, id, escrow)
	}
	if err := p.lockRow(ctx); err != nil {
		return err
	}
	defer p.unlockRow()
	return keeper.giveBack(ctx, p)
}

// holder returns the program of an ID, or if it is not known here the escrow of
// its shard. If that is this start's, the program's account here is another one from
// now on.
func (keeper *Keeper) holder(id string) (*program, budget.Escrow) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if p := keeper.programs[id]; p != nil {
		return p, budget.Escrow{}
	}
	escrow, _ := keeper.escrows.known(budget.Shard(id))
	if keeper.isOwn(escrow) {
		keeper.escrows.noteRow(id)
	}
	return nil, escrow
}

// giveBackEscrow takes the account of an escrow, if that is this start's, out of the
// row of a program that is not known here, unless it handed out something: other
// instances count it since they made the row.
func (keeper *Keeper) giveBackEscrow(ctx context.Context, id string, escrow budget.Escrow) error {
	if !keeper.isOwn(escrow) {
		return nil
	}
	row, err := store.Get(ctx, keeper.store, key(id))
	if err != nil || row.Version == 0 {
		return err
	}
	ledger, err := budget.DecodeLedger(row.Value)
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	ledger, unused := ledger.Disown(escrow.Account)
	if !unused {
		return nil
	}
	value, err := ledger.Encode()
	if err != nil {
		return store.NewError(store.FailureInvalid, "budget", err.Error())
	}
	_, err = keeper.store.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: row.Key, Version: row.Version}}, Puts: []store.Put{{Key: row.Key, Value: value}}})
	return err
}

// giveBack writes the row that gives back, if there is anything to. The
// caller holds the row.
func (keeper *Keeper) giveBack(ctx context.Context, p *program) error {
	var err error
	for range maxConflicts {
		ledger := p.release(keeper.loans.isStopped())
		if ledger == nil {
			return nil
		}
		if err = keeper.write(ctx, p, ledger); err == nil {
			keeper.released.Inc(1)
			return nil
		}
		if !store.Is(err, store.FailureConflict) {
			return err
		}
	}
	return err
}

// Sweep forgets programs that were at rest for restTime, after giving back
// what they were granted here and did not use, until ctx ends; then it
// reports on done. A program whose row cannot be written stays known.
func (keeper *Keeper) Sweep(ctx context.Context, done chan<- error) {
	clock.Every(ctx, sweepInterval, func(time.Time) { keeper.SweepOnce(ctx) }, done)
}

// SweepOnce forgets the programs that are at rest now, as Sweep does.
func (keeper *Keeper) SweepOnce(ctx context.Context) {
	keeper.expireLoans()
	for _, programs := range batches(keeper.resting()) {
		for _, p := range keeper.giveBackAll(ctx, programs) {
			keeper.forget(p)
		}
	}
}

// resting returns the programs that were at rest for restTime.
func (keeper *Keeper) resting() []*program {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	var resting []*program
	for _, p := range keeper.programs {
		if p.turns == 0 && keeper.atRest(p) {
			resting = append(resting, p)
		}
	}
	return resting
}

func (keeper *Keeper) atRest(p *program) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Idle() && keeper.clock.Now().Sub(p.last) >= restTime
}

// forget drops a program that is still at rest.
func (keeper *Keeper) forget(p *program) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if p.turns == 0 && keeper.atRest(p) && keeper.programs[p.id] == p {
		keeper.escrows.noteRow(p.id)
		delete(keeper.programs, p.id)
	}
}

// Stop gives back what all programs were granted here and do not use, until
// ctx ends: a stopping instance must not keep what others could hand out.
// Many rows go into one transaction each, since an instance knows some
// hundred programs and has half a second. Last, its shards are released. It
// returns a *NotGivenBackError, or the store's *store.Error, if something is
// left to give back, and may be called again.
func (keeper *Keeper) Stop(ctx context.Context) error {
	keeper.loans.stop()
	loans, rest := keeper.loans.outstanding()
	keeper.log.Info("giving back budgets", "programs", keeper.Len(), "loans", loans, "rest_tokens", rest)
	return keeper.release(ctx, keeper.escrows.stop(), func(string) bool { return true })
}

// release gives back what the programs that match were granted here and do not
// use, and releases shards but for those of programs that are left: their escrow
// stands until all programs that it was used for have a row. It returns a
// *NotGivenBackError if some are left, and the store's *store.Error.
func (keeper *Keeper) release(ctx context.Context, shards []int, match func(id string) bool) error {
	left := keeper.giveBackPrograms(ctx, match)
	held := map[int]bool{}
	for _, p := range left {
		held[budget.Shard(p.id)] = true
	}
	released := slices.DeleteFunc(slices.Clone(shards), func(at int) bool { return held[at] })
	err := keeper.releaseShards(ctx, released)
	if len(left) > 0 {
		return errors.Join(&NotGivenBackError{programs: len(left)}, err)
	}
	return err
}

// giveBackPrograms gives back what the programs that match were granted here
// and do not use. It returns those of which something is left.
func (keeper *Keeper) giveBackPrograms(ctx context.Context, match func(id string) bool) (left []*program) {
	var programs []*program
	keeper.mu.Lock()
	for id, p := range keeper.programs {
		if match(id) {
			programs = append(programs, p)
		}
	}
	keeper.mu.Unlock()
	given := keeper.giveBackAtOnce(ctx, batches(programs))
	return slices.DeleteFunc(programs, func(p *program) bool { return given[p] })
}

// giveBackAtOnce gives back what is granted to batches of programs, all batches at
// once, and returns the programs that have nothing left to give back.
func (keeper *Keeper) giveBackAtOnce(ctx context.Context, batches [][]*program) map[*program]bool {
	results := make(chan []*program, len(batches))
	for _, some := range batches {
		go func() { results <- keeper.giveBackAll(ctx, some) }()
	}
	given := map[*program]bool{}
	for range batches {
		for _, p := range <-results {
			given[p] = true
		}
	}
	return given
}

// batches splits programs into as many as are given back in one transaction.
func batches(programs []*program) [][]*program {
	var split [][]*program
	entries := mostEntries
	for _, p := range programs {
		own := p.entries()
		if entries+own > mostEntries {
			split, entries = append(split, nil), 0
		}
		split[len(split)-1] = append(split[len(split)-1], p)
		entries += own
	}
	return split
}

// byPartition splits programs by the partition of their rows.
func byPartition(programs []*program) [][]*program {
	split := map[string][]*program{}
	for _, p := range programs {
		partition := key(p.id).Partition
		split[partition] = append(split[partition], p)
	}
	return slices.Collect(maps.Values(split))
}

// entries returns how many entries of a transaction give back what the program
// was granted: its row, the row's condition and, if there is none yet, that of
// its shard's escrow.
func (p *program) entries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage.Version() == 0 {
		return 3
	}
	return 2
}

// NotGivenBackError is an instance that holds budgets of programs still: the
// store did not take their rows.
type NotGivenBackError struct{ programs int }

// Error tells how many.
func (e *NotGivenBackError) Error() string {
	return fmt.Sprintf("budgets of %d programs are not given back", e.programs)
}

// giveBackAll gives back what is granted to programs, in one transaction if
// none of their rows was written by others meanwhile, else one by one. If the store
// does not serve that, it is tried by partition: one that is away or busy refuses
// what spans it. It returns the programs that have nothing left to give back.
func (keeper *Keeper) giveBackAll(ctx context.Context, programs []*program) []*program {
	done, unserved := keeper.giveBackTogether(ctx, programs)
	if apart := byPartition(unserved); len(apart) > 1 {
		return slices.AppendSeq(done, maps.Keys(keeper.giveBackAtOnce(ctx, apart)))
	}
	return done
}

// giveBackTogether gives back what is granted to programs. It returns those that
// have nothing left to give back, and those of a transaction that was not served.
func (keeper *Keeper) giveBackTogether(ctx context.Context, programs []*program) (done, unserved []*program) {
	var tx store.Transaction
	var ledgers []*budget.Ledger
	var granted []*program
	conditioned := map[store.Condition]bool{}
	for _, p := range programs {
		if err := p.lockRow(ctx); err != nil {
			keeper.log.Info("budget not given back yet", "program", p.id, "err", err)
			continue
		}
		defer p.unlockRow()
		ledger := p.release(keeper.loans.isStopped())
		if ledger == nil {
			done = append(done, p)
			continue
		}
		value, err := ledger.Encode()
		if err != nil {
			keeper.log.Error("budget cannot be encoded", "program", p.id, "err", err)
			continue
		}
		k := key(p.id)
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
	version, err := keeper.store.Commit(ctx, tx)
	if store.Unserved(err) {
		keeper.log.Info("budgets not given back yet", "programs", len(granted), "err", err)
		return done, granted
	}
	for i, p := range granted {
		if err == nil {
			p.written(ledgers[i], version)
			keeper.released.Inc(1)
		} else if oneErr := keeper.giveBack(ctx, p); oneErr != nil {
			keeper.log.Info("budget not given back yet", "program", p.id, "err", oneErr)
			continue
		}
		done = append(done, p)
	}
	return done, nil
}
