package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/overload"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/resumption"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// startupRetryAfter is the retry delay while an instance has no
	// configuration yet; it reads the configuration within a second.
	startupRetryAfter = 500 * time.Millisecond
	// startupWait bounds how long a request waits for an instance that has not
	// read the configuration or the list of endpoints yet. After a loss of power
	// of all instances callers find only such ones, and a refusal costs them an
	// attempt.
	startupWait         = 500 * time.Millisecond
	startupPollInterval = 20 * time.Millisecond
	// minEventTimeout, objectiveFactor times the route's objective, or
	// pauseFactor times the route's longest pause, whichever is greatest, is
	// how long a caller waits for the next event of a stream, including the
	// first, before it disconnects.
	minEventTimeout = 2 * time.Second
	objectiveFactor = 4
	pauseFactor     = 8
	// otherInstanceRetryAfter is the retry delay given by a partitioned
	// instance. It is short because the next attempt reaches another instance.
	otherInstanceRetryAfter = 20 * time.Millisecond
	// notRedirectedRetryAfter is the retry delay given by a stopping instance that
	// callers still reach after they should have been redirected: no other one takes
	// them. An instance is back about a second after its last response.
	notRedirectedRetryAfter = 150 * time.Millisecond
	// busyRetryAfter is the retry delay when endpoints are full. About half of
	// the slots become free in that time.
	busyRetryAfter = 150 * time.Millisecond
	// writeGrace is how long after a request's deadline its response may still
	// be written to a caller that reads slowly.
	writeGrace = time.Second
)

// The buckets of the latency histograms range from 1 ms to 16 s.
const (
	minLatency     = time.Millisecond
	latencyFactor  = 2
	latencyBuckets = 15
)

// exchange holds the state of one request and its response.
type exchange struct {
	*Gateway
	w http.ResponseWriter
	r *http.Request

	call  *RequestInfo
	table *route.Table
	route *route.Route
	// organisation is the caller's organisation; nil for a caller without a
	// key. program is the program's name, qualified by the organisation.
	organisation *route.Organisation
	program      string
	// service is the name of the service chosen from the route's targets.
	service  string
	arrived  time.Time
	deadline time.Time
	// body is the request's body, and conversation what endpoints receive before it if the
	// route keeps history. conversationMemory is what is reserved for that.
	body               []byte
	conversation       conversation
	conversationMemory conversationMemory
	// bodyTimedOut is set if the body was not complete in time or before the connection
	// was closed to make room for others.
	bodyTimedOut bool

	// conn is the connection to which memory is charged; nil if it has no limits.
	conn *connlimit.Conn
	// memoryUsed is the number of bytes reserved for the body, the conversation and
	// what is kept of the response, and responseMemory the last of these.
	memoryUsed, responseMemory int64
	// memoryWait is how long the request waited for memory, and storeTime how long storing
	// the turn took.
	memoryWait, storeTime time.Duration
	// reservation is the budget reserved for the turn; nil for a request that
	// spends none.
	reservation *account.Reservation

	// quotaCharged is set once the request is charged to the organisation's
	// quota.
	quotaCharged bool
	// serviceQueue is the service's admission queue, and queueTime the time the
	// request waited in it. releaseSlot leaves the slot that the queue gave it; nil
	// before that.
	serviceQueue *serviceQueue
	releaseSlot  func()
	// priority is the rank of the program's turns; 0 is the highest.
	priority int
	// admission is the decision on the program, and programBegun is set if the
	// program has begun or may begin.
	admission    overload.Admission
	programBegun bool
	queueTime    time.Duration

	// tried lists the IDs of the endpoints tried, and versions the versions of
	// their software. runs counts those that may have run the request, and unreachable
	// those that did not receive it.
	tried       []string
	versions    []string
	runs        int
	unreachable int
	// incarnation identifies the incarnation of the endpoint tried last.
	incarnation string
	// origin is where the stream began; nil before its first event. originSource
	// and originAge tell how it was found for a stream that the request resumes.
	// originRecorded is set once other instances know it; before recordOriginAt they
	// are not told again.
	origin         *resumption.Origin
	originSource   resumption.Source
	originAge      time.Duration
	originRecorded bool
	recordOriginAt time.Time
	// firstResponse is the response whose head the caller's stream has.
	// received counts the events of the stream, including those in eventBuffer.
	// eventData holds the data of these events if the turn is to be stored, and
	// lastEventID the ID of the latest.
	firstResponse *upstream.Response
	received      int64
	eventData     [][]byte
	lastEventID   string
	eventBuffer   *eventBuffer
	// heldBack is set once an event was held back from the caller.
	heldBack bool
	// The following fields describe what the caller was sent: whether the head
	// was written, whether bytes of a plain body followed, which no other response can
	// continue, the status, the number of events, and the time from the
	// request's arrival to the first event.
	headWritten      bool
	bodyRelayed      bool
	status           int
	eventsSent       int64
	timeToFirstEvent time.Duration
	// identityKey is the key of the request's identity; nil until it is needed.
	identityKey *quarantine.Key
	// send is the latest sending of the request to an endpoint; nil while no request is
	// in quarantine. sentAt is when it began, heardAt when the endpoint last sent
	// something, initially sentAt. failed is set if it sent a whole response after which
	// the caller may send the request again, and isSettled once it is known whether the
	// endpoint crashed.
	send              *quarantine.Send
	sentAt, heardAt   time.Time
	failed, isSettled bool
	// lastError is the error of the latest endpoint that did not serve the
	// request; it is logged.
	lastError error
}

