package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/runtime/listen"
)

// RoleGateway is the role of an entry that reaches backend servers directly.
const RoleGateway Role = "gateway"

// Default settings of a gateway.
const (
	defaultWindowS       = 5
	defaultReportWithinS = 10
	defaultGatewayLease  = 3000
	defaultRetryRatio    = 0.1
	defaultRetrySlack    = 10
	defaultRetryWindowS  = 10
	defaultServerDrainMs = 2000
	defaultGraceS        = 8
	defaultConfigMs      = 2000
	defaultMemoryMb      = 256
	defaultLogLines      = 600
	defaultLogBytes      = 200 << 10
	defaultMaxFiles      = 4096
)

// Gateway is the settings file of a gateway.
type Gateway struct {
	Role Role `json:"role"`
	// Name is the instance's name, unique in the deployment.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone     string `json:"zone"`
	LogLevel string `json:"logLevel"`
	// LogLinesPerS and LogBytesPerS bound what the process logs.
	LogLinesPerS float64 `json:"logLinesPerS"`
	LogBytesPerS float64 `json:"logBytesPerS"`
	CallerAddr   string  `json:"callerAddr"`
	ReadyAddr    string  `json:"readyAddr"`
	// ControlAddr is the address for the other gateways.
	ControlAddr string `json:"controlAddr"`
	MetricsAddr string `json:"metricsAddr"`
	// MemoryMb and MaxFiles are the limits of the process.
	MemoryMb float64 `json:"memoryMb"`
	MaxFiles float64 `json:"maxFiles"`
	// LinkMbps is the capacity of the machine's link in Mbit/s; 0 if it is not
	// known.
	LinkMbps float64       `json:"linkMbps"`
	Store    StoreClient   `json:"store"`
	Duties   GatewayDuties `json:"duties"`
	Bounds   GatewayBounds `json:"bounds"`
	// Zones are the regions of availability zones. A zone that is not listed is in no region.
	Zones []ZoneRegion `json:"zones"`
}

// ZoneRegion is the region of an availability zone.
type ZoneRegion struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Regions returns the region of each zone that has one.
func (g Gateway) Regions() map[string]string {
	out := make(map[string]string, len(g.Zones))
	for _, z := range g.Zones {
		out[z.Name] = z.Region
	}
	return out
}

// StoreClient says where the platform's store is.
type StoreClient struct {
	Addr string `json:"addr"`
}

// GatewayDuties are the settings of the duties of one holder.
type GatewayDuties struct {
	Addr string `json:"addr"`
	// WindowS is the length of a usage window in seconds.
	WindowS float64 `json:"windowS"`
	// ReportWithinS is when the report of a window is due after its end.
	ReportWithinS float64 `json:"reportWithinS"`
	// LeaseMs is the least time between the acts of two holders.
	LeaseMs float64 `json:"leaseMs"`
}

// GatewayBounds are promises to callers and backend servers.
type GatewayBounds struct {
	// RetryRatio, RetrySlack and RetryWindowS bound the repeated sends to a
	// pool by all gateways: ratio x requests + slack in any window.
	RetryRatio   float64 `json:"retryRatio"`
	RetrySlack   float64 `json:"retrySlack"`
	RetryWindowS float64 `json:"retryWindowS"`
	// DrainMs is how long a server that leaves still serves; the list of servers
	// is read in a part of it.
	DrainMs float64 `json:"drainMs"`
	// GraceS is the time from SIGTERM to SIGKILL.
	GraceS float64 `json:"graceS"`
	// ConfigMs is the time in which a new configuration is in force.
	ConfigMs float64 `json:"configMs"`
}

