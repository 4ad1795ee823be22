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

// leaseRecord is the value under lease/{program} in the table service. The
// version of the record is the fencing token: every new holder writes the
// record, so the version only grows, and sidecars refuse calls with a lower
// one.
type leaseRecord struct {
	Holder string `json:"holder"`
	// Address is the peer address of the holder, to which other entry
	// instances forward the program's calls.
	Address string `json:"address"`
	Expires int64  `json:"expires_unix_ms"`
	// Journals lists the journals that may hold records of the program: the
	// holder's journal, as the last one, and until its first record is
	// durable those of its predecessors.
	Journals []string `json:"journals"`
	// New holds the creation parameters of the program as long as no journal
	// is known to hold a record of it.
	New *newProgram `json:"new,omitempty"`
	// Ended is set once the program has ended. Its ID cannot be used again.
	Ended bool `json:"ended,omitempty"`
}

// heldBy reports whether the holder is the process that writes the given
// journal. A restarted instance is a different holder of the same name.
func (l leaseRecord) heldBy(journal string) bool {
	return len(l.Journals) > 0 && l.Journals[len(l.Journals)-1] == journal
}

// active reports whether the lease has not yet ended by more than margin. A
// released lease has no end time and is not active.
func (l leaseRecord) active(now time.Time, margin time.Duration) bool {
	return l.Expires > 0 && now.UnixMilli() < l.Expires+margin.Milliseconds()
}

// equal reports whether l and m have the same holder, end time and journals.
func (l leaseRecord) equal(m leaseRecord) bool {
	return l.Holder == m.Holder && l.Expires == m.Expires && slices.Equal(l.Journals, m.Journals)
}

// leaseMarginDivisor determines the safety margin on each side of a lease's
// end, as the fraction 1/leaseMarginDivisor of the TTL. The holder stops
// using the lease this long before its end, and another instance acquires it
// only this long after. The clocks of two instances may differ: without a
// margin, a holder with a slow clock could return the answer to a turn that
// its successor, which has already read the log, does not have.
const leaseMarginDivisor = 5 // a margin of one fifth of the TTL

// leaseMargin returns the safety margin on each side of a lease's end.
func (e *Entry) leaseMargin() time.Duration { return e.leaseTTL / leaseMarginDivisor }

// leaseKey returns the key of the program's lease record.
func leaseKey(id program.ID) string { return "lease/" + string(id) }

// acquiredLease is a lease that this instance has acquired: the version of
// its record, which is the fencing token, and the time at which it ends.
type acquiredLease struct {
	version uint64
	expires time.Time
	// journals lists the journals from which to read the program's log.
	// created holds the creation parameters of a program that may have no
	// log, and is nil otherwise.
	journals []string
	created  *newProgram
}

// LeaseError is returned when another instance holds the lease of a program.
type LeaseError struct {
	program program.ID
	holder  string
	address string
	expires time.Time
}

// Error returns a message that names the holder and, if it is known, the end
// of the lease.
func (e *LeaseError) Error() string {
	if e.expires.IsZero() {
		return fmt.Sprintf("program %s is owned by %s", e.program, e.holder)
	}
	return fmt.Sprintf("program %s is owned by %s until %s", e.program, e.holder, e.expires.Format(time.RFC3339))
}

// ensureLease checks that this instance still holds the lease of o's program
// before acting for it. Once half the TTL has passed it renews the lease, by
// a compare-and-set on the version that it last wrote, which makes the new
// version the fencing token. A conflict means that another instance has taken
// over the program, because the lease expired while this instance was paused
// or partitioned; ensureLease then returns a *LeaseError and the call is
// refused as not run. Without the check, a former owner could use a sidecar
// that has not yet received the new owner's fencing token.
func (e *Entry) ensureLease(ctx context.Context, o *ownedProgram) error {
	return e.renewLease(ctx, o, e.leaseTTL/2)
}

// confirmLease is like ensureLease, for use before an answer is sent. It
// renews the lease only if less than the safety margin remains: the lease
// must have outlasted the write of the turn's record, so that a new owner,
// which reads the log only after the lease has ended, has the turn.
func (e *Entry) confirmLease(ctx context.Context, o *ownedProgram) error {
	return e.renewLease(ctx, o, e.leaseMargin())
}

