package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/fencing"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/settings"
	"github.com/wagtaildrum/wagtaildrum/tcp"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

// maxAnswerBytes bounds an event or a whole body that an endpoint sends.
const maxAnswerBytes = 4 << 20

// retryAfterDraining is the retry delay for a call rejected by a draining
// sidecar: none, since the caller normally retries at another endpoint.
// retryAfterQueueFull is the retry delay for a call rejected by the gate if the
// gate does not set one.
const (
	retryAfterDraining  = 0
	retryAfterQueueFull = 500 * time.Millisecond
)

// fenceSweepInterval is the interval at which unused fence marks are deleted.
// fenceRetention is the time for which a program's fence mark is retained after
// its last call. A former owner that was suspended for longer is stopped by its
// own lease check only.
const (
	fenceSweepInterval = time.Minute
	fenceRetention     = 10 * time.Minute
)

// Sidecar serves peer calls for one endpoint. It holds the gate that admits
// calls, the fence marks of programs and, for an engine, the watcher of its
// prefix cache and the model calls in flight.
type Sidecar struct {
	role       string
	endpoint   *sling.Sling
	http       *http.Client
	gate       *admission.Gate[admission.Order]
	cache      *cacheWatcher
	modelCalls *modelCalls
	fences     *fencing.Table
	log        *slog.Logger
	calls      tally.Counter
	refused    tally.Counter
	failed     tally.Counter
}

// New returns a sidecar for the endpoint in s, which must be valid settings. An
// unknown order of waiting calls is replaced by that of the oldest program. The
// sidecar registers its counters in scope.
func New(s *settings.Sidecar, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Sidecar {
	// Keep one idle connection per concurrent call. With the default of two, a
	// connection would be opened and closed for nearly every call.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = s.MaxConcurrent, s.MaxConcurrent
	transport.MaxResponseHeaderBytes = upstream.MaxHeaderBytes
	checked := upstream.CheckResponses(transport, tcp.DefaultDialer())
	hc := &http.Client{Transport: checked}
	endpoint := sling.New().Client(hc).Base(s.Endpoint)
	order, err := admission.NewOrder(s.Order)
	if err != nil {
		order = admission.OldestProgram{MaxShift: admission.DefaultMaxShift}
	}
	limits := admission.Limits{Running: s.MaxConcurrent, UrgentOnly: s.UrgentOnly, Waiting: s.MaxQueued, Urgent: int(program.UrgencyUrgent)}
	return &Sidecar{
		role:       s.Role,
		endpoint:   endpoint,
		cache:      newCacheWatcher(sling.New().Client(&http.Client{Transport: upstream.LimitBodies(checked, maxAnswerBytes)}).Base(s.Endpoint), log),
		modelCalls: newModelCalls(),
		http:       hc,
		gate:       admission.NewGate(order, limits, clk),
		fences:     fencing.NewTable(clk),
		log:        log,
		calls:      scope.Counter("calls"),
		refused:    scope.Counter("refused"),
		failed:     scope.Counter("failed"),
	}
}

// Drain makes the sidecar reject new calls and returns a channel that is closed
// once all running and waiting calls have ended.
func (s *Sidecar) Drain() <-chan struct{} { return s.gate.Drain() }

// refuse replies that the call was not run and may be retried after a delay.
func (s *Sidecar) refuse(send func(peer.Frame) error, reason, msg string, after time.Duration) {
	s.refused.Inc(1)
	_ = send(peer.Frame{Type: peer.FrameRefused, Reason: reason, Message: msg, RetryAfter: after.Milliseconds()})
}

// Run polls the endpoint's cache events, if it is an engine, and deletes expired
// fence marks. When ctx is cancelled, it stops and sends on done.
func (s *Sidecar) Run(ctx context.Context, done chan<- error) {
	cacheDone := make(chan error, 1)
	if s.role == "engine" {
		go s.cache.run(ctx, cacheDone)
	} else {
		cacheDone <- nil
	}
	sweep := time.NewTicker(fenceSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- <-cacheDone
			return
		case <-sweep.C:
			s.fences.RemoveIdle(fenceRetention)
		}
	}
}

// report returns the report for the final frame of the reply to call.
func (s *Sidecar) report(call *peer.Call) *peer.Report {
	running, waiting, _ := s.gate.Stats()
	r := &peer.Report{Running: running, Waiting: waiting, Limit: s.gate.Limits().Running}
	if call.Kind == peer.KindEngine {
		s.cache.addRemovals(r, call.LastReportSequence)
	}
	return r
}

