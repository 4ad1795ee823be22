//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	powerFronts = 3
	// escrowTime is the time in which the instances acquire what they hold of budgets, and
	// backTime that between the restart of all and the first program, above recover-s and
	// contact-ms.
	escrowTime = 8 * time.Second
	backTime   = 14 * time.Second
	// Each program has the budget and the most of a turn that the platform's page shows; each
	// of its turns generates powerEvents events of eventTokens each.
	powerPrograms = 24
	powerTurns    = 8
	programBudget = 4712
	mostOfTurn    = 589
	eventTokens   = 27
	powerEvents   = 20
	maxTries      = 6
	triesPause    = 300 * time.Millisecond
	// More than allowedDenials requests and one in denialShare break the rule.
	allowedDenials = 5
	denialShare    = 500
)

// playPowerLoss has programs take their turns through all instances. With trouble all instances
// were killed at once, and started again, before the programs begin.
func playPowerLoss(s *site, trouble bool) (bool, error) {
	s.addEndpoints("model", 4, true)
	for _, endpoint := range s.endpoints {
		endpoint.Events = powerEvents
	}
	if err := s.configure(longConfiguration()); err != nil {
		return false, err
	}
	for n := range powerFronts {
		if _, err := s.addFront(fmt.Sprintf("front-riga-a-%d", n+1)); err != nil {
			return false, err
		}
	}
	if err := s.awaitAll(); err != nil {
		return false, err
	}
	time.Sleep(escrowTime)
	if trouble {
		for _, front := range s.fronts {
			front.kill()
		}
		s.record.add("all instances lost power")
		time.Sleep(time.Second)
		for _, front := range s.fronts {
			if err := front.start(); err != nil {
				return false, err
			}
		}
		if err := s.awaitAll(); err != nil {
			return false, err
		}
		s.record.add("all instances are ready again")
	}
	time.Sleep(backTime)
	return s.judgeDenials(), nil
}

// awaitAll waits until all instances are ready.
func (s *site) awaitAll() error {
	for _, front := range s.fronts {
		if err := front.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// judgeDenials plays the programs and reports whether too many of their turns were answered 402
// though the budget held them.
func (s *site) judgeDenials() bool {
	var programs sync.WaitGroup
	var mu sync.Mutex
	requests, denied := 0, 0
	for program := range powerPrograms {
		programs.Go(func() {
			sent, wronged := s.playProgram(program)
			mu.Lock()
			defer mu.Unlock()
			requests, denied = requests+sent, denied+wronged
		})
	}
	programs.Wait()
	s.record.add("%d of %d requests were answered 402 though the budget held the turn", denied, requests)
	return float64(denied) > allowedDenials+float64(requests)/denialShare
}

// playProgram sends the turns of a program, each through another instance than the one before. It
// returns the number of requests, and of those that were answered 402 though the budget held the turn.
func (s *site) playProgram(program int) (requests, denied int) {
	previous, spent := "", 0
	for turn := range powerTurns {
		for try := range maxTries {
			id := fmt.Sprintf("p%02d-t%d-%d", program, turn, try)
			header := map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Program": fmt.Sprintf("3fa8%02d", program), "X-Session": "77d20b", "X-Finish-Ms": "15000",
				"X-Token-Budget": fmt.Sprint(programBudget), "X-Token-Count": fmt.Sprintf("1840,%d", mostOfTurn)}
			if previous != "" {
				header["X-Previous-Turn"] = previous
			}
			front := s.fronts[(program+turn+try)%len(s.fronts)]
			got := send(front.callers, "ficu95.example", "/lohu930/4b", header, []byte("turn"))
			requests++
			spent += eventTokens * strings.Count(string(got.body), "data: ")
			s.record.add("turn %d of program %d, %s to %s: status %d; the program was handed %d of %d tokens", turn+1, program, id, front.name, got.status, spent, programBudget)
			switch {
			case got.status == 402 && spent+mostOfTurn <= programBudget:
				return requests, denied + 1
			case got.status == 402:
				return requests, denied
			}
			if got.status == 200 {
				previous = id
				break
			}
			time.Sleep(triesPause)
		}
	}
	return requests, denied
}
