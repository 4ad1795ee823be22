package load

import (
	"fmt"
	"io"
	"time"
)

// Report writes a Markdown comparison of runs of one experiment: a table
// of figures, and of ratios of the first run's to each other's.
func Report(w io.Writer, x *Experiment, runs []*Result) error {
	p := &printer{w: w}
	p.line("## %s\n", x.Name)
	p.line("%s quiet, %s burst at %g times the rate, %s after; %d entry instances; seed %d. A program that failed counts as never ended.\n",
		x.Quiet, x.Burst, x.BurstFactor, x.After, x.Entries, x.Seed)
	p.line("| run | programs | failed | p50 ms | p95 ms | p99 ms | burst p95 ms | urgent p95 ms | in time | refusals | wasted cache | engines busy | blocks evicted | platform writes/s | reads/s | over rate |")
	p.line("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range runs {
		f := figuresOf(x, r)
		p.line("| %s | %d | %d | %s | %s | %s | %s | %s | %.1f %% | %d | %.1f %% | %.0f %% | %d | %.0f | %.0f | %d |", r.Label, f.all.Count, f.all.Failed,
			millis(f.all.P50), millis(f.all.P95), millis(f.all.P99), millis(f.burst.P95), millis(f.urgent.P95),
			100*float64(f.all.InTime)/float64(max(1, f.all.Count)), f.all.Refusals, 100*r.WastedShare(), 100*r.Utilisation, r.Evicted,
			float64(r.Writes)/r.Elapsed.Seconds(), float64(r.Reads)/r.Elapsed.Seconds(), r.OverRate)
	}
	p.line("\nRatios of %s to the others; below 1 it is better:\n", runs[0].Label)
	p.line("| against | p50 | p95 | p99 | burst p95 | urgent p95 | wasted cache |")
	p.line("|---|---|---|---|---|---|---|")
	ours := figuresOf(x, runs[0])
	for _, r := range runs[1:] {
		f := figuresOf(x, r)
		p.line("| %s | %s | %s | %s | %s | %s | %s |", r.Label, ratio(ours.all.P50, f.all.P50), ratio(ours.all.P95, f.all.P95), ratio(ours.all.P99, f.all.P99),
			ratio(ours.burst.P95, f.burst.P95), ratio(ours.urgent.P95, f.urgent.P95), ratioOf(runs[0].WastedShare(), r.WastedShare()))
	}
	p.line("\nBy kind of program, p95 ms (and in time):\n")
	p.kinds(x, runs)
	return p.err
}

// kinds prints one row per kind of program and one column per run.
func (p *printer) kinds(x *Experiment, runs []*Result) {
	header, rule := "| kind |", "|---|"
	for _, r := range runs {
		header += " " + r.Label + " |"
		rule += "---|"
	}
	p.line("%s", header)
	p.line("%s", rule)
	for _, k := range x.Kinds {
		row := "| " + k.Name + " |"
		for _, r := range runs {
			s := r.Summarise(x, func(p *Program) bool { return p.Kind == k.Name })
			row += fmt.Sprintf(" %s (%.1f %%) |", millis(s.P95), 100*float64(s.InTime)/float64(max(1, s.Count)))
		}
		p.line("%s", row)
	}
	p.line("")
}

// figures are a run's summaries over all, the burst's and the urgent
// programs.
type figures struct{ all, burst, urgent Summary }

func figuresOf(x *Experiment, r *Result) figures {
	return figures{
		all:    r.Summarise(x, func(*Program) bool { return true }),
		burst:  r.Summarise(x, func(p *Program) bool { return p.Phase == PhaseBurst }),
		urgent: r.Summarise(x, func(p *Program) bool { return p.Urgency == "urgent" }),
	}
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func millis(d time.Duration) string {
	switch {
	case d == 0:
		return "—"
	case d >= highest-time.Second:
		return "never"
	}
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

func ratio(a, b time.Duration) string { return ratioOf(float64(a), float64(b)) }

func ratioOf(a, b float64) string {
	if b == 0 {
		return "—"
	}
	return fmt.Sprintf("%.2f", a/b)
}
