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
)

type keyQuery struct {
	Key string `url:"key"`
}

type keysQuery struct {
	Keys []string `url:"key"`
}

type prefixQuery struct {
	Prefix string `url:"prefix"`
}

// Client calls the platform's services at one base URL.
type Client struct {
	base *sling.Sling
}

// NewClient returns a client for the platform at baseURL. Every call is
// bounded by timeout: a slow platform must not hold a caller past its due.
func NewClient(baseURL string, timeout time.Duration) *Client {
	hc := &http.Client{Timeout: timeout}
	return &Client{base: sling.New().Client(hc).Base(baseURL)}
}

// Throttled calls are tried again within throttledFor, after pauses of at
// most throttledMost.
const (
	throttledFor   = time.Second
	throttledFirst = 10 * time.Millisecond
	throttledMost  = 100 * time.Millisecond
)

// do makes one call. A call that the platform refuses for coming too fast
// had no effect, so it is tried again a few times: in a burst the rate is
// passed for moments, and giving up at once would send callers away for
// seconds.
func (c *Client) do(ctx context.Context, op, key string, s *sling.Sling, out any) error {
	pauses := retry.Backoff{First: throttledFirst, Most: throttledMost}
	for end := time.Now().Add(throttledFor); ; {
		err := c.once(ctx, op, key, s, out)
		if !Is(err, FailureThrottled) || time.Now().After(end) {
			return err
		}
		if !clock.Sleep(ctx, pauses.Next()) {
			return err
		}
	}
}

func (c *Client) once(ctx context.Context, op, key string, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return &Error{failure: FailureBadAnswer, op: op, key: key, detail: err.Error()}
	}
	req = req.WithContext(ctx)
	var fail ErrorBody
	resp, err := c.base.Do(req, out, &fail) //nolint:bodyclose // sling closes the body once decoded
	if err != nil {
		// A lost answer after the write took effect shows here too; the
		// caller reads back before deciding (see FailureUnavailable).
		return &Error{failure: FailureUnavailable, op: op, key: key, detail: err.Error()}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return &Error{failure: FailureNotFound, op: op, key: key, detail: fail.Error}
	case http.StatusTooManyRequests:
		return &Error{failure: FailureThrottled, op: op, key: key, detail: fail.Error}
	case http.StatusConflict:
		return &Error{failure: FailureConflict, op: op, key: key, current: fail.Version, detail: fail.Error}
	}
	return &Error{failure: FailureUnavailable, op: op, key: key, detail: resp.Status + " " + fail.Error}
}

// Get reads the record at key; a missing key is a FailureNotFound.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var r Record
	err := c.do(ctx, "get", key, c.base.New().Get("table").QueryStruct(keyQuery{key}), &r)
	return r, err
}

// Put writes value at key if its version is still expect, returning the new
// version. A FailureConflict carries the current version.
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

// PutOp returns the step of a transaction that writes value at key if its
// version is still expect.
func PutOp(key string, value any, expect uint64) (TxOp, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return TxOp{}, &Error{failure: FailureBadAnswer, op: "tx", key: key, detail: err.Error()}
	}
	return TxOp{Key: key, Value: raw, ExpectVersion: expect}, nil
}

// Tx makes all of ops take effect, or none. A FailureConflict carries the
// current version of the first record that was not as expected.
func (c *Client) Tx(ctx context.Context, ops ...TxOp) error {
	return c.do(ctx, "tx", ops[0].Key, c.base.New().Post("tx").BodyJSON(TxRequest{Ops: ops}), nil)
}

// Delete deletes the records at keys, whatever their versions, in one
// transaction; a missing one is no error.
func (c *Client) Delete(ctx context.Context, keys ...string) error {
	return c.do(ctx, "delete", strings.Join(keys, " "), c.base.New().Delete("table").QueryStruct(keysQuery{keys}), nil)
}

// Scan lists the records whose keys start with prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Record, error) {
	var sr ScanResponse
	err := c.do(ctx, "scan", prefix, c.base.New().Get("scan").QueryStruct(prefixQuery{prefix}), &sr)
	return sr.Records, err
}

// PutObject stores value as the object named key.
func (c *Client) PutObject(ctx context.Context, key string, value any) error {
	return c.do(ctx, "put-object", key, c.base.New().Put("objects").QueryStruct(keyQuery{key}).BodyJSON(value), nil)
}

// GetObject reads the object named key into out.
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

// DropObject deletes the object named key; a missing one is no error.
func (c *Client) DropObject(ctx context.Context, key string) error {
	return c.do(ctx, "drop-object", key, c.base.New().Delete("objects").QueryStruct(keyQuery{key}), nil)
}

// Instances returns the instance list as the platform last saw it; it lags
// behind the truth.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var ir InstancesResponse
	err := c.do(ctx, "instances", "", c.base.New().Get("instances"), &ir)
	return ir.Instances, err
}

// SetInstance records an instance's state in the list.
func (c *Client) SetInstance(ctx context.Context, in Instance) error {
	return c.do(ctx, "set-instance", in.ID, c.base.New().Put("instances").BodyJSON(in), nil)
}
