package slots

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Orders of waiting requests.
const (
	OrderTiers = "tiers"
	OrderFIFO  = "fifo"
)

// NoTier is the value of Verdict.LowestTier if no work is held.
const NoTier = -1

const (
	maxTiers             = 16
	defaultOfferTimeout  = 250 * clock.Millisecond
	defaultReestimate    = 100 * clock.Millisecond
	expiryStep           = 5 * clock.Millisecond // least time between two looks for passed deadlines
	defaultTokenMs       = 25.0
	defaultOutputTokens  = 200
	idleRequests         = 8 // idle credit in requests of OutputTokens
	reestimatesPerTick   = 64
	minRetryAfter        = 100 * clock.Millisecond
	maxRetryAfter        = 60 * clock.Second
	promptTokensPerToken = 8.0 // prompt tokens that are charged like one output token
)

// Config configures Slots. Zero values take defaults.
type Config struct {
	// Slots is the number of requests that the backend server runs at a time.
	Slots int
	// OfferTimeoutMs bounds the time that an entry may take to accept an offer.
	OfferTimeoutMs clock.Millis
	// ReestimateMs is the period at which the estimates of waiting requests are checked.
	ReestimateMs clock.Millis
	// TokenMs is the time per output token until it was observed.
	TokenMs float64
	// OutputTokens is the output length of a request until lengths were observed.
	OutputTokens int
	// IdleTokens bounds the unused share that an account keeps while it is idle;
	// 0 means 16 times OutputTokens, less than 0 none.
	IdleTokens int
	// Order is OrderTiers (also if empty) or OrderFIFO.
	Order string
	// CheckEvery is the number of decisions per full check of the invariants
	// whose check takes linear time; 0 means 4096.
	CheckEvery int

	NoShares     bool
	NoFloors     bool
	NoShedding   bool
	NoPreemption bool
}

// Reservation is a request that asks for a slot.
type Reservation struct {
	ID      string `json:"id"`
	Entry   string `json:"entry"`
	Class   string `json:"class"`
	Account string `json:"account"`
	// Tier is 0 for the highest tier.
	Tier int `json:"tier"`
	// Share is the weight of the account within the tier; 0 means 1.
	Share        int `json:"share"`
	FloorPercent int `json:"floorPercent"`
	// ArrivedMs and DeadlineMs are on the sidecar's clock. DeadlineMs is the
	// first-token target, or that of the whole answer; 0 for none.
	ArrivedMs    clock.Millis `json:"arrivedMs"`
	DeadlineMs   clock.Millis `json:"deadlineMs"`
	WholeAnswer  bool         `json:"wholeAnswer,omitempty"`
	PromptTokens int          `json:"promptTokens"`
	// EstTokens is the expected output length, 0 if unknown.
	EstTokens int `json:"estTokens"`
	// MaxTokens bounds the output length, 0 if there is no bound. It caps the
	// running mean that is used when EstTokens is 0.
	MaxTokens int `json:"maxTokens,omitempty"`
	// Preemptible tells that the request may be stopped and resumed later.
	Preemptible bool `json:"preemptible"`
	// Resumed tells that the request goes on after a preemption: DeadlineMs
	// still orders it, but is not held against it.
	Resumed bool `json:"resumed,omitempty"`
	// NonPreempting tells that nothing is preempted for the request here, as another
	// sidecar was asked to. A later Reserve without it withdraws this.
	NonPreempting bool `json:"nonPreempting,omitempty"`
}

// Verdict is an estimate for a reservation.
type Verdict struct {
	// Place is the estimated number of requests served here before it.
	Place int `json:"place"`
	// WaitMs is the estimated time until it starts.
	WaitMs clock.Millis `json:"waitMs"`
	// LowestTier is the lowest tier (the largest number) of which work is
	// waiting, offered or running preemptibly here, or NoTier.
	LowestTier int `json:"lowestTier"`
	// Feasible tells that the reservation is expected to meet its deadline.
	// A reservation with Feasible false is not kept.
	Feasible bool `json:"feasible"`
	// RetryAfterMs is the time after which the work before it is expected to be
	// done, from the measured drain rate.
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
	// Leaving tells that the sidecar takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// ActionKind tells what the sidecar has to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionOffer offers a slot; answered by Accept or Decline.
	ActionOffer ActionKind = iota + 1
	// ActionRefuse tells that a waiting reservation was dropped.
	ActionRefuse
	// ActionPreempt stops a running request; answered by Finish.
	ActionPreempt
)

// RefuseReason tells why a waiting reservation was dropped.
type RefuseReason string

// Reasons of refusals.
const (
	RefuseInfeasible RefuseReason = "infeasible"
	RefuseExpired    RefuseReason = "expired"
	RefuseLapsed     RefuseReason = "lapsed"
	RefuseLeaving    RefuseReason = "leaving"
)

// Action is something that the sidecar has to do.
type Action struct {
	Kind    ActionKind
	ID      string
	Entry   string
	Verdict Verdict
	// Reason is set for ActionRefuse.
	Reason RefuseReason
}

// ClassLoad is the queue length of a class.
type ClassLoad struct {
	Class   string `json:"class"`
	Tier    int    `json:"tier"`
	Waiting int    `json:"waiting"`
}

// Load describes the present load.
type Load struct {
	Slots int `json:"slots"`
	Free  int `json:"free"`
	// Running counts running and stopping requests.
	Running int `json:"running"`
	Offered int `json:"offered"`
	// WaitingByTier is indexed by tier.
	WaitingByTier []int `json:"waitingByTier"`
	// PreemptibleByTier counts the running requests that a higher tier may
	// preempt; it is indexed by tier.
	PreemptibleByTier []int `json:"preemptibleByTier"`
	// TokenMs is the observed time per output token.
	TokenMs float64 `json:"tokenMs"`
	// FirstTokenMs is the observed time from start to first token.
	FirstTokenMs float64 `json:"firstTokenMs"`
	// DrainPerSecond is the observed rate of completions while requests wait.
	DrainPerSecond float64     `json:"drainPerSecond"`
	Classes        []ClassLoad `json:"classes,omitempty"`
}

// Counts are totals since the start.
type Counts struct {
	Started    int
	FloorTurns int
	Preempted  int
	// Infeasible counts refusals by estimate, at arrival and while waiting.
	Infeasible int
	// Expired counts requests whose deadline passed while they waited.
	Expired int
	Lapsed  int
	Checked int
}
