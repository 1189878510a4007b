package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// maxRounds bounds the sets of candidates that one job asks.
	maxRounds         = 4
	defaultRetryAfter = clock.Second
	maxRefusalBytes   = 64 << 10
)

// dispatcher brings jobs to sidecars: at once where a slot is known to be
// free, else by reservations of which the first offered slot is taken.
type dispatcher struct {
	e      *Entry
	http   *http.Client
	single *http.Client // one connection per request
}

// run returns the answer of a backend server to the job's next attempt.
// Errors are of type *exchange.Failure and final.
func (d *dispatcher) run(ctx context.Context, j *job) (*answer, *exchange.Failure) {
	var last *exchange.Failure
	for round := 0; round < maxRounds && j.failures < maxAttempts; round++ {
		if d.e.store.Current().KeyWithdrawn(j.keyID) {
			return nil, withdrawn(j)
		}
		c := d.e.router.choose(j)
		if p := c.direct; p != nil {
			ans, err := d.attempt(ctx, j, p, j.nextAttempt())
			if ans != nil || final(err) {
				return ans, err.unwrap()
			}
			last = err.unwrap()
			if err.preempted {
				round--
				continue
			}
			if !err.full {
				j.tried[p] = true
				continue
			}
		}
		if len(c.candidates) == 0 {
			break
		}
		ans, err := d.reserve(ctx, j, c.candidates)
		if ans != nil || final(err) {
			return ans, err.unwrap()
		}
		if err.preempted {
			round--
		}
		last = err.unwrap()
	}
	if d.e.store.Current().KeyWithdrawn(j.keyID) {
		return nil, withdrawn(j)
	}
	if last == nil {
		last = unavailable("no backend server of the pool can be reached")
	}
	return nil, last
}

// attemptError is a failed attempt and what it allows.
type attemptError struct {
	err *exchange.Failure
	// full: the sidecar has no slot, but may be asked for one.
	full bool
	// again: another sidecar may be tried.
	again bool
	// preempted: the attempt was stopped for a higher tier before its answer.
	preempted bool
}

func final(e *attemptError) bool { return e != nil && !e.full && !e.again }

func (e *attemptError) unwrap() *exchange.Failure {
	if e == nil {
		return nil
	}
	return e.err
}

// attempt hands the job to p under the attempt id.
func (d *dispatcher) attempt(ctx context.Context, j *job, p *peer, id string) (*answer, *attemptError) {
	req, err := d.request(ctx, j, p, id)
	if err != nil {
		return nil, &attemptError{err: internalError(err)}
	}
	p.assigned(j)
	res, err := d.send(req, j, p)
	if err != nil {
		p.released()
		return nil, d.transportError(ctx, j, p, err)
	}
	if res.Header.Get(dispatch.HeaderResult) != dispatch.ResultAnswer {
		defer res.Body.Close()
		p.released()
		return nil, d.refused(j, p, res)
	}
	if got := res.Header.Get(dispatch.HeaderAttempt); got != id {
		_ = res.Body.Close()
		p.released()
		p.suspect()
		return nil, &attemptError{err: lost(j, "the answer belongs to another attempt"), again: !j.request.Protected}
	}
	return &answer{peer: p, res: res}, nil
}

// errSilent is the cause with which an attempt without signs of life ends.
var errSilent = errors.New("the sidecar gave no sign of life")

// send sends the request; it fails when the sidecar shows no sign of life for
// the progress timeout. A protected request uses a connection of its own, so
// that a failed dial proves that nothing was sent.
func (d *dispatcher) send(req *http.Request, j *job, p *peer) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	after := p.silenceTimeout().Duration()
	silent := time.AfterFunc(after, func() { cancel(errSilent) })
	defer silent.Stop()
	trace := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
		silent.Reset(after)
		return nil
	}}
	c := d.http
	if j.request.Protected {
		c = d.single
	}
	res, err := c.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel(nil)
		return nil, err
	}
	res.Body = &cancelBody{res.Body, cancel}
	return res, nil
}

// cancelBody ends the request's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func (d *dispatcher) request(ctx context.Context, j *job, p *peer, id string) (*http.Request, error) {
	p.mu.Lock()
	url := p.hello.DataURL
	p.mu.Unlock()
	resv, err := json.Marshal(j.reservation(id, d.e.incarnation, d.e.clock.Now()))
	if err != nil {
		return nil, err
	}
	j.request.ResumeTokens = j.delivered
	meta, err := json.Marshal(j.request)
	if err != nil {
		return nil, err
	}
	// The plain reader keeps the HTTP client from sending the body twice.
	body := struct{ io.Reader }{bytes.NewReader(j.body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/run/"+id, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(j.body))
	if len(j.body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(dispatch.HeaderReservation, string(resv))
	req.Header.Set(dispatch.HeaderRequest, string(meta))
	return req, nil
}

// transportError judges an attempt that got no answer.
func (d *dispatcher) transportError(ctx context.Context, j *job, p *peer, err error) *attemptError {
	if ctx.Err() != nil {
		return &attemptError{err: stopped(ctx, j)}
	}
	d.e.log.WithFields(logrus.Fields{"event": "attemptFailed", "request": j.id, "peer": p.instance.Name}).Warn(err)
	j.failures++
	p.suspect()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &attemptError{err: unavailable("the backend server could not be reached"), again: true}
	}
	return &attemptError{err: lost(j, "the backend server gave no answer"), again: d.e.retries.allow(j, retry.OutcomeUnknown)}
}

// refused judges an attempt that the sidecar did not carry out.
func (d *dispatcher) refused(j *job, p *peer, res *http.Response) *attemptError {
	var r dispatch.Refusal
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		return &attemptError{err: lost(j, "the backend server's answer was cut short"), again: d.e.retries.allow(j, retry.OutcomeUnknown)}
	}
	out := refusalError(j, r)
	switch r.Code {
	case dispatch.CodeFull, dispatch.CodeOfferLapsed:
		p.full()
		return &attemptError{err: out, full: true}
	case dispatch.CodePreempted:
		j.resumed = true
		return &attemptError{err: out, again: true, preempted: true}
	case dispatch.CodeLeaving:
		return &attemptError{err: out, again: true}
	case dispatch.CodeUnavailable:
		outcome := retry.OutcomeUnknown
		if r.NotRun {
			outcome = retry.OutcomeNotRun
		}
		return &attemptError{err: out, again: d.e.retries.allow(j, outcome)}
	}
	return &attemptError{err: out}
}

// peerGone tells the waiting requests that a sidecar's connection has ended.
func (d *dispatcher) peerGone(p *peer) {
	d.e.waitQueue.broadcast(signal{kind: signalPeerGone, peer: p})
}
