package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// defaultMaxTokens is the number of tokens generated for a request without a
// token limit.
const defaultMaxTokens = 12

// maxCatchUpSteps is the maximum number of overdue steps that an engine makes
// without waiting. A process that was not scheduled in time catches up to
// this extent, so that a busy machine does not slow down the simulated
// engine.
const maxCatchUpSteps = 20

// vocabulary holds the words of generated completions.
var vocabulary = strings.Fields("the pickup van part chair booking slot is at on for your with we can " +
	"airtime ledger voyage charge dispute crew allocation usage roaming confirmed checked next today")

// EngineSpec describes a simulated engine.
type EngineSpec struct {
	// Model is the name of the served model.
	Model string
	// A batch step takes Step, plus StepPerSequence for each sequence in the
	// batch.
	Step, StepPerSequence time.Duration
	// MaxBatch is the maximum number of sequences in the batch. Further
	// sequences wait in order of arrival.
	MaxBatch int
	// PrefillTokens is the maximum number of prompt tokens computed in a
	// step, summed over all sequences. 0 means no limit.
	PrefillTokens int
	// CacheBlocks is the prefix cache's capacity in blocks, and BlockTokens
	// the number of tokens in a block.
	CacheBlocks, BlockTokens int
	// ReportLag is the delay with which the load and cache events are
	// published. EventLossPercent of the cache events are never published.
	ReportLag        time.Duration
	EventLossPercent int
}

// Engine is a stand-in for a model engine with OpenAI-compatible chat
// completions, continuous batching and a prefix cache of limited size. Each
// step computes some prompt tokens and generates one token for each sequence
// whose prompt is complete. Usage includes the number of cached prompt
// tokens. There are no priorities. The completion is a deterministic
// function of the prompt and its length, so complete sessions can be compared
// with golden files, and a stream can be resumed after the last received
// event on any engine of the model.
type Engine struct {
	spec EngineSpec

	mu    sync.Mutex
	cache *prefixCache
	// waiting holds the sequences that are not in the batch yet, in order of
	// arrival, and running those in the batch.
	waiting []*sequence
	running []*sequence
	// served counts the finished sequences, and canceled the sequences
	// dropped because their client closed the request.
	served   int64
	canceled int64
	// prefillTokens counts the computed prompt tokens, and busyTime is the
	// total duration of the batch steps.
	prefillTokens int64
	busyTime      time.Duration
	// reportedLoad is the load that is reported until nextReportAt, and
	// pendingLoad the load that is reported afterwards.
	reportedLoad, pendingLoad engine.Load
	nextReportAt              time.Time
	// wake signals an idle Run that a sequence is waiting.
	wake chan struct{}
}

// sequence is a chat completion that is waiting or in the batch.
type sequence struct {
	// ctx ends when the client closes the request.
	ctx context.Context
	// hashes are the block hashes of the prompt, which includes the tokens
	// that the client of a resumed stream has received.
	hashes []uint64
	// prompt is the number of prompt tokens, uncomputedPrompt the number of
	// those still to be computed, and cachedPrompt the number found
	// in the cache.
	prompt           int
	uncomputedPrompt int
	cachedPrompt     int
	// remainingTokens are the tokens still to be generated.
	remainingTokens []string
	// finalHashes are the block hashes of the prompt and its completion,
	// which are cached once the completion is finished.
	finalHashes []uint64
	// generated receives the tokens and is closed after the last one, or
	// when the sequence is dropped. It has room for all tokens, so that a
	// slow client does not block the batch.
	generated chan string
}

// NewEngine returns an engine as described by spec. It makes no progress
// until Run is called.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{spec: spec, cache: newPrefixCache(spec.CacheBlocks, spec.ReportLag, spec.EventLossPercent), wake: make(chan struct{}, 1)}
}

// Run makes batch steps until ctx ends, and then sends nil on done.
func (e *Engine) Run(ctx context.Context, done chan<- error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		d, idle := e.step()
		if idle {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-e.wake:
			}
			next = time.Now()
			continue
		}
		next = next.Add(d)
		wait := time.Until(next)
		if wait < -maxCatchUpSteps*d {
			next = time.Now()
		}
		if wait <= 0 {
			if ctx.Err() != nil {
				done <- nil
				return
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-timer.C:
		}
	}
}

