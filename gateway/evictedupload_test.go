package gateway_test

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// startForUploads starts an instance that has 900 KB for callers, whose requests may take a minute.
func startForUploads(t *testing.T) *instance {
	b := newFixture(t)
	platformtest.PutConfiguration(b.memory, []byte(strings.NewReplacer(`"max-body-bytes":65536`, `"max-body-bytes":4194304`, `"timeout-ms":2000`, `"timeout-ms":60000`).Replace(string(platformtest.Configuration(4)))))
	b.limiter = connlimit.New(connlimit.Config{Name: "callers", Memory: 900 << 10, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	return b.startInstance()
}

// upload is a request whose body is sent in parts.
type upload struct {
	t    *testing.T
	conn net.Conn
	sent int
}

// startUpload sends the head of a request with a body of size bytes.
func (i *instance) startUpload(t *testing.T, path string, size int, deadline time.Duration) *upload {
	t.Helper()
	conn, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", path, deadline.Milliseconds(), size)
	require.NoError(t, err)
	return &upload{t: t, conn: conn}
}

// send sends n bytes of the body in ten parts, with a pause after each.
func (upload *upload) send(n int, pause time.Duration) {
	upload.t.Helper()
	for range 10 {
		_, err := upload.conn.Write(make([]byte, n/10))
		require.NoError(upload.t, err, "after %d bytes", upload.sent)
		upload.sent += n / 10
		time.Sleep(pause)
	}
}

// readResponse reads the response, which tells that the connection is closed.
func (upload *upload) readResponse() *http.Response {
	upload.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(upload.conn), nil)
	require.NoError(upload.t, err)
	_ = response.Body.Close()
	assert.True(upload.t, response.Close)
	return response
}

// requireRefused reads the response, which tells that the request has not run.
func (upload *upload) requireRefused() {
	upload.t.Helper()
	response := upload.readResponse()
	assert.Equal(upload.t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(upload.t, response.Header.Get("Retry-After"))
}

// Guards against callers that get a reset and no response, since their connections make room for others amid an upload.
func TestUploadThatMakesRoomIsAnswered(t *testing.T) {
	for name, pause := range map[string]time.Duration{"steady": 3 * time.Millisecond, "with pauses": 250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			i := startForUploads(t)
			const size = 300_000
			upload := i.startUpload(t, "/post/x", size, 20*time.Second)
			upload.send(2*size/3, time.Millisecond)
			require.Eventually(t, func() bool { return i.fixture.limiter.Used() > size }, 5*time.Second, time.Millisecond)
			require.Nil(t, i.fixture.limiter.NewHolder(500_000, func() {}), "there is no room before the upload has ended")
			require.Eventually(t, func() bool { return i.fixture.limiter.Used() < size/2 }, 5*time.Second, time.Millisecond, "others can have its room")
			upload.send(size/3, pause)
			upload.requireRefused()
			assert.Empty(t, i.fixture.tool.ReceivedRequests(), "not run")
			require.NoError(t, upload.conn.Close())
			require.Eventually(t, func() bool { return i.fixture.limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against callers that get a reset and no response, since there is no room for a body that they take long to send.
func TestSlowUploadWithoutRoomIsAnswered(t *testing.T) {
	i := startForUploads(t)
	const size = 300_000
	others := i.fixture.limiter.NewHolder(500_000, func() {})
	require.NotNil(t, others)
	upload := i.startUpload(t, "/post/x", size, 20*time.Second)
	upload.send(size, 250*time.Millisecond)
	upload.requireRefused()
	assert.Empty(t, i.fixture.tool.ReceivedRequests(), "not run")
}

// Guards against callers that get a reset and no response, since their connections make room for others while the rest of a refused request is awaited.
func TestRefusedUploadThatMakesRoomIsAnswered(t *testing.T) {
	i := startForUploads(t)
	upload := i.startUpload(t, "/none", 300_000, 20*time.Second)
	upload.send(150_000, time.Millisecond)
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() > connlimit.RequestCost }, 5*time.Second, time.Millisecond)
	for _, size := range []int64{600_000, 100_000, 100_000, 100_000} {
		require.NotNil(t, i.fixture.limiter.NewHolder(size, func() {}), "the connection makes room")
	}
	upload.send(150_000, 60*time.Millisecond)
	assert.Equal(t, http.StatusNotFound, upload.readResponse().StatusCode)
}

// Guards against refused uploads that hold their connection for longer than their time, and that delay a planned stop.
func TestRefusedUploadEndsInTime(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration
		end      func(i *instance)
	}{
		"at its deadline":        {deadline: time.Second, end: func(*instance) {}},
		"at the end of shutdown": {deadline: time.Minute, end: func(i *instance) { i.shutdown.Expire() }},
	} {
		t.Run(name, func(t *testing.T) {
			i := startForUploads(t)
			upload := i.startUpload(t, "/post/x", 300_000, test.deadline)
			upload.send(200_000, time.Millisecond)
			require.Eventually(t, func() bool { return i.fixture.limiter.Used() > 300_000 }, 5*time.Second, time.Millisecond)
			require.Nil(t, i.fixture.limiter.NewHolder(500_000, func() {}), "there is no room before the upload has ended")
			upload.requireRefused()
			test.end(i)
			require.Eventually(t, func() bool { return i.fixture.limiter.Used() == 0 }, 5*time.Second, time.Millisecond, "the connection is closed")
		})
	}
}
