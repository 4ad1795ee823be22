package entrypeer

import (
	"context"
	"errors"
	"net/http"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
)

// verdict is a home instance's decision on a request to borrow. It is encoded
// as a number.
type verdict int

const (
	// verdictLent means that the loan was granted.
	verdictLent verdict = iota
	// verdictSpent means that the program's budget does not cover the turn.
	verdictSpent
	// verdictHeld means that the budget may cover the turn later: other
	// instances hold the remaining tokens.
	verdictHeld
	// verdictUnknown means that the home cannot decide, for example because the
	// store failed.
	verdictUnknown
	// verdictStopped means that the home is shutting down and grants no further
	// loans.
	verdictStopped
)

// borrowRequest requests a loan of a program's tokens.
type borrowRequest struct {
	Program   string
	Borrowing account.Borrowing
}

// borrowResponse is the decision on a borrowRequest. Loan is set with
// verdictLent; Detail holds the holders of the tokens with verdictSpent and
// verdictHeld, and the text of the error with verdictUnknown and verdictStopped.
type borrowResponse struct {
	Verdict verdict
	Loan    account.Loan
	Detail  string
}

// repayRequest reports the final usage of loans to the home that granted them.
type repayRequest struct {
	Repayments []account.Repayment
}

// BorrowError is returned when the home instance could not decide whether a
// program's budget covers a turn, is stopping, or is not in the directory.
type BorrowError struct {
	instance, detail string
}

// Error returns the instance and the reason.
func (e *BorrowError) Error() string { return "instance " + e.instance + ": " + e.detail }

// Is reports whether target is account.ErrNotLent: the home has responded, or was not asked.
func (e *BorrowError) Is(target error) bool { return target == account.ErrNotLent }

// Home implements account.Lenders. Rendezvous hashing picks the home among this
// instance and all recorded ones that are not excluded. Instances whose
// directories differ may pick different homes; the program then has two
// accounts, which costs one more write.
func (client *Client) Home(program string) string {
	return client.directory.home(program)
}

// home returns the name of a program's home instance, "" if that is this one.
func (directory *Directory) home(program string) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	shard := budget.Shard(program)
	home, best := "", budget.Score(shard, directory.selfKey().Name)
	now := directory.clock.Now()
	for name := range directory.instances {
		score := budget.Score(shard, name)
		if score > best && !directory.isExcluded(name, now) {
			home, best = name, score
		}
	}
	return home
}

// Borrow implements account.Lenders. It returns an *account.SpentError or
// *account.HeldError as decided by the home, a *BorrowError if the home could
// not decide, and the error of the call otherwise.
func (client *Client) Borrow(ctx context.Context, name, program string, borrowing account.Borrowing) (account.Loan, error) {
	instance, ok := client.directory.byName(name)
	if !ok {
		return account.Loan{}, &BorrowError{instance: name, detail: "not in the directory"}
	}
	var response borrowResponse
	if err := client.call(ctx, instance, pathBorrow, &borrowRequest{Program: program, Borrowing: borrowing}, &response); err != nil {
		return account.Loan{}, err
	}
	switch response.Verdict {
	case verdictLent:
		return response.Loan, nil
	case verdictSpent:
		return account.Loan{}, account.NewSpentError(program, borrowing.Total, response.Detail)
	case verdictHeld:
		return account.Loan{}, account.NewHeldError(program, response.Detail)
	case verdictStopped:
		// Until a stopping home has left the table, each borrower would grant
		// turns from an account of its own. Excluding the home makes them agree
		// on another one.
		client.directory.markStopping(instance)
	}
	return account.Loan{}, &BorrowError{instance: name, detail: response.Detail}
}

// Repay implements account.Lenders. It returns a *BorrowError if the directory
// has no instance called name.
func (client *Client) Repay(ctx context.Context, name string, repayments []account.Repayment) error {
	instance, ok := client.directory.byName(name)
	if !ok {
		return &BorrowError{instance: name, detail: "not in the directory"}
	}
	return client.call(ctx, instance, pathRepay, &repayRequest{Repayments: repayments}, nil)
}

// byName returns the instance of the given name, excluded or not.
func (directory *Directory) byName(name string) (Instance, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	instance, ok := directory.instances[name]
	return instance, ok
}

// handleBorrow serves a request for a loan.
func (server *Server) handleBorrow(w http.ResponseWriter, r *http.Request) {
	var message borrowRequest
	if !decode(w, r, &message) {
		return
	}
	response := borrowResponse{}
	var err error
	response.Loan, err = server.Lender.Lend(r.Context(), message.Program, message.Borrowing)
	var spent *account.SpentError
	var held *account.HeldError
	var stopped *account.StoppedError
	switch {
	case errors.As(err, &stopped):
		response.Verdict, response.Detail = verdictStopped, err.Error()
	case errors.As(err, &spent):
		response.Verdict, response.Detail = verdictSpent, spent.Holders()
	case errors.As(err, &held):
		response.Verdict, response.Detail = verdictHeld, held.Holders()
	case err != nil:
		response.Verdict, response.Detail = verdictUnknown, err.Error()
	case r.Context().Err() != nil:
		// The caller has given up and will not receive the loan, so it is
		// repaid at once: otherwise it would count as spent.
		server.Lender.SettleLoans([]account.Repayment{{Loan: response.Loan.ID}})
		return
	}
	server.reply(w, &response)
}

// handleRepay serves the repayment of loans.
func (server *Server) handleRepay(w http.ResponseWriter, r *http.Request) {
	var message repayRequest
	if !decode(w, r, &message) {
		return
	}
	server.Lender.SettleLoans(message.Repayments)
	w.WriteHeader(http.StatusNoContent)
}
