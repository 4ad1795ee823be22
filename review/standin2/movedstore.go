//go:build review

package main

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

const (
	movedFronts = 3
	// signalled is the number of instances that get SIGHUP; the settings of the others change
	// without a signal.
	signalled = 1
	// overlapTime is how long the store serves at both addresses.
	overlapTime = 6 * time.Second
	// calmTime is the time without any disruption before the configuration changes, above
	// contact-ms, and judgeTime the time after its acknowledgement from which requests are
	// judged, above apply-ms and skew-max-ms together.
	calmTime  = 5 * time.Second
	judgeTime = 8 * time.Second
	// judgedRequests is the number of requests sent to each instance on each route.
	judgedRequests = 5
)

// playMovedStore changes the configuration of a site. With trouble the platform moves its store
// to another address before, and changes the settings of all instances.
func playMovedStore(s *site, trouble bool) (bool, error) {
	s.addEndpoints("ledger", 2, false)
	s.addEndpoints("archive", 2, false)
	if err := s.configure(movedConfiguration(7, map[string]string{"/lohu930/": "ledger", "/pule252/": "ledger"})); err != nil {
		return false, err
	}
	for n := range movedFronts {
		if _, err := s.addFront(fmt.Sprintf("front-riga-a-%d", n+1)); err != nil {
			return false, err
		}
	}
	for _, front := range s.fronts {
		if err := front.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(calmTime)
	s.sendJudged("before", nil)
	if trouble {
		if err := s.moveStore(); err != nil {
			return false, err
		}
	}
	time.Sleep(calmTime)
	if err := s.configure(movedConfiguration(12, map[string]string{"/pule252/": "archive", "/zano114/": "ledger"})); err != nil {
		return false, err
	}
	s.record.add("version 12 is acknowledged: it drops /lohu930/, moves /pule252/ to another service, and adds /zano114/")
	time.Sleep(judgeTime)
	broken := 0
	s.sendJudged("after", &broken)
	return broken > 0, nil
}

// moveStore has the store serve at another address, tells the instances by their settings, and
// closes the old address.
func (s *site) moveStore() error {
	old := make([]*httptest.Server, 0, len(s.fronts))
	s.movedStore = platformtest.NewStoreServer(s.memory)
	for n, front := range s.fronts {
		old = append(old, front.store)
		if err := front.writeSettings(s.movedStore.Address()); err != nil {
			return err
		}
		if n < signalled {
			if err := front.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
		s.record.add("the settings of %s name %s as the address of the store instead of %s, SIGHUP: %t", front.name, s.movedStore.Address(), front.store.Listener.Addr(), n < signalled)
	}
	time.Sleep(overlapTime)
	var closing sync.WaitGroup
	for _, server := range old {
		closing.Go(func() {
			_ = server.Listener.Close()
			server.CloseClientConnections() // waits for watches in progress
		})
	}
	closing.Wait()
	s.record.add("the store no longer serves at the old address")
	return nil
}

// movedConfiguration returns a configuration with routes to services by their prefixes.
func movedConfiguration(version int, services map[string]string) map[string]any {
	var routes []map[string]any
	for prefix, service := range services {
		routes = append(routes, map[string]any{"name": "r" + prefix[1:len(prefix)-1], "host": "ficu95.example", "path-prefix": prefix, "kind": "idempotent", "timeout-ms": 1200, "slo-ms": 150, "priority": 2, "backend": service, "attempts": 3})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "ledger", "health-path": "/health", "max-conns": 100}, {"name": "archive", "health-path": "/health", "max-conns": 100}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// sendJudged sends requests on all routes to all instances. Unless broken is nil, it counts those
// that were handled as only version 7 allows.
func (s *site) sendJudged(when string, broken *int) {
	for f, front := range s.fronts {
		for p, prefix := range []string{"/lohu930/", "/pule252/", "/zano114/"} {
			for number := range judgedRequests {
				id := fmt.Sprintf("%s-%d%d%d", when, f, p, number)
				got := send(front.callers, "ficu95.example", prefix+"2f", map[string]string{"X-Request-Id": id}, nil)
				service := s.serviceOf(id)
				isOld := prefix == "/lohu930/" && service != "" || prefix == "/pule252/" && service == "ledger" || prefix == "/zano114/" && got.status == 404
				s.record.add("request %s to %s, %s: status %d, run by %q, as only version 7 allows: %t", id, front.name, prefix, got.status, service, broken != nil && isOld)
				if broken != nil && isOld {
					*broken++
				}
			}
		}
	}
}

// serviceOf returns the service that has run the request, empty if none.
func (s *site) serviceOf(id string) string {
	for _, endpoint := range s.endpoints {
		for _, run := range endpoint.ReceivedRequests() {
			if run.ID == id {
				return endpoint.Service
			}
		}
	}
	return ""
}
