package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/eventstream"
)

// Figures of the callers' programs; those of the stand-ins' configuration.
const (
	eventTokens  = 27
	mostTokens   = 567
	usualBudget  = 9000
	loopBudget   = 2000
	turnDeadline = 3 * time.Second
	callDeadline = 2 * time.Second
	// answerSlack after its deadline a request must have been answered.
	answerSlack = 1500 * time.Millisecond
)

// kind is a kind of request, named as the path that it goes to.
type kind string

const (
	kindKeep kind = "keep" // a retained turn
	kindChat kind = "chat" // a turn that may be resumed
	kindLook kind = "look" // idempotent
	kindPost kind = "post" // not idempotent
)

func (k kind) isTurn() bool { return k == kindKeep || k == kindChat }

func (k kind) deadline() time.Duration {
	if k.isTurn() {
		return turnDeadline
	}
	return callDeadline
}

// attempt is one request as its caller saw it end.
type attempt struct {
	id, program, previous string
	kind                  kind
	front                 string
	// body is what was sent, prompt what an endpoint must get.
	body, prompt string
	budget       int64
	// route is the first part of the path, "" for that of the kind, and path what
	// follows, "" for the usual one.
	route, path string
	// organisation is the caller's, "" for none; key is what it shows, if not the
	// organisation's present one.
	organisation, key string
	// most is what a turn may generate.
	most int64
	// resumes is the attempt that began the stream which this one resumes, "" for a
	// new stream; lastEvent is the ID of the last event received of it.
	resumes, lastEvent string
	// status is 0 if no answer came; whole tells that it ended as it should.
	status int
	whole  bool
	stamp  string
	answer string
	events []eventstream.Event
	// refused: the connection was not made, so nothing was sent.
	refused    bool
	err        error
	sent, done time.Time
}

// book holds all attempts of a run.
type book struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	last     int
}

func (book *book) open(a *attempt) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.last++
	a.id = fmt.Sprintf("r%06d", book.last)
	a.sent = time.Now()
	book.attempts[a.id] = a
}

// caller plays programs against the fronts.
type caller struct {
	site   *site
	book   *book
	rng    *rand.Rand
	client *http.Client
	front  *front
	// organisation is "" on a site without any.
	organisation string
}

