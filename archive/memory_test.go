package archive_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

var errNoMemory = errors.New("no memory in this test")

// unlimited is a Memory that always has room.
type unlimited struct{}

// TryReserve implements archive.Memory.
func (unlimited) TryReserve(int64) bool { return true }

// Reserve implements archive.Memory.
func (unlimited) Reserve(context.Context, int64) error { return nil }

// Release implements archive.Memory.
func (unlimited) Release(int64) {}

// limitedMemory is a Memory that has room for limit bytes. Reserve waits until room is closed, and
// fails if it is nil.
type limitedMemory struct {
	mu                   sync.Mutex
	limit, used, highest int64
	room                 chan struct{}
	// waits holds what Reserve was called for, and usedInWait what was charged meanwhile.
	waits      []int64
	usedInWait int64
}

// TryReserve implements archive.Memory.
func (memory *limitedMemory) TryReserve(n int64) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if memory.used+n > memory.limit {
		return false
	}
	memory.used += n
	memory.highest = max(memory.highest, memory.used)
	return true
}

// Reserve implements archive.Memory.
func (memory *limitedMemory) Reserve(_ context.Context, n int64) error {
	memory.mu.Lock()
	memory.waits = append(memory.waits, n)
	memory.usedInWait = memory.used
	memory.mu.Unlock()
	if memory.room == nil {
		return errNoMemory
	}
	<-memory.room
	memory.mu.Lock()
	memory.limit = 1 << 40
	memory.mu.Unlock()
	memory.TryReserve(n)
	return nil
}

// Release implements archive.Memory.
func (memory *limitedMemory) Release(n int64) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.used -= n
}

// converseLarge stores a conversation of turns of the given size, and returns the last ID and the
// memory of the whole chain.
func converseLarge(t *testing.T, s store.Store, name string, turns, size int) (last string, memory int64) {
	t.Helper()
	var chain []*history.Turn
	for n := range turns {
		next := turn(fmt.Sprintf("%s%d", name, n))
		next.Input = randomBytes(rand.New(rand.NewPCG(uint64(n), 1)), size)
		if n > 0 {
			next.Ancestors, next.AncestorBytes = chain[n-1].Chain(), archive.ChainMemory(chain)
		}
		require.NoError(t, open(s).Save(context.Background(), next))
		chain = append(chain, next)
	}
	return chain[turns-1].ID, archive.ChainMemory(chain)
}

// Guards against conversations that are read, and then refused since there is no memory for them.
func TestChainWaitsForMemoryBeforeItReads(t *testing.T) {
	s := storetest.New()
	last, whole := converseLarge(t, s, "t", 6, 200_000)
	reads := countReads(s)
	memory := &limitedMemory{limit: whole - 1}
	_, err := open(s).Chain(context.Background(), "", last, "", memory)
	require.ErrorIs(t, err, errNoMemory)
	assert.Equal(t, []int64{whole}, memory.waits, "the whole conversation at once")
	assert.Zero(t, memory.usedInWait, "others can have what it would need")
	assert.LessOrEqual(t, reads.Load(), int32(2), "the last turn alone")

	memory = &limitedMemory{limit: whole - 1, room: make(chan struct{})}
	close(memory.room)
	chain, err := open(s).Chain(context.Background(), "", last, "", memory)
	require.NoError(t, err)
	assert.Len(t, chain, 6)
	assert.Equal(t, whole, memory.highest)
	assert.Equal(t, whole, memory.used)
	assert.Len(t, memory.waits, 1)

	memory = &limitedMemory{limit: whole}
	_, err = open(s).Chain(context.Background(), "", last, "", memory)
	require.NoError(t, err)
	assert.Empty(t, memory.waits, "it fits")
}

// Guards against a conversation that takes more memory than was reserved, since its last turn tells too little or, as one
// stored by an earlier version, nothing.
func TestChainReservesWhatItsTurnsTake(t *testing.T) {
	for _, told := range []int64{0, 1000, 150_000} {
		s := storetest.New()
		first, second, third := turn("t1"), turn("t2", "t1"), turn("t3", "t1", "t2")
		for _, turn := range []*history.Turn{first, second, third} {
			turn.Input = randomBytes(rand.New(rand.NewPCG(1, 1)), 100_000)
			require.NoError(t, open(s).Save(context.Background(), turn))
			third.AncestorBytes = told
		}
		whole := archive.ChainMemory([]*history.Turn{first, second, third})
		memory := &limitedMemory{limit: whole}
		_, err := open(s).Chain(context.Background(), "", "t3", "", memory)
		require.NoError(t, err, told)
		assert.Equal(t, whole, memory.used, told)
		memory = &limitedMemory{limit: whole - 1}
		_, err = open(s).Chain(context.Background(), "", "t3", "", memory)
		require.ErrorIs(t, err, errNoMemory, told)
		assert.LessOrEqual(t, memory.highest, whole-1, told)
	}
}

