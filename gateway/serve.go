package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/history"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// startPause is what callers are told to wait while an instance does
	// not know the configuration yet: it reads it within a second.
	startPause = 500 * time.Millisecond
	// storePatience is how long a request waits for a store that is away for
	// all. Outages last seconds: a caller that is turned away at once has
	// used all its tries after three of them, one that is kept waiting each
	// time has some left after eight.
	storePatience = time.Second
	// patienceShare of its time is the most that a request waits so: what is
	// left must do for the answer, or for another try.
	patienceShare = 0.4
	// leastGap, or callerObjectives times the route's objective or callerPauses
	// times its longest pause, is how long a caller waits for the next event of
	// a stream, the first one too, before it leaves.
	leastGap         = 2 * time.Second
	callerObjectives = 4
	callerPauses     = 8
	// refusalTime before that a request that still waits for the store or for
	// another instance is refused: a caller that leaves first is not told when
	// to come back. The way to it takes some ten milliseconds, and longer on a
	// busy link.
	refusalTime = 300 * time.Millisecond
	// leastCall is what a call to the store is given at least, however long the
	// request has waited for its turn: one that is slow answers in a quarter of
	// a second.
	leastCall = 300 * time.Millisecond
	// storeRetry is the pause between looks at a store that is away.
	storeRetry = 60 * time.Millisecond
	// storePause is what callers are told to wait after that; they wait a
	// third of their time left at most.
	storePause = 400 * time.Millisecond
	// elsewherePause is what callers are told to wait by an instance that is
	// cut off: their next try reaches another one.
	elsewherePause = 20 * time.Millisecond
	// busyPause is what callers are told to wait when endpoints are full:
	// about the time in which half the places come free.
	busyPause = 150 * time.Millisecond
	// heldPause is what callers are told to wait for budget that another
	// instance gives back; it does so within half a second.
	heldPause = 300 * time.Millisecond
	// writeSlack is how long after a request's deadline its answer may
	// still be written to a caller that reads slowly.
	writeSlack = time.Second
	// discardTime bounds reading the rest of a refused request's body: one
	// within the limits takes 20 ms on the slowest link met, of 30 Mbit/s.
	discardTime = time.Second
	// maxBody is the limit of bodies if the configuration names none.
	maxBody = 4 << 20
)

// The latency histograms reach from 1 ms to 16 s.
const (
	latencyLowest  = time.Millisecond
	latencyFactor  = 2
	latencyBuckets = 15
)

// exchange is one request on its way through the gateway.
type exchange struct {
	*Gateway
	w http.ResponseWriter
	r *http.Request

	call  *Call
	table *route.Table
	route *route.Route
	// organisation is the caller's, nil for one without a key. program names
	// the program among those of all organisations.
	organisation *route.Organisation
	program      string
	service      string
	arrived      time.Time
	until        time.Time
	body         []byte
	prompt       []byte

	// held is the memory counted for the request's body and prompt.
	held        int64
	chain       []*history.Turn
	reservation *account.Reservation

	// credited is set once the request counts into its organisation's quota.
	credited bool
	// entrance is the way to the service, queued the wait there.
	entrance *entrance
	priority int
	queued   time.Duration

	// tried are the endpoints that were offered the request; runs counts
	// those that may have run it.
	tried []string
	runs  int
	// asked is the start of the endpoint that was asked last.
	asked string
	// opening is the answer that a stream begins with. received counts its events,
	// also those that are still in the outbox; events are their data, if the turn
	// is to be kept, lastEvent the ID of the last one.
	opening   *upstream.Response
	received  int64
	events    [][]byte
	lastEvent string
	outbox    *outbox
	// heldBack tells that an event was not given to the caller at once.
	heldBack bool
	// What the caller was given: the head of an answer, and how many events.
	answered  bool
	status    int
	count     int64
	first     time.Duration
	lastError error
}

