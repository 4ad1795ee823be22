package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// Guards against tokens spent on a partial response. The caller cannot use it,
// and its next attempt has that much less budget.
func TestStreamWithPartialGrantIsHeldBack(t *testing.T) {
	b := newFixture(t)
	b.model.Events = 21
	i := b.startInstance()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), singleInstance{}, false))
	b.memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	response, body := i.mustSend(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", map[string]string{"X-Deadline-Ms": "900"})})
	assert.Equal(t, 502, response.StatusCode, "the turn has run, and its response must not look complete")
	assert.Contains(t, body, "StoreAway")
	assert.Zero(t, strings.Count(body, "data:"))
}

// sendWithCallerTimeout reads a response as callers do: it disconnects after
// callerEventTimeout without an event, and at its deadline. It returns the body
// read so far, and an error if that is incomplete.
func (i *instance) sendWithCallerTimeout(a callerRequest) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a.ctx = ctx
	a.client = &http.Client{Transport: &eventTimeoutTransport{abort: cancel, base: &http.Transport{DisableKeepAlives: true}}}
	_, body, err := i.send(a)
	return body, err
}

// eventTimeoutTransport aborts the request after callerEventTimeout without a
// byte of the response.
type eventTimeoutTransport struct {
	abort context.CancelFunc
	base  http.RoundTripper
}

// callerEventTimeout is how long a caller waits for the next event.
const callerEventTimeout = 2 * time.Second

// RoundTrip implements http.RoundTripper.
func (transport *eventTimeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	timer := time.AfterFunc(callerEventTimeout, transport.abort)
	response, err := transport.base.RoundTrip(r)
	if err == nil {
		response.Body = &eventTimeoutBody{ReadCloser: response.Body, timer: timer}
	}
	return response, err
}

// eventTimeoutBody restarts the timer whenever data arrives.
type eventTimeoutBody struct {
	io.ReadCloser
	timer *time.Timer
}

// Read implements io.Reader.
func (body *eventTimeoutBody) Read(p []byte) (int, error) {
	n, err := body.ReadCloser.Read(p)
	if n > 0 {
		body.timer.Reset(callerEventTimeout)
	}
	return n, err
}

// Guards against streams that started with a partial grant and break off
// because the store is unavailable for longer than the caller's event timeout.
func TestPartialGrantSurvivesStoreOutage(t *testing.T) {
	b := newFixture(t)
	b.model.Events, b.model.EventDelay = 21, 10*time.Millisecond // of 27 tokens each: the maximum of the turn
	logs := &lockedBuffer{}
	b.logs = logs
	i := b.startInstance()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), singleInstance{}, false))
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	time.AfterFunc(2500*time.Millisecond, func() {
		b.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	})
	body, err := i.sendWithCallerTimeout(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	require.NoError(t, err)
	assert.Equal(t, streamText("t1", 1, 21), body)
	assert.Contains(t, logs.String(), "held_back=true")
}

// Guards against complete responses that are lost because their callers
// disconnect while the store accepts no turns. The outage is longer than the
// caller's event timeout but shorter than its deadline.
func TestCompleteResponseSurvivesStoreOutage(t *testing.T) {
	b := newFixture(t)
	hanging := &hangingStore{Store: b.memory}
	b.store = store.NewHedged(hanging, clock.Real{})
	i := b.startInstance()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), singleInstance{}, false))
	hanging.hanging.Store(true)
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = i.sendWithCallerTimeout(callerRequest{path: "/keep/x", id: "t1", body: "x", header: turnHeaders("p1", map[string]string{"X-Token-Count": "100,100"})}) // may fail
	}()
	time.Sleep(200 * time.Millisecond) // a pending call makes the guard report a slow store
	time.AfterFunc(2300*time.Millisecond, func() { hanging.hanging.Store(false) })
	body, err := i.sendWithCallerTimeout(callerRequest{path: "/keep/x", id: "t2", body: "x", header: turnHeaders("p2", map[string]string{"X-Token-Count": "100,100"})})
	require.NoError(t, err)
	assert.Equal(t, streamText("t2", 1, 3), body)
	<-first
}

// Guards against a caller that disconnects while its endpoint pauses, although
// an event was held back that could have kept it connected.
func TestWithheldEventKeepsCallerDuringPause(t *testing.T) {
	b := newFixture(t)
	b.model.SetBehaviour(func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		return platformtest.Behaviour{StallAfterFirst: 2400 * time.Millisecond}
	})
	i := b.startInstance()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), singleInstance{}, false))
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	body, err := i.sendWithCallerTimeout(callerRequest{path: "/chat/x", id: "t1", body: "x", header: turnHeaders("p", nil)})
	require.NoError(t, err)
	assert.Equal(t, streamText("t1", 1, 3), body)
}
