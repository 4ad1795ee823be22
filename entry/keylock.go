package entry

import "sync"

// keyLocks is a set of locks by key; a key's lock exists while it is held
// or waited for. Its zero value is ready for use.
type keyLocks struct {
	mu   sync.Mutex
	held map[string]*keyLock
}

type keyLock struct {
	mu    sync.Mutex
	users int
}

// lock locks key and returns the function that unlocks it.
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
	l.users++
	k.mu.Unlock()
	l.mu.Lock()
	return func() {
		l.mu.Unlock()
		k.mu.Lock()
		defer k.mu.Unlock()
		if l.users--; l.users == 0 {
			delete(k.held, key)
		}
	}
}
