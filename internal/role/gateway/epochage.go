package gateway

import (
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// epochAge is what this gateway knows of how long the current store epoch has lasted. A process that starts after a
// restore has not seen it: the member records tell. It is safe for concurrent use.
type epochAge struct {
	// known is closed once the member records were read.
	known chan struct{}

	mu sync.Mutex
	// sinceMs is since when epoch is known, by the wall clock; 0 if the records do not say.
	epoch   epoch.Epoch
	sinceMs clock.Millis
	// changedMs is when epoch followed an earlier one, by the wall clock: when the store was restored; 0 if no change is
	// known. changedBefore is set if that was before the start of this process.
	changedMs     clock.Millis
	changedBefore bool
	// settledMs is when all running servers have registered again after a restore before the start of this process;
	// 0 without one.
	settledMs clock.Millis
}

func newEpochAge() *epochAge { return &epochAge{known: make(chan struct{})} }

// startEpochAge applies the member records that this gateway has read first.
func (g *Gateway) startEpochAge(snap Snapshot) {
	a := g.epochAge
	select {
	case <-a.known:
		return
	default:
	}
	var all []epoch.Witness
	now, e := g.clock.Now(), g.store.currentEpoch()
	var changed clock.Millis
	earlierOnly := false
	for _, r := range snap.Records {
		var m member
		if len(r.Value) > 0 && json.Unmarshal(r.Value, &m) == nil {
			all = append(all, epoch.Witness{Epoch: m.Epoch, SinceMs: m.EpochSinceMs})
			changed = max(changed, m.EpochChangedMs)
			earlierOnly = (earlierOnly || len(all) == 1) && e.After(m.Epoch)
		}
	}
	if earlierOnly {
		changed = g.clock.Wall()
	}
	a.mu.Lock()
	left, since := epoch.Age(e, g.clock.Wall(), servers.LapsedKeepMs, all)
	a.epoch, a.sinceMs = e, since
	a.changedMs, a.changedBefore = changed, changed > 0
	if left > 0 {
		a.settledMs = now + left
	}
	a.mu.Unlock()
	close(a.known)
	if left > 0 {
		g.log.WithFields(logrus.Fields{"event": "storeRestoredBeforeStart", "era": e.String(), "leftMs": int64(left)}).Warn("the store may lack entries of servers that run")
	}
}

// since returns since when the current epoch e is known: now, if it is another one than before; and when it followed an
// earlier one, 0 if no change is known.
func (a *epochAge) since(e epoch.Epoch, wall clock.Millis) (since, changed clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e != a.epoch {
		if a.epoch.Known() {
			a.changedMs, a.changedBefore = wall, false
		}
		a.epoch, a.sinceMs = e, wall
	}
	return a.sinceMs, a.changedMs
}

// settled reports whether a list of servers as of a time shows all running servers, as far as this process knows of
// restores before its start.
func (a *epochAge) settled(asOf clock.Millis) bool {
	select {
	case <-a.known:
	default:
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return asOf >= a.settledMs
}

// restoredSince reports whether the store came back from a backup since a time, by the wall clock, but before this process
// started: it may lack what others had written.
func (a *epochAge) restoredSince(since clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changedBefore && a.changedMs >= since
}
