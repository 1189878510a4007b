// Package enginequeue defines the protocol between gateways for the engine
// queues, which order the starts of all gateways' requests at model engines. It
// also carries usage counts, configuration changes and store updates.
//
// Every gateway dials every other one and sends JSON-RPC notifications over that
// connection (a dispatch.Link). The accepting gateway is the queue owner: it runs
// the queues of some engines and sends its decisions and their loads back over the
// same connection. Requests and answers to callers do not pass through it.
//
//	dialer -> queue owner  hello, reserve, announce, cancel, begun, done, counts,
//	                       collect, config, fetch, hint, leaving, seal, heartbeat,
//	                       limit, limits, permit, evidence, trial, trialEnd,
//	                       versions
//	queue owner -> dialer  welcome, offer, refuse, load, config, permitted,
//	                       trialAnswer
//
// The gateway that issues the permits for requests to a server with a limit is elected
// like the queue owner of an engine, and so is the examiner of requests with suspected
// prompt parts.
package enginequeue

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/ratelimit"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/speed"
	"github.com/damaskport/damaskport/internal/state/versions"
)

// Methods that the protocol has in addition to those of package dispatch.
const (
	// MethodAnnounce adds a request (a Reservation) that already runs to the queue:
	// it was sent to the engine without a reservation, or the engine has a new
	// queue owner.
	MethodAnnounce = "announce"
	// MethodBegun reports that the first event of a request has arrived (a Ref).
	MethodBegun = "begun"
	// MethodDone reports that a request has ended (a Ref).
	MethodDone = "done"
	// MethodLoad carries the loads of the queue owner's engines (Loads).
	MethodLoad = "load"
	// MethodCounts carries usage counts, of which the receiver keeps a copy.
	MethodCounts = "counts"
	// MethodCollect requests the receiver's counts of a usage window (Collect). The
	// receiver sends them with MethodCounts on the connection that it dialed.
	MethodCollect = "collect"
	// MethodConfig carries the difference between a configuration and its
	// predecessor.
	MethodConfig = "config"
	// MethodSeal carries the final figures of a usage window that the dialer has
	// sealed.
	MethodSeal = "seal"
	// MethodWelcome answers a Hello with the receiver's store epoch, configuration
	// version and the servers that are draining.
	MethodWelcome = "welcome"
	// MethodFetch requests the receiver's configuration, which it sends with
	// MethodConfig.
	MethodFetch = "fetch"
	// MethodHint carries an update of a store reader: what it has read from the
	// store.
	MethodHint = "hint"
	// MethodLeaving names a server (servers.Key) that has notified the dialer that
	// it is draining.
	MethodLeaving = "leaving"
	// MethodLimit reports to the issuer of a server's permits what an answer says of the
	// server's limit (LimitReport).
	MethodLimit = "limit"
	// MethodLimits announces limits that begin, change or end (Limits). The issuer of the
	// servers' permits sends it to all gateways.
	MethodLimits = "limits"
	// MethodPermit asks the issuer for a permit to send a request to a server
	// (PermitRequest); MethodPermitted answers it (PermitReply).
	MethodPermit    = "permit"
	MethodPermitted = "permitted"
	// MethodEvidence carries news of servers that ended and of what may have ended them
	// (quarantine.Evidence).
	MethodEvidence = "evidence"
	// MethodTrial asks the examiner whether a suspected request may run, or may run on
	// (TrialRequest); MethodTrialAnswer answers it (TrialReply), and MethodTrialEnd reports
	// the end of the trial (TrialRequest).
	MethodTrial       = "trial"
	MethodTrialAnswer = "trialAnswer"
	MethodTrialEnd    = "trialEnd"
	// MethodVersions carries the software versions of servers (Versions).
	MethodVersions = "versions"
	// MethodZones carries what a store reader has read of evacuated zones (evacuation.View).
	MethodZones = "zones"
)

// Versions are the software versions of the servers by pool; Stored is set if the store holds
// them. Recorder is what the sender says of its record of streams; nil if that is unchanged.
type Versions struct {
	Spans    versions.Spans     `json:"spans"`
	Stored   bool               `json:"stored,omitempty"`
	Recorder *versions.Recorder `json:"recorder,omitempty"`
}

// TrialRequest asks to run one request, or names one that has ended.
type TrialRequest struct {
	// ID is unique among the requests of the sender.
	ID       uint64   `json:"id,omitempty"`
	Request  string   `json:"request"`
	Subjects []string `json:"parts,omitempty"`
	// Retrial is set if the subjects are refused, to try them again.
	Retrial bool `json:"retrial,omitempty"`
	// Marks is set if the sender itself records the retrial, when it sends the request.
	Marks bool `json:"marks,omitempty"`
}

// TrialReply answers the TrialRequest with the same ID.
type TrialReply struct {
	ID      uint64 `json:"id"`
	Granted bool   `json:"granted"`
}

// LimitReport says what an answer says of a server's limit: a ratelimit.Limit, and for the
// end of a limit the number of the permit of the answered request. Malformed is set if that
// answer named a limit that could not be parsed.
type LimitReport struct {
	Limit     ratelimit.Limit `json:"limit"`
	Permit    uint64          `json:"permit,omitempty"`
	Malformed bool            `json:"malformed,omitempty"`
}

