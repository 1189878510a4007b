package arrivals

import (
	"fmt"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Names of the scenarios that Named knows.
const (
	AfternoonBurst = "afternoonBurst"
	Eruption       = "eruption"
	Flood          = "flood"
	Straggler      = "straggler"
	CrashedZone    = "crashedZone"
	StaleReports   = "staleReports"
	ColdStart      = "coldStart"
	Demo           = "demo"
)

// Names of the deployments.
const (
	Colombo = "colombo"
	Vienna  = "vienna"
)

// PoolModel and PoolService name the pools of both deployments.
const (
	PoolModel   = "assistant"
	PoolService = "booking"
)

// Names returns the scenarios of the measurements.
func Names() []string {
	return []string{AfternoonBurst, Eruption, Flood, Straggler, CrashedZone, StaleReports, ColdStart}
}

// UnknownError reports a scenario or deployment that does not exist.
type UnknownError struct {
	Kind  string
	Name  string
	Known []string
}

// Error names what was looked up and what exists.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown %s %q, known are %s", e.Kind, e.Name, strings.Join(e.Known, ", "))
}

// Named returns a scenario on a deployment.
func Named(name, deployment string) (Scenario, error) {
	if name == Demo {
		return demo(), nil
	}
	base, err := deploymentScenario(deployment)
	if err != nil {
		return Scenario{}, err
	}
	base.Name = name
	if !slices.Contains(Names(), name) {
		return Scenario{}, &UnknownError{"scenario", name, append(Names(), Demo)}
	}
	return withEvents(base), nil
}

// withEvents adds the load and the faults that the name of s stands for.
func withEvents(s Scenario) Scenario {
	switch s.Name {
	case AfternoonBurst:
		s.LoadPercent = 60
		burst := []string{s.Classes[1].Class.Name, s.Classes[2].Class.Name}
		s.Phases = []Phase{{FromPercent: 30, ToPercent: 70, LoadPercent: 180, Classes: burst}}
		s.BurstPercent, s.BurstSize = 15, 5
	case Eruption:
		s.LoadPercent = 70
		s.Phases = []Phase{{FromPercent: 20, ToPercent: 80, LoadPercent: 200}}
	case Flood:
		s.LoadPercent = 90
		s.Phases = []Phase{{FromPercent: 10, ToPercent: 90, LoadPercent: 90}}
		s.Accounts[len(s.Accounts)-1].Flood = 10
	case Straggler:
		s.Faults = []Fault{{Kind: FaultStraggler, AtPercent: 20, Server: 0, Factor: 5}}
	case CrashedZone:
		s.Faults = []Fault{{Kind: FaultCrashedZone, AtPercent: 40, Zone: s.Deployment.Zones[0]}}
	case StaleReports:
		s.LoadPercent = 85
		s.Faults = []Fault{{Kind: FaultStaleReports, DelayMs: 5 * clock.Second}}
	case ColdStart:
		s.Faults = []Fault{{Kind: FaultColdStart, AtPercent: 30, DelayMs: 2 * clock.Second}}
	}
	return s
}

// demo is a light load on what damaskport solo runs by default.
func demo() Scenario {
	interactive := class("interactive", 1, 1500, 50, 0, 95, 50, Lengths{60, 0.8, 400})
	interactive.Class.FloorPercent = 5
	return Scenario{
		Name: Demo,
		Deployment: Deployment{
			Name: "solo", Zones: []string{"a", "b"}, Engines: 3, Services: 2, Slots: 8, TokenMs: 10, Model: "assistant-1",
		},
		Classes: []ClassLoad{
			class("urgent", 0, 600, 50, 0, 99, 25, Lengths{24, 0.7, 240}),
			interactive,
			class("batch", 2, 0, 0, 60_000, 90, 25, Lengths{80, 0.7, 400}),
		},
		Accounts:    []Account{{Name: "demo", Share: 1, Prefixes: 4}},
		LoadPercent: 40,
	}
}

func deploymentScenario(name string) (Scenario, error) {
	switch name {
	case Colombo:
		return Scenario{
			Deployment:   deployment(Colombo, 4, 4, "booking-assistant"),
			Classes:      colomboClasses(),
			Accounts:     accounts("skyhop", "bouncehouse", "airtime", "schools-west", "schools-east", "parties-north", "parties-south", "clubs", "hotels", "events"),
			LoadPercent:  70,
			RetryPercent: 30,
		}, nil
	case Vienna:
		return Scenario{
			Deployment:   deployment(Vienna, 3, 3, "briefing"),
			Classes:      viennaClasses(),
			Accounts:     accounts("austral", "danubia", "alpine-air", "cargo-one", "cargo-two", "charter", "rescue", "regional", "survey", "gliders"),
			LoadPercent:  70,
			RetryPercent: 30,
		}, nil
	}
	return Scenario{}, &UnknownError{"deployment", name, []string{Colombo, Vienna}}
}

func deployment(name string, zones, services int, model string) Deployment {
	return Deployment{
		Name:     name,
		Zones:    []string{"a", "b", "c", "d"}[:zones],
		Engines:  9,
		Services: services,
		Slots:    8,
		TokenMs:  10,
		Model:    model,
	}
}

// accounts returns the ten client accounts of a deployment; three are large.
func accounts(names ...string) []Account {
	shares := []int{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}
	out := make([]Account, len(names))
	for i, n := range names {
		out[i] = Account{Name: n, Share: shares[i], Prefixes: 2 + shares[i]/2}
	}
	return out
}

func colomboClasses() []ClassLoad {
	return []ClassLoad{
		class("waiver", 0, 250, 25, 0, 99, 25, Lengths{24, 0.7, 240}),
		class("party", 1, 600, 30, 0, 95, 35, Lengths{60, 0.8, 400}),
		class("chat", 1, 500, 30, 0, 95, 20, Lengths{32, 0.8, 320}),
		class("summary", 2, 0, 0, 6000, 90, 20, Lengths{80, 0.7, 400}),
	}
}

func viennaClasses() []ClassLoad {
	return []ClassLoad{
		class("route", 0, 250, 25, 0, 99, 25, Lengths{20, 0.7, 200}),
		class("tag", 1, 500, 30, 0, 95, 25, Lengths{16, 0.6, 120}),
		class("briefing", 1, 800, 30, 0, 95, 30, Lengths{100, 0.7, 400}),
		class("archive", 2, 0, 0, 6000, 90, 20, Lengths{80, 0.7, 400}),
	}
}

func class(name string, tier int, first, token, answer clock.Millis, objective, load float64, out Lengths) ClassLoad {
	floor := 0
	if tier == directory.Tiers-1 {
		floor = 5
	}
	return ClassLoad{
		Class: directory.Class{
			Name:         name,
			Tier:         tier,
			FirstTokenMs: first,
			TokenMs:      token,
			AnswerMs:     answer,
			FloorPercent: floor,
			Pools:        []string{PoolModel},
			Resume:       true,
		},
		LoadPercent:      load,
		ObjectivePercent: objective,
		Output:           out,
		PromptChars:      200,
	}
}
