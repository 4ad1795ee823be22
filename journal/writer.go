package journal

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

const (
	// maxRowBytes is the maximum size of a batch that is written to a row of
	// the table service, which responds sooner than the object store. Larger
	// batches are written to the object store.
	maxRowBytes = 48 << 10
	// largeBatchBytes is the approximate maximum size of a batch of large
	// records. It keeps a write from taking so long that those after it miss
	// their deadlines.
	largeBatchBytes = 2 << 20
	// largeRecordBytes is the minimum size of a large record. Large records
	// are written in separate batches.
	largeRecordBytes = 12 << 10
	// largeBatchIntervals is the minimum number of intervals between two
	// batches of large records: each takes the store longer and counts as
	// a write like any other.
	largeBatchIntervals = 3
	// maxInFlight is the maximum number of batches being written at a time.
	maxInFlight = 8
	// shutdownTimeout is the maximum time for which a stopping writer
	// continues to write pending records.
	shutdownTimeout = 2 * time.Second
	// maxBatchSpan is the maximum distance, in batches, between the newest
	// batch and the oldest that a program needs. A program beyond it should
	// write a full record, which keeps the journal short enough to be read
	// quickly.
	maxBatchSpan = 256
	// initialRetryDelay and maxRetryDelay bound the delays between attempts to
	// write a batch.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Pending is a record that was appended to the journal and may not be durable
// yet.
type Pending struct {
	record  Record
	durable chan struct{}
}

// Durable returns a channel that is closed once the store has the record.
func (p *Pending) Durable() <-chan struct{} { return p.durable }

// Checkpoint returns the record's checkpoint.
func (p *Pending) Checkpoint() *program.Checkpoint { return &p.record.Checkpoint }

// Writer writes the journal of an entry process and deletes its unused batches.
// It is safe for concurrent use.
type Writer struct {
	name     string
	platform *tableservice.Client
	interval time.Duration
	log      *slog.Logger
	// wake makes Run write the waiting records.
	wake chan struct{}
	// urgent ends the current interval between two batches.
	urgent chan struct{}

	mu sync.Mutex
	// waiting holds the records that are in no batch yet.
	waiting []*Pending
	// inFlightRecords is the number of records being written.
	inFlightRecords int
	// lastBatch is the number of the latest batch; batches count from 1.
	lastBatch  uint64
	references *references
	// unused holds the numbers of batches to delete.
	unused []uint64
	// lastLargeBatch is when the last batch of large records was started.
	lastLargeBatch time.Time
	// locations holds the location of each batch in the store.
	locations map[uint64]batchLocation
	stats     Stats
}

// encodedBatch is a batch in the encoding in which it is written. Its name and content must not change
// until the store has accepted it, because an attempt that seemed to fail may
// still take effect. Batches may be written in any order: a program has at most
// one pending record, hence no two batches in flight hold records of the same
// program.
type encodedBatch struct {
	number  uint64
	records []*Pending
	raw     json.RawMessage
}

// batchLocation is the service that stores a batch: the table service or the
// object store.
type batchLocation int

const (
	locationTable batchLocation = iota
	locationObject
)

// Stats holds the counts of a writer: the batches and records written, and how
// many of the batches were objects.
type Stats struct {
	Batches int `json:"batches"`
	Records int `json:"records"`
	Objects int `json:"object_batches"`
	// Live is the number of batches that are in the store now.
	Live int `json:"live_batches"`
	// Waiting is the number of records not yet durable.
	Waiting int `json:"waiting"`
}

// NewWriter returns the writer of the journal called name, which no other
// process may write. If no batch was started within interval, a record is
// written at once; under load the records of an interval are written together,
// except that an urgent record ends the interval.
func NewWriter(name string, pc *tableservice.Client, interval time.Duration, log *slog.Logger) *Writer {
	return &Writer{name: name, platform: pc, interval: interval, log: log, wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1), references: newReferences(), locations: map[uint64]batchLocation{}}
}

// Name returns the journal's name.
func (w *Writer) Name() string { return w.name }

// Append queues r to be written and returns its Pending, which reports when r is
// durable. Writing r is retried until the store accepts it or the process stops.
func (w *Writer) Append(r Record) *Pending {
	p := &Pending{record: r, durable: make(chan struct{})}
	w.mu.Lock()
	w.waiting = append(w.waiting, p)
	w.mu.Unlock()
	w.signal()
	if r.Urgent {
		select {
		case w.urgent <- struct{}{}:
		default:
		}
	}
	return p
}

// signal makes Run start another round of batches.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Release records that the program's records are no longer needed, which allows
// their batches to be deleted.
func (w *Writer) Release(id program.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unused = append(w.unused, w.references.release(id)...)
}

// LaggingPrograms returns the programs that need a batch more than maxBatchSpan batches
// behind the newest. Each should write a full record, which allows the older
// batches to be deleted.
func (w *Writer) LaggingPrograms() []program.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastBatch < maxBatchSpan {
		return nil
	}
	return w.references.programsBefore(w.lastBatch - maxBatchSpan)
}

// Stats returns the writer's counts so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.Live, s.Waiting = len(w.locations), len(w.waiting)+w.inFlightRecords
	return s
}

