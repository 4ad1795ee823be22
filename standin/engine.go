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

// defaultMaxTokens is how many tokens the stand-in generates when a
// request sets no bound.
const defaultMaxTokens = 12

// maxLateSteps bounds how far the engine runs ahead of the clock to catch
// up after its process was slow, so that a busy machine does not slow the
// engine being stood in for.
const maxLateSteps = 20

var vocabulary = strings.Fields("the pickup van part chair booking slot is at on for your with we can " +
	"airtime ledger voyage charge dispute crew allocation usage roaming confirmed checked next today")

// EngineSpec describes an engine to stand in for.
type EngineSpec struct {
	// Model is the model served.
	Model string
	// Step is the time of a batch step, plus StepPerSequence for each
	// sequence in the batch.
	Step, StepPerSequence time.Duration
	// MaxBatch is how many sequences run at once; the rest wait in order of
	// arrival.
	MaxBatch int
	// PrefillTokens is how many prompt tokens all sequences together read
	// in one step; 0: no bound.
	PrefillTokens int
	// CacheBlocks and BlockTokens size the prefix cache.
	CacheBlocks, BlockTokens int
	// ReportLag is how late load and cache events are published;
	// EventLossPercent of the events never are.
	ReportLag        time.Duration
	EventLossPercent int
}

// Engine stands in for a model engine: OpenAI-compatible chat completions,
// continuous batching (a step reads some prompt tokens and advances each
// sequence whose prompt is read by one token), and a prefix cache in
// limited memory reporting cached prompt tokens. It knows no priorities.
// Output is a deterministic function of the prompt, so whole sessions can
// be compared with golden files, and a stream can be resumed at any engine
// of the model after the last event received.
type Engine struct {
	spec EngineSpec

	mu       sync.Mutex
	cache    *prefixCache
	waiting  []*sequence
	running  []*sequence
	served   int64
	canceled int64
	prefill  int64
	busy     time.Duration
	// lastLoad is the load as last reported, thisLoad what is reported
	// next, from nextReport on.
	lastLoad, thisLoad engine.Load
	nextReport         time.Time
	wake               chan struct{}
}

type sequence struct {
	ctx       context.Context
	hashes    []uint64
	prompt    int
	unread    int
	cached    int
	remaining []string
	// finished are the block hashes of prompt and answer together, held in
	// the cache once the answer is complete.
	finished []uint64
	out      chan string
}

// NewEngine returns the engine spec describes.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{spec: spec, cache: newPrefixCache(spec.CacheBlocks, spec.ReportLag, spec.EventLossPercent), wake: make(chan struct{}, 1)}
}

