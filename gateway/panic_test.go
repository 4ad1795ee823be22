package gateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
)

// Guards against a stop that waits, or breaks off other requests, because the
// handler of one request panicked.
func TestHandlerPanicDoesNotDelayStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			if r.Host == "desk.example" {
				panic("no such part")
			}
			w.WriteHeader(http.StatusOK)
		})
		listener, done := newPipeListener(), make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go gateway.NewServer(handler, slog.New(slog.DiscardHandler)).Serve(ctx, listener, shutdown.New(8*time.Second, clock.Real{}), done)
		failing, other := listener.dial(), listener.dial()
		cancel()
		time.Sleep(3*time.Second - 50*time.Millisecond)
		result := make(chan int, 1)
		go func() {
			status, _ := roundTripHost(other, "other.example")
			result <- status
		}()
		_, err := roundTrip(failing)
		require.Error(t, err)
		assert.Equal(t, http.StatusOK, <-result)
		began := time.Now()
		require.NoError(t, <-done)
		assert.Less(t, time.Since(began), time.Second)
	})
}
