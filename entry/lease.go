package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// leaseRecord is the value under lease/{program} in the table service.
// The record's version is the fencing token: every new holder writes it,
// so it only grows, and sidecars refuse calls with a lower one.
type leaseRecord struct {
	Holder string `json:"holder"`
	// Address is the holder's peer address, where other entry instances
	// forward the program's calls.
	Address string `json:"address"`
	Expires int64  `json:"expires_unix_ms"`
	// Journals are those that may hold the program's records: the holder's
	// own, last, and until its first record is durable its predecessors'.
	Journals []string `json:"journals"`
	// New is what the program was created with, as long as no journal may
	// hold a record of it.
	New *newProgram `json:"new,omitempty"`
	// Ended: the program has ended; its id is not used again.
	Ended bool `json:"ended,omitempty"`
}

// heldBy reports whether the holder is the process that writes journal. An
// instance that restarted is another holder under the same name.
func (l leaseRecord) heldBy(journal string) bool {
	return len(l.Journals) > 0 && l.Journals[len(l.Journals)-1] == journal
}

// live reports whether the lease may still be acted on by its holder; a
// released lease has no end and is not.
func (l leaseRecord) live(now time.Time, margin time.Duration) bool {
	return l.Expires > 0 && now.UnixMilli() < l.Expires+margin.Milliseconds()
}

func (l leaseRecord) equal(m leaseRecord) bool {
	return l.Holder == m.Holder && l.Expires == m.Expires && slices.Equal(l.Journals, m.Journals)
}

// leaseSkew is the share of the TTL left unused on each side of a lease's
// end: the holder stops acting this long before it, another instance takes
// over only this long after it. Clocks of two instances may differ; with
// no margin a slow clock would let the holder answer a turn that its
// successor, having read the log already, does not know.
const leaseSkew = 5 // one fifth

func (e *Entry) margin() time.Duration { return e.leaseTTL / leaseSkew }

func leaseKey(id program.ID) string { return "lease/" + string(id) }

// grant is a lease this instance holds: the record version that is its
// fencing token, and when it ends.
type grant struct {
	version uint64
	expires time.Time
	// journals are those to read the program's log from; created is what it
	// was created with, if it may have none.
	journals []string
	created  *newProgram
}

// LeaseError says a program's lease is held by another live instance.
type LeaseError struct {
	program program.ID
	holder  string
	address string
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
	return e.renewLease(ctx, o, e.leaseTTL/2)
}

// confirmLease is holdLease for the moment before an answer leaves: the
// lease must have lasted past the write of the turn's record, so that a
// successor, which reads the log only after the lease ended, has seen it.
func (e *Entry) confirmLease(ctx context.Context, o *owned) error {
	return e.renewLease(ctx, o, e.margin())
}

// renewLease renews o's lease unless more than left of it remains.
func (e *Entry) renewLease(ctx context.Context, o *owned, left time.Duration) error {
	o.mu.Lock()
	id, ver, expires, created := o.prog.ID(), o.leaseVer, o.leaseExpires, o.unlogged()
	o.mu.Unlock()
	now := e.clock.Now()
	if now.Before(expires.Add(-left)) {
		return nil
	}
	want := e.leaseUntil(now.Add(e.leaseTTL))
	want.New = created
	newVer, err := e.platform.Put(ctx, leaseKey(id), want, ver)
	if tableservice.Is(err, tableservice.FailureUnavailable) {
		newVer, err = e.readBackLease(ctx, id, want, ver)
	}
	var lost *LeaseError
	switch {
	case tableservice.Is(err, tableservice.FailureConflict):
		// A concurrent call of the same program may have renewed it.
		o.mu.Lock()
		renewed := o.leaseVer > ver
		o.mu.Unlock()
		if renewed {
			return nil
		}
		lost = &LeaseError{program: id, holder: "another instance"}
	case errors.As(err, &lost):
	case err != nil:
		return err
	}
	if lost != nil {
		e.log.Warn("lease lost", "program", id, "fence", ver)
		e.depose(id, o)
		return lost
	}
	o.mu.Lock()
	o.leaseVer, o.leaseExpires = newVer, time.UnixMilli(want.Expires)
	o.prog.Refence(newVer)
	o.mu.Unlock()
	return nil
}

func (e *Entry) leaseUntil(t time.Time) leaseRecord {
	return leaseRecord{Holder: e.id, Address: e.peerAddress, Expires: t.UnixMilli(), Journals: []string{e.journal.Name()}}
}

// readBackLease resolves a lease write whose answer was lost: if the
// record holds what we wrote at the next version, the write took.
func (e *Entry) readBackLease(ctx context.Context, id program.ID, want leaseRecord, prev uint64) (uint64, error) {
	back, err := e.platform.Get(ctx, leaseKey(id))
	if err != nil {
		return 0, err
	}
	var got leaseRecord
	if json.Unmarshal(back.Value, &got) == nil && got.equal(want) && back.Version == prev+1 {
		return back.Version, nil
	}
	if back.Version == prev {
		return 0, &LeaseUnsettledError{program: id}
	}
	return 0, &LeaseError{program: id, holder: got.Holder, address: got.Address, expires: time.UnixMilli(got.Expires)}
}

// LeaseUnsettledError says a lease write was not taken and the platform
// failed to answer; nothing was done and the caller should come back.
type LeaseUnsettledError struct{ program program.ID }

// Error names the program.
func (e *LeaseUnsettledError) Error() string {
	return fmt.Sprintf("program %s: lease write not taken, platform unavailable", e.program)
}

// acquireLease takes over the lease on id for this instance. It fails with
// a *LeaseError if another instance holds an unexpired lease, and with a
// platform error if the platform is down.
//
// A put whose answer was lost may still have taken effect: the lease is
// then read back, and if it names this instance at the version we wrote,
// it is ours. Without the read-back a lost ack would leave the program
// without an owner until the lease expired.
func (e *Entry) acquireLease(ctx context.Context, id program.ID) (grant, error) {
	key := leaseKey(id)
	now := e.clock.Now()
	cur, err := e.platform.Get(ctx, key)
	if tableservice.Is(err, tableservice.FailureNotFound) {
		return grant{}, notFound(id)
	}
	if err != nil {
		return grant{}, err
	}
	var held leaseRecord
	if err := json.Unmarshal(cur.Value, &held); err != nil {
		return grant{}, err
	}
	if held.Ended {
		return grant{}, program.Ended(id)
	}
	if !held.heldBy(e.journal.Name()) && held.live(now, e.margin()) {
		return grant{}, &LeaseError{program: id, holder: held.Holder, address: held.Address, expires: time.UnixMilli(held.Expires)}
	}
	want := e.leaseUntil(now.Add(e.leaseTTL))
	want.Journals = append(slices.DeleteFunc(slices.Clone(held.Journals), func(j string) bool { return j == e.journal.Name() }), e.journal.Name())
	want.New = held.New
	got := grant{expires: time.UnixMilli(want.Expires), journals: want.Journals, created: held.New}
	got.version, err = e.platform.Put(ctx, key, want, cur.Version)
	if err == nil {
		return got, nil
	}
	if !tableservice.Is(err, tableservice.FailureUnavailable) {
		return grant{}, err
	}
	var rerr error
	if got.version, rerr = e.readBackLease(ctx, id, want, cur.Version); rerr == nil {
		return got, nil
	}
	return grant{}, err
}
