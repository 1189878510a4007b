// Package batch schedules the requests of all entries for one model engine that runs
// them together (continuous batching).
//
// It protects running streams from bursts of long prompts. An engine prefills
// prompts in chunks, one with each decode step of the running requests: while it
// prefills without a break, every decode step takes as long as a chunk, and
// streams miss deadlines that they could have met. So prompts are granted one
// after the other, and a request that cannot meet its deadline is refused at once
// with a retry-after time, before it uses the engine. While latency-sensitive
// requests run, whose streams tolerate only a short time between events
// (inter-token latency, ITL), prefill is limited to a small fraction of the time
// (the duty cycle).
//
// Requests with the most urgent priority go first; within a priority those that
// can still meet their target for the first streamed event and those that resume an
// answer, of these the latter first unless their account has far exceeded its share,
// then those of accounts that have not exceeded their share, then those that resume an
// answer, then those with the earliest target. New requests of other accounts do not
// delay those that resume, which have little time left. The package is a pure
// state machine: time is an argument. A Scheduler is not safe for concurrent use.
package batch

import (
	"cmp"
	"math"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/speed"
)

const (
	// defaultPrefillRate is the prefill rate, in prompt tokens/ms, that is
	// assumed until one was observed; observed rates are clamped to
	// minPrefillRate to maxPrefillRate.
	defaultPrefillRate = 45.0
	minPrefillRate     = 2.0
	maxPrefillRate     = 500.0
	// prefillRateWeight is the weight of a new observation in the moving average
	// of the prefill rate.
	prefillRateWeight = 0.2
	// minObservedMs is the shortest expected prefill time of a prompt by which the rate
	// is measured: for shorter ones, the decode steps that delay the first event
	// distort the measurement.
	minObservedMs = 65 * clock.Millisecond
	// defaultDuty is the default of Config.Duty, the fraction of the time in which the
	// engine prefills; the rest is left to decode steps without a prefill chunk.
	defaultDuty = 0.9
	// sensitiveDuty is the prefill duty cycle while latency-sensitive requests
	// run: their streams tolerate about three prefill chunks between two events.
	sensitiveDuty = 0.3
	// sensitiveBacklogMs bounds the total prefill time of prompts that were granted
	// and are not prefilled yet, while latency-sensitive requests run: with more,
	// every decode step carries prefill for a few tenths of a second, the longest
	// pause that such streams tolerate.
	sensitiveBacklogMs = 133 * clock.Millisecond
	// prefillRunFraction is the fraction of the ITL target of latency-sensitive
	// streams for which prompts may be prefilled without a break (a prefill run), so
	// that there is a decode step free of prefill between two events. decodeStepMs is
	// the duration of such a step, after which the next prefill run may begin.
	prefillRunFraction = 0.85
	decodeStepMs       = 20 * clock.Millisecond
	// maxStalledStreams is the number of latency-sensitive streams that a single long
	// prompt may stall (delay beyond their ITL target): serving the prompt is worth
	// about as much.
	maxStalledStreams = 1
	// maxSavedBudgetMs is the largest prefill budget, in ms, that is saved up while the
	// engine does not prefill, so that a few prompts that arrive at once need not
	// wait for the duty cycle.
	maxSavedBudgetMs = 400 * clock.Millisecond
	// smallPrefillMs is the prefill time up to which a prompt bypasses the queue (see
	// BypassesQueue): it takes one or two decode steps.
	smallPrefillMs = 29 * clock.Millisecond
	// urgentPrefillMs is the prefill time up to which a prompt bypasses the queue
	// if its priority is above the lowest: the engine itself prefills it ahead of
	// less urgent prompts.
	urgentPrefillMs = 178 * clock.Millisecond
	// prefillBacklogMs bounds the total prefill time of prompts that were granted and
	// are not prefilled yet. The backlog is not empty, so that the engine has the next
	// prompt when it has prefilled one.
	prefillBacklogMs = 267 * clock.Millisecond
	// reservedSlots is the number of slots, at most a quarter of all, that are kept free
	// for requests that bypass the queue.
	reservedSlots = 8
	// memoryFraction is the fraction of the engine's memory that the running requests
	// may use for tokens that they do not share; the rest caches shared prompt
	// prefixes. For a request that bypasses the queue it is smallMemoryFraction.
	memoryFraction      = 0.75
	smallMemoryFraction = 0.92
	// shareHalfLife is the half-life with which the tokens that an account was granted
	// decay.
	shareHalfLife = 5 * clock.Second
	// An account that was granted more than overShareFactor times the mean of all
	// accounts exceeds its share: other accounts go first. With two accounts, 1.5
	// times the mean is three times the other's tokens.
	overShareFactor = 1.5
	// resumedWeight is the part of an account's tokens that counts for requests that resume an
	// answer: after a fault, the accounts with most streams have most to resume.
	resumedWeight = 2.0 / 3
	// minRetryAfter and maxRetryAfter bound the retry-after time of refused
	// requests.
	minRetryAfter = 200 * clock.Millisecond
	maxRetryAfter = 5 * clock.Second
	// misplacedWaitMs is the minimum wait before a queued request is refused so that it
	// can be sent to another engine. This concerns requests that bypass the queue and
	// wait only because the engine is full, and requests that would stall
	// latency-sensitive streams. The former also wait for 1/smallWaitDivisor of the
	// time from arrival to deadline.
	misplacedWaitMs  = 300 * clock.Millisecond
	smallWaitDivisor = 4
	// unreachableMs is how long an engine that an entry could not reach counts as
	// unreachable and is granted no requests.
	unreachableMs = 700 * clock.Millisecond
	// unreachableGrace is the time after a report of an unreachable engine in which the
	// first event of another entry's request does not contradict the report: the
	// engine may have sent the event before it became unreachable.
	unreachableGrace = 60 * clock.Millisecond
	// distrustMs is how long, after an entry's report of an unreachable engine was
	// contradicted, further reports of that entry affect only its own requests:
	// probably only its connection to the engine is broken.
	distrustMs = 10 * clock.Second
	// maxBackOffMs bounds the back-off after the engine rejected a request, during which
	// no further prompt is granted except those that bypass the queue: later answers
	// show how full the engine is.
	maxBackOffMs = 500 * clock.Millisecond
	// unreachableFreeMs is added to the reported Load.FreeMs while the engine is
	// unreachable.
	unreachableFreeMs = 5 * clock.Second
	// checkInterval is the minimum time between two checks whether queued requests can
	// still meet their deadline.
	checkInterval = 50 * clock.Millisecond
	// tickInterval is the time between two calls of Tick while requests are
	// queued.
	tickInterval = 10 * clock.Millisecond
)

