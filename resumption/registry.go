package resumption

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Finding is what an instance knows of the origin of an attempt.
type Finding struct {
	// Origin is valid if Found is set. Age is how long ago it was recorded.
	Origin Origin
	Found  bool
	Age    time.Duration
	// Conflicting is set if two different origins were recorded.
	Conflicting bool
	// SoleVersion is the only version that the service's endpoints had during the
	// period in question, if HasSoleVersion is set.
	SoleVersion    string
	HasSoleVersion bool
}

// Query asks for the origin of an attempt.
type Query struct {
	// Key identifies the attempt; the zero Key if the caller does not name it.
	Key Key
	// Service is the service that must have begun the stream, and Period the time
	// in which it may have done so, up to now. Service is empty if there are
	// several.
	Service string
	Period  time.Duration
}

// Peers records and finds origins at other instances.
type Peers interface {
	// RecordOrigin records an origin at the instances that hold the origins of the
	// attempt, also if ctx ends meanwhile. It returns as soon as one of them has it,
	// and an error if none has it within a short time.
	RecordOrigin(ctx context.Context, key Key, origin Origin) error
	// FindOrigin returns what the instances that hold the origins of the attempt
	// know of it. It returns an error if none of them responded.
	FindOrigin(ctx context.Context, query Query) (Finding, error)
}

// Versions tells which versions the endpoints of a service have.
type Versions interface {
	// Sole returns the only version that endpoints of the service had during the
	// last period, and false if there were several or it is not known.
	Sole(service string, period time.Duration) (version string, ok bool)
	// Prove is Sole for an instance that has started lately or was cut off: it first
	// reads from the store what that instance has not seen.
	Prove(ctx context.Context, service string, period time.Duration) (version string, ok bool)
	// Confirm returns nil if all endpoints of the service that are listed now have
	// the version, however late this instance hears of changes, and an error if
	// others are listed or the list cannot be read.
	Confirm(ctx context.Context, service, version string) error
}

// Source tells how the origin of a stream was found.
type Source int

//go:generate stringer -type=Source -trimprefix=Source

// Sources of an origin.
const (
	// SourceRecord means that this instance recorded the origin.
	SourceRecord Source = iota
	// SourcePeer means that another instance recorded it.
	SourcePeer
	// SourceSoleVersion means that the service has had no other version.
	SourceSoleVersion
)

// UnknownOriginError is returned by Registry.Find if the origin of a stream is not
// known.
type UnknownOriginError struct {
	// cause is what kept the origin from being found; nil if nothing failed.
	cause error
}