// ServeHTTP serves one request: it finds its route, waits for its turn,
// reserves its budget, rebuilds its prompt, has an endpoint answer it, and
// keeps the turn.
func (gateway *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	gateway.inFlight.Add(1)
	defer gateway.inFlight.Add(-1)
	gateway.metrics.requests.Inc(1)
	e := &exchange{Gateway: gateway, w: w, r: r, arrived: gateway.Clock.Now()}
	e.finish(e.serve())
}

func (e *exchange) serve() error {
	defer e.settle()
	if err := e.accept(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(e.r.Context(), e.until)
	defer cancel()
	if err := e.run(ctx); err != nil {
		return err
	}
	return e.keep(ctx)
}

// settle gives back the memory and the budget that the request does not use,
// also if it ends with a panic.
func (e *exchange) settle() {
	e.bodies.Add(-e.held)
	if e.reservation != nil {
		e.reservation.Settle(e.spent())
	}
	if e.credited && e.runs == 0 {
		e.Quotas.Return(e.organisation.Name)
	}
}

// run has the request run once it is its turn. Only then is the store asked
// for what it needs: one that is turned away costs no call.
func (e *exchange) run(ctx context.Context) error {
	if e.spends() && e.Accounts.KnownSpent(e.program, e.call.MaxTokens, e.call.Budget) {
		return refuse(ReasonSpent, http.StatusPaymentRequired, 0, nil)
	}
	if err := e.credit(ctx); err != nil {
		return err
	}
	release, err := e.admit(ctx)
	if err != nil {
		return err
	}
	defer release()
	// The budget first: a program that loops is refused by it many times, and
	// mostly from memory, where its conversation takes a call for each turn of
	// it.
	if err := e.reserve(ctx); err != nil {
		return err
	}
	if err := e.rebuild(ctx); err != nil {
		return err
	}
	if err := e.offer(ctx); err != nil {
		return err
	}
	if e.spends() {
		e.noteServed()
	}
	return nil
}

// accept reads the request and finds its route.
func (e *exchange) accept() error {
	call, err := e.Dialect.Decode(e.r.Header)
	if err != nil {
		return refuse(ReasonBadRequest, http.StatusBadRequest, 0, err)
	}
	e.call = call
	e.table = e.Routes.Load()
	if e.table == nil {
		return refuse(ReasonNoConfiguration, http.StatusServiceUnavailable, startPause, nil)
	}
	e.route = e.table.Match(e.r.Host, e.path())
	if e.route == nil {
		return refuse(ReasonNoRoute, http.StatusNotFound, 0, nil)
	}
	e.outbox = newOutbox(e.arrived, e.callerGap())
	if err := e.identify(); err != nil {
		return err
	}
	e.service = e.route.Pick()
	wait := e.route.Timeout
	if call.Deadline > 0 {
		wait = min(wait, call.Deadline)
	}
	e.until = e.arrived.Add(wait)
	// A caller that does not read must not hold the request for ever. Not
	// all connections can be told; then the caller's end is waited for.
	_ = http.NewResponseController(e.w).SetWriteDeadline(e.until.Add(writeSlack))
	return e.readBody()
}

// identify finds the organisation of the caller by its key. A caller that
// another instance may know is sent there: this one, cut off, may have missed
// a key.
func (e *exchange) identify() error {
	e.program = e.call.Program
	e.organisation = e.table.Organisation(e.call.Key)
	switch {
	case e.organisation != nil:
		e.program = scoped(e.organisation.Name, e.call.Program)
	case e.table.NeedsKey(e.route) && e.cutOff():
		return refuse(ReasonUnknownKey, http.StatusServiceUnavailable, elsewherePause, nil)
	case e.table.NeedsKey(e.route):
		return refuse(ReasonUnknownKey, http.StatusUnauthorized, 0, nil)
	}
	return nil
}

// scoped returns the name of an organisation's program among those of all:
// callers choose the names of programs, and must not reach another
// organisation's budget by its name.
func scoped(organisation, program string) string {
	if program == "" {
		return ""
	}
	return url.PathEscape(organisation) + "/" + program
}

// organisationName returns "" for a caller without a key.
func (e *exchange) organisationName() string {
	if e.organisation == nil {
		return ""
	}
	return e.organisation.Name
}

// path returns the path as the caller sent it.
func (e *exchange) path() string {
	path, _, _ := strings.Cut(e.r.RequestURI, "?")
	return path
}

// holdBody counts the body's memory in, or refuses the request: a process
// that takes more memory than it has is killed, with all that it serves.
func (e *exchange) holdBody(size int64) error {
	e.held += size
	if e.bodies.Add(size) > e.BodyBytes && e.BodyBytes > 0 {
		return refuse(ReasonNoMemory, http.StatusServiceUnavailable, busyPause, nil)
	}
	return nil
}

func (e *exchange) readBody() error {
	limit := e.table.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if e.r.ContentLength > limit {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, nil)
	}
	if e.r.ContentLength >= 0 {
		if err := e.holdBody(e.r.ContentLength); err != nil {
			return err
		}
		e.body = make([]byte, e.r.ContentLength)
		if _, err := io.ReadFull(e.r.Body, e.body); err != nil {
			return refuse(ReasonBadRequest, http.StatusBadRequest, 0, err)
		}
		return nil
	}
	body, err := io.ReadAll(&heldReader{exchange: e, body: http.MaxBytesReader(e.w, e.r.Body, limit)})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, err)
	}
	var own *refusal
	if errors.As(err, &own) {
		return own
	}
	if err != nil {
		return refuse(ReasonBadRequest, http.StatusBadRequest, 0, err)
	}
	e.body = body
	return nil
}