// Config describes the engine.
type Config struct {
	// Slots is the number of requests that the engine runs concurrently; 0 for no
	// limit.
	Slots int
	// MemoryTokens is the engine's memory for prompts and answers, in tokens; 0
	// for no limit.
	MemoryTokens int
	// Duty is the fraction of the time for prefill, above 0 and up to 1; 0 means 0.9.
	Duty float64
}

// Request is a request that is to run at the engine. Times are on the scheduler's
// clock, in ms.
type Request struct {
	ID      string
	Entry   string // the entry that sends the request to the engine
	Account string
	// Priority is 0 for the most urgent requests and rises with less urgent ones.
	Priority int
	// LatencySensitive is set if the ITL target of the request's route is among the
	// shortest of the pool. ITLTargetMs is that target: the longest time between two
	// events of the answer, in ms; 0 if unknown.
	LatencySensitive bool
	ITLTargetMs      clock.Millis
	// Resumed is set if the caller has part of the answer. The request has less time left
	// than a whole answer takes, and is of use also if it only adds to that part.
	Resumed bool
	// NoAlternative is set if no other engine is left to try: then the request is not
	// held back or refused for stalling latency-sensitive streams.
	NoAlternative bool
	// UncachedTokens is the number of prompt tokens that the engine has to prefill
	// because it does not have them cached.
	UncachedTokens int
	// Tokens is the engine memory, in tokens, that the request does not share with
	// others.
	Tokens int
	// TargetMs is the time by which the first event should arrive.
	TargetMs clock.Millis
	// DeadlineMs is the time by which the answer must be complete.
	DeadlineMs clock.Millis
	// AnswerMs is the expected duration of the answer from its first event, by which it is
	// judged while the engine's speed isn't known; AnswerEvents is the expected number
	// of events that are left of the answer, 0 if unknown.
	AnswerMs     clock.Millis
	AnswerEvents int
}

