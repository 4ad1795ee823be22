package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/resumption"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// errPeersUnreachable is returned by originPeers while they are cut off.
var errPeersUnreachable = errors.New("other instances are unreachable")

// originPeers implements resumption.Peers for the instances of a fixture, each of
// which holds the origins of all others.
type originPeers struct {
	isCut atomic.Bool
	// recorded counts the origins recorded at other instances.
	recorded atomic.Int64

	mu         sync.Mutex
	registries []*resumption.Registry
}

// add adds the registry of an instance.
func (peers *originPeers) add(registry *resumption.Registry) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.registries = append(peers.registries, registry)
}

// remove removes the registry of an instance, as if it had been killed.
func (peers *originPeers) remove(registry *resumption.Registry) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.registries = slices.DeleteFunc(peers.registries, func(other *resumption.Registry) bool { return other == registry })
}

// RecordOrigin implements resumption.Peers.
func (peers *originPeers) RecordOrigin(_ context.Context, key resumption.Key, origin resumption.Origin) error {
	if peers.isCut.Load() {
		return errPeersUnreachable
	}
	peers.recorded.Add(1)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, registry := range peers.registries {
		registry.Keep(key, origin)
	}
	return nil
}

// FindOrigin implements resumption.Peers.
func (peers *originPeers) FindOrigin(_ context.Context, query resumption.Query) (resumption.Finding, error) {
	if peers.isCut.Load() {
		return resumption.Finding{}, errPeersUnreachable
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	var best resumption.Finding
	for _, registry := range peers.registries {
		if finding := registry.Answer(query); finding.Found || finding.Conflicting || finding.HasSoleVersion {
			best = finding
		}
	}
	return best, nil
}

// versionFixture is a fixture whose model endpoints have several software versions.
type versionFixture struct {
	*fixture
	// endpoints holds the model endpoints, in order of their IDs.
	endpoints []*platformtest.Endpoint
}

// newVersionFixture returns a fixture with a model endpoint for each version. Each
// request is tried at a single endpoint, unless attempts is greater.
func newVersionFixture(t *testing.T, attempts int, versions ...string) *versionFixture {
	t.Helper()
	b := newFixture(t)
	document := strings.Replace(string(platformtest.Configuration(4)), `"backend":"model","attempts":2`, fmt.Sprintf(`"backend":"model","attempts":%d`, attempts), 1)
	platformtest.PutConfiguration(b.memory, []byte(document))
	b.model.Unregister(b.memory)
	fixture := &versionFixture{fixture: b}
	for n, version := range versions {
		fixture.add(fmt.Sprint("i-", n), version)
	}
	return fixture
}

// add registers a model endpoint.
func (b *versionFixture) add(id, version string) *platformtest.Endpoint {
	endpoint := platformtest.NewEndpoint(id, "model", true)
	b.t.Cleanup(endpoint.Close)
	endpoint.Version = version
	endpoint.Register(b.memory, "a", "ready")
	b.endpoints = append(b.endpoints, endpoint)
	return endpoint
}

// breakStreams has all endpoints break off new streams after their first event.
func (b *versionFixture) breakStreams() {
	for _, endpoint := range b.endpoints {
		endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
			if run.LastEventID == "" {
				return platformtest.Behaviour{ResetAfter: 1}
			}
			return platformtest.Behaviour{}
		})
	}
}

// begin sends a new stream, which breaks off, and returns the version that began it.
func (b *versionFixture) begin(i *instance, id string) string {
	b.t.Helper()
	_, body, err := i.send(callerRequest{path: "/chat/x", id: id, body: "x"})
	require.Error(b.t, err, "the stream must not look complete: %q", body)
	return platformtest.VersionOf(strings.TrimSpace(body))
}

// resume resumes a stream after its first event and returns the status and the
// versions of the events.
func (b *versionFixture) resume(i *instance, id, resumes string) (status int, versions []string) {
	b.t.Helper()
	header := map[string]string{"Last-Event-Id": "1", "Resumes": resumes}
	if resumes == "" {
		delete(header, "Resumes")
	}
	response, body := i.mustSend(callerRequest{path: "/chat/x", id: id, body: "x", header: header})
	if response.StatusCode != 200 {
		assert.NotEmpty(b.t, response.Header.Get("Retry-After"))
		return response.StatusCode, nil
	}
	for line := range strings.Lines(body) {
		if strings.HasPrefix(line, "data: ") {
			versions = append(versions, platformtest.VersionOf(strings.TrimSpace(line)))
		}
	}
	return response.StatusCode, versions
}

