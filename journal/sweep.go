package journal

import (
	"context"
	"time"
)

const (
	// Each sweepPeriod at most sweepRows rows that nobody needs are deleted,
	// in one transaction, and sweepObjects objects: more than are written.
	sweepPeriod  = 250 * time.Millisecond
	sweepRows    = 64
	sweepObjects = 6
)

// sweep deletes batches that nobody needs until ctx ends, then reports on
// done.
func (w *Writer) sweep(ctx context.Context, done chan<- struct{}) {
	ticker := time.NewTicker(sweepPeriod)
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

// sweepOnce deletes the rows that are due in one transaction, and some of
// the objects. What fails is tried again later.
func (w *Writer) sweepOnce(ctx context.Context) {
	rows, objects := w.due()
	if len(rows) > 0 {
		keys := make([]string, len(rows))
		for i, number := range rows {
			keys[i] = batchKey(w.name, number)
		}
		w.swept(rows, w.platform.Delete(ctx, keys...))
	}
	for _, number := range objects {
		w.swept([]uint64{number}, w.platform.DropObject(ctx, batchKey(w.name, number)))
	}
}

// due takes the batches to delete now off the list.
func (w *Writer) due() (rows, objects []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var left []uint64
	for _, number := range w.unused {
		switch at := w.inStore[number]; {
		case at == placeTable && len(rows) < sweepRows:
			rows = append(rows, number)
		case at == placeObject && len(objects) < sweepObjects:
			objects = append(objects, number)
		default:
			left = append(left, number)
		}
	}
	w.unused = left
	return rows, objects
}

func (w *Writer) swept(numbers []uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.unused = append(w.unused, numbers...)
		return
	}
	for _, number := range numbers {
		delete(w.inStore, number)
	}
	w.pins.forget(numbers)
}
