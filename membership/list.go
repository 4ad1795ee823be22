package membership

import (
	"slices"
	"strconv"
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
	// StateInvalid endpoints have an entry that names none to use, as another
	// writer left it. They take no work until a good entry replaces it.
	StateInvalid
)

// takesWork reports whether an endpoint in the state may be given work.
func (state State) takesWork() bool { return state == StateReady || state == StateMissing }

// Endpoint is an instance of a service. It is immutable.
type Endpoint struct {
	// ID is the endpoint's; one that starts again may keep it.
	ID string
	// Born is when it started, in its own milliseconds since 1970; 0 if it
	// does not tell. It tells its starts apart.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	State      State
}

// Incarnation names one start of the endpoint. What is believed of an
// endpoint is believed of one start: the next one has an empty memory and
// none of the requests and faults of the one before.
func (endpoint *Endpoint) Incarnation() string {
	if endpoint.Born == 0 {
		return endpoint.ID
	}
	return endpoint.ID + "@" + strconv.FormatInt(endpoint.Born, 10)
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

// Put takes in an endpoint as the list has it. It reports whether the
// endpoint started again since it was last put. An entry of an earlier start
// changes nothing: a heartbeat may be written late.
func (list *List) Put(endpoint *Endpoint) (restarted bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	restarted = list.put(endpoint)
	list.publish()
	return restarted
}

func (list *List) put(endpoint *Endpoint) (restarted bool) {
	known, ok := list.endpoints[endpoint.ID]
	delete(list.missing, endpoint.ID)
	switch {
	case !ok:
	case endpoint.State == StateInvalid, endpoint.Born == 0 && known.Born != 0:
		// An entry that lacks what the endpoint always tells is another
		// writer's, too. Which start was the last one stays known.
		invalid := *known
		invalid.State = StateInvalid
		endpoint = &invalid
	case endpoint.Born < known.Born && known.State == StateMissing:
		// The entry is back, though an old one: the endpoint did not lapse.
		back := *known
		back.State = StateReady
		endpoint = &back
	case endpoint.Born < known.Born:
		return false
	default:
		restarted = endpoint.Born > known.Born && known.Address != ""
	}
	list.endpoints[endpoint.ID] = endpoint
	return restarted
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
	if !endpoint.State.takesWork() || !list.away && now.Sub(list.returned) >= recoveryGrace {
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

// Replace takes in the whole list, read at now, and returns the endpoints
// that started again since they were last put.
func (list *List) Replace(all []*Endpoint, now time.Time) (restarted []*Endpoint) {
	list.mu.Lock()
	defer list.mu.Unlock()
	present := make(map[string]bool, len(all))
	for _, endpoint := range all {
		present[endpoint.ID] = true
		if list.put(endpoint) {
			restarted = append(restarted, endpoint)
		}
	}
	for id := range list.endpoints {
		if !present[id] {
			list.remove(id, now)
		}
	}
	list.publish()
	list.known.Store(true)
	return restarted
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
		if endpoint.State.takesWork() {
			services[endpoint.Service] = append(services[endpoint.Service], endpoint)
		}
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	list.services.Store(&services)
}

// Knows reports whether the list holds the start of an endpoint that
// incarnation names, leaving or not.
func (list *List) Knows(incarnation string) bool {
	id, _, _ := strings.Cut(incarnation, "@")
	list.mu.Lock()
	defer list.mu.Unlock()
	endpoint, ok := list.endpoints[id]
	return ok && endpoint.Incarnation() == incarnation
}