// runs returns the number of requests that the endpoints received.
func (b *versionFixture) runs() int {
	n := 0
	for _, endpoint := range b.endpoints {
		n += len(endpoint.ReceivedRequests())
	}
	return n
}

// Guards against streams that a caller resumes at another instance and that go on at another software version.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	b := newVersionFixture(t, 1, "v1", "v2", "v1", "v2")
	b.breakStreams()
	first, second := b.startInstance(), b.startInstance()
	for n := range 20 {
		id := fmt.Sprint("s", n)
		version := b.begin(first, id)
		status, versions := b.resume(second, id+"-again", id)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{version, version}, versions)
	}
}

// Guards against a stream that the gateway resumes within its response at another software version.
func TestBrokenResponseKeepsItsVersion(t *testing.T) {
	b := newVersionFixture(t, 2, "v1", "v2")
	b.breakStreams()
	i := b.startInstance()
	for n := range 10 {
		b.begin(i, fmt.Sprint("s", n))
	}
	assert.Equal(t, 10, b.runs(), "no other endpoint has the version")
	b.add("i-3", "v1")
	b.add("i-4", "v2")
	b.breakStreams()
	require.Eventually(t, func() bool { return len(i.Endpoints.Service("model")) == 4 }, 2*time.Second, 5*time.Millisecond)
	for n := range 10 {
		_, body := i.mustSend(callerRequest{path: "/chat/x", id: fmt.Sprint("t", n), body: "x"})
		assert.Equal(t, 3, strings.Count(body, "data: "))
		assert.Contains(t, []int{0, 3}, strings.Count(body, " by v1\n"), "%s", body)
	}
}

// Guards against a guess of the version where an instance cannot know it: the attempt is unknown, not named, of another organisation's name, or recorded nowhere.
func TestStreamOfUnknownOriginIsNotResumed(t *testing.T) {
	b := newVersionFixture(t, 1, "v1", "v2")
	b.breakStreams()
	first, second := b.startInstance(), b.startInstance()
	b.begin(first, "s1")
	runs := b.runs()
	for _, attempt := range []string{"never-seen", "", strings.Repeat("x", 10_000)} {
		status, _ := b.resume(second, "r-"+attempt[:min(len(attempt), 10)], attempt)
		assert.Equal(t, 503, status, attempt[:min(len(attempt), 10)])
	}
	b.peers.isCut.Store(true)
	b.begin(first, "s2")
	status, _ := b.resume(second, "r4", "s2")
	assert.Equal(t, 503, status, "the origin could not be recorded")
	assert.Equal(t, runs+1, b.runs(), "refused requests must not run")
}

// Guards against a stream that goes on at another version since its own one has no endpoint left, or since its endpoint restarted under its ID with other software.
func TestStreamOfVersionThatLeftIsNotResumed(t *testing.T) {
	b := newVersionFixture(t, 1, "v1")
	b.breakStreams()
	first, second := b.startInstance(), b.startInstance()
	require.Equal(t, "v1", b.begin(first, "s1"))
	b.add("i-2", "v2")
	b.endpoints[0].Unregister(b.memory)
	isReplaced := func() bool {
		for _, i := range []*instance{first, second} {
			if endpoints := i.Endpoints.Service("model"); len(endpoints) != 1 || endpoints[0].Version != "v2" {
				return false
			}
		}
		return true
	}
	require.Eventually(t, isReplaced, 2*time.Second, 5*time.Millisecond)
	response, body := second.mustSend(callerRequest{path: "/chat/x", id: "s1-again", body: "x", header: map[string]string{"Last-Event-Id": "1", "Resumes": "s1"}})
	assert.Equal(t, 503, response.StatusCode)
	assert.Contains(t, body, `"reason":"NoVersion"`)

	b.endpoints[0].Born, b.endpoints[0].Version = 100, "v1"
	b.endpoints[0].Register(b.memory, "a", "ready")
	b.endpoints[1].Unregister(b.memory)
	require.Eventually(t, func() bool {
		endpoints := second.Endpoints.Service("model")
		return len(endpoints) == 1 && endpoints[0].StartMillis == 100
	}, 2*time.Second, 5*time.Millisecond)
	require.Equal(t, "v1", b.begin(second, "s2"))
	b.add("i-5", "v1")
	b.endpoints[0].Born, b.endpoints[0].Version = 200, "v3"
	b.endpoints[0].Register(b.memory, "a", "ready")
	require.Eventually(t, func() bool {
		endpoints := second.Endpoints.Service("model")
		return len(endpoints) == 2 && endpoints[0].StartMillis == 200
	}, 2*time.Second, 5*time.Millisecond)
	status, _ := b.resume(second, "s2-again", "s2")
	assert.Equal(t, 503, status, "either version may have begun the stream")
}

