package account

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// borrowTimeout bounds a loan request to the home of a program: a store
	// write there and the round trip take about 10 ms, and 250 ms or more
	// while the store is slow or loses responses. After the timeout the turn
	// is granted by a local account, at the cost of another write.
	borrowTimeout = 400 * time.Millisecond
	// loanLifetime is the time after which an unrepaid loan counts as lost, if the end of
	// its request is unknown. It exceeds the longest request plus the time for its
	// repayment.
	loanLifetime = 30 * time.Second
	// repayGrace is how long after the end of its request a loan may be repaid: the time
	// to deliver the repayment if the home is reachable.
	repayGrace = 3 * time.Second
	// repayInterval is how long repayments are batched. The next turn of a
	// program comes 50 ms later or more.
	repayInterval = 25 * time.Millisecond
	// repayTimeout bounds one call that sends repayments to a home instance, and
	// repayRetryInterval is the delay before those that were not delivered are sent
	// again.
	repayTimeout       = 300 * time.Millisecond
	repayRetryInterval = 250 * time.Millisecond
	// repayFirstTurns is the number of further turns that the budget has to cover if a
	// loan is not to be repaid before its turn's response ends.
	repayFirstTurns = 2
	// repayFirstTimeout bounds how long the end of a response waits for a repayment.
	repayFirstTimeout = 50 * time.Millisecond
	// maxPendingRepayments bounds the repayments kept in memory while homes
	// are unreachable. It is a few seconds' worth of one instance's turns. A
	// repayment beyond it is dropped, and its loan counts as lost.
	maxPendingRepayments = 4096
)

// Repayment reports how many tokens of a loan were spent. The home may grant
// the unused tokens again.
type Repayment struct {
	Loan  uint64
	Spent int64
	// Key, unless it is 0, is that of a request to borrow that got no response. Its loan,
	// if one is granted, is not used.
	Key uint64 `cbor:",omitempty"`
	// Place is the location of the conversation's cache after the turn.
	Place Place
}

// Loan is a reservation of a program's tokens made at its home instance for a
// turn that another instance serves.
type Loan struct {
	// ID identifies the loan at its home.
	ID uint64
	// GrantedTokens is the number of tokens granted, which may be fewer than the
	// turn's maximum.
	Promised int64
	// CacheLocations are the known cache locations of the requested segments of the
	// turn's prompt.
	Places []Place
	// RepayFirst is set if the budget covers less than two other turns of this size until
	// the loan is repaid. It is then repaid before the turn's response ends, since the
	// caller may send its next turn to any instance right after that; the next turn may be
	// larger, or one in parallel may begin meanwhile.
	RepayFirst bool `cbor:",omitempty"`
}

// Borrowing is a loan request to a program's home.
type Borrowing struct {
	Turn  budget.Turn
	Total int64
	// Parts names the segments of the turn's prompt whose cache locations are
	// requested.
	Parts []string
	// Loan is the ID of the turn's previous loan in a request for a further
	// part of the turn, and 0 in the first.
	Loan uint64
	// Within is the time until the request of the turn ends; 0 if it is unknown.
	Within time.Duration `cbor:",omitempty"`
	// Borrower is the incarnation that requests the loan; empty if it did not tell.
	Borrower string `cbor:",omitempty"`
	// Key identifies the request, so that it can be cancelled without a response; 0 for
	// one that cannot.
	Key uint64 `cbor:",omitempty"`
}

// lifetime returns how long a loan for the request may be unrepaid.
func (borrowing *Borrowing) lifetime() time.Duration {
	if borrowing.Within <= 0 {
		return loanLifetime
	}
	return min(borrowing.Within+repayGrace, loanLifetime)
}

// ErrNotLent is matched by errors of Lenders.Borrow after which the home has granted no
// loan and will not.
var ErrNotLent = errors.New("no loan was granted")

// Lenders reaches the home instances of programs. The turns of one program
// come through several instances. If each granted them from an account of its
// own, each would write the program's row.
type Lenders interface {
	// Home returns the name of a program's home instance, or "" if that is
	// this instance.
	Home(program string) string
	// Borrow requests a loan from instance. It returns a *SpentError or a
	// *HeldError if instance refused the loan, an error that matches ErrNotLent if no
	// account was tried, and another error if the result is unknown.
	Borrow(ctx context.Context, instance, program string, borrowing Borrowing) (Loan, error)
	// Repay reports to instance what was spent of loans. After a failure it may be called
	// again: a loan is settled once.
	Repay(ctx context.Context, instance string, repayments []Repayment) error
}

