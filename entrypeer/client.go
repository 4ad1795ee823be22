package entrypeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/tcp"
)

const (
	// connectTimeout and unackedTimeout: see tcp.NewDialer. Instances are
	// one way of a millisecond or less off.
	connectTimeout = 300 * time.Millisecond
	unackedTimeout = 600 * time.Millisecond
	// idleConnections are kept to each other instance: what is asked of it at
	// a time, and some more.
	idleConnections = 8
	// idleTime is how long an unused connection to an instance is kept.
	idleTime = 10 * time.Second
)

// StatusError is an answer of another instance that it did not do what was
// asked.
type StatusError struct {
	instance string
	status   int
	detail   string
}

// Error names the instance and what it said.
func (e *StatusError) Error() string {
	return fmt.Sprintf("instance %s: status %d: %s", e.instance, e.status, e.detail)
}

// UnreachedError is a call without a whole answer.
type UnreachedError struct {
	instance string
	cause    error
}

// Error names the instance and the cause.
func (e *UnreachedError) Error() string { return "instance " + e.instance + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnreachedError) Unwrap() error { return e.cause }

// Client calls other entry instances. It implements account.Holders,
// account.Lenders and archive.Peers.
type Client struct {
	directory *Directory
	http      *http.Client
}

// NewClient returns a client for the instances of directory.
func NewClient(directory *Directory) *Client {
	transport := &http.Transport{DialContext: tcp.NewDialer(connectTimeout, unackedTimeout).DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTime, DisableCompression: true}
	return &Client{directory: directory, http: &http.Client{Transport: transport}}
}

// GiveBack implements account.Holders.
func (client *Client) GiveBack(ctx context.Context, program string, accounts []string) {
	asked := map[string]bool{}
	var calls sync.WaitGroup
	for _, account := range accounts {
		instance, ok := client.directory.owning(account)
		if !ok || asked[instance.Owner] {
			continue
		}
		asked[instance.Owner] = true
		calls.Go(func() {
			// What was not given back shows in the row that is read next.
			_ = client.call(ctx, instance, pathGiveBack, &giveBackMessage{Program: program}, nil)
		})
	}
	calls.Wait()
}

// call makes one call. An instance that cannot be reached is left out for a
// while.
func (client *Client) call(ctx context.Context, instance Instance, path string, message, into any) error {
	err := client.exchange(ctx, instance, path, message, into)
	var unreached *UnreachedError
	var status *StatusError
	switch {
	case errors.As(err, &unreached):
		client.directory.failed(instance, isLate(err))
	case err == nil || errors.As(err, &status):
		client.directory.reached(instance)
	}
	return err
}

// exchange makes one call. It returns an *UnreachedError if there was no whole
// answer, and a *StatusError if the answer was a refusal.
func (client *Client) exchange(ctx context.Context, instance Instance, path string, message, into any) error {
	body, err := codec.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode call to another instance")
	}
	request, err := sling.New().Base("http://" + instance.Address).Post(path).Body(bytes.NewReader(body)).Request()
	if err != nil {
		return eris.Wrap(err, "call another instance")
	}
	response, err := client.http.Do(request.WithContext(ctx))
	if err != nil {
		return &UnreachedError{instance: instance.Name, cause: err}
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	data, err := io.ReadAll(io.LimitReader(response.Body, 2*maxMessage))
	if err != nil {
		return &UnreachedError{instance: instance.Name, cause: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{instance: instance.Name, status: response.StatusCode, detail: string(data)}
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(codec.Unmarshal(data, into), "instance %s", instance.Name)
}

// isLate reports whether a call ended with its time, on a connection that was
// made.
func isLate(err error) bool {
	if isDial(err) {
		return false
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// isDial reports whether a call was not sent, since no connection was made.
func isDial(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}
