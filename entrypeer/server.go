package entrypeer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// maxMessage bounds a message, in bytes: a transaction of a megabyte with
// room for its encoding.
const maxMessage = 4 << 20

// Server answers other entry instances.
type Server struct {
	// Store is reached by this instance itself, never through another: a
	// call goes one step at most.
	Store  store.Store
	Lender Lender
	Turns  TurnHolder
	Quotas CreditHome
	// Directory learns of instances that call before their entry is read.
	Directory *Directory
	Log       *slog.Logger
}

// Lender keeps accounts of programs, as *account.Keeper does.
type Lender interface {
	// GiveBack gives back what this instance holds of a program's budget.
	GiveBack(ctx context.Context, program string) error
	// Lend sets tokens aside for a turn at another instance.
	Lend(ctx context.Context, program string, borrowing account.Borrowing) (account.Loan, error)
	// Repaid settles loans.
	Repaid(repayments []account.Repayment)
}

// Handler returns the calls that other instances make.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathGiveBack, server.giveBack)
	mux.HandleFunc("POST "+pathStore, server.relay)
	mux.HandleFunc("POST "+pathBorrow, server.borrow)
	mux.HandleFunc("POST "+pathRepay, server.repay)
	mux.HandleFunc("POST "+pathTurns, server.turns)
	mux.HandleFunc("POST "+pathCredit, server.credit)
	mux.HandleFunc("POST "+pathHandOver, server.handOver)
	return mux
}

func (server *Server) giveBack(w http.ResponseWriter, r *http.Request) {
	var message giveBackMessage
	if !decode(w, r, &message) {
		return
	}
	if err := server.Lender.GiveBack(r.Context(), message.Program); err != nil {
		server.Log.Info("budget not given back to another instance", "program", message.Program, "err", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (server *Server) relay(w http.ResponseWriter, r *http.Request) {
	var message storeMessage
	if !decode(w, r, &message) {
		return
	}
	var answer storeAnswer
	var err error
	switch {
	case message.Commit != nil:
		answer.Version, err = server.Store.Commit(r.Context(), *message.Commit)
	case message.Read != nil:
		answer.Page, err = server.Store.Read(r.Context(), *message.Read)
	case message.Watch != nil:
		answer.Page, err = server.Store.Watch(r.Context(), message.Watch.Table, message.Watch.After, message.Watch.Wait)
	}
	var failure *store.Error
	if errors.As(err, &failure) {
		answer.Failed, answer.Failure, answer.Detail, answer.Rows = true, failure.Failure(), failure.Error(), failure.Rows()
	}
	server.reply(w, &answer)
}

func (server *Server) reply(w http.ResponseWriter, answer any) {
	body, err := codec.Marshal(answer)
	if err != nil {
		server.Log.Error("answer to another instance cannot be encoded", "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // the other instance may have given up
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	if err == nil {
		err = codec.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
