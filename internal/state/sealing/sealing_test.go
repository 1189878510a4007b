package sealing_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/sealing"
)

const window = 5 * clock.Second

// usage returns the usage of a window in which one client account made n requests.
func usage(w, n int64) sealing.Usage {
	return sealing.Usage{Window: w, Counts: map[string]int64{"orchard": n}}
}

// The store is restored from a backup that lacks the last seal. A leader that remained
// leader continues after the sealed window. A new leader that received the seal from
// another gateway reports it again. With or without that seal, a new leader skips the
// later windows that ended before it learned of the restore, since any of them may have
// been reported.
func TestLastSealLostInRestore(t *testing.T) {
	const now, wall = 30 * clock.Second, 1000 * window // window 1000 begins
	uninterrupted := sealing.New(0, window)
	uninterrupted.SetEpoch(0, epoch.Of(1), false)
	uninterrupted.Read(&sealing.Usage{Window: 997})
	uninterrupted.Sealed(usage(998, 4))
	uninterrupted.Reported(998)
	uninterrupted.SetEpoch(now, epoch.Of(2), true)
	if got := uninterrupted.NextWindow(now, wall, 990); got != 999 {
		t.Errorf("uninterrupted leader: next window %d, want 999", got)
	}
	if _, ok := uninterrupted.Pending(); ok {
		t.Error("uninterrupted leader: a window that it has reported is pending again")
	}

	withSeal := sealing.New(0, window)
	withSeal.SetEpoch(now, epoch.Of(2), false)
	withSeal.Received(usage(997, 3))
	withSeal.Received(usage(998, 4))
	if got := withSeal.NextWindow(now+3*window, wall+3*window, 990); got != 1000 {
		t.Errorf("new leader with the last seal: next window %d, want 1000, the first to end after it learned of the epoch", got)
	}
	if u, ok := withSeal.Pending(); !ok || u.Window != 998 || u.Counts["orchard"] != 4 {
		t.Errorf("new leader with the last seal: pending %+v, %t; want the received seal of window 998", u, ok)
	}

	withoutSeal := sealing.New(now, window)
	withoutSeal.SetEpoch(now, epoch.Of(2), false)
	withoutSeal.Read(nil)
	withoutSeal.Received(usage(990, 1))
	if got := withoutSeal.NextWindow(now, wall, 985); got != 1000 {
		t.Errorf("new leader without the last seal: next window %d, want 1000", got)
	}
	if withoutSeal.Complete() {
		t.Error("new leader without the last seal: seals are complete, want incomplete")
	}
	withoutSeal.Sealed(usage(1000, 9))
	if got := withoutSeal.NextWindow(now, wall+window, 985); got != 1001 {
		t.Errorf("new leader after its first seal: next window %d, want 1001", got)
	}
}

// A gateway that lost the leadership must not treat the seals that it knows as the
// newest ones: its successor may have sealed later windows.
func TestFormerLeaderMayMissSeals(t *testing.T) {
	s := sealing.New(0, window)
	s.SetEpoch(0, epoch.Of(1), false)
	s.Sealed(usage(100, 1))
	s.LeadershipLost()
	s.SetEpoch(10*window, epoch.Of(2), false)
	if got := s.NextWindow(10*window, 110*window, 90); got < 110 {
		t.Errorf("next window %d, want 110 or later: another leader may have sealed windows up to 109", got)
	}
}

// The store is restored after the leadership lapsed, but before the former leader has
// called LeadershipLost. SetEpoch alone must then mark the seals as incomplete.
func TestLeadershipLapsedBeforeRestore(t *testing.T) {
	s := sealing.New(0, window)
	s.SetEpoch(0, epoch.Of(1), false)
	s.Sealed(usage(100, 1))
	s.SetEpoch(10*window, epoch.Of(2), false)
	if got := s.NextWindow(10*window, 110*window, 90); got < 110 {
		t.Errorf("next window %d, want 110 or later: another leader may have sealed windows up to 109", got)
	}
}

// A store that reports no epoch is never restored from a backup: if it contains no
// seal, no window was ever sealed.
func TestStoreWithoutEpochs(t *testing.T) {
	s := sealing.New(0, window)
	s.Read(nil)
	if got := s.NextWindow(window, 100*window+window, 90); got != 99 {
		t.Errorf("next window %d, want 99, the last to end before the process started", got)
	}
}

// store simulates the topic of seals in a store that may be restored from a backup. It
// keeps the newest seal of each epoch.
type store struct {
	epoch   int64
	seals   map[int64]sealing.Usage
	backups []map[int64]sealing.Usage
}

// gateway is one simulated gateway.
type gateway struct {
	name  string
	seals *sealing.Seals
	leads bool
	// clockAheadMs is how far its wall clock is ahead of the correct time; negative if
	// it is behind.
	clockAheadMs clock.Millis
	hasRead      bool
	sealCount    int64
}

