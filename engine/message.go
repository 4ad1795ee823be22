package engine

import (
	"strings"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model         string            `json:"model"`
	Messages      []program.Message `json:"messages"`
	Stream        bool              `json:"stream,omitempty"`
	StreamOptions *StreamOptions    `json:"stream_options,omitempty"`
	// MaxTokens bounds the tokens generated; older clients send max_tokens,
	// newer ones max_completion_tokens.
	MaxTokens           int `json:"max_tokens,omitempty"`
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
}

// Limit returns the generation bound asked for, or def if none was.
func (r *ChatRequest) Limit(def int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return def
}

// StreamOptions asks for a final usage chunk in a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts a completion's tokens.
type Usage struct {
	PromptTokens        int64                `json:"prompt_tokens"`
	CompletionTokens    int64                `json:"completion_tokens"`
	TotalTokens         int64                `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails tells how much of the prompt came from the engine's
// prefix cache.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Cached returns the cached prompt tokens, zero if not reported.
func (u *Usage) Cached() int64 {
	if u == nil || u.PromptTokensDetails == nil {
		return 0
	}
	return u.PromptTokensDetails.CachedTokens
}

// Delta is the new text of one chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkChoice is one choice in a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// ChatChunk is one server-sent event of a streamed completion.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Choice is the one answer of a whole completion.
type Choice struct {
	Index        int             `json:"index"`
	Message      program.Message `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

// ChatResponse is a whole (not streamed) completion.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Tokens splits text into the stand-in's tokens: words. Real engines use
// their model's tokenizer; entry instances use this as an estimate when
// reserving budget.
func Tokens(text string) []string { return strings.Fields(text) }

// PromptTokens estimates the prompt size of messages: each message's words
// plus one for its role.
func PromptTokens(messages []program.Message) int64 {
	var n int64
	for _, m := range messages {
		n += int64(len(Tokens(m.Content))) + 1
	}
	return n
}
