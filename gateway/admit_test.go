package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Symptom: an urgent conversation of eleven turns is late, since each of its
// turns waits as long as those of a burst. Events: thirty programs of lower
// priority keep an engine busy that has four slots; a turn takes 90 ms
// there, so that each of theirs waits some 0.6 s; an urgent program begins.
// Cause: engines know no priorities, and all turns waited in the engine's
// queue. Held back at the instance, the urgent one waits for the next slot.
func TestUrgentTurnsPassBurst(t *testing.T) {
	b := newBed(t)
	b.model.Limited, b.model.Slots, b.model.Pause = true, 4, 30*time.Millisecond
	i := b.start()
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var mu sync.Mutex
	took := map[string][]time.Duration{}
	loop := func(path, name string) {
		for n := 0; ctx.Err() == nil; n++ {
			id := fmt.Sprint(name, "-", n)
			began := time.Now()
			response, _, err := i.send(ask{path: path, id: id, body: "x", header: map[string]string{"X-Program": name, "X-Finish-Ms": "9000", "X-Token-Budget": "900000", "X-Token-Count": "100,567"}})
			if err == nil && response.StatusCode == http.StatusOK {
				mu.Lock()
				took[path] = append(took[path], time.Since(began))
				mu.Unlock()
			}
		}
	}
	for n := range 30 {
		callers.Go(func() { loop("/keep/x", fmt.Sprint("burst", n)) })
	}
	time.Sleep(2 * time.Second) // the instance learns of the queue
	mu.Lock()
	clear(took)
	mu.Unlock()
	callers.Go(func() { loop("/chat/x", "urgent") })
	time.Sleep(3 * time.Second)
	stop()
	callers.Wait()
	require.Greater(t, len(took["/chat/x"]), 4)
	assert.Less(t, median(took["/chat/x"]), median(took["/keep/x"])/2)
}

func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// Symptom: a caller whose request is refused sees its connection break in
// place of the refusal, and must take it for one that may have run. Events:
// it sends a body of 60 KB on a connection of its own; the refusal is known
// from the head alone, is written, and the connection is closed while the
// body is still on its way. Cause: the body was left unread.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	b := newBed(t)
	i := b.start()
	for n := range 300 {
		response, _, err := i.send(ask{path: "/nowhere/x", id: fmt.Sprint("r", n), body: strings.Repeat("x", 60_000)})
		require.NoError(t, err, "request %d", n)
		require.Equal(t, http.StatusNotFound, response.StatusCode)
	}
}
