package burn

import (
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/damaskport/damaskport/internal/report/attainment"
)

//go:embed page.html.tmpl
var pageTemplate string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"seconds": func(r Run) string { return fmt.Sprintf("%g s", r.DurationMs.Duration().Seconds()) },
	"plots":   plots,
	"burns":   burnPlot,
	"bars":    bars,
}).Parse(pageTemplate))

// WritePage writes the report as one HTML page that loads nothing.
func (r Report) WritePage(w io.Writer) error {
	return page.Execute(w, r)
}

// Size of a plot's drawing area and its margins, in pixels.
const (
	plotWidth   = 300.0
	plotHeight  = 120.0
	marginLeft  = 38.0
	marginTop   = 10.0
	maxColors   = 6
	barHeight   = 16.0
	barMaxScale = 150.0
)

// plot is a line plot ready to be drawn.
type plot struct {
	Title  string
	Lines  []line
	YTicks []tick
	XTicks []tick
	Right  float64
	Bottom float64
}

type line struct {
	Name   string
	Color  int
	Points string
	Dashed bool
}

type tick struct {
	At    float64
	Label string
}

// plots returns the attainment by second of each class, with its objective.
func plots(r Run) []plot {
	var out []plot
	for i, c := range r.Classes {
		p := newPlot(fmt.Sprintf("%s, tier %d", c.Name, c.Tier), len(c.Seconds), 100, "%")
		var met []float64
		for _, b := range c.Seconds {
			v := math.NaN()
			if b.Sent > 0 {
				v = 100 * float64(b.Met) / float64(b.Sent)
			}
			met = append(met, v)
		}
		objective := []float64{c.ObjectivePercent}
		for range met[min(1, len(met)):] {
			objective = append(objective, c.ObjectivePercent)
		}
		p.Lines = []line{
			{Name: "objective", Color: maxColors, Points: points(objective, 100), Dashed: true},
			{Name: "met", Color: i % maxColors, Points: points(met, 100)},
		}
		out = append(out, p)
	}
	return out
}

// burnPlot returns the burn rates of the middle pair of windows by class.
func burnPlot(r Run) plot {
	top, n := 1.0, 0
	middle := func(c Class) Spent { return c.Windows[len(c.Windows)/2] }
	for _, c := range r.Classes {
		top = max(top, middle(c).Peak)
		n = max(n, len(c.Seconds))
	}
	if len(r.Classes) == 0 {
		return newPlot("", 0, top, "")
	}
	w := middle(r.Classes[0])
	top = niceTop(max(top, w.Threshold))
	p := newPlot(fmt.Sprintf("burn rate over %s, alert above %g", w.LongMs.Duration(), w.Threshold), n, top, "")
	threshold := make([]float64, n)
	for i := range threshold {
		threshold[i] = w.Threshold
	}
	p.Lines = append(p.Lines, line{Name: "threshold", Color: maxColors, Points: points(threshold, top), Dashed: true})
	for i, c := range r.Classes {
		p.Lines = append(p.Lines, line{Name: c.Name, Color: i % maxColors, Points: points(middle(c).Rates, top)})
	}
	return p
}

func newPlot(title string, n int, top float64, unit string) plot {
	p := plot{Title: title, Right: marginLeft + plotWidth, Bottom: marginTop + plotHeight}
	for _, part := range []float64{0, 0.5, 1} {
		p.YTicks = append(p.YTicks, tick{marginTop + plotHeight*(1-part), fmt.Sprintf("%g%s", top*part, unit)})
	}
	for _, part := range []float64{0, 0.5, 1} {
		p.XTicks = append(p.XTicks, tick{marginLeft + plotWidth*part, fmt.Sprintf("%g s", float64(n)*part)})
	}
	return p
}

// niceTop rounds up to 1, 2 or 5 times a power of ten.
func niceTop(v float64) float64 {
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 5, 10} {
		if v <= f*unit {
			return f * unit
		}
	}
	return v
}

// points places values at the middle of their seconds. Seconds without a
// value are left out.
func points(values []float64, top float64) string {
	var b strings.Builder
	for i, v := range values {
		if math.IsNaN(v) {
			continue
		}
		x := marginLeft + plotWidth*(float64(i)+0.5)/float64(len(values))
		y := marginTop + plotHeight*(1-min(v, top)/top)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

// bar is what an account received, in percent of its fair share.
type bar struct {
	Name  string
	Y     float64
	TextY float64
	Width float64
	EndX  float64
	Label string
}

type barPlot struct {
	Bars   []bar
	FairX  float64
	Height float64
}

func bars(r Run) barPlot {
	out := barPlot{FairX: barX(100)}
	for i, a := range r.accounts {
		y := float64(i) * (barHeight + 4)
		out.Bars = append(out.Bars, bar{
			Name: a.Name, Y: y, TextY: y + barHeight - 4,
			Width: barX(a.FairPercent) - barX(0), EndX: barX(barMaxScale) + 8, Label: barLabel(a),
		})
		out.Height = y + barHeight + 4
	}
	return out
}

func barLabel(a attainment.Account) string {
	return fmt.Sprintf("%.0f %% (met %.0f %%)", a.FairPercent, a.AttainmentPercent)
}

// barX returns the place of a percentage on the axis of the bars.
func barX(percent float64) float64 {
	const left, width = 110.0, 260.0
	return left + width*min(percent, barMaxScale)/barMaxScale
}
