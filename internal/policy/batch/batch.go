// Package batch schedules the requests of all entries for one model engine that
// batches them (continuous batching).
//
// It protects running streams from bursts of long prompts. An engine prefills
// prompts in chunks between the decode steps of the running requests: while it
// prefills without a break, each decode step takes as long as a chunk, and
// streams miss deadlines that they could have met. So prompts are granted one
// after the other, and a request that cannot meet its deadline is refused at once
// with a retry-after time, before it costs anything. While latency-sensitive
// requests run, whose streams tolerate only short inter-token latencies (ITL),
// prefill is limited to a small duty cycle.
//
// Requests with the most urgent priority go first; within a priority those that
// can still meet their first-event target, then accounts that have not exceeded
// their share, then the earliest target. The package is a pure state machine with
// a single owner: time is an argument.
package batch

import (
	"cmp"
	"math"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
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
	// minObservedMs is the shortest prefill from which the rate is measured: in
	// shorter ones, the decode steps that delay the first event distort it.
	minObservedMs = 65 * clock.Millisecond
	// defaultDuty is the fraction of the time in which the engine prefills. In
	// the model of TestBurstOfLongPrompts 0.9 lets as many streams meet their
	// deadline as any other value.
	defaultDuty = 0.9
	// sensitiveDuty is the prefill duty cycle while latency-sensitive requests
	// run: their streams tolerate about three prefill chunks within one event.
	sensitiveDuty = 0.3
	// sensitiveBacklogMs bounds the prefill time of granted prompts while
	// latency-sensitive requests run: with more, no decode step is free of
	// prefill for a few tenths of a second, the longest pause that such streams
	// tolerate.
	sensitiveBacklogMs = 133 * clock.Millisecond
	// prefillRunFraction is the fraction of the ITL target of latency-sensitive
	// streams for which prompts may be prefilled without a break, so that each
	// event has a decode step free of prefill. decodeStepMs is the time of such a
	// step, after which the next run of prefills may begin.
	prefillRunFraction = 0.85
	decodeStepMs       = 20 * clock.Millisecond
	// maxStalledStreams is the number of latency-sensitive streams that a single
	// long prompt may stall: the prompt is worth about as much as they are.
	maxStalledStreams = 1
	// maxSavedBudgetMs is the most prefill time that is saved up while the engine
	// does not prefill, so that a few prompts at once need not wait for the duty
	// cycle.
	maxSavedBudgetMs = 400 * clock.Millisecond
	// smallPrefillMs is the prefill time up to which a prompt bypasses the queue:
	// it takes one or two decode steps.
	smallPrefillMs = 29 * clock.Millisecond
	// urgentPrefillMs is the prefill time up to which a prompt bypasses the queue
	// if its priority is above the lowest: the engine itself prefills it ahead of
	// less urgent prompts.
	urgentPrefillMs = 178 * clock.Millisecond
	// prefillBacklogMs bounds the prefill time of prompts that were granted and
	// are not prefilled yet, so that the next one is available when one has been
	// prefilled.
	prefillBacklogMs = 267 * clock.Millisecond
	// reservedSlots is the number of slots kept free for latency-sensitive and
	// small requests.
	reservedSlots = 8
	// memoryFraction is the fraction of the engine's memory that requests' own
	// tokens may use; the rest caches shared prompt prefixes. Small requests may
	// use smallMemoryFraction.
	memoryFraction      = 0.75
	smallMemoryFraction = 0.92
	// shareHalfLife is the half-life of the tokens that an account was granted.
	shareHalfLife = 5 * clock.Second
	// overShareFactor is how many times the mean of all accounts an account may
	// have been granted before other accounts go first. With two accounts, 1.5
	// times the mean is three times the other's tokens.
	overShareFactor = 1.5
	// minRetryAfter and maxRetryAfter bound the retry-after time of refused
	// requests.
	minRetryAfter = 200 * clock.Millisecond
	maxRetryAfter = 5 * clock.Second
	// misplacedWaitMs is the minimum wait before a request is refused so that it
	// can go to another engine: a small one that is held up by a full engine
	// only, or one that would stall streams. A small one also waits for
	// 1/smallWaitDivisor of the time to its deadline.
	misplacedWaitMs  = 300 * clock.Millisecond
	smallWaitDivisor = 4
	// unreachableMs is how long an engine that an entry could not reach counts as
	// unreachable and is granted no requests.
	unreachableMs = 700 * clock.Millisecond
	// unreachableGrace is the time after a report of an unreachable engine in
	// which a first event of another entry does not contradict it: the engine may
	// have answered before it went away.
	unreachableGrace = 60 * clock.Millisecond
	// distrustMs is how long an entry's reports of an unreachable engine are
	// ignored for other entries after one was contradicted: then only that
	// entry's connection to the engine is broken.
	distrustMs = 10 * clock.Second
	// maxBackOffMs bounds the time for which no further prompt is granted after
	// the engine rejected a request: later answers show how full it is.
	maxBackOffMs = 500 * clock.Millisecond
	// unreachableFreeMs is added to the reported Load.FreeMs while the engine is
	// unreachable.
	unreachableFreeMs = 5 * clock.Second
	// checkInterval is the time between two checks whether queued requests can
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
	// Duty is the fraction of the time for prefill, up to 1; 0 takes the default.
	Duty float64
}

