package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against callers that get a reset and no response, since their connections make room for others amid an upload.
func TestUploadThatMakesRoomIsAnswered(t *testing.T) {
	i, _ := startWithConversations(t, 900<<10, 0, 0)
	conn, err := net.Dial("tcp", i.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const size, part = 300_000, 10_000
	_, err = fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", size)
	require.NoError(t, err)
	for sent := 0; sent < size; sent += part {
		if sent == 2*size/3 {
			require.Eventually(t, func() bool { return i.fixture.limiter.Used() > size }, 5*time.Second, time.Millisecond)
			require.Nil(t, i.fixture.limiter.NewHolder(500_000, func() {}), "there is no room before the upload has ended")
		}
		if sent == size-part {
			assert.Less(t, i.fixture.limiter.Used(), int64(size/2), "others can have its room")
		}
		_, err := conn.Write(make([]byte, part))
		require.NoError(t, err, "after %d bytes", sent)
		time.Sleep(3 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Zero(t, len(i.fixture.tool.ReceivedRequests()), "not run")
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
}
