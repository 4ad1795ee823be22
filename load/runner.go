package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

// Parameters of the simulated callers.
const (
	// maxSends is the maximum number of times that a request is sent.
	maxSends = 8
	// callTimeout is the maximum time to wait for a response.
	callTimeout = 20 * time.Second
	// drainTimeout is the time after the last phase until the remaining
	// programs are aborted.
	drainTimeout = 60 * time.Second
	// ampleBudget is the token budget of each program, more than any uses.
	ampleBudget = 10_000_000
)

// AddressError is returned for a target that is not a loopback address. The
// package sends requests to no other addresses.
type AddressError struct{ address string }

// Error returns a message that quotes the address.
func (e *AddressError) Error() string {
	return fmt.Sprintf("load target %q is not a loopback address", e.address)
}

// checkLoopback returns an *AddressError unless address is a URL whose host is
// a loopback IP address.
func checkLoopback(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return &AddressError{address: address}
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return &AddressError{address: address}
	}
	return nil
}

// Targets holds the URLs of the processes that a run sends requests to.
type Targets struct {
	// Entries are the base URLs of the entry instances.
	Entries []string `json:"entries"`
	// Engines are the debug base URLs of the engine stand-ins, and Platform
	// is that of the platform stand-in.
	Engines  []string `json:"engines"`
	Platform string   `json:"platform"`
}

// check returns an *AddressError if a target is not a loopback address.
func (t *Targets) check() error {
	for _, a := range append(append([]string{t.Platform}, t.Entries...), t.Engines...) {
		if err := checkLoopback(a); err != nil {
			return err
		}
	}
	return nil
}

// runner runs an experiment.
type runner struct {
	x       *Experiment
	targets *Targets
	http    *http.Client
	// start is the time at which the first phase started.
	start      time.Time
	cacheStats *cacheStats

	mu sync.Mutex
	// results holds the results of the programs, in the order of their ends.
	results []ProgramResult
}

// Run runs the programs of the experiment against the targets and returns the
// result, labelled label. A failed program is recorded in the result. Run
// fails if a target is not a loopback address or if the counters of the
// stand-ins cannot be read.
func Run(ctx context.Context, x *Experiment, targets *Targets, label string) (*Result, error) {
	if err := targets.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2000, IdleConnTimeout: time.Minute}
	defer transport.CloseIdleConnections()
	r := &runner{x: x, targets: targets, http: &http.Client{Transport: transport, Timeout: callTimeout}, cacheStats: newCacheStats()}
	before, err := r.readCounters()
	if err != nil {
		return nil, err
	}
	programs := x.planPrograms()
	total := x.Quiet + x.Burst + x.After
	ctx, cancel := context.WithTimeout(ctx, total+drainTimeout)
	defer cancel()
	r.start = time.Now()
	var wg sync.WaitGroup
	for _, p := range programs {
		if !sleepUntil(ctx, r.start.Add(p.arrival)) {
			break
		}
		wg.Go(func() { r.addResult(r.run(ctx, p)) })
	}
	wg.Wait()
	elapsed := time.Since(r.start)
	after, err := r.readCounters()
	if err != nil {
		return nil, err
	}
	return r.result(label, elapsed, before, after), nil
}

// sleepUntil waits until t and reports whether it did so before ctx ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// addResult records the result of a program.
func (r *runner) addResult(p ProgramResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, p)
}

// programRun is the execution of a program or sub-agent.
type programRun struct {
	r    *runner
	plan *programPlan
	// base is the HTTP client for the program's entry instance.
	base *sling.Sling
	// lastSequence is the sequence number of the last call.
	lastSequence uint64
	// result is the result of a program. That of a sub-agent is discarded.
	result ProgramResult
	// previousTokens is the number of prompt and generated tokens of the last
	// turn.
	previousTokens int64
}

// run executes plan at a random entry instance and returns the result.
func (r *runner) run(ctx context.Context, plan *programPlan) ProgramResult {
	entry := r.targets.Entries[rand.IntN(len(r.targets.Entries))]
	p := &programRun{r: r, plan: plan, base: sling.New().Client(r.http).Base(entry + "/"),
		result: ProgramResult{Kind: plan.shape.Name, Phase: plan.phase, Urgency: plan.shape.Urgency, Turns: len(plan.turns), Idle: plan.idleTime}}
	start := time.Now()
	err := p.execute(ctx)
	p.result.Latency = time.Since(start)
	if err != nil {
		p.result.Failure = err.Error()
	}
	return p.result
}