// Request is a request for a place in the engine's batch. Times are on the
// scheduler's clock.
type Request struct {
	ID      string
	Entry   string
	Account string
	// Priority is 0 for the most urgent requests and rises with less urgent ones.
	Priority int
	// LatencySensitive marks latency-sensitive requests, whose streams tolerate pauses
	// between events of at most ITLTargetMs (the ITL target).
	LatencySensitive bool
	ITLTargetMs      clock.Millis
	// NoAlternative is set if no other engine is left to try: the request is not
	// refused for stalling latency-sensitive streams.
	NoAlternative bool
	// UncachedTokens is the number of prompt tokens left to prefill (not cached).
	UncachedTokens int
	// Tokens is the memory that the request needs for itself, in tokens.
	Tokens int
	// TargetMs is the target time of the first event.
	TargetMs clock.Millis
	// DeadlineMs is the time by which the answer must be complete.
	DeadlineMs clock.Millis
	// AnswerMs is the expected duration of the answer from its first event.
	AnswerMs clock.Millis
}

// Action is the scheduler's decision on one request, to be sent to its entry.
type Action struct {
	Entry string
	ID    string
	// Granted requests may be sent to the engine; the others are refused.
	Granted bool
	// RetryAfterMs is the time after which a refused request may be retried.
	RetryAfterMs clock.Millis
}

// Load is the engine's load as reported to entries. Its JSON names are short,
// since it is sent often.
type Load struct {
	// FreeMs is the time until a prompt that arrived now would be granted.
	FreeMs clock.Millis `json:"f,omitempty"`
	// PrefillMs is the time that the engine still takes to prefill the granted
	// prompts.
	PrefillMs        clock.Millis `json:"r,omitempty"`
	Running          int          `json:"n,omitempty"`
	LatencySensitive int          `json:"t,omitempty"`
	Waiting          int          `json:"w,omitempty"`
	// PrefillRate is the prefill rate, in prompt tokens/ms, while the engine prefills,
	// and MeanPrefillRate the mean rate over time, with the duty cycle.
	PrefillRate     float64 `json:"s,omitempty"`
	MeanPrefillRate float64 `json:"v,omitempty"`
}

// run is a granted request that has not ended.
type run struct {
	Request
	grantedMs clock.Millis
	begun     bool
	// alone is set if no other prompt was waiting for prefill meanwhile, so that
	// the time to the first event shows the prefill rate.
	alone bool
}

