package entrypeer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// maxMessageBytes bounds the size of a message: a transaction of 1 MB with
// ample room for its encoding.
const maxMessageBytes = 4 << 20

// Server serves the calls of other entry instances.
type Server struct {
	// Store is this instance's direct connection to the store, never a Relay,
	// so that a call is relayed at most once.
	Store  store.Store
	Lender Lender
	// Witness records the grants of other instances' escrows.
	Witness WitnessServer
	Turns   TurnCache
	Quotas  QuotaHome
	// Origins holds the origins of streams that other instances recorded here.
	Origins Origins
	// Crashes receives reports of endpoints that crashed, which are passed on through
	// Client.
	Crashes CrashReports
	Client  *Client
	// Programs decides which programs begin, and Loads holds the loads of instances.
	Programs ProgramAdmission
	Loads    LoadMeter
	// Rejected counts invalid requests for the admission of a program.
	Rejected tally.Counter
	// Tables holds the followed tables that other instances may read from this
	// one, by name.
	Tables map[string]*feed.Replica
	// Directory, unless nil, records instances that call before their entry has
	// been read.
	Directory *Directory
	Log       *slog.Logger

	// polls counts the requests for tables in progress.
	polls atomic.Int32
}

// Lender manages the accounts of programs. *account.Manager implements it.
type Lender interface {
	// ReleaseUnused releases the unused tokens that this instance holds of a
	// program's budget.
	ReleaseUnused(ctx context.Context, program string) error
	// Lend reserves tokens for a turn that another instance serves. It returns
	// an *account.SpentError, *account.HeldError or *account.StoppedError if it
	// grants none, and another error if it cannot decide.
	Lend(ctx context.Context, program string, borrowing account.Borrowing) (account.Loan, error)
	// SettleLoans records the final usage of loans.
	SettleLoans(repayments []account.Repayment)
}

// Handler returns the HTTP handler of the calls.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathGiveBack, server.handleGiveBack)
	mux.HandleFunc("POST "+pathStore, server.handleStore)
	mux.HandleFunc("POST "+pathBorrow, server.handleBorrow)
	mux.HandleFunc("POST "+pathRepay, server.handleRepay)
	mux.HandleFunc("POST "+pathTurns, server.handleTurns)
	mux.HandleFunc("POST "+pathCredit, server.handleCredit)
	mux.HandleFunc("POST "+pathHandOver, server.handleTransfer)
	mux.HandleFunc("POST "+pathFeed, server.handleFeed)
	mux.HandleFunc("POST "+pathBegin, server.handleBegin)
	mux.HandleFunc("POST "+pathRecordOrigin, server.handleRecordOrigin)
	mux.HandleFunc("POST "+pathFindOrigin, server.handleFindOrigin)
	mux.HandleFunc("POST "+pathReports, server.handleReports)
	mux.HandleFunc("POST "+pathFetchReports, server.handleFetchReports)
	mux.HandleFunc("POST "+pathRecordGrant, server.handleRecordGrant)
	mux.HandleFunc("POST "+pathAnnounce, server.handleAnnounce)
	mux.HandleFunc("POST "+pathDropGrants, server.handleDropGrants)
	mux.HandleFunc("POST "+pathTakeOver, server.handleTakeOver)
	return mux
}

// handleGiveBack serves the release of a program's unused tokens. It responds
// with 503 if they could not be released.
func (server *Server) handleGiveBack(w http.ResponseWriter, r *http.Request) {
	var message giveBackRequest
	if !decode(w, r, &message) {
		return
	}
	if err := server.Lender.ReleaseUnused(r.Context(), message.Program); err != nil {
		server.Log.Info("budget tokens not released for another instance; responding with status 503", "program", message.Program, "err", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleStore serves a relayed store call. A failure of the store is part of a
// 200 response.
func (server *Server) handleStore(w http.ResponseWriter, r *http.Request) {
	var message storeRequest
	if !decode(w, r, &message) {
		return
	}
	var response storeResponse
	var err error
	switch {
	case message.Commit != nil:
		response.Version, err = server.Store.Commit(r.Context(), *message.Commit)
	case message.Read != nil:
		response.Page, err = server.Store.Read(r.Context(), *message.Read)
	case message.Watch != nil:
		response.Page, err = server.Store.Watch(r.Context(), message.Watch.Table, message.Watch.After, message.Watch.Wait)
	}
	var failure *store.Error
	if errors.As(err, &failure) {
		response.Failed, response.Failure, response.Detail, response.Rows = true, failure.Failure(), failure.Error(), failure.Rows()
	}
	server.reply(w, &response)
}

// reply writes response with status 200, or status 500 if it cannot be encoded.
func (server *Server) reply(w http.ResponseWriter, response any) {
	body, err := codec.Marshal(response)
	if err != nil {
		server.Log.Error("cannot encode the response to another instance; responding with status 500", "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // a write fails if the caller has closed the connection
}

// decode decodes the request's body into result. If that fails it responds with
// 400, or 503 if there is no room for the body, and returns false.
func decode(w http.ResponseWriter, r *http.Request, result any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err == nil {
		err = codec.Unmarshal(body, result)
	}
	if connlimit.IsRefused(err) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return false
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