// Action is the scheduler's decision on the request ID, to be sent to its entry.
type Action struct {
	Entry string
	ID    string
	// Granted is set if the request may be sent to the engine, unset if it is refused.
	Granted bool
	// RetryAfterMs is the time, in ms from now, after which a refused request may be
	// retried; 0 if the request is granted.
	RetryAfterMs clock.Millis
}

// Load is the engine's load as reported to entries. Its JSON names are short, since it
// is sent often. Running counts the granted requests that have not ended,
// LatencySensitive those of them that are latency-sensitive, and Waiting the queued
// requests.
type Load struct {
	// FreeMs is the estimated time, in ms, until a prompt that arrived now would be
	// granted.
	FreeMs clock.Millis `json:"f,omitempty"`
	// PrefillMs is the time, in ms, that the engine still takes to prefill the granted
	// prompts.
	PrefillMs        clock.Millis `json:"r,omitempty"`
	Running          int          `json:"n,omitempty"`
	LatencySensitive int          `json:"t,omitempty"`
	Waiting          int          `json:"w,omitempty"`
	// PrefillRate is the rate, in prompt tokens/ms, while the engine prefills;
	// MeanPrefillRate is the mean rate over time, PrefillRate times the duty cycle.
	PrefillRate     float64 `json:"s,omitempty"`
	MeanPrefillRate float64 `json:"v,omitempty"`
	// SlotMs is the estimated time, in ms, until a request that arrives now gets a slot; 0
	// while one is free. SlotStepMs is the mean time between two requests that leave the
	// engine when it is full; 0 if it is not known, or if most slots are free.
	SlotMs     clock.Millis `json:"q,omitempty"`
	SlotStepMs clock.Millis `json:"p,omitempty"`
	speed.Figures
}

// grantedRequest is a granted request that has not ended.
type grantedRequest struct {
	Request
	grantedMs clock.Millis
	begun     bool // its first event has arrived
	beganMs   clock.Millis
	// firstTokens is the work up to its first event as it was granted, in prompt tokens.
	// adopted is set if it was not granted here. progressMs is the time of its first event or
	// of the last report of its progress.
	firstTokens float64
	adopted     bool
	progressMs  clock.Millis
}

// queuedRequest is a queued request.
type queuedRequest struct {
	Request
	seq      int          // number in the order of arrival
	queuedMs clock.Millis // when it was submitted
}

// Scheduler queues and grants the requests for one engine.
type Scheduler struct {
	cfg Config
	// prefillRate is the exponential moving average of the observed prefill rates, in
	// prompt tokens/ms.
	prefillRate float64
	running     map[string]*grantedRequest // by ID
	queue       []*queuedRequest
	seq         int // of the last request submitted
	// nextGrantMs is the time from which the duty cycle allows to grant the next prompt
	// that does not bypass the queue.
	nextGrantMs      clock.Millis
	pendingTokens    int // uncached tokens of granted prompts that are not prefilled yet
	memoryTokens     int // sum of Request.Tokens of the running requests
	sensitiveRunning int // latency-sensitive requests among the running ones
	// itlTargetMs is the ITL target of the latency-sensitive request granted last. The
	// present prefill run (prompts prefilled without a break) began at runStartMs; the
	// last one ended at runEndMs.
	itlTargetMs, runStartMs, runEndMs clock.Millis
	// lowestPriority is the least urgent priority (the highest number) seen so far.
	lowestPriority int
	// grantedTokens is the number of tokens granted to each account, which decays with
	// shareHalfLife; tokensDecayedMs is when the numbers were last decayed.
	grantedTokens   map[string]float64
	tokensDecayedMs clock.Millis
	// unreachableUntilMs is until when the engine counts as unreachable;
	// unreachableReporter reported it at unreachableSinceMs.
	unreachableUntilMs, unreachableSinceMs clock.Millis
	unreachableReporter                    string
	// contradicted holds, by entry, when its last report of an unreachable engine was
	// contradicted.
	contradicted map[string]clock.Millis
	// hold is the mean time for which a request keeps its slot.
	hold slotHold
	// lastCheckMs is when the queued requests were last checked.
	lastCheckMs clock.Millis
	actions     []Action
	speed       speed.Model
	// overdue is how many times as long as usual first events take that are overdue; 0 if
	// there are too few.
	overdue      float64
	prefilled    prefilled
	rateKnown    bool         // prefillRate was observed or inherited
	speedCheckMs clock.Millis // when CheckSpeed last looked
}

