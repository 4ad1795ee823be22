//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The programs of the case. Their budget and the most that a turn may generate are those
// of a turn on the users' pages: a budget of eight turns at their most.
const (
	programBudget = 4536
	turnMost      = 567
	chunkTokens   = 27
	budgetEvents  = 20 // of a turn, 540 tokens
	budgetPause   = 20 * time.Millisecond
	programTurns  = 8
	programs      = 24
	// programAim is the time in which a program should be finished: 2.5 times its time
	// on idle engines.
	programAim = 8 * time.Second
	// turnDeadline is the deadline of an attempt. A turn is sent turnSends times at most,
	// each with a first attempt and a retry.
	turnDeadline = 4 * time.Second
	turnSends    = 3
	turnAttempts = 2
	// settledAfter is the time from the replacement of the machine to the first program,
	// which is longer than contact-ms.
	settledAfter = 8 * time.Second
	// lostTries is the number of tries from which a turn that reaches no engine is lost.
	lostTries = 5
)

func init() {
	cases["held-budget"] = heldBudget
	cases["spent-budget"] = spentBudget
}

// budgetRuns counts the turns that engines run.
type budgetRuns struct {
	mu      sync.Mutex
	reached map[string]bool
	running atomic.Int64
	busiest atomic.Int64
}

// heldBudget removes one of three instances for good and puts another one in its place.
// Afterwards it plays programs whose turns name the turn before. It returns the number of
// turns that were sent at least lostTries times within their program's aim and reached no
// engine, although the program's budget holds them.
func heldBudget(s *site, trouble bool) (int, error) {
	lost, _, err := playLoss(s, trouble, func(entries []*entry) error {
		replacement, err := s.addEntry("front-ist-a-3", "ist-a")
		entries[0] = replacement
		return err
	})
	return lost, err
}

// spentBudget kills one of three instances and starts it again, and plays the same
// programs. It returns the number of turns that were answered 402 although the program's
// budget holds them. It is no case of the review, but a variant of the first.
func spentBudget(s *site, trouble bool) (int, error) {
	_, denied, err := playLoss(s, trouble, func(entries []*entry) error {
		if err := entries[0].start(); err != nil {
			return err
		}
		return entries[0].awaitReady()
	})
	return denied, err
}

// playLoss starts three instances and, unless trouble is unset, kills the first of them and
// calls restore 2 s later. Then it plays the programs.
func playLoss(s *site, trouble bool, restore func(entries []*entry) error) (lost, denied int, err error) {
	if err := s.configure(streamRoute(4000, true, false)); err != nil {
		return 0, 0, err
	}
	runs := &budgetRuns{reached: map[string]bool{}}
	for i, zone := range []string{"ist-a", "ist-b", "ist-c"} {
		e := &engine{site: s, id: fmt.Sprintf("i-taslak-%d", i), events: budgetEvents, pause: budgetPause}
		e.received = func(engine, request, previous, _, _ string) {
			s.record.printf("engine %s: runs request %s, X-Previous-Turn %q", engine, request, previous)
			runs.mu.Lock()
			runs.reached[request] = true
			runs.mu.Unlock()
			runs.busiest.Store(max(runs.busiest.Load(), runs.running.Add(1)))
		}
		e.ended = func(engine, request string, written int, isWhole bool) {
			runs.running.Add(-1)
			s.record.printf("engine %s: request %s ended after %d events, to its end %v", engine, request, written, isWhole)
		}
		if _, err := s.addServer(e.id, "taslak", zone, 64, e.ServeHTTP); err != nil {
			return 0, 0, err
		}
	}
	var entries []*entry
	for _, zone := range []string{"ist-a", "ist-b", "ist-c"} {
		e, err := s.addEntry("front-"+zone+"-1", zone)
		if err != nil {
			return 0, 0, err
		}
		entries = append(entries, e)
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	if trouble {
		entries[0].signal(syscall.SIGKILL)
		time.Sleep(2 * time.Second)
		if err := restore(entries); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(settledAfter)
	return playPrograms(s, runs, entries)
}

// playPrograms plays the programs and returns the numbers of turns that were lost, and of
// those that were told that the budget is spent although it is not.
func playPrograms(s *site, runs *budgetRuns, entries []*entry) (lostTurns, deniedTurns int, err error) {
	var lost, denied, finished, firstTurns, firstServed atomic.Int64
	var running sync.WaitGroup
	for n := range programs {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			p := &budgetProgram{site: s, runs: runs, entries: entries, id: fmt.Sprintf("%08x", rand.Uint32()), began: time.Now()}
			for turn := 1; turn <= programTurns; turn++ {
				tries, status := p.take(turn)
				served := status == http.StatusOK
				if turn == 1 {
					firstTurns.Add(1)
				}
				if served {
					if turn == 1 {
						firstServed.Add(1)
					}
					continue
				}
				if status == http.StatusPaymentRequired && p.spent+turnMost <= programBudget {
					denied.Add(1)
				}
				if turn > 1 && tries >= lostTries && p.spent+turnMost <= programBudget {
					lost.Add(1)
					s.record.printf("program %s: turn %d reached no engine in %d tries within the program's aim; it names a turn that was answered whole; %d of %d tokens are spent and it generates %d at most", p.id, turn, tries, p.spent, programBudget, turnMost)
				}
				return
			}
			finished.Add(1)
		})
	}
	running.Wait()
	s.record.printf("programs: %d finished, %d lost a turn, %d were told that their budget is spent although it holds the turn; first turns served %d of %d; most requests at the engines at a time: %d of %d slots", finished.Load(), lost.Load(), denied.Load(), firstServed.Load(), firstTurns.Load(), runs.busiest.Load(), 3*64)
	if firstServed.Load()*10 < firstTurns.Load()*9 || runs.busiest.Load() >= 3*64/2 {
		return 0, 0, fmt.Errorf("first turns were not served, or engines were half full")
	}
	return int(lost.Load()), int(denied.Load()), nil
}

