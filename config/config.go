package config

import (
	"fmt"
	"slices"
	"strings"
)

// Key is the table key the configuration lives under.
const Key = "config"

// Endpoint is one engine or tool service, reached through its sidecar.
type Endpoint struct {
	Name       string   `json:"name" toml:"name"`
	Role       string   `json:"role" toml:"role"`
	Model      string   `json:"model,omitempty" toml:"model"`
	Tools      []string `json:"tools,omitempty" toml:"tools"`
	Sidecar    string   `json:"sidecar" toml:"sidecar"`
	DataCentre string   `json:"data_centre" toml:"data_centre"`
	// Draining endpoints get no new work.
	Draining bool `json:"draining,omitempty" toml:"draining"`
}

// Config is the whole configuration. Version is the table record's
// version; it only grows, and a watcher ignores any version lower than
// the one it holds, so an accepted configuration never reverts.
type Config struct {
	Version   uint64     `json:"-" toml:"-"`
	Endpoints []Endpoint `json:"endpoints" toml:"endpoint"`
}

// Error is a fault in a configuration.
type Error struct {
	endpoint string
	detail   string
}

// Error names the endpoint and the fault.
func (e *Error) Error() string { return fmt.Sprintf("endpoint %q: %s", e.endpoint, e.detail) }

// Validate returns an *Error for the first fault: a duplicate name, an
// unknown role, an engine without a model, a tool service without tools,
// or a missing sidecar address.
func (c *Config) Validate() error {
	seen := map[string]bool{}
	for _, e := range c.Endpoints {
		switch {
		case e.Name == "":
			return &Error{endpoint: e.Name, detail: "name is empty"}
		case seen[e.Name]:
			return &Error{endpoint: e.Name, detail: "name given twice"}
		case e.Role != "engine" && e.Role != "tool":
			return &Error{endpoint: e.Name, detail: fmt.Sprintf("role %q, want engine or tool", e.Role)}
		case e.Role == "engine" && e.Model == "":
			return &Error{endpoint: e.Name, detail: "engine without model"}
		case e.Role == "tool" && len(e.Tools) == 0:
			return &Error{endpoint: e.Name, detail: "tool service without tools"}
		case e.Sidecar == "":
			return &Error{endpoint: e.Name, detail: "sidecar address missing"}
		}
		seen[e.Name] = true
	}
	return nil
}

// Find returns the endpoint named name.
func (c *Config) Find(name string) (Endpoint, bool) {
	i := slices.IndexFunc(c.Endpoints, func(e Endpoint) bool { return e.Name == name })
	if i < 0 {
		return Endpoint{}, false
	}
	return c.Endpoints[i], true
}

// ChangeKind is the sort of a planned change.
type ChangeKind int

//go:generate stringer -type=ChangeKind -trimprefix=Change -linecomment

// Change kinds.
const (
	ChangeAdd    ChangeKind = iota // add
	ChangeRemove                   // remove
	ChangeModify                   // modify
)

// Change is one line of a plan.
type Change struct {
	Kind     ChangeKind
	Endpoint string
	Detail   string
}

// Plan is what applying a configuration would do, made against the version
// it was read at; writing it fails if another change landed since.
type Plan struct {
	base    uint64
	changes []Change
}

// Base returns the version the plan was made against.
func (p *Plan) Base() uint64 { return p.base }

// Changes returns the plan's changes in endpoint order.
func (p *Plan) Changes() []Change { return slices.Clone(p.changes) }

// String renders the plan for an operator, one change a line.
func (p *Plan) String() string {
	if len(p.changes) == 0 {
		return fmt.Sprintf("plan against version %d: no changes\n", p.base)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "plan against version %d: %d change(s)\n", p.base, len(p.changes))
	for _, c := range p.changes {
		fmt.Fprintf(&b, "  %-6s %s %s\n", c.Kind, c.Endpoint, c.Detail)
	}
	return b.String()
}

// MakePlan returns the changes that turn current into desired. It indexes
// both sides by name once, so a plan costs time linear in the endpoints.
func MakePlan(current, desired *Config) *Plan {
	p := &Plan{base: current.Version}
	cur := byName(current)
	want := byName(desired)
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

func byName(c *Config) map[string]Endpoint {
	m := make(map[string]Endpoint, len(c.Endpoints))
	for _, e := range c.Endpoints {
		m[e.Name] = e
	}
	return m
}

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
