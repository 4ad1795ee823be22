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

// Guards against tokens that are spent on a part of an answer: a caller can do
// nothing with it, and its next try finds that much less of the budget.
func TestAnswerThatMayNotEndIsHeldBack(t *testing.T) {
	b := newBed(t)
	b.model.Events = 21
	i := b.start()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), alone{}, false))
	b.memory.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
	response, body := i.must(ask{path: "/chat/x", id: "t1", body: "x", header: turnOf("p", map[string]string{"X-Deadline-Ms": "900"})})
	assert.Equal(t, 502, response.StatusCode, "it has run, and may not be told to be whole")
	assert.Contains(t, body, "StoreAway")
	assert.Zero(t, strings.Count(body, "data:"))
}

// patient reads an answer as callers do: one leaves after two seconds without an
// event, or at its deadline. It returns the body, and an error if that is not
// whole.
func (i *instance) patient(a ask) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a.ctx = ctx
	a.client = &http.Client{Transport: &watchedTransport{leave: cancel, base: &http.Transport{DisableKeepAlives: true}}}
	_, body, err := i.send(a)
	return body, err
}

// watchedTransport has a caller leave after callerPatience without a byte.
type watchedTransport struct {
	leave context.CancelFunc
	base  http.RoundTripper
}

const callerPatience = 2 * time.Second

func (transport *watchedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	timer := time.AfterFunc(callerPatience, transport.leave)
	response, err := transport.base.RoundTrip(r)
	if err == nil {
		response.Body = &watchedBody{ReadCloser: response.Body, timer: timer}
	}
	return response, err
}

type watchedBody struct {
	io.ReadCloser
	timer *time.Timer
}

func (body *watchedBody) Read(p []byte) (int, error) {
	n, err := body.ReadCloser.Read(p)
	if n > 0 {
		body.timer.Reset(callerPatience)
	}
	return n, err
}

// Guards against streams that began with a part of their budget and break off
// while the store is away for longer than a caller waits for an event.
func TestStreamWithPartOfItsBudgetOutlastsAnOutage(t *testing.T) {
	b := newBed(t)
	b.model.Events, b.model.Pause = 21, 10*time.Millisecond // of 27 tokens: the most of the turn
	logs := &lockedBuffer{}
	b.logs = logs
	i := b.start()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), alone{}, false))
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	time.AfterFunc(2500*time.Millisecond, func() {
		b.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	})
	body, err := i.patient(ask{path: "/chat/x", id: "t1", body: "x", header: turnOf("p", nil)})
	require.NoError(t, err)
	assert.Equal(t, events("t1", 1, 21), body)
	assert.Contains(t, logs.String(), "held_back=true")
}

// Guards against whole answers that are lost since their callers leave while the
// store takes no turn: for longer than they wait for an event, not than they wait
// in all.
func TestWholeAnswerOutlastsAnOutage(t *testing.T) {
	b := newBed(t)
	silent := &silentStore{Store: b.memory}
	b.store = store.NewPersistent(silent, clock.Real{})
	i := b.start()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), alone{}, false))
	silent.silent.Store(true)
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = i.patient(ask{path: "/keep/x", id: "t1", body: "x", header: turnOf("p1", map[string]string{"X-Token-Count": "100,100"})}) // may be lost
	}()
	time.Sleep(200 * time.Millisecond) // a call waits: the store is found slow
	time.AfterFunc(2300*time.Millisecond, func() { silent.silent.Store(false) })
	body, err := i.patient(ask{path: "/keep/x", id: "t2", body: "x", header: turnOf("p2", map[string]string{"X-Token-Count": "100,100"})})
	require.NoError(t, err)
	assert.Equal(t, events("t2", 1, 3), body)
	<-first
}

// Guards against a caller that leaves an endpoint which pauses, while an event that it
// was not given yet is held back.
func TestHeldEventKeepsCallerOfEndpointThatPauses(t *testing.T) {
	b := newBed(t)
	b.model.Behave(func(*platformtest.Run) platformtest.Behaviour {
		return platformtest.Behaviour{Stall: 2400 * time.Millisecond}
	})
	i := b.start()
	require.NoError(t, i.accounts.AcquireOnce(context.Background(), alone{}, false))
	b.memory.SetFault(func(op, _ string) storetest.Fault {
		if op == "commit" {
			return storetest.Refuse
		}
		return storetest.None
	})
	body, err := i.patient(ask{path: "/chat/x", id: "t1", body: "x", header: turnOf("p", nil)})
	require.NoError(t, err)
	assert.Equal(t, events("t1", 1, 3), body)
}
