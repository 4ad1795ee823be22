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
	// rowBytes is the largest batch that goes into a row of the table
	// service, which answers sooner than the object store; larger ones go
	// to the object store.
	rowBytes = 48 << 10
	// batchBytes is about how much one batch holds at most, so that no
	// write takes so long that those behind it miss their deadlines.
	batchBytes = 2 << 20
	// smallRecord is the size from which a record counts as large.
	smallRecord = 12 << 10
	// largeEvery is how many intervals lie between two batches of large
	// records: these take the store longer, and cost as many of its writes.
	largeEvery = 3
	// mostInFlight bounds the batches on their way at once.
	mostInFlight = 8
	// finishFor bounds how long a stopping writer goes on.
	finishFor = 2 * time.Second
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
	platform *tableservice.Client
	interval time.Duration
	log      *slog.Logger
	wake     chan struct{}
	// hurry ends the pause between two batches.
	hurry chan struct{}

	mu      sync.Mutex
	waiting []*Pending
	// writing counts the records on their way.
	writing int
	// next numbers batches, from 1.
	next    uint64
	pins    *pins
	unused  []uint64
	largeAt time.Time
	inStore map[uint64]place
	stats   Stats
}

// encoded is a batch as it is written. Until the store has taken it, its
// name and content stay as they are: a try that seemed to fail may still
// land. Its records are of different programs than those of all other
// batches on their way, since a program has one record pending at most; so
// batches may overtake each other.
type encoded struct {
	number  uint64
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
// under load one goes out each interval, and at once for urgent records.
func NewWriter(name string, pc *tableservice.Client, interval time.Duration, log *slog.Logger) *Writer {
	return &Writer{name: name, platform: pc, interval: interval, log: log, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1), pins: newPins(), inStore: map[uint64]place{}}
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
	w.signal()
	if r.Urgent {
		select {
		case w.hurry <- struct{}{}:
		default:
		}
	}
	return p
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
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
	s.Live, s.Waiting = len(w.inStore), len(w.waiting)+w.writing
	return s
}

// Run writes batches until ctx ends, finishes what waits if the store takes
// it soon, and then reports on done.
func (w *Writer) Run(ctx context.Context, done chan<- error) {
	writes, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	swept := make(chan struct{}, 1)
	go w.sweep(ctx, swept)
	defer func() { <-swept }()
	written := make(chan struct{}, mostInFlight)
	inFlight := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-written:
			inFlight--
			continue
		case <-w.wake:
		}
		for inFlight >= mostInFlight-1 {
			<-written
			inFlight--
		}
		inFlight += w.send(writes, written)
		// The first record after a pause goes out at once; under load the
		// records of one interval share a batch.
		select {
		case <-ctx.Done():
		case <-w.hurry:
		case <-time.After(w.interval):
		}
	}
	defer time.AfterFunc(finishFor, stop).Stop()
	for inFlight += w.send(writes, written); inFlight > 0; inFlight-- {
		<-written
	}
	done <- nil
}

// send starts writing the batches now due and returns how many they are.
func (w *Writer) send(ctx context.Context, written chan<- struct{}) int {
	batches := w.take()
	for _, b := range batches {
		go func() {
			if w.write(ctx, b) {
				w.committed(b)
			}
			written <- struct{}{}
		}()
	}
	return len(batches)
}

// take takes waiting records off the queue as at most two batches: the
// small ones that fit into a row, which the table service takes in a moment,
// and apart from them the large ones, so that a new program's long prompt
// does not hold up everybody's next turn.
func (w *Writer) take() []*encoded {
	w.mu.Lock()
	defer w.mu.Unlock()
	var small, large, left []*Pending
	smallBytes, largeBytes := 0, 0
	largeDue := time.Since(w.largeAt) >= largeEvery*w.interval
	for _, p := range w.waiting {
		n := sizeOf(&p.record)
		switch {
		case n < smallRecord && smallBytes+n < rowBytes:
			small, smallBytes = append(small, p), smallBytes+n
		case n >= smallRecord && largeDue && largeBytes < batchBytes:
			large, largeBytes = append(large, p), largeBytes+n
		default:
			left = append(left, p)
		}
	}
	w.waiting = left
	if len(large) > 0 {
		w.largeAt = time.Now()
	}
	if len(left) > 0 {
		w.signal()
	}
	var out []*encoded
	for _, records := range [][]*Pending{small, large} {
		if len(records) > 0 {
			out = append(out, w.encode(records))
		}
	}
	return out
}

func (w *Writer) encode(records []*Pending) *encoded {
	b := Batch{Records: make([]Record, len(records))}
	for i, p := range records {
		b.Records[i] = p.record
	}
	raw, err := json.Marshal(&b)
	if err != nil {
		// Nothing in a record can fail to encode.
		w.log.Error("journal batch not encoded", "err", err)
	}
	w.next++
	w.writing += len(records)
	return &encoded{number: w.next, records: records, raw: raw}
}

// recordOverhead is about what a record takes besides its texts.
const recordOverhead = 400

// sizeOf estimates a record's encoded size in bytes.
func sizeOf(r *Record) int {
	n := recordOverhead + len(r.Checkpoint.Answer)
	for _, m := range r.Checkpoint.Messages {
		n += len(m.Content) + len(m.Role) + 30
	}
	return n
}

// write writes one batch and reports whether the store took it before ctx
// ended. A try whose answer was lost may have taken effect, or may yet: the
// next try has the same name and content, so writing it twice is harmless.
func (w *Writer) write(ctx context.Context, b *encoded) bool {
	key := batchKey(w.name, b.number)
	pauses := retry.Backoff{First: retryFirst, Most: retryMost}
	for try := 1; ; try++ {
		at, err := w.put(ctx, key, b.raw)
		if err == nil {
			w.mu.Lock()
			w.inStore[b.number] = at
			w.mu.Unlock()
			return true
		}
		w.log.Warn("journal batch not taken", "batch", key, "bytes", len(b.raw), "try", try, "err", err)
		if !clock.Sleep(ctx, pauses.Next()) {
			return false
		}
	}
}

func (w *Writer) put(ctx context.Context, key string, raw json.RawMessage) (place, error) {
	if len(raw) > rowBytes {
		return placeObject, w.platform.PutObject(ctx, key, raw)
	}
	_, err := w.platform.Put(ctx, key, raw, 0)
	if tableservice.Is(err, tableservice.FailureConflict) {
		// An earlier try took effect and its answer was lost: nobody else
		// writes this journal.
		err = nil
	}
	return placeTable, err
}

func (w *Writer) committed(b *encoded) {
	records := make([]Record, len(b.records))
	for i, p := range b.records {
		records[i] = p.record
	}
	w.mu.Lock()
	w.writing -= len(records)
	w.stats.Batches++
	w.stats.Records += len(records)
	if w.inStore[b.number] == placeObject {
		w.stats.Objects++
	}
	w.unused = append(w.unused, w.pins.add(b.number, records)...)
	w.mu.Unlock()
	for _, p := range b.records {
		close(p.durable)
	}
}