// Guards against a stream that goes on at the only version that an instance knows of, while it hears late of another one that began the stream.
func TestLateInstanceDoesNotGuessTheVersion(t *testing.T) {
	b := newVersionFixture(t, 1, "v1")
	b.breakStreams()
	b.followedFor = time.Hour
	late := &lateStore{Memory: b.memory}
	b.store = late
	second := b.startInstance()
	b.store = b.memory
	late.isLate.Store(true)
	require.Eventually(t, func() bool { return late.current.Load() == 0 }, 2*time.Second, time.Millisecond, "the watches in progress still return changes")
	b.add("i-2", "v2")
	b.breakStreams()
	b.endpoints[0].Unregister(b.memory)
	first := b.startInstance()
	require.Eventually(t, func() bool {
		endpoints := first.Endpoints.Service("model")
		return len(endpoints) == 1 && endpoints[0].Version == "v2"
	}, 2*time.Second, 5*time.Millisecond)
	b.peers.isCut.Store(true)
	require.Equal(t, "v2", b.begin(first, "s1"))
	require.Equal(t, "v1", second.Endpoints.Service("model")[0].Version, "the instance hears late")
	status, _ := b.resume(second, "s1-again", "s1")
	assert.Equal(t, 503, status)
	assert.Empty(t, b.endpoints[0].ReceivedRequests())
}

// lateWatch is how long watches of a lateStore last at most.
const lateWatch = 100 * time.Millisecond

// lateStore is a store whose watches do not return the changes of a while, as if
// they were on their way.
type lateStore struct {
	*storetest.Memory
	isLate atomic.Bool
	// current is the number of watches in progress that return changes.
	current atomic.Int64
}

// Watch implements store.Store.
func (late *lateStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	late.current.Add(1)
	defer late.current.Add(-1)
	if wait == 0 || !late.isLate.Load() {
		return late.Memory.Watch(ctx, table, after, min(wait, lateWatch))
	}
	late.current.Add(-1)
	defer late.current.Add(1)
	clock.Sleep(ctx, lateWatch)
	return store.Page{Version: after}, nil
}

// Guards against streams of a service with one version that are not resumed, or recorded at other instances for nothing, whether or not callers name the attempt.
func TestStreamOfSoleVersionNeedsNoRecord(t *testing.T) {
	b := newVersionFixture(t, 1, "v1", "v1")
	b.breakStreams()
	b.followedFor = time.Hour
	first, second := b.startInstance(), b.startInstance()
	b.followedFor = 0
	started := b.startInstance()
	recorded := int64(0)
	for n, i := range []*instance{second, started} {
		for _, attempt := range []string{"s", ""} {
			id := fmt.Sprintf("s%d%s", n, attempt)
			b.begin(first, id)
			assert.Equal(t, recorded, b.peers.recorded.Load(), "an instance that knows the only version records nothing")
			if attempt != "" {
				attempt = id
			}
			status, versions := b.resume(i, id+"-again", attempt)
			assert.Equal(t, 200, status, "%d %s", n, id)
			assert.Len(t, versions, 2)
			recorded = b.peers.recorded.Load()
		}
	}
}

// losePower stops all instances, whose records of origins are lost.
func (b *versionFixture) losePower(instances ...*instance) {
	for _, i := range instances {
		b.peers.remove(i.Origins)
		i.stop()
	}
	b.followedFor = 0
}

// heartbeats writes the entry of an endpoint twice, as live ones do within 2.4 s.
func (b *versionFixture) heartbeats(endpoint *platformtest.Endpoint) {
	for range 2 {
		endpoint.Register(b.memory, "a", "ready")
	}
}

