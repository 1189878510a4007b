package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// keptBeyond is how many windows a gateway keeps its counts of beyond those
	// whose report is not late yet: an outage of the store and the election after
	// it fit into that many windows of 5 s.
	keptBeyond = 6
	// publishAfter is the time after a window's end until its counts are
	// published: clocks may differ by some tenths of a second.
	publishAfter = 300 * clock.Millisecond
	// lastPublish bounds the publication of a process that ends.
	lastPublish = 500 * clock.Millisecond
	// copyEvery is the time between two copies of the counts to other gateways;
	// what began since the last one is lost with a killed process.
	copyEvery = 400 * clock.Millisecond
	// copyHolders is the number of gateways that get copies.
	copyHolders = 3
	// leastEntries is the number of gateways assumed before others are known.
	leastEntries = 4
)

// counts holds the requests of each client account by window.
type counts struct {
	windowMs clock.Millis
	// kept is the number of windows that are kept.
	kept int64

	mu      sync.Mutex
	all     map[int64]map[string]int64
	changed bool
	// copies are the counts of other processes, by key.
	copies map[string]published
}

func newCounts(windowMs, reportWithin clock.Millis) *counts {
	return &counts{windowMs: windowMs, kept: int64(reportWithin/windowMs) + keptBeyond, all: map[int64]map[string]int64{}, copies: map[string]published{}}
}

func (c *counts) window(wall clock.Millis) int64 { return int64(wall / c.windowMs) }

// end returns the wall time at which a window ends.
func (c *counts) end(window int64) clock.Millis { return clock.Millis(window+1) * c.windowMs }

// oldest returns the first window of which all gateways still keep their counts,
// also those whose time of day is ahead.
func (c *counts) oldest(wall clock.Millis) int64 { return c.window(wall) - c.kept + 2 }

func (c *counts) add(account string, wall clock.Millis) {
	w := c.window(wall)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.all[w]
	if m == nil {
		m = map[string]int64{}
		c.all[w] = m
		delete(c.all, w-c.kept)
	}
	m[account]++
	c.changed = true
}

// published is what a gateway publishes of its counts.
type published struct {
	// Window is the last one that is complete.
	Window  int64                      `json:"window"`
	Windows map[int64]map[string]int64 `json:"windows,omitempty"`
	// StartMs is the wall time at which the process started.
	StartMs clock.Millis `json:"startMs"`
	// Ended is set by a gateway that stops.
	Ended bool `json:"ended,omitempty"`
	// Copies are the counts of other processes, by key.
	Copies map[string]published `json:"copies,omitempty"`
}

// snapshot returns the counts of the windows up to last.
func (c *counts) snapshot(last int64) published {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.since(last-c.kept+1, last)
	p.Copies = maps.Clone(c.copies)
	return p
}

// since returns the counts of the windows from first on, of which last is the
// last complete one. The caller holds mu.
func (c *counts) since(first, last int64) published {
	p := published{Window: last, Windows: map[int64]map[string]int64{}}
	for w, m := range c.all {
		if w >= first {
			p.Windows[w] = maps.Clone(m)
		}
	}
	return p
}

// recent returns the counts of the last complete window and the present one;
// those before are published by then.
func (c *counts) recent(last int64) published {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since(last, last)
}

// keep keeps a copy of another process's counts, beside the earlier windows
// that it told.
func (c *counts) keep(key string, p published, now int64) {
	p.Copies = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Windows == nil {
		p.Windows = map[int64]map[string]int64{}
	}
	for w, m := range c.copies[key].Windows {
		if _, ok := p.Windows[w]; !ok && w > now-c.kept {
			p.Windows[w] = m
		}
	}
	c.copies[key] = p
	for k, old := range c.copies {
		if old.Window < now-c.kept {
			delete(c.copies, k)
		}
	}
}

// takeChanged reports whether counts were added since the last call.
func (c *counts) takeChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.changed
	c.changed = false
	return was
}

