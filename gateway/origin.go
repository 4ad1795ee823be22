package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/resumption"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// unlistedServiceTime is how long an endpoint may serve after it left the list, as
// one does that stops without draining, or whose departure becomes known late.
const unlistedServiceTime = 20 * time.Second

// recordOriginInterval is the delay between attempts to record the origin of a
// stream. Each of them may delay an event by some ten milliseconds.
const recordOriginInterval = 500 * time.Millisecond

// resumes reports whether the request resumes a stream that an earlier attempt
// began.
func (e *exchange) resumes() bool {
	return e.route != nil && e.route.Kind == route.KindStream && (e.call.Resumes != "" || e.call.LastEvent != "")
}

// findOrigin determines the service and the software version at which a stream to
// resume began. It returns a *refusal if they are unknown, or if no endpoint has
// the version: another instance may know more, and a caller whose attempts are all
// refused begins the stream anew. It does nothing for other requests.
func (e *exchange) findOrigin(ctx context.Context) error {
	if !e.resumes() {
		return nil
	}
	query := resumption.Query{Key: resumption.NewKey(e.organisationName(), e.call.Resumes), Period: e.originPeriod()}
	if len(e.route.Targets) == 1 {
		query.Service = e.service
	}
	origin, source, age, err := e.Origins.Find(ctx, query)
	if err != nil {
		return e.orEnded(ctx, refuse(ReasonUnknownOrigin, http.StatusServiceUnavailable, otherInstanceRetryAfter, err))
	}
	e.origin, e.originSource, e.originAge = &origin, source, age
	if e.Endpoints.IsOutdated(origin.Incarnation, origin.Version) {
		return refuse(ReasonUnknownOrigin, http.StatusServiceUnavailable, otherInstanceRetryAfter, &restartedError{incarnation: origin.Incarnation})
	}
	isTarget := slices.ContainsFunc(e.route.Targets, func(target route.Target) bool { return target.Service == origin.Service })
	if !isTarget || !slices.ContainsFunc(e.Endpoints.Service(origin.Service), e.canContinue) {
		return refuse(ReasonNoVersion, http.StatusServiceUnavailable, otherInstanceRetryAfter, nil)
	}
	e.service = origin.Service
	return nil
}

// restartedError is the cause if the endpoint that began a stream has restarted with
// other software, so that it is not known which of the two began it.
type restartedError struct {
	incarnation string
}

// Error returns the incarnation that was known when the stream began.
func (e *restartedError) Error() string {
	return "endpoint " + e.incarnation + " has restarted with another software version"
}

// originPeriod returns the time before now in which endpoints may have begun a stream
// that is resumed now: the attempt that began it and this one last for the timeout of
// the route at most.
func (e *exchange) originPeriod() time.Duration { return 2*e.route.Timeout + unlistedServiceTime }

// canContinue reports whether the endpoint may send the next event of the stream.
func (e *exchange) canContinue(endpoint *membership.Endpoint) bool {
	return e.origin == nil || endpoint.Version == e.origin.Version
}

// skipped returns which endpoints may not serve the request: those tried before and,
// once the stream has begun, those of other software versions.
func (e *exchange) skipped(endpoints []*membership.Endpoint) func(id string) bool {
	if e.origin == nil {
		return func(id string) bool { return slices.Contains(e.tried, id) }
	}
	isOutdated := e.Endpoints.IsOutdated(e.origin.Incarnation, e.origin.Version)
	var others []string
	for _, endpoint := range endpoints {
		if isOutdated || !e.canContinue(endpoint) {
			others = append(others, endpoint.ID)
		}
	}
	return func(id string) bool { return slices.Contains(e.tried, id) || slices.Contains(others, id) }
}

// recordOrigin records where the stream began, before an event of it is sent to the
// caller. Other instances need the record unless the service has only one version,
// which may change while the stream lasts.
func (e *exchange) recordOrigin(ctx context.Context) {
	if e.origin == nil {
		e.origin = &resumption.Origin{Service: e.service, Version: e.versions[len(e.versions)-1], Incarnation: e.incarnation}
		e.Origins.Keep(resumption.NewKey(e.organisationName(), e.call.ID), *e.origin)
	}
	now := e.Clock.Now()
	if !e.route.Resumable || e.originRecorded || now.Before(e.recordOriginAt) || len(e.route.Targets) == 1 && e.Origins.IsSole(e.service, e.originPeriod()) {
		return
	}
	e.originRecorded, e.recordOriginAt = true, now.Add(recordOriginInterval)
	for _, attempt := range []string{e.call.ID, e.call.Resumes} {
		if attempt != "" && !e.Origins.Record(ctx, resumption.NewKey(e.organisationName(), attempt), *e.origin) {
			e.originRecorded = false
		}
	}
}

// deferOrigin has the origin of a stream that broke off recorded once the service has several
// versions, which this instance may learn a moment after the caller resumes the stream at another
// one.
func (e *exchange) deferOrigin() {
	if e.origin == nil || e.received == 0 || e.originRecorded || !e.route.Resumable {
		return
	}
	for _, attempt := range []string{e.call.ID, e.call.Resumes} {
		if attempt != "" {
			e.Origins.RecordLater(resumption.NewKey(e.organisationName(), attempt), *e.origin, e.originPeriod(), e.Clock.Now().Add(e.route.Timeout))
		}
	}
}
