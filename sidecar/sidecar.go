package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/admission"
	"github.com/wagtaildrum/wagtaildrum/fencing"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// retryAfterDraining is when a caller refused by a draining sidecar should
// try again (elsewhere, normally at once).
const (
	retryAfterDraining  = 0
	retryAfterQueueFull = 500 * time.Millisecond
)

// Sidecar serves peer calls for one endpoint.
type Sidecar struct {
	role     string
	endpoint *sling.Sling
	http     *http.Client
	gate     *admission.Gate
	fences   *fencing.Table
	log      *slog.Logger
	calls    tally.Counter
	refused  tally.Counter
	failed   tally.Counter
}

// New returns a sidecar for the endpoint in s.
func New(s *settings.Sidecar, log *slog.Logger, scope tally.Scope) *Sidecar {
	hc := &http.Client{}
	return &Sidecar{
		role:     s.Role,
		endpoint: sling.New().Client(hc).Base(s.Endpoint),
		http:     hc,
		gate:     admission.NewGate(s.MaxConcurrent, s.MaxQueued),
		fences:   fencing.NewTable(),
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

// Handle serves one call; it is a peer.Handler.
func (s *Sidecar) Handle(ctx context.Context, call *peer.Call, send func(peer.Frame) error) {
	s.calls.Inc(1)
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
	release, err := s.gate.Acquire(ctx, call.Urgency)
	if err != nil {
		var ae *admission.Error
		if errors.As(err, &ae) && ae.Refusal() == admission.RefusalDraining {
			s.refuse(send, "draining", "endpoint is leaving", retryAfterDraining)
			return
		}
		s.refuse(send, "overloaded", err.Error(), retryAfterQueueFull)
		return
	}
	defer release()
	switch call.Kind {
	case peer.KindEngine:
		s.forwardEngine(ctx, call, send)
	case peer.KindTool:
		s.forwardTool(ctx, call, send)
	}
}

func (s *Sidecar) post(ctx context.Context, path string, call *peer.Call) (*http.Response, error) {
	req, err := s.endpoint.New().Post(path).Body(bytes.NewReader(call.Body)).Request()
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
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
}

// State returns a snapshot for the state dump.
func (s *Sidecar) State() any {
	r, w, d := s.gate.Stats()
	return State{Role: s.role, Running: r, Waiting: w, Draining: d, Programs: s.fences.Len()}
}