// Run writes batches and deletes unused ones until ctx is cancelled. It then
// continues to write pending records for up to shutdownTimeout, and sends on
// done.
func (w *Writer) Run(ctx context.Context, done chan<- error) {
	writeCtx, cancelWrites := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWrites()
	sweepDone := make(chan struct{}, 1)
	go w.sweep(ctx, sweepDone)
	defer func() { <-sweepDone }()
	written := make(chan struct{}, maxInFlight)
	inFlight := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-written:
			inFlight--
			continue
		case <-w.wake:
		}
		for inFlight >= maxInFlight-1 {
			<-written
			inFlight--
		}
		inFlight += w.startWrites(writeCtx, written)
		// The first record after an idle interval is written at once; under
		// load the records of one interval share a batch.
		select {
		case <-ctx.Done():
		case <-w.urgent:
		case <-time.After(w.interval):
		}
	}
	defer time.AfterFunc(shutdownTimeout, cancelWrites).Stop()
	for inFlight += w.startWrites(writeCtx, written); inFlight > 0; inFlight-- {
		<-written
	}
	done <- nil
}

// startWrites starts writing the batches that are due and returns their number.
// Each write sends on written when it ends, whether or not it succeeded.
func (w *Writer) startWrites(ctx context.Context, written chan<- struct{}) int {
	batches := w.takeBatches()
	for _, b := range batches {
		go func() {
			if w.writeBatch(ctx, b) {
				w.markDurable(b)
			}
			written <- struct{}{}
		}()
	}
	return len(batches)
}

// takeBatches removes waiting records from the queue and returns them as at most
// two batches: one of small records that fits into a row, which the table
// service writes quickly, and one of large records. Separate batches keep the
// long prompt of a new program from delaying the next turn of all others.
func (w *Writer) takeBatches() []*encodedBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	var small, large, remaining []*Pending
	smallBytes, largeBytes := 0, 0
	largeDue := time.Since(w.lastLargeBatch) >= largeBatchIntervals*w.interval
	for _, p := range w.waiting {
		n := sizeOf(&p.record)
		switch {
		case n < largeRecordBytes && smallBytes+n < maxRowBytes:
			small, smallBytes = append(small, p), smallBytes+n
		case n >= largeRecordBytes && largeDue && largeBytes < largeBatchBytes:
			large, largeBytes = append(large, p), largeBytes+n
		default:
			remaining = append(remaining, p)
		}
	}
	w.waiting = remaining
	if len(large) > 0 {
		w.lastLargeBatch = time.Now()
	}
	if len(remaining) > 0 {
		w.signal()
	}
	var out []*encodedBatch
	for _, records := range [][]*Pending{small, large} {
		if len(records) > 0 {
			out = append(out, w.encode(records))
		}
	}
	return out
}

// encode returns the next batch, with records as its content. The caller must
// hold w.mu.
func (w *Writer) encode(records []*Pending) *encodedBatch {
	b := Batch{Records: make([]Record, len(records))}
	for i, p := range records {
		b.Records[i] = p.record
	}
	raw, err := json.Marshal(&b)
	if err != nil {
		// Unreachable: all fields of a record can be encoded.
		w.log.Error("journal batch not encoded; writing it without its records", "err", err)
	}
	w.lastBatch++
	w.inFlightRecords += len(records)
	return &encodedBatch{number: w.lastBatch, records: records, raw: raw}
}

// recordOverhead is the approximate encoded size in bytes of a record without
// its texts.
const recordOverhead = 400

// sizeOf returns an estimate of the encoded size of r in bytes.
func sizeOf(r *Record) int {
	n := recordOverhead + len(r.Checkpoint.Answer)
	for _, m := range r.Checkpoint.Messages {
		n += len(m.Content) + len(m.Role) + 30
	}
	return n
}

// writeBatch writes b, retrying until it succeeds, and reports whether it did
// before ctx was cancelled. An attempt whose response was lost may have taken
// effect or may still do so. Writing b twice is harmless, because every attempt
// has the same name and content.
func (w *Writer) writeBatch(ctx context.Context, b *encodedBatch) bool {
	key := batchKey(w.name, b.number)
	backoff := retry.Backoff{Initial: initialRetryDelay, Max: maxRetryDelay}
	for attempt := 1; ; attempt++ {
		location, err := w.putBatch(ctx, key, b.raw)
		if err == nil {
			w.mu.Lock()
			w.locations[b.number] = location
			w.mu.Unlock()
			return true
		}
		w.log.Warn("journal batch not written; retrying after a delay", "batch", key, "bytes", len(b.raw), "try", attempt, "err", err)
		if !clock.Sleep(ctx, backoff.Next()) {
			return false
		}
	}
}

// putBatch makes one attempt to write a batch and returns the service it was
// written to.
func (w *Writer) putBatch(ctx context.Context, key string, raw json.RawMessage) (batchLocation, error) {
	if len(raw) > maxRowBytes {
		return locationObject, w.platform.PutObject(ctx, key, raw)
	}
	_, err := w.platform.Put(ctx, key, raw, 0)
	if tableservice.IsFailure(err, tableservice.FailureConflict) {
		// An earlier attempt took effect and its response was lost, since no
		// other process writes this journal.
		err = nil
	}
	return locationTable, err
}

// markDurable updates the counts and references for b, which the store has
// accepted, and closes the Durable channels of its records.
func (w *Writer) markDurable(b *encodedBatch) {
	records := make([]Record, len(b.records))
	for i, p := range b.records {
		records[i] = p.record
	}
	w.mu.Lock()
	w.inFlightRecords -= len(records)
	w.stats.Batches++
	w.stats.Records += len(records)
	if w.locations[b.number] == locationObject {
		w.stats.Objects++
	}
	w.unused = append(w.unused, w.references.add(b.number, records)...)
	w.mu.Unlock()
	for _, p := range b.records {
		close(p.durable)
	}
}
