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
	// minInterval is the least time between two appends of one Author.
	minInterval = 10 * clock.Millisecond
	maxInterval = 2 * clock.Second
	// maxClaims bounds the claims, and the outcomes, of one record.
	maxClaims = 4000
	// outageAfter is the number of appends in a row without a success after
	// which new requests are refused at once.
	outageAfter = 2
	// probeAfter is the time between appends that test whether an outage is over.
	probeAfter = 500 * clock.Millisecond
	// markAfter is the time between records that only mark the log's time.
	markAfter = clock.Minute
	// defaultRetention is short, so that digests come often enough for most logs.
	defaultRetention = clock.Hour
)

// Config holds the parameters of an Author.
type Config struct {
	// Incarnation is unique to the process.
	Incarnation string
	// AppendsPerSecond is the budget for all authors of the log together.
	AppendsPerSecond float64
	// MaxRunMs is the time after which a claim without an outcome is answered
	// as Unknown instead of in progress.
	MaxRunMs clock.Millis
	// RetentionMs is the log's retention; the default is an hour.
	RetentionMs clock.Millis
}

type stage int

const (
	queued    stage = iota + 1 // waits for a batch
	sent                       // in a batch that may be or become recorded
	abandoned                  // refused, while its claim may become recorded
	running                    // handed over
)

type attempt struct {
	req    Request
	stage  stage
	offset int64
	// doubtful is set while the append of the claim has an unknown result.
	doubtful bool
}

type batch struct {
	claims   []*attempt
	outcomes []Outcome
}

// Author decides for one sidecar process and one claims stream when to
// append, hand over, refuse and answer. It is a pure state machine with a
// single owner: the time of each input is that of one monotonic clock.
type Author struct {
	cfg      Config
	fold     *Fold
	peers    int
	attempts map[string]*attempt
	queue    []*attempt
	outcomes []Outcome
	digests  []Record
	batches  map[int64]batch
	lastID   int64
	// nextMs is the earliest time of the next append.
	nextMs   clock.Millis
	slowdown clock.Millis
	failures int
	markMs   clock.Millis
	stopping bool
}

// NewAuthor returns an Author that owns fold.
func NewAuthor(cfg Config, fold *Fold) *Author {
	if cfg.RetentionMs == 0 {
		cfg.RetentionMs = defaultRetention
	}
	return &Author{
		cfg:      cfg,
		fold:     fold,
		peers:    1,
		attempts: map[string]*attempt{},
		batches:  map[int64]batch{},
	}
}

// SetPeers sets the number of authors that share the budget.
func (a *Author) SetPeers(n int) { a.peers = max(1, n) }

// Stop refuses new requests from now on.
func (a *Author) Stop() { a.stopping = true }

// Idle reports whether no attempt and no outcome is open.
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

// Interval returns the time between two appends.
func (a *Author) Interval() clock.Millis {
	share := minInterval
	if a.cfg.AppendsPerSecond > 0 {
		share = clock.Millis(float64(a.peers) / a.cfg.AppendsPerSecond * float64(clock.Second))
	}
	return min(maxInterval, max(minInterval, share)+a.slowdown)
}

// Want asks to run an attempt.
func (a *Author) Want(now clock.Millis, r Request) []Action {
	if old, ok := a.attempts[r.Attempt]; ok {
		return a.repeated(r, old)
	}
	if e, ok := a.fold.Lookup(r.Key); ok && a.fold.Whole() {
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

// repeated answers a request whose attempt is known already.
func (a *Author) repeated(r Request, old *attempt) []Action {
	if old.stage == running && old.req.Key == r.Key {
		e, _ := a.fold.Lookup(r.Key)
		return []Action{a.answer(r, e)}
	}
	if old.stage == abandoned {
		return []Action{Refuse{r, ReasonKnown}}
	}
	return []Action{Answer{Request: r}}
}

func (a *Author) refusal(now clock.Millis, r Request) RefuseReason {
	switch {
	case a.stopping:
		return ReasonStopping
	case now >= r.DeadlineMs:
		return ReasonDeadline
	case !a.fold.Whole():
		return ReasonNotWhole
	case r.ExpiresMs <= a.fold.AtMs():
		return ReasonExpired
	case a.failures >= outageAfter && now < a.nextMs:
		return ReasonLog
	}
	return ""
}

func (a *Author) answer(r Request, holder Entry) Answer {
	out := Answer{Request: r, Holder: holder, Result: holder.Result, Status: holder.Status}
	if holder.Result == "" && a.fold.AtMs() >= holder.AtMs+a.cfg.MaxRunMs {
		out.Result = Unknown
	}
	return out
}

// Finished tells how an attempt that was handed over ended. NotRun is only
// for one of which the backend server saw nothing.
func (a *Author) Finished(now clock.Millis, name string, result Result, status int) []Action {
	at, ok := a.attempts[name]
	if !ok || at.stage != running {
		panic(&supervise.InvariantError{Invariant: "claim.finish", Detail: "attempt " + name + " was not handed over"})
	}
	delete(a.attempts, name)
	a.end(at.req, at.offset, result, status)
	return a.flush(now)
}

func (a *Author) end(r Request, offset int64, result Result, status int) {
	a.outcomes = append(a.outcomes, Outcome{
		Key:         r.Key,
		Attempt:     r.Attempt,
		ClaimOffset: offset,
		Result:      result,
		Status:      status,
	})
}

// Seen applies the next record of the stream.
func (a *Author) Seen(now clock.Millis, offset int64, atMs clock.Millis, data []byte) []Action {
	whole := a.fold.Whole() && offset <= a.fold.Next()
	var out []Action
	for _, d := range a.fold.Apply(offset, atMs, data) {
		if d.Incarnation == a.cfg.Incarnation {
			out = append(out, a.decided(now, d)...)
		}
	}
	if !whole && a.fold.Whole() {
		out = append(out, a.reconcile(now)...)
	}
	return append(out, a.flush(now)...)
}

// Begin tells that the stream retains records from first on only.
func (a *Author) Begin(first int64) { a.fold.Begin(first) }

// decided acts on the verdict on a claim of this process.
func (a *Author) decided(now clock.Millis, d Decision) []Action {
	at := a.attempts[d.Attempt]
	if d.Verdict == Won {
		return a.won(now, at, d)
	}
	if at == nil || at.stage == running {
		return nil
	}
	delete(a.attempts, d.Attempt)
	if at.stage == abandoned {
		return nil
	}
	if d.Verdict == Late {
		return []Action{Refuse{at.req, ReasonExpired}}
	}
	return []Action{a.answer(at.req, d.Holder)}
}

func (a *Author) won(now clock.Millis, at *attempt, d Decision) []Action {
	if at == nil || at.stage == abandoned {
		delete(a.attempts, d.Attempt)
		a.end(Request{Key: d.Key, Attempt: d.Attempt}, d.Offset, NotRun, 0)
		return nil
	}
	if now >= at.req.DeadlineMs {
		delete(a.attempts, d.Attempt)
		a.end(at.req, d.Offset, NotRun, 0)
		return []Action{Refuse{at.req, ReasonDeadline}}
	}
	if e, ok := a.fold.Lookup(d.Key); !ok || e.Offset != d.Offset {
		// The window ended, or the decision was made good after a gap.
		delete(a.attempts, d.Attempt)
		return []Action{Refuse{at.req, ReasonExpired}}
	}
	if at.stage == running {
		panic(&supervise.InvariantError{
			Invariant: "claim.handOver",
			Detail:    fmt.Sprintf("attempt %s accepted at %d and again at %d", d.Attempt, at.offset, d.Offset),
		})
	}
	at.stage, at.offset = running, d.Offset
	return []Action{HandOver{at.req, d.Offset}}
}

// reconcile settles attempts whose claims were recorded in a gap.
func (a *Author) reconcile(now clock.Millis) []Action {
	var out []Action
	for _, at := range a.sorted() {
		e, ok := a.fold.Lookup(at.req.Key)
		mine := ok && e.Attempt == at.req.Attempt && e.Incarnation == a.cfg.Incarnation
		if !mine || e.Result != "" {
			continue
		}
		out = append(out, a.won(now, at, Decision{Offset: e.Offset, Key: e.Key, Attempt: e.Attempt, Verdict: Won})...)
	}
	return out
}

// Tick acts on the passing of time.
func (a *Author) Tick(now clock.Millis) []Action {
	var out []Action
	for _, at := range a.sorted() {
		out = append(out, a.expire(now, at)...)
	}
	return append(out, a.flush(now)...)
}

// sorted returns the attempts that were not handed over, in a stable order.
func (a *Author) sorted() []*attempt {
	out := make([]*attempt, 0, len(a.queue))
	for _, at := range a.attempts {
		if at.stage != running {
			out = append(out, at)
		}
	}
	slices.SortFunc(out, func(x, y *attempt) int { return strings.Compare(x.req.Attempt, y.req.Attempt) })
	return out
}

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

// NextTick returns the time of the next Tick that is needed, if any.
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
	if len(a.queue)+len(a.outcomes)+len(a.digests) > 0 {
		add(a.nextMs)
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
