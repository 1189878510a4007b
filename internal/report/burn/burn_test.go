package burn_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/report/burn"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// outage is a class with an objective of 90 % that misses everything in the
// seconds 4 and 5 of 10.
func outage() attainment.Result {
	r := attainment.Result{
		Scenario: "s", Deployment: "d", DurationMs: 10 * clock.Second,
		Classes: []attainment.Class{{
			Name: "<c>", ObjectivePercent: 90,
			Counts: attainment.Counts{Sent: 100, Met: 80, AttainmentPercent: 80},
		}},
		Accounts: []attainment.Account{{Name: "a", FairPercent: 93}},
	}
	for i := range 10 {
		b := attainment.Bucket{AtMs: clock.Millis(i) * clock.Second, Class: "<c>", Sent: 10, Met: 10}
		if i == 4 || i == 5 {
			b.Met = 0
		}
		r.Series = append(r.Series, b)
	}
	return r
}

func TestCompute(t *testing.T) {
	windows := []burn.Window{{LongMs: 4 * clock.Second, ShortMs: clock.Second, Threshold: 4}}
	got := burn.Compute([]attainment.Result{outage()}, windows).Runs[0].Classes[0]
	if math.Abs(got.BudgetLeftPercent+100) > 1e-9 {
		t.Errorf("budget left %v %%, want -100: twice the budget is spent", got.BudgetLeftPercent)
	}
	want := burn.Spent{
		Window: windows[0],
		Rates:  []float64{0, 0, 0, 0, 2.5, 5, 5, 5, 2.5, 0},
		Peak:   5,
		// In the second 5 both windows are above 4; after it the short one is not.
		AlertMs: clock.Second, FirstAlertMs: 5 * clock.Second,
	}
	near := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-9 })
	if diff := cmp.Diff([]burn.Spent{want}, got.Windows, near); diff != "" {
		t.Error(diff)
	}
}

func TestParseWindow(t *testing.T) {
	got, err := burn.ParseWindow("1h:5m:14.4")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(burn.Window{LongMs: clock.Hour, ShortMs: 5 * clock.Minute, Threshold: 14.4}, got); diff != "" {
		t.Error(diff)
	}
	for _, text := range []string{"", "1h", "1h:2h:1", "1h:5m:0", "1h:5m:NaN", "1h:1ms:1", "x:5m:1"} {
		var bad *burn.WindowError
		if _, err := burn.ParseWindow(text); !errors.As(err, &bad) {
			t.Errorf("window %q gave %v, want a WindowError", text, err)
		}
	}
}

func TestPageIsSelfContained(t *testing.T) {
	var buf bytes.Buffer
	if err := burn.Compute([]attainment.Result{outage()}, nil).WritePage(&buf); err != nil {
		t.Fatal(err)
	}
	text := buf.String()
	for _, external := range []string{"http:", "https:", "url(", "@import", "<script", "src="} {
		if strings.Contains(text, external) {
			t.Errorf("the page holds %q", external)
		}
	}
	if strings.Contains(text, "<c>") || !strings.Contains(text, "&lt;c&gt;") {
		t.Error("a class name is not escaped")
	}
	// One plot of attainment, one of burn, with finite coordinates.
	if n := strings.Count(text, "<polyline"); n != 4 {
		t.Errorf("the page holds %d lines, want 4", n)
	}
	if strings.Contains(text, "NaN") || strings.Contains(text, "Inf") {
		t.Error("the page holds a coordinate that is not finite")
	}
	svg := text[strings.Index(text, "<svg"):strings.Index(text, "</figure>")]
	dec := xml.NewDecoder(strings.NewReader(svg))
	for {
		if _, err := dec.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("plot: %v", err)
		}
	}
}
