// Package burn reports how fast request classes spend their error budgets,
// over several pairs of windows, after the multi-window, multi-burn-rate
// alerts of the SRE workbook.
//
// A burn rate of 1 spends exactly the whole budget by the end of the period.
// A pair of windows alerts while the burn rates of both are above its threshold.
package burn

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const bucketMs = clock.Second

// Window is a pair of windows and the burn rate above which both alert.
type Window struct {
	LongMs    clock.Millis `json:"longMs"`
	ShortMs   clock.Millis `json:"shortMs"`
	Threshold float64      `json:"threshold"`
}

// WindowError reports a window that cannot be used.
type WindowError struct {
	Text   string
	Reason string
}

// Error names the text and what would be right.
func (e *WindowError) Error() string {
	return fmt.Sprintf("window %q: %s", e.Text, e.Reason)
}

// ParseWindow reads LONG:SHORT:THRESHOLD, such as 1h:5m:14.4.
func ParseWindow(text string) (Window, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return Window{}, &WindowError{text, "must be LONG:SHORT:THRESHOLD, such as 1h:5m:14.4"}
	}
	long, err1 := time.ParseDuration(parts[0])
	short, err2 := time.ParseDuration(parts[1])
	threshold, err3 := strconv.ParseFloat(parts[2], 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Window{}, &WindowError{text, "must hold two durations and a number"}
	}
	w := Window{clock.FromDuration(long), clock.FromDuration(short), threshold}
	if w.ShortMs < bucketMs || w.LongMs < w.ShortMs || !(threshold > 0) {
		return Window{}, &WindowError{text, "must have 1s <= SHORT <= LONG and a threshold above 0"}
	}
	return w, nil
}

// DefaultWindows returns three pairs for a period: a tenth of it at a burn
// rate of 5, a quarter at 2, and the whole at 1.
func DefaultWindows(period clock.Millis) []Window {
	window := func(long clock.Millis, threshold float64) Window {
		whole := func(d clock.Millis) clock.Millis { return max(1, d/bucketMs) * bucketMs }
		return Window{whole(long), whole(long / 4), threshold}
	}
	return []Window{window(period/10, 5), window(period/4, 2), window(period, 1)}
}

// Report holds the burn of one or more runs.
type Report struct {
	Runs []Run `json:"runs"`
}

// Run is the burn of one run, and its other figures.
type Run struct {
	Scenario   string             `json:"scenario"`
	Deployment string             `json:"deployment"`
	Baseline   string             `json:"baseline,omitempty"`
	Seed       uint64             `json:"seed"`
	DurationMs clock.Millis       `json:"durationMs"`
	Classes    []Class            `json:"classes"`
	Totals     attainment.Totals  `json:"totals"`
	Worst      attainment.Account `json:"worst"`
	Cost       *attainment.Cost   `json:"cost,omitempty"`
	accounts   []attainment.Account
}

// Class is the burn of one request class.
type Class struct {
	Name              string  `json:"name"`
	Tier              int     `json:"tier"`
	ObjectivePercent  float64 `json:"objectivePercent"`
	Sent              int     `json:"sent"`
	Met               int     `json:"met"`
	AttainmentPercent float64 `json:"attainmentPercent"`
	// BudgetLeftPercent is the part of the error budget that is left; below 0
	// it is overspent.
	BudgetLeftPercent float64 `json:"budgetLeftPercent"`
	Windows           []Spent `json:"windows"`
	// Seconds are the counts by second of arrival.
	Seconds []attainment.Bucket `json:"seconds"`
}

// Spent is the burn of a class in one pair of windows.
type Spent struct {
	Window
	// Rates are the burn rates of the long window, at the end of each second.
	Rates []float64 `json:"rates"`
	Peak  float64   `json:"peak"`
	End   float64   `json:"end"`
	// AlertMs is the time during which both windows were above the threshold,
	// and FirstAlertMs its begin, or -1.
	AlertMs      clock.Millis `json:"alertMs"`
	FirstAlertMs clock.Millis `json:"firstAlertMs"`
}

// Compute returns the report on results. Without windows, DefaultWindows of
// each run's duration apply.
func Compute(results []attainment.Result, windows []Window) Report {
	var out Report
	for _, r := range results {
		w := windows
		if len(w) == 0 {
			w = DefaultWindows(r.DurationMs)
		}
		out.Runs = append(out.Runs, newRun(r, w))
	}
	return out
}

func newRun(r attainment.Result, windows []Window) Run {
	run := Run{
		Scenario: r.Scenario, Deployment: r.Deployment, Baseline: r.Baseline, Seed: r.Seed, DurationMs: r.DurationMs,
		Totals: r.Totals, Worst: r.Worst, Cost: r.Cost, accounts: r.Accounts,
	}
	for _, c := range r.Classes {
		var seconds []attainment.Bucket
		for _, b := range r.Series {
			if b.Class == c.Name {
				seconds = append(seconds, b)
			}
		}
		run.Classes = append(run.Classes, newClass(c, seconds, windows))
	}
	return run
}

func newClass(c attainment.Class, seconds []attainment.Bucket, windows []Window) Class {
	out := Class{
		Name: c.Name, Tier: c.Tier, ObjectivePercent: c.ObjectivePercent,
		Sent: c.Sent, Met: c.Met, AttainmentPercent: c.AttainmentPercent,
		BudgetLeftPercent: 100,
		Seconds:           seconds,
	}
	if c.Sent > 0 {
		out.BudgetLeftPercent = 100 * (1 - rate(c.Sent, c.Met, c.ObjectivePercent))
	}
	for _, w := range windows {
		out.Windows = append(out.Windows, spent(w, seconds, c.ObjectivePercent))
	}
	return out
}

func spent(w Window, seconds []attainment.Bucket, objective float64) Spent {
	s := Spent{Window: w, FirstAlertMs: -1}
	for i := range seconds {
		long, short := over(seconds[:i+1], w.LongMs, objective), over(seconds[:i+1], w.ShortMs, objective)
		s.Rates = append(s.Rates, long)
		s.Peak, s.End = max(s.Peak, long), long
		if long <= w.Threshold || short <= w.Threshold {
			continue
		}
		if s.FirstAlertMs < 0 {
			s.FirstAlertMs = seconds[i].AtMs
		}
		s.AlertMs += bucketMs
	}
	return s
}

// over returns the burn rate of the last buckets that span d.
func over(seconds []attainment.Bucket, d clock.Millis, objective float64) float64 {
	n := max(1, int(d/bucketMs))
	sent, met := 0, 0
	for _, b := range seconds[max(0, len(seconds)-n):] {
		sent += b.Sent
		met += b.Met
	}
	return rate(sent, met, objective)
}

// rate returns the part of requests that missed over the part that may miss.
func rate(sent, met int, objective float64) float64 {
	if sent == 0 {
		return 0
	}
	return float64(sent-met) / float64(sent) / (1 - objective/100)
}
