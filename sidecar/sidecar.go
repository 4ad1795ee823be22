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
)

// retryAfterDraining is when a caller refused by a draining sidecar should
// try again (elsewhere, normally at once).
const (
	retryAfterDraining  = 0
	retryAfterQueueFull = 500 * time.Millisecond
)

// Fence marks are kept for markFor after a program's last call. A deposed
// owner frozen for longer is stopped by its own lease check alone.
const (
	sweepPeriod = time.Minute
	markFor     = 10 * time.Minute
)

// Sidecar serves peer calls for one endpoint.
type Sidecar struct {
	role     string
	endpoint *sling.Sling
	http     *http.Client
	gate     *admission.Gate[admission.Order]
	cache    *cacheWatch
	streams  *streams
	fences   *fencing.Table
	log      *slog.Logger
	calls    tally.Counter
	refused  tally.Counter
	failed   tally.Counter
}

// New returns a sidecar for the endpoint in s, which must have been
// checked.
func New(s *settings.Sidecar, clk clock.Clock, log *slog.Logger, scope tally.Scope) *Sidecar {
	// One connection per running call is kept; the default of two would
	// open and close one for nearly every call.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = s.MaxConcurrent, s.MaxConcurrent
	hc := &http.Client{Transport: transport}
	endpoint := sling.New().Client(hc).Base(s.Endpoint)
	order, err := admission.NewOrder(s.Order)
	if err != nil {
		order = admission.OldestProgram{Most: admission.DefaultMost}
	}
	limits := admission.Limits{Running: s.MaxConcurrent, UrgentOnly: s.UrgentOnly, Waiting: s.MaxQueued, Urgent: int(program.UrgencyUrgent)}
	return &Sidecar{
		role:     s.Role,
		endpoint: endpoint,
		cache:    newCacheWatch(endpoint, log),
		streams:  newStreams(),
		http:     hc,
		gate:     admission.NewGate(order, limits, clk),
		fences:   fencing.NewTable(clk),
		log:      log,
		calls:    scope.Counter("calls"),
		refused:  scope.Counter("refused"),
		failed:   scope.Counter("failed"),
	}
}

// Drain refuses new calls and returns a channel closed when none is left.
func (s *Sidecar) Drain() <-chan struct{} { return s.gate.Drain() }

func (s *Sidecar) refuse(send func(peer.Frame) error, reason, msg string, after time.Duration) {
	s.refused.Inc(1)
	_ = send(peer.Frame{Type: peer.FrameRefused, Reason: reason, Message: msg, RetryAfter: after.Milliseconds()})
}

// Run follows the endpoint's cache events, if it is an engine, and forgets
// old fence marks, until ctx ends; then it reports on done.
func (s *Sidecar) Run(ctx context.Context, done chan<- error) {
	watched := make(chan error, 1)
	if s.role == "engine" {
		go s.cache.run(ctx, watched)
	} else {
		watched <- nil
	}
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- <-watched
			return
		case <-sweep.C:
			s.fences.Sweep(markFor)
		}
	}
}

// report is what goes with the last frame of a reply to call.
func (s *Sidecar) report(call *peer.Call) *peer.Report {
	running, waiting, _ := s.gate.Stats()
	r := &peer.Report{Running: running, Waiting: waiting, Limit: s.gate.Limits().Running}
	if call.Kind == peer.KindEngine {
		s.cache.fill(r, call.SeenReport)
	}
	return r
}

// Handle serves one call; it is a peer.Handler.
func (s *Sidecar) Handle(ctx context.Context, call *peer.Call, reply func(peer.Frame) error) {
	s.calls.Inc(1)
	send := func(f peer.Frame) error {
		if f.Type.Ends() {
			f.Report = s.report(call)
		}
		return reply(f)
	}
	// Calls outside any program carry no fence; only program calls are
	// ordered and fenced.
	if call.Program != "" {
		if err := s.fences.Admit(call.Program, call.Fence, call.Sequence); err != nil {
			s.log.Warn("call refused", "program", call.Program, "seq", call.Sequence, "fence", call.Fence, "reason", "stale", "err", err)
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
		ctx, done = s.streams.begin(ctx, call.Program)
		defer done()
	}
	release, err := s.gate.Acquire(ctx, ticketOf(call))
	if err != nil {
		var ae *admission.Error
		if errors.As(err, &ae) && ae.Refusal() == admission.RefusalDraining {
			s.refuse(send, "draining", "endpoint is leaving", retryAfterDraining)
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

func (s *Sidecar) post(ctx context.Context, path string, call *peer.Call) (*http.Response, error) {
	req, err := s.endpoint.New().Post(path).Body(bytes.NewReader(call.Body)).Request()
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if call.Resume > 0 {
		req.Header.Set(engine.LastEventHeader, strconv.Itoa(call.Resume))
	}
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	return s.http.Do(req.WithContext(ctx))
}

func (s *Sidecar) fail(send func(peer.Frame) error, call *peer.Call, err error) {
	s.failed.Inc(1)
	s.log.Warn("call failed", "program", call.Program, "seq", call.Sequence, "err", err)
	_ = send(peer.Frame{Type: peer.FrameFailed, Reason: "endpoint_failed", Message: err.Error()})
}

// forwardEngine streams the engine's server-sent events back, one frame
// per event. If the caller goes away, ctx ends and the request to the
// engine is cancelled with it, so the engine frees the sequence.
func (s *Sidecar) forwardEngine(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
	resp, err := s.post(ctx, "v1/chat/completions", call)
	if err != nil {
		s.fail(send, call, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		_ = send(peer.Frame{Type: peer.FrameFailed, Reason: "endpoint_status", Message: string(body)})
		return
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 64<<10), 4<<20)
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

func (s *Sidecar) forwardTool(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
	resp, err := s.post(ctx, "tools/"+call.Tool, call)
	if err != nil {
		s.fail(send, call, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		_ = send(peer.Frame{Type: peer.FrameFailed, Reason: "endpoint_status", Message: resp.Status + " " + string(body)})
		return
	}
	if err := send(peer.Frame{Type: peer.FrameData, Data: body}); err != nil {
		return
	}
	_ = send(peer.Frame{Type: peer.FrameEnd})
}

// State is the sidecar's state dump.
type State struct {
	Role     string `json:"role"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Draining bool   `json:"draining"`
	Programs int    `json:"programs_fenced"`
	// TrackedBlocks, RemovedBlocks and CacheResyncs tell of the cache events.
	TrackedBlocks int    `json:"tracked_blocks"`
	RemovedBlocks uint64 `json:"removed_blocks"`
	CacheResyncs  int    `json:"cache_resyncs"`
}

// State returns a snapshot for the state dump.
func (s *Sidecar) State() any {
	r, w, d := s.gate.Stats()
	tracked, removed, resyncs := s.cache.stats()
	return State{Role: s.role, Running: r, Waiting: w, Draining: d, Programs: s.fences.Len(),
		TrackedBlocks: tracked, RemovedBlocks: removed, CacheResyncs: resyncs}
}
