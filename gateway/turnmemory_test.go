package gateway_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// startWithConversations starts an instance whose callers may make it hold so many bytes, and has
// it store conversations of three turns of the given size. It returns the ID of the last turn of each.
func startWithConversations(t *testing.T, memory int64, conversations, size int) (i *instance, last []string) {
	b := newFixture(t)
	platformtest.PutConfiguration(b.memory, []byte(strings.Replace(string(platformtest.Configuration(4)), `"max-body-bytes":65536`, `"max-body-bytes":4194304`, 1)))
	b.limiter = connlimit.New(connlimit.Config{Name: "callers", Memory: memory, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope})
	i = b.startInstance()
	for n := range conversations {
		previous := ""
		for turn := range 3 {
			id := fmt.Sprintf("c%d-%d", n, turn)
			response, body := i.mustSend(continuation(n, id, previous, size))
			require.Equal(t, http.StatusOK, response.StatusCode, body)
			previous = id
		}
		last = append(last, previous)
	}
	require.Eventually(t, func() bool { return b.limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
	return i, last
}

// continuation returns a request that continues conversation n after the turn previous.
func continuation(n int, id, previous string, size int) callerRequest {
	header := turnHeaders(fmt.Sprint("p", n), map[string]string{"X-Token-Budget": "90000"})
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	return callerRequest{path: "/keep/x", id: id, body: incompressible(size), header: header}
}

// Guards against turns that are refused after their conversation was read, and against a limit that is exceeded by reading it.
func TestTurnsShareMemoryForTheirConversations(t *testing.T) {
	const memory, conversations, size = 9 << 20, 8, 400_000
	i, last := startWithConversations(t, memory, conversations, size)
	var turns sync.WaitGroup
	for n, previous := range last {
		turns.Go(func() {
			response, body := i.mustSend(continuation(n, fmt.Sprintf("c%d-last", n), previous, size))
			assert.Equal(t, http.StatusOK, response.StatusCode, body)
		})
	}
	ended := make(chan struct{})
	go func() {
		turns.Wait()
		close(ended)
	}()
	highest := int64(0)
	for isOpen := true; isOpen; {
		select {
		case <-ended:
			isOpen = false
		case <-time.After(100 * time.Microsecond):
			highest = max(highest, i.fixture.limiter.Used())
		}
	}
	t.Logf("up to %d of %d bytes", highest, memory)
	assert.Greater(t, highest, int64(4*size), "a conversation is charged")
	assert.LessOrEqual(t, highest, int64(memory))
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against requests of a service that wait for a turn which itself waits for memory, and against one that is refused
// though there is memory in time.
func TestTurnThatWaitsForMemoryLeavesItsSlot(t *testing.T) {
	i, last := startWithConversations(t, 6<<20, 1, 400_000)
	i.fixture.model.EventDelay = 100 * time.Millisecond
	holder := i.fixture.limiter.NewHolder(4<<20, func() {})
	require.NotNil(t, holder)
	result := make(chan int, 1)
	go func() {
		response, _ := i.mustSend(continuation(0, "waiting", last[0], 1000))
		result <- response.StatusCode
	}()
	time.Sleep(200 * time.Millisecond)
	require.Empty(t, result, "waits")
	for _, service := range i.State().(gateway.State).Services {
		assert.Zero(t, service.Running, service.Name)
	}
	assert.Less(t, i.fixture.limiter.Used(), int64(4<<20+200_000), "holds nothing of the conversation")
	response, _ := i.mustSend(callerRequest{path: "/post/x", id: "other", body: "x"})
	assert.Equal(t, http.StatusOK, response.StatusCode)
	holder.End()
	assert.Eventually(t, func() bool {
		for _, service := range i.State().(gateway.State).Services {
			if service.Name == "model" && service.Running == 1 {
				return true
			}
		}
		return false
	}, 2*time.Second, time.Millisecond, "it has a slot while it runs")
	assert.Equal(t, http.StatusOK, <-result)
}

// Guards against a turn without memory that is refused too late for its caller, or as if it might have run.
func TestTurnWithoutMemoryIsToldToComeBackInTime(t *testing.T) {
	i, last := startWithConversations(t, 6<<20, 1, 400_000)
	holder := i.fixture.limiter.NewHolder(4<<20, func() {})
	require.NotNil(t, holder)
	defer holder.End()
	runs, began := len(i.fixture.model.ReceivedRequests()), time.Now()
	response, body := i.mustSend(continuation(0, "refused", last[0], 1000))
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "NoMemory")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Less(t, time.Since(began), 2*time.Second, "its caller waits as long for the first event")
	assert.Len(t, i.fixture.model.ReceivedRequests(), runs)
	more := i.fixture.limiter.NewHolder(300<<10, func() {})
	require.NotNil(t, more)
	defer more.End()
	began = time.Now()
	response, _ = i.mustSend(continuation(1, "first", "", 400_000)) // there is room for its body, not to store it
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Greater(t, time.Since(began), time.Second, "waits")
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Len(t, i.fixture.model.ReceivedRequests(), runs)
}

// Guards against a conversation that takes its memory while the turn is stored, which may take long.
func TestConversationIsReleasedBeforeTheTurnIsStored(t *testing.T) {
	i, last := startWithConversations(t, 6<<20, 1, 400_000)
	i.fixture.model.EventDelay = 50 * time.Millisecond
	var isRefused atomic.Bool
	isRefused.Store(true)
	i.fixture.memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "commit" && strings.HasPrefix(partition, "turn-") && isRefused.Load() {
			return storetest.Refuse
		}
		return storetest.None
	})
	result := make(chan int, 1)
	go func() {
		response, _ := i.mustSend(continuation(0, "stored", last[0], 100_000))
		result <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() > 1200_000 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() < 400_000 }, 2*time.Second, time.Millisecond)
	require.Empty(t, result)
	isRefused.Store(false)
	assert.Equal(t, http.StatusOK, <-result)
}

// Guards against a turn that has run and is lost since there is no memory to store it: its room is kept from the beginning.
func TestTurnHasMemoryToBeStored(t *testing.T) {
	i, last := startWithConversations(t, 6<<20, 1, 400_000)
	i.fixture.model.EventDelay = 100 * time.Millisecond
	result := make(chan int, 1)
	go func() {
		response, _ := i.mustSend(continuation(0, "stored", last[0], 400_000))
		result <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return i.fixture.limiter.Used() > 1600_000 }, 5*time.Second, time.Millisecond)
	for size := int64(4 << 20); size > 1000; size /= 2 {
		if holder := i.fixture.limiter.NewHolder(size, func() {}); holder != nil {
			defer holder.End()
		}
	}
	assert.Equal(t, http.StatusOK, <-result)
}
