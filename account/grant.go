package account

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// spentTime is how long a program whose budget was found spent is told
	// so without another look: one that loops without end asks many times a
	// second, and what a turn leaves over when it ends may count as spent
	// for a second. Its home remembers, and so does who asked the home.
	spentTime = 400 * time.Millisecond
	// conflicts in a row, after which a turn is turned away: each means that
	// another instance served a turn of the program at the same moment.
	maxConflicts = 8
	// escrowLook is the least time between two reads of its shard's row for a
	// program that is refused. An instance that stops takes three seconds and
	// more, and one that died releases nothing.
	escrowLook = time.Second
	// prepareTimeout bounds writing a row that a turn no longer waits for. A
	// partition that is busy answers within a second and a quarter, or refuses.
	prepareTimeout = 1500 * time.Millisecond
	// askTimeout bounds asking another instance to give back: a write there
	// and the way.
	askTimeout = 300 * time.Millisecond
)

// grant returns once the row grants the turn and the turn is begun, and what
// was promised to it. If the row does not, other instances are asked to give
// back first. That is done without holding the row: two instances that ask each
// other must not wait for each other's.
func (keeper *Keeper) grant(ctx context.Context, p *program, turn budget.Turn, total int64) (budget.Turn, error) {
	decision, err := keeper.tryGrant(ctx, p, turn, total)
	if err != nil || decision == budget.DecisionServe {
		return turn, err
	}
	if decision == budget.DecisionSpent && !p.heldByOthers() {
		return turn, keeper.refuse(p, decision, turn, total)
	}
	disowned, err := keeper.disownReleased(ctx, p)
	if err != nil {
		return turn, err
	}
	gone := keeper.holdersGone(p)
	if !gone {
		keeper.ask(ctx, p)
	}
	partly := decision == budget.DecisionWait && !turn.Rest && p.besideEscrow()
	if partly {
		turn = budget.FirstPart(turn.Most)
	}
	if partly || disowned || !gone {
		decision, err = keeper.tryGrant(ctx, p, turn, total)
		if err != nil || decision == budget.DecisionServe {
			return turn, err
		}
	}
	if gone || !turn.Rest && keeper.isLost(p, turn, total) {
		// Told to wait for what is lost, a program that loops came back some 80
		// times, with a read or two each, until its time was over; 38 programs
		// sent 3,100 such turns in 20 s after a loss of power.
		decision = budget.DecisionSpent
	}
	return turn, keeper.refuse(p, decision, turn, total)
}

// disownReleased leaves out accounts that escrows implied which were released
// since, and reports whether there were any. Their owners wrote what they handed out
// before, so that one of which the row tells nothing handed out nothing.
func (keeper *Keeper) disownReleased(ctx context.Context, p *program) (bool, error) {
	unused, version := p.unusedEscrows(keeper.clock.Now())
	if len(unused) == 0 {
		return false, nil
	}
	at := budget.Shard(p.id)
	if err := keeper.readShard(ctx, at); err != nil {
		return false, err
	}
	escrow, _ := keeper.escrows.known(at)
	disowned := false
	for _, account := range unused {
		if account != escrow.Account {
			p.disown(account, version)
			disowned = true
		}
	}
	return disowned, nil
}

// prepare has the row written that grants a turn, if the account does not yet, and
// waits for that for rowTimeout. A write under way goes on after that: by the time
// that a turn which began with a part needs its rest, the row mostly grants it. It
// returns the store's *store.Error.
func (keeper *Keeper) prepare(ctx context.Context, p *program, turn budget.Turn, total int64) error {
	limited, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	if err := p.lockRow(limited); err != nil {
		return err
	}
	decision, ledger := p.decide(turn, total)
	if decision != budget.DecisionGrant {
		p.unlockRow()
		return nil
	}
	written := make(chan error, 1) // not read if the turn begins before the write ends
	go func() {
		defer p.unlockRow()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), prepareTimeout)
		defer cancel()
		err := keeper.write(ctx, p, ledger)
		if err == nil {
			keeper.granted.Inc(1)
		}
		written <- err
	}()
	select {
	case err := <-written:
		return err
	case <-limited.Done():
		return store.NewError(store.FailureUnanswered, "budget", "the row is still being written")
	}
}

