package slots

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Values of Config.Order, the order in which waiting requests are served.
const (
	OrderTiers = "tiers" // by floor, tier, share and deadline, see the package comment
	OrderFIFO  = "fifo"  // by arrival
)

// NoTier is the value of Verdict.LowestTier if no request is waiting or preemptible.
const NoTier = -1

const (
	maxTiers                   = 16 // larger tier numbers are clamped
	defaultOfferTimeout        = 250 * clock.Millisecond
	defaultReestimate          = 100 * clock.Millisecond
	minExpiryInterval          = 5 * clock.Millisecond // minimum time between checks for passed deadlines
	defaultTokenMs             = 25.0
	defaultOutputTokens        = 200
	idleCreditRequests         = 8  // default of MaxIdleCreditTokens, in requests of InitialOutputTokens
	reestimatesPerTick         = 64 // waiting requests that are re-estimated per Tick
	minRetryAfter              = 100 * clock.Millisecond
	maxRetryAfter              = 60 * clock.Second
	promptTokensPerOutputToken = 8.0 // prompt tokens charged as one output token
)

// Config configures a Scheduler. Zero values select defaults.
type Config struct {
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// OfferTimeoutMs is the time after which an offer lapses unless the entry
	// accepts it; default 250 ms.
	OfferTimeoutMs clock.Millis
	// ReestimateMs is the interval at which waiting requests are checked against
	// their deadlines; default 100 ms.
	ReestimateMs clock.Millis
	// InitialTokenMs is the time per output token, in ms, that is assumed until it was
	// observed; default 25.
	InitialTokenMs float64
	// InitialOutputTokens is the output length of a request, in tokens, that is assumed
	// until lengths were observed; default 200.
	InitialOutputTokens int
	// MaxIdleCreditTokens bounds the credit, in tokens, that an idle account saves up
	// (rule 3 of the package comment); 0 means 8 times InitialOutputTokens, a negative
	// value no credit.
	MaxIdleCreditTokens int
	// Order is OrderTiers (default) or OrderFIFO.
	Order string
	// CheckEvery is the number of calls for each full check of the invariants, which
	// takes time linear in the number of waiting requests; 0 means 4096.
	CheckEvery int

	NoShares     bool // treat all accounts as one
	NoFloors     bool // ignore FloorPercent
	NoShedding   bool // never refuse for a deadline
	NoPreemption bool // never stop running requests
}

// Reservation is a request for a slot.
type Reservation struct {
	ID string `json:"id"`
	// Entry is the instance that made the reservation.
	Entry   string `json:"entry"`
	Class   string `json:"class"`
	Account string `json:"account"`
	// Tier is 0 for the highest tier.
	Tier int `json:"tier"`
	// Share is the weight of the account within the tier; 0 means 1.
	Share int `json:"share"`
	// FloorPercent is the floor of the class, 0 to 100; see the package comment.
	FloorPercent int `json:"floorPercent"`
	// ArrivedMs and DeadlineMs are times on the sidecar's clock. DeadlineMs is the
	// deadline of the first token, or of the whole answer if WholeAnswer is set; 0
	// for none.
	ArrivedMs    clock.Millis `json:"arrivedMs"`
	DeadlineMs   clock.Millis `json:"deadlineMs"`
	WholeAnswer  bool         `json:"wholeAnswer,omitempty"`
	PromptTokens int          `json:"promptTokens"`
	// EstOutputTokens is the expected output length in tokens; 0 if unknown.
	EstOutputTokens int `json:"estTokens"`
	// MaxTokens bounds the output length in tokens; 0 if there is no bound. It caps the
	// estimate that is used when EstOutputTokens is 0.
	MaxTokens int `json:"maxTokens,omitempty"`
	// Preemptible is set if the request may be stopped and resumed later.
	Preemptible bool `json:"preemptible"`
	// Resumed is set if the request continues after a preemption. DeadlineMs then
	// determines its order, but the request is not refused for missing it.
	Resumed bool `json:"resumed,omitempty"`
	// NonPreempting is set if no running request is to be preempted for this one,
	// because another sidecar preempts for it. A later Reserve can clear it.
	NonPreempting bool `json:"nonPreempting,omitempty"`
}

// Verdict is an estimate for a reservation.
type Verdict struct {
	// QueuePosition is the estimated number of waiting requests served here before it.
	QueuePosition int `json:"place"`
	// WaitMs is the estimated time, in ms, until the request starts.
	WaitMs clock.Millis `json:"waitMs"`
	// LowestTier is the lowest tier (largest number) with a request that is waiting
	// or running preemptibly here, or NoTier.
	LowestTier int `json:"lowestTier"`
	// Feasible is set if the request is expected to meet its deadline. Otherwise
	// the reservation is not queued.
	Feasible bool `json:"feasible"`
	// RetryAfterMs is the time, in ms, until the requests before this one are expected
	// to be done, by the observed completion rate; 100 ms to 60 s.
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
	// Leaving is set if the sidecar is draining and accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionOffer offers a slot to the entry, which answers with Accept or Decline.
	ActionOffer ActionKind = iota + 1
	// ActionRefuse informs the entry that a waiting or offered reservation was dropped.
	ActionRefuse
	// ActionPreempt stops a running request; the sidecar calls Finish once it ended.
	ActionPreempt
)

// RefuseReason is the reason for an ActionRefuse.
type RefuseReason string

// Reasons for refusals.
const (
	RefuseInfeasible RefuseReason = "infeasible" // not expected to meet the deadline
	RefuseExpired    RefuseReason = "expired"    // deadline passed
	RefuseLapsed     RefuseReason = "lapsed"     // offer not accepted within OfferTimeoutMs
	RefuseLeaving    RefuseReason = "leaving"    // sidecar is draining
)

// Action is something that the sidecar has to do for reservation ID.
type Action struct {
	Kind    ActionKind
	ID      string
	Entry   string
	Verdict Verdict
	// Reason is set for ActionRefuse.
	Reason RefuseReason
}

// ClassLoad is the number of waiting requests of a class.
type ClassLoad struct {
	Class   string `json:"class"`
	Tier    int    `json:"tier"`
	Waiting int    `json:"waiting"`
}

// Load is a snapshot of a sidecar's load.
type Load struct {
	Slots int `json:"slots"`
	Free  int `json:"free"`
	// Running counts running and stopping requests.
	Running int `json:"running"`
	Offered int `json:"offered"`
	// WaitingByTier counts the waiting requests; it is indexed by tier.
	WaitingByTier []int `json:"waitingByTier"`
	// PreemptibleByTier counts the running requests that a higher tier may
	// preempt; it is indexed by tier.
	PreemptibleByTier []int `json:"preemptibleByTier"`
	// TokenMs is the observed average time per output token, in ms.
	TokenMs float64 `json:"tokenMs"`
	// FirstTokenMs is the observed average time from the start of a request to its
	// first token, in ms.
	FirstTokenMs float64 `json:"firstTokenMs"`
	// CompletionsPerSecond is the observed rate of completed requests while others wait.
	CompletionsPerSecond float64     `json:"drainPerSecond"`
	Classes              []ClassLoad `json:"classes,omitempty"`
}

// Counts are totals since the start.
type Counts struct {
	Started    int
	FloorTurns int // requests started on floor turns
	Preempted  int
	// Infeasible counts refusals by estimate, at arrival and while waiting.
	Infeasible int
	// Expired counts requests whose deadline passed while they waited.
	Expired    int
	Lapsed     int // offers that lapsed
	FullChecks int // full checks of the invariants; see Config.CheckEvery
}
