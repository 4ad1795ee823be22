package account

import (
	"context"
	"errors"

	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// leastPart: one part in leastPart of what a turn may generate is the least
// that it is given more. Each costs a call.
const leastPart = 8

// Reservation is a turn's part of a budget until Settle.
type Reservation struct {
	keeper  *Keeper
	program *program
	// turn is what was promised so far, of total; next is the reservation of
	// the rest if it is by another account.
	turn  budget.Turn
	total int64
	next  *Reservation
	// Version is the version of the row that grants the turn, 0 for a loan.
	Version uint64
	// home is the instance that lent the turn, loan its name for that; empty
	// if the account is this instance's.
	home string
	loan uint64
	// places are where parts of the turn's prompt are, as far as known;
	// place is where the turn left its own.
	places []Place
	place  Place
}

// Places returns where the parts of the turn's prompt that Reserve was asked
// for were left by turns before it, through whichever instance.
func (reservation *Reservation) Places() []Place { return reservation.places }

// KeptAt notes where the turn left a part of its prompt, for Settle.
func (reservation *Reservation) KeptAt(place Place) { reservation.place = place }

// Home returns the instance whose account grants the turn; "" for this one.
func (reservation *Reservation) Home() string { return reservation.home }

// Promised returns how many tokens the turn may hand out.
func (reservation *Reservation) Promised() int64 {
	if reservation.next != nil {
		return reservation.turn.Part + reservation.next.Promised()
	}
	return reservation.turn.Part
}

// Extend promises the turn all that it may generate or, if that is not to be
// had, a part of it. It returns the errors of Reserve; then what was promised
// before stays.
func (reservation *Reservation) Extend(ctx context.Context) error {
	rest := reservation.turn.Most - reservation.Promised()
	if rest <= 0 {
		return nil
	}
	err := reservation.extend(ctx, rest)
	// The account may hold less than the rest, which needs no call.
	for part := rest / 2; mayHoldLess(err) && part > reservation.turn.Most/leastPart; part /= 2 {
		err = reservation.extend(ctx, part)
	}
	return err
}

// mayHoldLess reports whether a smaller part may be had where one was not.
func mayHoldLess(err error) bool {
	var held *HeldError
	var spent *SpentError
	return errors.As(err, &held) || errors.As(err, &spent) || store.Unserved(err)
}

// extend promises the turn a part more.
func (reservation *Reservation) extend(ctx context.Context, part int64) error {
	keeper, p := reservation.keeper, reservation.program
	if reservation.next != nil {
		return reservation.next.extend(ctx, part)
	}
	if reservation.home == "" {
		more := budget.Turn{Part: part, Most: max(0, reservation.turn.Part+part-reservation.turn.Most), Rest: true}
		if _, err := keeper.grant(ctx, p, more, reservation.total); err != nil {
			return err
		}
		reservation.turn.Part += more.Part
		reservation.turn.Most += more.Most
		return nil
	}
	next, err := keeper.borrow(ctx, p, Borrowing{Turn: budget.Turn{Part: part, Rest: true}, Total: reservation.total, Loan: reservation.loan})
	if next == nil && err == nil {
		// The home cannot be asked: an account of this instance's own.
		next, err = keeper.reserve(ctx, p, budget.Turn{Part: part, Most: part, Rest: true}, reservation.total, nil)
	}
	if err != nil {
		return err
	}
	reservation.next = next
	return nil
}

// Settle ends the reservation: spent tokens were handed out.
func (reservation *Reservation) Settle(spent int64) {
	keeper, p := reservation.keeper, reservation.program
	if reservation.next != nil {
		first := min(spent, reservation.turn.Part)
		reservation.next.Settle(spent - first)
		spent = first
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if reservation.home != "" {
		p.last = keeper.clock.Now()
		if !keeper.loans.repay(reservation.home, Repayment{Loan: reservation.loan, Spent: spent, Place: reservation.place}) {
			keeper.log.Warn("repayment dropped: the loan counts as spent", "program", p.id, "home", reservation.home)
		}
		return
	}
	p.usage.End(reservation.turn, spent)
	p.places.note(reservation.place)
	p.last = keeper.clock.Now()
}
