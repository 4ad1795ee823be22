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
