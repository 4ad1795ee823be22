package systemtest

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// site is the platform's stand-ins and entry instances as real processes.
type site struct {
	t      *testing.T
	dir    string
	memory *storetest.Memory
	model  *platformtest.Endpoint
	tool   *platformtest.Endpoint
	fronts []*frontProcess
}

// frontProcess is one entry instance with its own way to the store.
type frontProcess struct {
	*platformtest.FrontProcess
	door *platformtest.StoreServer
}

func newSite(t *testing.T, fronts int) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), memory: storetest.New(), model: platformtest.NewEndpoint("i-model", "model", true), tool: platformtest.NewEndpoint("i-tool", "tool", false)}
	t.Cleanup(s.model.Close)
	t.Cleanup(s.tool.Close)
	platformtest.PutConfiguration(s.memory, platformtest.Configuration(3))
	s.model.Register(s.memory, "a", "ready")
	s.tool.Register(s.memory, "a", "ready")
	for n := range fronts {
		s.start(s.newFront(fmt.Sprintf("front-%d", n+1)))
	}
	return s
}

// newFront adds an instance without starting it.
func (s *site) newFront(name string) *frontProcess {
	s.t.Helper()
	door := platformtest.NewStoreServer(s.memory)
	s.t.Cleanup(door.Close)
	front, err := platformtest.NewFrontProcess(s.dir, name, "a", door.Address())
	require.NoError(s.t, err)
	f := &frontProcess{FrontProcess: front, door: door}
	s.fronts = append(s.fronts, f)
	return f
}

// start starts an instance and waits until it is ready.
func (s *site) start(f *frontProcess) {
	s.t.Helper()
	require.NoError(s.t, f.Start())
	s.t.Cleanup(f.Kill)
	require.Eventually(s.t, f.IsReady, 5*time.Second, 10*time.Millisecond, "%s", f.Name)
}

func (f *frontProcess) post(client *http.Client, path, id, body string, header map[string]string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Callers+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "3000")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func alone() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func turnHeader(program, previous string) map[string]string {
	header := map[string]string{"X-Program": program, "X-Session": "s", "X-Token-Budget": "9000", "X-Token-Count": "100,567"}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	return header
}

// Symptom: after a loss of power of all instances callers are told that
// turns they saw the end of do not exist. Events: turns come through all
// instances; all are killed at once and started again. Cause: a turn's end
// was passed on before the turn was in the store.
func TestConversationsOutliveLossOfAllInstances(t *testing.T) {
	s := newSite(t, 2)
	last := make([]string, 6)
	talk := func(round int) {
		for program := range last {
			id := fmt.Sprintf("p%d-t%d", program, round)
			f := s.fronts[(program+round)%len(s.fronts)]
			status, _, err := f.post(alone(), "/keep/x", id, fmt.Sprintf("question %d ", round), turnHeader(fmt.Sprint("p", program), last[program]))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, "%s", f.ReadLog())
			last[program] = id
		}
	}
	for round := range 3 {
		talk(round)
	}
	for _, f := range s.fronts {
		f.Kill()
	}
	for _, f := range s.fronts {
		s.start(f)
	}
	talk(3)
	for _, run := range s.model.ReceivedRequests() {
		var want strings.Builder
		program, rounds := 0, 0
		_, err := fmt.Sscanf(run.ID, "p%d-t%d", &program, &rounds)
		require.NoError(t, err)
		for round := range rounds {
			fmt.Fprintf(&want, "question %d ", round)
			for n := 1; n <= s.model.Events; n++ {
				want.WriteString(platformtest.Data(fmt.Sprintf("p%d-t%d", program, round), n) + "\n")
			}
		}
		fmt.Fprintf(&want, "question %d ", rounds)
		require.Equal(t, want.String(), run.Body)
	}
}

// Symptom: a third of the calls to the store read turns. Events: the turns of a
// conversation come through instances by turns, so that each reads at least the
// turn before its own. Cause: see archive.Peers. A busy machine may be late with
// some turns, not with all.
func TestConversationIsHadFromOtherProcess(t *testing.T) {
	s := newSite(t, 2)
	time.Sleep(300 * time.Millisecond) // they find each other
	var reads atomic.Int32
	s.memory.SetFault(func(op, partition string) storetest.Fault {
		if op == "read" && strings.HasPrefix(partition, "turn-") {
			reads.Add(1)
		}
		return storetest.None
	})
	previous := ""
	const rounds = 10
	for round := range rounds {
		id := fmt.Sprint("t", round)
		header := turnHeader("p", previous)
		header["X-Prompt-Prefix"] = "s1:40,c1:60"
		status, _, err := s.fronts[round%2].post(alone(), "/keep/x", id, "x", header)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "%s", s.fronts[round%2].ReadLog())
		previous = id
		time.Sleep(60 * time.Millisecond) // its home learns who served the turn
	}
	assert.Less(t, reads.Load(), int32(rounds-1))
	runs := s.model.ReceivedRequests()
	assert.Contains(t, runs[len(runs)-1].Body, platformtest.Data("t0", 1))
}

