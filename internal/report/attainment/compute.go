package attainment

import (
	"fmt"
	"slices"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/openloop"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	bucketMs     = clock.Second
	maxIncorrect = 10
)

// Met reports whether s is a complete answer that met all targets of c. The
// target between tokens applies to the mean over the answer.
func Met(s openloop.Sample, c directory.Class) bool {
	if s.Outcome != openloop.Complete {
		return false
	}
	if c.FirstTokenMs > 0 && s.FirstTokenUs > micros(c.FirstTokenMs) {
		return false
	}
	if c.AnswerMs > 0 && s.EndUs > micros(c.AnswerMs) {
		return false
	}
	if c.TokenMs > 0 && s.Tokens > 1 {
		return (s.EndUs-s.FirstTokenUs)/int64(s.Tokens-1) <= micros(c.TokenMs)
	}
	return true
}

func micros(m clock.Millis) int64 {
	return m.Duration().Microseconds()
}

// Compute returns the figures of a run.
func Compute(sched arrivals.Schedule, samples []openloop.Sample) Result {
	c := newComputation(sched)
	for _, s := range samples {
		c.add(s)
	}
	return c.result()
}

type computation struct {
	sched    arrivals.Schedule
	res      Result
	classes  map[string]*Class
	accounts map[string]*Account
	specs    map[string]directory.Class
	buckets  map[string][]Bucket
	seconds  int
	// demand and received hold tokens by tier and account.
	demand, received [directory.Tiers]map[string]float64
	lag              *hdrhistogram.Histogram
	delivered        int64
	retryAfter       clock.Millis
}

func newComputation(sched arrivals.Schedule) *computation {
	s := sched.Scenario
	seconds := max(1, int((sched.Duration+bucketMs-1)/bucketMs))
	c := &computation{
		sched:    sched,
		classes:  map[string]*Class{},
		accounts: map[string]*Account{},
		specs:    map[string]directory.Class{},
		buckets:  map[string][]Bucket{},
		seconds:  seconds,
		lag:      hdrhistogram.New(1, maxLatencyUs, digits),
	}
	c.res.Totals.Errors = map[string]int{}
	for i := range directory.Tiers {
		c.demand[i], c.received[i] = map[string]float64{}, map[string]float64{}
	}
	for _, x := range s.Classes {
		name := x.Class.Name
		c.specs[name] = x.Class
		c.classes[name] = &Class{
			Name: name, Tier: x.Class.Tier, ObjectivePercent: x.ObjectivePercent,
			FirstToken: newLatency(), TokenGap: newLatency(), End: newLatency(),
		}
		for i := range seconds {
			c.buckets[name] = append(c.buckets[name], Bucket{AtMs: clock.Millis(i) * bucketMs, Class: name})
		}
	}
	for _, a := range s.Accounts {
		c.accounts[a.Name] = &Account{Name: a.Name, Share: a.Share}
	}
	return c
}

func (c *computation) add(s openloop.Sample) {
	cl, acc, spec := c.classes[s.Class], c.accounts[s.Account], c.specs[s.Class]
	met := Met(s, spec)
	for _, n := range []*Counts{&c.res.Totals.Counts, &cl.Counts, &acc.Counts} {
		n.add(s.Outcome, met)
	}
	second := min(int(s.ArrivalMs/bucketMs), c.seconds-1)
	c.res.Totals.OfferedTokens += int64(s.Wanted)
	c.buckets[s.Class][second].Sent++
	_ = c.lag.RecordValue(max(1, min(s.LagUs, maxLatencyUs)))
	acc.OfferedTokens += int64(s.Wanted)
	c.demand[spec.Tier][s.Account] += float64(s.Wanted)
	c.delivered += int64(s.Tokens)
	if s.Outcome != openloop.Complete {
		c.res.Totals.Errors[fmt.Sprintf("%s %s %d %s: %s", s.Outcome, s.Class, s.Status, s.Code, s.Detail)]++
	} else {
		c.complete(s, cl, acc, spec.Tier)
	}
	if met {
		c.buckets[s.Class][second].Met++
		c.res.Totals.GoodTokens += int64(s.Tokens)
		c.res.Totals.GoodWindowTokens += int64(s.WindowTokens)
	}
	c.incorrect(s)
	c.retry(s, spec)
}

func (c *computation) complete(s openloop.Sample, cl *Class, acc *Account, tier int) {
	acc.ReceivedTokens += int64(s.Tokens)
	c.received[tier][s.Account] += float64(s.Tokens)
	cl.FirstToken.record(s.FirstTokenUs)
	cl.End.record(s.EndUs)
	for _, g := range s.GapsUs {
		cl.TokenGap.record(g)
	}
}