func newCaller(s *site, b *book, seed, n uint64) *caller {
	c := &caller{site: s, book: b, rng: rand.New(rand.NewPCG(seed, 100+n)), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
	if s.organisations {
		c.organisation = organisationNames[n%uint64(len(organisationNames))]
	}
	c.move()
	return c
}

// move goes on at another front, as the balancer sends a new connection.
func (caller *caller) move() {
	caller.front = caller.site.fronts[caller.rng.IntN(len(caller.site.fronts))]
}

// play plays programs until ctx ends, and keeps its connections open.
func (caller *caller) play(ctx context.Context, n int) {
	for round := 0; ctx.Err() == nil; round++ {
		if caller.organisation != "" {
			caller.showUnknownKey(ctx)
		}
		program := fmt.Sprintf("p%d-%d", n, round)
		switch draw := caller.rng.IntN(10); {
		case draw < 5:
			caller.converse(ctx, program, kindKeep, usualBudget, 3+caller.rng.IntN(3))
		case draw < 9:
			caller.converse(ctx, program, kindChat, usualBudget, 4+caller.rng.IntN(6))
		default:
			caller.converse(ctx, program, kindChat, loopBudget, 200)
		}
	}
	caller.client.CloseIdleConnections()
}

// converse plays one program: turns, and calls of tools between them.
func (caller *caller) converse(ctx context.Context, program string, k kind, budget int64, turns int) {
	var previous *attempt
	for turn := 0; turn < turns && ctx.Err() == nil; turn++ {
		a := caller.turn(ctx, program, k, budget, turn, previous)
		if a == nil {
			return
		}
		previous = a
		if caller.rng.IntN(3) == 0 {
			caller.call(ctx, program, kindLook)
		}
		if caller.rng.IntN(3) == 0 {
			caller.call(ctx, program, kindPost)
		}
		if caller.rng.IntN(8) == 0 {
			caller.move()
		}
	}
}

// turn sends a turn, at most three times from its start, and returns the
// attempt that was answered whole.
func (caller *caller) turn(ctx context.Context, program string, k kind, budget int64, number int, previous *attempt) *attempt {
	for range 3 {
		a := newTurn(program, k, budget, number, previous)
		caller.send(ctx, a)
		switch {
		case a.status == http.StatusOK && a.whole:
			return a
		case a.status >= 400 && a.status < 429:
			return nil
		}
		caller.move()
		caller.sleep(ctx, time.Duration(100+caller.rng.IntN(300))*time.Millisecond)
	}
	return nil
}

// newTurn returns a turn that is not sent yet, after previous if that is not
// nil.
func newTurn(program string, k kind, budget int64, number int, previous *attempt) *attempt {
	a := &attempt{program: program, kind: k, budget: budget, most: mostTokens, body: fmt.Sprintf("input %d of %s. ", number, program)}
	a.prompt = a.body
	if previous != nil {
		a.organisation = previous.organisation
	}
	if k == kindKeep && previous != nil {
		a.previous, a.prompt = previous.id, previous.history()+a.body
	}
	return a
}

// history is what a turn that continues a has before its own input.
func (a *attempt) history() string {
	var text strings.Builder
	text.WriteString(a.prompt)
	for _, event := range a.events {
		text.Write(event.Data)
		text.WriteByte('\n')
	}
	return text.String()
}

// call sends a tool's call, once more if that is allowed.
func (caller *caller) call(ctx context.Context, program string, k kind) {
	for range 2 {
		a := &attempt{program: program, kind: k, body: "x", prompt: "x"}
		if k == kindLook {
			a.body, a.prompt = "", ""
		}
		caller.send(ctx, a)
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.refused
		if a.status == http.StatusOK && a.whole || k == kindPost && !promised {
			return
		}
		caller.move()
		caller.sleep(ctx, 100*time.Millisecond)
	}
}

func (caller *caller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// send sends one attempt and notes how it ended. The end of the run does not
// cut it off.
func (caller *caller) send(ctx context.Context, a *attempt) {
	if a.organisation == "" {
		a.organisation = caller.organisation
	}
	caller.book.open(a)
	defer func() { a.done = time.Now() }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.kind.deadline()+answerSlack)
	defer cancel()
	a.front = caller.front.Name
	method := http.MethodPost
	if a.kind == kindLook {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+caller.front.Callers+"/"+cmp.Or(a.route, string(a.kind))+"/"+cmp.Or(a.path, "x"), strings.NewReader(a.body))
	if err != nil {
		a.err = err
		return
	}
	if a.body == "" {
		r.Body, r.ContentLength, r.GetBody = nil, 0, nil
	}
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.kind.deadline().Milliseconds(), 10))
	r.Header.Set("X-Program", a.program)
	r.Header.Set("X-Session", a.program)
	r.Header.Set("X-Finish-Ms", "2500")
	if a.kind.isTurn() {
		r.Header.Set("X-Token-Budget", strconv.FormatInt(a.budget, 10))
		r.Header.Set("X-Token-Count", "100,"+strconv.FormatInt(a.most, 10))
		r.Header.Set("X-Prompt-Prefix", "5ea:12600,"+a.program+":1000")
	}
	if a.organisation != "" {
		r.Header.Set("Api-Key", caller.site.keyOf(a))
	}
	if a.resumes != "" {
		r.Header.Set("Resumes", a.resumes)
	}
	if a.lastEvent != "" {
		r.Header.Set("Last-Event-Id", a.lastEvent)
	}
	if a.previous != "" {
		r.Header.Set("X-Previous-Turn", a.previous)
	}
	response, err := caller.client.Do(r)
	if err != nil {
		a.err, a.refused = err, strings.Contains(err.Error(), "connection refused")
		return
	}
	defer func() { _ = response.Body.Close() }() // read to its end, or broken
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	caller.read(a, response.Body)
}

// read reads an answer; whole if it ended as it should.
func (caller *caller) read(a *attempt, body io.Reader) {
	if !a.kind.isTurn() || a.status != http.StatusOK {
		data, err := io.ReadAll(body)
		a.answer, a.err, a.whole = string(data), err, err == nil
		return
	}
	reader := eventstream.NewReader(body)
	for {
		event, err := reader.Next()
		if err == io.EOF {
			a.whole = true
			return
		}
		if err != nil {
			a.err = err
			return
		}
		a.events = append(a.events, event)
	}
}
