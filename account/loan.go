package account

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// borrowTimeout bounds asking the home of a program: a write there and
	// the way, some 10 ms, and 250 ms and more while the store is slow or
	// loses answers. After it the turn is granted by an account of this
	// instance's own, which then costs a write of its own.
	borrowTimeout = 400 * time.Millisecond
	// loanLifetime is after how long a loan counts as spent: the longest
	// request and the time for its repayment are over by then.
	loanLifetime = 30 * time.Second
	// repayInterval is how long repayments are gathered. A program's next
	// turn comes 50 ms later or more.
	repayInterval = 25 * time.Millisecond
	// repayTimeout bounds telling a home of repayments.
	repayTimeout = 300 * time.Millisecond
	// maxRepayments are kept while the homes cannot be told, some seconds'
	// worth of one instance's turns; a loan that is never repaid counts as
	// spent.
	maxRepayments = 4096
)

// Repayment tells how much of a loan was spent; what it left over may be
// handed out again.
type Repayment struct {
	Loan  uint64
	Spent int64
	// Place is where the turn left its conversation.
	Place Place
}

// Loan is what a home set aside for a turn.
type Loan struct {
	// ID names the loan to its home.
	ID uint64
	// Promised is how many tokens it is.
	Promised int64
	// Places are where parts of the turn's prompt are.
	Places []Place
}

// Borrowing is what an instance asks a program's home for.
type Borrowing struct {
	Turn  budget.Turn
	Total int64
	// Parts are those of the turn's prompt whose places are asked for.
	Parts []string
	// Loan is the one before, for another part of its turn.
	Loan uint64
}

// Lenders are the instances that keep the accounts of programs for others.
// The turns of one program come through several instances; if each had an
// account of its own, each would write the program's row.
type Lenders interface {
	// Home returns the instance that keeps a program's account; "" if that
	// is this one.
	Home(program string) string
	// Borrow has instance set a part of a program's budget aside. It returns a
	// *SpentError or a *HeldError if there are no tokens left, and another
	// error if that cannot be known.
	Borrow(ctx context.Context, instance, program string, borrowing Borrowing) (Loan, error)
	// Repay tells instance what was spent of loans. A failure has no
	// consequence but that they count as spent.
	Repay(ctx context.Context, instance string, repayments []Repayment) error
}

// givenLoan is what this instance lent of a program's account.
type givenLoan struct {
	reservation *Reservation
	at          time.Time
	// covered is what else its turn may ask for that the account has counted.
	covered int64
}

// loans are the loans given and the repayments due.
type loans struct {
	mu      sync.Mutex
	given   map[uint64]givenLoan
	last    uint64
	stopped bool
	// due are the repayments to tell, by home.
	due   map[string][]Repayment
	count int
	wake  chan struct{}
}

// newLoans returns loans without any. Their IDs begin anywhere, so that a
// repayment that is meant for an earlier start of the instance settles none of
// them: it would free what the loan's turn may still hand out.
func newLoans() *loans {
	return &loans{given: map[uint64]givenLoan{}, last: rand.Uint64(), due: map[string][]Repayment{}, wake: make(chan struct{}, 1)}
}

// home returns the instance that keeps a program's account, "" if that is this
// one: it is, too, while the escrow of the program's shard is held here, though others came
// since.
func (keeper *Keeper) home(id string) string {
	if keeper.escrows.isEscrowed(id) {
		return ""
	}
	return keeper.lenders.Home(id)
}

// borrow reserves a part at the program's home. It returns nil and no error
// if this instance has to grant it by itself.
func (keeper *Keeper) borrow(ctx context.Context, p *program, borrowing Borrowing) (*Reservation, error) {
	home := keeper.home(p.id)
	if home == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	turn := borrowing.Turn
	loan, err := keeper.lenders.Borrow(ctx, home, p.id, borrowing)
	var spent *SpentError
	var held *HeldError
	switch {
	case err == nil:
		keeper.borrowed.Inc(1)
		turn.Part = loan.Promised
		return &Reservation{keeper: keeper, program: p, turn: turn, total: borrowing.Total, home: home, loan: loan.ID, places: loan.Places}, nil
	case errors.As(err, &spent):
		keeper.foundSpent(p, turn)
		return nil, err
	case errors.As(err, &held):
		keeper.held.Inc(1)
		return nil, err
	}
	// A home that cannot be asked leaves its account as it is; one of this
	// instance's own may still be granted something.
	keeper.log.Info("home of a program cannot be asked", "program", p.id, "home", home, "err", err)
	return nil, nil
}

