package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// leaseRecord is the value under lease/{program} in the table service.
// The record's version is the fencing token: every new holder writes it,
// so it only grows, and sidecars refuse calls with a lower one.
type leaseRecord struct {
	Holder  string `json:"holder"`
	Expires int64  `json:"expires_unix_ms"`
}

func leaseKey(id program.ID) string { return "lease/" + string(id) }

// LeaseError says a program's lease is held by another live instance.
type LeaseError struct {
	program program.ID
	holder  string
	expires time.Time
}

// Error names the holder.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("program %s is owned by %s until %s", e.program, e.holder, e.expires.Format(time.RFC3339))
}

// acquireLease takes the lease on id for this instance and returns its
// fencing token. It fails with a *LeaseError if another instance holds an
// unexpired lease, and with a platform error if the platform is down.
//
// A put whose answer was lost may still have taken effect: the lease is
// then read back, and if it names this instance at the version we wrote,
// it is ours. Without the read-back a lost ack would leave the program
// without an owner until the lease expired.
func (e *Entry) acquireLease(ctx context.Context, id program.ID) (uint64, error) {
	key := leaseKey(id)
	now := e.clock.Now()
	cur, err := e.platform.Get(ctx, key)
	if err != nil && !platform.Is(err, platform.FailureNotFound) {
		return 0, err
	}
	if cur.Version > 0 {
		var held leaseRecord
		if json.Unmarshal(cur.Value, &held) == nil && held.Holder != e.id && now.UnixMilli() < held.Expires {
			return 0, &LeaseError{program: id, holder: held.Holder, expires: time.UnixMilli(held.Expires)}
		}
	}
	want := leaseRecord{Holder: e.id, Expires: now.Add(e.leaseTTL).UnixMilli()}
	ver, err := e.platform.Put(ctx, key, want, cur.Version)
	if err == nil {
		return ver, nil
	}
	if !platform.Is(err, platform.FailureUnavailable) {
		return 0, err
	}
	back, rerr := e.platform.Get(ctx, key)
	if rerr != nil {
		return 0, err
	}
	var got leaseRecord
	if json.Unmarshal(back.Value, &got) == nil && got == want && back.Version == cur.Version+1 {
		return back.Version, nil
	}
	return 0, err
}
