package attainment_test

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/openloop"
	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

func TestMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		demands := make([]attainment.Demand, n)
		sum := 0.0
		for i := range demands {
			demands[i] = attainment.Demand{
				Amount: float64(rapid.IntRange(0, 100).Draw(t, "amount")),
				Weight: float64(rapid.IntRange(1, 9).Draw(t, "weight")),
			}
			sum += demands[i].Amount
		}
		total := float64(rapid.IntRange(0, 400).Draw(t, "total"))
		got := attainment.MaxMinFair(total, demands)
		given, level := 0.0, 0.0
		for i, x := range got {
			given += x
			level = max(level, x/demands[i].Weight)
		}
		if math.Abs(given-min(total, sum)) > 1e-6 {
			t.Fatalf("gave %v of %v to a demand of %v", given, total, sum)
		}
		for i, x := range got {
			if x > demands[i].Amount+1e-9 {
				t.Fatalf("party %d got %v, asked for %v", i, x, demands[i].Amount)
			}
			if x < demands[i].Amount-1e-6 && x/demands[i].Weight < level-1e-6 {
				t.Fatalf("party %d got %v for each unit of weight, another one got %v", i, x/demands[i].Weight, level)
			}
		}
	})
}

func schedule() arrivals.Schedule {
	class := arrivals.ClassLoad{
		Class:            directory.Class{Name: "c", FirstTokenMs: 100, TokenMs: 20, AnswerMs: 1000},
		ObjectivePercent: 99,
	}
	var requests []arrivals.Request
	for _, at := range []clock.Millis{0, 100, 200, 300, 1100, 1200, 1300} {
		requests = append(requests, arrivals.Request{At: at, Class: "c", Tokens: 11})
	}
	return arrivals.Schedule{
		Duration: 2 * clock.Second,
		Requests: requests,
		Scenario: arrivals.Scenario{
			Name:       "s",
			Deployment: arrivals.Deployment{Engines: 1, Slots: 1, TokenMs: 20},
			Classes:    []arrivals.ClassLoad{class},
			Accounts:   []arrivals.Account{{Name: "a", Share: 1}, {Name: "b", Share: 1}},
		},
	}
}

func sample(account string, at clock.Millis, o openloop.Outcome, firstMs, endMs int64, tokens int) openloop.Sample {
	return openloop.Sample{
		Class: "c", Account: account, ArrivalMs: at, Outcome: o, Wanted: 11,
		FirstTokenUs: firstMs * 1000, EndUs: endMs * 1000, Tokens: tokens, WindowTokens: tokens,
	}
}

func TestCompute(t *testing.T) {
	samples := []openloop.Sample{
		sample("a", 0, openloop.Complete, 50, 250, 11),
		sample("a", 100, openloop.Complete, 150, 300, 11),  // first token late
		sample("a", 200, openloop.Complete, 50, 300, 11),   // 25 ms between tokens
		sample("a", 300, openloop.Complete, 50, 1100, 11),  // end late
		sample("b", 1100, openloop.Refused, 0, 1, 0),       // not run
		sample("b", 1200, openloop.Truncated, 50, 100, 5),  // cut without an error
		sample("b", 1300, openloop.Complete, 100, 300, 11), // at the limits
	}
	got := attainment.Compute(schedule(), samples)
	wantTotals := attainment.Totals{
		Counts:                  attainment.Counts{Sent: 7, Complete: 5, Met: 2, Refused: 1, Truncated: 1, AttainmentPercent: 200.0 / 7},
		CapacityTokensPerSecond: 50,
		OfferedTokens:           77,
		ServableTokens:          35, // 5 tokens within the 100 ms of each request
		GoodTokens:              22,
		GoodWindowTokens:        22,
		GoodputPercent:          2200.0 / 35,
		GeneratedTokens:         60,
		WastedTokens:            38,
		WastedPercent:           3800.0 / 60,
		Retries:                 attainment.Retries{RefusedWithoutTime: 1},
		SendLagP99Ms:            0.001,
		Errors:                  map[string]int{"refused c 0 : ": 1, "truncated c 0 : ": 1},
	}
	if diff := cmp.Diff(wantTotals, got.Totals); diff != "" {
		t.Error(diff)
	}
	wantSeries := []attainment.Bucket{{AtMs: 0, Class: "c", Sent: 4, Met: 1}, {AtMs: 1000, Class: "c", Sent: 3, Met: 1}}
	if diff := cmp.Diff(wantSeries, got.Series); diff != "" {
		t.Error(diff)
	}
	// 55 tokens were delivered; b asked for 33, so that 27 each are fair.
	if got.Worst.Name != "b" || got.Worst.FairTokens != 27 || got.Worst.ReceivedTokens != 11 {
		t.Errorf("worst account is %+v, want b with 11 of 27 tokens", got.Worst)
	}
}

func TestResultJSON(t *testing.T) {
	res := attainment.Compute(schedule(), []openloop.Sample{sample("a", 0, openloop.Complete, 50, 250, 11)})
	data, err := json.Marshal(res)
	if err != nil {
		t.Fatal(err)
	}
	var got attainment.Result
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(again)); diff != "" {
		t.Error(diff)
	}
	if p50 := got.Classes[0].FirstToken.Ms(50); math.Abs(p50-50) > 0.1 {
		t.Errorf("the first token's median is %v ms after JSON, want 50", p50)
	}
}