// execute creates the program, makes its calls and deletes it. It stops at the
// first error.
func (p *programRun) execute(ctx context.Context) error {
	create := caller.CreateProgramRequest{ID: p.plan.id, BudgetTokens: ampleBudget, Urgency: p.plan.shape.Urgency}
	if p.plan.shape.OnceTool != "" {
		create.NonIdempotentTools = []string{p.plan.shape.OnceTool}
	}
	if err := p.send(ctx, "v1/programs", create, nil); err != nil {
		return err
	}
	for i := range p.plan.turns {
		if err := p.turn(ctx, i); err != nil {
			return err
		}
	}
	if p.plan.callsOnceTool {
		if err := p.tool(ctx, p.plan.shape.OnceTool); err != nil {
			return err
		}
	}
	_, err := p.base.New().Delete("v1/programs/"+p.plan.id).Receive(nil, nil) //nolint:bodyclose // closed by sling
	return err
}

// turn executes turn i: it waits for the delay, makes the model call
// concurrently with the sub-agent, and then calls the tool.
func (p *programRun) turn(ctx context.Context, i int) error {
	t := &p.plan.turns[i]
	if t.delay > 0 && !sleepUntil(ctx, time.Now().Add(t.delay)) {
		return ctx.Err()
	}
	subAgent := make(chan error, 1)
	if t.subAgent != nil {
		go func() {
			child := &programRun{r: p.r, plan: t.subAgent, base: p.base}
			subAgent <- child.execute(ctx)
		}()
	} else {
		subAgent <- nil
	}
	err := p.model(ctx, i)
	if subErr := <-subAgent; err == nil {
		err = subErr
	}
	if err == nil && t.tool != "" {
		err = p.tool(ctx, t.tool)
	}
	return err
}

// model makes the model call of turn i and records its token counts. The
// reusable tokens are those of the previous turn, or, in the first turn, of a
// shared prefix that another program has used.
func (p *programRun) model(ctx context.Context, i int) error {
	t := &p.plan.turns[i]
	reusable := p.previousTokens
	if i == 0 && p.r.cacheStats.markPrefixRead(p.plan) {
		reusable = int64(p.plan.shape.SharedTokens)
	}
	p.lastSequence++
	call := caller.Call{Sequence: p.lastSequence, Kind: caller.CallModel, Model: p.plan.shape.Model, Content: t.content, MaxTokens: p.plan.shape.AnswerTokens}
	var answer caller.Response
	if err := p.send(ctx, "v1/programs/"+p.plan.id+"/calls", call, &answer); err != nil {
		return err
	}
	if answer.Usage != nil {
		p.r.cacheStats.add(time.Since(p.r.start).Seconds(), answer.Usage.PromptTokens, min(reusable, answer.Usage.PromptTokens), answer.Usage.Cached())
		p.previousTokens = answer.Usage.TotalTokens
	}
	return nil
}

// tool calls a tool with the program's ID as its argument.
func (p *programRun) tool(ctx context.Context, tool string) error {
	p.lastSequence++
	args, _ := json.Marshal(map[string]string{"program": p.plan.id})
	call := caller.Call{Sequence: p.lastSequence, Kind: caller.CallTool, Tool: tool, Arguments: args}
	return p.send(ctx, "v1/programs/"+p.plan.id+"/calls", call, &caller.Response{})
}

// CallError is returned for a request that was rejected and is not retried, or
// whose retries are exhausted, and for a failed read of a state dump.
type CallError struct {
	kind   caller.ErrorType
	status int
}

// Error returns the error type and status of the last response.
func (e *CallError) Error() string { return fmt.Sprintf("%s (%d)", e.kind, e.status) }

// send posts body to path and decodes the response into response, which may be
// nil. It retries a rejected request after the delay in the response, with
// jitter, and returns a *CallError if there is no delay or after maxSends
// attempts.
func (p *programRun) send(ctx context.Context, path string, body, response any) error {
	var lastErr error
	for range maxSends {
		var errBody caller.ErrorBody
		req, err := p.base.New().Post(path).BodyJSON(body).Request()
		if err != nil {
			return err
		}
		resp, err := p.base.Do(req.WithContext(ctx), response, &errBody) //nolint:bodyclose // closed by sling
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusMultipleChoices {
			return nil
		}
		p.result.Refusals++
		lastErr = &CallError{kind: errBody.Error.Type, status: resp.StatusCode}
		delay := time.Duration(errBody.Error.RetryAfterMillis) * time.Millisecond
		if delay == 0 {
			return lastErr
		}
		if !sleepUntil(ctx, time.Now().Add(delay+retry.Jitter(delay/4))) {
			return errors.Join(lastErr, ctx.Err())
		}
	}
	return lastErr
}
