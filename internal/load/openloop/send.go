package openloop

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// HeaderClass names the request class towards damaskport.
const HeaderClass = "X-Damaskport-Class"

const maxErrorBytes = 64 << 10

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

// attempt sends q once and follows the answer. arrival is when it was due.
func (r *run) attempt(ctx context.Context, q arrivals.Request, arrival time.Time) Sample {
	s := Sample{
		Index:     q.Index,
		Class:     q.Class,
		Account:   q.Account,
		ArrivalMs: clock.FromDuration(arrival.Sub(r.start)),
		Wanted:    q.Tokens,
		LagUs:     time.Since(arrival).Microseconds(),
	}
	err := r.exchange(ctx, q, arrival, &s)
	s.EndUs = time.Since(arrival).Microseconds()
	if err != nil {
		s.Outcome, s.Detail = Failed, err.Error()
	}
	if err != nil && ctx.Err() != nil {
		s.Outcome = TimedOut
	}
	return s
}

func (r *run) exchange(ctx context.Context, q arrivals.Request, arrival time.Time, s *Sample) error {
	req, err := r.request(ctx, q)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	s.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return readError(resp, s)
	}
	rd := &reader{origin: arrival, windowUs: r.end.Sub(arrival).Microseconds()}
	if err := rd.read(resp.Body, s); err != nil && rd.err == nil {
		return err
	}
	s.Outcome, s.Detail = rd.judge(q.Nonce, q.Tokens)
	if rd.err != nil {
		s.Code = fmt.Sprint(rd.err.Code)
	}
	return nil
}

func (r *run) request(ctx context.Context, q arrivals.Request) (*http.Request, error) {
	system, user := q.Prompt()
	body, err := json.Marshal(chatRequest{
		Model:    r.sched.Scenario.Deployment.Model,
		Stream:   true,
		Messages: []chatMessage{{"system", system}, {"user", user}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.opts.Target(q.Index)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if !r.opts.Direct {
		req.Header.Set("Authorization", "Bearer "+r.opts.Keys[q.Account])
		req.Header.Set(HeaderClass, q.Class)
	}
	return req, nil
}

// readError takes the code, notRun and Retry-After of an error answer.
func readError(resp *http.Response, s *Sample) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return err
	}
	var body struct {
		Error apiError `json:"error"`
	}
	s.Outcome = Failed
	if err := json.Unmarshal(data, &body); err != nil {
		s.Detail = fmt.Sprintf("status %d without an error object", resp.StatusCode)
		return nil
	}
	s.Code, s.NotRun, s.Detail = fmt.Sprint(body.Error.Code), body.Error.NotRun, body.Error.Message
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		s.RetryAfterMs = clock.Millis(n) * clock.Second
	}
	if s.NotRun {
		s.Outcome = Refused
	}
	return nil
}
