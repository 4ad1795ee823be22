// Package eventstream splits a stream of server-sent events (text/event-stream)
// into events and preserves their bytes.
package eventstream