// New returns an idle Scheduler.
func New(cfg Config) *Scheduler {
	if cfg.Duty <= 0 {
		cfg.Duty = defaultDuty
	}
	return &Scheduler{cfg: cfg, prefillRate: defaultPrefillRate, running: map[string]*grantedRequest{}, grantedTokens: map[string]float64{}, contradicted: map[string]clock.Millis{}}
}

// meanPrefillRate returns the mean prefill rate over time, in prompt tokens/ms: the
// rate while the engine prefills times the present duty cycle.
func (s *Scheduler) meanPrefillRate() float64 {
	if s.sensitiveRunning > 0 {
		return s.prefillRate * min(sensitiveDuty, s.cfg.Duty)
	}
	return s.prefillRate * s.cfg.Duty
}

// prefillMs returns the expected time, in ms, to prefill the given number of tokens.
func (s *Scheduler) prefillMs(tokens int) clock.Millis {
	return clock.Millis(float64(tokens) / s.prefillRate)
}

// Submit adds r to the queue and grants it if it may start now, or refuses it if it
// cannot meet its deadline. Actions returns the decision.
func (s *Scheduler) Submit(now clock.Millis, r Request) {
	s.seq++
	w := &queuedRequest{r, s.seq, now}
	s.lowestPriority = max(s.lowestPriority, r.Priority)
	if !s.feasible(now, w) {
		s.refuse(now, w)
		return
	}
	s.queue = append(s.queue, w)
	s.dispatch(now)
}

// Adopt adds a request that was sent to the engine without this scheduler's grant, for
// example before the scheduler was restarted. begun is set if its first event has
// arrived.
func (s *Scheduler) Adopt(now clock.Millis, r Request, begun bool) {
	if _, ok := s.running[r.ID]; ok {
		return
	}
	s.grant(now, r)
	s.running[r.ID].adopted = begun
	if begun {
		s.FirstEvent(now, r.ID)
	}
}

// Cancel removes a request that is queued or running.
func (s *Scheduler) Cancel(now clock.Millis, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool { return w.ID == id })
	s.Done(now, id)
}

// FirstEvent records that the first event of a request's answer has arrived: its
// prompt has been prefilled.
func (s *Scheduler) FirstEvent(now clock.Millis, id string) {
	r, ok := s.running[id]
	if !ok || r.begun {
		return
	}
	r.begun, r.beganMs, r.progressMs = true, now, now
	s.addFirstEvent(now, r)
	s.removePending(now, r.UncachedTokens)
	s.confirmReachable(now, r.Entry)
	s.observePrefill(now, r.UncachedTokens)
	s.dispatch(now)
}

// Done records that a request has ended.
func (s *Scheduler) Done(now clock.Millis, id string) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if r.begun {
		s.hold.add(now - r.beganMs + s.prefillMs(r.UncachedTokens))
	} else {
		s.removePending(now, r.UncachedTokens)
		s.prefilled = prefilled{sinceMs: now}
	}
	s.memoryTokens -= r.Tokens
	if r.LatencySensitive {
		s.sensitiveRunning--
	}
	s.dispatch(now)
}

// removePending removes tokens, which have been prefilled or whose request has ended,
// from pendingTokens. If none are left, the prefill run ends.
func (s *Scheduler) removePending(now clock.Millis, tokens int) {
	if s.pendingTokens -= tokens; s.pendingTokens <= 0 {
		s.runEndMs = now
	}
}

// ReportUnreachable records that an entry could not reach the engine. All queued
// requests are refused, so that they are sent to other engines instead of failing
// one by one. If a report of the same entry was contradicted less than distrustMs
// ago, only the entry's own requests are refused.
func (s *Scheduler) ReportUnreachable(now clock.Millis, entry string) {
	contradictedMs, distrusted := s.contradicted[entry]
	distrusted = distrusted && now-contradictedMs < distrustMs
	if !distrusted {
		s.unreachableUntilMs, s.unreachableSinceMs, s.unreachableReporter = now+unreachableMs, now, entry
	}
	queue := s.queue
	s.queue = nil
	for _, w := range queue {
		if distrusted && w.Entry != entry {
			s.queue = append(s.queue, w)
			continue
		}
		s.actions = append(s.actions, Action{Entry: w.Entry, ID: w.ID, RetryAfterMs: minRetryAfter})
	}
}

