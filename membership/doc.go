// Package membership knows which endpoints exist and may be given work, from
// a list that lags, and that loses entries of live endpoints while its store
// is away. It does no input or output.
package membership
