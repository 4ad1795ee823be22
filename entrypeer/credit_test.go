package entrypeer_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// All instances agree on the home of an organisation, and together grant no
// more than one quota, whichever instance a request for credit comes through.
func TestQuotaSharedByAllInstances(t *testing.T) {
	memory := storetest.New()
	fleet := []*instance{start(t, memory, "a"), start(t, memory, "b"), start(t, memory, "c")}
	require.Eventually(t, func() bool {
		for _, i := range fleet {
			if len(i.client.Homes("x", true)) != len(fleet) {
				return false
			}
		}
		return true
	}, time.Second, 5*time.Millisecond)
	homes := map[string]bool{}
	for n := range 50 {
		organisation := fmt.Sprint("x", n)
		want := fleet[0].client.Homes(organisation, false)
		homes[want[0]] = true
		for _, i := range fleet {
			assert.Equal(t, want, i.client.Homes(organisation, true))
		}
	}
	assert.Len(t, homes, len(fleet), "organisations have homes at all instances")
	time.Sleep(1100 * time.Millisecond) // lets the bucket fill
	granted := 0
	limit := quota.Limit{Rate: 20, Burst: 20, Version: 1}
	for n := range 120 {
		wait, err := fleet[n%3].quotas.Take(context.Background(), "x", limit, quota.Request{})
		var exhausted *quota.ExhaustedError
		switch {
		case err == nil && wait == 0:
			granted++
		default:
			require.ErrorAs(t, err, &exhausted)
			assert.Positive(t, exhausted.RetryAfter())
		}
	}
	assert.GreaterOrEqual(t, granted, 20)
	assert.LessOrEqual(t, granted, 45, "the burst, half of the tolerance, and the refill during the loop")
}

// Guards against granting a quota twice while the news of a joining instance
// spreads. The instance that joined takes the bucket over, and the previous
// home forwards requests to it.
func TestJoiningInstanceTakesOverBucket(t *testing.T) {
	memory := storetest.New()
	a, b := start(t, memory, "a"), start(t, memory, "b")
	require.Eventually(t, func() bool { return len(a.client.Homes("x", true)) == 2 && len(b.client.Homes("x", true)) == 2 }, time.Second, 5*time.Millisecond)
	first, second := a, b
	if a.client.Homes("x", true)[0] == "b" {
		first, second = b, a
	}
	limit := quota.Limit{Rate: 1, Burst: 100, Version: 1}
	_, err := second.quotas.Transfer(quota.Transfer{From: "before", Balances: map[string]quota.Balance{"x": {Limit: limit, Level: 5}}})
	require.NoError(t, err)
	granted := 0
	for range 20 {
		if _, err := first.quotas.Take(context.Background(), "x", limit, quota.Request{}); err == nil {
			granted++
		}
		if _, err := second.quotas.Take(context.Background(), "x", limit, quota.Request{}); err == nil {
			granted++
		}
	}
	assert.GreaterOrEqual(t, granted, 4)
	assert.LessOrEqual(t, granted, 6)
}

// Guards against ignoring a call from an instance whose entry has not been read
// yet, and against an earlier incarnation replacing a later one.
func TestCallRecordsUnknownInstance(t *testing.T) {
	memory := storetest.New()
	a := start(t, memory, "a")
	start(t, memory, "b")
	require.Eventually(t, func() bool { return len(a.client.Homes("x", true)) == 2 }, time.Second, 5*time.Millisecond, "the directory has been read")
	now := time.Now()
	call := func(address string, began time.Time) {
		directory := entrypeer.NewDirectory(entrypeer.Instance{Name: "new", Owner: entrypeer.NewOwner("new", began), Address: address, DataCentre: "a"}, clock.Real{})
		client := entrypeer.NewClient(directory, tally.NoopScope)
		instance := entrypeer.Instance{Name: "a", Owner: entrypeer.NewOwner("a", now), Address: a.server.Listener.Addr().String()}
		directory.Observe(instance)
		_, err := client.TransferBuckets(context.Background(), "a", quota.Transfer{From: "new"})
		require.NoError(t, err)
	}
	call("10.0.0.2:1", now)
	assert.Contains(t, a.client.Homes("x", true), "new")
	joined := a.client.JoinedAt("new")
	call("10.0.0.1:1", now.Add(-time.Second))
	assert.Equal(t, joined, a.client.JoinedAt("new"), "the earlier incarnation is not recorded")
}

// FuzzCreditMessage checks that any body is either served or rejected with a
// defined status.
func FuzzCreditMessage(f *testing.F) {
	directory := entrypeer.NewDirectory(entrypeer.Instance{Name: "a", Owner: "a-1"}, clock.Real{})
	client := entrypeer.NewClient(directory, tally.NoopScope)
	limiter := quota.NewLimiter(client, quota.Tolerance{}, clock.Real{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	server := &entrypeer.Server{Quotas: limiter, Log: slog.New(slog.DiscardHandler)}
	handler := server.Handler()
	for _, value := range []any{[]any{"x", 20.0, 20.0, 1, "b", 7, true, 1000, 0, 3, 0, 0}, []any{"x", -1.0, 1e308, 1, "b", 7, true, -5, -9, 1 << 40, -1, 9}} {
		data, err := codec.Marshal(value)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/entry/credit", bytes.NewReader(data)))
		assert.Contains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusMisdirectedRequest}, recorder.Code)
	})
}
