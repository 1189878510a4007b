package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/policy/whole"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// endingKeep is how long the result of a check whether a server has ended is used for the
	// other requests that broke off there.
	endingKeep = 500 * clock.Millisecond
	// endingTimeout bounds a check after a request broke off.
	endingTimeout = 300 * clock.Millisecond
	// endingSettle is how long a server has to take connections after a request broke off there, and
	// unframedSettle after an answer without framing ended: nothing else tells whether that answer is
	// whole. The listener of a process that ends is closed among the last.
	endingSettle   = 20 * clock.Millisecond
	unframedSettle = 50 * clock.Millisecond
	// endingRecheck is when a server that accepted a connection after a request had broken off
	// there is checked once more: it may have been about to end.
	endingRecheck = 200 * clock.Millisecond
)

// ending is the check whether a server has ended, after a request broke off there.
type ending struct {
	checked chan struct{} // closed with the result
	ended   atomic.Bool
	atMs    clock.Millis
}

// inForce reports whether the result counts for a request that broke off now: the check is
// not done yet, or the server had ended.
func (e *ending) inForce() bool {
	select {
	case <-e.checked:
		return e.ended.Load()
	default:
		return true
	}
}

// endings holds the recent checks of servers. It is safe for concurrent use.
type endings struct {
	mu     sync.Mutex
	checks map[servers.Key]*ending
}

func newEndings() *endings { return &endings{checks: map[servers.Key]*ending{}} }

// check returns the check of a server; first is set if the caller is to make it.
func (e *endings) check(now clock.Millis, k servers.Key) (c *ending, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for old, c := range e.checks {
		if now-c.atMs > endingKeep {
			delete(e.checks, old)
		}
	}
	if c := e.checks[k]; c != nil && c.inForce() {
		return c, false
	}
	c = &ending{checked: make(chan struct{}), atMs: now}
	e.checks[k] = c
	return c, true
}

// ended reports whether a recent check has shown that a server ended.
func (e *endings) ended(now clock.Millis, k servers.Key) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.checks[k]
	return c != nil && now-c.atMs <= endingKeep && c.ended.Load()
}

// add records that a server has ended. It reports whether that is new.
func (e *endings) add(now clock.Millis, k servers.Key) bool {
	c, first := e.check(now, k)
	if first {
		c.ended.Store(true)
		close(c.checked)
	}
	return first
}

// serverEnded reports whether the server of s, at which a request broke off, has ended: it
// is listed with a later start, or refuses connections now. A server that drains is expected
// to. The check outlasts the time of the request, but its caller is not kept for it: then late is the
// check that goes on.
func (g *Gateway) serverEnded(ctx context.Context, j *job, s *send) (ended bool, late *ending) {
	k := s.engine.Key()
	if g.startedAnew(k) {
		return true, nil
	}
	if s.conns == nil || !j.pool.lists(s.engine) {
		return false, nil
	}
	c, first := g.endings.check(g.clock.Now(), k)
	if first {
		go g.makeCheck(c, s.conns)
	}
	select {
	case <-c.checked:
		return c.ended.Load(), nil
	case <-ctx.Done():
		return false, c
	}
}

// makeCheck makes the check c of the server of conns.
func (g *Gateway) makeCheck(c *ending, conns *direct.Pool) {
	c.ended.Store(look(context.Background(), conns, endingSettle, endingTimeout).Liveness() == direct.Ended)
	close(c.checked)
	if c.ended.Load() {
		g.metrics.serverEnded()
	}
}

// startedAnew reports whether a later start of a server is listed.
func (g *Gateway) startedAnew(k servers.Key) bool { return g.fleet.currentStart(k.ID) > k.Start }

// replaced reports whether a later start of the server of s is listed at the same address, so that
// what is seen there may be of that one. A server that is started anew elsewhere may still drain.
func (g *Gateway) replaced(s *send) bool {
	now, ok := g.fleet.current(s.engine.ID)
	return ok && now.Start > s.engine.Start && now.Addr == s.conns.Addr()
}

// look returns what is seen of a server from now on, within a time.
func look(ctx context.Context, conns *direct.Pool, settle, timeout clock.Millis) direct.Look {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return conns.Look(ctx, settle)
}

// cutUnframed reports whether an answer that has ended with its connection may be cut: unless its upload
// has arrived and its server is alive, that end proves nothing. Other answers show by themselves whether they
// are whole.
func (g *Gateway) cutUnframed(ctx context.Context, j *job, s *send) bool {
	if s.ans.Framed {
		return false
	}
	began := g.clock.Now()
	facts, evidence := g.factsAfter(ctx, j, s)
	verdict := facts.Verdict()
	g.metrics.unframedAnswer(facts)
	if verdict == whole.Whole {
		return false
	}
	j.log.WithFields(evidence).WithFields(logrus.Fields{
		"event": "answerUnproven", "server": s.engine.ID, "start": s.engine.Start, "liveness": facts.Server.String(), "upload": facts.Upload.String(), "verdict": verdict.String(),
		"tookMs": int64(g.clock.Now() - began), "leftMs": int64(j.timeoutMs - began), "listed": j.pool.lists(s.engine),
	}).Warn()
	return true
}

