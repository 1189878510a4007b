package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// extraWindows is how many windows a gateway keeps its counts of beyond those
	// whose report is not late yet: an outage of the store and the election after
	// it fit into that many windows of 5 s.
	extraWindows = 6
	// collectDelay is the time after a window's end from which the holder asks for
	// its counts: clocks may differ by some tenths of a second.
	collectDelay = 300 * clock.Millisecond
	// publishDelay is the time after it from which a gateway that was not asked
	// publishes its counts in the store, and maxPublishJitter bounds the delay by
	// which gateways differ.
	publishDelay     = 900 * clock.Millisecond
	maxPublishJitter = 300 * clock.Millisecond
	// finalPublishTimeout bounds the publication of a process that ends.
	finalPublishTimeout = 500 * clock.Millisecond
	// copyEvery is the time between two copies of the counts to other gateways;
	// what began since the last one is lost with a killed process.
	copyEvery = 400 * clock.Millisecond
	// handOverTime is the time in which the last copies are written to the links.
	handOverTime = 30 * clock.Millisecond
	// copyReceivers is the number of gateways that get copies.
	copyReceivers = 3
	// minRetrySharers is the number of gateways assumed before others are known.
	minRetrySharers = 4
)

// counts holds the requests of each client account by window.
type counts struct {
	windowMs clock.Millis
	// keptWindows is the number of windows that are kept.
	keptWindows int64

	mu       sync.Mutex
	byWindow map[int64]map[string]int64
	changed  bool
	// sentWindow is the last window whose counts were sent to a holder that asked.
	sentWindow int64
	// copies are the counts of other processes, by key.
	copies map[string]publishedCounts
}

func newCounts(windowMs, reportWithin clock.Millis) *counts {
	return &counts{windowMs: windowMs, keptWindows: int64(reportWithin/windowMs) + extraWindows, byWindow: map[int64]map[string]int64{}, copies: map[string]publishedCounts{}}
}

func (c *counts) window(wall clock.Millis) int64 { return int64(wall / c.windowMs) }

// end returns the wall time at which a window ends.
func (c *counts) end(window int64) clock.Millis { return clock.Millis(window+1) * c.windowMs }

// oldest returns the first window of which all gateways still keep their counts,
// also those whose time of day is ahead.
func (c *counts) oldest(wall clock.Millis) int64 { return c.window(wall) - c.keptWindows + 2 }

func (c *counts) add(account string, wall clock.Millis) {
	w := c.window(wall)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.byWindow[w]
	if m == nil {
		m = map[string]int64{}
		c.byWindow[w] = m
		delete(c.byWindow, w-c.keptWindows)
	}
	m[account]++
	c.changed = true
}

// publishedCounts is what a gateway publishes of its counts.
type publishedCounts struct {
	// Window is the last one that is complete.
	Window  int64                      `json:"window"`
	Windows map[int64]map[string]int64 `json:"windows,omitempty"`
	// StartMs is the wall time at which the process started.
	StartMs clock.Millis `json:"startMs"`
	// Ended is set by a gateway that stops.
	Ended bool `json:"ended,omitempty"`
	// Copies are the counts of other processes, by key.
	Copies map[string]publishedCounts `json:"copies,omitempty"`
}

// snapshot returns the counts of the windows up to last.
func (c *counts) snapshot(last int64) publishedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.since(last-c.keptWindows+1, last)
	p.Copies = make(map[string]publishedCounts, len(c.copies))
	for key, other := range c.copies {
		p.Copies[key] = other.clone()
	}
	return p
}

// clone returns a copy that shares nothing with p.
func (p publishedCounts) clone() publishedCounts {
	windows := p.Windows
	p.Windows = make(map[int64]map[string]int64, len(windows))
	for w, m := range windows {
		p.Windows[w] = maps.Clone(m)
	}
	return p
}

// since returns the counts of the windows from first on, of which last is the
// last complete one. The caller holds mu.
func (c *counts) since(first, last int64) publishedCounts {
	p := publishedCounts{Window: last, Windows: map[int64]map[string]int64{}}
	for w, m := range c.byWindow {
		if w >= first {
			p.Windows[w] = maps.Clone(m)
		}
	}
	return p
}

