package entrypeer

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// relayTimeout bounds a store call through another instance. A watch gets
	// its wait in addition.
	relayTimeout = 600 * time.Millisecond
	// servingPeriod is how long the direct connection counts as serving calls
	// after a response.
	servingPeriod = 400 * time.Millisecond
	// maxRelayAttempts is the number of other instances tried for one call.
	maxRelayAttempts = 2
)

// Relay is a store that falls back to other instances while the direct
// connection of this instance to the store fails. A call without a response is
// repeated through them. As with any repeated call, the conditions of a
// transaction prevent it from being applied twice.
//
// There is no fallback while the direct connection still serves other calls:
// the call is then waiting in an overloaded partition, and a second one would
// wait behind it.
type Relay struct {
	direct *store.Guard
	client *Client
}

// NewRelay returns a Relay that tries direct first and then the instances known
// to client.
func NewRelay(direct *store.Guard, client *Client) *Relay {
	return &Relay{direct: direct, client: client}
}

// Commit implements store.Store.
func (relay *Relay) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	startedAt := time.Now()
	version, err := relay.direct.Commit(ctx, tx)
	if !store.Unserved(err) || relay.isServing(startedAt) {
		return version, err
	}
	response, err := relay.viaPeers(ctx, &storeRequest{Commit: &tx}, relayTimeout, err)
	return response.Version, err
}

// Read implements store.Store.
func (relay *Relay) Read(ctx context.Context, r store.Range) (store.Page, error) {
	startedAt := time.Now()
	page, err := relay.direct.Read(ctx, r)
	if !store.Unserved(err) || relay.isServing(startedAt) {
		return page, err
	}
	response, err := relay.viaPeers(ctx, &storeRequest{Read: &r}, relayTimeout, err)
	return response.Page, err
}

// isServing reports whether the direct connection served another call since
// startedAt, and lately. A response right after startedAt, such as that of a watch
// that was waiting, says nothing about the silence that followed.
func (relay *Relay) isServing(startedAt time.Time) bool {
	recently := time.Now().Add(-servingPeriod)
	if startedAt.After(recently) {
		recently = startedAt
	}
	return relay.direct.RespondedSince(recently)
}

// Watch implements store.Store. While the direct connection is unavailable it
// goes to other instances at once.
func (relay *Relay) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	err := error(store.NewError(store.FailureRefused, "watch", "store unavailable on the direct connection"))
	if !relay.direct.Unavailable("") {
		var page store.Page
		if page, err = relay.direct.Watch(ctx, table, after, wait); !store.Unserved(err) {
			return page, err
		}
	}
	response, err := relay.viaPeers(ctx, &storeRequest{Watch: &watchRequest{Table: table, After: after, Wait: wait}}, wait+relayTimeout, err)
	return response.Page, err
}

// viaPeers makes a call through other instances, one after the other. If none
// serves it, it returns localErr, the failure of the direct connection, unless
// one of them may have executed the call: then it returns a
// store.FailureUnanswered.
func (relay *Relay) viaPeers(ctx context.Context, message *storeRequest, timeout time.Duration, localErr error) (storeResponse, error) {
	for _, instance := range relay.client.directory.relayCandidates(maxRelayAttempts) {
		if ctx.Err() != nil {
			break
		}
		response, err := relay.callPeer(ctx, instance, message, timeout)
		failure := response.failure()
		if ctx.Err() == nil {
			relay.client.directory.recordRelay(instance, err == nil && !store.Unserved(failure))
		}
		switch {
		case err != nil && isDialError(err):
		case err != nil:
			localErr = store.NewError(store.FailureUnanswered, "relayed", err.Error())
		case !store.Unserved(failure):
			return response, failure
		case response.Failure == store.FailureUnanswered:
			localErr = failure
		}
	}
	return storeResponse{}, localErr
}

// callPeer makes one store call through instance, bounded by timeout.
func (relay *Relay) callPeer(ctx context.Context, instance Instance, message *storeRequest, timeout time.Duration) (storeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response storeResponse
	err := relay.client.call(ctx, instance, pathStore, message, &response)
	return response, err
}
