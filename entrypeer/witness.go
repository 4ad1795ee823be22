package entrypeer

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/budget"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// maxWitnessText bounds each text of a message in bytes.
const maxWitnessText = 1 << 10

// recordGrantRequest requests that the receiver records a grant of the sender's escrow.
// Most programs take one or more, so its fields are encoded by position.
type recordGrantRequest struct {
	_       struct{} `cbor:",toarray"`
	Witness string
	Shard   int
	Version uint64
	Program string
	Tokens  int64
}

// isValid reports whether all fields are within the range that an instance sends.
func (message *recordGrantRequest) isValid() bool {
	return len(message.Witness) <= maxWitnessText && message.Shard >= 0 && message.Shard < budget.Shards && message.Program != "" && len(message.Program) <= maxWitnessText && message.Tokens >= 0
}

// announceRequest tells the receiver that the sender runs, and of which of its escrows the
// receiver is the witness.
type announceRequest struct {
	Witness, Holder string
	Shards          []account.WitnessedShard
}

// isValid reports whether all fields are within the range that an instance sends.
func (message *announceRequest) isValid() bool {
	for _, shard := range message.Shards {
		if shard.Shard < 0 || shard.Shard >= budget.Shards || shard.Account == "" || len(shard.Account) > maxWitnessText {
			return false
		}
	}
	return len(message.Witness) <= maxWitnessText && message.Holder != "" && len(message.Holder) <= maxWitnessText
}

// dropGrantsRequest requests that the receiver drops records of grants.
type dropGrantsRequest struct {
	Witness string
	Grants  []account.WitnessedGrant
}

// takeOverRequest requests that the receiver releases the escrow of another instance, of
// which it is the witness.
type takeOverRequest struct {
	Witness, Account string
	Shards           []int
}

// isValid reports whether all fields are within the range that an instance sends.
func (message *takeOverRequest) isValid() bool {
	if len(message.Shards) == 0 || len(message.Shards) > budget.Shards || len(message.Witness) > maxWitnessText || message.Account == "" || len(message.Account) > maxWitnessText {
		return false
	}
	for _, shard := range message.Shards {
		if shard < 0 || shard >= budget.Shards {
			return false
		}
	}
	return true
}

// witnessRefusal is the body of a response that refuses a request to a witness.
type witnessRefusal struct {
	Reason account.WitnessRefusal
}

// WitnessServer records the grants of other instances. *account.Manager implements it.
type WitnessServer interface {
	// RecordGrant records a grant. It returns an *account.WitnessRefusedError if the
	// escrow may not grant it.
	RecordGrant(witness string, grant account.WitnessedGrant) error
	// Announce records that the holder of escrows runs. It returns an
	// *account.WitnessRefusedError if one of them has ended.
	Announce(witness, holder string, shards []account.WitnessedShard) error
	// DropGrants drops the records of grants. It returns an
	// *account.WitnessRefusedError if this is not their witness.
	DropGrants(witness string, grants []account.WitnessedGrant) error
	// TakeOver releases the escrow of an account in shards. It returns an
	// *account.WitnessRefusedError if this is not its witness, and another error if it
	// could not be released.
	TakeOver(ctx context.Context, witness, account string, shards []int) error
}

// Witness implements account.Witnesses. The witness is the first reachable instance by
// rendezvous hashing, of another data centre if there is one.
func (client *Client) Witness(avoid func(owner string) bool) string {
	return client.directory.witness(avoid)
}

// witness implements Client.Witness.
func (directory *Directory) witness(avoid func(owner string) bool) string {
	key := budget.Shard(directory.self.Name)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	var best Instance
	var bestScore uint64
	for name, instance := range directory.instances {
		if directory.isExcluded(name, now) || avoid(instance.Owner) {
			continue
		}
		isRemote, isBestRemote := instance.DataCentre != directory.self.DataCentre, best.Owner != "" && best.DataCentre != directory.self.DataCentre
		score := budget.Score(key, name)
		if best.Owner == "" || isRemote && !isBestRemote || isRemote == isBestRemote && score > bestScore {
			best, bestScore = instance, score
		}
	}
	return best.Owner
}

// IsCurrent implements account.Witnesses.
func (client *Client) IsCurrent(owner string) bool {
	_, ok := client.directory.byOwner(owner)
	return ok
}

