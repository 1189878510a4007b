package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// endingKeep is how long the result of a check whether a server has ended is used for the
// other requests that broke off there.
const endingKeep = 500 * clock.Millisecond

// ending is the check whether a server has ended, after a request broke off there.
type ending struct {
	checked chan struct{} // closed with the result
	ended   bool
	atMs    clock.Millis
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
	if c := e.checks[k]; c != nil {
		return c, false
	}
	c = &ending{checked: make(chan struct{}), atMs: now}
	e.checks[k] = c
	return c, true
}

// serverEnded reports whether the server of s, at which a request broke off, has ended: it
// refuses connections now. A server that drains is expected to.
func (g *Gateway) serverEnded(ctx context.Context, s *send) bool {
	k := s.engine.Key()
	if s.conns == nil || g.fleet.draining(k) {
		return false
	}
	c, first := g.endings.check(g.clock.Now(), k)
	if first {
		c.ended = s.conns.Refused(ctx)
		close(c.checked)
		if c.ended {
			g.metrics.serverEnded()
		}
	}
	<-c.checked
	return c.ended
}

// sharedBlocks returns the ids of the prompt blocks that other requests may share: all but
// the last one.
func sharedBlocks(all []place.Block) []string {
	out := make([]string, 0, len(all))
	for _, b := range all[:max(len(all)-1, 0)] {
		out = append(out, b.ID)
	}
	return out
}

// brokeOff handles a request that broke off at the server of s, in the background.
func (g *Gateway) brokeOff(j *job, s *send) {
	log := j.log.WithFields(logrus.Fields{
		"event": "serverEnded", "server": s.engine.ID, "start": s.engine.Start, "begun": s.begun, "parts": sharedBlocks(j.Blocks), "send": j.sends,
	})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if g.serverEnded(ctx, s) {
			log.Warn()
		}
	}()
}
