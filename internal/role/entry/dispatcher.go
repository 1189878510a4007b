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
	// maxRounds bounds how often sidecars are chosen in one call of dispatcher.run;
	// rounds that end in a preemption do not count.
	maxRounds         = 4
	defaultRetryAfter = clock.Second
	maxRefusalBytes   = 64 << 10
)

// dispatcher sends jobs to sidecars: directly if a sidecar is believed to have a free
// slot, otherwise by reserving at several sidecars and taking the first slot offered.
type dispatcher struct {
	e         *Entry
	http      *http.Client
	singleUse *http.Client // opens a new connection for each request
}

// run tries sidecars until one answers the job, and returns the answer with its body
// unread. A failure is final: no further sidecar is worth trying.
func (d *dispatcher) run(ctx context.Context, j *job) (*answer, *exchange.Failure) {
	var last *exchange.Failure
	for round := 0; round < maxRounds && j.failures < maxAttempts; round++ {
		if d.e.store.Current().KeyWithdrawn(j.keyID) {
			return nil, keyWithdrawn(j)
		}
		c := d.e.router.choose(j)
		if p := c.startAt; p != nil {
			ans, err := d.attempt(ctx, j, p, j.nextAttempt())
			if ans != nil || isFinal(err) {
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
		if ans != nil || isFinal(err) {
			return ans, err.unwrap()
		}
		if err.preempted {
			round--
		}
		last = err.unwrap()
	}
	if d.e.store.Current().KeyWithdrawn(j.keyID) {
		return nil, keyWithdrawn(j)
	}
	if last == nil {
		last = unavailable("no backend server of the pool can be reached")
	}
	return nil, last
}

// attemptError is a failed attempt and how the job may go on after it. With neither
// full nor retryable set, the failure is final.
type attemptError struct {
	err *exchange.Failure
	// full: the sidecar has no free slot, but accepts reservations.
	full bool
	// retryable: the job may be sent to another sidecar.
	retryable bool
	// preempted: the attempt was preempted by a request of a higher tier before its
	// answer began.
	preempted bool
}

// isFinal reports whether e rules out further attempts.
func isFinal(e *attemptError) bool { return e != nil && !e.full && !e.retryable }

func (e *attemptError) unwrap() *exchange.Failure {
	if e == nil {
		return nil
	}
	return e.err
}

// attempt sends the job to p as the attempt with the given id and returns its
// answer, with its body unread.
func (d *dispatcher) attempt(ctx context.Context, j *job, p *peer, id string) (*answer, *attemptError) {
	req, err := d.newRequest(ctx, j, p, id)
	if err != nil {
		return nil, &attemptError{err: internalError(err)}
	}
	p.attemptStarted(j)
	res, err := d.sendRequest(req, j, p)
	if err != nil {
		p.attemptEnded()
		return nil, d.classifyTransportError(ctx, j, p, err)
	}
	if res.Header.Get(dispatch.HeaderResult) != dispatch.ResultAnswer {
		defer res.Body.Close()
		p.attemptEnded()
		return nil, d.classifyRefusal(j, p, res)
	}
	if got := res.Header.Get(dispatch.HeaderAttempt); got != id {
		_ = res.Body.Close()
		p.attemptEnded()
		p.reconnect()
		return nil, &attemptError{err: answerLost(j, "the sidecar returned the answer of another attempt"), retryable: !j.request.Protected}
	}
	return &answer{peer: p, res: res}, nil
}

// errSilenceTimeout is the cancellation cause of an attempt whose sidecar sent
// neither a response nor an informational response within the silence timeout.
var errSilenceTimeout = errors.New("the sidecar sent no response and no keep-alive in time")

// sendRequest sends the request and waits for the response header. It fails if the
// sidecar sends nothing, not even an informational response, for the silence
// timeout. A protected request uses a new connection, so that a failed dial proves
// that nothing was sent.
func (d *dispatcher) sendRequest(req *http.Request, j *job, p *peer) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	after := p.silenceTimeout().Duration()
	silent := time.AfterFunc(after, func() { cancel(errSilenceTimeout) })
	defer silent.Stop()
	trace := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
		silent.Reset(after)
		return nil
	}}
	c := d.http
	if j.request.Protected {
		c = d.singleUse
	}
	res, err := c.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel(nil)
		return nil, err
	}
	res.Body = &cancelBody{res.Body, cancel}
	return res, nil
}

// cancelBody is a response body that cancels the request's context when closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the context of the request.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// newRequest builds the HTTP request to p for the attempt with the given id.
func (d *dispatcher) newRequest(ctx context.Context, j *job, p *peer, id string) (*http.Request, error) {
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
	// As a plain io.Reader the body cannot be rewound, so the HTTP client cannot
	// retry the request on its own.
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

// classifyTransportError classifies an attempt that failed without a response. Its
// sidecar is reconnected, since the path to it may be broken.
func (d *dispatcher) classifyTransportError(ctx context.Context, j *job, p *peer, err error) *attemptError {
	if ctx.Err() != nil {
		return &attemptError{err: requestEnded(ctx, j)}
	}
	d.e.log.WithFields(logrus.Fields{"event": "attemptFailed", "request": j.id, "peer": p.instance.Name}).Warn(err)
	j.failures++
	p.reconnect()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &attemptError{err: unavailable("the backend server could not be reached"), retryable: true}
	}
	return &attemptError{err: answerLost(j, "the backend server did not answer"), retryable: d.e.retries.allow(j, retry.OutcomeUnknown)}
}

// classifyRefusal classifies an attempt that the sidecar refused, by the code of
// the refusal in the response body.
func (d *dispatcher) classifyRefusal(j *job, p *peer, res *http.Response) *attemptError {
	var r dispatch.Refusal
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		return &attemptError{err: answerLost(j, "the sidecar's refusal was incomplete or malformed"), retryable: d.e.retries.allow(j, retry.OutcomeUnknown)}
	}
	out := refusalFailure(j, r)
	switch r.Code {
	case dispatch.CodeFull, dispatch.CodeOfferLapsed:
		p.markFull()
		return &attemptError{err: out, full: true}
	case dispatch.CodePreempted:
		j.resumed = true
		return &attemptError{err: out, retryable: true, preempted: true}
	case dispatch.CodeLeaving:
		return &attemptError{err: out, retryable: true}
	case dispatch.CodeUnavailable:
		outcome := retry.OutcomeUnknown
		if r.NotRun {
			outcome = retry.OutcomeNotRun
		}
		return &attemptError{err: out, retryable: d.e.retries.allow(j, outcome)}
	}
	return &attemptError{err: out}
}

// peerDisconnected informs all waiting requests that the connection to p has ended,
// and with it their reservations there.
func (d *dispatcher) peerDisconnected(p *peer) {
	d.e.waitQueue.broadcast(signal{kind: signalPeerDisconnected, peer: p})
}
