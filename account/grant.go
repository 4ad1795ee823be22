package account

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// spentCacheTTL is how long a program whose budget was found spent is
	// refused without another check. A program that loops sends many turns a
	// second, and unused tokens of an ended turn may count as spent for a
	// second. Both the home and the instance that made the request cache the
	// result.
	spentCacheTTL = 400 * time.Millisecond
	// maxConflicts is the number of write conflicts on a row after which a
	// turn is rejected. Each conflict means that another instance served a
	// turn of the program at the same moment.
	maxConflicts = 8
	// minShardReadInterval is the minimum time between two reads of the
	// shard's row for one refused program. An instance takes three seconds or
	// more to stop, and a crashed one releases nothing.
	minShardReadInterval = time.Second
	// rowWriteTimeout bounds the write of a row for which the turn no longer
	// waits. A busy partition responds or rejects the write within 1.25
	// seconds.
	rowWriteTimeout = 1500 * time.Millisecond
	// releaseRequestTimeout bounds a request to another instance to release
	// tokens: a store write there and the round trip.
	releaseRequestTimeout = 300 * time.Millisecond
)

// grant writes the program's row, if necessary, until it grants the turn, and
// begins the turn. It returns the turn as granted, which may be partial. If
// the row cannot grant the turn, grant requests other instances to release
// unused tokens and tries again. It does not hold the row lock during these
// requests: two instances that request a release from each other would
// otherwise each wait for the other's lock.
func (manager *Manager) grant(ctx context.Context, p *program, turn budget.Turn, total int64) (budget.Turn, error) {
	manager.recordAtWitness(ctx, p, turn)
	if !p.canGrant(turn, total) {
		manager.settleTerminatedLoans(p)
		manager.settleExpiredLoans()
	}
	decision, err := manager.tryGrant(ctx, p, turn, total)
	if err != nil || decision == budget.DecisionServe {
		return turn, err
	}
	if decision == budget.DecisionSpent && !p.heldByOthers() {
		return turn, manager.rejection(p, decision, turn, total)
	}
	removed, err := manager.removeReleasedEscrows(ctx, p)
	if err != nil {
		return turn, err
	}
	unanswered := manager.requestRelease(ctx, p)
	takenOver, err := manager.requestTakeover(ctx, p, unanswered)
	if err != nil {
		return turn, err
	}
	removed = removed || takenOver
	manager.recordUnresponsive(p, unanswered)
	terminated := manager.allHoldersTerminated(p)
	partial := decision == budget.DecisionWait && !turn.Rest && p.mayBeginPartially()
	if partial {
		turn = budget.InitialPart(turn.Most)
	}
	if partial || removed || !terminated || p.canGrant(turn, total) {
		decision, err = manager.tryGrant(ctx, p, turn, total)
		if err != nil || decision == budget.DecisionServe {
			return turn, err
		}
	}
	switch {
	case terminated || !turn.Rest && !p.fits(turn, total):
		// If such turns are told to wait for lost tokens, a program that loops
		// retries about 80 times, with a read or two each, until its deadline:
		// 38 programs sent 3,100 such turns in 20 s after a power loss.
		decision = budget.DecisionSpent
	case len(unanswered) > 0:
		// A caller takes a spent budget as the program's end, so that is said only
		// if it is certain.
		decision = budget.DecisionWait
	}
	return turn, manager.rejection(p, decision, turn, total)
}

// removeReleasedEscrows removes accounts whose escrows were released since
// they were implied, and reports whether there were any. An owner writes the
// rows of all programs that its escrow granted tokens before it releases the
// escrow, so an account that is unused in the row granted nothing.
func (manager *Manager) removeReleasedEscrows(ctx context.Context, p *program) (bool, error) {
	unused, version := p.unusedEscrows(manager.clock.Now())
	if len(unused) == 0 {
		return false, nil
	}
	index := budget.Shard(p.id)
	if err := manager.readShard(ctx, index); err != nil {
		return false, err
	}
	escrow, _ := manager.escrows.get(index)
	removed := false
	for _, account := range unused {
		if account != escrow.Account {
			p.removeEscrow(account, version)
			removed = true
		}
	}
	return removed, nil
}

// writeGrant writes the row that grants a turn, unless the account grants it
// already, and waits for the write for at most rowWaitTimeout. A pending write
// continues after that, so that the row usually grants the remainder by the
// time a turn that began with a partial grant needs it. It returns the store's
// *store.Error.
func (manager *Manager) writeGrant(ctx context.Context, p *program, turn budget.Turn, total int64) error {
	waitCtx, cancel := context.WithTimeout(ctx, rowWaitTimeout)
	defer cancel()
	if err := p.lockRow(waitCtx); err != nil {
		return err
	}
	decision, ledger := p.decide(turn, total)
	if decision != budget.DecisionGrant {
		p.unlockRow()
		return nil
	}
	written := make(chan error, 1) // not received if the turn begins before the write completes
	go func() {
		defer p.unlockRow()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rowWriteTimeout)
		defer cancel()
		err := manager.writeRow(ctx, p, ledger)
		if err == nil {
			manager.granted.Inc(1)
		}
		written <- err
	}()
	select {
	case err := <-written:
		return err
	case <-waitCtx.Done():
		return store.NewError(store.FailureUnanswered, "budget", "the write of the budget row is still pending")
	}
}

