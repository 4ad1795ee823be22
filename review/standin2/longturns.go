//go:build review

package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longFronts = 2
	// earlierTurns is the number of turns of a conversation before its last one, and
	// turnBytes the size of the body of each, below max-body-bytes.
	earlierTurns = 5
	turnBytes    = 3_000_000
	// conversations is the number of conversations, all of which go on in a burst at once, and
	// usualCallers the number of them that go on at the same time otherwise.
	conversations = 8
	usualCallers  = 1
	longRounds    = 5
	// longPause is the time between two rounds.
	longPause = 4 * time.Second
	// ledgerInterval is the time between two short requests to an instance, and ledgerWork the
	// time that an endpoint takes for one.
	ledgerInterval = 20 * time.Millisecond
	ledgerWork     = 100 * time.Millisecond
	// memoryPoll is the time between two looks at the memory of a process.
	memoryPoll = 2 * time.Millisecond
)

// playLongTurns has callers continue conversations of which each turn is within the limits that
// the configuration sets. With trouble they come in bursts. The processes are killed if they
// exceed their memory, and started again.
func playLongTurns(s *site, trouble bool) (bool, error) {
	s.addEndpoints("model", 3, true)
	s.addEndpoints("ledger", 2, false)
	for _, endpoint := range s.endpoints {
		if !endpoint.Stream {
			endpoint.EventDelay = ledgerWork
		}
	}
	if err := s.configure(longConfiguration()); err != nil {
		return false, err
	}
	for n := range longFronts {
		if _, err := s.addFront(fmt.Sprintf("front-riga-a-%d", n+1)); err != nil {
			return false, err
		}
	}
	for _, front := range s.fronts {
		if err := front.awaitReady(); err != nil {
			return false, err
		}
	}
	guard := s.guardMemory()
	body, err := longBody()
	if err != nil {
		return false, err
	}
	last := make([]string, conversations)
	for turn := range earlierTurns {
		for n := range last {
			id := fmt.Sprintf("c%d-t%d", n, turn)
			if got := s.sendTurn(s.fronts[turn%longFronts], n, id, last[n], body); got.status != 200 {
				guard.stop()
				return false, fmt.Errorf("turn %s before the burst: status %d, %w", id, got.status, got.err)
			}
			last[n] = id
		}
	}
	guard.note("before the rounds")
	for round := range longRounds {
		s.playRound(round, last, body, trouble)
		guard.note(fmt.Sprintf("round %d", round+1))
		time.Sleep(longPause)
	}
	guard.stop()
	return guard.judge(), nil
}

// playRound continues the conversations through each instance, beside short requests.
func (s *site) playRound(round int, last []string, body []byte, trouble bool) {
	var groups sync.WaitGroup
	for f, front := range s.fronts {
		ledger := s.sendLedger(front, fmt.Sprintf("r%df%d", round, f))
		groups.Go(func() {
			defer ledger()
			atOnce := usualCallers
			if trouble {
				atOnce = conversations
			}
			places := make(chan struct{}, atOnce)
			var turns sync.WaitGroup
			for n := range last {
				places <- struct{}{}
				turns.Go(func() {
					defer func() { <-places }()
					s.sendTurn(front, n, fmt.Sprintf("c%d-r%df%d", n, round, f), last[n], body)
				})
			}
			turns.Wait()
		})
	}
	groups.Wait()
}

// sendTurn sends a turn of conversation n.
func (s *site) sendTurn(front *front, n int, id, previous string, body []byte) answer {
	header := map[string]string{"X-Request-Id": id, "X-Program": fmt.Sprintf("3fa8%02d", n), "X-Session": fmt.Sprintf("77d2%02d", n), "X-Finish-Ms": "60000",
		"X-Token-Budget": "100000", "X-Token-Count": "1680,81", "X-Model": "m"}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	sentAt := time.Now()
	got := send(front.callers, "ficu95.example", "/lohu930/4b", header, body)
	s.record.addAt(sentAt, "turn %s after %q to %s, %d bytes: status %d after %v, %s", id, previous, front.name, len(body), got.status, time.Since(sentAt).Round(time.Millisecond), got.describe())
	return got
}

