package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	// minAppendInterval and maxAppendInterval bound the time between two
	// appends of one Author.
	minAppendInterval = 10 * clock.Millisecond
	maxAppendInterval = 2 * clock.Second
	// maxClaims is the maximum number of claims in one record. The same limit
	// applies to outcomes.
	maxClaims = 4000
	// outageThreshold is the number of consecutive unsuccessful appends after
	// which the log counts as unavailable and new requests are refused at once.
	outageThreshold = 2
	// probeInterval is the time between appends during an outage, which test
	// whether the log is available again.
	probeInterval = 500 * clock.Millisecond
	// maintenanceInterval is the minimum time from one digest, or one empty record
	// that only advances the log time, to the next.
	maintenanceInterval = clock.Minute
	// defaultRetention is the retention period assumed if Config gives none. Most
	// logs keep records for longer, which only makes digests more frequent than
	// necessary.
	defaultRetention = clock.Hour
)

// Config holds the parameters of an Author.
type Config struct {
	// Incarnation identifies the process; a restarted process has a new one.
	Incarnation string
	// AppendsPerSecond is the maximum append rate of all authors of the log
	// together; 0 means no limit.
	AppendsPerSecond float64
	// MaxRunMs is the age in log time from which a claim without an outcome is
	// answered as Unknown instead of in progress.
	MaxRunMs clock.Millis
	// RetentionMs is how long the log keeps a record; 0 means one hour.
	RetentionMs clock.Millis
}

// attemptStage is how far an attempt has got.
type attemptStage int

const (
	queued    attemptStage = iota + 1 // its claim is not in a batch yet
	sent                              // its claim is in a batch that was or may still be recorded
	abandoned                         // refused, though its claim may still be recorded
	running                           // handed over to the backend server
)

// attempt is a submitted attempt that has no result yet.
type attempt struct {
	req    Request
	stage  attemptStage
	offset int64 // of the accepted claim, if stage is running
	// resultUnknown is set once the append of the claim ended with an unknown result.
	resultUnknown bool
}

// batch is the contents of a record whose append has no result yet.
type batch struct {
	claims   []*attempt
	outcomes []Outcome
}

// Author decides for one sidecar process and one claims stream when to append
// records and which attempts to hand over, refuse or answer. It is a pure
// state machine and not safe for concurrent use. The times passed to its
// methods are readings of one monotonic clock.
type Author struct {
	cfg           Config
	fold          *Fold
	authors       int                 // number of authors that share the append rate
	attempts      map[string]*attempt // by name
	queue         []*attempt          // attempts whose claims are not in a batch yet
	outcomes      []Outcome           // outcomes that are not in a batch yet
	snapshotParts []Record            // parts of the digest being written that are not appended yet
	batches       map[int64]batch     // by Append.Batch
	lastBatch     int64               // Batch number of the last Append
	// nextAppendMs is the earliest time of the next append.
	nextAppendMs clock.Millis
	// backoff is added to the append interval. AppendFailed doubles it, Appended
	// halves it.
	backoff clock.Millis
	// failures counts consecutive unsuccessful appends.
	failures int
	// nextMaintenanceMs is the earliest time at which Maintain appends again: an empty
	// record, which only advances the log time, or a digest (a snapshot of the live
	// claims, in parts).
	nextMaintenanceMs clock.Millis
	stopping          bool
}

// NewAuthor returns an Author. It takes ownership of fold.
func NewAuthor(cfg Config, fold *Fold) *Author {
	if cfg.RetentionMs == 0 {
		cfg.RetentionMs = defaultRetention
	}
	return &Author{
		cfg:      cfg,
		fold:     fold,
		authors:  1,
		attempts: map[string]*attempt{},
		batches:  map[int64]batch{},
	}
}

// SetAuthors sets the number of authors, this one included, that share
// Config.AppendsPerSecond.
func (a *Author) SetAuthors(n int) { a.authors = max(1, n) }

// Stop makes the Author refuse new requests.
func (a *Author) Stop() { a.stopping = true }

// Idle reports whether no attempt is queued, sent or running and every outcome is recorded.
// Abandoned attempts are not counted.
func (a *Author) Idle() bool {
	for _, at := range a.attempts {
		if at.stage != abandoned {
			return false
		}
	}
	for _, b := range a.batches {
		if len(b.outcomes) > 0 {
			return false
		}
	}
	return len(a.outcomes) == 0
}

