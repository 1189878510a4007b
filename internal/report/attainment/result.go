// Package attainment computes the figures of a load run by request class and
// client account.
package attainment

import (
	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Result is what was measured in one run.
type Result struct {
	Scenario   string       `json:"scenario"`
	Deployment string       `json:"deployment"`
	Baseline   string       `json:"baseline,omitempty"`
	Seed       uint64       `json:"seed"`
	DurationMs clock.Millis `json:"durationMs"`
	Direct     bool         `json:"direct,omitempty"`
	Totals     Totals       `json:"totals"`
	Classes    []Class      `json:"classes"`
	Accounts   []Account    `json:"accounts"`
	// Worst is the account that received least of its fair share.
	Worst Account `json:"worst"`
	// Series counts requests by class and second of arrival.
	Series []Bucket `json:"series"`
	Cost   *Cost    `json:"cost,omitempty"`
	// NotInjected lists the scenario's faults that the run did not cause.
	NotInjected []arrivals.Fault `json:"notInjected,omitempty"`
	// Incorrect describes the first answers that were not correct.
	Incorrect []string `json:"incorrect,omitempty"`
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	// Met counts the complete answers that met all targets of their class.
	Met        int `json:"met"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	TimedOut   int `json:"timedOut"`
	Truncated  int `json:"truncated"`
	Duplicated int `json:"duplicated"`
	Wrong      int `json:"wrong"`
	// AttainmentPercent is the part of the requests sent that met all targets.
	AttainmentPercent float64 `json:"attainmentPercent"`
}

// Totals are the figures of the whole run.
type Totals struct {
	Counts
	// CapacityTokensPerSecond is what the deployment's engines can generate.
	CapacityTokensPerSecond float64 `json:"capacityTokensPerSecond"`
	// OfferedTokens is the length of all answers called for.
	OfferedTokens int64 `json:"offeredTokens"`
	// ServableTokens bounds the goodput of any policy: see
	// arrivals.Schedule.ServableTokens.
	ServableTokens int64 `json:"servableTokens"`
	// GoodTokens are the tokens of requests that met their targets, and
	// GoodWindowTokens those that arrived within the run's duration.
	GoodTokens       int64 `json:"goodTokens"`
	GoodWindowTokens int64 `json:"goodWindowTokens"`
	// GoodputPercent is GoodTokens in percent of ServableTokens.
	GoodputPercent float64 `json:"goodputPercent"`
	// GeneratedTokens is what the engines generated, or what callers
	// received where the engines were not asked.
	GeneratedTokens int64 `json:"generatedTokens"`
	EnginesCounted  bool  `json:"enginesCounted"`
	// WastedTokens is GeneratedTokens less GoodTokens.
	WastedTokens  int64   `json:"wastedTokens"`
	WastedPercent float64 `json:"wastedPercent"`
	Retries       Retries `json:"retries"`
	// Errors counts the answers that were not complete by outcome, class,
	// code and message.
	Errors map[string]int `json:"errors,omitempty"`
	// SendLagP99Ms is how late the generator sent.
	SendLagP99Ms float64 `json:"sendLagP99Ms"`
}

// Retries are the figures of refused requests that came again after Retry-After.
type Retries struct {
	WithRetryAfter     int     `json:"withRetryAfter"`
	MeanRetryAfterMs   float64 `json:"meanRetryAfterMs"`
	Repeated           int     `json:"repeated"`
	RepeatedMet        int     `json:"repeatedMet"`
	RepeatedRefused    int     `json:"repeatedRefused"`
	RefusedWithoutTime int     `json:"refusedWithoutTime"`
}

// Class is the figures of one request class.
type Class struct {
	Name             string  `json:"name"`
	Tier             int     `json:"tier"`
	ObjectivePercent float64 `json:"objectivePercent"`
	Counts
	FirstToken Latency `json:"firstToken"`
	TokenGap   Latency `json:"tokenGap"`
	End        Latency `json:"end"`
}

// Account is the figures of one client account.
type Account struct {
	Name  string `json:"name"`
	Share int    `json:"share"`
	Counts
	OfferedTokens  int64 `json:"offeredTokens"`
	ReceivedTokens int64 `json:"receivedTokens"`
	// FairTokens is the account's part of the tokens that were delivered in
	// each tier, under weighted max-min fairness.
	FairTokens int64 `json:"fairTokens"`
	// FairPercent is ReceivedTokens in percent of FairTokens.
	FairPercent float64 `json:"fairPercent"`
}

// Bucket counts the requests of a class that arrived within one second.
type Bucket struct {
	AtMs  clock.Millis `json:"atMs"`
	Class string       `json:"class"`
	Sent  int          `json:"sent"`
	Met   int          `json:"met"`
}

// Cost is what was paid for backend servers.
type Cost struct {
	ServerSeconds float64 `json:"serverSeconds"`
	Spent         float64 `json:"spent"`
	// GoodTokensPerUnit is the goodput for one unit of money.
	GoodTokensPerUnit float64 `json:"goodTokensPerUnit"`
}

// WithCost returns r with what was paid: server seconds and price per hour.
func (r Result) WithCost(serverSeconds, perHour float64) Result {
	spent := serverSeconds / 3600 * perHour
	r.Cost = &Cost{ServerSeconds: serverSeconds, Spent: spent}
	if spent > 0 {
		r.Cost.GoodTokensPerUnit = float64(r.Totals.GoodTokens) / spent
	}
	return r
}

// WithBaseline returns r with the name of the policy that was measured.
func (r Result) WithBaseline(name string) Result {
	r.Baseline = name
	return r
}

// WithGenerated returns r with the number of tokens that the engines generated.
func (r Result) WithGenerated(tokens int64) Result {
	r.Totals.EnginesCounted = true
	r.Totals = r.Totals.withGenerated(tokens)
	return r
}

func (t Totals) withGenerated(tokens int64) Totals {
	t.GeneratedTokens = tokens
	t.WastedTokens = max(0, tokens-t.GoodTokens)
	t.WastedPercent = percent(t.WastedTokens, tokens)
	return t
}

func percent[T int | int64](part, whole T) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
