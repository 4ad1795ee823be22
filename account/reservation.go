package account

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// extensionDivisor sets the size of the smallest extension: Extend requests only
// more than 1/extensionDivisor of the tokens that the turn may generate, since
// each request costs a call.
const extensionDivisor = 8

// Reservation holds the tokens reserved for a turn until Settle.
type Reservation struct {
	manager *Manager
	program *program
	// turn holds the tokens granted so far, and total is the program's budget.
	// remainder is the reservation of further tokens if another account grants
	// them.
	turn      budget.Turn
	total     int64
	remainder *Reservation
	// Version is the version of the row that grants the turn, and 0 for a
	// loan.
	Version uint64
	// home is the instance that granted the loan, and loan its ID there. home
	// is empty if the local account grants the turn.
	home string
	loan uint64
	// repayFirst is set if Settle is to return only once the home has the repayment.
	repayFirst bool
	// locations are the known cache locations of the segments of the turn's
	// prompt. location is that of its own conversation after the turn.
	locations []Place
	location  Place
}

// CacheLocations returns the cache locations of the prompt segments named to Reserve,
// as recorded by earlier turns through any instance.
func (reservation *Reservation) CacheLocations() []Place { return reservation.locations }

// SetCacheLocation sets the cache location of a segment of the turn's prompt, which
// Settle records.
func (reservation *Reservation) SetCacheLocation(location Place) { reservation.location = location }

// Home returns the instance whose account grants the turn, or "" for this
// instance.
func (reservation *Reservation) Home() string { return reservation.home }

// GrantedTokens returns the number of tokens that the turn may spend so far.
func (reservation *Reservation) GrantedTokens() int64 {
	if reservation.remainder != nil {
		return reservation.turn.Part + reservation.remainder.GrantedTokens()
	}
	return reservation.turn.Part
}

// Extend reserves the remainder of what the turn may generate or, if that is
// not available, a part of it. It returns the errors of Reserve; what was
// granted before stays reserved then.
func (reservation *Reservation) Extend(ctx context.Context) error {
	remaining := reservation.turn.Most - reservation.GrantedTokens()
	if remaining <= 0 {
		return nil
	}
	err := reservation.extend(ctx, remaining)
	// The account may grant less than the remainder, which then needs no call.
	for part := remaining / 2; mayGrantLess(err) && part > reservation.turn.Most/extensionDivisor; part /= 2 {
		err = reservation.extend(ctx, part)
	}
	return err
}

// mayGrantLess reports whether a smaller extension may succeed after err.
func mayGrantLess(err error) bool {
	var held *HeldError
	var spent *SpentError
	return errors.As(err, &held) || errors.As(err, &spent) || store.Unserved(err)
}

// extend reserves part more tokens for the turn.
func (reservation *Reservation) extend(ctx context.Context, part int64) error {
	manager, p := reservation.manager, reservation.program
	if reservation.remainder != nil {
		return reservation.remainder.extend(ctx, part)
	}
	if reservation.home == "" {
		extension := budget.Turn{Part: part, Most: max(0, reservation.turn.Part+part-reservation.turn.Most), Rest: true}
		if _, err := manager.grant(ctx, p, extension, reservation.total); err != nil {
			return err
		}
		reservation.turn.Part += extension.Part
		reservation.turn.Most += extension.Most
		return nil
	}
	remainder, err := manager.borrow(ctx, p, Borrowing{Turn: budget.Turn{Part: part, Rest: true}, Total: reservation.total, Loan: reservation.loan})
	if remainder == nil && err == nil {
		// The home is unreachable: use an account of this instance.
		remainder, err = manager.reserveLocally(ctx, p, budget.Turn{Part: part, Most: part, Rest: true}, reservation.total, nil)
	}
	if err != nil {
		return err
	}
	reservation.remainder = remainder
	return nil
}

// Settle ends the reservation and records that the turn spent that many
// tokens. The unused tokens may be granted again.
func (reservation *Reservation) Settle(spent int64) {
	manager, p := reservation.manager, reservation.program
	if reservation.remainder != nil {
		spentHere := min(spent, reservation.turn.Part)
		reservation.remainder.Settle(spent - spentHere)
		spent = spentHere
	}
	if reservation.home != "" {
		reservation.repay(spent)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lastUsed, p.spentAt = manager.clock.Now(), time.Time{}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spentAt = time.Time{} // found spent while this turn was in flight
	p.usage.End(reservation.turn, spent)
	p.locations.add(reservation.location)
	p.lastUsed = manager.clock.Now()
}

// settleLost ends a reservation of which nobody knows what was spent.
func (reservation *Reservation) settleLost() {
	p := reservation.program
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.EndLost(reservation.turn)
	p.lastUsed = reservation.manager.clock.Now()
}

// repay repays the loan to its home, or leaves that to Manager.Repay.
func (reservation *Reservation) repay(spent int64) {
	manager := reservation.manager
	repayment := Repayment{Loan: reservation.loan, Spent: spent, Place: reservation.location}
	if reservation.repayFirst && manager.repayFirst(reservation.home, repayment) {
		return
	}
	if !manager.loans.enqueue(reservation.home, repayment, manager.clock.Now()) {
		manager.log.Warn("too many pending repayments: repayment dropped, the loan counts as lost", "program", reservation.program.id, "home", reservation.home)
	}
}
