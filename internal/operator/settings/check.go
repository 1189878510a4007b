package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/state/claim"
)

// Bounds of single settings.
const (
	maxUsageShards  = 256
	maxRetention    = 90 * 24 * clock.Hour
	maxClaimShards  = 256
	maxCandidates   = 16
	maxPeersPerPool = 4096
	maxWaiting      = 1000000
	maxBodyBytes    = 64 << 20
	maxSlots        = 4096
	maxTimeout      = 10 * clock.Minute
	maxPeriod       = 48 * clock.Hour
	maxPort         = 65535
	minLeaseMs      = 1 * clock.Second
)

// logLevels is the remedy for an unknown level.
const logLevels = "must be one of panic, fatal, error, warn, info, debug, trace"

// checker adds a problem to doc for each value that is not accepted.
type checker struct {
	doc *strictjson.Document
}

func (c checker) file(f File) {
	c.filled("name", f.Name)
	c.filled("zone", f.Zone)
	if _, err := logrus.ParseLevel(f.LogLevel); err != nil {
		c.doc.Reject("logLevel", f.LogLevel, logLevels)
	}
	c.notNegative("memoryMb", f.MemoryMb)
	c.notNegative("maxFiles", f.MaxFiles)
	c.platform(f.Platform, f.Role)
	oneOf(c, "policy.order", f.Policy.Order, OrderTiers, OrderFIFO)
	oneOf(c, "policy.routing", f.Policy.Routing, RoutingAffinity, RoutingRoundRobin, RoutingLeastConnections)
	oneOf(c, "role", f.Role, RoleEntry, RoleSidecar)
	c.section("entry", f.Role, RoleEntry)
	c.section("sidecar", f.Role, RoleSidecar)
	if f.Role == RoleEntry && c.doc.Has("entry") {
		c.entry(*f.Entry)
	}
	if f.Role == RoleSidecar && c.doc.Has("sidecar") {
		c.sidecar(*f.Sidecar)
	}
}

// section checks that the section is given for its role and for no other.
func (c checker) section(path string, role, of Role) {
	given := c.doc.Has(path)
	switch {
	case role == of && !given:
		c.doc.Reject(path, nil, fmt.Sprintf("must be given for the role %q", of))
	case role != of && given && (role == RoleEntry || role == RoleSidecar):
		c.doc.Reject(path, nil, fmt.Sprintf("must not be given for the role %q", role))
	}
}

func (c checker) platform(p Platform, role Role) {
	c.url("platform.logUrl", p.LogURL)
	if role == RoleEntry {
		c.url("platform.capacityUrl", p.CapacityURL)
		c.url("platform.usageUrl", p.UsageURL)
		c.url("platform.instancesUrl", p.InstancesURL)
	}
	within(c, "platform.timeoutMs", p.TimeoutMs, 1, maxTimeout)
	within(c, "platform.claimShards", p.ClaimShards, 1, maxClaimShards)
	within(c, "platform.claimWindowMs", p.ClaimWindowMs, clock.Minute, claim.MaxWindow)
	within(c, "platform.logRetentionMs", p.LogRetentionMs, clock.Second, maxRetention)
	within(c, "platform.usageShards", p.UsageShards, 1, maxUsageShards)
	within(c, "platform.usageWindowMs", p.UsageWindowMs, 100, maxPeriod)
}

func (c checker) entry(e Entry) {
	c.addr("entry.callerAddr", e.CallerAddr)
	c.addr("entry.adminAddr", e.AdminAddr)
	c.differ(listen.Address{Setting: "entry.callerAddr", HostPort: e.CallerAddr}, listen.Address{Setting: "entry.adminAddr", HostPort: e.AdminAddr})
	within(c, "entry.maxBodyBytes", e.MaxBodyBytes, 1, maxBodyBytes)
	within(c, "entry.headerTimeoutMs", e.HeaderTimeoutMs, 1, maxTimeout)
	within(c, "entry.bodyTimeoutMs", e.BodyTimeoutMs, 1, maxTimeout)
	within(c, "entry.candidates", e.Candidates, 1, maxCandidates)
	within(c, "entry.peersPerPool", e.PeersPerPool, 1, maxPeersPerPool)
	within(c, "entry.maxWaiting", e.MaxWaiting, 1, maxWaiting)
	within(c, "entry.leaseMs", e.LeaseMs, minLeaseMs, maxTimeout)
	within(c, "entry.drainMs", e.DrainMs, 0, maxTimeout)
	if e.Candidates > e.PeersPerPool && e.PeersPerPool >= 1 {
		c.doc.Reject("entry.candidates", e.Candidates, fmt.Sprintf("must be at most entry.peersPerPool, which is %d", e.PeersPerPool))
	}
}

func (c checker) sidecar(s Sidecar) {
	c.addr("sidecar.controlAddr", s.ControlAddr)
	c.addr("sidecar.dataAddr", s.DataAddr)
	if s.AdminAddr != "" {
		c.addr("sidecar.adminAddr", s.AdminAddr)
	}
	c.differ(
		listen.Address{Setting: "sidecar.controlAddr", HostPort: s.ControlAddr}, listen.Address{Setting: "sidecar.dataAddr", HostPort: s.DataAddr},
		listen.Address{Setting: "sidecar.adminAddr", HostPort: s.AdminAddr},
	)
	c.filled("sidecar.pool", s.Pool)
	c.url("sidecar.serverUrl", s.ServerURL)
	within(c, "sidecar.slots", s.Slots, 1, maxSlots)
	within(c, "sidecar.progressTimeoutMs", s.ProgressTimeoutMs, 1, maxTimeout)
	within(c, "sidecar.answerTimeoutMs", s.AnswerTimeoutMs, 1, maxTimeout)
	within(c, "sidecar.drainMs", s.DrainMs, 0, maxTimeout)
}

func (c checker) filled(path, value string) {
	if strings.TrimSpace(value) == "" || strings.ContainsAny(value, " \t\r\n") {
		c.doc.Reject(path, value, "must be a name without spaces")
	}
}

func (c checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		c.doc.Reject(path, value, `must be an absolute URL such as "http://10.0.0.1:7000", without user, query or fragment`)
	}
}

func (c checker) addr(path, value string) {
	host, port, err := net.SplitHostPort(value)
	n, convErr := strconv.Atoi(port)
	if err != nil || host == "" || convErr != nil || n < 0 || n > maxPort {
		c.doc.Reject(path, value, `must be host:port such as "10.0.0.1:8080"; port 0 takes a free one`)
	}
}

// differ checks that the process can listen on all addrs, of which one may be empty.
func (c checker) differ(addrs ...listen.Address) {
	for i, a := range addrs {
		for _, other := range addrs[:i] {
			if a.HostPort != "" && listen.Conflict(a.HostPort, other.HostPort) {
				c.doc.Reject(a.Setting, a.HostPort, fmt.Sprintf("must differ from %s, which is %q", other.Setting, other.HostPort))
			}
		}
	}
}

func within[T int | int64 | clock.Millis](c checker, path string, value, least, most T) {
	if value < least || value > most {
		c.doc.Reject(path, value, fmt.Sprintf("must be from %d to %d", least, most))
	}
}

func oneOf[T ~string](c checker, path string, value T, known ...T) {
	if slices.Contains(known, value) {
		return
	}
	quoted := make([]string, len(known))
	for i, k := range known {
		quoted[i] = strconv.Quote(string(k))
	}
	c.doc.Reject(path, string(value), "must be one of "+strings.Join(quoted, ", "))
}
