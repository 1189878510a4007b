package attainment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes r for people to read.
func (r Result) WriteTable(w io.Writer) error {
	t := r.Totals
	_, _ = fmt.Fprintf(w, "scenario %s on %s, seed %d, %d ms", r.Scenario, r.Deployment, r.Seed, r.DurationMs)
	if r.Baseline != "" {
		_, _ = fmt.Fprintf(w, ", policy %s", r.Baseline)
	}
	_, _ = fmt.Fprintf(w, "\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "class\ttier\tsent\tmet %\trefused\tfailed\ttimed out\tincorrect\tfirst p50 ms\tp99\tgap p50 ms\tp99\tend p50 ms\tp99\t")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.Name, c.Tier, c.Sent, c.AttainmentPercent, c.Refused, c.Failed, c.TimedOut, c.incorrect(),
			c.FirstToken.Ms(50), c.FirstToken.Ms(99), c.TokenGap.Ms(50), c.TokenGap.Ms(99), c.End.Ms(50), c.End.Ms(99))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	_, _ = fmt.Fprintln(tw, "account\tshare\tsent\tmet %\toffered tokens\treceived\tfair\treceived/fair %\t")
	for _, a := range r.Accounts {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%.1f\t\n",
			a.Name, a.Share, a.Sent, a.AttainmentPercent, a.OfferedTokens, a.ReceivedTokens, a.FairTokens, a.FairPercent)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "\ngoodput %d tokens (%.1f %% of the %d servable), wasted %d (%.2f %% of %d generated)\n",
		t.GoodTokens, t.GoodputPercent, t.ServableTokens, t.WastedTokens, t.WastedPercent, t.GeneratedTokens)
	_, _ = fmt.Fprintf(w, "worst-served account %s: attainment %.2f %%, %.1f %% of its fair share\n",
		r.Worst.Name, r.Worst.AttainmentPercent, r.Worst.FairPercent)
	_, _ = fmt.Fprintf(w, "refused with Retry-After %d (mean %.0f ms), without %d; repeated %d, met %d, refused again %d\n",
		t.Retries.WithRetryAfter, t.Retries.MeanRetryAfterMs, t.Retries.RefusedWithoutTime,
		t.Retries.Repeated, t.Retries.RepeatedMet, t.Retries.RepeatedRefused)
	_, _ = fmt.Fprintf(w, "generator lag p99 %.2f ms\n", t.SendLagP99Ms)
	if r.Cost != nil {
		_, _ = fmt.Fprintf(w, "cost %.4f for %.1f server seconds, %.0f good tokens per unit\n", r.Cost.Spent, r.Cost.ServerSeconds, r.Cost.GoodTokensPerUnit)
	}
	for _, e := range slices.Sorted(maps.Keys(t.Errors)) {
		_, _ = fmt.Fprintf(w, "%6d %s\n", t.Errors[e], e)
	}
	for _, f := range r.NotInjected {
		_, _ = fmt.Fprintf(w, "not injected: %s\n", f.Kind)
	}
	for _, s := range r.Incorrect {
		_, _ = fmt.Fprintf(w, "incorrect: %s\n", s)
	}
	return nil
}

// incorrect counts the answers that were truncated, duplicated or wrong.
func (n Counts) incorrect() int {
	return n.Truncated + n.Duplicated + n.Wrong
}
