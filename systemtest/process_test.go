package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/config"
	"github.com/wagtaildrum/wagtaildrum/operator"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/standin"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// fleet is a deployment of separate processes: the platform, one engine
// and one tool stand-in with their sidecars, and two entry instances.
type fleet struct {
	t         *testing.T
	bin, dir  string
	procs     map[string]*exec.Cmd
	entryURL  []string
	engineDbg string
	// platform is the platform stand-in's address.
	platform string
	// debug holds the debug addresses of sidecars and entry instances by name, and
	// sidecars and peers the addresses for calls of the same.
	debug           map[string]string
	sidecars, peers []string
	// descriptors is the limit on open descriptors of each process, which the kernel
	// enforces; 0 for that of the test.
	descriptors int
}

func newFleet(t *testing.T, leaseTTL time.Duration) *fleet {
	return newLimitedFleet(t, leaseTTL, 0)
}

// newLimitedFleet is newFleet with a limit on the open descriptors of each process.
func newLimitedFleet(t *testing.T, leaseTTL time.Duration, descriptors int) *fleet {
	bin, err := platformtest.BuildBinary()
	require.NoError(t, err)
	f := &fleet{t: t, bin: bin, dir: t.TempDir(), procs: map[string]*exec.Cmd{}, debug: map[string]string{}, descriptors: descriptors}
	t.Cleanup(f.stopAll)
	plat, eng, tool := freeTCP(t), freeTCP(t), freeTCP(t)
	f.start("platform", []string{"standin", "platform"}, plat, map[string]any{"listen": plat, "instance_lag": "1s"})
	f.engineDbg = f.start("engine", []string{"standin", "engine"}, eng, map[string]any{"listen": eng, "model": "fleetdesk", "step": "1ms",
		"max_batch": 32, "cache_blocks": 2048, "block_tokens": 16, "report_lag": "200ms", "event_loss_percent": 10})
	f.start("tool", []string{"standin", "tool"}, tool, map[string]any{"listen": tool})
	cfg := &config.Config{}
	for _, s := range []struct{ name, role, endpoint string }{{"fleetdesk-1", "engine", eng}, {"tools-1", "tool", tool}} {
		addr := freeUDP(t)
		f.sidecars = append(f.sidecars, addr)
		f.debug[s.name] = f.start(s.name, []string{"sidecar"}, "", map[string]any{"listen": addr, "endpoint": "http://" + s.endpoint, "role": s.role,
			"platform": "http://" + plat, "drain_timeout": "10s", "max_concurrent": 16, "max_queued": 64})
		ep := config.Endpoint{Name: s.name, Role: s.role, Sidecar: addr, DataCentre: "riga-a"}
		if s.role == "engine" {
			ep.Model = "fleetdesk"
		} else {
			ep.Tools = allTools
		}
		cfg.Endpoints = append(cfg.Endpoints, ep)
	}
	pc := tableservice.NewClient("http://"+plat, 2*time.Second)
	_, err = operator.Apply(context.Background(), pc, config.MakePlan(&config.Config{}, cfg), cfg)
	require.NoError(t, err)
	for i := range 2 {
		listen := freeTCP(t)
		name, peerListen := fmt.Sprintf("entry-%d", i+1), freeUDP(t)
		f.peers = append(f.peers, peerListen)
		f.debug[name] = f.start(name, []string{"entry"}, listen, map[string]any{"listen": listen, "peer_listen": peerListen,
			"platform": "http://" + plat, "lease_ttl": leaseTTL.String(), "config_poll": "50ms", "call_timeout": "20s", "drain_timeout": "10s"})
		f.entryURL = append(f.entryURL, "http://"+listen)
	}
	time.Sleep(200 * time.Millisecond) // a few config polls
	return f
}

// start starts one process and returns its debug address once it answers.
func (f *fleet) start(name string, command []string, listen string, settings map[string]any) (debug string) {
	debug = freeTCP(f.t)
	settings["instance_id"], settings["data_centre"], settings["debug"] = name, "riga-a", debug
	var b strings.Builder
	for k, v := range settings {
		raw, err := json.Marshal(v)
		require.NoError(f.t, err)
		fmt.Fprintf(&b, "%s = %s\n", k, raw)
	}
	path := filepath.Join(f.dir, name+".toml")
	require.NoError(f.t, os.WriteFile(path, []byte(b.String()), 0o600))
	f.run(name, append(command, "-s", path), debug, listen)
	return debug
}

// run starts one process and returns once it listens on the TCP addresses.
func (f *fleet) run(name string, args []string, addrs ...string) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	require.NoError(f.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.bin, args...)
	if f.descriptors > 0 {
		limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, f.descriptors)
		cmd = exec.Command("sh", append([]string{"-c", limited, f.bin}, args...)...)
	}
	cmd.Stderr = log
	require.NoError(f.t, cmd.Start())
	f.procs[name] = cmd
	for _, addr := range addrs {
		require.Eventually(f.t, func() bool {
			if addr == "" {
				return true
			}
			conn, err := net.Dial("tcp", addr)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		}, 10*time.Second, 10*time.Millisecond, "%s does not listen on %s", name, addr)
	}
}

