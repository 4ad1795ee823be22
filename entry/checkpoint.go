package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

// persistFor bounds how long one checkpoint is retried before the caller
// is told to come back for the answer; persistPause and persistMostPause
// bound the pauses between tries.
const (
	persistFor       = 2 * time.Second
	persistPause     = 20 * time.Millisecond
	persistMostPause = 500 * time.Millisecond
)

// Checkpoint records live in the object store under
// program/{id}/{epoch}/{index}, numbers zero-padded so names sort in
// order. The epoch is the lease version at which an owner took the program
// over, so two owners never write the same name.
func logPrefix(id program.ID) string { return "program/" + string(id) + "/" }

func recordKey(id program.ID, epoch, index uint64) string {
	return fmt.Sprintf("%s%020d/%08d", logPrefix(id), epoch, index)
}

// stage makes the record that brings o's log up to its program and keeps
// it pending. The caller holds o.mu.
func (o *owned) stage() {
	var answer json.RawMessage
	if o.last != nil {
		answer, _ = json.Marshal(&o.last.answer)
	}
	c := o.log.Record(o.prog, answer)
	o.pending = &c
}

// persist writes o's pending record and returns once it is durable. No
// answer leaves this instance before the turn it belongs to is durable: an
// owner killed right after would otherwise have told the caller of a turn
// that its successor has never heard of, and the history would be lost.
//
// While the store is down the answer is withheld, not lost: the record
// stays pending, no further call of the program begins, and the caller,
// sent back with Retry-After, gets the answer on the same sequence. A
// retried write has the same name and content, so writing it twice, or a
// lost answer, is harmless.
func (e *Entry) persist(ctx context.Context, o *owned) error {
	o.mu.Lock()
	rec, epoch := o.pending, o.epoch
	o.mu.Unlock()
	if rec == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), persistFor)
	defer cancel()
	key := recordKey(rec.Spec.ID, epoch, rec.Index)
	pauses := retry.Backoff{First: persistPause, Most: persistMostPause}
	for {
		err := e.platform.PutObject(ctx, key, rec)
		if err == nil {
			e.committed(o, rec)
			return nil
		}
		select {
		case <-ctx.Done():
			e.log.Warn("checkpoint failed", "program", rec.Spec.ID, "index", rec.Index, "err", err)
			return &NotDurableError{program: rec.Spec.ID, cause: err}
		case <-time.After(pauses.Next()):
		}
	}
}

func (e *Entry) committed(o *owned, rec *program.Checkpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending != rec {
		return // a duplicate of the call persisted it first
	}
	o.pending = nil
	from, to := o.log.Committed(rec)
	for i := from; i < to; i++ {
		e.janitor.drop(recordKey(rec.Spec.ID, o.epoch, i))
	}
}

// NotDurableError says a turn ran but its record is not yet durable; the
// answer is kept and given on the same sequence once it is.
type NotDurableError struct {
	program program.ID
	cause   error
}

// Error names the program and the cause.
func (e *NotDurableError) Error() string {
	return fmt.Sprintf("program %s: the call ran and its answer is kept, but is not yet durable: %v", e.program, e.cause)
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
	grant, err := e.acquireLease(ctx, id, false)
	if err != nil {
		return nil, err
	}
	records, names, err := e.readLog(ctx, id)
	if err != nil {
		return nil, err
	}
	p, answer, err := program.Replay(id, records, grant.version)
	if err != nil {
		return nil, err
	}
	o := &owned{prog: p, epoch: grant.version, leaseVer: grant.version, leaseExpires: grant.expires}
	if len(answer) > 0 {
		var last caller.Answer
		if json.Unmarshal(answer, &last) == nil && last.Sequence > 0 {
			o.last = &lastAnswer{seq: last.Sequence, answer: last}
		}
	}
	o.stage()
	if err := e.persist(ctx, o); err != nil {
		return nil, err
	}
	for _, name := range names {
		e.janitor.drop(name)
	}
	e.keep(id, o)
	e.log.Info("program adopted", "program", id, "next_sequence", p.NextSequence(), "messages", len(p.History()), "fence", grant.version)
	return o, nil
}

// readLog reads the records of the newest epoch that has a whole record,
// and the names of all records found. An owner that died between taking
// the lease and writing its first record leaves an epoch with none; the
// epoch before it still stands.
func (e *Entry) readLog(ctx context.Context, id program.ID) ([]program.Checkpoint, []string, error) {
	names, err := e.platform.ListObjects(ctx, logPrefix(id))
	if err != nil {
		return nil, nil, err
	}
	if len(names) == 0 {
		return nil, nil, caller.NewError(http.StatusNotFound, caller.TypeNotFound, "no program %q", id)
	}
	epoch, index, err := parseRecordKey(id, names[len(names)-1])
	if err != nil {
		return nil, nil, err
	}
	var newest program.Checkpoint
	if err := e.platform.GetObject(ctx, recordKey(id, epoch, index), &newest); err != nil {
		return nil, nil, err
	}
	records := make([]program.Checkpoint, 0, index-newest.Base+1)
	for i := newest.Base; i < index; i++ {
		var c program.Checkpoint
		if err := e.platform.GetObject(ctx, recordKey(id, epoch, i), &c); err != nil {
			return nil, nil, err
		}
		records = append(records, c)
	}
	return append(records, newest), names, nil
}

func parseRecordKey(id program.ID, name string) (epoch, index uint64, err error) {
	bad := &platform.NameError{Name: name}
	rest, ok := strings.CutPrefix(name, logPrefix(id))
	if !ok {
		return 0, 0, bad
	}
	epochText, indexText, ok := strings.Cut(rest, "/")
	if !ok {
		return 0, 0, bad
	}
	epoch, err = strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return 0, 0, bad
	}
	index, err = strconv.ParseUint(indexText, 10, 64)
	if err != nil {
		return 0, 0, bad
	}
	return epoch, index, nil
}
