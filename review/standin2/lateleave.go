//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// The quota of each tenant, and the bounds of the rule on quotas.
const (
	quotaRate    = 20
	quotaBurst   = 10
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

const (
	quotaTenants = 4
	quotaFronts  = 3
	// sendInterval is the time between two requests of a tenant through one instance.
	sendInterval = 70 * time.Millisecond
	// lateTime is when a write without a response is performed, within the 1 to 6 s of
	// the platform's pages.
	lateTime = 5500 * time.Millisecond
	// The traffic lasts for warmTime before the first instance is stopped, and for
	// watchTime after it is ready again.
	warmTime  = 4 * time.Second
	watchTime = 20 * time.Second
)

// sending is one request of a tenant and its answer.
type sending struct {
	id, tenant, front string
	sentAt            time.Time
	answer            answer
}

// playLateLeave stops and starts each instance in turn. With trouble the store does not
// answer one write of each instance, the first that removes its entry, and performs it later.
func playLateLeave(s *site, trouble bool) (bool, error) {
	s.addEndpoints("ledger", 3, false)
	if err := s.configure(quotaConfiguration()); err != nil {
		return false, err
	}
	for n := range quotaFronts {
		front, err := s.addFront(fmt.Sprintf("front-riga-a-%d", n+1))
		if err != nil {
			return false, err
		}
		if trouble {
			front.lose = loseFirstLeave(s, front.name)
		}
	}
	for _, front := range s.fronts {
		if err := front.awaitReady(); err != nil {
			return false, err
		}
	}
	stop, sent := s.sendOfTenants()
	time.Sleep(warmTime)
	for _, front := range s.fronts[:1] {
		if err := s.roll(front); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	close(stop)
	return s.judgeQuotas(<-sent), nil
}

// roll stops an instance as planned and starts it again.
func (s *site) roll(front *front) error {
	s.record.add("%s gets SIGTERM", front.name)
	if err := front.terminate(); err != nil {
		return err
	}
	s.record.add("%s has ended", front.name)
	time.Sleep(restartDelay)
	if err := front.start(); err != nil {
		return err
	}
	err := front.awaitReady()
	s.record.add("%s is ready again", front.name)
	return err
}

// loseFirstLeave returns a function for front.lose that selects the first write which
// removes the instance's row.
func loseFirstLeave(s *site, name string) func(body []byte) (time.Duration, bool) {
	var mu sync.Mutex
	isLost := false
	return func(body []byte) (time.Duration, bool) {
		var transaction struct {
			Remove []struct{ Table, Key string } `json:"remove"`
		}
		if json.NewDecoder(bytes.NewReader(body)).Decode(&transaction) != nil {
			return 0, false
		}
		mu.Lock()
		defer mu.Unlock()
		for _, row := range transaction.Remove {
			if !isLost && row.Key == name {
				isLost = true
				s.record.add("the store does not answer a write of %s that removes %s/%s, and performs it in %v", name, row.Table, row.Key, lateTime)
				time.AfterFunc(lateTime, func() { s.record.add("the store performs it") })
				return lateTime, true
			}
		}
		return 0, false
	}
}

// quotaConfiguration returns a configuration with the tenants and one route.
func quotaConfiguration() map[string]any {
	var tenants []map[string]any
	for n := range quotaTenants {
		tenants = append(tenants, map[string]any{"name": tenantName(n), "api-keys": []string{tenantKey(n)}, "rate-per-s": quotaRate, "burst": quotaBurst})
	}
	return map[string]any{
		"version":  7,
		"routes":   []map[string]any{{"name": "r-ledger", "host": "ficu95.example", "path-prefix": "/pule252/", "kind": "non_idempotent", "timeout-ms": 3000, "slo-ms": 500, "priority": 2, "backend": "ledger", "attempts": 1}},
		"services": []map[string]any{{"name": "ledger", "health-path": "/health", "max-conns": 100}},
		"tenants":  tenants,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

func tenantName(n int) string { return fmt.Sprintf("tenant-%d", n) }

func tenantKey(n int) string { return fmt.Sprintf("key-%d-5c1e07a2", n) }

// sendOfTenants sends requests of all tenants through all instances until stop is closed,
// and then returns them on sent. An instance that is not ready gets none.
func (s *site) sendOfTenants() (stop chan struct{}, sent chan []*sending) {
	stop, sent = make(chan struct{}), make(chan []*sending, 1)
	var mu sync.Mutex
	var all []*sending
	var senders sync.WaitGroup
	for n := range quotaTenants {
		for f, front := range s.fronts {
			senders.Go(func() {
				ticker := time.NewTicker(sendInterval)
				defer ticker.Stop()
				var pending sync.WaitGroup
				defer pending.Wait()
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					one := &sending{id: fmt.Sprintf("%d%d%06d", n, f, number), tenant: tenantName(n), front: front.name}
					pending.Go(func() {
						if !front.isReady() {
							return
						}
						one.sentAt = time.Now()
						one.answer = send(front.callers, "ficu95.example", "/pule252/2f", map[string]string{"X-Request-Id": one.id, "Api-Key": tenantKey(n)}, []byte("entry"))
						mu.Lock()
						defer mu.Unlock()
						all = append(all, one)
					})
				}
			})
		}
	}
	go func() {
		senders.Wait()
		sent <- all
	}()
	return stop, sent
}

// judgeQuotas reports whether a tenant had more requests run in a window than its quota allows.
func (s *site) judgeQuotas(all []*sending) bool {
	limit := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack)
	runs := map[string]platformtest.ReceivedRequest{}
	for _, endpoint := range s.endpoints {
		for _, run := range endpoint.ReceivedRequests() {
			runs[run.ID] = run
		}
	}
	slices.SortFunc(all, func(a, b *sending) int { return a.sentAt.Compare(b.sentAt) })
	byTenant := map[string][]*sending{}
	for _, one := range all {
		run, hasRun := runs[one.id]
		text := "not run"
		if hasRun {
			text = fmt.Sprintf("run %v later", run.At.Sub(one.sentAt).Round(time.Millisecond))
			byTenant[one.tenant] = append(byTenant[one.tenant], one)
		}
		s.record.addAt(one.sentAt, "%s %s to %s: status %d, %s", one.tenant, one.id, one.front, one.answer.status, text)
	}
	isBroken := false
	for n := range quotaTenants {
		sendings := byTenant[tenantName(n)]
		most, at := 0, time.Time{}
		for first := range sendings {
			end, count := sendings[first].sentAt.Add(quotaWindow), 0
			for _, one := range sendings[first:] {
				if !runs[one.id].At.After(end) {
					count++
				}
			}
			if count > most {
				most, at = count, sendings[first].sentAt
			}
		}
		s.record.addAt(at, "most requests of %s sent and run in %v from here: %d, limit %d", tenantName(n), quotaWindow, most, limit)
		isBroken = isBroken || most > limit
	}
	return isBroken
}
