package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/config"
)

// Target is what a call needs: a model for an engine call, a tool name
// for a tool call.
type Target struct {
	Model string
	Tool  string
}

func (t Target) accepts(e *config.Endpoint) bool {
	if e.Draining {
		return false
	}
	if t.Tool != "" {
		return e.Role == "tool" && slices.Contains(e.Tools, t.Tool)
	}
	return e.Role == "engine" && e.Model == t.Model
}

// Pick returns the eligible endpoint with the highest rendezvous weight for
// key, skipping those for which avoid returns true (for example endpoints
// that just refused as draining). It returns false if none is eligible.
func Pick(endpoints []config.Endpoint, t Target, key string, avoid func(name string) bool) (config.Endpoint, bool) {
	var best *config.Endpoint
	var bestWeight uint64
	for i := range endpoints {
		e := &endpoints[i]
		if !t.accepts(e) || (avoid != nil && avoid(e.Name)) {
			continue
		}
		w := weight(key, e.Name)
		if best == nil || w > bestWeight {
			best, bestWeight = e, w
		}
	}
	if best == nil {
		return config.Endpoint{}, false
	}
	return *best, true
}

func weight(key, endpoint string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}
