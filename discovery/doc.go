// Package discovery follows tables of the store that other processes write: the
// operators' configuration, the list of endpoints and the entry instances.
package discovery