// world simulates three gateways, their store and the time. reported holds the figures
// with which each window was reported.
type world struct {
	t        *rapid.T
	now      clock.Millis
	store    store
	gateways []*gateway
	reported map[int64]string
}

// wall returns the time by the wall clock of a gateway.
func (w *world) wall(g *gateway) clock.Millis { return w.now + 1000*window + g.clockAheadMs }

// readStore applies the epoch and all seals in the store to a gateway.
func (w *world) readStore(g *gateway) {
	g.seals.SetEpoch(w.now, epoch.Of(w.store.epoch), g.leads)
	if u, ok := w.store.seals[w.store.epoch]; ok {
		g.seals.Read(&u)
	} else {
		g.seals.Read(nil)
	}
	for e, u := range w.store.seals {
		if e != w.store.epoch {
			g.seals.Received(u)
		}
	}
	g.hasRead = true
}

// sealOrReport performs the next step of a leader: it reads the store, reports the
// pending window or seals the next one.
func (w *world) sealOrReport(g *gateway) {
	if !g.hasRead {
		w.readStore(g)
		return
	}
	if u, ok := g.seals.Pending(); ok {
		figures := fmt.Sprint(u.Counts)
		if old, ok := w.reported[u.Window]; ok && old != figures {
			w.t.Fatalf("at %d ms gateway %s reports window %d with figures %s, reported before with %s", w.now, g.name, u.Window, figures, old)
		}
		w.reported[u.Window] = figures
		g.seals.Reported(u.Window)
		return
	}
	next := g.seals.NextWindow(w.now, w.wall(g), int64(w.wall(g)/window)-8)
	if clock.Millis(next+1)*window+300 > w.wall(g) {
		return
	}
	g.sealCount++
	u := usage(next, g.sealCount*10+int64(len(g.name)))
	w.store.seals[w.store.epoch] = u
	g.seals.Sealed(u)
	// The seal is sent to the other gateways; on average one in three does not
	// receive it.
	for _, o := range w.gateways {
		if o != g && rapid.IntRange(0, 2).Draw(w.t, "seal received") > 0 {
			o.seals.Received(u)
		}
	}
}

// disturb elects another leader, restarts gateways or restores the store.
func (w *world) disturb() {
	i := rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "gateway")
	switch rapid.SampledFrom([]string{"new leader", "restart", "restore", "restore and restarts"}).Draw(w.t, "disturbance") {
	case "new leader":
		for _, o := range w.gateways {
			if o.leads {
				o.leads, o.hasRead = false, false
				o.seals.LeadershipLost()
			}
		}
		w.gateways[i].leads, w.gateways[i].hasRead = true, false
	case "restart":
		w.restart(i)
	case "restore and restarts":
		w.restore()
		for j := range w.gateways {
			if rapid.Bool().Draw(w.t, "restarted") {
				w.restart(j)
			}
		}
	case "restore":
		w.restore()
	}
}

// restart replaces gateway i by a new process that knows no seals.
func (w *world) restart(i int) {
	g := w.gateways[i]
	w.gateways[i] = &gateway{name: g.name, clockAheadMs: g.clockAheadMs, sealCount: g.sealCount + 1000, seals: sealing.New(w.now, window)}
}

// restore restores the store from one of its last ten backups, in a new epoch.
func (w *world) restore() {
	age := rapid.IntRange(0, min(9, len(w.store.backups)-1)).Draw(w.t, "backup age in seconds")
	w.store.seals = maps.Clone(w.store.backups[len(w.store.backups)-1-age])
	w.store.epoch++
	for _, g := range w.gateways {
		// A gateway learns of the restore when it reads the store, which only the
		// leader does.
		g.hasRead = false
	}
}

// Simulates a sequence of leaders that are replaced and restarted at random, while the
// store is restored from backups up to nine seconds old, wall clocks differ by up to
// 0.4 s, and a seal reaches only some of the other gateways.
func TestWindowNeverReportedWithDifferentFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: store{seals: map[int64]sealing.Usage{}}, reported: map[int64]string{}}
		for i, name := range []string{"a", "bb", "ccc"} {
			w.gateways = append(w.gateways, &gateway{name: name, clockAheadMs: clock.Millis(rapid.IntRange(-200, 200).Draw(t, "clock ahead in ms")), leads: i == 0, seals: sealing.New(0, window)})
		}
		disturbMs := clock.Millis(0)
		for ; w.now < 90*clock.Second; w.now += 100 {
			if w.now%1000 == 0 {
				w.store.backups = append(w.store.backups, maps.Clone(w.store.seals))
			}
			if w.now >= disturbMs && w.now > 0 {
				disturbMs = w.now + clock.Millis(rapid.IntRange(200, 9000).Draw(t, "ms until the next disturbance"))
				w.disturb()
			}
			for _, g := range w.gateways {
				if g.leads {
					w.sealOrReport(g)
				}
			}
		}
	})
}
