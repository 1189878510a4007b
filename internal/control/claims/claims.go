// Package claims records the claims of one sidecar on protected requests in the
// platform's log. Of all requests of an account and route with the same idempotency
// key, only the one whose claim the log accepts first may run, on whichever sidecar.
//
// Claims are sharded over several streams. Each shard has two tasks: the owner
// applies inputs in order to a claim.Author, and the reader follows the stream.
// Appends run concurrently in goroutines of their own.
package claims

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/state/claim"
)

// Log is the platform's append-only log; see logservice.Client.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Config holds the parameters of Claims.
type Config struct {
	// Incarnation identifies the process; a restarted process must have a new one.
	Incarnation string
	// Shards is the number of claims streams. It must be the same in all sidecars.
	Shards int
	// WindowMs is how long an idempotency key is valid.
	WindowMs clock.Millis
	// TimeoutMs bounds each append, and the wait for the decision on a claim.
	TimeoutMs clock.Millis
	// AppendsPerSecond is the append rate that all sidecars and shards share; 0 means
	// defaultAppendsPerSecond.
	AppendsPerSecond float64
	// RetentionMs is how long the log keeps a record; 0 means one hour.
	RetentionMs clock.Millis
}

// defaultAppendsPerSecond is the default of Config.AppendsPerSecond.
const defaultAppendsPerSecond = 200

// Claims decides which protected requests the sidecar may hand over to its backend
// server. It is safe for concurrent use.
type Claims struct {
	cfg            Config
	clock          clock.Clock
	shards         []*shard
	mu             sync.Mutex
	shardByAttempt map[string]*shard // shard of each attempt handed over, by attempt
}

// New returns Claims over the claims streams of log. Its Tasks must be run for Claim
// to return.
func New(cfg Config, log Log, clk clock.Clock, l logrus.FieldLogger) *Claims {
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = defaultAppendsPerSecond
	}
	c := &Claims{cfg: cfg, clock: clk, shardByAttempt: map[string]*shard{}}
	for i := range cfg.Shards {
		c.shards = append(c.shards, newShard(cfg, logservice.StreamClaims+strconv.Itoa(i), log, clk, l))
	}
	return c
}

// Tasks returns the owner and reader tasks of all shards.
func (c *Claims) Tasks() []supervise.Task {
	var out []supervise.Task
	for _, s := range c.shards {
		out = append(out,
			supervise.Task{Name: s.stream + "/owner", Run: s.runOwner},
			supervise.Task{Name: s.stream + "/reader", Run: s.runReader})
	}
	return out
}

// SetPeers sets the number of sidecars, this one included, that share
// AppendsPerSecond.
func (c *Claims) SetPeers(n int) {
	for _, s := range c.shards {
		s.enqueue(sidecarsInput{n})
	}
}

// Claim claims the idempotency key for an attempt and waits for the decision. If ok,
// the caller must hand the attempt over to the backend server now, and then call one
// of Finish, NotRun and Unknown. Otherwise it must not hand it over, and the Refusal
// says why.
func (c *Claims) Claim(ctx context.Context, account, route, key, attempt string) (dispatch.Refusal, bool) {
	expires, err := claim.Expiry(key, c.clock.Wall(), c.cfg.WindowMs)
	if err != nil {
		return dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: err.Error(), NotRun: true}, false
	}
	claimKey := claim.KeyOf(account, route, key)
	s := c.shards[binary.BigEndian.Uint32(claimKey[:4])%uint32(len(c.shards))]
	reply := make(chan claimResult, 1)
	s.enqueue(submitInput{
		req:   claim.Request{Key: claimKey, Attempt: attempt, ExpiresMs: expires, DeadlineMs: c.clock.Now() + c.cfg.TimeoutMs},
		reply: reply,
	})
	select {
	case result := <-reply:
		if result.ok {
			c.mu.Lock()
			c.shardByAttempt[attempt] = s
			c.mu.Unlock()
		}
		return result.refusal, result.ok
	case <-s.done:
		return dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the sidecar has stopped", NotRun: true}, false
	}
}

// Finish records that the attempt ran and that the backend server answered with the
// HTTP status.
func (c *Claims) Finish(attempt string, status int) { c.recordResult(attempt, claim.Done, status) }

// NotRun records that no part of the attempt reached the backend server.
func (c *Claims) NotRun(attempt string) { c.recordResult(attempt, claim.NotRun, 0) }

// Unknown records that the attempt may have run, but its result is not known.
func (c *Claims) Unknown(attempt string) { c.recordResult(attempt, claim.Unknown, 0) }

// recordResult passes the result of an attempt to the owner of its shard.
func (c *Claims) recordResult(attempt string, result claim.Result, status int) {
	c.mu.Lock()
	s := c.shardByAttempt[attempt]
	delete(c.shardByAttempt, attempt)
	c.mu.Unlock()
	if s != nil {
		s.enqueue(finishInput{attempt, result, status})
	}
}

// claimResult is the decision on one call of Claim: ok, or the refusal.
type claimResult struct {
	refusal dispatch.Refusal
	ok      bool
}
