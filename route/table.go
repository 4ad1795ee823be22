package route

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
)

// InvalidRouteError is returned by NewTable for a configuration with an invalid route.
type InvalidRouteError struct {
	route  string
	reason string
}

// Error returns a message with the name of the invalid route and the reason.
func (e *InvalidRouteError) Error() string {
	return fmt.Sprintf("configuration invalid: route %q: %s", e.route, e.reason)
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]*Service
	// organisations is nil if callers need no key.
	organisations organisations
	// meanRate is the mean rate of the organisations' quotas, 0 if none has one.
	meanRate float64
	limits   Limits
}

// NewTable returns the table of a configuration. It returns an *InvalidRouteError if a
// route has no host, no target or an invalid prefix, and an
// *InvalidOrganisationError if an organisation is invalid or shares a name or key
// with another one. Without organisations, callers need no key.
func NewTable(version uint64, routes []*Route, services []*Service, organisations []*Organisation, limits Limits) (*Table, error) {
	table := &Table{version: version, hosts: map[string][]*Route{}, services: map[string]*Service{}, limits: limits}
	if len(organisations) > 0 {
		var err error
		if table.organisations, err = newOrganisations(organisations); err != nil {
			return nil, err
		}
		table.meanRate = meanRate(organisations)
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, route := range routes {
		if err := validate(route); err != nil {
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

// validate returns an *InvalidRouteError if the route cannot be served.
func validate(route *Route) error {
	switch {
	case route.Host == "":
		return &InvalidRouteError{route: route.Name, reason: "missing host"}
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return &InvalidRouteError{route: route.Name, reason: "prefix does not begin and end with a slash"}
	case len(route.Targets) == 0:
		return &InvalidRouteError{route: route.Name, reason: "no target service"}
	}
	return nil
}

// Version returns the version of the configuration.
func (table *Table) Version() uint64 { return table.version }

// Limits returns the limits on requests of callers.
func (table *Table) Limits() Limits { return table.limits }

// NeedsKey reports whether a request on route must present an organisation's key.
func (table *Table) NeedsKey(route *Route) bool { return table.organisations != nil && !route.Public }

// Organisation returns the organisation with the given key, nil if there is none.
func (table *Table) Organisation(key Key) *Organisation { return table.organisations[key] }

// Weight returns an organisation's weight where organisations share capacity that is
// short: the rate of its quota, or the mean rate of all quotas if it has none. It
// returns 0, which stands for equal weights, if organisation is nil or no
// organisation has a quota.
func (table *Table) Weight(organisation *Organisation) float64 {
	switch {
	case organisation == nil:
		return 0
	case organisation.Quota == nil:
		return table.meanRate
	}
	return organisation.Quota.Rate
}

// meanRate returns the mean rate of the organisations' quotas, 0 if none has one.
func meanRate(organisations []*Organisation) float64 {
	sum, n := 0.0, 0
	for _, organisation := range organisations {
		if organisation.Quota != nil {
			sum += organisation.Quota.Rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// Routes returns the number of routes.
func (table *Table) Routes() int {
	n := 0
	for _, list := range table.hosts {
		n += len(list)
	}
	return n
}

// Service returns the service with the given name, nil if it is unknown.
func (table *Table) Service(name string) *Service { return table.services[name] }

// Match returns the route of the host with the longest prefix of path, nil if
// there is none. The host may include a port.
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

// Current holds the active table of this process. It never returns to an older
// version, in whatever order tables arrive. The zero value holds none.
type Current struct {
	table atomic.Pointer[Table]
}

// Load returns the active table, nil before the first.
func (current *Current) Load() *Table { return current.table.Load() }

// StoreIfNewer makes table the active one if it is newer than the present one, and
// reports whether it did.
func (current *Current) StoreIfNewer(table *Table) bool {
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