// step makes a batch step: it admits waiting sequences into free batch slots,
// computes prompt tokens, and generates one token for each sequence whose
// prompt is complete. It drops a sequence whose client has closed the
// request, to release the engine's memory. It returns the duration of the
// step, and whether the engine was idle.
func (e *Engine) step() (d time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for len(e.running) < e.spec.MaxBatch && len(e.waiting) > 0 {
		e.admit(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return e.spec.Step, true
	}
	d = e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerSequence
	e.busyTime += d
	budget := e.spec.PrefillTokens
	active := e.running[:0]
	for _, s := range e.running {
		if s.ctx.Err() != nil {
			e.canceled++
			close(s.generated)
			continue
		}
		if s.uncomputedPrompt > 0 {
			budget = e.prefillPrompt(s, budget, now)
			active = append(active, s)
			continue
		}
		s.generated <- s.remainingTokens[0]
		s.remainingTokens = s.remainingTokens[1:]
		if len(s.remainingTokens) == 0 {
			e.served++
			e.cache.insert(s.finalHashes, now)
			close(s.generated)
			continue
		}
		active = append(active, s)
	}
	clear(e.running[len(active):])
	e.running = active
	return d, false
}

// admit adds s to the batch and determines its number of cached prompt
// tokens. The last prompt token is always recomputed, because the first token
// of the completion derives from it.
func (e *Engine) admit(s *sequence) {
	s.cachedPrompt = min(e.cache.lookup(s.hashes)*e.spec.BlockTokens, s.prompt-1)
	s.uncomputedPrompt = s.prompt - s.cachedPrompt
	e.running = append(e.running, s)
}

// prefillPrompt computes at most budget prompt tokens of s and returns the
// remaining budget. If the engine has no prefill limit, it computes the
// complete prompt. A complete prompt is added to the cache.
func (e *Engine) prefillPrompt(s *sequence, budget int, now time.Time) int {
	n := s.uncomputedPrompt
	if e.spec.PrefillTokens > 0 {
		n = min(n, budget)
		budget -= n
	}
	s.uncomputedPrompt -= n
	e.prefillTokens += int64(n)
	if s.uncomputedPrompt == 0 {
		e.cache.insert(s.hashes, now)
	}
	return budget
}

// Handler returns the handler of the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	mux.HandleFunc("GET /cache-blocks", e.handleCacheBlocks)
	return mux
}

// generate returns the n words that complete prompt.
func generate(prompt []string, n int) []string {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(strings.Join(prompt, " ")), uint64(n)))
	out := make([]string, n)
	for i := range out {
		out[i] = vocabulary[rng.IntN(len(vocabulary))]
	}
	return out
}

// handleChat queues a chat completion and writes its response, as a stream if
// requested.
func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, apiError("invalid_request_error", "body is not a chat request: "+err.Error()))
		return
	}
	if req.Model != e.spec.Model {
		writeJSON(w, http.StatusNotFound, apiError("model_not_found", fmt.Sprintf("this engine serves %q, not %q", e.spec.Model, req.Model)))
		return
	}
	prompt := engine.TokenizePrompt(req.Messages)
	words := generate(prompt, req.MaxTokensOr(defaultMaxTokens))
	skip, err := resumeAfter(r, len(words))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, apiError("invalid_request_error", err.Error()))
		return
	}
	fullSequence := append(append(prompt[:len(prompt):len(prompt)], "assistant:"), words...)
	finalHashes := engine.BlockHashes(fullSequence, e.spec.BlockTokens)
	promptEnd := len(prompt) + skip
	seq := &sequence{ctx: r.Context(), prompt: promptEnd, hashes: finalHashes[:promptEnd/e.spec.BlockTokens], finalHashes: finalHashes,
		remainingTokens: words[skip:], generated: make(chan string, len(words))}
	e.mu.Lock()
	e.waiting = append(e.waiting, seq)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	id := fmt.Sprintf("chatcmpl-%016x", xxhash.Sum64String(strings.Join(prompt, " ")))
	usage := func() *engine.Usage {
		return &engine.Usage{PromptTokens: int64(len(prompt)), CompletionTokens: int64(len(words)),
			TotalTokens: int64(len(prompt) + len(words)), PromptTokensDetails: &engine.PromptTokensDetails{CachedTokens: int64(min(seq.cachedPrompt, len(prompt)))}}
	}
	if req.Stream {
		e.streamChat(w, r, &req, id, seq, skip, len(words), usage)
		return
	}
	text := words[:skip:skip]
	for tok := range seq.generated {
		text = append(text, tok)
	}
	if len(text) < len(words) {
		return
	}
	writeJSON(w, http.StatusOK, engine.ChatResponse{ID: id, Object: "chat.completion", Model: e.spec.Model,
		Choices: []engine.Choice{{Message: assistantMessage(text), FinishReason: "length"}}, Usage: usage()})
}