// Limits are limits that begin, change or end. It is an object, since older gateways reject
// other parameters of methods that they do not know.
type Limits struct {
	Limits []ratelimit.Limit `json:"limits"`
}

// PermitRequest asks for a permit to send one request to a server.
type PermitRequest struct {
	// ID is unique among the requests of the sender.
	ID uint64 `json:"id"`
	// Limit is the server and its limit as the sender knows it.
	Limit ratelimit.Limit `json:"limit"`
	// Urgent is set if the request is more urgent than others of its pool.
	Urgent bool `json:"urgent,omitempty"`
	// WarmUp is set if the server warms up: Limit.PerSecond is what it accepts meanwhile.
	WarmUp bool `json:"warmUp,omitempty"`
}

// PermitReply answers the PermitRequest with the same ID.
type PermitReply struct {
	ID     uint64           `json:"id"`
	Answer ratelimit.Answer `json:"answer"`
}

// Engine identifies one start of an engine and carries its limits.
type Engine struct {
	ID string `json:"id"`
	// Start is higher for a later start of the same engine.
	Start int64 `json:"start"`
	// Slots is the number of requests that the engine runs concurrently; 0 for no
	// limit.
	Slots int `json:"slots"`
	// MemoryTokens is the engine's memory for prompts and answers, in tokens; 0 for
	// no limit.
	MemoryTokens int `json:"memory"`
}

// Key returns the start of the engine as a key of the server list.
func (e Engine) Key() servers.Key { return servers.Key{ID: e.ID, Start: e.Start} }

// Hello is the first message of the dialing gateway on a connection. The queue owner
// answers with MethodWelcome.
type Hello struct {
	// Entry is the name of the dialing gateway.
	Entry string `json:"entry"`
	// Zone is the dialer's availability zone.
	Zone string `json:"zone,omitempty"`
}

const (
	// ActiveHeartbeat is the heartbeat interval on an active link: the queue owner
	// has requests of the dialer.
	ActiveHeartbeat = 900 * clock.Millisecond
	// ActiveTimeout is the heartbeat timeout on an active link. The queue owner then
	// closes the connection and drops the dialer's requests from its queues.
	ActiveTimeout = 3 * clock.Second
	// heartbeatBytes is the size on the wire of a heartbeat and its answer together,
	// packet headers included.
	heartbeatBytes = 240
	// heartbeatBytesPerSecond limits the heartbeat traffic on all idle links of a
	// gateway together: half of the control traffic allowed per instance.
	heartbeatBytesPerSecond = 1000
	// idleTimeoutHeartbeats is the heartbeat timeout of an idle link, in intervals of
	// IdleHeartbeat.
	idleTimeoutHeartbeats = 3
)

// IdleHeartbeat returns the heartbeat interval on an idle link (one without requests)
// of a gateway with the given number of links. It grows with that number, so that
// the heartbeats on all links together stay within heartbeatBytesPerSecond, and is at
// least ActiveHeartbeat.
func IdleHeartbeat(links int) clock.Millis {
	return max(clock.Millis(links*heartbeatBytes)*clock.Second/heartbeatBytesPerSecond, ActiveHeartbeat)
}

// IdleTimeout returns the heartbeat timeout on an idle link of a gateway with the
// given number of links.
func IdleTimeout(links int) clock.Millis { return idleTimeoutHeartbeats * IdleHeartbeat(links) }

// answerTimeoutPerLink is the time that each link adds to HeartbeatAnswerTimeout: twice
// the time that it adds to the interval between the load messages of a queue owner,
// which are the answers.
const answerTimeoutPerLink = 16 * clock.Millisecond

// HeartbeatAnswerTimeout returns the time after which a gateway with the given number
// of links treats a queue owner as unresponsive because it has not answered a
// heartbeat.
func HeartbeatAnswerTimeout(links int) clock.Millis {
	return ActiveHeartbeat + clock.Millis(links)*answerTimeoutPerLink
}

// Heartbeat shows that the dialer is alive. The queue owner answers with Loads.
type Heartbeat struct {
	// WallMs is the time of day by the dialer's own clock, not adjusted to that of
	// other gateways.
	WallMs clock.Millis `json:"wallMs"`
	// SentMs is the sending time on the dialer's monotonic clock.
	SentMs clock.Millis `json:"sentMs"`
}

// Echo returns the times of a gateway's last received heartbeat to that gateway,
// which derives the offset between the two monotonic clocks from it.
type Echo struct {
	// SentMs is Heartbeat.SentMs, on the clock of the gateway that sent the heartbeat.
	SentMs clock.Millis `json:"sent"`
	// GotMs is the time of receipt on the receiver's clock; 0 if no heartbeat has
	// arrived yet.
	GotMs clock.Millis `json:"got"`
}

