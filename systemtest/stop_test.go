package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// pending is a request whose answer is waited for.
type pending struct {
	status int
	body   string
	err    error
}

// ask sends a request in the background.
func (f *frontProcess) ask(path, id string, header map[string]string) <-chan pending {
	answer := make(chan pending, 1)
	go func() {
		status, body, err := f.post(alone(), path, id, "x", header)
		answer <- pending{status, body, err}
	}()
	return answer
}

// askBoth sends a call and a turn, and returns once endpoints work on them.
func (s *site) askBoth(f *frontProcess, id string) map[string]<-chan pending {
	s.t.Helper()
	answers := map[string]<-chan pending{
		"call": f.ask("/post/x", id+"-call", nil),
		"turn": f.ask("/keep/x", id+"-turn", turnHeader(id, "")),
	}
	require.Eventually(s.t, func() bool { return len(s.tool.ReceivedRequests()) > 0 && len(s.model.ReceivedRequests()) > 0 }, 2*time.Second, 5*time.Millisecond)
	return answers
}

// checkWhole checks that all were answered whole, and that the process ended
// by itself.
func (s *site) checkWhole(f *frontProcess, answers map[string]<-chan pending) {
	s.t.Helper()
	for name, answer := range answers {
		a := <-answer
		require.NoError(s.t, a.err, "%s: %s", name, f.ReadLog())
		assert.Equal(s.t, http.StatusOK, a.status, "%s: %s", name, a.body)
	}
	exit, err := f.Wait()
	require.NoError(s.t, err)
	assert.Zero(s.t, exit, "%s", f.ReadLog())
}

// Guards against requests cut off since an instance that drains gets a second signal to stop.
func TestSecondSignalEndsDrainingProcess(t *testing.T) {
	s := newSite(t, 1)
	f := s.fronts[0]
	s.tool.EventDelay, s.model.EventDelay = 900*time.Millisecond, 300*time.Millisecond
	answers := s.askBoth(f, "p")
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		require.NoError(t, f.Signal(signal))
		time.Sleep(100 * time.Millisecond)
	}
	s.checkWhole(f, answers)
}

// Guards against requests cut off, or a stop that ends with a failure, since the settings change while an instance drains.
func TestChangedSettingsCutDrainingProcess(t *testing.T) {
	s := newSite(t, 1)
	f := s.fronts[0]
	s.tool.EventDelay, s.model.EventDelay = 900*time.Millisecond, 300*time.Millisecond
	answers := s.askBoth(f, "p")
	text, err := os.ReadFile(f.Settings)
	require.NoError(t, err)
	require.NoError(t, f.Signal(syscall.SIGTERM))
	for _, settings := range []string{strings.Replace(string(text), "grace-s = 8", "grace-s = 1", 1), "node = ", string(text)} {
		require.NoError(t, os.WriteFile(f.Settings, []byte(settings), 0o600))
		require.NoError(t, f.Signal(syscall.SIGHUP))
		time.Sleep(150 * time.Millisecond)
	}
	s.checkWhole(f, answers)
	assert.Contains(t, f.ReadLog(), "settings refused")
}

// Guards against requests cut off, or an entry left behind, since an instance is stopped while it still starts.
func TestStopRightAfterStartLosesRequests(t *testing.T) {
	s := newSite(t, 3)
	s.tool.EventDelay = 400 * time.Millisecond
	var stops sync.WaitGroup
	for n, f := range s.fronts {
		f.Kill()
		stops.Go(func() {
			if !assert.NoError(t, f.Start()) || !assert.Eventually(t, f.IsReady, 5*time.Second, time.Millisecond) {
				return
			}
			answer := f.ask("/post/x", f.Name, nil)
			time.Sleep(time.Duration(5+n*n*100) * time.Millisecond)
			assert.NoError(t, f.Signal(syscall.SIGTERM))
			a := <-answer
			assert.NoError(t, a.err, "%s", f.ReadLog())
			assert.Equal(t, http.StatusOK, a.status, "%s", a.body)
			exit, err := f.Wait()
			assert.NoError(t, err)
			assert.Zero(t, exit, "%s", f.ReadLog())
		})
	}
	stops.Wait()
	for _, f := range s.fronts {
		assert.NotContains(t, f.ReadLog(), "own entry not removed")
	}
	page, err := s.memory.Read(t.Context(), store.Range{Table: "entries", Limit: len(s.fronts)})
	require.NoError(t, err)
	assert.Empty(t, page.Rows, "entries of instances that are gone")
}

// Guards against callers sent to an instance that stops: it must not count as ready again while it drains.
func TestDrainingProcessCountsAsReady(t *testing.T) {
	s := newSite(t, 1)
	f := s.fronts[0]
	require.NoError(t, f.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return !f.IsReady() }, time.Second, 5*time.Millisecond)
	ended := make(chan int, 1)
	go func() {
		exit, _ := f.Wait()
		ended <- exit
	}()
	version := 3
	for {
		select {
		case exit := <-ended:
			assert.Zero(t, exit, "%s", f.ReadLog())
			return
		case <-time.After(20 * time.Millisecond):
			version++
			platformtest.PutConfiguration(s.memory, platformtest.Configuration(version)) // what makes it ready at its start
			require.False(t, f.IsReady(), fmt.Sprint(f.ReadLog()))
		}
	}
}
