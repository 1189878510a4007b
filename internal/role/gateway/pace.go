package gateway

import (
	"github.com/sirupsen/logrus"
)

// maxLoggedWindows bounds the servers that a "serversPaced" line names.
const maxLoggedWindows = 8

// logWindows logs which servers of p have got a window since the last sweep, and how many have
// lost theirs, in one line; p.mu is held.
func (p *pool) logWindows(v *fleetView) {
	ids := p.table.Windows(v.clock.Now())
	if len(ids) == 0 && len(p.windows) == 0 {
		return
	}
	next := make(map[string]bool, len(ids))
	var begun []string
	for _, id := range ids {
		next[id] = true
		if !p.windows[id] {
			begun = append(begun, id)
		}
	}
	ended := len(p.windows) + len(begun) - len(ids)
	p.windows = next
	if len(begun) == 0 && ended == 0 {
		return
	}
	v.log.WithFields(logrus.Fields{
		"event": "serversPaced", "pool": p.name, "begun": len(begun), "ended": ended, "paced": len(ids), "servers": begun[:min(len(begun), maxLoggedWindows)],
	}).Info()
}

// pacedCount returns the number of servers that had a window at the last sweep.
func (v *fleetView) pacedCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, p := range v.pools {
		p.mu.Lock()
		n += len(p.windows)
		p.mu.Unlock()
	}
	return n
}
