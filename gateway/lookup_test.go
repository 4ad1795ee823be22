package gateway_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// requestLine returns the log line of the request with the given ID.
func (b *lockedBuffer) requestLine(t *testing.T, id string) string {
	t.Helper()
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, "msg=request ") && strings.Contains(line, " request="+id+" ") {
			return line
		}
	}
	require.Fail(t, "no log line of request "+id)
	return ""
}

// Guards against a turn that was not found, or that ran and was not stored, whose log
// line doesn't tell where it was looked for, or why and how long it was not stored.
func TestRequestLineTellsWhyTurnIsNotFoundOrNotStored(t *testing.T) {
	b, logs := newFixture(t), &lockedBuffer{}
	b.logs = logs
	i := b.startInstance()
	response, body := i.mustSend(callerRequest{path: "/keep/x", id: "r1", body: "x", header: turnHeaders("p", map[string]string{"X-Previous-Turn": "never"})})
	assert.Equal(t, 404, response.StatusCode)
	assert.NotContains(t, body, "turn-", "callers are not told how turns are stored")
	assert.Contains(t, logs.requestLine(t, "r1"), `lookup.turn=never lookup.result=NotStored lookup.partitions="turn-21: 0 rows; turn-27: 0 rows"`)
	b.memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "read" && partition == "turn-21" {
			return storetest.Refuse
		}
		return storetest.None
	})
	response, _ = i.mustSend(callerRequest{path: "/keep/x", id: "r2", body: "x", header: turnHeaders("p", map[string]string{"X-Previous-Turn": "never", "X-Deadline-Ms": "500"})})
	assert.Equal(t, 503, response.StatusCode)
	assert.Contains(t, logs.requestLine(t, "r2"), `lookup.turn=never lookup.result=Unread lookup.partitions="turn-21: `)
	b.memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "commit" && strings.HasPrefix(partition, "turn-") {
			return storetest.Refuse
		}
		return storetest.None
	})
	_, _, err := i.send(callerRequest{path: "/keep/x", id: "r3", body: "x", header: turnHeaders("p", map[string]string{"X-Deadline-Ms": "500"})})
	require.Error(t, err)
	assert.Regexp(t, `reason=NotKept .*store_time=[0-9.]+ms .*err="NotKept \(502\): turn r3 not stored in turn-[0-9]+ or turn-[0-9]+, attempts: [0-9]+, last failure: store commit: Refused: `, logs.requestLine(t, "r3"))
	i.storeUnavailable.Store(true)
	i.isolated.Store(true)
	response, _ = i.mustSend(callerRequest{path: "/keep/x", id: "r4", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, 503, response.StatusCode)
	assert.Contains(t, logs.requestLine(t, "r4"), "neither the store nor another instance is reachable")
	response, _ = i.mustSend(callerRequest{path: "/nowhere/x", id: "r5", body: "x", header: turnHeaders("p", nil)})
	assert.Equal(t, 404, response.StatusCode)
	assert.Regexp(t, `reason=NoRoute .*configuration=3 host=\S+ path=/nowhere/x`, logs.requestLine(t, "r5"))
}

// Guards against a turn that is answered 404 by an instance which does not know its
// route yet, though its previous turn was answered whole by another one.
func TestTurnOnUnknownRouteIsNotAnswered404(t *testing.T) {
	i := newFixture(t).startInstance()
	response, body := i.mustSend(callerRequest{path: "/nowhere/x", id: "r1", body: "x", header: turnHeaders("p", map[string]string{"X-Previous-Turn": "t1"})})
	assert.Equal(t, 503, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Contains(t, body, "NoRoute")
}