// Guards against streams of a service with one version that are refused after a loss of power of all instances, whether or not callers name the attempt.
func TestStreamOfSoleVersionGoesOnAfterLossOfPower(t *testing.T) {
	b := newVersionFixture(t, 1, "v1", "v1")
	b.breakStreams()
	b.followedFor = 2 * time.Minute
	first := b.startInstance()
	for round, id := range []string{"s1", "s2", "s3"} {
		b.begin(first, id)
		first.versions.Checkpoint(context.Background(), time.Second)
		b.losePower(first)
		b.heartbeats(b.endpoints[0])
		first = b.startInstance()
		for _, attempt := range []string{id, ""} {
			status, versions := b.resume(first, id+"-again"+attempt, attempt)
			assert.Equal(t, 200, status, "round %d, attempt %q", round, attempt)
			assert.Equal(t, []string{"v1", "v1"}, versions)
		}
	}
	assert.Zero(t, b.peers.recorded.Load())
}

// Guards against streams that go on at another version after a loss of power of all instances: the version that began them came and left meanwhile, or is not certain.
func TestStreamOfUncertainVersionIsRefusedAfterLossOfPower(t *testing.T) {
	for name, change := range map[string]func(b *versionFixture){
		"another version began it and left": func(b *versionFixture) {
			b.add("i-2", "v2")
			b.endpoints[2].Unregister(b.memory)
		},
		"an endpoint of unknown version left": func(b *versionFixture) {
			b.heartbeats(b.endpoints[1])
			b.endpoints[0].Unregister(b.memory)
		},
		"the history was discarded": func(b *versionFixture) { b.memory.Compact() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newVersionFixture(t, 1, "v1", "v1")
			b.breakStreams()
			b.followedFor = 2 * time.Minute
			first := b.startInstance()
			b.begin(first, "s1")
			first.versions.Checkpoint(context.Background(), time.Second)
			change(b)
			runs := b.runs()
			b.losePower(first)
			second := b.startInstance()
			for _, attempt := range []string{"s1", ""} {
				status, _ := b.resume(second, "r"+attempt, attempt)
				assert.Equal(t, 503, status)
			}
			assert.Equal(t, runs, b.runs(), "refused requests must not run")
		})
	}
}

// Guards against streams that cannot be resumed since they began just before the service got its second version.
func TestStreamInProgressIsRecordedWhenAnotherVersionComes(t *testing.T) {
	b := newVersionFixture(t, 1, "v1", "v1")
	b.followedFor = time.Hour
	first, second := b.startInstance(), b.startInstance()
	for _, endpoint := range b.endpoints {
		endpoint.EventDelay = 300 * time.Millisecond
		endpoint.SetBehaviour(func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
			if run.LastEventID == "" {
				return platformtest.Behaviour{ResetAfter: 2}
			}
			return platformtest.Behaviour{}
		})
	}
	time.AfterFunc(400*time.Millisecond, func() { b.add("i-3", "v2") })
	b.begin(first, "s1")
	b.peers.remove(first.Origins)
	response, body := second.mustSend(callerRequest{path: "/chat/x", id: "s1-again", body: "x", header: map[string]string{"Last-Event-Id": "2", "Resumes": "s1"}})
	assert.Equal(t, 200, response.StatusCode)
	assert.Contains(t, body, "by v1")
}

// Guards against a stream that is refused to be resumed although its version serves: it broke off at an instance that heard of another version later, and that the others do not ask.
func TestBrokenStreamIsRecordedOnceServiceHasSeveralVersions(t *testing.T) {
	b := newVersionFixture(t, 1, "v1")
	b.followedFor = time.Hour
	first := b.startInstance()
	second := b.startInstance()
	b.breakStreams()
	b.begin(first, "r1")
	first.Origins.RecordDeferred(t.Context(), time.Now())
	assert.Zero(t, b.peers.recorded.Load(), "the service has one version")
	b.peers.remove(first.Origins)
	b.add("i-new", "v2")
	assert.Eventually(t, func() bool {
		first.Origins.RecordDeferred(t.Context(), time.Now())
		return b.peers.recorded.Load() > 0
	}, 2*time.Second, 5*time.Millisecond)
	status, versions := b.resume(second, "r2", "r1")
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"v1", "v1"}, versions)
}
