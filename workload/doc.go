// Package workload runs scripted agent programs against an entry instance
// over its public HTTP API and records the session: every request and
// response, in sequence order. The JSON form of a session holds no times, so
// it can be compared with a golden file.
package workload
