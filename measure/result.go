package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Result is the result of one measurement.
type Result struct {
	Name     string   `json:"name"`
	Workload string   `json:"workload"`
	Figures  []Figure `json:"figures"`
}

// Figure is one measured value.
type Figure struct {
	Name         string  `json:"name"`
	Unit         string  `json:"unit"`
	Value        float64 `json:"value"`  // mean over repeats
	Spread       float64 `json:"spread"` // largest minus smallest value
	Baseline     float64 `json:"baseline,omitempty"`
	BaselineName string  `json:"against,omitempty"` // name of the baseline
}

// addFigure adds a figure with the mean and spread of its repeats.
func (r *Result) addFigure(name, unit string, values ...float64) *Figure {
	f := Figure{Name: name, Unit: unit}
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, v := range values {
		f.Value += v / float64(len(values))
		lowest, highest = min(lowest, v), max(highest, v)
	}
	if len(values) > 0 {
		f.Spread = highest - lowest
	}
	r.Figures = append(r.Figures, f)
	return &r.Figures[len(r.Figures)-1]
}

// setBaseline sets the name and value with which a figure is compared.
func (f *Figure) setBaseline(name string, value float64) {
	f.BaselineName = name
	f.Baseline = value
}

// Print writes the result as text.
func (r *Result) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%s: %s\n", r.Name, r.Workload)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FIGURE\tVALUE\tSPREAD\tUNIT\tBASELINE")
	for _, f := range r.Figures {
		baseline := ""
		if f.BaselineName != "" {
			baseline = fmt.Sprintf("%.4g (%s)", f.Baseline, f.BaselineName)
		}
		_, _ = fmt.Fprintf(w, "%s\t%.4g\t%.2g\t%s\t%s\n", f.Name, f.Value, f.Spread, f.Unit, baseline)
	}
	_ = w.Flush()
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Annotate(encoder.Encode(r), "printing the result")
}

// Sizes of a plot: width and height in inches, the width of a bar in points.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14
)

// Plot draws the figures as bars, each beside its baseline, into an image file.
func (r *Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Name + ": " + r.Workload
	values := make(plotter.Values, 0, len(r.Figures))
	baselines := make(plotter.Values, 0, len(r.Figures))
	names := make([]string, 0, len(r.Figures))
	for _, f := range r.Figures {
		values = append(values, f.Value)
		baselines = append(baselines, f.Baseline)
		names = append(names, f.Name)
	}
	for i, bars := range []plotter.Values{values, baselines} {
		chart, err := plotter.NewBarChart(bars, vg.Points(barWidth))
		if err != nil {
			return errors.Annotate(err, "drawing bars")
		}
		chart.Offset = vg.Points(float64(barWidth * i))
		chart.LineStyle.Width = 0
		chart.Color = plotColors()[i]
		p.Add(chart)
		p.Legend.Add([]string{"measured", "baseline"}[i], chart)
	}
	p.NominalX(names...)
	return errors.Annotatef(p.Save(plotWidth, plotHeight, path), "writing %s", path)
}
