// Package claims runs the claim authors of one sidecar: one per claims stream.
//
// Each shard has an owner task, which applies inputs to the claim.Author in
// order, and a reader task, which follows the stream. Appends run beside them.
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

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Config holds the parameters of Claims.
type Config struct {
	Incarnation      string
	Shards           int
	WindowMs         clock.Millis
	TimeoutMs        clock.Millis
	AppendsPerSecond float64
	RetentionMs      clock.Millis
}

const defaultAppendsPerSecond = 200

// Claims decides which protected requests the sidecar may hand over. It is
// safe for concurrent use.
type Claims struct {
	cfg    Config
	clock  clock.Clock
	shards []*shard
	mu     sync.Mutex
	byName map[string]*shard // attempts handed over
}

// New returns Claims over the streams of log.
func New(cfg Config, log Log, clk clock.Clock, l logrus.FieldLogger) *Claims {
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = defaultAppendsPerSecond
	}
	c := &Claims{cfg: cfg, clock: clk, byName: map[string]*shard{}}
	for i := range cfg.Shards {
		c.shards = append(c.shards, newShard(cfg, logservice.StreamClaims+strconv.Itoa(i), log, clk, l))
	}
	return c
}

// Tasks returns the tasks that keep the claims.
func (c *Claims) Tasks() []supervise.Task {
	var out []supervise.Task
	for _, s := range c.shards {
		out = append(out,
			supervise.Task{Name: s.stream + "/owner", Run: s.own},
			supervise.Task{Name: s.stream + "/reader", Run: s.read})
	}
	return out
}

// SetPeers tells the number of sidecars that share the append budget.
func (c *Claims) SetPeers(n int) {
	for _, s := range c.shards {
		s.put(peersInput{n})
	}
}

// Claim returns ok when the attempt must now be handed over, once; its end
// goes to Finish, NotRun or Unknown.
func (c *Claims) Claim(ctx context.Context, account, route, key, attempt string) (dispatch.Refusal, bool) {
	expires, err := claim.Expiry(key, c.clock.Wall(), c.cfg.WindowMs)
	if err != nil {
		return dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: err.Error(), NotRun: true}, false
	}
	k := claim.KeyOf(account, route, key)
	s := c.shards[binary.BigEndian.Uint32(k[:4])%uint32(len(c.shards))]
	reply := make(chan verdict, 1)
	s.put(wantInput{
		req:   claim.Request{Key: k, Attempt: attempt, ExpiresMs: expires, DeadlineMs: c.clock.Now() + c.cfg.TimeoutMs},
		reply: reply,
	})
	select {
	case v := <-reply:
		if v.ok {
			c.mu.Lock()
			c.byName[attempt] = s
			c.mu.Unlock()
		}
		return v.refusal, v.ok
	case <-s.done:
		return dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the sidecar has stopped", NotRun: true}, false
	}
}

// Finish records that the attempt ran and was answered.
func (c *Claims) Finish(attempt string, status int) { c.end(attempt, claim.Done, status) }

// NotRun records that the backend server saw nothing of the attempt.
func (c *Claims) NotRun(attempt string) { c.end(attempt, claim.NotRun, 0) }

// Unknown records that the attempt may have run.
func (c *Claims) Unknown(attempt string) { c.end(attempt, claim.Unknown, 0) }

func (c *Claims) end(attempt string, r claim.Result, status int) {
	c.mu.Lock()
	s := c.byName[attempt]
	delete(c.byName, attempt)
	c.mu.Unlock()
	if s != nil {
		s.put(finishInput{attempt, r, status})
	}
}

// verdict is the answer to one Claim.
type verdict struct {
	refusal dispatch.Refusal
	ok      bool
}
