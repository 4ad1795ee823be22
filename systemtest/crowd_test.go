package systemtest

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Sizes of the crowds and of the machine of an instance under test.
var (
	crowdClients     = flag.Int("crowd.clients", 600, "how many clients there are at a time")
	crowdTime        = flag.Duration("crowd.time", 3*time.Second, "how long they come back before the ordinary request")
	crowdMemoryMB    = flag.Int("crowd.memory", 96, "memory of the instance, in MB")
	crowdDescriptors = flag.Int("crowd.descriptors", 600, "limit on its open descriptors")
)

const (
	// maxTries is how often an ordinary request is sent, each time on a new connection.
	maxTries = 8
	tryPause = 200 * time.Millisecond
)

// crowd is a number of clients that send the same to one address until the test ends.
type crowd struct {
	name string
	// head is what client n sends on each connection, and endless is sent after it until
	// the connection ends.
	head    func(n, round int) string
	endless string
	// stay is how long a client keeps each connection, up to which it reads; 0 for as
	// long as the server does.
	stay time.Duration
	// lasts is how long the clients come back at least.
	lasts time.Duration
	// isBeside is set if the ordinary request is sent while the clients are there.
	isBeside bool
	// isLimited is set if the kernel enforces the limit on descriptors.
	isLimited bool
}

// shortLines returns n bytes of header lines with distinct names of two or three bytes.
func shortLines(n int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < n-6; number++ {
		fmt.Fprintf(&lines, "%s:\r\n", shortName(number))
	}
	return lines.String()
}

// shortName returns the header name of a number below 36 * 37 * 37.
func shortName(number int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{letters[number%36]}
	for number /= 36; number > 0; number /= 37 {
		name = append(name, letters[(number-1)%36])
	}
	return string(name)
}

// requestHead returns the first lines of a request, with an ID of its own.
func requestHead(method, path string, n, round int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: c%d-%d\r\nX-Deadline-Ms: 3000\r\n", method, path, n, round)
}

// callerCrowds returns the crowds at the callers' address.
func callerCrowds() []crowd {
	lines, long := shortLines(15<<10), shortLines(60<<10)
	name, parts := strings.Repeat("x", 14<<10), strings.Repeat(",b:1", 14<<8)
	return []crowd{
		{name: "whole requests of short lines", head: func(n, round int) string {
			return requestHead("GET", "/look/x", n, round) + lines + "\r\n"
		}},
		{name: "short lines not ended", isBeside: true, head: func(n, round int) string { return requestHead("GET", "/look/x", n, round) + lines }},
		{name: "head above the limit not ended", isBeside: true, head: func(n, round int) string { return requestHead("GET", "/look/x", n, round) + long }},
		{name: "names of trailers", head: func(n, round int) string {
			return requestHead("POST", "/look/x", n, round) + "Transfer-Encoding: chunked\r\nTrailer: " + strings.ReplaceAll(lines, ":\r\n", ",") + "z\r\n\r\n0\r\n\r\n"
		}},
		{name: "turns of callers who leave", stay: 300 * time.Millisecond, lasts: 15 * time.Second, head: func(n, round int) string {
			return requestHead("POST", "/keep/x", n, round) + fmt.Sprintf("X-Program: p%d-%d\r\nX-Session: s\r\nX-Token-Budget: 9000\r\nX-Token-Count: 100,567\r\nContent-Length: 2\r\n\r\nhi", n, round)
		}},
		{name: "long names of programs", head: func(n, round int) string {
			return requestHead("POST", "/keep/x", n, round) + fmt.Sprintf("X-Program: p%d-%d-%s\r\nX-Session: s\r\nX-Token-Budget: 9000\r\nX-Token-Count: 100,567\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", n, round, name)
		}},
		{name: "many parts of prompts", head: func(n, round int) string {
			return requestHead("POST", "/chat/x", n, round) + fmt.Sprintf("X-Prompt-Prefix: a%d-%d:100%s\r\nX-Token-Count: 100,567\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", n, round, parts)
		}},
		{name: "bodies announced and not sent", isBeside: true, head: func(n, round int) string {
			return requestHead("POST", "/look/x", n, round) + "Content-Length: 65536\r\n\r\nx"
		}},
		{name: "chunked bodies not ended", isBeside: true, head: func(n, round int) string {
			return requestHead("POST", "/look/x", n, round) + "Transfer-Encoding: chunked\r\n\r\nf000\r\n" + strings.Repeat("x", 0xf000) + "\r\n"
		}},
		{name: "silent connections", isBeside: true, isLimited: true, head: func(int, int) string { return "" }},
		{name: "slow heads", isBeside: true, isLimited: true, head: func(n, round int) string { return requestHead("GET", "/look/x", n, round) }},
		{name: "line without end", isBeside: true, head: func(int, int) string { return "GET /look/" }, endless: strings.Repeat("x", 1<<10)},
		{name: "empty lines without end", isBeside: true, head: func(int, int) string { return "" }, endless: strings.Repeat("\r\n", 1<<10)},
	}
}

