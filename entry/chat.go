package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// plainChat serves the OpenAI-compatible POST /v1/chat/completions for a
// call outside any program, so ordinary clients work unchanged.
func (e *Entry) plainChat(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if cerr := decodeChat(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	e.metrics.calls.Inc(1)
	ctx, cancel := context.WithTimeout(r.Context(), e.callTimeout)
	defer cancel()
	sse := newSSEWriter(w, &req)
	got, res := e.modelCall(ctx, nil, 0, req.Model, req.Messages, req.Limit(defaultMaxTokens), sse.chunk)
	if res.outcome != outcomeDone {
		e.metrics.failed.Inc(1)
		sse.fail(apiError(failure(res)))
		return
	}
	e.writeChat(w, &req, sse, 0, got.content.String(), got.usage)
}

// programChat serves POST /v1/chat/completions with the program headers
// set: the call is the program's call of that sequence, checked for order
// and charged to its budget.
func (e *Entry) programChat(w http.ResponseWriter, r *http.Request, o *owned) {
	var req engine.ChatRequest
	if cerr := decodeChat(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	seqText := r.Header.Get(caller.SequenceHeader)
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "%s must be a call sequence number, got %q", caller.SequenceHeader, seqText).Write(w)
		return
	}
	e.metrics.calls.Inc(1)
	limit := req.Limit(defaultMaxTokens)
	ctx, cancel := e.callContext(r.Context(), o.prog)
	defer cancel()
	replay, _, err := e.begin(ctx, o, seq, cancel, func([]program.Message) int64 {
		return engine.PromptTokens(req.Messages) + int64(limit)
	})
	if err != nil {
		apiError(err).Write(w)
		return
	}
	sse := newSSEWriter(w, &req)
	if replay != nil {
		// The call ran and its answer was lost on the way: give it again.
		_ = sse.text(&req, replay.Content)
		e.writeChat(w, &req, sse, seq, replay.Content, replay.Usage)
		return
	}
	got, res := e.modelCall(ctx, o, seq, req.Model, req.Messages, limit, sse.chunk)
	if res.outcome != outcomeDone {
		e.abort(ctx, o, seq, got.used())
		e.metrics.failed.Inc(1)
		sse.fail(apiError(failure(res)))
		return
	}
	ans := caller.Answer{Program: string(o.prog.ID()), Sequence: seq, Kind: caller.CallModel, Content: got.content.String(), Usage: got.usage, Endpoint: res.endpoint}
	last := req.Messages[len(req.Messages)-1]
	if err := e.finish(ctx, o, ans, got.used(), last, program.Message{Role: "assistant", Content: ans.Content}); err != nil {
		sse.fail(apiError(err))
		return
	}
	e.writeChat(w, &req, sse, seq, ans.Content, got.usage)
}

// writeChat ends a chat answer: the stream's last event, or the whole
// answer for a caller that does not stream.
func (e *Entry) writeChat(w http.ResponseWriter, req *engine.ChatRequest, sse *sseWriter, seq uint64, content string, usage *engine.Usage) {
	if req.Stream {
		sse.done()
		return
	}
	writeJSON(w, http.StatusOK, engine.ChatResponse{ID: fmt.Sprintf("chatcmpl-%s-%d", e.id, seq), Object: "chat.completion", Model: req.Model,
		Choices: []engine.Choice{{Message: program.Message{Role: "assistant", Content: content}, FinishReason: "length"}}, Usage: usage})
}

func decodeChat(r *http.Request, req *engine.ChatRequest) *caller.Error {
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody)).Decode(req); err != nil {
		return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "body is not a chat request: %v", err)
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "model and messages are required")
	}
	return nil
}

// sseWriter relays an engine's chunks to a streaming caller as
// server-sent events; for a caller that did not ask to stream it does
// nothing until the whole answer is written.
type sseWriter struct {
	w            http.ResponseWriter
	stream       bool
	includeUsage bool
	started      bool
}

func newSSEWriter(w http.ResponseWriter, req *engine.ChatRequest) *sseWriter {
	return &sseWriter{w: w, stream: req.Stream, includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
}

// text sends a whole answer as one chunk.
func (s *sseWriter) text(req *engine.ChatRequest, content string) error {
	stop := "length"
	c := engine.ChatChunk{Object: "chat.completion.chunk", Model: req.Model,
		Choices: []engine.ChunkChoice{{Delta: engine.Delta{Role: "assistant", Content: content}, FinishReason: &stop}}}
	raw, err := json.Marshal(&c)
	if err != nil {
		return err
	}
	return s.chunk(raw, &c)
}

func (s *sseWriter) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sseWriter) chunk(raw []byte, c *engine.ChatChunk) error {
	if !s.stream || (c.Usage != nil && len(c.Choices) == 0 && !s.includeUsage) {
		return nil
	}
	s.start()
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

func (s *sseWriter) done() {
	s.start()
	_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
}

// fail answers an error: as the whole response if nothing was streamed
// yet, otherwise as a final error event, since the status line is gone.
func (s *sseWriter) fail(cerr *caller.Error) {
	if !s.started {
		cerr.Write(s.w)
		return
	}
	b, _ := json.Marshal(caller.ErrorBody{Error: caller.ErrorDetail{Type: cerr.Type(), Message: cerr.Error()}})
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", b)
}
