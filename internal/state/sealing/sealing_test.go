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

func usage(w, n int64) sealing.Usage {
	return sealing.Usage{Window: w, Counts: map[string]int64{"orchard": n}}
}

// TestSomeoneKnows has the store come back from a copy without the last seal. A
// holder that held all the while, and a new one that was told, go on behind the seal;
// to one that knows nothing each window may have been reported that ended before.
func TestSomeoneKnows(t *testing.T) {
	const now, wall = 30 * clock.Second, 1000 * window // 1000 begins
	holds := sealing.New(0, window)
	holds.SetEpoch(0, epoch.Of(1), false)
	holds.Read(&sealing.Usage{Window: 997})
	holds.Sealed(usage(998, 4))
	holds.Reported(998)
	holds.SetEpoch(now, epoch.Of(2), true)
	if got := holds.NextWindow(now, wall, 990); got != 999 {
		t.Errorf("the holder goes on at %d, want 999", got)
	}
	if _, ok := holds.Pending(); ok {
		t.Error("the holder reports again what it has reported")
	}

	told := sealing.New(0, window)
	told.SetEpoch(now, epoch.Of(2), false)
	told.Received(usage(997, 3))
	told.Received(usage(998, 4))
	if got := told.NextWindow(now+3*window, wall+3*window, 990); got != 1000 {
		t.Errorf("who was told seals from %d on, want 1000: 999 ended when the era was known", got)
	}
	if u, ok := told.Pending(); !ok || u.Window != 998 || u.Counts["orchard"] != 4 {
		t.Errorf("who was told reports %+v, %t; want the seal again", u, ok)
	}

	fresh := sealing.New(now, window)
	fresh.SetEpoch(now, epoch.Of(2), false)
	fresh.Read(nil)
	fresh.Received(usage(990, 1))
	if got := fresh.NextWindow(now, wall, 985); got != 1000 {
		t.Errorf("a fresh holder seals from %d on, want 1000", got)
	}
	if fresh.Complete() {
		t.Error("a fresh holder takes itself to know all seals")
	}
	fresh.Sealed(usage(1000, 9))
	if got := fresh.NextWindow(now, wall+window, 985); got != 1001 {
		t.Errorf("behind its first seal it goes on at %d, want 1001", got)
	}
}

// TestHolderThatLostTheDuties must not take its seals for the newest ones.
func TestHolderThatLostTheDuties(t *testing.T) {
	s := sealing.New(0, window)
	s.SetEpoch(0, epoch.Of(1), false)
	s.Sealed(usage(100, 1))
	s.LeadershipLost()
	s.SetEpoch(10*window, epoch.Of(2), false)
	if got := s.NextWindow(10*window, 110*window, 90); got < 110 {
		t.Errorf("seals from %d on, though others may have sealed to 109", got)
	}
}

// TestDutiesThatLapsedUnnoticed has the store come back when the duties are no longer
// held, though nobody has told of that yet.
func TestDutiesThatLapsedUnnoticed(t *testing.T) {
	s := sealing.New(0, window)
	s.SetEpoch(0, epoch.Of(1), false)
	s.Sealed(usage(100, 1))
	s.SetEpoch(10*window, epoch.Of(2), false)
	if got := s.NextWindow(10*window, 110*window, 90); got < 110 {
		t.Errorf("seals from %d on, though others may have sealed to 109", got)
	}
}

// TestStoreWithoutEras never comes back from a copy: where it holds no seal, none was
// ever made.
func TestStoreWithoutEras(t *testing.T) {
	s := sealing.New(0, window)
	s.Read(nil)
	if got := s.NextWindow(window, 100*window+window, 90); got != 99 {
		t.Errorf("seals from %d on, want from the window before the start's on, 99", got)
	}
}

// store is a topic of seals by era that may come back from a copy.
type store struct {
	era    int64
	seals  map[int64]sealing.Usage
	copies []map[int64]sealing.Usage
}

// holder is one gateway.
type holder struct {
	name  string
	s     *sealing.Seals
	holds bool
	// ahead is by how much its time of day is ahead.
	ahead  clock.Millis
	loaded bool
	count  int64
}