// Symptom: callers lose answers when an instance is replaced. Events: SIGTERM
// while callers with kept connections and new ones send calls. Cause: see
// gateway.Server. New connections come until the balancer has taken the
// instance out.
func TestStoppedProcessAnswersWhatItTook(t *testing.T) {
	s := newSite(t, 1)
	f := s.fronts[0]
	s.tool.EventDelay = 100 * time.Millisecond
	balancer := platformtest.NewBalancer(f.IsReady)
	var lost, answered atomic.Int32
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			client := balancer.Caller()
			for n := range 200 {
				id := fmt.Sprintf("c%d-%d", caller, n)
				status, _, err := f.post(client, "/post/x", id, "x", nil)
				var out *platformtest.OutOfRotationError
				switch {
				case errors.As(err, &out):
					return
				case err != nil || status != http.StatusOK:
					t.Logf("%s: status %d, %v", id, status, err)
					lost.Add(1)
				default:
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	require.NoError(t, f.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return !f.IsReady() }, time.Second, 5*time.Millisecond)
	exit, err := f.Wait()
	require.NoError(t, err)
	callers.Wait()
	assert.Zero(t, exit, "%s", f.ReadLog())
	assert.Less(t, time.Since(began), 8*time.Second)
	assert.Zero(t, lost.Load())
	assert.Greater(t, answered.Load(), int32(60))
	assert.Len(t, s.tool.ReceivedRequests(), int(answered.Load()))
}

// Settings that change, with and without a signal, and ones that are broken,
// are logged, and the process goes on.
func TestChangedSettingsAreNoticed(t *testing.T) {
	s := newSite(t, 1)
	f := s.fronts[0]
	text, err := os.ReadFile(f.Settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(f.Settings, []byte(strings.Replace(string(text), "ram-mb = 154", "ram-mb = 200", 1)), 0o600))
	require.NoError(t, f.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(f.ReadLog(), "settings changed") }, 3*time.Second, 20*time.Millisecond)
	require.NoError(t, os.WriteFile(f.Settings, []byte("node = "), 0o600))
	require.Eventually(t, func() bool { return strings.Contains(f.ReadLog(), "settings refused") }, 5*time.Second, 20*time.Millisecond)
	status, _, err := f.post(alone(), "/post/x", "r1", "x", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	response, err := http.Get("http://" + f.Debug + "/metrics")
	require.NoError(t, err)
	metrics, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Contains(t, string(metrics), "wagtaildrum_front")
	response, err = http.Get("http://" + f.Debug + "/debug/state")
	require.NoError(t, err)
	dump, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Contains(t, string(dump), `"configuration": 3`)
}

// Symptom: an instance ends by itself right after its start. Events: it is
// started, and told to read its settings again while it reads them for the
// first time. Cause: the signal was handled only once the instance served.
func TestHangupDuringStartIsHarmless(t *testing.T) {
	s := newSite(t, 1)
	f := s.fronts[0]
	f.Kill()
	text, err := os.ReadFile(f.Settings)
	require.NoError(t, err)
	// The process waits for its settings until somebody writes them.
	require.NoError(t, os.Remove(f.Settings))
	require.NoError(t, syscall.Mkfifo(f.Settings, 0o600))
	require.NoError(t, f.Start())
	pipe, err := os.OpenFile(f.Settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, f.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	file := f.Settings + ".file"
	require.NoError(t, os.WriteFile(file, text, 0o600))
	require.NoError(t, os.Rename(file, f.Settings))
	_, err = pipe.Write(text)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.Eventually(t, f.IsReady, 5*time.Second, 10*time.Millisecond, "%s", f.ReadLog())
}

func TestBadSettingsEndTheProcess(t *testing.T) {
	bin, err := platformtest.BuildBinary()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte("node = \"n\"\n"), 0o600))
	cmd := exec.Command(bin, "front")
	cmd.Env = append(os.Environ(), "WAGTAILDRUM_CONFIG="+path)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	assert.Equal(t, 2, exit.ExitCode())
	assert.Contains(t, string(out), `key "ip"`)
}

// Symptom: turns through an instance that the store turns away fail, though
// other instances are served. Cause: see entrypeer.Relay.
func TestProcessTurnedAwayByStoreServesThroughAnother(t *testing.T) {
	s := newSite(t, 2)
	time.Sleep(200 * time.Millisecond) // they find each other
	shut := s.fronts[0]
	for n, mode := range []platformtest.StoreMode{platformtest.ServiceUnavailable, platformtest.IgnoreRequests, platformtest.ResetConnections} {
		shut.door.SetMode(mode)
		for turn := range 3 {
			status, _, err := shut.post(alone(), "/keep/x", fmt.Sprintf("t%d-%d", n, turn), "x", turnHeader(fmt.Sprintf("p%d-%d", n, turn), ""))
			require.NoError(t, err, "%s", shut.ReadLog())
			require.Equal(t, http.StatusOK, status, "%s", shut.ReadLog())
		}
		shut.door.SetMode(platformtest.Serving)
		time.Sleep(500 * time.Millisecond)
	}
}
