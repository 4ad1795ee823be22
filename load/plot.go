package load

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// PlotLatency plots the cumulative distribution of program latency of each run
// to the PNG file at path. Failed programs count as never ended, so the curve
// of a run with failures ends below 1.
func PlotLatency(path string, x *Experiment, runs []*Result) error {
	p := newPlot(x.Name+": whole-program latency", "seconds", "share of programs ended")
	return drawRuns(p, path, runs, latencyCurve)
}

// latencyCurve returns the points of the cumulative distribution of program
// latency in seconds.
func latencyCurve(r *Result) plotter.XYs {
	var ended []float64
	for i := range r.Programs {
		if r.Programs[i].Failure == "" {
			ended = append(ended, r.Programs[i].Latency.Seconds())
		}
	}
	slices.Sort(ended)
	xys := make(plotter.XYs, len(ended))
	for i, s := range ended {
		xys[i] = plotter.XY{X: s, Y: float64(i+1) / float64(len(r.Programs))}
	}
	return xys
}

// PlotWasted plots the wasted share of the reusable prompt tokens in each
// second of each run to the PNG file at path.
func PlotWasted(path string, x *Experiment, runs []*Result) error {
	p := newPlot(x.Name+": wasted prefix cache", "seconds since the start", "share of reusable tokens read again")
	return drawRuns(p, path, runs, wastedCurve)
}

// wastedCurve returns the wasted share of the reusable prompt tokens for each
// second with reusable tokens.
func wastedCurve(r *Result) plotter.XYs {
	sums := map[int]*tokenSample{}
	last := 0
	for _, s := range r.ByTime {
		second := int(s.Seconds)
		if sums[second] == nil {
			sums[second] = &tokenSample{}
		}
		sums[second].Reusable += s.Reusable
		sums[second].Wasted += s.Wasted
		last = max(last, second)
	}
	var xys plotter.XYs
	for second := range last + 1 {
		if s := sums[second]; s != nil && s.Reusable > 0 {
			xys = append(xys, plotter.XY{X: float64(second), Y: float64(s.Wasted) / float64(s.Reusable)})
		}
	}
	return xys
}

// newPlot returns an empty plot with its legend at the bottom right.
func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Legend.Top, p.Legend.Left = false, false
	return p
}

// drawRuns adds a curve for each run to p and writes p to the file at path.
func drawRuns(p *plot.Plot, path string, runs []*Result, curve func(*Result) plotter.XYs) error {
	var lines []any
	for _, r := range runs {
		lines = append(lines, r.Label, curve(r))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
