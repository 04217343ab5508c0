package report

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// maxPoints bounds the points drawn for one class, as an SVG holds each.
	maxPoints = 5000
)

// Plot draws the latency of requests over time with marked faults. The file's
// suffix selects the format, such as .png or .svg.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	byClass := make(map[string]plotter.XYs)
	top := 10.0
	for _, point := range r.Points {
		y := max(point.Latency.Seconds()*1000, 0.1)
		top = max(top, y)
		byClass[point.Class] = append(byClass[point.Class], plotter.XY{X: point.At.Seconds(), Y: y})
	}
	p.Y.Min, p.Y.Max = 0.1, top
	for i, c := range r.Classes {
		points := thin(byClass[c.Name])
		if len(points) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot class %q: %w", c.Name, err)
		}
		s.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(i), Radius: vg.Points(1.5), Shape: draw.CircleGlyph{}}
		p.Add(s)
		p.Legend.Add(c.Name, s)
	}
	for _, m := range r.Faults {
		if err := addMark(p, m, top); err != nil {
			return err
		}
	}
	p.X.Min, p.X.Max = 0, max(r.Duration, time.Second).Seconds()
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot to %s: %w", path, err)
	}
	return nil
}

func addMark(p *plot.Plot, m Mark, top float64) error {
	x := m.At.Seconds()
	l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0.1}, {X: x, Y: top}})
	if err != nil {
		return fmt.Errorf("plot fault %q: %w", m.Name, err)
	}
	l.Color = color.Gray{Y: 128}
	l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: top}}, Labels: []string{m.Name}})
	if err != nil {
		return fmt.Errorf("plot fault %q: %w", m.Name, err)
	}
	label.TextStyle[0].Rotation = -1.5707963 // downwards along the line
	p.Add(l, label)
	return nil
}

// thin keeps at most maxPoints points at equal steps.
func thin(points plotter.XYs) plotter.XYs {
	if len(points) <= maxPoints {
		return points
	}
	step := float64(len(points)) / maxPoints
	kept := make(plotter.XYs, maxPoints)
	for i := range kept {
		kept[i] = points[int(float64(i)*step)]
	}
	return kept
}
