// Package load generates load on a deployment of real processes on loopback
// and measures it. The programs to run are generated at random from an
// experiment file. The results are the latency of complete programs, the
// wasted prefix cache, the rejected calls and the utilisation of the engines.
// Runs of an experiment under different policies execute the same programs at
// the same times, so their results can be compared.
//
// The package sends requests to loopback addresses only, and limits the
// number of programs and the duration of a run.
package load
