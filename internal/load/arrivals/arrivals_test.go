package arrivals_test

import (
	"encoding/json"
	"errors"
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/role/solo"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const seed = 7

func named(t *testing.T, name, deployment string) arrivals.Scenario {
	t.Helper()
	s, err := arrivals.Named(name, deployment)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestGenerateFollowsFromSeed(t *testing.T) {
	s := named(t, arrivals.Eruption, arrivals.Vienna)
	first := arrivals.Generate(s, seed, 20*clock.Second)
	second := arrivals.Generate(s, seed, 20*clock.Second)
	if diff := cmp.Diff(first.Requests, second.Requests); diff != "" {
		t.Errorf("seed %d: two schedules differ:\n%s", seed, diff)
	}
	other := arrivals.Generate(s, seed+1, 20*clock.Second)
	if cmp.Equal(first.Requests, other.Requests) {
		t.Errorf("seeds %d and %d give the same schedule", seed, seed+1)
	}
}

func TestGenerateOffersTheLoad(t *testing.T) {
	const duration = 300 * clock.Second
	for _, deployment := range []string{arrivals.Colombo, arrivals.Vienna} {
		for _, name := range arrivals.Names() {
			s := named(t, name, deployment)
			before, during := tokensPerSecond(arrivals.Generate(s, seed, duration))
			capacity := s.Deployment.TokensPerSecond()
			wantBefore, wantDuring := capacity*s.LoadPercent/100, expectedDuring(s)
			if math.Abs(before/wantBefore-1) > 0.1 {
				t.Errorf("seed %d: %s on %s: offered %.0f tokens/s at first, want %.0f", seed, name, deployment, before, wantBefore)
			}
			if math.Abs(during/wantDuring-1) > 0.1 {
				t.Errorf("seed %d: %s on %s: offered %.0f tokens/s in the middle, want %.0f", seed, name, deployment, during, wantDuring)
			}
		}
	}
}

// tokensPerSecond returns the load in the first tenth and in 35 % to 65 % of the run.
func tokensPerSecond(sched arrivals.Schedule) (first, middle float64) {
	d := float64(sched.Duration)
	for _, q := range sched.Requests {
		switch at := float64(q.At) / d; {
		case at < 0.1:
			first += float64(q.Tokens)
		case at > 0.35 && at < 0.65:
			middle += float64(q.Tokens)
		}
	}
	return first / (d / 1000 * 0.1), middle / (d / 1000 * 0.3)
}

func expectedDuring(s arrivals.Scenario) float64 {
	capacity := s.Deployment.TokensPerSecond() / 100
	switch s.Name {
	case arrivals.AfternoonBurst:
		burst := s.Classes[1].LoadPercent + s.Classes[2].LoadPercent
		return capacity * (60*(100-burst)/100 + 180*burst/100)
	case arrivals.Eruption:
		return capacity * 200
	case arrivals.Flood:
		return capacity * 90 * (1 + 9.0/25)
	}
	return capacity * s.LoadPercent
}

func TestFloodSendsTenTimesTheShare(t *testing.T) {
	s := named(t, arrivals.Flood, arrivals.Colombo)
	sched := arrivals.Generate(s, seed, 300*clock.Second)
	tokens := map[string]float64{}
	for _, q := range sched.Requests {
		if at := float64(q.At) / float64(sched.Duration); at > 0.1 && at < 0.9 {
			tokens[q.Account] += float64(q.Tokens)
		}
	}
	flooding, peer := tokens["events"], tokens["hotels"]
	if ratio := flooding / peer; ratio < 8 || ratio > 12 {
		t.Errorf("seed %d: the flooding account sends %.1f times what its equal sends, want 10", seed, ratio)
	}
}

// TestDemoFitsSolo holds the demo scenario to what solo runs by default.
func TestDemoFitsSolo(t *testing.T) {
	s := named(t, arrivals.Demo, "")
	cfg := solo.Defaults()
	var classes []directory.Class
	for _, c := range s.Classes {
		classes = append(classes, c.Class)
	}
	slices.SortFunc(classes, func(a, b directory.Class) int { return a.Tier - b.Tier })
	if diff := cmp.Diff(cfg.Classes, classes, cmpopts.IgnoreFields(directory.Class{}, "Pools")); diff != "" {
		t.Error(diff)
	}
	want := arrivals.Deployment{
		Name: "solo", Zones: cfg.Zones, Engines: cfg.Engines, Services: cfg.Services,
		Slots: cfg.Slots, TokenMs: cfg.TokenMs, Model: solo.Model,
	}
	if diff := cmp.Diff(want, s.Deployment); diff != "" {
		t.Error(diff)
	}
	if s.Accounts[0].Name != cfg.Accounts[0].Name {
		t.Errorf("demo uses the account %q, solo has %q", s.Accounts[0].Name, cfg.Accounts[0].Name)
	}
}

func TestScenarioJSON(t *testing.T) {
	want := named(t, arrivals.Straggler, arrivals.Vienna)
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got arrivals.Scenario
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("a scenario changed on its way through JSON:\n%s", diff)
	}
	want.Classes[0].Output.Max = 0
	data, err = json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var field *directory.FieldError
	if err := json.Unmarshal(data, &got); !errors.As(err, &field) || field.Field != "output" {
		t.Errorf("a scenario without output lengths gave %v, want a FieldError of output", err)
	}
}
