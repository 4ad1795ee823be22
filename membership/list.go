package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// State is what is known of an endpoint's readiness.
type State int

//go:generate stringer -type=State -trimprefix=State

// States of an endpoint.
const (
	// StateReady endpoints take work.
	StateReady State = iota
	// StateDraining endpoints leave: they finish what they have.
	StateDraining
	// StateMissing endpoints left the list around an outage of its store.
	// They take work until the grace time ends.
	StateMissing
)

// Endpoint is an instance of a service. It is immutable.
type Endpoint struct {
	// ID is new with each start of the endpoint.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	State      State
}

// Missing endpoints of an outage are back in the list within about two
// seconds of the store's return, if they live; recoveryGrace is that time.
const recoveryGrace = 2 * time.Second

// List is the endpoints known to this process. Use NewList.
type List struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	// missing holds when an endpoint in StateMissing was first seen so.
	missing map[string]time.Time
	// returned is when the store was last seen to come back from an outage;
	// away is set during one.
	returned time.Time
	away     bool
	services atomic.Pointer[map[string][]*Endpoint]
	known    atomic.Bool
}

// NewList returns an empty list.
func NewList() *List {
	list := &List{endpoints: map[string]*Endpoint{}, missing: map[string]time.Time{}}
	list.services.Store(&map[string][]*Endpoint{})
	return list
}

// Known reports whether the list was read once.
func (list *List) Known() bool { return list.known.Load() }

// Service returns the endpoints of a service that may take work, in order
// of ID. The caller must not change the slice.
func (list *List) Service(name string) []*Endpoint { return (*list.services.Load())[name] }

// Has reports whether the endpoint of an ID may take work.
func (list *List) Has(service, id string) bool {
	_, ok := slices.BinarySearchFunc(list.Service(service), id, func(endpoint *Endpoint, id string) int { return strings.Compare(endpoint.ID, id) })
	return ok
}

// Len returns how many endpoints are known, leaving ones included.
func (list *List) Len() int {
	list.mu.Lock()
	defer list.mu.Unlock()
	return len(list.endpoints)
}

// StoreLost notes that the list cannot be read.
func (list *List) StoreLost() {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.away = true
}

// StoreBack notes that the list could be read again at now.
func (list *List) StoreBack(now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.away {
		list.away = false
		list.returned = now
	}
}

// Put takes in an endpoint as the list has it.
func (list *List) Put(endpoint *Endpoint) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.endpoints[endpoint.ID] = endpoint
	delete(list.missing, endpoint.ID)
	list.publish()
}

// Remove takes in that an endpoint left the list. Around an outage of the
// store a ready endpoint may have lapsed though it lives: it keeps taking
// work until recoveryGrace after the store's return (see Expire).
func (list *List) Remove(id string, now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.remove(id, now)
	list.publish()
}

func (list *List) remove(id string, now time.Time) {
	endpoint, ok := list.endpoints[id]
	if !ok {
		return
	}
	if endpoint.State == StateDraining || !list.away && now.Sub(list.returned) >= recoveryGrace {
		delete(list.endpoints, id)
		delete(list.missing, id)
		return
	}
	if endpoint.State == StateMissing {
		return
	}
	lapsed := *endpoint
	lapsed.State = StateMissing
	list.endpoints[id] = &lapsed
	list.missing[id] = now
}

// Replace takes in the whole list, read at now.
func (list *List) Replace(all []*Endpoint, now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	present := make(map[string]bool, len(all))
	for _, endpoint := range all {
		present[endpoint.ID] = true
		list.endpoints[endpoint.ID] = endpoint
		delete(list.missing, endpoint.ID)
	}
	for id := range list.endpoints {
		if !present[id] {
			list.remove(id, now)
		}
	}
	list.publish()
	list.known.Store(true)
}

// Expire drops the endpoints still missing recoveryGrace after the store's
// return, and returns their IDs.
func (list *List) Expire(now time.Time) []string {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.away || len(list.missing) == 0 || now.Sub(list.returned) < recoveryGrace {
		return nil
	}
	var gone []string
	for id := range list.missing {
		delete(list.endpoints, id)
		gone = append(gone, id)
	}
	clear(list.missing)
	list.publish()
	slices.Sort(gone)
	return gone
}

func (list *List) publish() {
	services := map[string][]*Endpoint{}
	for _, endpoint := range list.endpoints {
		if endpoint.State != StateDraining {
			services[endpoint.Service] = append(services[endpoint.Service], endpoint)
		}
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	list.services.Store(&services)
}

// Knows reports whether the list holds the endpoint, leaving or not.
func (list *List) Knows(id string) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	_, ok := list.endpoints[id]
	return ok
}
