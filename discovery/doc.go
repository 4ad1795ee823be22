// Package discovery follows what others write to the store: the operators'
// configuration and the list of endpoints.
package discovery
