package config

import (
	"fmt"
	"slices"
	"strings"
)

// Key is the table key of the record that holds the full configuration.
const Key = "config"

// Endpoint describes one engine or tool service, which is reached through its
// sidecar. Role is "engine" or "tool"; an engine serves Model, a tool service
// serves Tools. Sidecar is the sidecar's address (host:port).
type Endpoint struct {
	Name       string   `json:"name" toml:"name"`
	Role       string   `json:"role" toml:"role"`
	Model      string   `json:"model,omitempty" toml:"model"`
	Tools      []string `json:"tools,omitempty" toml:"tools"`
	Sidecar    string   `json:"sidecar" toml:"sidecar"`
	DataCentre string   `json:"data_centre" toml:"data_centre"`
	// Draining reports whether the endpoint is excluded from new calls.
	Draining bool `json:"draining,omitempty" toml:"draining"`
}

// Config holds the full configuration. Version is the version of its table
// record. It only increases: a watcher ignores versions lower than that of its
// copy, which keeps it from reverting to an older configuration.
type Config struct {
	Version   uint64     `json:"-" toml:"-"`
	Endpoints []Endpoint `json:"endpoints" toml:"endpoint"`
}

// Error is returned by Config.Validate for an invalid endpoint.
type Error struct {
	endpoint string
	detail   string
}

// Error returns the endpoint's name and the reason why it is invalid.
func (e *Error) Error() string { return fmt.Sprintf("endpoint %q: %s", e.endpoint, e.detail) }

// Validate returns an *Error for the first invalid endpoint: one with an empty
// or duplicate name, an unknown role, or no sidecar address, an engine without
// a model, or a tool service without tools.
func (c *Config) Validate() error {
	seen := map[string]bool{}
	for _, e := range c.Endpoints {
		switch {
		case e.Name == "":
			return &Error{endpoint: e.Name, detail: "name is empty"}
		case seen[e.Name]:
			return &Error{endpoint: e.Name, detail: "duplicate name"}
		case e.Role != "engine" && e.Role != "tool":
			return &Error{endpoint: e.Name, detail: fmt.Sprintf("role %q, want engine or tool", e.Role)}
		case e.Role == "engine" && e.Model == "":
			return &Error{endpoint: e.Name, detail: "engine has no model"}
		case e.Role == "tool" && len(e.Tools) == 0:
			return &Error{endpoint: e.Name, detail: "tool service has no tools"}
		case e.Sidecar == "":
			return &Error{endpoint: e.Name, detail: "sidecar address is missing"}
		}
		seen[e.Name] = true
	}
	return nil
}

// Find returns the endpoint called name and whether there is one.
func (c *Config) Find(name string) (Endpoint, bool) {
	i := slices.IndexFunc(c.Endpoints, func(e Endpoint) bool { return e.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return c.Endpoints[i], true
}

// ChangeKind is the kind of a planned change. Its String is printed in plans.
type ChangeKind int

//go:generate stringer -type=ChangeKind -trimprefix=Change -linecomment

// Change kinds.
const (
	ChangeAdd    ChangeKind = iota // add
	ChangeRemove                   // remove
	ChangeModify                   // modify
)

// Change is the planned change of one endpoint. Detail describes the endpoint,
// for ChangeModify before and after the change.
type Change struct {
	Kind     ChangeKind
	Endpoint string
	Detail   string
}

// Plan holds the changes that lead from the configuration at one version, the
// base version, to a desired one. Applying a plan fails if the configuration
// was changed after its base version.
type Plan struct {
	baseVersion uint64
	changes     []Change
}

// BaseVersion returns the version of the configuration that the plan changes.
func (p *Plan) BaseVersion() uint64 { return p.baseVersion }

// Changes returns a copy of the plan's changes, sorted by endpoint name.
func (p *Plan) Changes() []Change { return slices.Clone(p.changes) }

// String returns the plan as text for an operator, one line per change.
func (p *Plan) String() string {
	if len(p.changes) == 0 {
		return fmt.Sprintf("plan against version %d: no changes\n", p.baseVersion)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "plan against version %d: %d change(s)\n", p.baseVersion, len(p.changes))
	for _, c := range p.changes {
		fmt.Fprintf(&b, "  %-6s %s %s\n", c.Kind, c.Endpoint, c.Detail)
	}
	return b.String()
}

// MakePlan returns the changes that turn current into desired. It indexes both
// configurations by endpoint name once, which keeps its cost linear in the
// number of endpoints, apart from sorting the changes.
func MakePlan(current, desired *Config) *Plan {
	p := &Plan{baseVersion: current.Version}
	cur := endpointsByName(current)
	want := endpointsByName(desired)
	for _, d := range desired.Endpoints {
		c, ok := cur[d.Name]
		switch {
		case !ok:
			p.changes = append(p.changes, Change{Kind: ChangeAdd, Endpoint: d.Name, Detail: describe(d)})
		case describe(c) != describe(d):
			p.changes = append(p.changes, Change{Kind: ChangeModify, Endpoint: d.Name, Detail: describe(c) + " -> " + describe(d)})
		}
	}
	for _, c := range current.Endpoints {
		if _, ok := want[c.Name]; !ok {
			p.changes = append(p.changes, Change{Kind: ChangeRemove, Endpoint: c.Name, Detail: describe(c)})
		}
	}
	slices.SortFunc(p.changes, func(a, b Change) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return p
}

// endpointsByName returns c's endpoints indexed by name.
func endpointsByName(c *Config) map[string]Endpoint {
	m := make(map[string]Endpoint, len(c.Endpoints))
	for _, e := range c.Endpoints {
		m[e.Name] = e
	}
	return m
}

// describe returns all of e but its name on one line. Two endpoints of one name
// with the same description are the same for a plan.
func describe(e Endpoint) string {
	s := fmt.Sprintf("role=%s sidecar=%s dc=%s", e.Role, e.Sidecar, e.DataCentre)
	if e.Model != "" {
		s += " model=" + e.Model
	}
	if len(e.Tools) > 0 {
		s += " tools=" + strings.Join(e.Tools, ",")
	}
	if e.Draining {
		s += " draining"
	}
	return s
}