// Interval returns the minimum time between two appends: this author's share
// of the append rate, plus the back-off after failures.
func (a *Author) Interval() clock.Millis {
	share := minAppendInterval
	if a.cfg.AppendsPerSecond > 0 {
		share = clock.Millis(float64(a.authors) / a.cfg.AppendsPerSecond * float64(clock.Second))
	}
	return min(maxAppendInterval, max(minAppendInterval, share)+a.backoff)
}

// Submit requests to run an attempt. The attempt is queued for the next append,
// unless it is refused or answered at once.
func (a *Author) Submit(now clock.Millis, r Request) []Action {
	if old, ok := a.attempts[r.Attempt]; ok {
		return a.answerDuplicate(r, old)
	}
	if e, ok := a.fold.Lookup(r.Key); ok && a.fold.Complete() {
		return []Action{a.answer(r, e)}
	}
	if reason := a.refusal(now, r); reason != "" {
		return []Action{Refuse{r, reason}}
	}
	at := &attempt{req: r, stage: queued}
	a.attempts[r.Attempt] = at
	a.queue = append(a.queue, at)
	return a.flush(now)
}

// answerDuplicate refuses or answers a request whose attempt was submitted before.
func (a *Author) answerDuplicate(r Request, old *attempt) []Action {
	if old.stage == running && old.req.Key == r.Key {
		e, _ := a.fold.Lookup(r.Key)
		return []Action{a.answer(r, e)}
	}
	if old.stage == abandoned {
		return []Action{Refuse{r, ReasonAbandoned}}
	}
	return []Action{Answer{Request: r}}
}

// refusal returns why r must be refused at once; it is empty if r can be queued.
func (a *Author) refusal(now clock.Millis, r Request) RefuseReason {
	switch {
	case a.stopping:
		return ReasonStopping
	case now >= r.DeadlineMs:
		return ReasonDeadline
	case !a.fold.Complete():
		return ReasonClaimsUnknown
	case r.ExpiresMs <= a.fold.AtMs():
		return ReasonExpired
	case a.failures >= outageThreshold && now < a.nextAppendMs:
		return ReasonLog
	}
	return ""
}

// answer returns the Answer to r while holder has the key. If holder has no outcome
// MaxRunMs after its claim, in log time, the result is Unknown.
func (a *Author) answer(r Request, holder Entry) Answer {
	out := Answer{Request: r, Holder: holder, Result: holder.Result, Status: holder.Status}
	if holder.Result == "" && a.fold.AtMs() >= holder.AtMs+a.cfg.MaxRunMs {
		out.Result = Unknown
	}
	return out
}

// Finished reports the result of an attempt that was handed over. The result
// is NotRun only if no part of the request reached the backend server.
func (a *Author) Finished(now clock.Millis, name string, result Result, status int) []Action {
	at, ok := a.attempts[name]
	if !ok || at.stage != running {
		panic(&supervise.InvariantError{Invariant: "claim.finish", Detail: "attempt " + name + " was not handed over"})
	}
	delete(a.attempts, name)
	a.queueOutcome(at.req, at.offset, result, status)
	return a.flush(now)
}

// queueOutcome queues the outcome of the claim accepted at offset for the next batch.
func (a *Author) queueOutcome(r Request, offset int64, result Result, status int) {
	a.outcomes = append(a.outcomes, Outcome{
		Key:         r.Key,
		Attempt:     r.Attempt,
		ClaimOffset: offset,
		Result:      result,
		Status:      status,
	})
}

// ApplyRecord applies the next record read from the stream and carries out the
// decisions on this process's claims. atMs is the record's log time.
func (a *Author) ApplyRecord(now clock.Millis, offset int64, atMs clock.Millis, data []byte) []Action {
	wasComplete := a.fold.Complete() && offset <= a.fold.Next()
	var out []Action
	for _, d := range a.fold.Apply(offset, atMs, data) {
		if d.Incarnation == a.cfg.Incarnation {
			out = append(out, a.handleDecision(now, d)...)
		}
	}
	if !wasComplete && a.fold.Complete() {
		out = append(out, a.reconcile(now)...)
	}
	return append(out, a.flush(now)...)
}

// SetOldest reports that first is the offset of the oldest retained record.
func (a *Author) SetOldest(first int64) { a.fold.SetOldest(first) }

