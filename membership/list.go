package membership

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// State is the readiness of an endpoint.
type State int

//go:generate stringer -type=State -trimprefix=State

// States of an endpoint.
const (
	// StateReady endpoints take work.
	StateReady State = iota
	// StateDraining endpoints are shutting down: they finish their requests and
	// take no new ones.
	StateDraining
	// StateMissing endpoints disappeared from the list during or shortly after
	// an outage of its store. They take work until the grace period ends.
	StateMissing
	// StateInvalid endpoints have an entry without a usable endpoint, written by
	// another writer. They take no work until a valid entry replaces it.
	StateInvalid
)

// Presence is whether an incarnation of an endpoint is listed.
type Presence int

//go:generate stringer -type=Presence -trimprefix=Presence

// Presences of an incarnation.
const (
	// PresenceListed means that the incarnation is listed as ready.
	PresenceListed Presence = iota
	// PresenceLeaving means that the incarnation is listed but drains, or that its entry
	// is missing or invalid, which need not be the endpoint's doing.
	PresenceLeaving
	// PresenceGone means that the incarnation is not listed.
	PresenceGone
	// PresenceUnknown means that the list may be outdated.
	PresenceUnknown
)

// takesWork reports whether an endpoint in the state may be given work.
func (state State) takesWork() bool { return state == StateReady || state == StateMissing }

// Endpoint is an instance of a service. It is immutable.
type Endpoint struct {
	// ID identifies the endpoint. It may stay the same across restarts.
	ID string
	// StartMillis is the time at which the endpoint started, by its own clock in
	// milliseconds since 1970; 0 if it is not reported. It distinguishes the
	// incarnations of an endpoint.
	StartMillis int64
	Service     string
	// Version is the version of the endpoint's software, which need not be that of
	// the service's other endpoints; empty if it is not reported.
	Version    string
	Address    string
	DataCentre string
	Slots      int
	State      State
}

// Incarnation returns the name of the endpoint's present incarnation. Statistics
// and cache content are recorded per incarnation: a restarted endpoint has empty
// memory and none of the earlier requests and faults.
func (endpoint *Endpoint) Incarnation() string {
	if endpoint.StartMillis == 0 {
		return endpoint.ID
	}
	return endpoint.ID + "@" + strconv.FormatInt(endpoint.StartMillis, 10)
}

// recoveryGrace is how long endpoints may stay missing after the store's return.
// Running endpoints are back in the list within about two seconds.
const recoveryGrace = 2 * time.Second

// List holds the endpoints known to this process. It is safe for concurrent use.
// The zero value is not usable; call NewList.
type List struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	// missingSince holds when an endpoint in StateMissing was first missing.
	missingSince map[string]time.Time
	// storeReturnedAt is when the store last returned from an outage;
	// storeUnavailable is set during an outage.
	storeReturnedAt  time.Time
	storeUnavailable bool
	// versions holds the software versions of each service.
	versions map[string]*serviceVersions
	// confirmedAt is when the list was last known to be current; the zero time before
	// that. No change of it was missed since followedSince.
	confirmedAt, followedSince time.Time
	services                   atomic.Pointer[map[string][]*Endpoint]
	loaded                     atomic.Bool
}

// NewList returns an empty list.
func NewList() *List {
	list := &List{endpoints: map[string]*Endpoint{}, missingSince: map[string]time.Time{}, versions: map[string]*serviceVersions{}}
	list.services.Store(&map[string][]*Endpoint{})
	return list
}

// Loaded reports whether the list has been read completely at least once.
func (list *List) Loaded() bool { return list.loaded.Load() }

// Service returns the endpoints of a service that may take work, in order of ID.
// The caller must not modify the slice.
func (list *List) Service(name string) []*Endpoint { return (*list.services.Load())[name] }

// Has reports whether the endpoint with the given ID may take work for service.
func (list *List) Has(service, id string) bool {
	_, ok := slices.BinarySearchFunc(list.Service(service), id, func(endpoint *Endpoint, id string) int { return strings.Compare(endpoint.ID, id) })
	return ok
}

// Len returns the number of endpoints, including those that take no work.
func (list *List) Len() int {
	list.mu.Lock()
	defer list.mu.Unlock()
	return len(list.endpoints)
}

// StoreUnavailable records that the list cannot be read.
func (list *List) StoreUnavailable() {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.storeUnavailable = true
}

// StoreAvailable records that the list could be read again at now.
func (list *List) StoreAvailable(now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.storeUnavailable {
		list.storeUnavailable = false
		list.storeReturnedAt = now
	}
}

// Put records the list's entry of an endpoint. It reports whether the endpoint
// restarted since the last entry. The entry of an earlier incarnation, such as a
// delayed heartbeat, is ignored, except that it marks a missing endpoint as ready.
func (list *List) Put(endpoint *Endpoint) (restarted bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	restarted = list.put(endpoint)
	list.publish()
	return restarted
}