// grantedLoan is a loan that this instance granted to another.
type grantedLoan struct {
	reservation *Reservation
	// expiresAt is when it counts as lost unless it was repaid.
	expiresAt time.Time
	// covered is the number of tokens that the turn may still request beyond
	// the loan and that the account has already counted.
	covered int64
	// borrower is the incarnation that has the loan, and key that of its request.
	borrower string
	key      uint64
}

// loans holds the loans granted to other instances and the pending repayments
// to other homes.
type loans struct {
	mu      sync.Mutex
	granted map[uint64]grantedLoan
	lastID  uint64
	stopped bool
	// byKey holds the IDs of granted loans by the keys of their requests. cancelled
	// holds the keys of cancelled requests that have not arrived, and when they were
	// cancelled.
	byKey     map[uint64]uint64
	cancelled map[uint64]time.Time
	// pending holds the repayments to send, by home.
	pending      map[string][]pendingRepayment
	pendingCount int
	wake         chan struct{}
}

// newLoans returns empty loans. IDs begin at a random number, so that a
// repayment intended for an earlier incarnation of the instance matches no
// current loan. Otherwise it would release tokens that the turn of that loan
// may still spend.
func newLoans() *loans {
	return &loans{granted: map[uint64]grantedLoan{}, lastID: rand.Uint64(), byKey: map[uint64]uint64{}, cancelled: map[uint64]time.Time{}, pending: map[string][]pendingRepayment{}, wake: make(chan struct{}, 1)}
}

// home returns the home instance of a program, or "" if that is this instance.
// An instance that holds the escrow of the program's shard stays its home even
// if newer instances have joined.
func (manager *Manager) home(id string) string {
	if manager.escrows.usableFor(id) {
		return ""
	}
	return manager.lenders.Home(id)
}

