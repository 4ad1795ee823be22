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

// chatCompletions serves the OpenAI-compatible POST /v1/chat/completions,
// so ordinary clients work unchanged. With the program headers set, the
// call is the program's call of that sequence, checked for order and
// charged to its budget; without them it is routed on its own.
func (e *Entry) chatCompletions(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if cerr := decodeChat(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	limit := req.Limit(defaultMaxTokens)
	ctx, cancel := context.WithTimeout(r.Context(), e.callTimeout)
	defer cancel()
	e.metrics.calls.Inc(1)
	var o *owned
	var seq uint64
	if id := r.Header.Get(caller.ProgramHeader); id != "" {
		var cerr *caller.Error
		o, seq, cerr = e.programOfChat(id, r.Header.Get(caller.SequenceHeader))
		if cerr != nil {
			cerr.Write(w)
			return
		}
		if err := e.holdLease(ctx, o); err != nil {
			apiError(err).Write(w)
			return
		}
		_, _, _, err := e.begin(o, seq, cancel, func([]program.Message) int64 {
			return engine.PromptTokens(req.Messages) + int64(limit)
		})
		if err != nil {
			apiError(err).Write(w)
			return
		}
	}
	var p *program.Program
	if o != nil {
		p = o.prog
	}
	sse := newSSEWriter(w, req.Stream, req.StreamOptions != nil && req.StreamOptions.IncludeUsage)
	got, res := e.modelCall(ctx, p, seq, req.Model, req.Messages, limit, sse.chunk)
	if res.outcome != outcomeDone {
		if o != nil {
			e.abort(o, seq)
		}
		e.metrics.failed.Inc(1)
		sse.fail(apiError(failure(res)))
		return
	}
	if o != nil {
		used := engine.PromptTokens(req.Messages) + int64(limit)
		if got.usage != nil {
			used = got.usage.TotalTokens
		}
		last := req.Messages[len(req.Messages)-1]
		e.finish(o, caller.Answer{Program: string(p.ID()), Sequence: seq, Kind: caller.CallModel, Content: got.content.String(), Endpoint: res.endpoint},
			used, last, program.Message{Role: "assistant", Content: got.content.String()})
	}
	if req.Stream {
		sse.done()
		return
	}
	writeJSON(w, http.StatusOK, engine.ChatResponse{ID: fmt.Sprintf("chatcmpl-%s-%d", e.id, seq), Object: "chat.completion", Model: req.Model,
		Choices: []engine.Choice{{Message: program.Message{Role: "assistant", Content: got.content.String()}, FinishReason: "length"}}, Usage: got.usage})
}

func decodeChat(r *http.Request, req *engine.ChatRequest) *caller.Error {
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, 8<<20)).Decode(req); err != nil {
		return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "body is not a chat request: %v", err)
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "model and messages are required")
	}
	return nil
}

func (e *Entry) programOfChat(id, seqText string) (*owned, uint64, *caller.Error) {
	o, ok := e.lookup(program.ID(id))
	if !ok {
		return nil, 0, caller.NewError(http.StatusNotFound, caller.TypeNotFound, "no program %q here", id)
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		return nil, 0, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "%s must be a call sequence number, got %q", caller.SequenceHeader, seqText)
	}
	return o, seq, nil
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

func newSSEWriter(w http.ResponseWriter, stream, includeUsage bool) *sseWriter {
	return &sseWriter{w: w, stream: stream, includeUsage: includeUsage}
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
