// Package debug serves the state dump of a process as JSON (GET /debug/state)
// and its metrics in the Prometheus text format (GET /metrics), and writes the
// state dump to the log on SIGUSR1.
package debug