// waiting is a queued request.
type waiting struct {
	Request
	seq      int
	queuedMs clock.Millis
}

// Scheduler queues and grants the requests for one engine.
type Scheduler struct {
	cfg Config
	// prefillRate is the moving average of the observed rates, in prompt
	// tokens/ms.
	prefillRate float64
	running     map[string]*run
	queue       []*waiting
	seq         int
	// nextGrantMs is when the duty cycle allows the next prompt.
	nextGrantMs      clock.Millis
	pendingTokens    int // tokens of granted prompts that are not prefilled yet
	memoryTokens     int
	sensitiveRunning int
	// itlTargetMs is the ITL target of the latency-sensitive streams. The present run
	// of prefills without a break began at runStartMs; the last one ended at runEndMs.
	itlTargetMs, runStartMs, runEndMs clock.Millis
	// lowestPriority is the least urgent priority (the highest number) seen so far.
	lowestPriority int
	// grantedTokens is the sum of the tokens granted to each account, decayed to
	// tokensDecayedMs.
	grantedTokens   map[string]float64
	tokensDecayedMs clock.Millis
	// unreachableUntilMs is until when the engine counts as unreachable;
	// unreachableReporter reported it at unreachableSinceMs.
	unreachableUntilMs, unreachableSinceMs clock.Millis
	unreachableReporter                    string
	// contradicted holds the entries whose report of an unreachable engine was
	// contradicted, and when.
	contradicted map[string]clock.Millis
	// lastCheckMs is when the queued requests were last checked.
	lastCheckMs clock.Millis
	actions     []Action
}

// New returns an idle Scheduler.
func New(cfg Config) *Scheduler {
	if cfg.Duty <= 0 {
		cfg.Duty = defaultDuty
	}
	return &Scheduler{cfg: cfg, prefillRate: defaultPrefillRate, running: map[string]*run{}, grantedTokens: map[string]float64{}, contradicted: map[string]clock.Millis{}}
}

// meanPrefillRate returns the prefill rate over time, with the duty cycle, in
// tokens/ms.
func (s *Scheduler) meanPrefillRate() float64 {
	if s.sensitiveRunning > 0 {
		return s.prefillRate * min(sensitiveDuty, s.cfg.Duty)
	}
	return s.prefillRate * s.cfg.Duty
}

// prefillMs returns the time to prefill the tokens.
func (s *Scheduler) prefillMs(tokens int) clock.Millis {
	return clock.Millis(float64(tokens) / s.prefillRate)
}

// Submit submits r: it is granted, queued or refused.
func (s *Scheduler) Submit(now clock.Millis, r Request) {
	s.seq++
	w := &waiting{r, s.seq, now}
	s.lowestPriority = max(s.lowestPriority, r.Priority)
	if !s.feasible(now, w) {
		s.refuse(now, w)
		return
	}
	s.queue = append(s.queue, w)
	s.dispatch(now)
}

// Adopt adds a request that runs already, as after a restart of the scheduler.
// begun is set if its first event has arrived.
func (s *Scheduler) Adopt(now clock.Millis, r Request, begun bool) {
	if _, ok := s.running[r.ID]; ok {
		return
	}
	s.grant(now, r)
	if begun {
		s.FirstEvent(now, r.ID)
	}
}

// Cancel removes a request that is queued, or was granted and not sent.
func (s *Scheduler) Cancel(now clock.Millis, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.ID == id })
	s.Done(now, id)
}

// FirstEvent records that the first event of a request has arrived, so that its prompt
// is prefilled.
func (s *Scheduler) FirstEvent(now clock.Millis, id string) {
	r, ok := s.running[id]
	if !ok || r.begun {
		return
	}
	r.begun = true
	s.removePending(now, r.UncachedTokens)
	s.confirmReachable(now, r.Entry)
	if took := now - r.grantedMs; r.alone && s.prefillMs(r.UncachedTokens) >= minObservedMs && took > 0 {
		seen := min(max(float64(r.UncachedTokens)/float64(took), minPrefillRate), maxPrefillRate)
		s.prefillRate += (seen - s.prefillRate) * prefillRateWeight
	}
	s.dispatch(now)
}

