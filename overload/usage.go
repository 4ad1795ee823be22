package overload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

const (
	// usageTTL is how long a service counts as used by the programs of a route
	// after it was last seen. Routes are moved to other services by operators.
	usageTTL = time.Minute
	// maxRoutes bounds the routes on record.
	maxRoutes = 4096
)

// Usage learns which services the programs of a route use, by their turns and by
// their calls of tools, so that only the load of these decides on such programs. It
// is safe for concurrent use.
type Usage struct {
	clock clock.Clock

	mu sync.Mutex
	// seen holds when each service was last used, by route.
	seen map[string]map[string]time.Time
}

// NewUsage returns a Usage that knows of no route.
func NewUsage(clk clock.Clock) *Usage {
	return &Usage{clock: clk, seen: map[string]map[string]time.Time{}}
}

// Observe records that a program whose turns are on route used a service.
func (usage *Usage) Observe(route, service string) {
	usage.mu.Lock()
	defer usage.mu.Unlock()
	now := usage.clock.Now()
	services, ok := usage.seen[route]
	if !ok {
		if len(usage.seen) >= maxRoutes {
			usage.expire(now)
		}
		if len(usage.seen) >= maxRoutes {
			return
		}
		services = map[string]time.Time{}
		usage.seen[route] = services
	}
	if _, ok := services[service]; !ok && len(services) >= maxDigestEntries {
		expireServices(services, now)
	}
	if _, ok := services[service]; ok || len(services) < maxDigestEntries {
		services[service] = now
	}
}

// expireServices drops the services that were last seen more than usageTTL ago.
func expireServices(services map[string]time.Time, now time.Time) {
	maps.DeleteFunc(services, func(_ string, at time.Time) bool { return now.Sub(at) > usageTTL })
}

// expire drops what was last seen more than usageTTL ago.
func (usage *Usage) expire(now time.Time) {
	for route, services := range usage.seen {
		expireServices(services, now)
		if len(services) == 0 {
			delete(usage.seen, route)
		}
	}
}

// Services returns the services that programs of a route have used lately, sorted.
func (usage *Usage) Services(route string) []string {
	usage.mu.Lock()
	defer usage.mu.Unlock()
	now := usage.clock.Now()
	var services []string
	for service, at := range usage.seen[route] {
		if now.Sub(at) <= usageTTL {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}
