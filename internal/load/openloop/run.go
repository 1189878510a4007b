package openloop

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	defaultDrain   = 10 * clock.Second
	progressPeriod = time.Second
	maxIdleConns   = 4096
)

// Options tells where and how a schedule is sent.
type Options struct {
	// URL is the base URL of an entry, or of an engine if Direct is set.
	URL string
	// Target returns the base URL for the i-th request and replaces URL, if set.
	Target func(i int) string
	// Keys maps client accounts to keys.
	Keys map[string]string
	// Direct sends neither key nor class.
	Direct bool
	// DrainMs is how long open requests may last after the schedule's end,
	// 10 s by default.
	DrainMs clock.Millis
	// Progress receives a line each second, if set.
	Progress io.Writer
}

// MissingKeyError reports a client account without a key.
type MissingKeyError struct{ Account string }

// Error names the account.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("no key for client account %q: give --key %s=KEY", e.Account, e.Account)
}

type run struct {
	sched  arrivals.Schedule
	opts   Options
	client *http.Client
	start  time.Time
	end    time.Time
	counts counts
}

// counts are what the progress lines show.
type counts struct {
	sent, open, complete, refused, failed, incorrect, tokens atomic.Int64
}

// Run sends sched and returns one sample per request, in the order of arrival.
// It returns early if ctx ends; requests that were not sent by then are left out.
func Run(ctx context.Context, sched arrivals.Schedule, opts Options) ([]Sample, error) {
	for _, a := range sched.Scenario.Accounts {
		if _, ok := opts.Keys[a.Name]; !ok && !opts.Direct {
			return nil, &MissingKeyError{a.Name}
		}
	}
	if opts.DrainMs == 0 {
		opts.DrainMs = defaultDrain
	}
	if opts.Target == nil {
		opts.Target = func(int) string { return opts.URL }
	}
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &run{sched: sched, opts: opts, client: &http.Client{Transport: transport}, start: time.Now()}
	r.end = r.start.Add(sched.Duration.Duration())
	ctx, cancel := context.WithDeadline(ctx, r.end.Add(opts.DrainMs.Duration()))
	defer cancel()
	return r.all(ctx), nil
}

// all sends every request at its time and waits for the answers.
func (r *run) all(ctx context.Context) []Sample {
	stop := make(chan struct{})
	var progress, requests sync.WaitGroup
	progress.Go(func() { r.progress(stop) })
	samples := make([]Sample, len(r.sched.Requests))
	sent := 0
	for i, q := range r.sched.Requests {
		due := r.start.Add(q.At.Duration())
		if !waitUntil(ctx, due) {
			break
		}
		sent++
		requests.Go(func() { samples[i] = r.one(ctx, q, due) })
	}
	requests.Wait()
	close(stop)
	progress.Wait()
	return samples[:sent]
}

// one sends q, and once more after Retry-After if its caller does so.
func (r *run) one(ctx context.Context, q arrivals.Request, due time.Time) Sample {
	r.counts.sent.Add(1)
	r.counts.open.Add(1)
	s := r.attempt(ctx, q, due)
	r.counts.open.Add(-1)
	r.count(s)
	if s.Outcome != Refused || !q.Retries || s.RetryAfterMs == 0 {
		return s
	}
	again := time.Now().Add(s.RetryAfterMs.Duration())
	if again.After(r.end) || !waitUntil(ctx, again) {
		return s
	}
	second := r.attempt(ctx, q, again)
	r.count(second)
	s.Retry = &second
	return s
}

func (r *run) count(s Sample) {
	c := &r.counts
	c.tokens.Add(int64(s.Tokens))
	switch s.Outcome {
	case Complete:
		c.complete.Add(1)
	case Refused:
		c.refused.Add(1)
	case Failed, TimedOut:
		c.failed.Add(1)
	case Truncated, Duplicated, Wrong:
		c.incorrect.Add(1)
	}
}

func (r *run) progress(stop <-chan struct{}) {
	if r.opts.Progress == nil {
		return
	}
	t := time.NewTicker(progressPeriod)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		c := &r.counts
		_, _ = fmt.Fprintf(r.opts.Progress,
			"event=progress scenario=%s seed=%d atMs=%d of=%d sent=%d open=%d complete=%d refused=%d failed=%d incorrect=%d tokens=%d\n",
			r.sched.Scenario.Name, r.sched.Seed, time.Since(r.start).Milliseconds(), r.sched.Duration,
			c.sent.Load(), c.open.Load(), c.complete.Load(), c.refused.Load(), c.failed.Load(), c.incorrect.Load(), c.tokens.Load())
	}
}

// waitUntil waits for t and reports false if ctx ends before.
func waitUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
