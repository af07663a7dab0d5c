package losses

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = vg.Inch / 8
)

// Plot writes a bar chart of the requests that were not served in time, by second
// and cause. The extension of the file, such as .svg, selects the format.
func (report *Report) Plot(file string) error {
	chart := plot.New()
	chart.Title.Text = "requests not served in time, by cause"
	chart.X.Label.Text = "second of arrival"
	chart.Y.Label.Text = "requests"
	chart.Legend.Top = true
	lastSecond := report.second(report.requests[len(report.requests)-1])
	hues := palette.Rainbow(len(Causes()), palette.Red, palette.Magenta, 0.8, 0.9, 1).Colors() //nolint:misspell // the library's name
	var previous *plotter.BarChart
	for i, cause := range Causes() {
		values := make(plotter.Values, lastSecond+1)
		for _, request := range report.requests {
			if request.Cause == cause && cause.lost() {
				values[report.second(request)]++
			}
		}
		if floats.Max(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = hues[i] //nolint:misspell // the library's name
		bars.LineStyle.Width = 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		chart.Add(bars)
		chart.Legend.Add(string(cause), bars)
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, file), "plot")
}