// heldReader counts the memory of a body of unknown length as it comes.
type heldReader struct {
	exchange *exchange
	body     io.Reader
}

// Read returns the refusal of holdBody if there is no memory left.
func (reader *heldReader) Read(p []byte) (int, error) {
	n, err := reader.body.Read(p)
	if held := reader.exchange.holdBody(int64(n)); held != nil {
		return n, held
	}
	return n, err
}

// rebuild puts the conversation before the new input of a turn.
func (e *exchange) rebuild(ctx context.Context) error {
	e.prompt = e.body
	if e.route.KeepsHistory && e.cutOff() {
		// The turn could not be kept: the engine's work would be lost.
		return e.storeAway(nil)
	}
	if !e.route.KeepsHistory || e.call.Previous == "" {
		return nil
	}
	var chain []*history.Turn
	err := e.patiently(ctx, func(ctx context.Context) (err error) {
		chain, err = e.Archive.Chain(ctx, e.organisationName(), e.call.Previous, e.holder())
		return err
	})
	var unknown *archive.UnknownTurnError
	switch {
	case errors.As(err, &unknown):
		return refuse(ReasonUnknownTurn, http.StatusNotFound, 0, err)
	case err != nil:
		return e.orGone(ctx, e.storeAway(err))
	}
	e.chain = chain
	e.prompt = history.Prompt(chain, e.body)
	return e.holdBody(int64(len(e.prompt)))
}

// holder returns the instance that served the turn before, "" if that is not
// another one, or is not known. While the store is away nobody is asked: the
// turn waits for the store, which it needs to be kept, before an engine runs it
// and not after.
func (e *exchange) holder() string {
	if e.reservation == nil || e.Durability.Away() {
		return ""
	}
	places := e.reservation.Places()
	if len(places) == 0 || places[len(places)-1].Instance == e.Instance {
		return ""
	}
	return places[len(places)-1].Instance
}

// patiently calls f again while the store does not serve it, for
// storePatience from the request's arrival, and ends a call under way before
// the caller leaves. An instance that is cut off does not wait: another one can
// serve the request.
func (e *exchange) patiently(ctx context.Context, f func(ctx context.Context) error) error {
	patience := min(storePatience, time.Duration(patienceShare*float64(e.until.Sub(e.arrived))))
	limit := max(e.arrived.Add(e.callerGap()-refusalTime).Sub(e.Clock.Now()), leastCall)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := f(ctx)
		if !store.Unserved(err) || e.cutOff() || e.Clock.Now().Sub(e.arrived) >= patience {
			return err
		}
		if !clock.Sleep(ctx, storeRetry) {
			return err
		}
	}
}