// recent returns the counts of the last complete window and the present one;
// those before are published by then.
func (c *counts) recent(last int64) publishedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since(last, last)
}

// ofWindow returns the counts of one window, with the copies for processes that
// have not told that it is complete.
func (c *counts) ofWindow(window int64) publishedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := publishedCounts{Window: window, Windows: map[int64]map[string]int64{window: maps.Clone(c.byWindow[window])}}
	for key, other := range c.copies {
		if m, ok := other.Windows[window]; ok && (other.Window < window || other.Ended) {
			if p.Copies == nil {
				p.Copies = map[string]publishedCounts{}
			}
			p.Copies[key] = publishedCounts{Window: other.Window, StartMs: other.StartMs, Ended: other.Ended, Windows: map[int64]map[string]int64{window: maps.Clone(m)}}
		}
	}
	return p
}

// markSent notes that a holder has the counts of a window.
func (c *counts) markSent(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentWindow = max(c.sentWindow, window)
}

// unmarkSent notes that the counts of a window did not reach a holder.
func (c *counts) unmarkSent(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentWindow = min(c.sentWindow, window-1)
}

// wasSent reports whether the counts of a window were sent to a holder.
func (c *counts) wasSent(window int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentWindow >= window
}

// mergeCopy keeps a copy of another process's counts, and what that one holds of
// others. Counts only grow, so that of two the larger one is the later.
func (c *counts) mergeCopy(key string, p publishedCounts, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeLocked(key, p)
	for k, other := range p.Copies {
		c.mergeLocked(k, other)
	}
	for k, old := range c.copies {
		if old.Window < now-c.keptWindows {
			delete(c.copies, k)
			continue
		}
		maps.DeleteFunc(old.Windows, func(w int64, _ map[string]int64) bool { return w <= now-c.keptWindows })
	}
}

func (c *counts) mergeLocked(key string, p publishedCounts) {
	old, ok := c.copies[key]
	if !ok {
		old.Windows = map[int64]map[string]int64{}
	}
	for w, m := range p.Windows {
		if old.Windows[w] == nil {
			old.Windows[w] = map[string]int64{}
		}
		for a, n := range m {
			old.Windows[w][a] = max(old.Windows[w][a], n)
		}
	}
	old.Window, old.StartMs, old.Ended = max(old.Window, p.Window), max(old.StartMs, p.StartMs), old.Ended || p.Ended
	c.copies[key] = old
}

// missing returns those of the named gateways whose present process has not told
// the counts of a window.
func (c *counts) missing(window int64, names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := map[string]publishedCounts{}
	for key, p := range c.copies {
		if name, _, ok := strings.Cut(key, "/"); ok && p.StartMs >= newest[name].StartMs {
			newest[name] = p
		}
	}
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool {
		p, ok := newest[n]
		return ok && (p.Window >= window || p.Ended)
	})
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
func (g *Gateway) usageKey() string { return g.name + "/" + g.processID }

// publishUsage publishes the counts of the windows for which no holder has
// asked, and those of the last one at the end. When the store came back from a copy,
// what was published may be gone with it.
func (g *Gateway) publishUsage(ctx context.Context) error {
	for ctx.Err() == nil {
		wall := g.clock.Wall()
		due := g.usage.end(g.usage.window(wall)) + publishDelay + g.jitter(maxPublishJitter)
		_, changed := g.store.current()
		g.sleepInEpoch(ctx, due-wall, changed)
		if last := g.usage.window(g.clock.Wall()-publishDelay/2) - 1; ctx.Err() == nil && !g.usage.wasSent(last) {
			g.publish(ctx, last, false)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPublishTimeout.Duration())
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
		g.peers.copyCounts(g.usageKey(), p)
	}
	return nil
}

// handOver gives the counts of a gateway that ends to those that hold copies.
func (g *Gateway) handOver() {
	p := g.usage.recent(g.usage.window(g.clock.Wall()) - 1)
	p.StartMs, p.Ended = g.startMs, true
	g.peers.copyCounts(g.usageKey(), p)
	_ = g.clock.Sleep(context.Background(), handOverTime)
}

