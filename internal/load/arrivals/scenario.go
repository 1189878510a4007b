// Package arrivals describes load scenarios and turns them into schedules.
//
// A schedule follows from the scenario, the seed and the duration alone. Load
// is stated in percent of the deployment's capacity in tokens.
package arrivals

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// slowdownPercent is added to the time per token by each further request in a batch.
const slowdownPercent = 3

// Scenario is an offered load on a deployment, and the faults during it.
type Scenario struct {
	Name       string      `json:"name"`
	Deployment Deployment  `json:"deployment"`
	Classes    []ClassLoad `json:"classes"`
	Accounts   []Account   `json:"accounts"`
	// LoadPercent is the offered load outside all phases.
	LoadPercent float64 `json:"loadPercent"`
	Phases      []Phase `json:"phases,omitempty"`
	Faults      []Fault `json:"faults,omitempty"`
	// BurstPercent of the arrivals come in groups of BurstSize on average.
	BurstPercent int `json:"burstPercent,omitempty"`
	BurstSize    int `json:"burstSize,omitempty"`
	// RetryPercent of the callers repeat a refused request once, after Retry-After.
	RetryPercent int `json:"retryPercent,omitempty"`
}

// Deployment is the set of backend servers.
type Deployment struct {
	Name     string   `json:"name"`
	Zones    []string `json:"zones"`
	Engines  int      `json:"engines"`
	Services int      `json:"services"`
	// Slots is the number of requests that an engine runs at a time.
	Slots int `json:"slots"`
	// TokenMs is the time per token of a request that runs alone.
	TokenMs float64 `json:"tokenMs"`
	// Model is the model's name towards callers.
	Model string `json:"model"`
}

// TokensPerSecond returns the capacity of all engines with full batches.
func (d Deployment) TokensPerSecond() float64 {
	if d.TokenMs <= 0 {
		return 0
	}
	perToken := d.TokenMs * float64(100+slowdownPercent*(d.Slots-1)) / 100
	return float64(d.Engines*d.Slots) * 1000 / perToken
}

// ClassLoad is a request class and the work that its requests bring.
type ClassLoad struct {
	Class directory.Class `json:"class"`
	// LoadPercent is the class's part of the offered tokens.
	LoadPercent float64 `json:"loadPercent"`
	// ObjectivePercent is the part of the requests that shall meet the targets.
	ObjectivePercent float64 `json:"objectivePercent"`
	Output           Lengths `json:"output"`
	// PromptChars is the length of the prompt after the prefix.
	PromptChars int `json:"promptChars"`
}

// Account is a client account and its part of the load.
type Account struct {
	Name string `json:"name"`
	// Share is the weight within a tier and, without Flood, of the load.
	Share int `json:"share"`
	// Prefixes is the number of prompt prefixes in use.
	Prefixes int `json:"prefixes"`
	// Flood multiplies the account's load during the phases; 0 counts as 1.
	Flood float64 `json:"flood,omitempty"`
}

// Phase is a part of the run with another load.
type Phase struct {
	FromPercent float64 `json:"fromPercent"`
	ToPercent   float64 `json:"toPercent"`
	LoadPercent float64 `json:"loadPercent"`
	// Classes restricts the phase to some classes; empty is all. The others
	// keep the scenario's load.
	Classes []string `json:"classes,omitempty"`
}

// FaultKind is what happens to backend servers during a run.
type FaultKind string

// Kinds of faults.
const (
	// FaultStraggler makes one engine slower by Factor.
	FaultStraggler FaultKind = "straggler"
	// FaultCrashedZone ends the servers of one zone at once.
	FaultCrashedZone FaultKind = "crashedZone"
	// FaultStaleReports delays all load reports by DelayMs.
	FaultStaleReports FaultKind = "staleReports"
	// FaultColdStart replaces every engine; the new ones start after DelayMs.
	FaultColdStart FaultKind = "coldStart"
)

// Fault is injected by runs that start the deployment themselves.
type Fault struct {
	Kind      FaultKind    `json:"kind"`
	AtPercent float64      `json:"atPercent"`
	Zone      string       `json:"zone,omitempty"`
	Server    int          `json:"server,omitempty"`
	Factor    float64      `json:"factor,omitempty"`
	DelayMs   clock.Millis `json:"delayMs,omitempty"`
}

// UnmarshalJSON decodes and checks a scenario; unknown fields are refused.
func (s *Scenario) UnmarshalJSON(data []byte) error {
	type plain Scenario
	var p plain
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return err
	}
	if err := Scenario(p).Validate(); err != nil {
		return err
	}
	*s = Scenario(p)
	return nil
}

// Validate checks the scenario as a whole.
func (s Scenario) Validate() error {
	if len(s.Classes) == 0 || len(s.Accounts) == 0 {
		return &directory.FieldError{Field: "scenario", Value: s.Name, Reason: "must have classes and accounts"}
	}
	if s.LoadPercent < 0 {
		return &directory.FieldError{Field: "loadPercent", Value: s.LoadPercent, Reason: "must not be negative"}
	}
	if s.Deployment.TokensPerSecond() <= 0 {
		return &directory.FieldError{Field: "deployment", Value: s.Deployment.Name, Reason: "must have engines, slots and tokenMs"}
	}
	for i, c := range s.Classes {
		if err := c.validate(); err != nil {
			return fmt.Errorf("classes[%d]: %w", i, err)
		}
	}
	for i, a := range s.Accounts {
		if a.Name == "" || a.Share < 1 || a.Flood < 0 {
			return &directory.FieldError{Field: fmt.Sprintf("accounts[%d]", i), Value: a.Name, Reason: "must have a name, a share of at least 1 and no negative flood"}
		}
	}
	for i, p := range s.Phases {
		if p.FromPercent < 0 || p.ToPercent <= p.FromPercent || p.LoadPercent < 0 {
			return &directory.FieldError{Field: fmt.Sprintf("phases[%d]", i), Value: p.FromPercent, Reason: "must end after it begins and have a load"}
		}
	}
	return nil
}

func (c ClassLoad) validate() error {
	if err := c.Class.Validate(); err != nil {
		return err
	}
	if c.Output.Median < 1 || c.Output.Max < c.Output.Median || c.Output.Sigma < 0 {
		return &directory.FieldError{Field: "output", Value: c.Output, Reason: "must have 1 <= median <= max and no negative sigma"}
	}
	if c.ObjectivePercent <= 0 || c.ObjectivePercent >= 100 {
		return &directory.FieldError{Field: "objectivePercent", Value: c.ObjectivePercent, Reason: "must be above 0 and below 100"}
	}
	return nil
}

// WithLoad returns s with another load outside the phases.
func (s Scenario) WithLoad(percent float64) Scenario {
	s.LoadPercent = percent
	return s
}

// WithTokenMs returns s with another time per token.
func (s Scenario) WithTokenMs(ms float64) Scenario {
	s.Deployment.TokenMs = ms
	return s
}

// ClassNamed returns the class called name.
func (s Scenario) ClassNamed(name string) (ClassLoad, bool) {
	i := slices.IndexFunc(s.Classes, func(c ClassLoad) bool { return c.Class.Name == name })
	if i < 0 {
		return ClassLoad{}, false
	}
	return s.Classes[i], true
}
