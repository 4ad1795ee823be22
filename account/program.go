package account

import (
	"context"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// program is one program's budget here. Whoever reads or writes its row holds
// the token in row; mu is held only while usage is looked at, so that a turn that
// ends never waits for the store.
type program struct {
	id    string
	total int64 // the budget
	row   chan struct{}
	turns int // guarded by Keeper.mu

	mu    sync.Mutex
	usage *budget.Usage
	// implied is the version of its shard's escrow that the usage was told of,
	// while the program has no row.
	implied uint64
	// escrowRead is when its shard's escrow was last read for the program.
	escrowRead time.Time
	last       time.Time
	// spent is when the budget was last found spent, for a turn of spentFor
	// tokens.
	spent    time.Time
	spentFor int64
	places   places
}

// newProgram returns a program whose budget is total. Most programs begin
// here: the usage starts without a row, with the account that the escrow of its
// shard implies, and a first row is written on the condition that there is none
// and that its shard has the same escrow as then.
func newProgram(id, account string, total int64, implied *budget.Ledger, version uint64) *program {
	return &program{id: id, total: total, row: make(chan struct{}, 1), usage: budget.NewUsage(account, implied, 0), implied: version}
}

// touch notes a turn: until one that was borrowed ends, nothing else tells that
// the program is not at rest.
func (p *program) touch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = now
}

// lockRow waits until no other turn reads or writes the program's row.
func (p *program) lockRow(ctx context.Context) error {
	select {
	case p.row <- struct{}{}:
		return nil
	case <-ctx.Done():
		return store.NewError(store.FailureUnreachable, "budget", "gave up waiting for another turn's write")
	}
}

func (p *program) unlockRow() { <-p.row }

// begin promises the turn if the usage grants it already. For DecisionGrant it
// returns the row that would.
func (p *program) begin(turn budget.Turn, total int64) (budget.Decision, *budget.Ledger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decision, ledger := p.usage.Decide(turn, total)
	if decision == budget.DecisionServe {
		p.usage.Begin(turn)
	}
	return decision, ledger
}

// decide returns what may happen to a turn, and for DecisionGrant the row that
// would grant it.
func (p *program) decide(turn budget.Turn, total int64) (budget.Decision, *budget.Ledger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Decide(turn, total)
}

// conditions returns those under which the program's row may be written: it
// is the one known here, and if there is none, escrow is not nil: the account
// that it begins with is the one that its shard's escrow implies.
func (p *program) conditions() (row store.Condition, escrow *store.Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := key(p.id)
	row = store.Condition{Key: k, Version: p.usage.Version()}
	if row.Version == 0 {
		escrow = &store.Condition{Key: shardKeys[budget.Shard(p.id)], Version: p.implied}
	}
	return row, escrow
}

// imply takes in the ledger that the escrow of its shard implies at a version, if
// the program has no row.
func (p *program) imply(ledger *budget.Ledger, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage.Version() == 0 {
		p.usage.Written(ledger, 0)
		p.implied = version
	}
}

// unusedEscrows returns the accounts that are disowned once their escrow is found
// released, and the row's version; none if that was looked for just now.
func (p *program) unusedEscrows(now time.Time) ([]string, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.usage.Version()
	if version == 0 || now.Sub(p.escrowRead) < escrowLook {
		return nil, version
	}
	p.escrowRead = now
	return p.usage.UnusedEscrows(), version
}

// disown leaves out the account of an escrow that handed out nothing, if the row
// is at the version at which that was found.
func (p *program) disown(name string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usage.Version() == version {
		p.usage.Disown(name)
	}
}

// besideEscrow reports whether a program's first turn here waits for what only
// the instance of an escrow holds, which may be gone for good. It then begins
// with a part: after a loss of power of all instances, programs of one turn that
// may generate more than is left would all be refused, and one in ten of them
// breaks off so. Later turns wait: a stream that breaks off costs the caller
// more than a refusal.
func (p *program) besideEscrow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Alone() && p.usage.Used() == 0
}

// escrowed reports whether turns may begin with a part by this instance's
// escrow.
func (p *program) escrowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Escrowed()
}

// heldByOthers reports whether other accounts may have something to give back.
func (p *program) heldByOthers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.usage.Holders()) > 0
}

// holders describes what all accounts hold, for logs.
func (p *program) holders() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.String()
}

func (p *program) used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Used()
}

func (p *program) written(ledger *budget.Ledger, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.Written(ledger, version)
}

// unanswered notes that a row was sent and not answered.
func (p *program) unanswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.Unanswered()
}

// release returns the row that gives back what is not used; last if the
// instance stops.
func (p *program) release(last bool) *budget.Ledger {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Release(last)
}

// noteSpent notes that the budget does not hold a turn.
func (p *program) noteSpent(now time.Time, turn int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent, p.spentFor = now, turn
}
