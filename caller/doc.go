// Package caller defines the messages of the HTTP API that an entry instance
// offers to callers: the requests and responses under /v1/programs, and the
// error responses of all paths. The messages of /v1/chat/completions, which is
// OpenAI-compatible, are those of package engine.
package caller
