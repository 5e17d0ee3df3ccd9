// Package report writes the result of an experiment as a self-contained HTML page: the
// verdict of the comparison of two arms, and for each scenario tables and plots of its
// days.
package report

import (
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"

	"cherryramp/lab/experiment"
	"cherryramp/lab/world"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"fixed": func(x float64) string { return fmt.Sprintf("%.4f", x) },
	"signed": func(x float64) string {
		if math.IsInf(x, 0) {
			return "?"
		}
		return fmt.Sprintf("%+.4f", x)
	},
	"span":     func(m world.Micros) string { return (time.Duration(m) * time.Microsecond).String() },
	"add":      func(a, b int) int { return a + b },
	"verdict":  func(e experiment.Effect) string { return e.Verdict() },
	"cssClass": func(e experiment.Effect) string { return strings.ReplaceAll(e.Verdict(), " ", "-") },
}).Parse(pageText))

// Arm is an arm with its days.
type Arm struct {
	experiment.Arm
	Days []experiment.Day
}

// Picture is a plot of the page, which can also be saved as a file.
type Picture struct {
	Name string
	PNG  []byte
}

// DataURL returns the picture as a data URL.
func (p Picture) DataURL() template.URL {
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(p.PNG))
}

// section is the page's section of one scenario.
type section struct {
	File, Name string
	Marks      []experiment.Mark
	Rows       []row
	Pictures   []Picture
}

// row holds an arm's means over its days of a scenario.
type row struct {
	Arm                              string
	Days                             int
	G, Service, WorstTen, WorstClass float64
	Hits, Origin                     float64
	Refused, Failed, Falls           float64
	MemoryMB                         float64
	Violations                       []string
	P50, P99                         []float64 // ms, by class
	Attempts, Denied, GivenUp        float64
}

// content is the data of the page template.
type content struct {
	Title          string
	Arms           []Arm
	Pairs          int
	Unpaired       int
	Effects        []experiment.Effect // empty with a single arm
	ByFile         []experiment.Effect
	Overview       *Picture
	Sections       []section
	Classes        []string
	ViolationCount int
}

// Write writes a report of one or more arms to out and returns its pictures. The first
// two arms are compared.
func Write(out io.Writer, title string, arms []Arm) (pictures []Picture, err error) {
	c := content{Title: title, Arms: arms}
	var files []string
	for _, a := range arms {
		if len(a.Days) == 0 {
			return nil, fmt.Errorf("report: arm %q has no days", a.Name)
		}
		files = append(files, experiment.Files(a.Days)...)
		for _, d := range a.Days {
			c.ViolationCount += len(d.Result.Violations)
		}
	}
	slices.Sort(files)
	files = slices.Compact(files)
	c.Classes = arms[0].Days[0].Result.Classes
	if len(arms) > 1 {
		pairs, unpaired, err := experiment.Pairs(arms[0].Days, arms[1].Days)
		if err != nil {
			return nil, err
		}
		c.Pairs, c.Unpaired = len(pairs), unpaired
		if c.Effects, err = experiment.Compare(pairs); err != nil {
			return nil, err
		}
		_, c.ByFile = experiment.ByFile("G", pairs)
		p, err := plotEffects(arms[0].Name, arms[1].Name, c.ByFile)
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		data, err := png(p, width, vg.Length(3+0.55*float64(len(c.ByFile)))*vg.Centimeter)
		if err != nil {
			return nil, err
		}
		c.Overview = &Picture{"effects", data}
		pictures = append(pictures, *c.Overview)
	}
	for _, f := range files {
		s, err := newSection(f, arms)
		if err != nil {
			return nil, fmt.Errorf("report: %s: %w", f, err)
		}
		c.Sections = append(c.Sections, s)
		pictures = append(pictures, s.Pictures...)
	}
	if err := page.Execute(out, c); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return pictures, nil
}

