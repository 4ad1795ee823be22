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

func TestDrainingAndGoneTakeNoWork(t *testing.T) {
	list := membership.NewList()
	assert.False(t, list.Known())
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady), endpoint("b", membership.StateReady), endpoint("c", membership.StateReady)}, start)
	assert.True(t, list.Known())
	assert.Equal(t, []string{"a", "b", "c"}, ids(list))
	list.Put(endpoint("b", membership.StateDraining))
	assert.Equal(t, []string{"a", "c"}, ids(list))
	list.Remove("a", start.Add(time.Minute))
	assert.Equal(t, []string{"c"}, ids(list))
	assert.True(t, list.Knows("b"))
	assert.False(t, list.Knows("a"))
}

// Symptom: after an outage of the store of a few seconds no endpoint is
// left, and all requests are refused while every endpoint works. Events: the
// store is away; its entries lapse; it returns; the feed says that all were
// removed, and the endpoints register again within two seconds. Cause: a
// removal around an outage was taken for a departure.
func TestEndpointsSurviveOutageOfList(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady), endpoint("b", membership.StateReady), endpoint("c", membership.StateDraining)}, start)
	list.StoreLost()
	back := start.Add(5 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		list.Remove(id, back)
	}
	list.StoreBack(back)
	assert.Equal(t, []string{"a", "b"}, ids(list), "a draining one is gone for good")
	assert.Empty(t, list.Expire(back.Add(time.Second)))
	list.Put(endpoint("a", membership.StateReady))
	assert.Equal(t, []string{"b"}, list.Expire(back.Add(2*time.Second)), "what is still missing is gone")
	assert.Equal(t, []string{"a"}, ids(list))
}

// Symptom: requests go to endpoints that left seconds ago. Events: the feed's
// history is lost while an endpoint leaves; the list is read whole. Cause:
// the whole list only added.
func TestReplaceDropsWhatIsNotListed(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady), endpoint("b", membership.StateReady)}, start)
	list.Replace([]*membership.Endpoint{endpoint("b", membership.StateReady)}, start.Add(time.Minute))
	assert.Equal(t, []string{"b"}, ids(list))
}

func born(id string, at int64) *membership.Endpoint {
	started := endpoint(id, membership.StateReady)
	started.Born = at
	return started
}

// Symptom: an endpoint that started again is taken for the one before, with
// its load, its faults and its cached prompts. Events: it crashes and starts
// under the ID that it had; a heartbeat of its earlier start is written late.
// Cause: only the ID told endpoints apart.
func TestEndpointThatStartsAgain(t *testing.T) {
	list := membership.NewList()
	assert.False(t, list.Put(born("a", 100)))
	assert.False(t, list.Put(born("a", 100)), "a heartbeat")
	assert.True(t, list.Put(born("a", 200)))
	assert.False(t, list.Put(born("a", 100)), "the late heartbeat")
	assert.Equal(t, "a@200", list.Service("model")[0].Incarnation())
	assert.True(t, list.Knows("a@200"))
	assert.False(t, list.Knows("a@100"))
	assert.Equal(t, []*membership.Endpoint{born("a", 300)}, list.Replace([]*membership.Endpoint{born("a", 300)}, start))
}

// Symptom: requests go on to an endpoint whose entry another writer replaced,
// or a whole service is lost to one bad entry. Events: an entry is overwritten
// by one that names no endpoint; a good one follows. Cause: the bad entry was
// passed over, so that the one before stayed in force.
func TestBadEntryEndsItsEndpointOnly(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{born("a", 100), born("b", 100)}, start)
	list.Put(&membership.Endpoint{ID: "a", State: membership.StateInvalid})
	assert.Equal(t, []string{"b"}, ids(list))
	list.Put(born("a", 0))
	assert.Equal(t, []string{"b"}, ids(list), "it lacks what the endpoint always tells")
	list.Put(born("a", 50))
	assert.Equal(t, []string{"b"}, ids(list), "an earlier start's")
	assert.False(t, list.Put(born("a", 100)), "still the same start")
	assert.Equal(t, []string{"a", "b"}, ids(list))
	list.Put(&membership.Endpoint{ID: "c", State: membership.StateInvalid})
	list.Remove("c", start.Add(time.Minute))
	assert.False(t, list.Knows("c"))
	list.StoreLost()
	list.Put(&membership.Endpoint{ID: "a", State: membership.StateInvalid})
	list.Remove("a", start.Add(time.Minute))
	assert.False(t, list.Knows("a@100"), "an outage does not keep it")
}

// Symptom: an endpoint that left a second after an outage gets work for
// ever. Events: the store returns, an endpoint's entry goes within the grace
// time, and it does not come back. Cause: none was looked at after the grace
// time.
func TestRemovedWithinGraceIsGoneAfterIt(t *testing.T) {
	list := membership.NewList()
	list.Replace([]*membership.Endpoint{endpoint("a", membership.StateReady)}, start)
	list.StoreLost()
	list.StoreBack(start.Add(time.Second))
	list.Remove("a", start.Add(1500*time.Millisecond))
	list.Remove("a", start.Add(1600*time.Millisecond))
	assert.Equal(t, []string{"a"}, ids(list))
	assert.Equal(t, []string{"a"}, list.Expire(start.Add(3*time.Second)))
	assert.Empty(t, ids(list))
}
