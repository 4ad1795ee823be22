package load

import (
	"fmt"
	"io"
	"time"
)

// Report writes a comparison of runs of the experiment x in Markdown: a table
// of the results, a table of the ratios of the first run's results to those
// of each other run, and a table of latency by program shape. There must be
// at least one run.
func Report(w io.Writer, x *Experiment, runs []*Result) error {
	p := &printer{w: w}
	p.printLine("## %s\n", x.Name)
	p.printLine("%s quiet, %s burst at %g times the rate, %s after; %d entry instances; seed %d. A program that failed counts as never ended.\n",
		x.Quiet, x.Burst, x.BurstFactor, x.After, x.Entries, x.Seed)
	p.printLine("| run | programs | failed | p50 ms | p95 ms | p99 ms | burst p95 ms | urgent p95 ms | in time | refusals | wasted cache | engines busy | blocks evicted | platform writes/s | reads/s | over rate |")
	p.printLine("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range runs {
		f := summariesOf(x, r)
		p.printLine("| %s | %d | %d | %s | %s | %s | %s | %s | %.1f %% | %d | %.1f %% | %.0f %% | %d | %.0f | %.0f | %d |", r.Label, f.all.Count, f.all.Failed,
			formatMillis(f.all.P50), formatMillis(f.all.P95), formatMillis(f.all.P99), formatMillis(f.burst.P95), formatMillis(f.urgent.P95),
			100*float64(f.all.WithinTarget)/float64(max(1, f.all.Count)), f.all.Refusals, 100*r.WastedShare(), 100*r.Utilisation, r.Evicted,
			float64(r.Writes)/r.Elapsed.Seconds(), float64(r.Reads)/r.Elapsed.Seconds(), r.OverRate)
	}
	p.printLine("\nRatios of %s to the others; below 1 it is better:\n", runs[0].Label)
	p.printLine("| against | p50 | p95 | p99 | burst p95 | urgent p95 | wasted cache |")
	p.printLine("|---|---|---|---|---|---|---|")
	first := summariesOf(x, runs[0])
	for _, r := range runs[1:] {
		f := summariesOf(x, r)
		p.printLine("| %s | %s | %s | %s | %s | %s | %s |", r.Label, formatDurationRatio(first.all.P50, f.all.P50), formatDurationRatio(first.all.P95, f.all.P95), formatDurationRatio(first.all.P99, f.all.P99),
			formatDurationRatio(first.burst.P95, f.burst.P95), formatDurationRatio(first.urgent.P95, f.urgent.P95), formatRatio(runs[0].WastedShare(), r.WastedShare()))
	}
	p.printLine("\nBy kind of program, p95 ms (and in time):\n")
	p.printShapes(x, runs)
	return p.err
}

// printShapes writes a table of latency and success with a row for each
// program shape and a column for each run.
func (p *printer) printShapes(x *Experiment, runs []*Result) {
	header, rule := "| kind |", "|---|"
	for _, r := range runs {
		header += " " + r.Label + " |"
		rule += "---|"
	}
	p.printLine("%s", header)
	p.printLine("%s", rule)
	for _, k := range x.Shapes {
		row := "| " + k.Name + " |"
		for _, r := range runs {
			s := r.Summarise(x, func(p *ProgramResult) bool { return p.Kind == k.Name })
			row += fmt.Sprintf(" %s (%.1f %%) |", formatMillis(s.P95), 100*float64(s.WithinTarget)/float64(max(1, s.Count)))
		}
		p.printLine("%s", row)
	}
	p.printLine("")
}

// runSummaries holds a run's summaries of all programs, of the programs that
// arrived in the burst, and of the urgent programs.
type runSummaries struct{ all, burst, urgent Summary }

// summariesOf returns the summaries of r.
func summariesOf(x *Experiment, r *Result) runSummaries {
	return runSummaries{
		all:    r.Summarise(x, func(*ProgramResult) bool { return true }),
		burst:  r.Summarise(x, func(p *ProgramResult) bool { return p.Phase == PhaseBurst }),
		urgent: r.Summarise(x, func(p *ProgramResult) bool { return p.Urgency == "urgent" }),
	}
}

// printer writes lines to w until a write fails, and holds the first error.
type printer struct {
	w   io.Writer
	err error
}

// printLine writes a formatted text and a newline.
func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// formatMillis returns d in milliseconds, a dash for 0, or "never" if d is the
// latency recorded for failed programs. The margin of a second allows for the
// resolution of the histogram.
func formatMillis(d time.Duration) string {
	switch {
	case d == 0:
		return "—"
	case d >= maxLatency-time.Second:
		return "never"
	}
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// formatDurationRatio returns a/b with two decimals, or a dash if b is 0.
func formatDurationRatio(a, b time.Duration) string { return formatRatio(float64(a), float64(b)) }

// formatRatio returns a/b with two decimals, or a dash if b is 0.
func formatRatio(a, b float64) string {
	if b == 0 {
		return "—"
	}
	return fmt.Sprintf("%.2f", a/b)
}
