package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// newProgram holds the creation parameters of a program and the time of its
// creation.
type newProgram struct {
	Spec    program.Spec `json:"spec"`
	Created time.Time    `json:"created"`
}

// ExistsError is returned when a program is created with an ID that has been
// used before.
type ExistsError struct{ program program.ID }

// Error returns a message that names the program.
func (e *ExistsError) Error() string { return fmt.Sprintf("program %s already exists", e.program) }

// createLease writes the first lease of a new program. The same write stores
// the creation parameters, since until its first turn the program has no
// record in a journal. It fails with an *ExistsError if the ID has been used.
//
// If the response to the write is lost and the record cannot be read, the
// creation fails, although the lease may have been written. A retry by the
// caller at this instance then succeeds, since the lease names this process
// and holds the same program without a turn.
func (e *Entry) createLease(ctx context.Context, created *newProgram) (acquiredLease, error) {
	id := created.Spec.ID
	want := e.newLeaseRecord(e.clock.Now().Add(e.leaseTTL))
	want.New = created
	got := acquiredLease{expires: time.UnixMilli(want.Expires)}
	var err error
	got.version, err = e.platform.Put(ctx, leaseKey(id), want, 0)
	switch {
	case tableservice.IsFailure(err, tableservice.FailureUnavailable):
		var rerr error
		if got.version, rerr = e.verifyLeaseWrite(ctx, id, want, 0); rerr != nil {
			return acquiredLease{}, err
		}
	case tableservice.IsFailure(err, tableservice.FailureConflict):
		return e.recoverCreatedLease(ctx, created)
	case err != nil:
		return acquiredLease{}, err
	}
	return got, nil
}

// recoverCreatedLease acquires the lease of a program that this process has
// already created, provided that it has the same parameters and no turn, and
// fails with an *ExistsError otherwise. A program that this instance holds in
// memory is rejected before this point.
func (e *Entry) recoverCreatedLease(ctx context.Context, created *newProgram) (acquiredLease, error) {
	id := created.Spec.ID
	rec, err := e.platform.Get(ctx, leaseKey(id))
	if err != nil {
		return acquiredLease{}, err
	}
	var held leaseRecord
	if err := json.Unmarshal(rec.Value, &held); err != nil {
		return acquiredLease{}, err
	}
	if held.Ended || !held.heldBy(e.journal.Name()) || held.New == nil || !held.New.Spec.Equal(&created.Spec) {
		return acquiredLease{}, &ExistsError{program: id}
	}
	return e.acquireLease(ctx, id)
}
