package workload

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/wagtaildrum/wagtaildrum/caller"
)

// maxRetries is the maximum number of retries of a rejected call.
const maxRetries = 20

// Exchange is a call of a program with its final response. If the program
// could not be created, the Exchange has no call, and Error holds the reason.
type Exchange struct {
	Program  string              `json:"program"`
	Sequence uint64              `json:"sequence"`
	Request  caller.Call         `json:"request"`
	Status   int                 `json:"status"`
	Response *caller.Response    `json:"answer,omitempty"`
	Error    *caller.ErrorDetail `json:"error,omitempty"`
	Retries  int                 `json:"retries,omitempty"`
}

// Outcome summarises the run of a program: the number of calls, the number of
// failures, and the program's state after its last call.
type Outcome struct {
	Program string              `json:"program"`
	Calls   int                 `json:"calls"`
	Failed  int                 `json:"failed"`
	Final   caller.ProgramState `json:"final"`
	// Latency is the time from the request that creates the program to the
	// end of its last call and its spawned programs.
	Latency time.Duration `json:"-"`
}

// Session is the record of the run of a script. Its exchanges are ordered by
// program and sequence number, its outcomes by program.
type Session struct {
	Script    string     `json:"script"`
	Exchanges []Exchange `json:"entries"`
	Outcomes  []Outcome  `json:"outcomes"`
}

// Player runs scripts against an entry instance. It runs one script at a
// time.
type Player struct {
	client *sling.Sling
	// mu guards session, which is the record of the current run.
	mu      sync.Mutex
	session *Session
}

// NewPlayer returns a Player for the entry instance at baseURL.
func NewPlayer(baseURL string) *Player {
	return &Player{client: sling.New().Client(&http.Client{Timeout: 60 * time.Second}).Base(baseURL)}
}

// Play runs the programs of s concurrently, spawned programs from the step
// that spawns them, and returns the ordered session once all have ended.
// Failed calls are recorded in the session.
func (pl *Player) Play(ctx context.Context, s *Script) *Session {
	pl.session = &Session{Script: s.Name}
	var wg sync.WaitGroup
	for i := range s.Programs {
		if !s.Programs[i].Spawned {
			wg.Go(func() { pl.runProgram(ctx, s, &s.Programs[i]) })
		}
	}
	wg.Wait()
	slices.SortFunc(pl.session.Exchanges, func(a, b Exchange) int {
		if c := strings.Compare(a.Program, b.Program); c != 0 {
			return c
		}
		return int(a.Sequence) - int(b.Sequence)
	})
	slices.SortFunc(pl.session.Outcomes, func(a, b Outcome) int { return strings.Compare(a.Program, b.Program) })
	return pl.session
}

// recordExchange appends e to the session.
func (pl *Player) recordExchange(e Exchange) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.session.Exchanges = append(pl.session.Exchanges, e)
}

// runProgram creates program p of script s, makes its calls in order, waits
// for the programs it spawned, and deletes it. It makes no further calls
// after an unknown outcome or once the program is over budget.
func (pl *Player) runProgram(ctx context.Context, s *Script, p *Program) {
	start := time.Now()
	outcome := Outcome{Program: p.ID}
	request := caller.CreateProgramRequest{ID: p.ID, BudgetTokens: p.BudgetTokens, Urgency: p.Urgency, Deadline: p.Deadline, NonIdempotentTools: p.NonIdempotentTools}
	var state caller.ProgramState
	var errBody caller.ErrorBody
	resp, err := pl.client.New().Post("v1/programs").BodyJSON(request).Receive(&state, &errBody) //nolint:bodyclose // closed by sling
	if err != nil || resp.StatusCode != http.StatusCreated {
		pl.recordExchange(Exchange{Program: p.ID, Status: statusCode(resp), Error: &errBody.Error})
		outcome.Failed++
		pl.recordOutcome(outcome)
		return
	}
	var spawned sync.WaitGroup
	seq := uint64(0)
	for _, step := range p.Steps {
		if step.Kind == "spawn" {
			child := s.program(step.Program)
			spawned.Go(func() { pl.runProgram(ctx, s, child) })
			continue
		}
		seq++
		call := caller.Call{Sequence: seq, Kind: caller.CallKind(step.Kind), Model: step.Model, Content: step.Content,
			MaxTokens: step.MaxTokens, Tool: step.Tool}
		if step.Arguments != "" {
			call.Arguments = json.RawMessage(step.Arguments)
		}
		e := pl.call(ctx, p.ID, call)
		pl.recordExchange(e)
		outcome.Calls++
		if e.Error != nil {
			outcome.Failed++
			if e.Error.Type == caller.TypeOutcomeUnknown || e.Error.Type == caller.TypeOverBudget {
				break
			}
		}
	}
	spawned.Wait()
	outcome.Latency = time.Since(start)
	_, _ = pl.client.New().Get("v1/programs/"+p.ID).Receive(&outcome.Final, nil) //nolint:bodyclose // closed by sling
	_, _ = pl.client.New().Delete("v1/programs/"+p.ID).Receive(nil, nil)         //nolint:bodyclose // closed by sling
	pl.recordOutcome(outcome)
}

// recordOutcome appends o to the session.
func (pl *Player) recordOutcome(o Outcome) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.session.Outcomes = append(pl.session.Outcomes, o)
}

// call sends the call c of program id and returns the exchange. A response
// with a Retry-After header means that the call was not run, and call sends
// it again after that delay, at most maxRetries times.
func (pl *Player) call(ctx context.Context, id string, c caller.Call) Exchange {
	e := Exchange{Program: id, Sequence: c.Sequence, Request: c}
	for attempt := 0; ; attempt++ {
		var answer caller.Response
		var errBody caller.ErrorBody
		resp, err := pl.client.New().Post("v1/programs/"+id+"/calls").BodyJSON(c).Receive(&answer, &errBody) //nolint:bodyclose // closed by sling
		e.Status = statusCode(resp)
		if err == nil && e.Status == http.StatusOK {
			e.Response, e.Error = &answer, nil
			return e
		}
		e.Error = &errBody.Error
		delay := retryAfter(resp)
		if delay == 0 || attempt >= maxRetries || ctx.Err() != nil {
			return e
		}
		e.Retries++
		select {
		case <-ctx.Done():
			return e
		case <-time.After(delay):
		}
	}
}

// statusCode returns the status code of resp, or 0 if resp is nil.
func statusCode(resp *http.Response) int {
	if resp == nil {
		return 0
	}
	return resp.StatusCode
}

// retryAfter returns the delay in the Retry-After header of resp, or 0 if
// resp is nil or the header is missing or not a number of seconds.
func retryAfter(resp *http.Response) time.Duration {
	if resp == nil {
		return 0
	}
	secs, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(secs) * time.Second
}