// Done records that a request has ended.
func (s *Scheduler) Done(now clock.Millis, id string) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if !r.begun {
		s.removePending(now, r.UncachedTokens)
	}
	s.memoryTokens -= r.Tokens
	if r.LatencySensitive {
		s.sensitiveRunning--
	}
	s.dispatch(now)
}

// removePending removes prefilled or cancelled tokens from the prefill backlog.
func (s *Scheduler) removePending(now clock.Millis, tokens int) {
	if s.pendingTokens -= tokens; s.pendingTokens <= 0 {
		s.runEndMs = now
	}
}

// ReportUnreachable records that an entry could not reach the engine. All queued requests
// are refused, so that they go elsewhere instead of failing one by one. If the
// entry's last such report was contradicted, only its own requests are refused.
func (s *Scheduler) ReportUnreachable(now clock.Millis, entry string) {
	at, doubted := s.contradicted[entry]
	doubted = doubted && now-at < distrustMs
	if !doubted {
		s.unreachableUntilMs, s.unreachableSinceMs, s.unreachableReporter = now+unreachableMs, now, entry
	}
	queue := s.queue
	s.queue = nil
	for _, w := range queue {
		if doubted && w.Entry != entry {
			s.queue = append(s.queue, w)
			continue
		}
		s.actions = append(s.actions, Action{Entry: w.Entry, ID: w.ID, RetryAfterMs: minRetryAfter})
	}
}

// BackOff records that the engine rejected a request and asked for a back-off of
// pause: it has less room than estimated, for all entries.
func (s *Scheduler) BackOff(now, pause clock.Millis) {
	s.nextGrantMs = max(s.nextGrantMs, now+min(pause, maxBackOffMs))
}

// confirmReachable records that a request of entry has begun. If another entry had reported
// the engine as unreachable, that report is contradicted: the engine serves.
func (s *Scheduler) confirmReachable(now clock.Millis, entry string) {
	if now < s.unreachableUntilMs && entry != s.unreachableReporter && now-s.unreachableSinceMs > unreachableGrace {
		s.unreachableUntilMs = now
		s.contradicted[s.unreachableReporter] = now
	}
}

// DropEntry removes all requests of an entry that is gone, and returns their IDs.
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

