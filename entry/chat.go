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

// plainChat serves the OpenAI-compatible POST /v1/chat/completions for a call
// outside any program, so that existing clients work unchanged.
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
	got, res := e.modelCall(ctx, nil, 0, req.Model, req.Messages, req.MaxTokensOr(defaultMaxTokens), sse.writeChunk)
	if res.outcome != outcomeDone {
		e.metrics.failed.Inc(1)
		sse.writeError(apiError(dispatchError(res)))
		return
	}
	e.writeChat(w, &req, sse, 0, got.content.String(), got.usage)
}

// programChat serves POST /v1/chat/completions for a request with the program
// headers. The call has the sequence number given in the header, is checked
// for order and is charged to the program's budget.
func (e *Entry) programChat(w http.ResponseWriter, r *http.Request, o *ownedProgram) {
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
	limit := req.MaxTokensOr(defaultMaxTokens)
	ctx, cancel := e.callContext(r.Context(), o.prog)
	defer cancel()
	replay, _, err := e.begin(ctx, o, seq, cancel, func([]program.Message) int64 {
		return engine.EstimatePromptTokens(req.Messages) + int64(limit)
	})
	if err != nil {
		apiError(err).Write(w)
		return
	}
	sse := newSSEWriter(w, &req)
	if replay != nil {
		// The call has already run and its answer was lost in transit: send
		// the stored answer.
		_ = sse.writeContent(&req, replay.Content)
		e.writeChat(w, &req, sse, seq, replay.Content, replay.Usage)
		return
	}
	got, res := e.modelCall(ctx, o, seq, req.Model, req.Messages, limit, sse.writeChunk)
	if res.outcome != outcomeDone {
		e.abort(ctx, o, seq, got.usedTokens())
		e.metrics.failed.Inc(1)
		sse.writeError(apiError(dispatchError(res)))
		return
	}
	ans := caller.Response{Program: string(o.prog.ID()), Sequence: seq, Kind: caller.CallModel, Content: got.content.String(), Usage: got.usage, Endpoint: res.endpoint}
	last := req.Messages[len(req.Messages)-1]
	if err := e.finish(ctx, o, ans, got.usedTokens(), last, program.Message{Role: "assistant", Content: ans.Content}); err != nil {
		sse.writeError(apiError(err))
		return
	}
	e.writeChat(w, &req, sse, seq, ans.Content, got.usage)
}

// writeChat completes a chat response: it sends the final event of a stream,
// or the complete response to a caller that did not request a stream.
func (e *Entry) writeChat(w http.ResponseWriter, req *engine.ChatRequest, sse *sseWriter, seq uint64, content string, usage *engine.Usage) {
	if req.Stream {
		sse.writeDone()
		return
	}
	writeJSON(w, http.StatusOK, engine.ChatResponse{ID: fmt.Sprintf("chatcmpl-%s-%d", e.id, seq), Object: "chat.completion", Model: req.Model,
		Choices: []engine.Choice{{Message: program.Message{Role: "assistant", Content: content}, FinishReason: "length"}}, Usage: usage})
}

// decodeChat decodes the body of r into req. It fails if the body is not a
// chat request or lacks the model or the messages.
func decodeChat(r *http.Request, req *engine.ChatRequest) *caller.Error {
	if err := bodyError(json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody)).Decode(req)); err != nil {
		return err
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "a chat request requires model and messages")
	}
	return nil
}

// sseWriter relays an engine's chunks to a streaming caller as server-sent
// events. For a caller that did not request a stream it writes no chunks;
// writeChat then sends the complete response.
type sseWriter struct {
	w            http.ResponseWriter
	stream       bool
	includeUsage bool
	started      bool
}

func newSSEWriter(w http.ResponseWriter, req *engine.ChatRequest) *sseWriter {
	return &sseWriter{w: w, stream: req.Stream, includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
}

// writeContent sends a complete answer as one chunk.
func (s *sseWriter) writeContent(req *engine.ChatRequest, content string) error {
	stop := "length"
	c := engine.ChatChunk{Object: "chat.completion.chunk", Model: req.Model,
		Choices: []engine.ChunkChoice{{Delta: engine.Delta{Role: "assistant", Content: content}, FinishReason: &stop}}}
	raw, err := json.Marshal(&c)
	if err != nil {
		return err
	}
	return s.writeChunk(raw, &c)
}

// writeHeader sends the status and headers of the stream, once.
func (s *sseWriter) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// writeChunk sends one chunk as an event. It leaves out the usage chunk if
// the caller did not request usage.
func (s *sseWriter) writeChunk(raw []byte, c *engine.ChatChunk) error {
	if !s.stream || (c.Usage != nil && len(c.Choices) == 0 && !s.includeUsage) {
		return nil
	}
	s.writeHeader()
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// writeDone sends the final event of the stream.
func (s *sseWriter) writeDone() {
	s.writeHeader()
	_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
}

// writeError sends an error: as the complete response if nothing has been
// streamed yet, otherwise as a final error event, since the status has
// already been sent.
func (s *sseWriter) writeError(cerr *caller.Error) {
	if !s.started {
		cerr.Write(s.w)
		return
	}
	b, _ := json.Marshal(caller.ErrorBody{Error: caller.ErrorDetail{Type: cerr.Type(), Message: cerr.Error()}})
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", b)
}
