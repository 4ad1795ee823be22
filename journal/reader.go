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
	// readers is how many objects are read at once.
	readers = 8
	// cacheFor is how long a journal that was read stays in memory: after
	// an instance died, all its programs are asked for within moments.
	cacheFor = 30 * time.Second
)

// Reader reads other processes' journals. It is safe for concurrent use.
type Reader struct {
	platform *tableservice.Client
	clock    clock.Clock

	mu    sync.Mutex
	cache map[string]*contents
}

// contents is what was read of one journal.
type contents struct {
	mu      sync.Mutex
	read    map[uint64]bool
	records map[program.ID][]Record
	used    time.Time
}

// NewReader returns a reader that has read nothing yet.
func NewReader(pc *tableservice.Client, clk clock.Clock) *Reader {
	return &Reader{platform: pc, clock: clk, cache: map[string]*contents{}}
}

// Log is what a journal holds of one program: the records of its latest
// epoch there, from the last whole one to the newest. Epochs count from 1;
// 0: the journal has nothing.
type Log struct {
	Epoch   uint64
	Records []program.Checkpoint
}

// Program returns what the journal holds of the program. What was written
// before the call is seen.
func (r *Reader) Program(ctx context.Context, journal string, id program.ID) (Log, error) {
	c := r.contentsOf(journal)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = r.clock.Now()
	if err := r.refresh(ctx, journal, c); err != nil {
		return Log{}, err
	}
	return latest(c.records[id]), nil
}

func (r *Reader) contentsOf(journal string) *contents {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for name, c := range r.cache {
		if name != journal && c.mu.TryLock() {
			if now.Sub(c.used) > cacheFor {
				delete(r.cache, name)
			}
			c.mu.Unlock()
		}
	}
	c, ok := r.cache[journal]
	if !ok {
		c = &contents{read: map[uint64]bool{}, records: map[program.ID][]Record{}}
		r.cache[journal] = c
	}
	return c
}

// refresh reads the batches not read yet.
func (r *Reader) refresh(ctx context.Context, journal string, c *contents) error {
	rows, err := r.platform.Scan(ctx, prefixOf(journal))
	if err != nil {
		return err
	}
	for _, row := range rows {
		if err := c.take(journal, row.Key, row.Value); err != nil {
			return err
		}
	}
	names, err := r.platform.ListObjects(ctx, prefixOf(journal))
	if err != nil {
		return err
	}
	if err := r.readObjects(ctx, journal, names, c); err != nil {
		return err
	}
	c.prune()
	return nil
}

// prune drops records that newer ones replaced: a journal read after a
// burst holds many more than are needed, and an entry has little memory.
func (c *contents) prune() {
	for id, records := range c.records {
		if len(records) < 2 {
			continue
		}
		log := latest(records)
		kept := make([]Record, len(log.Records))
		for i, checkpoint := range log.Records {
			kept[i] = Record{Program: id, Epoch: log.Epoch, Checkpoint: checkpoint}
		}
		c.records[id] = kept
	}
}

func (r *Reader) readObjects(ctx context.Context, journal string, names []string, c *contents) error {
	names = slices.DeleteFunc(names, func(name string) bool {
		n, err := batchNumber(journal, name)
		return err == nil && c.read[n]
	})
	raws := make([]json.RawMessage, len(names))
	errs := make(chan error, len(names))
	slots := make(chan struct{}, readers)
	for i, name := range names {
		slots <- struct{}{}
		go func() {
			errs <- r.platform.GetObject(ctx, name, &raws[i])
			<-slots
		}()
	}
	var first error
	for range names {
		// An object dropped since it was listed held nothing needed.
		if err := <-errs; err != nil && !tableservice.Is(err, tableservice.FailureNotFound) && first == nil {
			first = err
		}
	}
	if first != nil {
		return first
	}
	for i, name := range names {
		if len(raws[i]) == 0 {
			continue
		}
		if err := c.take(journal, name, raws[i]); err != nil {
			return err
		}
	}
	return nil
}

// take takes in one batch.
func (c *contents) take(journal, name string, raw json.RawMessage) error {
	n, err := batchNumber(journal, name)
	if err != nil {
		return err
	}
	if c.read[n] {
		return nil
	}
	var b Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	c.read[n] = true
	for _, r := range b.Records {
		c.records[r.Program] = append(c.records[r.Program], r)
	}
	return nil
}

// latest picks, of all records of one program, those of its latest epoch
// from the last whole one on, in order. Batches that were dropped while
// others were read leave gaps below it, never above.
func latest(records []Record) Log {
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