// BackOff records that the engine rejected a request and asked for a back-off of
// pause ms. The engine has less room than estimated, so the back-off applies to the
// prompts of all entries.
func (s *Scheduler) BackOff(now, pause clock.Millis) {
	s.nextGrantMs = max(s.nextGrantMs, now.AddFull(min(pause, maxBackOffMs)))
}

// confirmReachable records that a first event arrived at entry. If another entry has
// reported the engine as unreachable, this contradicts the report: the engine
// counts as reachable again.
func (s *Scheduler) confirmReachable(now clock.Millis, entry string) {
	if now < s.unreachableUntilMs && entry != s.unreachableReporter && now-s.unreachableSinceMs > unreachableGrace {
		s.unreachableUntilMs = now
		s.contradicted[s.unreachableReporter] = now
	}
}

// DropEntry removes all requests of an entry that no longer exists, and returns their
// IDs.
func (s *Scheduler) DropEntry(now clock.Millis, entry string) []string {
	var ids []string
	for _, w := range s.queue {
		if w.Entry == entry {
			ids = append(ids, w.ID)
		}
	}
	for id, r := range s.running {
		if r.Entry == entry {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		s.Cancel(now, id)
	}
	return ids
}

// Tick refuses queued requests that can no longer meet their deadline here, or that
// should be sent to another engine, early enough that another engine or a retry may
// still serve them. It then grants the requests that may start.
func (s *Scheduler) Tick(now clock.Millis) {
	if now-s.lastCheckMs >= checkInterval {
		s.lastCheckMs = now
		for _, w := range slices.Clone(s.queue) {
			if !s.feasible(now, w) || s.misplaced(now, w) {
				s.queue = slices.DeleteFunc(s.queue, func(o *queuedRequest) bool { return o == w })
				s.refuse(now, w)
			}
		}
	}
	s.dispatch(now)
}

// NextTick returns when Tick is to be called next; ok is false while the queue is
// empty.
func (s *Scheduler) NextTick(now clock.Millis) (at clock.Millis, ok bool) {
	return now + tickInterval, len(s.queue) > 0
}

// Idle reports whether no request is running or queued.
func (s *Scheduler) Idle() bool { return len(s.queue) == 0 && len(s.running) == 0 }

// After returns the load as expected d ms later if no requests are added.
func (l Load) After(d clock.Millis) Load {
	l.FreeMs, l.PrefillMs, l.SlotMs = max(l.FreeMs-d, 0), max(l.PrefillMs-d, 0), max(l.SlotMs-d, 0)
	return l
}

// nearDivisor is the inverse of the relative difference up to which two values of a
// load count as equal: the longer a queue, the less one more request matters to the
// choice of an engine.
const nearDivisor = 4

// Near reports whether two loads are so close that an entry would choose the same
// engine by either. The owner of the queue need not report such a change.
func (l Load) Near(o Load) bool {
	const ms, requests = 30, 1
	return near(l.FreeMs, o.FreeMs, ms) && near(l.PrefillMs, o.PrefillMs, ms) && near(l.Running, o.Running, requests) &&
		l.LatencySensitive == o.LatencySensitive && near(l.Waiting, o.Waiting, 0) && near(l.SlotMs, o.SlotMs, ms) && l.Figures.Near(o.Figures)
}

// near reports whether a and b differ by at most least, or by 1/nearDivisor of
// the larger one.
func near[T ~int | ~int64](a, b, minDifference T) bool {
	return max(a-b, b-a) <= max(minDifference, max(a, b)/nearDivisor)
}

// Actions returns the decisions made since the last call, to be sent to the entries.
func (s *Scheduler) Actions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// Load returns the present load.
func (s *Scheduler) Load(now clock.Millis) Load {
	ahead := 0
	for _, w := range s.queue {
		ahead += w.UncachedTokens
	}
	outageMs := clock.Millis(0)
	if now < s.unreachableUntilMs {
		outageMs = unreachableFreeMs
	}
	return s.reportSlots(Load{
		FreeMs:    outageMs + max(s.nextGrantMs-now, 0) + clock.Millis(float64(ahead)/s.meanPrefillRate()),
		PrefillMs: s.prefillMs(max(s.pendingTokens, 0)),
		Running:   len(s.running), LatencySensitive: s.sensitiveRunning, Waiting: len(s.queue),
		PrefillRate: math.Round(s.prefillRate*10) / 10, MeanPrefillRate: math.Round(s.meanPrefillRate()*10) / 10,
		Figures: s.figures(now),
	})
}

// refuse refuses w. The retry-after time is half of the time until a new prompt would
// be granted, between minRetryAfter and maxRetryAfter.
func (s *Scheduler) refuse(now clock.Millis, w *queuedRequest) {
	after := min(max(s.Load(now).FreeMs/2, minRetryAfter), maxRetryAfter)
	s.actions = append(s.actions, Action{Entry: w.Entry, ID: w.ID, RetryAfterMs: after})
}

// BypassesQueue reports whether a prompt of which uncachedTokens tokens are not cached
// bypasses the engine queue: it does not wait for the duty cycle or for the prefill of
// other prompts, only for a slot, memory and the ITL target of running streams.
// prefillRate is the engine's prefill rate in prompt tokens/ms; urgent is set if the
// request's priority is above the lowest one.
func BypassesQueue(uncachedTokens int, urgent bool, prefillRate float64) bool {
	ms := clock.Millis(float64(uncachedTokens) / prefillRate)
	return ms <= smallPrefillMs || urgent && ms <= urgentPrefillMs
}

// bypassesQueue reports whether w bypasses the queue, by BypassesQueue or because it
// is latency-sensitive.
func (s *Scheduler) bypassesQueue(w *queuedRequest) bool {
	return w.LatencySensitive || BypassesQueue(w.UncachedTokens, w.Priority < s.lowestPriority, s.prefillRate)
}

// precedes reports whether a is granted before b, by the order in the package comment.
func (s *Scheduler) precedes(now clock.Millis, a, b *queuedRequest) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if la, lb := s.missesTarget(now, a), s.missesTarget(now, b); la != lb {
		return !la
	}
	if ra, rb := s.resumesWithinShare(a), s.resumesWithinShare(b); ra != rb {
		return ra
	}
	if oa, ob := s.exceedsShare(a.Account, 1), s.exceedsShare(b.Account, 1); oa != ob {
		return !oa
	}
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if c := cmp.Compare(a.TargetMs, b.TargetMs); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// missesTarget reports whether w would miss the target for its first event even if it
// were prefilled now. The first event of a resumed request has arrived long before.
func (s *Scheduler) missesTarget(now clock.Millis, w *queuedRequest) bool {
	return !w.Resumed && now+s.prefillMs(w.UncachedTokens) > w.TargetMs
}

// resumesWithinShare reports whether w resumes an answer and goes before new requests: its account
// has not used that to take far more than its share.
func (s *Scheduler) resumesWithinShare(w *queuedRequest) bool {
	return w.Resumed && !s.exceedsShare(w.Account, resumedWeight)
}

// exceedsShare reports whether the tokens that an account was granted, of which only the part
// weight counts, exceed overShareFactor times the mean of all accounts.
func (s *Scheduler) exceedsShare(account string, weight float64) bool {
	if len(s.grantedTokens) < 2 {
		return false
	}
	own := weight * s.grantedTokens[account]
	sum := own - s.grantedTokens[account]
	for _, v := range s.grantedTokens {
		sum += v
	}
	return own > overShareFactor*sum/float64(len(s.grantedTokens))
}

// dispatch grants queued requests in the order of precedes, up to the first one that
// may not start yet.
func (s *Scheduler) dispatch(now clock.Millis) {
	for len(s.queue) > 0 {
		best := s.queue[0]
		for _, w := range s.queue[1:] {
			if s.precedes(now, w, best) {
				best = w
			}
		}
		if !s.fits(now, best) {
			return
		}
		s.queue = slices.DeleteFunc(s.queue, func(o *queuedRequest) bool { return o == best })
		s.grant(now, best.Request)
		s.actions = append(s.actions, Action{Entry: best.Entry, ID: best.ID, Granted: true})
	}
}

// misplaced reports whether w has waited so long that it should be refused, because
// another engine may have room for it or may prefill it without stalling
// latency-sensitive streams.
func (s *Scheduler) misplaced(now clock.Millis, w *queuedRequest) bool {
	waited := now - w.queuedMs
	return s.bypassesQueue(w) && waited > max(misplacedWaitMs, (w.DeadlineMs-w.queuedMs)/smallWaitDivisor) || s.stallsStreams(w) && waited > misplacedWaitMs
}

// maxPrefillRun returns how long, in ms, prompts may be prefilled without a break while
// latency-sensitive requests run; ok is false if none run or their ITL target is not
// known.
func (s *Scheduler) maxPrefillRun() (ms clock.Millis, ok bool) {
	return clock.Millis(float64(s.itlTargetMs) * prefillRunFraction), s.sensitiveRunning > 0 && s.itlTargetMs > 0
}

// stallsStreams reports whether the prefill of w alone would make latency-sensitive
// streams miss their ITL target.
func (s *Scheduler) stallsStreams(w *queuedRequest) bool {
	limit, ok := s.maxPrefillRun()
	return ok && !w.LatencySensitive && !w.NoAlternative && s.sensitiveRunning > maxStalledStreams && s.prefillMs(w.UncachedTokens) > limit
}

// keepsITLTarget reports whether the latency-sensitive streams still meet their ITL
// target if w is granted now.
func (s *Scheduler) keepsITLTarget(now clock.Millis, w *queuedRequest) bool {
	limit, ok := s.maxPrefillRun()
	switch {
	case !ok || w.LatencySensitive:
		return true
	case s.stallsStreams(w):
		return false
	case s.pendingTokens > 0 || now-s.runEndMs < decodeStepMs:
		return now-s.runStartMs+s.prefillMs(s.pendingTokens+w.UncachedTokens) <= limit
	}
	return true
}

// fits reports whether w may be granted now: the engine is reachable and has a slot
// and memory for it, and its prefill is within the limits.
func (s *Scheduler) fits(now clock.Millis, w *queuedRequest) bool {
	if now < s.unreachableUntilMs {
		return false
	}
	slots, fraction := s.cfg.Slots, smallMemoryFraction
	if !s.bypassesQueue(w) {
		slots -= min(reservedSlots, slots/4)
		fraction = memoryFraction
	}
	if slots > 0 && len(s.running) >= slots {
		return false
	}
	if mem := int(float64(s.cfg.MemoryTokens) * fraction); mem > 0 && len(s.running) > 0 && s.memoryTokens+w.Tokens > mem {
		return false
	}
	if !s.keepsITLTarget(now, w) {
		return false
	}
	if s.bypassesQueue(w) || len(s.running) == 0 {
		return true
	}
	limit := prefillBacklogMs
	if s.sensitiveRunning > 0 {
		limit = sensitiveBacklogMs
	}
	if s.pendingTokens > 0 && s.prefillMs(s.pendingTokens+w.UncachedTokens) > limit {
		return false
	}
	return now >= s.nextGrantMs
}

// grant adds r to the running requests, charges its prefill time to the duty cycle
// and its tokens to its account.
func (s *Scheduler) grant(now clock.Millis, r Request) {
	s.running[r.ID] = &grantedRequest{Request: r, grantedMs: now}
	if s.pendingTokens <= 0 {
		s.prefilled = prefilled{sinceMs: now}
	}
	if s.pendingTokens <= 0 && now-s.runEndMs >= decodeStepMs {
		s.runStartMs = now
	}
	s.pendingTokens += r.UncachedTokens
	s.running[r.ID].firstTokens = float64(s.pendingTokens) + firstEventTokens
	s.memoryTokens += r.Tokens
	if r.LatencySensitive {
		s.sensitiveRunning++
		s.itlTargetMs = r.ITLTargetMs
	}
	s.nextGrantMs = max(s.nextGrantMs, now-maxSavedBudgetMs) + clock.Millis(float64(r.UncachedTokens)/s.meanPrefillRate())
	s.addGranted(now, r.Account, float64(r.UncachedTokens+r.Tokens))
}

// addGranted adds tokens to the number granted to the account, after decaying the
// numbers of all accounts.
func (s *Scheduler) addGranted(now clock.Millis, account string, tokens float64) {
	if dt := now - s.tokensDecayedMs; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(shareHalfLife))
		for a, v := range s.grantedTokens {
			if s.grantedTokens[a] = v * f; v*f < 1 {
				delete(s.grantedTokens, a)
			}
		}
		s.tokensDecayedMs = now
	}
	s.grantedTokens[account] += tokens
}