// ServeHTTP serves one request: it matches the route, charges the quota, waits
// for admission, reserves budget, rebuilds the prompt, relays an endpoint's
// response, and stores the turn.
func (gateway *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	gateway.inFlight.Add(1)
	defer gateway.inFlight.Add(-1)
	gateway.metrics.requests.Inc(1)
	e := &exchange{Gateway: gateway, w: w, r: r, conn: limitedConn(r), arrived: gateway.Clock.Now()}
	e.conversationMemory.exchange = e
	e.finish(e.serve())
}

// serve serves the request. It returns a *refusal if the gateway refused it or
// aborted its response.
func (e *exchange) serve() error {
	defer e.settle()
	if err := e.accept(); err != nil {
		return err
	}
	ctx, abort := context.WithCancelCause(e.r.Context())
	defer context.AfterFunc(e.Shutdown.Expired(), func() { abort(errShuttingDown) })()
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	if err := e.run(ctx); err != nil {
		return err
	}
	return e.storeTurn(ctx)
}

// settle releases the request's memory, records the tokens spent, and returns
// the quota of a request that did not run. It is deferred, so it also runs
// after a panic.
func (e *exchange) settle() {
	e.bodyMemory.Add(-e.memoryUsed)
	if e.reservation != nil {
		e.reservation.Settle(e.spentTokens())
	}
	if e.quotaCharged && e.runs == 0 {
		e.Quotas.Return(e.organisation.Name)
	}
}

// run prepares the request and has an endpoint serve it.
func (e *exchange) run(ctx context.Context) error {
	defer func() {
		if e.releaseSlot != nil {
			e.releaseSlot()
		}
	}()
	if err := e.prepare(ctx); err != nil {
		return err
	}
	if err := e.dispatch(ctx); err != nil {
		return err
	}
	if e.spendsBudget() {
		e.recordServed()
	}
	return nil
}

// prepare charges the quota, waits for admission, reserves budget and rebuilds the
// prompt, unless a shutdown begins that may abort the request.
func (e *exchange) prepare(ctx context.Context) error {
	ctx, cancel := e.untilShutdown(ctx)
	defer cancel()
	err := e.awaitTurn(ctx)
	if err != nil && context.Cause(ctx) == errShuttingDown && e.r.Context().Err() == nil {
		return e.refuseForShutdown()
	}
	return err
}

// awaitTurn waits for all that the request needs before an endpoint may run it. It calls
// the store only after admission, so that a rejected request costs no store call.
func (e *exchange) awaitTurn(ctx context.Context) error {
	if e.spendsBudget() && e.Accounts.RecentlySpent(e.program, e.call.MaxTokens, e.call.Budget) {
		return refuse(ReasonSpent, http.StatusPaymentRequired, 0, account.NewSpentError(e.program, e.call.Budget, "as found for a turn just before"))
	}
	if err := e.checkCrashes(ctx); err != nil {
		return err
	}
	if err := e.chargeQuota(ctx); err != nil {
		return err
	}
	if err := e.findOrigin(ctx); err != nil {
		return err
	}
	if err := e.admitProgram(ctx); err != nil {
		return err
	}
	if err := e.admit(ctx); err != nil {
		return err
	}
	// Reserve budget before reading the history. The budget refuses a looping
	// program many times, mostly from memory, whereas reading the conversation
	// takes one call per turn.
	if err := e.reserve(ctx); err != nil {
		return err
	}
	return e.rebuild(ctx)
}

// accept decodes the headers, matches the route, authenticates the caller and
// reads the body.
func (e *exchange) accept() error {
	call, err := e.Dialect.Decode(e.r.Header)
	if err != nil {
		return refuse(ReasonBadRequest, http.StatusBadRequest, 0, err)
	}
	call.bound()
	e.call = call
	if conn := callerConnOf(e.r); conn != nil {
		conn.setRequest(call.ID)
	}
	if e.conn != nil && !e.conn.Begin(connlimit.RequestCost) {
		return e.refuseWithoutMemory()
	}
	e.awaitStartup()
	e.table = e.Routes.Load()
	if e.table == nil {
		return refuse(ReasonNoConfiguration, http.StatusServiceUnavailable, startupRetryAfter, nil)
	}
	e.route = e.table.Match(e.r.Host, e.path())
	if e.route == nil {
		return e.refuseWithoutRoute()
	}
	e.eventBuffer = newEventBuffer(e.arrived, e.eventTimeout())
	if err := e.authenticate(); err != nil {
		return err
	}
	e.service = e.route.PickService()
	wait := e.route.Timeout
	if call.Deadline > 0 {
		wait = min(wait, call.Deadline)
	}
	e.deadline = e.arrived.Add(wait)
	if err := e.checkShutdown(); err != nil {
		return err
	}
	// A caller that does not read must not hold the request forever.
	// Connections without write deadlines end when the caller closes them.
	_ = http.NewResponseController(e.w).SetWriteDeadline(e.deadline.Add(writeGrace))
	if err := e.readBody(); err != nil {
		return err
	}
	return e.checkTurnSize()
}