// join runs a client of the crowd until ended is closed.
func (c *crowd) join(address string, n int, ended <-chan struct{}) {
	for round := 0; ; round++ {
		select {
		case <-ended:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.use(conn, n, round, ended)
	}
}

// use sends and reads on a connection until the server closes it, stay has passed or ended is
// closed.
func (c *crowd) use(conn net.Conn, n, round int, ended <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if _, err := io.WriteString(conn, c.head(n, round)); err != nil {
			return
		}
		for c.endless != "" {
			if _, err := io.WriteString(conn, c.endless); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}()
	var stay <-chan time.Time
	if c.stay > 0 {
		stay = time.After(c.stay)
	}
	select {
	case <-closed:
	case <-ended:
	case <-stay:
	}
	_ = conn.Close()
	<-closed
}

// countDescriptors returns the number of open descriptors of a process.
func countDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// play has the crowd at address for as long as it lasts, and for as long as request runs if the latter is
// beside it. It returns the most open descriptors of the process.
func (c *crowd) play(address string, clients, pid int, request func()) int {
	ended, mostOpen := make(chan struct{}), 0
	var joined sync.WaitGroup
	for n := range clients {
		joined.Go(func() { c.join(address, n, ended) })
	}
	for end := time.Now().Add(max(*crowdTime, c.lasts)); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mostOpen = max(mostOpen, countDescriptors(pid))
	}
	if c.isBeside {
		request()
	}
	close(ended)
	joined.Wait()
	if !c.isBeside {
		request()
	}
	return mostOpen
}

// errNotAnswered is the result of an ordinary request that was not served in maxTries.
var errNotAnswered = errors.New("ordinary request not answered")

// requestOrdinarily sends an ordinary request until it is served, as callers do that are told
// to come back.
func requestOrdinarily(send func(try int) (int, error)) error {
	last := errNotAnswered
	for try := range maxTries {
		status, err := send(try)
		if err == nil && status < http.StatusMultipleChoices {
			return nil
		}
		last = errors.Join(fmt.Errorf("%w: status %d", errNotAnswered, status), err)
		time.Sleep(tryPause)
	}
	return last
}

// look sends an ordinary request of a caller to the instance.
func (f *frontProcess) look(try int) (int, error) {
	client := alone()
	client.Timeout = time.Second
	status, _, err := f.post(client, "/look/x", fmt.Sprint("o", try), "x", nil)
	return status, err
}

// newCrowdedSite returns a site of one instance with the limits of a crowd's tests.
func newCrowdedSite(t *testing.T) *site {
	s := newSite(t, 0)
	f := s.newFront("front-1")
	data, err := os.ReadFile(f.Settings)
	require.NoError(t, err)
	limits := fmt.Sprintf("ram-mb = %d\nmax-fds = %d\n", *crowdMemoryMB, *crowdDescriptors)
	changed := strings.Replace(string(data), "ram-mb = 154\n", limits, 1)
	require.NoError(t, os.WriteFile(f.Settings, []byte(changed), 0o600))
	s.start(f)
	return s
}

// checkCrowd plays a crowd at an address of an instance and checks the instance's limits.
func checkCrowd(t *testing.T, c crowd, addressOf func(f *frontProcess) string) {
	t.Helper()
	s := newCrowdedSite(t)
	f := s.fronts[0]
	if c.isLimited {
		require.NoError(t, unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(*crowdDescriptors), Max: uint64(*crowdDescriptors)}, nil))
	}
	var answered error
	mostOpen := c.play(addressOf(f), *crowdClients, f.PID(), func() { answered = requestOrdinarily(f.look) })
	peak := peakMemory(t, f.PID())
	t.Logf("%d MB, %d descriptors, ordinary request: %v", peak>>20, mostOpen, answered)
	assert.NoError(t, answered)
	assert.LessOrEqual(t, peak, int64(*crowdMemoryMB)<<20)
	assert.LessOrEqual(t, mostOpen, *crowdDescriptors)
}

// Guards against an instance that runs out of memory or descriptors, or serves nobody else, under
// callers that send more, or hold more, than it has room for.
func TestCrowdOfCallers(t *testing.T) {
	for _, c := range callerCrowds() {
		t.Run(c.name, func(t *testing.T) {
			checkCrowd(t, c, func(f *frontProcess) string { return f.Callers })
		})
	}
}

// Guards against the same at the addresses for readiness checks, other instances and metrics.
func TestCrowdAtOtherListeners(t *testing.T) {
	lines := shortLines(200 << 10)
	for name, addressOf := range map[string]func(f *frontProcess) string{
		"ready":   func(f *frontProcess) string { return f.Ready },
		"peers":   func(f *frontProcess) string { return f.Peer },
		"metrics": func(f *frontProcess) string { return f.Debug },
	} {
		for _, c := range []crowd{
			{name: "heads of short lines", isBeside: true, head: func(n, round int) string { return requestHead("GET", "/x", n, round) + lines }},
			{name: "silent connections", isBeside: true, head: func(int, int) string { return "" }},
		} {
			t.Run(name+" "+c.name, func(t *testing.T) { checkCrowd(t, c, addressOf) })
		}
	}
	t.Run("peers bodies not ended", func(t *testing.T) {
		body := strings.Repeat("x", 1<<20)
		checkCrowd(t, crowd{isBeside: true, head: func(n, round int) string {
			return requestHead("POST", "/entry/store", n, round) + "Content-Length: 4000000\r\n\r\n" + body
		}}, func(f *frontProcess) string { return f.Peer })
	})
}