// factsAfter returns what is known after the end of the answer of s, which has no framing, and what that rests
// on, for the log. The upload is waited for first: if it failed, the server need not be asked.
func (g *Gateway) factsAfter(ctx context.Context, j *job, s *send) (whole.Facts, logrus.Fields) {
	proof, cancel := g.proofContext(ctx, j, s)
	defer cancel()
	facts := whole.Facts{Upload: s.ans.AwaitUpload(proof)}
	if facts.Upload != whole.Sent {
		return facts, logrus.Fields{"evidence": "upload"}
	}
	l, evidence := g.livenessAfter(proof, s)
	facts.Server = serverFact(l)
	return facts, evidence
}

// serverFact returns l as a fact about an answer.
func serverFact(l direct.Liveness) whole.Server {
	switch l {
	case direct.Alive:
		return whole.Alive
	case direct.Ended:
		return whole.Ended
	default:
		return whole.Unknown
	}
}

// livenessAfter returns what is known of the server of s after its answer has ended, and what that
// rests on, for the log. Only a check that begins after that end can show that it is alive. It ends with ctx.
func (g *Gateway) livenessAfter(ctx context.Context, s *send) (direct.Liveness, logrus.Fields) {
	now, k := g.clock.Now(), s.engine.Key()
	switch {
	case s.conns == nil:
		return direct.Unknown, logrus.Fields{"evidence": "none"}
	case g.replaced(s):
		return direct.Ended, logrus.Fields{"evidence": "laterStart"}
	case g.endings.ended(now, k):
		return direct.Ended, logrus.Fields{"evidence": "earlierCheck"}
	}
	seen := s.conns.Look(ctx, unframedSettle)
	l := seen.Liveness()
	if l == direct.Ended && g.endings.add(now, k) {
		g.metrics.serverEnded()
	}
	switch {
	case l == direct.Alive && g.replaced(s):
		return direct.Ended, logrus.Fields{"evidence": "laterStart"}
	case l == direct.Alive && g.endings.ended(g.clock.Now(), k):
		return direct.Ended, logrus.Fields{"evidence": "earlierCheck"}
	}
	return l, seen.Fields()
}

// proofContext returns the context of the proof that the answer of s, which has ended, is whole. The proof
// goes on for a while when the time of the request or of the process is up, but not when the caller leaves.
func (g *Gateway) proofContext(ctx context.Context, j *job, s *send) (context.Context, context.CancelFunc) {
	limit := retry.ProofTime(j.timeoutMs-g.clock.Now(), g.anotherMayAnswer(j, s))
	proof, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit.Duration())
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), exchange.ErrCallerLeft) {
			cancel()
			return
		}
		time.AfterFunc(retry.ProofGrace.Duration(), cancel)
	})
	return proof, func() { stop(); cancel() }
}

// promptParts returns the ids of the prompt parts that other requests may share, as they
// stand in evidence: all but the last one.
func promptParts(all []place.Block) []string {
	out := make([]string, 0, len(all))
	for _, b := range all[:max(len(all)-1, 0)] {
		out = append(out, b.ID)
	}
	return quarantine.Normalize(out)
}

// clearParts records that the server of s has answered j far enough to clear the parts of its
// prompt.
func (g *Gateway) clearParts(j *job, s *send) {
	if parts := j.inquiry.subjects[:len(j.inquiry.subjects)-1]; !s.partsCleared && len(parts) > 0 {
		g.suspects.answered(j, parts)
	}
	s.partsCleared = true
}

// clearRequest records that the server of s has answered j far enough to clear it, and ends its
// trial.
func (g *Gateway) clearRequest(j *job, s *send) {
	if s.cleared {
		return
	}
	s.cleared = true
	g.suspects.answered(j, j.inquiry.subjects[len(j.inquiry.subjects)-1:])
	g.suspects.release(j)
}

// beganAnswer reports whether the server of s had just begun to answer: what ends servers does
// so then.
func (s *send) beganAnswer() bool { return s.ans != nil && !s.partsCleared }

// examineBreak finds out whether the server of s ended before it had answered j, and records
// it as evidence against j and the shared parts of its prompt. ctx has ended if the request has.
func (g *Gateway) examineBreak(ctx context.Context, j *job, s *send) {
	if s.cleared || s.notSent || s.reply.NotRun || s.outcome == retry.OutcomeFailed {
		return
	}
	var late *ending
	if s.broke {
		var ended bool
		if ended, late = g.serverEnded(ctx, j, s); ended {
			j.log.WithFields(logrus.Fields{
				"event": "serverEnded", "server": s.engine.ID, "start": s.engine.Start, "begun": s.begun, "subjects": j.inquiry.subjects, "trial": j.inquiry.trial, "send": j.sends,
			}).Warn()
			g.suspects.ended(j, s)
			g.suspects.release(j)
			return
		}
	}
	g.suspects.brokeOff(j, s)
	if late != nil {
		go g.takeUpEnding(late, s.engine.Key())
	}
}

// takeUpEnding records the result of a check for the requests that have broken off at its server.
func (g *Gateway) takeUpEnding(c *ending, k servers.Key) {
	<-c.checked
	if c.ended.Load() {
		g.provedEnded(k)
	}
}

// provedEnded records that a server at which requests broke off has ended.
func (g *Gateway) provedEnded(k servers.Key) {
	g.suspects.provedEnded(func(now clock.Millis, b *quarantine.Breaks) quarantine.Evidence { return b.Ended(now, k) })
}

// recheckEnding looks again whether the server of s has ended.
func (g *Gateway) recheckEnding(p *pool, s *send) {
	if p.lists(s.engine) && look(context.Background(), s.conns, endingSettle, endingTimeout).Liveness() == direct.Ended {
		g.provedEnded(s.engine.Key())
	}
}
