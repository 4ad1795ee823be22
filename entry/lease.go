package entry

import (
	"context"
	"encoding/json"
	"errors"
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
	if e.expires.IsZero() {
		return fmt.Sprintf("program %s is owned by %s", e.program, e.holder)
	}
	return fmt.Sprintf("program %s is owned by %s until %s", e.program, e.holder, e.expires.Format(time.RFC3339))
}

// holdLease makes sure this instance still holds the lease on o's program
// before it acts for it. Once half the TTL has passed it renews the lease
// with a compare-and-set on the version it last wrote; a conflict means
// another instance took the program over (our lease lapsed while we were
// paused or cut off), and the call is refused as not run. Without this
// check a deposed owner could act on a sidecar that has not yet seen the
// new owner's fence. The renewal's new version becomes the fence.
func (e *Entry) holdLease(ctx context.Context, o *owned) error {
	o.mu.Lock()
	id, ver, expires := o.prog.ID(), o.leaseVer, o.leaseExpires
	o.mu.Unlock()
	now := e.clock.Now()
	if now.Before(expires.Add(-e.leaseTTL / 2)) {
		return nil
	}
	want := leaseRecord{Holder: e.id, Expires: now.Add(e.leaseTTL).UnixMilli()}
	newVer, err := e.platform.Put(ctx, leaseKey(id), want, ver)
	if platform.Is(err, platform.FailureUnavailable) {
		newVer, err = e.readBackLease(ctx, id, want, ver)
	}
	var lost *LeaseError
	if platform.Is(err, platform.FailureConflict) || errors.As(err, &lost) {
		e.log.Warn("lease lost", "program", id, "fence", ver)
		return &LeaseError{program: id, holder: "another instance"}
	}
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.leaseVer, o.leaseExpires = newVer, time.UnixMilli(want.Expires)
	o.prog.Refence(newVer)
	o.mu.Unlock()
	return nil
}

// readBackLease resolves a lease write whose answer was lost: if the
// record holds what we wrote at the next version, the write took.
func (e *Entry) readBackLease(ctx context.Context, id program.ID, want leaseRecord, prev uint64) (uint64, error) {
	back, err := e.platform.Get(ctx, leaseKey(id))
	if err != nil {
		return 0, err
	}
	var got leaseRecord
	if json.Unmarshal(back.Value, &got) == nil && got == want && back.Version == prev+1 {
		return back.Version, nil
	}
	if back.Version == prev {
		return 0, &LeaseUnsettledError{program: id}
	}
	return 0, &LeaseError{program: id, holder: got.Holder, expires: time.UnixMilli(got.Expires)}
}

// LeaseUnsettledError says a lease write was not taken and the platform
// failed to answer; nothing was done and the caller should come back.
type LeaseUnsettledError struct{ program program.ID }

// Error names the program.
func (e *LeaseUnsettledError) Error() string {
	return fmt.Sprintf("program %s: lease write not taken, platform unavailable", e.program)
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
	if ver, rerr := e.readBackLease(ctx, id, want, cur.Version); rerr == nil {
		return ver, nil
	}
	return 0, err
}