func (f *fleet) signal(name string, sig syscall.Signal) {
	require.NoError(f.t, f.procs[name].Process.Signal(sig))
}

func (f *fleet) stopAll() {
	for _, cmd := range f.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if f.t.Failed() {
		for name := range f.procs {
			log, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
			f.t.Logf("log of %s:\n%s", name, log)
		}
	}
}

// engineState reads the engine's state dump.
func (f *fleet) engineState() standin.EngineState {
	var st standin.EngineState
	resp, err := http.Get("http://" + f.engineDbg + "/debug/state")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&st))
	return st
}

func (f *fleet) engineBusy() int {
	st := f.engineState()
	return st.Running + st.Waiting
}

// long starts a model call of many tokens at entry i and returns once the
// engine works on it.
func (f *fleet) long(i int, id string, tokens int) <-chan reply {
	done := make(chan reply, 1)
	go func() {
		r, _ := tryCall(f.entryURL[i], id, modelCall(1, "fleetdesk", "reconcile voyage 2611", tokens))
		done <- r
	}()
	require.Eventually(f.t, func() bool { return f.engineBusy() == 1 }, 5*time.Second, 5*time.Millisecond)
	return done
}

// exited waits for a process to end and checks that it ended well.
func (f *fleet) exited(name string) {
	err := f.procs[name].Wait()
	require.NoError(f.t, err, "%s did not stop cleanly", name)
	delete(f.procs, name)
}

