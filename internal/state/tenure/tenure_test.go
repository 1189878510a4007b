package tenure_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/era"
	"github.com/damaskport/damaskport/internal/state/tenure"
)

const lease = 3 * clock.Second

func config(name string) tenure.Config {
	return tenure.Config{
		Holder: name, Process: name + "-1", HoldMs: lease, ClaimMs: lease + 1200, RenewMs: lease / 3,
		HandoverMs: lease/2 + 300, SpreadMs: 0,
	}
}

// log is a topic with conditional appends of a store that may come back from a copy.
// Each era has a record of its own.
type log struct {
	era     int64
	end     int64
	records map[int64]entry // by the era of their authors
	copies  []log
}

type entry struct {
	offset int64
	r      tenure.Record
}

func newLog() *log { return &log{records: map[int64]entry{}} }

// append adds a record of an author that took the store to be in an era; the store
// compares offsets only.
func (l *log) append(r tenure.Record, by era.Era, asOf int64) (int64, bool) {
	if asOf != l.end {
		return 0, false
	}
	l.records[by.Number()] = entry{l.end, r}
	l.end++
	return l.end - 1, true
}

// save keeps a copy of the topic as it is now.
func (l *log) save() {
	l.copies = append(l.copies, log{end: l.end, records: maps.Clone(l.records)})
	if len(l.copies) > keptCopies {
		l.copies = l.copies[1:]
	}
}

// restore has the store come back from one of the last copies.
func (l *log) restore(back int) {
	c := l.copies[max(len(l.copies)-1-back, 0)]
	l.era, l.end, l.records = l.era+1, c.end, maps.Clone(c.records)
	l.copies = nil
	l.save()
}

const (
	// copyEvery is the time between two copies of the store, and keptCopies how many
	// may be restored: the oldest is some seconds old.
	copyEvery  = 500 * clock.Millisecond
	keptCopies = 18
	// gameStep is the time between two moves of a process.
	gameStep = 50 * clock.Millisecond
)

// delayed is a write that takes effect later.
type delayed struct {
	r    tenure.Record
	by   era.Era
	asOf int64
	at   clock.Millis
}

// act is a call of a duty.
type act struct {
	who  string
	term int64
	at   clock.Millis
}

// game plays processes on one log.
type game struct {
	t      *rapid.T
	log    *log
	names  []string
	starts int
	procs  map[string]*tenure.Tenure
	asleep map[string]clock.Millis
	late   []delayed
	term   int64 // of the last act
	acts   []act
}

func (g *game) read(now clock.Millis, n string) {
	p, present := g.procs[n], era.Of(g.log.era)
	p.Enter(now, present)
	p.End(era.At(present, g.log.end))
	if e, ok := g.log.records[g.log.era]; ok {
		p.Seen(now, era.At(present, e.offset), e.r)
	} else {
		p.None(now)
	}
	for number, e := range g.log.records {
		if number != g.log.era {
			p.Earlier(e.r)
		}
	}
}

// land lets the late writes take effect that are due.
func (g *game) land(now clock.Millis) {
	kept := g.late[:0]
	for _, d := range g.late {
		if d.at <= now {
			g.log.append(d.r, d.by, d.asOf)
			continue
		}
		kept = append(kept, d)
	}
	g.late = kept
}

// write sends the next record: its answer may be lost, or it is done later. An answer
// tells the store's era, also when the store took the offset for one of its own.
func (g *game) write(now clock.Millis, n string) {
	p := g.procs[n]
	r, asOf := p.Write(now)
	by := p.Era()
	switch rapid.IntRange(0, 9).Draw(g.t, "write") {
	case 0:
		g.log.append(r, by, asOf.Offset())
	case 1:
		g.late = append(g.late, delayed{r, by, asOf.Offset(), now + clock.Millis(rapid.IntRange(100, 6000).Draw(g.t, "late"))})
	default:
		at, ok := g.log.append(r, by, asOf.Offset())
		if ok && by == era.Of(g.log.era) {
			p.Appended(now, era.At(by, at), r)
		} else {
			g.read(now, n)
		}
	}
}

// start starts a process of a holder anew.
func (g *game) start(n string) {
	g.starts++
	cfg := config(n)
	cfg.Process = fmt.Sprint(n, "-", g.starts)
	g.procs[n] = tenure.New(cfg)
}

// step lets one process act.
func (g *game) step(now clock.Millis, n string) {
	p := g.procs[n]
	switch rapid.IntRange(0, 80).Draw(g.t, "event "+n) {
	case 0:
		g.asleep[n] = now + clock.Millis(rapid.IntRange(100, 6000).Draw(g.t, "sleep"))
		return
	case 1:
		by := p.Era()
		if r, asOf, ok := p.Release(now); ok {
			g.log.append(r, by, asOf.Offset())
		}
		return
	case 2:
		g.start(n)
		g.asleep[n] = now + clock.Millis(rapid.IntRange(100, 2000).Draw(g.t, "restart"))
		return
	}
	if rapid.IntRange(0, 3).Draw(g.t, "reads") > 0 {
		g.read(now, n)
	}
	if now >= p.DueMs(now) {
		g.write(now, n)
	}
	term, ok := p.Holds(now)
	if !ok {
		return
	}
	for _, o := range g.names {
		if _, also := g.procs[o].Holds(now); o != n && also && now >= g.asleep[o] {
			g.t.Fatalf("%s and %s hold at %d", n, o, now)
		}
	}
	if term < g.term {
		g.t.Fatalf("term %d after %d", term, g.term)
	}
	g.term = term
	g.acts = append(g.acts, act{n, term, now})
}