// allHoldersTerminated reports whether other incarnations hold tokens of p's
// budget and all of these have terminated for good, so that no tokens will be
// released.
func (manager *Manager) allHoldersTerminated(p *program) bool {
	p.mu.Lock()
	accounts := p.usage.Holders()
	p.mu.Unlock()
	for _, account := range accounts {
		if !manager.holders.OwnerTerminated(account) {
			return false
		}
	}
	return len(accounts) > 0
}

// tryGrant begins the turn and returns DecisionServe if the row grants the
// turn or can be changed to. Otherwise it returns the decision that follows
// from the row as just read.
func (manager *Manager) tryGrant(ctx context.Context, p *program, turn budget.Turn, total int64) (budget.Decision, error) {
	if err := p.lockRow(ctx); err != nil {
		return 0, err
	}
	defer p.unlockRow()
	if !turn.Rest && manager.foundSpentRecently(p, turn.Most) {
		// The budget was found spent while this turn waited for the row lock.
		// A program that loops sends many turns at once. If each of them read
		// the row, the last one would wait longer than the borrow timeout, and
		// the borrowing instances would grant by rows of their own what a turn
		// in flight still needs.
		return budget.DecisionSpent, nil
	}
	rowRead := false
	for range maxConflicts {
		switch decision, ledger := p.begin(turn, total); decision {
		case budget.DecisionServe:
			return decision, nil
		case budget.DecisionGrant:
			err := manager.writeRow(ctx, p, ledger)
			if err == nil {
				manager.granted.Inc(1)
				turn.Taken = true
				continue
			}
			if store.Unserved(err) && turn.Rest && !turn.Taken {
				turn.Taken = true // the account may grant the part without a row
				continue
			}
			if !store.Is(err, store.FailureConflict) {
				manager.failed.Inc(1)
				return 0, err
			}
			rowRead = true
		default:
			if rowRead {
				if decision == budget.DecisionSpent && !turn.Rest && !p.heldByOthers() {
					// Turns that wait for the row lock must find the result.
					p.recordSpent(manager.clock.Now(), turn.Most)
				}
				return decision, nil
			}
			// The recorded accounts of other instances may be out of date.
			if err := manager.readRow(ctx, p); err != nil {
				return 0, err
			}
			rowRead = true
		}
	}
	return budget.DecisionWait, nil
}

// requestRelease requests the other instances that hold tokens of p's budget
// to release those that they do not use. It returns the accounts of instances that have
// terminated or did not respond. It requests nothing if all have terminated.
func (manager *Manager) requestRelease(ctx context.Context, p *program) (unanswered []string) {
	p.mu.Lock()
	accounts := p.usage.Holders()
	p.mu.Unlock()
	if len(accounts) == 0 || manager.allHoldersTerminated(p) {
		return accounts
	}
	ctx, cancel := context.WithTimeout(ctx, releaseRequestTimeout)
	defer cancel()
	return manager.holders.ReleaseUnused(ctx, p.id, accounts)
}

// RecentlySpent reports whether Reserve would return a *SpentError without a
// check: the program's budget was found spent within spentCacheTTL for a turn
// of at most this size, and the local account does not grant the turn either.
// A turn for which it returns true is counted as refused.
func (manager *Manager) RecentlySpent(id string, turn, total int64) bool {
	manager.mu.Lock()
	p := manager.programs[id]
	manager.mu.Unlock()
	if p == nil || !manager.foundSpentRecently(p, turn) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if decision, _ := p.usage.Decide(budget.FullTurn(turn), total); decision == budget.DecisionServe {
		return false
	}
	manager.spent.Inc(1)
	return true
}

// foundSpentRecently reports whether the budget was found spent within
// spentCacheTTL for a turn of at most this size.
func (manager *Manager) foundSpentRecently(p *program, turn int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return turn >= p.spentTokens && manager.clock.Now().Sub(p.spentAt) < spentCacheTTL
}

// rejection returns the error for a turn that is not granted, and counts it.
func (manager *Manager) rejection(p *program, decision budget.Decision, turn budget.Turn, total int64) error {
	if decision == budget.DecisionSpent {
		manager.countSpent(p, turn)
		return &SpentError{program: p.id, total: total, holders: p.holders()}
	}
	manager.held.Inc(1)
	return &HeldError{program: p.id, holders: p.holders()}
}

// countSpent counts a turn that the budget is too small for and records it for
// spentCacheTTL. The remainder of a turn is not recorded, since its refusal
// does not imply that of the next turn.
func (manager *Manager) countSpent(p *program, turn budget.Turn) {
	manager.spent.Inc(1)
	if !turn.Rest {
		p.recordSpent(manager.clock.Now(), turn.Most)
	}
}