func freeTCP(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func create(t *testing.T, url, id string) {
	require.Equal(t, 201, createProgram(t, url, caller.CreateProgramRequest{ID: id, BudgetTokens: 1 << 30}))
}

// TestKilledOwnerHoldsNoEngineMemory: an owner killed mid-stream leaves
// nothing running at the engine, and the caller gets the whole answer from
// the next owner.
//
// Symptom: the engine generates to the end for nobody; the program hangs.
// Sequence: a long answer streams; the owner's process gets SIGKILL, so it
// can neither cancel nor say goodbye; the caller sends the call again to
// the other entry.
// Cause: relying on the owner to cancel its streams.
func TestKilledOwnerHoldsNoEngineMemory(t *testing.T) {
	f := newFleet(t, time.Second)
	create(t, f.entryURL[0], "jur-killed")
	f.long(0, "jur-killed", 15000)
	f.signal("entry-1", syscall.SIGKILL)
	require.Eventually(t, func() bool { return f.engineBusy() == 0 }, peer.IdleTimeout+2*time.Second, 20*time.Millisecond,
		"the engine still runs the dead owner's stream")
	r := callUntilRun(t, f.entryURL[1], "jur-killed", modelCall(1, "fleetdesk", "reconcile voyage 2611", 40))
	require.Equal(t, 200, r.status, r.err.Message)
	require.EqualValues(t, 40, r.answer.Usage.CompletionTokens)
}

// TestFrozenOwnerCannotAnswer: a process frozen past its lease wakes into a
// program that has moved on.
//
// Symptom: two callers hold two different answers to the same call.
// Sequence: a long call runs at entry-1, which is stopped (SIGSTOP) past
// its lease; entry-2 adopts the program and answers the call; entry-1
// wakes, its engine stream's bytes still in its socket buffers.
// Cause: an owner that trusts a lease it checked before the pause.
func TestFrozenOwnerCannotAnswer(t *testing.T) {
	const ttl = time.Second
	f := newFleet(t, ttl)
	create(t, f.entryURL[0], "jur-frozen")
	first := f.long(0, "jur-frozen", 400)
	f.signal("entry-1", syscall.SIGSTOP)
	time.Sleep(ttl + ttl/2)
	r := callUntilRun(t, f.entryURL[1], "jur-frozen", modelCall(1, "fleetdesk", "from the new owner", 10))
	require.Equal(t, 200, r.status, r.err.Message)
	f.signal("entry-1", syscall.SIGCONT)
	woken := <-first
	if woken.status == 200 {
		require.True(t, woken.answer.Replayed)
		require.Equal(t, r.answer.Content, woken.answer.Content, "two answers to one call")
	}
	st := programState(t, f.entryURL[0], "jur-frozen")
	require.Equal(t, "entry-2", st.Owner)
	require.Equal(t, 2, st.HistoryTurns)
}

// TestPlannedStopOfEntryCutsNothing: SIGTERM to an entry mid-stream.
//
// Symptom: answers break off, or programs stand still until a lease
// lapses, whenever an entry instance is replaced.
// Sequence: entry-1 owns two programs; a long call of the first came to
// it directly, one of the second through entry-2; entry-1 gets SIGTERM;
// both answers arrive whole and the process exits 0; the next calls run at
// entry-2 at once.
// Cause: stopping without waiting for owned and forwarded calls, or
// without giving up the leases.
func TestPlannedStopOfEntryCutsNothing(t *testing.T) {
	const ttl = time.Minute
	f := newFleet(t, ttl)
	create(t, f.entryURL[0], "jur-stop-direct")
	create(t, f.entryURL[0], "jur-stop-forwarded")
	direct := f.long(0, "jur-stop-direct", 1500)
	through := make(chan reply, 1)
	go func() {
		r, _ := tryCall(f.entryURL[1], "jur-stop-forwarded", modelCall(1, "fleetdesk", "reconcile voyage 2612", 1500))
		through <- r
	}()
	require.Eventually(t, func() bool { return f.engineBusy() == 2 }, 5*time.Second, 5*time.Millisecond)
	f.signal("entry-1", syscall.SIGTERM)
	for _, ch := range []<-chan reply{direct, through} {
		r := <-ch
		require.Equal(t, 200, r.status, r.err.Message)
		require.EqualValues(t, 1500, r.answer.Usage.CompletionTokens, "the whole answer")
	}
	f.exited("entry-1")
	// The other entry learns of the released lease from the table, not from
	// the cache of holders, which sent it to the stopped owner once.
	start := time.Now()
	r := callUntilRun(t, f.entryURL[1], "jur-stop-direct", modelCall(2, "fleetdesk", "and now", 5))
	require.Equal(t, 200, r.status, r.err.Message)
	require.Less(t, time.Since(start), ttl/2, "the program waited for its lease to lapse")
}

// TestPlannedStopOfSidecarCutsNothing: SIGTERM to a sidecar mid-stream.
//
// Symptom: answers break off when an engine instance is replaced.
// Sequence: a long answer streams; the sidecar gets SIGTERM; a second
// program's call arrives; the first answer arrives whole, the second is
// refused as not run (no other engine is left), the process exits 0.
// Cause: a sidecar that stops, or takes new work, instead of draining.
func TestPlannedStopOfSidecarCutsNothing(t *testing.T) {
	f := newFleet(t, time.Second)
	create(t, f.entryURL[0], "jur-side-1")
	create(t, f.entryURL[0], "jur-side-2")
	done := f.long(0, "jur-side-1", 1500)
	f.signal("fleetdesk-1", syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	refused := programCall(t, f.entryURL[0], "jur-side-2", modelCall(1, "fleetdesk", "new work", 5))
	require.Equal(t, caller.TypeOverloaded, refused.err.Type, refused.err.Message)
	require.NotEmpty(t, refused.retryAfter)
	r := <-done
	require.Equal(t, 200, r.status, r.err.Message)
	require.EqualValues(t, 1500, r.answer.Usage.CompletionTokens, "the whole answer")
	f.exited("fleetdesk-1")
	require.EqualValues(t, 1, f.engineState().Served, "the refused call ran")
}

// TestDroppedStreamIsAnsweredWhole: a caller whose connection drops
// mid-stream gets the whole answer on the same sequence.
//
// Symptom: a master's answer stops half way and the rest never comes; or
// the budget is charged without end by calls that keep breaking off.
// Sequence: a chat call streams; the caller's connection drops after three
// pieces; the caller sends the same sequence again; then once more after
// the whole answer.
// Cause: no cancel on the caller's leaving, or a sequence lost with it.
func TestDroppedStreamIsAnsweredWhole(t *testing.T) {
	b := newBed(t, oneEngine, 1)
	const id = "jur-dropped"
	create(t, b.entryURL[0], id)
	messages := []program.Message{{Role: "user", Content: "summarise voyage 2611"}}
	want := b.newReference("fleetdesk").answer("fleetdesk", messages, 400)
	got, whole := streamChat(t, b.entryURL[0], id, 1, messages, 400, 3)
	require.False(t, whole)
	require.NotEmpty(t, got)
	require.Eventually(t, func() bool { return b.engineRunning() == 0 }, time.Second, 5*time.Millisecond, "the engine still works for a caller who left")
	var spent int64
	require.Eventually(t, func() bool {
		spent = programState(t, b.entryURL[0], id).SpentTokens
		return spent > 0
	}, time.Second, 10*time.Millisecond, "what the engine spent on the dropped stream is charged")
	got, whole = streamChat(t, b.entryURL[0], id, 1, messages, 400, 0)
	require.True(t, whole)
	require.Equal(t, want, got)
	ran := b.servedCalls()
	got, whole = streamChat(t, b.entryURL[0], id, 1, messages, 400, 0)
	require.True(t, whole)
	require.Equal(t, want, got, "the answer is given again")
	require.Equal(t, ran, b.servedCalls(), "without a second run")
}