// byOwner returns the instance whose recorded incarnation has the given owner name.
func (directory *Directory) byOwner(owner string) (Instance, bool) {
	parsed, ok := parseOwner(owner)
	if !ok {
		return Instance{}, false
	}
	instance, ok := directory.instance(store.Name(parsed.instance))
	return instance, ok && instance.Owner == owner
}

// RecordGrant implements account.Witnesses. A witness that does not respond in time stays
// a home for other calls.
func (client *Client) RecordGrant(ctx context.Context, witness string, grant account.WitnessedGrant) error {
	message := &recordGrantRequest{Witness: witness, Shard: grant.Shard, Version: grant.Version, Program: grant.Program, Tokens: grant.Tokens}
	if !message.isValid() {
		return &MessageError{field: "program"}
	}
	return client.callWitness(ctx, witness, pathRecordGrant, message)
}

// Announce implements account.Witnesses.
func (client *Client) Announce(ctx context.Context, witness, holder string, shards []account.WitnessedShard) error {
	return client.callWitness(ctx, witness, pathAnnounce, &announceRequest{Witness: witness, Holder: holder, Shards: shards})
}

// DropGrants implements account.Witnesses.
func (client *Client) DropGrants(ctx context.Context, witness string, grants []account.WitnessedGrant) error {
	return client.callWitness(ctx, witness, pathDropGrants, &dropGrantsRequest{Witness: witness, Grants: grants})
}

// TakeOver implements account.Witnesses.
func (client *Client) TakeOver(ctx context.Context, witness, account string, shards []int) error {
	return client.callWitness(ctx, witness, pathTakeOver, &takeOverRequest{Witness: witness, Account: account, Shards: shards})
}

// callWitness makes one call to a witness. It returns an *account.WitnessRefusedError if
// the witness refused, an *UnavailableError if its incarnation is not recorded, and else
// the errors of exchange.
func (client *Client) callWitness(ctx context.Context, witness, path string, message any) error {
	instance, ok := client.directory.byOwner(witness)
	if !ok {
		return &UnavailableError{instance: witness}
	}
	err := client.exchange(ctx, instance, path, message, nil)
	var statusErr *StatusError
	if !errors.As(err, &statusErr) || statusErr.status != http.StatusConflict {
		return err
	}
	var refusal witnessRefusal
	if err := codec.Unmarshal([]byte(statusErr.detail), &refusal); err != nil {
		return eris.Wrapf(err, "decode refusal of instance %s", instance.Name)
	}
	return account.NewWitnessRefusedError(refusal.Reason)
}

// handleRecordGrant serves a recordGrantRequest. It responds with 409 if the grant is
// refused.
func (server *Server) handleRecordGrant(w http.ResponseWriter, r *http.Request) {
	var message recordGrantRequest
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "field out of range", http.StatusBadRequest)
		return
	}
	server.replyWitness(w, server.Witness.RecordGrant(message.Witness, account.WitnessedGrant{Shard: message.Shard, Version: message.Version, Program: message.Program, Tokens: message.Tokens}))
}

// handleAnnounce serves an announceRequest. It responds with 409 if an escrow has ended.
func (server *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var message announceRequest
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "field out of range", http.StatusBadRequest)
		return
	}
	server.replyWitness(w, server.Witness.Announce(message.Witness, message.Holder, message.Shards))
}

// handleDropGrants serves a dropGrantsRequest.
func (server *Server) handleDropGrants(w http.ResponseWriter, r *http.Request) {
	var message dropGrantsRequest
	if decode(w, r, &message) {
		server.replyWitness(w, server.Witness.DropGrants(message.Witness, message.Grants))
	}
}

// handleTakeOver serves a takeOverRequest. It responds with 409 if this instance is not the
// witness, and with 503 if the escrow could not be released.
func (server *Server) handleTakeOver(w http.ResponseWriter, r *http.Request) {
	var message takeOverRequest
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "field out of range", http.StatusBadRequest)
		return
	}
	server.replyWitness(w, server.Witness.TakeOver(r.Context(), message.Witness, message.Account, message.Shards))
}

// replyWitness responds with the result of a witness.
func (server *Server) replyWitness(w http.ResponseWriter, err error) {
	var refused *account.WitnessRefusedError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &refused):
		body, err := codec.Marshal(&witnessRefusal{Reason: refused.Reason()})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(body) // a write fails if the caller has closed the connection
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
