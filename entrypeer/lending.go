package entrypeer

import (
	"context"
	"errors"
	"net/http"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
)

// verdict is what a home says of a turn that another instance asks it for.
type verdict int

const (
	verdictLent verdict = iota
	// verdictSpent: the program's budget does not hold the turn.
	verdictSpent
	// verdictHeld: it may later.
	verdictHeld
	// verdictUnknown: the home cannot tell.
	verdictUnknown
	// verdictStopped: the home stops, and lends nothing any more.
	verdictStopped
)

// borrowMessage asks for a part of a program's budget.
type borrowMessage struct {
	Program   string
	Borrowing account.Borrowing
}

type borrowAnswer struct {
	Verdict verdict
	Loan    account.Loan
	Detail  string
}

type repayMessage struct {
	Repayments []account.Repayment
}

// LendError is a home that could not tell whether a program's budget holds a
// turn.
type LendError struct {
	instance, detail string
}

// Error names the instance and what it said.
func (e *LendError) Error() string { return "instance " + e.instance + ": " + e.detail }

// Home implements account.Lenders: of all instances known here that were not
// found out of reach just now, rendezvous hashing picks one. Instances that
// know others pick others: then a program has two accounts, which costs a
// write more.
func (client *Client) Home(program string) string {
	return client.directory.home(program)
}

func (directory *Directory) home(program string) string {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	shard := budget.Shard(program)
	home, best := "", budget.Score(shard, directory.key().Name)
	now := directory.clock.Now()
	for name := range directory.instances {
		score := budget.Score(shard, name)
		if score > best && !directory.left(name, now) {
			home, best = name, score
		}
	}
	return home
}

// Borrow implements account.Lenders.
func (client *Client) Borrow(ctx context.Context, name, program string, borrowing account.Borrowing) (account.Loan, error) {
	instance, ok := client.directory.named(name)
	if !ok {
		return account.Loan{}, &LendError{instance: name, detail: "left meanwhile"}
	}
	var answer borrowAnswer
	if err := client.call(ctx, instance, pathBorrow, &borrowMessage{Program: program, Borrowing: borrowing}, &answer); err != nil {
		return account.Loan{}, err
	}
	switch answer.Verdict {
	case verdictLent:
		return answer.Loan, nil
	case verdictSpent:
		return account.Loan{}, account.NewSpentError(program, borrowing.Total)
	case verdictHeld:
		return account.Loan{}, account.NewHeldError(program, answer.Detail)
	case verdictStopped:
		// Each borrower would grant by an account of its own until the home
		// has left: they agree on another one instead.
		client.directory.leaving(instance)
	}
	return account.Loan{}, &LendError{instance: name, detail: answer.Detail}
}

// Repay implements account.Lenders.
func (client *Client) Repay(ctx context.Context, name string, repayments []account.Repayment) error {
	instance, ok := client.directory.named(name)
	if !ok {
		return &LendError{instance: name, detail: "left meanwhile"}
	}
	return client.call(ctx, instance, pathRepay, &repayMessage{Repayments: repayments}, nil)
}

func (directory *Directory) named(name string) (Instance, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	instance, ok := directory.instances[name]
	return instance, ok
}

func (server *Server) borrow(w http.ResponseWriter, r *http.Request) {
	var message borrowMessage
	if !decode(w, r, &message) {
		return
	}
	answer := borrowAnswer{}
	var err error
	answer.Loan, err = server.Lender.Lend(r.Context(), message.Program, message.Borrowing)
	var spent *account.SpentError
	var held *account.HeldError
	var stopped *account.StoppedError
	switch {
	case errors.As(err, &stopped):
		answer.Verdict, answer.Detail = verdictStopped, err.Error()
	case errors.As(err, &spent):
		answer.Verdict = verdictSpent
	case errors.As(err, &held):
		answer.Verdict, answer.Detail = verdictHeld, held.Holders()
	case err != nil:
		answer.Verdict, answer.Detail = verdictUnknown, err.Error()
	case r.Context().Err() != nil:
		// Who asked has given up, and would not learn of the loan: left
		// standing it would count as spent.
		server.Lender.Repaid([]account.Repayment{{Loan: answer.Loan.ID}})
		return
	}
	server.reply(w, &answer)
}

func (server *Server) repay(w http.ResponseWriter, r *http.Request) {
	var message repayMessage
	if !decode(w, r, &message) {
		return
	}
	server.Lender.Repaid(message.Repayments)
	w.WriteHeader(http.StatusNoContent)
}
