package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/journal"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// persistTimeout bounds how long a call waits for its turn to become durable
// before the caller receives an error with Retry-After and requests the
// answer again.
const persistTimeout = 2 * time.Second

// stageRecord appends the next record of o's log to the journal and marks it
// pending. While another record is pending, persist stages the next one
// afterwards: with two records under one index it would be undefined which of
// them a new owner reads. The caller must hold o.mu.
func (e *Entry) stageRecord(o *ownedProgram, record func(*program.Log, json.RawMessage) program.Checkpoint) {
	if o.pending != nil {
		o.restage = true
		return
	}
	var answer json.RawMessage
	if o.last != nil {
		answer, _ = json.Marshal(&o.last.answer)
	}
	o.pending = e.journal.Append(journal.Record{Program: o.prog.ID(), Epoch: o.epoch, Checkpoint: record(&o.log, answer),
		Urgent: o.prog.Spec().Urgency >= program.UrgencyUrgent})
}

// stageTurn stages a record with the changes since the last one. The caller
// must hold o.mu.
func (e *Entry) stageTurn(o *ownedProgram) {
	e.stageRecord(o, func(l *program.Log, answer json.RawMessage) program.Checkpoint { return l.Record(o.prog, answer) })
}

// stageFull stages a full record. The caller must hold o.mu.
func (e *Entry) stageFull(o *ownedProgram) {
	e.stageRecord(o, func(l *program.Log, answer json.RawMessage) program.Checkpoint { return l.RecordFull(o.prog, answer) })
}

// persist waits until o's pending records are durable and returns a
// *NotDurableError if they are not within persistTimeout. No answer is sent
// before its turn is durable: if the owner crashed immediately after sending,
// the caller would have received an answer to a turn missing from the history
// that the new owner restores.
//
// While the store is unavailable the answer is withheld, not lost: the
// journal retries the write, no further call of the program begins, and the
// caller, which received Retry-After, gets the answer when it sends the same
// sequence number again.
func (e *Entry) persist(ctx context.Context, o *ownedProgram) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), persistTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		p := o.pending
		o.mu.Unlock()
		if p == nil {
			return nil
		}
		select {
		case <-p.Durable():
			e.committed(o, p)
		case <-ctx.Done():
			return &NotDurableError{program: o.prog.ID()}
		}
	}
}

// committed advances o's log past the durable record p and stages the changes
// made while p was pending.
func (e *Entry) committed(o *ownedProgram, p *journal.Pending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending != p {
		return // another request for the same call has already done this
	}
	o.pending = nil
	o.log.Advance(p.Checkpoint())
	if o.restage {
		o.restage = false
		e.stageTurn(o)
	}
}

// NotDurableError is returned for a call that has run but whose record is not
// yet durable. The answer is kept and is returned for the same sequence
// number once the record is durable.
type NotDurableError struct{ program program.ID }

// Error returns a message that names the program.
func (e *NotDurableError) Error() string {
	return fmt.Sprintf("program %s: the call ran and its answer is kept, but the record of its turn is not yet durable", e.program)
}

// adopt makes this instance the owner of a program that it does not own,
// whose previous owner crashed or was replaced and whose lease has ended. It
// acquires the lease, whose higher fencing token has the previous owner
// refused everywhere, replays the program's log and opens a new epoch with a
// full record. It fails with a *LeaseError if another instance holds the
// lease, and with a not-found error if the program does not exist.
func (e *Entry) adopt(ctx context.Context, id program.ID) (*ownedProgram, error) {
	// Adoptions of one program are serialised: two concurrent requests must
	// not each create an ownedProgram.
	unlock := e.programLocks.lock(string(id))
	defer unlock()
	if o, ok := e.lookupOwned(id); ok {
		return o, nil
	}
	lease, err := e.acquireLease(ctx, id)
	if err != nil {
		return nil, err
	}
	records, err := e.readLog(ctx, id, lease.journals)
	if err != nil {
		return nil, err
	}
	p, answer, err := restore(id, records, &lease)
	if err != nil {
		return nil, err
	}
	o := &ownedProgram{prog: p, epoch: lease.version, leaseVer: lease.version, leaseExpires: lease.expires}
	if len(answer) > 0 {
		var last caller.Response
		if json.Unmarshal(answer, &last) == nil && last.Sequence > 0 {
			o.last = &lastAnswer{seq: last.Sequence, answer: last}
		}
	}
	e.stageFull(o)
	if err := e.persist(ctx, o); err != nil {
		return nil, err
	}
	e.addOwned(id, o)
	e.log.Info("program adopted", "program", id, "next_sequence", p.NextSequence(), "messages", len(p.History()), "fence", lease.version)
	return o, nil
}

// restore returns the program that the records describe, or the program as
// created if there are none, and the answer of its last call. It fails if
// there are neither records nor creation parameters, or if the records cannot
// be replayed.
func restore(id program.ID, records []program.Checkpoint, lease *acquiredLease) (*program.Program, json.RawMessage, error) {
	if len(records) > 0 {
		return program.Replay(id, records, lease.version)
	}
	if lease.created == nil {
		return nil, nil, notFound(id)
	}
	p, err := program.New(lease.created.Spec, lease.created.Created, lease.version)
	return p, nil, err
}

// notFound returns the caller's error for a program that does not exist.
func notFound(id program.ID) error {
	return caller.NewError(http.StatusNotFound, caller.TypeNotFound, "no program %q", id)
}

// readLog returns the records of the program's newest epoch from the given
// journals, which its lease names. An owner that crashed between acquiring
// the lease and writing its first record leaves an epoch without records; the
// lease then still names the journal of the previous epoch, whose records are
// returned.
func (e *Entry) readLog(ctx context.Context, id program.ID, journals []string) ([]program.Checkpoint, error) {
	var newest journal.Log
	for _, name := range slices.Backward(journals) {
		log, err := e.journals.Program(ctx, name, id)
		if err != nil {
			return nil, err
		}
		if log.Epoch > newest.Epoch {
			newest = log
		}
	}
	return newest.Records, nil
}
