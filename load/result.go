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

// ProgramResult is the result of a program.
type ProgramResult struct {
	Kind    string `json:"kind"`
	Phase   Phase  `json:"phase"`
	Urgency string `json:"urgency"`
	Turns   int    `json:"turns"`
	// Latency is the time from the program's creation to its end.
	Latency time.Duration `json:"latency_ns"`
	// Idle is the estimated duration of the program on idle engines.
	Idle time.Duration `json:"idle_ns"`
	// Refusals is the number of rejected requests, retried ones included.
	Refusals int `json:"refusals"`
	// Failure is the reason why the program did not complete, or empty if it
	// did.
	Failure string `json:"failure,omitempty"`
}

// Result is the result of a run of an experiment.
type Result struct {
	Experiment string          `json:"experiment"`
	Label      string          `json:"label"`
	Elapsed    time.Duration   `json:"elapsed_ns"`
	Programs   []ProgramResult `json:"programs"`
	Tokens     tokenCount      `json:"tokens"`
	ByTime     []tokenSample   `json:"by_time"`
	// Utilisation is the share of the elapsed time for which the engines were
	// busy, averaged over the engines.
	Utilisation float64 `json:"utilisation"`
	// Prefill is the number of prompt tokens computed by the engines, and
	// Evicted the number of blocks evicted from their caches.
	Prefill int64 `json:"prefill_tokens"`
	Evicted int64 `json:"evicted_blocks"`
	// Writes and Reads are the numbers of calls served by the platform.
	Writes int `json:"platform_writes"`
	Reads  int `json:"platform_reads"`
	// OverRate is the number of calls rejected by the platform's rate limits.
	OverRate int `json:"platform_over_rate"`
}

// counterSnapshot holds the counters of the stand-ins at a point in time.
type counterSnapshot struct {
	engines  []standin.EngineState
	platform standin.PlatformState
}

// readCounters reads the state dumps of the engines and the platform.
func (r *runner) readCounters() (*counterSnapshot, error) {
	o := &counterSnapshot{}
	for _, base := range r.targets.Engines {
		var st standin.EngineState
		if err := r.readState(base, &st); err != nil {
			return nil, err
		}
		o.engines = append(o.engines, st)
	}
	return o, r.readState(r.targets.Platform, &o.platform)
}

// readState decodes the state dump at the debug base URL base into out.
func (r *runner) readState(base string, out any) error {
	resp, err := r.http.Get(base + "/debug/state")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &CallError{kind: "debug_state", status: resp.StatusCode}
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// result returns the result of a run that took elapsed, with the differences
// of the counters before and after it.
func (r *runner) result(label string, elapsed time.Duration, before, after *counterSnapshot) *Result {
	res := &Result{Experiment: r.x.Name, Label: label, Elapsed: elapsed, Programs: r.results, Tokens: r.cacheStats.tokens, ByTime: r.cacheStats.samples,
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

// Write writes the result in JSON to the file at path.
func (res *Result) Write(path string) error {
	raw, err := json.Marshal(res)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// ReadResult reads a result from the JSON file at path.
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

// Summary holds statistics of a set of programs: their number, the number of
// failed ones, of those that met their latency target, and of rejected
// requests, and the quantiles and mean of their latency.
type Summary struct {
	Count, Failed, WithinTarget, Refusals int
	P50, P95, P99, Mean                   time.Duration
}

// maxLatency is the maximum latency in the histograms. It is recorded for
// failed programs.
const maxLatency = 10 * time.Minute

// Summarise returns the statistics of the programs for which include returns
// true. A failed program counts with the maximum latency of the histogram.
func (res *Result) Summarise(x *Experiment, include func(*ProgramResult) bool) Summary {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	var s Summary
	for i := range res.Programs {
		p := &res.Programs[i]
		if !include(p) {
			continue
		}
		s.Count++
		s.Refusals += p.Refusals
		latency := p.Latency
		if p.Failure != "" {
			s.Failed++
			latency = maxLatency
		} else if p.Latency <= x.latencyTarget(p) {
			s.WithinTarget++
		}
		_ = h.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
	}
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	s.P50, s.P95, s.P99 = quantile(50), quantile(95), quantile(99)
	s.Mean = time.Duration(h.Mean()) * time.Microsecond
	return s
}

// latencyTarget returns the latency target of p, or 0 if x has no shape of
// its kind.
func (x *Experiment) latencyTarget(p *ProgramResult) time.Duration {
	i := slices.IndexFunc(x.Shapes, func(k ProgramShape) bool { return k.Name == p.Kind })
	if i < 0 {
		return 0
	}
	return time.Duration(x.Shapes[i].IdleTimeFactor*float64(p.Idle)) + x.Shapes[i].LatencyAllowance
}

// WastedShare returns the share of the reusable prompt tokens that engines
// computed again, or 0 if there were none.
func (res *Result) WastedShare() float64 {
	if res.Tokens.Reusable == 0 {
		return 0
	}
	return float64(res.Tokens.Wasted) / float64(res.Tokens.Reusable)
}
