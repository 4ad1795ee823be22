// Package debug serves a process's state dump (GET /debug/state, JSON),
// its tally metrics in Prometheus text form (GET /metrics), and writes the
// state dump to the log on SIGUSR1.
package debug
