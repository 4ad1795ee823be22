package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IdempotencyHeader is the header a tool service reads the idempotency key
// from.
const IdempotencyHeader = "Idempotency-Key"

// Tool stands in for a tool service: POST /tools/{name} runs the tool.
// It counts every execution per idempotency key, so tests can prove a
// non-idempotent call ran at most once. It does not itself deduplicate:
// that is wagtaildrum's job.
type Tool struct {
	mu     sync.Mutex
	hang   []string
	work   time.Duration
	counts map[string]int
	total  int
}

// NewTool returns a tool service whose calls take work each, and whose
// tools named in hang never answer until the caller gives up.
func NewTool(hang []string, work time.Duration) *Tool {
	return &Tool{hang: slices.Clone(hang), work: work, counts: map[string]int{}}
}

// ToolResult is the answer of a tool call.
type ToolResult struct {
	Tool   string `json:"tool"`
	Result string `json:"result"`
}

// Executions returns how often the call with idempotency key key ran.
func (t *Tool) Executions(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[key]
}

// Handler returns the tool service's HTTP API.
func (t *Tool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tools/{name}", t.call)
	mux.HandleFunc("GET /executions", t.executions)
	return mux
}

func (t *Tool) call(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	args, err := io.ReadAll(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "unreadable body"})
		return
	}
	if slices.Contains(t.hang, name) {
		<-r.Context().Done()
		return
	}
	t.mu.Lock()
	t.counts[r.Header.Get(IdempotencyHeader)]++
	t.total++
	t.mu.Unlock()
	time.Sleep(t.work)
	writeJSON(w, http.StatusOK, ToolAnswer(name, args))
}

// ToolAnswer returns what the stand-in answers when it runs tool name with
// args; it depends on nothing else.
func ToolAnswer(name string, args []byte) ToolResult {
	sum := xxhash.Sum64(append([]byte(name+":"), args...))
	return ToolResult{Tool: name, Result: fmt.Sprintf("%s-ok-%04x", name, sum%0x10000)}
}

func (t *Tool) executions(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, t.counts)
}

// ToolState is the tool stand-in's state dump.
type ToolState struct {
	Executions int `json:"executions"`
	Keys       int `json:"keys"`
}

// State returns a snapshot for the state dump.
func (t *Tool) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ToolState{Executions: t.total, Keys: len(t.counts)}
}