// callerGap returns how long the caller waits for an event of the answer.
func (e *exchange) callerGap() time.Duration {
	return max(leastGap, callerObjectives*e.route.Objective, callerPauses*e.route.Pause)
}

// storeAway returns the refusal of a request that needs the store.
func (e *exchange) storeAway(err error) *refusal {
	pause := storePause
	if e.cutOff() {
		pause = elsewherePause
	}
	return refuse(ReasonStoreAway, http.StatusServiceUnavailable, pause, err)
}

// spends reports whether the request spends from a program's budget.
func (e *exchange) spends() bool {
	return e.route != nil && e.route.Kind == route.KindStream && e.call.Program != "" && e.call.Budget > 0
}

// reserve makes the most that a turn can spend durable.
func (e *exchange) reserve(ctx context.Context) error {
	if !e.spends() {
		return nil
	}
	began := e.Clock.Now()
	var reservation *account.Reservation
	err := e.patiently(ctx, func(ctx context.Context) (err error) {
		reservation, err = e.Accounts.Reserve(ctx, e.program, e.call.MaxTokens, e.call.Budget, e.ownParts()...)
		return err
	})
	e.metrics.reserve.RecordDuration(e.Clock.Now().Sub(began))
	var spent *account.SpentError
	var held *account.HeldError
	switch {
	case errors.As(err, &spent):
		return refuse(ReasonSpent, http.StatusPaymentRequired, 0, err)
	case errors.As(err, &held):
		return refuse(ReasonBudgetHeld, http.StatusServiceUnavailable, heldPause, err)
	case err != nil:
		return e.orGone(ctx, e.storeAway(err))
	}
	e.reservation = reservation
	for _, place := range reservation.Places() {
		e.Picker.Learn(place.Endpoint, balance.Part{ID: place.Part, Tokens: place.Tokens})
	}
	return nil
}

