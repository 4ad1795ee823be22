package entrypeer

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// QuotaHome serves requests for the quotas of organisations whose home this
// instance is. *quota.Limiter implements it.
type QuotaHome interface {
	// CreditResponse serves a request of another instance for an organisation's quota.
	// It returns quota.ErrNotHome or quota.ErrStopping if this instance cannot
	// serve as the home.
	CreditResponse(ctx context.Context, question quota.HomeRequest) (quota.CreditResponse, error)
	// Transfer exchanges token buckets with another home: it takes over the
	// balances in transfer and returns the wanted ones.
	Transfer(transfer quota.Transfer) (quota.Transfer, error)
}

// creditRequest is the encoding of a quota.HomeRequest. One is sent for most
// requests of callers, so it is kept short: the fields are encoded by position,
// without their names. The fields are those of quota.HomeRequest, quota.Limit and
// quota.CreditRequest.
type creditRequest struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Rate, Burst  float64
	Version      uint64
	Instance     string
	Program      uint64
	New          bool
	MaxWait      time.Duration
	Remaining    int
	Ahead        int
	Returned     int
	Hops         int
}

// maxCredit bounds each amount of credit in a request, in requests of callers.
const maxCredit = 1 << 16

// isValid reports whether all fields are within the range that an instance
// sends.
func (message *creditRequest) isValid() bool {
	for _, number := range []float64{message.Rate, message.Burst} {
		if !(number >= 0 && number <= math.MaxInt32) {
			return false
		}
	}
	for _, amount := range []int{message.Remaining + 1, message.Ahead, message.Returned, message.Hops} {
		if amount < 0 || amount > maxCredit {
			return false
		}
	}
	return message.Organisation != "" && message.MaxWait <= time.Minute
}

// creditResponse is the encoding of a quota.CreditResponse. Its fields are encoded by
// position.
type creditResponse struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	Wait    time.Duration
	Ahead   int
	Level   float32
}

// transferRequest is a quota.Transfer together with the sending instance's
// directory entry, which the receiver may not have read yet if the sender has
// just joined.
type transferRequest struct {
	Name     string
	Instance Instance
	Transfer quota.Transfer
}

// maxHomeCandidates is the number of instances returned as candidates for an
// organisation's home: the home, the next in rank, and one more in case either
// is unreachable.
const maxHomeCandidates = 3

// RequestCredit implements quota.Peers. A timeout does not exclude the instance
// from other calls; a refused connection, which shows that its process has
// terminated, does. It returns an *UnavailableError if the directory has no
// instance called name.
func (client *Client) RequestCredit(ctx context.Context, name string, question quota.HomeRequest) (quota.CreditResponse, error) {
	instance, ok := client.directory.byName(name)
	if !ok {
		return quota.CreditResponse{}, &UnavailableError{instance: name}
	}
	ask := question.CreditRequest
	message := creditRequest{Organisation: question.Organisation, Rate: question.Limit.Rate, Burst: question.Limit.Burst, Version: question.Limit.Version,
		Instance: ask.Instance, Program: ask.Program, New: ask.New, MaxWait: ask.MaxWait, Remaining: ask.Remaining, Ahead: ask.Ahead, Returned: ask.Returned, Hops: question.Hops}
	var response creditResponse
	if err := client.exchange(ctx, instance, pathCredit, &message, &response); err != nil {
		err = readQuotaError(err)
		if errors.Is(err, quota.ErrNotRunning) {
			client.directory.markFailed(instance, false)
		}
		return quota.CreditResponse{}, err
	}
	return quota.CreditResponse{Granted: response.Granted, Wait: response.Wait, Ahead: response.Ahead, Level: float64(response.Level)}, nil
}

// handleCredit serves a request for quota credit.
func (server *Server) handleCredit(w http.ResponseWriter, r *http.Request) {
	var message creditRequest
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "quota request has a field out of range", http.StatusBadRequest)
		return
	}
	response, err := server.Quotas.CreditResponse(r.Context(), quota.HomeRequest{
		Organisation:  message.Organisation,
		Limit:         quota.Limit{Rate: message.Rate, Burst: message.Burst, Version: message.Version},
		CreditRequest: quota.CreditRequest{Instance: message.Instance, Program: message.Program, New: message.New, MaxWait: message.MaxWait, Remaining: message.Remaining, Ahead: message.Ahead, Returned: message.Returned},
		Hops:          message.Hops,
	})
	if err != nil {
		writeQuotaError(w, err)
		return
	}
	server.reply(w, &creditResponse{Granted: response.Granted, Wait: response.Wait, Ahead: response.Ahead, Level: float32(response.Level)})
}

