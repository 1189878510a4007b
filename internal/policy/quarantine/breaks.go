package quarantine

import (
	"cmp"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// breakKeep is how long after a request broke off a new start of its server proves that
	// the server had ended.
	breakKeep = 10 * clock.Second
	// maxBreaks bounds the servers in a Breaks.
	maxBreaks = 256
)

// Breaks holds the requests that broke off at servers of which it is not known whether they
// have ended. It is not safe for concurrent use.
type Breaks struct {
	byServer map[servers.Key]Ending
}

// NewBreaks returns a Breaks without requests.
func NewBreaks() *Breaks { return &Breaks{byServer: map[servers.Key]Ending{}} }

// Add records that a request broke off at a server now, before it was answered. It reports
// whether it is the first one there for some time.
func (b *Breaks) Add(now clock.Millis, k servers.Key, s Suspect) (first bool) {
	e, ok := b.byServer[k]
	if first = !ok || now-e.AtMs > breakKeep; first {
		if !ok && len(b.byServer) >= maxBreaks {
			b.dropOldest()
		}
		e = Ending{Server: k, AtMs: now}
	}
	s.Request = shortID(s.Request)
	b.byServer[k] = e.withSuspect(s, func(Suspect) int { return 0 })
	return first
}

// dropOldest drops the server at which no request has broken off for the longest time.
func (b *Breaks) dropOldest() {
	var oldest Ending
	for _, e := range b.byServer {
		if oldest.AtMs == 0 || e.AtMs < oldest.AtMs {
			oldest = e
		}
	}
	delete(b.byServer, oldest.Server)
}

// Ended returns the evidence against the requests that broke off at a server, which has ended.
func (b *Breaks) Ended(now clock.Millis, k servers.Key) Evidence {
	e, ok := b.byServer[k]
	delete(b.byServer, k)
	if !ok || now-e.AtMs > breakKeep {
		return Evidence{}
	}
	return Evidence{Endings: []Ending{e}}
}

// Listed returns the evidence against the requests that broke off at servers that are listed
// with a later start. starts holds the listed starts by server id.
func (b *Breaks) Listed(now clock.Millis, starts map[string]int64) Evidence {
	var all Evidence
	for k, e := range b.byServer {
		switch {
		case starts[k.ID] > k.Start:
			all.Endings = append(all.Endings, b.Ended(now, k).Endings...)
		case now-e.AtMs > breakKeep:
			delete(b.byServer, k)
		}
	}
	slices.SortFunc(all.Endings, func(x, y Ending) int { return cmp.Compare(x.AtMs, y.AtMs) })
	return all
}
