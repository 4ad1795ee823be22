package entry

import "sync"

// keyLocks is a set of mutexes by key. The mutex of a key exists while it is
// locked or waited for. The zero value is ready to use.
type keyLocks struct {
	mu   sync.Mutex
	held map[string]*keyLock
}

// keyLock is the mutex of one key; refs counts the goroutines that hold it or
// wait for it.
type keyLock struct {
	mu   sync.Mutex
	refs int
}

// lock locks the mutex of key and returns the function that unlocks it.
func (k *keyLocks) lock(key string) (unlock func()) {
	k.mu.Lock()
	if k.held == nil {
		k.held = map[string]*keyLock{}
	}
	l := k.held[key]
	if l == nil {
		l = &keyLock{}
		k.held[key] = l
	}
	l.refs++
	k.mu.Unlock()
	l.mu.Lock()
	return func() {
		l.mu.Unlock()
		k.mu.Lock()
		defer k.mu.Unlock()
		if l.refs--; l.refs == 0 {
			delete(k.held, key)
		}
	}
}