// isLost reports whether p's budget does not hold the turn since starts that
// ended for good hold some of it: nobody gives that back.
func (keeper *Keeper) isLost(p *program, turn budget.Turn, total int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.usage.Fits(turn, total, keeper.holders.Gone)
}

// holdersGone reports whether all others that hold something of p's budget
// have ended for good, so that nothing comes back.
func (keeper *Keeper) holdersGone(p *program) bool {
	p.mu.Lock()
	accounts := p.usage.Holders()
	p.mu.Unlock()
	for _, account := range accounts {
		if !keeper.holders.Gone(account) {
			return false
		}
	}
	return len(accounts) > 0
}

// tryGrant begins the turn if the row grants it, or can be made to, and
// returns DecisionServe; else it returns what the row as read now allows.
func (keeper *Keeper) tryGrant(ctx context.Context, p *program, turn budget.Turn, total int64) (budget.Decision, error) {
	if err := p.lockRow(ctx); err != nil {
		return 0, err
	}
	defer p.unlockRow()
	if !turn.Rest && keeper.knownSpent(p, turn.Most) {
		// Found while this turn waited. A program that loops sends many turns
		// at once: if each read the row, the last would wait longer than
		// borrowers do, and these would grant by rows of their own what a turn
		// in flight still needs.
		return budget.DecisionSpent, nil
	}
	fresh := false
	for range maxConflicts {
		switch decision, ledger := p.begin(turn, total); decision {
		case budget.DecisionServe:
			return decision, nil
		case budget.DecisionGrant:
			err := keeper.write(ctx, p, ledger)
			if err == nil {
				keeper.granted.Inc(1)
				turn.Taken = true
				continue
			}
			if store.Unserved(err) && turn.Rest && !turn.Taken {
				turn.Taken = true // the account may hold it without a row
				continue
			}
			if !store.Is(err, store.FailureConflict) {
				keeper.failed.Inc(1)
				return 0, err
			}
			fresh = true
		default:
			if fresh {
				if decision == budget.DecisionSpent && !turn.Rest && !p.heldByOthers() {
					// Turns that wait for the row are to find it noted.
					p.noteSpent(keeper.clock.Now(), turn.Most)
				}
				return decision, nil
			}
			// What is known of the others may be old.
			if err := keeper.read(ctx, p); err != nil {
				return 0, err
			}
			fresh = true
		}
	}
	return budget.DecisionWait, nil
}

// ask has other instances give back what they do not use of p's budget.
func (keeper *Keeper) ask(ctx context.Context, p *program) {
	p.mu.Lock()
	accounts := p.usage.Holders()
	p.mu.Unlock()
	if len(accounts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	keeper.holders.GiveBack(ctx, p.id, accounts)
}

// KnownSpent reports whether the program's budget was found spent just now
// for a turn no larger than this, which the account does not hold by now
// either: Reserve would return a *SpentError.
func (keeper *Keeper) KnownSpent(id string, turn, total int64) bool {
	keeper.mu.Lock()
	p := keeper.programs[id]
	keeper.mu.Unlock()
	if p == nil || !keeper.knownSpent(p, turn) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if decision, _ := p.usage.Decide(budget.Whole(turn), total); decision == budget.DecisionServe {
		return false
	}
	keeper.spent.Inc(1)
	return true
}

// knownSpent reports whether the budget was found spent just now for a turn
// no larger than this.
func (keeper *Keeper) knownSpent(p *program, turn int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return turn >= p.spentFor && keeper.clock.Now().Sub(p.spent) < spentTime
}

func (keeper *Keeper) refuse(p *program, decision budget.Decision, turn budget.Turn, total int64) error {
	if decision == budget.DecisionSpent {
		keeper.foundSpent(p, turn)
		return &SpentError{program: p.id, used: p.used(), total: total}
	}
	keeper.held.Inc(1)
	return &HeldError{program: p.id, holders: p.holders()}
}

// foundSpent notes that the budget does not hold a turn. The rest of one says
// nothing of the next.
func (keeper *Keeper) foundSpent(p *program, turn budget.Turn) {
	keeper.spent.Inc(1)
	if !turn.Rest {
		p.noteSpent(keeper.clock.Now(), turn.Most)
	}
}
