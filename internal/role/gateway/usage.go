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
	// extraWindows is the number of windows whose counts a gateway keeps in addition to
	// those whose report is not overdue yet. With windows of 5 s, an outage of the
	// store and the leader election after it fit into that time.
	extraWindows = 6
	// collectDelay is how long after a window's end the leader first requests its
	// counts: the wall clocks of gateways may differ by some tenths of a second.
	collectDelay = 300 * clock.Millisecond
	// publishDelay is how long after a window's end a gateway publishes its counts in
	// the store if no leader has requested them. maxPublishJitter bounds the additional
	// delay, which differs between gateways.
	publishDelay     = 900 * clock.Millisecond
	maxPublishJitter = 300 * clock.Millisecond
	// finalPublishTimeout bounds each last write to the store of a process that shuts
	// down.
	finalPublishTimeout = 500 * clock.Millisecond
	// copyEvery is the interval at which counts are copied to other gateways. A process
	// that is killed loses the counts since its last copy.
	copyEvery = 400 * clock.Millisecond
	// handOverTime is how long a process that shuts down waits for its last copies to
	// be written to the connections.
	handOverTime = 30 * clock.Millisecond
	// copyReceivers is the number of gateways that receive copies of the counts.
	copyReceivers = 3
	// minRetrySharers is the minimum number of gateways among which the limit on
	// retries is divided: shortly after the start, other gateways are not known yet.
	minRetrySharers = 4
)

// usageCounts holds the number of requests that began to run, by usage window and client
// account. It is safe for concurrent use.
type usageCounts struct {
	windowMs clock.Millis
	// keptWindows is the number of windows whose counts are kept, up to and including
	// the newest one.
	keptWindows int64

	mu       sync.Mutex
	byWindow map[int64]map[string]int64
	changed  bool
	// sentWindow is the newest window whose counts were sent to a leader on its
	// request.
	sentWindow int64
	// copies holds the counts of other processes, by usageKey.
	copies map[string]publishedCounts
}

func newUsageCounts(windowMs, reportWithin clock.Millis) *usageCounts {
	return &usageCounts{windowMs: windowMs, keptWindows: int64(reportWithin/windowMs) + extraWindows, byWindow: map[int64]map[string]int64{}, copies: map[string]publishedCounts{}}
}

// window returns the window that contains a wall-clock time, as the number of window
// lengths since the Unix epoch.
func (c *usageCounts) window(wall clock.Millis) int64 { return int64(wall / c.windowMs) }

// end returns the wall-clock time at which a window ends.
func (c *usageCounts) end(window int64) clock.Millis { return clock.Millis(window+1) * c.windowMs }

// oldest returns the first window whose counts are still kept by all gateways,
// including those whose wall clock is ahead by up to one window.
func (c *usageCounts) oldest(wall clock.Millis) int64 { return c.window(wall) - c.keptWindows + 2 }

func (c *usageCounts) add(account string, wall clock.Millis) {
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

// publishedCounts holds the counts of one process, as published in the store or sent to
// other gateways.
type publishedCounts struct {
	// Window is the newest complete window. Windows holds the number of requests by
	// window and client account, and may include later windows.
	Window  int64                      `json:"window"`
	Windows map[int64]map[string]int64 `json:"windows,omitempty"`
	// StartMs is the wall-clock time at which the process started.
	StartMs clock.Millis `json:"startMs"`
	// Ended is set in the last record of a process that shuts down.
	Ended bool `json:"ended,omitempty"`
	// Copies holds the counts of other processes, by usageKey.
	Copies map[string]publishedCounts `json:"copies,omitempty"`
}

// snapshot returns all counts that are kept, with the copies of other processes'
// counts. last is the newest complete window.
func (c *usageCounts) snapshot(last int64) publishedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.since(last-c.keptWindows+1, last)
	p.Copies = make(map[string]publishedCounts, len(c.copies))
	for key, other := range c.copies {
		p.Copies[key] = other.clone()
	}
	return p
}

// clone returns a deep copy of p, which must have no Copies.
func (p publishedCounts) clone() publishedCounts {
	windows := p.Windows
	p.Windows = make(map[int64]map[string]int64, len(windows))
	for w, m := range windows {
		p.Windows[w] = maps.Clone(m)
	}
	return p
}

// since returns the counts of the windows from first on. last is the newest complete
// window. c.mu must be held.
func (c *usageCounts) since(first, last int64) publishedCounts {
	p := publishedCounts{Window: last, Windows: map[int64]map[string]int64{}}
	for w, m := range c.byWindow {
		if w >= first {
			p.Windows[w] = maps.Clone(m)
		}
	}
	return p
}

// recent returns the counts of window last, which is the newest complete one, and of
// the current window. Earlier windows have been published by then.
func (c *usageCounts) recent(last int64) publishedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since(last, last)
}

