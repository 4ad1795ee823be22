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

// IdempotencyHeader is the request header that carries the idempotency key
// of a tool call.
const IdempotencyHeader = "Idempotency-Key"

// Tool is a stand-in for a tool service, in which POST /tools/{name} runs the
// named tool. It counts executions by idempotency key, so that tests can
// check that a non-idempotent call ran at most once. It does not deduplicate
// calls, because wagtaildrum has to.
type Tool struct {
	mu sync.Mutex
	// hangingTools are the tools that never respond.
	hangingTools []string
	// duration is the time that a call takes.
	duration time.Duration
	// executionsByKey counts the executions by idempotency key, and
	// totalExecutions all of them.
	executionsByKey map[string]int
	totalExecutions int
}

// NewTool returns a tool service whose calls take the given duration. Calls
// of the tools in hangingTools are not executed and get no response before
// the client closes the request.
func NewTool(hangingTools []string, duration time.Duration) *Tool {
	return &Tool{hangingTools: slices.Clone(hangingTools), duration: duration, executionsByKey: map[string]int{}}
}

// ToolResult is the response body of a tool call.
type ToolResult struct {
	Tool   string `json:"tool"`
	Result string `json:"result"`
}

// Executions returns the number of executions with the idempotency key key.
func (t *Tool) Executions(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executionsByKey[key]
}

// Handler returns the handler of the tool service's HTTP API.
func (t *Tool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tools/{name}", t.handleCall)
	mux.HandleFunc("GET /executions", t.handleExecutions)
	return mux
}

// handleCall executes a tool call.
func (t *Tool) handleCall(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	args, err := io.ReadAll(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "unreadable body"})
		return
	}
	if slices.Contains(t.hangingTools, name) {
		<-r.Context().Done()
		return
	}
	t.mu.Lock()
	t.executionsByKey[r.Header.Get(IdempotencyHeader)]++
	t.totalExecutions++
	t.mu.Unlock()
	time.Sleep(t.duration)
	writeJSON(w, http.StatusOK, ToolResultFor(name, args))
}

// ToolResultFor returns the result of a call of tool name with args. The result
// is a function of name and args only.
func ToolResultFor(name string, args []byte) ToolResult {
	sum := xxhash.Sum64(append([]byte(name+":"), args...))
	return ToolResult{Tool: name, Result: fmt.Sprintf("%s-ok-%04x", name, sum%0x10000)}
}

// handleExecutions writes the number of executions by idempotency key.
func (t *Tool) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, t.executionsByKey)
}

// ToolState is the state dump of a Tool: the number of executions and of
// distinct idempotency keys.
type ToolState struct {
	Executions int `json:"executions"`
	Keys       int `json:"keys"`
}

// State returns a ToolState.
func (t *Tool) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ToolState{Executions: t.totalExecutions, Keys: len(t.executionsByKey)}
}
