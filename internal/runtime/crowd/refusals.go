package crowd

import (
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// tellInterval is the least time between two log lines about refusals for the same reason.
const tellInterval = 10 * clock.Second

// Refusals counts requests and connections that were refused unread, and logs them, a line for each reason and
// tellInterval at most. It is safe for concurrent use.
type Refusals struct {
	log   logrus.FieldLogger
	clock clock.Clock
	scope tally.Scope

	mu       sync.Mutex
	byReason map[string]*refused
}

// refused is what was refused for a reason since the last line, at toldMs.
type refused struct {
	count  int
	told   bool
	toldMs clock.Millis
}

// NewRefusals returns Refusals without any.
func NewRefusals(log logrus.FieldLogger, c clock.Clock, scope tally.Scope) *Refusals {
	return &Refusals{log: log, clock: c, scope: scope, byReason: map[string]*refused{}}
}

// Add counts one refusal.
func (r *Refusals) Add(reason string) {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter("unread_refusals").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.byReason[reason]
	if all == nil {
		all = &refused{}
		r.byReason[reason] = all
	}
	all.count++
	now := r.clock.Now()
	if all.told && now-all.toldMs < tellInterval {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "refusedUnread", "reason": reason, "count": all.count}).Warn()
	*all = refused{told: true, toldMs: now}
}

// Files returns how many files the process may have open: what the setting maxFiles says, 0 for nothing, or the
// system's limit if that is less; 0 if neither is known.
func Files(setting int) int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<31 {
		return setting
	}
	if setting > 0 {
		return min(setting, int(l.Cur))
	}
	return int(l.Cur)
}

const (
	// connFileShare is the share of the open files that connections may use which callers have opened, or whose
	// requests are those of callers; beyond it those are closed that wait for a request.
	connFileShare = 0.86
	// strangerFileShare is the share that control connections may use before their hello; minStrangers and
	// maxStrangers bound their number.
	strangerFileShare          = 0.04
	minStrangers, maxStrangers = 16, 256
	// operatorFileShare is the share that connections to one address for operators may use, of monitors, probes and
	// tools; minOperators and maxOperators bound their number. All shares leave files for what the process opens.
	operatorFileShare          = 0.02
	minOperators, maxOperators = 8, 64
)

// Conns returns the most connections of callers for a number of open files; 0 for no limit.
func Conns(files int) int { return int(connFileShare * float64(files)) }

// operatorConns returns the most connections to one address for operators for a number of open files.
func operatorConns(files int) int {
	if files <= 0 {
		return maxOperators
	}
	return min(max(int(operatorFileShare*float64(files)), minOperators), maxOperators)
}

// Strangers returns the most control connections without a hello for a number of open files.
func Strangers(files int) int {
	if files <= 0 {
		return maxStrangers
	}
	return min(max(int(strangerFileShare*float64(files)), minStrangers), maxStrangers)
}
