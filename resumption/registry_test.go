package resumption_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/resumption"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// errTest is returned by fakes that fail.
var errTest = errors.New("test")

// fakePeers implements resumption.Peers.
type fakePeers struct {
	finding  resumption.Finding
	err      error
	searched int
	recorded []resumption.Origin
}

func (peers *fakePeers) RecordOrigin(_ context.Context, _ resumption.Key, origin resumption.Origin) error {
	peers.recorded = append(peers.recorded, origin)
	return peers.err
}

func (peers *fakePeers) FindOrigin(context.Context, resumption.Query) (resumption.Finding, error) {
	peers.searched++
	return peers.finding, peers.err
}

// fakeVersions implements resumption.Versions for a service of the listed versions.
type fakeVersions struct {
	// sole is what Sole returns, and proven what Prove does, empty for none; listed
	// are the versions listed now.
	sole, proven string
	listed       []string
	// proofs counts the calls of Prove.
	proofs int
}

func (versions *fakeVersions) Sole(string, time.Duration) (string, bool) {
	return versions.sole, versions.sole != ""
}

func (versions *fakeVersions) Prove(context.Context, string, time.Duration) (string, bool) {
	versions.proofs++
	return versions.proven, versions.proven != ""
}

func (versions *fakeVersions) Confirm(_ context.Context, _, version string) error {
	for _, listed := range versions.listed {
		if listed != version {
			return errTest
		}
	}
	return nil
}

// Guards against a guess where the version that began a stream is not certain: each row but those with an origin was once a way to go on at another version.
func TestOriginIsFoundOrUnknown(t *testing.T) {
	v1 := resumption.Origin{Service: "model", Version: "v1", Incarnation: "e1@100"}
	for name, test := range map[string]struct {
		versions fakeVersions
		peers    fakePeers
		local    bool
		version  string
		source   resumption.Source
		searched int
		proofs   int
	}{
		"recorded here": {local: true, version: "v1", source: resumption.SourceRecord},
		"recorded by another instance": {
			versions: fakeVersions{listed: []string{"v1", "v2"}}, peers: fakePeers{finding: resumption.Finding{Origin: v1, Found: true}},
			version: "v1", source: resumption.SourcePeer, searched: 1},
		"the only version": {versions: fakeVersions{sole: "v1", listed: []string{"v1"}}, version: "v1", source: resumption.SourceSoleVersion},
		"the only version as far as is known here, and another one is listed by now": {
			versions: fakeVersions{sole: "v1", listed: []string{"v1", "v2"}}, searched: 1},
		"this instance has just started": {
			versions: fakeVersions{listed: []string{"v1"}}, peers: fakePeers{finding: resumption.Finding{SoleVersion: "v1", HasSoleVersion: true}},
			version: "v1", source: resumption.SourceSoleVersion, searched: 1},
		"the only version as far as another instance knows, and another one is listed by now": {
			versions: fakeVersions{listed: []string{"v1", "v2"}}, peers: fakePeers{finding: resumption.Finding{SoleVersion: "v1", HasSoleVersion: true}}, searched: 1},
		"all instances have just started": {versions: fakeVersions{listed: []string{"v1"}}, searched: 1, proofs: 1},
		"all instances have just started, and the history proves the version": {
			versions: fakeVersions{proven: "v1", listed: []string{"v1"}}, version: "v1", source: resumption.SourceSoleVersion, searched: 1, proofs: 1},
		"no other instance responds, and the history proves the version": {
			versions: fakeVersions{proven: "v1", listed: []string{"v1"}}, peers: fakePeers{err: errTest}, version: "v1", source: resumption.SourceSoleVersion, searched: 1, proofs: 1},
		"the history proves the version, and another one is listed by now": {
			versions: fakeVersions{proven: "v1", listed: []string{"v1", "v2"}}, searched: 1, proofs: 1},
		"several versions, no record": {versions: fakeVersions{listed: []string{"v1", "v2"}}, searched: 1, proofs: 1},
		"no other instance responds":  {versions: fakeVersions{listed: []string{"v1", "v2"}}, peers: fakePeers{err: errTest}, searched: 1, proofs: 1},
		"recorded twice, differently": {versions: fakeVersions{proven: "v1", listed: []string{"v1"}}, peers: fakePeers{finding: resumption.Finding{Conflicting: true, SoleVersion: "v1", HasSoleVersion: true}}, searched: 1},
	} {
		registry := resumption.NewRegistry(resumption.NewRecords(clock.NewFake(start)), &test.peers, &test.versions, tally.NoopScope)
		key := resumption.NewKey("", "s1")
		if test.local {
			registry.Keep(key, v1)
		}
		origin, source, _, err := registry.Find(context.Background(), resumption.Query{Key: key, Service: "model", Period: time.Minute})
		assert.Equal(t, test.searched, test.peers.searched, name)
		assert.Equal(t, test.proofs, test.versions.proofs, name)
		if test.version == "" {
			var unknown *resumption.UnknownOriginError
			assert.ErrorAs(t, err, &unknown, name)
			continue
		}
		require.NoError(t, err, name)
		assert.Equal(t, test.version, origin.Version, name)
		assert.Equal(t, "model", origin.Service, name)
		assert.Equal(t, test.source, source, name)
	}
}

