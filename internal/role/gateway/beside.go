package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// sendResult is how a server answered a send, or why it did not.
type sendResult struct {
	s   *send
	ans *direct.Answer
	err error
}

// sendsBeside are the sends of a safe request that run beside each other: a server that has not
// answered within the time limit of one attempt keeps the request while another one is tried, and
// the first answer counts. It belongs to the goroutine that serves the request, which takes the
// results of all sends.
type sendsBeside struct {
	results chan sendResult // nil before the first send
	// kept are the sends that have exceeded their time limit and have no result yet.
	kept []*send
}

// start sends r to the server of s without waiting for the answer.
func (b *sendsBeside) start(ctx context.Context, s *send, r direct.Request) {
	if b.results == nil {
		b.results = make(chan sendResult)
	}
	go func() {
		ans, err := s.conns.Do(ctx, r)
		b.results <- sendResult{s, ans, err}
	}()
}

// cancel ends the sends that are kept.
func (b *sendsBeside) cancel() {
	for _, s := range b.kept {
		s.cancel()
	}
}

// firstAnswer waits for an answer to s or to one of the sends that are kept, or for the failure of
// s; s is nil if only the others are waited for. If s has no answer within limit, it is kept, and
// returned with slow set; without a limit, 0, only the request's own time ends the wait.
func (g *Gateway) firstAnswer(ctx context.Context, j *job, s *send, limit clock.Millis) *send {
	var expired <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit.Duration())
		defer t.Stop()
		expired = t.C
	}
	for {
		select {
		case r := <-j.beside.results:
			j.beside.kept = slices.DeleteFunc(j.beside.kept, func(k *send) bool { return k == r.s })
			r.s.ans, r.s.err = r.ans, r.err
			g.settleSend(ctx, j, r.s)
			answered := r.s.ans != nil && !r.s.reply.NotRun
			if answered && s != nil && r.s != s {
				j.beside.kept = append(j.beside.kept, s)
				g.endKept(ctx, j)
			}
			if answered || r.s == s || s == nil && len(j.beside.kept) == 0 {
				return r.s
			}
		case <-expired:
			expired = nil
			unsent := false
			s.written.GiveUp(func() {
				unsent = true
				s.cancel()
			})
			if unsent {
				continue
			}
			g.keepSlow(j, s)
			return s
		}
	}
}

// keepSlow keeps s, whose server has not answered in time, and prefers other servers for a while.
func (g *Gateway) keepSlow(j *job, s *send) {
	now := g.clock.Now()
	s.slow = true
	s.outcome = retry.OutcomeUnknown
	j.sends++
	j.mayHaveRun = true
	j.beside.kept = append(j.beside.kept, s)
	j.pool.withTable(func(t *place.ServerTable) {
		t.Ended(now, s.choice, j.placeReq, place.OutcomeUnreachable, false, now-s.sentMs)
	})
	j.log.WithFields(logrus.Fields{"event": "sendSlow", "server": s.choice.ID, "tookMs": int64(now - s.sentMs)}).Warn()
}

// endKept ends the sends that are kept, and waits until they have ended.
func (g *Gateway) endKept(ctx context.Context, j *job) {
	j.beside.cancel()
	for range j.beside.kept {
		r := <-j.beside.results
		r.s.ans, r.s.err = r.ans, r.err
		r.s.cancel()
		if r.s.ans != nil || ctx.Err() == nil {
			g.endSend(j, r.s, place.OutcomeAbandoned, "answeredElsewhere")
			continue
		}
		g.endSend(j, r.s, place.OutcomeAbandoned, "ended")
	}
	j.beside.kept = nil
}
