package entrypeer

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

// Paths of the calls.
const (
	pathGiveBack = "/entry/give-back"
	pathStore    = "/entry/store"
	pathBorrow   = "/entry/borrow"
	pathRepay    = "/entry/repay"
	pathTurns    = "/entry/turns"
	pathCredit   = "/entry/credit"
	pathHandOver = "/entry/hand-over"
)

// giveBackMessage asks for what is held of a program's budget.
type giveBackMessage struct {
	Program string
}

// storeMessage asks for one call to the store; one field is set.
type storeMessage struct {
	Commit *store.Transaction
	Read   *store.Range
	Watch  *watchMessage
}

type watchMessage struct {
	Table string
	After uint64
	Wait  time.Duration
}

// storeAnswer is the answer of the store, or its failure.
type storeAnswer struct {
	Version uint64
	Page    store.Page
	Failed  bool
	Failure store.Failure
	Detail  string
	Rows    []store.Row
}

// failure returns the store's *store.Error, nil if it served the call.
func (answer *storeAnswer) failure() error {
	switch {
	case !answer.Failed:
		return nil
	case answer.Failure == store.FailureConflict:
		return store.NewConflict("relayed", answer.Rows)
	}
	return store.NewError(answer.Failure, "relayed", answer.Detail)
}