// Guards against a read of the history for a stream whose service is not known, which no history could tell.
func TestNothingIsProvenWithoutService(t *testing.T) {
	versions := &fakeVersions{proven: "v1", listed: []string{"v1"}}
	registry := resumption.NewRegistry(resumption.NewRecords(clock.NewFake(start)), &fakePeers{}, versions, tally.NoopScope)
	_, _, _, err := registry.Find(context.Background(), resumption.Query{Key: resumption.NewKey("", "s1"), Period: time.Minute})
	require.Error(t, err)
	assert.Zero(t, versions.proofs)
}

// Guards against an attempt that is found under the name of another organisation, or by parts of its name.
func TestKeysOfOrganisationsDiffer(t *testing.T) {
	keys := map[resumption.Key]string{}
	for _, names := range [][2]string{{"", "a"}, {"a", "a"}, {"b", "a"}, {"a", "b"}, {"ab", ""}, {"", "ab"}, {"a", "\x00b"}, {"", strings.Repeat("a", 1<<20)}} {
		key := resumption.NewKey(names[0], names[1])
		assert.Equal(t, names[1] == "", key == resumption.Key{})
		assert.NotContains(t, keys, key, "%v", names)
		keys[key] = names[1]
	}
}

// Guards against a stream that goes on at the version of another stream whose caller used the same ID.
func TestConflictingOriginsAreUnknown(t *testing.T) {
	fake := clock.NewFake(start)
	records := resumption.NewRecords(fake)
	key := resumption.NewKey("", "s1")
	records.Put(key, resumption.Origin{Service: "model", Version: "v1", Incarnation: "e1"})
	records.Put(key, resumption.Origin{Service: "model", Version: "v1", Incarnation: "e2"})
	fake.Advance(time.Second)
	finding := records.Get(key)
	assert.True(t, finding.Found, "the same version")
	assert.Equal(t, time.Second, finding.Age)
	records.Put(key, resumption.Origin{Service: "model", Version: "v2"})
	records.Put(key, resumption.Origin{Service: "model", Version: "v1"})
	finding = records.Get(key)
	assert.False(t, finding.Found)
	assert.True(t, finding.Conflicting)
	records.Put(resumption.Key{}, resumption.Origin{Version: "v1"})
	assert.Zero(t, records.Get(resumption.Key{}), "a caller that names no attempt")
}

// Guards against memory that grows with the number of streams.
func TestRecordsAreBounded(t *testing.T) {
	records := resumption.NewRecords(clock.NewFake(start))
	const streams = 1 << 15
	for n := range streams {
		records.Put(resumption.NewKey("", fmt.Sprint(n)), resumption.Origin{Version: "v1"})
	}
	found := 0
	for n := range streams {
		if records.Get(resumption.NewKey("", fmt.Sprint(n))).Found {
			found++
		}
	}
	assert.Equal(t, 1<<14, found)
	assert.True(t, records.Get(resumption.NewKey("", fmt.Sprint(streams-1))).Found, "the latest are kept")
}

// Guards against origins of broken streams that are recorded needlessly, twice or without bound, or kept after no caller can resume them.
func TestDeferredOrigins(t *testing.T) {
	peers, versions := &lockedPeers{}, &fakeVersions{sole: "v1"}
	registry := resumption.NewRegistry(resumption.NewRecords(clock.NewFake(start)), peers, versions, tally.NoopScope)
	ctx, origin := context.Background(), resumption.Origin{Service: "model", Version: "v1"}
	registry.RecordLater(resumption.NewKey("", "old"), origin, time.Minute, start.Add(time.Second))
	registry.RecordLater(resumption.NewKey("", "new"), origin, time.Minute, start.Add(3*time.Second))
	registry.RecordDeferred(ctx, start.Add(2*time.Second))
	assert.Zero(t, peers.recorded.Load(), "the service has one version")
	versions.sole = ""
	for range 2 {
		registry.RecordDeferred(ctx, start.Add(2*time.Second))
		assert.EqualValues(t, 1, peers.recorded.Load())
	}
	assert.True(t, registry.Answer(resumption.Query{Key: resumption.NewKey("", "new")}).Found)
	for n := range 1000 {
		registry.RecordLater(resumption.NewKey("", fmt.Sprint(n)), origin, time.Minute, start.Add(3*time.Second))
	}
	registry.RecordDeferred(ctx, start)
	assert.EqualValues(t, 1+256, peers.recorded.Load())
}

// lockedPeers implements resumption.Peers for concurrent calls, and counts the recorded origins.
type lockedPeers struct {
	fakePeers
	recorded atomic.Int64
}

func (peers *lockedPeers) RecordOrigin(context.Context, resumption.Key, resumption.Origin) error {
	peers.recorded.Add(1)
	return nil
}

// A stream that began at version v1 is resumed there, also if the service has
// other versions by then.
func ExampleRegistry_Find() {
	registry := resumption.NewRegistry(resumption.NewRecords(clock.Real{}), &fakePeers{}, &fakeVersions{listed: []string{"v1", "v2"}}, tally.NoopScope)
	ctx := context.Background()
	registry.Record(ctx, resumption.NewKey("desk", "attempt-1"), resumption.Origin{Service: "model", Version: "v1"})

	origin, source, _, err := registry.Find(ctx, resumption.Query{Key: resumption.NewKey("desk", "attempt-1"), Service: "model", Period: time.Minute})
	fmt.Println(origin.Version, source, err)
	_, _, _, err = registry.Find(ctx, resumption.Query{Key: resumption.NewKey("desk", "attempt-2"), Service: "model", Period: time.Minute})
	fmt.Println(err)
	// Output:
	// v1 Record <nil>
	// software version that began the stream is unknown: no origin is recorded, and the service may have had several versions
}