// TestOneHolder plays processes that read late, lose answers, stop for a while, are
// killed, release and have writes take effect seconds later, on a store that comes
// back from copies: no two hold at one time, no two have one term, terms do not fall
// from act to act, and A, B, A takes longer than a lease.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &game{t: t, log: newLog(), names: []string{"a", "b", "c"}, procs: map[string]*tenure.Tenure{}, asleep: map[string]clock.Millis{}}
		for _, n := range g.names {
			g.start(n)
		}
		restores := rapid.SliceOfN(rapid.IntRange(1, 40_000), 0, 4).Draw(t, "restores")
		for now := clock.Millis(1); now < 40*clock.Second; now += gameStep {
			if now%copyEvery == 1 {
				g.log.save()
			}
			for _, at := range restores {
				if now <= clock.Millis(at) && clock.Millis(at) < now+gameStep {
					g.log.restore(rapid.IntRange(0, keptCopies-1).Draw(t, "copy"))
				}
			}
			if rapid.IntRange(0, 30).Draw(t, "others") == 0 {
				// Another record of the topic, as the figures of a window.
				g.log.end++
			}
			g.land(now)
			for _, n := range g.names {
				if now >= g.asleep[n] {
					g.step(now, n)
				}
			}
		}
		g.check()
	})
}

// check looks at the acts of a game.
func (g *game) check() {
	last := map[string]clock.Millis{}
	terms := map[int64]string{}
	for i, a := range g.acts {
		before, ok := last[a.who]
		if ok && g.acts[i-1].who != a.who && a.at-before < lease {
			g.t.Fatalf("%s acts %d ms after it did, with others between", a.who, a.at-before)
		}
		last[a.who] = a.at
		if who, ok := terms[a.term]; ok && who != a.who {
			g.t.Fatalf("%s and %s act under term %d", who, a.who, a.term)
		}
		terms[a.term] = a.who
	}
}

// TestHolderGoesOnAfterARestore has the store come back from a copy that knows
// nothing of the holder: it writes its record anew and goes on under its term, while
// a challenger waits.
func TestHolderGoesOnAfterARestore(t *testing.T) {
	const back = 300 * clock.Millisecond
	g := &game{log: newLog(), procs: map[string]*tenure.Tenure{"a": tenure.New(config("a")), "b": tenure.New(config("b"))}}
	a, b := g.procs["a"], g.procs["b"]
	g.log.save()
	g.read(0, "a")
	r, asOf := a.Write(0)
	at, _ := g.log.append(r, a.Era(), asOf.Offset())
	a.Appended(0, era.At(a.Era(), at), r)
	g.read(10, "b")
	term, _ := a.Holds(100)
	g.log.restore(keptCopies)
	g.read(back, "b")
	g.read(back, "a")
	if got, ok := a.Holds(back); !ok || got != term {
		t.Errorf("the holder holds %t under term %d, want under %d", ok, got, term)
	}
	if due := a.DueMs(back); due > back {
		t.Errorf("the holder writes its record anew at %d, want at once", due)
	}
	if due := b.DueMs(back); due < back+lease {
		t.Errorf("the challenger claims at %d", due)
	}
	r, asOf = a.Write(back)
	at, _ = g.log.append(r, a.Era(), asOf.Offset())
	a.Appended(back, era.At(a.Era(), at), r)
	if got, ok := a.Holds(back + lease - 1); !ok || got != term {
		t.Errorf("the holder holds %t under term %d, want under %d", ok, got, term)
	}
}

// TestHolderIsReplaced has the holder fall silent.
func TestHolderIsReplaced(t *testing.T) {
	g := &game{log: newLog(), procs: map[string]*tenure.Tenure{"a": tenure.New(config("a")), "b": tenure.New(config("b"))}}
	a, b := g.procs["a"], g.procs["b"]
	g.read(0, "a")
	r, asOf := a.Write(0)
	at, _ := g.log.append(r, a.Era(), asOf.Offset())
	a.Appended(0, era.At(a.Era(), at), r)
	g.read(10, "b")
	if _, ok := a.Holds(lease - 1); !ok {
		t.Error("the holder does not hold within its lease")
	}
	if _, ok := a.Holds(lease); ok {
		t.Error("the holder holds beyond its lease")
	}
	due := b.DueMs(10)
	if due < lease+10 || due > 2*lease {
		t.Fatalf("the challenger claims at %d", due)
	}
	first, _ := a.Holds(0)
	r, asOf = b.Write(due)
	if at, ok := g.log.append(r, b.Era(), asOf.Offset()); ok {
		b.Appended(due, era.At(b.Era(), at), r)
	}
	term, ok := b.Holds(due)
	if !ok || term <= first {
		t.Errorf("the challenger holds: %t, term %d after %d", ok, term, first)
	}
}
