package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/membership"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func endpoint(id string, state membership.State) *membership.Endpoint {
	return &membership.Endpoint{ID: id, Service: "model", Address: "10.0.0.1:80", State: state}
}

func ids(list *membership.List) []string {
	var ids []string
	for _, endpoint := range list.Service("model") {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

func TestDrainingAndRemovedEndpointsTakeNoWork(t *testing.T) {
	list := membership.NewList()
	assert.False(t, list.Loaded())
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady), endpoint("b", membership.StateReady), endpoint("c", membership.StateReady)}, start)
	assert.True(t, list.Loaded())
	assert.Equal(t, []string{"a", "b", "c"}, ids(list))
	list.Put(endpoint("b", membership.StateDraining))
	assert.Equal(t, []string{"a", "c"}, ids(list))
	list.Remove("a", start.Add(time.Minute))
	assert.Equal(t, []string{"c"}, ids(list))
	assert.True(t, list.HasIncarnation("b"))
	assert.False(t, list.HasIncarnation("a"))
}

// Guards against the loss of all endpoints after a store outage of a few seconds,
// with all requests refused while every endpoint runs. The entries expire while
// the store is unavailable; on its return the feed reports all of them removed,
// and the endpoints register again within two seconds. Removals around an outage
// used to count as departures.
func TestEndpointsSurviveStoreOutage(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady), endpoint("b", membership.StateReady), endpoint("c", membership.StateDraining)}, start)
	list.StoreUnavailable()
	back := start.Add(5 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		list.Remove(id, back)
	}
	list.StoreAvailable(back)
	assert.Equal(t, []string{"a", "b"}, ids(list), "a draining endpoint is removed immediately")
	assert.Empty(t, list.Expire(back.Add(time.Second)))
	list.Put(endpoint("a", membership.StateReady))
	assert.Equal(t, []string{"b"}, list.Expire(back.Add(2*time.Second)), "endpoints that are still missing are removed")
	assert.Equal(t, []string{"a"}, ids(list))
}

// Guards against requests to endpoints that left seconds ago. The feed's history
// is lost while an endpoint leaves, and the complete list is read. Reading it used
// to add endpoints only.
func TestReplaceRemovesUnlistedEndpoints(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady), endpoint("b", membership.StateReady)}, start)
	list.Replace([]*membership.Endpoint{endpoint("b", membership.StateReady)}, start.Add(time.Minute))
	assert.Equal(t, []string{"b"}, ids(list))
}

func endpointBorn(id string, at int64) *membership.Endpoint {
	started := endpoint(id, membership.StateReady)
	started.StartMillis = at
	return started
}

// Guards against a restarted endpoint inheriting the load, faults and cached
// prompts of its earlier incarnation. It crashes and restarts with the same ID,
// and a heartbeat of the earlier incarnation is written late. The ID alone does
// not distinguish incarnations.
func TestRestartedEndpointIsNewIncarnation(t *testing.T) {
	list := membership.NewList()
	assert.False(t, list.Put(endpointBorn("a", 100)))
	assert.False(t, list.Put(endpointBorn("a", 100)), "a heartbeat of the same incarnation")
	assert.True(t, list.Put(endpointBorn("a", 200)))
	assert.False(t, list.Put(endpointBorn("a", 100)), "a delayed heartbeat of the earlier incarnation")
	assert.Equal(t, "a@200", list.Service("model")[0].Incarnation())
	assert.True(t, list.HasIncarnation("a@200"))
	assert.False(t, list.HasIncarnation("a@100"))
	assert.Equal(t, []*membership.Endpoint{endpointBorn("a", 300)}, list.Replace([]*membership.Endpoint{endpointBorn("a", 300)}, start))
}

// Guards against requests to an endpoint whose entry was overwritten by another
// writer, and against the loss of a service to one invalid entry. An entry is
// overwritten by one that names no endpoint; a valid one follows. The invalid
// entry used to be skipped, which left the previous one in effect.
func TestInvalidEntryDisablesOnlyItsEndpoint(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpointBorn("a", 100), endpointBorn("b", 100)}, start)
	list.Put(&membership.Endpoint{ID: "a", State: membership.StateInvalid})
	assert.Equal(t, []string{"b"}, ids(list))
	list.Put(endpointBorn("a", 0))
	assert.Equal(t, []string{"b"}, ids(list), "an entry without a start time is invalid")
	list.Put(endpointBorn("a", 50))
	assert.Equal(t, []string{"b"}, ids(list), "an entry of an earlier incarnation")
	assert.False(t, list.Put(endpointBorn("a", 100)), "the same incarnation")
	assert.Equal(t, []string{"a", "b"}, ids(list))
	list.Put(&membership.Endpoint{ID: "c", State: membership.StateInvalid})
	list.Remove("c", start.Add(time.Minute))
	assert.False(t, list.HasIncarnation("c"))
	list.StoreUnavailable()
	list.Put(&membership.Endpoint{ID: "a", State: membership.StateInvalid})
	list.Remove("a", start.Add(time.Minute))
	assert.False(t, list.HasIncarnation("a@100"), "an invalid entry does not stay during an outage")
}

// Guards against an endpoint that left a second after an outage receiving work
// forever. The store returns, the endpoint's entry is removed within the grace
// period, and it does not come back. Endpoints used not to be checked after the
// grace period.
func TestEndpointRemovedWithinGraceExpires(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady)}, start)
	list.StoreUnavailable()
	list.StoreAvailable(start.Add(time.Second))
	list.Remove("a", start.Add(1500*time.Millisecond))
	list.Remove("a", start.Add(1600*time.Millisecond))
	assert.Equal(t, []string{"a"}, ids(list))
	assert.Equal(t, []string{"a"}, list.Expire(start.Add(3*time.Second)))
	assert.Empty(t, ids(list))
}

// Guards against an endpoint that drains, or whose entry is missing during an outage of the store, and that is taken for crashed.
func TestPresenceOfIncarnations(t *testing.T) {
	list := membership.NewList()
	born := func(id string, millis int64, state membership.State) *membership.Endpoint {
		e := endpoint(id, state)
		e.StartMillis = millis
		return e
	}
	list.Replace([]*membership.Endpoint{born("a", 100, membership.StateReady), born("b", 100, membership.StateDraining), endpoint("c", membership.StateReady), endpoint("d", membership.StateReady)}, start)
	list.Put(endpoint("d", membership.StateInvalid))
	list.StoreUnavailable()
	list.Remove("c", start)
	assert.Equal(t, membership.PresenceUnknown, list.Presence("e", start), "the list was never current")
	list.Confirm(start.Add(time.Second))
	assert.Equal(t, membership.PresenceUnknown, list.Presence("e", start.Add(2*time.Second)), "the list was current before that")
	for incarnation, want := range map[string]membership.Presence{
		"a@100": membership.PresenceListed, "a@200": membership.PresenceGone, "a": membership.PresenceGone,
		"b@100": membership.PresenceLeaving, "c": membership.PresenceLeaving, "d": membership.PresenceLeaving, "e": membership.PresenceGone,
	} {
		assert.Equal(t, want, list.Presence(incarnation, start), incarnation)
	}
}
