package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// putEntry writes an entry into the table of endpoints, as any client of the store may.
func (b *fixture) putEntry(id, value string) {
	key := store.Key{Table: platform.EndpointTable, Name: store.Name(id)}
	require.NoError(b.t, b.memory.Apply(store.Transaction{Puts: []store.Put{{Key: key, Value: []byte(value)}}}))
}

// entryWith returns an entry of a tool endpoint at address with further fields.
func entryWith(address, fields string) string {
	return fmt.Sprintf(`{"backend":"tool","addr":%q,"zone":"a","slots":12,"state":"ready","seq":1%s}`, address, fields)
}

// Guards against entries of other writers that end an instance, keep it from following the list
// or from starting.
func TestOddEntriesAreLeftOut(t *testing.T) {
	nested := func(open, end string, depth int) string {
		return strings.Repeat(open, depth) + "1" + strings.Repeat(end, depth)
	}
	entries := []string{" ", "null", "[]", "\"x\"", "{", "\x00", "\xff\xfe", "{}"}
	for _, depth := range []int{100, 9_990, 10_001, 60_000} {
		entries = append(entries, nested("[", "]", depth), nested(`{"a":`, "}", depth), strings.Repeat("[", depth),
			entryWith("127.0.0.1:1", `,"other":`+nested("[", "]", depth)), entryWith("127.0.0.1:1", `,"slots":`+nested("[", "]", depth)))
	}
	for _, number := range []string{"1e308", "1e309", "-1", "0", "65537", "1.5", "99999999999999999999", strings.Repeat("9", 50_000), "\"12\""} {
		for _, field := range []string{"slots", "born", "seq", "cold-left-ms"} {
			entries = append(entries, entryWith("127.0.0.1:1", fmt.Sprintf(`,%q:%s`, field, number)))
		}
	}
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:1:2", "[::1", "host:80", "10.0.0.1:80\r\nX-A: b", strings.Repeat("1", 60_000)} {
		entries = append(entries, entryWith(address, ""))
	}
	entries = append(entries, strings.Replace(entryWith("ADDR", ""), "ADDR", `\ud800`, 1))
	b := newFixture(t)
	running := b.startInstance()
	for n, entry := range entries {
		b.putEntry(fmt.Sprint("odd", n), entry)
	}
	b.putEntry("odd id\n\x00"+strings.Repeat("x", 150), entryWith("127.0.0.1:1", ""))
	other := platformtest.NewEndpoint("later", "tool", false)
	t.Cleanup(other.Close)
	other.Register(b.memory, "a", "ready")
	started := b.startInstance()
	for _, i := range []*instance{running, started} {
		require.Eventually(t, func() bool { return i.Endpoints.Incarnation("later") != nil }, 2*time.Second, time.Millisecond)
		for n := range 30 {
			response, body := i.mustSend(callerRequest{path: "/look/x", id: fmt.Sprint("r", n)})
			assert.Equal(t, http.StatusOK, response.StatusCode, body)
		}
	}
}

// Guards against requests that are not served since the endpoints tried first, of entries that
// another writer left or whose endpoints have ended, cannot be reached.
func TestUnreachableEndpointsUseUpNoAttempts(t *testing.T) {
	b := newFixture(t)
	for n := range 12 {
		b.putEntry(fmt.Sprint("nobody", n), strings.Replace(entryWith(fmt.Sprintf("127.0.0.1:%d", n+1), ""), `"slots":12`, `"slots":65536`, 1))
	}
	i := b.startInstance()
	for n := range 60 {
		response, body := i.mustSend(callerRequest{path: "/look/x", id: fmt.Sprint("r", n)})
		require.Equal(t, http.StatusOK, response.StatusCode, "request %d: %s", n, body)
	}
}

// Guards against a request that is tried at each endpoint of a service none of which can be
// reached.
func TestUnreachableEndpointsAreTriedWithinABound(t *testing.T) {
	b := newFixture(t)
	b.tool.Unregister(b.memory)
	for n := range 60 {
		b.putEntry(fmt.Sprint("nobody", n), entryWith(fmt.Sprintf("127.0.0.1:%d", n+1), ""))
	}
	var logs lockedBuffer
	b.logs = &logs
	i := b.startInstance()
	response, _ := i.mustSend(callerRequest{path: "/look/x", id: "r"})
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	for line := range strings.Lines(logs.String()) {
		if strings.Contains(line, "msg=request ") {
			assert.Equal(t, 16, strings.Count(line, "nobody"), line)
		}
	}
}
