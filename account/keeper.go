package account

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// rowTimeout bounds waiting for a program's row before its turn begins with a
// part: the store answers in 4 ms, and in some 20 when many write at once.
// Without it turns of an outage waited up to a second before they began.
const rowTimeout = 150 * time.Millisecond

// Holders are the instances that own accounts of programs.
type Holders interface {
	// GiveBack asks those that own the named accounts of a program to give
	// back what they do not use, and returns once they did or cannot be asked.
	GiveBack(ctx context.Context, program string, accounts []string)
	// Gone reports whether the start that owns an account is known to have
	// ended for good.
	Gone(account string) bool
}

// Keeper keeps the budgets of the programs served here. It is safe for
// concurrent use.
type Keeper struct {
	store   store.Store
	owner   string
	holders Holders
	lenders Lenders
	loans   *loans
	escrows escrows
	clock   clock.Clock
	log     *slog.Logger

	granted, spent, held, released, failed, borrowed, lent tally.Counter

	mu       sync.Mutex
	programs map[string]*program
	accounts uint64
}

// NewKeeper returns a keeper over s. The owner must differ between any two
// starts of any instances; accounts are named OWNER.NUMBER.
func NewKeeper(s store.Store, owner string, holders Holders, lenders Lenders, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Keeper {
	return &Keeper{store: s, owner: owner, holders: holders, lenders: lenders, loans: newLoans(), clock: clk, log: log, programs: map[string]*program{},
		borrowed: scope.Counter("budget_borrowed"), lent: scope.Counter("budget_lent"),
		granted: scope.Counter("budget_grants"), spent: scope.Counter("budget_spent"), held: scope.Counter("budget_held"),
		released: scope.Counter("budget_releases"), failed: scope.Counter("budget_write_failures")}
}

// Reserve makes turn tokens of the program's budget of total available to a
// turn. While no row can be written it may be a part of them, by the escrow of
// the program's home; Extend asks for the rest. It returns a *SpentError if the
// budget does not hold them, a *HeldError if it may later, or the store's
// *store.Error; then nothing is reserved. Parts name those of its prompt whose
// places it asks for.
func (keeper *Keeper) Reserve(ctx context.Context, id string, turn, total int64, parts ...string) (*Reservation, error) {
	p := keeper.program(id, total)
	defer keeper.done(p)
	whole := budget.Whole(turn)
	if reservation := keeper.own(p, whole, total, parts); reservation != nil {
		return reservation, nil
	}
	if keeper.knownSpent(p, turn) {
		keeper.spent.Inc(1)
		return nil, &SpentError{program: id, used: p.used(), total: total}
	}
	borrowing := Borrowing{Turn: whole, Total: total, Parts: parts}
	if reservation, err := keeper.borrow(ctx, p, borrowing); reservation != nil || err != nil {
		return reservation, err
	}
	return keeper.reserve(ctx, p, whole, total, parts)
}

// own reserves the turn if the account here grants it already.
func (keeper *Keeper) own(p *program, turn budget.Turn, total int64, parts []string) *Reservation {
	if decision, _ := p.begin(turn, total); decision != budget.DecisionServe {
		return nil
	}
	return keeper.reservation(p, turn, total, parts)
}

// reservation returns that of a turn that was begun.
func (keeper *Keeper) reservation(p *program, turn budget.Turn, total int64, parts []string) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Reservation{keeper: keeper, program: p, turn: turn, total: total, Version: p.usage.Version(), places: p.places.of(parts)}
}

// reserve reserves the turn by this instance's own account.
func (keeper *Keeper) reserve(ctx context.Context, p *program, turn budget.Turn, total int64, parts []string) (*Reservation, error) {
	if reservation := keeper.own(p, turn, total, parts); reservation != nil {
		return reservation, nil
	}
	if !turn.Rest && keeper.knownSpent(p, turn.Most) {
		keeper.spent.Inc(1)
		return nil, &SpentError{program: p.id, used: p.used(), total: total}
	}
	if !turn.Rest && p.escrowed() {
		return keeper.reserveEscrowed(ctx, p, turn, total, parts)
	}
	promised, err := keeper.grant(ctx, p, turn, total)
	if err != nil {
		return nil, err
	}
	return keeper.reservation(p, promised, total, parts), nil
}

// reserveEscrowed reserves a turn that this instance's escrow does not hold whole:
// by a row, or a part of it by the escrow while no row can be written. As long
// as the store answers a turn is promised whole: another instance that could not
// ask this one may grant by a row, and the rest may then be gone in the middle
// of a stream.
func (keeper *Keeper) reserveEscrowed(ctx context.Context, p *program, turn budget.Turn, total int64, parts []string) (*Reservation, error) {
	if err := keeper.prepare(ctx, p, turn, total); store.Unserved(err) {
		if reservation := keeper.own(p, budget.FirstPart(turn.Most), total, parts); reservation != nil {
			return reservation, nil
		}
	}
	promised, err := keeper.grant(ctx, p, turn, total)
	if err != nil {
		return nil, err
	}
	return keeper.reservation(p, promised, total, parts), nil
}

func (keeper *Keeper) program(id string, total int64) *program {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	p, ok := keeper.programs[id]
	if !ok {
		account, escrowed := keeper.escrows.account(id)
		if !escrowed {
			// An account is used by one usage only: a usage that is made anew does
			// not know what an earlier one handed out.
			keeper.accounts++
			account = fmt.Sprintf("%s.%d", keeper.owner, keeper.accounts)
		}
		implied, version := keeper.implied(id, account, total)
		p = newProgram(id, account, total, implied, version)
		keeper.programs[id] = p
	}
	p.turns++
	p.touch(keeper.clock.Now())
	return p
}

func (keeper *Keeper) done(p *program) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	p.turns--
}

// Len returns how many programs are known here.
func (keeper *Keeper) Len() int {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	return len(keeper.programs)
}