// sendLedger sends short requests, which may run once at most, to the instance until the returned
// function is called. It records those without an answer, and whether they have run.
func (s *site) sendLedger(front *front, prefix string) (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		ticker := time.NewTicker(ledgerInterval)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("%s-%05d", prefix, number)
			all.Go(func() {
				sentAt := time.Now()
				got := send(front.callers, "ficu95.example", "/pule252/2f", map[string]string{"X-Request-Id": id}, []byte("entry"))
				s.record.addAt(sentAt, "request %s to %s: status %d, run %t, %s", id, front.name, got.status, s.hasRun(id), got.describe())
			})
		}
	})
	return func() {
		close(ended)
		all.Wait()
	}
}

// hasRun reports whether an endpoint has run the request.
func (s *site) hasRun(id string) bool {
	for _, endpoint := range s.endpoints {
		for _, run := range endpoint.ReceivedRequests() {
			if run.ID == id {
				return true
			}
		}
	}
	return false
}

// longConfiguration returns a configuration with a retained route and one of a plain service.
func longConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-voyage", "host": "ficu95.example", "path-prefix": "/lohu930/", "kind": "stream", "timeout-ms": 3000, "slo-ms": 200, "gap-aim-ms": 200, "priority": 1, "backend": "model", "attempts": 1, "retain": true, "retain-s": 60.0, "sticky": true, "resumable": false},
			{"name": "r-ledger", "host": "ficu95.example", "path-prefix": "/pule252/", "kind": "non_idempotent", "timeout-ms": 3000, "slo-ms": 500, "priority": 2, "backend": "ledger", "attempts": 1},
		},
		"services": []map[string]any{
			{"name": "model", "health-path": "/health", "max-conns": 150, "engine": map[string]any{"slots": 12, "kv-capacity": 413343, "chunk-tokens": 27}},
			{"name": "ledger", "health-path": "/health", "max-conns": 100},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// longBody returns the input of a turn, such as one that holds a picture.
func longBody() ([]byte, error) {
	raw := make([]byte, turnBytes*3/4)
	_, err := rand.Read(raw)
	return []byte(base64.StdEncoding.EncodeToString(raw)), err
}

// memoryGuard kills processes that exceed their memory, as the platform does.
type memoryGuard struct {
	site    *site
	ended   chan struct{}
	guards  sync.WaitGroup
	highest []atomic.Int64 // bytes, by instance, since the last note
	kills   []atomic.Int64
}

// guardMemory begins to watch the memory of all instances.
func (s *site) guardMemory() *memoryGuard {
	guard := &memoryGuard{site: s, ended: make(chan struct{}), highest: make([]atomic.Int64, len(s.fronts)), kills: make([]atomic.Int64, len(s.fronts))}
	for n, front := range s.fronts {
		guard.guards.Go(func() { guard.watch(n, front) })
	}
	return guard
}

// watch watches the memory of one instance.
func (guard *memoryGuard) watch(n int, front *front) {
	ticker := time.NewTicker(memoryPoll)
	defer ticker.Stop()
	for {
		select {
		case <-guard.ended:
			return
		case <-ticker.C:
		}
		used := anonymousMemory(front.cmd.Process.Pid)
		guard.highest[n].Store(max(guard.highest[n].Load(), used))
		if used <= memoryMB<<20 {
			continue
		}
		front.kill()
		guard.kills[n].Add(1)
		guard.site.record.add("%s holds %d MB, more than its limit of %d MB, and is killed", front.name, used>>20, memoryMB)
		time.Sleep(restartDelay)
		if err := front.start(); err != nil {
			guard.site.record.add("%s does not start: %v", front.name, err)
			return
		}
	}
}

// anonymousMemory returns the memory of a process without that of mapped files, in bytes, and 0 if
// it has ended.
func anonymousMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// note records the memory since the last note.
func (guard *memoryGuard) note(when string) {
	for n, front := range guard.site.fronts {
		guard.site.record.add("%s: %s held up to %d MB", when, front.name, guard.highest[n].Swap(0)>>20)
	}
}

// stop ends the watch.
func (guard *memoryGuard) stop() {
	close(guard.ended)
	guard.guards.Wait()
}

// judge reports whether processes ended by themselves three times on two machines at least.
func (guard *memoryGuard) judge() bool {
	const machines, ends = 2, 3
	broken := 0
	for n, front := range guard.site.fronts {
		kills := guard.kills[n].Load()
		guard.site.record.add("%s ended by itself %d times", front.name, kills)
		if kills >= ends {
			broken++
		}
	}
	return broken >= machines
}