func (c *computation) incorrect(s openloop.Sample) {
	switch s.Outcome {
	case openloop.Truncated, openloop.Duplicated, openloop.Wrong:
		if len(c.res.Incorrect) < maxIncorrect {
			c.res.Incorrect = append(c.res.Incorrect, fmt.Sprintf("request %d: %s: %s", s.Index, s.Outcome, s.Detail))
		}
	}
}

// retry counts the second attempt; its targets count from its own start.
func (c *computation) retry(s openloop.Sample, spec directory.Class) {
	t := &c.res.Totals.Retries
	if s.Outcome != openloop.Refused {
		return
	}
	if s.RetryAfterMs == 0 {
		t.RefusedWithoutTime++
		return
	}
	t.WithRetryAfter++
	c.retryAfter += s.RetryAfterMs
	if s.Retry == nil {
		return
	}
	t.Repeated++
	second := *s.Retry
	c.incorrect(second)
	c.delivered += int64(second.Tokens)
	switch {
	case Met(second, spec):
		t.RepeatedMet++
		c.res.Totals.GoodTokens += int64(second.Tokens)
		c.res.Totals.GoodWindowTokens += int64(second.WindowTokens)
	case second.Outcome == openloop.Refused:
		t.RepeatedRefused++
	}
	if second.Outcome == openloop.Complete {
		c.received[spec.Tier][s.Account] += float64(second.Tokens)
		c.accounts[s.Account].ReceivedTokens += int64(second.Tokens)
	}
}

func (n *Counts) add(o openloop.Outcome, met bool) {
	n.Sent++
	if met {
		n.Met++
	}
	switch o {
	case openloop.Complete:
		n.Complete++
	case openloop.Refused:
		n.Refused++
	case openloop.Failed:
		n.Failed++
	case openloop.TimedOut:
		n.TimedOut++
	case openloop.Truncated:
		n.Truncated++
	case openloop.Duplicated:
		n.Duplicated++
	case openloop.Wrong:
		n.Wrong++
	}
	n.AttainmentPercent = percent(n.Met, n.Sent)
}

func (c *computation) result() Result {
	s := c.sched.Scenario
	r := c.res
	r.Scenario, r.Deployment, r.Seed, r.DurationMs = s.Name, s.Deployment.Name, c.sched.Seed, c.sched.Duration
	c.shares()
	for _, x := range s.Classes {
		r.Classes = append(r.Classes, *c.classes[x.Class.Name])
		r.Series = append(r.Series, c.buckets[x.Class.Name]...)
	}
	for _, a := range s.Accounts {
		r.Accounts = append(r.Accounts, *c.accounts[a.Name])
	}
	r.Worst = worst(r.Accounts)
	c.totals(&r.Totals)
	return r
}

func (c *computation) totals(t *Totals) {
	t.CapacityTokensPerSecond = c.sched.Scenario.Deployment.TokensPerSecond()
	t.ServableTokens = c.sched.ServableTokens()
	t.GoodputPercent = percent(t.GoodTokens, t.ServableTokens)
	t.SendLagP99Ms = float64(c.lag.ValueAtQuantile(99)) / 1000
	if n := t.Retries.WithRetryAfter; n > 0 {
		t.Retries.MeanRetryAfterMs = float64(c.retryAfter) / float64(n)
	}
	*t = t.withGenerated(c.delivered)
}

// shares divides what was delivered in each tier among its accounts.
func (c *computation) shares() {
	accounts := c.sched.Scenario.Accounts
	for tier := range directory.Tiers {
		total := 0.0
		demands := make([]Demand, len(accounts))
		for i, a := range accounts {
			total += c.received[tier][a.Name]
			demands[i] = Demand{Amount: c.demand[tier][a.Name], Weight: float64(a.Share)}
		}
		for i, fair := range MaxMinFair(total, demands) {
			c.accounts[accounts[i].Name].FairTokens += int64(fair)
		}
	}
	for _, a := range c.accounts {
		a.FairPercent = percent(a.ReceivedTokens, a.FairTokens)
	}
}

// worst returns the account that received least of its fair share.
func worst(accounts []Account) Account {
	sent := slices.DeleteFunc(slices.Clone(accounts), func(a Account) bool { return a.FairTokens == 0 })
	if len(sent) == 0 {
		return Account{}
	}
	return slices.MinFunc(sent, func(a, b Account) int {
		switch {
		case a.FairPercent < b.FairPercent:
			return -1
		case a.FairPercent > b.FairPercent:
			return 1
		}
		return 0
	})
}
