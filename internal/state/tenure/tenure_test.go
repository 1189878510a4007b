package tenure_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/tenure"
)

const lease = 3 * clock.Second

func config(name string) tenure.Config {
	return tenure.Config{
		Holder: name, Process: name + "-1", HoldMs: lease, ClaimMs: lease + 1200, RenewMs: lease / 3,
		HandoverMs: lease/2 + 300, SpreadMs: 0,
	}
}

// log is a topic with conditional appends.
type log struct {
	offset int64 // of the holder's record, -1 for none
	end    int64
	last   tenure.Record
}

func (l *log) append(r tenure.Record, asOf int64) (int64, bool) {
	if asOf != l.end {
		return 0, false
	}
	l.offset, l.last = l.end, r
	l.end++
	return l.offset, true
}

// delayed is a write that takes effect later.
type delayed struct {
	r    tenure.Record
	asOf int64
	at   clock.Millis
}

// act is a call of a duty.
type act struct {
	who string
	at  clock.Millis
}

// game plays processes on one log.
type game struct {
	t      *rapid.T
	log    *log
	names  []string
	procs  map[string]*tenure.Tenure
	asleep map[string]clock.Millis
	late   []delayed
	term   int64 // of the last act
	acts   []act
}

func (g *game) read(now clock.Millis, n string) {
	g.procs[n].End(g.log.end)
	g.procs[n].Seen(now, g.log.offset, g.log.last)
}

// land lets the late writes take effect that are due.
func (g *game) land(now clock.Millis) {
	kept := g.late[:0]
	for _, d := range g.late {
		if d.at <= now {
			g.log.append(d.r, d.asOf)
			continue
		}
		kept = append(kept, d)
	}
	g.late = kept
}

// write sends the next record: its answer may be lost, or it is done later.
func (g *game) write(now clock.Millis, n string) {
	r, asOf := g.procs[n].Write(now)
	switch rapid.IntRange(0, 9).Draw(g.t, "write") {
	case 0:
		g.log.append(r, asOf)
	case 1:
		g.late = append(g.late, delayed{r, asOf, now + clock.Millis(rapid.IntRange(100, 4000).Draw(g.t, "late"))})
	default:
		if at, ok := g.log.append(r, asOf); ok {
			g.procs[n].Appended(now, at, r)
		} else {
			g.read(now, n)
		}
	}
}

// step lets one process act.
func (g *game) step(now clock.Millis, n string) {
	p := g.procs[n]
	switch rapid.IntRange(0, 60).Draw(g.t, "event "+n) {
	case 0:
		g.asleep[n] = now + clock.Millis(rapid.IntRange(100, 6000).Draw(g.t, "sleep"))
		return
	case 1:
		if r, asOf, ok := p.Release(now); ok {
			g.log.append(r, asOf)
		}
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
	g.acts = append(g.acts, act{n, now})
}

// TestOneHolder plays processes that read late, lose answers, stop for a while,
// release and have writes take effect seconds later: no two hold at one time,
// terms do not fall from act to act, and A, B, A takes longer than a lease.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &game{t: t, log: &log{offset: -1}, names: []string{"a", "b", "c"}, procs: map[string]*tenure.Tenure{}, asleep: map[string]clock.Millis{}}
		for _, n := range g.names {
			g.procs[n] = tenure.New(config(n))
		}
		for now := clock.Millis(1); now < 40*clock.Second; now += 50 {
			g.land(now)
			for _, n := range g.names {
				if now >= g.asleep[n] {
					g.step(now, n)
				}
			}
		}
		last := map[string]clock.Millis{}
		for i, a := range g.acts {
			before, ok := last[a.who]
			if ok && g.acts[i-1].who != a.who && a.at-before < lease {
				t.Fatalf("%s acts %d ms after it did, with others between", a.who, a.at-before)
			}
			last[a.who] = a.at
		}
	})
}

// TestHolderIsReplaced has the holder fall silent.
func TestHolderIsReplaced(t *testing.T) {
	l := &log{offset: -1}
	a, b := tenure.New(config("a")), tenure.New(config("b"))
	for _, p := range []*tenure.Tenure{a, b} {
		p.Seen(0, -1, tenure.Record{})
	}
	r, asOf := a.Write(0)
	at, _ := l.append(r, asOf)
	a.Appended(0, at, r)
	b.End(l.end)
	b.Seen(10, l.offset, l.last)
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
	r, asOf = b.Write(due)
	if at, ok := l.append(r, asOf); ok {
		b.Appended(due, at, r)
	}
	term, ok := b.Holds(due)
	if first, _ := a.Holds(0); !ok || term <= first {
		t.Errorf("the challenger holds: %t, term %d", ok, term)
	}
}
