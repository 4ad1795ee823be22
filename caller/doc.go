// Package caller holds the messages of the callers' HTTP API of an entry
// instance: the program endpoints under /v1/programs and the errors every
// endpoint answers with. The chat completions endpoint speaks the engine
// package's OpenAI-compatible messages.
package caller