// Error implements error.
func (e *UnknownOriginError) Error() string {
	if e.cause == nil {
		return "software version that began the stream is unknown"
	}
	return "software version that began the stream is unknown: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOriginError) Unwrap() error { return e.cause }

const (
	// findTimeout bounds the search for an origin at other instances, and
	// confirmTimeout each reading of the list of endpoints or of its history.
	findTimeout    = 150 * time.Millisecond
	confirmTimeout = 500 * time.Millisecond
)

// Registry records and finds the origins of streams. It is safe for concurrent
// use.
type Registry struct {
	records  *Records
	peers    Peers
	versions Versions

	recorded, unrecorded tally.Counter
	found                [SourceSoleVersion + 1]tally.Counter
	unknown              tally.Counter

	mu       sync.Mutex
	deferred []deferredRecord
}

// deferredRecord is an origin that is recorded once the service has several versions.
type deferredRecord struct {
	key    Key
	origin Origin
	period time.Duration
	until  time.Time
}

const (
	// maxDeferred bounds the origins that are recorded later, which an instance tells to
	// three others at once.
	maxDeferred = 256
	// deferredInterval is the interval at which they are looked at.
	deferredInterval = 100 * time.Millisecond
)

// NewRegistry returns a Registry that holds origins in records, which other
// instances may read, too. It reports the metrics origins_recorded,
// origins_unrecorded (at no other instance), origins_found by source and
// origins_unknown to scope.
func NewRegistry(records *Records, peers Peers, versions Versions, scope tally.Scope) *Registry {
	registry := &Registry{records: records, peers: peers, versions: versions, recorded: scope.Counter("origins_recorded"), unrecorded: scope.Counter("origins_unrecorded"), unknown: scope.Counter("origins_unknown")}
	for source := range registry.found {
		registry.found[source] = scope.Tagged(map[string]string{"source": Source(source).String()}).Counter("origins_found")
	}
	return registry
}

// IsSole reports whether the service has had only one version during the last
// period, as far as this instance knows. Streams of such a service need no records
// at other instances.
func (registry *Registry) IsSole(service string, period time.Duration) bool {
	_, ok := registry.versions.Sole(service, period)
	return ok
}

// Keep records the origin of a stream at this instance alone.
func (registry *Registry) Keep(key Key, origin Origin) { registry.records.Put(key, origin) }

// Record records the origin of a stream at this instance and at others. It returns
// when another one has it, or a short time later, and reports whether one has it. A
// stream for which none has it may not be resumable, but may be served.
func (registry *Registry) Record(ctx context.Context, key Key, origin Origin) bool {
	registry.records.Put(key, origin)
	if err := registry.peers.RecordOrigin(ctx, key, origin); err != nil {
		registry.unrecorded.Inc(1)
		return false
	}
	registry.recorded.Inc(1)
	return true
}

// RecordLater records the origin of a stream that broke off, as Record does, if the service
// is found to have had another version in the period before now. Until then nobody needs the
// record. The origin is dropped at the given time, when no caller resumes the stream any more, or
// if there are too many.
func (registry *Registry) RecordLater(key Key, origin Origin, period time.Duration, until time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if len(registry.deferred) < maxDeferred {
		registry.deferred = append(registry.deferred, deferredRecord{key: key, origin: origin, period: period, until: until})
	}
}

// Run records origins that RecordLater left until ctx ends, then sends nil to done.
func (registry *Registry) Run(ctx context.Context, done chan<- error) {
	clock.Every(ctx, deferredInterval, func(now time.Time) { registry.RecordDeferred(ctx, now) }, done)
}

// RecordDeferred records the origins that RecordLater left for services that have several
// versions by now, and drops those whose time is over.
func (registry *Registry) RecordDeferred(ctx context.Context, now time.Time) {
	registry.mu.Lock()
	var due []deferredRecord
	registry.deferred = slices.DeleteFunc(registry.deferred, func(record deferredRecord) bool {
		isDue := !registry.IsSole(record.origin.Service, record.period)
		if isDue {
			due = append(due, record)
		}
		return isDue || !now.Before(record.until)
	})
	registry.mu.Unlock()
	var recording sync.WaitGroup
	for _, record := range due {
		recording.Go(func() { registry.Record(ctx, record.key, record.origin) })
	}
	recording.Wait()
}

// Find returns the origin of a stream, how it was found, and how old that knowledge
// is. It returns an *UnknownOriginError if the origin is not known for certain.
func (registry *Registry) Find(ctx context.Context, query Query) (Origin, Source, time.Duration, error) {
	origin, source, age, err := registry.find(ctx, query)
	if err != nil {
		registry.unknown.Inc(1)
		return Origin{}, 0, 0, &UnknownOriginError{cause: err}
	}
	registry.found[source].Inc(1)
	return origin, source, age, nil
}

// find is Find without metrics. Its error is the cause.
func (registry *Registry) find(ctx context.Context, query Query) (Origin, Source, time.Duration, error) {
	finding := registry.records.Get(query.Key)
	if finding.Found {
		return finding.Origin, SourceRecord, finding.Age, nil
	}
	if finding.Conflicting {
		return Origin{}, 0, 0, errConflicting
	}
	version, isSole := registry.versions.Sole(query.Service, query.Period)
	if isSole && registry.confirm(ctx, query.Service, version) == nil {
		return Origin{Service: query.Service, Version: version}, SourceSoleVersion, 0, nil
	}
	searchCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	finding, err := registry.peers.FindOrigin(searchCtx, query)
	switch {
	case err != nil:
	case finding.Conflicting:
		return Origin{}, 0, 0, errConflicting
	case finding.Found:
		registry.records.Put(query.Key, finding.Origin)
		return finding.Origin, SourcePeer, finding.Age, nil
	default:
		err = errNotRecorded
	}
	version, ok := finding.SoleVersion, finding.HasSoleVersion
	if !ok && !isSole && query.Service != "" {
		// After a loss of power of all, no other instance knows more.
		version, ok = registry.prove(ctx, query)
	}
	if !ok {
		return Origin{}, 0, 0, err
	}
	// This instance has started lately, and the other one may hear late of
	// changes. The list of now closes the gap between them.
	if err := registry.confirm(ctx, query.Service, version); err != nil {
		return Origin{}, 0, 0, err
	}
	return Origin{Service: query.Service, Version: version}, SourceSoleVersion, 0, nil
}

// prove calls Versions.Prove with a timeout.
func (registry *Registry) prove(ctx context.Context, query Query) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return registry.versions.Prove(ctx, query.Service, query.Period)
}

// confirm calls Versions.Confirm with a timeout.
func (registry *Registry) confirm(ctx context.Context, service, version string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return registry.versions.Confirm(ctx, service, version)
}

// Answer returns what this instance knows for the query of another instance.
func (registry *Registry) Answer(query Query) Finding {
	finding := registry.records.Get(query.Key)
	finding.SoleVersion, finding.HasSoleVersion = registry.versions.Sole(query.Service, query.Period)
	return finding
}
