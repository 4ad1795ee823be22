package journal

import (
	"context"
	"time"
)

const (
	// sweepInterval is the interval at which unused batches are deleted. The
	// limits below allow more deletions in an interval than there are writes,
	// which keeps the number of unused batches from growing.
	sweepInterval = 250 * time.Millisecond
	// maxSweptRows is the maximum number of rows deleted in an interval, in
	// one transaction.
	maxSweptRows = 64
	// maxSweptObjects is the maximum number of objects deleted in an interval.
	maxSweptObjects = 6
)

// sweep deletes unused batches at each sweepInterval until ctx is cancelled, then
// sends on done.
func (w *Writer) sweep(ctx context.Context, done chan<- struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- struct{}{}
			return
		case <-ticker.C:
			w.sweepOnce(ctx)
		}
	}
}

// sweepOnce deletes up to maxSweptRows rows in one transaction and up to
// maxSweptObjects objects. A failed deletion is retried in a later interval.
func (w *Writer) sweepOnce(ctx context.Context) {
	rows, objects := w.takeUnused()
	if len(rows) > 0 {
		keys := make([]string, len(rows))
		for i, number := range rows {
			keys[i] = batchKey(w.name, number)
		}
		w.finishSweep(rows, w.platform.Delete(ctx, keys...))
	}
	for _, number := range objects {
		w.finishSweep([]uint64{number}, w.platform.DeleteObject(ctx, batchKey(w.name, number)))
	}
}

// takeUnused removes the batches to delete in this interval from the list of
// unused ones and returns their numbers.
func (w *Writer) takeUnused() (rows, objects []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var remaining []uint64
	for _, number := range w.unused {
		switch location := w.locations[number]; {
		case location == locationTable && len(rows) < maxSweptRows:
			rows = append(rows, number)
		case location == locationObject && len(objects) < maxSweptObjects:
			objects = append(objects, number)
		default:
			remaining = append(remaining, number)
		}
	}
	w.unused = remaining
	return rows, objects
}

// finishSweep handles the result of deleting batches: without an error it
// removes them from the writer's state, otherwise it queues them to be deleted
// again.
func (w *Writer) finishSweep(numbers []uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.unused = append(w.unused, numbers...)
		return
	}
	for _, number := range numbers {
		delete(w.locations, number)
	}
	w.references.removeBatches(numbers)
}