// Lend sets a part of a program's budget aside for another instance, as
// Reserve does for this one, until Repaid, or until loanLifetime has passed:
// then they count as spent. It returns a *StoppedError while the instance
// stops, since what it gave back must not be granted again.
func (keeper *Keeper) Lend(ctx context.Context, id string, borrowing Borrowing) (Loan, error) {
	if keeper.loans.isStopped() {
		return Loan{}, &StoppedError{}
	}
	p := keeper.program(id, borrowing.Total)
	defer keeper.done(p)
	turn, covered := borrowing.Turn, int64(0)
	if turn.Rest {
		// Nothing is if its turn began elsewhere.
		covered = keeper.loans.covered(borrowing.Loan)
		turn.Most = max(0, turn.Part-covered)
	}
	reservation, err := keeper.reserve(ctx, p, turn, borrowing.Total, borrowing.Parts)
	if err != nil {
		return Loan{}, err
	}
	if keeper.loans.isStopped() {
		// All was given back while it waited: this has to follow.
		reservation.Settle(0)
		if err := keeper.GiveBack(ctx, id); err != nil {
			keeper.log.Warn("budget granted while stopping not given back", "program", id, "err", err)
		}
		return Loan{}, &StoppedError{}
	}
	keeper.lent.Inc(1)
	covered += reservation.turn.Most - reservation.turn.Part
	return Loan{ID: keeper.loans.give(reservation, covered, keeper.clock.Now()), Promised: reservation.turn.Part, Places: reservation.places}, nil
}

// StoppedError is a loan asked of an instance that stops.
type StoppedError struct{}

// Error says so.
func (e *StoppedError) Error() string { return "the instance stops" }

// Repaid settles loans given here. Unknown ones were settled before.
func (keeper *Keeper) Repaid(repayments []Repayment) {
	for _, repayment := range repayments {
		if reservation := keeper.loans.take(repayment.Loan); reservation != nil {
			reservation.KeptAt(repayment.Place)
			reservation.Settle(max(repayment.Spent, 0))
		}
	}
}

// expireLoans settles the loans that were not repaid in time as spent.
func (keeper *Keeper) expireLoans() {
	for _, reservation := range keeper.loans.expired(keeper.clock.Now()) {
		keeper.log.Info("loan not repaid: counted as spent", "program", reservation.program.id, "tokens", reservation.turn.Part)
		reservation.Settle(reservation.turn.Part)
	}
}

// Repay tells the homes of programs what was spent of loans, until ctx ends;
// then it tells what is due still, and reports on done.
func (keeper *Keeper) Repay(ctx context.Context, done chan<- error) {
	for {
		select {
		case <-ctx.Done():
		case <-keeper.loans.wake:
			clock.Sleep(ctx, repayInterval)
		}
		keeper.repayDue(context.WithoutCancel(ctx))
		if ctx.Err() != nil {
			done <- nil
			return
		}
	}
}

// repayDue tells the homes what is due.
func (keeper *Keeper) repayDue(ctx context.Context) {
	var calls sync.WaitGroup
	for home, repayments := range keeper.loans.takeDue() {
		calls.Go(func() {
			limited, cancel := context.WithTimeout(ctx, repayTimeout)
			defer cancel()
			if err := keeper.lenders.Repay(limited, home, repayments); err != nil {
				keeper.log.Info("loans not repaid", "home", home, "loans", len(repayments), "err", err)
			}
		})
	}
	calls.Wait()
}

func (loans *loans) give(reservation *Reservation, covered int64, now time.Time) uint64 {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	loans.last++
	loans.given[loans.last] = givenLoan{reservation: reservation, at: now, covered: covered}
	return loans.last
}

// covered returns what the turn of a loan may ask for beside it that the account
// has counted; 0 for a loan that is not from here.
func (loans *loans) covered(id uint64) int64 {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return loans.given[id].covered
}

// outstanding returns how many loans are not repaid, and how many tokens more
// their turns may ask for.
func (loans *loans) outstanding() (count int, rest int64) {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	for _, given := range loans.given {
		rest += given.covered
	}
	return len(loans.given), rest
}

func (loans *loans) take(id uint64) *Reservation {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	given := loans.given[id]
	delete(loans.given, id)
	return given.reservation
}

func (loans *loans) expired(now time.Time) []*Reservation {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	var expired []*Reservation
	for id, given := range loans.given {
		if now.Sub(given.at) >= loanLifetime {
			expired = append(expired, given.reservation)
			delete(loans.given, id)
		}
	}
	return expired
}

// repay notes a repayment that is due. It reports whether there was room.
func (loans *loans) repay(home string, repayment Repayment) bool {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	if loans.count >= maxRepayments {
		return false
	}
	loans.count++
	loans.due[home] = append(loans.due[home], repayment)
	select {
	case loans.wake <- struct{}{}:
	default: // woken already
	}
	return true
}

func (loans *loans) takeDue() map[string][]Repayment {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	due := loans.due
	loans.due, loans.count = map[string][]Repayment{}, 0
	return due
}

func (loans *loans) stop() {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	loans.stopped = true
}

func (loans *loans) isStopped() bool {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return loans.stopped
}
