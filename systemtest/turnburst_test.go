package systemtest

import (
	"crypto/rand"
	"encoding/base64"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

var (
	burstAll    = flag.Bool("burst.all", false, "whether all bursts of turns are played")
	burstRounds = flag.Int("burst.rounds", 2, "how many bursts there are of each kind")
)

// turnBurst is a number of conversations, each of which goes on at all instances at once.
type turnBurst struct {
	conversations, earlierTurns int
	// bytes is the size of the input of each turn.
	bytes int
	// isBrief is set for what is played without -burst.all.
	isBrief bool
}

// statusCounts counts responses by status, 0 for none.
type statusCounts struct {
	mu     sync.Mutex
	counts map[int]int
}

func (counts *statusCounts) add(status int) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.counts[status]++
}

// Guards against instances that exceed their memory since conversations that go on at once are read before room is kept for them.
func TestCrowdOfTurnsStaysWithinMemory(t *testing.T) {
	for _, burst := range []turnBurst{
		{conversations: 8, earlierTurns: 5, bytes: 3_000_000, isBrief: true},
		{conversations: 8, earlierTurns: 5, bytes: 4_000_000},
		{conversations: 3, earlierTurns: 5, bytes: 3_000_000},
		{conversations: 24, earlierTurns: 5, bytes: 1_000_000},
		{conversations: 40, earlierTurns: 0, bytes: 4_000_000, isBrief: true},
		{conversations: 200, earlierTurns: 5, bytes: 100_000, isBrief: true},
		{conversations: 400, earlierTurns: 5, bytes: 17_000},
	} {
		if !burst.isBrief && !*burstAll {
			continue
		}
		t.Run(fmt.Sprintf("%d of %d bytes", burst.conversations, burst.bytes), func(t *testing.T) { burst.play(t) })
	}
}

// play plays the bursts at two instances, beside short requests.
func (burst *turnBurst) play(t *testing.T) {
	s := newSite(t, 2)
	platformtest.PutConfiguration(s.memory, []byte(strings.Replace(string(platformtest.Configuration(4)), `"max-body-bytes":65536`, `"max-body-bytes":4194304`, 1)))
	random := make([]byte, burst.bytes*3/4)
	_, err := rand.Read(random)
	require.NoError(t, err)
	body := base64.StdEncoding.EncodeToString(random)
	require.Eventually(t, func() bool {
		status, _, err := s.fronts[0].post(alone(), "/keep/x", "large", body, turnHeader("large", ""))
		return err == nil && status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond, "the configuration is in force")
	last := make([]string, burst.conversations)
	for turn := range burst.earlierTurns {
		for n := range last {
			id := fmt.Sprintf("c%d-%d", n, turn)
			status, _, err := s.fronts[turn%2].post(alone(), "/keep/x", id, body, turnHeader(fmt.Sprint("p", n), last[n]))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			last[n] = id
		}
	}
	turns, others := &statusCounts{counts: map[int]int{}}, &statusCounts{counts: map[int]int{}}
	stopOthers := s.sendOthers(others)
	for round := range *burstRounds {
		var all sync.WaitGroup
		for f, front := range s.fronts {
			for n, previous := range last {
				all.Go(func() {
					header := turnHeader(fmt.Sprint("p", n), previous)
					header["X-Token-Budget"] = "90000"
					status, _, err := front.post(alone(), "/keep/x", fmt.Sprintf("c%d-r%d-f%d", n, round, f), body, header)
					if err != nil {
						t.Logf("c%d-r%d-f%d: %v", n, round, f, err)
					}
					turns.add(status)
				})
			}
		}
		all.Wait()
	}
	stopOthers()
	for _, front := range s.fronts {
		peak := peakMemory(t, front.PID())
		t.Logf("%s: %d MB", front.Name, peak>>20)
		assert.Less(t, peak, int64(memoryLimit))
	}
	t.Log("turns by status:", turns.counts, "others:", others.counts)
	sent := *burstRounds * len(s.fronts) * burst.conversations
	assert.Equal(t, sent, turns.counts[http.StatusOK]+turns.counts[http.StatusServiceUnavailable], "turns are served or told to come back")
	assert.Positive(t, turns.counts[http.StatusOK])
	assert.Len(t, others.counts, 1, "short requests are served")
	for _, run := range s.model.ReceivedRequests() {
		if strings.HasPrefix(run.ID, "c") && strings.Contains(run.ID, "-r") {
			require.GreaterOrEqual(t, len(run.Body), (burst.earlierTurns+1)*len(body), "%s: the conversation is whole", run.ID)
		}
	}
}

// sendOthers sends a short request to each instance every 20 ms until the returned function is
// called.
func (s *site) sendOthers(counts *statusCounts) (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	for f, front := range s.fronts {
		all.Go(func() {
			ticker := time.NewTicker(20 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-ticker.C:
				}
				all.Go(func() {
					status, _, _ := front.post(alone(), "/post/x", fmt.Sprintf("o%d-%d", f, n), "x", nil)
					counts.add(status)
				})
			}
		})
	}
	return func() {
		close(ended)
		all.Wait()
	}
}
