package rattanload

import (
	"image/color"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot writes a PNG image of the requests that were served and refused in each
// second, with a vertical line at each mark.
func (r Report) WritePlot(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Requests served and refused"
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "requests in 1 s"
	p.Legend.Top = true
	var top float64
	for _, second := range r.Timeline {
		top = max(top, float64(second.Served), float64(second.Refused))
	}
	lines := []struct {
		name  string
		color color.Color
		value func(Second) int
	}{
		{"served", color.RGBA{G: 128, A: 255}, func(s Second) int { return s.Served }},
		{"refused", color.RGBA{R: 192, A: 255}, func(s Second) int { return s.Refused }},
		{"refused within the rate", color.RGBA{R: 255, G: 140, A: 255}, func(s Second) int { return s.RefusedWithinRate }},
	}
	for _, line := range lines {
		points := make(plotter.XYs, 0, len(r.Timeline))
		for i, second := range r.Timeline {
			points = append(points, plotter.XY{X: float64(i), Y: float64(line.value(second))})
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plot %s", line.name)
		}
		drawn.Color = line.color
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	for _, mark := range r.Marks {
		x := mark.AtMs / 1000
		drawn, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrapf(err, "plot %s", mark.Kind)
		}
		drawn.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(drawn)
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return errors.Wrap(err, "draw plot")
	}
	_, err = canvas.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
