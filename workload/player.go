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

// maxRetries bounds how often the player sends a refused call again.
const maxRetries = 20

// Entry is one exchange of a session.
type Entry struct {
	Program  string              `json:"program"`
	Sequence uint64              `json:"sequence"`
	Request  caller.Call         `json:"request"`
	Status   int                 `json:"status"`
	Answer   *caller.Answer      `json:"answer,omitempty"`
	Error    *caller.ErrorDetail `json:"error,omitempty"`
	Retries  int                 `json:"retries,omitempty"`
}

// Outcome is how one program ended.
type Outcome struct {
	Program string              `json:"program"`
	Calls   int                 `json:"calls"`
	Failed  int                 `json:"failed"`
	Final   caller.ProgramState `json:"final"`
	// Latency is the whole program's time, first call to last answer.
	Latency time.Duration `json:"-"`
}

// Session is what playing a script recorded.
type Session struct {
	Script   string    `json:"script"`
	Entries  []Entry   `json:"entries"`
	Outcomes []Outcome `json:"outcomes"`
}

// Player plays scripts against the entry at a base URL.
type Player struct {
	api *sling.Sling
	mu  sync.Mutex
	ses *Session
}

// NewPlayer returns a player for the entry instance at baseURL.
func NewPlayer(baseURL string) *Player {
	return &Player{api: sling.New().Client(&http.Client{Timeout: 60 * time.Second}).Base(baseURL)}
}

// Play runs every program of s that is not spawned, and the ones they
// spawn, and returns the session ordered by program and sequence.
func (pl *Player) Play(ctx context.Context, s *Script) *Session {
	pl.ses = &Session{Script: s.Name}
	var wg sync.WaitGroup
	for i := range s.Programs {
		if !s.Programs[i].Spawned {
			wg.Go(func() { pl.run(ctx, s, &s.Programs[i]) })
		}
	}
	wg.Wait()
	slices.SortFunc(pl.ses.Entries, func(a, b Entry) int {
		if c := strings.Compare(a.Program, b.Program); c != 0 {
			return c
		}
		return int(a.Sequence) - int(b.Sequence)
	})
	slices.SortFunc(pl.ses.Outcomes, func(a, b Outcome) int { return strings.Compare(a.Program, b.Program) })
	return pl.ses
}

func (pl *Player) record(e Entry) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.ses.Entries = append(pl.ses.Entries, e)
}

func (pl *Player) run(ctx context.Context, s *Script, p *Program) {
	start := time.Now()
	out := Outcome{Program: p.ID}
	create := caller.CreateProgram{ID: p.ID, BudgetTokens: p.BudgetTokens, Urgency: p.Urgency, Deadline: p.Deadline, NonIdempotentTools: p.NonIdempotentTools}
	var st caller.ProgramState
	var fail caller.ErrorBody
	resp, err := pl.api.New().Post("v1/programs").BodyJSON(create).Receive(&st, &fail) //nolint:bodyclose // closed by sling
	if err != nil || resp.StatusCode != http.StatusCreated {
		pl.record(Entry{Program: p.ID, Status: statusOf(resp), Error: &fail.Error})
		out.Failed++
		pl.finishOutcome(out)
		return
	}
	var spawned sync.WaitGroup
	seq := uint64(0)
	for _, step := range p.Steps {
		if step.Kind == "spawn" {
			child := s.find(step.Program)
			spawned.Go(func() { pl.run(ctx, s, child) })
			continue
		}
		seq++
		call := caller.Call{Sequence: seq, Kind: caller.CallKind(step.Kind), Model: step.Model, Content: step.Content,
			MaxTokens: step.MaxTokens, Tool: step.Tool}
		if step.Arguments != "" {
			call.Arguments = json.RawMessage(step.Arguments)
		}
		e := pl.call(ctx, p.ID, call)
		pl.record(e)
		out.Calls++
		if e.Error != nil {
			out.Failed++
			if e.Error.Type == caller.TypeOutcomeUnknown || e.Error.Type == caller.TypeOverBudget {
				break
			}
		}
	}
	spawned.Wait()
	out.Latency = time.Since(start)
	_, _ = pl.api.New().Get("v1/programs/"+p.ID).Receive(&out.Final, nil) //nolint:bodyclose // closed by sling
	_, _ = pl.api.New().Delete("v1/programs/"+p.ID).Receive(nil, nil)     //nolint:bodyclose // closed by sling
	pl.finishOutcome(out)
}

func (pl *Player) finishOutcome(o Outcome) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.ses.Outcomes = append(pl.ses.Outcomes, o)
}

// call sends one call, coming back after Retry-After while the entry
// refuses it as not run.
func (pl *Player) call(ctx context.Context, id string, c caller.Call) Entry {
	e := Entry{Program: id, Sequence: c.Sequence, Request: c}
	for attempt := 0; ; attempt++ {
		var ans caller.Answer
		var fail caller.ErrorBody
		resp, err := pl.api.New().Post("v1/programs/"+id+"/calls").BodyJSON(c).Receive(&ans, &fail) //nolint:bodyclose // closed by sling
		e.Status = statusOf(resp)
		if err == nil && e.Status == http.StatusOK {
			e.Answer, e.Error = &ans, nil
			return e
		}
		e.Error = &fail.Error
		after := retryAfter(resp)
		if after == 0 || attempt >= maxRetries || ctx.Err() != nil {
			return e
		}
		e.Retries++
		select {
		case <-ctx.Done():
			return e
		case <-time.After(after):
		}
	}
}

func statusOf(resp *http.Response) int {
	if resp == nil {
		return 0
	}
	return resp.StatusCode
}

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
