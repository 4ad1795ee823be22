package route

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
)

// InvalidError is a configuration that cannot be put in force.
type InvalidError struct {
	route  string
	reason string
}

// Error names the route at fault and what is wrong with it.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration invalid: route %q: %s", e.route, e.reason)
}

// Table is a configuration in force.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]*Service
	// organisations is nil if callers need no key.
	organisations organisations
	limits        Limits
}

// NewTable returns the table of a configuration. It returns an *InvalidError
// if a route cannot be served, and an *InvalidOrganisationError for an
// organisation that cannot be told apart. Without organisations, callers need
// no key.
func NewTable(version uint64, routes []*Route, services []*Service, organisations []*Organisation, limits Limits) (*Table, error) {
	table := &Table{version: version, hosts: map[string][]*Route{}, services: map[string]*Service{}, limits: limits}
	if len(organisations) > 0 {
		var err error
		if table.organisations, err = newOrganisations(organisations); err != nil {
			return nil, err
		}
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, route := range routes {
		if err := check(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, list := range table.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table, nil
}

func check(route *Route) error {
	switch {
	case route.Host == "":
		return &InvalidError{route: route.Name, reason: "no host"}
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return &InvalidError{route: route.Name, reason: "prefix does not begin and end with a slash"}
	case len(route.Targets) == 0:
		return &InvalidError{route: route.Name, reason: "no service"}
	}
	return nil
}

// Version returns the configuration's version.
func (table *Table) Version() uint64 { return table.version }

// Limits returns what callers may send.
func (table *Table) Limits() Limits { return table.limits }

// NeedsKey reports whether a request on route must show an organisation's key.
func (table *Table) NeedsKey(route *Route) bool { return table.organisations != nil && !route.Public }

// Organisation returns the organisation that holds a key, nil if none does.
func (table *Table) Organisation(key Key) *Organisation { return table.organisations[key] }

// Routes returns how many routes there are.
func (table *Table) Routes() int {
	n := 0
	for _, list := range table.hosts {
		n += len(list)
	}
	return n
}

// Service returns the service of a name, nil if it is unknown.
func (table *Table) Service(name string) *Service { return table.services[name] }

// Match returns the route of the host with the longest prefix that begins
// path, nil if there is none. The host may carry a port.
func (table *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range table.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Current is the table in force at this process. It never goes back to an
// older version, whatever order tables arrive in. The zero value holds none.
type Current struct {
	table atomic.Pointer[Table]
}

// Load returns the table in force, nil before the first.
func (current *Current) Load() *Table { return current.table.Load() }

// Offer puts table in force if it is newer than what is, and reports
// whether it did.
func (current *Current) Offer(table *Table) bool {
	for {
		old := current.table.Load()
		if old != nil && old.version >= table.version {
			return false
		}
		if current.table.CompareAndSwap(old, table) {
			return true
		}
	}
}
