// Package load drives a deployment of real processes on loopback with
// programs drawn from an experiment file, and reports what their callers
// saw: whole-program latency, wasted prefix cache, refusals, and how busy
// the engines were. Runs of the same experiment under different policies
// meet the same programs at the same times and can be compared.
//
// It sends only to loopback addresses, and is bounded in count and time.
package load
