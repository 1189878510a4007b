// Package turns is the protocol by which gateways order the starts of their
// requests at model engines: JSON-RPC notifications over one connection from
// each gateway to each other (a dispatch.Link). The gateway that accepted it
// hosts the order of some engines. Requests and answers do not pass through it.
//
//	dialer -> host  hello, reserve, announce, cancel, begun, done, counts,
//	                collect, config, fetch, hint, leaving, seal, heartbeat
//	host -> dialer  welcome, offer, refuse, load, config
package turns

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
	// ActiveBeat is the time between beats on a link whose host has requests of
	// the dialer.
	ActiveBeat = 900 * clock.Millisecond
	// ActiveSilence is what the host bears there before it frees their places.
	ActiveSilence = 3 * clock.Second
	// beatBytes is the size of a beat and of its answer on the wire, with the
	// heads of the packets.
	beatBytes = 240
	// beatBudget is what a gateway spends on beats to all others, in bytes a
	// second: half of the control traffic of an instance.
	beatBudget = 1000
	// silentBeats is how many beats a link without requests may miss.
	silentBeats = 3
)

// IdleBeat returns the time between beats on a link without requests, for a
// gateway with so many links: all of them together stay within a budget.
func IdleBeat(links int) clock.Millis {
	return max(clock.Millis(links*beatBytes)*clock.Second/beatBudget, ActiveBeat)
}

// IdleSilence returns the silence to bear on a link without requests.
func IdleSilence(links int) clock.Millis { return silentBeats * IdleBeat(links) }

// answerPerLink is what each link adds to the time in which a host answers a
// beat: twice what it adds to the pause between two loads.
const answerPerLink = 16 * clock.Millisecond

// AnswerWithin returns the time after which a beat without an answer shows that
// the host is silent, for a gateway with so many links.
func AnswerWithin(links int) clock.Millis {
	return ActiveBeat + clock.Millis(links)*answerPerLink
}

// Beat shows that the dialer lives; the host answers with loads.
type Beat struct {
	// WallMs is the time of day by the dialer alone.
	WallMs clock.Millis `json:"wallMs"`
	// SentMs is the time by its steady clock.
	SentMs clock.Millis `json:"sentMs"`
}

// Echo tells a gateway which of its beats came last: its SentMs, and when that was by
// the steady clock of the process that tells it.
type Echo struct {
	SentMs clock.Millis `json:"sent"`
	GotMs  clock.Millis `json:"got"`
}

// Reservation asks for a start at the engine. Times are relative to the
// message, since clocks differ.
type Reservation struct {
	ID       string `json:"id"`
	Engine   Engine `json:"engine"`
	Account  string `json:"account,omitempty"`
	Priority int    `json:"priority,omitempty"`
	Tight    bool   `json:"tight,omitempty"`
	// PauseMs and Insists are as in batch.Request.
	PauseMs clock.Millis `json:"pause,omitempty"`
	Insists bool         `json:"insists,omitempty"`
	Unread  int          `json:"unread"`
	Tokens  int          `json:"tokens"`
	// TargetMs, DeadlineMs and NeedMs are as in batch.Request.
	TargetMs   clock.Millis `json:"target"`
	DeadlineMs clock.Millis `json:"deadline"`
	NeedMs     clock.Millis `json:"need,omitempty"`
	// Part is the last shared part of the prompt, which the engine holds from
	// the first event on.
	Part string `json:"part,omitempty"`
	// Begun is set in an announcement of a request whose first event has arrived.
	Begun bool `json:"begun,omitempty"`
}

// Request converts r at the time of the message's arrival.
func (r Reservation) Request(now clock.Millis, entry string) batch.Request {
	return batch.Request{
		ID: r.ID, Entry: entry, Account: r.Account, Priority: r.Priority, Tight: r.Tight, PauseMs: r.PauseMs, Insists: r.Insists, Unread: r.Unread, Tokens: r.Tokens,
		TargetMs: now + r.TargetMs, DeadlineMs: now + r.DeadlineMs, NeedMs: r.NeedMs,
	}
}

// Collect names a usage window.
type Collect struct {
	Window int64 `json:"window"`
}

// Ref names a request.
type Ref struct {
	ID string `json:"id"`
	// Unreached is set in a done of a request that could not reach the engine.
	Unreached bool `json:"unreached,omitempty"`
	// PauseMs is set in a done of a request that the engine turned away: how long
	// it wants nothing of the dialer.
	PauseMs clock.Millis `json:"pause,omitempty"`
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

// Load is an engine's load, and the shared parts that it used since the last
// Load of the connection, the last used one last. Without speed and rate, they
// are as in the Load before.
type Load struct {
	Engine string `json:"e"`
	batch.Load
	Parts []string `json:"parts,omitempty"`
}
