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

// persistFor bounds how long a call waits for its turn to be durable before
// the caller is told to come back for the answer.
const persistFor = 2 * time.Second

// stage hands the record that brings o's log up to its program to the
// journal and keeps it pending. While another is pending, the record waits
// for persist to stage it: two records under one index would leave it to
// chance which of them a successor reads. The caller holds o.mu.
func (e *Entry) stage(o *owned, record func(*program.Log, json.RawMessage) program.Checkpoint) {
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

// stageTurn stages what changed since the last record.
func (e *Entry) stageTurn(o *owned) {
	e.stage(o, func(l *program.Log, answer json.RawMessage) program.Checkpoint { return l.Record(o.prog, answer) })
}

// stageWhole stages a record that stands on its own.
func (e *Entry) stageWhole(o *owned) {
	e.stage(o, func(l *program.Log, answer json.RawMessage) program.Checkpoint { return l.RecordWhole(o.prog, answer) })
}

// persist returns once o's pending records are durable. No answer leaves this
// instance before the turn it belongs to is durable: an owner killed right
// after would otherwise have told the caller of a turn that its successor
// has never heard of, and the history would be lost.
//
// While the store is down the answer is withheld, not lost: the journal
// goes on trying, no further call of the program begins, and the caller,
// sent back with Retry-After, gets the answer on the same sequence.
func (e *Entry) persist(ctx context.Context, o *owned) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), persistFor)
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

// committed moves o's log past p, now durable, and stages what changed
// meanwhile.
func (e *Entry) committed(o *owned, p *journal.Pending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending != p {
		return // a duplicate of the call was first
	}
	o.pending = nil
	o.log.Committed(p.Checkpoint())
	if o.restage {
		o.restage = false
		e.stageTurn(o)
	}
}

// NotDurableError says a turn ran but its record is not yet durable; the
// answer is kept and given on the same sequence once it is.
type NotDurableError struct{ program program.ID }

// Error names the program.
func (e *NotDurableError) Error() string {
	return fmt.Sprintf("program %s: the call ran and its answer is kept, but is not yet durable", e.program)
}

// adopt takes over a program this instance does not hold: one whose owner
// died or was replaced and whose lease has lapsed. It takes the lease (a
// higher fence, so the old owner is refused everywhere), replays the
// program's log and opens an epoch of its own with a whole record. It
// fails with a *LeaseError if the lease is still held, and with a
// not-found error if the program has no log.
func (e *Entry) adopt(ctx context.Context, id program.ID) (*owned, error) {
	// One adoption of a program at a time: two callers arriving together
	// must not each build an owned state of their own.
	unlock := e.adopting.lock(string(id))
	defer unlock()
	if o, ok := e.lookup(id); ok {
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
	o := &owned{prog: p, epoch: lease.version, leaseVer: lease.version, leaseExpires: lease.expires}
	if len(answer) > 0 {
		var last caller.Answer
		if json.Unmarshal(answer, &last) == nil && last.Sequence > 0 {
			o.last = &lastAnswer{seq: last.Sequence, answer: last}
		}
	}
	e.stageWhole(o)
	if err := e.persist(ctx, o); err != nil {
		return nil, err
	}
	e.keep(id, o)
	e.log.Info("program adopted", "program", id, "next_sequence", p.NextSequence(), "messages", len(p.History()), "fence", lease.version)
	return o, nil
}

// restore returns the program as its records describe it, or as it was
// created if it has none.
func restore(id program.ID, records []program.Checkpoint, lease *grant) (*program.Program, json.RawMessage, error) {
	if len(records) > 0 {
		return program.Replay(id, records, lease.version)
	}
	if lease.created == nil {
		return nil, nil, notFound(id)
	}
	p, err := program.New(lease.created.Spec, lease.created.Created, lease.version)
	return p, nil, err
}

func notFound(id program.ID) error {
	return caller.NewError(http.StatusNotFound, caller.TypeNotFound, "no program %q", id)
}

// readLog reads the records of the program's newest epoch from the journals
// that its lease names. An owner that died between taking the lease and
// writing its first record leaves an epoch with none; the lease then still
// names the journal of the epoch before it, which stands.
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
