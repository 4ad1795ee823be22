package tableservice

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/tcp"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// keyQuery holds the query parameter of a call for one key.
type keyQuery struct {
	Key string `url:"key"`
}

// keysQuery holds the repeated query parameter of a call for several keys.
type keysQuery struct {
	Keys []string `url:"key"`
}

// prefixQuery holds the query parameter of a call for all keys with a prefix.
type prefixQuery struct {
	Prefix string `url:"prefix"`
}

// Client calls the platform's services at one base URL. It is safe for
// concurrent use.
type Client struct {
	base *sling.Sling
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 8 << 20

// NewClient returns a client for the platform at baseURL. Each HTTP request
// fails after timeout, because a slow platform must not delay a caller
// beyond its deadline.
func NewClient(baseURL string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = upstream.MaxHeaderBytes
	checked := upstream.CheckResponses(transport, tcp.DefaultDialer())
	httpClient := &http.Client{Timeout: timeout, Transport: upstream.LimitBodies(checked, maxResponseBytes)}
	return &Client{base: sling.New().Client(httpClient).Base(baseURL)}
}

// A throttled call is retried for throttleRetryPeriod. The delay before a
// retry starts at throttleInitialDelay and grows to throttleMaxDelay.
const (
	throttleRetryPeriod  = time.Second
	throttleInitialDelay = 10 * time.Millisecond
	throttleMaxDelay     = 100 * time.Millisecond
)

// do sends the request s and decodes the response into out, which may be
// nil. A throttled call had no effect and is retried with backoff for
// throttleRetryPeriod: a burst exceeds the platform's rate limit only
// briefly, whereas a caller whose request is rejected comes back only after
// seconds. do returns the error of the last attempt, an *Error that names
// op and key.
func (c *Client) do(ctx context.Context, op, key string, s *sling.Sling, out any) error {
	backoff := retry.Backoff{Initial: throttleInitialDelay, Max: throttleMaxDelay}
	for deadline := time.Now().Add(throttleRetryPeriod); ; {
		err := c.doOnce(ctx, op, key, s, out)
		if !IsFailure(err, FailureThrottled) || time.Now().After(deadline) {
			return err
		}
		if !clock.Sleep(ctx, backoff.Next()) {
			return err
		}
	}
}

// doOnce sends the request s a single time and maps the response status to
// an *Error.
func (c *Client) doOnce(ctx context.Context, op, key string, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return &Error{failure: FailureBadAnswer, op: op, key: key, detail: err.Error()}
	}
	req = req.WithContext(ctx)
	var errBody ErrorBody
	resp, err := c.base.Do(req, out, &errBody) //nolint:bodyclose // sling closes the body once decoded
	if err != nil {
		// The response may have been lost after the write took effect. The
		// caller must read the record back (see FailureUnavailable).
		return &Error{failure: FailureUnavailable, op: op, key: key, detail: err.Error()}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return &Error{failure: FailureNotFound, op: op, key: key, detail: errBody.Error}
	case http.StatusTooManyRequests:
		return &Error{failure: FailureThrottled, op: op, key: key, detail: errBody.Error}
	case http.StatusConflict:
		return &Error{failure: FailureConflict, op: op, key: key, currentVersion: errBody.Version, detail: errBody.Error}
	}
	return &Error{failure: FailureUnavailable, op: op, key: key, detail: resp.Status + " " + errBody.Error}
}

// Get returns the record at key. It fails with FailureNotFound if there is
// no record.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var r Record
	err := c.do(ctx, "get", key, c.base.New().Get("table").QueryStruct(keyQuery{key}), &r)
	return r, err
}

// Put writes value as JSON at key if the record's version equals expect, and
// returns the new version. Otherwise it fails with FailureConflict, and the
// *Error holds the current version.
func (c *Client) Put(ctx context.Context, key string, value any, expect uint64) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, &Error{failure: FailureBadAnswer, op: "put", key: key, detail: err.Error()}
	}
	var pr PutResponse
	body := PutRequest{Value: raw, ExpectVersion: expect}
	err = c.do(ctx, "put", key, c.base.New().Put("table").QueryStruct(keyQuery{key}).BodyJSON(body), &pr)
	return pr.Version, err
}

// NewPutOp returns a transaction operation that writes value as JSON at key if
// the record's version equals expect. It fails with FailureBadAnswer if
// value cannot be encoded.
func NewPutOp(key string, value any, expect uint64) (TxOp, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return TxOp{}, &Error{failure: FailureBadAnswer, op: "tx", key: key, detail: err.Error()}
	}
	return TxOp{Key: key, Value: raw, ExpectVersion: expect}, nil
}

// Tx applies ops, of which there must be at least one, atomically. If a
// record's version is not the expected one, Tx fails with FailureConflict,
// and the *Error holds the current version of the first such record.
func (c *Client) Tx(ctx context.Context, ops ...TxOp) error {
	return c.do(ctx, "tx", ops[0].Key, c.base.New().Post("tx").BodyJSON(TxRequest{Ops: ops}), nil)
}

// Delete deletes the records at keys in one transaction, without checking
// their versions. A missing record is not an error.
func (c *Client) Delete(ctx context.Context, keys ...string) error {
	return c.do(ctx, "delete", strings.Join(keys, " "), c.base.New().Delete("table").QueryStruct(keysQuery{keys}), nil)
}

// Scan returns the records whose keys start with prefix, in key order.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Record, error) {
	var sr ScanResponse
	err := c.do(ctx, "scan", prefix, c.base.New().Get("scan").QueryStruct(prefixQuery{prefix}), &sr)
	return sr.Records, err
}

// PutObject stores value as JSON in the object named key.
func (c *Client) PutObject(ctx context.Context, key string, value any) error {
	return c.do(ctx, "put-object", key, c.base.New().Put("objects").QueryStruct(keyQuery{key}).BodyJSON(value), nil)
}

// GetObject decodes the JSON object named key into out. It fails with
// FailureNotFound if there is no such object.
func (c *Client) GetObject(ctx context.Context, key string, out any) error {
	return c.do(ctx, "get-object", key, c.base.New().Get("objects").QueryStruct(keyQuery{key}), out)
}

// ListObjects returns the names of the objects whose names start with
// prefix, in order.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var or ObjectsResponse
	err := c.do(ctx, "list-objects", prefix, c.base.New().Get("object-names").QueryStruct(prefixQuery{prefix}), &or)
	return or.Names, err
}

// DeleteObject deletes the object named key. A missing object is not an error.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	return c.do(ctx, "drop-object", key, c.base.New().Delete("objects").QueryStruct(keyQuery{key}), nil)
}

// Instances returns the platform's instance list. The list is stale: it lags
// behind the states that instances have recorded.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var ir InstancesResponse
	err := c.do(ctx, "instances", "", c.base.New().Get("instances"), &ir)
	return ir.Instances, err
}

// SetInstance records the address and state of an instance in the platform's
// instance list.
func (c *Client) SetInstance(ctx context.Context, in Instance) error {
	return c.do(ctx, "set-instance", in.ID, c.base.New().Put("instances").BodyJSON(in), nil)
}
