package quarantine

import "sync"

// keeper lets those who recorded a crash wait until an attempt to keep it in the store has
// ended. The zero value is one without a store: nobody waits.
type keeper struct {
	mu       sync.Mutex
	hasStore bool
	// waiting is closed at the end of the next attempt; nil if nobody waits.
	waiting chan struct{}
}

// closed is a channel that is closed.
var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// useStore has later crashes wait for the store.
func (keeper *keeper) useStore() {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.hasStore = true
}

// recorded returns a channel that is closed once an attempt has ended that starts from now
// on.
func (keeper *keeper) recorded() <-chan struct{} {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if !keeper.hasStore {
		return closed
	}
	if keeper.waiting == nil {
		keeper.waiting = make(chan struct{})
	}
	return keeper.waiting
}

// start begins an attempt and returns the function that ends it.
func (keeper *keeper) start() (end func()) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	waiting := keeper.waiting
	keeper.waiting = nil
	return func() {
		if waiting != nil {
			close(waiting)
		}
	}
}
