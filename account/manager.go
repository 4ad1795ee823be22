package account

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// rowWaitTimeout bounds the wait for a program's row before the turn begins
// with a partial grant. The store responds in 4 ms, and in about 20 ms when
// many instances write at once. Without the timeout, turns waited up to a
// second before they began during a store outage.
const rowWaitTimeout = 150 * time.Millisecond

// Owners reaches the instances that own accounts of programs.
type Owners interface {
	// ReleaseUnused requests the owners of the named accounts of a program to
	// release the tokens they do not use. It returns once each has done so or
	// cannot be reached, with the accounts whose owners did not respond.
	ReleaseUnused(ctx context.Context, program string, accounts []string) (unanswered []string)
	// OwnerTerminated reports whether the incarnation that owns an account is known to
	// have terminated for good.
	OwnerTerminated(account string) bool
}

// Manager manages the budgets of the programs whose turns come through this
// instance. It is safe for concurrent use.
type Manager struct {
	store store.Store
	// owner is the unique name of this incarnation and the prefix of the names
	// of its accounts.
	owner   string
	holders Owners
	// unresponsive holds which owners of accounts did not respond lately.
	unresponsive unresponsiveOwners
	lenders      Lenders
	loans        *loans
	escrows      escrows
	// witnesses is nil if escrows have no witnesses. health holds which of them did not
	// answer lately.
	witnesses Witnesses
	health    witnessHealth
	// witnessed holds the grants of which this instance is the witness. takingOver holds
	// an element while it releases an escrow of another instance.
	witnessed  witnessRecords
	takingOver chan struct{}
	clock      clock.Clock
	log        *slog.Logger

	granted, spent, held, released, failed, borrowed, lent tally.Counter
	recorded, recordFailures, takenOver, refusedPrograms   tally.Counter

	mu       sync.Mutex
	programs map[string]*program // by ID
	// maxPrograms is the maximum length of programs, 0 for no limit.
	maxPrograms int
	accounts    uint64 // number of the last account named
}

// NewManager returns a Manager over s. The owner must be unique among all
// incarnations of all instances; accounts are named OWNER.NUMBER.
func NewManager(s store.Store, owner string, holders Owners, lenders Lenders, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Manager {
	return &Manager{store: s, owner: owner, holders: holders, lenders: lenders, loans: newLoans(), clock: clk, log: log, programs: map[string]*program{},
		borrowed: scope.Counter("budget_borrowed"), lent: scope.Counter("budget_lent"),
		takingOver: make(chan struct{}, 1), recorded: scope.Counter("escrow_records"), recordFailures: scope.Counter("escrow_record_failures"), takenOver: scope.Counter("escrow_takeovers"),
		granted: scope.Counter("budget_grants"), spent: scope.Counter("budget_spent"), held: scope.Counter("budget_held"),
		refusedPrograms: scope.Counter("budget_programs_refused"),
		released:        scope.Counter("budget_releases"), failed: scope.Counter("budget_write_failures")}
}

// LimitPrograms bounds the programs that have state in memory. It is called before the Manager is
// used.
func (manager *Manager) LimitPrograms(programs int) { manager.maxPrograms = programs }

// Reserve reserves up to turn tokens of the program's budget of total tokens
// for a turn. The grant is partial if no row can be written and only the
// escrow of the program's home can grant tokens; Extend then requests the
// remainder. segments names the segments of the turn's prompt whose cache
// locations are requested. Reserve returns a *SpentError if the budget is too
// small for the turn, a *HeldError if other instances may still release enough
// of it, a *TooManyProgramsError, or the store's *store.Error. After an error nothing is
// reserved.
func (manager *Manager) Reserve(ctx context.Context, id string, turn, total int64, segments ...string) (*Reservation, error) {
	p, err := manager.program(id, total)
	if err != nil {
		return nil, err
	}
	defer manager.unpin(p)
	fullTurn := budget.FullTurn(turn)
	if reservation := manager.reserveGranted(ctx, p, fullTurn, total, segments); reservation != nil {
		return reservation, nil
	}
	if manager.foundSpentRecently(p, turn) {
		manager.spent.Inc(1)
		return nil, &SpentError{program: id, total: total, holders: p.holders()}
	}
	borrowing := Borrowing{Turn: fullTurn, Total: total, Parts: segments}
	if reservation, err := manager.borrow(ctx, p, borrowing); reservation != nil || err != nil {
		return reservation, err
	}
	return manager.reserveLocally(ctx, p, fullTurn, total, segments)
}

// reserveGranted reserves the turn if the local account already grants it,
// without a write. It returns nil otherwise.
func (manager *Manager) reserveGranted(ctx context.Context, p *program, turn budget.Turn, total int64, segments []string) *Reservation {
	manager.recordAtWitness(ctx, p, turn)
	if decision, _ := p.begin(turn, total); decision != budget.DecisionServe {
		return nil
	}
	return manager.reservation(p, turn, total, segments)
}

// reservation returns the Reservation of a turn that has begun on the local
// account.
func (manager *Manager) reservation(p *program, turn budget.Turn, total int64, segments []string) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Reservation{manager: manager, program: p, turn: turn, total: total, Version: p.usage.Version(), locations: p.locations.forSegments(segments)}
}

