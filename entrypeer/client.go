package entrypeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/debug"
	"github.com/wagtaildrum/wagtaildrum/tcp"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// connectTimeout and unackedTimeout bound dialling and unacknowledged data
	// (see tcp.NewDialer). One-way latency between instances is at most a
	// millisecond.
	connectTimeout = 300 * time.Millisecond
	unackedTimeout = 600 * time.Millisecond
	// maxIdlePerInstance is the number of idle connections kept to each other
	// instance: the usual number of concurrent calls to it plus some reserve.
	maxIdlePerInstance = 8
	// idleTimeout is how long an unused connection to an instance is kept.
	idleTimeout = 10 * time.Second
)

// StatusError is returned when another instance rejects a call, that is,
// responds with an HTTP status of 300 or above.
type StatusError struct {
	instance string
	status   int
	detail   string
}

// Error returns the instance, the status and the body of its response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("instance %s: status %d: %s", e.instance, e.status, e.detail)
}

// TransportError is returned when a call got no complete response: the
// connection could not be made, or the response did not arrive in full before
// the connection failed or the deadline passed. The call may have been
// executed.
type TransportError struct {
	instance string
	cause    error
}

// Error returns the instance and the cause.
func (e *TransportError) Error() string { return "instance " + e.instance + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.cause }

// Client calls other entry instances. It implements account.Owners,
// account.Lenders, account.Witnesses, archive.Peers, quota.Peers, quarantine.Peers and resumption.Peers.
type Client struct {
	directory *Directory
	http      *http.Client
	// calls and bytes count the calls and the sizes of their bodies, both ways,
	// by path.
	calls, bytes *debug.Counters
	// repeating holds an element for each repetition of reports in progress.
	repeating chan struct{}
}

// maxDetailBytes bounds the detail of a *StatusError.
const maxDetailBytes = 1 << 10

// NewClient returns a client for the instances in directory. It reports the
// metrics peer_calls and peer_bytes to scope, tagged with the path of the call.
func NewClient(directory *Directory, scope tally.Scope) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerInstance, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: upstream.MaxHeaderBytes}
	return &Client{directory: directory, http: &http.Client{Transport: upstream.CheckResponses(transport, tcp.NewDialer(connectTimeout, unackedTimeout))}, repeating: make(chan struct{}, maxRepeating), calls: debug.NewCounters(scope, "peer_calls", "call"), bytes: debug.NewCounters(scope, "peer_bytes", "call")}
}

// ReleaseUnused implements account.Owners. It calls each instance that owns one of
// the accounts once, all of them concurrently, and returns when every call has
// ended. Accounts of instances missing from the directory are not called, and returned
// as unanswered.
func (client *Client) ReleaseUnused(ctx context.Context, program string, accounts []string) (unanswered []string) {
	byOwner := map[string][]string{}
	for _, account := range accounts {
		if owner := accountOwner(account); owner != client.directory.self.Owner {
			byOwner[owner] = append(byOwner[owner], account)
		}
	}
	results := make(chan []string, len(byOwner))
	for _, accounts := range byOwner {
		instance, ok := client.directory.accountHolder(accounts[0])
		if !ok {
			results <- accounts
			continue
		}
		go func() {
			// An error that is a response needs no handling: unreleased tokens are still
			// in the holder's row, which the caller reads next.
			var transportErr *TransportError
			if errors.As(client.call(ctx, instance, pathGiveBack, &giveBackRequest{Program: program}, nil), &transportErr) {
				results <- accounts
				return
			}
			results <- nil
		}()
	}
	for range byOwner {
		unanswered = append(unanswered, <-results...)
	}
	return unanswered
}

// call makes one call and records in the directory whether the instance was
// reachable. After a *TransportError the instance is excluded for a while.
// Errors are those of exchange.
func (client *Client) call(ctx context.Context, instance Instance, path string, message, result any) error {
	err := client.exchange(ctx, instance, path, message, result)
	var transportErr *TransportError
	var statusErr *StatusError
	switch {
	case errors.As(err, &transportErr):
		client.directory.markFailed(instance, isTimeout(err))
	case err == nil || errors.As(err, &statusErr):
		client.directory.markReachable(instance)
	}
	return err
}

// exchange posts message to path at instance and decodes the response into
// result, unless result is nil. It returns a *TransportError if no complete
// response arrived, a *StatusError if the instance rejected the call, and
// another error if a body could not be encoded or decoded.
func (client *Client) exchange(ctx context.Context, instance Instance, path string, message, result any) error {
	body, err := codec.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode request to another entry instance")
	}
	request, err := sling.New().Base("http://" + instance.Address).Post(path).Body(bytes.NewReader(body)).Request()
	if err != nil {
		return eris.Wrap(err, "build request to another entry instance")
	}
	client.calls.Inc(1, path)
	client.bytes.Inc(int64(len(body)), path)
	response, err := client.http.Do(request.WithContext(ctx))
	if err != nil {
		return &TransportError{instance: instance.Name, cause: err}
	}
	defer func() { _ = response.Body.Close() }() // io.ReadAll below has consumed the body
	data, err := io.ReadAll(io.LimitReader(response.Body, 2*maxMessageBytes))
	client.bytes.Inc(int64(len(data)), path)
	if err != nil {
		return &TransportError{instance: instance.Name, cause: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{instance: instance.Name, status: response.StatusCode, detail: string(data[:min(len(data), maxDetailBytes)])}
	}
	if result == nil {
		return nil
	}
	return eris.Wrapf(codec.Unmarshal(data, result), "decode response of instance %s", instance.Name)
}

// isTimeout reports whether a call was cancelled or ran into its deadline after
// its connection had been established.
func isTimeout(err error) bool {
	if isDialError(err) {
		return false
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// isDialError reports whether a call failed because no connection was
// established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
