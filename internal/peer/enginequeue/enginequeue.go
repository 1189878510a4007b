// Package enginequeue is the protocol by which gateways order the starts of their
// requests at model engines: JSON-RPC notifications over one connection from
// each gateway to each other (a dispatch.Link). The gateway that accepted it
// hosts the order of some engines. Requests and answers do not pass through it.
//
//	dialer -> host  hello, reserve, announce, cancel, begun, done, counts,
//	                collect, config, fetch, hint, leaving, seal, heartbeat
//	host -> dialer  welcome, offer, refuse, load, config
package enginequeue

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Methods beside those of the dispatch protocol.
const (
	// MethodAnnounce tells of a request that was sent without a reservation, or
	// whose engine has a new host.
	MethodAnnounce = "announce"
	MethodBegun    = "begun"
	MethodDone     = "done"
	MethodLoad     = "load"
	// MethodCounts carries the dialer's usage counts, which the host keeps for it.
	MethodCounts = "counts"
	// MethodCollect asks the host for its counts of a usage window, which it sends
	// by MethodCounts on its own connection to the dialer.
	MethodCollect = "collect"
	// MethodConfig carries what differs in a configuration that the dialer has read
	// from the one before.
	MethodConfig = "config"
	// MethodSeal tells of a usage window that the dialer has sealed.
	MethodSeal = "seal"
	// MethodWelcome answers a greeting with what the host knows, and MethodFetch asks
	// it for its configuration, which it sends by MethodConfig.
	MethodWelcome = "welcome"
	MethodFetch   = "fetch"
	// MethodHint tells what the dialer knows of the store.
	MethodHint = "hint"
	// MethodLeaving names a server (servers.Key) that told the dialer that it leaves.
	MethodLeaving = "leaving"
)

// Engine names one start of an engine and tells its size.
type Engine struct {
	ID           string `json:"id"`
	Start        int64  `json:"start"`
	Slots        int    `json:"slots"`
	MemoryTokens int    `json:"memory"`
}

// Hello opens a connection.
type Hello struct {
	Entry string `json:"entry"`
	// Zone is the dialer's availability zone.
	Zone string `json:"zone,omitempty"`
}

const (
	// ActiveHeartbeat is the time between heartbeats on a link whose host has requests of
	// the dialer.
	ActiveHeartbeat = 900 * clock.Millisecond
	// ActiveTimeout is what the host bears there before it frees their places.
	ActiveTimeout = 3 * clock.Second
	// beatBytes is the size of a heartbeat and of its answer on the wire, with the
	// heads of the packets.
	beatBytes = 240
	// beatBudget is what a gateway spends on heartbeats to all others, in bytes a
	// second: half of the control traffic of an instance.
	beatBudget = 1000
	// silentBeats is how many heartbeats a link without requests may miss.
	silentBeats = 3
)

// IdleHeartbeat returns the time between heartbeats on a link without requests, for a
// gateway with so many links: all of them together stay within a budget.
func IdleHeartbeat(links int) clock.Millis {
	return max(clock.Millis(links*beatBytes)*clock.Second/beatBudget, ActiveHeartbeat)
}

// IdleTimeout returns the silence to bear on a link without requests.
func IdleTimeout(links int) clock.Millis { return silentBeats * IdleHeartbeat(links) }

// answerPerLink is what each link adds to the time in which a host answers a
// heartbeat: twice what it adds to the pause between two loads.
const answerPerLink = 16 * clock.Millisecond

// HeartbeatAnswerTimeout returns the time after which a heartbeat without an answer shows that
// the host is silent, for a gateway with so many links.
func HeartbeatAnswerTimeout(links int) clock.Millis {
	return ActiveHeartbeat + clock.Millis(links)*answerPerLink
}

// Heartbeat shows that the dialer lives; the host answers with loads.
type Heartbeat struct {
	// WallMs is the time of day by the dialer alone.
	WallMs clock.Millis `json:"wallMs"`
	// SentMs is the time by its steady clock.
	SentMs clock.Millis `json:"sentMs"`
}

// Echo tells a gateway which of its heartbeats came last: its SentMs, and when that was by
// the steady clock of the process that tells it.
type Echo struct {
	SentMs clock.Millis `json:"sent"`
	GotMs  clock.Millis `json:"got"`
}

// Reservation asks for a start at the engine. Times are relative to the
// message, since clocks differ.
type Reservation struct {
	ID               string `json:"id"`
	Engine           Engine `json:"engine"`
	Account          string `json:"account,omitempty"`
	Priority         int    `json:"priority,omitempty"`
	LatencySensitive bool   `json:"tight,omitempty"`
	// ITLTargetMs and NoAlternative are as in batch.Request.
	ITLTargetMs    clock.Millis `json:"pause,omitempty"`
	NoAlternative  bool         `json:"insists,omitempty"`
	UncachedTokens int          `json:"unread"`
	Tokens         int          `json:"tokens"`
	// TargetMs, DeadlineMs and AnswerMs are as in batch.Request.
	TargetMs   clock.Millis `json:"target"`
	DeadlineMs clock.Millis `json:"deadline"`
	AnswerMs   clock.Millis `json:"need,omitempty"`
	// Block is the last shared block of the prompt, which the engine holds from
	// the first event on.
	Block string `json:"part,omitempty"`
	// Begun is set in an announcement of a request whose first event has arrived.
	Begun bool `json:"begun,omitempty"`
}

// Request converts r at the time of the message's arrival.
func (r Reservation) Request(now clock.Millis, entry string) batch.Request {
	return batch.Request{
		ID: r.ID, Entry: entry, Account: r.Account, Priority: r.Priority, LatencySensitive: r.LatencySensitive, ITLTargetMs: r.ITLTargetMs, NoAlternative: r.NoAlternative, UncachedTokens: r.UncachedTokens, Tokens: r.Tokens,
		TargetMs: now + r.TargetMs, DeadlineMs: now + r.DeadlineMs, AnswerMs: r.AnswerMs,
	}
}

// Collect names a usage window.
type Collect struct {
	Window int64 `json:"window"`
}

// Ref names a request.
type Ref struct {
	ID string `json:"id"`
	// Unreachable is set in a done of a request that could not reach the engine.
	Unreachable bool `json:"unreached,omitempty"`
	// BackOffMs is set in a done of a request that the engine turned away: how long
	// it wants nothing of the dialer.
	BackOffMs clock.Millis `json:"pause,omitempty"`
}

// Refusal tells that a reservation was dropped.
type Refusal struct {
	ID           string       `json:"id"`
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
}

// Loads tells the load of engines that changed; none shows that the host lives.
type Loads struct {
	Loads []Load `json:"loads,omitempty"`
	// Overloaded tells that the host's processor or link cannot keep up: engines
	// had better be hosted elsewhere.
	Overloaded bool `json:"overloaded,omitempty"`
}

// Load is an engine's load, and the shared blocks that it used since the last
// Load of the connection, the last used one last. Without prefill rates, they
// are as in the Load before.
type Load struct {
	Engine string `json:"e"`
	batch.Load
	Blocks []string `json:"parts,omitempty"`
}
