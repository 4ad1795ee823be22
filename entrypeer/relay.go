package entrypeer

import (
	"context"
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// relayTimeout bounds a call to the store through another instance.
	relayTimeout = 600 * time.Millisecond
	// relayTries is how many other instances are asked for one call.
	relayTries = 2
)

// Relay is a store that is reached through other instances while this one's
// own way to it fails. A call that had no answer here is made again there:
// its conditions see to it that it is not done twice, as for any call that
// is repeated. While the own way answers other calls it is no use: the call
// waits in a partition that is busy, and a second one would wait behind it.
type Relay struct {
	direct *store.Guard
	client *Client
}

// NewRelay returns a relay over this instance's own way.
func NewRelay(direct *store.Guard, client *Client) *Relay {
	return &Relay{direct: direct, client: client}
}

// Commit implements store.Store.
func (relay *Relay) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	began := time.Now()
	version, err := relay.direct.Commit(ctx, tx)
	if !store.Unserved(err) || relay.direct.AnsweredSince(began) {
		return version, err
	}
	answer, err := relay.through(ctx, &storeMessage{Commit: &tx}, relayTimeout, err)
	return answer.Version, err
}

// Read implements store.Store.
func (relay *Relay) Read(ctx context.Context, r store.Range) (store.Page, error) {
	began := time.Now()
	page, err := relay.direct.Read(ctx, r)
	if !store.Unserved(err) || relay.direct.AnsweredSince(began) {
		return page, err
	}
	answer, err := relay.through(ctx, &storeMessage{Read: &r}, relayTimeout, err)
	return answer.Page, err
}

// Watch implements store.Store.
func (relay *Relay) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	err := error(store.NewError(store.FailureRefused, "watch", "the store is away"))
	if !relay.direct.Away("") {
		var page store.Page
		if page, err = relay.direct.Watch(ctx, table, after, wait); !store.Unserved(err) {
			return page, err
		}
	}
	answer, err := relay.through(ctx, &storeMessage{Watch: &watchMessage{Table: table, After: after, Wait: wait}}, wait+relayTimeout, err)
	return answer.Page, err
}

// through makes a call through other instances. If none serves it, the
// failure of the own way stands, unless one of them may have done what was asked:
// then the call counts as unanswered.
func (relay *Relay) through(ctx context.Context, message *storeMessage, timeout time.Duration, own error) (storeAnswer, error) {
	for _, instance := range relay.client.directory.some(relayTries) {
		if ctx.Err() != nil {
			break
		}
		answer, err := relay.ask(ctx, instance, message, timeout)
		failure := answer.failure()
		if ctx.Err() == nil {
			relay.client.directory.relayed(instance, err == nil && !store.Unserved(failure))
		}
		switch {
		case err != nil && isDial(err):
		case err != nil:
			own = store.NewError(store.FailureUnanswered, "relayed", err.Error())
		case !store.Unserved(failure):
			return answer, failure
		case answer.Failure == store.FailureUnanswered:
			own = failure
		}
	}
	return storeAnswer{}, own
}

func (relay *Relay) ask(ctx context.Context, instance Instance, message *storeMessage, timeout time.Duration) (storeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer storeAnswer
	err := relay.client.call(ctx, instance, pathStore, message, &answer)
	return answer, err
}
