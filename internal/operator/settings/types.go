// Package settings reads the settings of one process: JSON with comments,
// decoded strictly, defaulted and checked as a whole.
package settings

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Role is what a process does.
type Role string

// Roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// File is a settings file. The section of the role must be present.
type File struct {
	Role Role `json:"role"`
	// Name is the instance's name in the platform's list.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone     string `json:"zone"`
	LogLevel string `json:"logLevel"`
	// MemoryMb is the memory that the process may have; 0 for what the system lets it have.
	MemoryMb float64 `json:"memoryMb"`
	// MaxFiles is the number of files that the process may have open; 0 for what the system lets it have.
	MaxFiles float64  `json:"maxFiles"`
	Platform Platform `json:"platform"`
	Entry    *Entry   `json:"entry,omitempty"`
	Sidecar  *Sidecar `json:"sidecar,omitempty"`
	Policy   Policy   `json:"policy"`
}

// Platform tells where the platform's interfaces are, as base URLs.
type Platform struct {
	LogURL        string       `json:"logUrl"`
	CapacityURL   string       `json:"capacityUrl"`
	UsageURL      string       `json:"usageUrl"`
	InstancesURL  string       `json:"instancesUrl"`
	TimeoutMs     clock.Millis `json:"timeoutMs"`
	ClaimShards   int          `json:"claimShards"`
	ClaimWindowMs clock.Millis `json:"claimWindowMs"`
	// LogRetentionMs is how long the log keeps records, at the least.
	LogRetentionMs clock.Millis `json:"logRetentionMs"`
	// UsageShards is the number of shards of client accounts that are reported
	// separately, and UsageWindowMs the length of a usage window.
	UsageShards   int          `json:"usageShards"`
	UsageWindowMs clock.Millis `json:"usageWindowMs"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	// CallerAddr and AdminAddr are host:port; port 0 takes a free one.
	CallerAddr   string `json:"callerAddr"`
	AdminAddr    string `json:"adminAddr"`
	MaxBodyBytes int64  `json:"maxBodyBytes"`
	// HeaderTimeoutMs bounds how long a caller may take to send its header.
	HeaderTimeoutMs clock.Millis `json:"headerTimeoutMs"`
	// BodyTimeoutMs bounds how long a caller may take to send its body.
	BodyTimeoutMs clock.Millis `json:"bodyTimeoutMs"`
	// Candidates is the number of sidecars at which a request is reserved.
	Candidates int `json:"candidates"`
	// PeersPerPool bounds the sidecars of a pool to which the entry connects.
	PeersPerPool int `json:"peersPerPool"`
	// MaxWaiting bounds the requests that wait in the entry.
	MaxWaiting int `json:"maxWaiting"`
	// Duties runs the leased control duties in this entry.
	Duties bool `json:"duties"`
	// LeaseMs is the length of the leases of the control duties.
	LeaseMs clock.Millis `json:"leaseMs"`
	// DrainMs bounds a graceful shutdown.
	DrainMs clock.Millis `json:"drainMs"`
}

// Sidecar holds the settings of the sidecar role.
type Sidecar struct {
	// ControlAddr and DataAddr are host:port; port 0 takes a free one.
	ControlAddr string `json:"controlAddr"`
	DataAddr    string `json:"dataAddr"`
	AdminAddr   string `json:"adminAddr"`
	// Pool is the pool that the backend server belongs to.
	Pool string `json:"pool"`
	// ServerURL is the base URL of the backend server beside this process.
	ServerURL string `json:"serverUrl"`
	// Slots is the number of requests that the server runs at a time.
	Slots int `json:"slots"`
	// ProgressTimeoutMs bounds the silence of a running answer.
	ProgressTimeoutMs clock.Millis `json:"progressTimeoutMs"`
	// AnswerTimeoutMs bounds an answer of a plain service as a whole: one that brings
	// a byte now and then ends too.
	AnswerTimeoutMs clock.Millis `json:"answerTimeoutMs"`
	// ChecksFencing tells that the server refuses old fencing numbers itself.
	ChecksFencing bool         `json:"checksFencing"`
	DrainMs       clock.Millis `json:"drainMs"`
}

// Order is the order in which waiting requests are served.
type Order string

// Orders of waiting requests.
const (
	OrderTiers Order = "tiers"
	OrderFIFO  Order = "fifo"
)

// Routing is the way in which candidates are chosen.
type Routing string

// Ways of routing.
const (
	RoutingAffinity         Routing = "affinity"
	RoutingRoundRobin       Routing = "roundRobin"
	RoutingLeastConnections Routing = "leastConnections"
)

// Policy switches single mechanisms, for comparison with simpler baselines.
type Policy struct {
	Order        Order   `json:"order"`
	Routing      Routing `json:"routing"`
	NoShares     bool    `json:"noShares,omitempty"`
	NoFloors     bool    `json:"noFloors,omitempty"`
	NoShedding   bool    `json:"noShedding,omitempty"`
	NoPreemption bool    `json:"noPreemption,omitempty"`
	NoStragglers bool    `json:"noStragglers,omitempty"`
	NoDiscount   bool    `json:"noDiscount,omitempty"`
}