// Guards against turns in the cache that a request has in memory, also once they are evicted, without being charged.
func TestCachedTurnsAreReserved(t *testing.T) {
	s := storetest.New()
	a := open(s)
	first, second := turn("t1"), turn("t2", "t1") // which does not tell what the first takes
	require.NoError(t, a.Save(context.Background(), first))
	require.NoError(t, a.Save(context.Background(), second))
	reads := countReads(s)
	memory := &limitedMemory{limit: 1 << 20}
	_, err := a.Chain(context.Background(), "", "t2", "", memory)
	require.NoError(t, err)
	assert.Zero(t, reads.Load())
	assert.Equal(t, archive.ChainMemory([]*history.Turn{first, second}), memory.used)
}

// countingStore counts the memory of the values in its calls in progress.
type countingStore struct {
	store.Store
	inProgress, highest atomic.Int64
}

// count adds n bytes until the returned function is called.
func (counting *countingStore) count(n int) (end func()) {
	now := counting.inProgress.Add(int64(n))
	for highest := counting.highest.Load(); now > highest && !counting.highest.CompareAndSwap(highest, now); {
		highest = counting.highest.Load()
	}
	return func() { counting.inProgress.Add(int64(-n)) }
}

// Commit implements store.Store.
func (counting *countingStore) Commit(ctx context.Context, tx store.Transaction) (uint64, error) {
	defer counting.count(tx.Size())()
	time.Sleep(time.Millisecond)
	return counting.Store.Commit(ctx, tx)
}

// Read implements store.Store.
func (counting *countingStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	page, err := counting.Store.Read(ctx, r)
	size := 0
	for _, row := range page.Rows {
		size += len(row.Value)
	}
	defer counting.count(size)()
	time.Sleep(time.Millisecond)
	return page, err
}

// Guards against calls to the store that take more memory together than there is for them.
func TestCallsInProgressAreBounded(t *testing.T) {
	s := storetest.New()
	last, _ := converseLarge(t, s, "t", 6, 300_000)
	counting := &countingStore{Store: s}
	a := open(counting) // with 1 MB
	var calls sync.WaitGroup
	for n := range 30 {
		calls.Go(func() {
			_, err := a.Chain(context.Background(), "", last, "", unlimited{})
			assert.NoError(t, err)
			large := largeTurn(fmt.Sprint("l", n), 300_000)
			assert.NoError(t, a.Save(context.Background(), large))
		})
	}
	calls.Wait()
	t.Logf("up to %d bytes in calls", counting.highest.Load())
	assert.Positive(t, counting.highest.Load())
	assert.LessOrEqual(t, counting.highest.Load(), int64(1<<20))
	assert.Zero(t, counting.inProgress.Load())
}

// Guards against a call to the store that waits for memory beyond the end of its request.
func TestCallsWaitForMemoryInTime(t *testing.T) {
	s := storetest.New()
	large := largeTurn("t", 600_000)
	a := open(&stalledStore{Store: s, stalled: make(chan struct{})})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	done := make(chan error, 2)
	for range cap(done) {
		go func() { done <- a.Save(ctx, large) }()
	}
	for range cap(done) {
		var saveErr *archive.SaveError
		assert.ErrorAs(t, <-done, &saveErr)
	}
	_, err := a.Chain(context.Background(), "", "never", "", unlimited{})
	var unknown *archive.UnknownTurnError
	assert.ErrorAs(t, err, &unknown, "their memory is free again")
}

// stalledStore does not answer transactions until stalled is closed.
type stalledStore struct {
	store.Store
	stalled chan struct{}
}

// Commit implements store.Store.
func (stalled *stalledStore) Commit(ctx context.Context, _ store.Transaction) (uint64, error) {
	select {
	case <-stalled.stalled:
	case <-ctx.Done():
	}
	return 0, store.NewError(store.FailureUnanswered, "commit", "test")
}

// Guards against large turns that are encoded for an instance that asks for them, only to find that they are too large.
func TestLargeTurnsAreNotSentToPeers(t *testing.T) {
	s := storetest.New()
	a := open(s)
	require.NoError(t, a.Save(context.Background(), turn("small")))
	assert.Len(t, a.Cached("small"), 1)
	large := largeTurn("large", 0)
	large.Input = make([]byte, 700_000) // a few KB when compressed
	require.NoError(t, a.Save(context.Background(), large))
	assert.Empty(t, a.Cached("large"))
	rows, err := large.Encode(40_000)
	require.NoError(t, err)
	reads := countReads(s)
	_, err = openIn(s, sentPeers{{ID: "large", Rows: rows}}).Chain(context.Background(), "", "large", "x", unlimited{})
	require.NoError(t, err)
	assert.Positive(t, reads.Load(), "read from the store")
}

// sentPeers returns the same turns for each request.
type sentPeers []archive.EncodedTurn

// Turns implements archive.Peers.
func (sent sentPeers) Turns(context.Context, string, string) ([]archive.EncodedTurn, error) {
	return sent, nil
}
