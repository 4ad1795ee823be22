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

// How a caller of the load tool behaves.
const (
	// maxTries bounds how often one call is sent.
	maxTries = 8
	// callPatience is how long it waits for one answer.
	callPatience = 20 * time.Second
	// drainFor is how long programs may go on after the last arrived.
	drainFor = 60 * time.Second
	// budget is a budget no drawn program reaches.
	budget = 10_000_000
)

// AddressError says an address is not on loopback; the load tool sends
// nowhere else.
type AddressError struct{ address string }

// Error quotes the address.
func (e *AddressError) Error() string { return fmt.Sprintf("%q is not a loopback address", e.address) }

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

// Targets are the processes a run drives and reads.
type Targets struct {
	// Entries are the entry instances' base URLs.
	Entries []string `json:"entries"`
	// Engines are the engine stand-ins' debug base URLs, and Platform the
	// platform stand-in's.
	Engines  []string `json:"engines"`
	Platform string   `json:"platform"`
}

func (t *Targets) check() error {
	for _, a := range append(append([]string{t.Platform}, t.Entries...), t.Engines...) {
		if err := checkLoopback(a); err != nil {
			return err
		}
	}
	return nil
}

// runner runs one experiment.
type runner struct {
	x       *Experiment
	targets *Targets
	http    *http.Client
	start   time.Time
	ledger  *ledger

	mu      sync.Mutex
	results []Program
}

// Run plays the experiment against the targets and returns what it saw.
func Run(ctx context.Context, x *Experiment, targets *Targets, label string) (*Result, error) {
	if err := targets.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2000, IdleConnTimeout: time.Minute}
	defer transport.CloseIdleConnections()
	r := &runner{x: x, targets: targets, http: &http.Client{Transport: transport, Timeout: callPatience}, ledger: newLedger()}
	before, err := r.observe()
	if err != nil {
		return nil, err
	}
	programs := x.draw()
	total := x.Quiet + x.Burst + x.After
	ctx, cancel := context.WithTimeout(ctx, total+drainFor)
	defer cancel()
	r.start = time.Now()
	var wg sync.WaitGroup
	for _, p := range programs {
		if !sleepUntil(ctx, r.start.Add(p.at)) {
			break
		}
		wg.Go(func() { r.record(r.run(ctx, p)) })
	}
	wg.Wait()
	elapsed := time.Since(r.start)
	after, err := r.observe()
	if err != nil {
		return nil, err
	}
	return r.result(label, elapsed, before, after), nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (r *runner) record(p Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, p)
}

// attempt is one program as it runs.
type attempt struct {
	r     *runner
	p     *drawn
	base  *sling.Sling
	seq   uint64
	out   Program
	spent int64
}

func (r *runner) run(ctx context.Context, p *drawn) Program {
	entry := r.targets.Entries[rand.IntN(len(r.targets.Entries))]
	a := &attempt{r: r, p: p, base: sling.New().Client(r.http).Base(entry + "/"),
		out: Program{Kind: p.shape.Name, Phase: p.phase, Urgency: p.shape.Urgency, Turns: len(p.turns), Idle: p.idle}}
	start := time.Now()
	err := a.play(ctx)
	a.out.Latency = time.Since(start)
	if err != nil {
		a.out.Failure = err.Error()
	}
	return a.out
}

// play runs the program from its creation to its end.
func (a *attempt) play(ctx context.Context) error {
	create := caller.CreateProgram{ID: a.p.id, BudgetTokens: budget, Urgency: a.p.shape.Urgency}
	if a.p.shape.OnceTool != "" {
		create.NonIdempotentTools = []string{a.p.shape.OnceTool}
	}
	if err := a.send(ctx, "v1/programs", create, nil); err != nil {
		return err
	}
	for i := range a.p.turns {
		if err := a.turn(ctx, i); err != nil {
			return err
		}
	}
	if a.p.once {
		if err := a.tool(ctx, a.p.shape.OnceTool); err != nil {
			return err
		}
	}
	_, err := a.base.New().Delete("v1/programs/"+a.p.id).Receive(nil, nil) //nolint:bodyclose // closed by sling
	return err
}

func (a *attempt) turn(ctx context.Context, i int) error {
	t := &a.p.turns[i]
	if t.pause > 0 && !sleepUntil(ctx, time.Now().Add(t.pause)) {
		return ctx.Err()
	}
	sub := make(chan error, 1)
	if t.sub != nil {
		go func() {
			child := &attempt{r: a.r, p: t.sub, base: a.base}
			sub <- child.play(ctx)
		}()
	} else {
		sub <- nil
	}
	err := a.model(ctx, i)
	if serr := <-sub; err == nil {
		err = serr
	}
	if err == nil && t.tool != "" {
		err = a.tool(ctx, t.tool)
	}
	return err
}

func (a *attempt) model(ctx context.Context, i int) error {
	t := &a.p.turns[i]
	reusable := a.spent
	if i == 0 && a.r.ledger.known(a.p) {
		reusable = int64(a.p.shape.SharedTokens)
	}
	a.seq++
	call := caller.Call{Sequence: a.seq, Kind: caller.CallModel, Model: a.p.shape.Model, Content: t.content, MaxTokens: a.p.shape.AnswerTokens}
	var ans caller.Answer
	if err := a.send(ctx, "v1/programs/"+a.p.id+"/calls", call, &ans); err != nil {
		return err
	}
	if ans.Usage != nil {
		a.r.ledger.add(time.Since(a.r.start).Seconds(), ans.Usage.PromptTokens, min(reusable, ans.Usage.PromptTokens), ans.Usage.Cached())
		a.spent = ans.Usage.TotalTokens
	}
	return nil
}

func (a *attempt) tool(ctx context.Context, tool string) error {
	a.seq++
	args, _ := json.Marshal(map[string]string{"program": a.p.id})
	call := caller.Call{Sequence: a.seq, Kind: caller.CallTool, Tool: tool, Arguments: args}
	return a.send(ctx, "v1/programs/"+a.p.id+"/calls", call, &caller.Answer{})
}

// CallError is a call that did not succeed in the end.
type CallError struct {
	kind   caller.ErrorType
	status int
}

// Error names the last answer's type and status.
func (e *CallError) Error() string { return fmt.Sprintf("%s (%d)", e.kind, e.status) }

// send posts one call, coming back as long as the answer says to.
func (a *attempt) send(ctx context.Context, path string, body, into any) error {
	var last error
	for range maxTries {
		var fail caller.ErrorBody
		req, err := a.base.New().Post(path).BodyJSON(body).Request()
		if err != nil {
			return err
		}
		resp, err := a.base.Do(req.WithContext(ctx), into, &fail) //nolint:bodyclose // closed by sling
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusMultipleChoices {
			return nil
		}
		a.out.Refusals++
		last = &CallError{kind: fail.Error.Type, status: resp.StatusCode}
		after := time.Duration(fail.Error.RetryAfterMillis) * time.Millisecond
		if after == 0 {
			return last
		}
		if !sleepUntil(ctx, time.Now().Add(after+retry.Jitter(after/4))) {
			return errors.Join(last, ctx.Err())
		}
	}
	return last
}
