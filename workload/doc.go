// Package workload plays scripted agent programs against an entry
// instance, as a caller would, and records the whole session: every
// request and answer in sequence order, with times left out so that a
// session can be compared with a golden file.
package workload