// refuseWithoutRoute returns the refusal of a request that matches no route. For a
// turn that continues another, 404 would mean that the other one does not exist, while
// this instance may only not know the route yet; its program would end.
func (e *exchange) refuseWithoutRoute() *refusal {
	if e.call.Previous != "" {
		return refuse(ReasonNoRoute, http.StatusServiceUnavailable, otherInstanceRetryAfter, nil)
	}
	return refuse(ReasonNoRoute, http.StatusNotFound, 0, nil)
}

// awaitStartup waits until the configuration, the list of endpoints and the crashes under
// requests were read, for at most startupWait.
func (e *exchange) awaitStartup() {
	for (!e.isLoaded() || e.Crashes.IsLoading()) && e.Clock.Now().Sub(e.arrived) < startupWait {
		if !clock.Sleep(e.r.Context(), startupPollInterval) {
			return
		}
	}
}

// authenticate finds the caller's organisation by its key. If the route needs a
// key and it is unknown, a partitioned instance refuses with 503, so that the
// caller retries at another instance: this one may have missed a new key.
func (e *exchange) authenticate() error {
	e.program = e.call.Program
	e.organisation = e.table.Organisation(e.call.Key)
	switch {
	case e.organisation != nil:
		e.program = scopedProgram(e.organisation.Name, e.call.Program)
	case e.table.NeedsKey(e.route) && e.partitioned():
		return refuse(ReasonUnknownKey, http.StatusServiceUnavailable, otherInstanceRetryAfter, nil)
	case e.table.NeedsKey(e.route):
		return refuse(ReasonUnknownKey, http.StatusUnauthorized, 0, nil)
	}
	return nil
}

// scopedProgram returns the program's name qualified by its organisation.
// Callers choose program names, and must not reach another organisation's
// budget by using one of its names.
func scopedProgram(organisation, program string) string {
	if program == "" {
		return ""
	}
	return url.PathEscape(organisation) + "/" + program
}

// organisationName returns the name of the caller's organisation, or "" for a
// caller without a key.
func (e *exchange) organisationName() string {
	if e.organisation == nil {
		return ""
	}
	return e.organisation.Name
}

// path returns the path exactly as the caller sent it, still escaped and
// without the query.
func (e *exchange) path() string {
	path, _, _ := strings.Cut(e.r.RequestURI, "?")
	return path
}

// eventTimeout returns how long the caller waits for the next event of the
// response.
func (e *exchange) eventTimeout() time.Duration {
	return max(minEventTimeout, objectiveFactor*e.route.Objective, pauseFactor*e.route.MaxEventGap)
}

// orEnded returns a refusal if the caller disconnected or ctx ended, and err
// otherwise.
func (e *exchange) orEnded(ctx context.Context, err error) error {
	switch {
	case e.r.Context().Err() != nil:
		return refuse(ReasonCallerGone, http.StatusBadGateway, 0, e.r.Context().Err())
	case context.Cause(ctx) == errShuttingDown:
		return e.refuseForShutdown()
	case ctx.Err() != nil && e.runs > 0:
		return refuse(ReasonTimeout, http.StatusGatewayTimeout, 0, ctx.Err())
	case ctx.Err() != nil:
		return refuse(ReasonTimeout, http.StatusServiceUnavailable, busyRetryAfter, ctx.Err())
	}
	return err
}

// finish records metrics, logs the request, and sends the refusal of one that
// was not served.
func (e *exchange) finish(err error) {
	took := e.Clock.Now().Sub(e.arrived)
	e.metrics.latency.RecordDuration(took)
	reason := ReasonNone
	var rejection *refusal
	if errors.As(err, &rejection) {
		reason = rejection.reason
		e.metrics.refused[reason].Inc(1)
		if !e.headWritten {
			e.status = rejection.status
		}
	} else {
		e.metrics.served.Inc(1)
	}
	e.log(reason, took, err)
	if rejection == nil {
		return
	}
	e.deferOrigin()
	if e.headWritten || reason == ReasonCallerGone {
		// Abort the connection, so that the partial response does not look
		// complete.
		panic(http.ErrAbortHandler)
	}
	e.setConnectionClose()
	e.discardBody()
	rejection.write(e.w)
	if e.conn != nil && e.bodyTimedOut {
		e.linger()
	}
}

// setConnectionClose makes the response close its connection while the instance
// drains or is partitioned, so that the caller's next request reaches another
// instance.
func (e *exchange) setConnectionClose() {
	if e.Shutdown.HasBegun() || e.partitioned() {
		e.w.Header().Set("Connection", "close")
	}
}
