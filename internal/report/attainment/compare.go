package attainment

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Comparison holds runs of several scenarios, policies and seeds.
type Comparison struct {
	Runs []Result `json:"runs"`
}

// Decode reads a Result or a Comparison.
func Decode(data []byte) ([]Result, error) {
	var c Comparison
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	if len(c.Runs) > 0 {
		return c.Runs, nil
	}
	var r Result
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return nil, err
	}
	return []Result{r}, nil
}

// Spread is a figure over several seeds.
type Spread struct {
	Mean, Min, Max float64
}

// String shows the mean and, if there are several values, the extremes.
func (s Spread) String() string {
	if s.Min == s.Max {
		return fmt.Sprintf("%.1f", s.Mean)
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Mean, s.Min, s.Max)
}

// SpreadOf returns the spread of figure over the runs.
func SpreadOf(runs []Result, figure func(Result) float64) Spread {
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, r := range runs {
		v := figure(r)
		s.Mean += v / float64(len(runs))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	return s
}

// group is the runs that differ only in the seed.
type group struct {
	deployment, scenario, baseline string
	runs                           []Result
}

func (c Comparison) groups() []*group {
	var out []*group
	index := map[[3]string]*group{}
	for _, r := range c.Runs {
		k := [3]string{r.Deployment, r.Scenario, r.Baseline}
		g := index[k]
		if g == nil {
			g = &group{deployment: r.Deployment, scenario: r.Scenario, baseline: r.Baseline}
			index[k] = g
			out = append(out, g)
		}
		g.runs = append(g.runs, r)
	}
	slices.SortStableFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.deployment, b.deployment), cmp.Compare(a.scenario, b.scenario))
	})
	return out
}

// WriteTable writes one table for each scenario, with a line for each policy:
// mean over the seeds, and least and greatest value.
func (c Comparison) WriteTable(w io.Writer) error {
	title := ""
	var tw *tabwriter.Writer
	for _, g := range c.groups() {
		if t := g.scenario + " on " + g.deployment; t != title {
			if tw != nil {
				_ = tw.Flush()
			}
			title = t
			_, _ = fmt.Fprintf(w, "\n%s, seeds %v, %d ms\n\n", title, g.seeds(), g.runs[0].DurationMs)
			tw = tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
			g.header(tw)
		}
		g.line(tw)
	}
	if tw == nil {
		return nil
	}
	return tw.Flush()
}

func (g *group) seeds() []uint64 {
	var out []uint64
	for _, r := range g.runs {
		out = append(out, r.Seed)
	}
	return out
}

func (g *group) header(w io.Writer) {
	titles, rule := "| policy", "|---"
	for _, c := range g.runs[0].Classes {
		titles += fmt.Sprintf("\t| %s (tier %d) met %%", c.Name, c.Tier)
		rule += "\t|---"
	}
	_, _ = fmt.Fprintln(w, titles+"\t| all met %\t| goodput %\t| wasted %\t| worst account of fair share %\t| worst account met %\t| cost per M good tokens\t| failed\t| timed out\t| incorrect\t| sent late p99 ms\t|")
	_, _ = fmt.Fprintln(w, rule+"\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
}

func (g *group) line(w io.Writer) {
	_, _ = fmt.Fprintf(w, "| %s", g.baseline)
	for i := range g.runs[0].Classes {
		_, _ = fmt.Fprintf(w, "\t| %s", SpreadOf(g.runs, func(r Result) float64 { return r.Classes[i].AttainmentPercent }))
	}
	figures := []func(Result) float64{
		func(r Result) float64 { return r.Totals.AttainmentPercent },
		func(r Result) float64 { return r.Totals.GoodputPercent },
		func(r Result) float64 { return r.Totals.WastedPercent },
		func(r Result) float64 { return r.Worst.FairPercent },
		lowestAttainment,
		costPerMillion,
		func(r Result) float64 { return float64(r.Totals.Failed) },
		func(r Result) float64 { return float64(r.Totals.TimedOut) },
		func(r Result) float64 { return float64(r.Totals.incorrect()) },
		func(r Result) float64 { return r.Totals.SendLagP99Ms },
	}
	for _, f := range figures {
		_, _ = fmt.Fprintf(w, "\t| %s", SpreadOf(g.runs, f))
	}
	_, _ = fmt.Fprintln(w, "\t|")
}

// lowestAttainment returns the least attainment of any account that sent requests.
func lowestAttainment(r Result) float64 {
	least := 100.0
	for _, a := range r.Accounts {
		if a.Sent > 0 {
			least = min(least, a.AttainmentPercent)
		}
	}
	return least
}

func costPerMillion(r Result) float64 {
	if r.Cost == nil || r.Totals.GoodTokens == 0 {
		return 0
	}
	return r.Cost.Spent / float64(r.Totals.GoodTokens) * 1e6
}
