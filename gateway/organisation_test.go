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

// lockedBuffer is a buffer that several instances can log to concurrently.
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

// String returns the data written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newOrganisationsFixture returns a fixture with two organisations: x holds the
// keys secret-x1 and secret-x2, and y holds secret-y.
func newOrganisationsFixture(t *testing.T) *fixture {
	t.Helper()
	b := newFixture(t)
	b.configure(4, platformtest.Organisation{Name: "x", Keys: []string{"secret-x1", "secret-x2"}}, platformtest.Organisation{Name: "y", Keys: []string{"secret-y"}})
	return b
}

// configure stores a version of the configuration that has the organisations.
func (b *fixture) configure(version int, organisations ...platformtest.Organisation) {
	platformtest.PutConfiguration(b.memory, platformtest.WithOrganisations(platformtest.Configuration(version), organisations...))
}

// withKey returns a copy of header with the organisation key added.
func withKey(key string, header map[string]string) map[string]string {
	all := map[string]string{"Api-Key": key}
	for name, value := range header {
		all[name] = value
	}
	return all
}

// Guards against a key that reaches an endpoint or the log, and against an
// organisation name forged by the caller.
func TestEndpointReceivesOrganisationWithoutKey(t *testing.T) {
	b := newOrganisationsFixture(t)
	logs := &lockedBuffer{}
	b.logs = logs
	i := b.startInstance()
	for n, key := range []string{"secret-x1", "secret-x2", "secret-y"} {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: fmt.Sprint("r", n), body: "b", header: withKey(key, map[string]string{"X-Tenant": "other"})})
		require.Equal(t, 200, response.StatusCode)
	}
	runs := b.tool.ReceivedRequests()
	require.Len(t, runs, 3)
	for n, name := range []string{"x", "x", "y"} {
		assert.Equal(t, name, runs[n].Organisation)
		assert.Empty(t, runs[n].Key)
	}
	response, text := i.mustSend(callerRequest{path: "/post/x", id: "r9", body: "b", header: withKey("secret-z", nil)})
	assert.Equal(t, 401, response.StatusCode)
	assert.NotContains(t, text, "secret")
	require.Eventually(t, func() bool { return bytes.Contains([]byte(logs.String()), []byte("request=r9")) }, time.Second, 10*time.Millisecond)
	assert.NotContains(t, logs.String(), "secret")
	assert.Contains(t, logs.String(), "organisation=x")
}

// Guards against running requests without a configured key, and against
// requiring a key on public routes.
func TestRequestWithoutKnownKeyDoesNotRun(t *testing.T) {
	b := newOrganisationsFixture(t)
	i := b.startInstance()
	for _, key := range []string{"", "secret-x", "x", "secret-x1 ", "Bearer secret-x1"} {
		for _, path := range []string{"/post/x", "/chat/x", "/keep/x"} {
			response, _ := i.mustSend(callerRequest{path: path, id: "r", body: "b", header: withKey(key, turnHeaders("p", nil))})
			want := 401
			if key == "secret-x1 " {
				want = 200 // white space around a header value is not part of it
			}
			assert.Equal(t, want, response.StatusCode, "%s %q", path, key)
		}
	}
	response, _ := i.mustSend(callerRequest{path: "/look/x", id: "open", header: map[string]string{"X-Tenant": "x"}})
	assert.Equal(t, 200, response.StatusCode)
	runs := b.tool.ReceivedRequests()
	assert.Empty(t, runs[len(runs)-1].Organisation, "a caller without a key belongs to no organisation")
}

// Guards against an organisation that continues another's conversation, or
// spends its budget, by guessing IDs.
func TestOrganisationsDoNotSharePrograms(t *testing.T) {
	b := newOrganisationsFixture(t)
	b.model.Events = 21 // the maximum of the turn: three turns spend the budget
	first, second := b.startInstance(), b.startInstance()
	headers := withKey("secret-x1", turnHeaders("p", nil))
	response, _ := first.mustSend(callerRequest{path: "/keep/x", id: "t1", body: "one ", header: headers})
	require.Equal(t, 200, response.StatusCode)
	for _, i := range []*instance{first, second} {
		response, _ = i.mustSend(callerRequest{path: "/keep/x", id: "guess", body: "x", header: withKey("secret-y", turnHeaders("p", map[string]string{"X-Previous-Turn": "t1"}))})
		assert.Equal(t, 404, response.StatusCode)
	}
	for n := range 6 {
		first.mustSend(callerRequest{path: "/chat/x", id: fmt.Sprint("spend", n), body: "x", header: withKey("secret-y", turnHeaders("p", nil))})
	}
	response, _ = second.mustSend(callerRequest{path: "/keep/x", id: "t2", body: "two", header: withKey("secret-x2", turnHeaders("p", map[string]string{"X-Previous-Turn": "t1"}))})
	assert.Equal(t, 200, response.StatusCode, "any key of the organisation continues the conversation, and its budget is separate")
	for _, run := range b.model.ReceivedRequests() {
		assert.NotEqual(t, "guess", run.ID)
	}
}

// Guards against a revoked key that stays valid on a connection opened before.
func TestRevokedKeyIsRefusedOnOpenConnections(t *testing.T) {
	b := newOrganisationsFixture(t)
	i := b.startInstance()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "r1", body: "b", header: withKey("secret-x1", nil), client: client})
	require.Equal(t, 200, response.StatusCode)
	b.configure(5, platformtest.Organisation{Name: "x", Keys: []string{"secret-x2"}})
	require.Eventually(t, func() bool {
		response, _ := i.mustSend(callerRequest{path: "/post/x", id: "r2", body: "b", header: withKey("secret-x1", nil), client: client})
		return response.StatusCode == 401
	}, time.Second, 10*time.Millisecond)
	response, _ = i.mustSend(callerRequest{path: "/post/x", id: "r3", body: "b", header: withKey("secret-x2", nil), client: client})
	assert.Equal(t, 200, response.StatusCode)
}

// Guards against a 401 response from an instance that may have missed the key.
// It would end the caller's program.
func TestPartitionedInstanceRefusesUnknownKeyAsUnavailable(t *testing.T) {
	b := newOrganisationsFixture(t)
	i := b.startInstance()
	i.storeUnavailable.Store(true)
	i.isolated.Store(true)
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "r1", body: "b", header: withKey("new", nil)})
	assert.Equal(t, 503, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
}

// Guards against a second key header that reaches an endpoint, and against a
// forged organisation name that is forwarded because a Connection header lists
// it.
func TestHeaderVariantsCannotForgeOrganisation(t *testing.T) {
	b := newOrganisationsFixture(t)
	i := b.startInstance()
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
	for _, run := range b.tool.ReceivedRequests() {
		assert.Equal(t, "x", run.Organisation, run.ID)
		assert.Empty(t, run.Key, run.ID)
	}
}
