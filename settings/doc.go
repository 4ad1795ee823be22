// Package settings loads the TOML settings file of each process and checks
// it: unknown keys, missing keys and bad values are each a *Error naming
// the key, so a wrong file never starts a process half-configured.
package settings