// handleDecision hands over, refuses or answers the attempt of a claim that this
// process wrote, according to the decision on the claim.
func (a *Author) handleDecision(now clock.Millis, d Decision) []Action {
	at := a.attempts[d.Attempt]
	if d.Verdict == Won {
		return a.handleWon(now, at, d)
	}
	if at == nil || at.stage == running {
		return nil
	}
	delete(a.attempts, d.Attempt)
	if at.stage == abandoned {
		return nil
	}
	if d.Verdict == BadExpiry {
		return []Action{Refuse{at.req, ReasonExpired}}
	}
	return []Action{a.answer(at.req, d.Holder)}
}

// handleWon hands over the attempt of an accepted claim. An attempt that was
// abandoned, or whose deadline has passed, gets the outcome NotRun instead, which
// frees the key. at is nil if the attempt is not known any more.
func (a *Author) handleWon(now clock.Millis, at *attempt, d Decision) []Action {
	if at == nil || at.stage == abandoned {
		delete(a.attempts, d.Attempt)
		a.queueOutcome(Request{Key: d.Key, Attempt: d.Attempt}, d.Offset, NotRun, 0)
		return nil
	}
	if now >= at.req.DeadlineMs {
		delete(a.attempts, d.Attempt)
		a.queueOutcome(at.req, d.Offset, NotRun, 0)
		return []Action{Refuse{at.req, ReasonDeadline}}
	}
	if e, ok := a.fold.Lookup(d.Key); !ok || e.Offset != d.Offset {
		// The idempotency window has ended, or the claim was decided late, after
		// missed records, and no longer holds the key.
		delete(a.attempts, d.Attempt)
		return []Action{Refuse{at.req, ReasonExpired}}
	}
	if at.stage == running {
		panic(&supervise.InvariantError{
			Invariant: "claim.handOver",
			Detail:    fmt.Sprintf("claim of attempt %s accepted at offset %d and again at offset %d", d.Attempt, at.offset, d.Offset),
		})
	}
	at.stage, at.offset = running, d.Offset
	return []Action{HandOver{at.req, d.Offset}}
}

// reconcile hands over attempts whose claims were in records that this reader
// missed, and which the restored digest lists as accepted.
func (a *Author) reconcile(now clock.Millis) []Action {
	var out []Action
	for _, at := range a.notHandedOver() {
		e, ok := a.fold.Lookup(at.req.Key)
		own := ok && e.Attempt == at.req.Attempt && e.Incarnation == a.cfg.Incarnation
		if !own || e.Result != "" {
			continue
		}
		out = append(out, a.handleWon(now, at, Decision{Offset: e.Offset, Key: e.Key, Attempt: e.Attempt, Verdict: Won})...)
	}
	return out
}

// Tick refuses attempts whose deadline has passed, and appends the next batch if
// it is due.
func (a *Author) Tick(now clock.Millis) []Action {
	var out []Action
	for _, at := range a.notHandedOver() {
		out = append(out, a.expire(now, at)...)
	}
	return append(out, a.flush(now)...)
}

// notHandedOver returns the attempts that were not handed over, ordered by name.
func (a *Author) notHandedOver() []*attempt {
	out := make([]*attempt, 0, len(a.queue))
	for _, at := range a.attempts {
		if at.stage != running {
			out = append(out, at)
		}
	}
	slices.SortFunc(out, func(x, y *attempt) int { return strings.Compare(x.req.Attempt, y.req.Attempt) })
	return out
}

// expire refuses an attempt whose deadline has passed. It forgets an abandoned one
// once its claim can no longer be accepted, that is, after its idempotency window.
func (a *Author) expire(now clock.Millis, at *attempt) []Action {
	if at.stage == abandoned && at.req.ExpiresMs <= a.fold.AtMs() {
		delete(a.attempts, at.req.Attempt)
		return nil
	}
	if at.stage == abandoned || now < at.req.DeadlineMs {
		return nil
	}
	if at.stage == queued {
		delete(a.attempts, at.req.Attempt)
	}
	at.stage = abandoned
	return []Action{Refuse{at.req, ReasonDeadline}}
}

// NextTick returns the time at which Tick must be called next; false if it need
// not be called.
func (a *Author) NextTick() (clock.Millis, bool) {
	var at clock.Millis
	found := false
	add := func(t clock.Millis) {
		if !found || t < at {
			at, found = t, true
		}
	}
	for _, at := range a.attempts {
		if at.stage == queued || at.stage == sent {
			add(at.req.DeadlineMs)
		}
	}
	if len(a.queue)+len(a.outcomes)+len(a.snapshotParts) > 0 {
		add(a.nextAppendMs)
	}
	return at, found
}

func encode(r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(&supervise.InvariantError{Invariant: "claim.encode", Detail: err.Error()})
	}
	return data
}
