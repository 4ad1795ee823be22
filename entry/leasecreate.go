package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// newProgram is what a program is created with.
type newProgram struct {
	Spec    program.Spec `json:"spec"`
	Created time.Time    `json:"created"`
}

// ExistsError says a program id was used before.
type ExistsError struct{ program program.ID }

// Error names the program.
func (e *ExistsError) Error() string { return fmt.Sprintf("program %s exists", e.program) }

// createLease takes the first lease on a new program, in one write that
// also holds what the program was created with: until its first turn it has
// no record in a journal. It fails with an *ExistsError if the id is taken.
//
// A creation whose answer was lost, and could not be read back, is found
// again when its caller retries here: the lease is this process's, and holds
// the same program without a turn.
func (e *Entry) createLease(ctx context.Context, created *newProgram) (grant, error) {
	id := created.Spec.ID
	want := e.leaseUntil(e.clock.Now().Add(e.leaseTTL))
	want.New = created
	got := grant{expires: time.UnixMilli(want.Expires)}
	var err error
	got.version, err = e.platform.Put(ctx, leaseKey(id), want, 0)
	switch {
	case tableservice.Is(err, tableservice.FailureUnavailable):
		var rerr error
		if got.version, rerr = e.readBackLease(ctx, id, want, 0); rerr != nil {
			return grant{}, err
		}
	case tableservice.Is(err, tableservice.FailureConflict):
		return e.createAgain(ctx, created)
	case err != nil:
		return grant{}, err
	}
	return got, nil
}

// createAgain takes the lease of a program that this process created, if it
// is the same and has run no turn; programs kept here never get so far.
func (e *Entry) createAgain(ctx context.Context, created *newProgram) (grant, error) {
	id := created.Spec.ID
	rec, err := e.platform.Get(ctx, leaseKey(id))
	if err != nil {
		return grant{}, err
	}
	var held leaseRecord
	if err := json.Unmarshal(rec.Value, &held); err != nil {
		return grant{}, err
	}
	if held.Ended || !held.heldBy(e.journal.Name()) || held.New == nil || !held.New.Spec.Equal(&created.Spec) {
		return grant{}, &ExistsError{program: id}
	}
	return e.acquireLease(ctx, id)
}
