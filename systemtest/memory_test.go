package systemtest

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// memoryLimit is the memory of an instance at the smallest site, in bytes.
const memoryLimit = 154 << 20

// peakMemory returns the most memory that a process has used, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if value, ok := strings.CutPrefix(scanner.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// Guards against instances that are killed since they hold as much of responses without end as
// comes: many requests at a time whose responses have no end, and others beside them.
func TestResponsesWithoutEndStayWithinMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
	const callers = 60
	for name, raw := range map[string]string{
		"head":  "x",
		"field": head + "X-A: ",
		"event": head + "\r\ndata: ",
		"body":  head + "Content-Length: 10000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			behave := func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
				if strings.Contains(run.Path, "endless") {
					return platformtest.Behaviour{Raw: raw, Endless: strings.Repeat("x", 32<<10)}
				}
				return platformtest.Behaviour{}
			}
			s.model.SetBehaviour(behave)
			s.tool.SetBehaviour(behave)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			var requests sync.WaitGroup
			for n := range callers {
				path := []string{"/chat/", "/look/", "/post/", "/keep/"}[n%4]
				requests.Go(func() {
					_, _, _ = s.fronts[0].post(client, path+"endless", fmt.Sprint("e", n), "x", map[string]string{"X-Token-Count": "100,567", "X-Deadline-Ms": "1200"})
				})
			}
			requests.Wait()
			status, _, err := s.fronts[0].post(client, "/post/x", "r", "x", nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			peak := peakMemory(t, s.fronts[0].PID())
			t.Logf("%d MB", peak>>20)
			assert.Less(t, peak, int64(memoryLimit))
		})
	}
}
