// Package eventstream reads and splits series of server-sent events
// (text/event-stream) without changing a byte of them.
package eventstream
