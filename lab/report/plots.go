package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"cherryramp/lab/experiment"
	"cherryramp/lab/world"
)

// Size of plots.
const (
	width  = 15 * vg.Centimeter
	height = 7 * vg.Centimeter
	dpi    = 110
)

// colours are the arms' colours, which remain distinguishable with red-green colour
// blindness (Okabe and Ito, Color Universal Design, 2008).
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}}

func colour(i int) color.Color { return colours[i%len(colours)] }

// markColor is the fill of the bands that mark faults.
var markColor = color.NRGBA{120, 120, 120, 50}

// series is the days of one arm in a scenario.
type series struct {
	arm  string
	days []experiment.Day // one for each seed; sums and means are over all
}

func (s *series) first() *experiment.Day { return &s.days[0] }

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.TextStyle.Font.Size, p.Legend.TextStyle.Font.Size = 10, 8
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Label.TextStyle.Font.Size, a.Tick.Label.Font.Size = 9, 8
	}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// png renders a plot.
func png(p *plot.Plot, w, h vg.Length) ([]byte, error) {
	c := vgimg.NewWith(vgimg.UseWH(w, h), vgimg.UseDPI(dpi))
	p.Draw(draw.Crop(draw.New(c), 3*vg.Millimeter, -3*vg.Millimeter, vg.Millimeter, -vg.Millimeter)) // margin for labels that extend beyond the plot
	var out bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(&out); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return out.Bytes(), nil
}

// addMarks shades a day's faults and numbers them like the list on the page.
func addMarks(p *plot.Plot, marks []experiment.Mark, top float64) error {
	var labels plotter.XYLabels
	for i, m := range marks {
		from := float64(m.At) / 1e6
		to := max(from+0.15, float64(m.At+m.For)/1e6)
		band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		band.Color, band.LineStyle.Width = markColor, 0
		p.Add(band)
		labels.XYs = append(labels.XYs, plotter.XY{X: from, Y: top})
		labels.Labels = append(labels.Labels, fmt.Sprint(i+1))
	}
	if len(marks) > 0 {
		l, err := plotter.NewLabels(labels)
		if err != nil {
			return err
		}
		for i := range l.TextStyle {
			l.TextStyle[i].Font.Size = 7
			l.TextStyle[i].YAlign = -1.2
		}
		p.Add(l)
	}
	return nil
}

// plotPerSecond plots a per-second value of a day for each arm, as the mean over its
// seeds. It returns nil if all values are 0.
func plotPerSecond(all []series, title, y string, of func(x *world.Second) float64) (*plot.Plot, error) {
	p := newPlot(title, "seconds", y)
	top := 0.0
	var lines []*plotter.Line
	for i, s := range all {
		var points plotter.XYs
		var counts []float64
		for _, d := range s.days {
			for n := range d.Result.Seconds {
				x := &d.Result.Seconds[n]
				if n == len(points) {
					points, counts = append(points, plotter.XY{X: float64(n)}), append(counts, 0)
				}
				if x.Asked > 0 { // seconds after the end of the load are not drawn
					points[n].Y += of(x)
					counts[n]++
				}
			}
		}
		for n := len(points) - 1; n >= 0 && counts[n] == 0; n-- {
			points = points[:n]
		}
		for n := range points {
			points[n].Y /= max(1, counts[n])
			top = max(top, points[n].Y)
		}
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = colour(i), vg.Points(1.2)
		lines = append(lines, l)
		p.Legend.Add(s.arm, l)
	}
	if top == 0 {
		return nil, nil // nothing to plot
	}
	if err := addMarks(p, all[0].first().Marks, top*1.02); err != nil {
		return nil, err
	}
	for _, l := range lines {
		p.Add(l)
	}
	p.Y.Min, p.Y.Max = 0, top*1.25
	return p, nil
}

// plotWorth plots the earned share of the requested worth.
func plotWorth(all []series) (*plot.Plot, error) {
	return plotPerSecond(all, "earned share of requested worth", "share", func(x *world.Second) float64 {
		return x.Earned / x.Asked
	})
}

// quantilePosition returns the position of a quantile on an axis on which each further
// nine has the same width.
func quantilePosition(percent float64) float64 { return -math.Log10(1 - min(percent, 99.95)/100) }

