package tenure_test

import (
	"fmt"
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

// TestOneHolder plays processes that read late, lose answers, stop for a while,
// release and have writes take effect seconds later: no two hold at one time,
// terms do not fall from act to act, and A, B, A takes longer than a lease.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{offset: -1}
		names := []string{"a", "b", "c"}
		procs := map[string]*tenure.Tenure{}
		asleep := map[string]clock.Millis{}
		for _, n := range names {
			procs[n] = tenure.New(config(n))
		}
		var late []delayed
		var lastTerm int64
		type act struct {
			who string
			at  clock.Millis
		}
		var acts []act
		read := func(now clock.Millis, n string) {
			procs[n].End(l.end)
			procs[n].Seen(now, l.offset, l.last)
		}
		for now := clock.Millis(1); now < 40*clock.Second; now += 50 {
			for i := 0; i < len(late); i++ {
				if late[i].at <= now {
					l.append(late[i].r, late[i].asOf)
					late = append(late[:i], late[i+1:]...)
					i--
				}
			}
			for _, n := range names {
				p := procs[n]
				if now < asleep[n] {
					continue
				}
				switch rapid.IntRange(0, 60).Draw(t, "event "+n) {
				case 0:
					asleep[n] = now + clock.Millis(rapid.IntRange(100, 6000).Draw(t, "sleep"))
					continue
				case 1:
					if r, asOf, ok := p.Release(now); ok {
						l.append(r, asOf)
					}
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "reads") > 0 {
					read(now, n)
				}
				if now >= p.DueMs(now) {
					r, asOf := p.Write(now)
					switch rapid.IntRange(0, 9).Draw(t, "write") {
					case 0: // the answer is lost
						l.append(r, asOf)
					case 1: // done later
						late = append(late, delayed{r, asOf, now + clock.Millis(rapid.IntRange(100, 4000).Draw(t, "late"))})
					default:
						if at, ok := l.append(r, asOf); ok {
							p.Appended(now, at, r)
						} else {
							read(now, n)
						}
					}
				}
				term, ok := p.Holds(now)
				if !ok {
					continue
				}
				for _, o := range names {
					if _, also := procs[o].Holds(now); o != n && also && now >= asleep[o] {
						t.Fatalf("%s and %s hold at %d", n, o, now)
					}
				}
				if term < lastTerm {
					t.Fatalf("term %d after %d", term, lastTerm)
				}
				lastTerm = term
				acts = append(acts, act{n, now})
			}
		}
		prev := map[string]clock.Millis{}
		for i, a := range acts {
			if i > 0 && acts[i-1].who != a.who {
				if before, ok := prev[a.who]; ok && a.at-before < lease {
					t.Fatal(fmt.Sprintf("%s acts %d ms after it did, with others between", a.who, a.at-before))
				}
			}
			prev[a.who] = a.at
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
