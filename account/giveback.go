package account

import (
	"context"
	"maps"
	"slices"
	"sync"
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
	// stopBatch rows are given back in one transaction when the instance
	// stops. The store takes 100 entries in one; each row is two.
	stopBatch = 45
)

// GiveBack gives back what the program was granted here and does not use,
// as another instance asked for. It returns once that is durable, or ctx
// ends; nothing is done for a program unknown here.
func (keeper *Keeper) GiveBack(ctx context.Context, id string) error {
	keeper.mu.Lock()
	p := keeper.programs[id]
	keeper.mu.Unlock()
	if p == nil {
		return nil
	}
	if err := p.lockRow(ctx); err != nil {
		return err
	}
	defer p.unlockRow()
	return keeper.giveBack(ctx, p)
}

// giveBack writes the row that gives back, if there is anything to. The
// caller holds the row.
func (keeper *Keeper) giveBack(ctx context.Context, p *program) error {
	var err error
	for range maxConflicts {
		ledger := p.release()
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
	clock.Every(ctx, sweepInterval, func(time.Time) { keeper.sweep(ctx) }, done)
}

func (keeper *Keeper) sweep(ctx context.Context) {
	keeper.expireLoans()
	for _, p := range keeper.resting() {
		if err := keeper.GiveBack(ctx, p.id); err != nil {
			keeper.log.Info("budget not given back yet", "program", p.id, "err", err)
			return
		}
		keeper.forget(p)
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
	return p.tab.Idle() && keeper.clock.Now().Sub(p.last) >= restTime
}

// forget drops a program that is still at rest.
func (keeper *Keeper) forget(p *program) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if p.turns == 0 && keeper.atRest(p) && keeper.programs[p.id] == p {
		delete(keeper.programs, p.id)
	}
}

// Stop gives back what all programs were granted here and do not use, until
// ctx ends: a stopping instance must not keep what others could hand out.
// Many rows go into one transaction each, since an instance knows some
// hundred programs and has half a second.
func (keeper *Keeper) Stop(ctx context.Context) {
	keeper.loans.stop()
	keeper.mu.Lock()
	all := slices.Collect(maps.Values(keeper.programs))
	keeper.mu.Unlock()
	var batches sync.WaitGroup
	for batch := range slices.Chunk(all, stopBatch) {
		batches.Go(func() { keeper.giveBackAll(ctx, batch) })
	}
	batches.Wait()
}

// giveBackAll gives back what is granted to programs, in one transaction if
// none of their rows was written by others meanwhile, else one by one.
func (keeper *Keeper) giveBackAll(ctx context.Context, programs []*program) {
	var tx store.Transaction
	var ledgers []*budget.Ledger
	var granted []*program
	for _, p := range programs {
		if err := p.lockRow(ctx); err != nil {
			keeper.log.Info("budget not given back at the stop", "program", p.id, "err", err)
			continue
		}
		defer p.unlockRow()
		ledger := p.release()
		if ledger == nil {
			continue
		}
		value, err := ledger.Encode()
		if err != nil {
			keeper.log.Error("budget cannot be encoded", "program", p.id, "err", err)
			continue
		}
		k := key(p.id)
		tx.Conditions = append(tx.Conditions, store.Condition{Key: k, Version: p.version()})
		tx.Puts = append(tx.Puts, store.Put{Key: k, Value: value})
		ledgers, granted = append(ledgers, ledger), append(granted, p)
	}
	if len(granted) == 0 {
		return
	}
	version, err := keeper.store.Commit(ctx, tx)
	for i, p := range granted {
		if err == nil {
			p.written(ledgers[i], version)
			keeper.released.Inc(1)
		} else if oneErr := keeper.giveBack(ctx, p); oneErr != nil {
			keeper.log.Info("budget not given back at the stop", "program", p.id, "err", oneErr)
		}
	}
}