// TransferBuckets implements quota.Peers. It sends transfer to the instance called
// name and returns the buckets transferred in return. It returns an
// *UnavailableError if the directory has no such instance.
func (client *Client) TransferBuckets(ctx context.Context, name string, transfer quota.Transfer) (quota.Transfer, error) {
	instance, ok := client.directory.byName(name)
	if !ok {
		return quota.Transfer{}, &UnavailableError{instance: name}
	}
	var received quota.Transfer
	err := client.exchange(ctx, instance, pathHandOver, &transferRequest{Name: client.directory.self.Name, Instance: client.directory.self, Transfer: transfer}, &received)
	return received, readQuotaError(err)
}

// writeQuotaError responds with the status that stands for err: 410 for
// quota.ErrStopping, 421 for anything else. readQuotaError is its inverse.
func writeQuotaError(w http.ResponseWriter, err error) {
	status := http.StatusMisdirectedRequest
	if errors.Is(err, quota.ErrStopping) {
		status = http.StatusGone
	}
	http.Error(w, err.Error(), status)
}

// readQuotaError returns the error that the home passed to writeQuotaError,
// quota.ErrNotRunning for a call whose connection was refused, and any other
// err unchanged.
func readQuotaError(err error) error {
	var status *StatusError
	isStatus := errors.As(err, &status)
	switch {
	case isStatus && status.status == http.StatusMisdirectedRequest:
		return quota.ErrNotHome
	case isStatus && status.status == http.StatusGone:
		return quota.ErrStopping
	case errors.Is(err, syscall.ECONNREFUSED):
		return quota.ErrNotRunning
	}
	return err
}

// handleTransfer serves a transfer of token buckets. It first records the
// sending instance, whose entry may not have been read yet.
func (server *Server) handleTransfer(w http.ResponseWriter, r *http.Request) {
	var message transferRequest
	if !decode(w, r, &message) {
		return
	}
	if server.Directory != nil {
		message.Instance.Name = store.Name(message.Name)
		server.Directory.Observe(message.Instance)
	}
	returned, err := server.Quotas.Transfer(message.Transfer)
	if err != nil {
		writeQuotaError(w, err)
		return
	}
	server.reply(w, &returned)
}

// Self implements quota.Peers.
func (client *Client) Self() string { return client.directory.selfKey().Name }

// JoinedAt implements quota.Peers.
func (client *Client) JoinedAt(name string) time.Time {
	directory := client.directory
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.joinedAt[name]
}

// StableFor implements quota.Peers.
func (client *Client) StableFor() time.Duration {
	directory := client.directory
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.clock.Now().Sub(directory.changedAt)
}

// Homes implements quota.Peers. It ranks the instances by rendezvous hashing.
func (client *Client) Homes(organisation string, all bool) []string {
	return client.directory.homes(organisation, all)
}

// homes returns up to maxHomeCandidates instances ranked by
// their rendezvous score for organisation. Excluded instances are left out
// unless all is set, and so is this one while it is not listed: the others don't consider it.
func (directory *Directory) homes(organisation string, all bool) []string {
	type candidate struct {
		name  string
		score uint64
	}
	var best [maxHomeCandidates + 1]candidate
	n := 0
	hash := xxhash.Sum64String(organisation)
	consider := func(name string) {
		best[n] = candidate{name: name, score: mixBits(hash ^ xxhash.Sum64String(name))}
		n++
		slices.SortFunc(best[:n], func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		n = min(n, maxHomeCandidates)
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	if directory.listed != 0 {
		consider(directory.selfKey().Name)
	}
	for name := range directory.instances {
		if name != directory.selfKey().Name && (all || !directory.isExcluded(name, now)) {
			consider(name)
		}
	}
	names := make([]string, 0, maxHomeCandidates)
	for _, candidate := range best[:n] {
		names = append(names, candidate.name)
	}
	return names
}

// mixBits is the finaliser of MurmurHash3: each bit of hash affects all bits of
// the result.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
