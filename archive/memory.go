package archive

import (
	"context"
	"fmt"
	"sync"

	"github.com/wagtaildrum/wagtaildrum/history"
)

// Memory is charged for the turns that Chain returns. Its methods are called concurrently.
type Memory interface {
	// TryReserve charges n bytes if there is room for them.
	TryReserve(n int64) bool
	// Reserve charges n bytes and waits until there is room for them. It returns an error, which
	// Chain passes on, if there is none in time.
	Reserve(ctx context.Context, n int64) error
	// Release frees n bytes.
	Release(n int64)
}

// noRoomError is returned for turns for which there is no room without waiting.
type noRoomError struct {
	// needed is the memory that they are known to need, in bytes.
	needed int64
}

// Error returns the memory needed.
func (e *noRoomError) Error() string { return fmt.Sprintf("no room for %d bytes", e.needed) }

// chainMemory is the memory reserved for a chain while it is read. It waits for memory only
// between two attempts to read the chain, when it has neither turns nor memory: chains that are
// read at a time would otherwise wait for what the others have.
type chainMemory struct {
	memory Memory

	mu sync.Mutex
	// reserved is what is charged, of which used is allocated in this attempt.
	reserved, used int64
}

// use allocates n bytes. It returns a *noRoomError if they are not reserved and there is no room.
func (chain *chainMemory) use(n int64) error {
	chain.mu.Lock()
	defer chain.mu.Unlock()
	if err := chain.extend(chain.used + n); err != nil {
		return err
	}
	chain.used += n
	return nil
}

// expect reserves n bytes beyond those in use. It returns a *noRoomError if there is no room.
func (chain *chainMemory) expect(n int64) error {
	chain.mu.Lock()
	defer chain.mu.Unlock()
	return chain.extend(chain.used + n)
}

// extend makes the memory reserved at least total. The caller must hold mu.
func (chain *chainMemory) extend(total int64) error {
	if total <= chain.reserved {
		return nil
	}
	if !chain.memory.TryReserve(total - chain.reserved) {
		return &noRoomError{needed: total}
	}
	chain.reserved = total
	return nil
}

// await releases what is reserved, and waits for the memory needed for the next attempt.
func (chain *chainMemory) await(ctx context.Context, needed int64) error {
	chain.mu.Lock()
	defer chain.mu.Unlock()
	chain.memory.Release(chain.reserved)
	chain.reserved, chain.used = 0, 0
	if err := chain.memory.Reserve(ctx, needed); err != nil {
		return err
	}
	chain.reserved = needed
	return nil
}

// ChainMemory returns the memory that the turns of a chain take, in bytes.
func ChainMemory(chain []*history.Turn) int64 {
	size := int64(0)
	for _, turn := range chain {
		size += turn.Memory()
	}
	return size
}
