package entry

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/peer"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/routing"
)

// defaultMaxTokens is the limit of generated tokens, and so the reservation,
// for a model call that sets none.
const defaultMaxTokens = 256

// chunkFunc receives one chunk of a model's answer, raw and decoded.
type chunkFunc func(raw []byte, c *engine.ChatChunk) error

// modelAnswer accumulates the answer to a model call. It implements
// responseSink.
type modelAnswer struct {
	content strings.Builder
	usage   *engine.Usage
	onChunk chunkFunc
	// promptTokens is the number of prompt tokens sent and contentChunks that
	// of chunks with content received. They replace the usage of an answer
	// that was interrupted before its usage arrived.
	promptTokens, contentChunks int
}

// usedTokens returns the number of tokens spent by the engine: the reported
// usage, or at least the prompt and the chunks received if the answer was
// interrupted. An answer of which nothing arrived counts as 0.
func (a *modelAnswer) usedTokens() int64 {
	switch {
	case a.usage != nil:
		return a.usage.TotalTokens
	case a.contentChunks > 0:
		return int64(a.promptTokens + a.contentChunks)
	}
	return 0
}

// write implements responseSink: it decodes a chunk, appends its content to
// the answer and passes it to onChunk.
func (a *modelAnswer) write(raw []byte) error {
	var c engine.ChatChunk
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	for _, ch := range c.Choices {
		a.content.WriteString(ch.Delta.Content)
		if ch.Delta.Content != "" {
			a.contentChunks++
		}
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	if a.onChunk != nil {
		return a.onChunk(raw, &c)
	}
	return nil
}

// cachedTokens implements responseSink.
func (a *modelAnswer) cachedTokens() int { return int(a.usage.Cached()) }

// modelCall sends messages to the model for the program of o, or for a call
// outside any program if o is nil, and passes each chunk to onChunk as it
// arrives. An interrupted answer is resumed after the last chunk received, at
// another engine if there is one, as long as the caller is waiting and the
// retry budget allows, so that the caller receives one complete stream. The
// returned answer holds what has been received, whether or not the dispatch
// completed.
func (e *Entry) modelCall(ctx context.Context, o *ownedProgram, seq uint64, model string, messages []program.Message, limit int, onChunk chunkFunc) (*modelAnswer, dispatchResult) {
	body, _ := json.Marshal(engine.ChatRequest{Model: model, Messages: messages, Stream: true,
		StreamOptions: &engine.StreamOptions{IncludeUsage: true}, MaxTokens: limit})
	call := &peer.Call{Sequence: seq, Kind: peer.KindEngine, Body: body, Urgency: int(program.UrgencyNormal)}
	tokens := engine.TokenizePrompt(messages)
	req := &routing.Request{Target: routing.Target{Model: model}, Key: plainCallKey(messages),
		Prompt: engine.BlockHashes(tokens, e.blockTokens), Tokens: len(tokens), BlockTokens: e.blockTokens}
	if o != nil {
		o.fillCall(call)
		req.Key, req.Hint = call.Program, o.swapPromptBlocks(len(req.Prompt))
	}
	if dl, ok := ctx.Deadline(); ok {
		call.Deadline = dl.UnixMilli()
	}
	ans := &modelAnswer{promptTokens: len(tokens), onChunk: onChunk}
	res := e.dispatch(ctx, req, call, ans, map[string]bool{})
	for range maxAttempts - 1 {
		if res.outcome != outcomeUnknown || ctx.Err() != nil || ans.contentChunks >= limit || !e.retries.Retry() {
			break
		}
		broken := res
		e.log.Info("model answer interrupted; resuming it", "program", call.Program, "seq", seq, "endpoint", broken.endpoint, "pieces", ans.contentChunks, "err", broken.err)
		call.ResumeAfter = ans.contentChunks
		res = e.dispatch(ctx, req, call, ans, map[string]bool{broken.endpoint: true})
		if res.outcome == outcomeRefused {
			// No other engine accepted the call. The first one may still be
			// available, if only the connection was lost.
			res = e.dispatch(ctx, req, call, ans, map[string]bool{})
		}
		if res.outcome == outcomeRefused {
			return ans, broken // not a refusal: part of the call has run
		}
	}
	return ans, res
}

// fillCall sets the fields of call that endpoints need from the program: its
// ID and fencing token, and the urgency, start time and spent tokens by which
// its calls are ordered.
func (o *ownedProgram) fillCall(call *peer.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.prog
	call.Program, call.Fence, call.Urgency = string(p.ID()), p.Fence(), int(p.Spec().Urgency)
	call.Started, call.Attained = p.Created().UnixMilli(), p.Spent()
}

// swapPromptBlocks records blocks as the depth of the program's latest prompt
// and returns the depth of the previous one.
func (o *ownedProgram) swapPromptBlocks(blocks int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	hint := o.promptBlocks
	o.promptBlocks = blocks
	return hint
}

// plainCallKey returns the routing key of a call outside any program: its
// first message, so that calls with the same system prompt share the prefix
// cache of an engine.
func plainCallKey(messages []program.Message) string {
	if len(messages) == 0 {
		return ""
	}
	return messages[0].Role + ":" + messages[0].Content
}
