package account

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// program is the state of one program's budget at this instance. rowLock is
// held while the program's row is read or written. mu is held only while the
// fields below it are accessed, so that a turn that ends never waits for the
// store.
type program struct {
	id      string
	total   int64 // the budget in tokens
	rowLock chan struct{}
	pins    int // calls in progress that use the program; guarded by Manager.mu

	mu    sync.Mutex
	usage *budget.Usage
	// implied is the version of the shard's escrow on which usage is based
	// while the program has no row.
	implied uint64
	// shardReadAt is when the shard's escrow was last read for the program.
	shardReadAt time.Time
	lastUsed    time.Time
	// spentAt is when the budget was last found spent, and spentTokens the
	// size of the turn that it was too small for.
	spentAt     time.Time
	spentTokens int64
	locations   locations
}

// newProgram returns the state of a program whose budget is total. Most
// programs begin at their home, so usage starts without a row, with the
// account that the escrow of the program's shard implies. The first row is
// written on the condition that none exists and that the shard's escrow is
// still at version.
func newProgram(id, account string, total int64, implied *budget.Ledger, version uint64) *program {
	return &program{id: id, total: total, rowLock: make(chan struct{}, 1), usage: budget.NewUsage(account, implied, 0), implied: version}
}

// touch records the time of a turn. Until a turn on a loan ends, nothing else
// in the state marks the program as in use.
func (p *program) touch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
}

// lockRow acquires rowLock. It returns a *store.Error if ctx ends first.
func (p *program) lockRow(ctx context.Context) error {
	select {
	case p.rowLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return store.NewError(store.FailureUnreachable, "budget", "timed out waiting for another turn's read or write of the row")
	}
}

// unlockRow releases rowLock.
func (p *program) unlockRow() { <-p.rowLock }

// begin begins the turn if the usage already grants it. For DecisionGrant it
// returns the row that would grant the turn.
func (p *program) begin(turn budget.Turn, total int64) (budget.Decision, *budget.Ledger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decision, ledger := p.usage.Decide(turn, total)
	if decision == budget.DecisionServe {
		p.usage.Begin(turn)
	}
	return decision, ledger
}

// decide returns the decision on a turn without beginning it and, for
// DecisionGrant, the row that would grant the turn.
func (p *program) decide(turn budget.Turn, total int64) (budget.Decision, *budget.Ledger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Decide(turn, total)
}

// conditions returns the conditions for a write of the program's row: row
// requires that the row is at the recorded version. escrow, nil unless there
// is no row yet, requires that the escrow of the shard, which implies the
// program's account, is unchanged.
func (p *program) conditions() (row store.Condition, escrow *store.Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := rowKey(p.id)
	row = store.Condition{Key: k, Version: p.usage.Version()}
	if row.Version == 0 {
		escrow = &store.Condition{Key: shardKeys[budget.Shard(p.id)], Version: p.implied}
	}
	return row, escrow
}

// adoptImplied records the ledger that the escrow of the program's shard
// implies at version, unless the program has a row.
func (p *program) adoptImplied(ledger *budget.Ledger, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage.Version() == 0 {
		p.usage.SetRow(ledger, 0)
		p.implied = version
	}
}

// unusedEscrows returns the accounts that can be removed once their escrow is
// found released, and the row's version. It returns no accounts if it did so
// within minShardReadInterval.
func (p *program) unusedEscrows(now time.Time) ([]string, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.usage.Version()
	if version == 0 || now.Sub(p.shardReadAt) < minShardReadInterval {
		return nil, version
	}
	p.shardReadAt = now
	return p.usage.UnusedEscrows(), version
}

// unusedAccounts returns the accounts of other escrows that the row counts as granted and
// unused, and the row's version.
func (p *program) unusedAccounts() ([]string, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.UnusedEscrows(), p.usage.Version()
}

// removeEscrow removes the account of an escrow that granted nothing, if the
// row is still at the version at which that was found.
func (p *program) removeEscrow(name string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage.Version() == version {
		p.usage.RemoveUnused(name)
	}
}

// mayBeginPartially reports whether the program's first turn here may begin
// with a partial grant: the only other account, if any, is that of another
// incarnation's escrow, which may have crashed. After a power loss of all
// instances, every program with a single turn that may generate more than the
// remaining tokens would otherwise be refused; with partial grants one in ten
// of these streams breaks off. Later turns wait, since a broken stream costs
// the caller more than a refusal.
func (p *program) mayBeginPartially() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.OthersEscrowed() && p.usage.Used() == 0
}

// hasEscrow reports whether turns may begin with a partial grant: the
// program's account is that of this instance's escrow, and no other account is
// recorded.
func (p *program) hasEscrow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Escrowed()
}

// canGrant reports whether the account grants the turn, or can by a row.
func (p *program) canGrant(turn budget.Turn, total int64) bool {
	decision, _ := p.decide(turn, total)
	return decision == budget.DecisionServe || decision == budget.DecisionGrant
}

// fits reports whether the budget may cover the turn once the owners of other accounts
// have released what they can.
func (p *program) fits(turn budget.Turn, total int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Fits(turn, total)
}

// heldByOthers reports whether other accounts are granted tokens that they may
// release.
func (p *program) heldByOthers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.usage.Holders()) > 0
}

// holders describes the tokens of all accounts, for logs and errors.
func (p *program) holders() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.String()
}

// used returns the tokens that turns here spent or are granted.
func (p *program) used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Used()
}

// adoptWritten records that the program's row is ledger at version.
func (p *program) adoptWritten(ledger *budget.Ledger, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.SetRow(ledger, version)
}

// markUnanswered records that the store did not respond to the write of a row.
func (p *program) markUnanswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.WriteUnconfirmed()
}

// releaseUnused returns the row that releases the unused tokens, or nil if
// there are none. stopping is set when the instance stops.
func (p *program) releaseUnused(stopping bool) *budget.Ledger {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Release(stopping)
}

// releaseRejected records that the row of releaseUnused was not stored and will not be.
func (p *program) releaseRejected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.ReleaseRejected()
}

// recordSpent records that the budget is too small for a turn.
func (p *program) recordSpent(now time.Time, turn int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spentAt, p.spentTokens = now, turn
}
