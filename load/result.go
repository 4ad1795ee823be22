package load

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtaildrum/wagtaildrum/standin"
)

// Program is how one program went.
type Program struct {
	Kind    string        `json:"kind"`
	Phase   Phase         `json:"phase"`
	Urgency string        `json:"urgency"`
	Turns   int           `json:"turns"`
	Latency time.Duration `json:"latency_ns"`
	// Idle is its time on idle engines.
	Idle     time.Duration `json:"idle_ns"`
	Refusals int           `json:"refusals"`
	// Failure is why it did not end; empty: it did.
	Failure string `json:"failure,omitempty"`
}

// Result is what one run saw.
type Result struct {
	Experiment string        `json:"experiment"`
	Label      string        `json:"label"`
	Elapsed    time.Duration `json:"elapsed_ns"`
	Programs   []Program     `json:"programs"`
	Tokens     tokenCount    `json:"tokens"`
	ByTime     []tokenSample `json:"by_time"`
	// Utilisation is the share of the time in which engines had work.
	Utilisation float64 `json:"utilisation"`
	// Prefill counts the prompt tokens engines read, Evicted the cache
	// blocks they evicted.
	Prefill int64 `json:"prefill_tokens"`
	Evicted int64 `json:"evicted_blocks"`
	// Writes and Reads count calls to the platform.
	Writes int `json:"platform_writes"`
	Reads  int `json:"platform_reads"`
	// OverRate counts the calls the platform refused for coming too fast.
	OverRate int `json:"platform_over_rate"`
}

// observation is the stand-ins' counters at one time.
type observation struct {
	engines  []standin.EngineState
	platform standin.PlatformState
}

func (r *runner) observe() (*observation, error) {
	o := &observation{}
	for _, base := range r.targets.Engines {
		var st standin.EngineState
		if err := r.state(base, &st); err != nil {
			return nil, err
		}
		o.engines = append(o.engines, st)
	}
	return o, r.state(r.targets.Platform, &o.platform)
}

func (r *runner) state(base string, into any) error {
	resp, err := r.http.Get(base + "/debug/state")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &CallError{kind: "debug_state", status: resp.StatusCode}
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (r *runner) result(label string, elapsed time.Duration, before, after *observation) *Result {
	res := &Result{Experiment: r.x.Name, Label: label, Elapsed: elapsed, Programs: r.results, Tokens: r.ledger.tokens, ByTime: r.ledger.byTime,
		Writes: after.platform.Writes - before.platform.Writes, Reads: after.platform.Reads - before.platform.Reads,
		OverRate: after.platform.OverRate - before.platform.OverRate}
	var busy time.Duration
	for i := range after.engines {
		res.Prefill += after.engines[i].Prefill - before.engines[i].Prefill
		res.Evicted += after.engines[i].Evicted - before.engines[i].Evicted
		busy += after.engines[i].Busy - before.engines[i].Busy
	}
	res.Utilisation = busy.Seconds() / elapsed.Seconds() / float64(len(after.engines))
	return res
}

// Write writes the result to a JSON file.
func (res *Result) Write(path string) error {
	raw, err := json.Marshal(res)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// ReadResult reads a result from a JSON file.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var res Result
	if err := json.Unmarshal(raw, &res); err != nil {
		return nil, err
	}
	return &res, nil
}

// Summary is the figures of some of a run's programs.
type Summary struct {
	Count, Failed, InTime, Refusals int
	P50, P95, P99, Mean             time.Duration
}

// highest is the largest latency the histograms hold.
const highest = 10 * time.Minute

// Summarise returns the figures of the programs for which take is true. A
// program that failed counts as never ended: at the histogram's end.
func (res *Result) Summarise(x *Experiment, take func(*Program) bool) Summary {
	h := hdrhistogram.New(1, highest.Microseconds(), 3)
	var s Summary
	for i := range res.Programs {
		p := &res.Programs[i]
		if !take(p) {
			continue
		}
		s.Count++
		s.Refusals += p.Refusals
		latency := p.Latency
		if p.Failure != "" {
			s.Failed++
			latency = highest
		} else if p.Latency <= x.aim(p) {
			s.InTime++
		}
		_ = h.RecordValue(min(max(latency, time.Microsecond), highest).Microseconds())
	}
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	s.P50, s.P95, s.P99 = at(50), at(95), at(99)
	s.Mean = time.Duration(h.Mean()) * time.Microsecond
	return s
}

func (x *Experiment) aim(p *Program) time.Duration {
	i := slices.IndexFunc(x.Kinds, func(k ProgramShape) bool { return k.Name == p.Kind })
	if i < 0 {
		return 0
	}
	return time.Duration(x.Kinds[i].AimFactor*float64(p.Idle)) + x.Kinds[i].Aim
}

// WastedShare returns the share of reusable prompt tokens that were read
// again.
func (res *Result) WastedShare() float64 {
	if res.Tokens.Reusable == 0 {
		return 0
	}
	return float64(res.Tokens.Wasted) / float64(res.Tokens.Reusable)
}