// receiveCounts takes in another gateway's counts.
func (g *Gateway) receiveCounts(_ string, data json.RawMessage) error {
	var m countsCopy
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	g.usage.mergeCopy(m.Key, m.Counts, g.usage.window(g.clock.Wall()))
	if m.Seal != nil {
		g.keepSeal(*m.Seal)
	}
	return nil
}

// answerCollect sends this gateway's counts of a window to the holder.
func (g *Gateway) answerCollect(holder string, data json.RawMessage) error {
	var m enginequeue.Collect
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	window := m.Window
	if g.clock.Wall() < g.usage.end(window) {
		// By this clock the window goes on: the holder asks again.
		return nil
	}
	g.usage.markSent(window)
	p := g.usage.ofWindow(window)
	p.StartMs = g.startMs
	if !g.peers.sendCounts(holder, countsCopy{g.usageKey(), p, g.latestSeal.Load()}) {
		g.log.WithFields(logrus.Fields{"event": "usageNotSent", "window": window, "holder": holder}).Info("the counts are published in the store")
		g.usage.unmarkSent(window)
	}
	return nil
}

// countsCopy is the message that copies counts.
type countsCopy struct {
	Key    string          `json:"key"`
	Counts publishedCounts `json:"counts"`
	// Seal is the newest sealed window that the sender knows; nil in mere copies.
	Seal *Usage `json:"seal,omitempty"`
}

// keepSeal keeps a sealed window, which a later holder may not find in the store.
func (g *Gateway) keepSeal(u Usage) {
	for {
		old := g.latestSeal.Load()
		if old != nil && old.Window >= u.Window || g.latestSeal.CompareAndSwap(old, &u) {
			return
		}
	}
}

// receiveSeal takes in what the holder of the duties has sealed.
func (g *Gateway) receiveSeal(_ string, data json.RawMessage) error {
	var u Usage
	if err := json.Unmarshal(data, &u); err != nil {
		return err
	}
	g.keepSeal(u)
	return nil
}

// jitter returns a part of d that differs from gateway to gateway.
func (g *Gateway) jitter(d clock.Millis) clock.Millis {
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
		maps.DeleteFunc(p.Copies, func(_ string, c publishedCounts) bool { return c.Window >= last && !c.Ended })
		data, err := json.Marshal(p)
		if err != nil {
			g.log.WithField("event", "usageEncode").Error(err)
			return
		}
		err = g.store.Append(ctx, TopicUsage, g.usageKey(), data)
		g.metrics.storeWrite(TopicUsage, err)
		if err == nil {
			g.outage.storeAnswered()
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

// windowSum is the sum of a window over all processes.
type windowSum struct {
	total map[string]int64
	// late are the instances whose present process has yet to publish the window.
	late []string
	// stale are the keys that are no longer needed.
	stale []string
}

// collect adds up a window over what all processes published, and what others
// published for them.
func (g *Gateway) collect(records []Record, window int64) windowSum {
	out := windowSum{total: map[string]int64{}}
	counts := map[string]map[string]int64{} // by process
	merge := func(key string, p publishedCounts) {
		m := counts[key]
		if m == nil {
			m = map[string]int64{}
			counts[key] = m
		}
		for a, n := range p.Windows[window] {
			m[a] = max(m[a], n)
		}
	}
	newest := map[string]publishedCounts{}
	for _, r := range records {
		name, _, ok := strings.Cut(r.Key, "/")
		if !ok || len(r.Value) == 0 {
			continue
		}
		var p publishedCounts
		if err := json.Unmarshal(r.Value, &p); err != nil {
			g.log.WithFields(logrus.Fields{"event": "peerUnreadable", "key": r.Key, "offset": r.At.Offset()}).Warn(err)
			continue
		}
		merge(r.Key, p)
		for key, c := range p.Copies {
			merge(key, c)
		}
		if p.Window < window-g.usage.keptWindows {
			out.stale = append(out.stale, r.Key)
		} else if p.StartMs >= newest[name].StartMs {
			newest[name] = p
		}
	}
	own := g.usage.snapshot(window)
	own.StartMs = g.startMs
	merge(g.usageKey(), own)
	newest[g.name] = own
	for key, c := range own.Copies {
		merge(key, c)
		if name, _, ok := strings.Cut(key, "/"); ok && c.StartMs >= newest[name].StartMs && c.Window >= newest[name].Window {
			newest[name] = c
		}
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
