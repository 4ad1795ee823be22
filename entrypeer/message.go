package entrypeer

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

// Paths of the calls between entry instances.
const (
	pathGiveBack = "/entry/give-back"
	pathStore    = "/entry/store"
	pathBorrow   = "/entry/borrow"
	pathRepay    = "/entry/repay"
	pathTurns    = "/entry/turns"
	pathCredit   = "/entry/credit"
	pathHandOver = "/entry/hand-over"
	pathFeed     = "/entry/feed"
	pathBegin    = "/entry/begin"

	pathRecordOrigin = "/entry/record-origin"
	pathFindOrigin   = "/entry/find-origin"
	pathReports      = "/entry/crash-reports"
	pathFetchReports = "/entry/fetch-crash-reports"
	pathRecordGrant  = "/entry/record-grant"
	pathAnnounce     = "/entry/announce"
	pathDropGrants   = "/entry/drop-grants"
	pathTakeOver     = "/entry/take-over"
)

// giveBackRequest requests the release of the unused tokens that the receiver
// holds of a program's budget.
type giveBackRequest struct {
	Program string
}

// storeRequest requests one call to the store. Exactly one field is set.
type storeRequest struct {
	Commit *store.Transaction
	Read   *store.Range
	Watch  *watchRequest
}

// watchRequest holds the arguments of store.Store.Watch.
type watchRequest struct {
	Table string
	After uint64
	Wait  time.Duration
}

// storeResponse holds the store's result or its failure. Version is the result
// of a commit, Page that of a read or watch. Failure, Detail and Rows describe
// the failure if Failed is set.
type storeResponse struct {
	Version uint64
	Page    store.Page
	Failed  bool
	Failure store.Failure
	Detail  string
	Rows    []store.Row
}

// failure returns the failure as a *store.Error, and nil if the store served
// the call.
func (response *storeResponse) failure() error {
	switch {
	case !response.Failed:
		return nil
	case response.Failure == store.FailureConflict:
		return store.NewConflict("relayed", response.Rows)
	}
	return store.NewError(response.Failure, "relayed", response.Detail)
}
