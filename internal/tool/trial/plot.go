package trial

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot on the page.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// SVG returns the plot as an SVG image.
func (p *Plot) SVG() ([]byte, error) {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = p.Title, p.X, p.Y
	pl.Y.Min, pl.Legend.Top = 0, true
	pl.Add(plotter.NewGrid())
	for i, l := range p.Lines {
		points := make(plotter.XYs, 0, len(l.Points))
		for _, pt := range l.Points {
			points = append(points, plotter.XY{X: pt.X, Y: pt.Y})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, fmt.Errorf("plot %s, line %s: %w", p.Name, l.Name, err)
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		pl.Add(line, dots)
		pl.Legend.Add(l.Name, line, dots)
	}
	c := vgsvg.New(width, height)
	pl.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plot %s: %w", p.Name, err)
	}
	return out.Bytes(), nil
}
