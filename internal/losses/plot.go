package losses

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = vg.Inch / 8
)

// Plot writes a picture to a file whose ending names the format, such as .svg:
// how many requests of each second were lost, by cause.
func (report *Report) Plot(file string) error {
	picture := plot.New()
	picture.Title.Text = "requests not served in time, by cause"
	picture.X.Label.Text = "second of arrival"
	picture.Y.Label.Text = "requests"
	picture.Legend.Top = true
	last := report.second(report.requests[len(report.requests)-1])
	hues := palette.Rainbow(len(Causes()), palette.Red, palette.Magenta, 0.8, 0.9, 1).Colors() //nolint:misspell // the library's name
	var below *plotter.BarChart
	for i, cause := range Causes() {
		values := make(plotter.Values, last+1)
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
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		picture.Add(bars)
		picture.Legend.Add(string(cause), bars)
	}
	return errors.Wrap(picture.Save(plotWidth, plotHeight, file), "plot")
}