// put is Put without locking and publishing.
func (list *List) put(endpoint *Endpoint) (restarted bool) {
	previous, ok := list.endpoints[endpoint.ID]
	delete(list.missingSince, endpoint.ID)
	switch {
	case !ok:
	case endpoint.State == StateInvalid, endpoint.StartMillis == 0 && previous.StartMillis != 0:
		// An entry without the start time that the endpoint reported before
		// comes from another writer, too. The last incarnation is kept.
		invalid := *previous
		invalid.State = StateInvalid
		endpoint = &invalid
	case endpoint.StartMillis < previous.StartMillis && previous.State == StateMissing:
		// The entry is present again, though an outdated one: the endpoint
		// has not left.
		ready := *previous
		ready.State = StateReady
		endpoint = &ready
	case endpoint.StartMillis < previous.StartMillis:
		return false
	default:
		restarted = endpoint.StartMillis > previous.StartMillis && previous.Address != ""
	}
	list.set(endpoint)
	return restarted
}

// set records an endpoint in place of the previous one of its ID.
func (list *List) set(endpoint *Endpoint) {
	if previous, ok := list.endpoints[endpoint.ID]; ok {
		list.versionsOf(previous.Service).drop(previous.Version)
	}
	list.endpoints[endpoint.ID] = endpoint
	list.versionsOf(endpoint.Service).add(endpoint.Version)
}

// drop removes the endpoint of the given ID.
func (list *List) drop(id string) {
	if previous, ok := list.endpoints[id]; ok {
		list.versionsOf(previous.Service).drop(previous.Version)
	}
	delete(list.endpoints, id)
}

// Remove records that an endpoint left the list. Around an outage of the store
// the entry of a running endpoint may have expired, so a ready endpoint keeps
// taking work until recoveryGrace after the store's return (see Expire).
func (list *List) Remove(id string, now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.remove(id, now)
	list.publish()
}

// remove is Remove without locking and publishing.
func (list *List) remove(id string, now time.Time) {
	endpoint, ok := list.endpoints[id]
	if !ok {
		return
	}
	if !endpoint.State.takesWork() || !list.storeUnavailable && now.Sub(list.storeReturnedAt) >= recoveryGrace {
		list.drop(id)
		delete(list.missingSince, id)
		return
	}
	if endpoint.State == StateMissing {
		return
	}
	lapsed := *endpoint
	lapsed.State = StateMissing
	list.set(&lapsed)
	list.missingSince[id] = now
}

// Replace records the complete list, read at now, and returns the endpoints that
// restarted since their last entry.
func (list *List) Replace(listed []*Endpoint, now time.Time) (restarted []*Endpoint) {
	list.mu.Lock()
	defer list.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, endpoint := range listed {
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
	list.loaded.Store(true)
	return restarted
}

// Expire removes the endpoints that are still missing recoveryGrace after the
// store's return, and returns their IDs in order.
func (list *List) Expire(now time.Time) []string {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.storeUnavailable || len(list.missingSince) == 0 || now.Sub(list.storeReturnedAt) < recoveryGrace {
		return nil
	}
	var expired []string
	for id := range list.missingSince {
		list.drop(id)
		expired = append(expired, id)
	}
	clear(list.missingSince)
	list.publish()
	slices.Sort(expired)
	return expired
}

// publish updates the lists that Service returns.
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

// HasIncarnation reports whether the list holds the named incarnation of an endpoint,
// whether or not it takes work.
func (list *List) HasIncarnation(incarnation string) bool {
	return list.Incarnation(incarnation) != nil
}

// Incarnation returns the endpoint of the named incarnation, nil if it is not listed.
func (list *List) Incarnation(incarnation string) *Endpoint {
	id, _, _ := strings.Cut(incarnation, "@")
	list.mu.Lock()
	defer list.mu.Unlock()
	endpoint, ok := list.endpoints[id]
	if !ok || endpoint.Incarnation() != incarnation {
		return nil
	}
	return endpoint
}

// Presence returns whether the named incarnation of an endpoint, which was listed at
// since, is listed now. It returns PresenceUnknown if it is not in this list, which was not
// current after since.
func (list *List) Presence(incarnation string, since time.Time) Presence {
	id, _, _ := strings.Cut(incarnation, "@")
	list.mu.Lock()
	defer list.mu.Unlock()
	endpoint, ok := list.endpoints[id]
	switch {
	case (!ok || endpoint.Incarnation() != incarnation) && !list.confirmedAt.After(since):
		return PresenceUnknown
	case !ok || endpoint.Incarnation() != incarnation:
		return PresenceGone
	case endpoint.State == StateReady:
		return PresenceListed
	}
	return PresenceLeaving
}
