package journal

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

const (
	// rowBytes is the largest batch that goes into a row of the table
	// service, which answers sooner than the object store; larger ones go
	// to the object store.
	rowBytes = 48 << 10
	// batchBytes is about how much one batch holds at most, so that no
	// write takes so long that those behind it miss their deadlines.
	batchBytes = 2 << 20
	// span is how many batches behind the newest a program's records may
	// lie before it should write a whole record, so that a journal stays
	// short enough to be read in a moment.
	span = 256
	// Pauses between tries of a batch that the store did not take.
	retryFirst = 20 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// Pending is a record on its way to the store.
type Pending struct {
	record  Record
	durable chan struct{}
}

// Durable returns a channel that is closed once the record is durable.
func (p *Pending) Durable() <-chan struct{} { return p.durable }

// Checkpoint returns the record's checkpoint.
func (p *Pending) Checkpoint() *program.Checkpoint { return &p.record.Checkpoint }

// Writer writes an entry process's journal. It is safe for concurrent use.
type Writer struct {
	name     string
	platform *platform.Client
	interval time.Duration
	log      *slog.Logger
	wake     chan struct{}

	mu      sync.Mutex
	waiting []*Pending
	// current is the batch being written. Until the store has taken it, its
	// name and content stay as they are: a try that seemed to fail may
	// still land.
	current *encoded
	next    uint64
	pins    *pins
	unused  []uint64
	inStore map[uint64]place
	stats   Stats
}

// encoded is a batch as it is written.
type encoded struct {
	records []*Pending
	raw     json.RawMessage
}

// place says which service holds a batch.
type place int

const (
	placeTable place = iota
	placeObject
)

// Stats counts a writer's work.
type Stats struct {
	Batches int `json:"batches"`
	Records int `json:"records"`
	Objects int `json:"object_batches"`
	// Live is the number of batches in the store.
	Live int `json:"live_batches"`
	// Waiting is the number of records not yet durable.
	Waiting int `json:"waiting"`
}

// NewWriter returns the writer of the journal called name, which no other
// process may use. A batch goes out at once when none went for interval;
// under load one goes out each interval.
func NewWriter(name string, pc *platform.Client, interval time.Duration, log *slog.Logger) *Writer {
	return &Writer{name: name, platform: pc, interval: interval, log: log, wake: make(chan struct{}, 1), pins: newPins(), inStore: map[uint64]place{}}
}

// Name returns the journal's name.
func (w *Writer) Name() string { return w.name }

// Append hands a record over to be written; its Pending tells when it is
// durable. A record is retried until the store takes it: what was appended
// is never given up while the process lives.
func (w *Writer) Append(r Record) *Pending {
	p := &Pending{record: r, durable: make(chan struct{})}
	w.mu.Lock()
	w.waiting = append(w.waiting, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return p
}

// Release notes that the program's records are needed no more.
func (w *Writer) Release(id program.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unused = append(w.unused, w.pins.release(id)...)
}

// Lagging returns programs whose records lie so far back that they should
// write a whole record.
func (w *Writer) Lagging() []program.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next < span {
		return nil
	}
	return w.pins.before(w.next - span)
}

// Stats returns the writer's counts so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.Live, s.Waiting = len(w.inStore), len(w.waiting)
	if w.current != nil {
		s.Waiting += len(w.current.records)
	}
	return s
}

// Run writes batches until ctx ends and then what still waits, if the
// store takes it at once; then it reports on done.
func (w *Writer) Run(ctx context.Context, done chan<- error) {
	for {
		select {
		case <-ctx.Done():
			w.flush(context.WithoutCancel(ctx), 1)
			done <- nil
			return
		case <-w.wake:
		}
		start := time.Now()
		w.flush(ctx, 0)
		w.sweep(ctx)
		// The first record after a pause goes out at once; under load the
		// records of one interval share a batch.
		select {
		case <-ctx.Done():
		case <-time.After(w.interval - time.Since(start)):
		}
	}
}

// flush writes everything that waits, trying each batch at most tries
// times (0: until ctx ends).
func (w *Writer) flush(ctx context.Context, tries int) {
	for {
		batch := w.take()
		if batch == nil || !w.write(ctx, batch.raw, tries) {
			return
		}
		w.committed(batch.records)
	}
}

// take returns the batch to write: the current one, or the next records
// off the queue; nil if none wait.
func (w *Writer) take() *encoded {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil || len(w.waiting) == 0 {
		return w.current
	}
	size := 0
	n := 0
	for n < len(w.waiting) && (n == 0 || size < batchBytes) {
		for _, m := range w.waiting[n].record.Checkpoint.Messages {
			size += len(m.Content)
		}
		n++
	}
	batch := w.waiting[:n:n]
	w.waiting = w.waiting[n:]
	out := Batch{Records: make([]Record, n)}
	for i, p := range batch {
		out.Records[i] = p.record
	}
	raw, err := json.Marshal(&out)
	if err != nil {
		// Nothing in a record can fail to encode.
		w.log.Error("journal batch not encoded", "err", err)
	}
	w.current = &encoded{records: batch, raw: raw}
	return w.current
}

// write writes one batch. A try whose answer was lost may have taken
// effect, or may yet: the next try has the same name and content, so
// writing it twice is harmless.
func (w *Writer) write(ctx context.Context, raw json.RawMessage, tries int) bool {
	key := batchKey(w.name, w.next)
	pauses := retry.Backoff{First: retryFirst, Most: retryMost}
	for try := 1; ; try++ {
		at, err := w.put(ctx, key, raw)
		if err == nil {
			w.mu.Lock()
			w.inStore[w.next] = at
			w.mu.Unlock()
			return true
		}
		w.log.Warn("journal batch not taken", "batch", key, "bytes", len(raw), "try", try, "err", err)
		if try == tries {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pauses.Next()):
		}
	}
}

func (w *Writer) put(ctx context.Context, key string, raw json.RawMessage) (place, error) {
	if len(raw) > rowBytes {
		return placeObject, w.platform.PutObject(ctx, key, raw)
	}
	_, err := w.platform.Put(ctx, key, raw, 0)
	if platform.Is(err, platform.FailureConflict) {
		// An earlier try took effect and its answer was lost: nobody else
		// writes this journal.
		err = nil
	}
	return placeTable, err
}

func (w *Writer) committed(batch []*Pending) {
	records := make([]Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	w.mu.Lock()
	w.stats.Batches++
	w.stats.Records += len(batch)
	if w.inStore[w.next] == placeObject {
		w.stats.Objects++
	}
	w.unused = append(w.unused, w.pins.add(w.next, records)...)
	w.next++
	w.current = nil
	w.mu.Unlock()
	for _, p := range batch {
		close(p.durable)
	}
}

// sweep deletes one batch that nobody needs, if there is one: one for each
// written keeps pace, and leaves the store's writes to the records.
func (w *Writer) sweep(ctx context.Context) {
	w.mu.Lock()
	if len(w.unused) == 0 {
		w.mu.Unlock()
		return
	}
	number := w.unused[0]
	at := w.inStore[number]
	w.mu.Unlock()
	key := batchKey(w.name, number)
	var err error
	if at == placeObject {
		err = w.platform.DropObject(ctx, key)
	} else {
		err = w.platform.Delete(ctx, key)
	}
	if err != nil {
		return // tried again after the next batch
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unused = w.unused[1:]
	delete(w.inStore, number)
	w.pins.forget([]uint64{number})
}
