package journal

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

const (
	// maxConcurrentReads is the maximum number of objects read concurrently.
	maxConcurrentReads = 8
	// cacheRetention is the time after its last use for which a journal stays
	// in memory. After an instance crashed, all its programs are requested
	// within moments.
	cacheRetention = 30 * time.Second
)

// Reader reads the journals of other processes and caches their records. It is
// safe for concurrent use.
type Reader struct {
	platform *tableservice.Client
	clock    clock.Clock

	mu    sync.Mutex
	cache map[string]*contents
}

// contents holds the cached records of one journal, the numbers of the batches
// they were read from, and the time of the last use.
type contents struct {
	mu          sync.Mutex
	batchesRead map[uint64]bool
	records     map[program.ID][]Record
	lastUsed    time.Time
}

// NewReader returns a reader with an empty cache.
func NewReader(pc *tableservice.Client, clk clock.Clock) *Reader {
	return &Reader{platform: pc, clock: clk, cache: map[string]*contents{}}
}

// Log holds the records of one program in a journal: those of its latest epoch
// in the journal, from the last full one to the newest. Epochs count from 1; the
// epoch is 0 if the journal has no records of the program.
type Log struct {
	Epoch   uint64
	Records []program.Checkpoint
}

// Program returns the records of the program in the journal, including all that
// were written before the call. It returns an error if the journal can't be
// read or decoded.
func (r *Reader) Program(ctx context.Context, journal string, id program.ID) (Log, error) {
	c := r.contentsOf(journal)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = r.clock.Now()
	if err := r.refresh(ctx, journal, c); err != nil {
		return Log{}, err
	}
	return latestLog(c.records[id]), nil
}

// contentsOf returns the cached contents of journal, which are empty before the
// first read, and drops other journals that were not used for cacheRetention.
func (r *Reader) contentsOf(journal string) *contents {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for name, c := range r.cache {
		if name != journal && c.mu.TryLock() {
			if now.Sub(c.lastUsed) > cacheRetention {
				delete(r.cache, name)
			}
			c.mu.Unlock()
		}
	}
	c, ok := r.cache[journal]
	if !ok {
		c = &contents{batchesRead: map[uint64]bool{}, records: map[program.ID][]Record{}}
		r.cache[journal] = c
	}
	return c
}

// refresh reads the batches of journal that c lacks, from the rows of the table
// service and from the object store. The caller must hold c.mu.
func (r *Reader) refresh(ctx context.Context, journal string, c *contents) error {
	rows, err := r.platform.Scan(ctx, keyPrefix(journal))
	if err != nil {
		return err
	}
	for _, row := range rows {
		if err := c.addBatch(journal, row.Key, row.Value); err != nil {
			return err
		}
	}
	names, err := r.platform.ListObjects(ctx, keyPrefix(journal))
	if err != nil {
		return err
	}
	if err := r.readObjects(ctx, journal, names, c); err != nil {
		return err
	}
	c.prune()
	return nil
}

// prune drops records that newer ones replace. A journal read after a burst
// holds many more records than are needed, and an entry instance has little
// memory.
func (c *contents) prune() {
	for id, records := range c.records {
		if len(records) < 2 {
			continue
		}
		log := latestLog(records)
		kept := make([]Record, len(log.Records))
		for i, checkpoint := range log.Records {
			kept[i] = Record{Program: id, Epoch: log.Epoch, Checkpoint: checkpoint}
		}
		c.records[id] = kept
	}
}

// readObjects reads the objects among names that c lacks, up to
// maxConcurrentReads at once, and adds their batches to c.
func (r *Reader) readObjects(ctx context.Context, journal string, names []string, c *contents) error {
	names = slices.DeleteFunc(names, func(name string) bool {
		n, err := parseBatchKey(journal, name)
		return err == nil && c.batchesRead[n]
	})
	raws := make([]json.RawMessage, len(names))
	errs := make(chan error, len(names))
	slots := make(chan struct{}, maxConcurrentReads)
	for i, name := range names {
		slots <- struct{}{}
		go func() {
			errs <- r.platform.GetObject(ctx, name, &raws[i])
			<-slots
		}()
	}
	var firstErr error
	for range names {
		// An object that was deleted after it was listed held no needed record.
		if err := <-errs; err != nil && !tableservice.IsFailure(err, tableservice.FailureNotFound) && firstErr == nil {
			firstErr = err
		}
	}
	if firstErr != nil {
		return firstErr
	}
	for i, name := range names {
		if len(raws[i]) == 0 {
			continue
		}
		if err := c.addBatch(journal, name, raws[i]); err != nil {
			return err
		}
	}
	return nil
}

// addBatch adds the records of the batch with key name and content raw to c,
// unless the batch was read before. It returns a *NameError or a decoding error
// if name or raw is not a batch's.
func (c *contents) addBatch(journal, name string, raw json.RawMessage) error {
	n, err := parseBatchKey(journal, name)
	if err != nil {
		return err
	}
	if c.batchesRead[n] {
		return nil
	}
	var b Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	c.batchesRead[n] = true
	for _, r := range b.Records {
		c.records[r.Program] = append(c.records[r.Program], r)
	}
	return nil
}

// latestLog returns, of all records of one program, those of its latest epoch
// from the last full one on, in order and without duplicates. Batches that were
// deleted while others were read leave gaps before the last full record only.
func latestLog(records []Record) Log {
	var epoch uint64
	for i := range records {
		epoch = max(epoch, records[i].Epoch)
	}
	var out []program.Checkpoint
	for i := range records {
		if records[i].Epoch == epoch {
			out = append(out, records[i].Checkpoint)
		}
	}
	slices.SortFunc(out, func(a, b program.Checkpoint) int { return int(a.Index) - int(b.Index) })
	out = slices.CompactFunc(out, func(a, b program.Checkpoint) bool { return a.Index == b.Index })
	if len(out) == 0 {
		return Log{}
	}
	base := out[len(out)-1].Base
	out = slices.DeleteFunc(out, func(c program.Checkpoint) bool { return c.Index < base })
	return Log{Epoch: epoch, Records: out}
}