type world struct {
	t        *rapid.T
	now      clock.Millis
	store    store
	all      []*holder
	reported map[int64]string
}

func (w *world) wall(h *holder) clock.Millis { return w.now + 1000*window + h.ahead }

// enter has a gateway read the store.
func (w *world) enter(h *holder) {
	h.s.SetEpoch(w.now, epoch.Of(w.store.era), h.holds)
	if u, ok := w.store.seals[w.store.era]; ok {
		h.s.Read(&u)
	} else {
		h.s.Read(nil)
	}
	for e, u := range w.store.seals {
		if e != w.store.era {
			h.s.Received(u)
		}
	}
	h.loaded = true
}

// act lets the holder seal or report.
func (w *world) act(h *holder) {
	if !h.loaded {
		w.enter(h)
		return
	}
	if u, ok := h.s.Pending(); ok {
		figures := fmt.Sprint(u.Counts)
		if old, ok := w.reported[u.Window]; ok && old != figures {
			w.t.Fatalf("at %d %s reports window %d with %s, it was reported with %s", w.now, h.name, u.Window, figures, old)
		}
		w.reported[u.Window] = figures
		h.s.Reported(u.Window)
		return
	}
	next := h.s.NextWindow(w.now, w.wall(h), int64(w.wall(h)/window)-8)
	if clock.Millis(next+1)*window+300 > w.wall(h) {
		return
	}
	h.count++
	u := usage(next, h.count*10+int64(len(h.name)))
	w.store.seals[w.store.era] = u
	h.s.Sealed(u)
	// Some of the others are told, as links allow.
	for _, o := range w.all {
		if o != h && rapid.IntRange(0, 2).Draw(w.t, "told") > 0 {
			o.s.Received(u)
		}
	}
}

// turn has another gateway hold the duties, or one start anew.
func (w *world) turn() {
	i := rapid.IntRange(0, len(w.all)-1).Draw(w.t, "who")
	switch rapid.SampledFrom([]string{"holder", "restart", "restore", "restore and kill"}).Draw(w.t, "what") {
	case "holder":
		for _, o := range w.all {
			if o.holds {
				o.holds, o.loaded = false, false
				o.s.LeadershipLost()
			}
		}
		w.all[i].holds, w.all[i].loaded = true, false
	case "restart":
		w.restart(i)
	case "restore and kill":
		w.restore()
		for j := range w.all {
			if rapid.Bool().Draw(w.t, "killed") {
				w.restart(j)
			}
		}
	case "restore":
		w.restore()
	}
}

func (w *world) restart(i int) {
	h := w.all[i]
	w.all[i] = &holder{name: h.name, ahead: h.ahead, count: h.count + 1000, s: sealing.New(w.now, window)}
}

func (w *world) restore() {
	back := rapid.IntRange(0, min(9, len(w.store.copies)-1)).Draw(w.t, "copy")
	w.store.seals = maps.Clone(w.store.copies[len(w.store.copies)-1-back])
	w.store.era++
	for _, h := range w.all {
		// A gateway that reads the store learns of it; others only later.
		h.loaded = false
	}
}

// TestNoWindowTwiceWithOtherFigures plays holders that follow each other, are killed
// and started anew, on a store that comes back from copies up to nine seconds old, with
// clocks up to 0.4 s apart, and with others told of seals or not.
func TestNoWindowTwiceWithOtherFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: store{seals: map[int64]sealing.Usage{}}, reported: map[int64]string{}}
		for i, name := range []string{"a", "bb", "ccc"} {
			w.all = append(w.all, &holder{name: name, ahead: clock.Millis(rapid.IntRange(-200, 200).Draw(t, "ahead")), holds: i == 0, s: sealing.New(0, window)})
		}
		next := clock.Millis(0)
		for ; w.now < 90*clock.Second; w.now += 100 {
			if w.now%1000 == 0 {
				w.store.copies = append(w.store.copies, maps.Clone(w.store.seals))
			}
			if w.now >= next && w.now > 0 {
				next = w.now + clock.Millis(rapid.IntRange(200, 9000).Draw(t, "next"))
				w.turn()
			}
			for _, h := range w.all {
				if h.holds {
					w.act(h)
				}
			}
		}
	})
}