// Reservation is the parameter of dispatch.MethodReserve, which asks the queue owner for
// permission to start a request at an engine, and of MethodAnnounce, which adds to the
// queue a request that starts without such permission or already runs.
type Reservation struct {
	ID      string `json:"id"`
	Engine  Engine `json:"engine"`
	Account string `json:"account,omitempty"`
	// Priority is 0 for the most urgent requests and rises with less urgent ones.
	Priority int `json:"priority,omitempty"`
	// LatencySensitive is set if the request's ITL target is among the shortest of
	// its pool; ITLTargetMs is that target.
	LatencySensitive bool         `json:"tight,omitempty"`
	ITLTargetMs      clock.Millis `json:"pause,omitempty"`
	// NoAlternative is set if the dialer has no other engine to try, or if a queue has
	// already refused the request. The queue owner then neither delays nor refuses the
	// request because its prefill alone would make latency-sensitive streams miss their
	// ITL target. The name on the wire is "insists".
	NoAlternative bool `json:"insists,omitempty"`
	// Resumed is set if the caller has part of the answer.
	Resumed bool `json:"resumed,omitempty"`
	// UncachedTokens is the number of prompt tokens left to prefill (not cached).
	UncachedTokens int `json:"unread"`
	// Tokens is the engine memory that the request needs for itself, in tokens.
	Tokens int `json:"tokens"`
	// TargetMs is the time until the target time of the first event, and DeadlineMs
	// the time until the answer must be complete. Both are relative to the sending
	// of the message, since the clocks of gateways differ.
	TargetMs   clock.Millis `json:"target"`
	DeadlineMs clock.Millis `json:"deadline"`
	// AnswerMs is the expected duration of the answer from its first event.
	AnswerMs clock.Millis `json:"need,omitempty"`
	// AnswerEvents is the expected number of events that are left of the answer; 0 if unknown.
	AnswerEvents int `json:"answer,omitempty"`
	// Speed is the engine's speed as its queue owners have told it, for an owner that has
	// not learnt it yet.
	Speed *speed.Figures `json:"speed,omitempty"`
	// PrefillRate is the prefill rate that the dialer expects of the engine, in prompt tokens/ms,
	// for the same purpose; 0 if unknown.
	PrefillRate float64 `json:"rate,omitempty"`
	// Block is the id of the last shared block of the prompt. The engine has it
	// cached once the first event has arrived.
	Block string `json:"part,omitempty"`
	// Begun is set in an announcement of a request whose first event has arrived.
	Begun bool `json:"begun,omitempty"`
}

// Request converts r, received from the gateway entry, to a request of the scheduler.
// now is the time of receipt, from which the times in r count.
func (r Reservation) Request(now clock.Millis, entry string) batch.Request {
	return batch.Request{
		ID: r.ID, Entry: entry, Account: r.Account, Priority: r.Priority, LatencySensitive: r.LatencySensitive, ITLTargetMs: r.ITLTargetMs, NoAlternative: r.NoAlternative, Resumed: r.Resumed, UncachedTokens: r.UncachedTokens, Tokens: r.Tokens,
		TargetMs: now + r.TargetMs, DeadlineMs: now + r.DeadlineMs, AnswerMs: r.AnswerMs, AnswerEvents: r.AnswerEvents,
	}
}

// Collect is the body of MethodCollect.
type Collect struct {
	// Window is the number of the usage window.
	Window int64 `json:"window"`
}

// Ref identifies a request by the ID of its Reservation.
type Ref struct {
	ID string `json:"id"`
	// Unreachable is set in MethodDone if the dialer could not reach the engine.
	Unreachable bool `json:"unreached,omitempty"`
	// BackOffMs is set in MethodDone if the engine rejected the request with a
	// back-off: for how long it accepts no further requests from the dialer.
	BackOffMs clock.Millis `json:"pause,omitempty"`
	// Events is the number of events of the answer since the last report, or since the first
	// event. MethodBegun is sent again to report it while the answer goes on.
	Events int `json:"made,omitempty"`
	// Recent is the number of the last ones of these events that show the present pace, which
	// took RecentMs; 0 for all of them.
	Recent   int          `json:"last,omitempty"`
	RecentMs clock.Millis `json:"over,omitempty"`
	// Slowness is the engine's slowness as it reported it itself with the answer's header; 0
	// if it did not.
	Slowness float64 `json:"slow,omitempty"`
}

// Refusal reports that the queue owner has dropped a reservation.
type Refusal struct {
	ID string `json:"id"`
	// RetryAfterMs is the time after which the request may be retried.
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
}

// Loads carries the loads of those engines whose load has changed since the last
// message. Without any, it only shows that the queue owner is alive.
type Loads struct {
	Loads []Load `json:"loads,omitempty"`
	// Overloaded is set if the CPU or network link of the queue owner cannot keep up.
	// Other gateways are then preferred as queue owners.
	Overloaded bool `json:"overloaded,omitempty"`
}

// Load is the load of one engine. Prefill rates of 0 are unchanged since the engine's
// previous Load on the connection.
type Load struct {
	// Engine is Engine.ID.
	Engine string `json:"e"`
	batch.Load
	// Blocks are the ids of the shared prompt blocks that the engine has used since
	// its previous Load on the connection, the most recently used last.
	Blocks []string `json:"parts,omitempty"`
}
