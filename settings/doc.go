// Package settings loads and validates the TOML settings file of each process.
// An unknown key, a missing key or an invalid value is returned as an *Error with
// the key, so that no process starts with an invalid or partial configuration.
package settings
