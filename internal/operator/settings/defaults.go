package settings

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Default settings.
const (
	defaultLogLevel          = "info"
	defaultTimeoutMs         = 1 * clock.Second
	defaultClaimShards       = 4
	defaultClaimWindowMs     = 24 * clock.Hour
	defaultMaxBodyBytes      = 4 << 20
	defaultHeaderTimeoutMs   = 5 * clock.Second
	defaultBodyTimeoutMs     = 30 * clock.Second
	defaultCandidates        = 3
	defaultPeersPerPool      = 64
	defaultMaxWaiting        = 4000
	defaultLogRetentionMs    = 1 * clock.Hour
	defaultUsageShards       = 1
	defaultUsageWindowMs     = 1 * clock.Minute
	defaultLeaseMs           = 6 * clock.Second
	defaultDrainMs           = 2 * clock.Minute
	defaultProgressTimeoutMs = 5 * clock.Second
	defaultAnswerTimeoutMs   = 1 * clock.Minute
)

// Defaults returns the settings of the role with every default set and
// everything without a default empty. An unknown role gets no section.
func Defaults(role Role) File {
	f := File{
		Role:     role,
		LogLevel: defaultLogLevel,
		Platform: Platform{
			TimeoutMs:      defaultTimeoutMs,
			ClaimShards:    defaultClaimShards,
			ClaimWindowMs:  defaultClaimWindowMs,
			LogRetentionMs: defaultLogRetentionMs,
			UsageShards:    defaultUsageShards,
			UsageWindowMs:  defaultUsageWindowMs,
		},
		Policy: Policy{Order: OrderTiers, Routing: RoutingAffinity},
	}
	switch role {
	case RoleEntry:
		f.Entry = &Entry{
			MaxBodyBytes:    defaultMaxBodyBytes,
			HeaderTimeoutMs: defaultHeaderTimeoutMs,
			BodyTimeoutMs:   defaultBodyTimeoutMs,
			Candidates:      defaultCandidates,
			PeersPerPool:    defaultPeersPerPool,
			MaxWaiting:      defaultMaxWaiting,
			LeaseMs:         defaultLeaseMs,
			DrainMs:         defaultDrainMs,
		}
	case RoleSidecar:
		f.Sidecar = &Sidecar{ProgressTimeoutMs: defaultProgressTimeoutMs, AnswerTimeoutMs: defaultAnswerTimeoutMs, DrainMs: defaultDrainMs}
	}
	return f
}
