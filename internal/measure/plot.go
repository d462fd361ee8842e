package measure

import (
	"image/color"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size and resolution of a plot. They keep the file below 60 KB.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
	plotDPI    = 90
)

// legendHeadroom is the factor on the maximum of the y axis that leaves room for the legend above the curves.
const legendHeadroom = 1.4

// bucketsPerPoint is the number of buckets that are averaged into one point of a curve.
const bucketsPerPoint = 4

var plotColors = map[System]color.Color{
	Real:  color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff},
	Naive: color.RGBA{R: 0xd0, G: 0x5a, B: 0x1e, A: 0xff},
}

// plot draws the goodput curves of a scenario into a PNG file, with one panel per site.
func (r Report) plot(path string, s Scenario) error {
	var panels []*plot.Plot
	bySite := map[string]*plot.Plot{}
	for _, x := range r {
		if x.Scenario.Name != s.Name || x.Overlay != "" {
			continue
		}
		p, ok := bySite[x.Site.Name]
		if !ok {
			var err error
			if p, err = panel(x); err != nil {
				return err
			}
			bySite[x.Site.Name] = p
			panels = append(panels, p)
		}
		if err := addCurve(p, string(x.System), average(x.Figures.Buckets), plotColors[x.System], false); err != nil {
			return err
		}
	}
	return save(path, panels)
}

// panel returns the panel of a site with the curve of the best possible goodput.
func panel(x Measurement) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = x.name()
	p.X.Label.Text = "s"
	p.Y.Label.Text = "complete responses/s"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	var best []float64
	for at := time.Duration(0); at < x.Scenario.Length; at += bucketTime {
		best = append(best, x.Scenario.maxGoodputAt(x.Site, at))
	}
	return p, addCurve(p, "best possible", average(best), color.Gray{Y: 0x80}, true)
}

func addCurve(p *plot.Plot, name string, values []float64, c color.Color, dashed bool) error {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: float64(i) * bucketsPerPoint * bucketTime.Seconds(), Y: v}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	if dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// average returns the means of consecutive groups of bucketsPerPoint values, and drops an incomplete last group.
func average(values []float64) []float64 {
	var out []float64
	for ; len(values) >= bucketsPerPoint; values = values[bucketsPerPoint:] {
		sum := 0.0
		for _, v := range values[:bucketsPerPoint] {
			sum += v
		}
		out = append(out, sum/bucketsPerPoint)
	}
	return out
}

// save draws the panels side by side into a PNG file.
func save(path string, panels []*plot.Plot) error {
	img := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI))
	tiles := draw.Tiles{Rows: 1, Cols: len(panels), PadX: vg.Points(12), PadRight: vg.Points(8), PadTop: vg.Points(4), PadBottom: vg.Points(4)}
	canvases := plot.Align([][]*plot.Plot{panels}, tiles, draw.New(img))
	for i, p := range panels {
		p.Y.Max *= legendHeadroom
		p.Draw(canvases[0][i])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
