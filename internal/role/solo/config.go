package solo

import (
	"fmt"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Names in the default deployment.
const (
	ModelPool   = "assistant"
	ServicePool = "booking"
	Model       = "assistant-1"
	ServicePath = "/booking"
)

// Config describes the deployment that solo runs.
type Config struct {
	CallerAddr string
	AdminAddr  string
	// Addresses keeps the two over several calls of New; nil keeps none.
	Addresses *listen.Reserved
	Entries   int
	Zones     []string
	Engines   int
	Services  int
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// ServiceSlots is the number of requests that one service runs at a time.
	ServiceSlots       int
	TokenMs            float64
	PrefillMsPerKToken float64
	LoadLagMs          clock.Millis
	// WorkMs is the time that a plain service takes for one request.
	WorkMs   clock.Millis
	Accounts []directory.Account
	Classes  []directory.Class
	Policy   settings.Policy
	// Held bounds the memory that an entry holds for callers, and that of all events of streams; nil for no bound.
	Held *budget.Held
	// MaxWaiting bounds the requests that wait in an entry; 0 takes the default.
	MaxWaiting int
	// BodyTimeoutMs bounds the time that a caller takes to send its body; 0 takes
	// the default.
	BodyTimeoutMs clock.Millis
	// UsageWindowMs is the length of a usage window; 0 takes the default.
	UsageWindowMs clock.Millis
}

// Defaults returns a small deployment: three engines and two services.
func Defaults() Config {
	return Config{
		CallerAddr: "127.0.0.1:0",
		AdminAddr:  "127.0.0.1:0",
		Entries:    1,
		Zones:      []string{"a", "b"},
		Engines:    3, Services: 2, Slots: 8, ServiceSlots: 16,
		TokenMs:  10,
		Accounts: []directory.Account{{Name: "demo", Share: 1, Classes: []string{"interactive", "urgent", "batch"}}},
		Classes:  DefaultClasses(),
		Policy:   settings.Policy{Order: settings.OrderTiers, Routing: settings.RoutingAffinity},
	}
}

// DefaultClasses returns one class for each tier.
func DefaultClasses() []directory.Class {
	pools := []string{ModelPool, ServicePool}
	return []directory.Class{
		{Name: "urgent", Tier: 0, FirstTokenMs: 600, TokenMs: 50, FloorPercent: 0, Pools: pools, Resume: true},
		{Name: "interactive", Tier: 1, FirstTokenMs: 1500, TokenMs: 50, FloorPercent: 5, Pools: pools, Resume: true},
		{Name: "batch", Tier: 2, AnswerMs: 60_000, FloorPercent: 5, Pools: pools, Resume: true},
	}
}

// operations returns the configuration of the deployment.
func (c Config) operations() []directory.Op {
	ops := []directory.Op{
		{SetPool: &directory.Pool{Name: ModelPool, Kind: directory.PoolModel, Model: Model, Slots: c.Slots}},
		{SetPool: &directory.Pool{Name: ServicePool, Kind: directory.PoolService, Slots: c.ServiceSlots}},
		{SetRoute: &directory.Route{PathPrefix: ServicePath, Pool: ServicePool, ProtectedMethods: []string{"POST"}}},
	}
	for _, class := range c.Classes {
		ops = append(ops, directory.Op{SetClass: &class})
	}
	for _, a := range c.Accounts {
		ops = append(ops, directory.Op{SetAccount: &a})
	}
	return ops
}

func (c Config) zone(i int) string { return c.Zones[i%len(c.Zones)] }

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func serviceName(i int) string { return fmt.Sprintf("service-%d", i+1) }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }
