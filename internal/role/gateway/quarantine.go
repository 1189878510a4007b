package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// answeredEvents and answeredAfter are the number of events, and the time since the
	// first one, from which on the parts of a prompt count as answered: what ends servers does
	// so when they begin to answer. A request counts as answered after requestAnsweredAfter:
	// no other one clears it meanwhile.
	answeredEvents       = 2
	answeredAfter        = 250 * clock.Millisecond
	requestAnsweredAfter = clock.Second
	// trialTimeout is how long a request waits for the examiner's answer, and trialRetry
	// after how long it asks again.
	trialTimeout = 250 * clock.Millisecond
	trialRetry   = 100 * clock.Millisecond
	// minHold and maxHold bound how long a suspected request waits, which is the latency
	// target divided by holdDivisor.
	minHold     = 300 * clock.Millisecond
	maxHold     = 1500 * clock.Millisecond
	holdDivisor = 2
	// endedHold is how long a request under which a server ended waits for others to clear
	// its subjects.
	endedHold = 500 * clock.Millisecond
	// unprovedHold is how long after a trial broke off no other one runs, unless its server is
	// known to have ended: about the time in which a server starts anew.
	unprovedHold = 3 * clock.Second
	// maxHeld is the number of requests that may wait at the same time.
	maxHeld = 512
	// suspectRetryAfter is the shortest Retry-After of a suspected request, and the span in
	// which these callers return.
	suspectRetryAfter = 500 * clock.Millisecond
	// trialRenewal is the interval at which a gateway tells the examiner that its trial still
	// runs.
	trialRenewal = 2 * clock.Second
	// clearedSpread is the span in which gateways tell that a subject is cleared: one that
	// hears it meanwhile does not repeat it.
	clearedSpread = 120 * clock.Millisecond
)

// suspects keeps requests from servers that they, or a part of their prompts, would end. It is
// safe for concurrent use.
type suspects struct {
	g *Gateway

	mu       sync.Mutex
	ledger   *quarantine.Ledger
	examiner *quarantine.Examiner
	breaks   *quarantine.Breaks
	// changed is closed when the evidence changes or a trial of this gateway ends.
	changed chan struct{}
	// version counts the changes of the evidence, and loaded is set once that of the store or
	// of another gateway was read.
	version int
	loaded  bool
	// unsent are cleared subjects of which the other gateways are not told yet.
	unsent map[string]quarantine.Mark
	// holders are the requests that ask for, or have, the permission to run a trial, by the
	// first suspected subject.
	holders map[string]*job
	held    int
	// refused are the subjects that were refused at the last change, for the log.
	refused []string
}

func newSuspects(g *Gateway) *suspects {
	return &suspects{
		g: g, ledger: quarantine.NewLedger(), examiner: quarantine.NewExaminer(), breaks: quarantine.NewBreaks(), changed: make(chan struct{}),
		unsent: map[string]quarantine.Mark{}, holders: map[string]*job{},
	}
}

// inquiry is what is known of one request's part in the end of servers.
type inquiry struct {
	// subjects are the shared parts of the prompt and the request itself, as in evidence.
	subjects []string
	// trial is set while the request has the permission to run although it is suspected, and
	// retrial if it has it although it is refused; retried once that was recorded.
	trial, retrial, retried bool
	// barred is set if a server ended as it answered the request, or after another one had
	// ended under one of its subjects: it runs again only if these are cleared.
	barred bool
	// heldUntil is when the request stops waiting; 0 if it has not waited.
	heldUntil clock.Millis
	// renewal ends the renewal of the trial; nil if there was none.
	renewal context.CancelFunc
}

// wall returns the time of evidence.
func (s *suspects) wall() clock.Millis { return s.g.clock.Wall() }

// judge returns the verdict on j.
func (s *suspects) judge(j *job) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Judge(s.wall(), j.account, j.inquiry.subjects)
}

// maySend reports whether j may be sent now. It records a retrial, of which there are few, only
// here.
func (s *suspects) maySend(j *job) bool {
	v := s.judge(j)
	if v.State == quarantine.Clear {
		return true
	}
	q := &j.inquiry
	if !q.allows(v) {
		return false
	}
	if !q.retrial || q.retried {
		return true
	}
	s.mu.Lock()
	news := s.ledger.Retry(s.wall(), q.subjects)
	if !news.Empty() {
		s.changedLocked()
	}
	s.mu.Unlock()
	if news.Empty() {
		s.release(j)
		return false
	}
	q.retried = true
	s.tell(news)
	return true
}

// allows reports whether a request may run although the verdict on it is not Clear.
func (q inquiry) allows(v quarantine.Verdict) bool {
	return q.trial && (v.State == quarantine.Suspected || q.retrial)
}

// admit waits until j may be sent. The failure is final: the request or a part of its prompt
// is refused, or was suspected for too long.
func (s *suspects) admit(ctx context.Context, j *job) *exchange.Failure {
	began := s.g.clock.Now()
	for {
		s.mu.Lock()
		v := s.ledger.Judge(s.wall(), j.account, j.inquiry.subjects)
		changed := s.changed
		s.mu.Unlock()
		switch {
		case j.inquiry.allows(v):
			return nil
		case v.State == quarantine.Clear:
			s.release(j)
			s.logAdmitted(j, v, began, "cleared")
			return nil
		case v.State == quarantine.Refused || v.Retrial && j.mayHaveRun:
			s.release(j)
			s.logAdmitted(j, v, began, "refused")
			return &exchange.Failure{Status: http.StatusBadGateway, Code: quarantinedCode(v), NotRun: !j.mayHaveRun}
		}
		if !s.mayWait(j, v) {
			s.release(j)
			s.logAdmitted(j, v, began, "waited")
			return s.heldTooLong(j, v)
		}
		if !j.inquiry.barred && !v.Wait && s.obtainTrial(ctx, j, v) {
			s.logAdmitted(j, v, began, "trial")
			return nil
		}
		s.wait(ctx, j, changed)
	}
}

// quarantinedCode and suspectedCode return the codes of failures of requests that are refused
// and that were suspected for too long.
func quarantinedCode(v quarantine.Verdict) string { return kindOf(v) + "Quarantined" }

func suspectedCode(v quarantine.Verdict) string { return kindOf(v) + "Suspected" }

// kindOf returns what a verdict rests on: the request, or parts of its prompt.
func kindOf(v quarantine.Verdict) string {
	if v.ByRequest {
		return "request"
	}
	return "prompt"
}

// mayWait reports whether j may wait for its subjects to be cleared or for a trial.
func (s *suspects) mayWait(j *job, v quarantine.Verdict) bool {
	now, q := s.g.clock.Now(), &j.inquiry
	if q.heldUntil == 0 {
		hold := min(max(j.route.TargetMs/holdDivisor, minHold), maxHold)
		if j.mayHaveRun {
			q.barred = q.barred || v.Endings > 1
			hold = endedHold
		}
		q.heldUntil = min(now+hold, j.timeoutMs-minTimeLeft)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < q.heldUntil && s.held < maxHeld
}

// wait waits until the evidence changes, but for a short time only.
func (s *suspects) wait(ctx context.Context, j *job, changed <-chan struct{}) {
	s.mu.Lock()
	s.held++
	s.mu.Unlock()
	left := max(min(trialRetry, j.inquiry.heldUntil-s.g.clock.Now()), 1)
	wait, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	select {
	case <-changed:
	case <-wait.Done():
	}
	if ctx.Err() != nil {
		j.inquiry.heldUntil = s.g.clock.Now()
	}
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
}

// heldTooLong returns the failure of a request that remained suspected.
func (s *suspects) heldTooLong(j *job, v quarantine.Verdict) *exchange.Failure {
	reason := suspectedCode(v)
	if j.mayHaveRun {
		return s.g.abandon(j, reason)
	}
	return notRun(http.StatusServiceUnavailable, reason, suspectRetryAfter+clock.Millis(rand.Int64N(int64(suspectRetryAfter))))
}

// logAdmitted logs the decision on a request that was not clear at once.
func (s *suspects) logAdmitted(j *job, v quarantine.Verdict, began clock.Millis, outcome string) {
	if outcome == "cleared" && j.inquiry.heldUntil == 0 {
		return
	}
	s.g.metrics.inquiry(outcome, kindOf(v))
	j.log.WithFields(logrus.Fields{
		"event": "requestExamined", "outcome": outcome, "subjects": v.Subjects, "endings": v.Endings, "retrial": v.Retrial, "waitedMs": int64(s.g.clock.Now() - began),
	}).Info()
}

// obtainTrial asks the examiner for the permission to run j, and reports whether it was
// given. Of the requests of this gateway with a subject only one asks, until release.
func (s *suspects) obtainTrial(ctx context.Context, j *job, v quarantine.Verdict) bool {
	key := v.Subjects[0]
	s.mu.Lock()
	if h := s.holders[key]; h != nil && h != j {
		s.mu.Unlock()
		return false
	}
	s.holders[key] = j
	s.mu.Unlock()
	ask := enginequeue.TrialRequest{Request: j.ID, Subjects: v.Subjects, Retrial: v.Retrial, Marks: true}
	granted, answered := s.g.peers.askTrial(ctx, ask)
	if granted || !answered && !v.Retrial {
		// Without an examiner, this gateway alone runs one trial at a time.
		j.inquiry.trial, j.inquiry.retrial, j.inquiry.retried = true, v.Retrial, false
		ask.Retrial = false
		s.renewTrial(j, ask)
		return true
	}
	return false
}

// renewTrial tells the examiner at intervals that the trial of j still runs.
func (s *suspects) renewTrial(j *job, ask enginequeue.TrialRequest) {
	j.inquiry.stopRenewal()
	ctx, cancel := context.WithCancel(context.Background())
	j.inquiry.renewal = cancel
	go func() {
		for s.g.clock.Sleep(ctx, trialRenewal) == nil {
			s.g.peers.notifyExaminer(enginequeue.MethodTrial, ask)
		}
	}()
}

// stopRenewal ends the renewal of a trial.
func (q *inquiry) stopRenewal() {
	if q.renewal != nil {
		q.renewal()
	}
}

// release ends the trial of j, or its wait for one.
func (s *suspects) release(j *job) {
	j.inquiry.stopRenewal()
	s.mu.Lock()
	had := false
	for key, h := range s.holders {
		if h == j {
			delete(s.holders, key)
			had = true
		}
	}
	if had {
		s.notifyLocked()
	}
	s.mu.Unlock()
	if j.inquiry.trial {
		j.inquiry.trial, j.inquiry.retrial = false, false
		s.g.peers.endTrial(j.ID)
	}
}

// notifyLocked wakes the requests that wait; s.mu is held.
func (s *suspects) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changedLocked notes that the evidence has changed; s.mu is held.
func (s *suspects) changedLocked() {
	s.version++
	s.notifyLocked()
	var refused []string
	for _, q := range s.ledger.Quarantined() {
		refused = append(refused, q.Subjects...)
		for _, id := range q.Subjects {
			if !slices.Contains(s.refused, id) {
				s.logSubject(id).WithFields(logrus.Fields{"event": "subjectQuarantined", "with": q.Subjects, "endings": len(q.Endings), "accounts": q.Accounts}).Warn()
			}
		}
	}
	for _, id := range s.refused {
		if !slices.Contains(refused, id) {
			s.logSubject(id).WithField("event", "subjectCleared").Warn()
		}
	}
	s.refused = refused
}

// logSubject returns a logger for lines about a subject.
func (s *suspects) logSubject(id string) logrus.FieldLogger {
	kind := "part"
	if quarantine.IsRequest(id) {
		kind = "request"
	}
	return s.g.log.WithFields(logrus.Fields{"kind": kind, "subject": id})
}

// merge adds evidence and tells the other gateways what was new, if tell is set.
func (s *suspects) merge(e quarantine.Evidence, tell bool) {
	s.mu.Lock()
	news := s.ledger.Merge(s.wall(), e)
	for _, m := range e.Cleared {
		delete(s.unsent, m.Subject)
	}
	if !news.Empty() {
		s.changedLocked()
	}
	s.mu.Unlock()
	if tell && !news.Empty() {
		s.tell(news)
	}
}

// tell sends evidence to all other gateways.
func (s *suspects) tell(e quarantine.Evidence) {
	s.g.peers.broadcast(enginequeue.MethodEvidence, func(*peer) any { return e })
}

// ended records that a server ended before it had answered j.
func (s *suspects) ended(j *job, a *send) {
	q := &j.inquiry
	s.merge(quarantine.Evidence{Endings: []quarantine.Ending{{
		Server: a.engine.Key(), AtMs: s.wall(), Suspects: []quarantine.Suspect{j.suspect()},
	}}}, true)
	q.barred = q.barred || a.beganAnswer()
	q.heldUntil = 0
}

// suspect returns j as it stands in evidence.
func (j *job) suspect() quarantine.Suspect {
	return quarantine.Suspect{Request: j.ID, Account: j.account, Subjects: j.inquiry.subjects, Trial: j.inquiry.trial}
}

// brokeOff records that j broke off at a server of which it is not known whether it has ended.
// If j was a trial, no other one runs until that may be known, unless the caller ended it.
func (s *suspects) brokeOff(j *job, a *send) {
	s.mu.Lock()
	first := s.breaks.Add(s.wall(), a.engine.Key(), j.suspect())
	s.mu.Unlock()
	if first && a.broke {
		time.AfterFunc(endingRecheck.Duration(), func() { s.g.recheckEnding(j.pool, a) })
	}
	if j.inquiry.trial && j.r.Context().Err() == nil {
		j.inquiry.stopRenewal()
		j.inquiry.trial, j.inquiry.retrial = false, false
		j.inquiry.barred = j.inquiry.barred || a.beganAnswer()
		hold := unprovedHold
		if !a.broke {
			// The server has had part of the time to show that it started anew.
			hold = max(hold-(s.g.clock.Now()-a.sentMs), 0)
		}
		time.AfterFunc(hold.Duration(), func() { s.g.peers.endTrial(j.ID) })
	}
	s.release(j)
}

// provedEnded records the evidence that proof takes from the requests that broke off, now that
// their servers are known to have ended.
func (s *suspects) provedEnded(proof func(now clock.Millis, b *quarantine.Breaks) quarantine.Evidence) {
	s.mu.Lock()
	e := proof(s.wall(), s.breaks)
	s.mu.Unlock()
	for _, end := range e.Endings {
		for _, r := range end.Suspects {
			s.g.log.WithFields(logrus.Fields{
				"event": "serverEnded", "request": r.Request, "server": end.Server.ID, "start": end.Server.Start, "subjects": r.Subjects, "trial": r.Trial, "later": true,
			}).Warn()
		}
		s.g.metrics.serverEnded()
	}
	s.merge(e, true)
}

// answered records that j was answered far enough to clear subjects of it.
func (s *suspects) answered(j *job, subjects []string) {
	trial := j.inquiry.trial
	s.mu.Lock()
	news := s.ledger.Answered(s.wall(), subjects)
	if !news.Empty() {
		s.changedLocked()
		if !trial {
			s.tellLaterLocked(news)
		}
	}
	s.mu.Unlock()
	if trial && !news.Empty() {
		s.tell(news)
	}
}

// tellLaterLocked tells the other gateways of cleared subjects after a while, unless they tell
// the same first; s.mu is held.
func (s *suspects) tellLaterLocked(e quarantine.Evidence) {
	if len(s.unsent) == 0 {
		time.AfterFunc(clock.Millis(rand.Int64N(int64(clearedSpread))).Duration(), s.tellCleared)
	}
	for _, m := range e.Cleared {
		s.unsent[m.Subject] = m
	}
}

func (s *suspects) tellCleared() {
	var e quarantine.Evidence
	s.mu.Lock()
	for _, m := range s.unsent {
		e.Cleared = append(e.Cleared, m)
	}
	clear(s.unsent)
	s.mu.Unlock()
	if !e.Empty() {
		s.tell(e)
	}
}

// snapshot returns all evidence and its version.
func (s *suspects) snapshot() (quarantine.Evidence, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Evidence(), s.version
}

// counts returns the numbers of refused groups of parts, of refused requests and of endings in
// the evidence.
func (s *suspects) counts() (parts, requests, endings int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Len()
}

// setLoaded records that the evidence of the store or of another gateway is known.
func (s *suspects) setLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
}

func (s *suspects) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// receiveEvidence handles evidence that another gateway tells.
func (g *Gateway) receiveEvidence(from string, data json.RawMessage) error {
	var e quarantine.Evidence
	if err := json.Unmarshal(data, &e); err != nil {
		g.log.WithFields(logrus.Fields{"event": "evidenceInvalid", "from": from}).Warn(err)
		return nil
	}
	g.suspects.merge(e, false)
	return nil
}