// plotLatency plots the latency of one class by quantile.
func plotLatency(all []series, class int) (*plot.Plot, error) {
	p := newPlot("latency of "+all[0].first().Result.Classes[class]+" from the first try", "percent of those served", "ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	var ticks plot.ConstantTicks
	for _, q := range []float64{0, 50, 75, 90, 97, 99, 99.9} {
		ticks = append(ticks, plot.Tick{Value: quantilePosition(q), Label: fmt.Sprintf("%g", q)})
	}
	p.X.Tick.Marker = ticks
	p.Legend.Left = true
	for i, s := range all {
		points := make(plotter.XYs, len(world.Quantiles))
		for n, q := range world.Quantiles {
			points[n].X = quantilePosition(q)
			for _, d := range s.days {
				points[n].Y += max(0.1, float64(d.Result.Times[class][n])/1000) / float64(len(s.days))
			}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = colour(i), vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(s.arm, l)
	}
	return p, nil
}

// grid holds link loads by server and second.
type grid [][]float64

func (g grid) Dims() (c, r int)   { return len(g[0]), len(g) }
func (g grid) Z(c, r int) float64 { return g[r][c] }
func (g grid) X(c int) float64    { return float64(c) }
func (g grid) Y(r int) float64    { return float64(r) }

// plotLinkLoad plots the load of each server's link per second, for one arm's first
// day. It returns nil if there are fewer than two servers or seconds.
func plotLinkLoad(s *series) (*plot.Plot, error) {
	nodes := slices.Clone(s.first().Result.Nodes)
	seconds := math.MaxInt
	for _, n := range nodes {
		seconds = min(seconds, len(n.Load))
	}
	if len(nodes) < 2 || seconds < 2 {
		return nil, nil
	}
	slices.Reverse(nodes) // the first server on top
	var g grid
	var ticks plot.ConstantTicks
	for i, n := range nodes {
		g = append(g, n.Load[:seconds])
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: n.Name})
	}
	p := newPlot(fmt.Sprintf("load of each server's link (%s, seed %d): dark none, light full", s.arm, s.first().Seed), "seconds", "")
	colours := moreland.ExtendedBlackBody()
	colours.SetMin(0)
	colours.SetMax(1)
	h := plotter.NewHeatMap(g, colours.Palette(64))
	h.Min, h.Max = 0, 1
	h.Overflow, h.Underflow = color.White, color.Black
	p.Add(h)
	p.Y.Tick.Marker = ticks
	p.Y.Tick.Label.Font.Size = 6
	return p, nil
}

// maxReasons is the maximum number of reasons shown.
const maxReasons = 10

// plotReasons plots the number of refused or failed tries per day by reason.
func plotReasons(all []series) (*plot.Plot, error) {
	sums := map[string]float64{}
	for _, s := range all {
		for _, d := range s.days {
			for r, n := range d.Result.Reasons {
				sums[r] += float64(n)
			}
		}
	}
	if len(sums) == 0 {
		return nil, nil
	}
	var names []string
	for r := range sums {
		names = append(names, r)
	}
	sort.Slice(names, func(i, j int) bool {
		return sums[names[i]] > sums[names[j]] || sums[names[i]] == sums[names[j]] && names[i] < names[j]
	})
	names = names[:min(len(names), maxReasons)]
	slices.Reverse(names)
	p := newPlot("tries refused or failed per day, by reason", "tries", "")
	bar := vg.Points(12 / float64(len(all)))
	for i, s := range all {
		var values plotter.Values
		for _, r := range names {
			sum := 0
			for _, d := range s.days {
				sum += d.Result.Reasons[r]
			}
			values = append(values, float64(sum)/float64(len(s.days)))
		}
		b, err := plotter.NewBarChart(values, bar)
		if err != nil {
			return nil, err
		}
		b.Horizontal, b.Color, b.LineStyle.Width = true, colour(i), 0
		b.Offset = bar * vg.Length(float64(len(all)-1)/2-float64(i))
		p.Add(b)
		p.Legend.Add(s.arm, b)
	}
	p.Legend.Top = false
	p.NominalY(names...)
	p.Y.Tick.Label.Font.Size = 7
	return p, nil
}

// plotEffects plots the difference in G of the second of two arms, by scenario.
func plotEffects(a, b string, list []experiment.Effect) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("G of %s minus G of %s, with 95%% intervals where there are enough days", b, a), "difference", "")
	var names []string
	for i := range list {
		e := &list[len(list)-1-i]
		names = append(names, e.Measure)
		y := float64(i)
		if !math.IsInf(e.Low, 0) {
			l, err := plotter.NewLine(plotter.XYs{{X: e.Low, Y: y}, {X: e.High, Y: y}})
			if err != nil {
				return nil, err
			}
			l.Color, l.Width = colour(0), vg.Points(1.5)
			p.Add(l)
		}
		dot, err := plotter.NewScatter(plotter.XYs{{X: e.Mean, Y: y}})
		if err != nil {
			return nil, err
		}
		dot.Shape, dot.Color, dot.Radius = draw.CircleGlyph{}, colour(1), vg.Points(2.5)
		p.Add(dot)
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(list)) - 0.5}})
	if err != nil {
		return nil, err
	}
	zero.Width = vg.Points(0.7)
	p.Add(zero)
	p.NominalY(names...)
	p.Y.Tick.Label.Font.Size = 7
	return p, nil
}
