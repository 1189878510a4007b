package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
)

const (
	// wholeBytes is the size up to which an answer is read whole before it is
	// passed on, so that one that breaks off can be asked for again.
	wholeBytes = 64 << 10
	copyBytes  = 16 << 10
	// patienceFactor is how many targets a safe request waits for one server
	// while another one could still answer in time.
	patienceFactor = 2
)

// errCut reports an answer that ended before its end.
var errCut = errors.New("the answer was cut short")

// plain answers a request that is no stream.
func (g *Gateway) plain(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		s, no := g.try(ctx, j, "", g.patience(j))
		if no != nil {
			g.refuse(w, j, no)
			return
		}
		if s.ans == nil || s.reply.NotRun {
			if g.again(j, s, 0) {
				continue
			}
			g.lost(w, j, s)
			return
		}
		g.count(j)
		if g.pass(w, j, s) {
			return
		}
		if g.again(j, s, 0) {
			continue
		}
		g.lost(w, j, s)
		return
	}
}

// patience returns how long a safe request waits for the present server.
func (g *Gateway) patience(j *job) clock.Millis {
	if j.route.Kind != routing.KindSafe || j.sends+1 >= j.route.Attempts || j.route.TargetMs <= 0 {
		return 0
	}
	return min(patienceFactor*j.route.TargetMs, (j.timeoutMs-j.arrivedMs)/2)
}

// lost ends a request whose last send brought no answer to pass on.
func (g *Gateway) lost(w http.ResponseWriter, j *job, s *send) {
	if j.r.Context().Err() != nil {
		j.log.WithField("event", "callerLeft").Info()
	}
	reason := "serverFull"
	if !s.reply.NotRun {
		reason = "noAnswer"
	}
	if j.ran && !j.route.Repeatable() || s.outcome != retry.OutcomeNotRun {
		j.ran = true
		g.count(j)
	}
	g.refuse(w, j, g.giveUp(j, reason))
}

// pass hands the server's answer to the caller. It returns false when the
// answer is unfit and nothing of it was handed over; s has ended then, and also
// when it returns true.
func (g *Gateway) pass(w http.ResponseWriter, j *job, s *send) bool {
	ok := s.ans.Status/100 == 2
	if ok && (!s.reply.Stamped || s.reply.Encoded) {
		s.err = errors.New("a success that no server vouches for")
		s.outcome = retry.OutcomeUnknown
		g.end(j, s, place.OutcomeFailed, "unfit")
		return false
	}
	data, err := io.ReadAll(io.LimitReader(s.ans.Body, wholeBytes))
	if err != nil {
		s.err = errors.Wrap(errCut, err.Error())
		s.outcome = retry.OutcomeUnknown
		g.end(j, s, place.OutcomeFailed, "cut")
		return false
	}
	if s.ans.Status >= http.StatusInternalServerError && j.route.Repeatable() && j.sends < j.route.Attempts {
		s.outcome = retry.OutcomeFailed
		g.end(j, s, place.OutcomeFailed, "serverError")
		return false
	}
	g.head(w, s)
	if s.ans.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.ans.Length, 10))
	}
	w.WriteHeader(s.ans.Status)
	_, werr := w.Write(data)
	var more int64
	if err == nil && len(data) == wholeBytes {
		more, err = io.CopyBuffer(struct{ io.Writer }{w}, s.ans.Body, make([]byte, copyBytes))
	}
	o := place.OutcomeOK
	if s.ans.Status >= http.StatusInternalServerError {
		o = place.OutcomeFailed
	}
	g.end(j, s, o, "answered")
	g.answered(j, s, int64(len(data))+more, err == nil && werr == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// head copies the head of the server's answer.
func (g *Gateway) head(w http.ResponseWriter, s *send) {
	h := w.Header()
	for k, v := range direct.EndToEnd(s.ans.Header) {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		// Without a value the HTTP server does not guess one.
		h["Content-Type"] = nil
	}
}

// answered logs and counts a request that was answered by a server.
func (g *Gateway) answered(j *job, s *send, bytes int64, whole bool) {
	took := g.clock.Now() - j.arrivedMs
	j.log.WithFields(logrus.Fields{
		"event": "answered", "route": j.route.Name, "account": j.account, "server": s.choice.ID, "status": s.ans.Status,
		"bytes": bytes, "whole": whole, "sends": j.sends, "tookMs": int64(took),
	}).Info()
	g.metrics.answered(j, s.ans.Status, whole, took)
	g.mu.Lock()
	g.durations.Add(j.route.Name, took)
	g.mu.Unlock()
}
