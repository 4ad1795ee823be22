// Package engine holds the messages of the model engines' protocol, the
// OpenAI-compatible chat completions API (POST /v1/chat/completions,
// streamed as server-sent events), and a client for one engine.
package engine