// DefaultGateway returns settings with every default set.
func DefaultGateway() Gateway {
	return Gateway{
		Role: RoleGateway, LogLevel: defaultLogLevel, LogLinesPerS: defaultLogLines, LogBytesPerS: defaultLogBytes, MemoryMb: defaultMemoryMb, MaxFiles: defaultMaxFiles,
		Duties: GatewayDuties{WindowS: defaultWindowS, ReportWithinS: defaultReportWithinS, LeaseMs: defaultGatewayLease},
		Bounds: GatewayBounds{
			RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack, RetryWindowS: defaultRetryWindowS,
			DrainMs: defaultServerDrainMs, GraceS: defaultGraceS, ConfigMs: defaultConfigMs,
		},
	}
}

// LoadGateway reads, defaults and checks the settings file at path. The error
// is an *Errors unless the file cannot be read.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, errors.Wrap(err, "read settings")
	}
	return ParseGateway(path, data)
}

// ParseGateway decodes, defaults and checks settings; name stands for the file
// in messages. The error is an *Errors with every problem found.
func ParseGateway(name string, data []byte) (Gateway, error) {
	doc, err := strictjson.Parse(name, data)
	if err != nil {
		return Gateway{}, err
	}
	g := DefaultGateway()
	doc.Decode(&g)
	checker{doc: doc}.gateway(g)
	if err := doc.Err(); err != nil {
		return Gateway{}, err
	}
	return g, nil
}

func (c checker) gateway(g Gateway) {
	oneOf(c, "role", g.Role, RoleGateway)
	c.filled("name", g.Name)
	c.filled("zone", g.Zone)
	if _, err := logrus.ParseLevel(g.LogLevel); err != nil {
		c.doc.Reject("logLevel", g.LogLevel, logLevels)
	}
	c.addr("callerAddr", g.CallerAddr)
	c.addr("readyAddr", g.ReadyAddr)
	c.addr("controlAddr", g.ControlAddr)
	c.addr("metricsAddr", g.MetricsAddr)
	c.differ(
		listen.Address{Setting: "callerAddr", HostPort: g.CallerAddr}, listen.Address{Setting: "readyAddr", HostPort: g.ReadyAddr},
		listen.Address{Setting: "controlAddr", HostPort: g.ControlAddr}, listen.Address{Setting: "metricsAddr", HostPort: g.MetricsAddr},
	)
	c.peer("store.addr", g.Store.Addr)
	c.peer("duties.addr", g.Duties.Addr)
	c.positive("logLinesPerS", g.LogLinesPerS)
	c.positive("logBytesPerS", g.LogBytesPerS)
	c.positive("memoryMb", g.MemoryMb)
	c.positive("maxFiles", g.MaxFiles)
	c.notNegative("linkMbps", g.LinkMbps)
	c.positive("duties.windowS", g.Duties.WindowS)
	c.positive("duties.reportWithinS", g.Duties.ReportWithinS)
	c.positive("duties.leaseMs", g.Duties.LeaseMs)
	c.positive("bounds.retryWindowS", g.Bounds.RetryWindowS)
	c.positive("bounds.graceS", g.Bounds.GraceS)
	c.positive("bounds.drainMs", g.Bounds.DrainMs)
	c.positive("bounds.configMs", g.Bounds.ConfigMs)
	c.notNegative("bounds.retryRatio", g.Bounds.RetryRatio)
	c.notNegative("bounds.retrySlack", g.Bounds.RetrySlack)
	seen := map[string]bool{}
	for i, z := range g.Zones {
		c.filled(fmt.Sprintf("zones[%d].name", i), z.Name)
		c.filled(fmt.Sprintf("zones[%d].region", i), z.Region)
		if seen[z.Name] {
			c.doc.Reject(fmt.Sprintf("zones[%d].name", i), z.Name, "is listed twice")
		}
		seen[z.Name] = true
	}
}

func (c checker) peer(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.doc.Reject(path, value, `must be an IP address and a port such as "10.0.0.1:8223"`)
	}
}

func (c checker) positive(path string, value float64) {
	if value <= 0 {
		c.doc.Reject(path, value, "must be above 0")
	}
}

func (c checker) notNegative(path string, value float64) {
	if value < 0 {
		c.doc.Reject(path, value, "must not be negative")
	}
}