// renewLease renews o's lease unless more than the given time remains. It
// returns a *LeaseError, and drops the program, if another instance holds the
// lease. Any other error means that the renewal is not confirmed.
func (e *Entry) renewLease(ctx context.Context, o *ownedProgram, remaining time.Duration) error {
	o.mu.Lock()
	id, ver, expires, created := o.prog.ID(), o.leaseVer, o.leaseExpires, o.unloggedCreation()
	o.mu.Unlock()
	now := e.clock.Now()
	if now.Before(expires.Add(-remaining)) {
		return nil
	}
	want := e.newLeaseRecord(now.Add(e.leaseTTL))
	want.New = created
	newVer, err := e.platform.Put(ctx, leaseKey(id), want, ver)
	if tableservice.IsFailure(err, tableservice.FailureUnavailable) {
		newVer, err = e.verifyLeaseWrite(ctx, id, want, ver)
	}
	var lost *LeaseError
	switch {
	case tableservice.IsFailure(err, tableservice.FailureConflict):
		// A concurrent call of the same program may have renewed the lease.
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
		e.log.Warn("lease lost to another instance; program dropped", "program", id, "fence", ver)
		e.dropOwned(id, o)
		return lost
	}
	o.mu.Lock()
	o.leaseVer, o.leaseExpires = newVer, time.UnixMilli(want.Expires)
	o.prog.RaiseFence(newVer)
	o.mu.Unlock()
	return nil
}

// newLeaseRecord returns a lease record that names this instance and its
// journal and ends at t.
func (e *Entry) newLeaseRecord(t time.Time) leaseRecord {
	return leaseRecord{Holder: e.id, Address: e.peerAddress, Expires: t.UnixMilli(), Journals: []string{e.journal.Name()}}
}

// verifyLeaseWrite resolves a lease write whose response was lost. It returns
// the version of the record if that holds the written value at the version
// after prev. It returns a *LeaseWriteError if the record is unchanged, and a
// *LeaseError if it holds another value.
func (e *Entry) verifyLeaseWrite(ctx context.Context, id program.ID, want leaseRecord, prev uint64) (uint64, error) {
	current, err := e.platform.Get(ctx, leaseKey(id))
	if err != nil {
		return 0, err
	}
	var got leaseRecord
	if json.Unmarshal(current.Value, &got) == nil && got.equal(want) && current.Version == prev+1 {
		return current.Version, nil
	}
	if current.Version == prev {
		return 0, &LeaseWriteError{program: id}
	}
	return 0, &LeaseError{program: id, holder: got.Holder, address: got.Address, expires: time.UnixMilli(got.Expires)}
}

// LeaseWriteError is returned when a lease write did not take effect because
// the platform was unavailable. The caller may retry.
type LeaseWriteError struct{ program program.ID }

// Error returns a message that names the program.
func (e *LeaseWriteError) Error() string {
	return fmt.Sprintf("program %s: the lease was not written because the platform is unavailable", e.program)
}

// acquireLease acquires the lease of an existing program for this instance.
// It fails with a *LeaseError if another process holds the lease and it has
// not expired, with a not-found error if the program does not exist, with a
// *program.Error if the program has ended, and with the platform's error if
// that is unavailable.
//
// A write whose response was lost may have taken effect, so the lease is
// read: if it holds the written value, this instance has acquired it.
// Otherwise a lost response would leave the program without an owner until
// the lease expired.
func (e *Entry) acquireLease(ctx context.Context, id program.ID) (acquiredLease, error) {
	key := leaseKey(id)
	now := e.clock.Now()
	cur, err := e.platform.Get(ctx, key)
	if tableservice.IsFailure(err, tableservice.FailureNotFound) {
		return acquiredLease{}, notFound(id)
	}
	if err != nil {
		return acquiredLease{}, err
	}
	var held leaseRecord
	if err := json.Unmarshal(cur.Value, &held); err != nil {
		return acquiredLease{}, err
	}
	if held.Ended {
		return acquiredLease{}, program.Ended(id)
	}
	if !held.heldBy(e.journal.Name()) && held.active(now, e.leaseMargin()) {
		return acquiredLease{}, &LeaseError{program: id, holder: held.Holder, address: held.Address, expires: time.UnixMilli(held.Expires)}
	}
	want := e.newLeaseRecord(now.Add(e.leaseTTL))
	want.Journals = append(slices.DeleteFunc(slices.Clone(held.Journals), func(j string) bool { return j == e.journal.Name() }), e.journal.Name())
	want.New = held.New
	got := acquiredLease{expires: time.UnixMilli(want.Expires), journals: want.Journals, created: held.New}
	got.version, err = e.platform.Put(ctx, key, want, cur.Version)
	if err == nil {
		return got, nil
	}
	if !tableservice.IsFailure(err, tableservice.FailureUnavailable) {
		return acquiredLease{}, err
	}
	var rerr error
	if got.version, rerr = e.verifyLeaseWrite(ctx, id, want, cur.Version); rerr == nil {
		return got, nil
	}
	return acquiredLease{}, err
}