// ofWindow returns the counts of one window, with the copies of it for those processes
// that have ended or have not sent it as complete.
func (c *usageCounts) ofWindow(window int64) publishedCounts {
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

// markSent records that the counts of a window were sent to a leader.
func (c *usageCounts) markSent(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentWindow = max(c.sentWindow, window)
}

// unmarkSent records that the counts of a window could not be sent to the leader.
func (c *usageCounts) unmarkSent(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentWindow = min(c.sentWindow, window-1)
}

// wasSent reports whether the counts of a window, or of a later one, were sent to a
// leader.
func (c *usageCounts) wasSent(window int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentWindow >= window
}

// mergeCopy merges in a copy of another process's counts, and the copies of further
// processes in it. The counts of a process never decrease, so the higher of two counts
// is the later one. now is the current window; counts of windows that are no longer
// kept are dropped.
func (c *usageCounts) mergeCopy(key string, p publishedCounts, now int64) {
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

func (c *usageCounts) mergeLocked(key string, p publishedCounts) {
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

// missing returns those of the named gateways whose latest process has not sent its
// complete counts of a window. A process that has ended is not missing: it sends no
// more.
func (c *usageCounts) missing(window int64, names []string) []string {
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

// takeChanged reports whether requests were counted since its last call.
func (c *usageCounts) takeChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.changed
	c.changed = false
	return was
}

// usageKey returns the key of this process's record in TopicUsage. A restarted instance
// has another key, so that the record of its earlier process is not overwritten.
func (g *Gateway) usageKey() string { return g.name + "/" + g.processID }

// publishUsage is the task that publishes in the store the counts of those windows that
// no leader has requested, and the counts of the last window when the process shuts
// down. It also runs when the store epoch changes: a store that was restored from a
// backup may have lost what was published.
func (g *Gateway) publishUsage(ctx context.Context) error {
	for ctx.Err() == nil {
		wall := g.clock.Wall()
		due := g.usage.end(g.usage.window(wall)) + publishDelay + g.jitter(maxPublishJitter)
		_, changed := g.store.epochAndChange()
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

// sendCopies is the task that copies the counts to other gateways, which publish them if
// this process cannot do so itself.
func (g *Gateway) sendCopies(ctx context.Context) error {
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

// handOver sends the final counts of a process that shuts down to the gateways that
// receive its copies.
func (g *Gateway) handOver() {
	p := g.usage.recent(g.usage.window(g.clock.Wall()) - 1)
	p.StartMs, p.Ended = g.startMs, true
	g.peers.copyCounts(g.usageKey(), p)
	_ = g.clock.Sleep(context.Background(), handOverTime)
}

// receiveCounts applies the counts that another gateway sent, as a copy or as the
// answer to a leader's request.
func (g *Gateway) receiveCounts(_ string, data json.RawMessage) error {
	var m countsMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	g.usage.mergeCopy(m.Key, m.Counts, g.usage.window(g.clock.Wall()))
	if m.Seal != nil && g.checkSeal(*m.Seal) == nil {
		g.keepSeal(*m.Seal)
	}
	return nil
}

// answerCollect sends this gateway's counts of a window to the leader that requested
// them.
func (g *Gateway) answerCollect(leader string, data json.RawMessage) error {
	var m enginequeue.Collect
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	window := m.Window
	if g.clock.Wall() < g.usage.end(window) {
		// By the local clock the window has not ended yet. The leader repeats its
		// request.
		return nil
	}
	g.usage.markSent(window)
	p := g.usage.ofWindow(window)
	p.StartMs = g.startMs
	if !g.peers.sendCounts(leader, countsMessage{g.usageKey(), p, g.latestSeal.Load()}) {
		g.log.WithFields(logrus.Fields{"event": "usageNotSent", "window": window, "holder": leader}).Info("leader not connected; publishing the counts in the store instead")
		g.usage.unmarkSent(window)
	}
	return nil
}

// countsMessage is the message by which a gateway sends counts to another one, as a copy
// or as the answer to a leader's request. Key is the usageKey of the process that
// counted.
type countsMessage struct {
	Key    string          `json:"key"`
	Counts publishedCounts `json:"counts"`
	// Seal is the newest sealed window that the sender knows; nil in copies.
	Seal *Usage `json:"seal,omitempty"`
}

// keepSeal keeps the newest sealed window that this gateway knows. A later leader needs
// it if the seal is no longer in the store.
func (g *Gateway) keepSeal(u Usage) {
	for {
		old := g.latestSeal.Load()
		if old != nil && old.Window >= u.Window || g.latestSeal.CompareAndSwap(old, &u) {
			return
		}
	}
}

// checkSeal returns an error, after a log line, if u cannot be a seal.
func (g *Gateway) checkSeal(u Usage) error {
	err := u.Check(g.clock.Wall(), g.usage.windowMs)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "dutyUnreadable", "window": u.Window}).Warn(err)
	}
	return err
}

// receiveSeal applies a sealed window that the leader sent.
func (g *Gateway) receiveSeal(_ string, data json.RawMessage) error {
	var u Usage
	if err := json.Unmarshal(data, &u); err != nil {
		return err
	}
	if err := g.checkSeal(u); err != nil {
		return err
	}
	g.keepSeal(u)
	return nil
}

// jitter returns a time from 0 to d. It is derived from the gateway's name, so it
// differs between gateways but not between calls.
func (g *Gateway) jitter(d clock.Millis) clock.Millis {
	hash := uint32(0)
	for _, c := range g.name {
		hash = hash*31 + uint32(c)
	}
	return clock.Millis(hash) % (d + 1)
}

// publish writes this process's counts to the store, with the copies for processes that
// have ended or have not sent complete counts up to last, and retries until that
// succeeds or ctx ends. last is the newest complete window; a retry takes a later one
// if ended is not set. ended marks the last record of the process.
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
		g.backOff(ctx, try+1, false)
		if now := g.usage.window(g.clock.Wall()) - 1; !ended && now > last {
			last = now
		}
	}
}

// windowSum is the sum of the counts of one window over all processes.
type windowSum struct {
	total map[string]int64
	// late holds the instances whose latest process has not published its complete
	// counts of the window yet.
	late []string
	// stale holds the keys of records in TopicUsage that are too old to be needed.
	stale []string
}

// collect adds up the counts of a window over all processes. It takes the highest count
// of each process from the published records, the copies in them, and the counts and
// copies that this gateway holds.
func (g *Gateway) collect(records []Record, window int64) windowSum {
	out := windowSum{total: map[string]int64{}}
	counts := map[string]map[string]int64{} // by usageKey, then by client account
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