// usageKey is the key of this process's counts. A restarted instance has
// another one, so that the counts of its earlier process stay.
func (g *Gateway) usageKey() string { return g.name + "/" + g.process }

// publishUsage publishes the counts once a window, and at the end.
func (g *Gateway) publishUsage(ctx context.Context) error {
	// The holder waits for those that it knows of.
	g.publish(ctx, g.usage.window(g.clock.Wall())-1, false)
	for {
		wall := g.clock.Wall()
		due := g.usage.end(g.usage.window(wall)) + publishAfter + g.spread(publishAfter)
		if g.clock.Sleep(ctx, due-wall) != nil {
			break
		}
		g.publish(ctx, g.usage.window(g.clock.Wall()-publishAfter/2)-1, false)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastPublish.Duration())
	defer cancel()
	g.publish(last, g.usage.window(g.clock.Wall()), true)
	return nil
}

// copyUsage copies the counts to other gateways, which publish them should this
// process not come to it.
func (g *Gateway) copyUsage(ctx context.Context) error {
	for g.clock.Sleep(ctx, copyEvery) == nil {
		if !g.usage.takeChanged() {
			continue
		}
		p := g.usage.recent(g.usage.window(g.clock.Wall()) - 1)
		p.StartMs = g.startMs
		g.board.copy(g.usageKey(), p)
	}
	return nil
}

// keepCopy takes in another gateway's counts.
func (g *Gateway) keepCopy(data json.RawMessage) error {
	var m countsCopy
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	g.usage.keep(m.Key, m.Counts, g.usage.window(g.clock.Wall()))
	return nil
}

// countsCopy is the message that copies counts.
type countsCopy struct {
	Key    string    `json:"key"`
	Counts published `json:"counts"`
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
		p.Ended, p.StartMs = ended, g.startMs
		data, err := json.Marshal(p)
		if err != nil {
			g.log.WithField("event", "usageEncode").Error(err)
			return
		}
		_, err = g.store.Append(ctx, TopicUsage, g.usageKey(), data, -1)
		g.metrics.storeWrite(TopicUsage, err)
		if err == nil {
			g.outage.over()
			return
		}
		if try == 0 {
			g.log.WithField("event", "usageNotPublished").Warn(err)
		}
		g.outagePause(ctx, try+1, false)
		if now := g.usage.window(g.clock.Wall()) - 1; !ended && now > last {
			last = now
		}
	}
}

// collected is the sum of a window over all processes.
type collected struct {
	total map[string]int64
	// late are the instances whose present process has yet to publish the window.
	late []string
	// stale are the keys that are no longer needed.
	stale []string
}

// collect adds up a window over what all processes published, and what others
// published for them.
func (g *Gateway) collect(records []Record, window int64) collected {
	out := collected{total: map[string]int64{}}
	counts := map[string]map[string]int64{} // by process
	merge := func(key string, p published) {
		m := counts[key]
		if m == nil {
			m = map[string]int64{}
			counts[key] = m
		}
		for a, n := range p.Windows[window] {
			m[a] = max(m[a], n)
		}
	}
	newest := map[string]published{}
	for _, r := range records {
		name, _, ok := strings.Cut(r.Key, "/")
		if !ok || len(r.Value) == 0 {
			continue
		}
		var p published
		if err := json.Unmarshal(r.Value, &p); err != nil {
			g.log.WithFields(logrus.Fields{"event": "peerUnreadable", "key": r.Key, "offset": r.Offset}).Warn(err)
			continue
		}
		merge(r.Key, p)
		for key, c := range p.Copies {
			merge(key, c)
		}
		if p.Window < window-g.usage.kept {
			out.stale = append(out.stale, r.Key)
		} else if p.StartMs >= newest[name].StartMs {
			newest[name] = p
		}
	}
	for key, c := range g.usage.snapshot(window).Copies {
		merge(key, c)
	}
	for _, m := range counts {
		for a, n := range m {
			out.total[a] += n
		}
	}
	for name, p := range newest {
		if !p.Ended && p.Window < window {
			out.late = append(out.late, name)
		}
	}
	return out
}