// budgetProgram is a program with one line of turns. spent is the number of tokens handed
// to it, in all attempts.
type budgetProgram struct {
	site     *site
	runs     *budgetRuns
	entries  []*entry
	id       string
	began    time.Time
	previous string
	spent    int
}

// take sends a turn until it is answered whole, as often as a program does, and returns
// the number of tries within the program's aim that reached no engine and the last status.
func (p *budgetProgram) take(turn int) (tries, status int) {
	for send := range turnSends {
		if send > 0 {
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		until := time.Now().Add(turnDeadline)
		for attempt := range turnAttempts {
			request := fmt.Sprintf("%s%02d%02d%04x", p.id, turn, send*turnAttempts+attempt, rand.Uint32()&0xffff)
			var retryAfter time.Duration
			var err error
			status, retryAfter, err = p.attempt(request, turn, until)
			if err == nil && status == http.StatusOK {
				p.previous = request
				return 0, status
			}
			p.runs.mu.Lock()
			reached := p.runs.reached[request]
			p.runs.mu.Unlock()
			if !reached && time.Since(p.began) < programAim {
				tries++
			}
			if status == http.StatusPaymentRequired || status == http.StatusNotFound {
				return tries, status
			}
			time.Sleep(min(retryAfter, time.Until(until)/3))
		}
	}
	return tries, status
}

// attempt sends one attempt at a turn to an instance at random, on a new connection.
func (p *budgetProgram) attempt(request string, turn int, until time.Time) (status int, retryAfter time.Duration, err error) {
	e := p.entries[rand.IntN(len(p.entries))]
	c := &client{address: e.callers}
	defer c.close()
	header := map[string]string{"X-Request-Id": request, "X-Model": "m", "X-Deadline-Ms": strconv.FormatInt(time.Until(until).Milliseconds(), 10), "X-Program": p.id, "X-Session": p.id + "1",
		"X-Finish-Ms":    strconv.FormatInt(max(time.Until(p.began.Add(programAim)).Milliseconds(), 1), 10),
		"X-Token-Budget": strconv.Itoa(programBudget), "X-Token-Count": fmt.Sprintf("%d,%d", 40*turn, turnMost), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:20,%s:%d", p.id, 40*turn)}
	if p.previous != "" {
		header["X-Previous-Turn"] = p.previous
	}
	p.site.record.printf("program %s: turn %d, request %s to %s, X-Previous-Turn %q", p.id, turn, request, e.name, p.previous)
	response, err := c.send(http.MethodPost, "/desk/a", header, fmt.Sprintf("input of turn %d\n", turn))
	if err != nil {
		p.site.record.printf("program %s: request %s: no answer: %v", p.id, request, err)
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()                             // read to its end below, or broken off
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // absent: 0
	events, _, err := readEvents(response.Body, func(int) {})
	if response.StatusCode == http.StatusOK {
		p.spent += len(events) * chunkTokens
	}
	p.site.record.printf("program %s: request %s: status %d, Retry-After %.3f, %d events, complete %v, %d tokens spent", p.id, request, response.StatusCode, seconds, len(events), err == nil, p.spent)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), err
}
