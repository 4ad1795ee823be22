package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// lockedBuffer is a buffer that several instances log to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// organised returns a bed in which x holds the keys secret-x1 and secret-x2,
// and y secret-y.
func organised(t *testing.T) *bed {
	t.Helper()
	b := newBed(t)
	b.configure(4, platformtest.Organisation{Name: "x", Keys: []string{"secret-x1", "secret-x2"}}, platformtest.Organisation{Name: "y", Keys: []string{"secret-y"}})
	return b
}

func (b *bed) configure(version int, organisations ...platformtest.Organisation) {
	platformtest.Configure(b.memory, platformtest.WithOrganisations(platformtest.Configuration(version), organisations...))
}

func keyed(key string, header map[string]string) map[string]string {
	all := map[string]string{"Api-Key": key}
	for name, value := range header {
		all[name] = value
	}
	return all
}

// Guards against a key reaching an endpoint or the log, and an organisation's
// name that the caller made up.
func TestEndpointIsToldTheOrganisationAndNoKey(t *testing.T) {
	b := organised(t)
	logs := &lockedBuffer{}
	b.logs = logs
	i := b.start()
	for n, key := range []string{"secret-x1", "secret-x2", "secret-y"} {
		response, _ := i.must(ask{path: "/post/x", id: fmt.Sprint("r", n), body: "b", header: keyed(key, map[string]string{"X-Tenant": "other"})})
		require.Equal(t, 200, response.StatusCode)
	}
	runs := b.tool.Runs()
	require.Len(t, runs, 3)
	for n, name := range []string{"x", "x", "y"} {
		assert.Equal(t, name, runs[n].Organisation)
		assert.Empty(t, runs[n].Key)
	}
	response, text := i.must(ask{path: "/post/x", id: "r9", body: "b", header: keyed("secret-z", nil)})
	assert.Equal(t, 401, response.StatusCode)
	assert.NotContains(t, text, "secret")
	require.Eventually(t, func() bool { return bytes.Contains([]byte(logs.String()), []byte("request=r9")) }, time.Second, 10*time.Millisecond)
	assert.NotContains(t, logs.String(), "secret")
	assert.Contains(t, logs.String(), "organisation=x")
}

// Guards against requests that run without a key that the configuration
// holds, and against public routes that ask for one.
func TestRequestWithoutKnownKeyDoesNotRun(t *testing.T) {
	b := organised(t)
	i := b.start()
	for _, key := range []string{"", "secret-x", "x", "secret-x1 ", "Bearer secret-x1"} {
		for _, path := range []string{"/post/x", "/chat/x", "/keep/x"} {
			response, _ := i.must(ask{path: path, id: "r", body: "b", header: keyed(key, turnOf("p", nil))})
			want := 401
			if key == "secret-x1 " {
				want = 200 // white space around a value is no part of it
			}
			assert.Equal(t, want, response.StatusCode, "%s %q", path, key)
		}
	}
	response, _ := i.must(ask{path: "/look/x", id: "open", header: map[string]string{"X-Tenant": "x"}})
	assert.Equal(t, 200, response.StatusCode)
	runs := b.tool.Runs()
	assert.Empty(t, runs[len(runs)-1].Organisation, "a caller without a key is nobody's")
}

// Guards against a conversation that another organisation continues, and a
// budget that it spends, by guessing IDs.
func TestOrganisationsDoNotMeetInProgramsAndTurns(t *testing.T) {
	b := organised(t)
	b.model.Events = 21 // the most of the turn: three of them spend the budget
	first, second := b.start(), b.start()
	own := keyed("secret-x1", turnOf("p", nil))
	response, _ := first.must(ask{path: "/keep/x", id: "t1", body: "one ", header: own})
	require.Equal(t, 200, response.StatusCode)
	for _, i := range []*instance{first, second} {
		response, _ = i.must(ask{path: "/keep/x", id: "guess", body: "x", header: keyed("secret-y", turnOf("p", map[string]string{"X-Previous-Turn": "t1"}))})
		assert.Equal(t, 404, response.StatusCode)
	}
	for n := range 6 {
		first.must(ask{path: "/chat/x", id: fmt.Sprint("spend", n), body: "x", header: keyed("secret-y", turnOf("p", nil))})
	}
	response, _ = second.must(ask{path: "/keep/x", id: "t2", body: "two", header: keyed("secret-x2", turnOf("p", map[string]string{"X-Previous-Turn": "t1"}))})
	assert.Equal(t, 200, response.StatusCode, "any key of the organisation continues, and its budget is its own")
	for _, run := range b.model.Runs() {
		assert.NotEqual(t, "guess", run.ID)
	}
}

// Guards against a key that still works, on a connection that was open before
// it was taken away.
func TestRevokedKeyIsRefusedOnOpenConnections(t *testing.T) {
	b := organised(t)
	i := b.start()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	response, _ := i.must(ask{path: "/post/x", id: "r1", body: "b", header: keyed("secret-x1", nil), client: client})
	require.Equal(t, 200, response.StatusCode)
	b.configure(5, platformtest.Organisation{Name: "x", Keys: []string{"secret-x2"}})
	require.Eventually(t, func() bool {
		response, _ := i.must(ask{path: "/post/x", id: "r2", body: "b", header: keyed("secret-x1", nil), client: client})
		return response.StatusCode == 401
	}, time.Second, 10*time.Millisecond)
	response, _ = i.must(ask{path: "/post/x", id: "r3", body: "b", header: keyed("secret-x2", nil), client: client})
	assert.Equal(t, 200, response.StatusCode)
}

// Guards against a 401 from an instance that may not have heard of the key:
// the caller's program would end.
func TestCutOffInstanceSendsUnknownKeysElsewhere(t *testing.T) {
	b := organised(t)
	i := b.start()
	i.away.Store(true)
	i.cutOff.Store(true)
	response, _ := i.must(ask{path: "/post/x", id: "r1", body: "b", header: keyed("new", nil)})
	assert.Equal(t, 503, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
}

// Guards against a second key header that reaches an endpoint, and a name that
// is passed on as a header of one connection.
func TestHeadersInManyFormsNameNoOtherOrganisation(t *testing.T) {
	b := organised(t)
	i := b.start()
	for n, extra := range []string{"Api-Key: secret-y\r\n", "X-Tenant: y\r\nX-Tenant: z\r\n", "x-tenant: y\r\n", "Connection: X-Tenant\r\nX-Tenant: y\r\n", "Connection: Api-Key\r\n"} {
		connection, err := net.Dial("tcp", i.address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(connection, "POST /post/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: h%d\r\nX-Deadline-Ms: 2000\r\nApi-Key: secret-x1\r\n%sContent-Length: 1\r\n\r\nb", n, extra)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		assert.Equal(t, 200, response.StatusCode, extra)
		require.NoError(t, connection.Close())
	}
	for _, run := range b.tool.Runs() {
		assert.Equal(t, "x", run.Organisation, run.ID)
		assert.Empty(t, run.Key, run.ID)
	}
}
