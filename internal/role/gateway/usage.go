package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// keptWindows is how many windows a gateway keeps its counts of.
	keptWindows = 5
	// publishAfter is the time after a window's end until its counts are
	// published: clocks may differ by some tenths of a second.
	publishAfter = 300 * clock.Millisecond
	// publishRetry is the pause after a failed publication.
	publishRetry = 200 * clock.Millisecond
	// leastEntries is the number of gateways assumed before others are known.
	leastEntries = 4
)

// counts holds the requests of each client account by window.
type counts struct {
	windowMs clock.Millis

	mu  sync.Mutex
	all map[int64]map[string]int64
}

func newCounts(windowMs clock.Millis) *counts {
	return &counts{windowMs: windowMs, all: map[int64]map[string]int64{}}
}

func (c *counts) window(wall clock.Millis) int64 { return int64(wall / c.windowMs) }

// end returns the wall time at which a window ends.
func (c *counts) end(window int64) clock.Millis { return clock.Millis(window+1) * c.windowMs }

func (c *counts) add(account string, wall clock.Millis) {
	w := c.window(wall)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.all[w]
	if m == nil {
		m = map[string]int64{}
		c.all[w] = m
		delete(c.all, w-keptWindows)
	}
	m[account]++
}

// published is what a gateway publishes of its counts.
type published struct {
	// Window is the last one that is complete.
	Window  int64                      `json:"window"`
	Windows map[int64]map[string]int64 `json:"windows"`
	// Ended is set by a gateway that stops.
	Ended bool `json:"ended,omitempty"`
}

// snapshot returns the counts of the windows up to last.
func (c *counts) snapshot(last int64) published {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := published{Window: last, Windows: map[int64]map[string]int64{}}
	for w, m := range c.all {
		if w > last-keptWindows {
			p.Windows[w] = maps.Clone(m)
		}
	}
	return p
}

// usageKey is the key of this process's counts. A restarted instance has
// another one, so that the counts of its earlier process stay.
func (g *Gateway) usageKey() string { return g.name + "/" + g.process }

// publishUsage publishes the counts once a window, and at the end.
func (g *Gateway) publishUsage(ctx context.Context) error {
	for {
		wall := g.clock.Wall()
		due := g.usage.end(g.usage.window(wall)) + publishAfter + g.spread(publishAfter)
		if g.clock.Sleep(ctx, due-wall) != nil {
			break
		}
		g.publish(ctx, g.usage.window(g.clock.Wall()-publishAfter/2)-1, false)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), (2 * clock.Second).Duration())
	defer cancel()
	g.publish(last, g.usage.window(g.clock.Wall()), true)
	return nil
}

// spread returns a part of d that differs from gateway to gateway.
func (g *Gateway) spread(d clock.Millis) clock.Millis {
	h := uint32(0)
	for _, c := range g.name {
		h = h*31 + uint32(c)
	}
	return clock.Millis(h) % (d + 1)
}

func (g *Gateway) publish(ctx context.Context, last int64, ended bool) {
	for try := 0; ctx.Err() == nil; try++ {
		p := g.usage.snapshot(last)
		p.Ended = ended
		data, err := json.Marshal(p)
		if err != nil {
			g.log.WithField("event", "usageEncode").Error(err)
			return
		}
		if _, err = g.store.Append(ctx, TopicUsage, g.usageKey(), data, -1); err == nil {
			return
		}
		if try == 0 {
			g.log.WithField("event", "usageNotPublished").Warn(err)
		}
		_ = g.clock.Sleep(ctx, publishRetry)
		if g.usage.window(g.clock.Wall()) > last+2 {
			return
		}
	}
}

// sum adds up the published counts of a window. complete tells that no
// process that still runs has yet to publish them.
func sum(records []Record, window int64) (total map[string]int64, complete bool, running int, stale []string) {
	total, complete = map[string]int64{}, true
	for _, r := range records {
		if !strings.Contains(r.Key, "/") || len(r.Value) == 0 {
			continue
		}
		var p published
		if json.Unmarshal(r.Value, &p) != nil {
			continue
		}
		for a, n := range p.Windows[window] {
			total[a] += n
		}
		switch {
		case p.Window < window-keptWindows:
			stale = append(stale, r.Key)
		case p.Ended:
		default:
			running++
			if p.Window < window {
				complete = false
			}
		}
	}
	return total, complete, running, stale
}