func newSection(file string, arms []Arm) (section, error) {
	s := section{File: file}
	var all []series
	for _, a := range arms {
		x := series{arm: a.Name}
		for _, d := range a.Days {
			if d.File == file {
				x.days = append(x.days, d)
			}
		}
		if len(x.days) == 0 {
			continue
		}
		all = append(all, x)
		s.Rows = append(s.Rows, newRow(&x))
	}
	s.Name, s.Marks = all[0].first().Name, all[0].first().Marks
	drawn := map[string]*plot.Plot{}
	order := []string{"worth", "origin", "denied", "refused", "failed", "attempts", "held", "memory", "reasons"}
	var err error
	add := func(name string, p *plot.Plot, e error) {
		drawn[name] = p
		if err == nil {
			err = e
		}
	}
	p, e := plotWorth(all)
	add("worth", p, e)
	for _, x := range []struct {
		name, title, y string
		of             func(x *world.Second) float64
	}{
		{"origin", "calls accepted by the store", "per second", func(x *world.Second) float64 { return float64(x.Origin) }},
		{"denied", "calls rejected by the store", "per second", func(x *world.Second) float64 { return float64(x.Denied) }},
		{"refused", "tries refused", "per second", func(x *world.Second) float64 { return float64(x.Refused) }},
		{"failed", "tries failed", "per second", func(x *world.Second) float64 { return float64(x.Failed) }},
		{"attempts", "attempts sent by fronts", "per second", func(x *world.Second) float64 { return float64(x.Attempts) }},
		{"held", "calls held by one front, maximum", "calls", func(x *world.Second) float64 { return float64(x.Held) }},
		{"memory", "resident size of one front, maximum", "MB", func(x *world.Second) float64 { return float64(x.MemoryKB) / 1024 }},
	} {
		p, e := plotPerSecond(all, x.title, x.y, x.of)
		add(x.name, p, e)
	}
	p, e = plotReasons(all)
	add("reasons", p, e)
	for i, class := range all[0].first().Result.Classes {
		p, e := plotLatency(all, i)
		name := "time-" + class
		add(name, p, e)
		order = append(order, name)
	}
	for i := range all {
		p, e := plotLinkLoad(&all[i])
		name := "load-" + all[i].arm
		add(name, p, e)
		order = append(order, name)
	}
	if err != nil {
		return s, err
	}
	for _, name := range order {
		if drawn[name] == nil {
			continue
		}
		data, err := png(drawn[name], width, height)
		if err != nil {
			return s, err
		}
		s.Pictures = append(s.Pictures, Picture{strings.TrimSuffix(file, ".scn") + "-" + name, data})
	}
	return s, nil
}

func newRow(s *series) row {
	x, n := row{Arm: s.arm, Days: len(s.days)}, float64(len(s.days))
	classes := len(s.first().Result.Classes)
	x.P50, x.P99 = make([]float64, classes), make([]float64, classes)
	for _, d := range s.days {
		r := d.Result
		x.G, x.Service, x.WorstTen, x.WorstClass = x.G+r.G/n, x.Service+r.Service/n, x.WorstTen+r.WorstTen/n, x.WorstClass+r.WorstClass/n
		x.Hits, x.Origin = x.Hits+r.Hits()/n, x.Origin+r.OriginBytes/math.Max(1, r.SentBytes)/n
		x.Falls, x.Attempts, x.Denied = x.Falls+float64(r.Falls)/n, x.Attempts+float64(r.Attempts)/n, x.Denied+float64(r.Denied)/n
		for i := range classes {
			x.Refused, x.Failed, x.GivenUp = x.Refused+float64(r.Refused[i])/n, x.Failed+float64(r.Failed[i])/n, x.GivenUp+float64(r.GaveUp[i])/n
			x.P50[i], x.P99[i] = x.P50[i]+float64(r.P50[i])/1000/n, x.P99[i]+float64(r.P99[i])/1000/n
		}
		for _, second := range r.Seconds {
			x.MemoryMB = max(x.MemoryMB, float64(second.MemoryKB)/1024)
		}
		for _, v := range r.Violations {
			x.Violations = append(x.Violations, fmt.Sprintf("seed %d: %s", d.Seed, v))
		}
	}
	return x
}
