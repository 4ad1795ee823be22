// Package membership records which endpoints exist and may be given work. Its
// source is a list in a store, which lags behind and loses entries of running
// endpoints while the store is unavailable. The package does no input or
// output.
package membership
