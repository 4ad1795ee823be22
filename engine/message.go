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
	// MaxTokens and MaxCompletionTokens bound the number of generated tokens:
	// older clients send max_tokens, newer ones max_completion_tokens.
	MaxTokens           int `json:"max_tokens,omitempty"`
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
}

// MaxTokensOr returns the maximum number of generated tokens that the request sets,
// or defaultLimit if it sets none.
func (r *ChatRequest) MaxTokensOr(defaultLimit int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return defaultLimit
}

// StreamOptions holds the options of a streamed completion. IncludeUsage
// requests a final chunk with the token usage.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage holds the token counts of a completion. PromptTokensDetails is nil if
// the engine does not report them.
type Usage struct {
	PromptTokens        int64                `json:"prompt_tokens"`
	CompletionTokens    int64                `json:"completion_tokens"`
	TotalTokens         int64                `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails holds the number of prompt tokens that the engine took
// from its prefix cache.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Cached returns the number of cached prompt tokens, or 0 if u is nil or the
// number was not reported.
func (u *Usage) Cached() int64 {
	if u == nil || u.PromptTokensDetails == nil {
		return 0
	}
	return u.PromptTokensDetails.CachedTokens
}

// Delta is the text that one chunk appends to a completion.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkChoice is one choice in a ChatChunk. FinishReason is nil until the last
// chunk of the choice.
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

// Choice is the completion in a ChatResponse.
type Choice struct {
	Index        int             `json:"index"`
	Message      program.Message `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

// ChatResponse is the response to a ChatRequest that is not streamed.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Tokenize returns the words of text, which are the tokens of the stand-in engine.
// Other engines use the tokenizer of their model; for these, entry instances
// use the number of words as an estimate when they reserve budget.
func Tokenize(text string) []string { return strings.Fields(text) }

// EstimatePromptTokens returns an estimate of the number of prompt tokens of messages:
// the words of each message plus one for its role.
func EstimatePromptTokens(messages []program.Message) int64 {
	var n int64
	for _, m := range messages {
		n += int64(len(Tokenize(m.Content))) + 1
	}
	return n
}
