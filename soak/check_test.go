package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// maxRuns is how many endpoints may run one request of a resumable or
// idempotent kind: the attempts of the stand-ins' configuration.
const maxRuns = 2

// run is one request that an endpoint worked on.
type run struct {
	platformtest.ReceivedRequest
	endpoint string
	service  string
}

// runsByID returns what all endpoints worked on.
func (s *site) runsByID() map[string][]run {
	runs := map[string][]run{}
	for _, e := range s.all() {
		for _, r := range e.ReceivedRequests() {
			runs[r.ID] = append(runs[r.ID], run{ReceivedRequest: r, endpoint: e.ID, service: e.Service})
		}
	}
	return runs
}

// broken returns the promises that a run of the soak broke, as seen by
// callers and endpoints. planned tells that all faults were planned work,
// which cuts nothing off.
func (book *book) broken(runs map[string][]run, planned bool) []string {
	book.mu.Lock()
	defer book.mu.Unlock()
	var broken []string
	tell := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for id, of := range runs {
		a := book.attempts[id]
		if a == nil {
			tell("unasked: endpoint %s ran %q, which no caller sent", of[0].endpoint, id)
			continue
		}
		a.checkRuns(of, tell)
	}
	handed, bounds := map[string]int64{}, map[string]int64{}
	for id, a := range book.attempts {
		a.checkAnswer(runs[id], tell)
		gone := a.status == http.StatusNotFound || a.status == http.StatusGone
		if a.previous != "" && gone && book.attempts[a.previous].whole {
			tell("lost: %s was told by %d that its turn %s does not exist, which was answered whole", id, a.status, a.previous)
		}
		if a.kind.isTurn() {
			handed[a.program] += int64(len(a.events)) * eventTokens
			bounds[a.program] = a.budget + a.most
		}
		if planned && a.err != nil && len(runs[id]) > 0 {
			tell("cut: %s at %s was cut off by planned work: %v", id, a.front, a.err)
		}
		if waited := a.done.Sub(a.sent); waited > a.kind.deadline()+answerSlack/2 && planned {
			tell("held: %s had no answer for %s", id, waited)
		}
	}
	for program, tokens := range handed {
		if tokens > bounds[program] {
			tell("budget: program %s was handed %d tokens, where its budget and a turn's most are %d", program, tokens, bounds[program])
		}
	}
	return broken
}

// checkRuns checks what endpoints ran of an attempt.
func (a *attempt) checkRuns(runs []run, tell func(string, ...any)) {
	most := 1
	if a.kind == kindChat || a.kind == kindLook {
		most = maxRuns
	}
	if len(runs) > most {
		tell("twice: %s (%s) ran %d times", a.id, a.kind, len(runs))
	}
	if a.status >= 400 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout && a.stamp == "" {
		tell("refused: %s (%s) was answered %d and ran at %s", a.id, a.kind, a.status, runs[0].endpoint)
	}
	for _, r := range runs {
		// A public route needs no key: an old one names nobody there.
		named := r.Organisation == a.organisation || a.kind == kindLook && r.Organisation == ""
		if !named || r.Key != "" || a.key == unknownKey {
			tell("key: %s of %q ran at %s for %q, key shown %q", a.id, a.organisation, r.endpoint, r.Organisation, r.Key)
		}
		if r.Body != a.prompt {
			tell("mixed: %s got the prompt %q at %s, not %q", a.id, r.Body, r.endpoint, a.prompt)
		}
		if (r.service == "model") != a.kind.isTurn() {
			tell("route: %s (%s) ran at %s of service %s", a.id, a.kind, r.endpoint, r.service)
		}
	}
}

// checkAnswer checks what an attempt was answered.
func (a *attempt) checkAnswer(runs []run, tell func(string, ...any)) {
	for i, event := range a.events {
		if want := platformtest.Data(a.id, i+1); string(event.Data) != want {
			tell("order: event %d of %s is %q", i+1, a.id, event.Data)
		}
	}
	if a.status != http.StatusOK || !a.whole {
		return
	}
	if len(runs) == 0 {
		tell("mixed: %s was answered, and nobody ran it", a.id)
	}
	if a.stamp != "stamp."+a.id {
		tell("mixed: %s bears the signature %q", a.id, a.stamp)
	}
	if a.kind.isTurn() && len(a.events) != 3 {
		tell("order: %s ended as complete after %d events", a.id, len(a.events))
	}
	if !a.kind.isTurn() && a.answer != "answer to "+a.id {
		tell("mixed: %s was answered %q", a.id, a.answer)
	}
}

// summary tells how attempts ended.
func (book *book) summary() string {
	book.mu.Lock()
	defer book.mu.Unlock()
	ends := map[string]int{}
	for _, a := range book.attempts {
		end := fmt.Sprint(a.status)
		switch {
		case a.refused:
			end = "no connection"
		case a.err != nil:
			end = "cut"
		}
		ends[string(a.kind)+" "+end]++
	}
	var lines []string
	for end, n := range ends {
		lines = append(lines, fmt.Sprintf("%s: %d", end, n))
	}
	return strings.Join(lines, ", ")
}
