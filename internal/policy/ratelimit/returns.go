package ratelimit

import "github.com/damaskport/damaskport/internal/runtime/clock"

// maxReturnMs bounds how late a refused caller is asked to return: the need of the servers
// may end before all callers of a long queue have had their turn.
const maxReturnMs = 5 * clock.Second

// Returns assigns the times at which callers may return that were refused because all
// servers are at their limits: one after the other, as permits become due. It is not safe
// for concurrent use.
type Returns struct {
	lastMs clock.Millis
}

// Next returns when the next refused caller may return. at is when the next permit is due,
// and interval the time between two permits.
func (r *Returns) Next(now, at, interval clock.Millis) clock.Millis {
	r.lastMs = max(at, min(r.lastMs+interval, now+maxReturnMs))
	return r.lastMs
}