// Run steps the batch until ctx ends, then reports on done.
func (e *Engine) Run(ctx context.Context, done chan<- error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		d, idle := e.stepOnce()
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
		if wait < -maxLateSteps*d {
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

// stepOnce admits waiting sequences into free batch slots, reads prompt
// tokens, and advances every sequence whose prompt is read by one token. A
// sequence whose caller went away is dropped, so no engine memory stays
// held for it. It returns the step's time, and whether nothing was to do.
func (e *Engine) stepOnce() (d time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for len(e.running) < e.spec.MaxBatch && len(e.waiting) > 0 {
		e.start(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return e.spec.Step, true
	}
	d = e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerSequence
	e.busy += d
	budget := e.spec.PrefillTokens
	kept := e.running[:0]
	for _, s := range e.running {
		if s.ctx.Err() != nil {
			e.canceled++
			close(s.out)
			continue
		}
		if s.unread > 0 {
			budget = e.read(s, budget, now)
			kept = append(kept, s)
			continue
		}
		s.out <- s.remaining[0]
		s.remaining = s.remaining[1:]
		if len(s.remaining) == 0 {
			e.served++
			e.cache.insert(s.finished, now)
			close(s.out)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	return d, false
}

// start moves s into the batch and finds what of its prompt is cached. The
// last token is always read again: it yields the first of the answer.
func (e *Engine) start(s *sequence) {
	s.cached = min(e.cache.lookup(s.hashes)*e.spec.BlockTokens, s.prompt-1)
	s.unread = s.prompt - s.cached
	e.running = append(e.running, s)
}

// read reads prompt tokens of s within budget and returns what is left of
// it; without a bound the whole prompt is read at once.
func (e *Engine) read(s *sequence, budget int, now time.Time) int {
	n := s.unread
	if e.spec.PrefillTokens > 0 {
		n = min(n, budget)
		budget -= n
	}
	s.unread -= n
	e.prefill += int64(n)
	if s.unread == 0 {
		e.cache.insert(s.hashes, now)
	}
	return budget
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("GET /cache-blocks", e.cacheBlocks)
	return mux
}

func generate(prompt []string, n int) []string {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(strings.Join(prompt, " ")), uint64(n)))
	out := make([]string, n)
	for i := range out {
		out[i] = vocabulary[rng.IntN(len(vocabulary))]
	}
	return out
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, apiError("invalid_request_error", "body is not a chat request: "+err.Error()))
		return
	}
	if req.Model != e.spec.Model {
		writeJSON(w, http.StatusNotFound, apiError("model_not_found", fmt.Sprintf("this engine serves %q, not %q", e.spec.Model, req.Model)))
		return
	}
	prompt := engine.PromptTokenList(req.Messages)
	words := generate(prompt, req.Limit(defaultMaxTokens))
	skip, err := resumeAfter(r, len(words))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, apiError("invalid_request_error", err.Error()))
		return
	}
	whole := append(append(prompt[:len(prompt):len(prompt)], "assistant:"), words...)
	finished := engine.BlockHashes(whole, e.spec.BlockTokens)
	read := len(prompt) + skip
	seq := &sequence{ctx: r.Context(), prompt: read, hashes: finished[:read/e.spec.BlockTokens], finished: finished,
		remaining: words[skip:], out: make(chan string, len(words))}
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
			TotalTokens: int64(len(prompt) + len(words)), PromptTokensDetails: &engine.PromptTokensDetails{CachedTokens: int64(min(seq.cached, len(prompt)))}}
	}
	if req.Stream {
		e.stream(w, r, &req, id, seq, skip, len(words), usage)
		return
	}
	text := words[:skip:skip]
	for tok := range seq.out {
		text = append(text, tok)
	}
	if len(text) < len(words) {
		return
	}
	writeJSON(w, http.StatusOK, engine.ChatResponse{ID: id, Object: "chat.completion", Model: e.spec.Model,
		Choices: []engine.Choice{{Message: messageOf(text), FinishReason: "length"}}, Usage: usage()})
}

// resumeAfter returns how many tokens a resuming client already has.
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

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, id string, seq *sequence, skip, total int, usage func() *engine.Usage) {
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
	for tok := range seq.out {
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
	stop := "length"
	send(engine.ChatChunk{Choices: []engine.ChunkChoice{{Delta: engine.Delta{}, FinishReason: &stop}}})
	if req.StreamOptions != nil && req.StreamOptions.IncludeUsage {
		send(engine.ChatChunk{Choices: []engine.ChunkChoice{}, Usage: usage()})
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func messageOf(tokens []string) program.Message {
	return program.Message{Role: "assistant", Content: strings.Join(tokens, " ") + " "}
}

// load answers the load as last reported: it lags by up to twice ReportLag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.After(e.nextReport) {
		e.lastLoad, e.thisLoad = e.thisLoad, engine.Load{Running: len(e.running), Waiting: len(e.waiting)}
		e.nextReport = now.Add(e.spec.ReportLag)
	}
	writeJSON(w, http.StatusOK, e.lastLoad)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
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

func (e *Engine) cacheBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := e.cache.snapshot()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// EngineState is the engine stand-in's state dump.
type EngineState struct {
	Model       string `json:"model"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	CacheBlocks int    `json:"cache_blocks"`
	Evicted     int64  `json:"evicted_blocks"`
	Served      int64  `json:"served"`
	Canceled    int64  `json:"canceled"`
	// Prefill counts the prompt tokens read; Busy is the time of the steps
	// made.
	Prefill int64         `json:"prefill_tokens"`
	Busy    time.Duration `json:"busy_ns"`
}

// State returns a snapshot for the state dump.
func (e *Engine) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Model: e.spec.Model, Running: len(e.running), Waiting: len(e.waiting), CacheBlocks: e.cache.len(),
		Evicted: e.cache.evicted, Served: e.served, Canceled: e.canceled, Prefill: e.prefill, Busy: e.busy}
}

type apiErrorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

func apiError(typ, msg string) apiErrorBody {
	var b apiErrorBody
	b.Error.Type, b.Error.Message = typ, msg
	return b
}