// resumeAfter returns the number of tokens that the client has received, from
// the header of a resumed request, or 0. It fails unless the number is in
// [0, total).
func resumeAfter(r *http.Request, total int) (int, error) {
	text := r.Header.Get(engine.LastEventHeader)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n >= total {
		return 0, fmt.Errorf("%s %q: want a number below %d", engine.LastEventHeader, text, total)
	}
	return n, nil
}

// streamChat writes the completion as server-sent events, one per token. The
// event ID is the number of tokens sent so far. The first skip tokens are
// omitted. If the client closes the request or the sequence is dropped, the
// stream ends without its final events.
func (e *Engine) streamChat(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, id string, seq *sequence, skip, total int, usage func() *engine.Usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher, _ := w.(http.Flusher)
	n := skip
	send := func(c engine.ChatChunk) {
		c.ID, c.Object, c.Model = id, "chat.completion.chunk", e.spec.Model
		b, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b)
		if flusher != nil {
			flusher.Flush()
		}
	}
	for tok := range seq.generated {
		d := engine.Delta{Content: tok + " "}
		if n == 0 {
			d.Role = "assistant"
		}
		n++
		send(engine.ChatChunk{Choices: []engine.ChunkChoice{{Delta: d}}})
	}
	if r.Context().Err() != nil || n < total {
		return
	}
	finishReason := "length"
	send(engine.ChatChunk{Choices: []engine.ChunkChoice{{Delta: engine.Delta{}, FinishReason: &finishReason}}})
	if req.StreamOptions != nil && req.StreamOptions.IncludeUsage {
		send(engine.ChatChunk{Choices: []engine.ChunkChoice{}, Usage: usage()})
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// assistantMessage returns the assistant's message made of tokens.
func assistantMessage(tokens []string) program.Message {
	return program.Message{Role: "assistant", Content: strings.Join(tokens, " ") + " "}
}

// handleLoad writes the reported load, which is up to twice ReportLag old if
// it is polled steadily.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.After(e.nextReportAt) {
		e.reportedLoad, e.pendingLoad = e.pendingLoad, engine.Load{Running: len(e.running), Waiting: len(e.waiting)}
		e.nextReportAt = now.Add(e.spec.ReportLag)
	}
	writeJSON(w, http.StatusOK, e.reportedLoad)
}

// handleCacheEvents writes the published cache events after a sequence number.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, apiError("invalid_request_error", "after: want a sequence number"))
		return
	}
	e.mu.Lock()
	out := e.cache.eventsAfter(after, time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// handleCacheBlocks writes the hashes of all cached blocks.
func (e *Engine) handleCacheBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := e.cache.snapshot()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// EngineState is the state dump of an Engine.
type EngineState struct {
	Model       string `json:"model"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	CacheBlocks int    `json:"cache_blocks"`
	Evicted     int64  `json:"evicted_blocks"`
	Served      int64  `json:"served"`
	Canceled    int64  `json:"canceled"`
	// Prefill is the number of computed prompt tokens, and Busy the total
	// duration of the batch steps.
	Prefill int64         `json:"prefill_tokens"`
	Busy    time.Duration `json:"busy_ns"`
}

// State returns an EngineState.
func (e *Engine) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Model: e.spec.Model, Running: len(e.running), Waiting: len(e.waiting), CacheBlocks: e.cache.len(),
		Evicted: e.cache.evicted, Served: e.served, Canceled: e.canceled, Prefill: e.prefillTokens, Busy: e.busyTime}
}

// apiErrorBody is the response body of a rejected request, in the form of the
// OpenAI API.
type apiErrorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// apiError returns an error body with the given type and message.
func apiError(typ, msg string) apiErrorBody {
	var b apiErrorBody
	b.Error.Type, b.Error.Message = typ, msg
	return b
}
