// Package balance chooses the endpoint that is expected to start responding
// to a request soonest. The choice depends on the requests that this instance
// has in flight at each endpoint, the last load reported by the endpoint, the
// prompt segments expected in its prefix cache, its data centre, and whether a
// connection to it is open. New conversations and shared prefixes are placed by the
// endpoints' measured speeds. The package does no input or output.
//
// A prompt is a sequence of segments. Its first segment is a prefix shared by
// many prompts, such as a system prompt. Processing the tokens of a prompt
// that are not cached is called prefill.
package balance