// Handle serves one call; it is a peer.Handler. It checks the call's fence and
// sequence number, waits until the gate admits the call, and forwards it to the
// endpoint. A call that is not admitted gets a FrameRefused.
func (s *Sidecar) Handle(ctx context.Context, call *peer.Call, reply func(peer.Frame) error) {
	s.calls.Inc(1)
	send := func(f peer.Frame) error {
		if f.Type.IsFinal() {
			f.Report = s.report(call)
		}
		return reply(f)
	}
	// Calls outside of a program have no fence and no order to enforce.
	if call.Program != "" {
		if err := s.fences.Admit(call.Program, call.Fence, call.Sequence); err != nil {
			s.log.Warn("call rejected: its fence or sequence number is stale", "program", call.Program, "seq", call.Sequence, "fence", call.Fence, "reason", "stale", "err", err)
			s.refuse(send, "stale_fence", err.Error(), 0)
			return
		}
	}
	if call.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.DeadlineTime())
		defer cancel()
	}
	if call.Program != "" && call.Kind == peer.KindEngine {
		var done func()
		ctx, done = s.modelCalls.begin(ctx, call.Program)
		defer done()
	}
	release, err := s.gate.Acquire(ctx, ticketOf(call))
	if err != nil {
		var ae *admission.Error
		if errors.As(err, &ae) && ae.Refusal() == admission.RefusalDraining {
			s.refuse(send, "draining", "endpoint is draining", retryAfterDraining)
			return
		}
		after := retryAfterQueueFull
		if ae != nil && ae.RetryAfter() > 0 {
			after = ae.RetryAfter()
		}
		s.refuse(send, "overloaded", err.Error(), after)
		return
	}
	defer release()
	s.cache.track(call.Anchors)
	switch call.Kind {
	case peer.KindEngine:
		s.forwardEngine(ctx, call, send)
	case peer.KindTool:
		s.forwardTool(ctx, call, send)
	}
}

// ticketOf returns the properties of call by which the gate orders it.
func ticketOf(call *peer.Call) admission.Ticket {
	t := admission.Ticket{Urgency: call.Urgency, Attained: call.Attained}
	if call.Started > 0 {
		t.Started = time.UnixMilli(call.Started)
	}
	if call.Deadline > 0 {
		t.Deadline = call.DeadlineTime()
	}
	return t
}

// post sends the body of call to path on the endpoint, with the headers for
// resuming a response and for idempotency if call sets them.
func (s *Sidecar) post(ctx context.Context, path string, call *peer.Call) (*http.Response, error) {
	req, err := s.endpoint.New().Post(path).Body(bytes.NewReader(call.Body)).Request()
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if call.ResumeAfter > 0 {
		req.Header.Set(engine.LastEventHeader, strconv.Itoa(call.ResumeAfter))
	}
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	return s.http.Do(req.WithContext(ctx))
}

// fail logs err and replies that the call failed with an unknown outcome.
func (s *Sidecar) fail(send func(peer.Frame) error, call *peer.Call, err error) {
	s.failed.Inc(1)
	s.log.Warn("call to endpoint failed; replying that its outcome is unknown", "program", call.Program, "seq", call.Sequence, "err", err)
	_ = send(peer.Frame{Type: peer.FrameFailed, Reason: "endpoint_failed", Message: err.Error()})
}

// forwardEngine sends call to the engine and replies with one frame per
// server-sent event. If the caller cancels the call or disconnects, ctx is
// cancelled and with it the request, upon which the engine frees the sequence.
func (s *Sidecar) forwardEngine(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
	resp, err := s.post(ctx, "v1/chat/completions", call)
	if err != nil {
		s.fail(send, call, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes))
		_ = send(peer.Frame{Type: peer.FrameFailed, Reason: "endpoint_status", Message: string(body)})
		return
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 64<<10), maxAnswerBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok || string(data) == "[DONE]" {
			continue
		}
		if err := send(peer.Frame{Type: peer.FrameData, Data: bytes.Clone(data)}); err != nil {
			return
		}
	}
	if err := sc.Err(); err != nil || ctx.Err() != nil {
		s.fail(send, call, errors.Join(err, ctx.Err()))
		return
	}
	_ = send(peer.Frame{Type: peer.FrameEnd})
}

// forwardTool sends call to the tool service and replies with the response body
// in one frame. A response with another status than 200 is a failed call.
func (s *Sidecar) forwardTool(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
	resp, err := s.post(ctx, "tools/"+call.Tool, call)
	if err != nil {
		s.fail(send, call, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		_ = send(peer.Frame{Type: peer.FrameFailed, Reason: "endpoint_status", Message: resp.Status + " " + string(body)})
		return
	}
	if err := send(peer.Frame{Type: peer.FrameData, Data: body}); err != nil {
		return
	}
	_ = send(peer.Frame{Type: peer.FrameEnd})
}

// State is the content of the sidecar's state dump. Programs is the number of
// programs with a fence mark.
type State struct {
	Role     string `json:"role"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Draining bool   `json:"draining"`
	Programs int    `json:"programs_fenced"`
	// TrackedBlocks is the number of blocks whose removal is reported,
	// RemovedBlocks the number of removals so far, and CacheResyncs how often
	// the full list of blocks was read because events were missing.
	TrackedBlocks int    `json:"tracked_blocks"`
	RemovedBlocks uint64 `json:"removed_blocks"`
	CacheResyncs  int    `json:"cache_resyncs"`
}

// State returns the current State for the state dump.
func (s *Sidecar) State() any {
	r, w, d := s.gate.Stats()
	tracked, removed, resyncs := s.cache.stats()
	return State{Role: s.role, Running: r, Waiting: w, Draining: d, Programs: s.fences.Len(),
		TrackedBlocks: tracked, RemovedBlocks: removed, CacheResyncs: resyncs}
}