// Tick refuses queued requests that can no longer meet their deadline, while
// another engine or a retry may still serve them, and grants what may start.
func (s *Scheduler) Tick(now clock.Millis) {
	if now-s.lastCheckMs >= checkInterval {
		s.lastCheckMs = now
		for _, w := range slices.Clone(s.queue) {
			if !s.feasible(now, w) || s.misplaced(now, w) {
				s.queue = slices.DeleteFunc(s.queue, func(o *waiting) bool { return o == w })
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

// After returns the load as expected after d if no requests are added.
func (l Load) After(d clock.Millis) Load {
	l.FreeMs, l.PrefillMs = max(l.FreeMs-d, 0), max(l.PrefillMs-d, 0)
	return l
}

// nearDivisor is the inverse of the relative difference up to which two loads
// count as equal: the longer a queue, the less one more request changes a choice.
const nearDivisor = 4

// Near reports whether two loads are so close that an entry would choose the same
// engine by either.
func (l Load) Near(o Load) bool {
	const ms, requests = 30, 1
	return near(l.FreeMs, o.FreeMs, ms) && near(l.PrefillMs, o.PrefillMs, ms) && near(l.Running, o.Running, requests) &&
		l.LatencySensitive == o.LatencySensitive && near(l.Waiting, o.Waiting, 0)
}

// near reports whether a and b differ by at most least, or by 1/nearDivisor of
// the larger one.
func near[T ~int | ~int64](a, b, least T) bool {
	return max(a-b, b-a) <= max(least, max(a, b)/nearDivisor)
}

// Actions returns the decisions since the last call, to be sent to the entries.
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
	down := clock.Millis(0)
	if now < s.unreachableUntilMs {
		down = unreachableFreeMs
	}
	return Load{
		FreeMs:    down + max(s.nextGrantMs-now, 0) + clock.Millis(float64(ahead)/s.meanPrefillRate()),
		PrefillMs: s.prefillMs(max(s.pendingTokens, 0)),
		Running:   len(s.running), LatencySensitive: s.sensitiveRunning, Waiting: len(s.queue),
		PrefillRate: math.Round(s.prefillRate*10) / 10, MeanPrefillRate: math.Round(s.meanPrefillRate()*10) / 10,
	}
}

// feasible reports whether w would meet its deadline behind the queued requests
// that precede it.
func (s *Scheduler) feasible(now clock.Millis, w *waiting) bool {
	ahead := 0
	for _, o := range s.queue {
		if s.precedes(now, o, w) {
			ahead += o.UncachedTokens
		}
	}
	wait := clock.Millis(float64(ahead) / s.meanPrefillRate())
	if !s.bypassesQueue(w) {
		wait += max(s.nextGrantMs-now, 0)
	}
	return now+wait+s.prefillMs(w.UncachedTokens)+w.AnswerMs <= w.DeadlineMs
}

// refuse refuses w; the retry-after time is half of the time until the next
// grant.
func (s *Scheduler) refuse(now clock.Millis, w *waiting) {
	after := min(max(s.Load(now).FreeMs/2, minRetryAfter), maxRetryAfter)
	s.actions = append(s.actions, Action{Entry: w.Entry, ID: w.ID, RetryAfterMs: after})
}

// BypassesQueue reports whether a prompt with so many tokens left to prefill bypasses
// the queue of an engine that prefills speed tokens/ms. urgent is set if its
// priority is above the lowest one.
func BypassesQueue(unread int, urgent bool, speed float64) bool {
	ms := clock.Millis(float64(unread) / speed)
	return ms <= smallPrefillMs || urgent && ms <= urgentPrefillMs
}

// bypassesQueue reports whether w bypasses the queue for prefill.
func (s *Scheduler) bypassesQueue(w *waiting) bool {
	return w.LatencySensitive || BypassesQueue(w.UncachedTokens, w.Priority < s.lowestPriority, s.prefillRate)
}

// precedes orders the queue: it reports whether a precedes b.
func (s *Scheduler) precedes(now clock.Millis, a, b *waiting) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if la, lb := s.missesTarget(now, a), s.missesTarget(now, b); la != lb {
		return !la
	}
	if oa, ob := s.exceedsShare(a.Account), s.exceedsShare(b.Account); oa != ob {
		return !oa
	}
	if c := cmp.Compare(a.TargetMs, b.TargetMs); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// missesTarget reports whether w would miss its target even if it were prefilled now.
func (s *Scheduler) missesTarget(now clock.Millis, w *waiting) bool {
	return now+s.prefillMs(w.UncachedTokens) > w.TargetMs
}

// exceedsShare reports whether an account was granted more than overShareFactor times the
// mean.
func (s *Scheduler) exceedsShare(account string) bool {
	if len(s.grantedTokens) < 2 {
		return false
	}
	sum := 0.0
	for _, v := range s.grantedTokens {
		sum += v
	}
	return s.grantedTokens[account] > overShareFactor*sum/float64(len(s.grantedTokens))
}

// dispatch grants queued requests in order while they fit.
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
		s.queue = slices.DeleteFunc(s.queue, func(o *waiting) bool { return o == best })
		s.grant(now, best.Request)
		s.actions = append(s.actions, Action{Entry: best.Entry, ID: best.ID, Granted: true})
	}
}

// misplaced reports whether w should be refused because another engine may have
// room for it, or may prefill it without stalling latency-sensitive streams.
func (s *Scheduler) misplaced(now clock.Millis, w *waiting) bool {
	waited := now - w.queuedMs
	return s.bypassesQueue(w) && waited > max(misplacedWaitMs, (w.DeadlineMs-w.queuedMs)/smallWaitDivisor) || s.stallsStreams(w) && waited > misplacedWaitMs
}

// maxPrefillRun returns how long prompts may be prefilled without a break beside
// latency-sensitive streams; ok is false while there are none.
func (s *Scheduler) maxPrefillRun() (ms clock.Millis, ok bool) {
	return clock.Millis(float64(s.itlTargetMs) * prefillRunFraction), s.sensitiveRunning > 0 && s.itlTargetMs > 0
}

// stallsStreams reports whether the prefill of w alone would make latency-sensitive
// streams miss their ITL target.
func (s *Scheduler) stallsStreams(w *waiting) bool {
	row, ok := s.maxPrefillRun()
	return ok && !w.LatencySensitive && !w.NoAlternative && s.sensitiveRunning > maxStalledStreams && s.prefillMs(w.UncachedTokens) > row
}

// keepsITLTarget reports whether latency-sensitive streams meet their ITL target if w
// is prefilled now.
func (s *Scheduler) keepsITLTarget(now clock.Millis, w *waiting) bool {
	row, ok := s.maxPrefillRun()
	switch {
	case !ok || w.LatencySensitive:
		return true
	case s.stallsStreams(w):
		return false
	case s.pendingTokens > 0 || now-s.runEndMs < decodeStepMs:
		return now-s.runStartMs+s.prefillMs(s.pendingTokens+w.UncachedTokens) <= row
	}
	return true
}

// fits reports whether the engine can take w now.
func (s *Scheduler) fits(now clock.Millis, w *waiting) bool {
	if now < s.unreachableUntilMs {
		return false
	}
	slots, part := s.cfg.Slots, smallMemoryFraction
	if !s.bypassesQueue(w) {
		slots -= min(reservedSlots, slots/4)
		part = memoryFraction
	}
	if slots > 0 && len(s.running) >= slots {
		return false
	}
	if mem := int(float64(s.cfg.MemoryTokens) * part); mem > 0 && len(s.running) > 0 && s.memoryTokens+w.Tokens > mem {
		return false
	}
	if !s.keepsITLTarget(now, w) {
		return false
	}
	if s.bypassesQueue(w) || len(s.running) == 0 {
		return true
	}
	most := prefillBacklogMs
	if s.sensitiveRunning > 0 {
		most = sensitiveBacklogMs
	}
	if s.pendingTokens > 0 && s.prefillMs(s.pendingTokens+w.UncachedTokens) > most {
		return false
	}
	return now >= s.nextGrantMs
}

// grant adds r to the running requests and charges its prefill time and tokens.
func (s *Scheduler) grant(now clock.Millis, r Request) {
	s.running[r.ID] = &run{Request: r, grantedMs: now, alone: s.pendingTokens <= 0}
	for _, o := range s.running {
		if o.ID != r.ID && !o.begun {
			o.alone = false
		}
	}
	if s.pendingTokens <= 0 && now-s.runEndMs >= decodeStepMs {
		s.runStartMs = now
	}
	s.pendingTokens += r.UncachedTokens
	s.memoryTokens += r.Tokens
	if r.LatencySensitive {
		s.sensitiveRunning++
		s.itlTargetMs = r.ITLTargetMs
	}
	s.nextGrantMs = max(s.nextGrantMs, now-maxSavedBudgetMs) + clock.Millis(float64(r.UncachedTokens)/s.meanPrefillRate())
	s.addGranted(now, r.Account, float64(r.UncachedTokens+r.Tokens))
}

// addGranted adds tokens to what the account was granted, after decaying the sums of
// all accounts.
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
