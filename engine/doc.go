// Package engine defines the messages of the protocol of model engines: the
// OpenAI-compatible chat completions API (POST /v1/chat/completions, streamed
// as server-sent events) and the reports of an engine's load and prefix cache.
// It also computes the block hashes by which engines name the contents of their
// prefix cache.
package engine