// ownParts returns the IDs of the prompt's parts that belong to the program;
// the first is shared with others.
func (e *exchange) ownParts() []string {
	var ids []string
	for i, part := range e.call.Parts {
		if i > 0 {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// noteServed notes that an endpoint served the turn, and keeps its prompt.
func (e *exchange) noteServed() {
	e.entrances.started(e.program, e.priority)
	if parts := e.call.Parts; len(parts) > 1 {
		last := parts[len(parts)-1]
		e.reservation.KeptAt(account.Place{Part: last.ID, Endpoint: e.asked, Tokens: last.Tokens + e.received*e.eventTokens(), Instance: e.Instance})
	}
}

// spent returns how many tokens the caller was handed.
func (e *exchange) spent() int64 { return e.count * e.eventTokens() }

func (e *exchange) eventTokens() int64 {
	if service := e.table.Service(e.service); service != nil && service.Model != nil {
		return service.Model.EventTokens
	}
	return 0
}

// keep makes an answered turn durable before the caller learns that it is
// whole: the end of the answer is written only after this returns nil. Events that
// are held back keep the caller meanwhile.
func (e *exchange) keep(ctx context.Context) error {
	if !e.route.KeepsHistory || e.status != http.StatusOK || e.route.Kind != route.KindStream {
		return nil
	}
	turn := &history.Turn{ID: e.call.ID, Organisation: e.organisationName(), Input: e.body, Events: e.events}
	if len(e.chain) > 0 {
		turn.Ancestors = e.chain[len(e.chain)-1].Chain()
	}
	began := e.Clock.Now()
	err := e.whileWaiting(ctx, func(ctx context.Context) error { return e.Archive.Keep(ctx, turn) })
	e.metrics.keep.RecordDuration(e.Clock.Now().Sub(began))
	if err != nil {
		return refuse(ReasonNotKept, http.StatusBadGateway, 0, err)
	}
	_ = e.give(e.outbox.takeAll(e.Clock.Now())) // the caller may be gone; the turn is kept
	return nil
}

// orGone returns err, or why the request ended if it did.
func (e *exchange) orGone(ctx context.Context, err error) error {
	switch {
	case e.r.Context().Err() != nil:
		return refuse(ReasonCallerGone, http.StatusBadGateway, 0, e.r.Context().Err())
	case ctx.Err() != nil && e.runs > 0:
		return refuse(ReasonTimeout, http.StatusGatewayTimeout, 0, ctx.Err())
	case ctx.Err() != nil:
		return refuse(ReasonTimeout, http.StatusServiceUnavailable, busyPause, ctx.Err())
	}
	return err
}

// finish answers a request that was not served, and logs how it ended.
func (e *exchange) finish(err error) {
	took := e.Clock.Now().Sub(e.arrived)
	e.metrics.latency.RecordDuration(took)
	reason := ReasonNone
	var own *refusal
	if errors.As(err, &own) {
		reason = own.reason
		e.metrics.refused[reason].Inc(1)
		if !e.answered {
			e.status = own.status
		}
	} else {
		e.metrics.served.Inc(1)
	}
	e.log(reason, took, err)
	if own == nil {
		return
	}
	if e.answered || reason == ReasonCallerGone {
		// The connection breaks off, so that what was given does not look
		// whole.
		panic(http.ErrAbortHandler)
	}
	e.endConnection()
	e.discardBody()
	own.write(e.w)
}

// discardBody reads what is left of the request's body, up to what a
// configuration allows. A connection that is closed with unread bytes is
// reset, and the caller that still sends may never see the refusal: it must
// take the request for one that may have run.
func (e *exchange) discardBody() {
	_ = http.NewResponseController(e.w).SetReadDeadline(e.Clock.Now().Add(discardTime)) // a test's recorder has none
	_, _ = io.Copy(io.Discard, io.LimitReader(e.r.Body, maxBody))                       // the caller may be gone
}

// endConnection has the answer end its connection while the instance drains
// or is cut off, so that the caller's next request goes elsewhere.
func (e *exchange) endConnection() {
	if e.draining.Load() || e.cutOff() {
		e.w.Header().Set("Connection", "close")
	}
}

func (e *exchange) log(reason Reason, took time.Duration, err error) {
	attrs := []slog.Attr{slog.Int("status", e.status), slog.String("reason", reason.String()), slog.Duration("took", took)}
	if e.call != nil {
		attrs = append(attrs, slog.String("request", e.call.ID), slog.String("program", e.call.Program))
	}
	if e.organisation != nil {
		attrs = append(attrs, slog.String("organisation", e.organisation.Name))
	}
	if e.route != nil {
		attrs = append(attrs, slog.String("route", e.route.Name), slog.Uint64("configuration", e.table.Version()), slog.Time("until", e.until))
	}
	if len(e.tried) > 0 {
		attrs = append(attrs, slog.Any("endpoints", e.tried), slog.Int("runs", e.runs))
	}
	if e.queued >= time.Millisecond {
		attrs = append(attrs, slog.Duration("queued", e.queued), slog.Int("priority", e.priority))
	}
	if e.spends() {
		attrs = append(attrs, slog.Int64("budget", e.call.Budget), slog.Int64("most", e.call.MaxTokens), slog.Int64("spent", e.spent()), slog.Duration("first", e.first))
		if e.reservation != nil {
			attrs = append(attrs, slog.Int64("promised", e.reservation.Promised()), slog.Uint64("budget_version", e.reservation.Version), slog.String("budget_home", e.reservation.Home()))
		}
	}
	if e.heldBack {
		attrs = append(attrs, slog.Bool("held_back", true))
	}
	if e.call != nil && e.call.Previous != "" {
		attrs = append(attrs, slog.String("previous", e.call.Previous))
	}
	if e.lastError != nil {
		attrs = append(attrs, slog.Any("last_error", e.lastError))
	}
	if err != nil {
		attrs = append(attrs, slog.Any("err", err))
	}
	e.Log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}

// balanceRequest returns what the choice of an endpoint depends on.
func (e *exchange) balanceRequest() *balance.Request {
	request := &balance.Request{DataCentre: e.DataCentre, Parts: e.call.Parts}
	if service := e.table.Service(e.service); service != nil && service.Model != nil {
		request.Capacity = service.Model.Capacity
	}
	return request
}