// borrow reserves tokens by a loan of the program's home. It returns nil and
// no error if this instance has to grant the tokens from its local account.
func (manager *Manager) borrow(ctx context.Context, p *program, borrowing Borrowing) (*Reservation, error) {
	home := manager.home(p.id)
	if home == "" {
		return nil, nil
	}
	if end, ok := ctx.Deadline(); ok {
		borrowing.Within = time.Until(end)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	turn := borrowing.Turn
	borrowing.Borrower, borrowing.Key = manager.owner, rand.Uint64()
	loan, err := manager.lenders.Borrow(ctx, home, p.id, borrowing)
	var spent *SpentError
	var held *HeldError
	switch {
	case err == nil:
		manager.borrowed.Inc(1)
		turn.Part = loan.Promised
		return &Reservation{manager: manager, program: p, turn: turn, total: borrowing.Total, home: home, loan: loan.ID, repayFirst: loan.RepayFirst, locations: loan.Places}, nil
	case errors.As(err, &spent):
		manager.countSpent(p, turn)
		return nil, err
	case errors.As(err, &held):
		manager.held.Inc(1)
		return nil, err
	}
	if !errors.Is(err, ErrNotLent) {
		// The home may have granted the loan or grant it later. Until it learns that
		// the loan is not used, the program lacks these tokens.
		manager.loans.enqueue(home, Repayment{Key: borrowing.Key}, manager.clock.Now())
	}
	// An unreachable home keeps its account unchanged. An account of this
	// instance may still be granted the remaining tokens.
	manager.log.Info("loan request to the home failed; granting from a local account", "program", p.id, "home", home, "err", err)
	return nil, nil
}

// Lend reserves tokens of a program's budget for another instance, as Reserve
// does for this one, until SettleLoans is called for the loan or loanLifetime has
// passed, after which the tokens count as lost. It returns a *StoppedError
// while the instance stops, since tokens that it released must not be granted
// again, and otherwise the errors of Reserve.
func (manager *Manager) Lend(ctx context.Context, id string, borrowing Borrowing) (Loan, error) {
	if manager.loans.isStopped() {
		return Loan{}, &StoppedError{}
	}
	p, err := manager.program(id, borrowing.Total)
	if err != nil {
		return Loan{}, err
	}
	defer manager.unpin(p)
	turn, covered := borrowing.Turn, int64(0)
	if turn.Rest {
		// covered is 0 if the turn did not begin here.
		covered = manager.loans.covered(borrowing.Loan)
		turn.Most = max(0, turn.Part-covered)
	}
	reservation, err := manager.reserveLocally(ctx, p, turn, borrowing.Total, borrowing.Parts)
	if err != nil {
		return Loan{}, err
	}
	if manager.loans.isStopped() {
		// Stop released all unused tokens while this request waited, so this
		// grant has to be released as well.
		reservation.Settle(0)
		if err := manager.ReleaseUnused(ctx, id); err != nil {
			manager.log.Warn("tokens granted while stopping not released: they count as spent", "program", id, "err", err)
		}
		return Loan{}, &StoppedError{}
	}
	covered += reservation.turn.Most - reservation.turn.Part
	loan, ok := manager.loans.add(grantedLoan{reservation: reservation, expiresAt: manager.clock.Now().Add(borrowing.lifetime()), covered: covered, borrower: borrowing.Borrower, key: borrowing.Key})
	if !ok {
		reservation.Settle(0)
		return Loan{}, &CancelledError{}
	}
	manager.lent.Inc(1)
	decision, _ := p.decide(budget.FullTurn(repayFirstTurns*borrowing.Turn.Part), borrowing.Total)
	return Loan{ID: loan, Promised: reservation.turn.Part, Places: reservation.locations, RepayFirst: decision == budget.DecisionSpent}, nil
}

// CancelledError is returned for a loan request that its borrower has cancelled.
type CancelledError struct{}

// Error returns a fixed message.
func (e *CancelledError) Error() string { return "the request was cancelled" }

// StoppedError is returned for a loan request to an instance that is stopping.
type StoppedError struct{}

// Error returns a fixed message.
func (e *StoppedError) Error() string { return "the instance is stopping" }

// SettleLoans settles loans granted here, and cancels requests. It ignores unknown
// loans, which were settled before.
func (manager *Manager) SettleLoans(repayments []Repayment) {
	for _, repayment := range repayments {
		if repayment.Key != 0 {
			repayment = Repayment{Loan: manager.loans.cancel(repayment.Key, manager.clock.Now())}
		}
		if reservation := manager.loans.remove(repayment.Loan); reservation != nil {
			reservation.SetCacheLocation(repayment.Place)
			reservation.Settle(max(repayment.Spent, 0))
		}
	}
}

// settleExpiredLoans settles the loans that were not repaid in time as lost.
func (manager *Manager) settleExpiredLoans() {
	for _, reservation := range manager.loans.expired(manager.clock.Now()) {
		manager.log.Info("loan expired without repayment: counted as lost", "program", reservation.program.id, "tokens", reservation.turn.Part)
		reservation.settleLost()
	}
}

// settleTerminatedLoans settles the loans of p's budget whose borrowers have terminated,
// since nobody will repay them.
func (manager *Manager) settleTerminatedLoans(p *program) {
	for _, loan := range manager.loans.removeTerminated(p, manager.holders.OwnerTerminated) {
		manager.log.Info("borrower terminated: its loan counts as lost", "program", p.id, "borrower", loan.borrower, "tokens", loan.reservation.turn.Part)
		loan.reservation.settleLost()
	}
}

// removeTerminated removes the loans of p's budget whose borrowers have terminated, and
// returns them.
func (loans *loans) removeTerminated(p *program, hasTerminated func(account string) bool) []grantedLoan {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	var terminated []grantedLoan
	for id, granted := range loans.granted {
		if granted.reservation.program == p && hasTerminated(accountName(granted.borrower, 0)) {
			terminated = append(terminated, granted)
			loans.removeLocked(id)
		}
	}
	return terminated
}

// Repay sends repayments to the homes of programs until ctx ends. It then
// sends those that are still pending, and nil on done. Each home has a goroutine of its
// own, so that one that does not respond delays no repayments to others.
func (manager *Manager) Repay(ctx context.Context, done chan<- error) {
	repaying, ended := map[string]bool{}, make(chan string)
	for ctx.Err() == nil {
		for _, home := range manager.loans.homesToRepay() {
			if !repaying[home] {
				repaying[home] = true
				go func() {
					manager.repay(ctx, home)
					ended <- home
				}()
			}
		}
		select {
		case <-ctx.Done():
		case <-manager.loans.wake:
		case home := <-ended:
			delete(repaying, home)
		}
	}
	for range repaying {
		<-ended
	}
	var last sync.WaitGroup
	for _, home := range manager.loans.homesToRepay() {
		last.Go(func() { manager.sendRepayments(context.WithoutCancel(ctx), home) })
	}
	last.Wait()
	done <- nil
}

// repay sends the pending repayments to home until there are none or ctx ends.
func (manager *Manager) repay(ctx context.Context, home string) {
	delay := repayInterval
	for clock.Sleep(ctx, delay) && manager.loans.owes(home) {
		delay = repayInterval
		if !manager.sendRepayments(ctx, home) {
			delay = repayRetryInterval
		}
	}
}

// repayFirst sends one repayment to home, and reports whether it was received in time.
func (manager *Manager) repayFirst(home string, repayment Repayment) bool {
	ctx, cancel := context.WithTimeout(context.Background(), repayFirstTimeout)
	defer cancel()
	return manager.lenders.Repay(ctx, home, []Repayment{repayment}) == nil
}

// sendRepayments sends the pending repayments to home, and reports whether it received
// them. Otherwise they are pending again, unless their loans have expired meanwhile.
func (manager *Manager) sendRepayments(ctx context.Context, home string) bool {
	pending := manager.loans.takePending(home)
	repayments := make([]Repayment, len(pending))
	for i, one := range pending {
		repayments[i] = one.Repayment
	}
	ctx, cancel := context.WithTimeout(ctx, repayTimeout)
	defer cancel()
	err := manager.lenders.Repay(ctx, home, repayments)
	if err == nil {
		return true
	}
	dropped := manager.loans.putBack(home, pending, manager.clock.Now())
	manager.log.Info("repayments not delivered", "home", home, "loans", len(repayments), "dropped", dropped, "err", err)
	return false
}

// add records a loan and returns its ID, or false if its request was cancelled.
func (loans *loans) add(loan grantedLoan) (uint64, bool) {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	if _, cancelled := loans.cancelled[loan.key]; cancelled {
		return 0, false
	}
	loans.lastID++
	loans.granted[loans.lastID] = loan
	if loan.key != 0 {
		loans.byKey[loan.key] = loans.lastID
	}
	return loans.lastID, true
}

// cancel cancels a request to borrow. It returns the ID of its loan, or 0 if none was
// granted; then the request is refused if it arrives within loanLifetime.
func (loans *loans) cancel(key uint64, now time.Time) uint64 {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	if id, ok := loans.byKey[key]; ok {
		return id
	}
	maps.DeleteFunc(loans.cancelled, func(_ uint64, at time.Time) bool { return now.Sub(at) >= loanLifetime })
	if len(loans.cancelled) < maxPendingRepayments {
		loans.cancelled[key] = now
	}
	return 0
}

// covered returns the number of tokens that the turn of a loan may still
// request beyond the loan and that the account has already counted, and 0 for
// a loan that was not granted here.
func (loans *loans) covered(id uint64) int64 {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return loans.granted[id].covered
}

// outstanding returns the number of unrepaid loans, and the number of tokens
// that their turns may still request beyond them.
func (loans *loans) outstanding() (count int, remaining int64) {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	for _, granted := range loans.granted {
		remaining += granted.covered
	}
	return len(loans.granted), remaining
}

// remove removes a loan and returns its reservation, or nil if there is no
// such loan.
func (loans *loans) remove(id uint64) *Reservation {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return loans.removeLocked(id)
}

// removeLocked is remove for a caller that holds mu.
func (loans *loans) removeLocked(id uint64) *Reservation {
	granted := loans.granted[id]
	delete(loans.byKey, granted.key)
	delete(loans.granted, id)
	return granted.reservation
}

// expired removes the loans that have expired and returns their reservations.
func (loans *loans) expired(now time.Time) []*Reservation {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	var expired []*Reservation
	for id, granted := range loans.granted {
		if !now.Before(granted.expiresAt) {
			expired = append(expired, loans.removeLocked(id))
		}
	}
	return expired
}

// pendingRepayment is a repayment that its home has not received, and when it was made.
type pendingRepayment struct {
	Repayment
	at time.Time
}

// enqueue adds a repayment to the pending ones. It reports false if there are
// maxPendingRepayments already.
func (loans *loans) enqueue(home string, repayment Repayment, now time.Time) bool {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	if loans.pendingCount >= maxPendingRepayments {
		return false
	}
	loans.pendingCount++
	loans.pending[home] = append(loans.pending[home], pendingRepayment{Repayment: repayment, at: now})
	select {
	case loans.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
	return true
}

// owes reports whether there are pending repayments to home.
func (loans *loans) owes(home string) bool {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return len(loans.pending[home]) > 0
}

// homesToRepay returns the homes to which repayments are pending.
func (loans *loans) homesToRepay() []string {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return slices.Collect(maps.Keys(loans.pending))
}

// takePending returns the pending repayments to home and removes them.
func (loans *loans) takePending(home string) []pendingRepayment {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	pending := loans.pending[home]
	delete(loans.pending, home)
	loans.pendingCount -= len(pending)
	return pending
}

// putBack adds repayments that were not delivered to the pending ones, and returns the
// number of those that it drops since their loans have expired.
func (loans *loans) putBack(home string, repayments []pendingRepayment, now time.Time) (dropped int) {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	current := slices.DeleteFunc(repayments, func(one pendingRepayment) bool { return now.Sub(one.at) >= loanLifetime })
	if len(current) > 0 {
		loans.pendingCount += len(current)
		loans.pending[home] = append(current, loans.pending[home]...)
	}
	return len(repayments) - len(current)
}

// stop makes Lend refuse loans from now on.
func (loans *loans) stop() {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	loans.stopped = true
}

// isStopped reports whether stop was called.
func (loans *loans) isStopped() bool {
	loans.mu.Lock()
	defer loans.mu.Unlock()
	return loans.stopped
}
