package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report for people to read.
func (r Report) WriteTable(w io.Writer) error {
	for i, run := range r.Runs {
		if i > 0 {
			_, _ = fmt.Fprintln(w)
		}
		if err := run.writeTable(w); err != nil {
			return err
		}
	}
	return nil
}

// Title names the run.
func (r Run) Title() string {
	t := fmt.Sprintf("%s on %s, seed %d", r.Scenario, r.Deployment, r.Seed)
	if r.Baseline != "" {
		t += ", policy " + r.Baseline
	}
	return t
}

// First returns the first class, whose windows are those of all.
func (r Run) First() Class {
	if len(r.Classes) == 0 {
		return Class{}
	}
	return r.Classes[0]
}

func (r Run) writeTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%s\n", r.Title())
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(tw, "class\ttier\tobjective %\tmet %\tbudget left %\t")
	for _, s := range r.First().Windows {
		_, _ = fmt.Fprintf(tw, "%s/%s > %g: peak\tend\talert s\t", s.LongMs.Duration(), s.ShortMs.Duration(), s.Threshold)
	}
	_, _ = fmt.Fprintln(tw)
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%.1f\t%.2f\t%.1f\t", c.Name, c.Tier, c.ObjectivePercent, c.AttainmentPercent, c.BudgetLeftPercent)
		for _, s := range c.Windows {
			_, _ = fmt.Fprintf(tw, "%.1f\t%.1f\t%.0f\t", s.Peak, s.End, s.AlertMs.Duration().Seconds())
		}
		_, _ = fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	t := r.Totals
	_, _ = fmt.Fprintf(w, "goodput %d tokens, %.1f %% of the servable; wasted %d, %.2f %% of the generated\n",
		t.GoodTokens, t.GoodputPercent, t.WastedTokens, t.WastedPercent)
	_, _ = fmt.Fprintf(w, "worst-served account %s: met %.2f %%, %.1f %% of its fair share\n",
		r.Worst.Name, r.Worst.AttainmentPercent, r.Worst.FairPercent)
	if r.Cost != nil {
		_, _ = fmt.Fprintf(w, "cost %.4f for %.1f server seconds, %.0f good tokens per unit\n",
			r.Cost.Spent, r.Cost.ServerSeconds, r.Cost.GoodTokensPerUnit)
	}
	return nil
}
