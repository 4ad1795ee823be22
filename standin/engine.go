package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
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

var vocabulary = strings.Fields("the pickup van part chair booking slot is at on for your with we can " +
	"airtime ledger voyage charge dispute crew allocation usage roaming confirmed checked next today")

// Engine stands in for a model engine: OpenAI-compatible chat completions,
// continuous batching (every step advances each running sequence by one
// token, up to maxBatch at once, the rest wait in arrival order), and a
// prefix cache in limited memory reporting cached prompt tokens. It knows
// no priorities. Output is a deterministic function of the prompt, so
// whole sessions can be compared with golden files.
type Engine struct {
	model    string
	step     time.Duration
	maxBatch int

	mu       sync.Mutex
	cache    *prefixCache
	waiting  []*sequence
	running  []*sequence
	served   int64
	canceled int64
	wake     chan struct{}
}

type sequence struct {
	ctx       context.Context
	remaining []string
	out       chan string
}

// NewEngine returns an engine serving model.
func NewEngine(model string, step time.Duration, maxBatch, cacheBlocks, blockTokens int) *Engine {
	return &Engine{model: model, step: step, maxBatch: maxBatch,
		cache: newPrefixCache(cacheBlocks, blockTokens), wake: make(chan struct{}, 1)}
}

// Run steps the batch until ctx ends, then reports on done.
func (e *Engine) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(e.step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-ticker.C:
			e.stepOnce()
		}
	}
}

// stepOnce admits waiting sequences into free batch slots, then advances
// every running sequence by one token. A sequence whose caller went away
// is dropped, so no engine memory stays held for it.
func (e *Engine) stepOnce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.maxBatch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if s.ctx.Err() != nil {
			e.canceled++
			close(s.out)
			continue
		}
		s.out <- s.remaining[0]
		s.remaining = s.remaining[1:]
		if len(s.remaining) == 0 {
			e.served++
			close(s.out)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.load)
	return mux
}

func promptTokens(req *engine.ChatRequest) []string {
	var toks []string
	for _, m := range req.Messages {
		toks = append(toks, m.Role+":")
		toks = append(toks, engine.Tokens(m.Content)...)
	}
	return toks
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
	if req.Model != e.model {
		writeJSON(w, http.StatusNotFound, apiError("model_not_found", fmt.Sprintf("this engine serves %q, not %q", e.model, req.Model)))
		return
	}
	prompt := promptTokens(&req)
	words := generate(prompt, req.Limit(defaultMaxTokens))
	seq := &sequence{ctx: r.Context(), remaining: words, out: make(chan string, len(words))}
	e.mu.Lock()
	cached := e.cache.admit(prompt)
	e.waiting = append(e.waiting, seq)
	e.mu.Unlock()
	usage := &engine.Usage{PromptTokens: int64(len(prompt)), CompletionTokens: int64(len(words)),
		TotalTokens: int64(len(prompt) + len(words)), PromptTokensDetails: &engine.PromptTokensDetails{CachedTokens: int64(cached)}}
	id := fmt.Sprintf("chatcmpl-%016x", xxhash.Sum64String(strings.Join(prompt, " ")))
	if req.Stream {
		e.stream(w, r, &req, id, seq, usage)
		return
	}
	var text []string
	for tok := range seq.out {
		text = append(text, tok)
	}
	if len(text) < len(words) {
		return
	}
	writeJSON(w, http.StatusOK, engine.ChatResponse{ID: id, Object: "chat.completion", Model: e.model,
		Choices: []engine.Choice{{Message: messageOf(text), FinishReason: "length"}}, Usage: usage})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, id string, seq *sequence, usage *engine.Usage) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher, _ := w.(http.Flusher)
	send := func(c engine.ChatChunk) {
		c.ID, c.Object, c.Model = id, "chat.completion.chunk", e.model
		b, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		if flusher != nil {
			flusher.Flush()
		}
	}
	first := true
	n := 0
	for tok := range seq.out {
		d := engine.Delta{Content: tok + " "}
		if first {
			d.Role, first = "assistant", false
		}
		send(engine.ChatChunk{Choices: []engine.ChunkChoice{{Delta: d}}})
		n++
	}
	if r.Context().Err() != nil || int64(n) < usage.CompletionTokens {
		return
	}
	stop := "length"
	send(engine.ChatChunk{Choices: []engine.ChunkChoice{{Delta: engine.Delta{}, FinishReason: &stop}}})
	if req.StreamOptions != nil && req.StreamOptions.IncludeUsage {
		send(engine.ChatChunk{Choices: []engine.ChunkChoice{}, Usage: usage})
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func messageOf(tokens []string) program.Message {
	return program.Message{Role: "assistant", Content: strings.Join(tokens, " ") + " "}
}

// Load is what an engine reports of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, Load{Running: len(e.running), Waiting: len(e.waiting)})
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
}

// State returns a snapshot for the state dump.
func (e *Engine) State() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{Model: e.model, Running: len(e.running), Waiting: len(e.waiting), CacheBlocks: e.cache.len(),
		Evicted: e.cache.evicted, Served: e.served, Canceled: e.canceled}
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
