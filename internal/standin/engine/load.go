package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/backend"
)

// Load is the engine's report on its load.
type Load struct {
	AtMs           clock.Millis `json:"atMs"`
	Running        int          `json:"running"`
	Waiting        int          `json:"waiting"`
	Slots          int          `json:"slots"`
	TokenMs        float64      `json:"tokenMs"`
	CachedPrefixes []string     `json:"cachedPrefixes"`
}

// loadNow returns the present load. The caller holds e.mu.
func (e *Engine) loadNow() Load {
	l := Load{
		AtMs:           e.clock.Wall(),
		Running:        e.batch.running,
		Waiting:        e.batch.waiting.Len(),
		Slots:          e.cfg.Slots,
		TokenMs:        float64(e.stepMicros(e.batch.running)) / 1000,
		CachedPrefixes: []string{},
	}
	for _, p := range e.cache.prefixes {
		l.CachedPrefixes = append(l.CachedPrefixes, strconv.FormatUint(p, 16))
	}
	return l
}

// recordLoad keeps the present load for later reports. The caller holds e.mu.
func (e *Engine) recordLoad() {
	if e.cfg.LoadLagMs == 0 {
		return
	}
	e.loads = append(e.loads, e.loadNow())
	for len(e.loads) > 1 && e.loads[1].AtMs <= e.clock.Wall()-e.cfg.LoadLagMs {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadNow()
	if e.cfg.LoadLagMs > 0 {
		report = Load{AtMs: e.clock.Wall() - e.cfg.LoadLagMs, Slots: e.cfg.Slots, TokenMs: e.cfg.TokenMs, CachedPrefixes: []string{}}
		for _, l := range e.loads {
			if l.AtMs <= e.clock.Wall()-e.cfg.LoadLagMs {
				report = l
			}
		}
	}
	e.mu.Unlock()
	backend.WriteJSON(w, http.StatusOK, report)
}

// prefixCache keeps the digests of the prompt prefixes used last, the latest at the end.
type prefixCache struct {
	size     int
	prefixes []uint64
}

// use marks p as used and reports whether it was there.
func (c *prefixCache) use(p uint64) bool {
	i := slices.Index(c.prefixes, p)
	if i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	} else if len(c.prefixes) >= c.size {
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, p)
	return i >= 0
}