// reserveLocally reserves the turn on the local account, without a loan.
func (manager *Manager) reserveLocally(ctx context.Context, p *program, turn budget.Turn, total int64, segments []string) (*Reservation, error) {
	if reservation := manager.reserveGranted(ctx, p, turn, total, segments); reservation != nil {
		return reservation, nil
	}
	if !turn.Rest && manager.foundSpentRecently(p, turn.Most) {
		manager.spent.Inc(1)
		return nil, &SpentError{program: p.id, total: total, holders: p.holders()}
	}
	if !turn.Rest && p.hasEscrow() {
		return manager.reserveFromEscrow(ctx, p, turn, total, segments)
	}
	granted, err := manager.grant(ctx, p, turn, total)
	if err != nil {
		return nil, err
	}
	return manager.reservation(p, granted, total, segments), nil
}

// reserveFromEscrow reserves a turn that exceeds what the local escrow grants:
// by a row or, while no row can be written, by a partial grant of the escrow.
// A turn is granted in full as long as the store responds. With a partial
// grant, an instance that cannot reach this one could grant the remainder to
// another turn by a row, and a stream would break off in the middle.
func (manager *Manager) reserveFromEscrow(ctx context.Context, p *program, turn budget.Turn, total int64, segments []string) (*Reservation, error) {
	if err := manager.writeGrant(ctx, p, turn, total); store.Unserved(err) {
		if reservation := manager.reserveGranted(ctx, p, budget.InitialPart(turn.Most), total, segments); reservation != nil {
			return reservation, nil
		}
	}
	granted, err := manager.grant(ctx, p, turn, total)
	if err != nil {
		return nil, err
	}
	return manager.reservation(p, granted, total, segments), nil
}

// program returns the state of a program, which it creates if there is none,
// and pins it until unpin.
func (manager *Manager) program(id string, total int64) (*program, error) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	p, ok := manager.programs[id]
	if !ok && manager.maxPrograms > 0 && len(manager.programs) >= manager.maxPrograms {
		manager.refusedPrograms.Inc(1)
		return nil, &TooManyProgramsError{}
	}
	if !ok {
		account, hasWitness, escrowed := manager.escrows.account(id)
		if !escrowed {
			// An account belongs to a single budget.Usage: one that is created
			// later does not know what an earlier one granted.
			manager.accounts++
			account = accountName(manager.owner, manager.accounts)
		}
		implied, version := manager.implied(id, account, total)
		p = newProgram(id, account, total, implied, version)
		if hasWitness {
			p.usage.RequireWitness()
		}
		manager.programs[id] = p
	}
	p.pins++
	p.touch(manager.clock.Now())
	return p, nil
}

// unpin ends one use of a program's state, so that Sweep may evict it.
func (manager *Manager) unpin(p *program) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	p.pins--
}

// HasBegun reports whether this instance granted tokens to a turn of the program.
func (manager *Manager) HasBegun(id string) bool {
	manager.mu.Lock()
	p := manager.programs[id]
	manager.mu.Unlock()
	return p != nil && p.used() > 0
}

// Len returns the number of programs with state in memory.
func (manager *Manager) Len() int {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return len(manager.programs)
}
